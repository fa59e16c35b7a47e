//! One test or more for each kind of failure, with real processes behind the fault proxy.
//!
//! The processes are those of the `marigoldstage` binary, which `cargo test --workspace` builds; a
//! test of this package alone needs `cargo build` first.

mod support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_testing::caller::Plan;
use mgs_testing::cluster::Cluster;
use mgs_testing::history::Ending;
use mgs_testing::history::NotRun;
use mgs_testing::proxy::Direction;
use mgs_testing::proxy::Faults;

/// Longer than the lease of a gateway at a sidecar.
const BEYOND_LEASE: Duration = Duration::from_secs(11);

/// Limit of a graceful stop: more than any request here is allotted.
const STOP_LIMIT_MS: u64 = 60_000;

const LATE_DISPATCHES: u32 = 12;

const LOST_REPLIES: u64 = 3;

const VERSION_METRIC: &[&str] = &["mgs_gateway_settings_version"];

fn said_of_run(ending: &Ending) -> Option<NotRun> {
    match ending {
        Ending::Error { not_run, .. } => Some(*not_run),
        _ => None,
    }
}

/// Its caller's stream breaks; the engine is freed of it, and the other gateway goes on.
#[test]
fn gateway_killed() {
    let cluster = support::start(2, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    cluster.gateways[0].kill().unwrap();
    let exchange = stream.join().unwrap();
    assert!(matches!(exchange.ending, Ending::Broken { partial } if !partial.is_empty()));
    let other = support::quick(2);
    let answered = support::call(&cluster.gateways[1], &other);
    assert!(support::is_whole(&other, &answered), "{answered:?}");
    support::wait_freed(&cluster);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// The request runs once, and its caller gets the whole answer or hears that it may have run.
#[test]
fn sidecar_killed() {
    let cluster = support::start(1, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    let sidecar = &cluster.endpoints[0].sidecar;
    sidecar.kill().unwrap();
    sidecar.start(STOP_LIMIT_MS).unwrap();
    let exchange = stream.join().unwrap();
    let told = said_of_run(&exchange.ending);
    let honest = matches!(told, Some(NotRun::False | NotRun::Unknown));
    assert!(
        honest || support::is_whole(&plan, &exchange),
        "{exchange:?}"
    );
    support::wait_answered(&cluster.gateways[0], &support::quick(2));
    support::wait_freed(&cluster);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// The caller hears of it at its deadline, and the sidecar that goes on starts nothing anew.
#[test]
fn sidecar_paused_beyond_its_lease() {
    let cluster = support::start(1, 1);
    let mut plan = support::once(1);
    plan.allotted_ms = 8_000;
    let stream = support::begin(&cluster.gateways[0], &plan);
    let sidecar = &cluster.endpoints[0].sidecar;
    sidecar.pause().unwrap();
    let paused = Instant::now();
    let exchange = stream.join().unwrap();
    assert_eq!(said_of_run(&exchange.ending), Some(NotRun::False));
    thread::sleep(BEYOND_LEASE.saturating_sub(paused.elapsed()));
    sidecar.resume().unwrap();
    support::wait_answered(&cluster.gateways[0], &support::quick(2));
    support::wait_freed(&cluster);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// The stream goes on over a new connection, whole and without a second run.
#[test]
fn silent_connection_between_gateway_and_sidecar() {
    let cluster = support::start(1, 1);
    let plan = support::once(1);
    let front = cluster.endpoints[0].sidecar.front();
    let stream = support::begin(&cluster.gateways[0], &plan);
    let opened = front.opened();
    front.set_existing(Faults::silent());
    let exchange = stream.join().unwrap();
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    assert!(front.opened() > opened);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// Holds a dispatch on its way until its sender has taken it back and told the caller that it was
/// not run, then lets it come. Gives how often it ran.
fn runs_of_late_dispatch(cluster: &Cluster, request: &Plan) -> usize {
    let front = cluster.endpoints[0].sidecar.front();
    let held = front.connections();
    let opened = front.opened();
    front.set_existing(Faults::silent_towards(Direction::ToTarget));
    let exchange = support::call(&cluster.gateways[0], request);
    let told = said_of_run(&exchange.ending);
    assert_eq!(told, Some(NotRun::True), "{exchange:?}");
    assert!(opened < front.opened(), "not given up: {exchange:?}");
    assert_eq!(support::runs(cluster, request).len(), 0);
    front.set_existing(Faults::default());
    support::until("the held connections end", || {
        let open = front.connections();
        held.iter()
            .all(|old| open.iter().all(|new| new.id != old.id))
    });
    support::wait_answered(&cluster.gateways[0], &support::quick(0));
    support::wait_freed(cluster);
    support::runs(cluster, request).len()
}

#[test]
fn dispatch_that_comes_after_its_withdrawal_starts_nothing() {
    let cluster = support::start(1, 1);
    assert_eq!(runs_of_late_dispatch(&cluster, &support::once(1)), 0);
}

/// The test above can fail: without the tombstone a late dispatch runs, unless the end of its
/// connection overtakes it, which is why there are several.
#[test]
fn late_dispatch_runs_if_the_tombstone_is_dropped() {
    let cluster = support::start_planted(1, 1, "dropped-tombstone");
    let mut requests = (1..=LATE_DISPATCHES).map(support::once);
    let ran = requests.any(|request| runs_of_late_dispatch(&cluster, &request) == 1);
    assert!(ran, "none of {LATE_DISPATCHES} late dispatches ran");
}

/// The sidecar asks the engine for the rest of the stream.
#[test]
fn broken_connection_between_sidecar_and_engine() {
    let cluster = support::start(1, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    assert!(cluster.endpoints[0].door.cut() > 0);
    let exchange = stream.join().unwrap();
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// Requests go on; an edit whose reply is lost is settled, and in force once the store is back.
#[test]
fn store_outage_with_a_reply_lost() {
    let cluster = support::start(1, 1);
    let gateway = &cluster.gateways[0];
    let faults = cluster.platform.faults();
    faults.set_outage(true);
    let plan = support::once(1);
    let exchange = support::call(gateway, &plan);
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    faults.set_outage(false);
    faults.lose_next_replies(1);
    let rows = vec![mgs_settings::row::RowValue::Endpoint(
        cluster.endpoints[0].row(true),
    )];
    let version = cluster.edit("lost", rows).unwrap();
    support::until("the edit is in force", || {
        let seen = gateway.first_metric(VERSION_METRIC);
        seen.is_some_and(|seen| seen >= version as f64)
    });
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// The claim of a key whose reply is lost is settled: the request runs once, and its repeat gets
/// the same answer.
#[test]
fn claim_of_a_key_with_its_reply_lost() {
    let cluster = support::start(2, 1);
    let plan = support::keyed(1);
    // Some of them may be those of other writes, such as a gateway's sign of life.
    cluster.platform.faults().lose_next_replies(LOST_REPLIES);
    let first = support::call(&cluster.gateways[0], &plan);
    let repeat = support::call(&cluster.gateways[1], &plan);
    assert!(support::is_whole(&plan, &first), "{first:?}");
    assert!(support::is_whole(&plan, &repeat), "{repeat:?}");
    assert_eq!(
        cluster.platform.faults().counters().replies_lost,
        LOST_REPLIES
    );
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// Without the store nobody can tell whether the key was used, so the request is refused.
#[test]
fn keyed_request_in_a_store_outage() {
    let cluster = support::start(1, 1);
    cluster.platform.faults().set_outage(true);
    let plan = support::keyed(1);
    let refused = support::call(&cluster.gateways[0], &plan);
    assert_eq!(said_of_run(&refused.ending), Some(NotRun::True));
    assert_eq!(support::runs(&cluster, &plan).len(), 0);
    cluster.platform.faults().set_outage(false);
    support::wait_answered(&cluster.gateways[0], &plan);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// Another gateway takes the request over.
#[test]
fn durable_request_whose_gateway_is_killed() {
    let cluster = support::start(2, 1);
    let plan = support::durable(1);
    let exchange = support::submit_and(&cluster, &plan, || {
        support::until("the request runs", || {
            !support::runs(&cluster, &plan).is_empty()
        });
        cluster.gateways[0].kill().unwrap();
    });
    assert!(exchange.kept.is_some(), "{exchange:?}");
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    support::wait_freed(&cluster);
}

/// The caller hears that its request ran and has no whole answer; the engine serves again.
#[test]
fn engine_crash() {
    let cluster = support::start(1, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    cluster.endpoints[0].standin.crash();
    let exchange = stream.join().unwrap();
    assert_eq!(said_of_run(&exchange.ending), Some(NotRun::False));
    support::wait_answered(&cluster.gateways[0], &support::quick(2));
    support::wait_freed(&cluster);
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

#[test]
fn graceful_stop_of_a_gateway_cuts_off_no_stream() {
    let cluster = support::start(2, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    cluster.gateways[0].terminate().unwrap();
    let exchange = stream.join().unwrap();
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    assert!(cluster.gateways[0].wait_exit(STOP_LIMIT_MS).unwrap());
    support::wait_answered(&cluster.gateways[1], &support::quick(2));
}

#[test]
fn graceful_stop_of_a_sidecar_cuts_off_no_stream() {
    let cluster = support::start(1, 1);
    let plan = support::once(1);
    let stream = support::begin(&cluster.gateways[0], &plan);
    let sidecar = &cluster.endpoints[0].sidecar;
    sidecar.terminate().unwrap();
    let exchange = stream.join().unwrap();
    assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    assert!(sidecar.wait_exit(STOP_LIMIT_MS).unwrap());
    assert_eq!(support::runs(&cluster, &plan).len(), 1);
}

/// Once the edit is in force at the gateway, the stopped endpoint gets no further request.
#[test]
fn stopped_endpoint_gets_no_new_work() {
    let cluster = support::start(1, 2);
    let gateway = &cluster.gateways[0];
    let stopped = &cluster.endpoints[0];
    let row = mgs_settings::row::RowValue::Endpoint(stopped.row(false));
    let version = cluster.edit("stop", vec![row]).unwrap();
    support::until("the edit is in force", || {
        let seen = gateway.first_metric(VERSION_METRIC);
        seen.is_some_and(|seen| seen >= version as f64)
    });
    let before = stopped.standin.runs().len();
    for request in 1..=20 {
        let plan = support::quick(request);
        let exchange = support::call(gateway, &plan);
        assert!(support::is_whole(&plan, &exchange), "{exchange:?}");
    }
    assert_eq!(stopped.standin.runs().len(), before);
}
