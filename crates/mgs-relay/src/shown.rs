//! What a dispatch shows of its endpoints: remembered for the next ones, and told in a line.

use crate::attempt::Ended;
use crate::place::Placed;
use crate::pursue::Pursuit;
use crate::view::Endpoint;

/// How a dispatch ended that a helper refused.
pub(crate) const HELPER_REFUSED: &str = "helper_refused";

/// A helper that refuses after this time, in milliseconds, is dead or cut off: the engine had waited for it.
const STALLED_MS: u64 = 1_000;

impl Pursuit {
    /// Remembers what the dispatch shows of its endpoint, and says so.
    pub(crate) fn note(&self, placed: &Placed, ended: &Ended, took_ms: u64) {
        let core = &self.core;
        let now_ms = core.now_whole_ms();
        let key = placed.endpoint.key;
        let end = match ended {
            Ended::Whole { head, .. } if head.status.is_server_error() => {
                core.outliers.record_failure(key, now_ms);
                "endpoint_error"
            }
            Ended::Whole { .. } => {
                core.endpoint_answered(&placed.endpoint);
                core.outliers.record_answer(key);
                "answered"
            }
            Ended::Started { .. } => {
                core.endpoint_answered(&placed.endpoint);
                core.outliers.record_answer(key);
                let sent_ms = now_ms.saturating_sub(took_ms);
                core.helpers
                    .borrow_mut()
                    .helped(&placed.helper_keys, sent_ms);
                let predicted_ms = placed.first_token_ms as u64;
                core.outliers
                    .record_first_token(key, now_ms, predicted_ms, took_ms);
                let late_ms = took_ms.saturating_sub(predicted_ms);
                core.metrics.late_by_ms.observe(late_ms as f64);
                "started"
            }
            Ended::NotRun {
                why,
                is_lost,
                is_refused,
                ..
            } => {
                if *is_refused {
                    core.refused_connection(key);
                }
                if *is_lost {
                    core.outliers.record_failure(key, now_ms);
                }
                why
            }
            Ended::Unhelped {
                helper,
                is_reserved,
            } => {
                self.note_refusal(helper, *is_reserved, took_ms);
                HELPER_REFUSED
            }
            Ended::Unknown { .. } => {
                core.outliers.record_failure(key, now_ms);
                "unknown"
            }
        };
        let why = match ended {
            Ended::Unknown { why, .. } => why.as_str(),
            _ => end,
        };
        let at_fault = match ended {
            Ended::Unhelped { helper, .. } => helper.facts.incarnation.id.as_str(),
            _ => "",
        };
        log::info!(
            request_id = self.ask.request_id,
            work:% = self.work,
            endpoint = placed.endpoint.facts.incarnation.id,
            dispatch = self.progress.dispatches,
            helpers = placed.helper_keys.len(),
            predicted_ms = placed.first_token_ms as u64,
            took_ms = took_ms,
            end = end,
            why = why,
            at_fault = at_fault;
            "dispatch ended"
        );
    }

    /// The same end, told apart if it names a helper of the dispatch as being at fault.
    pub(crate) fn with_helper_at_fault(&self, placed: &Placed, ended: Ended) -> Ended {
        let Ended::NotRun {
            at_fault: Some(address),
            ..
        } = ended
        else {
            return ended;
        };
        let fleet = self.core.published.fleet();
        let mut helpers = placed
            .helper_keys
            .iter()
            .filter_map(|k| fleet.by_key.get(k));
        let Some(helper) = helpers.find(|helper| helper.facts.address == address) else {
            return ended;
        };
        let mut asked = placed.helpers.iter();
        let is_reserved = asked.any(|one| one.address == address && one.reservation.is_some());
        Ended::Unhelped {
            helper: helper.clone(),
            is_reserved,
        }
    }

    /// An endpoint refused to help: the next prompts leave it out, here and at the other gateways. What it answers to
    /// its own requests isn't touched by that, unless it is dead.
    fn note_refusal(&self, helper: &Endpoint, is_reserved: bool, took_ms: u64) {
        let core = &self.core;
        let reason = core.help_refused(helper, is_reserved);
        if took_ms >= STALLED_MS {
            core.outliers
                .record_failure(helper.key, core.now_whole_ms());
        }
        log::info!(
            request_id = self.ask.request_id,
            endpoint = helper.facts.incarnation.id,
            reason = reason.name(),
            took_ms = took_ms,
            fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
            "an endpoint refused to help"
        );
    }
}
