//! An immutable view of the fleet, read by request threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::block::BlockSet;

/// Key of an endpoint in a [`View`]; stable while the process knows the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u32);

/// Load of an endpoint as last reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests waiting at the sidecar.
    pub waiting_requests: u32,
    /// Requests running.
    pub running_requests: u32,
    /// Prompt tokens accepted and not yet processed.
    pub prefill_waiting_tokens: u64,
    /// The part of `prefill_waiting_tokens` that belongs to short prompts.
    pub short_prefill_waiting_tokens: u64,
    /// KV cache memory in use or reserved.
    pub kv_used_tokens: u64,
    /// KV cache memory in total.
    pub kv_capacity_tokens: u64,
    /// Rate of prompt processing; 0 while unknown.
    pub prefill_tokens_per_s: f64,
    /// Duration of one decode step, in milliseconds; 0 while unknown.
    pub decode_step_ms: f64,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its name.
    pub name: String,
    /// Whether it is an engine or a service.
    pub kind: EndpointKind,
    /// Address of its sidecar.
    pub sidecar_address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Models that it can serve now, or the name of its service.
    pub models: Vec<String>,
    /// Whether it can hold a part of a prompt that exceeds one engine's memory.
    pub span: bool,
    /// Incarnation of its sidecar; 0 until it is first reached.
    pub incarnation: u64,
    /// State as last reported by its sidecar, or `Down` while the sidecar can't be reached.
    pub state: EndpointState,
    /// Load as last reported.
    pub load: Load,
    /// When the load was reported, in milliseconds on the process's monotonic clock.
    pub reported_ms: u64,
    /// Hashes of the prompt blocks assumed to be cached.
    pub cached: Arc<BlockSet>,
}

/// The fleet at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Endpoints by key; `None` for endpoints that were removed.
    pub endpoints: Vec<Option<Arc<Endpoint>>>,
    /// Started endpoints by model or service name; empty for a declared name that no endpoint can
    /// serve now.
    pub by_model: Arc<HashMap<String, Vec<EndpointKey>>>,
    /// Version of the settings that the view is based on.
    pub settings_version: u64,
}

impl View {
    /// The endpoint of a key, if the fleet still has it.
    ///
    /// ```
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_fleet::view::View;
    ///
    /// assert!(View::default().get(EndpointKey(3)).is_none());
    /// ```
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key.0 as usize)?.as_deref()
    }
}
