//! What requests and answers look like at both ends: the border to the protocols.

use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use http::request;
use http::response;
use http::HeaderMap;
use http::Request;
use mgs_backpressure::advice::Advice;
use mgs_placing::need;

/// A client's request as it is understood.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// Identifier of this attempt of the client.
    pub request_id: String,
    /// Host name without port, in lower case.
    pub host: String,
    /// The caller's key.
    pub api_key: Option<String>,
    /// How long the client will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Tokens of the prompt; 0 for calls of plain services.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Tokens that the client expects the answer to have; right at the median and often far off.
    pub expected_tokens: Option<u64>,
    /// The last event that the client already has, if it continues a stream.
    pub last_event_id: Option<String>,
}

impl Ask {
    /// Size of the request in read tokens, with the answer that the client expects or, without its word, the
    /// longest one that it takes.
    pub fn size_tokens(&self) -> u64 {
        let answer = self.expected_tokens.unwrap_or(self.output_tokens);
        let answer = answer.min(self.output_tokens);
        need::size_tokens(self.prompt_tokens as f64, answer as f64) as u64
    }
}

/// Why a request isn't understood.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Malformed {
    /// the request has no identifier
    NoRequestId,
    /// the request names no host
    NoHost,
    /// the field {0} can't be read
    Field(String),
}

/// An engine that reads a part of the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub address: SocketAddr,
    /// The reservation there that keeps a part of the prompt's memory.
    pub reservation: Option<String>,
}

/// What is said to an endpoint besides the client's own request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Dispatch {
    /// The incarnation that is meant.
    pub endpoint_id: String,
    /// What is left of the request's time, in milliseconds.
    pub left_ms: u64,
    /// The caller's organisation.
    pub organisation: Option<String>,
    /// Rank at the engine from 0 (first) to 9; `None` for plain services.
    pub rank: Option<u8>,
    /// Engines that read parts.
    pub helpers: Vec<Helper>,
    /// The last event that was passed on, if a stream is continued.
    pub last_event_id: Option<String>,
}

/// Why an endpoint says that it didn't run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It is full, or the request's time ended in its queue.
    Full,
    /// The address belongs to another incarnation.
    OtherIncarnation,
    /// It says so for another reason.
    Other,
}

/// How the head of an endpoint's answer is to be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The endpoint proves that it didn't run the request.
    NotRun {
        /// Why.
        reason: NotRun,
        /// The endpoint at fault, if it isn't the one that answered.
        at_fault: Option<SocketAddr>,
    },
    /// The endpoint's own answer to this request.
    Answer,
    /// Not an answer of this endpoint to this request.
    Foreign(Foreign),
}

/// What shows that an answer isn't the endpoint's answer to this request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Foreign {
    /// it answers another request
    OtherRequest,
    /// the endpoint's signature is missing
    Unsigned,
    /// its body was changed on the way
    Encoded,
}

/// Memory to set aside at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Its name, unique.
    pub id: String,
    /// The incarnation that is meant.
    pub endpoint_id: String,
    /// Tokens.
    pub tokens: u64,
    /// For how long, from its arrival, in milliseconds.
    pub hold_ms: u64,
}

/// The protocols at both ends.
pub trait Dialect {
    /// Understands the head of a client's request.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Malformed>;

    /// The fields that an endpoint gets: those of the client that may pass, and ours.
    fn dispatch_fields(&self, client: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// How the head of an endpoint's answer to `ask` is to be taken.
    fn reply(&self, ask: &Ask, head: &response::Parts) -> Reply;

    /// What an answer says of the endpoint that gave it; nothing if it may be another's, or an answer to another request.
    fn advice(&self, ask: &Ask, head: &response::Parts) -> Advice;

    /// The fields of an endpoint's answer that a client gets.
    fn answer_fields(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// The fields of our own answer to a request, if it has an identifier.
    fn own_fields(&self, request_id: Option<&str>) -> HeaderMap;

    /// The call that sets memory aside, or renews it.
    fn reserve(&self, reservation: &Reservation) -> Request<Bytes>;

    /// The call that gives memory back.
    fn release(&self, reservation: &Reservation) -> Request<Bytes>;

    /// Path at which the balancer asks whether this host takes connections.
    fn ready_path(&self) -> &str;
}
