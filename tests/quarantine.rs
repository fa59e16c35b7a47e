//! `marigoldstage quarantine`: what is held is listed, and lifted for all gateways.

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
use standin::gateway::store_with;
use standin::gateway::Gateway;
use standin::store::Store;

fn quarantine(store: &Store, words: &[&str]) -> Output {
    let mut command = marigoldstage();
    command.arg("quarantine").args(words);
    command.args(["--store", &store.address.to_string()]);
    command.output().expect("the program")
}

fn deadly() -> ClientRequest {
    ClientRequest {
        body: CRASH_MARKER.to_string(),
        ..ClientRequest::to("/talk/1").with_header("Token-Count", "900,200")
    }
}

#[test]
fn what_is_held_is_listed_and_lifted() {
    let endpoints: Vec<Endpoint> = (0..8)
        .map(|number| Endpoint::start(&format!("i-{number}"), "model", &[Behaviour::Crash(2)]))
        .collect();
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let store = store_with(&all);
    let gateway = Gateway::start(&store);
    assert_eq!(stdout(&quarantine(&store, &["list"])).lines().count(), 1);
    for _ in 0..4 {
        request(gateway.client_address(), &deadly());
        thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(request(gateway.client_address(), &deadly()).status, 503);
    let listed = quarantine(&store, &["list"]);
    assert_eq!(code(&listed), 0, "{}", stderr(&listed));
    let listed = stdout(&listed);
    let work = listed.lines().nth(1).expect("a hold");
    let work = work.split(' ').next().expect("its key");

    let lifted = quarantine(&store, &["lift", work]);
    assert_eq!(code(&lifted), 0, "{}", stderr(&lifted));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        request(gateway.client_address(), &deadly()).status,
        502,
        "it runs"
    );
    let again = quarantine(&store, &["lift", work]);
    assert_eq!(code(&again), 1, "{}", stderr(&again));
}

#[test]
fn a_store_that_does_not_answer_is_told() {
    let nobody = "127.0.0.1:1";
    let mut command = marigoldstage();
    command.args(["quarantine", "list", "--store", nobody]);
    let output = command.output().expect("the program");
    assert_eq!(code(&output), 4, "{}", stderr(&output));
}
