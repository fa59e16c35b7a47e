//! Places follow demand and stay where they are otherwise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_controller::demand::Rates;
use mgs_controller::placement::Engine;
use mgs_controller::placement::Move;
use mgs_controller::placement::Options;
use mgs_controller::placement::Planner;

const LOOK_MS: u64 = 5_000;

/// Engines that obey at once.
struct Fleet {
    engines: Vec<Engine>,
    planner: Planner,
    now_ms: u64,
}

impl Fleet {
    fn new(models: &[&str]) -> Self {
        let engine = |(index, model): (usize, &&str)| Engine {
            name: format!("e{index}"),
            zone: ["a", "b", "c"][index % 3].to_string(),
            models: vec![(*model).to_string()],
            ..Engine::default()
        };
        Self {
            engines: models.iter().enumerate().map(engine).collect(),
            planner: Planner::new(Options::default()),
            now_ms: 0,
        }
    }

    fn look(&mut self, rates: &[(&str, f64)]) -> Vec<Move> {
        let rates: Rates = rates.iter().map(|(m, r)| ((*m).to_string(), *r)).collect();
        let models: BTreeSet<String> = ["a", "b", "c"].map(String::from).into();
        let moves = self
            .planner
            .plan(self.now_ms, &self.engines, &models, &rates);
        for next in &moves {
            let engine = self.engines.iter_mut().find(|e| e.name == next.engine);
            let engine = engine.expect("moves name engines");
            engine.models = vec![next.to.clone()];
            engine.changed_ms = Some(self.now_ms);
        }
        self.now_ms += LOOK_MS;
        moves
    }

    fn run(&mut self, looks: usize, rates: &[(&str, f64)]) -> usize {
        (0..looks).map(|_| self.look(rates).len()).sum()
    }

    fn counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for model in self.engines.iter().flat_map(|engine| &engine.models) {
            *counts.entry(model.as_str()).or_default() += 1;
        }
        counts
    }
}

#[test]
fn places_reach_their_shares_and_stay() {
    let mut fleet = Fleet::new(&["a"; 18]);
    fleet.engines[0].models = vec!["b".to_string()];
    fleet.engines[1].models = vec!["c".to_string()];
    let rates = [("a", 10.0), ("b", 20.0), ("c", 30.0)];
    assert!(fleet.run(200, &rates) > 0);
    assert_eq!(
        fleet.counts(),
        BTreeMap::from([("a", 3), ("b", 6), ("c", 9)])
    );
    assert_eq!(fleet.run(500, &rates), 0);
}

#[test]
fn a_demand_on_the_edge_moves_nothing_to_and_fro() {
    let mut fleet = Fleet::new(&["a", "a", "a", "b", "b", "c"]);
    let mut moves = 0;
    for look in 0..1_000 {
        let a = if look % 12 < 6 { 3.6 } else { 2.4 };
        moves += fleet.look(&[("a", a), ("b", 5.0 - a), ("c", 1.0)]).len();
    }
    assert_eq!(moves, 0);
}

#[test]
fn a_short_burst_moves_nothing() {
    let mut fleet = Fleet::new(&["a", "a", "a", "b", "b", "c"]);
    fleet.run(100, &[("a", 3.0), ("b", 2.0), ("c", 1.0)]);
    assert_eq!(fleet.run(6, &[("a", 1.0), ("b", 10.0), ("c", 1.0)]), 0);
    assert_eq!(fleet.run(1, &[("a", 1.0), ("b", 10.0), ("c", 1.0)]), 1);
}

#[test]
fn the_last_place_of_a_model_is_kept() {
    let mut fleet = Fleet::new(&["a", "b", "b", "c"]);
    fleet.run(300, &[("b", 100.0)]);
    assert_eq!(
        fleet.counts(),
        BTreeMap::from([("a", 1), ("b", 2), ("c", 1)])
    );
}

#[test]
fn a_model_without_a_place_gets_one_if_it_is_asked_for() {
    let mut fleet = Fleet::new(&["a", "a", "b", "b"]);
    fleet.run(10, &[("a", 100.0), ("b", 100.0)]);
    assert!(!fleet.counts().contains_key("c"));
    fleet.run(10, &[("a", 100.0), ("b", 100.0), ("c", 0.1)]);
    assert_eq!(fleet.counts()["c"], 1);
}

#[test]
fn one_engine_at_a_time_and_none_while_an_order_is_pending() {
    let mut fleet = Fleet::new(&["a", "a", "a", "a", "a", "b"]);
    fleet.engines[0].pending = true;
    assert_eq!(fleet.run(50, &[("b", 100.0)]), 0);
    fleet.engines[0].pending = false;
    let mut before = fleet.counts()["b"];
    for _ in 0..200 {
        fleet.look(&[("b", 100.0)]);
        let now = fleet.counts()["b"];
        assert!(now <= before + 1);
        before = now;
    }
    assert_eq!(before, 5);
}

#[test]
fn without_demand_nothing_moves() {
    let mut fleet = Fleet::new(&["a", "a", "a", "a", "b", "c"]);
    assert_eq!(fleet.run(100, &[]), 0);
}
