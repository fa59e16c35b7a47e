//! The control work of one gateway, on a thread.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mgs_controller::lease;
use mgs_controller::lease::Lease;
use mgs_platform::http::Client;
use mgs_platform::table::scan_all;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_schema::wire::SettingsReply;
use mgs_schema::wire::SettingsRequest;
use mgs_settings::confirm;
use mgs_settings::confirm::Reporter;
use mgs_settings::follow::Follower;
use mgs_settings::follow::Peers;
use mgs_settings::hold::Holder;
use mgs_settings::member;
use mgs_settings::member::Claim;
use mgs_settings::member::Member;
use mgs_settings::member::Observer;
use mgs_settings::member::Role;
use rand::Rng as _;

use super::client;
use super::millis;
use super::Options;

const STEP: Duration = Duration::from_millis(20);
const CONTROL_INTERVAL_MS: u64 = 1_000;
const LOOK_BYTES_PER_S: u64 = 2_000;
const ASKED_MAX: usize = 8;

/// What all gateways share.
#[derive(Default)]
struct Shared {
    holders: Mutex<Vec<Arc<Holder>>>,
    /// Versions and when they came into force, for each gateway.
    adopted: Vec<Mutex<Vec<(u64, Instant)>>>,
    /// The first gateway is paused.
    paused: AtomicBool,
    stopped: AtomicBool,
}

/// The gateways.
pub(super) struct Fleet {
    shared: Arc<Shared>,
    pauses: bool,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    pub(super) fn start(options: &Options, url: &str) -> Self {
        let adopted = (0..options.gateways).map(|_| Mutex::default());
        let shared = Arc::new(Shared {
            adopted: adopted.collect(),
            ..Shared::default()
        });
        let start = |index| {
            let gateway = Gateway::new(index, options, url, &shared);
            thread::spawn(move || gateway.run())
        };
        Self {
            threads: (0..options.gateways).map(start).collect(),
            pauses: options.scenario == super::Scenario::Paused,
            shared,
        }
    }

    /// Waits until each gateway has a version; returns whether that was so in time.
    pub(super) fn wait_for(&self, version: u64, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while self.having(version) < self.shared.adopted.len() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(STEP);
        }
        true
    }

    /// How many gateways have a version.
    pub(super) fn having(&self, version: u64) -> usize {
        let newest = |adopted: &Mutex<Vec<(u64, Instant)>>| lock(adopted).last().map(|last| last.0);
        let adopted = self.shared.adopted.iter().filter_map(newest);
        adopted.filter(|newest| *newest >= version).count()
    }

    pub(super) fn pause(&self, paused: bool) {
        self.shared.paused.store(paused, Ordering::Release);
    }

    /// When a version was in force at the last gateway but the one that is paused at times;
    /// `None` if it never was.
    pub(super) fn last_in_force(&self, version: u64) -> Option<Instant> {
        let skipped = usize::from(self.pauses);
        let mut last = None;
        for adopted in self.shared.adopted.iter().skip(skipped) {
            let adopted = lock(adopted);
            let first = adopted.iter().find(|(newest, _)| *newest >= version)?;
            last = last.max(Some(first.1));
        }
        last
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // A gateway that panicked has shown so by not adopting anything.
            let _ = thread.join();
        }
    }
}

/// Other gateways, asked in memory.
struct OtherGateways(Arc<Shared>);

impl Peers for OtherGateways {
    fn ask(&self, since_version: u64) -> Vec<SettingsReply> {
        let holders = lock(&self.0.holders);
        let first = rand::rng().next_u64() as usize % holders.len().max(1);
        let asked = holders
            .iter()
            .cycle()
            .skip(first)
            .take(ASKED_MAX.min(holders.len()));
        asked
            .map(|holder| holder.answer(&SettingsRequest { since_version }))
            .collect()
    }
}

