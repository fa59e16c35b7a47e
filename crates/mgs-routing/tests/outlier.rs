//! Ejection by evidence, and the way back.

use mgs_fleet::view::EndpointKey;
use mgs_routing::outlier::Health;
use mgs_routing::outlier::Options;
use mgs_routing::outlier::OutlierDetector;

const A: EndpointKey = EndpointKey(0);

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
fn failures_in_a_row_eject_and_answers_between_them_do_not() {
    let detector = detector();
    for _ in 0..20 {
        detector.record_failure(A, 0);
        detector.record_failure(A, 0);
        detector.record_answer(A);
    }
    assert_eq!(detector.health(A, 0), Health::Healthy);
    eject_by_failures(&detector, A, 0);
    assert_eq!(detector.health(A, 0), Health::Ejected);
}

#[test]
fn a_trial_follows_and_its_answers_end_it() {
    let detector = detector();
    eject_by_failures(&detector, A, 0);
    let ejection_end_ms = Options::default().ejection_ms;
    assert_eq!(detector.health(A, ejection_end_ms), Health::Probation);
    for _ in 0..Options::default().probation_answers {
        detector.record_answer(A);
    }
    assert_eq!(detector.health(A, ejection_end_ms), Health::Healthy);
}

#[test]
fn a_failed_trial_ejects_for_twice_as_long() {
    let detector = detector();
    eject_by_failures(&detector, A, 0);
    let ejection_end_ms = Options::default().ejection_ms;
    detector.record_failure(A, ejection_end_ms);
    assert_eq!(detector.health(A, 2 * ejection_end_ms), Health::Ejected);
    assert_eq!(detector.health(A, 3 * ejection_end_ms), Health::Probation);
}

#[test]
fn no_more_than_a_share_is_ejected() {
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
        detector.record_first_token(A, 0, 100, 5_000);
    }
    assert_eq!(detector.health(A, 0), Health::Ejected);
    assert_eq!(detector.health(EndpointKey(1), 0), Health::Healthy);
}

#[test]
fn a_fleet_that_is_slow_as_a_whole_loses_nobody() {
    let detector = detector();
    for _ in 0..50 {
        for key in 0..20 {
            detector.record_first_token(EndpointKey(key), 0, 100, 5_000);
        }
    }
    let is_good = |key: u32| detector.health(EndpointKey(key), 0) == Health::Healthy;
    assert!((0..20).all(is_good));
}
