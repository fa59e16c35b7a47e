//! The ledger of a sidecar: admission of dispatched requests, and the state that all events share.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::fault::InjectedFault;
use crate::job::Job;
use crate::job::Sender;
use crate::memory::Memory;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::rate;
use crate::rate::Rates;
use crate::record;
use crate::record::FinalState;
use crate::record::Records;
use crate::session::Sessions;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a gateway may be disconnected before its requests are cancelled, in milliseconds.
    pub gateway_lease_ms: u64,
    /// How long the record of a request is kept after its end, in milliseconds. Must be longer
    /// than the longest time budget.
    pub record_keep_ms: u64,
    /// How long a complete answer is retained for a resume, in milliseconds.
    pub answer_keep_ms: u64,
    /// Maximum size of all retained answers, in bytes; the newest is retained whatever its size.
    pub answers_max_bytes: u64,
    /// Limits of the records.
    pub records: record::Options,
    /// Maximum number of waiting requests.
    pub waiting_max: usize,
    /// Maximum number of requests at the endpoint.
    pub running_max: usize,
    /// Minimum prefill of a long prompt, in tokens that aren't cached.
    pub long_prompt_tokens: u64,
    /// Maximum sum of the prefill tokens of long prompts in progress; a longer single prompt runs
    /// without other long ones. `u64::MAX` for no limit.
    pub long_prefill_max_tokens: u64,
    /// Maximum number of starts that may bypass a request that doesn't fit into free memory.
    pub bypass_max: u32,
    /// Time before its deadline from which a request precedes the fair order of its priority
    /// level, in milliseconds.
    pub urgent_ms: u64,
    /// How long an unowned stream or KV is kept so that its owner can reconnect and adopt it, in
    /// milliseconds.
    pub adopt_ms: u64,
    /// Interval between attempts to free an allocation at the engine, in milliseconds.
    pub free_retry_ms: u64,
    /// Pause of starts after the endpoint reported that it is full, in milliseconds.
    pub full_pause_ms: u64,
    /// Initial rates, used until measured.
    pub rates: rate::Options,
    /// A fault to inject, for tests.
    pub injected_fault: InjectedFault,
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
            injected_fault: InjectedFault::None,
        }
    }
}

/// Result of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchResult {
    /// The request waits; an action follows later.
    Queued {
        /// Predicted time to the first token, in milliseconds.
        first_token_ms: u64,
    },
    /// The request is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Delay before the caller should retry, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// Result of a resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResumeResult {
    /// The answer is available, or will be once the request has run.
    Attach,
    /// The engine still runs the stream, started by an earlier incarnation of the sidecar; it is
    /// now to be read.
    Adopt {
        /// Name of the stream at the engine.
        stream: String,
        /// Attempt that the stream belongs to.
        attempt: u32,
    },
    /// The request ran, and its answer is no longer retained.
    Dropped,
    /// The request never started here.
    NeverStarted,
    /// The request is unknown.
    Unknown,
    /// The message came on a session that a newer one has closed.
    Stale,
}

/// Reasons why the endpoint takes no new work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unavailable {
    /// The process, its host or its endpoint is being taken out of service.
    pub(crate) leaving: bool,
    /// The endpoint doesn't answer.
    pub(crate) down: bool,
}

/// A request that was handed to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct InFlight {
    /// Its queue entry.
    pub(crate) waiting: Waiting,
    /// Whether the endpoint has confirmed the start.
    pub(crate) running: bool,
    /// When it was handed to the endpoint.
    pub(crate) started_ms: u64,
    /// When its first token arrived.
    pub(crate) first_token_ms: Option<u64>,
    /// Whether an outcome was reported to the reader before the endpoint finished.
    pub(crate) outcome_reported: bool,
}

