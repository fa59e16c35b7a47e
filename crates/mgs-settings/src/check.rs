//! The checks that a table must pass before an edit is accepted.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;

use crate::row::RowKey;
use crate::row::ANY;

/// Lowest priority.
pub const PRIORITY_MAX: u32 = 9;

/// Longest allotted time: a day.
pub const ALLOTTED_MS_MAX: u64 = 24 * 60 * 60 * 1_000;

/// Longest name, in bytes.
pub const NAME_BYTES_MAX: usize = 128;

const DIGEST_DIGITS: usize = 64;

/// One fault of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The row.
    pub row: RowKey,
    /// The column, as the schema names the field.
    pub column: &'static str,
    /// What is wrong, for people.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, column {}: {}", self.row, self.column, self.detail)
    }
}

/// Lists every fault of a table, in the order of its rows.
///
/// ```
/// use mgs_schema::settings::LimitRow;
/// use mgs_schema::settings::Snapshot;
/// use mgs_settings::check;
///
/// let row = LimitRow { organisation: "*".into(), kind: "*".into(), ..LimitRow::default() };
/// let faults = check::faults(&Snapshot { limits: vec![row], ..Snapshot::default() });
/// let columns: Vec<_> = faults.iter().map(|fault| fault.column).collect();
/// assert_eq!(columns, ["weight", "allotted_ms"]);
/// ```
pub fn faults(snapshot: &Snapshot) -> Vec<Fault> {
    let mut faults = Vec::new();
    for row in &snapshot.limits {
        check_limit(row, snapshot, &mut faults);
    }
    let mut holders = HashMap::new();
    for row in &snapshot.organisations {
        check_organisation(row, &mut holders, &mut faults);
    }
    let mut addresses = HashMap::new();
    for row in &snapshot.endpoints {
        check_endpoint(row, &mut addresses, &mut faults);
    }
    faults
}

/// Collects the faults of one row.
struct Row<'a> {
    key: RowKey,
    faults: &'a mut Vec<Fault>,
}

impl Row<'_> {
    fn require(&mut self, holds: bool, column: &'static str, detail: &str) {
        if !holds {
            self.faults.push(Fault {
                row: self.key.clone(),
                column,
                detail: detail.to_string(),
            });
        }
    }

    fn require_name(&mut self, name: &str, column: &'static str) {
        self.require(is_name(name), column, NAME_RULE);
    }
}

const NAME_RULE: &str = "must be letters, digits or any of . _ - : @ + /, and not longer than 128";

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_alphanumeric() || "._-:@+/".contains(c);
    !name.is_empty() && name.len() <= NAME_BYTES_MAX && name.chars().all(allowed)
}

fn check_limit(row: &LimitRow, snapshot: &Snapshot, faults: &mut Vec<Fault>) {
    let mut checks = Row {
        key: RowKey::limit(&row.organisation, &row.kind),
        faults,
    };
    let rows = &snapshot.organisations;
    let known = || {
        rows.binary_search_by(|o| o.name.cmp(&row.organisation))
            .is_ok()
    };
    let organisation = row.organisation == ANY || known();
    checks.require(organisation, "organisation", "no such organisation");
    if row.kind != ANY {
        checks.require_name(&row.kind, "kind");
    }
    checks.require(row.weight > 0, "weight", "must be 1 or more");
    let priority = row.priority <= PRIORITY_MAX;
    checks.require(priority, "priority", "must be from 0 to 9");
    let rate = |value: f64| value.is_finite() && value >= 0.0;
    let rule = "must be a number, 0 (no limit) or more";
    checks.require(rate(row.requests_per_s), "requests_per_s", rule);
    checks.require(rate(row.tokens_per_s), "tokens_per_s", rule);
    let allotted = (1..=ALLOTTED_MS_MAX).contains(&row.allotted_ms);
    checks.require(allotted, "allotted_ms", "must be from 1 to 86400000");
    for model in &row.models {
        checks.require_name(model, "models");
    }
}

fn check_organisation<'a>(
    row: &'a OrganisationRow,
    holders: &mut HashMap<&'a str, &'a str>,
    faults: &mut Vec<Fault>,
) {
    let mut checks = Row {
        key: RowKey::Organisation(row.name.clone()),
        faults,
    };
    checks.require_name(&row.name, "name");
    for digest in &row.key_digests {
        let digits = digest.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        let well_formed = digits && digest.len() == DIGEST_DIGITS;
        checks.require(well_formed, "key_digests", "must be 64 digits from 0 to f");
        if let Some(other) = holders.insert(digest, &row.name) {
            let detail = format!("the key is also one of {other}");
            checks.require(false, "key_digests", &detail);
        }
    }
}

fn check_endpoint<'a>(
    row: &'a EndpointRow,
    addresses: &mut HashMap<&'a str, &'a str>,
    faults: &mut Vec<Fault>,
) {
    let mut checks = Row {
        key: RowKey::Endpoint(row.name.clone()),
        faults,
    };
    checks.require_name(&row.name, "name");
    let kind = EndpointKind::try_from(row.kind).unwrap_or(EndpointKind::Unspecified);
    let given = kind != EndpointKind::Unspecified;
    checks.require(given, "kind", "must be engine or service");
    let address = row.sidecar_address.parse::<SocketAddr>().is_ok();
    checks.require(address, "sidecar_address", "must be IP:PORT");
    if let Some(other) = addresses.insert(&row.sidecar_address, &row.name) {
        let detail = format!("is also the address of {other}");
        checks.require(false, "sidecar_address", &detail);
    }
    checks.require_name(&row.zone, "zone");
    for model in &row.models {
        checks.require_name(model, "models");
    }
    if kind == EndpointKind::Service {
        let one = row.models.len() == 1;
        checks.require(one, "models", "a service has one, its own name");
        checks.require(!row.span, "span", "is for engines only");
    }
}
