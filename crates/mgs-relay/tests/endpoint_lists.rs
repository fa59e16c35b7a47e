//! Which of two lists of endpoints is taken, whoever read it and in whatever order they arrive.

use mgs_relay::endpoint_list::EndpointList;
use mgs_relay::membership::Endpoints;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use rstest::rstest;

/// How long entries that may have expired are kept, in milliseconds.
const GRACE_MS: u64 = 2_200;

fn row(number: u16, is_leaving: bool) -> EndpointRow {
    let facts = EndpointFacts {
        incarnation: Incarnation {
            id: format!("i-{number}"),
            born_ms: None,
        },
        service: "desk".to_string(),
        address: ([127, 0, 0, 1], number).into(),
        zone: "north".to_string(),
        slots: 4,
        is_leaving,
    };
    let written = Revision { era: 1, number: 1 };
    EndpointRow { facts, written }
}

fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn list(revision: Option<Revision>, listed: Vec<EndpointRow>) -> EndpointList {
    EndpointList {
        revision,
        listed,
        ..EndpointList::default()
    }
}

/// A gateway that has read at this revision that the first endpoint drains.
fn gateway_at(revision: Revision) -> Endpoints {
    let mut endpoints = Endpoints::new(GRACE_MS);
    endpoints.replace_all(vec![row(1, true), row(2, false)], 0);
    endpoints.set_revision(revision);
    endpoints
}

fn is_draining(endpoints: &Endpoints, number: u16) -> bool {
    let id = format!("i-{number}");
    let fleet = endpoints.fleet();
    let mut used = fleet.by_key.values();
    used.any(|endpoint| endpoint.facts.incarnation.id == id && endpoint.facts.is_leaving)
}

fn count(endpoints: &Endpoints) -> usize {
    endpoints.fleet().by_key.len()
}

/// Guards against an older list that brings back an endpoint which drains. Eras go before numbers; a list without a
/// revision is judged by what its gateway reports.
#[rstest]
#[case::older(Some(revision(1, 89)), false, false)]
#[case::of_the_same_revision(Some(revision(1, 90)), false, false)]
#[case::older_though_reported_newer(Some(revision(1, 89)), true, false)]
#[case::newer(Some(revision(1, 91)), false, true)]
#[case::of_an_earlier_era(Some(revision(0, 900)), false, false)]
#[case::of_a_later_era(Some(revision(2, 10)), false, true)]
#[case::without_revision(None, false, false)]
#[case::without_revision_but_reported_newer(None, true, true)]
fn only_a_newer_list_is_taken(
    #[case] theirs: Option<Revision>,
    #[case] is_reported_newer: bool,
    #[case] is_taken: bool,
) {
    let mut endpoints = gateway_at(revision(1, 90));
    let before = endpoints.list();
    let received = list(theirs, vec![row(1, false), row(3, false)]);
    assert_eq!(
        endpoints.take_list(received, is_reported_newer, 100),
        is_taken
    );
    assert_eq!(endpoints.list() != before, is_taken);
}

#[test]
fn a_gateway_that_knows_nothing_takes_any_list_with_endpoints() {
    let mut endpoints = Endpoints::new(GRACE_MS);
    assert!(!endpoints.take_list(list(None, Vec::new()), false, 0));
    assert!(endpoints.is_provisional());
    assert!(endpoints.take_list(list(None, vec![row(1, false)]), false, 0));
    assert_eq!(count(&endpoints), 1);
}

/// Of two peers that are asked at a start, the one that knows less may answer last.
#[rstest]
#[case::newer_first([20, 10])]
#[case::older_first([10, 20])]
fn the_newest_of_two_first_lists_counts(#[case] numbers: [u64; 2]) {
    let mut endpoints = Endpoints::new(GRACE_MS);
    for number in numbers {
        let theirs = vec![row(1, number == 20)];
        endpoints.take_list(list(Some(revision(1, number)), theirs), false, 0);
        assert!(endpoints.is_provisional(), "the own read still counts");
    }
    assert!(is_draining(&endpoints, 1));
}

/// A list that is passed on keeps the revision at which it was read, and can't outrank what was read later.
#[test]
fn a_list_that_is_passed_on_grows_no_newer() {
    let mut old = Endpoints::new(GRACE_MS);
    old.replace_all(vec![row(1, false)], 0);
    old.set_revision(revision(1, 80));
    let mut between = Endpoints::new(GRACE_MS);
    assert!(between.take_list(old.list(), false, 10));
    let mut endpoints = gateway_at(revision(1, 90));
    assert!(!endpoints.take_list(between.list(), true, 20));
    assert!(is_draining(&endpoints, 1));
}

/// A peer that has read a restored older copy of the store knows of it first; the copy can't take back what was learnt.
#[test]
fn a_list_of_a_later_era_brings_back_no_endpoint_that_drains() {
    let mut endpoints = gateway_at(revision(1, 90));
    let copy = list(Some(revision(2, 70)), vec![row(1, false), row(2, false)]);
    assert!(endpoints.take_list(copy, false, 100));
    assert!(is_draining(&endpoints, 1));
}

#[test]
fn an_answer_is_outdated_if_a_later_list_was_taken() {
    let mut endpoints = gateway_at(revision(1, 90));
    assert!(endpoints.take_list(list(Some(revision(1, 95)), vec![row(2, false)]), false, 100));
    assert!(endpoints.is_newer_than(revision(1, 94)));
    assert!(!endpoints.is_newer_than(revision(1, 95)));
    assert!(!endpoints.is_newer_than(revision(2, 1)));
}

/// Guards against an entry that a peer keeps after an outage, and that the receiver takes for a listed one.
#[test]
fn what_a_peer_keeps_after_an_outage_is_dropped_when_it_drops_it() {
    let mut peer = Endpoints::new(GRACE_MS);
    peer.replace_all(vec![row(1, false), row(2, false)], 0);
    peer.note_outage_end(0, 1_000);
    peer.mark_missing("i-1", 1_000);
    peer.set_revision(revision(1, 50));
    peer.drop_missing(1_000);
    let handed = peer.list();
    assert_eq!(handed.expiring, vec![row(1, false)]);
    let mut endpoints = Endpoints::new(GRACE_MS);
    assert!(endpoints.take_list(handed, false, 2_000));
    assert_eq!(count(&endpoints), 2);
    endpoints.drop_missing(1_000 + GRACE_MS - 1);
    assert_eq!(count(&endpoints), 2);
    endpoints.drop_missing(1_000 + GRACE_MS);
    assert_eq!(count(&endpoints), 1);
}
