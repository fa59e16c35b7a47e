//! The product's policy.

mod common;

use std::sync::Arc;

use common::endpoint;
use common::request;
use common::view;
use common::REPORTED_MS;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::Load;
use mgs_routing::marigold::Marigold;
use mgs_routing::policy::Policy;
use mgs_routing::policy::RoutingError;
use mgs_routing::policy::RoutingRequest;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn waiting(key: u32, short_tokens: u64, longer_tokens: u64) -> Endpoint {
    let idle = endpoint(key);
    Endpoint {
        load: Load {
            prefill_waiting_tokens: short_tokens + longer_tokens,
            short_prefill_waiting_tokens: short_tokens,
            ..idle.load
        },
        ..idle
    }
}

fn choose(
    policy: &Marigold,
    endpoints: Vec<Endpoint>,
    request: &RoutingRequest<'_>,
) -> Result<u32, RoutingError> {
    policy
        .choose(&view(endpoints), request, 7)
        .map(|choice| choice.endpoint.0)
}

#[test]
fn the_least_wait_wins() {
    let policy = Marigold::default();
    let endpoints = vec![
        waiting(0, 3_000, 0),
        waiting(1, 500, 0),
        waiting(2, 2_000, 0),
    ];
    assert_eq!(choose(&policy, endpoints, &request(1_000)), Ok(1));
}

#[test]
fn a_short_prompt_is_predicted_past_long_work_and_a_long_one_behind_it() {
    let policy = Marigold::default();
    let busy = view(vec![waiting(0, 0, 5_000)]);
    let short = policy.choose(&busy, &request(1_000), 7).unwrap();
    assert_eq!(short.first_token_ms, 100);
    let long = policy.choose(&busy, &request(50_000), 7).unwrap();
    assert_eq!(long.first_token_ms, 5_500);
}

#[test]
fn a_short_prompt_avoids_endpoints_with_long_work_while_others_are_free() {
    let policy = Marigold::default();
    let endpoints = vec![waiting(0, 0, 200_000), waiting(1, 0, 0)];
    for random in 0..20 {
        let choice = policy.choose(&view(endpoints.clone()), &request(1_000), random);
        assert_eq!(choice.unwrap().endpoint, EndpointKey(1));
    }
}

#[test]
fn a_cached_prefix_wins_unless_its_endpoint_is_far_behind() {
    let policy = Marigold::default();
    let hashes: Vec<u64> = (1..=32).collect();
    let request = RoutingRequest {
        prefix_hashes: &hashes,
        ..request(8_192)
    };
    let holder = |short_tokens| Endpoint {
        cached: Arc::new(hashes.iter().copied().collect()),
        ..waiting(0, short_tokens, 0)
    };
    let near = policy.choose(&view(vec![holder(2_000), endpoint(1)]), &request, 7);
    let near = near.unwrap();
    assert_eq!((near.endpoint, near.cached_tokens), (EndpointKey(0), 8_192));
    let far = policy.choose(&view(vec![holder(100_000), endpoint(1)]), &request, 7);
    assert_eq!(far.unwrap().endpoint, EndpointKey(1));
}

#[test]
fn the_own_zone_is_left_only_for_less_wait() {
    let policy = Marigold::default();
    let other_zone = |key, tokens| Endpoint {
        zone: "b".into(),
        ..waiting(key, tokens, 0)
    };
    let equal = vec![other_zone(0, 0), waiting(1, 0, 0)];
    let mut own = 0;
    for random in 0..100 {
        let choice = policy.choose(&view(equal.clone()), &request(100), random * 31);
        own += u32::from(choice.unwrap().endpoint == EndpointKey(1));
    }
    assert!(own > 0);
    let spill = vec![other_zone(0, 0), waiting(1, 2_000, 0)];
    assert_eq!(choose(&policy, spill, &request(100)), Ok(0));
}

#[test]
fn own_dispatches_count_until_a_report_shows_them() {
    let policy = Marigold::default();
    let now = RoutingRequest {
        now_ms: REPORTED_MS + 50,
        ..request(4_000)
    };
    policy.dispatched(EndpointKey(0), &now);
    let endpoints = || vec![waiting(0, 0, 0), waiting(1, 1_000, 0)];
    assert_eq!(choose(&policy, endpoints(), &now), Ok(1));
    let reported = |key| Endpoint {
        reported_ms: REPORTED_MS + 500,
        ..waiting(key, 0, 0)
    };
    let later = RoutingRequest {
        now_ms: REPORTED_MS + 500,
        ..request(4_000)
    };
    let endpoints = vec![reported(0), waiting(1, 9_000, 0)];
    assert_eq!(choose(&policy, endpoints, &later), Ok(0));
}

#[test]
fn many_gateways_with_one_report_do_not_herd() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let endpoints: Vec<Endpoint> = (0..10).map(|key| waiting(key, 100, 0)).collect();
    let fleet = view(endpoints);
    let mut counts = [0u32; 10];
    for _ in 0..500 {
        let choice = Marigold::default().choose(&fleet, &request(2_000), rng.random());
        counts[choice.unwrap().endpoint.0 as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (20..=90).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn what_does_not_fit_waits_or_is_told() {
    let policy = Marigold::default();
    let full = Endpoint {
        load: Load {
            kv_used_tokens: 390_000,
            ..endpoint(0).load
        },
        ..endpoint(0)
    };
    assert_eq!(
        choose(&policy, vec![full], &request(20_000)),
        Err(RoutingError::AllBusy)
    );
    let too_large = choose(&policy, vec![endpoint(0)], &request(500_000));
    assert_eq!(too_large, Err(RoutingError::PromptExceedsMemory));
}

#[rstest]
#[case::leaving(EndpointState::Leaving)]
#[case::down(EndpointState::Down)]
fn endpoints_that_take_no_work_are_not_chosen(#[case] state: EndpointState) {
    let policy = Marigold::default();
    let gone = Endpoint {
        state,
        ..endpoint(0)
    };
    assert_eq!(
        choose(&policy, vec![gone, endpoint(1)], &request(100)),
        Ok(1)
    );
}

#[test]
fn an_endpoint_that_fell_silent_is_the_last_resort() {
    let policy = Marigold::default();
    let now = RoutingRequest {
        now_ms: REPORTED_MS + 10_000,
        ..request(100)
    };
    let fresh = Endpoint {
        reported_ms: REPORTED_MS + 9_900,
        ..waiting(1, 3_000, 0)
    };
    assert_eq!(choose(&policy, vec![endpoint(0), fresh], &now), Ok(1));
    assert_eq!(choose(&policy, vec![endpoint(0)], &now), Ok(0));
}

#[test]
fn a_failing_endpoint_is_passed_over() {
    let policy = Marigold::default();
    let endpoints = || (0..8).map(endpoint).collect::<Vec<_>>();
    assert!(choose(&policy, endpoints(), &request(100)).is_ok());
    for _ in 0..3 {
        policy.dispatched(EndpointKey(0), &request(100));
        policy.finished(EndpointKey(0), &request(100), Outcome::Failed);
    }
    let fleet = view(endpoints());
    let hits = (0..200).filter(|random| {
        let choice = policy.choose(&fleet, &request(100), random * 977);
        choice.unwrap().endpoint == EndpointKey(0)
    });
    assert_eq!(hits.count(), 0);
}
