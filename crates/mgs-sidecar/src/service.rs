//! Calls of a plain service. Whether a call may be repeated is the gateway's to decide; here each
//! one is made once.

use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use displaydoc::Display;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;

/// Names the request to the service.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the service can't be reached; nothing was sent: {0}
    Unreachable(String),
    /// the path broke after the call was sent: {0}
    Broken(String),
    /// the call can't be made: {0}
    Invalid(String),
}

impl std::error::Error for Error {}

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base address, `http://IP:PORT`.
    pub base_url: String,
    /// Longest wait for a connection, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7600".to_string(),
            connect_timeout_ms: 500,
        }
    }
}

/// A client of one plain service.
#[derive(Debug, Clone)]
pub struct Client {
    options: Options,
}

impl Client {
    /// A client with these settings; nothing is sent yet.
    ///
    /// ```
    /// use mgs_sidecar::service::Client;
    /// use mgs_sidecar::service::Options;
    ///
    /// let client = Client::new(Options { connect_timeout_ms: 100, ..Options::default() });
    /// ```
    pub fn new(options: Options) -> Self {
        Self { options }
    }

    /// Its settings.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The service's `HOST:PORT`.
    pub fn authority(&self) -> &str {
        let url = &self.options.base_url;
        let rest = url.split_once("://").map_or(url.as_str(), |(_, rest)| rest);
        rest.split('/').next().unwrap_or(rest)
    }

    /// Makes the call once, waiting for at most `budget_ms`.
    pub fn call(&self, dispatch: &Dispatch, budget_ms: u64) -> Result<Finished, Error> {
        let method = Method::from_bytes(dispatch.method.as_bytes())
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let url = format!("{}{}", self.options.base_url, dispatch.path);
        let limit = Duration::from_millis(budget_ms.max(1));
        let mut request = RequestBuilder::try_new(method, url)
            .map_err(|error| Error::Invalid(error.to_string()))?
            .connect_timeout(Duration::from_millis(self.options.connect_timeout_ms).min(limit))
            .read_timeout(limit)
            .timeout(limit)
            .follow_redirects(false)
            .header(REQUEST_ID_HEADER, dispatch.request_id().to_string());
        if !dispatch.content_type.is_empty() {
            request = request
                .try_header("Content-Type", &dispatch.content_type)
                .map_err(|error| Error::Invalid(error.to_string()))?;
        }
        let response = request
            .bytes(&dispatch.body)
            .send()
            .map_err(|error| classify(&error))?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get("Content-Type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let body = response
            .bytes()
            .map_err(|error| Error::Broken(error.to_string()))?;
        Ok(Finished {
            outcome: Outcome::Answered.into(),
            status: status.into(),
            body,
            content_type,
            ..Finished::default()
        })
    }
}

/// Only a call that was never sent proves that the service did nothing.
fn classify(error: &attohttpc::Error) -> Error {
    if mgs_http::is_unsent(error) {
        return Error::Unreachable(error.to_string());
    }
    Error::Broken(error.to_string())
}
