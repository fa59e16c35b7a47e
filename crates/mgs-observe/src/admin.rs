//! The admin server: an HTTP server for operators with `/metrics`, `/healthz` and `/readyz`.
//!
//! | path | response |
//! |---|---|
//! | `/metrics` | 200, the registry in the OpenMetrics text format |
//! | `/healthz` | 200 while the process works, 503 when it should be restarted |
//! | `/readyz` | 200 while it should get requests, 503 with the reason on one line otherwise |
//!
//! Any other path gets 404, any method but GET and HEAD 405.

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

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Health of a role.
pub trait Health: Send + Sync {
    /// Whether the process works; if not, it should be restarted.
    fn healthy(&self) -> bool;

    /// Whether the process should get requests, or the reason why not.
    fn ready(&self) -> Result<(), String>;
}

/// Settings of the admin server.
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

/// Why the admin server didn't start.
#[derive(Debug, Display)]
pub enum Error {
    /// the admin server can't listen on {listen}: {reason}
    Listen {
        /// The address.
        listen: String,
        /// The error of the operating system.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// A running admin server; dropping it stops the server.
pub struct AdminServer {
    address: SocketAddr,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl AdminServer {
    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.server.unblock();
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("the admin server thread panicked");
        }
    }
}

/// Starts the admin server on its own thread.
///
/// ```
/// use std::sync::Arc;
///
/// use mgs_observe::admin;
/// use mgs_observe::metrics::Registry;
///
/// struct AlwaysHealthy;
///
/// impl admin::Health for AlwaysHealthy {
///     fn healthy(&self) -> bool {
///         true
///     }
///
///     fn ready(&self) -> Result<(), String> {
///         Ok(())
///     }
/// }
///
/// let admin = admin::serve(admin::Options::default(), Registry::new(), Arc::new(AlwaysHealthy))?;
/// assert_ne!(admin.address().port(), 0);
/// # Ok::<(), admin::Error>(())
/// ```
pub fn serve(
    options: Options,
    registry: Registry,
    health: Arc<dyn Health>,
) -> Result<AdminServer, Error> {
    let listen_error = |reason: String| Error::Listen {
        listen: options.listen.clone(),
        reason,
    };
    let server = Server::http(&options.listen).map_err(|error| listen_error(error.to_string()))?;
    let server = Arc::new(server);
    let address = server
        .server_addr()
        .to_ip()
        .expect("BUG: an IP listener has an IP address");
    let accepting_server = server.clone();
    let thread = thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || run(&accepting_server, &registry, health.as_ref()))
        .map_err(|error| listen_error(error.to_string()))?;
    Ok(AdminServer {
        address,
        server,
        thread: Some(thread),
    })
}

fn run(server: &Server, registry: &Registry, health: &dyn Health) {
    for request in server.incoming_requests() {
        let response = respond(&request, registry, health);
        if let Err(error) = request.respond(response) {
            log::debug!(error:% = error; "failed to send an admin response");
        }
    }
}

type TextResponse = Response<std::io::Cursor<Vec<u8>>>;

fn respond(request: &Request, registry: &Registry, health: &dyn Health) -> TextResponse {
    if !matches!(request.method(), Method::Get | Method::Head) {
        return text_response(405, "use GET\n".to_string(), TEXT_CONTENT_TYPE);
    }
    let path = request.url().split('?').next().unwrap_or_default();
    match path {
        "/metrics" => text_response(200, registry.encode(), METRICS_CONTENT_TYPE),
        "/healthz" if health.healthy() => text_response(200, "ok\n".to_string(), TEXT_CONTENT_TYPE),
        "/healthz" => text_response(503, "not healthy\n".to_string(), TEXT_CONTENT_TYPE),
        "/readyz" => match health.ready() {
            Ok(()) => text_response(200, "ready\n".to_string(), TEXT_CONTENT_TYPE),
            Err(reason) => text_response(503, format!("{reason}\n"), TEXT_CONTENT_TYPE),
        },
        _ => text_response(
            404,
            "try /metrics, /healthz or /readyz\n".to_string(),
            TEXT_CONTENT_TYPE,
        ),
    }
}

fn text_response(status: u16, body: String, content_type: &str) -> TextResponse {
    let header = Header::from_bytes("Content-Type", content_type)
        .expect("BUG: the content types are valid headers");
    Response::from_string(body)
        .with_status_code(status)
        .with_header(header)
}
