//! How fresh what is known of a topic is, and whether a peer knows it better.
//!
//! Every gateway waits for changes at the store by itself, so that no change depends on a peer. Asking
//! often, only to learn that nothing changed and that the connection still lives, is what a large fleet
//! can't afford: so a few gateways, the readers, ask often, and all tell each other what they know and when
//! the store last confirmed it. A gateway that hears of something else than it knows itself, confirmed
//! later, doesn't trust its own waiting call any more.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

/// Stands for an instant that never was.
const NEVER_MS: u64 = 0;

/// A confirmation older than this isn't fresh, in milliseconds. Readers confirm each 1.5 s the moment at
/// which their call began, so what they know is 3 s old at most, and it takes some hundred to be told.
pub const STALE_MS: u64 = 3_400;

/// What a peer knows of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// Names the content: a version, or a hash.
    pub content_id: u64,
    /// When the store confirmed it, on this process's clock, in milliseconds.
    pub confirmed_ms: u64,
    /// Who said so.
    pub from: SocketAddr,
}

/// Whether contents have an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentKind {
    /// Versions: the greater one is newer, whoever confirmed it when.
    Versions,
    /// Hashes: the one confirmed later is newer.
    Hashes,
}

/// What is known of one topic, without the content itself.
#[derive(Debug)]
pub struct Freshness {
    content_kind: ContentKind,
    content_id: AtomicU64,
    confirmed_ms: AtomicU64,
    store_lost_ms: AtomicU64,
    /// The word last confirmed among those heard.
    latest_report: ArcSwapOption<PeerReport>,
    /// The content for which a waiting call was last given up.
    aborted_for: AtomicU64,
    notify: Notify,
}

impl Freshness {
    /// Nothing is known.
    pub fn new(content_kind: ContentKind) -> Self {
        Self {
            content_kind,
            content_id: AtomicU64::new(0),
            confirmed_ms: AtomicU64::new(NEVER_MS),
            store_lost_ms: AtomicU64::new(NEVER_MS),
            latest_report: ArcSwapOption::empty(),
            aborted_for: AtomicU64::new(0),
            notify: Notify::new(),
        }
    }

    /// Names what is known.
    pub fn content_id(&self) -> u64 {
        self.content_id.load(Ordering::Relaxed)
    }

    /// Something else is known now.
    pub fn set_content_id(&self, content_id: u64) {
        self.content_id.store(content_id, Ordering::Relaxed);
    }

    /// The store has confirmed what is known, as of `at_ms`; never goes back.
    ///
    /// ```
    /// use mgs_relay::freshness::Freshness;
    /// use mgs_relay::freshness::ContentKind;
    ///
    /// let freshness = Freshness::new(ContentKind::Versions);
    /// assert_eq!(freshness.age_ms(500), None);
    /// freshness.confirm(400);
    /// freshness.confirm(300);
    /// assert_eq!(freshness.age_ms(500), Some(100));
    /// ```
    pub fn confirm(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms.max(1), Ordering::Relaxed);
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            NEVER_MS => None,
            at_ms => Some(now_ms.saturating_sub(at_ms)),
        }
    }

    /// Whether nothing has confirmed what is known of late.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms > STALE_MS)
    }

    /// The store can't be read since `at_ms`.
    pub fn mark_store_lost(&self, at_ms: u64) {
        self.store_lost_ms.store(at_ms.max(1), Ordering::Relaxed);
    }

    /// The store can be read again.
    pub fn mark_store_recovered(&self) {
        self.store_lost_ms.store(NEVER_MS, Ordering::Relaxed);
    }

    /// Since when the store can't be read, if it can't.
    pub fn store_lost_since_ms(&self) -> Option<u64> {
        let at_ms = self.store_lost_ms.load(Ordering::Relaxed);
        Some(at_ms).filter(|at_ms| *at_ms != NEVER_MS)
    }

    /// A peer says what it knows.
    pub fn record_report(&self, report: PeerReport) {
        if report.content_id == self.content_id() {
            self.confirm(report.confirmed_ms);
        }
        let newest_ms = self
            .latest_report
            .load()
            .as_ref()
            .map_or(0, |w| w.confirmed_ms);
        if report.confirmed_ms < newest_ms {
            return;
        }
        self.latest_report.store(Some(Arc::new(report)));
        let is_store_back = self
            .store_lost_since_ms()
            .is_some_and(|store_lost_ms| report.confirmed_ms > store_lost_ms);
        if is_store_back || self.newer_report().is_some() {
            self.notify.notify_one();
        }
    }

    /// The word of a peer that knows better, if there is one.
    ///
    /// ```
    /// use mgs_relay::freshness::Freshness;
    /// use mgs_relay::freshness::ContentKind;
    /// use mgs_relay::freshness::PeerReport;
    ///
    /// let freshness = Freshness::new(ContentKind::Versions);
    /// freshness.set_content_id(7);
    /// let report = |content_id| PeerReport { content_id, confirmed_ms: 100, from: ([127, 0, 0, 1], 1).into() };
    /// freshness.record_report(report(7));
    /// assert_eq!(freshness.newer_report(), None);
    /// freshness.record_report(report(8));
    /// assert_eq!(freshness.newer_report(), Some(report(8)));
    /// ```
    pub fn newer_report(&self) -> Option<PeerReport> {
        let report = self.latest_report.load().as_deref().copied()?;
        let own = self.content_id();
        let own_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let is_newer = match self.content_kind {
            ContentKind::Versions => report.content_id > own,
            ContentKind::Hashes => report.content_id != own && report.confirmed_ms > own_ms,
        };
        Some(report).filter(|_| is_newer)
    }

    /// Whether a waiting call is to be given up since a peer knows better; once for each thing that
    /// peers know, so that views that differ for good don't make calls forever.
    pub fn should_abort_wait(&self) -> bool {
        let Some(report) = self.newer_report() else {
            return false;
        };
        let last_aborted_for = self.aborted_for.swap(report.content_id, Ordering::Relaxed);
        last_aborted_for != report.content_id
    }

    /// Wakes whoever waits for news, for another reason.
    pub fn wake(&self) {
        self.notify.notify_one();
    }

    /// Comes back when a peer knows better, or has read the store after this gateway lost it, or after
    /// [`Self::wake`].
    pub async fn notified(&self) {
        self.notify.notified().await;
    }
}
