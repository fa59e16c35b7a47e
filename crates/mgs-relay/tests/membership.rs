//! The list of endpoints, as several gateways see it.

use std::sync::Arc;

use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::view::Endpoint;
use mgs_relay::warm_up::ColdSigns;

const EXPIRY_GRACE_MS: u64 = 2_200;

fn facts(number: u16) -> EndpointFacts {
    EndpointFacts {
        incarnation: Incarnation {
            id: format!("i-{number}"),
            born_ms: None,
        },
        service: "model".to_string(),
        address: ([10, 0, 0, 1], number).into(),
        zone: "north".to_string(),
        slots: 16,
        is_leaving: false,
    }
}

fn row(facts: EndpointFacts) -> EndpointRow {
    EndpointRow {
        facts,
        written: Revision::default(),
    }
}

fn listed(numbers: &[u16]) -> Endpoints {
    let mut endpoints = Endpoints::new(EXPIRY_GRACE_MS);
    for number in numbers {
        endpoints
            .apply(row(facts(*number)), Origin::Change, 0)
            .expect("a valid entry");
    }
    endpoints
}

#[test]
fn content_hash_is_independent_of_the_order() {
    assert_eq!(
        listed(&[1, 2, 3]).content_hash(),
        listed(&[3, 1, 2]).content_hash()
    );
    assert_ne!(
        listed(&[1, 2, 3]).content_hash(),
        listed(&[1, 2]).content_hash()
    );
    assert_ne!(
        listed(&[]).content_hash(),
        0,
        "0 stands for a list that was never read"
    );
}

#[test]
fn content_hash_covers_shutdowns_and_omits_expired_entries() {
    let mut leaving = listed(&[1, 2]);
    let leaving_facts = EndpointFacts {
        is_leaving: true,
        ..facts(2)
    };
    leaving
        .apply(row(leaving_facts), Origin::Change, 0)
        .expect("a valid entry");
    assert_ne!(leaving.content_hash(), listed(&[1, 2]).content_hash());
    let mut expired = listed(&[1, 2]);
    expired.note_outage_end(0, 100);
    expired.mark_missing("i-2", 200);
    expired.drop_missing(300);
    assert_eq!(expired.fleet().by_key.len(), 2, "still used");
    assert_eq!(expired.content_hash(), listed(&[1]).content_hash());
}

#[test]
fn a_peers_list_replaces_the_own_one_and_keeps_keys() {
    let mut endpoints = listed(&[1, 2]);
    let key = |endpoints: &Endpoints, id: &str| {
        let fleet = endpoints.fleet();
        let mut known = fleet.by_key.values();
        known.find(|e| e.facts.incarnation.id == id).map(|e| e.key)
    };
    let before = key(&endpoints, "i-2");
    endpoints.replace_all(vec![row(facts(2)), row(facts(3))], 100);
    assert_eq!(key(&endpoints, "i-1"), None);
    assert_eq!(key(&endpoints, "i-2"), before);
    assert!(key(&endpoints, "i-3").is_some());
    assert_eq!(endpoints.content_hash(), listed(&[2, 3]).content_hash());
}

/// A host that was cut off from the store until 13.0 s noticed its return for the configuration at
/// 13.4 s and for the endpoints at 13.9 s. The second notice was taken for the end of another
/// outage, so an endpoint that had left at 13.45 s was used until 16.1 s, since its entry might
/// have expired. The host logged `the store is back` twice with `endpoint not listed any more`
/// between them, and requests reached the endpoint until 16.04 s.
#[test]
fn the_end_of_an_outage_counts_once_however_many_topics_notice_it() {
    let mut endpoints = listed(&[1, 2]);
    endpoints.note_outage_end(20, 100);
    endpoints.mark_missing("i-2", 200);
    endpoints.note_outage_end(50, 600);
    endpoints.drop_missing(2_200);
    assert_eq!(
        endpoints.fleet().by_key.len(),
        2,
        "its entry may have expired"
    );
    endpoints.drop_missing(2_400);
    assert_eq!(endpoints.fleet().by_key.len(), 1);
    endpoints.note_outage_end(4_000, 5_000);
    endpoints.mark_missing("i-1", 5_100);
    endpoints.drop_missing(6_000);
    assert_eq!(endpoints.fleet().by_key.len(), 1, "another outage");
}

#[test]
fn an_outage_that_begins_after_another_has_ended_is_separate() {
    let mut endpoints = listed(&[1, 2]);
    endpoints.note_outage_end(0, 100);
    endpoints.mark_missing("i-2", 100);
    endpoints.note_outage_end(200, 2_000);
    endpoints.drop_missing(2_400);
    assert_eq!(
        endpoints.fleet().by_key.len(),
        2,
        "no entry could be written again in between"
    );
}

/// Each gateway reads an entry at another time, so a hash that depended on coldness would make
/// gateways doubt lists that are the same.
#[test]
fn the_hash_of_the_list_does_not_depend_on_cold_times() {
    let mut endpoints = Endpoints::new(1_000);
    endpoints.apply(row(facts(1)), Origin::Snapshot, 0).unwrap();
    endpoints.date_new(None);
    endpoints.apply(row(facts(2)), Origin::Change, 100).unwrap();
    endpoints.date_new(Some(100));
    assert!(endpoints.take_changed());
    let hash = endpoints.content_hash();
    endpoints.extend_cold(&facts(1).incarnation.id, 3_000);
    assert!(endpoints.take_changed());
    assert_eq!(endpoints.content_hash(), hash);
    let fleet = endpoints.fleet();
    let cold = |number| {
        let mut listed = fleet.by_key.values();
        let of_number = |e: &&Arc<Endpoint>| e.facts.incarnation == facts(number).incarnation;
        listed.find(of_number).expect("it is listed").cold
    };
    assert_eq!(
        cold(1),
        ColdSigns {
            entry_until_ms: 3_000,
            listed_ms: None,
        }
    );
    assert_eq!(cold(2).listed_ms, Some(100));
    endpoints.extend_cold(&facts(1).incarnation.id, 2_000);
    assert!(!endpoints.take_changed(), "an earlier end changes nothing");
}

/// Guards against requests to an endpoint that is shutting down, after a status report from before was performed late; and
/// against an endpoint that isn't used for good though its row goes on to say that it is ready.
#[test]
fn a_late_report_of_readiness_is_believed_once_it_has_stood() {
    let mut endpoints = listed(&[1]);
    let is_leaving = |endpoints: &Endpoints| {
        let fleet = endpoints.fleet();
        let mut known = fleet.by_key.values();
        known.next().expect("it is listed").facts.is_leaving
    };
    let report = |endpoints: &mut Endpoints, is_leaving, now_ms| {
        let facts = EndpointFacts {
            is_leaving,
            ..facts(1)
        };
        let _ = endpoints.apply(row(facts), Origin::Change, now_ms);
        endpoints.drop_missing(now_ms);
    };
    report(&mut endpoints, true, 1_000);
    assert!(is_leaving(&endpoints));
    report(&mut endpoints, false, 4_000);
    assert!(is_leaving(&endpoints), "performed late");
    report(&mut endpoints, true, 5_000);
    report(&mut endpoints, false, 8_000);
    endpoints.drop_missing(8_000 + ENTRY_EXPIRY_MS - 1);
    assert!(
        is_leaving(&endpoints),
        "a dead endpoint's row could still stand"
    );
    assert!(endpoints.take_changed());
    endpoints.drop_missing(8_000 + ENTRY_EXPIRY_MS);
    assert!(!is_leaving(&endpoints));
    assert!(endpoints.take_changed());
}
