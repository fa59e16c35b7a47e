//! Requests of low priority that have waited long, and the share of starts that they may take.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Key;

/// Most tokens that may be saved up for starts out of turn.
const CREDIT_MAX_TOKENS: f64 = 200_000.0;

/// Queued requests by the time at which they are aged, those that are, and their credit.
#[derive(Debug, Default)]
pub(crate) struct Ageing {
    due: BTreeSet<(u64, Key)>,
    aged: VecDeque<Key>,
    credit_tokens: f64,
}

impl Ageing {
    /// A request will be aged at `at_ms`.
    pub(crate) fn insert(&mut self, at_ms: u64, key: Key) {
        self.due.insert((at_ms, key));
    }

    /// A request no longer waits. One that is aged already is passed over when its turn comes.
    pub(crate) fn remove(&mut self, at_ms: u64, key: Key) {
        self.due.remove(&(at_ms, key));
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, now_ms: u64) {
        while let Some((at_ms, key)) = self.due.first().copied() {
            if at_ms > now_ms {
                return;
            }
            self.due.pop_first();
            self.aged.push_back(key);
        }
    }

    /// The request that was aged first.
    pub(crate) fn first(&self) -> Option<Key> {
        self.aged.front().copied()
    }

    /// The one that was aged first is done with.
    pub(crate) fn drop_first(&mut self) {
        self.aged.pop_front();
    }

    /// Tokens were started, of which aged requests may have `share`.
    pub(crate) fn earn(&mut self, tokens: u64, share: f64) {
        let credit = self.credit_tokens + tokens as f64 * share;
        self.credit_tokens = credit.min(CREDIT_MAX_TOKENS);
    }

    /// Whether one may start out of turn now.
    pub(crate) fn has_credit(&self) -> bool {
        self.credit_tokens > 0.0
    }

    /// One of so many tokens did.
    pub(crate) fn spend(&mut self, tokens: u64) {
        self.credit_tokens -= tokens as f64;
    }
}
