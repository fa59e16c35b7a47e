//! Durable requests over several gateways, with faults of store, gateway and endpoint.

mod common;

use std::sync::Arc;
use std::thread;

use rstest::rstest;

use mgs_durable::clock;
use mgs_durable::durable::Durable;
use mgs_durable::entry::Ending;
use mgs_durable::entry::State;
use mgs_durable::executor::Answer;
use mgs_durable::request;
use mgs_durable::request::Cancelled;
use mgs_durable::request::Submitted;
use mgs_platform::table::Table;
use mgs_schema::wire::RefusalReason;
use mgs_standin::platform::faults::Settings;
use mgs_standin::platform::memory::Memory;

use common::answered;
use common::asked;
use common::gateway;
use common::options;
use common::wait_until;
use common::work;
use common::Site;

const LONG_BODY: &[u8] = &[b'a'; 10_000];

fn accepted(submitted: Submitted) -> String {
    match submitted {
        Submitted::Accepted(id) => id,
        other => panic!("expected 202, got {other:?}"),
    }
}

fn ended(durable: &Durable, id: &str) -> Answer {
    let mut answer = None;
    wait_until("the request ends", || {
        let status = durable.status("org-1", id).ok().flatten();
        let Some(State::Done(done)) = status.map(|status| status.entry.state) else {
            return false;
        };
        answer = durable.answer(&done).ok();
        answer.is_some()
    });
    answer.expect("just set")
}

#[rstest]
#[case::inline(b"short")]
#[case::object(LONG_BODY)]
fn an_accepted_request_is_answered_whole(#[case] body: &[u8]) {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let durable = gateway(options(1), &memory, &site);
    let id = accepted(durable.submit(&asked("", body), &work(body)));
    assert_eq!(ended(&durable, &id), answered(body));
    assert_eq!(site.executions(), 1);
    assert_eq!(durable.status("org-2", &id), Ok(None));
}

#[test]
fn any_gateway_finishes_what_a_stopped_one_accepted() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    memory.faults().set(Settings {
        lose_every: 4,
        ..Settings::default()
    });
    site.hold(true);
    let ids: Vec<String> = (0..10)
        .map(|_| accepted(first.submit(&asked("", LONG_BODY), &work(LONG_BODY))))
        .collect();
    wait_until("all run", || site.executions() == 10);
    drop(first);
    site.hold(false);
    for id in &ids {
        assert_eq!(ended(&second, id), answered(LONG_BODY));
    }
    assert_eq!(site.executions(), 10);
}

#[test]
fn a_row_without_a_holder_is_found_by_the_scan() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut busy = options(1);
    busy.held_max = 0;
    let first = gateway(busy, &memory, &site);
    let id = accepted(first.submit(&asked("", b"x"), &work(b"x")));
    let state = |durable: &Durable| durable.status("org-1", &id).unwrap().unwrap().entry.state;
    assert_eq!(state(&first), State::Queued);
    let second = gateway(options(2), &memory, &site);
    // Shards that the first gateway scans are the second's once the first is gone.
    drop(first);
    assert_eq!(ended(&second, &id), answered(b"x"));
}

#[test]
fn an_outage_refuses_what_is_new_and_loses_nothing() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let durable = gateway(options(1), &memory, &site);
    site.hold(true);
    let id = accepted(durable.submit(&asked("", LONG_BODY), &work(LONG_BODY)));
    wait_until("it runs", || site.executions() == 1);
    memory.faults().set_outage(true);
    let refused = durable.submit(&asked("", b"y"), &work(b"y"));
    assert!(matches!(
        refused,
        Submitted::Refused {
            reason: RefusalReason::StoreUnavailable,
            ..
        }
    ));
    site.hold(false);
    let table = memory.as_ref();
    assert!(request::status(table, &id).is_err());
    memory.faults().set_outage(false);
    assert_eq!(ended(&durable, &id), answered(LONG_BODY));
    assert_eq!(site.executions(), 1);
}

#[test]
fn a_key_leads_to_one_durable_request() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    let id = accepted(first.submit(&asked("k", b"x"), &work(b"x")));
    assert_eq!(accepted(second.submit(&asked("k", b"x"), &work(b"x"))), id);
    assert_eq!(ended(&second, &id), answered(b"x"));
    let other = second.submit(&asked("k", b"y"), &work(b"y"));
    assert!(matches!(
        other,
        Submitted::Refused {
            reason: RefusalReason::KeyConflict,
            ..
        }
    ));
    assert_eq!(site.executions(), 1);
}

