//! Lengths of prompts in tokens and chained hashes of their blocks.
//!
//! A tokenizer belongs to a model, and the system serves many; it counts four bytes of UTF-8 as
//! one token, as the engines' published cache events do for the blocks that they name.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of an engine's prefix cache.
pub const BLOCK_TOKENS: u64 = 256;

/// Bytes in one block.
pub const BLOCK_BYTES: usize = BYTES_PER_TOKEN * 256;

/// Longest prompt that counts as short, in tokens.
pub const SHORT_PROMPT_TOKENS: u64 = 16_384;

/// Shortest prompt that counts as long, in tokens.
pub const LONG_PROMPT_TOKENS: u64 = 100_000;

/// Tokens of a text, rounded up.
///
/// ```
/// assert_eq!(mgs_schema::prefix::tokens(9), 3);
/// ```
pub fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hash of each full block from the start, each one chained on the block before it, at most
/// `most` of them.
///
/// ```
/// let hashes = mgs_schema::prefix::block_hashes(&[b'a'; 2500], 16);
/// assert_eq!(hashes.len(), 2);
/// assert_ne!(hashes[0], hashes[1]);
/// ```
pub fn block_hashes(text: &[u8], most: usize) -> Vec<u64> {
    let mut seed = 0;
    let mut hashes = Vec::new();
    for block in text.chunks_exact(BLOCK_BYTES).take(most) {
        seed = xxh3_64_with_seed(block, seed);
        hashes.push(seed);
    }
    hashes
}
