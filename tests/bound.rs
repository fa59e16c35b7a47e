//! Bound on what any schedule could have served of a day's requests, and the share that was unservable.

use marigoldstage::account::capacity_bound::served_shares;
use marigoldstage::account::capacity_bound::Capacity;
use marigoldstage::account::capacity_bound::Job;
use marigoldstage::account::Account;
use marigoldstage::explain::LogLine;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;

/// Length of a step of the supply, in milliseconds.
const STEP_MS: f64 = 250.0;

/// Number of steps of the generated days.
const STEPS: usize = 12;

fn piece() -> impl Strategy<Value = Job> {
    (0..STEPS, 1..=STEPS, 1u32..2_000, 1u32..50).prop_map(|(first, steps, takes, worth)| Job {
        release_ms: first as f64 * STEP_MS,
        deadline_ms: (first + steps).min(STEPS) as f64 * STEP_MS,
        demand: f64::from(takes),
        worth: f64::from(worth),
    })
}

/// The remaining work of each piece if they are scheduled by earliest deadline first.
fn earliest_deadline_first(per_ms: &[f64], pieces: &[Job]) -> Vec<f64> {
    let mut remaining: Vec<f64> = pieces.iter().map(|piece| piece.demand).collect();
    for (step, supply) in per_ms.iter().enumerate() {
        let at_ms = step as f64 * STEP_MS;
        let mut available = supply * STEP_MS;
        let mut eligible: Vec<usize> = (0..pieces.len()).collect();
        eligible.retain(|index| {
            pieces[*index].release_ms <= at_ms && at_ms < pieces[*index].deadline_ms
        });
        eligible.sort_by(|a, b| pieces[*a].deadline_ms.total_cmp(&pieces[*b].deadline_ms));
        for index in eligible {
            let done = remaining[index].min(available);
            remaining[index] -= done;
            available -= done;
        }
    }
    remaining
}

proptest! {
    /// The schedule stays within the supply, is worth at least as much as earliest deadline first, and serves all
    /// if that does.
    #[test]
    fn the_schedule_is_no_worse_than_earliest_deadline_first(
        pieces in vec(piece(), 1..12),
        engines in vec(0u32..4, STEPS),
    ) {
        let per_ms: Vec<f64> = engines.iter().map(|count| f64::from(*count)).collect();
        let shares = served_shares(&mut Capacity::new(&per_ms), &pieces);
        let worth = |shares: &[f64]| -> f64 {
            pieces.iter().zip(shares).map(|(piece, share)| piece.worth * share).sum()
        };
        let done: f64 = pieces.iter().zip(&shares).map(|(piece, share)| piece.demand * share).sum();
        let available: f64 = per_ms.iter().map(|supply| supply * STEP_MS).sum();
        prop_assert!(done <= available + 1e-6);
        let remaining = earliest_deadline_first(&per_ms, &pieces);
        let by_deadline: Vec<f64> = remaining.iter().zip(&pieces).map(|(l, p)| 1.0 - l / p.demand).collect();
        prop_assert!(worth(&shares) + 1e-6 >= worth(&by_deadline));
        if remaining.iter().all(|remaining| *remaining < 1e-9) {
            prop_assert!(shares.iter().all(|share| *share > 1.0 - 1e-9), "{shares:?}");
        }
    }

    /// More engines never reduce the value served.
    #[test]
    fn more_engines_serve_no_less(pieces in vec(piece(), 1..12), engines in vec(0u32..4, STEPS)) {
        let base: Vec<f64> = engines.iter().map(|count| f64::from(*count)).collect();
        let more: Vec<f64> = base.iter().map(|supply| supply + 1.0).collect();
        let worth = |per_ms: &[f64]| -> f64 {
            let shares = served_shares(&mut Capacity::new(per_ms), &pieces);
            pieces.iter().zip(&shares).map(|(piece, share)| piece.worth * share).sum()
        };
        prop_assert!(worth(&more) + 1e-6 >= worth(&base));
    }
}

