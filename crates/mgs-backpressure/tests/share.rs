//! Ways to share a limit, played: what an endpoint gets at most in four seconds, and how much of what it takes is used.
//!
//! The model is coarse on purpose: steps of 5 ms; gateways hear of each other after 15 to 35 ms and each 300 ms, and one message in
//! twenty is lost; clients come at each gateway by chance. Gateways die, start and are cut off one way. Each gateway knows of the
//! limit from the first answer on, its own or a peer's.

mod emulator;

use emulator::play;
use emulator::Day;
use emulator::Way;
use rstest::rstest;

/// What the rule of the operators allows in four seconds.
fn allowed(limit_per_s: f64) -> f64 {
    limit_per_s * 4.0 * 1.5 + 5.0
}

#[rstest]
fn no_endpoint_gets_more_than_it_bears(
    #[values(2, 5, 24)] gateways: usize,
    #[values(0.0, 0.3, 1.0, 1.9, 2.6, 8.0, 60.0)] limit_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let day = Day {
        seed,
        ..Day::of(gateways, limit_per_s)
    };
    let came = play(Way::FewHolders, &day);
    assert!(f64::from(came.most) <= allowed(limit_per_s), "{came:?}");
}

/// A hundred gateways tell each other ten thousand messages a second, so these days are short.
#[rstest]
fn nor_from_a_hundred_gateways(#[values(0.0, 1.0, 8.0)] limit_per_s: f64) {
    let day = Day {
        length_ms: 15_000.0,
        ..Day::of(103, limit_per_s)
    };
    let came = play(Way::FewHolders, &day);
    assert!(f64::from(came.most) <= allowed(limit_per_s), "{came:?}");
}

#[rstest]
fn most_of_what_it_takes_is_used(
    #[values(5, 24)] gateways: usize,
    #[values(1.0, 1.9, 2.6, 8.0)] limit_per_s: f64,
) {
    let day = Day {
        ends: 0,
        cuts: 0,
        ..Day::of(gateways, limit_per_s)
    };
    let came = play(Way::FewHolders, &day);
    assert!(came.used >= 0.7, "{came:?}");
}

/// By hand, also for three hundred gateways and for the ways that weren't kept.
#[test]
#[ignore = "prints a table"]
#[allow(clippy::print_stdout, reason = "the table is what it is for")]
fn ways_compared() {
    for gateways in [5, 24, 103, 300] {
        for limit_per_s in [1.0, 1.9, 8.0] {
            for way in [
                Way::EqualParts,
                Way::OneAtATime,
                Way::Counted,
                Way::FewHolders,
            ] {
                let day = Day::of(gateways, limit_per_s);
                let came = play(way, &day);
                println!(
                    "{gateways:4} gateways, {limit_per_s:4.1}/s, {way:?}: most {} of {:.0}, used {:.2}",
                    came.most,
                    allowed(limit_per_s),
                    came.used
                );
            }
        }
    }
}
