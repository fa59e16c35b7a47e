//! Which endpoints refuse to help: to read parts of prompts that others answer.
//!
//! The load that this answers: endpoints begin to leave and can't say so, since the store is away. Each goes on to serve its
//! own requests and refuses to help, so its answers say nothing against it, and a prompt that names eight helpers
//! meets one of a dozen such endpoints nearly always. A refusal is therefore kept beyond its request, told to the other
//! gateways at once, and taken back by whatever goes before it: a prompt that was read with the endpoint's help, or the store's
//! word that it stays. A later life of the endpoint has another key, and nothing stands against it.

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_fleet::view::EndpointKey;

/// How long after a refusal the store must have been heard for its word to go before the refusal, in milliseconds. An
/// endpoint that leaves says so within that time, once the store takes it.
pub const STORE_WORD_MS: u64 = 2_000;

/// How long a refusal counts at most, in milliseconds. In a long outage, an endpoint is asked again then by whoever needs
/// it first.
const REFUSAL_MAX_MS: u64 = 10_000;

/// How long an endpoint isn't asked that was busy or lacked a reservation, in milliseconds: about what a part of a prompt
/// takes to be read.
const BUSY_MS: u64 = 300;

/// Most endpoints of a service that aren't asked, as a share. More seldom leave at once, and without helpers long
/// prompts aren't served at all.
const SHARE_MAX: f64 = 0.5;

/// Most refusals in one message to peers, the newest first.
const TOLD_MAX: usize = 32;

/// Why an endpoint refused to help, as far as it shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It helps with as many prompts as it may.
    Busy,
    /// Memory was reserved there for the prompt, which it may not have any more.
    Reservation,
    /// Nothing known explains it: it leaves, or has left.
    Leaves,
}

impl Reason {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Reservation => "reservation",
            Self::Leaves => "leaves",
        }
    }
}

/// What stands against one endpoint.
#[derive(Debug, Clone, Copy)]
struct Refused {
    at_ms: u64,
    until_ms: u64,
    /// Whether the store's word goes before it.
    is_leaving: bool,
    /// Whether this gateway was refused itself, and tells peers.
    is_own: bool,
    /// Whether peers have been told.
    is_told: bool,
}

/// Endpoints that have refused to help of late.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_relay::helpers::Helpers;
/// use mgs_relay::helpers::Reason;
///
/// let mut helpers = Helpers::default();
/// let engines = [EndpointKey(1), EndpointKey(2)];
/// helpers.refused(engines[0], Reason::Leaves, 1_000);
/// assert!(helpers.refusing(&engines, 5_000, Some(900)).contains(&engines[0]));
/// // The store has been heard long after, and lists it as before.
/// assert!(helpers.refusing(&engines, 5_000, Some(4_900)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Helpers {
    refused: HashMap<EndpointKey, Refused>,
}

impl Helpers {
    /// An endpoint refused to help with a prompt of this gateway.
    pub fn refused(&mut self, endpoint: EndpointKey, reason: Reason, now_ms: u64) {
        let is_leaving = reason == Reason::Leaves;
        let counts_ms = if is_leaving { REFUSAL_MAX_MS } else { BUSY_MS };
        self.note(
            endpoint,
            Refused {
                at_ms: now_ms,
                until_ms: now_ms + counts_ms,
                is_leaving,
                is_own: true,
                is_told: false,
            },
        );
    }

    /// A peer was refused by an endpoint that leaves.
    pub fn told(&mut self, endpoint: EndpointKey, at_ms: u64) {
        self.note(
            endpoint,
            Refused {
                at_ms,
                until_ms: at_ms + REFUSAL_MAX_MS,
                is_leaving: true,
                is_own: false,
                is_told: true,
            },
        );
    }

    /// The refusal that counts longest stands, so that the order in which they are heard makes no difference.
    fn note(&mut self, endpoint: EndpointKey, refused: Refused) {
        let known = self.refused.get(&endpoint);
        if known.is_none_or(|known| known.until_ms < refused.until_ms) {
            self.refused.insert(endpoint, refused);
        }
    }

    /// Endpoints have read parts of a prompt that was sent at `sent_ms`.
    pub fn helped(&mut self, endpoints: &[EndpointKey], sent_ms: u64) {
        for endpoint in endpoints {
            let known = self.refused.get(endpoint);
            if known.is_some_and(|known| known.at_ms <= sent_ms) {
                self.refused.remove(endpoint);
            }
        }
    }

    /// Those of some endpoints that aren't to be asked for help. `confirmed_ms`: when the store last confirmed that they
    /// are listed and stay.
    pub fn refusing(
        &self,
        endpoints: &[EndpointKey],
        now_ms: u64,
        confirmed_ms: Option<u64>,
    ) -> HashSet<EndpointKey> {
        let stands = |endpoint: &EndpointKey| {
            let refused = self.refused.get(endpoint)?;
            is_in_force(refused, now_ms, confirmed_ms).then_some((refused.at_ms, *endpoint))
        };
        let mut standing: Vec<(u64, EndpointKey)> = endpoints.iter().filter_map(stands).collect();
        let most = (endpoints.len() as f64 * SHARE_MAX) as usize;
        if standing.len() > most {
            standing.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
            standing.truncate(most);
        }
        standing.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Refusals that peers are to be told, with their age in milliseconds: of those that this gateway met itself, all, or
    /// only those that weren't told yet. Told further, they would seem newer each time.
    pub fn take_told(
        &mut self,
        is_all: bool,
        now_ms: u64,
        confirmed_ms: Option<u64>,
    ) -> Vec<(EndpointKey, u64)> {
        let mut told = Vec::new();
        for (endpoint, refused) in &mut self.refused {
            let is_due = refused.is_own && refused.is_leaving && (is_all || !refused.is_told);
            if is_due && is_in_force(refused, now_ms, confirmed_ms) {
                refused.is_told = true;
                told.push((*endpoint, now_ms.saturating_sub(refused.at_ms)));
            }
        }
        told.sort_by_key(|(endpoint, age_ms)| (*age_ms, *endpoint));
        told.truncate(TOLD_MAX);
        told
    }

    /// Whether nothing stands against any endpoint.
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty()
    }

    /// Forgets what doesn't count any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.refused.retain(|_, refused| now_ms < refused.until_ms);
    }
}

fn is_in_force(refused: &Refused, now_ms: u64, confirmed_ms: Option<u64>) -> bool {
    let word_ms = refused.at_ms + STORE_WORD_MS;
    let is_taken_back = refused.is_leaving && confirmed_ms.is_some_and(|at_ms| at_ms >= word_ms);
    now_ms < refused.until_ms && !is_taken_back
}
