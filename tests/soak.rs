//! Soak test of `marigoldstage relay`: runs real processes, injects faults from outside, and checks the promises over
//! what clients and endpoints observe.
//!
//! A few seeds run with the other tests. Any others can be run by hand; each prints a line of counts:
//!
//! ```sh
//! SOAK_SEEDS=1..50 cargo test --release --test soak -- --ignored --nocapture
//! ```

#[path = "soak/backpressure.rs"]
mod backpressure;
#[path = "soak/check.rs"]
mod check;
#[path = "soak/check_tests.rs"]
mod check_tests;
#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/cold.rs"]
mod cold;
mod common;
#[path = "soak/endpoint_traits.rs"]
mod endpoint_traits;
#[path = "soak/environment.rs"]
mod environment;
#[path = "soak/evacuation.rs"]
mod evacuation;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/host.rs"]
mod host;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/retries.rs"]
mod retries;
#[path = "soak/shares.rs"]
mod shares;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use check::Observations;
use check::PART_CRASHES_MAX;
use check::REQUEST_CRASHES_MAX;
use clients::Clients;
use clients::CrashCause;
use clients::Record;
use endpoint_traits::EndpointTraits;
use environment::Environment;
use plan::plan;
use plan::plan_with_backpressure;
use plan::plan_with_cold_starts;
use plan::plan_with_evacuations;
use plan::plan_with_kills_under_refusals;
use plan::plan_with_restarts;
use plan::plan_with_rollbacks;
use plan::plan_with_surges;
use plan::TimedStep;
use rstest::rstest;

/// Number of runs of this process so far.
static RUN_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Number of clients of a run.
const CLIENTS: u64 = 24;

/// Number of clients of a run with few requests.
const FEW_CLIENTS: u64 = 5;

/// Time in which faults are injected, in milliseconds.
const FAULT_PERIOD_MS: u64 = 8_000;

/// The same where zones are evacuated, each for up to 9.5 s.
const EVACUATION_FAULT_PERIOD_MS: u64 = 16_000;

/// The same where endpoints are cold after their start. Gateways may send to them 17 s after their own.
const COLD_FAULT_PERIOD_MS: u64 = 26_000;
const COLD_ENTITLED_MS: u64 = 17_000;

/// The same where an organisation surges, and the time in which its usual load becomes known.
const SURGE_FAULT_PERIOD_MS: u64 = 19_000;
const SURGE_LEARN_MS: u64 = 12_500;

/// Time without faults at the end of a run, in which changes come into force and endpoints into use again.
const RECOVERY_PERIOD: Duration = Duration::from_millis(6_000);

/// Last part of the recovery period; requests sent in it must be answered.
const FINAL_WINDOW: Duration = Duration::from_millis(1_500);

/// Share of these requests that must be answered.
const FINAL_ANSWERED_SHARE: f64 = 0.97;

/// First of the four ports that gateways listen on, each on an IP address of its own. It depends on the PID, so that test
/// processes can run at the same time.
fn first_port() -> u16 {
    const FIRST: u16 = 20_000;
    const PROCESSES: u32 = 2_500;
    FIRST + 4 * (std::process::id() % PROCESSES) as u16
}

/// Serialises the runs of this process, since gateways listen on fixed ports.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// Result of a run.
struct Outcome {
    records: Vec<Record>,
    violations: Vec<String>,
    /// Requests that arrived at cold endpoints.
    cold_arrivals: usize,
    folder: PathBuf,
}

/// Which faults a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// The faults of [`plan`].
    Plain,
    /// The faults of [`plan`]; besides, endpoints restart under the same identifier, and other writers corrupt their rows.
    Restarts,
    /// The same as [`Self::Restarts`], while the store is restored from older copies.
    Rollbacks,
    /// The same as [`Self::Restarts`], while endpoints announce limits, draining and back-off in response headers.
    Backpressure,
    /// Zones are evacuated and restored, among a few faults, restarts and restores of the store.
    Evacuations,
    /// The same as [`Self::Rollbacks`], while a request that crashes each engine that runs it is sent again and again.
    CrashingRequest,
    /// The same as [`Self::Rollbacks`], while requests that are never alike crash engines by one part of their prompts.
    CrashingPart,
    /// Endpoints are cold after each start and tolerate few requests then, among a few faults.
    ColdStarts,
    /// One of several organisations sends far more than usual while engines don't answer, among a few faults of the store.
    Surges,
    /// All gateways are killed in series while most endpoints refuse requests.
    KillsUnderRefusals,
}

impl Scenario {
    fn plan(self, seed: u64) -> Vec<TimedStep> {
        match self {
            Self::Plain => plan(seed, FAULT_PERIOD_MS),
            Self::Restarts => plan_with_restarts(seed, FAULT_PERIOD_MS),
            Self::Backpressure => plan_with_backpressure(seed, FAULT_PERIOD_MS),
            Self::Rollbacks | Self::CrashingRequest | Self::CrashingPart => {
                plan_with_rollbacks(seed, FAULT_PERIOD_MS)
            }
            Self::KillsUnderRefusals => plan_with_kills_under_refusals(seed, FAULT_PERIOD_MS),
            Self::Evacuations => plan_with_evacuations(seed, EVACUATION_FAULT_PERIOD_MS),
            Self::ColdStarts => plan_with_cold_starts(seed, COLD_ENTITLED_MS, COLD_FAULT_PERIOD_MS),
            Self::Surges => plan_with_surges(seed, SURGE_LEARN_MS, SURGE_FAULT_PERIOD_MS),
        }
    }

