//! An HTTP server for operators: `/metrics`, `/healthz` and `/readyz`.
//!
//! | path | answer |
//! |---|---|
//! | `/metrics` | 200, the registry in the OpenMetrics text format |
//! | `/healthz` | 200 while the process works, 503 when it should be restarted |
//! | `/readyz` | 200 while it should get work, 503 with the reason on one line when it should not |
//!
//! Any other path is answered 404, any method but GET and HEAD 405.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use displaydoc::Display;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::metrics::Registry;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// What a role says of itself.
pub trait Health: Send + Sync {
    /// Whether the process works; if not, it should be restarted.
    fn healthy(&self) -> bool;

    /// Whether it should get work, or else why not.
    fn ready(&self) -> Result<(), String>;
}

/// Settings of the server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on, `IP:PORT`; port 0 takes a free one.
    pub listen: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_string(),
        }
    }
}

/// Why the server didn't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {listen} for operators: {reason}
    Listen {
        /// The address.
        listen: String,
        /// What the system said.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// A running server; it stops when this is dropped.
pub struct Admin {
    address: SocketAddr,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Admin {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.server.unblock();
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("the operators' server panicked");
        }
    }
}

/// Starts the server on a thread of its own.
///
/// ```
/// use std::sync::Arc;
///
/// use mgs_observe::admin;
/// use mgs_observe::metrics::Registry;
///
/// struct Always;
///
/// impl admin::Health for Always {
///     fn healthy(&self) -> bool {
///         true
///     }
///
///     fn ready(&self) -> Result<(), String> {
///         Ok(())
///     }
/// }
///
/// let admin = admin::serve(admin::Options::default(), Registry::new(), Arc::new(Always))?;
/// assert_ne!(admin.address().port(), 0);
/// # Ok::<(), admin::Error>(())
/// ```
pub fn serve(
    options: Options,
    registry: Registry,
    health: Arc<dyn Health>,
) -> Result<Admin, Error> {
    let fail = |reason: String| Error::Listen {
        listen: options.listen.clone(),
        reason,
    };
    let server = Server::http(&options.listen).map_err(|error| fail(error.to_string()))?;
    let server = Arc::new(server);
    let address = server
        .server_addr()
        .to_ip()
        .expect("BUG: an IP listener has an IP address");
    let accepting = server.clone();
    let thread = thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || run(&accepting, &registry, health.as_ref()))
        .map_err(|error| fail(error.to_string()))?;
    Ok(Admin {
        address,
        server,
        thread: Some(thread),
    })
}

fn run(server: &Server, registry: &Registry, health: &dyn Health) {
    for request in server.incoming_requests() {
        let answer = answer(&request, registry, health);
        if let Err(error) = request.respond(answer) {
            log::debug!(error:% = error; "an operator's connection broke");
        }
    }
}

type Answer = Response<std::io::Cursor<Vec<u8>>>;

fn answer(request: &Request, registry: &Registry, health: &dyn Health) -> Answer {
    if !matches!(request.method(), Method::Get | Method::Head) {
        return text(405, "use GET\n".to_string(), TEXT_TYPE);
    }
    let path = request.url().split('?').next().unwrap_or_default();
    match path {
        "/metrics" => text(200, registry.encode(), METRICS_TYPE),
        "/healthz" if health.healthy() => text(200, "ok\n".to_string(), TEXT_TYPE),
        "/healthz" => text(503, "not healthy\n".to_string(), TEXT_TYPE),
        "/readyz" => match health.ready() {
            Ok(()) => text(200, "ready\n".to_string(), TEXT_TYPE),
            Err(reason) => text(503, format!("{reason}\n"), TEXT_TYPE),
        },
        _ => text(
            404,
            "try /metrics, /healthz or /readyz\n".to_string(),
            TEXT_TYPE,
        ),
    }
}

fn text(status: u16, body: String, content_type: &str) -> Answer {
    let header = Header::from_bytes("Content-Type", content_type)
        .expect("BUG: the content types are valid headers");
    Response::from_string(body)
        .with_status_code(status)
        .with_header(header)
}
