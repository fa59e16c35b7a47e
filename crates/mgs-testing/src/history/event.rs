//! What can happen in a run.

/// The place of faults of the platform's services.
pub const PLATFORM: &str = "platform";

/// The place of faults on the way of gateways to a sidecar, or of a sidecar to its endpoint.
pub fn path_to(place: &str) -> String {
    format!("path to {place}")
}

/// The place of faults on the way of one process to the platform.
pub fn platform_path_of(place: &str) -> String {
    format!("path of {place} to the platform")
}

/// Number of a request: one intention of a caller, however often it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u32);

/// Number of a call: one sending of a request over one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u32);

/// Whether the system says that a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// `true`: it was not run.
    True,
    /// `false`: it ran, or partly ran.
    False,
    /// `unknown`: it may have run.
    Unknown,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// An answer that claims to be whole.
    Answered {
        /// Its text.
        text: String,
    },
    /// An answer that the system itself ended as not whole, or an error.
    Error {
        /// What the system says of the run.
        not_run: NotRun,
        /// Its word for the reason.
        reason: String,
        /// Text that came before the error.
        partial: String,
    },
    /// The connection ended before the answer or an error did.
    Broken {
        /// Text that came before.
        partial: String,
    },
    /// Nothing came until the caller gave up, well after the allotted time.
    Silent,
}

/// When memory was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Before the first request.
    Begin,
    /// After the last one and the time to settle.
    End,
}

/// One thing that happened.
///
/// Gateways, sidecars and endpoints go by the name of their place (`gateway-1`); a process goes by
/// its place and the number of its start (`gateway-1#2`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request.
    Sent {
        /// The call.
        call: Call,
        /// The request; a later call of the same one carries the same idempotency key.
        request: Request,
        /// The gateway that the caller connected to.
        gateway: String,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Time allotted to the request.
        allotted_ms: u64,
        /// The whole answer that it must get.
        expected: String,
    },
    /// The system took a durable request: from now on it may not be lost.
    Kept {
        /// The call.
        call: Call,
    },
    /// A call ended.
    Ended {
        /// The call.
        call: Call,
        /// How.
        ending: Ending,
    },
    /// An endpoint began to run a request.
    Started {
        /// Number of the run, unique in the history.
        execution: u32,
        /// The request.
        request: Request,
        /// The endpoint.
        endpoint: String,
    },
    /// An endpoint stopped running a request.
    Finished {
        /// Number of the run.
        execution: u32,
        /// Whether it came to its end.
        whole: bool,
    },
    /// An engine's memory was read.
    Memory {
        /// The endpoint.
        endpoint: String,
        /// When.
        phase: Phase,
        /// Memory held by streams, and by KV outside of streams.
        used_tokens: u64,
    },
    /// An endpoint was told to leave, or the host list says so.
    Leaving {
        /// The endpoint.
        endpoint: String,
    },
    /// An endpoint that left is back.
    Returned {
        /// The endpoint.
        endpoint: String,
    },
    /// A process was asked to stop gracefully.
    StopAsked {
        /// Its place.
        place: String,
        /// Its endpoint, for a sidecar.
        endpoint: Option<String>,
    },
    /// A process began.
    ProcessStarted {
        /// The process.
        process: String,
    },
    /// A process ended, killed or by itself.
    ProcessEnded {
        /// The process.
        process: String,
    },
    /// A fault began.
    FaultBegun {
        /// Its place; `platform` for the platform's services.
        place: String,
        /// Its kind, as the schedule names it.
        kind: String,
    },
    /// A fault was lifted, and what it had stopped is back.
    FaultEnded {
        /// Its place.
        place: String,
        /// Its kind.
        kind: String,
    },
    /// The store accepted an edit of the settings.
    Accepted {
        /// Version after the edit.
        version: u64,
    },
    /// A process showed which version it has in force.
    InForce {
        /// The process.
        process: String,
        /// The version.
        version: u64,
    },
    /// A process took the controller's lease.
    LeaseTaken {
        /// The fencing number that came with it.
        fencing: u64,
        /// The process.
        holder: String,
    },
    /// An endpoint obeyed an order.
    Obeyed {
        /// The endpoint.
        endpoint: String,
        /// Fencing number of the order.
        fencing: u64,
    },
}
