//! Tracks endpoints that refuse to help, that is, to prefill parts of prompts that other endpoints
//! answer.
//!
//! The case this handles: endpoints start to leave while the store is unavailable and can't
//! announce it. Each still serves its own requests and refuses to help, so its responses look
//! healthy, and a prompt that uses eight helpers almost always meets one of a dozen such endpoints.
//! A refusal is therefore kept beyond its request and reported to the other gateways at once. It is
//! cancelled by newer evidence: a prompt prefilled with the endpoint's help, or confirmation by the
//! store that the endpoint stays. A later incarnation of the endpoint has another key and starts
//! without refusals.

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_fleet::view::EndpointKey;

/// How long after a refusal the store must confirm an endpoint to cancel the refusal, in
/// milliseconds. An endpoint that leaves announces it within that time once the store accepts
/// writes.
pub const STORE_CONFIRMATION_MS: u64 = 2_000;

/// Longest validity of a refusal, in milliseconds. In a long outage, the endpoint is then asked
/// again by the first prompt that needs it.
const REFUSAL_MAX_MS: u64 = 10_000;

/// How long an endpoint isn't asked that was busy or lacked a reservation, in milliseconds; about
/// the time to prefill a part of a prompt.
const BUSY_MS: u64 = 300;

/// Largest share of a service's endpoints that is excluded from helping. Rarely do more leave at
/// once, and without helpers long prompts aren't served at all.
const SHARE_MAX: f64 = 0.5;

/// Most refusals in one message to peers, newest first.
const REPORTS_MAX: usize = 32;

/// Why an endpoint refused to help, as far as it can be determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It already helps with as many prompts as it may.
    Busy,
    /// It held a memory reservation for the prompt, which may have lapsed.
    Reservation,
    /// No other explanation: it is leaving or has left.
    Leaves,
}

impl RefusalReason {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Reservation => "reservation",
            Self::Leaves => "leaves",
        }
    }
}

/// The longest-lasting refusal of one endpoint.
#[derive(Debug, Clone, Copy)]
struct RefusalRecord {
    at_ms: u64,
    until_ms: u64,
    /// Whether the endpoint is leaving; a confirmation by the store cancels such a refusal.
    is_leaving: bool,
    /// Whether this gateway was refused itself and reports it to peers.
    is_own: bool,
    /// Whether peers have been told.
    is_reported: bool,
}

/// Endpoints that have recently refused to help.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_relay::helper_refusals::HelperRefusals;
/// use mgs_relay::helper_refusals::RefusalReason;
///
/// let mut helpers = HelperRefusals::default();
/// let engines = [EndpointKey(1), EndpointKey(2)];
/// helpers.record_refusal(engines[0], RefusalReason::Leaves, 1_000);
/// assert!(helpers.refusing_endpoints(&engines, 5_000, Some(900)).contains(&engines[0]));
/// // A confirmation by the store, long enough after the refusal, cancels it.
/// assert!(helpers.refusing_endpoints(&engines, 5_000, Some(4_900)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct HelperRefusals {
    refusals: HashMap<EndpointKey, RefusalRecord>,
}

impl HelperRefusals {
    /// Records that an endpoint refused to help with a prompt of this gateway.
    pub fn record_refusal(&mut self, endpoint: EndpointKey, reason: RefusalReason, now_ms: u64) {
        let is_leaving = reason == RefusalReason::Leaves;
        let counts_ms = if is_leaving { REFUSAL_MAX_MS } else { BUSY_MS };
        self.insert_longest(
            endpoint,
            RefusalRecord {
                at_ms: now_ms,
                until_ms: now_ms + counts_ms,
                is_leaving,
                is_own: true,
                is_reported: false,
            },
        );
    }

    /// Records that a leaving endpoint refused to help with a prompt of a peer.
    pub fn record_peer_refusal(&mut self, endpoint: EndpointKey, at_ms: u64) {
        self.insert_longest(
            endpoint,
            RefusalRecord {
                at_ms,
                until_ms: at_ms + REFUSAL_MAX_MS,
                is_leaving: true,
                is_own: false,
                is_reported: true,
            },
        );
    }

    /// Keeps the refusal that stays valid longest, so that the order of arrival makes no
    /// difference.
    fn insert_longest(&mut self, endpoint: EndpointKey, refusal: RefusalRecord) {
        let known = self.refusals.get(&endpoint);
        if known.is_none_or(|known| known.until_ms < refusal.until_ms) {
            self.refusals.insert(endpoint, refusal);
        }
    }

    /// Records that endpoints have prefilled parts of a prompt that was sent at `sent_ms`.
    pub fn record_help(&mut self, endpoints: &[EndpointKey], sent_ms: u64) {
        for endpoint in endpoints {
            let known = self.refusals.get(endpoint);
            if known.is_some_and(|known| known.at_ms <= sent_ms) {
                self.refusals.remove(endpoint);
            }
        }
    }

    /// Those of the given endpoints that shouldn't be asked for help. `confirmed_ms` is when the
    /// store last confirmed that they are listed and not leaving.
    pub fn refusing_endpoints(
        &self,
        endpoints: &[EndpointKey],
        now_ms: u64,
        confirmed_ms: Option<u64>,
    ) -> HashSet<EndpointKey> {
        let in_force = |endpoint: &EndpointKey| {
            let refusal = self.refusals.get(endpoint)?;
            is_in_force(refusal, now_ms, confirmed_ms).then_some((refusal.at_ms, *endpoint))
        };
        let mut standing: Vec<(u64, EndpointKey)> = endpoints.iter().filter_map(in_force).collect();
        let most = (endpoints.len() as f64 * SHARE_MAX) as usize;
        if standing.len() > most {
            standing.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
            standing.truncate(most);
        }
        standing.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Refusals to report to peers, with their age in milliseconds: all that this gateway met
    /// itself, or only those not reported yet. Refusals learned from peers are left out, since
    /// forwarding would make them look newer each time.
    pub fn take_reports(
        &mut self,
        is_full: bool,
        now_ms: u64,
        confirmed_ms: Option<u64>,
    ) -> Vec<(EndpointKey, u64)> {
        let mut reports = Vec::new();
        for (endpoint, refusal) in &mut self.refusals {
            let is_due = refusal.is_own && refusal.is_leaving && (is_full || !refusal.is_reported);
            if is_due && is_in_force(refusal, now_ms, confirmed_ms) {
                refusal.is_reported = true;
                reports.push((*endpoint, now_ms.saturating_sub(refusal.at_ms)));
            }
        }
        reports.sort_by_key(|(endpoint, age_ms)| (*age_ms, *endpoint));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Whether no refusal is recorded.
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Drops refusals that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.refusals.retain(|_, refusal| now_ms < refusal.until_ms);
    }
}

fn is_in_force(refusal: &RefusalRecord, now_ms: u64, confirmed_ms: Option<u64>) -> bool {
    let cancellable_from_ms = refusal.at_ms + STORE_CONFIRMATION_MS;
    let is_cancelled =
        refusal.is_leaving && confirmed_ms.is_some_and(|at_ms| at_ms >= cancellable_from_ms);
    now_ms < refusal.until_ms && !is_cancelled
}
