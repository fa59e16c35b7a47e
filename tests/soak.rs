//! A soak of `marigoldstage relay`: real processes, faults injected from outside them, and the promises
//! checked over what clients and endpoints see.
//!
//! A few seeds run with the other tests. By hand, with any seeds, each of which says what it saw:
//!
//! ```sh
//! SOAK_SEEDS=1..50 cargo test --release --test soak -- --ignored --nocapture
//! ```

#[path = "soak/asked.rs"]
mod asked;
#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/check.rs"]
mod check;
mod common;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/host.rs"]
mod host;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/planted.rs"]
mod planted;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "soak/world.rs"]
mod world;

use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use callers::Callers;
use callers::Record;
use check::Seen;
use plan::plan;
use plan::plan_with_needs;
use plan::plan_with_restarts;
use plan::plan_with_rollbacks;
use plan::Timed;
use rstest::rstest;
use world::Nature;
use world::World;

/// Runs of this process so far.
static RUNS: AtomicUsize = AtomicUsize::new(0);

/// Clients of a run.
const CALLERS: u64 = 24;

/// Time with faults, in milliseconds.
const LENGTH_MS: u64 = 8_000;

/// Time without, at the end: changes are in force and endpoints taken back.
const CALM: Duration = Duration::from_millis(6_000);

/// What is sent in the last part of the calm must be answered.
const LAST: Duration = Duration::from_millis(1_500);

/// Share of it that must.
const LAST_SHARE: f64 = 0.97;

/// First of the four ports that gateways listen on, each on an address of its own. Runs of several processes
/// have ports of their own.
fn first_port() -> u16 {
    const FIRST: u16 = 20_000;
    const PROCESSES: u32 = 2_500;
    FIRST + 4 * (std::process::id() % PROCESSES) as u16
}

/// Gateways listen on fixed ports, so runs take turns.
static TURN: Mutex<()> = Mutex::new(());

/// What came of a run.
struct Outcome {
    records: Vec<Record>,
    violations: Vec<String>,
    folder: PathBuf,
}

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// Anything but what stands below.
    Plain,
    /// Besides, endpoints start again under their identifiers, and others spoil their entries.
    Restarts,
    /// The same, while the store comes back from older copies.
    Rollbacks,
    /// Anything but rollbacks, while endpoints say in their answers what they need.
    Needs,
    /// The same as [`Self::Rollbacks`], while one request ends each engine that runs it and is sent again and again.
    Deadly,
}

impl Faults {
    fn plan(self, seed: u64) -> Vec<Timed> {
        match self {
            Self::Plain => plan(seed, LENGTH_MS),
            Self::Restarts => plan_with_restarts(seed, LENGTH_MS),
            Self::Needs => plan_with_needs(seed, LENGTH_MS),
            Self::Rollbacks | Self::Deadly => plan_with_rollbacks(seed, LENGTH_MS),
        }
    }

    fn nature(self) -> Nature {
        Nature {
            tells_starts: self != Self::Plain,
            is_mortal: self == Self::Deadly,
        }
    }
}

