//! Per-endpoint state: a lock-free table by endpoint key, and counts of outstanding requests.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::OnceLock;

use mgs_fleet::view::EndpointKey;

/// Number of slots per chunk of an [`EndpointTable`].
const CHUNK_SLOTS: usize = 256;

/// Maximum number of chunks of an [`EndpointTable`]. Beyond `CHUNK_SLOTS * CHUNKS_MAX` keys,
/// endpoints share slots.
const CHUNKS_MAX: usize = 64;

/// Table of one `T` per endpoint key. Chunks are allocated on first use and never moved, so that
/// slots are accessed without a lock.
#[derive(Debug)]
pub struct EndpointTable<T> {
    chunks: Vec<OnceLock<Box<[T]>>>,
}

impl<T: Default> Default for EndpointTable<T> {
    fn default() -> Self {
        Self {
            chunks: (0..CHUNKS_MAX).map(|_| OnceLock::new()).collect(),
        }
    }
}

impl<T: Default> EndpointTable<T> {
    /// Returns the slot of an endpoint, and allocates its chunk on first use.
    ///
    /// ```
    /// use std::sync::atomic::AtomicU32;
    ///
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_routing::outstanding::EndpointTable;
    ///
    /// let table: EndpointTable<AtomicU32> = EndpointTable::default();
    /// table.get(EndpointKey(700)).store(3, std::sync::atomic::Ordering::Relaxed);
    /// assert_eq!(table.get(EndpointKey(700)).load(std::sync::atomic::Ordering::Relaxed), 3);
    /// ```
    pub fn get(&self, key: EndpointKey) -> &T {
        let slot = key.0 as usize % (CHUNK_SLOTS * CHUNKS_MAX);
        let chunk = self.chunks[slot / CHUNK_SLOTS]
            .get_or_init(|| (0..CHUNK_SLOTS).map(|_| T::default()).collect());
        &chunk[slot % CHUNK_SLOTS]
    }
}

/// Outstanding requests of this process at one endpoint.
#[derive(Debug, Default)]
pub struct Outstanding {
    requests: AtomicU32,
    tokens: AtomicU64,
}

impl Outstanding {
    /// Adds a dispatched request with `tokens` prompt tokens.
    pub fn add(&self, tokens: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Removes an ended request with `tokens` prompt tokens; the counts saturate at 0.
    pub fn remove(&self, tokens: u64) {
        let decrement = |n: u32| Some(n.saturating_sub(1));
        let subtract_tokens = |n: u64| Some(n.saturating_sub(tokens));
        // Neither closure returns `None`, so neither update can fail.
        let _ = self
            .requests
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract_tokens);
    }

    /// Number of requests that were dispatched and haven't ended.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Sum of the prompt tokens of the outstanding requests.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }
}
