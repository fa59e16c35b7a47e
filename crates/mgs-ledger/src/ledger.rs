//! The decisions of a sidecar on the messages of gateways.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::job::Job;
use crate::job::Sender;
use crate::memory::Memory;
use crate::plant::Plant;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::rate;
use crate::rate::Rates;
use crate::record;
use crate::record::Fate;
use crate::record::Records;
use crate::session::Sessions;

/// Settings of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a gateway may be gone before its requests are cancelled, in milliseconds.
    pub gateway_lease_ms: u64,
    /// How long the record of a request is kept after its end, in milliseconds; longer than the
    /// longest allotted time.
    pub record_keep_ms: u64,
    /// How long an answer is kept for a resume after its end, in milliseconds.
    pub answer_keep_ms: u64,
    /// Bytes of ended answers that are kept.
    pub answers_max_bytes: u64,
    /// Bounds of the records.
    pub records: record::Options,
    /// Most requests that wait.
    pub waiting_max: usize,
    /// Most requests that run.
    pub running_max: usize,
    /// Prompts of this length or more count as long.
    pub long_prompt_tokens: u64,
    /// Most tokens of long prompts that are processed at the same time; a single longer one runs
    /// alone. `u64::MAX` for no cap.
    pub long_prefill_max_tokens: u64,
    /// Most later starts that go past a request that doesn't fit into the memory left.
    pub bypass_max: u32,
    /// How close to its deadline a request goes ahead of the fair order of its level, in
    /// milliseconds.
    pub urgent_ms: u64,
    /// How long a stream or KV that nobody owns is left for its owner to come back, in
    /// milliseconds.
    pub adopt_ms: u64,
    /// Time between attempts to free memory at the engine, in milliseconds.
    pub free_retry_ms: u64,
    /// How long no start is tried after the engine said that it is full, in milliseconds.
    pub full_pause_ms: u64,
    /// Rates taken for granted until measured.
    pub rates: rate::Options,
    /// A deliberate fault, for tests.
    pub plant: Plant,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            gateway_lease_ms: 10_000,
            record_keep_ms: 3_600_000,
            answer_keep_ms: 60_000,
            answers_max_bytes: 64 << 20,
            records: record::Options::default(),
            waiting_max: 256,
            running_max: 64,
            long_prompt_tokens: 32_768,
            long_prefill_max_tokens: 262_144,
            bypass_max: 16,
            urgent_ms: 250,
            adopt_ms: 10_000,
            free_retry_ms: 500,
            full_pause_ms: 50,
            rates: rate::Options::default(),
            plant: Plant::None,
        }
    }
}

/// Answer to a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits; an action will follow.
    Queued {
        /// Predicted time to the first token, in milliseconds.
        first_token_ms: u64,
    },
    /// It is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// Answer to a resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resumed {
    /// The answer, or its beginning, is here.
    Attach,
    /// The stream of an earlier incarnation goes on at the engine; read it.
    Adopt {
        /// Its name.
        stream: String,
        /// The attempt that it belongs to.
        attempt: u32,
    },
    /// The request ran, and its answer is no longer kept.
    Dropped,
    /// The request never started here.
    NeverStarted,
    /// Nothing is known of the request.
    Unknown,
    /// The message came on a session that a newer one has closed.
    Stale,
}

/// Why the endpoint takes no new work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Closed {
    /// The process, its host or its endpoint is leaving.
    pub(crate) leaving: bool,
    /// The endpoint doesn't answer.
    pub(crate) down: bool,
}

/// A request that was handed to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Live {
    /// As it waited.
    pub(crate) waiting: Waiting,
    /// Whether the endpoint is known to have started it.
    pub(crate) running: bool,
    /// When it was handed over.
    pub(crate) started_ms: u64,
    /// When its first token came.
    pub(crate) first_token_ms: Option<u64>,
    /// Whether its reader was told an end before the endpoint was done.
    pub(crate) told: bool,
}

impl Live {
    pub(crate) fn job(&self) -> &Job {
        &self.waiting.job
    }
}

