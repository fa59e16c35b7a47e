//! A sidecar inside the test's process whose behaviour the test scripts, and a gateway before it.

#![allow(dead_code)]

pub(crate) mod platform;
pub(crate) mod proxy;

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_schema::key::RequestId;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Accepted;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Finished;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Refused;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::Welcome;
use mgs_schema::wire::WithdrawReply;
use mgs_schema::wire::WithdrawState;
use mgs_settings::hold::Holder;
use mgs_transport::runtime::Runtime;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;
use mgs_transport::server::Reply;
use mgs_transport::server::Server;

pub(crate) const WAIT: Duration = Duration::from_secs(30);
pub(crate) const KEY: &str = "verdure-key";
/// SHA-256 of [`KEY`].
const KEY_DIGEST: &str = "f58a9f626f9e91d51a0605d49a2fd66ff76297014f9096c96b02fa67db1c5594";

/// What the sidecar does with a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Script {
    /// Answers with so many frames.
    Answer(u64),
    /// Refuses.
    Refuse(RefusalReason),
    /// Ends the call without a word before anything ran.
    LoseBefore,
    /// Answers, but ends the call after so many frames; a resume gets the rest of six.
    LoseAfter(u64),
    /// Answers, but says nothing more after so many frames; a resume gets the rest of six.
    PauseAfter(u64),
    /// Ends the call after one frame, and knows nothing of it from then on.
    Forget,
    /// Answers without an end, until nobody reads.
    Drip,
    /// Accepts and says nothing more.
    Stall,
}

/// Frames of an answer that is resumed.
pub(crate) const RESUMED_FRAMES: u64 = 6;

pub(crate) struct Fake {
    pub(crate) incarnation: u64,
    /// Name of the endpoint, as the table has it.
    pub(crate) name: Mutex<String>,
    script: Mutex<Script>,
    /// Requests that ran here, and how often.
    pub(crate) ran: Mutex<HashMap<RequestId, u32>>,
    pub(crate) dispatches: Mutex<Vec<Dispatch>>,
    pub(crate) cancels: Mutex<Vec<RequestId>>,
    /// Settings that it was sent.
    pub(crate) settings: Arc<Holder>,
    /// Tokens of short prompts that wait at its engine, as it reports them.
    pub(crate) waiting_tokens: Arc<AtomicU64>,
    /// Replies kept open by `Stall`.
    stalled: Mutex<Vec<Reply>>,
}

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(100);

impl Fake {
    /// Requests that stall.
    pub(crate) fn stalled(&self) -> usize {
        self.stalled.lock().unwrap().len()
    }

    /// Ends the calls of all that stall.
    pub(crate) fn let_go(&self) {
        self.stalled.lock().unwrap().clear();
    }

