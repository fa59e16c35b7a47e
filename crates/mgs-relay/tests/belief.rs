//! Who knows better, and when a waiting call is given up.

use std::time::Duration;

use mgs_relay::belief::Belief;
use mgs_relay::belief::Contents;
use mgs_relay::belief::Word;
use mgs_relay::belief::STALE_MS;
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::time::timeout;

fn word(content: u64, confirmed_ms: u64) -> Word {
    Word {
        content,
        confirmed_ms,
        from: ([127, 0, 0, 1], 7).into(),
    }
}

fn known(contents: Contents, content: u64, confirmed_ms: u64) -> Belief {
    let belief = Belief::new(contents);
    belief.put(content);
    belief.confirm(confirmed_ms);
    belief
}

#[rstest]
#[case::same_version(Contents::Versions, 7, 900, false)]
#[case::older_version_confirmed_later(Contents::Versions, 6, 900, false)]
#[case::newer_version(Contents::Versions, 8, 900, true)]
#[case::newer_version_confirmed_before(Contents::Versions, 8, 100, true)]
#[case::same_hash(Contents::Hashes, 7, 900, false)]
#[case::other_hash_confirmed_later(Contents::Hashes, 6, 900, true)]
#[case::other_hash_confirmed_before(Contents::Hashes, 8, 100, false)]
fn a_peer_knows_better(
    #[case] contents: Contents,
    #[case] content: u64,
    #[case] confirmed_ms: u64,
    #[case] better: bool,
) {
    let belief = known(contents, 7, 500);
    belief.hear(word(content, confirmed_ms));
    assert_eq!(belief.better().is_some(), better);
}

#[test]
fn a_peer_that_knows_the_same_confirms_it_and_never_takes_that_back() {
    let belief = known(Contents::Versions, 7, 500);
    belief.hear(word(7, 900));
    assert_eq!(belief.age_ms(1_000), Some(100));
    belief.hear(word(7, 300));
    assert_eq!(belief.age_ms(1_000), Some(100));
    belief.hear(word(6, 950));
    assert_eq!(belief.age_ms(1_000), Some(100));
}

#[test]
fn a_call_is_given_up_once_for_each_thing_that_peers_know() {
    let belief = known(Contents::Hashes, 7, 500);
    belief.hear(word(8, 900));
    assert!(belief.doubts());
    belief.hear(word(8, 950));
    assert!(!belief.doubts(), "views that differ for good make no calls");
    belief.hear(word(9, 990));
    assert!(belief.doubts());
}

#[test]
fn what_nothing_confirms_gets_stale() {
    let belief = Belief::new(Contents::Versions);
    assert!(belief.is_stale(0));
    belief.confirm(1_000);
    assert!(!belief.is_stale(1_000 + STALE_MS));
    assert!(belief.is_stale(1_001 + STALE_MS));
}

#[test]
fn a_peer_that_has_read_the_store_since_it_was_lost_is_news() {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let is_news = |confirmed_ms| {
        let belief = known(Contents::Versions, 7, 500);
        belief.lose(800);
        belief.hear(word(7, confirmed_ms));
        let news = async { timeout(Duration::from_millis(5), belief.news()).await };
        runtime.block_on(news).is_ok()
    };
    assert!(!is_news(790));
    assert!(is_news(810));
}
