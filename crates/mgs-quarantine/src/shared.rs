//! What gateways tell each other and store, and the parts of prompts that they look at.

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::PromptPart;
use crate::record::CrashStatus;
use crate::record::PartFacts;

/// A crash as it is sent to peers and stored. It carries an age, since clocks of gateways differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedCrash {
    /// Hash of the incarnation that ended.
    pub incarnation: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
    /// Stream events that the run had produced.
    #[serde(rename = "reached")]
    pub events: u32,
    /// Whether it counts against the request.
    #[serde(rename = "bearing")]
    pub status: CrashStatus,
}

/// A record as it is sent to peers and stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedRecord {
    /// Fingerprint of the request.
    #[serde(rename = "key")]
    pub fingerprint: Fingerprint,
    /// Its crashes.
    pub crashes: Vec<SharedCrash>,
    /// Whether the request has used the trial run that it gets while it is held.
    #[serde(rename = "was_tried")]
    pub trial_taken: bool,
    /// Whether the request was repeated some time after its crashes.
    #[serde(rename = "came_again")]
    pub has_recurred: bool,
    /// The part of prompts that the record is about; `None` if it is about a request.
    pub part: Option<PartFacts>,
}

/// A part of a prompt with its key and its place in the prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedPart {
    /// Key of the part.
    pub fingerprint: Fingerprint,
    /// Which part it is.
    pub name: PromptPart,
    /// Number of parts before it.
    pub depth: u16,
}
