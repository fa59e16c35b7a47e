//! A sidecar before a plain service.

mod common;
mod fake;

use std::net::TcpListener;

use common::read;
use common::refusal;
use common::Gateway;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::service;
use mgs_standin::service::Service;

fn service(delay_ms: u64) -> Service {
    Service::start(service::Options {
        delay_ms,
        ..service::Options::default()
    })
    .unwrap()
}

fn sidecar(url: &str) -> Sidecar {
    Sidecar::start(Options {
        kind: EndpointKind::Service,
        endpoint_url: url.to_string(),
        ..common::options()
    })
    .unwrap()
}

fn message(gateway: &Gateway, serial: u64) -> Dispatch {
    Dispatch {
        method: "POST".into(),
        path: "/orders?to=sfax".into(),
        content_type: "application/json".into(),
        body: b"{\"bolts\":40}".to_vec(),
        ..gateway.message(serial, 0)
    }
}

#[test]
fn a_call_is_made_once_under_its_requests_name() {
    let service = service(0);
    let sidecar = sidecar(&service.url());
    let gateway = Gateway::connect(&sidecar, 1);
    let request = message(&gateway, 1);
    let name = request.request_id().to_string();
    let (_, finished) = read(&gateway.send(request), 0);
    assert_eq!(finished.outcome(), Outcome::Answered);
    assert_eq!(finished.status, 200);
    assert_eq!(service.executions_of(&name), 1);
    let run = &service.executions()[0];
    assert_eq!(
        (run.method.as_str(), run.path.as_str()),
        ("POST", "/orders?to=sfax")
    );
    assert_eq!(run.body, "{\"bolts\":40}");
}

#[test]
fn a_call_without_an_answer_may_have_run_and_is_not_repeated() {
    let service = service(60_000);
    let sidecar = sidecar(&service.url());
    let gateway = Gateway::connect(&sidecar, 1);
    let mut request = message(&gateway, 1);
    request.budget_ms = 300;
    let (_, finished) = read(&gateway.send(request), 0);
    assert_eq!(finished.outcome(), Outcome::Unknown);
    assert_eq!(service.executions().len(), 1);
}

#[test]
fn a_service_that_is_gone_is_down_and_nothing_was_run() {
    // Connections to it are made, and nobody reads them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let sidecar = sidecar(&format!("http://{}", listener.local_addr().unwrap()));
    let gateway = Gateway::connect(&sidecar, 1);
    gateway.until_state(EndpointState::Live);
    drop(listener);
    let reason = refusal(&gateway.send(message(&gateway, 1)));
    assert_eq!(reason, RefusalReason::EndpointDown);
    gateway.until_state(EndpointState::Down);
}
