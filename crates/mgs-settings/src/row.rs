//! Names and values of the table's rows.

use std::fmt;

use mgs_schema::settings::change::Change as Kind;
use mgs_schema::settings::Change;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;

use crate::sheet::cell;
use crate::sheet::Sheet;

/// Stands for any organisation or kind without a row of its own.
pub const ANY: &str = "*";

/// Name of one row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// A row of limits.
    Limit {
        /// Organisation, or [`ANY`].
        organisation: String,
        /// Kind of request, or [`ANY`].
        kind: String,
    },
    /// An organisation.
    Organisation(String),
    /// An endpoint.
    Endpoint(String),
}

impl RowKey {
    /// Name of the row of limits of an organisation and a kind.
    ///
    /// ```
    /// use mgs_settings::row::RowKey;
    ///
    /// assert_eq!(RowKey::limit("org-1", "chat").to_string(), "limit org-1/chat");
    /// ```
    pub fn limit(organisation: &str, kind: &str) -> Self {
        Self::Limit {
            organisation: organisation.to_string(),
            kind: kind.to_string(),
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit { organisation, kind } => write!(f, "limit {organisation}/{kind}"),
            Self::Organisation(name) => write!(f, "organisation {name}"),
            Self::Endpoint(name) => write!(f, "endpoint {name}"),
        }
    }
}

/// Value of one row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowValue {
    /// A row of limits.
    Limit(LimitRow),
    /// An organisation.
    Organisation(OrganisationRow),
    /// An endpoint.
    Endpoint(EndpointRow),
}

impl RowValue {
    /// Name of the row.
    pub fn key(&self) -> RowKey {
        match self {
            Self::Limit(row) => RowKey::limit(&row.organisation, &row.kind),
            Self::Organisation(row) => RowKey::Organisation(row.name.clone()),
            Self::Endpoint(row) => RowKey::Endpoint(row.name.clone()),
        }
    }

    /// Version of the table at which the row was last changed.
    pub fn version(&self) -> u64 {
        match self {
            Self::Limit(row) => row.version,
            Self::Organisation(row) => row.version,
            Self::Endpoint(row) => row.version,
        }
    }

    /// The same value as of another version of the table.
    pub fn at_version(mut self, version: u64) -> Self {
        match &mut self {
            Self::Limit(row) => row.version = version,
            Self::Organisation(row) => row.version = version,
            Self::Endpoint(row) => row.version = version,
        }
        self
    }

    /// The change that sets the row to this value.
    pub fn set(self) -> Change {
        let kind = match self {
            Self::Limit(row) => Kind::SetLimit(row),
            Self::Organisation(row) => Kind::SetOrganisation(row),
            Self::Endpoint(row) => Kind::SetEndpoint(row),
        };
        Change { change: Some(kind) }
    }
}

impl fmt::Display for RowValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = Sheet::of(&self.key()).columns();
        for (index, column) in columns.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            let text = cell::text(self, column);
            match text.contains(' ') || text.is_empty() {
                true => write!(f, "{space}{column}={text:?}")?,
                false => write!(f, "{space}{column}={text}")?,
            }
        }
        Ok(())
    }
}

/// The change that removes a row.
///
/// ```
/// use mgs_settings::row;
/// use mgs_settings::row::RowKey;
///
/// let change = row::remove(&RowKey::Endpoint("engine-1".to_string()));
/// assert!(row::change_value(&change).is_none());
/// ```
pub fn remove(key: &RowKey) -> Change {
    let kind = match key {
        RowKey::Limit { organisation, kind } => Kind::RemoveLimit(LimitRow {
            organisation: organisation.clone(),
            kind: kind.clone(),
            ..LimitRow::default()
        }),
        RowKey::Organisation(name) => Kind::RemoveOrganisation(name.clone()),
        RowKey::Endpoint(name) => Kind::RemoveEndpoint(name.clone()),
    };
    Change { change: Some(kind) }
}

/// Name of the row that a change is about; `None` for a change without content.
pub fn change_key(change: &Change) -> Option<RowKey> {
    let key = match change.change.as_ref()? {
        Kind::SetLimit(row) | Kind::RemoveLimit(row) => RowKey::limit(&row.organisation, &row.kind),
        Kind::SetOrganisation(row) => RowKey::Organisation(row.name.clone()),
        Kind::RemoveOrganisation(name) => RowKey::Organisation(name.clone()),
        Kind::SetEndpoint(row) => RowKey::Endpoint(row.name.clone()),
        Kind::RemoveEndpoint(name) => RowKey::Endpoint(name.clone()),
    };
    Some(key)
}

/// Value that a change gives its row; `None` if it removes the row.
pub fn change_value(change: &Change) -> Option<RowValue> {
    match change.change.as_ref()? {
        Kind::SetLimit(row) => Some(RowValue::Limit(row.clone())),
        Kind::SetOrganisation(row) => Some(RowValue::Organisation(row.clone())),
        Kind::SetEndpoint(row) => Some(RowValue::Endpoint(row.clone())),
        Kind::RemoveLimit(_) | Kind::RemoveOrganisation(_) | Kind::RemoveEndpoint(_) => None,
    }
}
