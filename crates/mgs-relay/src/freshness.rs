//! Tracks how fresh the known content of a topic is, and whether a peer has newer content.
//!
//! Every gateway waits for changes of the store with a long poll of its own, so no change depends
//! on a peer. Polling at short intervals, only to confirm that nothing changed and that the
//! connection is still alive, is too expensive for a large fleet. So only a few gateways, the
//! readers, poll at short intervals, and all gateways tell each other which content they know and
//! when the store last confirmed it. A gateway that hears of other content, confirmed later than
//! its own, gives up its pending long poll and reads the store again.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

/// Stands for "never" in timestamps.
const NEVER_MS: u64 = 0;

/// Age above which a confirmation counts as stale, in milliseconds. Readers confirm every 1.5 s, and
/// their report takes up to half a second to arrive. Below twice the interval of endpoints' status
/// reports, so that a gateway without news has asked the store before an entry can expire.
pub const STALE_MS: u64 = 2_250;

/// What a peer reports about one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicReport {
    /// Identifies the content: a version or a hash, see [`ContentKind`].
    pub content_id: u64,
    /// When the store confirmed it, in milliseconds on this process's clock.
    pub confirmed_ms: u64,
    /// Address of the peer.
    pub from: SocketAddr,
}

/// What a content identifier is, which decides how two of them are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentKind {
    /// Versions: the greater one is newer, no matter when either was confirmed.
    Versions,
    /// Hashes: the one confirmed later is newer.
    Hashes,
}

/// The freshness of one topic: which content is known and when it was confirmed, but not the
/// content itself. Written by the thread that follows the store and by the one that hears peers.
#[derive(Debug)]
pub struct Freshness {
    content_kind: ContentKind,
    content_id: AtomicU64,
    confirmed_ms: AtomicU64,
    /// When the store is last known to have answered any gateway, whatever it told.
    answered_ms: AtomicU64,
    store_lost_ms: AtomicU64,
    /// The report with the latest confirmation among those received.
    latest_report: ArcSwapOption<TopicReport>,
    /// The reported content for which a pending long poll was last given up.
    aborted_for: AtomicU64,
    notify: Notify,
}

impl Freshness {
    /// Creates the freshness of a topic of which nothing is known.
    pub fn new(content_kind: ContentKind) -> Self {
        Self {
            content_kind,
            content_id: AtomicU64::new(0),
            confirmed_ms: AtomicU64::new(NEVER_MS),
            answered_ms: AtomicU64::new(NEVER_MS),
            store_lost_ms: AtomicU64::new(NEVER_MS),
            latest_report: ArcSwapOption::empty(),
            aborted_for: AtomicU64::new(0),
            notify: Notify::new(),
        }
    }

    /// Identifies the known content; 0 if none is known.
    pub fn content_id(&self) -> u64 {
        self.content_id.load(Ordering::Relaxed)
    }

    /// Sets the identifier of the known content.
    pub fn set_content_id(&self, content_id: u64) {
        self.content_id.store(content_id, Ordering::Relaxed);
    }

    /// Records that the store confirmed the known content as of `at_ms`. An earlier time than the
    /// one recorded is ignored.
    ///
    /// ```
    /// use mgs_relay::freshness::ContentKind;
    /// use mgs_relay::freshness::Freshness;
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

