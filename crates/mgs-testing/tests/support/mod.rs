//! A small system of real processes, and waits on events.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mgs_standin::engine;
use mgs_testing::caller::marker_of;
use mgs_testing::caller::send;
use mgs_testing::caller::Caller;
use mgs_testing::caller::Exchange;
use mgs_testing::caller::Kind;
use mgs_testing::caller::Options;
use mgs_testing::caller::Plan;
use mgs_testing::cluster;
use mgs_testing::cluster::Cluster;
use mgs_testing::cluster::Member;
use mgs_testing::cluster::Run;
use mgs_testing::history::Ending;
use mgs_testing::history::Recorder;
use mgs_testing::history::Request;
use mgs_testing::proxy::Direction;

/// Limit for events that must come, on a busy machine.
const GENEROUS: Duration = Duration::from_secs(90);

/// Bytes to a caller by which its stream surely has begun and surely has not ended.
const BEGUN_BYTES: u64 = 800;

/// Gateways and engines whose streams take some seconds.
pub(crate) fn start(gateways: usize, engines: usize) -> Cluster {
    start_planted(gateways, engines, "")
}

/// The same with a deliberate bug.
pub(crate) fn start_planted(gateways: usize, engines: usize, plant: &str) -> Cluster {
    let options = cluster::Options {
        gateways,
        engines,
        services: 0,
        plant: plant.to_string(),
        engine: engine::Options {
            decode_step_ms: 30.0,
            ..engine::Options::default()
        },
        ..cluster::Options::default()
    };
    Cluster::start(&options).unwrap()
}

/// A streamed request that must not run twice.
pub(crate) fn once(request: u32) -> Plan {
    Plan {
        idempotent: false,
        max_tokens: 100,
        ..Plan::new(Request(request), 50)
    }
}

/// A short request that must not run twice, under a key.
pub(crate) fn keyed(request: u32) -> Plan {
    Plan {
        idempotent: false,
        key: Some(format!("key-{request}")),
        ..quick(request)
    }
}

/// A durable request that may run twice.
pub(crate) fn durable(request: u32) -> Plan {
    Plan {
        kind: Kind::Durable,
        idempotent: true,
        allotted_ms: 60_000,
        ..once(request)
    }
}

/// Sends a durable request to the first gateway and does something while its caller comes back
/// for the answer.
pub(crate) fn submit_and(cluster: &Cluster, plan: &Plan, meanwhile: impl FnOnce()) -> Exchange {
    let gateways = cluster.gateways.iter();
    let gateways = gateways.map(|one| (one.place().to_string(), one.front().address()));
    let caller = Caller::new("test", gateways.collect(), Arc::new(Recorder::default()));
    thread::scope(|scope| {
        let call = scope.spawn(|| caller.call(0, plan));
        meanwhile();
        call.join().unwrap().expect("the gateway listens")
    })
}

/// A request that takes no time.
pub(crate) fn quick(request: u32) -> Plan {
    Plan {
        max_tokens: 1,
        ..Plan::new(Request(request), 8)
    }
}

/// Sends a request and waits for its end.
pub(crate) fn call(gateway: &Member, plan: &Plan) -> Exchange {
    let address = gateway.front().address();
    send(address, plan, &Options::default()).expect("the gateway listens")
}

/// Sends a streamed request and returns once its answer has begun.
pub(crate) fn begin(gateway: &Member, plan: &Plan) -> JoinHandle<Exchange> {
    let before = gateway.front().bytes(Direction::ToCaller);
    let address = gateway.front().address();
    let sent = plan.clone();
    let call = thread::spawn(move || {
        send(address, &sent, &Options::default()).expect("the gateway listens")
    });
    until("the stream begins, or ends", || {
        let bytes = gateway.front().bytes(Direction::ToCaller);
        bytes >= before + BEGUN_BYTES || call.is_finished()
    });
    if call.is_finished() {
        panic!("it ends before it has begun: {:?}", call.join());
    }
    call
}

/// Whether a request got its whole answer.
pub(crate) fn is_whole(plan: &Plan, exchange: &Exchange) -> bool {
    let text = plan.expected();
    exchange.ending == Ending::Answered { text }
}

/// The runs of a request at all endpoints.
pub(crate) fn runs(cluster: &Cluster, plan: &Plan) -> Vec<Run> {
    let endpoints = cluster.endpoints.iter();
    let runs = endpoints.flat_map(|endpoint| endpoint.standin.runs());
    runs.filter(|run| marker_of(&run.text) == Some(plan.request))
        .collect()
}

/// Waits until no engine holds memory.
pub(crate) fn wait_freed(cluster: &Cluster) {
    until("engines free their memory", || {
        let mut endpoints = cluster.endpoints.iter();
        endpoints.all(|endpoint| endpoint.standin.held_tokens() == 0)
    });
}

/// Waits until a request is answered, refused ones being sent again.
pub(crate) fn wait_answered(gateway: &Member, plan: &Plan) {
    until("a request is answered", || {
        is_whole(plan, &call(gateway, plan))
    });
}

/// Waits for an event that must come.
pub(crate) fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < GENEROUS, "it doesn't come: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
