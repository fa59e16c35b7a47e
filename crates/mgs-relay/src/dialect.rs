//! The wire formats at both ends: how requests and responses look to clients and endpoints.

use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use http::request;
use http::response;
use http::HeaderMap;
use http::Request;
use mgs_backpressure::advice::Advice;
use mgs_placing::need;

/// The parsed head of a client's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClientRequest {
    /// Identifier of this attempt by the client.
    pub request_id: String,
    /// Host name without port, in lower case.
    pub host: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Prompt length in tokens; 0 for calls of services without an engine model.
    pub prompt_tokens: u64,
    /// Largest answer length in tokens.
    pub output_tokens: u64,
    /// Answer length that the client expects, in tokens; right at the median and often far off.
    pub expected_tokens: Option<u64>,
    /// The last event that the client already has, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Identifiers of the parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<String>,
}

impl ClientRequest {
    /// Size of the request in prefill tokens, with the answer length that the client expects or, if
    /// it states none, the longest that it accepts.
    pub fn size_tokens(&self) -> u64 {
        let answer = self.expected_tokens.unwrap_or(self.output_tokens);
        let answer = answer.min(self.output_tokens);
        need::size_tokens(self.prompt_tokens as f64, answer as f64) as u64
    }
}

/// Why the head of a request can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RequestError {
    /// the request has no identifier
    NoRequestId,
    /// the request names no host
    NoHost,
    /// the header field {0} can't be parsed
    Field(String),
}

/// An engine that prefills a part of the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Address at which the engine listens.
    pub address: SocketAddr,
    /// Identifier of the reservation there for a part of the prompt's memory.
    pub reservation: Option<String>,
}

/// What a dispatch tells an endpoint in addition to the client's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Dispatch {
    /// Identifier of the endpoint that the dispatch is meant for.
    pub endpoint_id: String,
    /// Time left for the request, in milliseconds.
    pub left_ms: u64,
    /// The caller's organisation.
    pub organisation: Option<String>,
    /// Rank at the engine from 0 (first) to 9; `None` for services without an engine model.
    pub rank: Option<u8>,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<Helper>,
    /// The last event that was forwarded, if a stream is resumed.
    pub last_event_id: Option<String>,
}

/// Why an endpoint didn't run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It is full, or the request's deadline passed in its queue.
    Full,
    /// Another incarnation listens at the address.
    OtherIncarnation,
    /// Any other reason.
    Other,
}

/// Classification of an endpoint's response by its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseKind {
    /// Proof that the endpoint didn't run the request.
    NotRun {
        /// The reason.
        reason: NotRun,
        /// Address of the endpoint at fault, if it isn't the one that responded.
        at_fault: Option<SocketAddr>,
    },
    /// The endpoint's own answer to this request.
    Answer,
    /// Not this endpoint's response to this request.
    Foreign(InvalidResponse),
}

/// Why a response isn't the endpoint's response to this request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum InvalidResponse {
    /// the response belongs to another request
    OtherRequest,
    /// the endpoint's signature is missing
    Unsigned,
    /// the response body was re-encoded in transit
    Encoded,
}

/// A memory reservation at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Unique identifier.
    pub id: String,
    /// Identifier of the endpoint that the reservation is meant for.
    pub endpoint_id: String,
    /// Reserved memory, in tokens.
    pub tokens: u64,
    /// How long it is held after its arrival, in milliseconds.
    pub hold_ms: u64,
}

/// The protocols towards clients and endpoints.
pub trait Dialect {
    /// Parses the head of a client's request.
    fn parse_request(&self, head: &request::Parts) -> Result<ClientRequest, RequestError>;

    /// Header fields of a dispatch: those of the client that are forwarded, and those added here.
    fn dispatch_fields(&self, client: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Classifies the head of an endpoint's response to `client_request`.
    fn classify_response(
        &self,
        client_request: &ClientRequest,
        head: &response::Parts,
    ) -> ResponseKind;

    /// The advice that a response carries about its endpoint; empty if the response may come from
    /// another endpoint or belong to another request.
    fn advice(&self, client_request: &ClientRequest, head: &response::Parts) -> Advice;

    /// Header fields of an endpoint's response that are forwarded to the client.
    fn response_fields(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Header fields of a response made by this host, with the request's identifier if it has one.
    fn own_fields(&self, request_id: Option<&str>) -> HeaderMap;

    /// The request that makes or renews a reservation.
    fn reserve(&self, reservation: &Reservation) -> Request<Bytes>;

    /// The request that releases a reservation.
    fn release(&self, reservation: &Reservation) -> Request<Bytes>;

    /// Path at which the balancer checks whether this host accepts connections.
    fn ready_path(&self) -> &str;
}
