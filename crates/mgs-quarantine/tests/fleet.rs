//! Simulates a small fleet: a request that crashes its endpoints is held after a few crashes, and
//! unrelated requests never are.
//!
//! The model is coarse: it advances in steps of 5 ms; messages between gateways take 5 to 20 ms,
//! and one in twenty is lost and sent again after 250 ms; endpoints are back 3 s after their end.
//! Unrelated requests are unique streams, resumed once by the gateway and repeated once by their
//! client, and calls of a few often used paths. Thousands of them are simulated, which bounds the
//! probability that one is held.

use std::collections::BTreeSet;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::options::Options;
use mgs_quarantine::shared::SharedRecord;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::verdict::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MS: f64 = 5.0;

/// Time between a crash and the gateway's retry, as in a gateway.
const RETRY_DELAY_MS: f64 = 25.0;

/// Time between two calls of [`Quarantine::prune`], as in a gateway.
const PRUNE_INTERVAL_MS: f64 = 250.0;

const RESTART_MS: f64 = 3_000.0;

/// One simulated run.
#[derive(Debug, Clone)]
struct Scenario {
    gateways: usize,
    endpoints: usize,
    duration_ms: f64,
    /// Clients that repeat the crashing request at once, whatever the response.
    crashing_clients: usize,
    /// Streams that start per second.
    streams_per_s: f64,
    /// Calls of often used paths per second.
    calls_per_s: f64,
    /// Endpoints that end per second for reasons other than the requests.
    unrelated_ends_per_s: f64,
    /// Seconds between power failures that end a third of the endpoints at one moment; 0 for none.
    rack_failure_interval_s: f64,
    options: Options,
    /// Whether gateways receive each other's records.
    shares_records: bool,
    /// Whether gateways record the progress of streams.
    reports_progress: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            gateways: 3,
            endpoints: 21,
            duration_ms: 20_000.0,
            crashing_clients: 0,
            streams_per_s: 45.0,
            calls_per_s: 10.0,
            unrelated_ends_per_s: 0.0,
            rack_failure_interval_s: 0.0,
            options: Options::default(),
            shares_records: true,
            reports_progress: true,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Endpoints that the crashing request ended.
    crashed_endpoints: usize,
    /// Other fingerprints that were held at any time.
    unrelated_held: BTreeSet<u128>,
    /// Number of other requests.
    unrelated_requests: usize,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Crashing,
    Stream,
    UnaryCall,
}

#[derive(Debug, Clone)]
struct Run {
    fingerprint: Fingerprint,
    kind: Kind,
    gateway: usize,
    endpoint: usize,
    first_event_ms: f64,
    end_ms: f64,
    events: u32,
    /// Earlier runs of this request.
    runs: u32,
    /// Earlier requests with the same fingerprint.
    repetitions: u32,
}

/// A request that is dispatched at a given time.
#[derive(Debug, Clone)]
struct PendingRequest {
    at_ms: f64,
    fingerprint: Fingerprint,
    kind: Kind,
    gateway: usize,
    events: u32,
    runs: u32,
    repetitions: u32,
}

struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    gateways: Vec<Quarantine>,
    /// Incarnation of each endpoint, and the time until which it is down.
    endpoints: Vec<(u64, f64)>,
    runs: Vec<Run>,
    pending: Vec<PendingRequest>,
    messages: Vec<(f64, usize, SharedRecord)>,
    now_ms: f64,
    next_id: u64,
    outcome: Outcome,
}

