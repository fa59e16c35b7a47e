//! The length of a cached prefix.

use mgs_fleet::block::BlockSet;
use mgs_fleet::cache::leading;
use rstest::rstest;

#[rstest]
fn any_length_is_found(#[values(0, 1, 2, 3, 7, 8, 9, 63, 64, 100)] cached: usize) {
    let hashes: Vec<u64> = (1..=100).collect();
    let set: BlockSet = hashes[..cached].iter().copied().collect();
    assert_eq!(leading(&set, &hashes), cached);
}
