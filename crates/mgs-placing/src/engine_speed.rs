//! One estimate of each engine's speed, from what this gateway and its peers observe.
//!
//! Engines of one service differ in speed, and some are slow for a few seconds at a time. With many
//! gateways, each alone sees too little of an engine to notice in time. The estimate is the ratio
//! of actual to declared times. Evidence loses weight with its age, and an engine without evidence
//! counts as running at its declared speed.

use std::collections::HashMap;

use mgs_fleet::view::EndpointKey;
use serde::Deserialize;
use serde::Serialize;

use crate::process_pauses::ProcessPauses;

/// Smallest estimate.
pub const SLOWNESS_MIN: f64 = 0.8;

/// Largest estimate, which is also the most that a single observation counts for.
pub const SLOWNESS_MAX: f64 = 5.0;

/// Smallest ratio that a peer may report.
const RATIO_MIN: f64 = 0.2;

/// Largest ratio that a peer may report.
const RATIO_MAX: f64 = 20.0;

/// Most engines in one report.
pub const REPORTED_MAX: usize = 40;

/// Difference of a ratio from 1 up to which an engine counts as running as declared. Chance alone
/// makes such differences, which would change the order of equally good engines.
const AS_DECLARED_DIFFERENCE: f64 = 0.1;

/// Age of the newest evidence up to which an engine is reported, in milliseconds.
const REPORTED_AGE_MAX_MS: f64 = 3_000.0;

/// Added to the observed and the predicted time to a first event before their ratio is taken, in
/// milliseconds: prompts of peers that this gateway didn't know of delay a first event by as much.
const FIRST_EVENT_OFFSET_MS: f64 = 200.0;

/// Weight of a first event; that of a pause is 1.
const FIRST_EVENT_WEIGHT: f64 = 0.5;

/// Weight of own evidence from which on a peer's report of the same engine is compared with it.
const COMPARABLE_WEIGHT: f64 = 2.0;

/// Quotient of a peer's and the own ratio of an engine above which they contradict each other.
const CONTRADICTION_QUOTIENT: f64 = 1.5;

/// Weight below which evidence is dropped.
const WEIGHT_MIN: f64 = 0.01;

/// Settings of [`EngineSpeeds`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedOptions {
    /// Time constant with which evidence loses weight, in milliseconds. Engines are slow for three
    /// to eight seconds at a time.
    pub decay_ms: f64,
    /// Time constant with which a peer's report loses weight until it is repeated, in milliseconds:
    /// about three intervals between reports.
    pub report_decay_ms: f64,
    /// Weight of the assumption that an engine runs at its declared speed.
    pub prior_weight: f64,
    /// Most weight of this gateway's evidence of one engine; older evidence yields to newer.
    pub own_weight_max: f64,
    /// Most weight of one peer's evidence of one engine.
    pub peer_weight_max: f64,
    /// Most weight of one peer's evidence of all engines together: a peer to which all engines
    /// appear slow is more likely slow itself.
    pub peer_total_weight_max: f64,
}

impl Default for SpeedOptions {
    fn default() -> Self {
        Self {
            decay_ms: 3_000.0,
            report_decay_ms: 1_000.0,
            prior_weight: 4.0,
            own_weight_max: 8.0,
            peer_weight_max: 4.0,
            peer_total_weight_max: 16.0,
        }
    }
}

/// A pause between two events of a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseSample {
    /// When the pause began, in milliseconds.
    pub began_ms: f64,
    /// Duration of a pass at declared speed without any prefill, in milliseconds.
    pub pass_ms: f64,
    /// Prefill at declared speed that the pass may have done too, in milliseconds: the backlog at its
    /// beginning, and what was placed during it and during the pass before, which an engine
    /// prefills in the next one.
    pub prefill_ms: f64,
}

impl PauseSample {
    /// Ratio of the observed duration to the declared one, 1 if some part of the prefill explains
    /// the difference.
    fn ratio(&self, now_ms: f64) -> f64 {
        let observed_ms = now_ms - self.began_ms;
        let longest_ms = self.pass_ms + self.prefill_ms.max(0.0);
        observed_ms / observed_ms.clamp(self.pass_ms, longest_ms)
    }
}

/// The time to the first event of a prompt that a single engine prefilled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEventSample {
    /// When the prompt was sent, in milliseconds.
    pub sent_ms: f64,
    /// Predicted time, in milliseconds.
    pub predicted_ms: f64,
}

