//! Divides the loss into unservable, unforeseeable and avoidable loss.
//!
//! Unservable loss is a lower bound: the work that the listed engines couldn't have prefilled or decoded in time even if
//! all prompts had been known in advance and were infinitely divisible, and requests that couldn't have ended
//! before an outage of all hosts. Unforeseeable loss is that of requests whose endpoint failed, which shows only when it happens. The rest
//! counts as avoidable; this is an upper bound, since the bound ignores pauses, memory and indivisible work.

use std::collections::BTreeMap;

use mgs_placing::model::EngineModel;
use mgs_placing::need::LATE_LOSS_SHARE;

use super::capacity_bound;
use super::capacity_bound::Capacity;
use super::capacity_bound::Job;
use super::engines::EngineHistory;
use super::outcome::Outcome;

/// Most engines that share the prefill of one prompt, including the one that decodes its answer.
const MAX_PREFILL_ENGINES: f64 = 17.0;

/// Loss of one kind of request, in units of worth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindLoss {
    /// Total worth.
    pub units: f64,
    /// Total loss.
    pub lost_units: f64,
    /// Worth that no schedule could have served.
    pub unservable_units: f64,
    /// Part of the remaining loss that is due to failed endpoints.
    pub unforeseeable_units: f64,
}

impl KindLoss {
    /// The remaining loss, in units: an upper bound of what better decisions could have served.
    pub fn avoidable_units(&self) -> f64 {
        (self.lost_units - self.unservable_units - self.unforeseeable_units).max(0.0)
    }
}

/// Loss by kind of request and reason.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LossBreakdown {
    /// Loss by kind label.
    pub kinds: BTreeMap<String, KindLoss>,
    /// Whether the logs declare engines; otherwise only outages of all hosts count as unservable.
    pub has_engines: bool,
}

impl LossBreakdown {
    /// Divides the loss of these requests.
    ///
    /// ```
    /// use marigoldstage::account::engines::EngineHistory;
    /// use marigoldstage::account::breakdown::LossBreakdown;
    ///
    /// let breakdown = LossBreakdown::new(&[], &EngineHistory::default());
    /// assert!(breakdown.kinds.is_empty());
    /// ```
    pub fn new(outcomes: &[Outcome], engines: &EngineHistory) -> Self {
        let model = engines.model();
        let bound = ServableBound { engines, model };
        let on_time = bound.on_time_shares(outcomes);
        let completed = bound.completed_shares(outcomes);
        let mut breakdown = Self {
            has_engines: model.is_some(),
            ..Self::default()
        };
        for (index, outcome) in outcomes.iter().enumerate() {
            let servable =
                LATE_LOSS_SHARE * on_time[index] + (1.0 - LATE_LOSS_SHARE) * completed[index];
            breakdown.add(outcome, servable);
        }
        breakdown
    }

    fn add(&mut self, outcome: &Outcome, servable_share: f64) {
        let loss = self.kinds.entry(outcome.kind.clone()).or_default();
        let unservable_units = outcome.units * (1.0 - servable_share);
        loss.units += outcome.units;
        loss.lost_units += outcome.lost_units;
        // The optimal schedule may leave out other requests than were lost in fact.
        loss.unservable_units += unservable_units;
        if outcome.had_endpoint_fault {
            loss.unforeseeable_units += (outcome.lost_units - unservable_units).max(0.0);
        }
    }
}

/// Computes an upper bound on the share of each request that could be served.
struct ServableBound<'a> {
    engines: &'a EngineHistory,
    model: Option<(&'a String, &'a EngineModel)>,
}

impl ServableBound<'_> {
    /// Share of each request whose first token could be produced within its aim.
    fn on_time_shares(&self, outcomes: &[Outcome]) -> Vec<f64> {
        let job = |outcome: &Outcome| {
            let arrived_ms = outcome.arrived_s * 1e3;
            self.job(
                outcome,
                arrived_ms + outcome.aim_ms,
                self.prefill_ms(outcome),
            )
        };
        self.served_shares(outcomes, job)
    }

    /// Share of each request that could be prefilled and decoded before its deadline.
    fn completed_shares(&self, outcomes: &[Outcome]) -> Vec<f64> {
        let job = |outcome: &Outcome| {
            let deadline_ms = outcome.arrived_s * 1e3 + outcome.timeout_ms.max(outcome.aim_ms);
            let demand_ms = self.prefill_ms(outcome) + self.decode_share_ms(outcome);
            self.job(outcome, deadline_ms, demand_ms)
        };
        self.served_shares(outcomes, job)
    }

    fn job(&self, outcome: &Outcome, deadline_ms: f64, demand: f64) -> Job {
        Job {
            release_ms: outcome.arrived_s * 1e3,
            deadline_ms,
            demand,
            worth: outcome.units,
        }
    }

    fn served_shares(&self, outcomes: &[Outcome], job: impl Fn(&Outcome) -> Job) -> Vec<f64> {
        let jobs: Vec<Job> = outcomes.iter().map(job).collect();
        let mut shares = match self.model {
            Some((service, _)) => {
                capacity_bound::served_shares(&mut self.capacity(service, &jobs), &jobs)
            }
            None => vec![1.0; jobs.len()],
        };
        for (share, (outcome, job)) in shares.iter_mut().zip(outcomes.iter().zip(&jobs)) {
            if self.is_cut_by_outage(outcome, job) {
                *share = 0.0;
            }
        }
        shares
    }

    fn capacity(&self, service: &str, jobs: &[Job]) -> Capacity {
        let last_ms = jobs.iter().map(|job| job.deadline_ms).fold(0.0, f64::max);
        let steps = 0..Capacity::steps_covering(last_ms);
        let engine_count = |step| {
            self.engines
                .listed_count(service, Capacity::middle_ms(step)) as f64
        };
        let per_ms: Vec<f64> = steps.map(engine_count).collect();
        Capacity::new(&per_ms)
    }

    /// Whether an outage of all hosts began before the request could have ended at the earliest.
    fn is_cut_by_outage(&self, outcome: &Outcome, job: &Job) -> bool {
        let min_ms = self.prefill_ms(outcome) / MAX_PREFILL_ENGINES + self.decode_alone_ms(outcome);
        let outage_ms = self.engines.next_outage_ms(job.release_ms);
        outage_ms.is_some_and(|outage_ms| job.release_ms + min_ms > outage_ms)
    }

    /// Prefill time of the prompt on one engine, in milliseconds.
    fn prefill_ms(&self, outcome: &Outcome) -> f64 {
        let model = self.model.map(|(_, model)| model);
        model.map_or(0.0, |model| match outcome.prompt_tokens > 0.0 {
            true => model.prefill_ms(outcome.prompt_tokens as u64),
            false => 0.0,
        })
    }

    /// Decode time of the answer on an otherwise idle engine, in milliseconds.
    fn decode_alone_ms(&self, outcome: &Outcome) -> f64 {
        let Some((_, model)) = self.model.filter(|_| outcome.prompt_tokens > 0.0) else {
            return 0.0;
        };
        model.passes_for(outcome.answer_tokens() as u64) as f64 * model.min_pass_ms()
    }

    /// Its share of the decode time of an engine with all slots in use, in milliseconds.
    fn decode_share_ms(&self, outcome: &Outcome) -> f64 {
        let slots = self.model.map_or(1, |(_, model)| model.slots.max(1));
        self.decode_alone_ms(outcome) / f64::from(slots)
    }
}
