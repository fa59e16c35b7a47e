//! Checks the length of the cached prefix.

use mgs_fleet::block::BlockSet;
use mgs_fleet::cache::cached_prefix_len;
use rstest::rstest;

#[rstest]
fn a_cached_prefix_of_any_length_is_found(
    #[values(0, 1, 2, 3, 7, 8, 9, 63, 64, 100)] cached: usize,
) {
    let hashes: Vec<u64> = (1..=100).collect();
    let set: BlockSet = hashes[..cached].iter().copied().collect();
    assert_eq!(cached_prefix_len(&set, &hashes), cached);
}