/// What one gateway has observed of one engine, as peers report it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpeedObservation {
    /// Ratio of actual to declared times.
    pub ratio: f32,
    /// Weight of the evidence when the newest part of it was observed.
    pub weight: f32,
    /// Age of the newest evidence, in milliseconds.
    pub age_ms: u32,
}

impl SpeedObservation {
    /// Whether the values are ones that a gateway may observe.
    pub fn is_valid(&self) -> bool {
        let ratio = f64::from(self.ratio);
        (RATIO_MIN..=RATIO_MAX).contains(&ratio) && self.weight.is_finite() && self.weight >= 0.0
    }
}

/// An estimate with the evidence behind it, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Estimated ratio of actual to declared times.
    pub slowness: f64,
    /// Weight of this gateway's evidence.
    pub own_weight: f64,
    /// Weight of the peers' evidence.
    pub peer_weight: f64,
    /// Number of peers with evidence.
    pub peers: usize,
    /// Age of the newest evidence, in milliseconds.
    pub age_ms: f64,
}

/// Evidence of one observer about one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Evidence {
    ratio: f64,
    weight: f64,
    /// When the newest part was observed.
    newest_ms: f64,
}

impl Evidence {
    fn weight_at(&self, now_ms: f64, decay_ms: f64) -> f64 {
        self.weight * decay(now_ms - self.newest_ms, decay_ms)
    }

    fn add(&mut self, now_ms: f64, ratio: f64, weight: f64, options: &SpeedOptions) {
        let kept = self.weight_at(now_ms, options.decay_ms);
        let kept = kept.min(options.own_weight_max - weight);
        self.ratio = (self.ratio * kept + ratio * weight) / (kept + weight);
        self.weight = kept + weight;
        self.newest_ms = now_ms;
    }
}

/// A peer's evidence about one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PeerEvidence {
    peer: u64,
    reported_ms: f64,
    evidence: Evidence,
}

impl PeerEvidence {
    fn weight_at(&self, now_ms: f64, options: &SpeedOptions) -> f64 {
        let weight = self.evidence.weight_at(now_ms, options.decay_ms);
        weight * decay(now_ms - self.reported_ms, options.report_decay_ms)
    }
}

/// All evidence about one engine.
#[derive(Debug, Clone, Default, PartialEq)]
struct EngineEvidence {
    own: Evidence,
    peers: Vec<PeerEvidence>,
}

impl EngineEvidence {
    fn estimate(&self, now_ms: f64, options: &SpeedOptions) -> SpeedEstimate {
        let own_weight = self.own.weight_at(now_ms, options.decay_ms);
        let mut weighted = options.prior_weight + self.own.ratio * own_weight;
        let mut peer_weight = 0.0;
        let mut newest_ms = self.own.newest_ms;
        for peer in &self.peers {
            let weight = peer.weight_at(now_ms, options);
            weighted += peer.evidence.ratio * weight;
            peer_weight += weight;
            newest_ms = newest_ms.max(peer.evidence.newest_ms);
        }
        let total_weight = options.prior_weight + own_weight + peer_weight;
        SpeedEstimate {
            slowness: (weighted / total_weight).clamp(SLOWNESS_MIN, SLOWNESS_MAX),
            own_weight,
            peer_weight,
            peers: self.peers.len(),
            age_ms: now_ms - newest_ms,
        }
    }
}

/// The speeds of all engines, as one gateway estimates them.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    options: SpeedOptions,
    pauses: ProcessPauses,
    engines: HashMap<EndpointKey, EngineEvidence>,
    /// Number of the last report, by peer.
    sequences: HashMap<u64, u64>,
}

