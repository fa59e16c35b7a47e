//! The estimate of an engine's speed: age, bounds, little evidence, several peers, pauses of this
//! process and false reports.

use mgs_fleet::view::EndpointKey;
use mgs_placing::engine_speed::EngineSpeeds;
use mgs_placing::engine_speed::FirstEventSample;
use mgs_placing::engine_speed::PauseSample;
use mgs_placing::engine_speed::SpeedObservation;
use mgs_placing::engine_speed::SpeedOptions;
use mgs_placing::engine_speed::REPORTED_MAX;
use mgs_placing::engine_speed::SLOWNESS_MAX;
use mgs_placing::engine_speed::SLOWNESS_MIN;
use mgs_placing::process_pauses::TICK_INTERVAL_MS;
use rstest::rstest;

const ENGINE: EndpointKey = EndpointKey(3);

const PASS_MS: f64 = 50.0;

/// Time for which engines are slow at most, in milliseconds.
const SLOW_PHASE_MAX_MS: f64 = 8_000.0;

/// Estimate above which an engine that runs as declared would be treated as slow. The slow engines
/// of the deployments take three times as long.
const SEEMS_SLOW: f64 = 2.0;

/// Estimates with a clock and a stream at each engine.
struct Observer {
    speeds: EngineSpeeds,
    now_ms: f64,
}

impl Observer {
    fn new(options: SpeedOptions) -> Self {
        let mut speeds = EngineSpeeds::new(options);
        speeds.record_tick(0.0);
        Self {
            speeds,
            now_ms: 0.0,
        }
    }

    /// Lets time pass while the process runs.
    fn run_until(&mut self, until_ms: f64) {
        while self.now_ms + TICK_INTERVAL_MS <= until_ms {
            self.now_ms += TICK_INTERVAL_MS;
            self.speeds.record_tick(self.now_ms);
        }
        self.now_ms = until_ms;
        self.speeds.record_tick(self.now_ms);
    }

    /// Observes passes of engines that take `ratio` times as long as declared.
    fn observe(&mut self, engines: &[EndpointKey], passes: u32, ratio: f64) {
        for _ in 0..passes {
            let pause = PauseSample {
                began_ms: self.now_ms,
                pass_ms: PASS_MS,
                prefill_ms: 0.0,
            };
            self.run_until(self.now_ms + PASS_MS * ratio);
            for engine in engines {
                self.speeds.record_pause(*engine, self.now_ms, &pause);
            }
        }
    }

    fn slowness(&self, engine: EndpointKey) -> f64 {
        self.speeds.slowness(engine, self.now_ms)
    }
}

fn observer() -> Observer {
    Observer::new(SpeedOptions::default())
}

fn observation(ratio: f32, weight: f32) -> SpeedObservation {
    SpeedObservation {
        ratio,
        weight,
        age_ms: 0,
    }
}

#[test]
fn an_engine_without_evidence_runs_as_declared() {
    assert_eq!(observer().slowness(ENGINE), 1.0);
}

/// Guards against one late event that makes an engine appear slow.
#[test]
fn little_evidence_is_shrunk_towards_1() {
    let mut observer = observer();
    observer.observe(&[ENGINE], 1, 5.0);
    assert!(observer.slowness(ENGINE) < SEEMS_SLOW);
    assert!(observer.slowness(ENGINE) > 1.0);
}

/// Guards against an estimate that is still that of the last minute when an engine slows down: it
/// is slow for three seconds at least, and the estimate should serve most of them.
#[test]
fn a_slow_phase_and_its_end_are_noticed_within_a_second_and_a_half() {
    let mut observer = observer();
    observer.observe(&[ENGINE], 1_200, 1.0);
    assert!((observer.slowness(ENGINE) - 1.0).abs() < 0.01);
    observer.observe(&[ENGINE], 10, 3.0);
    assert!(observer.slowness(ENGINE) > 1.75);
    observer.observe(&[ENGINE], 30, 1.0);
    assert!(observer.slowness(ENGINE) < 1.2);
}

