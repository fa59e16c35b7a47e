//! A gateway's view of a sidecar over real sockets.

mod fake;

use std::time::Duration;

use fake::Fake;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Hello;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::Resume;
use mgs_schema::wire::Welcome;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Sidecar;
use mgs_transport::client::Call;
use mgs_transport::client::Connection;
use mgs_transport::runtime::Runtime;

const WAIT: Duration = Duration::from_secs(30);
const GATEWAY: u64 = 77;

struct Gateway {
    _runtime: Runtime,
    connection: Connection,
    hello: Call,
    incarnation: u64,
}

fn gateway(sidecar: &Sidecar) -> Gateway {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let connection = Connection::open(&runtime, sidecar.address(), &Default::default()).unwrap();
    let hello = connection
        .call(Body::Hello(Hello {
            incarnation: GATEWAY,
            process: "gateway-1".into(),
            session: 1,
            report_interval_ms: 10,
            ..Hello::default()
        }))
        .unwrap();
    let Body::Welcome(Welcome { incarnation, .. }) = hello.recv_timeout(WAIT).unwrap() else {
        panic!("no welcome");
    };
    Gateway {
        _runtime: runtime,
        connection,
        hello,
        incarnation,
    }
}

fn dispatch(gateway: &Gateway, serial: u64, max_tokens: u64) -> Dispatch {
    Dispatch {
        request_origin: GATEWAY,
        request_serial: serial,
        attempt: 1,
        sidecar_incarnation: gateway.incarnation,
        session: 1,
        gateway_incarnation: GATEWAY,
        organisation: "o".into(),
        kind: "k".into(),
        weight: 1,
        model: "m".into(),
        body: b"prompt".to_vec(),
        prompt_tokens: 2,
        max_tokens,
        budget_ms: 60_000,
        ..Dispatch::default()
    }
}

/// Reads an answer from frame `first` to its end.
fn read(call: &Call, first: u64) -> (u64, Finished) {
    let mut next = first;
    loop {
        match call.recv_timeout(WAIT).unwrap() {
            Body::Accepted(_) => {}
            Body::TokenFrame(frame) => {
                assert_eq!(frame.seq, next);
                next += 1;
            }
            Body::Finished(finished) => return (next, finished),
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[test]
fn reports_follow_the_welcome() {
    let sidecar = Sidecar::start_with_engine(Options::default(), Box::new(Fake::new(9))).unwrap();
    let gateway = gateway(&sidecar);
    for wanted in 1..=3 {
        match gateway.hello.recv_timeout(WAIT).unwrap() {
            Body::LoadReport(report) => {
                assert_eq!(report.report, wanted);
                assert_eq!(report.incarnation, sidecar.incarnation());
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[test]
fn an_answer_is_streamed_whole() {
    let sidecar = Sidecar::start_with_engine(Options::default(), Box::new(Fake::new(500))).unwrap();
    let gateway = gateway(&sidecar);
    let request = dispatch(&gateway, 1, 200);
    let call = gateway.connection.call(Body::Dispatch(request)).unwrap();
    let (frames, finished) = read(&call, 0);
    assert_eq!((frames, finished.frames), (200, 200));
    assert_eq!(finished.outcome, Outcome::Answered as i32);
}

#[test]
fn a_resumed_answer_goes_on_from_the_wanted_frame() {
    let fake = Fake::new(50);
    let sidecar = Sidecar::start_with_engine(Options::default(), Box::new(fake.clone())).unwrap();
    let first = gateway(&sidecar);
    let request = dispatch(&first, 1, 100);
    let call = first.connection.call(Body::Dispatch(request)).unwrap();
    for _ in 0..=50 {
        call.recv_timeout(WAIT).unwrap();
    }
    drop(call);
    drop(first);
    let second = gateway(&sidecar);
    let resume = Resume {
        request_origin: GATEWAY,
        request_serial: 1,
        next_seq: 50,
        session: 1,
        gateway_incarnation: GATEWAY,
        ..Resume::default()
    };
    let call = second.connection.call(Body::Resume(resume)).unwrap();
    fake.allow(100);
    let (frames, finished) = read(&call, 50);
    assert_eq!((frames, finished.frames), (100, 100));
}
