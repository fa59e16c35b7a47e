//! Predicted ends of passes, and the time of a prompt's first token that follows from them.

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::pass_timeline::PassTimeline;
use mgs_placing::stream_group::StreamGroup;
use rstest::rstest;

/// Duration of a pass without prefill, in milliseconds.
const PASS_MS: f64 = 50.0;

fn timeline() -> PassTimeline {
    let mut timeline = PassTimeline::default();
    timeline.set_pass_ms(PASS_MS);
    timeline
}

/// Guards against predictions that are too early: a hundred prompts per second arrive at one
/// engine, and if each is assumed to be prefilled as it arrives, the first token of the last of ten
/// within a pass is predicted 170 ms early.
#[test]
fn prompts_that_arrive_within_a_pass_are_prefilled_in_the_next() {
    let mut timeline = timeline();
    timeline.record_event(0.0);
    for at_ms in 0..10 {
        timeline.add_prefill(f64::from(at_ms) * 4.0, 20.0, true);
    }
    let left_ms = PASS_MS - 36.0;
    assert_eq!(
        timeline.ready_ms(36.0, 20.0, true),
        left_ms + PASS_MS + 220.0
    );
    assert_eq!(timeline.next_pass_ms(36.0), PASS_MS + 200.0);
}

#[test]
fn an_engine_without_streams_prefills_at_once() {
    let mut timeline = timeline();
    assert_eq!(timeline.ready_ms(0.0, 30.0, false), 30.0);
    timeline.add_prefill(0.0, 30.0, false);
    assert_eq!(timeline.ready_ms(10.0, 30.0, false), 50.0);
}

#[test]
fn prefill_that_is_given_up_does_not_count() {
    let mut timeline = timeline();
    timeline.add_prefill(0.0, 30.0, false);
    timeline.remove_prefill(10.0, 30.0);
    assert_eq!(timeline.ready_ms(10.0, 0.0, false), 0.0);
    timeline.add_prefill(20.0, 30.0, true);
    timeline.remove_prefill(20.0, 30.0);
    assert_eq!(timeline.next_pass_ms(20.0), PASS_MS);
}

#[test]
fn a_stream_event_marks_the_beginning_of_a_pass() {
    let mut timeline = timeline();
    timeline.record_event(1_000.0);
    assert_eq!(timeline.ready_ms(1_010.0, 0.0, true), 40.0 + PASS_MS);
    // Events of other streams at the end of the same pass change nothing.
    timeline.record_event(1_003.0);
    assert_eq!(timeline.ready_ms(1_010.0, 0.0, true), 40.0 + PASS_MS);
}

/// Whatever is placed and whichever events arrive, the predicted time to a first token covers at
/// least a pass and the prompt's prefill, and at most one pass more once nothing was placed for a
/// minute.
#[rstest]
#[case::no_events(0.0)]
#[case::events_of_each_pass(50.0)]
#[case::events_far_too_often(1.0)]
#[case::events_far_too_seldom(700.0)]
fn predictions_stay_within_bounds(#[case] event_interval_ms: f64) {
    let mut timeline = timeline();
    let mut now_ms = 0.0;
    let mut next_event_ms = event_interval_ms;
    for step in 0..2_000 {
        now_ms += f64::from(step % 7);
        if step % 3 == 0 {
            timeline.add_prefill(now_ms, f64::from(step % 11), true);
        }
        if event_interval_ms > 0.0 && now_ms >= next_event_ms {
            timeline.record_event(now_ms);
            next_event_ms = now_ms + event_interval_ms;
        }
        let ready_ms = timeline.ready_ms(now_ms, 5.0, true);
        assert!(ready_ms >= PASS_MS + 5.0, "{ready_ms} at {now_ms}");
        assert!(ready_ms <= 60_000.0, "{ready_ms} at {now_ms}");
    }
    let later_ms = timeline.ready_ms(now_ms + 60_000.0, 5.0, true);
    assert!(later_ms <= 2.0 * PASS_MS + 5.0, "{later_ms}");
}

/// A gateway that never placed anything on a service's engines doesn't know how long a pass takes.
#[test]
fn an_unknown_pass_duration_is_no_error() {
    let mut timeline = PassTimeline::default();
    timeline.record_event(10.0);
    timeline.add_prefill(20.0, 30.0, true);
    assert_eq!(timeline.ready_ms(20.0, 5.0, true), 35.0);
}

#[test]
fn streams_are_grouped_by_the_limits_as_sent() {
    let mut load_table = LoadTable::new();
    let engine = EndpointKey(0);
    let load = |pause_ms| EndpointLoad {
        streams: vec![StreamGroup::single(pause_ms, false, 0.5, 30)],
        ..EndpointLoad::default()
    };
    load_table.add_own(engine, &load(180.0));
    load_table.add_own(engine, &load(180.0));
    load_table.add_own(engine, &load(240.0));
    let limits: Vec<(u32, u16)> = load_table
        .load(engine)
        .streams
        .iter()
        .map(|streams| (streams.pause_ms, streams.count))
        .collect();
    assert_eq!(limits, [(180, 2), (240, 1)]);
    load_table.remove_own(engine, &load(180.0));
    load_table.remove_own(engine, &load(240.0));
    assert_eq!(load_table.load(engine).running(), 1);
    load_table.remove_own(engine, &load(180.0));
    assert!(load_table.load(engine).is_empty());
}
