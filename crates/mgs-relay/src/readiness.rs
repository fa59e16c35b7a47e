//! Answers the balancer's question whether this host takes connections.

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

/// Takes the balancer's connections until the process ends.
pub(crate) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(converse(core.clone(), stream));
            }
            Err(error) => log::warn!(error:% = error; "the balancer can't be answered"),
        }
    }
}

async fn converse(core: Rc<Core>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let answer = answer(&core, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(error = describe(&error); "the balancer's connection ended");
    }
}

fn answer(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = if request.uri().path() != core.dialect.ready_path() {
        StatusCode::NOT_FOUND
    } else if is_ready(core) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Whether this host should get connections.
pub(crate) fn is_ready(core: &Core) -> bool {
    core.drain.phase() == Phase::Serving && core.published.is_complete()
}
