//! The platform's stand-in, in memory and over HTTP.

use std::sync::Arc;

use mgs_platform::host::Host;
use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::http::Client;
use mgs_platform::object::Objects;
use mgs_platform::table::scan_all;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::weight::Weights;
use mgs_platform::Error;
use mgs_standin::platform::faults::Faults;
use mgs_standin::platform::faults::Settings;
use mgs_standin::platform::memory::Memory;
use mgs_standin::platform::Options;
use mgs_standin::platform::Platform;
use rstest::rstest;

trait Services: Table + Objects + Weights + Hosts {}

impl<T: Table + Objects + Weights + Hosts> Services for T {}

/// The same services reached in memory or over a socket.
struct Reach {
    services: Arc<dyn Services>,
    faults: Faults,
    memory: Arc<Memory>,
    _server: Option<Platform>,
}

fn in_memory(options: Options) -> Reach {
    let memory = Arc::new(Memory::new(options));
    Reach {
        services: Arc::clone(&memory) as Arc<dyn Services>,
        faults: memory.faults().clone(),
        memory,
        _server: None,
    }
}

fn over_http(options: Options) -> Reach {
    let server = Platform::start(options).expect("a free port");
    let client = Client::new(mgs_platform::http::Options {
        base_url: server.url(),
        ..mgs_platform::http::Options::default()
    });
    Reach {
        services: Arc::new(client),
        faults: server.faults().clone(),
        memory: Arc::clone(server.memory()),
        _server: Some(server),
    }
}

type Start = fn(Options) -> Reach;

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn a_transaction_takes_effect_whole_or_not(#[case] start: Start) {
    let reach = start(Options::default());
    let table = &*reach.services;
    let made = table.commit(
        &Txn::default()
            .when("a/1", 0)
            .put("a/1", "x")
            .put("b c/é", "y"),
    );
    let Ok(TxnOutcome::Committed(version)) = made else {
        panic!("{made:?}");
    };
    let late = table.commit(
        &Txn::default()
            .when("a/1", 0)
            .put("a/1", "z")
            .delete("b c/é"),
    );
    let Ok(TxnOutcome::Conflict(failed)) = late else {
        panic!("{late:?}");
    };
    assert_eq!(failed[0].1.as_ref().map(|row| row.version), Some(version));
    let row = Table::get(table, "b c/é").expect("a read").expect("a row");
    assert_eq!((row.value.as_str(), row.version), ("y", version));
    let gone = table.commit(&Txn::default().when("a/1", version).delete("a/1"));
    assert!(matches!(gone, Ok(TxnOutcome::Committed(later)) if later > version));
    assert_eq!(Table::get(table, "a/1"), Ok(None));
}

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn a_scan_reads_every_row_under_a_prefix_once(#[case] start: Start) {
    let reach = start(Options::default());
    for first in (0..2_400).step_by(400) {
        let rows = first..first + 400;
        let txn = rows.fold(Txn::default(), |txn, i| txn.put(&format!("p/{i:05}"), "v"));
        reach.services.commit(&txn).expect("a commit");
    }
    reach
        .services
        .commit(&Txn::default().put("o/z", "").put("q", ""))
        .expect("a commit");
    let rows = scan_all(&*reach.services, "p/").expect("a scan");
    let keys: Vec<_> = rows.iter().map(|row| row.key.clone()).collect();
    let wanted: Vec<_> = (0..2_400).map(|i| format!("p/{i:05}")).collect();
    assert_eq!(keys, wanted);
}

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn in_an_outage_nothing_happens(#[case] start: Start) {
    let reach = start(Options::default());
    reach.faults.set_outage(true);
    let write = reach.services.commit(&Txn::default().put("a", "1"));
    assert!(matches!(write, Err(Error::Unavailable(_))), "{write:?}");
    let read = Table::get(&*reach.services, "a");
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    reach.faults.set_outage(false);
    assert_eq!(Table::get(&*reach.services, "a"), Ok(None));
    assert_eq!(reach.faults.counters().refused, 2);
}

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn a_lost_reply_follows_a_write_that_took_effect(#[case] start: Start) {
    let reach = start(Options::default());
    reach.faults.lose_next_replies(1);
    let write = reach.services.commit(&Txn::default().put("a", "1"));
    assert!(matches!(write, Err(Error::Unknown(_))), "{write:?}");
    let row = Table::get(&*reach.services, "a").expect("a read");
    assert_eq!(row.map(|row| row.value), Some("1".to_string()));
    let put = reach.services.put("o", b"body");
    assert_eq!(put, Ok(()));
    assert_eq!(reach.faults.counters().replies_lost, 1);
}

