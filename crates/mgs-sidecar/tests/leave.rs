//! Leaving, being taken over, settings and orders.

mod common;
mod fake;

use std::sync::Arc;

use common::frames;
use common::options;
use common::read;
use common::refusal;
use common::until;
use common::Gateway;
use common::WAIT;
use fake::Fake;
use mgs_controller::order::Action;
use mgs_controller::order::EndpointRecord;
use mgs_ledger::fault::InjectedFault;
use mgs_platform::host::Host;
use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::SettingsReply;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Parts;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::platform::memory::Memory;
use rstest::rstest;

/// A list of hosts in which the asking host is leaving once it is told so.
#[derive(Default)]
struct List(std::sync::Mutex<Vec<Host>>);

impl Hosts for List {
    fn list(&self) -> Result<Vec<Host>, mgs_platform::Error> {
        Ok(self.0.lock().unwrap().clone())
    }
}

fn start_among(options: Options, fake: &Fake, table: &Arc<Memory>, list: &Arc<List>) -> Sidecar {
    let parts = Parts {
        engine: Some(Box::new(fake.clone())),
        table: Some(table.clone()),
        hosts: Some(list.clone()),
    };
    Sidecar::start_with(options, parts).unwrap()
}

#[test]
fn draining_refuses_new_work_and_cuts_off_nothing() {
    let fake = Fake::new(2);
    let mut options = options();
    options.ledger.running_max = 1;
    let sidecar = Arc::new(common::start(options, &fake));
    let gateway = Gateway::connect(&sidecar, 1);
    let running = gateway.accepted(gateway.message(1, 5));
    frames(&running, 2);
    let waiting = gateway.accepted(gateway.message(2, 5));
    let draining = sidecar.clone();
    let drain = std::thread::spawn(move || draining.drain());
    assert_eq!(refusal(&waiting), RefusalReason::Leaving);
    gateway.until_state(EndpointState::Leaving);
    let late = gateway.send(gateway.message(3, 5));
    assert_eq!(refusal(&late), RefusalReason::Leaving);
    assert!(!drain.is_finished());
    fake.allow(5);
    let (_, finished) = read(&running, 2);
    assert_eq!(finished.outcome(), Outcome::Answered);
    drain.join().unwrap();
}

#[test]
fn a_leaving_host_takes_no_new_work() {
    let list = Arc::new(List::default());
    let sidecar = start_among(options(), &Fake::new(9), &Arc::default(), &list);
    let gateway = Gateway::connect(&sidecar, 1);
    gateway.until_state(EndpointState::Live);
    list.0.lock().unwrap().push(Host {
        address: sidecar.address().to_string(),
        zone: "zone-1".into(),
        state: State::Leaving,
    });
    gateway.until_state(EndpointState::Leaving);
    let late = gateway.send(gateway.message(1, 5));
    assert_eq!(refusal(&late), RefusalReason::Leaving);
}

#[test]
fn the_newer_of_two_sidecars_has_the_endpoint() {
    let table = Arc::<Memory>::default();
    let fake = Fake::new(9);
    let older = start_among(options(), &fake, &table, &Arc::default());
    let to_older = Gateway::connect(&older, 1);
    until("the older has its row", || {
        let key = "member/sidecar/endpoint-1";
        Table::get(table.as_ref(), key).unwrap().is_some()
    });
    let newer = start_among(options(), &fake, &table, &Arc::default());
    to_older.until_state(EndpointState::Leaving);
    let to_newer = Gateway::connect(&newer, 1);
    to_newer.until_state(EndpointState::Live);
}