impl EngineSpeeds {
    /// Creates estimates without any evidence.
    pub fn new(options: SpeedOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records that a timer fired that is due each
    /// [`TICK_INTERVAL_MS`](crate::process_pauses::TICK_INTERVAL_MS). Without it nothing counts as
    /// evidence.
    pub fn record_tick(&mut self, now_ms: f64) {
        self.pauses.record_tick(now_ms);
    }

    /// Records a pause between two events of a stream that ends now; returns whether it counts as
    /// evidence. Of several streams whose events arrive at the end of the same pass, one counts.
    ///
    /// ```
    /// use mgs_fleet::view::EndpointKey;
    /// use mgs_placing::engine_speed::EngineSpeeds;
    /// use mgs_placing::engine_speed::PauseSample;
    ///
    /// let mut speeds = EngineSpeeds::default();
    /// let engine = EndpointKey(7);
    /// for pass in 0..20 {
    ///     let began_ms = f64::from(pass) * 150.0;
    ///     for tick in 0..=3 {
    ///         speeds.record_tick(began_ms + f64::from(tick) * 50.0);
    ///     }
    ///     let pause = PauseSample { began_ms, pass_ms: 50.0, prefill_ms: 0.0 };
    ///     assert!(speeds.record_pause(engine, began_ms + 150.0, &pause));
    /// }
    /// assert!(speeds.slowness(engine, 3_000.0) > 2.0);
    /// assert_eq!(speeds.slowness(EndpointKey(8), 3_000.0), 1.0);
    /// ```
    pub fn record_pause(&mut self, engine: EndpointKey, now_ms: f64, sample: &PauseSample) -> bool {
        if sample.pass_ms <= 0.0 || self.pauses.affect(sample.began_ms, now_ms) {
            return false;
        }
        let own = &mut self.engines.entry(engine).or_default().own;
        let is_same_pass = now_ms - own.newest_ms < sample.pass_ms / 2.0;
        if is_same_pass && own.weight > 0.0 {
            return false;
        }
        let ratio = sample.ratio(now_ms).clamp(RATIO_MIN, SLOWNESS_MAX);
        own.add(now_ms, ratio, 1.0, &self.options);
        true
    }

    /// Records a first event that arrives now; returns whether it counts as evidence. The
    /// prediction is one of the declared speed only while the estimate is about 1, so later first
    /// events don't count: pauses say how the engine goes on.
    pub fn record_first_event(
        &mut self,
        engine: EndpointKey,
        now_ms: f64,
        sample: &FirstEventSample,
    ) -> bool {
        let is_predicted_as_declared = self.slowness(engine, now_ms) == 1.0;
        if !is_predicted_as_declared || self.pauses.affect(sample.sent_ms, now_ms) {
            return false;
        }
        let took_ms = now_ms - sample.sent_ms;
        let ratio =
            (took_ms + FIRST_EVENT_OFFSET_MS) / (sample.predicted_ms + FIRST_EVENT_OFFSET_MS);
        let ratio = ratio.clamp(RATIO_MIN, SLOWNESS_MAX);
        let own = &mut self.engines.entry(engine).or_default().own;
        own.add(now_ms, ratio, FIRST_EVENT_WEIGHT, &self.options);
        true
    }

    /// Estimated ratio of an engine's actual times to the declared ones; 1 if the difference is no
    /// more than a tenth.
    pub fn slowness(&self, engine: EndpointKey, now_ms: f64) -> f64 {
        let estimate = self.estimate(engine, now_ms);
        let slowness = estimate.map_or(1.0, |estimate| estimate.slowness);
        match (slowness - 1.0).abs() <= AS_DECLARED_DIFFERENCE {
            true => 1.0,
            false => slowness,
        }
    }

    /// The estimate of an engine, if there is any evidence.
    pub fn estimate(&self, engine: EndpointKey, now_ms: f64) -> Option<SpeedEstimate> {
        let evidence = self.engines.get(&engine)?;
        Some(evidence.estimate(now_ms, &self.options))
    }

    /// The estimates of all engines with evidence.
    pub fn estimates(
        &self,
        now_ms: f64,
    ) -> impl Iterator<Item = (EndpointKey, SpeedEstimate)> + '_ {
        let engines = self.engines.iter();
        engines.map(move |(key, evidence)| (*key, evidence.estimate(now_ms, &self.options)))
    }

    /// This gateway's own evidence, for its peers: recent, and of engines that don't run as
    /// declared. If there are more than [`REPORTED_MAX`], those that differ most.
    pub fn report(&self, now_ms: f64) -> Vec<(EndpointKey, SpeedObservation)> {
        let recent = self.engines.iter().filter(|(_, evidence)| {
            evidence.own.weight > 0.0 && now_ms - evidence.own.newest_ms <= REPORTED_AGE_MAX_MS
        });
        let mut reported: Vec<(EndpointKey, Evidence)> = recent
            .map(|(key, evidence)| (*key, evidence.own))
            .filter(|(_, own)| self.is_reported(own))
            .collect();
        let difference = |own: &Evidence| (own.ratio - 1.0).abs() * own.weight;
        reported.sort_by(|(key, own), (other_key, other)| {
            let by_difference = difference(other).total_cmp(&difference(own));
            by_difference.then(key.0.cmp(&other_key.0))
        });
        reported.truncate(REPORTED_MAX);
        let observation = |(key, own): (EndpointKey, Evidence)| {
            let observation = SpeedObservation {
                ratio: own.ratio as f32,
                weight: own.weight as f32,
                age_ms: (now_ms - own.newest_ms).max(0.0) as u32,
            };
            (key, observation)
        };
        reported.into_iter().map(observation).collect()
    }

