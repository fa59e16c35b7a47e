//! Tests of span plans for prompts that exceed one engine's memory.

mod common;

use std::sync::Arc;

use common::endpoint;
use common::request;
use common::view;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::Load;
use mgs_routing::policy::RoutingError;
use mgs_routing::policy::RoutingRequest;
use mgs_routing::span::first_token_ms;
use mgs_routing::span::plan;
use mgs_routing::span::Options;
use mgs_routing::span::Part;
use mgs_schema::wire::EndpointState;

fn span_endpoint(key: u32, kv_used_tokens: u64) -> Endpoint {
    Endpoint {
        span: true,
        load: Load {
            kv_used_tokens,
            ..endpoint(key).load
        },
        ..endpoint(key)
    }
}

fn plan_with_defaults(endpoints: Vec<Endpoint>, tokens: u64) -> Result<Vec<Part>, RoutingError> {
    plan(&view(endpoints), &request(tokens), &Options::default())
}

#[test]
fn a_plan_uses_the_fewest_endpoints_with_the_most_free_memory_in_name_order() {
    let endpoints = vec![
        span_endpoint(0, 300_000),
        span_endpoint(1, 0),
        span_endpoint(2, 10_000),
        span_endpoint(3, 0),
    ];
    let parts = plan_with_defaults(endpoints, 650_000).unwrap();
    let keys: Vec<u32> = parts.iter().map(|part| part.endpoint.0).collect();
    assert_eq!(keys, [1, 3]);
    let sum: u64 = parts.iter().map(|part| part.prompt_tokens).sum();
    assert_eq!(sum, 650_000);
    let (first, home) = (parts[0], parts[1]);
    assert_eq!(first.kv_tokens, first.prompt_tokens);
    let imported = first.prompt_tokens.div_ceil(8);
    let needed = home.prompt_tokens + imported + 100;
    assert!((needed..needed + 10).contains(&home.kv_tokens), "{parts:?}");
}

#[test]
fn a_prompt_that_can_never_fit_differs_from_one_that_must_wait() {
    let fleet = |used| {
        (0..4)
            .map(|key| span_endpoint(key, used))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        plan_with_defaults(fleet(0), 2_000_000),
        Err(RoutingError::PromptExceedsMemory)
    );
    assert_eq!(
        plan_with_defaults(fleet(200_000), 600_000),
        Err(RoutingError::AllBusy)
    );
}

#[test]
fn an_endpoint_that_is_down_or_excluded_counts_as_capacity_but_is_not_chosen() {
    let mut fleet: Vec<Endpoint> = (0..4).map(|key| span_endpoint(key, 0)).collect();
    fleet[0].state = EndpointState::Down;
    let keys = |parts: Vec<Part>| parts.iter().map(|part| part.endpoint.0).collect::<Vec<_>>();
    assert_eq!(
        plan_with_defaults(fleet.clone(), 900_000).map(keys),
        Ok(vec![1, 2, 3])
    );
    let tried = [EndpointKey(1)];
    let request = RoutingRequest {
        excluded: &tried,
        ..request(900_000)
    };
    let planned = plan(&view(fleet), &request, &Options::default());
    assert_eq!(planned, Err(RoutingError::NoEndpoint));
}

#[test]
fn endpoints_that_do_not_declare_spans_are_not_used() {
    let plain = (0..4).map(endpoint).collect();
    assert_eq!(
        plan_with_defaults(plain, 600_000),
        Err(RoutingError::PromptExceedsMemory)
    );
}

#[test]
fn no_part_exceeds_its_endpoints_memory_and_none_is_empty() {
    for tokens in [400_000, 650_000, 700_001, 899_999, 980_000] {
        let parts =
            plan_with_defaults((0..4).map(|key| span_endpoint(key, 0)).collect(), tokens).unwrap();
        let sum: u64 = parts.iter().map(|part| part.prompt_tokens).sum();
        assert_eq!(sum, tokens);
        for part in &parts {
            assert!(
                part.kv_tokens <= 360_000 && part.prompt_tokens > 0,
                "{parts:?}"
            );
        }
    }
}

#[test]
fn there_is_no_plan_if_the_home_stores_a_full_copy() {
    let fleet = view((0..4).map(|key| span_endpoint(key, 0)).collect());
    let options = Options {
        import_ratio: 1,
        ..Options::default()
    };
    let planned = plan(&fleet, &request(700_000), &options);
    assert_eq!(planned, Err(RoutingError::PromptExceedsMemory));
}

#[test]
fn time_to_first_token_is_predicted_for_an_idle_fleet_with_all_endpoints_live() {
    let fleet = |used| view((0..4).map(|key| span_endpoint(key, used)).collect());
    let predicted = |used| first_token_ms(&fleet(used), &request(700_000), &Options::default());
    let idle_ms = predicted(0).unwrap();
    assert!(idle_ms > 0);
    assert_eq!(predicted(400_000), Ok(idle_ms));
    let mut down = fleet(0);
    for endpoint in down.endpoints.iter_mut().flatten() {
        Arc::make_mut(endpoint).state = EndpointState::Down;
    }
    let predicted = first_token_ms(&down, &request(700_000), &Options::default());
    assert_eq!(predicted, Ok(idle_ms));
}
