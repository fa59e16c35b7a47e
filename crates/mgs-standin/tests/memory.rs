//! The engine's memory: sharing, eviction and balance.

use mgs_standin::engine::memory::Change;
use mgs_standin::engine::memory::Memory;

#[test]
fn a_shared_block_counts_once() {
    let mut memory = Memory::new(2_000);
    let blocks = [1, 2, 3];
    let mut first = memory.reserve(&blocks, 800).expect("room");
    memory.publish(&mut first, &blocks);
    let second = memory.reserve(&blocks, 900).expect("room");
    assert_eq!(second.cached_tokens(), 768);
    assert_eq!(memory.used_tokens(), 768 + 32 + 132);
    memory.release(first);
    assert_eq!(memory.used_tokens(), 900);
    memory.release(second);
    assert_eq!((memory.used_tokens(), memory.cached_tokens()), (0, 768));
}

#[test]
fn the_end_of_the_oldest_prompt_is_evicted_first() {
    let mut memory = Memory::new(1_024);
    for blocks in [[1, 2], [3, 4]] {
        let mut hold = memory.reserve(&blocks, 512).expect("room");
        memory.publish(&mut hold, &blocks);
        memory.release(hold);
    }
    memory.take_changes();
    let hold = memory.reserve(&[], 300).expect("room");
    let gone = |block| Change {
        block,
        cached: false,
    };
    assert_eq!(memory.take_changes(), [gone(2), gone(1)]);
    memory.release(hold);
    assert!(memory.reserve(&[3, 4], 1_025).is_none());
    assert!(memory.reserve(&[3, 4], 1_024).is_some());
}