const CRASHING: Fingerprint = Fingerprint(1);

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let empty = || {
            let mut quarantine = Quarantine::new(scenario.options.clone());
            quarantine.set_endpoint_count(scenario.endpoints);
            quarantine
        };
        let mut simulation = Self {
            gateways: (0..scenario.gateways).map(|_| empty()).collect(),
            endpoints: (0..scenario.endpoints as u64).map(|e| (e, 0.0)).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            runs: Vec::new(),
            pending: Vec::new(),
            messages: Vec::new(),
            now_ms: 0.0,
            next_id: 1_000,
            outcome: Outcome::default(),
            scenario,
        };
        for _ in 0..simulation.scenario.crashing_clients {
            let at_ms = 1_000.0 + simulation.random.random_range(0.0..500.0);
            simulation.send(CRASHING, Kind::Crashing, at_ms);
        }
        simulation
    }

    fn send(&mut self, fingerprint: Fingerprint, kind: Kind, at_ms: f64) {
        let gateway = self.random.random_range(0..self.scenario.gateways);
        self.pending.push(PendingRequest {
            at_ms,
            fingerprint,
            kind,
            gateway,
            events: 0,
            runs: 0,
            repetitions: 0,
        });
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < self.scenario.duration_ms {
            self.now_ms += STEP_MS;
            self.receive_requests();
            self.inject_unrelated_ends();
            self.advance_runs();
            self.exchange_records();
            if self.now_ms % PRUNE_INTERVAL_MS < STEP_MS {
                let now_ms = self.now_ms;
                self.gateways.iter_mut().for_each(|g| g.prune(now_ms));
            }
            self.dispatch();
        }
        self.outcome
    }

    fn draw_event(&mut self, per_s: f64) -> bool {
        self.random.random_range(0.0..1.0) < per_s * STEP_MS / 1e3
    }

    fn receive_requests(&mut self) {
        if self.draw_event(self.scenario.streams_per_s) {
            self.next_id += 1;
            self.outcome.unrelated_requests += 1;
            self.send(
                Fingerprint(u128::from(self.next_id)),
                Kind::Stream,
                self.now_ms,
            );
        }
        if self.draw_event(self.scenario.calls_per_s) {
            let path = self.random.random_range(0..20_u128);
            self.outcome.unrelated_requests += 1;
            self.send(Fingerprint(100 + path), Kind::UnaryCall, self.now_ms);
        }
    }

    /// Ends endpoints for reasons other than the requests.
    fn inject_unrelated_ends(&mut self) {
        if self.draw_event(self.scenario.unrelated_ends_per_s) {
            let endpoint = self.random.random_range(0..self.scenario.endpoints);
            self.end_endpoints(&[endpoint]);
        }
        let every_ms = self.scenario.rack_failure_interval_s * 1e3;
        if every_ms > 0.0 && self.now_ms % every_ms < STEP_MS {
            let rack: Vec<usize> = (0..self.scenario.endpoints).step_by(3).collect();
            self.end_endpoints(&rack);
        }
    }

    /// Ends endpoints at the same moment.
    fn end_endpoints(&mut self, endpoints: &[usize]) {
        for endpoint in endpoints {
            let (incarnation, back_ms) = self.endpoints[*endpoint];
            if back_ms > self.now_ms {
                continue;
            }
            self.next_id += 1;
            self.endpoints[*endpoint] = (self.next_id, self.now_ms + RESTART_MS);
            let (lost, rest): (Vec<Run>, Vec<Run>) = self
                .runs
                .drain(..)
                .partition(|run| run.endpoint == *endpoint);
            self.runs = rest;
            for run in lost {
                let gateway = &mut self.gateways[run.gateway];
                gateway.record_crash(run.fingerprint, incarnation, run.events, self.now_ms);
                self.retry(&run);
            }
        }
    }

    /// Retries at the same gateway once, then as a repetition by the client at another one.
    fn retry(&mut self, run: &Run) {
        let mut request = PendingRequest {
            at_ms: self.now_ms + RETRY_DELAY_MS,
            fingerprint: run.fingerprint,
            kind: run.kind,
            gateway: run.gateway,
            events: run.events,
            runs: run.runs + 1,
            repetitions: run.repetitions,
        };
        if request.runs >= 2 {
            request.gateway = self.random.random_range(0..self.scenario.gateways);
            request.at_ms += 5.0;
            (request.runs, request.events) = (0, 0);
            request.repetitions += 1;
        }
        if run.kind == Kind::Crashing || request.repetitions < 2 {
            self.pending.push(request);
        }
    }

    fn advance_runs(&mut self) {
        let now_ms = self.now_ms;
        let mut ended = Vec::new();
        for run in &mut self.runs {
            if run.kind == Kind::Stream && now_ms >= run.first_event_ms {
                let stream_events = 1 + ((now_ms - run.first_event_ms) / 45.0) as u32;
                run.events = run.events.max(stream_events);
                if self.scenario.reports_progress {
                    self.gateways[run.gateway].record_progress(run.fingerprint, run.events, now_ms);
                }
            }
            if now_ms >= run.end_ms {
                ended.push((run.kind, run.endpoint, run.gateway, run.fingerprint));
            }
        }
        self.runs
            .retain(|run| now_ms < run.end_ms || run.kind == Kind::Crashing);
        for (kind, endpoint, gateway, fingerprint) in ended {
            match kind {
                Kind::Crashing if self.endpoints[endpoint].1 <= now_ms => {
                    self.outcome.crashed_endpoints += 1;
                    self.end_endpoints(&[endpoint]);
                }
                Kind::Crashing => {}
                Kind::Stream | Kind::UnaryCall => {
                    self.gateways[gateway].record_completion(fingerprint, now_ms)
                }
            }
        }
    }

    fn exchange_records(&mut self) {
        for gateway in 0..self.gateways.len() {
            for fingerprint in self.gateways[gateway].take_changed() {
                let shared = self.gateways[gateway].shared_record(fingerprint, self.now_ms);
                for to in (0..self.gateways.len()).filter(|to| *to != gateway) {
                    let is_lost = self.random.random_range(0.0..1.0) < 0.05;
                    let delay_ms = match is_lost {
                        true => 250.0,
                        false => self.random.random_range(5.0..20.0),
                    };
                    let shared = shared.clone().expect("a changed record exists");
                    self.messages.push((self.now_ms + delay_ms, to, shared));
                }
            }
        }
        let (arrived, rest): (Vec<_>, Vec<_>) = self
            .messages
            .drain(..)
            .partition(|(at_ms, _, _)| *at_ms <= self.now_ms);
        self.messages = rest;
        for (_, to, shared) in arrived {
            if self.scenario.shares_records {
                self.gateways[to].merge_shared(&shared, self.now_ms);
            }
        }
        for gateway in &mut self.gateways {
            let held = gateway
                .held()
                .iter()
                .filter(|fingerprint| **fingerprint != CRASHING);
            self.outcome
                .unrelated_held
                .extend(held.map(|fingerprint| fingerprint.0));
        }
    }

    fn dispatch(&mut self) {
        let (due, rest): (Vec<PendingRequest>, Vec<PendingRequest>) = self
            .pending
            .drain(..)
            .partition(|request| request.at_ms <= self.now_ms);
        self.pending = rest;
        for request in due {
            let verdict = match request.runs {
                0 => self.gateways[request.gateway].begin_request(request.fingerprint, self.now_ms),
                _ => self.gateways[request.gateway].verdict(request.fingerprint),
            };
            if verdict == Verdict::Held {
                continue;
            }
            let live: Vec<usize> = (0..self.scenario.endpoints)
                .filter(|endpoint| self.endpoints[*endpoint].1 <= self.now_ms)
                .collect();
            if live.is_empty() {
                continue;
            }
            let drawn_index = self.random.random_range(0..live.len());
            let endpoint = match verdict {
                Verdict::Confined => self.confined_endpoint(request.fingerprint, &live),
                _ => live[drawn_index],
            };
            let first_event_ms = self.now_ms + self.random.random_range(60.0..250.0);
            let end_ms = match request.kind {
                Kind::Crashing => first_event_ms + 60.0,
                Kind::Stream => first_event_ms + self.random.random_range(400.0..1_500.0),
                Kind::UnaryCall => self.now_ms + self.random.random_range(15.0..40.0),
            };
            self.runs.push(Run {
                fingerprint: request.fingerprint,
                kind: request.kind,
                gateway: request.gateway,
                endpoint,
                first_event_ms,
                end_ms,
                events: request.events,
                runs: request.runs,
                repetitions: request.repetitions,
            });
        }
    }
}

