//! What was lost, told apart: what nobody could have served, what nobody could have known, and what was ours to serve.
//!
//! The first is a bound: of all prompts of the day, known beforehand and cut as finely as one likes, what the engines that
//! were listed couldn't have read or written in time; and what was open when all hosts lost their power. The second are
//! requests whose endpoint failed them: that shows when it happens only. The rest is ours, or is as good as the
//! bound is loose: it knows nothing of pauses, of memory, or of work that can't be cut.

use std::collections::BTreeMap;

use mgs_placing::model::EngineModel;
use mgs_placing::need::LATE_LOSS_SHARE;

use super::engines::Engines;
use super::fluid;
use super::fluid::Piece;
use super::fluid::Supply;
use super::outcome::Outcome;

/// Engines that read one prompt at most, the one that writes it included.
const READERS_MAX: f64 = 17.0;

/// What one kind lost, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Parts {
    /// Worth of all.
    pub units: f64,
    /// Lost in all.
    pub lost: f64,
    /// Of that, what can't be served.
    pub unservable: f64,
    /// Of the rest, what can't be known.
    pub unknowable: f64,
}

impl Parts {
    /// What was ours to serve, in units.
    pub fn ours(&self) -> f64 {
        (self.lost - self.unservable - self.unknowable).max(0.0)
    }
}

/// The parts by kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Split {
    /// By kind.
    pub kinds: BTreeMap<String, Parts>,
    /// Whether the logs tell what engines there were; without that, nothing counts as unservable but for power.
    pub has_engines: bool,
}

impl Split {
    /// Tells apart what the requests of a day lost.
    ///
    /// ```
    /// use marigoldstage::account::engines::Engines;
    /// use marigoldstage::account::split::Split;
    ///
    /// let split = Split::of(&[], &Engines::default());
    /// assert!(split.kinds.is_empty());
    /// ```
    pub fn of(outcomes: &[Outcome], engines: &Engines) -> Self {
        let known = engines.model();
        let least = Least { engines, known };
        let on_time = least.served_on_time(outcomes);
        let at_all = least.served_at_all(outcomes);
        let mut split = Self {
            has_engines: known.is_some(),
            ..Self::default()
        };
        for (index, outcome) in outcomes.iter().enumerate() {
            let servable =
                LATE_LOSS_SHARE * on_time[index] + (1.0 - LATE_LOSS_SHARE) * at_all[index];
            split.add(outcome, servable);
        }
        split
    }

    fn add(&mut self, outcome: &Outcome, servable_share: f64) {
        let parts = self.kinds.entry(outcome.kind.clone()).or_default();
        let unservable = outcome.units * (1.0 - servable_share);
        parts.units += outcome.units;
        parts.lost += outcome.lost_units;
        // The plan may leave out others than were left out on the day.
        parts.unservable += unservable;
        if outcome.met_fault {
            parts.unknowable += (outcome.lost_units - unservable).max(0.0);
        }
    }
}

/// What requests take at least.
struct Least<'a> {
    engines: &'a Engines,
    known: Option<(&'a String, &'a EngineModel)>,
}

impl Least<'_> {
    /// Share of each request that may have its first token within its aim.
    fn served_on_time(&self, outcomes: &[Outcome]) -> Vec<f64> {
        let piece = |outcome: &Outcome| {
            let arrived_ms = outcome.at_s * 1e3;
            self.piece(outcome, arrived_ms + outcome.aim_ms, self.read_ms(outcome))
        };
        self.served(outcomes, piece)
    }

    /// Share of each request that may be read and written before its deadline.
    fn served_at_all(&self, outcomes: &[Outcome]) -> Vec<f64> {
        let piece = |outcome: &Outcome| {
            let until_ms = outcome.at_s * 1e3 + outcome.timeout_ms.max(outcome.aim_ms);
            let takes_ms = self.read_ms(outcome) + self.write_share_ms(outcome);
            self.piece(outcome, until_ms, takes_ms)
        };
        self.served(outcomes, piece)
    }

    fn piece(&self, outcome: &Outcome, until_ms: f64, takes: f64) -> Piece {
        Piece {
            from_ms: outcome.at_s * 1e3,
            until_ms,
            takes,
            worth: outcome.units,
        }
    }

    fn served(&self, outcomes: &[Outcome], piece: impl Fn(&Outcome) -> Piece) -> Vec<f64> {
        let pieces: Vec<Piece> = outcomes.iter().map(piece).collect();
        let mut shares = match self.known {
            Some((service, _)) => fluid::served(&mut self.supply(service, &pieces), &pieces),
            None => vec![1.0; pieces.len()],
        };
        for (share, (outcome, piece)) in shares.iter_mut().zip(outcomes.iter().zip(&pieces)) {
            if self.is_cut(outcome, piece) {
                *share = 0.0;
            }
        }
        shares
    }

    fn supply(&self, service: &str, pieces: &[Piece]) -> Supply {
        let last_ms = pieces
            .iter()
            .map(|piece| piece.until_ms)
            .fold(0.0, f64::max);
        let steps = 0..Supply::steps_of(last_ms);
        let engines = |step| self.engines.count(service, Supply::middle_ms(step)) as f64;
        let per_ms: Vec<f64> = steps.map(engines).collect();
        Supply::new(&per_ms)
    }

    /// Whether all hosts lost their power before it could have ended.
    fn is_cut(&self, outcome: &Outcome, piece: &Piece) -> bool {
        let alone_ms = self.read_ms(outcome) / READERS_MAX + self.write_alone_ms(outcome);
        let dark_ms = self.engines.next_dark_ms(piece.from_ms);
        dark_ms.is_some_and(|dark_ms| piece.from_ms + alone_ms > dark_ms)
    }

    /// Reading that it takes, in milliseconds of an engine.
    fn read_ms(&self, outcome: &Outcome) -> f64 {
        let model = self.known.map(|(_, model)| model);
        model.map_or(0.0, |model| match outcome.prompt_tokens > 0.0 {
            true => model.prefill_ms(outcome.prompt_tokens as u64),
            false => 0.0,
        })
    }

    /// Time for which its answer is written on an engine that does nothing else, in milliseconds.
    fn write_alone_ms(&self, outcome: &Outcome) -> f64 {
        let Some((_, model)) = self.known.filter(|_| outcome.prompt_tokens > 0.0) else {
            return 0.0;
        };
        model.passes_for(outcome.answer_tokens() as u64) as f64 * model.min_pass_ms()
    }

    /// Its share of that on an engine whose places are all taken, in milliseconds.
    fn write_share_ms(&self, outcome: &Outcome) -> f64 {
        let slots = self.known.map_or(1, |(_, model)| model.slots.max(1));
        self.write_alone_ms(outcome) / f64::from(slots)
    }
}
