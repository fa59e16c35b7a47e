//! Preference for endpoints that have answered this process, or have none of its requests.
//!
//! Guards against a process that sends several requests to an endpoint before it can know the
//! endpoint's limit, and against one that refuses what such an endpoint could serve.

use mgs_backpressure::first_answers::Candidate;
use mgs_backpressure::first_answers::FirstAnswers;
use mgs_backpressure::table::IncarnationHash;
use rstest::rstest;

const UNKNOWN: IncarnationHash = IncarnationHash(1);
const OTHER: IncarnationHash = IncarnationHash(2);

fn candidate(incarnation: IncarnationHash) -> Candidate {
    Candidate {
        incarnation,
        has_room: true,
    }
}

fn preferred(first_answers: &FirstAnswers) -> Vec<bool> {
    first_answers.preferred(&[candidate(UNKNOWN), candidate(OTHER)])
}

#[test]
fn an_endpoint_that_has_not_answered_gets_one_request_at_a_time() {
    let mut first_answers = FirstAnswers::default();
    assert_eq!(preferred(&first_answers), [true, true]);
    first_answers.begin(UNKNOWN);
    assert_eq!(preferred(&first_answers), [false, true]);
    first_answers.end(UNKNOWN);
    assert_eq!(preferred(&first_answers), [true, true]);
}

#[test]
fn an_endpoint_that_has_answered_gets_any_number_of_requests() {
    let mut first_answers = FirstAnswers::default();
    first_answers.begin(UNKNOWN);
    first_answers.record_answer(UNKNOWN);
    first_answers.begin(UNKNOWN);
    first_answers.begin(UNKNOWN);
    assert_eq!(preferred(&first_answers), [true, true]);
    assert_eq!(first_answers.awaited_endpoints(), 0);
}

/// Guards against a request that ends after the first answer and lets another one pass as ended.
#[test]
fn requests_that_end_in_any_order_are_counted_once() {
    let mut first_answers = FirstAnswers::default();
    first_answers.begin(UNKNOWN);
    first_answers.begin(UNKNOWN);
    first_answers.end(UNKNOWN);
    assert!(first_answers.is_awaited(UNKNOWN));
    first_answers.record_answer(UNKNOWN);
    first_answers.end(UNKNOWN);
    first_answers.end(UNKNOWN);
    assert!(!first_answers.is_awaited(UNKNOWN));
}

/// Guards against refusals, and against queues at the few endpoints that have answered.
#[rstest]
#[case::the_other_is_unusable(&[candidate(UNKNOWN)], &[true])]
#[case::the_other_is_full(
    &[candidate(UNKNOWN), Candidate { has_room: false, ..candidate(OTHER) }],
    &[true, true]
)]
fn an_awaited_endpoint_is_used_if_no_other_has_room(
    #[case] candidates: &[Candidate],
    #[case] expected: &[bool],
) {
    let mut first_answers = FirstAnswers::default();
    first_answers.begin(UNKNOWN);
    assert_eq!(first_answers.preferred(candidates), expected);
}

#[test]
fn if_all_are_awaited_all_may_be_chosen() {
    let mut first_answers = FirstAnswers::default();
    first_answers.begin(UNKNOWN);
    first_answers.begin(OTHER);
    assert_eq!(preferred(&first_answers), [true, true]);
}

#[test]
fn an_endpoint_that_is_listed_again_is_unknown_again() {
    let mut first_answers = FirstAnswers::default();
    first_answers.record_answer(UNKNOWN);
    first_answers.retain_listed(|incarnation| incarnation == OTHER);
    first_answers.begin(UNKNOWN);
    assert_eq!(preferred(&first_answers), [false, true]);
}