#[rstest]
#[case::slow(100.0, SLOWNESS_MAX)]
#[case::fast(0.01, SLOWNESS_MIN)]
fn the_estimate_is_bounded(#[case] ratio: f64, #[case] bound: f64) {
    let options = SpeedOptions {
        prior_weight: 0.0,
        ..SpeedOptions::default()
    };
    let mut observer = Observer::new(options);
    for _ in 0..200 {
        let began_ms = observer.now_ms;
        let pause = PauseSample {
            began_ms,
            pass_ms: PASS_MS / ratio,
            prefill_ms: 0.0,
        };
        observer.run_until(began_ms + PASS_MS);
        observer
            .speeds
            .record_pause(ENGINE, observer.now_ms, &pause);
    }
    assert_eq!(observer.slowness(ENGINE), bound);
}

/// Whether a slow engine to which nothing is sent any more gets another chance after the longest
/// time for which engines are slow.
fn evidence_decays(options: SpeedOptions) -> bool {
    let mut observer = Observer::new(options);
    observer.observe(&[ENGINE], 20, 3.0);
    assert!(observer.slowness(ENGINE) > SEEMS_SLOW);
    observer.run_until(observer.now_ms + SLOW_PHASE_MAX_MS);
    observer.slowness(ENGINE) < 1.5
}

/// Guards against an engine that is avoided for ever since nothing is sent there.
#[test]
fn evidence_loses_weight_with_its_age() {
    assert!(evidence_decays(SpeedOptions::default()));
    let without_age = SpeedOptions {
        decay_ms: f64::INFINITY,
        ..SpeedOptions::default()
    };
    assert!(!evidence_decays(without_age), "the injected fault is found");
}

#[test]
fn prefill_beside_streams_does_not_count_as_slowness() {
    let mut observer = observer();
    for _ in 0..40 {
        let pause = PauseSample {
            began_ms: observer.now_ms,
            pass_ms: PASS_MS,
            prefill_ms: 60.0,
        };
        observer.run_until(observer.now_ms + PASS_MS + 55.0);
        observer
            .speeds
            .record_pause(ENGINE, observer.now_ms, &pause);
    }
    assert_eq!(observer.slowness(ENGINE), 1.0);
}

/// Guards against ten streams that count as ten times the evidence, all of one pass.
#[test]
fn events_of_one_pass_count_once() {
    let mut observer = observer();
    observer.observe(&[ENGINE], 1, 3.0);
    let once = observer.slowness(ENGINE);
    let pause = PauseSample {
        began_ms: observer.now_ms - 3.0 * PASS_MS,
        pass_ms: PASS_MS,
        prefill_ms: 0.0,
    };
    observer.run_until(observer.now_ms + 1.0);
    let now_ms = observer.now_ms;
    assert!(!observer.speeds.record_pause(ENGINE, now_ms, &pause));
    assert!((observer.slowness(ENGINE) - once).abs() < 0.01);
}

/// Guards against a prediction that already includes the estimate and so takes it back to 1, and
/// against one that leaves it out and so keeps it up for ever.
#[test]
fn first_events_count_only_while_predictions_are_as_declared() {
    let mut observer = observer();
    let first_event = |observer: &mut Observer| {
        let sent_ms = observer.now_ms;
        observer.run_until(sent_ms + 500.0);
        let sample = FirstEventSample {
            sent_ms,
            predicted_ms: 100.0,
        };
        observer
            .speeds
            .record_first_event(ENGINE, observer.now_ms, &sample)
    };
    assert!(first_event(&mut observer));
    assert!(observer.slowness(ENGINE) > 1.1);
    let before = observer.slowness(ENGINE);
    assert!(!first_event(&mut observer));
    assert!(observer.slowness(ENGINE) <= before);
}

