//! A plain service: it answers each call with how often it has run it.
//!
//! Any path but `/control/…` answers 200 with an [`Answer`]. The request's id is its
//! `Idempotency-Key` header, or else its `X-Request-Id` header, or empty. For processes:
//! `POST /control/crash`, `POST /control/freeze`, `POST /control/thaw`,
//! `GET /control/executions`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::gate::Gate;
use crate::http;
use crate::http::Handler;
use crate::http::Server;

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where to listen, `IP:PORT`; port 0 takes a free one.
    pub listen: String,
    /// Time that a call takes, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_string(),
            delay_ms: 0,
        }
    }
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Path and query of the call.
    pub path: String,
    /// Method of the call.
    pub method: String,
    /// Identifier of the request.
    pub request_id: String,
    /// How often the service has run a call with this identifier, this one included.
    pub executions: usize,
    /// Body of the call as text.
    pub body: String,
}

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Identifier of the request.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// When it began.
    pub started: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// Whether it was cut by a crash.
    pub crashed: bool,
}

/// A run in the list of `GET /control/executions`.
#[derive(Debug, Serialize)]
struct ExecutionLine {
    request_id: String,
    method: String,
    path: String,
    body: String,
    ended: bool,
    crashed: bool,
}

struct State {
    options: Options,
    gate: Gate,
    executions: Mutex<Vec<Execution>>,
}

/// The plain service as a server; it stops when dropped.
pub struct Service {
    state: Arc<State>,
    server: Server,
}

impl Service {
    /// Starts the server.
    ///
    /// ```
    /// use mgs_standin::service::Options;
    /// use mgs_standin::service::Service;
    ///
    /// let service = Service::start(Options { delay_ms: 5, ..Options::default() })?;
    /// assert!(service.executions().is_empty());
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: Options) -> io::Result<Self> {
        let listen = options.listen.clone();
        let state = Arc::new(State {
            options,
            gate: Gate::default(),
            executions: Mutex::default(),
        });
        let handler = ServiceHandler {
            state: Arc::clone(&state),
        };
        let server = Server::start(&listen, "service", Arc::new(handler))?;
        Ok(Self { state, server })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base address.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Everything that ever ran here; a crash doesn't forget it.
    pub fn executions(&self) -> Vec<Execution> {
        self.state.lock().clone()
    }

    /// How often a request ran here.
    pub fn executions_of(&self, request_id: &str) -> usize {
        count(&self.state.lock(), request_id)
    }

    /// Cuts the calls under way without an answer.
    pub fn crash(&self) {
        self.state.gate.crash();
    }

    /// Stops to answer, or goes on.
    pub fn freeze(&self, frozen: bool) {
        self.state.gate.freeze(frozen);
    }

    /// Stops to take calls.
    pub fn stop(&mut self) {
        self.state.gate.freeze(false);
        self.server.stop();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.stop();
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.executions.lock().expect("no holder panics")
    }

    /// Notes a run; says its place and how often its request has run.
    fn begin(&self, execution: Execution) -> (usize, usize) {
        let mut executions = self.lock();
        let request_id = execution.request_id.clone();
        executions.push(execution);
        (executions.len() - 1, count(&executions, &request_id))
    }

    fn end(&self, place: usize, crashed: bool) {
        let execution = &mut self.lock()[place];
        execution.ended = Some(Instant::now());
        execution.crashed = crashed;
    }

    fn lines(&self) -> Vec<ExecutionLine> {
        let line = |execution: &Execution| ExecutionLine {
            request_id: execution.request_id.clone(),
            method: execution.method.clone(),
            path: execution.path.clone(),
            body: execution.body.clone(),
            ended: execution.ended.is_some(),
            crashed: execution.crashed,
        };
        self.lock().iter().map(line).collect()
    }
}

fn count(executions: &[Execution], request_id: &str) -> usize {
    let runs = executions.iter();
    runs.filter(|run| run.request_id == request_id).count()
}

struct ServiceHandler {
    state: Arc<State>,
}

impl ServiceHandler {
    fn run(&self, mut request: Request) {
        let life = self.state.gate.life();
        if self.state.gate.pass() != life {
            return http::cut(request);
        }
        let Ok(body) = http::body(&mut request) else {
            return http::cut(request);
        };
        let execution = Execution {
            request_id: request_id(&request),
            method: request.method().to_string(),
            path: request.url().to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
            started: Instant::now(),
            ended: None,
            crashed: false,
        };
        let mut answer = Answer {
            path: execution.path.clone(),
            method: execution.method.clone(),
            request_id: execution.request_id.clone(),
            executions: 0,
            body: execution.body.clone(),
        };
        let (place, executions) = self.state.begin(execution);
        answer.executions = executions;
        thread::sleep(Duration::from_millis(self.state.options.delay_ms));
        let crashed = self.state.gate.pass() != life;
        self.state.end(place, crashed);
        if crashed {
            return http::cut(request);
        }
        http::json(request, 200, &answer);
    }
}

impl Handler for ServiceHandler {
    fn handle(&self, request: Request) {
        let (path, _) = http::target(&request);
        match (request.method(), path.as_str()) {
            (Method::Post, "/control/crash") => self.state.gate.crash(),
            (Method::Post, "/control/freeze") => self.state.gate.freeze(true),
            (Method::Post, "/control/thaw") => self.state.gate.freeze(false),
            (Method::Get, "/control/executions") => {
                return http::json(request, 200, &self.state.lines());
            }
            _ => return self.run(request),
        }
        http::empty(request, 204);
    }
}

fn request_id(request: &Request) -> String {
    http::header(request, "Idempotency-Key")
        .or_else(|| http::header(request, "X-Request-Id"))
        .unwrap_or_default()
}
