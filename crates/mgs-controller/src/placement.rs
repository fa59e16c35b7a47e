//! Which model an engine should serve: places follow demand, without thrash.
//!
//! An engine has as many places as its row declares models. The share of the places that a model
//! should have is its share of the smoothed demand. A place moves from one model to another only
//! if both are off their share by more than [`Options::threshold`] places, for
//! [`Options::hold_ms`] on end, on an engine that wasn't changed for [`Options::stay_ms`]; a
//! model's last place is never taken away. After a move the model must be short for as long again,
//! so that the move's effect is seen first. The threshold is above one half, so that a place that
//! has moved isn't wanted back under the same demand.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::demand::Rates;

/// Settings of placement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Places by which a model must be off its share, both the one that gains and the one that
    /// loses; more than one half.
    pub threshold: f64,
    /// How long that must have been so, in milliseconds.
    pub hold_ms: u64,
    /// How long an engine stays as it is after a change, in milliseconds.
    pub stay_ms: u64,
    /// Engines that may change at once.
    pub moves_max: usize,
    /// Time in which an old rate of demand loses half its weight, in milliseconds.
    pub half_life_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            threshold: 0.75,
            hold_ms: 30_000,
            stay_ms: 120_000,
            moves_max: 1,
            half_life_ms: 30_000,
        }
    }
}

/// An engine that can be changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Models that it serves.
    pub models: Vec<String>,
    /// When an order last changed it, on the holder's clock, in milliseconds.
    pub changed_ms: Option<u64>,
    /// Whether an order to it is pending.
    pub pending: bool,
}

/// A place that goes from one model to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: String,
    /// Model to unload.
    pub from: String,
    /// Model to load.
    pub to: String,
}

/// Decides moves; remembers since when a model has been off its share.
#[derive(Debug, Default)]
pub struct Planner {
    options: Options,
    short_since_ms: BTreeMap<String, u64>,
}

impl Planner {
    /// A planner that has seen nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            short_since_ms: BTreeMap::new(),
        }
    }

    /// The moves to begin now. `models` are all models that operators declare.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use mgs_controller::demand::Rates;
    /// use mgs_controller::placement::Engine;
    /// use mgs_controller::placement::Options;
    /// use mgs_controller::placement::Planner;
    ///
    /// let engine = |name: &str, model: &str| Engine {
    ///     name: name.to_string(),
    ///     models: vec![model.to_string()],
    ///     ..Engine::default()
    /// };
    /// let engines = [engine("e1", "a"), engine("e2", "a"), engine("e3", "a"), engine("e4", "b")];
    /// let models = BTreeSet::from(["a".to_string(), "b".to_string()]);
    /// let rates = Rates::from([("a".to_string(), 10.0), ("b".to_string(), 30.0)]);
    /// let mut planner = Planner::new(Options { hold_ms: 0, ..Options::default() });
    /// let moves = planner.plan(0, &engines, &models, &rates);
    /// assert_eq!((moves[0].from.as_str(), moves[0].to.as_str()), ("a", "b"));
    /// ```
    pub fn plan(
        &mut self,
        now_ms: u64,
        engines: &[Engine],
        models: &BTreeSet<String>,
        rates: &Rates,
    ) -> Vec<Move> {
        let mut balance = Balance::new(engines, models, rates);
        self.note_short(now_ms, models, &balance);
        let pending = engines.iter().filter(|engine| engine.pending).count();
        let room = self.options.moves_max.saturating_sub(pending);
        let mut moves: Vec<Move> = Vec::new();
        while moves.len() < room {
            let taken: Vec<&str> = moves.iter().map(|m| m.engine.as_str()).collect();
            let free = |engine: &&Engine| self.is_free(now_ms, engine, &taken);
            let engines: Vec<&Engine> = engines.iter().filter(free).collect();
            let Some(next) = self.choose(now_ms, &engines, &balance) else {
                break;
            };
            balance.shift(&next);
            self.short_since_ms.remove(&next.to);
            moves.push(next);
        }
        moves
    }

    fn note_short(&mut self, now_ms: u64, models: &BTreeSet<String>, balance: &Balance) {
        for model in models {
            if balance.short(model) >= self.needed(balance, model) {
                self.short_since_ms.entry(model.clone()).or_insert(now_ms);
            } else {
                self.short_since_ms.remove(model);
            }
        }
        self.short_since_ms
            .retain(|model, _| models.contains(model));
    }

    /// A model that is asked for and has no place is short of one, however small its share.
    fn needed(&self, balance: &Balance, model: &str) -> f64 {
        if balance.has(model) == 0.0 {
            f64::MIN_POSITIVE
        } else {
            self.options.threshold
        }
    }

    fn is_free(&self, now_ms: u64, engine: &Engine, taken: &[&str]) -> bool {
        let stays = |changed_ms: u64| now_ms < changed_ms + self.options.stay_ms;
        let settled = !engine.pending && !engine.changed_ms.is_some_and(stays);
        settled && !taken.contains(&engine.name.as_str())
    }

    fn choose(&self, now_ms: u64, engines: &[&Engine], balance: &Balance) -> Option<Move> {
        let held = |since_ms: u64| now_ms >= since_ms + self.options.hold_ms;
        let short = self
            .short_since_ms
            .iter()
            .filter(|(_, since)| held(**since));
        let short = short.map(|(model, _)| model.as_str());
        let short = short.filter(|model| balance.short(model) >= self.needed(balance, model));
        let to = short.max_by(|a, b| balance.short(a).total_cmp(&balance.short(b)))?;
        let candidates = engines.iter().flat_map(|engine| {
            let models = engine.models.iter();
            models.map(move |from| (*engine, from.as_str()))
        });
        let fits = |(engine, from): &(&Engine, &str)| {
            !engine.models.iter().any(|model| model == to) && self.may_lose(balance, from, to)
        };
        let (engine, from) = candidates
            .filter(fits)
            .min_by(|a, b| balance.loss_order(*a, *b, to))?;
        Some(Move {
            engine: engine.name.clone(),
            from: from.to_string(),
            to: to.to_string(),
        })
    }

    /// For a model without any place, any model with two or more may lose one.
    fn may_lose(&self, balance: &Balance, from: &str, to: &str) -> bool {
        let surplus = -balance.short(from);
        let keeps_one = balance.has(from) >= 2.0;
        keeps_one && (surplus >= self.options.threshold || balance.has(to) == 0.0)
    }
}