/// Whether a gateway that is paused for half a second, while 40 engines with streams of it run as
/// declared, tells its peers nothing of the kind. `hides_pause` makes its timer look punctual.
fn own_pause_is_no_evidence(hides_pause: bool) -> bool {
    let engines: Vec<EndpointKey> = (0..40).map(EndpointKey).collect();
    let mut observer = observer();
    let mut peer = self::observer();
    observer.observe(&engines, 40, 1.0);
    for _ in 0..5 {
        let pause = PauseSample {
            began_ms: observer.now_ms,
            pass_ms: PASS_MS,
            prefill_ms: 0.0,
        };
        let resumed_ms = observer.now_ms + 500.0;
        match hides_pause {
            true => observer.run_until(resumed_ms),
            false => observer.now_ms = resumed_ms,
        }
        for engine in &engines {
            observer.speeds.record_pause(*engine, resumed_ms, &pause);
        }
        observer.run_until(resumed_ms + 1.0);
        observer.observe(&engines, 2, 1.0);
    }
    peer.run_until(observer.now_ms);
    let report = observer.speeds.report(observer.now_ms);
    peer.speeds.record_peer(peer.now_ms, 1, 1, &report);
    let estimates = engines.iter().map(|engine| peer.slowness(*engine));
    report.is_empty() && estimates.fold(1.0, f64::max) <= 1.1
}

/// Guards against a paused gateway that makes all engines appear slow to all gateways.
#[test]
fn a_pause_of_this_process_is_no_evidence() {
    assert!(own_pause_is_no_evidence(false));
    assert!(
        !own_pause_is_no_evidence(true),
        "the injected fault is found"
    );
}

/// Guards against evidence of a process that doesn't know yet whether it is paused.
#[test]
fn nothing_counts_before_the_first_tick() {
    let mut speeds = EngineSpeeds::default();
    let pause = PauseSample {
        began_ms: 0.0,
        pass_ms: PASS_MS,
        prefill_ms: 0.0,
    };
    assert!(!speeds.record_pause(ENGINE, 150.0, &pause));
    assert_eq!(speeds.slowness(ENGINE, 150.0), 1.0);
}

/// Guards against datagrams while engines run as declared.
#[test]
fn only_engines_that_differ_and_have_recent_evidence_are_reported() {
    let mut observer = observer();
    let slow: Vec<EndpointKey> = (100..150).map(EndpointKey).collect();
    observer.observe(&[ENGINE], 20, 1.05);
    assert!(observer.speeds.report(observer.now_ms).is_empty());
    observer.observe(&slow, 10, 3.0);
    let report = observer.speeds.report(observer.now_ms);
    assert_eq!(report.len(), REPORTED_MAX);
    assert!(report.iter().all(|(key, _)| slow.contains(key)));
    observer.run_until(observer.now_ms + 3_100.0);
    assert!(observer.speeds.report(observer.now_ms).is_empty());
}

#[test]
fn evidence_of_several_peers_adds_up_and_a_new_report_replaces_the_last() {
    let mut observer = observer();
    let slow = [(ENGINE, observation(3.0, 8.0))];
    observer.speeds.record_peer(0.0, 1, 1, &slow);
    let by_one = observer.slowness(ENGINE);
    observer.speeds.record_peer(0.0, 1, 2, &slow);
    assert_eq!(observer.slowness(ENGINE), by_one);
    observer.speeds.record_peer(0.0, 2, 1, &slow);
    let by_two = observer.slowness(ENGINE);
    assert!(1.5 < by_one && by_one < by_two && by_two < 3.0);
    observer.speeds.record_peer(0.0, 2, 1, &[]);
    assert_eq!(observer.slowness(ENGINE), by_two, "a duplicate");
    observer.speeds.record_peer(0.0, 2, 2, &[]);
    assert_eq!(observer.slowness(ENGINE), by_one);
}

#[test]
fn the_age_that_a_peer_reports_counts() {
    let mut observer = observer();
    let old = SpeedObservation {
        age_ms: 3_000,
        ..observation(3.0, 8.0)
    };
    observer.speeds.record_peer(0.0, 1, 1, &[(ENGINE, old)]);
    let by_old = observer.slowness(ENGINE);
    observer
        .speeds
        .record_peer(0.0, 1, 2, &[(ENGINE, observation(3.0, 8.0))]);
    assert!(by_old < observer.slowness(ENGINE));
}

