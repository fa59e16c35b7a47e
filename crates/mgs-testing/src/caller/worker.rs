//! A caller who sends one request after another.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::caller::durable;
use crate::caller::plan::Kind;
use crate::caller::plan::Plan;
use crate::caller::send;
use crate::caller::send::Exchange;
use crate::caller::send::NotSent;
use crate::history::Call;
use crate::history::Ending;
use crate::history::Event;
use crate::history::NotRun;
use crate::history::Recorder;
use crate::history::Request;

/// Most calls for one request.
const CALLS_MAX: usize = 4;

/// Pause before a request is sent again, in milliseconds.
const PAUSE_MS: u64 = 100;

/// Longest pause that a caller takes because the system asked for it, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_000;

/// What all callers of a run share.
#[derive(Debug)]
pub struct Caller {
    /// Names the run in idempotency keys.
    pub run: String,
    /// The gateways.
    pub gateways: Vec<Entry>,
    /// Whether some requests carry an idempotency key and are sent again under it.
    pub keyed: bool,
    /// Where they note what happens.
    pub recorder: Arc<Recorder>,
    /// Time between two pieces of one answer, by when the later one came.
    pub gaps: Mutex<Vec<Gap>>,
    next_request: AtomicU32,
    next_call: AtomicU32,
}

/// A gateway as callers see it behind the platform's balancer.
#[derive(Debug)]
pub struct Entry {
    /// Its place.
    pub place: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether the balancer found it ready.
    pub ready: AtomicBool,
}

/// The time between two pieces of a streamed answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The request.
    pub request: Request,
    /// When the earlier piece came.
    pub from: Instant,
    /// When the later piece came.
    pub to: Instant,
}

impl Caller {
    /// Callers of these gateways, by place and address.
    pub fn new(run: &str, gateways: Vec<(String, SocketAddr)>, recorder: Arc<Recorder>) -> Self {
        let entries = gateways.into_iter().map(|(place, address)| Entry {
            place,
            address,
            ready: AtomicBool::new(true),
        });
        Self {
            run: run.to_string(),
            gateways: entries.collect(),
            keyed: true,
            recorder,
            gaps: Mutex::new(Vec::new()),
            next_request: AtomicU32::new(1),
            next_call: AtomicU32::new(1),
        }
    }

    /// Sends one random request to its end, with the calls that it takes.
    pub fn run_one(&self, random: &mut ChaCha8Rng) {
        let request = Request(self.next_request.fetch_add(1, Ordering::Relaxed));
        let mut plan = Plan::random(request, &self.run, random);
        plan.key = plan.key.filter(|_| self.keyed);
        let first = random.random_range(0..self.gateways.len());
        for gateway in (first..).take(CALLS_MAX) {
            let ready = self.ready_from(gateway);
            let exchange = ready.and_then(|ready| self.call(ready, &plan));
            let Some(pause_ms) = pause_before_retry_ms(&plan, exchange.as_ref()) else {
                return;
            };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    /// The first ready gateway from one on, as a balancer would choose.
    fn ready_from(&self, gateway: usize) -> Option<usize> {
        let count = self.gateways.len();
        let mut following = (gateway..gateway + count).map(|next| next % count);
        let ready = |next: &usize| self.gateways[*next].ready.load(Ordering::Acquire);
        following.find(ready)
    }

    /// Sends one call and notes it; `None` if there was no connection.
    pub fn call(&self, gateway: usize, plan: &Plan) -> Option<Exchange> {
        let place = &self.gateways[gateway].place;
        let call = Call(self.next_call.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let exchange = self.exchange(gateway, plan).ok()?;
        let ended = Instant::now();
        self.recorder.record_at(
            sent,
            Event::Sent {
                call,
                request: plan.request,
                gateway: place.clone(),
                idempotent: plan.idempotent,
                allotted_ms: plan.allotted_ms,
                expected: plan.expected(),
            },
        );
        if let Some(kept) = exchange.kept {
            self.recorder.record_at(kept, Event::Kept { call });
        }
        let ending = exchange.ending.clone();
        self.recorder
            .record_at(ended, Event::Ended { call, ending });
        self.note_gaps(plan.request, &exchange);
        Some(exchange)
    }

    fn exchange(&self, gateway: usize, plan: &Plan) -> Result<Exchange, NotSent> {
        let options = send::Options::default();
        if plan.kind != Kind::Durable {
            return send::send(self.gateways[gateway].address, plan, &options);
        }
        let (before, from) = self.gateways.split_at(gateway);
        let in_turn = from.iter().chain(before);
        let addresses: Vec<SocketAddr> = in_turn.map(|entry| entry.address).collect();
        durable::submit(&addresses, plan, &options)
    }

    fn note_gaps(&self, request: Request, exchange: &Exchange) {
        let pairs = exchange.pieces.windows(2);
        let gaps = pairs.map(|pair| Gap {
            request,
            from: pair[0],
            to: pair[1],
        });
        let mut all = self.gaps.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend(gaps);
    }
}

/// How long to wait before the request is sent again; `None` if it isn't.
///
/// A request that was not run may be sent again by anyone, one that may have run only under its
/// key.
fn pause_before_retry_ms(plan: &Plan, exchange: Option<&Exchange>) -> Option<u64> {
    let Some(exchange) = exchange else {
        return Some(PAUSE_MS);
    };
    let asked_ms = exchange.retry_after_ms.unwrap_or(PAUSE_MS);
    let again = match &exchange.ending {
        Ending::Answered { .. } => false,
        Ending::Error {
            not_run: NotRun::True,
            ..
        } => true,
        Ending::Error { .. } | Ending::Broken { .. } | Ending::Silent => plan.key.is_some(),
    };
    again.then_some(asked_ms.min(PAUSE_MAX_MS))
}