impl Simulation {
    /// The endpoint on which a confined request may run, the same for all gateways.
    fn confined_endpoint(&self, fingerprint: Fingerprint, live: &[usize]) -> usize {
        let rank = |endpoint: &&usize| {
            let incarnation = self.endpoints[**endpoint].0;
            let seed = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ fingerprint.0 as u64;
            ChaCha8Rng::seed_from_u64(seed).random::<u64>()
        };
        *live.iter().max_by_key(rank).expect("an endpoint is live")
    }
}

fn simulate(scenario: &Scenario, seeds: u64) -> Vec<Outcome> {
    (1..=seeds)
        .map(|seed| Simulation::new(scenario.clone(), seed).run())
        .collect()
}

fn unrelated_held(outcomes: &[Outcome]) -> usize {
    outcomes
        .iter()
        .map(|outcome| outcome.unrelated_held.len())
        .sum()
}

fn unrelated_requests(outcomes: &[Outcome]) -> usize {
    outcomes
        .iter()
        .map(|outcome| outcome.unrelated_requests)
        .sum()
}

/// A single client that repeats the request at once ends three endpoints; several that do so at the
/// same time end few more.
#[rstest]
#[case::three_gateways(3, 1)]
#[case::twenty_gateways(20, 1)]
#[case::a_hundred_gateways(100, 1)]
#[case::two_at_a_time_on_three(3, 2)]
#[case::two_at_a_time_on_twenty(20, 2)]
#[case::two_at_a_time_on_a_hundred(100, 2)]
fn a_crashing_request_ends_few_endpoints(#[case] gateways: usize, #[case] crashing_clients: usize) {
    let scenario = Scenario {
        gateways,
        crashing_clients,
        duration_ms: 8_000.0,
        ..Scenario::default()
    };
    let outcomes = simulate(&scenario, 30);
    let mut ended: Vec<usize> = outcomes
        .iter()
        .map(|outcome| outcome.crashed_endpoints)
        .collect();
    ended.sort_unstable();
    assert!(ended[ended.len() / 2] <= 4, "{ended:?}");
    assert!(ended[ended.len() - 1] <= 6, "{ended:?}");
    assert_eq!(
        unrelated_held(&outcomes),
        0,
        "of {}",
        unrelated_requests(&outcomes)
    );
}