    pub(crate) fn script(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    fn hello(&self, reply: Reply) {
        let incarnation = self.incarnation;
        let settings = self.settings.clone();
        let waiting_tokens = self.waiting_tokens.clone();
        let welcome = Welcome {
            incarnation,
            zone: "zone-1".into(),
            process: self.name.lock().unwrap().clone(),
            ..Welcome::default()
        };
        let _ = reply.send(Body::Welcome(welcome));
        std::thread::spawn(move || {
            for report in 1.. {
                let load = LoadReport {
                    incarnation,
                    report,
                    state: EndpointState::Live.into(),
                    prefill_waiting_tokens: waiting_tokens.load(Ordering::Relaxed),
                    short_prefill_waiting_tokens: waiting_tokens.load(Ordering::Relaxed),
                    kv_capacity_tokens: 4_000_000,
                    prefill_tokens_per_s: 1e6,
                    decode_step_ms: 1.0,
                    settings_version: settings.version(),
                    ..LoadReport::default()
                };
                if reply.send(Body::LoadReport(load)).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        });
    }

    fn dispatch(&self, dispatch: Dispatch, reply: Reply) {
        let id = dispatch.request_id();
        let body_bytes = dispatch.body.len() as u64;
        self.dispatches.lock().unwrap().push(dispatch);
        let script = *self.script.lock().unwrap();
        match script {
            Script::Refuse(reason) => {
                let refused = Refused {
                    reason: reason.into(),
                    ..Refused::default()
                };
                let _ = reply.send(Body::Refused(refused));
                return;
            }
            Script::LoseBefore => return,
            _ => {}
        }
        *self.ran.lock().unwrap().entry(id).or_default() += 1;
        let _ = reply.send(Body::Accepted(Accepted::default()));
        match script {
            Script::Answer(frames) => answer(&reply, 0, frames, body_bytes),
            Script::LoseAfter(frames) => send_frames(&reply, 0, frames),
            Script::Forget => {
                send_frames(&reply, 0, 1);
                self.ran.lock().unwrap().remove(&id);
            }
            Script::PauseAfter(frames) => {
                send_frames(&reply, 0, frames);
                self.stalled.lock().unwrap().push(reply);
            }
            Script::Drip => drip(reply),
            _ => self.stalled.lock().unwrap().push(reply),
        }
    }

    fn known(&self, id: RequestId) -> bool {
        self.ran.lock().unwrap().contains_key(&id)
    }
}

fn send_frames(reply: &Reply, from: u64, to: u64) {
    for seq in from..to {
        let frame = TokenFrame {
            seq,
            tokens: 1,
            text: format!("t{seq} "),
        };
        let _ = reply.send(Body::TokenFrame(frame));
    }
}

static STARTED: OnceLock<Instant> = OnceLock::new();

/// A clock for all threads of the test, in microseconds.
pub(crate) fn now_us() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_micros() as u64
}

fn drip(reply: Reply) {
    std::thread::spawn(move || {
        for seq in 0.. {
            let frame = TokenFrame {
                seq,
                tokens: 1,
                text: now_us().to_string(),
            };
            let _ = reply.send(Body::TokenFrame(frame));
            if reply.is_closed() {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
}

fn answer(reply: &Reply, from: u64, frames: u64, body_bytes: u64) {
    send_frames(reply, from, frames);
    let finished = Finished {
        outcome: Outcome::Answered.into(),
        frames,
        prompt_tokens: body_bytes.div_ceil(4),
        generated_tokens: frames,
        status: 201,
        body: b"done".to_vec(),
        content_type: "text/plain".into(),
        finish_reason: "stop".into(),
        ..Finished::default()
    };
    let _ = reply.send(Body::Finished(finished));
}

impl Handler for Fake {
    fn handle(&self, incoming: Incoming) {
        let reply = incoming.reply;
        match incoming.body {
            Body::Hello(_) => self.hello(reply),
            Body::Dispatch(dispatch) => self.dispatch(dispatch, reply),
            Body::Withdraw(withdraw) => {
                let state = match self.known(withdraw.request_id()) {
                    true => WithdrawState::Running,
                    false if *self.script.lock().unwrap() == Script::Forget => {
                        WithdrawState::CannotTell
                    }
                    false => WithdrawState::NeverStarted,
                };
                let state = state.into();
                let _ = reply.send(Body::WithdrawReply(WithdrawReply { state }));
            }
            Body::Resume(resume) if self.known(resume.request_id()) => {
                answer(&reply, resume.next_seq, RESUMED_FRAMES, 0);
            }
            Body::Resume(_) => {
                let refused = Refused {
                    reason: RefusalReason::BadRequest.into(),
                    ..Refused::default()
                };
                let _ = reply.send(Body::Refused(refused));
            }
            Body::SettingsReply(settings) => {
                let _ = self.settings.adopt_reply(settings);
            }
            Body::Cancel(cancel) => self.cancels.lock().unwrap().push(cancel.request_id()),
            _ => {}
        }
    }
}

/// A running fake.
pub(crate) struct Sidecar {
    pub(crate) fake: Arc<Fake>,
    pub(crate) server: Server,
}

pub(crate) fn sidecar(runtime: &Runtime, script: Script) -> Sidecar {
    let fake = Arc::new(Fake {
        incarnation: NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed),
        name: Mutex::default(),
        script: Mutex::new(script),
        ran: Mutex::default(),
        dispatches: Mutex::default(),
        cancels: Mutex::default(),
        settings: Arc::default(),
        waiting_tokens: Arc::default(),
        stalled: Mutex::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server::start(runtime, listener, &Default::default(), fake.clone()).unwrap();
    Sidecar { fake, server }
}

pub(crate) fn snapshot(engines: &[&Sidecar], services: &[&Sidecar]) -> Snapshot {
    let endpoint = |kind: EndpointKind, model: &str, index: usize, at: &Sidecar| {
        let name = format!("{model}-{index}");
        at.fake.name.lock().unwrap().clone_from(&name);
        EndpointRow {
            name,
            kind: kind.into(),
            sidecar_address: at.server.address().to_string(),
            zone: "zone-1".into(),
            models: vec![model.into()],
            started: true,
            ..EndpointRow::default()
        }
    };
    let engines = engines.iter().enumerate();
    let engines = engines.map(|(i, at)| endpoint(EndpointKind::Engine, "m", i, at));
    let services = services.iter().enumerate();
    let services = services.map(|(i, at)| endpoint(EndpointKind::Service, "orders", i, at));
    Snapshot {
        version: 1,
        organisations: vec![OrganisationRow {
            name: "verdure".into(),
            key_digests: vec![KEY_DIGEST.into()],
            version: 1,
        }],
        limits: vec![LimitRow {
            organisation: "*".into(),
            kind: "*".into(),
            weight: 1,
            priority: 1,
            allotted_ms: 20_000,
            ..LimitRow::default()
        }],
        endpoints: engines.chain(services).collect(),
    }
}

/// A gateway before some sidecars, once it has a session with each.
pub(crate) fn gateway(snapshot: Snapshot, options: Options) -> Gateway {
    let endpoints = snapshot.endpoints.len();
    let settings = Arc::new(Holder::default());
    settings.adopt_snapshot(snapshot);
    let gateway = Gateway::start(Options {
        settings,
        leave_grace_ms: 10,
        ..options
    })
    .unwrap();
    until("sessions", || live(&gateway) == endpoints);
    gateway
}

fn live(gateway: &Gateway) -> usize {
    let view = gateway.core().view();
    let endpoints = view.endpoints.iter().flatten();
    endpoints
        .filter(|endpoint| endpoint.state == EndpointState::Live)
        .count()
}

/// Waits for an event.
pub(crate) fn until(what: &str, mut came: impl FnMut() -> bool) {
    let began = Instant::now();
    while !came() {
        assert!(began.elapsed() < WAIT, "no {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
