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
pub struct Word {
    /// Names the content: a version, or a hash.
    pub content: u64,
    /// When the store confirmed it, on this process's clock, in milliseconds.
    pub confirmed_ms: u64,
    /// Who said so.
    pub from: SocketAddr,
}

/// Whether contents have an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contents {
    /// Versions: the greater one is newer, whoever confirmed it when.
    Versions,
    /// Hashes: the one confirmed later is newer.
    Hashes,
}

/// What is known of one topic, without the content itself.
#[derive(Debug)]
pub struct Belief {
    contents: Contents,
    content: AtomicU64,
    confirmed_ms: AtomicU64,
    lost_ms: AtomicU64,
    /// The word last confirmed among those heard.
    heard: ArcSwapOption<Word>,
    /// The content for which a waiting call was last given up.
    given_up_for: AtomicU64,
    news: Notify,
}

impl Belief {
    /// Nothing is known.
    pub fn new(contents: Contents) -> Self {
        Self {
            contents,
            content: AtomicU64::new(0),
            confirmed_ms: AtomicU64::new(NEVER_MS),
            lost_ms: AtomicU64::new(NEVER_MS),
            heard: ArcSwapOption::empty(),
            given_up_for: AtomicU64::new(0),
            news: Notify::new(),
        }
    }

    /// Names what is known.
    pub fn content(&self) -> u64 {
        self.content.load(Ordering::Relaxed)
    }

    /// Something else is known now.
    pub fn put(&self, content: u64) {
        self.content.store(content, Ordering::Relaxed);
    }

    /// The store has confirmed what is known, as of `at_ms`; never goes back.
    ///
    /// ```
    /// use mgs_relay::belief::Belief;
    /// use mgs_relay::belief::Contents;
    ///
    /// let belief = Belief::new(Contents::Versions);
    /// assert_eq!(belief.age_ms(500), None);
    /// belief.confirm(400);
    /// belief.confirm(300);
    /// assert_eq!(belief.age_ms(500), Some(100));
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
    pub fn lose(&self, at_ms: u64) {
        self.lost_ms.store(at_ms.max(1), Ordering::Relaxed);
    }

    /// The store can be read again.
    pub fn find(&self) {
        self.lost_ms.store(NEVER_MS, Ordering::Relaxed);
    }

    /// Since when the store can't be read, if it can't.
    pub fn lost_since_ms(&self) -> Option<u64> {
        let at_ms = self.lost_ms.load(Ordering::Relaxed);
        Some(at_ms).filter(|at_ms| *at_ms != NEVER_MS)
    }

    /// A peer says what it knows.
    pub fn hear(&self, word: Word) {
        if word.content == self.content() {
            self.confirm(word.confirmed_ms);
        }
        let newest_ms = self.heard.load().as_ref().map_or(0, |w| w.confirmed_ms);
        if word.confirmed_ms < newest_ms {
            return;
        }
        self.heard.store(Some(Arc::new(word)));
        let is_back = self
            .lost_since_ms()
            .is_some_and(|lost_ms| word.confirmed_ms > lost_ms);
        if is_back || self.better().is_some() {
            self.news.notify_one();
        }
    }

    /// The word of a peer that knows better, if there is one.
    ///
    /// ```
    /// use mgs_relay::belief::Belief;
    /// use mgs_relay::belief::Contents;
    /// use mgs_relay::belief::Word;
    ///
    /// let belief = Belief::new(Contents::Versions);
    /// belief.put(7);
    /// let word = |content| Word { content, confirmed_ms: 100, from: ([127, 0, 0, 1], 1).into() };
    /// belief.hear(word(7));
    /// assert_eq!(belief.better(), None);
    /// belief.hear(word(8));
    /// assert_eq!(belief.better(), Some(word(8)));
    /// ```
    pub fn better(&self) -> Option<Word> {
        let word = self.heard.load().as_deref().copied()?;
        let own = self.content();
        let own_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let is_newer = match self.contents {
            Contents::Versions => word.content > own,
            Contents::Hashes => word.content != own && word.confirmed_ms > own_ms,
        };
        Some(word).filter(|_| is_newer)
    }

    /// Whether a waiting call is to be given up since a peer knows better; once for each thing that
    /// peers know, so that views that differ for good don't make calls forever.
    pub fn doubts(&self) -> bool {
        let Some(word) = self.better() else {
            return false;
        };
        let before = self.given_up_for.swap(word.content, Ordering::Relaxed);
        before != word.content
    }

    /// Wakes whoever waits for news, for another reason.
    pub fn wake(&self) {
        self.news.notify_one();
    }

    /// Comes back when a peer knows better, or has read the store after this gateway lost it, or after
    /// [`Self::wake`].
    pub async fn news(&self) {
        self.news.notified().await;
    }
}
