//! Limits configured by operators and the state of the rows that are in use.

use std::collections::HashMap;

use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;

use crate::bucket::TokenBucket;
use crate::lease::Limits;
use crate::queue::Demand;

/// Matches any organisation or kind of request without a row of its own.
pub const WILDCARD: &str = "*";

/// Lowest priority; 0 is the highest.
pub const PRIORITY_MAX: u32 = 9;

/// Priority of a request without a configured row.
const PRIORITY_DEFAULT: u32 = 5;

/// Index of an active row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey(pub u32);

/// Limits and usage of one organisation and kind of request, or of all its kinds without a
/// configured row.
#[derive(Debug, Clone)]
pub struct ActiveRow {
    /// Organisation of the row.
    pub organisation: String,
    /// Kind of request, or [`WILDCARD`].
    pub kind: String,
    /// Configured limits of the row, across all gateways.
    pub limits: LimitRow,
    /// Rate limit of requests.
    pub request_bucket: TokenBucket,
    /// Rate limit of tokens.
    pub token_bucket: TokenBucket,
    /// Maximum number of requests in flight in this process; 0 for no limit.
    pub concurrent_max: u32,
    /// Requests admitted and not yet ended.
    pub in_flight: u32,
    /// Requests submitted since the last [`ActiveRow::demand`], including refused ones.
    pub offered_requests: u64,
    /// Tokens of these requests: prompt tokens and maximum generated tokens.
    pub offered_tokens: u64,
    /// Time of the last [`ActiveRow::demand`], in milliseconds.
    pub sampled_ms: u64,
}

impl ActiveRow {
    fn new(now_ms: u64, organisation: &str, kind: &str, limits: &LimitRow) -> Self {
        Self {
            organisation: organisation.to_owned(),
            kind: kind.to_owned(),
            request_bucket: TokenBucket::new(now_ms, limits.requests_per_s),
            token_bucket: TokenBucket::new(now_ms, limits.tokens_per_s),
            concurrent_max: limits.concurrent_requests,
            in_flight: 0,
            offered_requests: 0,
            offered_tokens: 0,
            sampled_ms: now_ms,
            limits: limits.clone(),
        }
    }

    fn set_limits(&mut self, now_ms: u64, limits: &LimitRow) {
        if self.limits == *limits {
            return;
        }
        self.request_bucket.set_rate(now_ms, limits.requests_per_s);
        self.token_bucket.set_rate(now_ms, limits.tokens_per_s);
        self.concurrent_max = limits.concurrent_requests;
        self.limits = limits.clone();
    }

    /// Sets the share of the limits that this process may use.
    pub fn set_share(&mut self, now_ms: u64, limits: &Limits) {
        self.request_bucket.set_rate(now_ms, limits.requests_per_s);
        self.token_bucket.set_rate(now_ms, limits.tokens_per_s);
        self.concurrent_max = limits.concurrent_requests;
    }

    /// Demand since the previous call; `None` if the row has no limits, or if nothing was submitted
    /// and nothing is in flight.
    pub fn demand(&mut self, now_ms: u64) -> Option<Demand> {
        let limits = Limits {
            requests_per_s: self.limits.requests_per_s,
            tokens_per_s: self.limits.tokens_per_s,
            concurrent_requests: self.limits.concurrent_requests,
        };
        let elapsed_s = now_ms.saturating_sub(self.sampled_ms).max(1) as f64 / 1_000.0;
        let demand = Demand {
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            limits,
            requests_per_s: self.offered_requests as f64 / elapsed_s,
            tokens_per_s: self.offered_tokens as f64 / elapsed_s,
            in_flight: self.in_flight,
        };
        let is_idle = self.offered_requests == 0 && self.in_flight == 0;
        self.offered_requests = 0;
        self.offered_tokens = 0;
        self.sampled_ms = now_ms;
        (limits != Limits::default() && !is_idle).then_some(demand)
    }

