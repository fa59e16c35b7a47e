//! Scheduling: which requests start, wait or are refused early.

use mgs_ledger::action::Action;
use mgs_ledger::execution::StreamState;
use mgs_ledger::job::Job;
use mgs_ledger::job::OrganisationKey;
use mgs_ledger::job::Sender;
use mgs_ledger::ledger::DispatchResult;
use mgs_ledger::ledger::Ledger;
use mgs_ledger::ledger::Options;
use mgs_ledger::rate;
use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;
use rstest::rstest;

const SIDECAR: u64 = 9;
const CAPACITY_TOKENS: u64 = 10_000;

fn id(serial: u64) -> RequestId {
    RequestId { origin: 1, serial }
}

fn job(serial: u64, prompt_tokens: u64) -> Job {
    Job {
        id: id(serial),
        attempt: 1,
        sender: Sender {
            gateway: 1,
            session: 1,
            connection: 1,
        },
        sidecar_incarnation: SIDECAR,
        organisation: OrganisationKey(1),
        weight: 1,
        priority: 1,
        prompt_tokens,
        cached_tokens: 0,
        max_tokens: 0,
        budget_ms: 1_000_000,
        orphan_ms: 0,
        idempotent: false,
        span: 0,
        unloading: false,
    }
}

fn ledger(options: Options) -> Ledger {
    let mut ledger = Ledger::new(SIDECAR, options);
    ledger.engine_up(0, 1, CAPACITY_TOKENS, 64);
    ledger
}

/// Serials of the requests in the pending start actions.
fn started(ledger: &mut Ledger) -> Vec<u64> {
    let serial = |action| match action {
        Action::Start(id) => Some(id.serial),
        _ => None,
    };
    ledger
        .take_actions()
        .into_iter()
        .filter_map(serial)
        .collect()
}

#[test]
fn a_short_prompt_bypasses_long_ones_over_the_limit() {
    let mut ledger = ledger(Options {
        long_prompt_tokens: 1_000,
        long_prefill_max_tokens: 2_500,
        ..Options::default()
    });
    for (serial, tokens) in [(1, 2_000), (2, 2_000), (3, 100), (4, 400)] {
        ledger.dispatch(0, &job(serial, tokens));
    }
    assert_eq!(started(&mut ledger), [1, 3, 4]);
    // The prefill of the first long prompt ends, and the next long prompt starts.
    ledger.started(5, id(1));
    ledger.first_token(10, id(1));
    assert_eq!(started(&mut ledger), [2]);
}

#[test]
fn one_long_prompt_over_the_limit_runs_alone() {
    let mut ledger = ledger(Options {
        long_prompt_tokens: 1_000,
        long_prefill_max_tokens: 500,
        ..Options::default()
    });
    ledger.dispatch(0, &job(1, 5_000));
    assert_eq!(started(&mut ledger), [1]);
}

#[test]
fn a_request_that_does_not_fit_is_bypassed_a_bounded_number_of_times() {
    let mut ledger = ledger(Options {
        bypass_max: 2,
        ..Options::default()
    });
    ledger.dispatch(0, &job(1, 6_000));
    ledger.dispatch(0, &job(2, 6_000));
    for serial in 3..8 {
        ledger.dispatch(0, &job(serial, 100));
    }
    assert_eq!(started(&mut ledger), [1, 3, 4]);
    ledger.ended(10, id(1), StreamState::Released, 0, 0);
    assert_eq!(started(&mut ledger), [2, 5, 6, 7]);
}

#[rstest]
#[case::too_long(job(100, 20_000), RefusalReason::PromptExceedsMemory)]
#[case::too_late(Job { budget_ms: 10, ..job(100, 5_000) }, RefusalReason::Deadline)]
#[case::too_many(job(100, 10), RefusalReason::Busy)]
fn an_early_refusal_gives_its_reason(#[case] late: Job, #[case] wanted: RefusalReason) {
    let mut ledger = ledger(Options {
        running_max: 1,
        waiting_max: 1,
        rates: rate::Options {
            prefill_tokens_per_s: 1_000,
            ..rate::Options::default()
        },
        ..Options::default()
    });
    ledger.dispatch(0, &job(1, 1_000));
    if wanted == RefusalReason::Busy {
        ledger.dispatch(0, &job(2, 1_000));
    }
    let DispatchResult::Refused {
        reason,
        retry_after_ms,
    } = ledger.dispatch(0, &late)
    else {
        panic!("not refused");
    };
    assert_eq!(reason, wanted);
    let can_retry = wanted != RefusalReason::PromptExceedsMemory;
    assert_eq!(retry_after_ms > 0, can_retry);
    // An early refusal leaves no record, so the same request may be dispatched again.
    assert_eq!(ledger.final_state(late.id), None);
}

#[test]
fn measured_prefill_rate_is_used_in_predictions() {
    let mut ledger = ledger(Options::default());
    let before_ms = ledger.first_token_ms(0, &job(9, 5_000));
    ledger.dispatch(0, &job(1, 5_000));
    ledger.started(0, id(1));
    ledger.first_token(50_000, id(1));
    let after_ms = ledger.first_token_ms(50_000, &job(9, 5_000));
    assert_eq!((before_ms, after_ms), (250, 50_000));
}

#[test]
fn cached_tokens_are_excluded_from_predictions() {
    let ledger = ledger(Options::default());
    let cached = Job {
        cached_tokens: 4_000,
        ..job(9, 5_000)
    };
    assert_eq!(ledger.first_token_ms(0, &cached), 50);
}

#[test]
fn retained_answers_are_bounded_in_bytes() {
    let mut ledger = ledger(Options {
        answers_max_bytes: 100,
        ..Options::default()
    });
    for serial in 1..=3 {
        ledger.dispatch(0, &job(serial, 10));
        ledger.ended(1, id(serial), StreamState::Released, 60, 1);
    }
    let dropped = ledger
        .take_actions()
        .into_iter()
        .filter(|action| matches!(action, Action::DropAnswer(_)));
    let dropped: Vec<Action> = dropped.collect();
    assert_eq!(
        dropped,
        [Action::DropAnswer(id(1)), Action::DropAnswer(id(2))]
    );
}
