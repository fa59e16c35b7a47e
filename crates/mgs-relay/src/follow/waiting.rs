//! How long a call to the store waits for changes, and when a pending one is given up.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::Follower;
use crate::freshness::Freshness;
use crate::read_pause::ReadPause;
use crate::source::Topic;

/// How long the answer to a long poll may be overdue, in milliseconds, beyond the time that the last
/// call without a wait took. The connection is then taken for silent, and the call made again on
/// another one.
const OVERDUE_MS: u64 = 500;

/// Why a pending long poll was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AbortReason {
    /// A peer has newer content, or nothing has confirmed the known content recently.
    Outdated,
    /// Its answer is overdue.
    Overdue,
    /// The list of gateways must be polled at shorter intervals.
    WarmUpLimits,
}

impl AbortReason {
    fn name(self) -> &'static str {
        match self {
            Self::Outdated => "outdated",
            Self::Overdue => "overdue",
            Self::WarmUpLimits => "warm_up_limits",
        }
    }
}

impl Follower {
    /// How long the next call may wait for changes, in milliseconds.
    pub(super) fn next_wait_ms(&mut self) -> u64 {
        if std::mem::take(&mut self.wait_was_aborted) || self.store_loss.is_some() {
            // Past changes are told apart from future ones, and the end of an outage is detected
            // when it comes, not with the next change.
            return 0;
        }
        let Some(freshness) = self.freshness() else {
            let wait_ms = self.options.gateways_wait_ms;
            return match self.published.has_warm_up_limits() {
                true => wait_ms.min(self.options.gateways_warm_up_wait_ms),
                false => wait_ms,
            };
        };
        if self.is_stale(freshness) {
            return 0;
        }
        let longest_ms = match self.published.is_reader() {
            true => self.options.wait_ms,
            false => self.options.long_wait_ms,
        };
        let now_ms = self.published.now_ms();
        let due_ms = self.full_read_at_ms.unwrap_or(u64::MAX);
        let longest_ms = longest_ms.min(due_ms.saturating_sub(now_ms));
        match self.topic {
            Topic::Endpoints => self.endpoints.borrow().bounded_wait_ms(longest_ms, now_ms),
            _ => longest_ms,
        }
    }

    /// Completes when a long poll that waits for `wait_ms` should be given up.
    pub(super) async fn until_aborted(&self, wait_ms: u64) -> AbortReason {
        tokio::select! {
            reason = self.until_outdated(wait_ms) => reason,
            () = self.until_overdue(wait_ms) => AbortReason::Overdue,
        }
    }

    /// Completes when the answer to a long poll is overdue. A call without a wait has a timeout of
    /// its own.
    async fn until_overdue(&self, wait_ms: u64) {
        match wait_ms {
            0 => std::future::pending().await,
            _ => sleep(Duration::from_millis(wait_ms + OVERDUE_MS + self.call_ms)).await,
        }
    }

    async fn until_outdated(&self, wait_ms: u64) -> AbortReason {
        match self.freshness() {
            Some(freshness) if wait_ms > self.options.wait_ms => {
                self.until_content_outdated(freshness).await;
                AbortReason::Outdated
            }
            None if wait_ms > self.options.gateways_warm_up_wait_ms => {
                self.published.until_warm_up_limits().await;
                AbortReason::WarmUpLimits
            }
            _ => std::future::pending().await,
        }
    }

    /// Completes when the content of a topic is outdated, or may be.
    async fn until_content_outdated(&self, freshness: &Freshness) {
        loop {
            let stale_in = Duration::from_millis(freshness.stale_in_ms(self.published.now_ms()));
            let is_reported = timeout(stale_in, freshness.notified()).await.is_ok();
            if self.is_stale(freshness) {
                return;
            }
            if !is_reported {
                continue;
            }
            // The change that a peer has just read should arrive here too, unless this call's
            // connection is dead.
            sleep(Duration::from_millis(self.options.gather_ms)).await;
            if freshness.should_abort_wait() {
                return;
            }
        }
    }

    fn is_stale(&self, freshness: &Freshness) -> bool {
        freshness.is_stale(self.published.now_ms())
    }

    /// Records that a long poll was given up.
    pub(super) fn note_aborted_wait(&mut self, reason: AbortReason) -> ReadPause {
        let age_ms = self
            .freshness()
            .and_then(|freshness| freshness.age_ms(self.published.now_ms()));
        log::info!(
            topic = self.topic.name(), reason = reason.name(), age_ms = age_ms.unwrap_or(u64::MAX);
            "a call to the store that waits is given up"
        );
        self.wait_was_aborted = reason != AbortReason::WarmUpLimits;
        ReadPause::None
    }
}