fn confirm(gateway: &Gateway, version: u64, started: bool) -> u64 {
    let row = EndpointRow {
        name: "endpoint-1".into(),
        started,
        ..EndpointRow::default()
    };
    let snapshot = Snapshot {
        version,
        endpoints: vec![row],
        ..Snapshot::default()
    };
    let reply = SettingsReply {
        version,
        snapshot: Some(snapshot),
        ..SettingsReply::default()
    };
    let body = Body::SettingsReply(reply);
    match gateway.connection.ask(body, WAIT).unwrap() {
        Body::SettingsConfirm(confirm) => confirm.version,
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn operators_stop_and_start_an_endpoint_and_settings_never_go_back() {
    let sidecar = common::start(options(), &Fake::new(9));
    let gateway = Gateway::connect(&sidecar, 1);
    assert_eq!(confirm(&gateway, 4, false), 4);
    let late = gateway.send(gateway.message(1, 5));
    assert_eq!(refusal(&late), RefusalReason::Leaving);
    assert_eq!(confirm(&gateway, 3, true), 4);
    let late = gateway.send(gateway.message(2, 5));
    assert_eq!(refusal(&late), RefusalReason::Leaving);
    assert_eq!(confirm(&gateway, 5, true), 5);
    let report = gateway.report(|report| report.state() == EndpointState::Live);
    assert_eq!(report.settings_version, 5);
    read(&gateway.send(gateway.message(3, 5)), 0);
}

fn give(gateway: &Gateway, fencing: u64) -> OrderReply {
    give_action(gateway, fencing, "load")
}

fn give_action(gateway: &Gateway, fencing: u64, action: &str) -> OrderReply {
    let order = Order {
        fencing,
        order_id: fencing.to_string(),
        action: action.into(),
        subject: "m".into(),
        ..Order::default()
    };
    match gateway.connection.ask(Body::Order(order), WAIT).unwrap() {
        Body::OrderReply(reply) => reply,
        other => panic!("unexpected {other:?}"),
    }
}

#[rstest]
#[case::fenced(InjectedFault::None, false)]
#[case::planted(InjectedFault::IgnoredFence, true)]
fn an_order_from_the_past_is_refused_even_if_the_engine_would_obey(
    #[case] plant: InjectedFault,
    #[case] obeyed: bool,
) {
    let fake = Fake::new(9);
    let mut options = options();
    options.ledger.injected_fault = plant;
    let sidecar = common::start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    assert!(give(&gateway, 7).done);
    assert_eq!(give(&gateway, 6).done, obeyed);
    assert_eq!(
        fake.change(|state| state.orders.len()),
        1 + usize::from(obeyed)
    );
}

#[test]
fn a_model_is_unloaded_after_its_requests_have_ended() {
    let fake = Fake::new(2);
    let mut options = options();
    options.unload_wait_ms = 500;
    let sidecar = common::start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let running = gateway.accepted(gateway.message(1, 5));
    frames(&running, 2);
    assert!(!give_action(&gateway, 7, "unload").done);
    assert!(fake.change(|state| state.orders.is_empty()));
    let late = gateway.send(gateway.message(2, 5));
    assert_eq!(refusal(&late), RefusalReason::NoEndpoint);
    fake.allow(5);
    read(&running, 2);
    assert!(give_action(&gateway, 7, "unload").done);
    assert!(give_action(&gateway, 8, "load").done);
    read(&gateway.send(gateway.message(3, 5)), 0);
}

/// Puts an order on the endpoint's record, as the controller does.
fn record(table: &Memory, fencing: u64) {
    let record = EndpointRecord::default().with_order(fencing, Action::Load, "m");
    let value = serde_json::to_string(&record).unwrap();
    let txn = Txn::default().put(&mgs_controller::order::key("endpoint-1"), &value);
    table.commit(&txn).unwrap();
}

#[test]
fn only_the_order_on_record_is_obeyed_and_once() {
    let table = Arc::<Memory>::default();
    let fake = Fake::new(9);
    let sidecar = start_among(options(), &fake, &table, &Arc::default());
    let gateway = Gateway::connect(&sidecar, 1);
    record(&table, 7);
    assert!(give(&gateway, 7).done);
    assert!(give(&gateway, 7).done);
    record(&table, 9);
    let late = give(&gateway, 8);
    assert_eq!((late.done, late.highest_fencing), (false, 9));
    assert!(give(&gateway, 9).done);
    assert_eq!(fake.change(|state| state.orders.len()), 2);
}

#[test]
fn no_order_is_obeyed_while_the_store_is_down() {
    let table = Arc::<Memory>::default();
    let fake = Fake::new(9);
    let sidecar = start_among(options(), &fake, &table, &Arc::default());
    let gateway = Gateway::connect(&sidecar, 1);
    table.faults().set_outage(true);
    assert!(!give(&gateway, 7).done);
    // Serving goes on.
    read(&gateway.send(gateway.message(1, 5)), 0);
    table.faults().set_outage(false);
    let reply = give(&gateway, 7);
    assert!(!reply.done, "an order that isn't on record was obeyed");
    assert!(fake.change(|state| state.orders.is_empty()));
}
