//! Settings of the engine's stand-in: its cost model and its faults.

use std::time::Duration;

const MS_PER_S: f64 = 1_000.0;

/// Settings of the engine's stand-in. Model times are divided by `time_scale`.
///
/// A step of the engine takes `P / prefill_tokens_per_s` for the P prompt tokens processed in it,
/// at most `prefill_chunk_tokens`, and, if D streams decode, `decode_step_ms` and D times
/// `decode_stream_ms` more; each decoding stream gets one token from it. So a long prefill slows
/// the tokens of others by one chunk a step, and a short prompt of higher priority passes it
/// between two chunks.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where to listen, `IP:PORT`; port 0 takes a free one.
    pub listen: String,
    /// Models served from the start.
    pub models: Vec<String>,
    /// Role at the start.
    pub role: String,
    /// Memory in all.
    pub kv_capacity_tokens: u64,
    /// Most streams in a batch.
    pub streams_max: u32,
    /// Most streams that wait inside the engine.
    pub waiting_max: u32,
    /// Prompt tokens processed in a second.
    pub prefill_tokens_per_s: f64,
    /// Most prompt tokens processed in a step.
    pub prefill_chunk_tokens: u64,
    /// Time of a decode step for any batch, in milliseconds.
    pub decode_step_ms: f64,
    /// Time that each stream adds to a decode step, in milliseconds.
    pub decode_stream_ms: f64,
    /// KV tokens imported in a second.
    pub kv_import_tokens_per_s: f64,
    /// Tokens of imported KV that take the room of one token here; 1 is a whole copy.
    pub kv_import_ratio: u64,
    /// Time to load a model, in milliseconds.
    pub load_model_ms: u64,
    /// How much faster than its model the engine runs.
    pub time_scale: f64,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Every Nth cache event is lost; 0 for none.
    pub cache_event_lose_every: u64,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// How long a finished stream is kept, in milliseconds of real time.
    pub keep_finished_ms: u64,
    /// How much of each prompt the list of executions keeps, in bytes.
    pub prompt_kept_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_string(),
            models: vec!["model-a".to_string()],
            role: "serve".to_string(),
            kv_capacity_tokens: 400_000,
            streams_max: 256,
            waiting_max: 64,
            prefill_tokens_per_s: 20_000.0,
            prefill_chunk_tokens: 512,
            decode_step_ms: 12.0,
            decode_stream_ms: 0.05,
            kv_import_tokens_per_s: 400_000.0,
            kv_import_ratio: 1,
            load_model_ms: 0,
            time_scale: 1.0,
            load_lag_ms: 500,
            cache_event_delay_ms: 200,
            cache_event_lose_every: 0,
            check_fencing: true,
            keep_finished_ms: mgs_engine::message::KEEP_FINISHED_MS,
            prompt_kept_bytes: 4_096,
        }
    }
}

impl Options {
    /// The real time that a model time takes.
    pub(super) fn scaled(&self, model_ms: f64) -> Duration {
        Duration::from_secs_f64(model_ms / self.time_scale / MS_PER_S)
    }

    /// The time of a step.
    pub(super) fn step(&self, prefill_tokens: u64, decoding: usize) -> Duration {
        let mut model_ms = prefill_tokens as f64 / self.prefill_tokens_per_s * MS_PER_S;
        if decoding > 0 {
            model_ms += self.decode_step_ms + self.decode_stream_ms * decoding as f64;
        }
        self.scaled(model_ms)
    }

    /// The time of an import.
    pub(super) fn import(&self, kv_tokens: u64) -> Duration {
        self.scaled(kv_tokens as f64 / self.kv_import_tokens_per_s * MS_PER_S)
    }
}
