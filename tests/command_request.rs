//! `marigoldstage request` against a platform that stores durable requests.

mod common;

use std::process::Output;

use common::code;
use common::run;
use common::stderr;
use common::stdout;
use mgs_durable::entry::async_key;
use mgs_durable::entry::Body;
use mgs_durable::entry::Done;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Entry;
use mgs_durable::entry::State;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

const QUEUED: &str = "00000000000000000000000000000001";
const ANSWERED: &str = "ff000000000000000000000000000002";

fn entry(organisation: &str, state: State) -> Entry {
    Entry {
        nonce: 1,
        write: 1,
        holder: 7,
        fencing: 1,
        idempotent: false,
        digest: String::new(),
        state,
        cancelled: false,
        dispatched_before: false,
        body: 1,
        organisation: organisation.to_string(),
        kind: "audit".to_string(),
        submitted_ms: 1_000,
        deadline_ms: 61_000,
        expires_ms: 99_000,
    }
}

/// A platform with one queued and one answered request.
fn platform() -> Platform {
    let platform = Platform::start(platform::Options::default()).unwrap();
    let mut done = Done::without_answer(Ending::Answered, "");
    done.body = Body::Inline("the audit".to_string());
    let rows = [
        (QUEUED, entry("org-1", State::Queued)),
        (ANSWERED, entry("org-2", State::Done(done))),
    ];
    for (id, entry) in rows {
        let txn = Txn::default().put(&async_key(id), &entry.to_text());
        platform.memory().commit(&txn).unwrap();
    }
    platform
}

fn request(platform: &Platform, request_arguments: &[&str]) -> Output {
    let mut arguments = vec!["request"];
    arguments.extend(request_arguments);
    let url = platform.url();
    arguments.extend(["--platform", &url]);
    run(&arguments)
}

#[test]
fn list_shows_the_states_of_requests() {
    let platform = platform();
    let all = stdout(&request(&platform, &["list"]));
    assert!(all.contains(QUEUED) && all.contains("queued"), "{all}");
    assert!(
        all.contains(ANSWERED) && all.contains("2 requests"),
        "{all}"
    );
    let filtered = stdout(&request(&platform, &["list", "--organisation", "org-1"]));
    assert!(
        filtered.contains(QUEUED) && !filtered.contains(ANSWERED),
        "{filtered}"
    );
    let json = stdout(&request(
        &platform,
        &["list", "--state", "answered", "--json"],
    ));
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json[0]["id"], ANSWERED);
    assert_eq!(json[1], serde_json::Value::Null);
}

#[test]
fn show_prints_a_request_and_its_answer() {
    let platform = platform();
    let shown = stdout(&request(&platform, &["show", QUEUED]));
    assert!(
        shown.contains("deadline_ms") && shown.contains("61000"),
        "{shown}"
    );
    let body = request(&platform, &["show", ANSWERED, "--body"]);
    assert_eq!(stdout(&body), "the audit");
    assert_eq!(code(&request(&platform, &["show", QUEUED, "--body"])), 1);
    assert_eq!(code(&request(&platform, &["show", "nonsense"])), 2);
}

#[test]
fn cancel_ends_a_queued_request() {
    let platform = platform();
    let output = request(&platform, &["cancel", QUEUED]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).contains("not run"));
    let shown = stdout(&request(&platform, &["show", QUEUED]));
    assert!(
        shown.contains("refused") && shown.contains("cancelled"),
        "{shown}"
    );
    platform.faults().set_outage(true);
    assert_eq!(code(&request(&platform, &["cancel", ANSWERED])), 4);
}
