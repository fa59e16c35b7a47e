//! Ageing of low-priority requests: after a long wait they may start ahead of higher priorities,
//! within a bounded share of the started tokens.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Key;

/// Maximum accumulated credit for starts of aged requests, in tokens.
const CREDIT_MAX_TOKENS: f64 = 200_000.0;

/// Queued requests by ageing time, the aged requests in order of ageing, and their token credit.
#[derive(Debug, Default)]
pub(crate) struct Ageing {
    /// Requests that are not yet aged, by the time at which they become aged.
    due: BTreeSet<(u64, Key)>,
    aged: VecDeque<Key>,
    /// Tokens that aged requests may start; may be negative.
    credit_tokens: f64,
}

impl Ageing {
    /// Schedules a request to become aged at `at_ms`.
    pub(crate) fn insert(&mut self, at_ms: u64, key: Key) {
        self.due.insert((at_ms, key));
    }

    /// Removes a request that is no longer queued. A request that is already aged stays in the
    /// list; the caller skips it when it becomes the first.
    pub(crate) fn remove(&mut self, at_ms: u64, key: Key) {
        self.due.remove(&(at_ms, key));
    }

    /// Moves the requests that are due at `now_ms` to the aged ones.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        while let Some((at_ms, key)) = self.due.first().copied() {
            if at_ms > now_ms {
                return;
            }
            self.due.pop_first();
            self.aged.push_back(key);
        }
    }

    /// The request that became aged first.
    pub(crate) fn first_aged(&self) -> Option<Key> {
        self.aged.front().copied()
    }

    /// Removes the request that became aged first.
    pub(crate) fn pop_first_aged(&mut self) {
        self.aged.pop_front();
    }

    /// Adds `share` of the started tokens to the credit.
    pub(crate) fn add_credit(&mut self, tokens: u64, share: f64) {
        let credit = self.credit_tokens + tokens as f64 * share;
        self.credit_tokens = credit.min(CREDIT_MAX_TOKENS);
    }

    /// Whether an aged request may start now.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit_tokens > 0.0
    }

    /// Charges the start of an aged request; the credit may become negative.
    pub(crate) fn spend_credit(&mut self, tokens: u64) {
        self.credit_tokens -= tokens as f64;
    }
}
