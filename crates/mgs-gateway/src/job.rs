//! A request as the gateway understood it.

use mgs_admission::queue::AdmissionRequest;
use mgs_fleet::view::EndpointKey;
use mgs_routing::policy::RoutingRequest;
use mgs_schema::key::RequestId;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::Dispatch;

/// Part of the allotted time that is kept for the way back from the sidecar, as a divisor.
const RETURN_DIVISOR: u64 = 20;

/// Most time kept for the way back, in milliseconds.
const RETURN_MAX_MS: u64 = 100;

/// A request without its body.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its identifier.
    pub id: RequestId,
    /// Organisation.
    pub organisation: String,
    /// Kind of request.
    pub kind: String,
    /// What must stand behind the endpoint.
    pub endpoint_kind: EndpointKind,
    /// Model, or name of the service.
    pub model: String,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub max_tokens: u64,
    /// Chained hashes of the prompt's blocks.
    pub prefix_hashes: Vec<u64>,
    /// Priority of its row; 0 is served first.
    pub priority: u32,
    /// Weight of its row.
    pub weight: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Method of a plain service's call.
    pub method: String,
    /// Path and query of a plain service's call.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Whether its sidecar must go on with it when this gateway is gone.
    pub outlives_gateway: bool,
    /// When it arrived, on the process's monotonic clock, in milliseconds.
    pub arrived_ms: u64,
    /// When its allotted time ends, on the same clock.
    pub deadline_ms: u64,
}

impl Job {
    /// The question for a policy.
    pub fn ask<'a>(
        &'a self,
        zone: &'a str,
        excluded: &'a [EndpointKey],
        now_ms: u64,
    ) -> RoutingRequest<'a> {
        RoutingRequest {
            kind: self.endpoint_kind,
            model: &self.model,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            priority: self.priority,
            prefix_hashes: &self.prefix_hashes,
            zone,
            excluded,
            budget_ms: self.deadline_ms.saturating_sub(now_ms),
            now_ms,
        }
    }

    /// The offer for admission.
    pub fn offer(&self) -> AdmissionRequest {
        AdmissionRequest {
            id: self.id,
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            model: self.model.clone(),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.deadline_ms,
        }
    }

    /// The message for a sidecar; attempt, incarnations, session and the policy's priority are the
    /// caller's to fill in.
    pub fn dispatch(&self, body: Vec<u8>, now_ms: u64) -> Dispatch {
        let budget_ms = self.sidecar_budget_ms(now_ms);
        // 0 stands for the sidecar's own lease.
        let orphan_ms = match self.outlives_gateway {
            true => budget_ms,
            false => 0,
        };
        Dispatch {
            request_origin: self.id.origin,
            request_serial: self.id.serial,
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            priority: self.priority,
            weight: self.weight,
            model: self.model.clone(),
            body,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix_hashes: self.prefix_hashes.clone(),
            budget_ms,
            orphan_ms,
            idempotent: self.idempotent,
            path: self.path.clone(),
            method: self.method.clone(),
            content_type: self.content_type.clone(),
            ..Dispatch::default()
        }
    }

    /// What is left for the sidecar, so that its word on the outcome still comes in time.
    pub fn sidecar_budget_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        left_ms - (left_ms / RETURN_DIVISOR).min(RETURN_MAX_MS)
    }
}
