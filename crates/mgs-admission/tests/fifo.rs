//! The first-in, first-out baseline queue.

mod common;

use common::request;
use common::started;
use common::TokenCapacity;
use mgs_admission::fifo::Fifo;
use mgs_admission::queue::Admission;

#[test]
fn first_request_blocks_the_others() {
    let mut queue = Fifo::default();
    queue.submit(0, &request(1, "a", 500));
    queue.submit(0, &request(2, "a", 10));
    assert!(queue.schedule(0, &mut TokenCapacity::new(100)).is_empty());
    assert!(queue.cancel(0, request(1, "a", 500).id));
    assert_eq!(
        started(&queue.schedule(0, &mut TokenCapacity::new(100))),
        [2]
    );
}
