//! Inputs and results of placing a prompt: candidate engines, placements and errors.

use mgs_fleet::view::EndpointKey;

/// An engine that may take the prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the engine.
    pub key: EndpointKey,
    /// Ratio of actual to predicted response times; 1 if as predicted.
    pub slowness: f64,
    /// Whether it is on probation after failures.
    pub on_probation: bool,
    /// Whether it accepts parts of prompts as a helper.
    pub can_help: bool,
    /// Whether it may get a request as the lead now; if not, it may still act as a helper.
    pub can_lead: bool,
    /// Whether it has just started and tolerates few requests; others are then preferred that are
    /// about as good.
    pub is_cold: bool,
}

impl Candidate {
    /// A candidate at its predicted speed that may lead and help and isn't on probation.
    ///
    /// ```
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_placing::placement::Candidate;
    ///
    /// let slow = Candidate { slowness: 2.0, ..Candidate::of(EndpointKey(7)) };
    /// assert!(slow.can_help && !slow.on_probation);
    /// ```
    pub fn of(key: EndpointKey) -> Self {
        Self {
            key,
            slowness: 1.0,
            on_probation: false,
            can_help: true,
            can_lead: true,
            is_cold: false,
        }
    }
}

/// Memory to be reserved on one engine before the prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Memory to reserve, in tokens.
    pub tokens: u64,
}

/// The state of the engines when a prompt was placed, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Candidate engines.
    pub engines: usize,
    /// Engines that decode short streams.
    pub with_short_streams: usize,
    /// Engines that decode other streams and no short ones.
    pub with_other_streams: usize,
    /// Engines that short streams don't need, which long prompts may use.
    pub engines_for_long: usize,
    /// Engines without any prefill left.
    pub without_prefill: usize,
    /// Engines that prefill parts of late prompts.
    pub late_engines: usize,
    /// Sum of the backlogs of all engines, in milliseconds.
    pub backlog_ms: u64,
    /// Share of all engines' slots that is taken, in thousandths.
    pub slots_taken_permille: u32,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The lead engine: it gets the request and decodes its answer.
    pub lead: EndpointKey,
    /// Engines that prefill parts, without the lead.
    pub helpers: Vec<EndpointKey>,
    /// Memory to reserve on helpers, in the order in which the prompt fills it; empty for a prompt
    /// that fits the lead.
    pub reservations: Vec<MemoryReservation>,
    /// Predicted prefill at each engine, in milliseconds.
    pub prefill_ms: f64,
    /// Longest backlog of its engines, in milliseconds.
    pub backlog_ms: f64,
    /// Time to wait before sending, in milliseconds, while the engines finish earlier work.
    pub hold_ms: f64,
    /// Predicted time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Expected loss of worth, in units.
    pub loss_units: f64,
    /// Part of the loss that falls on other streams on its engines, in units.
    pub harm_units: f64,
    /// Whether a long prompt misses its first-token target with any placement; it is then placed to
    /// do the least harm.
    pub is_late: bool,
    /// The state of the engines at the decision.
    pub snapshot: FleetSnapshot,
}

/// Why a prompt has no placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementError {
    /// No engine may take it.
    NoEndpoint,
    /// All engines together don't have enough memory for it.
    TooLarge,
    /// It would end after its deadline or after its client disconnects.
    TooLate {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
    },
    /// All slots or all memory are taken.
    Full {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
        /// The missing resource.
        shortage: Shortage,
    },
}

/// The resource that the engines lack for a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// A slot to decode its answer.
    Slot,
    /// Memory on the engines that it may use together.
    Memory {
        /// Tokens that it needs.
        needed_tokens: u64,
        /// Most engines that it may use.
        engines_max: usize,
    },
}