    /// Whether own evidence is enough for an estimate that differs from the declared speed.
    fn is_reported(&self, own: &Evidence) -> bool {
        let prior_weight = self.options.prior_weight;
        let difference = (own.ratio - 1.0) * own.weight / (own.weight + prior_weight);
        difference.abs() > AS_DECLARED_DIFFERENCE
    }

    /// Replaces a peer's evidence. A report that is older than the last one or has invalid values
    /// is ignored.
    pub fn record_peer(
        &mut self,
        now_ms: f64,
        peer: u64,
        sequence: u64,
        observations: &[(EndpointKey, SpeedObservation)],
    ) {
        let is_outdated = |last: &u64| *last >= sequence;
        let are_valid = observations.iter().all(|(_, o)| o.is_valid());
        if self.sequences.get(&peer).is_some_and(is_outdated) || !are_valid {
            return;
        }
        self.sequences.insert(peer, sequence);
        for evidence in self.engines.values_mut() {
            evidence.peers.retain(|of_peer| of_peer.peer != peer);
        }
        let trust = self.trust(now_ms, observations);
        for (engine, observation) in observations.iter().take(REPORTED_MAX) {
            let weight = f64::from(observation.weight).min(self.options.peer_weight_max);
            let evidence = Evidence {
                ratio: f64::from(observation.ratio).clamp(SLOWNESS_MIN, SLOWNESS_MAX),
                weight: weight * trust,
                newest_ms: now_ms - f64::from(observation.age_ms),
            };
            let engine = self.engines.entry(*engine).or_default();
            engine.peers.push(PeerEvidence {
                peer,
                reported_ms: now_ms,
                evidence,
            });
        }
    }

    /// Share of the weight of a peer's report that counts: less the more weight it claims in all,
    /// and the more of it contradicts what this gateway observes itself.
    fn trust(&self, now_ms: f64, observations: &[(EndpointKey, SpeedObservation)]) -> f64 {
        let options = &self.options;
        let weights = observations.iter().map(|(_, o)| f64::from(o.weight));
        let total: f64 = weights.map(|w| w.min(options.peer_weight_max)).sum();
        let of_total = options.peer_total_weight_max / total.max(options.peer_total_weight_max);
        let mut agreeing = 0.0;
        let mut contradicting = 0.0;
        for (engine, observation) in observations {
            let Some(own) = self.engines.get(engine).map(|evidence| evidence.own) else {
                continue;
            };
            if own.weight_at(now_ms, options.decay_ms) < COMPARABLE_WEIGHT {
                continue;
            }
            let reported = f64::from(observation.ratio).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
            let quotient = reported / own.ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
            match quotient.max(1.0 / quotient) > CONTRADICTION_QUOTIENT {
                true => contradicting += 1.0,
                false => agreeing += 1.0,
            }
        }
        // A single contradiction may be a change that one of the two hasn't seen yet.
        of_total * (1.0 + agreeing) / (1.0 + agreeing + 2.0 * contradicting)
    }

    /// Forgets the reports' numbers of a peer that fell silent. Its evidence decays.
    pub fn forget_peer(&mut self, peer: u64) {
        self.sequences.remove(&peer);
    }

    /// Drops evidence that has no weight any more.
    pub fn expire(&mut self, now_ms: f64) {
        let options = &self.options;
        self.engines.retain(|_, evidence| {
            let peers = &mut evidence.peers;
            peers.retain(|peer| peer.weight_at(now_ms, options) >= WEIGHT_MIN);
            let own_weight = evidence.own.weight_at(now_ms, options.decay_ms);
            own_weight >= WEIGHT_MIN || !evidence.peers.is_empty()
        });
    }
}

/// Factor by which a weight has decayed after a time.
fn decay(age_ms: f64, time_constant_ms: f64) -> f64 {
    (-age_ms.max(0.0) / time_constant_ms).exp()
}
