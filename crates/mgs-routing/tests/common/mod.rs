//! Endpoints, views and requests for the routing tests.

use std::sync::Arc;

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::Load;
use mgs_fleet::view::View;
use mgs_routing::policy::RoutingRequest;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

/// Time of the load report of every endpoint, in milliseconds.
pub(crate) const REPORTED_MS: u64 = 100_000;

/// A live, idle engine.
pub(crate) fn endpoint(key: u32) -> Endpoint {
    Endpoint {
        key: EndpointKey(key),
        name: format!("engine-{key}"),
        kind: EndpointKind::Engine,
        sidecar_address: "127.0.0.1:7000".parse().expect("an address"),
        zone: "a".into(),
        models: vec!["m".into()],
        span: false,
        incarnation: 1,
        state: EndpointState::Live,
        load: Load {
            kv_capacity_tokens: 400_000,
            prefill_tokens_per_s: 10_000.0,
            ..Load::default()
        },
        reported_ms: REPORTED_MS,
        cached: Arc::default(),
    }
}

/// A view of a fleet with the given endpoints.
pub(crate) fn view(endpoints: Vec<Endpoint>) -> View {
    let keys = endpoints.iter().map(|e| e.key).collect();
    View {
        by_model: Arc::new([("m".to_string(), keys)].into()),
        endpoints: endpoints.into_iter().map(|e| Some(Arc::new(e))).collect(),
        settings_version: 1,
    }
}

/// A request with the given prompt length, in tokens.
pub(crate) fn request(prompt_tokens: u64) -> RoutingRequest<'static> {
    RoutingRequest {
        kind: EndpointKind::Engine,
        model: "m",
        prompt_tokens,
        max_tokens: 100,
        priority: 1,
        prefix_hashes: &[],
        zone: "a",
        excluded: &[],
        budget_ms: 10_000,
        now_ms: REPORTED_MS,
    }
}
