//! Orders on record: `controller/endpoint/NAME`, one row for each engine that was ever ordered.

use mgs_schema::settings::EndpointRow;
use mgs_schema::wire::Order;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the rows' keys.
pub const PREFIX: &str = "controller/endpoint/";

/// Joins a model and its version in the name that requests and the table use.
const VERSION_MARK: char = '@';

/// Key of an endpoint's record.
///
/// ```
/// assert_eq!(mgs_controller::order::key("e1"), "controller/endpoint/e1");
/// ```
pub fn key(endpoint: &str) -> String {
    format!("{PREFIX}{endpoint}")
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model, adapter or version.
    Load,
    /// Unload it.
    Unload,
    /// Change the role.
    Role,
}

impl Action {
    /// Its name in messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
            Self::Role => "role",
        }
    }
}

/// The newest order of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number, the order's own.
    pub fencing: u64,
    /// What is to be done.
    pub action: Action,
    /// Model with its version, as `MODEL@VERSION`, or the role.
    pub subject: String,
    /// Whether the endpoint has answered it.
    pub settled: bool,
    /// Whether it took effect, once settled.
    pub done: bool,
}

impl OrderRecord {
    /// The message to the endpoint's sidecar.
    pub fn message(&self) -> Order {
        let (subject, subject_version) = split_version(&self.subject);
        Order {
            fencing: self.fencing,
            order_id: self.fencing.to_string(),
            action: self.action.name().to_string(),
            subject: subject.to_string(),
            subject_version: subject_version.to_string(),
        }
    }

    /// Whether a message is this order.
    pub fn is(&self, order: &Order) -> bool {
        self.message() == *order
    }
}

/// Model and version of a name; the version is empty if the name has none.
///
/// ```
/// use mgs_controller::order::split_version;
///
/// assert_eq!(split_version("llama@7"), ("llama", "7"));
/// assert_eq!(split_version("llama"), ("llama", ""));
/// ```
pub fn split_version(name: &str) -> (&str, &str) {
    name.split_once(VERSION_MARK).unwrap_or((name, ""))
}

/// What the table service keeps of an endpoint that orders have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointRecord {
    /// Models that it serves after the orders so far.
    pub models: Vec<String>,
    /// A model to load once the unload on record is settled.
    pub next: Option<String>,
    /// The newest order.
    pub order: Option<OrderRecord>,
}

impl EndpointRecord {
    /// The record of an endpoint that was never ordered.
    pub fn declared(row: &EndpointRow) -> Self {
        Self {
            models: row.models.clone(),
            ..Self::default()
        }
    }

    /// Whether an order waits for its answer.
    pub fn pending(&self) -> bool {
        self.order.as_ref().is_some_and(|order| !order.settled)
    }

    /// The record with a new order on it.
    pub fn with_order(&self, fencing: u64, action: Action, subject: &str) -> Self {
        Self {
            order: Some(OrderRecord {
                fencing,
                action,
                subject: subject.to_string(),
                settled: false,
                done: false,
            }),
            ..self.clone()
        }
    }

    /// The record with its order sent anew under another number.
    pub fn renumbered(&self, fencing: u64) -> Self {
        let mut record = self.clone();
        if let Some(order) = &mut record.order {
            order.fencing = fencing;
        }
        record
    }

    /// The record after the answer to its order.
    pub fn settled(&self, done: bool) -> Self {
        let mut record = self.clone();
        let Some(order) = &mut record.order else {
            return record;
        };
        order.settled = true;
        order.done = done;
        let subject = order.subject.clone();
        match (order.action, done) {
            (Action::Load, true) => {
                record.models.push(subject);
                record.models.sort();
                record.models.dedup();
            }
            (Action::Unload, true) => record.models.retain(|model| *model != subject),
            (Action::Unload, false) => record.next = None,
            (Action::Load, false) | (Action::Role, _) => {}
        }
        record
    }
}
