//! Dispatches made for one request, and whether more are allowed.

use crate::dispatcher::FullResponse;
use crate::dispatcher::UsableResponse;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::place::TriedEndpoints;

/// Most dispatches of one request, including those that didn't run, without those that a helper
/// refused.
const DISPATCHES_MAX: u32 = 4;

/// Most dispatches of one request that helpers may refuse. Each refusal identifies one endpoint
/// that doesn't help, and a prompt that uses sixteen endpoints must survive a few of them.
const HELPER_REFUSALS_MAX: u32 = 12;

/// `Retry-After` if endpoints proved that they didn't run the request, in milliseconds.
const RETRY_AFTER_REFUSED_MS: u64 = 200;

/// Dispatches made so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct DispatchProgress {
    /// Whether the request has been admitted; a dispatch whose permit expired doesn't count as one.
    pub(crate) is_admitted: bool,
    /// All dispatches that have ended, without those whose permit had expired.
    pub(crate) dispatches: u32,
    /// Dispatches that may have run.
    pub(crate) runs: u32,
    /// Dispatches that a helper refused.
    pub(crate) helper_refusals: u32,
    /// Whether a dispatch is in flight.
    pub(crate) in_flight: bool,
    pub(crate) tried: TriedEndpoints,
}

impl DispatchProgress {
    /// Whether another dispatch is allowed.
    pub(crate) fn allows_another_dispatch(&self) -> bool {
        let others = self.dispatches - self.helper_refusals;
        others < DISPATCHES_MAX && self.helper_refusals < HELPER_REFUSALS_MAX
    }
}

/// Why a dispatch brought no usable response.
pub(crate) enum DispatchError {
    /// It wasn't made, since its permit had expired when the connection opened.
    PermitExpired,
    /// It was made and failed.
    Failed(FailedDispatch),
}

impl From<FailedDispatch> for DispatchError {
    fn from(failed: FailedDispatch) -> Self {
        Self::Failed(failed)
    }
}

/// A dispatch without a usable response; `answer` is sent to the client if no later dispatch
/// succeeds.
pub(crate) struct FailedDispatch {
    pub(crate) name: &'static str,
    pub(crate) may_have_run: bool,
    /// Whether each further dispatch would fail in the same way.
    pub(crate) is_final: bool,
    pub(crate) answer: Option<Box<FullResponse>>,
}

impl FailedDispatch {
    pub(crate) fn not_run(name: &'static str) -> Self {
        Self {
            name,
            may_have_run: false,
            is_final: false,
            answer: None,
        }
    }

    pub(crate) fn unknown(name: &'static str) -> Self {
        Self {
            name,
            may_have_run: true,
            is_final: false,
            answer: None,
        }
    }

    /// The final result of the request if this was the last dispatch.
    pub(crate) fn into_result(self, runs: u32) -> Result<UsableResponse, Refusal> {
        if let Some(answer) = self.answer {
            return Ok(UsableResponse::Full(answer));
        }
        if runs > 0 {
            return Err(Refusal::of(Fault::Unknown));
        }
        Err(Refusal::after(Fault::NotRun, RETRY_AFTER_REFUSED_MS))
    }
}
