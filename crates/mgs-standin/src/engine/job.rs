//! One piece of an engine's work: a stream, or an export of KV.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mgs_engine::message::KvExport;
use mgs_engine::message::Start;
use mgs_schema::prefix;

use super::journal::Execution;
use super::journal::ExecutionKey;
use super::memory::Hold;
use super::progress::Progress;
use super::text;

/// A finished stream whose end nobody has read is kept for this many times as long.
const KEEP_UNREAD_FACTOR: u32 = 10;

/// The place of a job in the order of arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobKey(u64);

impl JobKey {
    /// The place after this one.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What a job is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// A stream.
    Stream,
    /// An export of KV.
    Export,
}

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has no memory yet.
    Waiting,
    /// Its prompt is being processed.
    Prefill {
        /// Prompt tokens not yet processed.
        left_tokens: u64,
    },
    /// Its answer is being generated.
    Decode,
    /// It has ended.
    Finished,
}

/// One job.
#[derive(Debug)]
pub(super) struct Job {
    /// Identifier of the stream or of the KV.
    pub(super) id: String,
    /// What it is for.
    pub(super) kind: Kind,
    /// Priority; 0 is served first.
    pub(super) priority: u32,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Tokens of the answer.
    pub(super) max_tokens: u64,
    /// Memory that it needs.
    pub(super) total_tokens: u64,
    /// Chained hashes of the prompt's blocks; none if imported KV stands for a part.
    pub(super) blocks: Vec<u64>,
    /// How far it is.
    pub(super) phase: Phase,
    /// What it holds.
    pub(super) hold: Hold,
    /// When it ended.
    pub(super) finished: Option<Instant>,
    /// Its run, while it runs.
    pub(super) execution: Option<ExecutionKey>,
    /// What its readers see.
    pub(super) progress: Arc<Progress>,
    covered_tokens: u64,
    accepted: Instant,
    prompt_kept: String,
}

impl Job {
    /// A stream; `covered_tokens` of its prompt are held as imported KV.
    pub(super) fn stream(start: Start, covered_tokens: u64, prompt_kept_bytes: usize) -> Self {
        let blocks = match covered_tokens {
            0 => prefix::block_hashes(start.prompt.as_bytes(), usize::MAX),
            _ => Vec::new(),
        };
        let prompt_tokens = prefix::tokens(start.prompt.len());
        let own_tokens = prompt_tokens.saturating_sub(covered_tokens);
        let hash = text::prompt_hash(&start.prompt);
        Self {
            id: start.stream,
            kind: Kind::Stream,
            priority: start.priority,
            prompt_tokens,
            max_tokens: start.max_tokens,
            total_tokens: own_tokens.saturating_add(start.max_tokens),
            blocks,
            phase: Phase::Waiting,
            hold: Hold::default(),
            finished: None,
            execution: None,
            progress: Arc::new(Progress::new(hash, prompt_tokens)),
            covered_tokens,
            accepted: Instant::now(),
            prompt_kept: head(start.prompt, prompt_kept_bytes),
        }
    }

    /// An export.
    pub(super) fn export(export: &KvExport) -> Self {
        let start = Start {
            stream: export.kv.clone(),
            prompt: export.text.clone(),
            priority: export.priority,
            ..Start::default()
        };
        Self {
            kind: Kind::Export,
            ..Self::stream(start, 0, 0)
        }
    }

    /// Begins the prefill of what isn't cached; the last token is always processed.
    pub(super) fn begin(&mut self, hold: Hold) {
        let known_tokens = hold.cached_tokens() + self.covered_tokens;
        let left_tokens = self.prompt_tokens.saturating_sub(known_tokens).max(1);
        self.phase = Phase::Prefill { left_tokens };
        self.hold = hold;
    }

    /// Prompt tokens not yet processed.
    pub(super) fn prefill_left_tokens(&self) -> u64 {
        match self.phase {
            Phase::Waiting => self.prompt_tokens.saturating_sub(self.covered_tokens),
            Phase::Prefill { left_tokens } => left_tokens,
            Phase::Decode | Phase::Finished => 0,
        }
    }

    /// The entry for the list of runs.
    pub(super) fn new_execution(&self) -> Execution {
        Execution {
            stream: self.id.clone(),
            prompt: self.prompt_kept.clone(),
            prompt_hash: self.progress.prompt_hash,
            accepted: self.accepted,
            started: Instant::now(),
            ended: None,
            end: None,
        }
    }

    /// Whether it ended long enough ago.
    pub(super) fn is_forgettable(&self, now: Instant, keep: Duration) -> bool {
        let Some(finished) = self.finished else {
            return false;
        };
        let keep = match self.progress.seen().end_read {
            true => keep,
            false => keep * KEEP_UNREAD_FACTOR,
        };
        now.saturating_duration_since(finished) >= keep
    }
}

/// The beginning of a prompt, cut at a character's border.
fn head(mut prompt: String, bytes: usize) -> String {
    let mut end = prompt.len().min(bytes);
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    prompt.truncate(end);
    prompt.shrink_to_fit();
    prompt
}
