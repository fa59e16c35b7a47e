//! Bookkeeping of one admitted request, queued or started.

use crate::arena::Key;
use crate::flows::ClassKey;
use crate::flows::QueuedRequest;
use crate::queue::AdmissionRequest;
use crate::response::ResponseStats;
use crate::rows::RowKey;

/// An admitted request with its row, class and state.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) request: AdmissionRequest,
    pub(crate) row: RowKey,
    pub(crate) class: ClassKey,
    pub(crate) weight: u32,
    pub(crate) queued: bool,
    /// Predicted time of the first token, in milliseconds; set when the request starts.
    pub(crate) first_token_at_ms: u64,
}

impl Entry {
    /// Tokens charged on admission: the prompt and the maximum number of generated tokens.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.request.prompt_tokens + self.request.max_tokens
    }

    /// The record of this request that is passed to [`Flows`](crate::flows::Flows).
    pub(crate) fn queued_request(&self, key: Key) -> QueuedRequest {
        QueuedRequest {
            row: self.row,
            class: self.class,
            entry: key,
            tokens: self.reserved_tokens(),
            weight: self.weight,
        }
    }

    /// Length and duration of the generated response; `None` if no token was generated.
    pub(crate) fn response_stats(
        &self,
        now_ms: u64,
        generated_tokens: u64,
    ) -> Option<ResponseStats> {
        if generated_tokens == 0 {
            return None;
        }
        let generation_ms = now_ms.saturating_sub(self.first_token_at_ms);
        Some(ResponseStats::from_response(
            generated_tokens,
            self.request.max_tokens,
            generation_ms,
        ))
    }
}
