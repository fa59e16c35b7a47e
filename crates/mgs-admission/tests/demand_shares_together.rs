//! The on-time share of all prompts together, with shares of organisations and without them, under
//! each load that the tests of shares simulate. `-- --nocapture` prints the figures.

#![allow(clippy::print_stdout, reason = "the tests report shares")]

#[allow(dead_code, reason = "shared with the other tests of shares")]
mod share_fleet;

use rstest::rstest;
use share_fleet::on_time;
use share_fleet::outcomes_under;
use share_fleet::usual_load_share;
use share_fleet::Conditions;
use share_fleet::ORGANISATIONS;

/// Most that the on-time share of all prompts may be lower with shares than without.
const LOSS_MAX: f64 = 0.01;

/// Checks the bound for a change of the load after the gateways have learned the load of `before`.
fn check(title: &str, seed: u64, before: &Conditions, load: [f64; ORGANISATIONS]) {
    let [with, without] = [true, false].map(|is_on| {
        let conditions = Conditions {
            is_on,
            ..before.clone()
        };
        let outcomes = outcomes_under(seed, conditions, load);
        on_time(&outcomes)
    });
    println!("{title}, seed {seed}: on time with shares {with:.3}, without {without:.3}");
    assert!(with >= without - LOSS_MAX, "{title}: {with} {without}");
}

// Guards against a surge that is refused although engines would have served it on time.
#[rstest]
fn a_surge_costs_all_prompts_together_nothing(
    #[values(0, 1, 2)] organisation: usize,
    #[values(1.0, 0.1)] others: f64,
    #[values(1.0, 0.7)] engine_speed: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let before = Conditions {
        engine_speed,
        ..Conditions::default()
    };
    let mut load = [others; ORGANISATIONS];
    load[organisation] = 9.0;
    let title = format!("{organisation} at nine times, others {others}, engines {engine_speed}");
    check(&title, seed, &before, load);
}

// Guards against refusals by chance where engines would have chosen better what to refuse.
#[rstest]
fn an_overload_of_all_costs_all_prompts_together_nothing(
    #[values(0.9, 1.1)] usual: f64,
    #[values(1.5, 2.0)] factor: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let usual_load = usual / usual_load_share();
    let before = Conditions {
        load: [usual_load; ORGANISATIONS],
        ..Conditions::default()
    };
    let title = format!("all at {factor} times {usual} of the engines' time");
    check(&title, seed, &before, [usual_load * factor; ORGANISATIONS]);
}

// Guards against refusals in ordinary traffic, also in that of a small surge.
#[rstest]
fn ordinary_traffic_costs_all_prompts_together_nothing(
    #[values(1.0, 0.65 / usual_load_share(), 0.75 / usual_load_share())] usual_load: f64,
    #[values(1.0, 3.0)] factor: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let before = Conditions {
        load: [usual_load; ORGANISATIONS],
        ..Conditions::default()
    };
    let mut load = before.load;
    load[3] *= factor;
    let title = format!("ordinary traffic at {usual_load:.2}, a small surge of {factor}");
    check(&title, seed, &before, load);
}
