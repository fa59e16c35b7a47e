//! `marigoldstage request` against rows as gateways write them.

mod common;

use common::code;
use common::run;
use common::stderr;
use common::stdout;
use mgs_durable::entry;
use mgs_durable::entry::Body;
use mgs_durable::entry::Done;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Entry;
use mgs_durable::entry::State;
use mgs_durable::entry::Target;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_standin::platform::Options;
use mgs_standin::platform::Platform;
use serde_json::Value;

fn id(digit: char) -> String {
    std::iter::repeat_n(digit, 32).collect()
}

fn put(platform: &Platform, id: &str, organisation: &str, state: State) {
    let entry = Entry {
        nonce: 1,
        write: 1,
        holder: 1,
        fencing: 1,
        idempotent: false,
        digest: String::new(),
        state,
        cancelled: false,
        body: 1,
        organisation: organisation.to_string(),
        kind: "review".to_string(),
        submitted_ms: 0,
        deadline_ms: 60_000,
        expires_ms: 600_000,
    };
    let txn = Txn::default().put(&entry::async_key(id), &entry.to_text());
    platform.memory().commit(&txn).unwrap();
}

fn answered() -> State {
    State::Done(Done {
        ending: Ending::Answered,
        reason: String::new(),
        status: 200,
        content_type: "text/plain".to_string(),
        body: Body::Inline("the whole answer".to_string()),
    })
}

fn running() -> State {
    State::Dispatched(Target {
        endpoint: "engine-3".to_string(),
        sidecar_incarnation: 1,
        request_origin: 1,
        request_serial: 1,
    })
}

struct Shell {
    platform: Platform,
    url: String,
}

impl Shell {
    fn new() -> Self {
        let platform = Platform::start(Options::default()).unwrap();
        put(&platform, &id('a'), "org-1", State::Queued);
        put(&platform, &id('b'), "org-1", running());
        put(&platform, &id('c'), "org-2", answered());
        let url = platform.url();
        Self { platform, url }
    }

    fn request(&self, arguments: &[&str]) -> std::process::Output {
        let platform = ["--platform", &self.url];
        run(&[&["request"], arguments, &platform].concat())
    }
}

#[test]
fn requests_are_listed_and_filtered() {
    let shell = Shell::new();
    let all = stdout(&shell.request(&["list"]));
    assert_eq!(all.lines().count(), 4, "{all}");
    assert!(all.contains("engine-3"), "{all}");
    let one = stdout(&shell.request(&["list", "--organisation", "org-1", "--state", "queued"]));
    assert_eq!(one.lines().count(), 2, "{one}");
    let json = stdout(&shell.request(&["list", "--json"]));
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json[2]["state"], "answered");
    let output = shell.request(&["list", "--state", "lost"]);
    assert_eq!(code(&output), 2);
    assert!(stderr(&output).contains("give one of submitting, queued"));
}

#[test]
fn one_request_is_shown_and_its_answer_printed() {
    let shell = Shell::new();
    assert!(stdout(&shell.request(&["show", &id('b')])).contains("running"));
    let answer = shell.request(&["answer", &id('c')]);
    assert_eq!(stdout(&answer), "the whole answer");
    let early = shell.request(&["answer", &id('b')]);
    assert_eq!(code(&early), 1);
    assert!(stderr(&early).contains("is running; ask again later"));
}

#[test]
fn a_waiting_request_is_cancelled_as_not_run_and_an_ended_one_is_not() {
    let shell = Shell::new();
    let output = shell.request(&["cancel", &id('a')]);
    assert!(stdout(&output).contains("not run"), "{}", stderr(&output));
    assert!(stdout(&shell.request(&["show", &id('a')])).contains("refused"));
    assert!(stdout(&shell.request(&["cancel", &id('b')])).contains("to be cancelled"));
    assert_eq!(code(&shell.request(&["cancel", &id('c')])), 1);
}

#[test]
fn an_unknown_identifier_and_an_outage_are_told() {
    let shell = Shell::new();
    let output = shell.request(&["show", &id('d')]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("there is no asynchronous request"));
    let output = shell.request(&["cancel", "../x"]);
    assert_eq!(code(&output), 2);
    assert!(stderr(&output).contains("not an identifier"));
    shell.platform.faults().set_outage(true);
    assert_eq!(code(&shell.request(&["list"])), 4);
}