impl InFlight {
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
    /// Requests handed to the endpoint that haven't ended.
    pub(crate) in_flight: BTreeMap<RequestId, InFlight>,
    pub(crate) rates: Rates,
    pub(crate) unavailable: Unavailable,
    /// Retained answers, oldest first: when the answer expires, its request, its size in bytes.
    pub(crate) answers: VecDeque<(u64, RequestId, u64)>,
    pub(crate) answers_bytes: u64,
    /// Start of the interval that the next prefill rate sample covers.
    pub(crate) prefill_sample_start_ms: u64,
    /// Moving average of the time from start to end, in milliseconds.
    pub(crate) mean_run_ms: u64,
    /// No request is started before this time.
    pub(crate) starts_paused_until_ms: u64,
    /// Boot number of the engine; 0 until the engine has answered.
    pub(crate) boot: u64,
    /// Maximum number of streams at the engine.
    pub(crate) streams_max: usize,
    pub(crate) actions: Vec<Action>,
}

impl Ledger {
    /// Creates an empty ledger.
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
            in_flight: BTreeMap::new(),
            rates: Rates::new(options.rates.clone()),
            unavailable: Unavailable::default(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            prefill_sample_start_ms: 0,
            mean_run_ms: 0,
            starts_paused_until_ms: 0,
            boot: 0,
            streams_max: usize::MAX,
            actions: Vec::new(),
            options,
        }
    }

    /// Returns the actions added since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether no request waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// Handles a message of a gateway; returns whether its session is open.
    pub fn message_received(&mut self, sender: &Sender) -> bool {
        self.sessions.message_received(sender)
    }

    /// Handles the end of a connection.
    pub fn connection_closed(&mut self, now_ms: u64, connection: u64) {
        self.sessions.connection_closed(now_ms, connection);
    }

    /// Queues a dispatched request, or refuses it.
    pub fn dispatch(&mut self, now_ms: u64, job: &Job) -> DispatchResult {
        if let Some(reason) = self.validity_refusal(job) {
            return DispatchResult::Refused {
                reason,
                retry_after_ms: 0,
            };
        }
        if let Some((reason, retry_after_ms)) = self.capacity_refusal(now_ms, job) {
            return DispatchResult::Refused {
                reason,
                retry_after_ms,
            };
        }
        let first_token_ms = self.first_token_ms(now_ms, job);
        self.records.discard(job.id);
        self.queue.push(now_ms, *job);
        self.schedule(now_ms);
        DispatchResult::Queued { first_token_ms }
    }

    /// Why this dispatch must not start the request, regardless of load: it addresses another
    /// incarnation, repeats a known attempt or comes from a closed session.
    fn validity_refusal(&mut self, job: &Job) -> Option<RefusalReason> {
        if job.sidecar_incarnation != self.incarnation {
            return Some(RefusalReason::StaleIncarnation);
        }
        let is_open = self.sessions.message_received(&job.sender);
        if self.in_flight.contains_key(&job.id) || self.queue.contains(job.id) {
            return Some(RefusalReason::Duplicate);
        }
        let refusal = self
            .records
            .final_state(job.id)
            .and_then(|final_state| final_state_refusal(final_state, job));
        let is_stale = !is_open && self.options.injected_fault != InjectedFault::DroppedTombstone;
        refusal.or(is_stale.then_some(RefusalReason::StaleSession))
    }

    /// Sets whether the endpoint is leaving. While it is, new requests are refused; setting it also
    /// refuses all waiting requests.
    pub fn set_leaving(&mut self, now_ms: u64, leaving: bool) {
        self.unavailable.leaving = leaving;
        if leaving {
            self.refuse_all_waiting(now_ms, RefusalReason::Leaving);
        }
    }

    /// Whether new work is refused because the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.unavailable.leaving
    }

    /// Whether new work is refused because the endpoint doesn't answer.
    pub fn is_down(&self) -> bool {
        self.unavailable.down
    }
}

/// Why a recorded final state keeps a dispatch from starting the request.
fn final_state_refusal(final_state: FinalState, job: &Job) -> Option<RefusalReason> {
    match final_state {
        FinalState::Ran { attempt, .. } if job.idempotent && job.attempt > attempt => None,
        FinalState::Ran { .. } => Some(RefusalReason::Duplicate),
        FinalState::NeverStarted { attempt } if job.attempt > attempt => None,
        FinalState::NeverStarted { .. } => Some(RefusalReason::Withdrawn),
    }
}
