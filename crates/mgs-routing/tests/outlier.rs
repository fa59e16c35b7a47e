//! Tests of ejection for failures and slowness, and of the probation that follows.

use mgs_fleet::view::EndpointKey;
use mgs_routing::outlier::Health;
use mgs_routing::outlier::Options;
use mgs_routing::outlier::OutlierDetector;

const ENDPOINT: EndpointKey = EndpointKey(0);

fn detector() -> OutlierDetector {
    let detector = OutlierDetector::new(Options::default());
    detector.set_endpoint_count(20);
    detector
}

fn eject_by_failures(detector: &OutlierDetector, endpoint: EndpointKey, now_ms: u64) {
    for _ in 0..Options::default().consecutive_failures {
        detector.record_failure(endpoint, now_ms);
    }
}

#[test]
fn consecutive_failures_eject_and_an_answer_resets_their_count() {
    let detector = detector();
    for _ in 0..20 {
        detector.record_failure(ENDPOINT, 0);
        detector.record_failure(ENDPOINT, 0);
        detector.record_answer(ENDPOINT);
    }
    assert_eq!(detector.health(ENDPOINT, 0), Health::Healthy);
    eject_by_failures(&detector, ENDPOINT, 0);
    assert_eq!(detector.health(ENDPOINT, 0), Health::Ejected);
}

#[test]
fn probation_follows_an_ejection_and_ends_after_enough_answers() {
    let detector = detector();
    eject_by_failures(&detector, ENDPOINT, 0);
    let ejection_end_ms = Options::default().ejection_ms;
    assert_eq!(
        detector.health(ENDPOINT, ejection_end_ms),
        Health::Probation
    );
    for _ in 0..Options::default().probation_answers {
        detector.record_answer(ENDPOINT);
    }
    assert_eq!(detector.health(ENDPOINT, ejection_end_ms), Health::Healthy);
}

#[test]
fn a_failure_during_probation_ejects_for_twice_as_long() {
    let detector = detector();
    eject_by_failures(&detector, ENDPOINT, 0);
    let ejection_end_ms = Options::default().ejection_ms;
    detector.record_failure(ENDPOINT, ejection_end_ms);
    assert_eq!(
        detector.health(ENDPOINT, 2 * ejection_end_ms),
        Health::Ejected
    );
    assert_eq!(
        detector.health(ENDPOINT, 3 * ejection_end_ms),
        Health::Probation
    );
}

#[test]
fn no_more_than_the_configured_share_is_ejected() {
    let detector = detector();
    for key in 0..20 {
        eject_by_failures(&detector, EndpointKey(key), 0);
    }
    let is_ejected = |key: &u32| detector.health(EndpointKey(*key), 0) == Health::Ejected;
    assert_eq!((0..20).filter(is_ejected).count(), 5);
}

#[test]
fn an_endpoint_much_slower_than_the_fleet_is_ejected() {
    let detector = detector();
    for _ in 0..20 {
        for key in 1..20 {
            detector.record_first_token(EndpointKey(key), 0, 100, 120);
        }
        detector.record_first_token(ENDPOINT, 0, 100, 5_000);
    }
    assert_eq!(detector.health(ENDPOINT, 0), Health::Ejected);
    assert_eq!(detector.health(EndpointKey(1), 0), Health::Healthy);
}

#[test]
fn no_endpoint_is_ejected_if_the_whole_fleet_is_slow() {
    let detector = detector();
    for _ in 0..50 {
        for key in 0..20 {
            detector.record_first_token(EndpointKey(key), 0, 100, 5_000);
        }
    }
    let is_healthy = |key: u32| detector.health(EndpointKey(key), 0) == Health::Healthy;
    assert!((0..20).all(is_healthy));
}
