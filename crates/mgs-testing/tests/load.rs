//! Arrivals and figures of the `load` command.

use std::time::Duration;

use mgs_testing::load::call::Ended;
use mgs_testing::load::figures::figures;
use mgs_testing::load::figures::jain;
use mgs_testing::load::figures::max_min;
use mgs_testing::load::run::Sample;
use mgs_testing::load::scenario::Options;
use mgs_testing::load::scenario::Scenario;
use mgs_testing::load::workload::generate;
use mgs_testing::load::workload::prompt;
use mgs_testing::load::workload::Arrival;
use rstest::rstest;

fn options(scenario: Scenario) -> Options {
    Options {
        scenario,
        run_s: 500.0,
        time_scale: 2.0,
        ..Options::default()
    }
}

#[rstest]
#[case::sahel(Scenario::Sahel)]
#[case::brasov(Scenario::Brasov)]
#[case::skew(Scenario::Skew)]
fn one_in_fifty_is_over_a_hundred_thousand(#[case] scenario: Scenario) {
    let arrivals = generate(&options(scenario));
    let long = arrivals
        .iter()
        .filter(|a| a.prompt_tokens > 100_000)
        .count();
    let share = long as f64 / arrivals.len() as f64;
    assert!((0.01..0.03).contains(&share), "{share}");
    assert!(arrivals
        .iter()
        .all(|a| (1_000..=1_000_000).contains(&a.prompt_tokens)));
}

#[test]
fn the_same_seed_gives_the_same_arrivals_in_order() {
    let options = options(Scenario::Overload);
    let arrivals = generate(&options);
    assert_eq!(arrivals, generate(&options));
    assert!(arrivals.is_sorted_by_key(|a| a.at_s));
    let other = Options { seed: 2, ..options };
    assert_ne!(arrivals, generate(&other));
}

#[test]
fn a_flood_is_ten_times_the_part_of_one_organisation() {
    let arrivals = generate(&Options {
        run_s: 5_000.0,
        ..options(Scenario::Overload)
    });
    let count = |phase, organisation| {
        let own = |a: &&Arrival| a.phase == phase && a.organisation == organisation;
        arrivals.iter().filter(own).count() as f64
    };
    let flood = count(1, 0) / count(1, 1);
    assert!((8.0..12.0).contains(&flood), "{flood}");
}

#[test]
fn prompts_have_their_length_and_share_their_prefix() {
    let arrivals = generate(&options(Scenario::Sahel));
    let first = &arrivals[0];
    let shares = |a: &&Arrival| {
        a.organisation == first.organisation && a.prefix == first.prefix && a.seed != first.seed
    };
    let second = arrivals.iter().find(shares).expect("prefixes are shared");
    let (a, b) = (prompt(first), prompt(second));
    assert_eq!(a.len() as u64, first.prompt_tokens * 4);
    let shared = first.prefix_tokens.min(second.prefix_tokens) as usize * 4;
    assert_eq!(a[..shared], b[..shared]);
    assert_ne!(a, b);
}

fn answered(arrival: Arrival, first_token_ms: u64) -> Sample {
    Sample {
        arrival,
        ended: Ended::Answered {
            first_token: Duration::from_millis(first_token_ms),
            whole: Duration::from_millis(first_token_ms + 100),
            cached_tokens: 0,
        },
        lateness: Duration::ZERO,
    }
}

#[test]
fn times_are_the_models_and_late_answers_are_no_goodput() {
    let options = options(Scenario::Brasov);
    let arrivals = generate(&options);
    let on_time: Vec<Sample> = arrivals.iter().map(|a| answered(*a, 100)).collect();
    let figures_on_time = figures(&on_time, &options);
    assert!((199..=201).contains(&figures_on_time.short.p50_ms));
    assert!(figures_on_time.goodput_tokens_per_s > 0.0);
    let late: Vec<Sample> = arrivals.iter().map(|a| answered(*a, 400_000)).collect();
    assert_eq!(figures(&late, &options).goodput_tokens_per_s, 0.0);
}

#[test]
fn recovery_is_the_time_until_short_prompts_are_back_to_normal() {
    let options = options(Scenario::Overload);
    let after_s = 400.0;
    let slow_until_s = after_s + 3.2;
    let sample = |a: &Arrival| {
        let is_slow = a.phase == 4 && a.at_s < slow_until_s;
        answered(*a, if is_slow { 2_000 } else { 100 })
    };
    let samples: Vec<Sample> = generate(&options).iter().map(sample).collect();
    let recovery_s = figures(&samples, &options).recovery_s.expect("it recovers");
    assert!(recovery_s <= 3.5, "{recovery_s}");
}

#[test]
fn a_due_is_what_is_wanted_or_a_part_by_weight() {
    assert_eq!(
        max_min(&[5.0, 50.0, 50.0], &[1.0, 1.0, 3.0], 45.0),
        [5.0, 10.0, 30.0]
    );
    assert_eq!(max_min(&[5.0, 5.0], &[1.0, 1.0], 100.0), [5.0, 5.0]);
    assert_eq!(jain(&[1.0, 0.0]), 0.5);
}
