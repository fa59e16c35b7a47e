//! Ways to place a prompt: what may take it, and where it goes.

use mgs_fleet::view::EndpointKey;

/// An engine that may take the prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its key.
    pub key: EndpointKey,
    /// By what factor its answers come later than predicted; 1 if as predicted.
    pub slowness: f64,
    /// Whether it is on trial after failures.
    pub on_trial: bool,
    /// Whether it reads parts of prompts that others answer.
    pub can_help: bool,
    /// Whether it may get a request of its own now; it may still read parts for others.
    pub can_lead: bool,
}

impl Candidate {
    /// One of which nothing special is known.
    ///
    /// ```
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_placing::placement::Candidate;
    ///
    /// let slow = Candidate { slowness: 2.0, ..Candidate::of(EndpointKey(7)) };
    /// assert!(slow.can_help && !slow.on_trial);
    /// ```
    pub fn of(key: EndpointKey) -> Self {
        Self {
            key,
            slowness: 1.0,
            on_trial: false,
            can_help: true,
            can_lead: true,
        }
    }
}

/// Memory to be reserved at one engine before the prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Tokens.
    pub tokens: u64,
}

/// What the engines were doing when a prompt was placed, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Engines that might take it.
    pub engines: usize,
    /// Those that write short streams.
    pub with_short_streams: usize,
    /// Those that write other streams and no short ones.
    pub with_other_streams: usize,
    /// Engines that short streams don't need.
    pub engines_for_long: usize,
    /// Those without any reading left.
    pub without_reading: usize,
    /// Those that read for prompts that are late anyway.
    pub late_engines: usize,
    /// Reading left at all of them, in milliseconds.
    pub backlog_ms: u64,
    /// Places of all of them that are taken, in thousandths.
    pub slots_taken_permille: u32,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The engine that gets the request and writes its answer.
    pub lead: EndpointKey,
    /// Engines that read parts, without the first.
    pub helpers: Vec<EndpointKey>,
    /// Memory to reserve at helpers, in the order in which the prompt fills it; empty for a prompt that
    /// fits the first engine.
    pub reservations: Vec<MemoryReservation>,
    /// Predicted reading at each engine, in milliseconds.
    pub prefill_ms: f64,
    /// Longest backlog of its engines, in milliseconds.
    pub backlog_ms: f64,
    /// How long to wait before it is sent, in milliseconds: its engines finish what was placed before.
    pub hold_ms: f64,
    /// Predicted time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Expected loss, in units of worth.
    pub loss_units: f64,
    /// What others lose of it: streams on its engines.
    pub harm_units: f64,
    /// Whether it is late whatever is done, and goes where it does least harm.
    pub is_late: bool,
    /// What the engines were doing.
    pub snapshot: FleetSnapshot,
}

/// Why there is no placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementError {
    /// No engine may take it.
    NoEndpoint,
    /// All engines together can't hold it.
    TooLarge,
    /// It would have to wait beyond its deadline; work placed now should be done in `backlog_ms`.
    TooLate {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
    },
    /// All places or all memory are taken.
    Full {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
        /// What is taken.
        shortage: Shortage,
    },
}

/// What engines lack for a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// A place to write its answer.
    Slot,
    /// Memory at the engines that it may use together.
    Memory {
        /// Tokens that it needs.
        needed_tokens: u64,
        /// Most engines that it may use.
        engines_max: usize,
    },
}
