//! Endpoints for prompts beyond one engine's memory.

mod common;

use common::ask;
use common::endpoint;
use common::view;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::Load;
use mgs_routing::policy::NoChoice;
use mgs_routing::span::plan;
use mgs_routing::span::Options;
use mgs_routing::span::Part;

fn holder(key: u32, kv_used_tokens: u64) -> Endpoint {
    Endpoint {
        span: true,
        load: Load {
            kv_used_tokens,
            ..endpoint(key).load
        },
        ..endpoint(key)
    }
}

fn planned(endpoints: Vec<Endpoint>, tokens: u64) -> Result<Vec<Part>, NoChoice> {
    plan(&view(endpoints), &ask(tokens), &Options::default())
}

#[test]
fn the_fewest_endpoints_with_the_most_room_are_taken_in_the_order_of_their_names() {
    let endpoints = vec![
        holder(0, 300_000),
        holder(1, 0),
        holder(2, 10_000),
        holder(3, 0),
    ];
    let parts = planned(endpoints, 700_000).unwrap();
    let keys: Vec<u32> = parts.iter().map(|part| part.endpoint.0).collect();
    assert_eq!(keys, [1, 3]);
    let sum: u64 = parts.iter().map(|part| part.kv_tokens).sum();
    assert_eq!(sum, 700_100);
}

#[test]
fn what_can_never_fit_is_told_apart_from_what_must_wait() {
    let fleet = |used| (0..4).map(|key| holder(key, used)).collect::<Vec<_>>();
    assert_eq!(
        planned(fleet(0), 2_000_000),
        Err(NoChoice::PromptExceedsMemory)
    );
    assert_eq!(planned(fleet(200_000), 600_000), Err(NoChoice::AllBusy));
}

#[test]
fn endpoints_that_do_not_declare_spans_are_left_alone() {
    let plain = (0..4).map(endpoint).collect();
    assert_eq!(planned(plain, 600_000), Err(NoChoice::PromptExceedsMemory));
}
