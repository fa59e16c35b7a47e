//! What a later holder may say of a request that an earlier one had dispatched.

use rstest::rstest;

use mgs_durable::batch::Written;
use mgs_durable::entry::Done;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Entry;
use mgs_durable::entry::State;
use mgs_durable::entry::Target;
use mgs_durable::pursuit::Action;
use mgs_durable::pursuit::Event;
use mgs_durable::pursuit::Options;
use mgs_durable::pursuit::Pursuit;
use mgs_platform::table::Row;
use mgs_schema::wire::RefusalReason;

fn entry(state: State) -> Entry {
    Entry {
        nonce: 1,
        write: 1,
        holder: 1,
        fencing: 1,
        idempotent: true,
        digest: "d".to_string(),
        state,
        dispatched_before: false,
        cancelled: false,
        body: 0,
        organisation: String::new(),
        kind: String::new(),
        submitted_ms: 0,
        deadline_ms: 0,
        expires_ms: 0,
    }
}

fn dispatched() -> State {
    State::Dispatched(Target {
        endpoint: "e".to_string(),
        sidecar_incarnation: 1,
        request_origin: 1,
        request_serial: 1,
    })
}

/// The ending that a second holder writes when its own run of the request is refused.
fn written_after_refusal(state: State, mark_all: bool) -> Ending {
    let options = Options {
        gateway: 2,
        nonce: 2,
        key: "k".to_string(),
        forget_refused: false,
        mark_all,
        hold_accepted: false,
    };
    let found = entry(state);
    let row = Row {
        key: "k".to_string(),
        value: found.to_text(),
        version: 5,
    };
    let mut pursuit = Pursuit::new(options, found);
    let action = pursuit.found(Some(row), &|_| true, None);
    assert!(matches!(action, Action::Write(_)), "{action:?}");
    let action = pursuit.on(Event::Written(Written::Done(6)), &|_| true);
    assert_eq!(action, Action::Run);
    let refused = Done::refused(RefusalReason::Deadline);
    let Action::Write(op) = pursuit.on(Event::Ended(refused), &|_| true) else {
        panic!("an end is written");
    };
    let written = Entry::parse(&op.value.expect("not deleted")).expect("an entry");
    match written.state {
        State::Done(done) => done.ending,
        state => panic!("{state:?} is no end"),
    }
}

#[rstest]
#[case::queued(State::Queued, true, Ending::Refused)]
#[case::held(State::Held, true, Ending::Refused)]
#[case::dispatched(dispatched(), true, Ending::Failed)]
#[case::unmarked(State::Held, false, Ending::Unknown)]
fn what_ran_before_is_never_refused(
    #[case] state: State,
    #[case] mark_all: bool,
    #[case] ending: Ending,
) {
    assert_eq!(written_after_refusal(state, mark_all), ending);
}
