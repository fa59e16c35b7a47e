//! `marigoldstage quarantine`: lists quarantined work, and lifts a quarantine for all gateways.

mod common;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::process::Output;
use std::thread;
use std::time::Duration;

use common::code;
use common::marigoldstage;
use common::stderr;
use common::stdout;
use standin::client::request;
use standin::client::ClientRequest;
use standin::endpoint::Behaviour;
use standin::endpoint::Endpoint;
use standin::endpoint::CRASH_MARKER;
use standin::endpoint::CRASH_PART;
use standin::gateway::store_with;
use standin::gateway::Gateway;
use standin::store::Store;

/// Runs the command against a store.
fn quarantine(store: &Store, arguments: &[&str]) -> Output {
    let mut command = marigoldstage();
    command.arg("quarantine").args(arguments);
    command.args(["--store", &store.address.to_string()]);
    command.output().expect("the program")
}

/// A gateway before eight engines that crash under deadly requests, and its store.
fn start_crashing_fleet() -> (Store, Gateway) {
    let endpoints: Vec<Endpoint> = (0..8)
        .map(|number| Endpoint::start(&format!("i-{number}"), "model", &[Behaviour::Crash(2)]))
        .collect();
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let store = store_with(&all);
    let gateway = Gateway::start(&store);
    (store, gateway)
}

/// A request that crashes each engine that runs it.
fn crashing_request() -> ClientRequest {
    ClientRequest {
        body: CRASH_MARKER.to_string(),
        ..ClientRequest::to("/talk/1").with_header("Token-Count", "900,200")
    }
}

#[test]
fn quarantined_work_is_listed_and_lifted() {
    let (store, gateway) = start_crashing_fleet();
    assert_eq!(stdout(&quarantine(&store, &["list"])).lines().count(), 1);
    for _ in 0..4 {
        request(gateway.client_address(), &crashing_request());
        thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(
        request(gateway.client_address(), &crashing_request()).status,
        503
    );
    let listed = quarantine(&store, &["list"]);
    assert_eq!(code(&listed), 0, "{}", stderr(&listed));
    let listed = stdout(&listed);
    let work_key = listed.lines().nth(1).expect("a quarantined work");
    let work_key = work_key.split(' ').next().expect("its key");

    let lifted = quarantine(&store, &["lift", work_key]);
    assert_eq!(code(&lifted), 0, "{}", stderr(&lifted));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        request(gateway.client_address(), &crashing_request()).status,
        502,
        "it runs again"
    );
    let again = quarantine(&store, &["lift", work_key]);
    assert_eq!(code(&again), 1, "{}", stderr(&again));
}

#[test]
fn a_quarantined_part_of_prompts_is_listed_by_its_name_and_lifted() {
    let (store, gateway) = start_crashing_fleet();
    let send = |number: usize| {
        let parts = format!("{CRASH_PART}:40,{number:08x}:250");
        let deadly = ClientRequest {
            body: number.to_string(),
            ..ClientRequest::to("/talk/1")
                .with_header("Token-Count", "900,200")
                .with_header("Prompt-Prefix", &parts)
        };
        request(gateway.client_address(), &deadly).status
    };
    for number in 0..4 {
        send(number);
        thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(send(4), 503);
    let listed = stdout(&quarantine(&store, &["list"]));
    let line = listed
        .lines()
        .find(|line| line.ends_with(&format!("model/{CRASH_PART}")));
    let key = line.and_then(|line| line.split(' ').next());
    let lifted = quarantine(&store, &["lift", key.expect("the part")]);
    assert_eq!(code(&lifted), 0, "{}", stderr(&lifted));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(send(5), 502, "it runs again");
}

#[test]
fn an_unreachable_store_is_reported() {
    let closed_address = "127.0.0.1:1";
    let mut command = marigoldstage();
    command.args(["quarantine", "list", "--store", closed_address]);
    let output = command.output().expect("the program");
    assert_eq!(code(&output), 4, "{}", stderr(&output));
}
