//! The baseline queue.

mod common;

use common::offer;
use common::started;
use common::Tokens;
use mgs_admission::fifo::Fifo;
use mgs_admission::queue::Admission;

#[test]
fn the_head_of_the_queue_holds_up_the_rest() {
    let mut queue = Fifo::default();
    queue.offer(0, &offer(1, "a", 500));
    queue.offer(0, &offer(2, "a", 10));
    assert!(queue.next(0, &mut Tokens::new(100)).is_empty());
    assert!(queue.cancel(0, offer(1, "a", 500).id));
    assert_eq!(started(&queue.next(0, &mut Tokens::new(100))), [2]);
}
