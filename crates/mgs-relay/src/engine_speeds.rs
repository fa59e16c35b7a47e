//! Speeds of engines: feeds [`EngineSpeeds`] with what streams show, exchanges evidence with peers,
//! and logs engines that become slow. Does nothing while the part is off.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::engine_speed::EngineSpeeds;
use mgs_placing::engine_speed::FirstEventSample;
use mgs_placing::engine_speed::PauseSample;
use mgs_placing::engine_speed::SpeedEstimate;
use mgs_placing::engine_speed::SpeedObservation;
use mgs_placing::load_table::PeerKey;
use mgs_placing::model::EngineModel;
use mgs_placing::process_pauses::TICK_INTERVAL_MS;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::core::Core;
use crate::peers::Datagram;
use crate::peers::TRANSIT_MS;
use crate::place::PlacedRequest;

/// Estimate from which on an engine counts as slow in the log and the gauge.
const SLOW_FROM: f64 = 1.5;

/// Estimate below which it doesn't any more.
const SLOW_UNTIL: f64 = 1.25;

/// Interval at which the settings are looked at while the part is off.
const OFF_INTERVAL: Duration = Duration::from_secs(1);

/// What a gateway has observed of one engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SpeedAt {
    /// Hash of the endpoint's incarnation.
    pub(crate) endpoint: u64,
    /// The observation.
    pub(crate) observation: SpeedObservation,
}

/// Speeds of one relay.
#[derive(Debug, Default)]
pub(crate) struct SharedSpeeds {
    speeds: EngineSpeeds,
    /// Sequence number of the last report.
    sequence: u64,
    /// Peers whose invalid reports were logged.
    faulty_peers: HashSet<u64>,
    /// Engines that were last logged as slow.
    slow: HashSet<EndpointKey>,
}

/// The state of an engine at an event of a stream, from which the next pause is measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PauseStart {
    engine: EndpointKey,
    at_ms: f64,
    /// Number of the event.
    event: u32,
    backlog_ms: f64,
    /// All prefill placed there up to this event.
    prefill_total_ms: f64,
    /// The same up to the event before.
    prefill_total_before_ms: f64,
}

impl Core {
    fn shares_speeds(&self) -> bool {
        self.published.live_settings().shared_speeds
    }

    /// Ratio of actual to declared times of an engine, for placing.
    pub(crate) fn slowness(&self, engine: EndpointKey) -> f64 {
        match self.shares_speeds() {
            true => self.speeds.borrow().speeds.slowness(engine, self.now_ms()),
            false => self.outliers.slowness(engine),
        }
    }

    /// Age of the newest evidence of an engine's speed, in milliseconds; `None` without evidence.
    pub(crate) fn slowness_age_ms(&self, engine: EndpointKey) -> Option<u64> {
        let shared = self.speeds.borrow();
        let estimate = shared.speeds.estimate(engine, self.now_ms())?;
        Some(estimate.age_ms.max(0.0) as u64)
    }

    /// Records the time to a first event. Prompts that several engines prefill say nothing about
    /// the lead.
    pub(crate) fn record_first_event_speed(&self, placed: &PlacedRequest, took_ms: u64) {
        let is_predicted = placed.first_token_ms > 0.0 && placed.helper_keys.is_empty();
        if !is_predicted || !self.shares_speeds() {
            return;
        }
        let now_ms = self.now_ms();
        let sample = FirstEventSample {
            sent_ms: now_ms - took_ms as f64,
            predicted_ms: placed.first_token_ms,
        };
        let mut shared = self.speeds.borrow_mut();
        let is_evidence = shared
            .speeds
            .record_first_event(placed.endpoint.key, now_ms, &sample);
        self.count_observation("first_event", is_evidence);
    }

    /// Records the pause before event number `event` of a stream, which arrives now; returns from
    /// where the next pause is measured.
    pub(crate) fn record_pause_speed(
        &self,
        start: Option<PauseStart>,
        engine: EndpointKey,
        model: Option<&EngineModel>,
        event: u32,
    ) -> Option<PauseStart> {
        let model = model.filter(|_| self.shares_speeds())?;
        let now_ms = self.now_ms();
        let load_table = self.load_table.borrow();
        let prefill_total_ms = load_table.prefill_total_ms(engine);
        let start = start.filter(|start| start.engine == engine);
        // Several events that arrive at once were held up on the way.
        if let Some(start) = start.filter(|start| start.event + 1 == event) {
            let load = load_table.load(engine);
            let placed_ms = prefill_total_ms - start.prefill_total_before_ms;
            let sample = PauseSample {
                began_ms: start.at_ms,
                pass_ms: model.pass_ms(load.running(), u64::from(load.memory_tokens)),
                prefill_ms: start.backlog_ms + placed_ms,
            };
            let mut shared = self.speeds.borrow_mut();
            let is_evidence = shared.speeds.record_pause(engine, now_ms, &sample);
            self.count_observation("pause", is_evidence);
        }
        Some(PauseStart {
            engine,
            at_ms: now_ms,
            event,
            backlog_ms: load_table.backlog_ms(engine, now_ms, 1.0),
            prefill_total_ms,
            prefill_total_before_ms: start.map_or(prefill_total_ms, |start| start.prefill_total_ms),
        })
    }

