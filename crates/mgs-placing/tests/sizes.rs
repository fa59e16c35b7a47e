//! The longest requests of a kind are served about as often as the others.
//!
//! What users saw: on days on which nothing else was amiss, of the next to largest audits fewer than half as many
//! were answered as of all, and elsewhere a quarter of the longest answers to short questions. Audits that exceed
//! one engine's memory waited in line while a hundred shorter ones went before them, each worth more for its
//! reading, and after ten seconds, when short questions came, were all refused within a tenth of a second as if
//! there were no memory. Long answers ended at their deadline, or their clients left after two seconds without an
//! event, while their engines read for others.
//!
//! What proved the cause: in the gateways' logs the least other score was below theirs at each look while forty of
//! sixty-nine engines were free of short streams; the refusals say `full` at the moment at which that number falls
//! from 38 to 2, with three quarters of the memory free; and the streams that ended at their deadline had written
//! their events at 60 to 70 ms where a pass without reading takes 48 ms.

mod emulator;

use emulator::deployments::grown;
use emulator::deployments::long_answers;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::LONG_ANSWERS_SWING;
use emulator::sizes::Served;

/// Of the whole kind's share, the least that the fifth below the largest tenth is to have.
const FIFTH_LEAST: f64 = 0.8;

/// The same for the largest tenth.
const LARGEST_LEAST: f64 = 0.65;

#[test]
fn large_audits_are_answered_about_as_often_as_others() {
    let swing = [
        GROWN_SWING[0],
        GROWN_SWING[1],
        GROWN_SWING[0],
        GROWN_SWING[1],
    ];
    let served = Served::of(&grown(), &swing, grown().audits.aim_ms);
    assert!(served.fifth >= FIFTH_LEAST * served.all, "{served:?}");
    assert!(served.largest >= LARGEST_LEAST * served.all, "{served:?}");
}

#[test]
fn long_answers_end_about_as_often_as_others() {
    let deployment = long_answers();
    let questions = deployment.questions.expect("questions");
    let swing = [
        LONG_ANSWERS_SWING[0],
        LONG_ANSWERS_SWING[1],
        LONG_ANSWERS_SWING[0],
    ];
    let served = Served::of(&deployment, &swing, questions.aim_ms);
    assert!(served.fifth >= FIFTH_LEAST * served.all, "{served:?}");
    assert!(served.largest >= LARGEST_LEAST * served.all, "{served:?}");
}
