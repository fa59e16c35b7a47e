//! The duty against engines that obey their sidecar's gate, with pauses, losses and restarts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mgs_controller::dispatch::Endpoints;
use mgs_controller::dispatch::SendError;
use mgs_controller::gate;
use mgs_controller::gate::Gate;
use mgs_controller::gate::Judgement;
use mgs_controller::runner::Options;
use mgs_controller::runner::Platform;
use mgs_controller::runner::Report;
use mgs_controller::runner::Runner;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::hold::Holder;
use mgs_settings::member;
use mgs_settings::member::Demand;
use mgs_settings::member::Member;
use mgs_settings::member::Role;
use mgs_standin::platform::memory::Memory;
use rstest::rstest;

/// An order that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Effect {
    endpoint: String,
    fencing: u64,
    action: String,
    subject: String,
}

/// Sidecars and engines of all endpoints.
#[derive(Default)]
struct Engines {
    memory: Arc<Memory>,
    gates: Mutex<HashMap<String, Gate>>,
    effects: Mutex<Vec<Effect>>,
    late: Mutex<Vec<(EndpointRow, Order)>>,
    /// Answers to lose after the order took effect.
    losses: Mutex<usize>,
    /// Whether orders get stuck on their way.
    stuck: Mutex<bool>,
    refuse_loads_of: Mutex<Option<String>>,
}

impl Engines {
    fn deliver(&self, endpoint: &EndpointRow, order: &Order) -> OrderReply {
        let record = gate::recorded(self.memory.as_ref(), &endpoint.name).unwrap();
        let mut gates = self.gates.lock().unwrap();
        let gate = gates.entry(endpoint.name.clone()).or_default();
        let done = match gate.judge(order, record.as_ref()) {
            Judgement::Obey => self.obey(endpoint, order, gate),
            Judgement::AlreadyDone => true,
            Judgement::Refuse => false,
        };
        OrderReply {
            done,
            highest_fencing: gate.highest(),
            ..OrderReply::default()
        }
    }

    fn obey(&self, endpoint: &EndpointRow, order: &Order, gate: &mut Gate) -> bool {
        let refused = self.refuse_loads_of.lock().unwrap();
        if order.action == "load" && refused.as_ref() == Some(&order.subject) {
            return false;
        }
        self.effects.lock().unwrap().push(Effect {
            endpoint: endpoint.name.clone(),
            fencing: order.fencing,
            action: order.action.clone(),
            subject: order.subject.clone(),
        });
        gate.obeyed(order.fencing);
        true
    }

    fn effects(&self) -> Vec<(String, String)> {
        let effects = self.effects.lock().unwrap();
        let pair = |effect: &Effect| (effect.action.clone(), effect.subject.clone());
        effects.iter().map(pair).collect()
    }

    fn assert_at_most_one_effect_a_number(&self) {
        let effects = self.effects.lock().unwrap();
        let mut seen = BTreeMap::new();
        for effect in effects.iter() {
            let before = seen.insert(effect.fencing, effect.clone());
            assert_eq!(before, None, "a number took effect twice");
        }
        for endpoint in ["e1", "e2", "e3", "e4"] {
            let numbers = effects.iter().filter(|effect| effect.endpoint == endpoint);
            assert!(numbers.map(|effect| effect.fencing).is_sorted());
        }
    }
}

impl Endpoints for Engines {
    fn send(&self, endpoint: &EndpointRow, order: &Order) -> Result<OrderReply, SendError> {
        if *self.stuck.lock().unwrap() {
            self.late
                .lock()
                .unwrap()
                .push((endpoint.clone(), order.clone()));
            return Err(SendError::Lost("stuck".to_string()));
        }
        let reply = self.deliver(endpoint, order);
        let mut losses = self.losses.lock().unwrap();
        if *losses > 0 {
            *losses -= 1;
            return Err(SendError::Lost("lost".to_string()));
        }
        Ok(reply)
    }

    fn models(&self, _endpoint: &str) -> Option<Vec<String>> {
        None
    }
}

struct Bench {
    memory: Arc<Memory>,
    engines: Arc<Engines>,
    holder: Arc<Holder>,
    renewals: u64,
}