    /// Time since the last confirmation, in milliseconds; `None` if there was none.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            NEVER_MS => None,
            at_ms => Some(now_ms.saturating_sub(at_ms)),
        }
    }

    /// Time until the last confirmation is stale, in milliseconds; 0 if it is or there was none.
    pub fn stale_in_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.age_ms(now_ms);
        age_ms.map_or(0, |age_ms| (STALE_MS + 1).saturating_sub(age_ms))
    }

    /// Records that the store has answered a gateway about this topic.
    pub fn record_answer(&self, at_ms: u64) {
        self.answered_ms.fetch_max(at_ms.max(1), Ordering::Relaxed);
    }

    /// Time since the last answer of the store that any gateway is known to have had, in
    /// milliseconds; `None` if none is known.
    ///
    /// ```
    /// use mgs_relay::freshness::ContentKind;
    /// use mgs_relay::freshness::Freshness;
    /// use mgs_relay::freshness::TopicReport;
    ///
    /// let freshness = Freshness::new(ContentKind::Hashes);
    /// freshness.set_content_id(7);
    /// freshness.record_answer(100);
    /// let from = ([127, 0, 0, 1], 1).into();
    /// freshness.record_report(TopicReport { content_id: 8, confirmed_ms: 900, from });
    /// assert_eq!(freshness.unanswered_ms(1_000), Some(100));
    /// ```
    pub fn unanswered_ms(&self, now_ms: u64) -> Option<u64> {
        match self.answered_ms.load(Ordering::Relaxed) {
            NEVER_MS => None,
            at_ms => Some(now_ms.saturating_sub(at_ms)),
        }
    }

    /// Whether the last confirmation is older than [`STALE_MS`], or there was none.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms > STALE_MS)
    }

    /// Records that the store has been unreachable for this topic since `at_ms`.
    pub fn mark_store_lost(&self, at_ms: u64) {
        self.store_lost_ms.store(at_ms.max(1), Ordering::Relaxed);
    }

    /// Records that the store can be read again.
    pub fn mark_store_recovered(&self) {
        self.store_lost_ms.store(NEVER_MS, Ordering::Relaxed);
    }

    /// Time since which the store has been unreachable, in milliseconds; `None` while it can be
    /// read.
    pub fn store_lost_since_ms(&self) -> Option<u64> {
        let at_ms = self.store_lost_ms.load(Ordering::Relaxed);
        Some(at_ms).filter(|at_ms| *at_ms != NEVER_MS)
    }

    /// Takes the report of a peer. A report of the content that is known here confirms it.
    pub fn record_report(&self, report: TopicReport) {
        self.record_answer(report.confirmed_ms);
        if report.content_id == self.content_id() {
            self.confirm(report.confirmed_ms);
        }
        let newest_ms = self
            .latest_report
            .load()
            .as_ref()
            .map_or(0, |report| report.confirmed_ms);
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

    /// The latest report if it is about newer content than the one known here.
    ///
    /// ```
    /// use mgs_relay::freshness::ContentKind;
    /// use mgs_relay::freshness::Freshness;
    /// use mgs_relay::freshness::TopicReport;
    ///
    /// let freshness = Freshness::new(ContentKind::Versions);
    /// freshness.set_content_id(7);
    /// let from = ([127, 0, 0, 1], 1).into();
    /// let report = |content_id| TopicReport { content_id, confirmed_ms: 100, from };
    /// freshness.record_report(report(7));
    /// assert_eq!(freshness.newer_report(), None);
    /// freshness.record_report(report(8));
    /// assert_eq!(freshness.newer_report(), Some(report(8)));
    /// ```
    pub fn newer_report(&self) -> Option<TopicReport> {
        let report = self.latest_report.load().as_deref().copied()?;
        let own = self.content_id();
        let own_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let is_newer = match self.content_kind {
            ContentKind::Versions => report.content_id > own,
            ContentKind::Hashes => report.content_id != own && report.confirmed_ms > own_ms,
        };
        Some(report).filter(|_| is_newer)
    }

    /// Whether a pending long poll should be given up because a peer has newer content. Answers
    /// `true` once for each content that peers report, so that views that never converge don't
    /// cause calls forever.
    pub fn should_abort_wait(&self) -> bool {
        let Some(report) = self.newer_report() else {
            return false;
        };
        let last_aborted_for = self.aborted_for.swap(report.content_id, Ordering::Relaxed);
        last_aborted_for != report.content_id
    }

    /// Completes when a peer reports newer content, or when a peer has read the store after this
    /// gateway lost it.
    pub async fn notified(&self) {
        self.notify.notified().await;
    }
}
