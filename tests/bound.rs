//! The bound of a day: what can't be served by whatever plan.

use marigoldstage::account::capacity_bound::served_shares;
use marigoldstage::account::capacity_bound::Capacity;
use marigoldstage::account::capacity_bound::Job;
use marigoldstage::account::Account;
use marigoldstage::explain::LogLine;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;

/// Length of a step of supply, in milliseconds.
const STEP_MS: f64 = 250.0;

/// Steps of the days that are drawn.
const STEPS: usize = 12;

fn piece() -> impl Strategy<Value = Job> {
    (0..STEPS, 1..=STEPS, 1u32..2_000, 1u32..50).prop_map(|(first, steps, takes, worth)| Job {
        release_ms: first as f64 * STEP_MS,
        deadline_ms: (first + steps).min(STEPS) as f64 * STEP_MS,
        demand: f64::from(takes),
        worth: f64::from(worth),
    })
}

/// What each piece leaves undone if, at each moment, the one goes first whose time ends first.
fn earliest_first(per_ms: &[f64], pieces: &[Job]) -> Vec<f64> {
    let mut left: Vec<f64> = pieces.iter().map(|piece| piece.demand).collect();
    for (step, supply) in per_ms.iter().enumerate() {
        let at_ms = step as f64 * STEP_MS;
        let mut there = supply * STEP_MS;
        let mut open: Vec<usize> = (0..pieces.len()).collect();
        open.retain(|index| {
            pieces[*index].release_ms <= at_ms && at_ms < pieces[*index].deadline_ms
        });
        open.sort_by(|a, b| pieces[*a].deadline_ms.total_cmp(&pieces[*b].deadline_ms));
        for index in open {
            let done = left[index].min(there);
            left[index] -= done;
            there -= done;
        }
    }
    left
}

proptest! {
    /// The plan does all that can be done, and no more than there is.
    #[test]
    fn the_plan_is_as_good_as_any(
        pieces in vec(piece(), 1..12),
        engines in vec(0u32..4, STEPS),
    ) {
        let per_ms: Vec<f64> = engines.iter().map(|count| f64::from(*count)).collect();
        let shares = served_shares(&mut Capacity::new(&per_ms), &pieces);
        let worth = |shares: &[f64]| -> f64 {
            pieces.iter().zip(shares).map(|(piece, share)| piece.worth * share).sum()
        };
        let done: f64 = pieces.iter().zip(&shares).map(|(piece, share)| piece.demand * share).sum();
        let there: f64 = per_ms.iter().map(|supply| supply * STEP_MS).sum();
        prop_assert!(done <= there + 1e-6);
        let left = earliest_first(&per_ms, &pieces);
        let by_deadline: Vec<f64> = left.iter().zip(&pieces).map(|(l, p)| 1.0 - l / p.demand).collect();
        prop_assert!(worth(&shares) + 1e-6 >= worth(&by_deadline));
        if left.iter().all(|left| *left < 1e-9) {
            prop_assert!(shares.iter().all(|share| *share > 1.0 - 1e-9), "{shares:?}");
        }
    }

    /// More engines are never worth less.
    #[test]
    fn more_engines_serve_no_less(pieces in vec(piece(), 1..12), engines in vec(0u32..4, STEPS)) {
        let few: Vec<f64> = engines.iter().map(|count| f64::from(*count)).collect();
        let more: Vec<f64> = few.iter().map(|supply| supply + 1.0).collect();
        let worth = |per_ms: &[f64]| -> f64 {
            let shares = served_shares(&mut Capacity::new(per_ms), &pieces);
            pieces.iter().zip(&shares).map(|(piece, share)| piece.worth * share).sum()
        };
        prop_assert!(worth(&more) + 1e-6 >= worth(&few));
    }
}

/// One engine that reads ten tokens in a millisecond, a start of its host, and some requests.
fn account(requests: &str) -> Account {
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

/// A prompt of 10,000 tokens with an aim of a second that ended as told.
fn prompt(id: &str, ended: &str, outcome: &str) -> String {
    format!(
        "front-1 {{\"timestamp\":\"2026-05-30 03:20:{ended} +00:00\",\"text\":\"request ended\",\"kv\":{{\"request_id\":\"{id}\",\
         \"kind\":\"streaming\",\"aim_ms\":1000,\"pause_limit_ms\":250,\"timeout_ms\":1000,\"prompt_tokens\":10000,\
         \"size_tokens\":10010,\"total_ms\":1000,{outcome}}}}}\n"
    )
}

const REFUSED: &str = r#""outcome":"refused","status":503,"detail":"too_late""#;

fn shares(account: &Account) -> (f64, f64, f64) {
    let parts = account.breakdown.kinds["streaming 1000/250 ms"];
    let share = |units: f64| (units / parts.units * 100.0).round() / 100.0;
    (
        share(parts.lost_units),
        share(parts.unservable_units),
        share(parts.avoidable_units()),
    )
}

/// Each takes a second of the one engine, and both came at the same time.
#[test]
fn of_two_prompts_for_one_engine_one_can_t_be_served() {
    let both = prompt("a", "31.000", REFUSED) + &prompt("b", "31.000", REFUSED);
    let (lost, unservable, ours) = shares(&account(&both));
    assert_eq!(lost, 1.0);
    assert!((0.4..=0.5).contains(&unservable), "{unservable}");
    assert!((0.5..=0.6).contains(&ours), "{ours}");
}

#[test]
fn what_comes_apart_could_have_been_served() {
    let both = prompt("a", "31.000", REFUSED) + &prompt("b", "35.000", REFUSED);
    assert_eq!(shares(&account(&both)), (1.0, 0.0, 1.0));
}

#[test]
fn what_its_endpoint_failed_can_t_be_known() {
    let failed = r#"front-1 {"timestamp":"2026-05-30 03:20:30.500 +00:00","text":"dispatch ended","kv":{"request_id":"a","endpoint":"i-1","dispatch":1,"end":"unknown"}}"#;
    let outcome = r#""outcome":"refused","status":502,"detail":"unknown""#;
    let lines = format!("{failed}\n{}", prompt("a", "31.000", outcome));
    assert_eq!(shares(&account(&lines)), (1.0, 0.0, 0.0));
}

/// All hosts fall silent while it is read, and start again.
#[test]
fn what_a_loss_of_power_cut_can_t_be_served() {
    let placed = r#"front-1 {"timestamp":"2026-05-30 03:20:30.000 +00:00","text":"placed","kv":{"request_id":"a","kind":"streaming","aim_ms":1000,"pause_limit_ms":250,"prompt_tokens":10000,"expected_tokens":1,"left_ms":1000}}
front-1 {"timestamp":"2026-05-30 03:20:31.200 +00:00","text":"started","kv":{"host":"front-1","zone":"north"}}"#;
    assert_eq!(shares(&account(placed)), (1.0, 1.0, 0.0));
}
