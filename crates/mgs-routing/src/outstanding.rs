//! Work that was dispatched and that load reports may not show yet.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::OnceLock;

use mgs_fleet::view::EndpointKey;

/// Slots of one chunk of an [`Arena`].
const CHUNK: usize = 256;

/// Chunks of an [`Arena`]; more endpoints than this share slots.
const CHUNKS: usize = 64;

/// Slots by endpoint key, made when first used and readable without a lock.
#[derive(Debug)]
pub struct Arena<T> {
    chunks: Vec<OnceLock<Box<[T]>>>,
}

impl<T: Default> Default for Arena<T> {
    fn default() -> Self {
        Self {
            chunks: (0..CHUNKS).map(|_| OnceLock::new()).collect(),
        }
    }
}

impl<T: Default> Arena<T> {
    /// The slot of an endpoint.
    ///
    /// ```
    /// use std::sync::atomic::AtomicU32;
    ///
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_routing::outstanding::Arena;
    ///
    /// let arena: Arena<AtomicU32> = Arena::default();
    /// arena.get(EndpointKey(700)).store(3, std::sync::atomic::Ordering::Relaxed);
    /// assert_eq!(arena.get(EndpointKey(700)).load(std::sync::atomic::Ordering::Relaxed), 3);
    /// ```
    pub fn get(&self, key: EndpointKey) -> &T {
        let slot = key.0 as usize % (CHUNK * CHUNKS);
        let chunk =
            self.chunks[slot / CHUNK].get_or_init(|| (0..CHUNK).map(|_| T::default()).collect());
        &chunk[slot % CHUNK]
    }
}

/// Requests of this process that an endpoint has.
#[derive(Debug, Default)]
pub struct Outstanding {
    requests: AtomicU32,
    tokens: AtomicU64,
}

impl Outstanding {
    /// A request of so many prompt tokens was dispatched.
    pub fn add(&self, tokens: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// It ended.
    pub fn remove(&self, tokens: u64) {
        let less = |n: u32| Some(n.saturating_sub(1));
        let fewer = |n: u64| Some(n.saturating_sub(tokens));
        // Neither closure returns `None`, so neither update can fail.
        let _ = self
            .requests
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer);
    }

    /// Requests dispatched and not ended.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Their prompt tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }
}
