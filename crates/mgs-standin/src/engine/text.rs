//! The text that an engine generates: a pure function of the prompt.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
const LETTERS_PER_TOKEN: usize = 3;
const BITS_PER_LETTER: u32 = 5;

/// Names a prompt.
///
/// ```
/// use mgs_standin::engine::text::prompt_hash;
///
/// assert_ne!(prompt_hash("two words"), prompt_hash("two word"));
/// ```
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// The text of token `seq` of the answer to a prompt: four bytes, which count as one token.
pub fn token(prompt_hash: u64, seq: u64) -> String {
    let mut bits = xxh3_64_with_seed(&seq.to_le_bytes(), prompt_hash);
    let mut text = String::with_capacity(LETTERS_PER_TOKEN + 1);
    for _ in 0..LETTERS_PER_TOKEN {
        let letter = bits as usize % LETTERS.len();
        text.push(char::from(LETTERS[letter]));
        bits >>= BITS_PER_LETTER;
    }
    text.push(' ');
    text
}

/// The whole answer to a prompt: it always has `max_tokens` tokens.
///
/// ```
/// use mgs_standin::engine::text::expected;
///
/// assert_eq!(expected("two words", 5).len(), 20);
/// assert!(expected("two words", 5).starts_with(&expected("two words", 2)));
/// ```
pub fn expected(prompt: &str, max_tokens: u64) -> String {
    let prompt_hash = prompt_hash(prompt);
    (0..max_tokens).map(|seq| token(prompt_hash, seq)).collect()
}
