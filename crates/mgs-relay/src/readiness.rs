//! Answers the load balancer's readiness checks.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connection::describe;
use crate::core::Core;
use crate::drain::Phase;

/// Accepts connections of the balancer until the process ends.
pub(crate) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(handle_connection(core.clone(), stream));
            }
            Err(error) => {
                log::warn!(error:% = error; "the balancer's connection can't be accepted")
            }
        }
    }
}

async fn handle_connection(core: Rc<Core>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = respond(&core, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(error = describe(&error); "the balancer's connection ended");
    }
}

fn respond(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = if request.uri().path() != core.dialect.ready_path() {
        StatusCode::NOT_FOUND
    } else if is_ready(core) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Whether this host should receive connections: it isn't shutting down, and it knows what serving
/// needs.
pub(crate) fn is_ready(core: &Core) -> bool {
    core.drain.phase() == Phase::Serving && core.published.is_complete()
}
