//! Property tests: long random histories of several requests.

mod model;

use mgs_ledger::execution::NotStarted;
use mgs_ledger::fault::InjectedFault;
use model::Event;
use model::Model;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const REQUESTS: u64 = 6;
const EVENTS_MAX: usize = 80;
const CASES: u32 = 400;

fn event() -> impl Strategy<Value = Event> {
    let request = 1..=REQUESTS;
    prop_oneof![
        6 => (request.clone(), 1..=2u64).prop_map(|(n, s)| Event::Dispatch(n, s)),
        2 => request.clone().prop_map(Event::Withdraw),
        1 => request.clone().prop_map(Event::Cancel),
        1 => Just(Event::NewSession),
        1 => Just(Event::GatewayLost),
        6 => request.clone().prop_map(Event::Started),
        1 => request.clone().prop_map(|n| Event::NotStarted(n, NotStarted::Full)),
        1 => request.clone().prop_map(|n| Event::NotStarted(n, NotStarted::Rejected)),
        2 => (request.clone(), any::<bool>()).prop_map(|(n, e)| Event::StartConnectionLost(n, e)),
        1 => request.clone().prop_map(Event::LateStart),
        1 => request.clone().prop_map(Event::StreamAbandoned),
        4 => request.clone().prop_map(Event::Finished),
        2 => Just(Event::Reserve),
        2 => Just(Event::Export),
        2 => any::<bool>().prop_map(Event::ExportEnds),
        1 => Just(Event::LateExport),
        1 => request.prop_map(Event::Import),
        1 => Just(Event::Release),
        3 => Just(Event::CancelsArrive),
        2 => Just(Event::Reconcile),
        1 => Just(Event::EngineRestart),
        1 => Just(Event::Leave),
        2 => Just(Event::WaitLease),
        1 => Just(Event::WaitDeadline),
    ]
}

fn run(injected_fault: InjectedFault, events: &[Event]) -> Result<(), String> {
    let mut model = Model::new(injected_fault);
    for event in events {
        if model.can(*event) {
            model.step(*event)?;
        }
    }
    model.settle()
}

/// Searches random histories; the error describes a minimised history that violates an invariant.
fn search(injected_fault: InjectedFault) -> Result<(), String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let histories = prop::collection::vec(event(), 1..EVENTS_MAX);
    let result = runner.run(&histories, |events| {
        run(injected_fault, &events).map_err(proptest::test_runner::TestCaseError::fail)
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn random_histories_keep_every_invariant() {
    search(InjectedFault::None).unwrap();
}

#[test]
fn random_histories_find_injected_faults() {
    search(InjectedFault::DroppedTombstone).unwrap_err();
    search(InjectedFault::ForgottenCancel).unwrap_err();
}