    /// Weight in fair queueing, at least 1.
    pub fn weight(&self) -> u32 {
        self.limits.weight.max(1)
    }

    /// Priority, from 0 to [`PRIORITY_MAX`].
    pub fn priority(&self) -> u32 {
        self.limits.priority.min(PRIORITY_MAX)
    }
}

/// Map by organisation and then by kind; lookups need no owned key.
type ByOrganisationAndKind<T> = HashMap<String, HashMap<String, T>>;

/// Configured limits and active rows.
#[derive(Debug, Default)]
pub struct RowTable {
    configured: ByOrganisationAndKind<LimitRow>,
    active: Vec<ActiveRow>,
    keys: ByOrganisationAndKind<RowKey>,
}

impl RowTable {
    /// Replaces the configured limits and applies them to the active rows at once.
    pub fn apply_settings(&mut self, now_ms: u64, snapshot: &Snapshot) {
        self.configured.clear();
        for row in &snapshot.limits {
            let kinds = self.configured.entry(row.organisation.clone()).or_default();
            kinds.insert(row.kind.clone(), row.clone());
        }
        for row in &mut self.active {
            let limits = match resolve(&self.configured, &row.organisation, &row.kind) {
                Some(found) => found.clone(),
                None => default_limits(),
            };
            row.set_limits(now_ms, &limits);
        }
    }

    /// Returns the active row of an organisation and kind, which is created if it is new.
    ///
    /// Kinds without a configured row share one active row, so that a caller can't obtain
    /// additional limits by inventing kinds.
    pub fn find_or_insert(&mut self, now_ms: u64, organisation: &str, kind: &str) -> RowKey {
        let configured = resolve(&self.configured, organisation, kind);
        let kind = match configured {
            Some(row) if row.kind == kind => kind,
            _ => WILDCARD,
        };
        let known = self
            .keys
            .get(organisation)
            .and_then(|kinds| kinds.get(kind));
        if let Some(key) = known {
            return *key;
        }
        let limits = configured.cloned().unwrap_or_else(default_limits);
        let key = RowKey(self.active.len() as u32);
        self.active
            .push(ActiveRow::new(now_ms, organisation, kind, &limits));
        let kinds = self.keys.entry(organisation.to_owned()).or_default();
        kinds.insert(kind.to_owned(), key);
        key
    }

    /// An active row.
    pub fn get(&self, key: RowKey) -> &ActiveRow {
        &self.active[key.0 as usize]
    }

    /// Mutable access to an active row.
    pub fn get_mut(&mut self, key: RowKey) -> &mut ActiveRow {
        &mut self.active[key.0 as usize]
    }

    /// All active rows.
    pub fn iter(&self) -> impl Iterator<Item = &ActiveRow> {
        self.active.iter()
    }

    /// Demands of the active rows; see [`ActiveRow::demand`].
    pub fn demands(&mut self, now_ms: u64) -> Vec<Demand> {
        let demand = |row: &mut ActiveRow| row.demand(now_ms);
        self.active.iter_mut().filter_map(demand).collect()
    }
}

/// Looks up the configured row of an organisation and kind. Falls back to the organisation's `*`
/// kind, then to the same lookup for the `*` organisation.
fn resolve<'a>(
    configured: &'a ByOrganisationAndKind<LimitRow>,
    organisation: &str,
    kind: &str,
) -> Option<&'a LimitRow> {
    let find_in = |organisation: &str| {
        let kinds = configured.get(organisation)?;
        kinds.get(kind).or_else(|| kinds.get(WILDCARD))
    };
    find_in(organisation).or_else(|| find_in(WILDCARD))
}

/// Limits of a request without a configured row.
fn default_limits() -> LimitRow {
    LimitRow {
        organisation: WILDCARD.to_owned(),
        kind: WILDCARD.to_owned(),
        weight: 1,
        priority: PRIORITY_DEFAULT,
        ..LimitRow::default()
    }
}
