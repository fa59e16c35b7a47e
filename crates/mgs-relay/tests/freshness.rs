//! Which of two contents is newer, and when a pending long poll is given up.

use std::time::Duration;

use mgs_relay::freshness::ContentKind;
use mgs_relay::freshness::Freshness;
use mgs_relay::freshness::TopicReport;
use mgs_relay::freshness::STALE_MS;
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::time::timeout;

fn report(content_id: u64, confirmed_ms: u64) -> TopicReport {
    TopicReport {
        content_id,
        confirmed_ms,
        from: ([127, 0, 0, 1], 7).into(),
    }
}

fn freshness_of(kind: ContentKind, content_id: u64, confirmed_ms: u64) -> Freshness {
    let freshness = Freshness::new(kind);
    freshness.set_content_id(content_id);
    freshness.confirm(confirmed_ms);
    freshness
}

#[rstest]
#[case::same_version(ContentKind::Versions, 7, 900, false)]
#[case::older_version_confirmed_later(ContentKind::Versions, 6, 900, false)]
#[case::newer_version(ContentKind::Versions, 8, 900, true)]
#[case::newer_version_confirmed_before(ContentKind::Versions, 8, 100, true)]
#[case::same_hash(ContentKind::Hashes, 7, 900, false)]
#[case::other_hash_confirmed_later(ContentKind::Hashes, 6, 900, true)]
#[case::other_hash_confirmed_before(ContentKind::Hashes, 8, 100, false)]
fn a_peer_has_newer_content(
    #[case] kind: ContentKind,
    #[case] content_id: u64,
    #[case] confirmed_ms: u64,
    #[case] is_newer: bool,
) {
    let freshness = freshness_of(kind, 7, 500);
    freshness.record_report(report(content_id, confirmed_ms));
    assert_eq!(freshness.newer_report().is_some(), is_newer);
}

#[test]
fn a_report_of_the_same_content_confirms_it_and_never_goes_back() {
    let freshness = freshness_of(ContentKind::Versions, 7, 500);
    freshness.record_report(report(7, 900));
    assert_eq!(freshness.age_ms(1_000), Some(100));
    freshness.record_report(report(7, 300));
    assert_eq!(freshness.age_ms(1_000), Some(100));
    freshness.record_report(report(6, 950));
    assert_eq!(freshness.age_ms(1_000), Some(100));
}

#[test]
fn a_long_poll_is_given_up_once_for_each_reported_content() {
    let freshness = freshness_of(ContentKind::Hashes, 7, 500);
    freshness.record_report(report(8, 900));
    assert!(freshness.should_abort_wait());
    freshness.record_report(report(8, 950));
    assert!(
        !freshness.should_abort_wait(),
        "views that never converge cause no further calls"
    );
    freshness.record_report(report(9, 990));
    assert!(freshness.should_abort_wait());
}

#[test]
fn content_without_confirmation_becomes_stale() {
    let freshness = Freshness::new(ContentKind::Versions);
    assert!(freshness.is_stale(0));
    freshness.confirm(1_000);
    assert!(!freshness.is_stale(1_000 + STALE_MS));
    assert!(freshness.is_stale(1_001 + STALE_MS));
}

#[test]
fn a_peer_that_read_the_store_after_it_was_lost_notifies() {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let is_notified = |confirmed_ms| {
        let freshness = freshness_of(ContentKind::Versions, 7, 500);
        freshness.mark_store_lost(800);
        freshness.record_report(report(7, confirmed_ms));
        let notified = async { timeout(Duration::from_millis(5), freshness.notified()).await };
        runtime.block_on(notified).is_ok()
    };
    assert!(!is_notified(790));
    assert!(is_notified(810));
}
