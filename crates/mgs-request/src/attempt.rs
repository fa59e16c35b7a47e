//! One attempt of a request at one endpoint.

use mgs_schema::wire::FailureReason;

/// What is known of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// No endpoint is free; choose again at this time.
    Choosing {
        /// When, in milliseconds.
        at_ms: u64,
    },
    /// Handed over; not yet accepted.
    Dispatched,
    /// The sidecar has taken it, or frames came.
    Running,
    /// Its sidecar was asked to take it back.
    Withdrawing,
    /// Its sidecar was asked for the rest.
    Resuming,
    /// Its sidecar couldn't be asked; ask again at this time.
    Asking {
        /// When, in milliseconds.
        at_ms: u64,
        /// Whether to ask for the rest, or to take it back.
        resume: bool,
    },
    /// Proven not to have run, and that it never will.
    NotRun,
    /// It ran and has no whole answer.
    Failed(FailureReason),
    /// It may have run, and nobody can tell.
    MayHaveRun,
}

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// What is known of it.
    pub state: State,
    /// Whether a frame of it came, so that it surely ran.
    pub ran: bool,
    /// Times that its sidecar was asked in vain since it last answered.
    pub asked: u32,
    /// Refusals of a resume since it last moved on.
    pub resumes_refused: u32,
    /// When a second attempt may be made beside it, in milliseconds.
    pub hedge_at_ms: Option<u64>,
}

impl Attempt {
    /// An attempt that is about to be dispatched.
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
            asked: 0,
            resumes_refused: 0,
            hedge_at_ms: None,
        }
    }

    /// An attempt of another gateway, whose answer is about to be asked for.
    pub fn resumed() -> Self {
        Self {
            state: State::Resuming,
            ..Self::new()
        }
    }

    /// Whether something may still come of it.
    pub fn is_open(&self) -> bool {
        !matches!(
            self.state,
            State::NotRun | State::Failed(_) | State::MayHaveRun
        )
    }

    /// Whether it may have run, or may still run.
    pub fn may_run(&self) -> bool {
        self.ran || !matches!(self.state, State::NotRun | State::Choosing { .. })
    }

    /// When something is to be done about it, in milliseconds.
    pub fn wake_ms(&self) -> Option<u64> {
        match self.state {
            State::Choosing { at_ms } | State::Asking { at_ms, .. } => Some(at_ms),
            State::Dispatched | State::Running => self.hedge_at_ms,
            _ => None,
        }
    }
}
