//! One version of the table, with the indexes that look-ups need.

use std::cmp::Ordering;
use std::collections::HashMap;

use displaydoc::Display;
use mgs_schema::settings::change::Change as Kind;
use mgs_schema::settings::Change;
use mgs_schema::settings::Edit;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::row::RowKey;
use crate::row::RowValue;
use crate::row::ANY;

const INDEX_BYTES: usize = 8;

/// Why an edit doesn't follow on a table.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// edit {edit} doesn't follow on version {table}
    Gap {
        /// Version of the table.
        table: u64,
        /// Version of the edit.
        edit: u64,
    },
}

impl std::error::Error for Error {}

/// One version of the table; immutable.
///
/// ```
/// use mgs_schema::settings::LimitRow;
/// use mgs_schema::settings::Snapshot;
/// use mgs_settings::table::Table;
///
/// let row = LimitRow { organisation: "*".into(), kind: "*".into(), ..LimitRow::default() };
/// let table = Table::new(Snapshot { version: 3, limits: vec![row], ..Snapshot::default() });
/// assert_eq!(table.version(), 3);
/// assert!(table.limit("org-1", "chat").is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Table {
    snapshot: Snapshot,
    limits: HashMap<String, HashMap<String, usize>>,
    digests: HashMap<[u8; INDEX_BYTES], Vec<KeyEntry>>,
}

#[derive(Debug, Clone)]
struct KeyEntry {
    digest: Vec<u8>,
    organisation: usize,
}

impl Table {
    /// Indexes a snapshot.
    pub fn new(mut snapshot: Snapshot) -> Self {
        sort(&mut snapshot);
        let limits = index_limits(&snapshot);
        let digests = index_digests(&snapshot);
        Self {
            snapshot,
            limits,
            digests,
        }
    }

    /// The rows.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Version of the table.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// The table after some edits, which must follow on this one without a gap.
    pub fn after(&self, edits: &[Edit]) -> Result<Self, Error> {
        let mut snapshot = self.snapshot.clone();
        for edit in edits {
            apply_edit(&mut snapshot, edit)?;
        }
        Ok(Self::new(snapshot))
    }

    /// The row of limits that holds for an organisation and a kind of request: its own, else the
    /// organisation's for any kind, else any organisation's for the kind, else the one for all.
    pub fn limit(&self, organisation: &str, kind: &str) -> Option<&LimitRow> {
        let find = |organisation: &str, kind: &str| {
            let index = self.limits.get(organisation)?.get(kind)?;
            self.snapshot.limits.get(*index)
        };
        find(organisation, kind)
            .or_else(|| find(organisation, ANY))
            .or_else(|| find(ANY, kind))
            .or_else(|| find(ANY, ANY))
    }

    /// The organisation that holds a bearer key.
    ///
    /// The first bytes of the digest choose the candidates, and the whole digest is compared in
    /// constant time. The time of the index tells at most something of the digest of the key that
    /// was presented, and neither a digest nor a part of it leads back to a random key.
    pub fn organisation_of(&self, bearer_key: &str) -> Option<&OrganisationRow> {
        let digest = Sha256::digest(bearer_key.as_bytes());
        let entries = self.digests.get(&index_of(&digest)?)?;
        let mut found = None;
        for entry in entries {
            if bool::from(entry.digest.as_slice().ct_eq(digest.as_slice())) {
                found = Some(entry.organisation);
            }
        }
        self.snapshot.organisations.get(found?)
    }

    /// The organisation of a name.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationRow> {
        let rows = &self.snapshot.organisations;
        let index = rows.binary_search_by(|row| row.name.as_str().cmp(name));
        rows.get(index.ok()?)
    }

    /// The endpoint of a name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointRow> {
        let rows = &self.snapshot.endpoints;
        let index = rows.binary_search_by(|row| row.name.as_str().cmp(name));
        rows.get(index.ok()?)
    }

    /// Endpoints of a kind that operators want to run, by name.
    pub fn started(&self, kind: EndpointKind) -> impl Iterator<Item = &EndpointRow> {
        let rows = self.snapshot.endpoints.iter();
        rows.filter(move |row| row.started && row.kind() == kind)
    }

    /// The value of a row, if the table has it.
    pub fn row(&self, key: &RowKey) -> Option<RowValue> {
        match key {
            RowKey::Limit { organisation, kind } => {
                let index = self.limits.get(organisation)?.get(kind)?;
                self.snapshot
                    .limits
                    .get(*index)
                    .cloned()
                    .map(RowValue::Limit)
            }
            RowKey::Organisation(name) => {
                self.organisation(name).cloned().map(RowValue::Organisation)
            }
            RowKey::Endpoint(name) => self.endpoint(name).cloned().map(RowValue::Endpoint),
        }
    }

    /// All rows: limits, organisations, endpoints.
    pub fn rows(&self) -> Vec<RowValue> {
        let limits = self.snapshot.limits.iter().cloned().map(RowValue::Limit);
        let organisations = self.snapshot.organisations.iter().cloned();
        let endpoints = self.snapshot.endpoints.iter().cloned();
        limits
            .chain(organisations.map(RowValue::Organisation))
            .chain(endpoints.map(RowValue::Endpoint))
            .collect()
    }
}