#[test]
fn doubled_submissions_at_two_gateways_meet_one_request() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let gateways = [1, 2].map(|number| gateway(options(number), &memory, &site));
    memory.faults().set(Settings {
        delay_ms: 5,
        ..Settings::default()
    });
    let ids: Vec<String> = thread::scope(|scope| {
        let submit = |durable: &Durable| {
            let submitted = durable.submit(&asked("k", LONG_BODY), &work(LONG_BODY));
            accepted(submitted)
        };
        let threads: Vec<_> = gateways
            .iter()
            .cycle()
            .take(6)
            .map(|durable| scope.spawn(move || submit(durable)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    assert_eq!(ended(&gateways[1], &ids[0]), answered(LONG_BODY));
    assert_eq!(site.executions(), 1);
}

#[test]
fn an_endpoint_that_is_never_reached_again_ends_unknown_in_time() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    site.hold(true);
    let mut brief = asked("", b"x");
    brief.budget_ms = 1_000;
    let id = accepted(first.submit(&brief, &work(b"x")));
    wait_until("it runs", || site.executions() == 1);
    site.cut(true);
    drop(first);
    let second = gateway(options(2), &memory, &site);
    let answer = ended(&second, &id);
    assert_eq!(
        (answer.ending, answer.reason.as_str()),
        (Ending::Unknown, "no_proof")
    );
    site.hold(false);
    assert_eq!(site.executions(), 1);
}

#[test]
fn a_request_past_its_time_needs_no_lapsed_lease_to_end() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut lasting = options(1);
    lasting.beat_min_ms = 60_000;
    let first = gateway(lasting, &memory, &site);
    site.hold(true);
    let mut brief = asked("", b"x");
    brief.budget_ms = 500;
    let id = accepted(first.submit(&brief, &work(b"x")));
    wait_until("it runs", || site.executions() == 1);
    drop(first);
    let second = gateway(options(2), &memory, &site);
    let answer = ended(&second, &id);
    assert_eq!(
        (answer.ending, answer.reason.as_str()),
        (Ending::Failed, "deadline")
    );
    site.hold(false);
    assert_eq!(site.executions(), 1);
}

#[test]
fn a_queued_request_is_cancelled_unrun() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut busy = options(1);
    busy.held_max = 0;
    let durable = gateway(busy, &memory, &site);
    let id = accepted(durable.submit(&asked("", b"x"), &work(b"x")));
    assert_eq!(durable.cancel("org-2", &id), Ok(Cancelled::NotFound));
    assert_eq!(durable.cancel("org-1", &id), Ok(Cancelled::NotRun));
    assert_eq!(durable.cancel("org-1", &id), Ok(Cancelled::Ended));
    let answer = ended(&durable, &id);
    assert_eq!(
        (answer.ending, answer.reason.as_str()),
        (Ending::Refused, "cancelled")
    );
    assert_eq!(site.executions(), 0);
}

#[test]
fn a_request_past_its_time_ends_refused() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut busy = options(1);
    busy.held_max = 0;
    let first = gateway(busy, &memory, &site);
    let mut brief = asked("", b"x");
    brief.budget_ms = 1;
    let id = accepted(first.submit(&brief, &work(b"x")));
    // The shared clock moves in ticks; after two of them its row is past the millisecond.
    for _ in 0..2 {
        let tick = memory.get(clock::KEY).unwrap();
        wait_until("a tick", || memory.get(clock::KEY).unwrap() != tick);
    }
    drop(first);
    let second = gateway(options(2), &memory, &site);
    let answer = ended(&second, &id);
    assert_eq!(
        (answer.ending, answer.reason.as_str()),
        (Ending::Refused, "deadline")
    );
    assert_eq!(site.executions(), 0);
}

#[test]
fn expired_results_and_their_objects_are_deleted() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut settings = options(1);
    settings.keep_ms = 0;
    let durable = gateway(settings, &memory, &site);
    let mut brief = asked("", LONG_BODY);
    brief.budget_ms = 1_000;
    let id = accepted(durable.submit(&brief, &work(LONG_BODY)));
    let body = durable.status("org-1", &id).unwrap().unwrap().entry.body;
    let key = mgs_durable::entry::body_key(&id, body);
    let objects: &dyn mgs_platform::object::Objects = memory.as_ref();
    assert!(objects.get(&key).unwrap().is_some());
    wait_until("it is swept", || durable.status("org-1", &id) == Ok(None));
    assert_eq!(objects.get(&key), Ok(None));
    let answer = mgs_durable::entry::answer_key(&mgs_durable::entry::async_key(&id), 1);
    assert_eq!(objects.get(&answer), Ok(None));
}

#[test]
fn a_drained_gateway_leaves_its_requests_to_others() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    let id = accepted(first.submit(&asked("", b"x"), &work(b"x")));
    first.drain(10_000);
    assert_eq!(ended(&second, &id), answered(b"x"));
    assert_eq!(site.executions(), 1);
}
