//! A gateway's side of the wire, and waiting for what a test expects.

#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Cancel;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Hello;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Resume;
use mgs_schema::wire::Welcome;
use mgs_schema::wire::Withdraw;
use mgs_schema::wire::WithdrawState;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Sidecar;
use mgs_transport::client::Call;
use mgs_transport::client::Connection;
use mgs_transport::runtime::Runtime;

use crate::fake::Fake;

/// Longest wait for anything; never a measure.
pub(crate) const WAIT: Duration = Duration::from_secs(30);

/// Incarnation of the gateway.
pub(crate) const GATEWAY: u64 = 77;

/// Waits until something holds.
pub(crate) fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Short intervals, so that tests don't wait for defaults.
pub(crate) fn options() -> Options {
    let mut options = Options {
        endpoint_poll_ms: 20,
        reconcile_ms: 50,
        member_poll_ms: 20,
        hosts_poll_ms: 20,
        ..Options::default()
    };
    options.ledger.gateway_lease_ms = 200;
    options.ledger.adopt_ms = 500;
    options.ledger.free_retry_ms = 50;
    options
}

pub(crate) fn start(options: Options, fake: &Fake) -> Sidecar {
    Sidecar::start_with_engine(options, Box::new(fake.clone())).unwrap()
}

/// One connection of the gateway.
pub(crate) struct Gateway {
    _runtime: Runtime,
    pub(crate) connection: Connection,
    pub(crate) hello: Call,
    pub(crate) incarnation: u64,
    pub(crate) session: u64,
}

impl Gateway {
    pub(crate) fn connect(sidecar: &Sidecar, session: u64) -> Self {
        Self::connect_at(sidecar, session, 10)
    }

    /// Connects and asks for reports at an interval.
    pub(crate) fn connect_at(sidecar: &Sidecar, session: u64, report_interval_ms: u64) -> Self {
        let runtime = Runtime::new(&Default::default()).unwrap();
        let address = sidecar.address();
        let connection = Connection::open(&runtime, address, &Default::default()).unwrap();
        let hello = connection
            .call(Body::Hello(Hello {
                incarnation: GATEWAY,
                process: "gateway-1".into(),
                session,
                report_interval_ms,
                ..Hello::default()
            }))
            .unwrap();
        let Body::Welcome(Welcome { incarnation, .. }) = hello.recv_timeout(WAIT).unwrap() else {
            panic!("no welcome");
        };
        Self {
            _runtime: runtime,
            connection,
            hello,
            incarnation,
            session,
        }
    }

    pub(crate) fn message(&self, serial: u64, max_tokens: u64) -> Dispatch {
        Dispatch {
            request_origin: GATEWAY,
            request_serial: serial,
            attempt: 1,
            sidecar_incarnation: self.incarnation,
            session: self.session,
            gateway_incarnation: GATEWAY,
            organisation: "o".into(),
            kind: "k".into(),
            weight: 1,
            model: "m".into(),
            body: b"prompt".to_vec(),
            prompt_tokens: 2,
            max_tokens,
            budget_ms: 600_000,
            ..Dispatch::default()
        }
    }

    pub(crate) fn send(&self, dispatch: Dispatch) -> Call {
        self.connection.call(Body::Dispatch(dispatch)).unwrap()
    }

    /// Dispatches and waits for the acceptance.
    pub(crate) fn accepted(&self, dispatch: Dispatch) -> Call {
        let call = self.send(dispatch);
        match call.recv_timeout(WAIT).unwrap() {
            Body::Accepted(_) => call,
            other => panic!("unexpected {other:?}"),
        }
    }

    pub(crate) fn withdraw(&self, serial: u64, attempt: u32) -> WithdrawState {
        let withdraw = Withdraw {
            request_origin: GATEWAY,
            request_serial: serial,
            sidecar_incarnation: self.incarnation,
            tombstone_ms: 600_000,
            attempt,
        };
        self.state(Body::Withdraw(withdraw))
    }

    pub(crate) fn cancel(&self, serial: u64) -> WithdrawState {
        self.state(Body::Cancel(Cancel {
            request_origin: GATEWAY,
            request_serial: serial,
        }))
    }

    fn state(&self, body: Body) -> WithdrawState {
        match self.connection.ask(body, WAIT).unwrap() {
            Body::WithdrawReply(reply) => reply.state(),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub(crate) fn resume(&self, serial: u64, next_seq: u64) -> Call {
        let resume = Resume {
            request_origin: GATEWAY,
            request_serial: serial,
            next_seq,
            session: self.session,
            gateway_incarnation: GATEWAY,
            budget_ms: 600_000,
        };
        self.connection.call(Body::Resume(resume)).unwrap()
    }

    /// Waits for a report, made after the call, that satisfies.
    pub(crate) fn report(&self, wanted: impl Fn(&LoadReport) -> bool) -> LoadReport {
        while self.hello.receiver().try_recv().is_ok() {}
        // These may have been on their way.
        for _ in 0..2 {
            self.hello.recv_timeout(WAIT).unwrap();
        }
        self.any_report(wanted)
    }

    /// Waits for a report that satisfies, among all since the start.
    pub(crate) fn any_report(&self, wanted: impl Fn(&LoadReport) -> bool) -> LoadReport {
        let end = Instant::now() + WAIT;
        while Instant::now() < end {
            if let Body::LoadReport(report) = self.hello.recv_timeout(WAIT).unwrap() {
                if wanted(&report) {
                    return report;
                }
            }
        }
        panic!("no such report in time");
    }

    pub(crate) fn until_state(&self, state: EndpointState) {
        self.report(|report| report.state() == state);
    }
}

/// Reads an answer from frame `first` to its end.
pub(crate) fn read(call: &Call, first: u64) -> (u64, Finished) {
    let mut next = first;
    loop {
        match call.recv_timeout(WAIT).unwrap() {
            Body::Accepted(_) => {}
            Body::TokenFrame(frame) => {
                assert_eq!(frame.seq, next);
                assert_eq!(frame.text, format!("t{next} "));
                next += 1;
            }
            Body::Finished(finished) => return (next, finished),
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Waits for a refusal, after whatever else.
pub(crate) fn refusal(call: &Call) -> RefusalReason {
    loop {
        match call.recv_timeout(WAIT).unwrap() {
            Body::Refused(refused) => return refused.reason(),
            Body::Accepted(_) => {}
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Reads `count` frames.
pub(crate) fn frames(call: &Call, count: u64) {
    for wanted in 0..count {
        match call.recv_timeout(WAIT).unwrap() {
            Body::TokenFrame(frame) => assert_eq!(frame.seq, wanted),
            other => panic!("unexpected {other:?}"),
        }
    }
}
