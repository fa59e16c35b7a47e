//! A client of the platform's services over HTTP with JSON.
//!
//! | call | request | answer |
//! |---|---|---|
//! | transaction | `POST /table/txn`, [`Txn`] | 200, [`TxnOutcome`] |
//! | read | `GET /table/row?key=K` | 200, [`Row`] or `null` |
//! | scan | `GET /table/rows?prefix=P&after=K&limit=N` | 200, [`Page`] |
//! | object | `PUT`, `GET`, `DELETE /objects/KEY`, raw bytes | 200, 204, 404 |
//! | weights | `POST /weights/MODEL/VERSION` | 204 or 429 with `Retry-After` in seconds |
//! | hosts | `GET /hosts` | 200, a list of [`Host`] |
//!
//! 503 is an outage in which nothing happened. A connection that is refused is the same; one that
//! times out, or breaks after the request was sent, is [`Error::Unknown`] for a write.

use std::time::Duration;

use attohttpc::header::RETRY_AFTER;
use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use attohttpc::StatusCode;
use mgs_http::is_unsent;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::host::Host;
use crate::host::Hosts;
use crate::object::Objects;
use crate::table::Page;
use crate::table::Row;
use crate::table::Table;
use crate::table::Txn;
use crate::table::TxnOutcome;
use crate::weight::Weights;
use crate::Error;

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base address, `http://IP:PORT`.
    pub base_url: String,
    /// Longest wait for a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest wait for an answer, in milliseconds.
    pub call_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7400".to_string(),
            connect_timeout_ms: 500,
            call_timeout_ms: 2_000,
        }
    }
}

/// A client of all four services.
#[derive(Debug, Clone)]
pub struct Client {
    options: Options,
}

impl Client {
    /// A client with these settings; nothing is sent yet.
    ///
    /// ```
    /// use mgs_platform::http::Client;
    /// use mgs_platform::http::Options;
    ///
    /// let client = Client::new(Options { call_timeout_ms: 500, ..Options::default() });
    /// ```
    pub fn new(options: Options) -> Self {
        Self { options }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.options.base_url);
        RequestBuilder::new(method, url)
            .connect_timeout(Duration::from_millis(self.options.connect_timeout_ms))
            .read_timeout(Duration::from_millis(self.options.call_timeout_ms))
            .timeout(Duration::from_millis(self.options.call_timeout_ms))
    }

    fn read_json<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, Error> {
        let response = request.send().map_err(read_error)?;
        let response = checked(response)?;
        response.json().map_err(read_error)
    }

    fn write_json<I, O>(&self, path: &str, input: &I) -> Result<O, Error>
    where
        I: Serialize,
        O: DeserializeOwned,
    {
        let request = self
            .request(Method::POST, path)
            .json(input)
            .map_err(|error| Error::Rejected(error.to_string()))?;
        let response = request.send().map_err(write_error)?;
        let response = checked(response)?;
        response.json().map_err(write_error)
    }
}

fn read_error(error: attohttpc::Error) -> Error {
    Error::Unavailable(error.to_string())
}

/// A write that may have been sent may have taken effect.
fn write_error(error: attohttpc::Error) -> Error {
    if is_unsent(&error) {
        Error::Unavailable(error.to_string())
    } else {
        Error::Unknown(error.to_string())
    }
}

const MS_PER_S: u64 = 1_000;

fn checked(response: Response) -> Result<Response, Error> {
    let status = response.status();
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(response);
    }
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable("outage".to_string())),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled {
            retry_after_ms: retry_after_ms(&response),
        }),
        _ => Err(Error::Rejected(status.to_string())),
    }
}

fn retry_after_ms(response: &Response) -> u64 {
    let header = response.headers().get(RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.unwrap_or(1) * MS_PER_S
}

impl Table for Client {
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, Error> {
        self.write_json("/table/txn", txn)
    }

    fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.read_json(self.request(Method::GET, "/table/row").param("key", key))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Error> {
        let request = self
            .request(Method::GET, "/table/rows")
            .param("prefix", prefix)
            .param("after", after)
            .param("limit", limit);
        self.read_json(request)
    }
}

impl Objects for Client {
    fn put(&self, key: &str, body: &[u8]) -> Result<(), Error> {
        let request = self
            .request(Method::PUT, &format!("/objects/{key}"))
            .bytes(body);
        checked(request.send().map_err(write_error)?).map(|_| ())
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = self.request(Method::GET, &format!("/objects/{key}"));
        let response = checked(request.send().map_err(read_error)?)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.bytes().map(Some).map_err(read_error)
    }

    fn delete(&self, key: &str) -> Result<(), Error> {
        let request = self.request(Method::DELETE, &format!("/objects/{key}"));
        checked(request.send().map_err(write_error)?).map(|_| ())
    }
}

impl Weights for Client {
    fn permit(&self, model: &str, version: &str) -> Result<(), Error> {
        let request = self.request(Method::POST, &format!("/weights/{model}/{version}"));
        checked(request.send().map_err(write_error)?).map(|_| ())
    }
}

impl Hosts for Client {
    fn list(&self) -> Result<Vec<Host>, Error> {
        self.read_json(self.request(Method::GET, "/hosts"))
    }
}
