//! The HTTP side of the platform.

use std::io;
use std::sync::Arc;

use mgs_platform::host::Hosts;
use mgs_platform::object::Objects;
use mgs_platform::table::Table;
use mgs_platform::table::PAGE_ROWS_MAX;
use mgs_platform::weight::Weights;
use mgs_platform::Error;
use tiny_http::Method;
use tiny_http::Request;

use super::memory::Memory;
use crate::http;
use crate::http::Handler;

const MS_PER_S: u64 = 1_000;

/// Answers calls from a [`Memory`].
pub(super) struct PlatformHandler {
    memory: Arc<Memory>,
}

impl PlatformHandler {
    /// A handler over `memory`.
    pub(super) fn new(memory: Arc<Memory>) -> Self {
        Self { memory }
    }

    fn commit(&self, mut request: Request) {
        match http::body_json(&mut request) {
            Ok(txn) => http::answer(request, self.memory.commit(&txn), refuse),
            Err(error) => bad(request, &error),
        }
    }

    fn row(&self, request: Request, query: &str) {
        let key = http::param(query, "key").unwrap_or_default();
        http::answer(request, Table::get(&*self.memory, &key), refuse);
    }

    fn rows(&self, request: Request, query: &str) {
        let prefix = http::param(query, "prefix").unwrap_or_default();
        let after = http::param(query, "after").unwrap_or_default();
        let limit = http::param(query, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS_MAX);
        http::answer(request, self.memory.scan(&prefix, &after, limit), refuse);
    }

    fn put_object(&self, mut request: Request, key: &str) {
        match http::body(&mut request) {
            Ok(body) => http::answer_empty(request, self.memory.put(key, &body), refuse),
            Err(error) => bad(request, &error),
        }
    }

    fn get_object(&self, request: Request, key: &str) {
        match Objects::get(&*self.memory, key) {
            Ok(Some(body)) => http::bytes(request, 200, body),
            Ok(None) => http::empty(request, 404),
            Err(error) => refuse(request, &error),
        }
    }

    fn permit(&self, request: Request, subject: &str) {
        let (model, version) = subject.split_once('/').unwrap_or((subject, ""));
        http::answer_empty(request, self.memory.permit(model, version), refuse);
    }

    fn set_faults(&self, mut request: Request) {
        match http::body_json(&mut request) {
            Ok(settings) => {
                self.memory.faults().set(settings);
                http::json(request, 200, &self.memory.faults().settings());
            }
            Err(error) => bad(request, &error),
        }
    }

    fn set_hosts(&self, mut request: Request) {
        match http::body_json(&mut request) {
            Ok(hosts) => {
                self.memory.set_hosts(hosts);
                http::empty(request, 204);
            }
            Err(error) => bad(request, &error),
        }
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, request: Request) {
        let (path, query) = http::target(&request);
        let method = request.method().clone();
        if let Some(key) = path.strip_prefix("/objects/") {
            return match method {
                Method::Put => self.put_object(request, key),
                Method::Get => self.get_object(request, key),
                Method::Delete => http::answer_empty(request, self.memory.delete(key), refuse),
                _ => http::empty(request, 405),
            };
        }
        if let Some(subject) = path.strip_prefix("/weights/") {
            return self.permit(request, subject);
        }
        match (method, path.as_str()) {
            (Method::Post, "/table/txn") => self.commit(request),
            (Method::Get, "/table/row") => self.row(request, &query),
            (Method::Get, "/table/rows") => self.rows(request, &query),
            (Method::Get, "/hosts") => http::answer(request, self.memory.list(), refuse),
            (Method::Put, "/hosts") => self.set_hosts(request),
            (Method::Get, "/counters") => {
                http::json(request, 200, &self.memory.faults().counters());
            }
            (Method::Get, "/faults") => {
                http::json(request, 200, &self.memory.faults().settings());
            }
            (Method::Post, "/faults") => self.set_faults(request),
            _ => http::empty(request, 404),
        }
    }
}

/// A lost reply is a connection closed without an answer.
fn refuse(request: Request, error: &Error) {
    match error {
        Error::Unavailable(reason) => http::refuse(request, 503, reason),
        Error::Unknown(_) => http::cut(request),
        Error::Throttled { retry_after_ms } => {
            let after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
            http::retry_after(request, 429, after_s);
        }
        Error::Rejected(reason) => http::refuse(request, 400, reason),
    }
}

fn bad(request: Request, error: &io::Error) {
    http::refuse(request, 400, &error.to_string());
}
