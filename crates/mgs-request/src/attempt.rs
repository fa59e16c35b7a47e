//! One attempt of a request at one endpoint.

use mgs_schema::wire::FailureReason;

/// State of an attempt as known to the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// No endpoint is free; one is chosen again at `at_ms`.
    AwaitingEndpoint {
        /// Time of the next try, in milliseconds.
        at_ms: u64,
    },
    /// Sent to a sidecar, which has not yet accepted it.
    Dispatched,
    /// Accepted by the sidecar, or known to run from its frames.
    Running,
    /// A withdraw was sent to its sidecar.
    Withdrawing,
    /// A resume was sent to its sidecar, for the rest of the response.
    Resuming,
    /// A withdraw or resume has failed; it is sent again at `at_ms`.
    AwaitingRecovery {
        /// Time of the next try, in milliseconds.
        at_ms: u64,
        /// Whether to send a resume; otherwise a withdraw.
        resume: bool,
    },
    /// Proven not to have run and never to run.
    NotRun,
    /// Ran without a complete response.
    Failed(FailureReason),
    /// May have run, and this can't be determined.
    MayHaveRun,
}

/// One attempt and its recovery counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// State of the attempt.
    pub state: State,
    /// Whether the attempt is known to have run, from a frame or a reported failure.
    pub ran: bool,
    /// Failed withdraws and resumes since the attempt last made progress.
    pub recovery_failures: u32,
    /// Refused resumes since the attempt last made progress.
    pub resumes_refused: u32,
    /// Time from which a hedged second attempt may be made, in milliseconds.
    pub hedge_at_ms: Option<u64>,
}

impl Attempt {
    /// Creates an attempt that is about to be dispatched.
    ///
    /// ```
    /// use mgs_request::attempt::Attempt;
    ///
    /// assert!(Attempt::new().is_open());
    /// ```
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            state: State::Dispatched,
            ran: false,
            recovery_failures: 0,
            resumes_refused: 0,
            hedge_at_ms: None,
        }
    }

    /// Creates an attempt that another gateway dispatched and whose response is about to be
    /// resumed.
    pub fn resumed() -> Self {
        Self {
            state: State::Resuming,
            ..Self::new()
        }
    }

    /// Whether the attempt may still change the outcome of the request.
    pub fn is_open(&self) -> bool {
        !matches!(
            self.state,
            State::NotRun | State::Failed(_) | State::MayHaveRun
        )
    }

    /// Whether the attempt may have run or may still run.
    pub fn may_run(&self) -> bool {
        self.ran || !matches!(self.state, State::NotRun | State::AwaitingEndpoint { .. })
    }

    /// Time at which the attempt needs the next tick, in milliseconds.
    pub fn wake_ms(&self) -> Option<u64> {
        match self.state {
            State::AwaitingEndpoint { at_ms } | State::AwaitingRecovery { at_ms, .. } => {
                Some(at_ms)
            }
            State::Dispatched | State::Running => self.hedge_at_ms,
            _ => None,
        }
    }
}
