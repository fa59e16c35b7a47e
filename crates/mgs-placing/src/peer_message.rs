//! What gateways tell each other of the work that they have placed.
//!
//! A whole message carries all that its sender holds, so a lost one does no harm beyond its age. Between two of them,
//! short ones say at once what was placed since the message before; what ended waits for the next whole one. Whole
//! ones each time took four fifths of the bytes between zones of a fleet of a hundred gateways.
//! Endpoints are named by a hash, since keys are a process's own.
//!
//! It also says what the sender knows of the store and how fresh that is, so that not each gateway has to ask
//! the store often whether anything is new.

use serde::Deserialize;
use serde::Serialize;

use crate::length_counts::BandCount;
use crate::load_table::EndpointLoad;
use crate::load_table::ZoneKey;
use crate::queue_order::QueueHeads;

/// What is held at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// What the sender holds there.
    pub held: EndpointLoad,
}

/// What an endpoint reads of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillPart {
    /// All of it.
    Whole,
    /// A part, and it writes the answer.
    FirstPart,
    /// A part.
    Part,
    /// Nothing: what was to be read there was refused, or its client left.
    GivenUp,
}

/// Reading placed at one endpoint since the last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// Predicted reading, in milliseconds.
    pub read_ms: u16,
    /// What is read.
    pub reads: PrefillPart,
}

/// What the sender knows of one topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicVersion {
    /// Names what it knows: a version, or a hash.
    pub content: u64,
    /// Time since the store confirmed it, in milliseconds.
    pub age_ms: u32,
}

/// A refusal to help that the sender met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// What an endpoint that answered the sender said of how many requests it takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Thousandths of a request a second; `None` if it names no limit any more.
    pub per_s_thousandths: Option<u64>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

/// What an endpoint asks, as the sender knows it by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAt {
    /// Hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// What the endpoint said of a limit, if it answered the sender.
    pub word: Option<LimitStatement>,
    /// Requests that the sender has sent there by the limit since it started.
    pub sent: u32,
    /// Whether the endpoint said to the sender that it leaves.
    pub leaves: bool,
}

/// One message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Incarnation of the sender.
    pub from: u64,
    /// Number of the message; an older one that arrives late is dropped.
    pub sequence: u64,
    /// Whether the sender is about to leave: what it holds no longer grows.
    pub leaving: bool,
    /// Availability zone of the sender.
    pub zone: ZoneKey,
    /// Who goes first among the prompts that wait there.
    pub waiting: QueueHeads,
    /// The configuration that it knows, once the store has confirmed one.
    pub configuration: Option<TopicVersion>,
    /// The endpoints that it knows, once the store has confirmed them.
    pub endpoints: Option<TopicVersion>,
    /// How many gateways there are, as far as the sender knows.
    pub gateways: Option<u32>,
    /// How often prompts of each length were asked of it and sent by it; in whole messages only.
    pub lengths: Vec<BandCount>,
    /// Whether `held` is all that it holds, not only what it holds more since the message before.
    pub is_whole: bool,
    /// What it holds.
    pub held: Vec<LoadAt>,
    /// Reading that it placed since its last message.
    pub reads: Vec<PrefillAt>,
    /// Endpoints that have refused to help with its prompts: new ones, or all in a whole message.
    pub refusals: Vec<RefusalAt>,
    /// What the clock that gateways share shows at the sender, in milliseconds.
    pub clock_ms: u64,
    /// What endpoints ask: what is new of it, or more in a whole message.
    pub advice: Vec<AdviceAt>,
}
