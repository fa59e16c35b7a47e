//! Keeps track of whether the store answers, and of what its silence means for endpoints.

use super::Follower;
use crate::outage::OutageSigns;
use crate::source::SourceError;

/// How the store was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoreLoss {
    /// Time of the first failed call, in milliseconds.
    pub(super) since_ms: u64,
    /// Whether the store has refused a call since then.
    was_refused: bool,
}

impl Follower {
    /// Records that a call failed.
    pub(super) fn note_store_lost(&mut self, error: &SourceError) {
        let is_refusal = matches!(error, SourceError::Refused(_));
        if let Some(loss) = &mut self.store_loss {
            loss.was_refused |= is_refusal;
            return;
        }
        log::warn!(
            topic = self.topic.name(), refused = is_refusal, error:% = error;
            "the store is lost"
        );
        let now_ms = self.published.now_ms();
        self.store_loss = Some(StoreLoss {
            since_ms: now_ms,
            was_refused: is_refusal,
        });
        if let Some(freshness) = self.freshness() {
            freshness.mark_store_lost(now_ms);
        }
    }

    /// Records that the store answered. `has_removals` says whether entries of endpoints were
    /// removed by this answer, or may have been.
    pub(super) fn note_store_answered(&mut self, has_removals: bool) {
        let now_ms = self.published.now_ms();
        let loss = self.store_loss.take();
        // Entries expire by what reaches the store about endpoints, whichever topic notices first.
        let unanswered_ms = self.published.endpoint_freshness().unanswered_ms(now_ms);
        let signs = OutageSigns {
            was_refused: loss.is_some_and(|loss| loss.was_refused),
            was_lost: loss.is_some(),
            has_removals,
            unanswered_ms,
        };
        let is_outage = signs.may_have_expired_entries(self.options.report_interval_ms);
        if loss.is_some() || is_outage {
            log::info!(
                topic = self.topic.name(), was_lost = signs.was_lost, was_refused = signs.was_refused,
                unanswered_ms = unanswered_ms.unwrap_or(0), is_outage = is_outage;
                "the store is back"
            );
        }
        if is_outage {
            let began_ms = now_ms.saturating_sub(unanswered_ms.unwrap_or(0));
            let began_ms = loss.map_or(began_ms, |loss| loss.since_ms);
            self.endpoints
                .borrow_mut()
                .note_outage_end(began_ms, now_ms);
        }
        if let Some(freshness) = self.freshness() {
            freshness.mark_store_recovered();
            freshness.record_answer(now_ms);
        }
    }
}
