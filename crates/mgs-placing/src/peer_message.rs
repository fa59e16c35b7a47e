//! Messages in which gateways tell each other what work they have placed.
//!
//! A full message carries all the load that its sender has placed, so a lost message only makes the
//! receiver's view older. Between full messages, short ones carry what was placed since the message
//! before; work that has ended is left to the next full message. Sending only full messages took
//! four fifths of the bytes between zones in a fleet of a hundred gateways. Endpoints are
//! identified by a hash, since an endpoint key is valid within one process only.
//!
//! A message also states which data of the store the sender has and how fresh it is, so that not
//! every gateway has to poll the store often.

use serde::Deserialize;
use serde::Serialize;

use crate::length_counts::BandCount;
use crate::load_table::EndpointLoad;
use crate::load_table::ZoneKey;
use crate::queue_order::QueueHeads;

/// The load at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// The load that the sender has placed there.
    pub held: EndpointLoad,
}

/// How much of a prompt an endpoint prefills.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillPart {
    /// The whole prompt.
    Whole,
    /// A part, at the lead engine, which also decodes the answer.
    FirstPart,
    /// A part, at a helper.
    Part,
    /// Nothing: the prefill was refused, or the client disconnected.
    GivenUp,
}

/// Prefill placed at one endpoint since the last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// Predicted prefill, in milliseconds.
    pub read_ms: u16,
    /// How much of the prompt it covers.
    pub reads: PrefillPart,
}

/// The state of one topic of the store, as the sender has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicVersion {
    /// Identifies the content: a version or a hash.
    pub content: u64,
    /// Time since the store confirmed it, in milliseconds.
    pub age_ms: u32,
}

/// An endpoint's refusal to act as a helper for the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// Time since the refusal, in milliseconds.
    pub age_ms: u32,
}

/// An endpoint's answer to the sender on how many requests it accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Thousandths of a request per second; `None` if it states no limit any more.
    pub per_s_thousandths: Option<u64>,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// Advice that the sender has received directly from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// The limit that the endpoint stated, if it answered the sender.
    pub word: Option<LimitStatement>,
    /// Requests that the sender has sent there under the limit since it started.
    pub sent: u32,
    /// Whether the endpoint told the sender that it is leaving.
    pub leaves: bool,
}

/// One message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Incarnation of the sender.
    pub from: u64,
    /// Sequence number; a message that arrives after a newer one is dropped.
    pub sequence: u64,
    /// Whether the sender is about to leave and places no more work.
    pub leaving: bool,
    /// Availability zone of the sender.
    pub zone: ZoneKey,
    /// The best scores among the prompts that wait at the sender.
    pub waiting: QueueHeads,
    /// The sender's configuration, once the store has confirmed one.
    pub configuration: Option<TopicVersion>,
    /// The sender's list of endpoints, once the store has confirmed one.
    pub endpoints: Option<TopicVersion>,
    /// Number of gateways, as far as the sender knows it.
    pub gateways: Option<u32>,
    /// Counts of prompts received and dispatched by length; in full messages only.
    pub lengths: Vec<BandCount>,
    /// Whether this is a full message: `held` is all the sender's load, not only what it added
    /// since the message before.
    pub is_whole: bool,
    /// Load that the sender has placed.
    pub held: Vec<LoadAt>,
    /// Prefill placed since the last message.
    pub reads: Vec<PrefillAt>,
    /// Endpoints that have refused to act as helpers for the sender: new ones, or all in a full
    /// message.
    pub refusals: Vec<RefusalAt>,
    /// The sender's reading of the clock that gateways share, in milliseconds.
    pub clock_ms: u64,
    /// Advice of endpoints: what is new, or more in a full message.
    pub advice: Vec<AdviceAt>,
}
