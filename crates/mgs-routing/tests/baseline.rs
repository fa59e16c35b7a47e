//! Tests of the baseline policies, and of what all policies have in common.

mod common;

use std::sync::Arc;

use common::endpoint;
use common::request;
use common::view;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_routing::policy::by_name;
use mgs_routing::policy::RoutingError;
use mgs_routing::policy::RoutingRequest;
use mgs_routing::policy::NAMES;
use mgs_schema::wire::Outcome;
use rstest::rstest;

#[rstest]
fn every_policy_returns_the_reason_if_no_endpoint_can_be_chosen(
    #[values(0, 1, 2, 3)] policy: usize,
) {
    let policy = by_name(NAMES[policy]).unwrap();
    let fleet = view(vec![endpoint(0)]);
    let unknown_model = RoutingRequest {
        model: "other",
        ..request(1)
    };
    assert_eq!(
        policy.choose(&fleet, &unknown_model, 0),
        Err(RoutingError::UnknownModel)
    );
    let excluded = RoutingRequest {
        excluded: &[EndpointKey(0)],
        ..request(1)
    };
    assert_eq!(
        policy.choose(&fleet, &excluded, 0),
        Err(RoutingError::NoEndpoint)
    );
    let large = policy.choose(&fleet, &request(500_000), 0);
    assert_eq!(large, Err(RoutingError::PromptExceedsMemory));
}

#[test]
fn round_robin_chooses_endpoints_in_turn() {
    let policy = by_name("round-robin").unwrap();
    let fleet = view((0..3).map(endpoint).collect());
    let choose = |_| policy.choose(&fleet, &request(1), 0).unwrap().endpoint.0;
    let turns: Vec<u32> = (0..6).map(choose).collect();
    assert_eq!(turns, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn least_outstanding_counts_requests_that_have_not_ended() {
    let policy = by_name("least-outstanding").unwrap();
    let fleet = view((0..2).map(endpoint).collect());
    policy.dispatched(EndpointKey(0), &request(1));
    let choose = || policy.choose(&fleet, &request(1), 0).unwrap().endpoint;
    assert_eq!(choose(), EndpointKey(1));
    policy.finished(EndpointKey(0), &request(1), Outcome::Answered);
    policy.dispatched(EndpointKey(1), &request(1));
    assert_eq!(choose(), EndpointKey(0));
}

#[test]
fn prefix_affinity_prefers_the_cached_prefix_until_its_endpoint_is_overloaded() {
    let policy = by_name("prefix-affinity").unwrap();
    let hashes: Vec<u64> = (1..=4).collect();
    let caching_endpoint = Endpoint {
        cached: Arc::new(hashes.iter().copied().collect()),
        ..endpoint(1)
    };
    let fleet = view(vec![endpoint(0), caching_endpoint]);
    let request = RoutingRequest {
        prefix_hashes: &hashes,
        ..request(1_024)
    };
    let choose = || policy.choose(&fleet, &request, 0).unwrap().endpoint;
    assert_eq!(choose(), EndpointKey(1));
    for _ in 0..10 {
        policy.dispatched(EndpointKey(1), &request);
    }
    assert_eq!(choose(), EndpointKey(0));
}

#[test]
fn only_the_default_policy_derives_engine_priority_from_prompt_length() {
    let priority = |name, tokens| by_name(name).unwrap().engine_priority(&request(tokens));
    for name in &NAMES[1..] {
        assert_eq!(priority(name, 1_000), priority(name, 500_000));
    }
    assert!(priority(NAMES[0], 1_000) < priority(NAMES[0], 500_000));
}
