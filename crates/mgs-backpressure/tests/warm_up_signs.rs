//! When an endpoint counts as cold at one gateway, and which of its permits may still be used.

use std::sync::Arc;

use mgs_backpressure::table::IncarnationHash;
use mgs_backpressure::warm_up::lease::GatewayList;
use mgs_backpressure::warm_up::quota;
use mgs_backpressure::warm_up::ColdEndpoint;
use mgs_backpressure::warm_up::ColdLimit;
use mgs_backpressure::warm_up::Options;
use mgs_backpressure::warm_up::WarmUp;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

const FIRST: IncarnationHash = IncarnationHash(1);
const SECOND: IncarnationHash = IncarnationHash(2);

fn endpoint(incarnation: IncarnationHash, cold_until_ms: f64) -> ColdEndpoint {
    ColdEndpoint {
        incarnation,
        identifier: 9,
        limit: ColdLimit {
            requests_per_s: 5.0,
            start_ms: 3_000.0,
        },
        cold_until_ms,
    }
}

/// The only gateway, entitled from 20 s on for many seconds.
fn entitled() -> WarmUp {
    let mut list = GatewayList::new("gateway-1");
    list.acknowledge_entry(0.0);
    list.confirm(30_000.0, 30_000.0, true);
    let mut warm_up = WarmUp::new(Options::default());
    warm_up.set_gateways(Arc::new(list));
    warm_up
}

fn permits(warm_up: &mut WarmUp, incarnation: IncarnationHash, now_ms: f64) -> usize {
    let mut permits = (0..50).map(|_| warm_up.permit(incarnation, now_ms));
    permits.position(|permit| permit.is_err()).unwrap_or(50)
}

/// Guards against a new start under the same identifier, learnt within a window, that doubles the
/// quota.
#[test]
fn two_incarnations_share_a_quota() {
    let mut warm_up = entitled();
    warm_up.set_endpoints(vec![endpoint(FIRST, 40_000.0)], 20_000.0);
    assert_eq!(permits(&mut warm_up, FIRST, 20_000.0), 4);
    warm_up.set_endpoints(vec![endpoint(SECOND, 40_000.0)], 20_100.0);
    assert_eq!(permits(&mut warm_up, SECOND, 20_100.0), 0);
    assert_eq!(permits(&mut warm_up, SECOND, 21_500.0), 4);
}

#[test]
fn an_endpoint_that_ended_is_cold_until_some_time_after_the_next_request() {
    let mut warm_up = entitled();
    warm_up.set_endpoints(vec![endpoint(FIRST, 0.0)], 20_000.0);
    assert!(!warm_up.is_cold(FIRST, 20_000.0));
    assert!(warm_up.record_end(FIRST, 20_000.0));
    assert!(!warm_up.record_end(FIRST, 20_010.0));
    assert!(warm_up.is_cold(FIRST, 29_000.0));
    let permit = warm_up.permit(FIRST, 29_000.0).expect("a permit");
    // The connection isn't open yet.
    assert!(warm_up.is_cold(FIRST, 29_300.0));
    assert!(warm_up.confirm_send(FIRST, permit, 29_300.0));
    assert!(warm_up.is_cold(FIRST, 32_200.0));
    assert!(!warm_up.is_cold(FIRST, 32_300.0));
}

/// Guards against gateways that may not send to cold endpoints, and so would never use again an
/// endpoint that they saw end.
#[test]
fn an_endpoint_that_listens_again_is_cold_for_its_start_only() {
    let mut warm_up = WarmUp::new(Options::default());
    warm_up.set_endpoints(vec![endpoint(FIRST, 0.0)], 20_000.0);
    warm_up.record_end(FIRST, 20_000.0);
    assert!(warm_up.permit(FIRST, 29_000.0).is_err());
    warm_up.record_listening(FIRST, 29_000.0);
    assert!(warm_up.permit(FIRST, 31_900.0).is_err());
    let permit = warm_up.permit(FIRST, 32_000.0).expect("a permit");
    assert!(warm_up.confirm_send(FIRST, permit, 32_500.0));
    assert!(!warm_up.is_cold(FIRST, 32_500.0));
    // It refuses connections once more.
    assert!(warm_up.record_end(FIRST, 33_000.0));
    assert!(warm_up.is_cold(FIRST, 40_000.0));
}

