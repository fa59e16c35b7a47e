//! Sets of block hashes.

use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

/// Hashes of cached blocks. They are uniformly distributed and aren't hashed again.
///
/// ```
/// let set: mgs_fleet::block::BlockSet = [1, 2].into_iter().collect();
/// assert!(set.contains(&2));
/// ```
pub type BlockSet = HashSet<u64, BuildHasherDefault<IdentityHasher>>;

/// Uses an integer as its own hash.
#[derive(Debug, Default)]
pub struct IdentityHasher {
    hash: u64,
}

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.hash
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = self.hash.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.hash = number;
    }
}