    fn endpoint_traits(self) -> EndpointTraits {
        EndpointTraits {
            reports_start_time: self != Self::Plain,
            has_two_zones: self == Self::Evacuations,
            can_crash: self.crash_cause().is_some(),
            are_cold_after_start: self == Self::ColdStarts,
            have_shares: self == Self::Surges,
        }
    }

    fn crash_cause(self) -> Option<CrashCause> {
        match self {
            Self::CrashingRequest => Some(CrashCause::Body),
            Self::CrashingPart => Some(CrashCause::PromptPart),
            _ => None,
        }
    }

    /// Engines that may be crashed by requests.
    fn crashes_max(self) -> usize {
        match self {
            Self::CrashingPart => PART_CRASHES_MAX,
            _ => REQUEST_CRASHES_MAX,
        }
    }

    /// Number of clients that send sound requests. Where retries are scarce, few requests earn few of them.
    fn clients(self) -> u64 {
        match self {
            Self::KillsUnderRefusals | Self::Surges => FEW_CLIENTS,
            _ => CLIENTS,
        }
    }
}

/// Runs the plan of a seed, lets the environment recover, and checks the promises.
fn run(seed: u64, scenario: Scenario) -> Outcome {
    let run_lock = RUN_LOCK.lock();
    // Two tests may run the same seed; a folder of its own keeps one from removing the other's files.
    let number = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    let folder_name = format!("soak-{}-{number}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(folder_name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let mut environment = Environment::start(&folder, first_port(), scenario.endpoint_traits());
    environment.wait_for_gateways();
    let addresses = environment.client_addresses();
    let mut clients = Clients::start(seed, scenario.clients(), &addresses);
    if let Some(cause) = scenario.crash_cause() {
        clients.add_crashing_client(seed, cause, &addresses);
    }
    if scenario == Scenario::Surges {
        clients.add_organisations(seed, &environment.is_surging, &addresses);
    }
    let start = Instant::now();
    for timed_step in scenario.plan(seed) {
        let due = start + Duration::from_millis(timed_step.at_ms);
        supervise_until(&mut environment, due);
        environment.apply(&timed_step.step);
    }
    environment.repair_all();
    supervise_until(&mut environment, Instant::now() + RECOVERY_PERIOD);
    let end = Instant::now();
    let records = clients.stop();
    let runs = environment.runs();
    let arrivals = environment.arrivals();
    let observations = Observations {
        history: &environment.history,
        records: &records,
        arrivals: &arrivals,
        runs: &runs,
        crashes_max: scenario.crashes_max(),
    };
    let mut violations = observations.violations();
    violations.extend(check_recovery(
        &records,
        end,
        environment.configuration_version(),
    ));
    drop(environment);
    drop(run_lock);
    Outcome {
        records,
        violations,
        cold_arrivals: arrivals.iter().filter(|a| a.request.is_cold).count(),
        folder,
    }
}

/// Waits until `due`; meanwhile replaces crashed engines and repeats writes that the store has lost.
fn supervise_until(environment: &mut Environment, due: Instant) {
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    while Instant::now() < due {
        environment.replace_crashed_engines();
        environment.rewrite_lost_writes();
        thread::sleep(POLL_INTERVAL.min(due.saturating_duration_since(Instant::now())));
    }
}

/// Checks that requests are answered again at the end of a run; describes the violation if they aren't.
fn check_recovery(records: &[Record], end: Instant, configuration_version: u64) -> Option<String> {
    let recent: Vec<&Record> = records
        .iter()
        .filter(|r| r.sent_at > end - FINAL_WINDOW && r.sent_at < end && !r.crashes_engine)
        .collect();
    let is_answered = |record: &&&Record| {
        let response = record.response.as_ref();
        response.is_some_and(|response| response.status == 200 && response.is_complete)
    };
    let answered = recent.iter().filter(is_answered).count();
    let newest = format!("nursery-{configuration_version}");
    let is_newest = |record: &&Record| {
        let response = record.response.as_ref();
        response.is_some_and(|response| response.body.ends_with(&newest))
    };
    let has_recovered = answered as f64 >= recent.len() as f64 * FINAL_ANSWERED_SHARE
        && recent.iter().any(is_newest);
    (!has_recovered).then(|| format!("{answered} of {} answered at the end", recent.len()))
}

/// The line of counts of a run: requests by status, and violations.
fn summary(seed: u64, outcome: &Outcome) -> String {
    let status = |record: &Record| {
        record
            .response
            .as_ref()
            .map_or(0, |response| response.status)
    };
    let count = |of: &dyn Fn(&Record) -> bool| outcome.records.iter().filter(|r| of(r)).count();
    format!(
        "seed {seed}: {} requests, 200: {}, 500: {}, 502: {}, 503: {} ({} over share), 504: {}, closed: {}, cold: {}, \
         violations: {}",
        outcome.records.len(),
        count(&|r| status(r) == 200),
        count(&|r| status(r) == 500),
        count(&|r| status(r) == 502),
        count(&|r| status(r) == 503),
        count(&shares::is_over_share),
        count(&|r| status(r) == 504),
        count(&|r| status(r) == 0),
        outcome.cold_arrivals,
        outcome.violations.len(),
    )
}

/// Prints a line for whoever runs the test by hand.
fn print_line(text: &str) {
    writeln!(std::io::stdout(), "{text}").expect("standard output");
}

/// Runs a seed, and fails with the violations if there are any.
fn check_seed(seed: u64, scenario: Scenario) {
    let outcome = run(seed, scenario);
    print_line(&summary(seed, &outcome));
    let folder = outcome.folder.display().to_string();
    assert!(
        outcome.violations.is_empty(),
        "seed {seed}, logs in {folder}:\n{}",
        outcome.violations.join("\n")
    );
    // The logs are only needed after a failure.
    let _ = std::fs::remove_dir_all(outcome.folder);
}

#[rstest]
#[case::first(1)]
#[case::tiny_prompts_refused_beside_idle_engines(2)]
#[case::the_same_on_one_host_only(5)]
fn promises_hold_under_faults(#[case] seed: u64) {
    check_seed(seed, Scenario::Plain);
}

#[test]
fn promises_hold_while_endpoints_restart_under_the_same_identifier() {
    check_seed(1, Scenario::Restarts);
}

#[test]
fn promises_hold_while_the_store_is_restored_from_older_copies() {
    check_seed(1, Scenario::Rollbacks);
}

#[rstest]
fn promises_hold_while_zones_are_evacuated_and_restored(#[values(1, 2)] seed: u64) {
    check_seed(seed, Scenario::Evacuations);
}

#[test]
fn promises_hold_while_cold_endpoints_tolerate_few_requests() {
    check_seed(1, Scenario::ColdStarts);
}

#[test]
fn promises_hold_while_one_organisation_surges() {
    check_seed(1, Scenario::Surges);
}

#[test]
fn promises_hold_while_a_request_crashes_each_engine_that_runs_it() {
    check_seed(1, Scenario::CrashingRequest);
}

#[rstest]
#[case::first(1)]
#[case::engines_sooner_than_predicted(16)]
fn promises_hold_while_a_part_of_prompts_crashes_each_engine_that_writes_on_it(#[case] seed: u64) {
    check_seed(seed, Scenario::CrashingPart);
}

#[test]
fn promises_hold_while_gateways_are_killed_in_series_and_retries_are_scarce() {
    check_seed(1, Scenario::KillsUnderRefusals);
}

#[rstest]
fn promises_hold_while_endpoints_announce_limits_and_draining(#[values(1, 2)] seed: u64) {
    check_seed(seed, Scenario::Backpressure);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_seeds_asked_for() {
    check_requested_seeds(|seed| match seed % 3 {
        0 => Scenario::Restarts,
        1 => Scenario::CrashingRequest,
        _ => Scenario::Rollbacks,
    });
}

/// The needs of an endpoint are the limits, draining and back-off that it announces.
#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_needs_of_the_seeds_asked_for() {
    check_requested_seeds(|_| Scenario::Backpressure);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_evacuations_of_the_seeds_asked_for() {
    check_requested_seeds(|_| Scenario::Evacuations);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_cold_starts_of_the_seeds_asked_for() {
    check_requested_seeds(|_| Scenario::ColdStarts);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_the_surges_of_the_seeds_asked_for() {
    check_requested_seeds(|_| Scenario::Surges);
}

#[test]
#[ignore = "by hand, for the seeds of SOAK_SEEDS"]
fn promises_hold_for_crashing_parts_and_kills_of_the_seeds_asked_for() {
    check_requested_seeds(|seed| match seed % 2 {
        0 => Scenario::CrashingPart,
        _ => Scenario::KillsUnderRefusals,
    });
}

/// Runs the seeds of SOAK_SEEDS, given as `FIRST..LAST` with both included, and fails at the end if one of them did.
fn check_requested_seeds(scenario_of: impl Fn(u64) -> Scenario) {
    let requested = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..4".to_string());
    let (first_seed, last_seed) = requested.split_once("..").expect("FIRST..LAST");
    let first_seed: u64 = first_seed.parse().expect("a number");
    let last_seed: u64 = last_seed.parse().expect("a number");
    let mut failing = Vec::new();
    for seed in first_seed..=last_seed {
        let outcome = run(seed, scenario_of(seed));
        print_line(&summary(seed, &outcome));
        if outcome.violations.is_empty() {
            let _ = std::fs::remove_dir_all(outcome.folder);
            continue;
        }
        for violation in outcome.violations.iter().take(5) {
            print_line(&format!("  {violation}"));
        }
        print_line(&format!("  logs: {}", outcome.folder.display()));
        failing.push(seed);
    }
    assert!(
        failing.is_empty(),
        "seeds with a broken promise: {failing:?}"
    );
}
