//! What has been tried for one request, and whether there may be more.

use crate::fault::Fault;
use crate::fault::Refusal;
use crate::place::Tried;
use crate::pursue::Got;
use crate::pursue::WholeAnswer;

/// Dispatches of one request in all, those that didn't run included, without those that a helper refused.
const DISPATCHES_MAX: u32 = 4;

/// Dispatches of one request that helpers refused: each shows one endpoint that doesn't help, and a prompt that names
/// sixteen isn't lost to a few of them.
const UNHELPED_MAX: u32 = 12;

/// When a client may come back after endpoints refused, in milliseconds.
const RETRY_AFTER_REFUSED_MS: u64 = 200;

/// What has been tried so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Dispatches made.
    pub(crate) dispatches: u32,
    /// Dispatches that may have run.
    pub(crate) runs: u32,
    /// Dispatches that a helper refused.
    pub(crate) unhelped: u32,
    /// Whether one is under way.
    pub(crate) in_flight: bool,
    pub(crate) tried: Tried,
}

impl Progress {
    /// Whether there may be one more dispatch.
    pub(crate) fn may_go_on(&self) -> bool {
        let others = self.dispatches - self.unhelped;
        others < DISPATCHES_MAX && self.unhelped < UNHELPED_MAX
    }
}

/// A dispatch that gave nothing to be passed on, unless nothing better comes.
pub(crate) struct Failed {
    pub(crate) name: &'static str,
    pub(crate) may_have_run: bool,
    pub(crate) answer: Option<Box<WholeAnswer>>,
}

impl Failed {
    pub(crate) fn not_run(name: &'static str) -> Self {
        Self {
            name,
            may_have_run: false,
            answer: None,
        }
    }

    pub(crate) fn unknown(name: &'static str) -> Self {
        Self {
            name,
            may_have_run: true,
            answer: None,
        }
    }

    /// How the request ends if this was the last dispatch.
    pub(crate) fn end(self, runs: u32) -> Result<Got, Refusal> {
        if let Some(answer) = self.answer {
            return Ok(Got::Whole(answer));
        }
        if runs > 0 {
            return Err(Refusal::of(Fault::Unknown));
        }
        Err(Refusal::after(Fault::NotRun, RETRY_AFTER_REFUSED_MS))
    }
}