#[test]
fn every_nth_reply_is_lost() {
    let memory = Memory::default();
    memory.faults().set(Settings {
        lose_every: 3,
        ..Settings::default()
    });
    let lost = |i: u64| {
        memory
            .commit(&Txn::default().put("a", &i.to_string()))
            .is_err()
    };
    let lost: Vec<bool> = (0..6).map(lost).collect();
    assert_eq!(lost, [false, false, true, false, false, true]);
}

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn more_than_the_capacity_is_throttled(#[case] start: Start) {
    let reach = start(Options::default());
    reach.faults.set(Settings {
        writes_per_s: 0.001,
        ..Settings::default()
    });
    assert!(reach.services.commit(&Txn::default()).is_ok());
    let write = reach.services.commit(&Txn::default());
    assert!(matches!(write, Err(Error::Throttled { .. })), "{write:?}");
    assert_eq!(Table::get(&*reach.services, "a"), Ok(None));
    assert_eq!(reach.faults.counters().throttled, 1);
}

#[rstest]
#[case(in_memory)]
#[case(over_http)]
fn objects_weights_and_hosts(#[case] start: Start) {
    let reach = start(Options {
        weights_per_s: 0.001,
        weights_burst: 1.0,
        ..Options::default()
    });
    let body: Vec<u8> = (0..=255).cycle().take(100_000).collect();
    assert_eq!(reach.services.put("a/b c", &body), Ok(()));
    assert_eq!(Objects::get(&*reach.services, "a/b c"), Ok(Some(body)));
    assert_eq!(reach.services.delete("a/b c"), Ok(()));
    assert_eq!(Objects::get(&*reach.services, "a/b c"), Ok(None));
    assert_eq!(reach.services.permit("m", "1"), Ok(()));
    let second = reach.services.permit("m", "1");
    assert!(matches!(second, Err(Error::Throttled { .. })), "{second:?}");
    let host = Host {
        address: "127.0.0.1".to_string(),
        zone: "a".to_string(),
        state: State::Leaving,
    };
    reach.memory.set_hosts(vec![host.clone()]);
    assert_eq!(reach.services.list(), Ok(vec![host]));
}

#[test]
fn the_list_of_hosts_lags() {
    let memory = Memory::new(Options {
        hosts_lag_ms: 3_600_000,
        ..Options::default()
    });
    memory.set_hosts(vec![Host {
        address: "127.0.0.1".to_string(),
        zone: "a".to_string(),
        state: State::Live,
    }]);
    assert_eq!(memory.list(), Ok(Vec::new()));
}

#[test]
fn faults_are_set_over_http() {
    let platform = Platform::start(Options::default()).expect("a free port");
    let url = format!("{}/faults", platform.url());
    let set = attohttpc::post(&url)
        .text(r#"{"outage": true, "delay_ms": 1}"#)
        .send()
        .expect("an answer");
    assert!(set.is_success());
    assert_eq!(platform.faults().settings().delay_ms, 1);
    let wrong = attohttpc::post(&url).text(r#"{"outrage": true}"#).send();
    assert_eq!(wrong.expect("an answer").status().as_u16(), 400);
}
