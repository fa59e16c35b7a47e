//! Contenders for the controller's lease who are paused beyond it at any step, and give orders to
//! real sidecars before engines that ignore fencing numbers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_controller::gate;
use mgs_controller::lease;
use mgs_controller::lease::Lease;
use mgs_controller::lease::Number;
use mgs_controller::order;
use mgs_controller::order::Action;
use mgs_controller::order::EndpointRecord;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Order;
use mgs_transport::client::Connection;
use mgs_transport::runtime::Runtime;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Finding;
use crate::check::Invariant;
use crate::check::Violation;
use crate::cluster::Cluster;
use crate::cluster::Endpoint;
use crate::cluster::Standin;
use crate::history::Event;
use crate::history::Recorder;

/// A lease that is short enough to lapse often in a run.
const LEASE: lease::Options = lease::Options {
    lease_ms: 600,
    margin_ms: 200,
    renew_interval_ms: 150,
};

/// Longest pause, a multiple of the lease, in milliseconds.
const PAUSE_MAX_MS: u64 = 2_000;

/// One step in so many is paused.
const PAUSED_STEPS: u32 = 8;

const STEP: Duration = Duration::from_millis(40);

const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// The contenders of one run.
pub(super) struct Duties<'a> {
    cluster: &'a Cluster,
    recorder: &'a Recorder,
    begin: Instant,
    runtime: Runtime,
    given: AtomicU64,
    pauses: AtomicU64,
}

impl<'a> Duties<'a> {
    pub(super) fn new(
        cluster: &'a Cluster,
        recorder: &'a Recorder,
    ) -> Result<Self, std::io::Error> {
        Ok(Self {
            cluster,
            recorder,
            begin: Instant::now(),
            runtime: Runtime::new(&mgs_transport::runtime::Options::default())?,
            given: AtomicU64::new(0),
            pauses: AtomicU64::new(0),
        })
    }

    /// One contender, until it is told to stop.
    pub(super) fn contend(&self, number: u64, seed: u64, stop: &AtomicBool) {
        let holder = format!("contender-{number}");
        let mut contender = Contender {
            duties: self,
            lease: Lease::new(LEASE, &holder, number),
            random: ChaCha8Rng::seed_from_u64(seed),
            holder,
            had: false,
        };
        while !stop.load(Ordering::Acquire) {
            // A step that fails is made anew from what the store says.
            let _ = contender.step();
            thread::sleep(STEP);
        }
    }

    /// Adds the orders that took effect to the history.
    pub(super) fn note_orders(&self) {
        for endpoint in &self.cluster.endpoints {
            for seen in orders(endpoint).into_iter().filter(|seen| seen.obeyed) {
                let obeyed = Event::Obeyed {
                    endpoint: endpoint.name.clone(),
                    fencing: seen.order.fencing,
                };
                self.recorder.record_at(seen.at, obeyed);
            }
        }
    }

    /// Whether a fencing number stood for more than one order that took effect.
    pub(super) fn finding(&self) -> Finding {
        let mut effects: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for endpoint in &self.cluster.endpoints {
            for seen in orders(endpoint).into_iter().filter(|seen| seen.obeyed) {
                let order = &seen.order;
                let what = format!("{} {} {}", endpoint.name, order.action, order.subject);
                effects.entry(order.fencing).or_default().insert(what);
            }
        }
        let at_ms = self.recorder.now_ms();
        let shared = effects.iter().filter(|(_, orders)| orders.len() > 1);
        let violations = shared.map(|(fencing, orders)| Violation {
            at_ms,
            detail: format!("number {fencing} took effect as {orders:?}"),
        });
        Finding {
            invariant: Invariant::Orders,
            checked: effects.len(),
            violations: violations.collect(),
        }
    }

    /// Orders given, and pauses beyond the lease among the steps.
    pub(super) fn counts(&self) -> (u64, u64) {
        let given = self.given.load(Ordering::Relaxed);
        (given, self.pauses.load(Ordering::Relaxed))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn table(&self) -> &dyn Table {
        self.cluster.platform.memory().as_ref()
    }

    fn engines(&self) -> Vec<&'a Endpoint> {
        let endpoints = self.cluster.endpoints.iter();
        let engines = endpoints.filter(|one| matches!(one.standin, Standin::Engine(_)));
        engines.collect()
    }

    fn send(&self, endpoint: &Endpoint, order: Order) -> Option<bool> {
        let address = endpoint.sidecar.front().address();
        let options = mgs_transport::client::Options::default();
        let connection = Connection::open(&self.runtime, address, &options).ok()?;
        self.given.fetch_add(1, Ordering::Relaxed);
        match connection.ask(Body::Order(order), ANSWER_WAIT) {
            Ok(Body::OrderReply(reply)) => Some(reply.done),
            _ => None,
        }
    }
}

fn orders(endpoint: &Endpoint) -> Vec<mgs_standin::engine::OrderSeen> {
    match &endpoint.standin {
        Standin::Engine(engine) => engine.orders(),
        Standin::Service(_) => Vec::new(),
    }
}

struct Contender<'a> {
    duties: &'a Duties<'a>,
    lease: Lease,
    random: ChaCha8Rng,
    holder: String,
    had: bool,
}

impl Contender<'_> {
    /// Takes or keeps the lease and gives one order. Between any two steps it may be paused for
    /// longer than the lease, and then goes on as if nothing had happened.
    fn step(&mut self) -> Result<(), mgs_controller::Error> {
        let duties = self.duties;
        let held = self.lease.tick(duties.now_ms(), duties.table())?;
        if held && !self.had {
            duties.recorder.record(Event::LeaseTaken {
                fencing: self.lease.fencing(),
                holder: self.holder.clone(),
            });
        }
        self.had = held;
        if !held {
            return Ok(());
        }
        let now_ms = duties.now_ms();
        self.may_pause();
        let engines = duties.engines();
        let endpoint = engines[self.random.random_range(0..engines.len())];
        let record = self.record(now_ms, endpoint)?;
        self.may_pause();
        let order = record.order.as_ref().map(|order| order.message());
        let done = order.and_then(|order| duties.send(endpoint, order));
        self.may_pause();
        if let Some(done) = done {
            let settled = record.settled(done);
            self.write(now_ms, endpoint, &settled, Number::Keep)?;
        }
        Ok(())
    }

    /// Records an order: the one that is pending, under a new number, or another.
    fn record(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
    ) -> Result<EndpointRecord, mgs_controller::Error> {
        let known = gate::recorded(self.duties.table(), &endpoint.name)?;
        let fencing = self.lease.next_fencing();
        let record = match known {
            Some(record) if record.pending() => record.renumbered(fencing),
            known => {
                let subject = format!("extra-{fencing}");
                let known = known.unwrap_or_default();
                EndpointRecord::with_order(&known, fencing, Action::Load, &subject)
            }
        };
        self.write(now_ms, endpoint, &record, Number::Next)?;
        Ok(record)
    }

    fn write(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        record: &EndpointRecord,
        number: Number,
    ) -> Result<(), mgs_controller::Error> {
        let key = order::key(&endpoint.name);
        let value = serde_json::to_string(record).unwrap_or_default();
        let txn = Txn::default().put(&key, &value);
        let table = self.duties.table();
        self.lease.commit(now_ms, table, txn, number).map(|_| ())
    }

    fn may_pause(&mut self) {
        if !self.random.random_ratio(1, PAUSED_STEPS) {
            return;
        }
        let pause_ms = self.random.random_range(0..=PAUSE_MAX_MS);
        if pause_ms > LEASE.lease_ms {
            self.duties.pauses.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(pause_ms));
    }
}
