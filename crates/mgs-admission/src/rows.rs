//! The operators' rows of limits and the live rows made from them.

use std::collections::HashMap;

use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;

use crate::bucket::Bucket;
use crate::lease::Limits;
use crate::queue::Demand;

/// Stands for any other organisation or kind of request.
pub const ANY: &str = "*";

/// Last priority.
pub const PRIORITY_MAX: u32 = 9;

/// Priority of a request without a row.
const PRIORITY_DEFAULT: u32 = 5;

/// Key of a live row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey(pub u32);

/// One row in use: an organisation and a kind of request, or all its other kinds.
#[derive(Debug, Clone)]
pub struct Row {
    /// Organisation.
    pub organisation: String,
    /// Kind of request, or [`ANY`].
    pub kind: String,
    /// The limits in force.
    pub limits: LimitRow,
    /// Requests that may still be admitted.
    pub requests: Bucket,
    /// Tokens that may still be admitted.
    pub tokens: Bucket,
    /// Requests in flight that this process may have; 0 for no limit.
    pub concurrent_max: u32,
    /// Requests admitted and not ended.
    pub in_flight: u32,
    /// Requests offered since the last look.
    pub offered_requests: u64,
    /// Their tokens.
    pub offered_tokens: u64,
    /// Time of the last look.
    pub looked_ms: u64,
}

impl Row {
    fn new(now_ms: u64, organisation: &str, kind: &str, limits: &LimitRow) -> Self {
        Self {
            organisation: organisation.to_owned(),
            kind: kind.to_owned(),
            requests: Bucket::new(now_ms, limits.requests_per_s),
            tokens: Bucket::new(now_ms, limits.tokens_per_s),
            concurrent_max: limits.concurrent_requests,
            in_flight: 0,
            offered_requests: 0,
            offered_tokens: 0,
            looked_ms: now_ms,
            limits: limits.clone(),
        }
    }

    fn set_limits(&mut self, now_ms: u64, limits: &LimitRow) {
        if self.limits == *limits {
            return;
        }
        self.requests.set_rate(now_ms, limits.requests_per_s);
        self.tokens.set_rate(now_ms, limits.tokens_per_s);
        self.concurrent_max = limits.concurrent_requests;
        self.limits = limits.clone();
    }

    /// Sets the part of the limits that this process may use.
    pub fn set_share(&mut self, now_ms: u64, limits: &Limits) {
        self.requests.set_rate(now_ms, limits.requests_per_s);
        self.tokens.set_rate(now_ms, limits.tokens_per_s);
        self.concurrent_max = limits.concurrent_requests;
    }

    /// What is wanted of the limits since the last look; `None` if there are none, or if nothing
    /// was offered and nothing is in flight.
    pub fn demand(&mut self, now_ms: u64) -> Option<Demand> {
        let limits = Limits {
            requests_per_s: self.limits.requests_per_s,
            tokens_per_s: self.limits.tokens_per_s,
            concurrent_requests: self.limits.concurrent_requests,
        };
        let passed_s = now_ms.saturating_sub(self.looked_ms).max(1) as f64 / 1_000.0;
        let demand = Demand {
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            limits,
            requests_per_s: self.offered_requests as f64 / passed_s,
            tokens_per_s: self.offered_tokens as f64 / passed_s,
            in_flight: self.in_flight,
        };
        let is_idle = self.offered_requests == 0 && self.in_flight == 0;
        self.offered_requests = 0;
        self.offered_tokens = 0;
        self.looked_ms = now_ms;
        (limits != Limits::default() && !is_idle).then_some(demand)
    }

    /// Weight, at least 1.
    pub fn weight(&self) -> u32 {
        self.limits.weight.max(1)
    }

    /// Priority, 0 to [`PRIORITY_MAX`].
    pub fn priority(&self) -> u32 {
        self.limits.priority.min(PRIORITY_MAX)
    }
}

/// A map by organisation and then kind, looked up without making a key.
type ByName<T> = HashMap<String, HashMap<String, T>>;

/// All rows.
#[derive(Debug, Default)]
pub struct Rows {
    declared: ByName<LimitRow>,
    live: Vec<Row>,
    keys: ByName<RowKey>,
}

impl Rows {
    /// Takes new settings; live rows take their new limits at once.
    pub fn settings(&mut self, now_ms: u64, snapshot: &Snapshot) {
        self.declared.clear();
        for row in &snapshot.limits {
            let kinds = self.declared.entry(row.organisation.clone()).or_default();
            kinds.insert(row.kind.clone(), row.clone());
        }
        for row in &mut self.live {
            let limits = match resolve(&self.declared, &row.organisation, &row.kind) {
                Some(found) => found.clone(),
                None => undeclared(),
            };
            row.set_limits(now_ms, &limits);
        }
    }

    /// The live row of an organisation and kind, made if it is new.
    ///
    /// Kinds without a declared row of their own share one, so that a caller can't get fresh limits
    /// by naming new kinds.
    pub fn find(&mut self, now_ms: u64, organisation: &str, kind: &str) -> RowKey {
        let declared = resolve(&self.declared, organisation, kind);
        let kind = match declared {
            Some(row) if row.kind == kind => kind,
            _ => ANY,
        };
        let known = self
            .keys
            .get(organisation)
            .and_then(|kinds| kinds.get(kind));
        if let Some(key) = known {
            return *key;
        }
        let limits = declared.cloned().unwrap_or_else(undeclared);
        let key = RowKey(self.live.len() as u32);
        self.live
            .push(Row::new(now_ms, organisation, kind, &limits));
        let kinds = self.keys.entry(organisation.to_owned()).or_default();
        kinds.insert(kind.to_owned(), key);
        key
    }

    /// A live row.
    pub fn get(&self, key: RowKey) -> &Row {
        &self.live[key.0 as usize]
    }

    /// A live row for change.
    pub fn get_mut(&mut self, key: RowKey) -> &mut Row {
        &mut self.live[key.0 as usize]
    }

    /// All live rows.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.live.iter()
    }

    /// What the live rows want; see [`Row::demand`].
    pub fn demands(&mut self, now_ms: u64) -> Vec<Demand> {
        let demand = |row: &mut Row| row.demand(now_ms);
        self.live.iter_mut().filter_map(demand).collect()
    }
}

/// The declared row that holds for an organisation and kind: its own, its `*` kind, or those of the
/// `*` organisation.
fn resolve<'a>(
    declared: &'a ByName<LimitRow>,
    organisation: &str,
    kind: &str,
) -> Option<&'a LimitRow> {
    let of = |organisation: &str| {
        let kinds = declared.get(organisation)?;
        kinds.get(kind).or_else(|| kinds.get(ANY))
    };
    of(organisation).or_else(|| of(ANY))
}

/// Limits of a request for which nothing is declared.
fn undeclared() -> LimitRow {
    LimitRow {
        organisation: ANY.to_owned(),
        kind: ANY.to_owned(),
        weight: 1,
        priority: PRIORITY_DEFAULT,
        ..LimitRow::default()
    }
}
