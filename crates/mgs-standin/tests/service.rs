//! The plain service's stand-in.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_standin::service::Answer;
use mgs_standin::service::Options;
use mgs_standin::service::Service;

const LONG: Duration = Duration::from_secs(30);

fn call(service: &Service, key: &str) -> Result<Answer, attohttpc::Error> {
    attohttpc::post(format!("{}/orders?a=1", service.url()))
        .header("Idempotency-Key", key)
        .text("order 7")
        .send()?
        .json()
}

#[test]
fn an_answer_counts_the_runs_of_its_request() {
    let service = Service::start(Options::default()).expect("a free port");
    call(&service, "k").expect("an answer");
    call(&service, "l").expect("an answer");
    let answer = call(&service, "k").expect("an answer");
    assert_eq!(answer.executions, 2);
    assert_eq!(answer.body, "order 7");
    assert_eq!(answer.path, "/orders?a=1");
    assert_eq!(service.executions_of("l"), 1);
}

#[test]
fn a_crash_cuts_a_call_that_ran() {
    let service = Service::start(Options::default()).expect("a free port");
    service.freeze(true);
    thread::scope(|scope| {
        let caller = scope.spawn(|| call(&service, "k"));
        service.freeze(false);
        caller.join().expect("no panic").expect("an answer");
    });
    let slow = Service::start(Options {
        delay_ms: 1_000,
        ..Options::default()
    });
    let slow = slow.expect("a free port");
    thread::scope(|scope| {
        let caller = scope.spawn(|| call(&slow, "k"));
        let begun = Instant::now();
        while slow.executions().is_empty() && begun.elapsed() < LONG {
            thread::yield_now();
        }
        slow.crash();
        assert!(caller.join().expect("no panic").is_err());
    });
    assert_eq!(slow.executions_of("k"), 1);
    assert!(slow.executions()[0].crashed);
}