/// A gateway that may send to it learns from its own request when it started.
#[test]
fn an_endpoint_that_listens_again_stays_cold_for_a_gateway_with_a_quota() {
    let mut warm_up = entitled();
    warm_up.set_endpoints(vec![endpoint(FIRST, 0.0)], 20_000.0);
    warm_up.record_end(FIRST, 20_000.0);
    warm_up.record_listening(FIRST, 21_000.0);
    assert!(warm_up.is_cold(FIRST, 30_000.0));
    assert_eq!(warm_up.cold_endpoints(30_000.0), [FIRST]);
    let permit = warm_up.permit(FIRST, 30_000.0).expect("a permit");
    assert!(warm_up.confirm_send(FIRST, permit, 30_000.0));
    assert!(warm_up.is_cold(FIRST, 32_900.0));
    assert!(!warm_up.is_cold(FIRST, 33_000.0));
}

#[test]
fn a_permit_expires() {
    let mut warm_up = entitled();
    warm_up.set_endpoints(vec![endpoint(FIRST, 40_000.0)], 20_000.0);
    let permit = warm_up.permit(FIRST, 20_000.0).expect("a permit");
    assert!(warm_up.confirm_send(FIRST, permit, 20_399.0));
    assert!(!warm_up.confirm_send(FIRST, permit, 20_400.0));
}

/// Guards against uncounted requests whose connections open while an endpoint becomes cold.
#[test]
fn a_permit_for_a_warm_endpoint_ends_when_the_endpoint_becomes_cold() {
    let mut warm_up = entitled();
    warm_up.set_endpoints(vec![endpoint(FIRST, 0.0)], 20_000.0);
    let permit = warm_up.permit(FIRST, 20_000.0).expect("a permit");
    assert!(warm_up.extend_cold(FIRST, 5_000.0, 20_000.0));
    assert!(!warm_up.confirm_send(FIRST, permit, 20_100.0));
    assert!(warm_up.confirm_send(FIRST, permit, 25_000.0));
}

#[test]
fn an_endpoint_without_a_limit_is_never_cold() {
    let mut warm_up = WarmUp::new(Options::default());
    assert!(!warm_up.extend_cold(FIRST, 5_000.0, 20_000.0));
    assert!(!warm_up.record_end(FIRST, 20_000.0));
    assert!(!warm_up.is_cold(FIRST, 20_000.0));
    assert_eq!(permits(&mut warm_up, FIRST, 20_000.0), 50);
}

#[test]
fn an_entry_that_the_store_has_lost_entitles_only_when_it_is_old_again() {
    let options = Options::default();
    let mut list = GatewayList::new("gateway-1");
    list.acknowledge_entry(0.0);
    list.confirm(20_000.0, 20_000.0, true);
    assert!(list.may_send(20_000.0, &options));
    list.confirm(21_000.0, 21_000.0, false);
    assert!(!list.may_send(21_000.0, &options));
    list.acknowledge_entry(22_000.0);
    list.confirm(38_000.0, 38_000.0, true);
    assert!(!list.may_send(38_900.0, &options));
    assert!(list.may_send(39_000.0, &options));
}

#[test]
fn a_list_that_is_too_long_to_be_kept_entitles_nobody() {
    let mut list = GatewayList::new("gateway-1");
    for number in 0..20_000 {
        list.add(&format!("gateway-{number}"));
    }
    list.acknowledge_entry(0.0);
    list.confirm(20_000.0, 20_000.0, true);
    assert!(!list.may_send(20_000.0, &Options::default()));
    assert!(list.gateways() < 20_000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// The bound doesn't depend on all senders having lists of one length: each sender's rank is at
    /// least its place among the senders, and each list is at least as long as their number.
    #[test]
    fn quotas_of_lists_of_any_length_sum_to_the_limit(
        limit in 0.0_f64..200.0,
        extra in proptest::collection::vec((0_usize..20, 0_usize..400), 1..120),
    ) {
        let options = Options::default();
        let senders = extra.len();
        let quota_of = |(place, (before, listed)): (usize, &(usize, usize))| {
            quota(limit, senders + before + listed, place + before, &options)
        };
        let sum: usize = extra.iter().enumerate().map(quota_of).sum();
        assert!(sum as f64 <= limit, "{sum}");
    }

    /// What rounding leaves is less than one request.
    #[test]
    fn quotas_of_one_list_use_the_usable_share(limit in 2.3_f64..200.0, gateways in 1_usize..400) {
        let options = Options::default();
        let sum: usize = (0..gateways).map(|rank| quota(limit, gateways, rank, &options)).sum();
        assert_eq!(sum, (options.usable_share * limit) as usize);
    }
}
