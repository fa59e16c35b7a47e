//! All gateways together stay within the allowance of second tries, whatever each of them knows.
//!
//! What operators saw: all hosts of a large deployment lost power while the store was silent. When they were back,
//! 1,773 dispatches beyond the first of their request reached the engines within ten seconds, and 1,343 were allowed.
//!
//! What proved the cause: a hundred gateways had each started anew and known nobody, so that each took itself for
//! the only one and the whole of the fixed allowance for its own: 276, of which its part was two or three. Their
//! requests were sent four times within a tenth of a second, to engines that were full of the work of the life
//! before.

use mgs_relay::budget::Budget;
use mgs_relay::budget::Options;
use mgs_relay::gateway_count::GatewayCount;

const GATEWAYS: usize = 100;

const SERVICE: &str = "model";

/// As a large deployment declares it.
fn options() -> Options {
    Options {
        ratio: 0.2,
        extra: 276.0,
        ..Options::default()
    }
}

/// Second tries that gateways take within one window, each for as many requests, as far as their budgets allow.
fn taken(headcounts: &[GatewayCount], requests_each: usize) -> usize {
    let options = options();
    let mut taken = 0;
    for headcount in headcounts {
        let mut budget = Budget::default();
        for request in 0..requests_each {
            let now_ms = request as f64;
            budget.first(&options, SERVICE, now_ms);
            let again =
                |_: &i32| budget.again(&options, SERVICE, now_ms, headcount.gateways_sharing());
            taken += (0..3).filter(again).count();
        }
    }
    taken
}

fn allowed(requests: usize) -> usize {
    let options = options();
    (options.ratio * requests as f64 + options.extra) as usize
}

#[test]
fn gateways_that_all_start_anew_and_know_nobody_stay_within_the_allowance() {
    let headcounts = vec![GatewayCount::default(); GATEWAYS];
    let taken = taken(&headcounts, 20);
    assert!(taken <= allowed(GATEWAYS * 20), "{taken}");
}

#[test]
fn gateways_that_have_heard_few_peers_stay_within_the_allowance() {
    let mut headcount = GatewayCount::default();
    headcount.record_heard(4, 0.0);
    let taken = taken(&vec![headcount; GATEWAYS], 20);
    assert!(taken <= allowed(GATEWAYS * 20), "{taken}");
}

#[test]
fn gateways_that_know_how_many_they_are_may_use_the_fixed_part() {
    let mut headcount = GatewayCount::default();
    headcount.record_reported(GATEWAYS);
    let few_requests = taken(&vec![headcount; GATEWAYS], 1);
    assert!(few_requests >= GATEWAYS, "{few_requests}");
    assert!(few_requests <= allowed(GATEWAYS), "{few_requests}");
}

#[test]
fn a_number_that_a_peer_told_gives_way_to_the_stores_list() {
    let mut headcount = GatewayCount::default();
    headcount.record_reported(40);
    headcount.set_listed(3);
    assert_eq!(headcount.gateways_sharing(), Some(3));
    headcount.record_heard(9, 0.0);
    assert_eq!(
        headcount.gateways_sharing(),
        Some(10),
        "who is heard is there"
    );
}
