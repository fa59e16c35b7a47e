//! Messages of the engines' protocol, as JSON carries them.

use serde::Deserialize;
use serde::Serialize;

/// How long an engine keeps the answer of a finished stream for a resume, in milliseconds.
pub const KEEP_FINISHED_MS: u64 = 30_000;

/// Starts a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Identifier chosen by the caller; a known one is answered 409.
    pub stream: String,
    /// Model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer.
    pub max_tokens: u64,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Imported KV that stands for a part of the prompt; empty for none.
    #[serde(default)]
    pub kv: Vec<String>,
}

/// One line of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A piece of the answer.
    Token {
        /// Sequence number, from 0.
        seq: u64,
        /// Text.
        text: String,
        /// Tokens in the text.
        tokens: u32,
    },
    /// The end of the answer.
    End {
        /// Count of token events.
        frames: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
        /// Tokens generated.
        generated_tokens: u64,
        /// `stop`, `length` or `cancelled`.
        finish_reason: String,
    },
}

/// A stream in an engine's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamInfo {
    /// Identifier.
    pub stream: String,
    /// Whether it has ended.
    pub finished: bool,
    /// Engine memory that it holds.
    pub kv_tokens: u64,
}

/// Exports the KV of a prompt's prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Identifier chosen by the caller; repeating an export with the same one is harmless.
    pub kv: String,
    /// Model.
    pub model: String,
    /// Text whose KV is wanted; the engine processes what it hasn't cached.
    pub text: String,
    /// Priority; 0 is served first.
    #[serde(default)]
    pub priority: u32,
}

/// KV held by an engine outside a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Identifier.
    pub kv: String,
    /// Memory that it takes.
    pub kv_tokens: u64,
}

/// An engine's load, as it was a while ago.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Streams that run.
    pub running: u32,
    /// Streams that wait inside the engine.
    pub waiting: u32,
    /// Memory in use.
    pub kv_used_tokens: u64,
    /// Prompt tokens not yet processed.
    pub prefill_waiting_tokens: u64,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a gap.
    pub number: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub cached: bool,
}

/// A batch of cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fencing: u64,
    /// `load`, `unload` or `role`.
    pub action: String,
    /// Model, adapter or role.
    pub subject: String,
    /// Version of the model or adapter.
    pub subject_version: String,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Info {
    /// Random at each start of the engine.
    pub boot: u64,
    /// Models that it can serve now.
    pub models: Vec<String>,
    /// Memory in all.
    pub kv_capacity_tokens: u64,
    /// Most streams at once.
    pub streams_max: u32,
    /// Highest fencing number it has obeyed; 0 if none or not kept.
    pub fencing: u64,
    /// Role.
    pub role: String,
}