/// The account of a log with the start of a host, one engine that prefills ten tokens a millisecond, and these lines.
fn account_of(requests: &str) -> Account {
    let log = format!(
        r#"front-1 {{"timestamp":"2026-05-30 03:20:20.000 +00:00","text":"started","kv":{{"host":"front-1","zone":"north"}}}}
front-1 {{"timestamp":"2026-05-30 03:20:20.010 +00:00","text":"engines declared","kv":{{"service":"model","slots":4,"memory_tokens":100000,"stride_steps":10,"step_ms":1.0,"writer_step_ms":0.0,"context_step_ms_per_1k":0.0,"read_tokens_per_ms":10.0,"chunk_tokens":1000000,"pair_ms_per_million":0.0,"usual_prompt_tokens":1000.0,"usual_answer_tokens":100.0}}}}
front-1 {{"timestamp":"2026-05-30 03:20:20.020 +00:00","text":"endpoint listed","kv":{{"endpoint":"i-1","service":"model"}}}}
{requests}"#
    );
    let lines = log
        .lines()
        .filter_map(|line| LogLine::parse(line, "front-1"));
    Account::from_lines(lines.collect())
}

/// A log line of a prompt of 10,000 tokens with an aim of one second, and its outcome.
fn ended_prompt(id: &str, ended: &str, outcome: &str) -> String {
    format!(
        "front-1 {{\"timestamp\":\"2026-05-30 03:20:{ended} +00:00\",\"text\":\"request ended\",\"kv\":{{\"request_id\":\"{id}\",\
         \"kind\":\"streaming\",\"aim_ms\":1000,\"pause_limit_ms\":250,\"timeout_ms\":1000,\"prompt_tokens\":10000,\
         \"size_tokens\":10010,\"total_ms\":1000,{outcome}}}}}\n"
    )
}

/// Outcome of a prompt that was refused as too late.
const REFUSED: &str = r#""outcome":"refused","status":503,"detail":"too_late""#;

/// Shares of the units that were lost, that were unservable, and that could have been served.
fn shares(result: &Account) -> (f64, f64, f64) {
    let parts = result.breakdown.kinds["streaming 1000/250 ms"];
    let share = |units: f64| (units / parts.units * 100.0).round() / 100.0;
    (
        share(parts.lost_units),
        share(parts.unservable_units),
        share(parts.avoidable_units()),
    )
}

/// Each prompt takes a second of the only engine, and both arrive at the same time.
#[test]
fn of_two_simultaneous_prompts_for_one_engine_one_is_unservable() {
    let lines_of_both =
        ended_prompt("a", "31.000", REFUSED) + &ended_prompt("b", "31.000", REFUSED);
    let (lost, unservable, ours) = shares(&account_of(&lines_of_both));
    assert_eq!(lost, 1.0);
    assert!((0.4..=0.5).contains(&unservable), "{unservable}");
    assert!((0.5..=0.6).contains(&ours), "{ours}");
}

#[test]
fn prompts_apart_in_time_are_servable() {
    let lines_of_both =
        ended_prompt("a", "31.000", REFUSED) + &ended_prompt("b", "35.000", REFUSED);
    assert_eq!(shares(&account_of(&lines_of_both)), (1.0, 0.0, 1.0));
}

#[test]
fn a_prompt_failed_by_its_endpoint_counts_as_neither_unservable_nor_servable() {
    let failed_dispatch = r#"front-1 {"timestamp":"2026-05-30 03:20:30.500 +00:00","text":"dispatch ended","kv":{"request_id":"a","endpoint":"i-1","dispatch":1,"end":"unknown"}}"#;
    let outcome = r#""outcome":"refused","status":502,"detail":"unknown""#;
    let lines = format!(
        "{failed_dispatch}\n{}",
        ended_prompt("a", "31.000", outcome)
    );
    assert_eq!(shares(&account_of(&lines)), (1.0, 0.0, 0.0));
}

/// All hosts stop logging during the prefill and start again.
#[test]
fn a_prompt_cut_by_a_power_loss_is_unservable() {
    let placed = r#"front-1 {"timestamp":"2026-05-30 03:20:30.000 +00:00","text":"placed","kv":{"request_id":"a","kind":"streaming","aim_ms":1000,"pause_limit_ms":250,"prompt_tokens":10000,"expected_tokens":1,"left_ms":1000}}
front-1 {"timestamp":"2026-05-30 03:20:31.200 +00:00","text":"started","kv":{"host":"front-1","zone":"north"}}"#;
    assert_eq!(shares(&account_of(placed)), (1.0, 1.0, 0.0));
}