    fn count_observation(&self, kind: &str, is_evidence: bool) {
        let use_label = match is_evidence {
            true => "evidence",
            false => "not_used",
        };
        self.metrics.speed_observations.inc([kind, use_label]);
    }

    /// The datagram with this gateway's evidence; `None` while the part is off or all engines run
    /// as declared.
    pub(crate) fn speeds_datagram(&self) -> Option<Datagram> {
        if !self.shares_speeds() {
            return None;
        }
        let fleet = self.published.fleet();
        let mut shared = self.speeds.borrow_mut();
        let report = shared.speeds.report(self.now_ms());
        let at_endpoint = |(key, observation): (EndpointKey, SpeedObservation)| {
            let endpoint = fleet.by_key.get(&key)?.facts.incarnation.hash_64();
            Some(SpeedAt {
                endpoint,
                observation,
            })
        };
        let speeds: Vec<SpeedAt> = report.into_iter().filter_map(at_endpoint).collect();
        if speeds.is_empty() {
            return None;
        }
        shared.sequence += 1;
        Some(Datagram::Speeds {
            from: self.incarnation,
            sequence: shared.sequence,
            speeds,
        })
    }

    /// Takes a peer's evidence.
    pub(crate) fn record_peer_speeds(
        &self,
        address: SocketAddr,
        peer: u64,
        sequence: u64,
        speeds: &[SpeedAt],
    ) {
        let is_peer = self.load_table.borrow().knows_peer(PeerKey(peer));
        if !is_peer || !self.shares_speeds() {
            return;
        }
        let mut shared = self.speeds.borrow_mut();
        if !speeds.iter().all(|at| at.observation.is_valid()) {
            self.metrics.peer_faults.inc();
            if shared.faulty_peers.insert(peer) {
                log::warn!(peer:% = address; "a peer reports speeds that aren't usable");
            }
            return;
        }
        let keys = self.published.endpoint_keys_by_hash();
        let known = |at: &SpeedAt| {
            let age_ms = at.observation.age_ms.saturating_add(TRANSIT_MS as u32);
            let observation = SpeedObservation {
                age_ms,
                ..at.observation
            };
            Some((*keys.get(&at.endpoint)?, observation))
        };
        let observations: Vec<_> = speeds.iter().filter_map(known).collect();
        let now_ms = self.now_ms();
        shared
            .speeds
            .record_peer(now_ms, peer, sequence, &observations);
    }

    /// Forgets a peer that fell silent, except for its evidence, which decays.
    pub(crate) fn forget_peer_speeds(&self, peer: PeerKey) {
        let mut shared = self.speeds.borrow_mut();
        shared.speeds.forget_peer(peer.0);
        shared.faulty_peers.remove(&peer.0);
    }

    /// Drops outdated evidence, and logs engines that have become slow or aren't any more.
    pub(crate) fn review_speeds(&self) {
        let mut shared = self.speeds.borrow_mut();
        if !self.shares_speeds() {
            // It would be outdated later.
            *shared = SharedSpeeds {
                sequence: shared.sequence,
                ..SharedSpeeds::default()
            };
            self.metrics.slow_engines.set(0);
            return;
        }
        let now_ms = self.now_ms();
        shared.speeds.expire(now_ms);
        let mut slow = HashSet::new();
        for (engine, estimate) in shared.speeds.estimates(now_ms) {
            let was_slow = shared.slow.contains(&engine);
            let bound = match was_slow {
                true => SLOW_UNTIL,
                false => SLOW_FROM,
            };
            let is_slow = estimate.slowness >= bound;
            if is_slow {
                slow.insert(engine);
            }
            if is_slow != was_slow {
                self.log_change(engine, is_slow, &estimate);
            }
        }
        self.metrics.slow_engines.set(slow.len() as i64);
        shared.slow = slow;
    }

    fn log_change(&self, engine: EndpointKey, is_slow: bool, estimate: &SpeedEstimate) {
        let fleet = self.published.fleet();
        let Some(endpoint) = fleet.by_key.get(&engine) else {
            return;
        };
        let permille = |value: f64| (value * 1e3) as u64;
        log::info!(
            endpoint = endpoint.facts.incarnation.id,
            is_slow = is_slow,
            slowness_permille = permille(estimate.slowness),
            own_weight_permille = permille(estimate.own_weight),
            peer_weight_permille = permille(estimate.peer_weight),
            peers = estimate.peers,
            age_ms = estimate.age_ms.max(0.0) as u64;
            "whether an engine is slow has changed"
        );
    }
}

/// Notes regularly that this process runs, so that its own pauses aren't taken for slow engines.
pub(crate) async fn tick(core: Rc<Core>) {
    loop {
        if !core.shares_speeds() {
            sleep(OFF_INTERVAL).await;
            continue;
        }
        core.speeds.borrow_mut().speeds.record_tick(core.now_ms());
        sleep(Duration::from_secs_f64(TICK_INTERVAL_MS / 1e3)).await;
    }
}
