//! Tests of the default policy, `Marigold`.

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

fn endpoint_with_backlog(key: u32, short_tokens: u64, longer_tokens: u64) -> Endpoint {
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
fn the_endpoint_with_the_shortest_predicted_wait_is_chosen() {
    let policy = Marigold::default();
    let endpoints = vec![
        endpoint_with_backlog(0, 3_000, 0),
        endpoint_with_backlog(1, 500, 0),
        endpoint_with_backlog(2, 2_000, 0),
    ];
    assert_eq!(choose(&policy, endpoints, &request(1_000)), Ok(1));
}

#[test]
fn short_prompts_are_predicted_to_overtake_longer_work_and_long_prompts_to_wait_for_it() {
    let policy = Marigold::default();
    let busy = view(vec![endpoint_with_backlog(0, 0, 5_000)]);
    let short = policy.choose(&busy, &request(1_000), 7).unwrap();
    assert_eq!(short.first_token_ms, 100);
    let long = policy.choose(&busy, &request(50_000), 7).unwrap();
    assert_eq!(long.first_token_ms, 5_500);
}

#[test]
fn a_short_prompt_avoids_endpoints_with_longer_work_while_others_are_idle() {
    let policy = Marigold::default();
    let endpoints = vec![
        endpoint_with_backlog(0, 0, 200_000),
        endpoint_with_backlog(1, 0, 0),
    ];
    for random in 0..20 {
        let choice = policy.choose(&view(endpoints.clone()), &request(1_000), random);
        assert_eq!(choice.unwrap().endpoint, EndpointKey(1));
    }
}

#[test]
fn a_cached_prefix_is_preferred_unless_its_endpoint_has_a_long_backlog() {
    let policy = Marigold::default();
    let hashes: Vec<u64> = (1..=32).collect();
    let request = RoutingRequest {
        prefix_hashes: &hashes,
        ..request(8_192)
    };
    let caching_endpoint = |short_tokens| Endpoint {
        cached: Arc::new(hashes.iter().copied().collect()),
        ..endpoint_with_backlog(0, short_tokens, 0)
    };
    let short_backlog = policy.choose(
        &view(vec![caching_endpoint(2_000), endpoint(1)]),
        &request,
        7,
    );
    let short_backlog = short_backlog.unwrap();
    assert_eq!(
        (short_backlog.endpoint, short_backlog.cached_tokens),
        (EndpointKey(0), 8_192)
    );
    let long_backlog = policy.choose(
        &view(vec![caching_endpoint(100_000), endpoint(1)]),
        &request,
        7,
    );
    assert_eq!(long_backlog.unwrap().endpoint, EndpointKey(1));
}

#[test]
fn another_zone_is_preferred_only_for_a_shorter_wait() {
    let policy = Marigold::default();
    let other_zone = |key, tokens| Endpoint {
        zone: "b".into(),
        ..endpoint_with_backlog(key, tokens, 0)
    };
    let equal = vec![other_zone(0, 0), endpoint_with_backlog(1, 0, 0)];
    let mut own = 0;
    for random in 0..100 {
        let choice = policy.choose(&view(equal.clone()), &request(100), random * 31);
        own += u32::from(choice.unwrap().endpoint == EndpointKey(1));
    }
    assert!(own > 0);
    let loaded_own_zone = vec![other_zone(0, 0), endpoint_with_backlog(1, 2_000, 0)];
    assert_eq!(choose(&policy, loaded_own_zone, &request(100)), Ok(0));
}

#[test]
fn own_dispatches_count_until_a_report_includes_them() {
    let policy = Marigold::default();
    let now = RoutingRequest {
        now_ms: REPORTED_MS + 50,
        ..request(4_000)
    };
    policy.dispatched(EndpointKey(0), &now);
    let endpoints = || {
        vec![
            endpoint_with_backlog(0, 0, 0),
            endpoint_with_backlog(1, 1_000, 0),
        ]
    };
    assert_eq!(choose(&policy, endpoints(), &now), Ok(1));
    let reported = |key| Endpoint {
        reported_ms: REPORTED_MS + 500,
        ..endpoint_with_backlog(key, 0, 0)
    };
    let later = RoutingRequest {
        now_ms: REPORTED_MS + 500,
        ..request(4_000)
    };
    let endpoints = vec![reported(0), endpoint_with_backlog(1, 9_000, 0)];
    assert_eq!(choose(&policy, endpoints, &later), Ok(0));
}

#[test]
fn gateways_that_see_the_same_report_spread_their_requests() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let endpoints: Vec<Endpoint> = (0..10)
        .map(|key| endpoint_with_backlog(key, 100, 0))
        .collect();
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
fn a_prompt_without_free_memory_waits_and_one_beyond_total_memory_is_an_error() {
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
fn endpoints_that_are_leaving_or_down_are_not_chosen(#[case] state: EndpointState) {
    let policy = Marigold::default();
    let unavailable = Endpoint {
        state,
        ..endpoint(0)
    };
    assert_eq!(
        choose(&policy, vec![unavailable, endpoint(1)], &request(100)),
        Ok(1)
    );
}

#[test]
fn an_endpoint_with_a_stale_report_is_chosen_only_if_no_other_is_usable() {
    let policy = Marigold::default();
    let now = RoutingRequest {
        now_ms: REPORTED_MS + 10_000,
        ..request(100)
    };
    let fresh = Endpoint {
        reported_ms: REPORTED_MS + 9_900,
        ..endpoint_with_backlog(1, 3_000, 0)
    };
    assert_eq!(choose(&policy, vec![endpoint(0), fresh], &now), Ok(1));
    assert_eq!(choose(&policy, vec![endpoint(0)], &now), Ok(0));
}

#[test]
fn a_failing_endpoint_is_ejected() {
    let policy = Marigold::default();
    let endpoints = || (0..8).map(endpoint).collect::<Vec<_>>();
    assert!(choose(&policy, endpoints(), &request(100)).is_ok());
    for _ in 0..3 {
        policy.dispatched(EndpointKey(0), &request(100));
        policy.finished(EndpointKey(0), &request(100), Outcome::Failed);
    }
    let fleet = view(endpoints());
    let choices_of_failing = (0..200).filter(|random| {
        let choice = policy.choose(&fleet, &request(100), random * 977);
        choice.unwrap().endpoint == EndpointKey(0)
    });
    assert_eq!(choices_of_failing.count(), 0);
}
