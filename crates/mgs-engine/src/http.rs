//! A client of an engine over HTTP.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use attohttpc::ResponseReader;
use attohttpc::StatusCode;
use mgs_http::is_unsent;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::engine::Engine;
use crate::engine::Error;
use crate::engine::Stream;
use crate::message::CacheEvents;
use crate::message::Event;
use crate::message::Info;
use crate::message::KvExport;
use crate::message::KvHandle;
use crate::message::Load;
use crate::message::Order;
use crate::message::Start;
use crate::message::StreamInfo;

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base address, `http://IP:PORT`.
    pub base_url: String,
    /// Longest wait for a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest wait for an answer to a short call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest wait for KV to be exported or imported, in milliseconds.
    pub kv_timeout_ms: u64,
    /// Longest silence of a stream before its path counts as broken, in milliseconds.
    pub silence_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            base_url: "http://127.0.0.1:7500".to_string(),
            connect_timeout_ms: 500,
            call_timeout_ms: 2_000,
            kv_timeout_ms: 600_000,
            silence_timeout_ms: 600_000,
        }
    }
}

/// A client of one engine.
#[derive(Debug, Clone)]
pub struct Client {
    options: Options,
}

impl Client {
    /// A client with these settings; nothing is sent yet.
    ///
    /// ```
    /// use mgs_engine::http::Client;
    /// use mgs_engine::http::Options;
    ///
    /// let client = Client::new(Options { call_timeout_ms: 500, ..Options::default() });
    /// ```
    pub fn new(options: Options) -> Self {
        Self { options }
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.request(method, path)
            .read_timeout(Duration::from_millis(self.options.call_timeout_ms))
            .timeout(Duration::from_millis(self.options.call_timeout_ms))
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.options.base_url);
        RequestBuilder::new(method, url)
            .connect_timeout(Duration::from_millis(self.options.connect_timeout_ms))
            .read_timeout(Duration::from_millis(self.options.silence_timeout_ms))
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let response = checked(self.call(Method::GET, path).send().map_err(classify)?)?;
        response.json().map_err(classify)
    }

    /// A call that takes as long as the engine needs for its tokens.
    fn post_kv<I: Serialize>(&self, path: &str, input: &I) -> Result<KvHandle, Error> {
        let limit = Duration::from_millis(self.options.kv_timeout_ms);
        let request = self
            .request(Method::POST, path)
            .read_timeout(limit)
            .timeout(limit)
            .json(input)
            .map_err(classify)?;
        let response = checked(request.send().map_err(classify)?)?;
        response.json().map_err(classify)
    }

    fn post<I: Serialize>(&self, path: &str, input: &I) -> Result<Response, Error> {
        let request = self
            .call(Method::POST, path)
            .json(input)
            .map_err(classify)?;
        checked(request.send().map_err(classify)?)
    }

    fn delete(&self, path: &str) -> Result<(), Error> {
        checked(self.call(Method::DELETE, path).send().map_err(classify)?).map(|_| ())
    }
}

fn classify(error: attohttpc::Error) -> Error {
    if is_unsent(&error) {
        Error::Unreachable(error.to_string())
    } else {
        Error::Broken(error.to_string())
    }
}

fn checked(response: Response) -> Result<Response, Error> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::CONFLICT => Err(Error::Exists),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Full),
        status => Err(Error::Rejected(status.to_string())),
    }
}

/// A stream read line by line.
struct Lines {
    reader: BufReader<ResponseReader>,
    ended: bool,
}

impl Lines {
    fn boxed(response: Response) -> Box<dyn Stream> {
        let (_, _, reader) = response.split();
        Box::new(Self {
            reader: BufReader::new(reader),
            ended: false,
        })
    }
}

impl Stream for Lines {
    fn next(&mut self) -> Result<Option<Event>, Error> {
        if self.ended {
            return Ok(None);
        }
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        let read = read.map_err(|error| Error::Broken(error.to_string()))?;
        if read == 0 {
            return Err(Error::Broken("the stream stops before its end".to_string()));
        }
        let event =
            serde_json::from_str(&line).map_err(|error| Error::Broken(error.to_string()))?;
        self.ended = matches!(event, Event::End { .. });
        Ok(Some(event))
    }
}

impl Engine for Client {
    fn start(&self, start: &Start) -> Result<Box<dyn Stream>, Error> {
        let request = self
            .request(Method::POST, "/streams")
            .json(start)
            .map_err(classify)?;
        let response = checked(request.send().map_err(classify)?)?;
        Ok(Lines::boxed(response))
    }

    fn resume(&self, stream: &str, from: u64) -> Result<Box<dyn Stream>, Error> {
        let path = format!("/streams/{stream}");
        let request = self.request(Method::GET, &path).param("from", from);
        let response = checked(request.send().map_err(classify)?)?;
        Ok(Lines::boxed(response))
    }

    fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.delete(&format!("/streams/{stream}"))
    }

    fn streams(&self) -> Result<Vec<StreamInfo>, Error> {
        self.get("/streams")
    }

    fn export_kv(&self, export: &KvExport) -> Result<KvHandle, Error> {
        self.post_kv("/kv/export", export)
    }

    fn import_kv(&self, handle: &KvHandle) -> Result<KvHandle, Error> {
        self.post_kv("/kv/import", handle)
    }

    fn kv(&self) -> Result<Vec<KvHandle>, Error> {
        self.get("/kv")
    }

    fn free_kv(&self, kv: &str) -> Result<(), Error> {
        self.delete(&format!("/kv/{kv}"))
    }

    fn load(&self) -> Result<Load, Error> {
        self.get("/load")
    }

    fn cache_events(&self, after: u64) -> Result<CacheEvents, Error> {
        self.get(&format!("/cache-events?after={after}"))
    }

    fn order(&self, order: &Order) -> Result<(), Error> {
        match self.post("/orders", order) {
            Ok(_) => Ok(()),
            Err(Error::Exists) => Err(Error::StaleFencing),
            Err(error) => Err(error),
        }
    }

    fn info(&self) -> Result<Info, Error> {
        self.get("/info")
    }
}