/// Places that models have and should have.
#[derive(Debug)]
struct Balance {
    has: BTreeMap<String, f64>,
    share: BTreeMap<String, f64>,
    zones: BTreeMap<(String, String), i64>,
}

impl Balance {
    fn new(engines: &[Engine], models: &BTreeSet<String>, rates: &Rates) -> Self {
        let mut has: BTreeMap<String, f64> = BTreeMap::new();
        let mut zones: BTreeMap<(String, String), i64> = BTreeMap::new();
        for engine in engines {
            for model in &engine.models {
                *has.entry(model.clone()).or_default() += 1.0;
                let zone = (engine.zone.clone(), model.clone());
                *zones.entry(zone).or_default() += 1;
            }
        }
        let places: f64 = has.values().sum();
        let rate = |model: &String| rates.get(model).copied().unwrap_or(0.0);
        let total: f64 = models.iter().map(rate).sum();
        let share = |model: &String| match total > 0.0 {
            true => rate(model) / total * places,
            false => has.get(model).copied().unwrap_or(0.0),
        };
        let share = models.iter().map(|model| (model.clone(), share(model)));
        Self {
            share: share.collect(),
            has,
            zones,
        }
    }

    fn has(&self, model: &str) -> f64 {
        self.has.get(model).copied().unwrap_or(0.0)
    }

    /// Places that a model lacks; negative if it has too many.
    fn short(&self, model: &str) -> f64 {
        self.share.get(model).copied().unwrap_or(0.0) - self.has(model)
    }

    /// The model with the greatest surplus loses first; among equals, zones are kept even.
    fn loss_order(&self, a: (&Engine, &str), b: (&Engine, &str), to: &str) -> Ordering {
        let surplus = self.short(a.1).total_cmp(&self.short(b.1));
        let zones = self
            .zone_order(a.0, a.1, to)
            .cmp(&self.zone_order(b.0, b.1, to));
        surplus.then(zones)
    }

    /// Least for an engine in a zone that has many of the one model and few of the other.
    fn zone_order(&self, engine: &Engine, from: &str, to: &str) -> i64 {
        let count = |model: &str| {
            let zone = (engine.zone.clone(), model.to_string());
            self.zones.get(&zone).copied().unwrap_or(0)
        };
        count(to) - count(from)
    }

    fn shift(&mut self, next: &Move) {
        *self.has.entry(next.from.clone()).or_default() -= 1.0;
        *self.has.entry(next.to.clone()).or_default() += 1.0;
    }
}
