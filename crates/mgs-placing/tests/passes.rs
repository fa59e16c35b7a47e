//! When passes end, and what that says of a prompt's first token.

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::pass_timeline::PassTimeline;
use mgs_placing::stream_group::StreamGroup;
use rstest::rstest;

const PASS_MS: f64 = 50.0;

fn passes() -> PassTimeline {
    let mut passes = PassTimeline::default();
    passes.set_pass_ms(PASS_MS);
    passes
}

/// A hundred prompts a second come to one engine. Taken for read as they come, the last of ten within a pass was
/// predicted 170 ms early.
#[test]
fn all_that_comes_within_a_pass_is_read_in_the_next() {
    let mut passes = passes();
    passes.record_event(0.0);
    for at_ms in 0..10 {
        passes.add_prefill(f64::from(at_ms) * 4.0, 20.0, true);
    }
    let left_ms = PASS_MS - 36.0;
    assert_eq!(passes.ready_ms(36.0, 20.0, true), left_ms + PASS_MS + 220.0);
    assert_eq!(passes.next_pass_ms(36.0), PASS_MS + 200.0);
}

#[test]
fn an_engine_without_streams_reads_at_once() {
    let mut passes = passes();
    assert_eq!(passes.ready_ms(0.0, 30.0, false), 30.0);
    passes.add_prefill(0.0, 30.0, false);
    assert_eq!(passes.ready_ms(10.0, 30.0, false), 50.0);
}

#[test]
fn what_is_given_up_is_not_read() {
    let mut passes = passes();
    passes.add_prefill(0.0, 30.0, false);
    passes.remove_prefill(10.0, 30.0);
    assert_eq!(passes.ready_ms(10.0, 0.0, false), 0.0);
    passes.add_prefill(20.0, 30.0, true);
    passes.remove_prefill(20.0, 30.0);
    assert_eq!(passes.next_pass_ms(20.0), PASS_MS);
}

#[test]
fn an_event_tells_when_a_pass_begins() {
    let mut passes = passes();
    passes.record_event(1_000.0);
    assert_eq!(passes.ready_ms(1_010.0, 0.0, true), 40.0 + PASS_MS);
    // Events of the other streams of the same pass change nothing.
    passes.record_event(1_003.0);
    assert_eq!(passes.ready_ms(1_010.0, 0.0, true), 40.0 + PASS_MS);
}

/// Whatever was placed and whichever events came, an engine is never taken to be done before it has read, nor
/// behind by more than a pass once it has been left alone.
#[rstest]
#[case::no_events(0.0)]
#[case::events_of_each_pass(50.0)]
#[case::events_far_too_often(1.0)]
#[case::events_far_too_seldom(700.0)]
fn forecasts_keep_to_their_bounds(#[case] event_each_ms: f64) {
    let mut passes = passes();
    let mut now_ms = 0.0;
    let mut next_event_ms = event_each_ms;
    for step in 0..2_000 {
        now_ms += f64::from(step % 7);
        if step % 3 == 0 {
            passes.add_prefill(now_ms, f64::from(step % 11), true);
        }
        if event_each_ms > 0.0 && now_ms >= next_event_ms {
            passes.record_event(now_ms);
            next_event_ms = now_ms + event_each_ms;
        }
        let ready_ms = passes.ready_ms(now_ms, 5.0, true);
        assert!(ready_ms >= PASS_MS + 5.0, "{ready_ms} at {now_ms}");
        assert!(ready_ms <= 60_000.0, "{ready_ms} at {now_ms}");
    }
    let later_ms = passes.ready_ms(now_ms + 60_000.0, 5.0, true);
    assert!(later_ms <= 2.0 * PASS_MS + 5.0, "{later_ms}");
}

/// A gateway that never placed anything at a service doesn't know how long its passes are.
#[test]
fn nothing_known_is_no_error() {
    let mut passes = PassTimeline::default();
    passes.record_event(10.0);
    passes.add_prefill(20.0, 30.0, true);
    assert_eq!(passes.ready_ms(20.0, 5.0, true), 35.0);
}

#[test]
fn streams_are_kept_by_the_limits_that_were_sent() {
    let mut board = LoadTable::new();
    let engine = EndpointKey(0);
    let held = |pause_ms| EndpointLoad {
        streams: vec![StreamGroup::single(pause_ms, false, 0.5, 30)],
        ..EndpointLoad::default()
    };
    board.add_own(engine, &held(180.0));
    board.add_own(engine, &held(180.0));
    board.add_own(engine, &held(240.0));
    let limits: Vec<(u32, u16)> = board
        .load(engine)
        .streams
        .iter()
        .map(|streams| (streams.pause_ms, streams.count))
        .collect();
    assert_eq!(limits, [(180, 2), (240, 1)]);
    board.remove_own(engine, &held(180.0));
    board.remove_own(engine, &held(240.0));
    assert_eq!(board.load(engine).running(), 1);
    board.remove_own(engine, &held(180.0));
    assert!(board.load(engine).is_empty());
}
