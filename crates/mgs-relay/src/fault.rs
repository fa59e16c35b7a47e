//! Why a request ends without an endpoint's response, and what the client is told.

use displaydoc::Display;
use http::StatusCode;

use crate::drain::RETRY_AFTER_LEAVING_MS;

/// Why a request ends without an endpoint's response. The doc comment of a variant is the message
/// in the response to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Fault {
    /// no configuration is known yet
    NoConfiguration,
    /// the configuration is too old to say no by it
    StaleConfiguration,
    /// this host is about to stop
    Leaving,
    /// no route takes the request
    NoRoute,
    /// the key is unknown
    UnknownKey,
    /// the request can't be understood
    Malformed,
    /// the body is longer than allowed
    BodyTooLong,
    /// the body didn't arrive in time
    BodyTooSlow,
    /// this host has no memory for the body now
    NoMemory,
    /// this host's link carries no more now
    LinkFull,
    /// no endpoint of the service is known
    NoEndpoint,
    /// the endpoints have asked to be sent nothing now
    Blocked,
    /// all endpoints are in availability zones that are being evacuated
    ZonesEvacuated,
    /// the endpoints have no room
    Full,
    /// the prompt exceeds the memory of all engines together
    TooLarge,
    /// the engines are short, and the share of the caller's organisation is used up
    OverShare,
    /// the deadline would pass before it could be served
    TooLate,
    /// it would wait too long for its engines
    NoTurn,
    /// the request has crashed the endpoints that ran it, and isn't sent to others
    Held,
    /// the endpoints said that they didn't run it
    NotRun,
    /// the endpoint gave no usable answer; it may have run
    Unknown,
    /// this host has stopped while an endpoint was at work
    Stopped,
    /// the deadline passed before it was sent
    TimeoutBefore,
    /// the deadline passed while an endpoint was at work
    TimeoutRunning,
}

impl Fault {
    /// Status code for the client. Only 429 and 503 imply that the request has not run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown | Self::Stopped => StatusCode::BAD_GATEWAY,
            Self::TimeoutRunning => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Name in logs and counters.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::Leaving => "leaving",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::LinkFull => "link_full",
            Self::NoEndpoint => "no_endpoint",
            Self::Blocked => "endpoints_shut",
            Self::ZonesEvacuated => "zones_evacuated",
            Self::Full => "full",
            Self::TooLarge => "too_large",
            Self::OverShare => "over_share",
            Self::TooLate => "too_late",
            Self::NoTurn => "no_turn",
            Self::Held => "quarantined",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Stopped => "stopped",
            Self::TimeoutBefore => "timeout_before_dispatch",
            Self::TimeoutRunning => "timeout_running",
        }
    }
}

/// A fault and when the client may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) fault: Fault,
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    pub(crate) fn of(fault: Fault) -> Self {
        Self {
            fault,
            retry_after_ms: None,
        }
    }

    pub(crate) fn after(fault: Fault, retry_after_ms: u64) -> Self {
        Self {
            fault,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns the request to the client, which then reaches another host.
    pub(crate) fn leaving() -> Self {
        Self::after(Fault::Leaving, RETRY_AFTER_LEAVING_MS)
    }
}
