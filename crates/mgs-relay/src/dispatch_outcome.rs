//! Records what the outcome of a dispatch says about its endpoints, and logs it.

use crate::attempt::DispatchResult;
use crate::dispatcher::Dispatcher;
use crate::place::PlacedRequest;
use crate::view::Endpoint;

/// Outcome of a dispatch that failed because a helper refused.
pub(crate) const HELPER_REFUSED: &str = "helper_refused";

/// Outcome of a dispatch whose complete answer this host has no memory for.
pub(crate) const NOT_HELD: &str = "answer_not_held";

/// Outcome of a dispatch that wasn't sent, since its permit had expired when its connection opened.
pub(crate) const PERMIT_EXPIRED: &str = "permit_expired";

/// Time in milliseconds after which a helper's refusal means that it is dead or cut off: the engine
/// had waited for it.
const STALLED_MS: u64 = 1_000;

impl Dispatcher {
    /// Records what the dispatch shows of its endpoint, and logs the outcome.
    pub(crate) fn record_outcome(
        &self,
        placed: &PlacedRequest,
        result: &DispatchResult,
        took_ms: u64,
    ) {
        let core = &self.core;
        let now_ms = core.now_whole_ms();
        let key = placed.endpoint.key;
        let end = match result {
            DispatchResult::Full { head, .. } if head.status.is_server_error() => {
                core.outliers.record_failure(key, now_ms);
                "endpoint_error"
            }
            DispatchResult::Full { .. } => {
                core.record_response(&placed.endpoint);
                core.outliers.record_answer(key);
                "answered"
            }
            DispatchResult::Started { .. } => {
                core.record_response(&placed.endpoint);
                core.outliers.record_answer(key);
                let sent_ms = now_ms.saturating_sub(took_ms);
                core.helpers
                    .borrow_mut()
                    .record_help(&placed.helper_keys, sent_ms);
                let predicted_ms = placed.first_token_ms as u64;
                core.outliers
                    .record_first_token(key, now_ms, predicted_ms, took_ms);
                core.record_first_event_speed(placed, took_ms);
                let late_ms = took_ms.saturating_sub(predicted_ms);
                core.metrics.late_by_ms.observe(late_ms as f64);
                "started"
            }
            DispatchResult::NotRun {
                why,
                is_lost,
                is_refused,
                ..
            } => {
                if *is_refused {
                    core.record_connection_refused(key);
                }
                if *is_lost {
                    core.outliers.record_failure(key, now_ms);
                }
                why
            }
            DispatchResult::PermitExpired => PERMIT_EXPIRED,
            DispatchResult::HelperRefused {
                helper,
                is_reserved,
            } => {
                self.record_help_refusal(helper, *is_reserved, took_ms);
                HELPER_REFUSED
            }
            DispatchResult::NotHeld(_) => {
                core.record_response(&placed.endpoint);
                core.outliers.record_answer(key);
                NOT_HELD
            }
            DispatchResult::Unknown { .. } => {
                core.outliers.record_failure(key, now_ms);
                "unknown"
            }
        };
        let why = match result {
            DispatchResult::Unknown { why, .. } => why.as_str(),
            _ => end,
        };
        let at_fault = match result {
            DispatchResult::HelperRefused { helper, .. } => helper.facts.incarnation.id.as_str(),
            _ => "",
        };
        log::info!(
            request_id = self.client_request.request_id,
            work:% = self.keys.request,
            endpoint = placed.endpoint.facts.incarnation.id,
            dispatch = self.progress.dispatches + 1,
            helpers = placed.helper_keys.len(),
            predicted_ms = placed.first_token_ms as u64,
            took_ms = took_ms,
            end = end,
            why = why,
            at_fault = at_fault;
            "dispatch ended"
        );
    }

    /// Turns the outcome into [`DispatchResult::HelperRefused`] if it names a helper of this
    /// dispatch as being at fault.
    pub(crate) fn with_helper_at_fault(
        &self,
        placed: &PlacedRequest,
        result: DispatchResult,
    ) -> DispatchResult {
        let DispatchResult::NotRun {
            at_fault: Some(address),
            ..
        } = result
        else {
            return result;
        };
        let fleet = self.core.published.fleet();
        let mut helpers = placed
            .helper_keys
            .iter()
            .filter_map(|k| fleet.by_key.get(k));
        let Some(helper) = helpers.find(|helper| helper.facts.address == address) else {
            return result;
        };
        let mut helpers = placed.helpers.iter();
        let is_reserved =
            helpers.any(|helper| helper.address == address && helper.reservation.is_some());
        DispatchResult::HelperRefused {
            helper: helper.clone(),
            is_reserved,
        }
    }

    /// Records that an endpoint refused to help: the next prompts leave it out, at this gateway and
    /// at the others. Requests sent to it directly aren't affected, unless it seems dead.
    fn record_help_refusal(&self, helper: &Endpoint, is_reserved: bool, took_ms: u64) {
        let core = &self.core;
        let reason = core.help_refused(helper, is_reserved);
        if took_ms >= STALLED_MS {
            core.outliers
                .record_failure(helper.key, core.now_whole_ms());
        }
        log::info!(
            request_id = self.client_request.request_id,
            endpoint = helper.facts.incarnation.id,
            reason = reason.name(),
            took_ms = took_ms,
            fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
            "an endpoint refused to help"
        );
    }
}