fn run(seed: u64, faults: Faults) -> Outcome {
    let turn = TURN.lock();
    // Two tests may play the same seed: the folder of one isn't to be removed under the other.
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("soak-{}-{number}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let mut world = World::start(&folder, first_port(), faults.nature());
    world.wait_for_all();
    let mut callers = Callers::start(seed, CALLERS, &world.client_addresses());
    if faults == Faults::Deadly {
        callers.add_deadly(seed, &world.client_addresses());
    }
    let start = Instant::now();
    for timed in faults.plan(seed) {
        let due = start + Duration::from_millis(timed.at_ms);
        tend_until(&mut world, due);
        world.apply(&timed.step);
    }
    world.heal_all();
    tend_until(&mut world, Instant::now() + CALM);
    let end = Instant::now();
    let records = callers.stop();
    let runs = world.runs();
    let came = world.came();
    let seen = Seen {
        history: &world.history,
        records: &records,
        came: &came,
        runs: &runs,
    };
    let mut violations = seen.violations();
    violations.extend(recovery(&records, end, world.version()));
    drop(world);
    drop(turn);
    Outcome {
        records,
        violations,
        folder,
    }
}

/// Waits, and starts engines again that were ended.
fn tend_until(world: &mut World, due: Instant) {
    const LOOK: Duration = Duration::from_millis(10);
    while Instant::now() < due {
        world.tend_crashed();
        world.write_again();
        thread::sleep(LOOK.min(due.saturating_duration_since(Instant::now())));
    }
}

/// Whether all is well again at the end.
fn recovery(records: &[Record], end: Instant, version: u64) -> Option<String> {
    let last: Vec<&Record> = records
        .iter()
        .filter(|r| r.sent > end - LAST && r.sent < end && !r.is_deadly)
        .collect();
    let is_answered = |record: &&&Record| {
        let answer = record.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
    };
    let answered = last.iter().filter(is_answered).count();
    let newest = format!("nursery-{version}");
    let is_newest = |record: &&Record| {
        let answer = record.answer.as_ref();
        answer.is_some_and(|answer| answer.body.ends_with(&newest))
    };
    let is_good = answered as f64 >= last.len() as f64 * LAST_SHARE && last.iter().any(is_newest);
    (!is_good).then(|| format!("{answered} of {} answered at the end", last.len()))
}

fn report(seed: u64, outcome: &Outcome) -> String {
    let status = |record: &Record| record.answer.as_ref().map_or(0, |answer| answer.status);
    let count = |of: &dyn Fn(&Record) -> bool| outcome.records.iter().filter(|r| of(r)).count();
    format!(
        "seed {seed}: {} requests, 200: {}, 500: {}, 502: {}, 503: {}, 504: {}, closed: {}, \
         violations: {}",
        outcome.records.len(),
        count(&|r| status(r) == 200),
        count(&|r| status(r) == 500),
        count(&|r| status(r) == 502),
        count(&|r| status(r) == 503),
        count(&|r| status(r) == 504),
        count(&|r| status(r) == 0),
        outcome.violations.len(),
    )
}

/// Tells whoever runs this by hand.
fn say(text: &str) {
    writeln!(std::io::stdout(), "{text}").expect("standard output");
}

fn hold(seed: u64, faults: Faults) {
    let outcome = run(seed, faults);
    say(&report(seed, &outcome));
    let folder = outcome.folder.display().to_string();
    assert!(
        outcome.violations.is_empty(),
        "seed {seed}, logs in {folder}:\n{}",
        outcome.violations.join("\n")
    );
    // The logs of a run that held are of no use.
    let _ = std::fs::remove_dir_all(outcome.folder);
}

#[rstest]
#[case::first(1)]
#[case::tiny_prompts_refused_beside_idle_engines(2)]
#[case::the_same_on_one_host_only(5)]
fn promises_hold_under_faults(#[case] seed: u64) {
    hold(seed, Faults::Plain);
}

#[test]
fn promises_hold_while_endpoints_start_again_under_their_identifiers() {
    hold(1, Faults::Restarts);
}

#[test]
fn promises_hold_while_the_store_comes_back_from_older_copies() {
    hold(1, Faults::Rollbacks);
}

#[test]
fn promises_hold_while_a_request_ends_each_engine_that_runs_it() {
    hold(1, Faults::Deadly);
}

#[rstest]
fn promises_hold_while_endpoints_say_what_they_need(#[values(1, 2)] seed: u64) {
    hold(seed, Faults::Needs);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_seeds_asked_for() {
    hold_asked_for(|seed| match seed % 3 {
        0 => Faults::Restarts,
        1 => Faults::Deadly,
        _ => Faults::Rollbacks,
    });
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_needs_of_the_seeds_asked_for() {
    hold_asked_for(|_| Faults::Needs);
}

/// Plays the seeds of SOAK_SEEDS, and fails at the end if one of them did.
fn hold_asked_for(faults_of: impl Fn(u64) -> Faults) {
    let asked = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..4".to_string());
    let (first, last) = asked.split_once("..").expect("FIRST..LAST");
    let first: u64 = first.parse().expect("a number");
    let last: u64 = last.parse().expect("a number");
    let mut red = Vec::new();
    for seed in first..=last {
        let outcome = run(seed, faults_of(seed));
        say(&report(seed, &outcome));
        if outcome.violations.is_empty() {
            let _ = std::fs::remove_dir_all(outcome.folder);
            continue;
        }
        for violation in outcome.violations.iter().take(5) {
            say(&format!("  {violation}"));
        }
        say(&format!("  logs: {}", outcome.folder.display()));
        red.push(seed);
    }
    assert!(red.is_empty(), "seeds with a broken promise: {red:?}");
}