struct Gateway {
    index: usize,
    gateways: u64,
    client: Arc<Client>,
    follower: Follower,
    reporter: Reporter,
    claim: Claim,
    observer: Observer,
    lease: Lease,
    shared: Arc<Shared>,
    begin: Instant,
    due: Due,
}

/// When each kind of work is due, in milliseconds.
#[derive(Default)]
struct Due {
    poll_ms: u64,
    renew_ms: u64,
    look_ms: u64,
    control_ms: u64,
}

impl Gateway {
    fn new(index: usize, options: &Options, url: &str, shared: &Arc<Shared>) -> Self {
        let client = Arc::new(client(url));
        let peers = Box::new(OtherGateways(Arc::clone(shared)));
        let follow = options.follow.clone();
        let follower = Follower::new(follow, client.clone(), client.clone(), peers);
        lock(&shared.holders).push(Arc::clone(follower.holder()));
        let name = format!("gateway-{index}");
        let incarnation = index as u64 + 1;
        let member = Member {
            incarnation,
            address: "127.0.0.1:7200".to_string(),
            zone: "zone-a".to_string(),
            ..Member::default()
        };
        Self {
            index,
            gateways: options.gateways as u64,
            follower,
            reporter: Reporter::new(confirm::Options::default(), incarnation),
            claim: Claim::new(Role::Gateway, &name, member),
            observer: Observer::default(),
            lease: Lease::new(lease::Options::default(), &name, incarnation),
            shared: Arc::clone(shared),
            begin: Instant::now(),
            client,
            due: Due::default(),
        }
    }

    fn run(mut self) {
        while !self.shared.stopped.load(Ordering::Acquire) {
            let paused = self.index == 0 && self.shared.paused.load(Ordering::Acquire);
            if !paused {
                self.step(millis(self.begin.elapsed()));
            }
            thread::sleep(STEP);
        }
    }

    fn step(&mut self, now_ms: u64) {
        if now_ms >= self.due.poll_ms {
            self.poll(now_ms);
        }
        let table: &dyn Table = self.client.as_ref();
        if now_ms >= self.due.renew_ms {
            self.due.renew_ms = now_ms + member::Options::default().renew_interval_ms;
            // What an outage hinders is due again an interval later.
            let _ = self.claim.renew(table, BTreeMap::new());
        }
        if now_ms >= self.due.look_ms {
            let renew_ms = member::Options::default().renew_interval_ms;
            self.due.look_ms = now_ms + renew_ms;
            if let Ok(rows) = scan_all(table, member::GATEWAY_PREFIX) {
                let bytes = member::scan_bytes(&rows);
                let interval_ms = member::look_interval_ms(bytes, renew_ms, LOOK_BYTES_PER_S);
                self.due.look_ms = now_ms + interval_ms;
                let _ = self.observer.observe(now_ms, &rows);
            }
        }
        if now_ms >= self.due.control_ms {
            self.due.control_ms = now_ms + CONTROL_INTERVAL_MS;
            self.lease.watch_every(3_000.max(self.gateways * 20));
            let _ = self.lease.tick(now_ms, table);
        }
        self.confirm(now_ms);
    }

    fn poll(&mut self, now_ms: u64) {
        let random = rand::rng().next_u64();
        let outcome = self.follower.poll(self.gateways, random);
        self.due.poll_ms = now_ms + outcome.wait_ms;
        if outcome.changed {
            let version = self.follower.holder().version();
            self.reporter.own(version);
            lock(&self.shared.adopted[self.index]).push((version, Instant::now()));
        }
    }

    fn confirm(&mut self, now_ms: u64) {
        let Some(due) = self.reporter.due(now_ms, self.gateways) else {
            return;
        };
        let value = serde_json::to_string(&due).expect("a confirmation can be written as JSON");
        let key = confirm::key(&format!("gateway-{}", self.index));
        if self
            .client
            .commit(&Txn::default().put(&key, &value))
            .is_ok()
        {
            self.reporter.written(due);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