const WAIT: Duration = Duration::from_secs(20);

impl Bench {
    /// Three engines serve `a`, one `b`; the demand is the same for both.
    fn new() -> Self {
        let memory = Arc::new(Memory::default());
        let engines = Arc::new(Engines {
            memory: Arc::clone(&memory),
            ..Engines::default()
        });
        let endpoint = |name: &str, model: &str| EndpointRow {
            name: name.to_string(),
            kind: EndpointKind::Engine.into(),
            models: vec![model.to_string()],
            started: true,
            ..EndpointRow::default()
        };
        let names = [("e1", "a"), ("e2", "a"), ("e3", "a"), ("e4", "b")];
        let holder = Arc::new(Holder::default());
        holder.adopt_snapshot(Snapshot {
            version: 1,
            endpoints: names.map(|(name, model)| endpoint(name, model)).to_vec(),
            ..Snapshot::default()
        });
        Self {
            memory,
            engines,
            holder,
            renewals: 0,
        }
    }

    fn runner(&self, incarnation: u64) -> Runner {
        let platform = Platform {
            table: self.memory.clone(),
            objects: self.memory.clone(),
            weights: self.memory.clone(),
        };
        let name = format!("g{incarnation}");
        let process = (name.as_str(), incarnation);
        let engines = self.engines.clone();
        Runner::new(
            Options::default(),
            platform,
            self.holder.clone(),
            engines,
            process,
        )
    }

    /// A gateway `g1` that is connected to all engines and asked for both models.
    fn renew_gateway(&mut self) {
        self.renewals += 1;
        let demand = Demand {
            tokens_per_s: 100.0,
            waiting_tokens: 0,
        };
        let member = Member {
            incarnation: 1,
            renewals: self.renewals,
            demand: ["a", "b"].map(|model| (model.to_string(), demand)).into(),
            ..Member::default()
        };
        let sidecars = ["e1", "e2", "e3", "e4"].map(|name| (name.to_string(), 1));
        let confirmation = Confirmation {
            incarnation: 1,
            version: 1,
            sidecars: sidecars.into(),
        };
        let value = serde_json::to_string(&member).unwrap();
        let confirmed = serde_json::to_string(&confirmation).unwrap();
        let txn = Txn::default()
            .put(&member::key(Role::Gateway, "g1"), &value)
            .put(&confirm::key("g1"), &confirmed);
        let mut settled = self.memory.commit(&txn);
        while settled.is_err() {
            settled = self.memory.commit(&txn);
        }
    }

    /// Ticks once a second of the clock given; answers are waited for.
    fn run(&mut self, runner: &mut Runner, from_ms: u64, to_ms: u64) -> Vec<Report> {
        let mut reports = Vec::new();
        for now_ms in (from_ms..to_ms).step_by(1_000) {
            self.renew_gateway();
            let Ok(report) = runner.tick(now_ms, 2) else {
                continue;
            };
            reports.push(report);
            settle(runner);
        }
        reports
    }
}

fn settle(runner: &mut Runner) {
    assert!(runner.dispatcher().wait(WAIT), "an order has no answer");
}

fn moved() -> Vec<(String, String)> {
    let pair = |action: &str, subject: &str| (action.to_string(), subject.to_string());
    vec![pair("unload", "a"), pair("load", "b")]
}

#[test]
fn a_place_follows_the_demand_by_recorded_orders() {
    let mut bench = Bench::new();
    let mut runner = bench.runner(1);
    let reports = bench.run(&mut runner, 0, 60_000);
    assert!(reports.iter().all(|report| report.held));
    assert_eq!(reports.last().unwrap().pending, 0);
    assert_eq!(bench.engines.effects(), moved());
    bench.engines.assert_at_most_one_effect_a_number();
    let name = bench.engines.effects.lock().unwrap()[0].endpoint.clone();
    let record = gate::recorded(bench.memory.as_ref(), &name)
        .unwrap()
        .unwrap();
    assert_eq!(record.models, ["b"]);
}