/// The ledger of one sidecar incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) sessions: Sessions,
    pub(crate) records: Records,
    pub(crate) memory: Memory,
    pub(crate) queue: Queue,
    pub(crate) live: BTreeMap<RequestId, Live>,
    pub(crate) rates: Rates,
    pub(crate) closed: Closed,
    /// Ended requests whose answer is kept: when it is dropped, whose, bytes; oldest first.
    pub(crate) answers: VecDeque<(u64, RequestId, u64)>,
    pub(crate) answers_bytes: u64,
    /// Since when prompt processing has had no sample taken.
    pub(crate) prefill_from_ms: u64,
    /// Mean time from start to end, in milliseconds.
    pub(crate) mean_run_ms: u64,
    /// No start before this time.
    pub(crate) full_until_ms: u64,
    /// Boot number of the engine.
    pub(crate) boot: u64,
    /// Most streams that the engine takes.
    pub(crate) streams_max: usize,
    pub(crate) actions: Vec<Action>,
}

impl Ledger {
    /// An empty ledger.
    ///
    /// ```
    /// use mgs_ledger::ledger::Ledger;
    /// use mgs_ledger::ledger::Options;
    ///
    /// let ledger = Ledger::new(1, Options { waiting_max: 8, ..Options::default() });
    /// assert!(ledger.is_idle());
    /// ```
    pub fn new(incarnation: u64, options: Options) -> Self {
        Self {
            incarnation,
            sessions: Sessions::default(),
            records: Records::new(options.records.clone()),
            memory: Memory::default(),
            queue: Queue::default(),
            live: BTreeMap::new(),
            rates: Rates::new(options.rates.clone()),
            closed: Closed::default(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            prefill_from_ms: 0,
            mean_run_ms: 0,
            full_until_ms: 0,
            boot: 0,
            streams_max: usize::MAX,
            actions: Vec::new(),
            options,
        }
    }

    /// What is to be done since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.live.is_empty()
    }

    /// A message of a gateway came; returns whether its session is open.
    pub fn heard(&mut self, sender: &Sender) -> bool {
        self.sessions.heard(sender)
    }

    /// A connection has ended.
    pub fn connection_closed(&mut self, now_ms: u64, connection: u64) {
        self.sessions.closed(now_ms, connection);
    }

    /// Takes a dispatched request, or refuses it.
    pub fn dispatch(&mut self, now_ms: u64, job: &Job) -> Verdict {
        if let Some(reason) = self.identity_refusal(job) {
            return Verdict::Refused {
                reason,
                retry_after_ms: 0,
            };
        }
        if let Some((reason, retry_after_ms)) = self.room_refusal(now_ms, job) {
            return Verdict::Refused {
                reason,
                retry_after_ms,
            };
        }
        let first_token_ms = self.first_token_ms(now_ms, job);
        self.records.forget(job.id);
        self.queue.push(now_ms, *job);
        self.schedule(now_ms);
        Verdict::Queued { first_token_ms }
    }

    /// Why this message may not start the request, whatever the load.
    fn identity_refusal(&mut self, job: &Job) -> Option<RefusalReason> {
        if job.sidecar_incarnation != self.incarnation {
            return Some(RefusalReason::StaleIncarnation);
        }
        let is_open = self.sessions.heard(&job.sender);
        if self.live.contains_key(&job.id) || self.queue.contains(job.id) {
            return Some(RefusalReason::Duplicate);
        }
        let refusal = self
            .records
            .fate(job.id)
            .and_then(|fate| fate_refusal(fate, job));
        let is_stale = !is_open && self.options.plant != Plant::DroppedTombstone;
        refusal.or(is_stale.then_some(RefusalReason::StaleSession))
    }

    /// Refuses new work from now on, and what waits; or takes work again.
    pub fn set_leaving(&mut self, now_ms: u64, leaving: bool) {
        self.closed.leaving = leaving;
        if leaving {
            self.refuse_all_waiting(now_ms, RefusalReason::Leaving);
        }
    }

    /// Whether new work is refused because the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.closed.leaving
    }

    /// Whether new work is refused because the endpoint doesn't answer.
    pub fn is_down(&self) -> bool {
        self.closed.down
    }
}

/// Why what became of a request keeps this message from starting it.
fn fate_refusal(fate: Fate, job: &Job) -> Option<RefusalReason> {
    match fate {
        Fate::Ran { attempt, .. } if job.idempotent && job.attempt > attempt => None,
        Fate::Ran { .. } => Some(RefusalReason::Duplicate),
        Fate::NeverStarted { attempt } if job.attempt > attempt => None,
        Fate::NeverStarted { .. } => Some(RefusalReason::Withdrawn),
    }
}