/// Guards against an estimate that stays after the last peer that knew better fell silent.
#[test]
fn the_evidence_of_a_silent_peer_decays() {
    let mut observer = observer();
    let slow = [(ENGINE, observation(3.0, 8.0))];
    observer.speeds.record_peer(0.0, 1, 1, &slow);
    observer.speeds.forget_peer(1);
    observer.run_until(3_000.0);
    assert!(observer.slowness(ENGINE) < 1.1);
    observer.run_until(20_000.0);
    observer.speeds.expire(observer.now_ms);
    assert_eq!(observer.speeds.estimate(ENGINE, observer.now_ms), None);
}

/// Whether a peer that reports the largest ratio for as many engines as it may, with any weight,
/// makes none of them appear slow. This gateway has streams at five of them.
fn false_reports_are_bounded(options: SpeedOptions) -> bool {
    let mut observer = Observer::new(options);
    let engines: Vec<EndpointKey> = (0..REPORTED_MAX as u32).map(EndpointKey).collect();
    observer.observe(&engines[..5], 20, 1.0);
    let lies: Vec<_> = engines
        .iter()
        .map(|engine| (*engine, observation(20.0, 1e6)))
        .collect();
    observer.speeds.record_peer(observer.now_ms, 1, 1, &lies);
    let estimates = engines.iter().map(|engine| observer.slowness(*engine));
    estimates.fold(1.0, f64::max) < SEEMS_SLOW
}

/// Guards against one peer that decides where all gateways send.
#[test]
fn a_peer_with_false_reports_makes_no_engine_appear_slow() {
    assert!(false_reports_are_bounded(SpeedOptions::default()));
    let without_bounds = SpeedOptions {
        peer_weight_max: f64::MAX,
        peer_total_weight_max: f64::MAX,
        ..SpeedOptions::default()
    };
    assert!(
        !false_reports_are_bounded(without_bounds),
        "the injected fault is found"
    );
}

/// Guards against a gateway that starts, has no evidence of its own, and believes one peer that
/// reports all engines.
#[test]
fn a_gateway_without_evidence_trusts_a_peer_less_the_more_it_reports() {
    let mut observer = observer();
    let engines = (0..REPORTED_MAX as u32).map(EndpointKey);
    let all: Vec<_> = engines.map(|e| (e, observation(20.0, 8.0))).collect();
    observer.speeds.record_peer(0.0, 1, 1, &all[..2]);
    let by_few = observer.slowness(EndpointKey(0));
    observer.speeds.record_peer(0.0, 1, 2, &all);
    let by_all = observer.slowness(EndpointKey(0));
    assert!(
        by_all < SEEMS_SLOW && SEEMS_SLOW < by_few,
        "{by_all} {by_few}"
    );
}

/// Guards against a false report of a single engine that this gateway uses itself.
#[test]
fn own_evidence_outweighs_a_peer_that_contradicts_it() {
    let mut observer = observer();
    observer.observe(&[ENGINE], 20, 1.0);
    let lie = [(ENGINE, observation(20.0, 1e6))];
    observer.speeds.record_peer(observer.now_ms, 1, 1, &lie);
    assert!(observer.slowness(ENGINE) < SEEMS_SLOW);
}

#[rstest]
#[case::not_a_number(f32::NAN, 1.0)]
#[case::infinite(f32::INFINITY, 1.0)]
#[case::too_slow(20.1, 1.0)]
#[case::too_fast(0.19, 1.0)]
#[case::negative(-1.0, 1.0)]
#[case::weight_not_a_number(3.0, f32::NAN)]
#[case::weight_infinite(3.0, f32::INFINITY)]
#[case::negative_weight(3.0, -1.0)]
fn a_report_with_invalid_values_is_ignored(#[case] ratio: f32, #[case] weight: f32) {
    let mut observer = observer();
    let invalid = observation(ratio, weight);
    assert!(!invalid.is_valid());
    let other = (EndpointKey(4), observation(3.0, 8.0));
    observer
        .speeds
        .record_peer(0.0, 1, 1, &[(ENGINE, invalid), other]);
    assert_eq!(observer.slowness(ENGINE), 1.0);
    assert_eq!(observer.slowness(EndpointKey(4)), 1.0);
}
