//! Which gateway scans which shard.
//!
//! Rows of durable requests lie in [`SHARDS`] shards. Each shard has one scanner, chosen among the
//! live gateways by rendezvous hashing, so that scanning costs as much as there are rows, however
//! many gateways run, and a gateway that comes or goes moves only its own shards. Gateways whose
//! views differ for a while may both scan a shard, or neither; claims of rows are conditional
//! writes, so the first costs reads only, and the second time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Count of shards: one for each first digit of an identifier. An idle fleet reads each once in a
/// pass, so more of them would cost reads and spread the work of no more than so many gateways.
pub const SHARDS: u32 = 16;

/// Name of a shard, the start of its rows' identifiers.
pub fn name(shard: u32) -> String {
    format!("{shard:x}")
}

/// The scanner of a shard among the live gateways.
///
/// ```
/// use mgs_durable::shard::scanner;
///
/// assert_eq!(scanner(0, &[]), None);
/// assert_eq!(scanner(0, &[42]), Some(42));
/// ```
pub fn scanner(shard: u32, live: &[u64]) -> Option<u64> {
    let score = |gateway: u64| xxh3_64_with_seed(&shard.to_le_bytes(), gateway);
    live.iter().copied().max_by_key(|&g| (score(g), g))
}

/// The shards of one gateway.
pub fn owned(gateway: u64, live: &[u64]) -> Vec<u32> {
    let mine = |&shard: &u32| scanner(shard, live) == Some(gateway);
    (0..SHARDS).filter(mine).collect()
}

/// Bytes per second that one gateway's scans of keyed requests may take.
const CLAIM_BYTES_PER_S: u64 = 1_000;

/// One swept row in so many is worth scanning on without a wait.
const WORTHWHILE_ROWS: usize = 10;

const MS_PER_S: u64 = 1_000;

/// Wait after a page of keyed requests, in milliseconds. They are scanned only to delete what
/// expired, so a page in which little had is followed by the next within a budget of bytes. The
/// slower the scan, the more of a page has expired, until it is worth going on at once.
///
/// ```
/// use mgs_durable::shard::claims_wait_ms;
///
/// assert_eq!(claims_wait_ms(100_000, 200, 3), 100_000);
/// assert_eq!(claims_wait_ms(100_000, 200, 20), 0);
/// ```
pub fn claims_wait_ms(bytes: u64, rows: usize, swept: usize) -> u64 {
    if swept * WORTHWHILE_ROWS >= rows {
        return 0;
    }
    bytes * MS_PER_S / CLAIM_BYTES_PER_S
}