/// SHA-256 of a bearer key in lower-case hexadecimal, as the table keeps it.
///
/// ```
/// let digest = mgs_settings::table::key_digest("abc");
/// assert!(digest.starts_with("ba7816bf"));
/// ```
pub fn key_digest(bearer_key: &str) -> String {
    let digest = Sha256::digest(bearer_key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Applies an edit, which must be the next one; its rows take its version.
pub fn apply_edit(snapshot: &mut Snapshot, edit: &Edit) -> Result<(), Error> {
    if edit.version != snapshot.version + 1 {
        return Err(Error::Gap {
            table: snapshot.version,
            edit: edit.version,
        });
    }
    for change in &edit.changes {
        apply_change(snapshot, change, edit.version);
    }
    snapshot.version = edit.version;
    Ok(())
}

/// Applies one change; the row takes the version given. The rows must be sorted.
pub fn apply_change(snapshot: &mut Snapshot, change: &Change, version: u64) {
    let Some(kind) = change.change.clone() else {
        return;
    };
    match kind {
        Kind::SetLimit(row) => {
            let row = LimitRow { version, ..row };
            put(&mut snapshot.limits, row, limit_order);
        }
        Kind::RemoveLimit(row) => remove(&mut snapshot.limits, |r| limit_order(r, &row)),
        Kind::SetOrganisation(row) => {
            let row = OrganisationRow { version, ..row };
            put(&mut snapshot.organisations, row, organisation_order);
        }
        Kind::RemoveOrganisation(name) => {
            remove(&mut snapshot.organisations, |row| row.name.cmp(&name));
        }
        Kind::SetEndpoint(row) => {
            let row = EndpointRow { version, ..row };
            put(&mut snapshot.endpoints, row, endpoint_order);
        }
        Kind::RemoveEndpoint(name) => remove(&mut snapshot.endpoints, |row| row.name.cmp(&name)),
    }
}

fn limit_order(a: &LimitRow, b: &LimitRow) -> Ordering {
    (&a.organisation, &a.kind).cmp(&(&b.organisation, &b.kind))
}

fn organisation_order(a: &OrganisationRow, b: &OrganisationRow) -> Ordering {
    a.name.cmp(&b.name)
}

fn endpoint_order(a: &EndpointRow, b: &EndpointRow) -> Ordering {
    a.name.cmp(&b.name)
}

fn put<R>(rows: &mut Vec<R>, row: R, order: fn(&R, &R) -> Ordering) {
    match rows.binary_search_by(|other| order(other, &row)) {
        Ok(index) => rows[index] = row,
        Err(index) => rows.insert(index, row),
    }
}

fn remove<R>(rows: &mut Vec<R>, order: impl Fn(&R) -> Ordering) {
    if let Ok(index) = rows.binary_search_by(order) {
        rows.remove(index);
    }
}

fn sort(snapshot: &mut Snapshot) {
    snapshot.limits.sort_by(limit_order);
    snapshot.organisations.sort_by(organisation_order);
    snapshot.endpoints.sort_by(endpoint_order);
}

fn index_limits(snapshot: &Snapshot) -> HashMap<String, HashMap<String, usize>> {
    let mut limits: HashMap<String, HashMap<String, usize>> = HashMap::new();
    for (index, row) in snapshot.limits.iter().enumerate() {
        let kinds = limits.entry(row.organisation.clone()).or_default();
        kinds.insert(row.kind.clone(), index);
    }
    limits
}

fn index_digests(snapshot: &Snapshot) -> HashMap<[u8; INDEX_BYTES], Vec<KeyEntry>> {
    let mut digests: HashMap<[u8; INDEX_BYTES], Vec<KeyEntry>> = HashMap::new();
    for (organisation, row) in snapshot.organisations.iter().enumerate() {
        for digest in row.key_digests.iter().filter_map(|text| from_hex(text)) {
            let Some(index) = index_of(&digest) else {
                continue;
            };
            let entry = KeyEntry {
                digest,
                organisation,
            };
            digests.entry(index).or_default().push(entry);
        }
    }
    digests
}

fn index_of(digest: &[u8]) -> Option<[u8; INDEX_BYTES]> {
    digest.get(..INDEX_BYTES)?.try_into().ok()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).and_then(|digit| u8::try_from(digit).ok()))
        .collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    Some(
        digits
            .chunks_exact(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}