/// Endpoints end for other reasons, one after the other or many at once, under requests for often
/// used paths.
#[rstest]
#[case::one_after_the_other(1.0, 0.0)]
#[case::in_quick_succession(3.0, 0.0)]
#[case::racks(0.0, 4.0)]
#[case::both(1.0, 4.0)]
fn unrelated_requests_are_never_held(
    #[case] unrelated_ends_per_s: f64,
    #[case] rack_failure_interval_s: f64,
) {
    let scenario = Scenario {
        unrelated_ends_per_s,
        rack_failure_interval_s,
        calls_per_s: 60.0,
        crashing_clients: 1,
        duration_ms: 60_000.0,
        ..Scenario::default()
    };
    let outcomes = simulate(&scenario, 10);
    assert_eq!(
        unrelated_held(&outcomes),
        0,
        "of {}",
        unrelated_requests(&outcomes)
    );
}

/// The simulation must detect faulty gateways: those that share no records here, and those that
/// ignore progress in the next test.
#[test]
fn gateways_that_share_no_records_lose_more_endpoints() {
    let scenario = Scenario {
        gateways: 20,
        crashing_clients: 1,
        shares_records: false,
        ..Scenario::default()
    };
    let max_crashed = simulate(&scenario, 5)
        .iter()
        .map(|outcome| outcome.crashed_endpoints)
        .max();
    assert!(max_crashed > Some(6), "{max_crashed:?}");
}

#[test]
fn counting_crashes_without_progress_holds_unrelated_requests() {
    let scenario = Scenario {
        unrelated_ends_per_s: 3.0,
        reports_progress: false,
        duration_ms: 60_000.0,
        ..Scenario::default()
    };
    assert!(unrelated_held(&simulate(&scenario, 10)) > 0);
}
