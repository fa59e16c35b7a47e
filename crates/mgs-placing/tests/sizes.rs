//! The largest requests of a kind are answered about as often as the others.
//!
//! Guards against two failures, both at a load at which other requests were answered normally:
//!
//! - Of the next-to-largest audits, fewer than half as many were answered as of all audits. Those
//!   that exceed one engine's memory queued while a hundred shorter ones, each with more worth for
//!   its prefill, overtook them, although forty of sixty-nine engines had no short streams. After
//!   ten seconds, when questions arrived, all were refused as `full` within a tenth of a second,
//!   because the number of engines without short streams fell from 38 to 2, with three quarters of
//!   the memory free.
//! - On other deployments, only a quarter of the longest answers to questions were completed. Their
//!   engines did prefill for other prompts, so events came every 60 to 70 ms where a pass without
//!   prefill takes 48 ms: the answers reached their deadline, or their clients disconnected after
//!   two seconds without an event.

mod emulator;

use emulator::deployments::grown_deployment;
use emulator::deployments::long_answers_deployment;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::LONG_ANSWERS_SWING;
use emulator::sizes::AnsweredShares;

/// Least ratio of the share answered in the fifth below the largest tenth to that of all prompts of
/// the kind.
const MIN_FIFTH_RATIO: f64 = 0.8;

/// The same for the largest tenth.
const MIN_LARGEST_RATIO: f64 = 0.65;

#[test]
fn large_audits_are_answered_about_as_often_as_others() {
    let swing = [
        GROWN_SWING[0],
        GROWN_SWING[1],
        GROWN_SWING[0],
        GROWN_SWING[1],
    ];
    let shares = AnsweredShares::of(
        &grown_deployment(),
        &swing,
        grown_deployment().audits.ttft_target_ms,
    );
    assert!(
        shares.next_largest_fifth >= MIN_FIFTH_RATIO * shares.all,
        "{shares:?}"
    );
    assert!(
        shares.largest_tenth >= MIN_LARGEST_RATIO * shares.all,
        "{shares:?}"
    );
}

#[test]
fn long_answers_end_about_as_often_as_others() {
    let deployment = long_answers_deployment();
    let questions = deployment.questions.expect("a distribution of questions");
    let swing = [
        LONG_ANSWERS_SWING[0],
        LONG_ANSWERS_SWING[1],
        LONG_ANSWERS_SWING[0],
    ];
    let shares = AnsweredShares::of(&deployment, &swing, questions.ttft_target_ms);
    assert!(
        shares.next_largest_fifth >= MIN_FIFTH_RATIO * shares.all,
        "{shares:?}"
    );
    assert!(
        shares.largest_tenth >= MIN_LARGEST_RATIO * shares.all,
        "{shares:?}"
    );
}
