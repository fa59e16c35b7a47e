//! Full messages to peers are sent in time, whatever news there is.
//!
//! Guards against a gateway on a narrow link with steady news that sends short messages only, so that peers never learn
//! of its ended requests.

use std::time::Duration;

use mgs_relay::message_schedule::until_due;
use mgs_relay::message_schedule::DueMessage;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::Instant;

#[test]
fn steady_news_does_not_keep_full_messages_back() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let wanted = Notify::new();
        let start = Instant::now();
        let full_at = start + Duration::from_millis(100);
        let mut sent_at = start;
        for _ in 0..10 {
            // There is news before each wait, as on a link where messages are far apart.
            wanted.notify_one();
            let due = until_due(&wanted, full_at, sent_at).await;
            sent_at = Instant::now();
            match due {
                DueMessage::Full => {
                    assert!(start.elapsed() >= Duration::from_millis(100));
                    return;
                }
                DueMessage::Short => sleep(Duration::from_millis(40)).await,
            }
        }
        panic!("no full message within {:?}", start.elapsed());
    });
}

#[test]
fn without_news_a_short_message_comes_before_peers_take_the_gateway_for_silent() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let start = Instant::now();
        let full_at = start + Duration::from_secs(5);
        assert_eq!(
            until_due(&Notify::new(), full_at, start).await,
            DueMessage::Short
        );
        assert!(start.elapsed() >= Duration::from_millis(500));
    });
}