#[rstest]
#[case::answers_lost(3, 0)]
#[case::replies_of_the_store_lost(0, 2)]
#[case::both(2, 3)]
fn losses_change_nothing(#[case] answers: usize, #[case] lose_every: u64) {
    let mut bench = Bench::new();
    *bench.engines.losses.lock().unwrap() = answers;
    bench
        .memory
        .faults()
        .set(mgs_standin::platform::faults::Settings {
            lose_every,
            ..Default::default()
        });
    let mut runner = bench.runner(1);
    bench.run(&mut runner, 0, 90_000);
    assert_eq!(bench.engines.effects(), moved());
    bench.engines.assert_at_most_one_effect_a_number();
}

/// The holder records and sends an order that gets stuck; it is paused, another takes over, and
/// the stuck order arrives after that.
#[test]
fn an_order_of_a_paused_holder_that_comes_late_is_refused() {
    let mut bench = Bench::new();
    *bench.engines.stuck.lock().unwrap() = true;
    let mut old = bench.runner(1);
    bench.run(&mut old, 0, 36_000);
    assert_eq!(bench.engines.effects(), []);
    *bench.engines.stuck.lock().unwrap() = false;
    let mut new = bench.runner(2);
    bench.run(&mut new, 36_000, 60_000);
    assert_eq!(bench.engines.effects(), moved());
    let late = std::mem::take(&mut *bench.engines.late.lock().unwrap());
    assert!(!late.is_empty());
    for (endpoint, order) in late {
        assert!(!bench.engines.deliver(&endpoint, &order).done);
    }
    assert!(!old.tick(36_000, 2).unwrap().held);
    assert_eq!(bench.engines.effects(), moved());
    bench.engines.assert_at_most_one_effect_a_number();
}

#[test]
fn a_sidecar_that_was_started_again_still_refuses_old_orders() {
    let mut bench = Bench::new();
    let mut runner = bench.runner(1);
    bench.run(&mut runner, 0, 60_000);
    let effect = bench.engines.effects.lock().unwrap()[0].clone();
    bench.engines.gates.lock().unwrap().clear();
    let table = bench.holder.table();
    let endpoint = table.endpoint(&effect.endpoint).unwrap();
    let order = Order {
        fencing: effect.fencing,
        order_id: effect.fencing.to_string(),
        action: effect.action,
        subject: effect.subject,
        ..Order::default()
    };
    assert!(!bench.engines.deliver(endpoint, &order).done);
    assert_eq!(bench.engines.effects(), moved());
}

#[test]
fn a_refused_load_gives_the_place_its_declared_model_back() {
    let mut bench = Bench::new();
    *bench.engines.refuse_loads_of.lock().unwrap() = Some("b".to_string());
    let mut runner = bench.runner(1);
    bench.run(&mut runner, 0, 60_000);
    let pair = |action: &str, subject: &str| (action.to_string(), subject.to_string());
    assert_eq!(
        bench.engines.effects(),
        [pair("unload", "a"), pair("load", "a")]
    );
}

#[test]
fn weights_that_are_not_to_be_had_are_waited_for() {
    let mut bench = Bench::new();
    let memory = Memory::new(mgs_standin::platform::Options {
        weights_per_s: 0.000_001,
        weights_burst: 0.0,
        ..Default::default()
    });
    bench.memory = Arc::new(memory);
    let mut runner = bench.runner(1);
    let reports = bench.run(&mut runner, 0, 60_000);
    assert!(reports.iter().all(|report| report.sent == 0));
}

#[test]
fn only_one_of_two_runs_has_the_duty() {
    let mut bench = Bench::new();
    let (mut first, mut second) = (bench.runner(1), bench.runner(2));
    for now_ms in (0..60_000).step_by(1_000) {
        bench.renew_gateway();
        let held = [
            first.tick(now_ms, 2).unwrap(),
            second.tick(now_ms, 2).unwrap(),
        ];
        assert_eq!(held.map(|report| report.held), [true, false]);
        settle(&mut first);
    }
    assert_eq!(bench.engines.effects(), moved());
    assert!(Table::get(bench.memory.as_ref(), "controller/lease")
        .unwrap()
        .is_some());
}
