//! Each check over a clean history and over the same history with one thing wrong.

use rstest::rstest;

use mgs_testing::check;
use mgs_testing::check::Finding;
use mgs_testing::check::Invariant;
use mgs_testing::check::Limits;
use mgs_testing::history::Call;
use mgs_testing::history::Ending;
use mgs_testing::history::Entry;
use mgs_testing::history::Event;
use mgs_testing::history::NotRun;
use mgs_testing::history::Phase;
use mgs_testing::history::Request;
use mgs_testing::history::PLATFORM;

const ALLOTTED_MS: u64 = 5_000;

fn at(at_ms: u64, event: Event) -> Entry {
    Entry { at_ms, event }
}

fn sent(call: u32, request: u32, idempotent: bool) -> Event {
    Event::Sent {
        call: Call(call),
        request: Request(request),
        gateway: "gateway-1".to_string(),
        idempotent,
        allotted_ms: ALLOTTED_MS,
        expected: format!("answer {request} whole"),
    }
}

fn ended(call: u32, ending: Ending) -> Event {
    Event::Ended {
        call: Call(call),
        ending,
    }
}

fn answered(call: u32, text: &str) -> Event {
    let text = text.to_string();
    ended(call, Ending::Answered { text })
}

fn error(call: u32, not_run: NotRun) -> Event {
    let ending = Ending::Error {
        not_run,
        reason: "leaving".to_string(),
        partial: String::new(),
    };
    ended(call, ending)
}

fn key_in_use(call: u32) -> Event {
    let ending = Ending::Error {
        not_run: NotRun::True,
        reason: "key_conflict".to_string(),
        partial: String::new(),
    };
    ended(call, ending)
}

fn broken(call: u32) -> Event {
    let partial = "answer".to_string();
    ended(call, Ending::Broken { partial })
}

fn started(execution: u32, request: u32) -> Event {
    Event::Started {
        execution,
        request: Request(request),
        endpoint: "endpoint-1".to_string(),
    }
}

fn finished(execution: u32) -> Event {
    Event::Finished {
        execution,
        whole: true,
    }
}

fn memory(phase: Phase, used_tokens: u64) -> Event {
    Event::Memory {
        endpoint: "endpoint-1".to_string(),
        phase,
        used_tokens,
    }
}

fn leaving() -> Event {
    let endpoint = "endpoint-1".to_string();
    Event::Leaving { endpoint }
}

fn returned() -> Event {
    let endpoint = "endpoint-1".to_string();
    Event::Returned { endpoint }
}

fn stop_asked(place: &str, endpoint: Option<&str>) -> Event {
    Event::StopAsked {
        place: place.to_string(),
        endpoint: endpoint.map(str::to_string),
    }
}

fn fault(place: &str, begun: bool) -> Event {
    let place = place.to_string();
    let kind = "pause".to_string();
    if begun {
        Event::FaultBegun { place, kind }
    } else {
        Event::FaultEnded { place, kind }
    }
}

fn in_force(process: &str, version: u64) -> Event {
    let process = process.to_string();
    Event::InForce { process, version }
}

fn obeyed(fencing: u64) -> Event {
    let endpoint = "endpoint-1".to_string();
    Event::Obeyed { endpoint, fencing }
}

fn lease(fencing: u64, holder: &str) -> Event {
    let holder = holder.to_string();
    Event::LeaseTaken { fencing, holder }
}

/// A run in which all is well: an answer, a refusal that is sent again, a keyed request sent
/// twice, an endpoint that leaves and returns, a graceful stop, an edit, orders of two holders.
fn clean() -> Vec<Entry> {
    vec![
        at(0, memory(Phase::Begin, 0)),
        at(10, in_force("gateway-1#1", 1)),
        at(20, lease(1, "gateway-1#1")),
        at(30, obeyed(1)),
        at(100, sent(1, 1, false)),
        at(110, started(1, 1)),
        at(120, stop_asked("gateway-1", None)),
        at(125, stop_asked("sidecar-1", Some("endpoint-1"))),
        at(200, finished(1)),
        at(210, answered(1, "answer 1 whole")),
        at(300, sent(2, 2, false)),
        at(310, error(2, NotRun::True)),
        at(320, sent(3, 2, false)),
        at(330, started(2, 2)),
        at(340, finished(2)),
        at(350, answered(3, "answer 2 whole")),
        at(400, sent(4, 3, true)),
        at(410, started(3, 3)),
        at(420, started(4, 3)),
        at(430, answered(4, "answer 3 whole")),
        at(500, leaving()),
        at(600, sent(5, 4, false)),
        at(610, error(5, NotRun::Unknown)),
        at(700, Event::Accepted { version: 2 }),
        at(750, in_force("gateway-1#1", 1)),
        at(900, in_force("gateway-1#1", 2)),
        at(1_000, lease(2, "gateway-2#1")),
        at(1_010, obeyed(2)),
        at(9_000, returned()),
        at(20_000, memory(Phase::End, 0)),
        at(20_000, in_force("gateway-1#1", 2)),
    ]
}

fn with(extra: Vec<Entry>) -> Vec<Entry> {
    let mut entries = clean();
    entries.extend(extra);
    entries.sort_by_key(|entry| entry.at_ms);
    entries
}

fn violated(entries: &[Entry]) -> Vec<Invariant> {
    let findings = check::all(entries, &Limits::default());
    let violated = findings.into_iter().filter(|f| !f.violations.is_empty());
    violated.map(|finding| finding.invariant).collect()
}

fn finding(entries: &[Entry], invariant: Invariant) -> Finding {
    let findings = check::all(entries, &Limits::default());
    let mut found = findings.into_iter().filter(|f| f.invariant == invariant);
    found.next().unwrap()
}

#[test]
fn clean_history_has_no_violation_and_judges_every_invariant() {
    let findings = check::all(&clean(), &Limits::default());
    for finding in &findings {
        assert_eq!(finding.violations, vec![], "{:?}", finding.invariant);
        assert!(finding.checked > 0, "{:?}", finding.invariant);
    }
    assert_eq!(findings.len(), 9);
}

#[rstest]
#[case::never_ended(vec![at(2_000, sent(9, 9, true))], Invariant::InTime)]
#[case::silent(vec![at(2_000, sent(9, 9, true)), at(9_900, ended(9, Ending::Silent))], Invariant::InTime)]
#[case::broken(vec![at(2_000, sent(9, 9, true)), at(2_100, broken(9))], Invariant::InTime)]
#[case::late(vec![at(2_000, sent(9, 9, true)), at(9_001, error(9, NotRun::False))], Invariant::InTime)]
#[case::kept_and_lost(
    vec![
        at(2_000, sent(9, 9, true)),
        at(2_010, Event::Kept { call: Call(9) }),
        at(2_020, fault("gateway-1", true)),
        at(9_900, ended(9, Ending::Silent)),
    ],
    Invariant::InTime
)]
#[case::kept_and_late(
    vec![
        at(2_000, sent(9, 9, true)),
        at(3_000, Event::Kept { call: Call(9) }),
        at(10_001, error(9, NotRun::False)),
    ],
    Invariant::InTime
)]
#[case::memory_held(vec![at(20_001, memory(Phase::End, 7))], Invariant::Memory)]
#[case::truncated(
    vec![
        at(2_000, sent(9, 9, true)),
        at(2_020, started(8, 9)),
        at(2_100, answered(9, "answer 9")),
    ],
    Invariant::WholeAnswer
)]
#[case::of_another(
    vec![
        at(2_000, sent(9, 9, true)),
        at(2_020, started(8, 9)),
        at(2_100, answered(9, "answer 1 whole")),
    ],
    Invariant::WholeAnswer
)]
#[case::never_run(
    vec![at(2_000, sent(9, 9, true)), at(2_100, answered(9, "answer 9 whole"))],
    Invariant::WholeAnswer
)]
#[case::refused_before_it_ran(
    vec![
        at(9_000, sent(9, 9, true)),
        at(9_100, error(9, NotRun::True)),
        at(9_200, started(9, 9)),
    ],
    Invariant::NotRun
)]
#[case::refused_after_it_ran(
    vec![
        at(9_000, sent(9, 9, true)),
        at(9_010, started(9, 9)),
        at(9_100, error(9, NotRun::True)),
    ],
    Invariant::NotRun
)]
#[case::refused_by_its_key_while_it_runs(
    vec![
        at(9_000, sent(9, 9, false)),
        at(9_010, started(9, 9)),
        at(9_020, error(9, NotRun::Unknown)),
        at(9_030, sent(10, 9, false)),
        at(9_040, key_in_use(10)),
    ],
    Invariant::NotRun
)]
#[case::twice(
    vec![
        at(9_000, sent(9, 9, false)),
        at(9_010, started(9, 9)),
        at(9_020, started(10, 9)),
        at(9_100, error(9, NotRun::Unknown)),
    ],
    Invariant::AtMostOnce
)]
#[case::twice_over_two_calls(
    vec![
        at(9_000, sent(9, 9, false)),
        at(9_010, started(9, 9)),
        at(9_020, error(9, NotRun::Unknown)),
        at(9_100, sent(10, 9, false)),
        at(9_110, started(10, 9)),
        at(9_200, answered(10, "answer 9 whole")),
    ],
    Invariant::AtMostOnce
)]
#[case::new_work(
    vec![
        at(4_000, sent(9, 9, true)),
        at(4_010, started(9, 9)),
        at(4_100, answered(9, "answer 9 whole")),
    ],
    Invariant::Leaving
)]
#[case::cut_off_by_gateway(
    vec![
        at(9_000, sent(9, 9, true)),
        at(9_010, stop_asked("gateway-1", None)),
        at(9_100, error(9, NotRun::False)),
    ],
    Invariant::Graceful
)]
#[case::cut_off_by_sidecar(
    vec![
        at(9_000, sent(9, 9, true)),
        at(9_010, started(9, 9)),
        at(9_020, stop_asked("sidecar-1", Some("endpoint-1"))),
        at(9_100, error(9, NotRun::Unknown)),
    ],
    Invariant::Graceful
)]
#[case::reverted(vec![at(950, in_force("gateway-1#1", 1))], Invariant::InForce)]
#[case::not_in_force(vec![at(12_701, in_force("sidecar-1#1", 1))], Invariant::InForce)]
#[case::old_order(vec![at(1_020, obeyed(1))], Invariant::Orders)]
#[case::two_holders(vec![at(1_020, lease(2, "gateway-3#1"))], Invariant::Orders)]
fn planted_violation_is_caught(#[case] extra: Vec<Entry>, #[case] invariant: Invariant) {
    assert_eq!(violated(&with(extra)), vec![invariant]);
}

/// What the checks must not hold against the system.
#[rstest]
#[case::broken_with_its_gateway(vec![
    at(2_000, sent(9, 9, true)),
    at(2_010, fault("gateway-1", true)),
    at(2_020, broken(9)),
    at(2_030, fault("gateway-1", false)),
])]
#[case::kept_through_an_outage(vec![
    at(2_000, sent(9, 9, true)),
    at(2_005, Event::Kept { call: Call(9) }),
    at(2_010, fault(PLATFORM, true)),
    at(7_000, fault(PLATFORM, false)),
    at(13_000, error(9, NotRun::False)),
])]
#[case::promised_late_by_a_paused_gateway(vec![
    at(2_000, sent(9, 9, true)),
    at(9_000, Event::Kept { call: Call(9) }),
    at(9_100, error(9, NotRun::False)),
])]
#[case::version_during_an_outage(vec![
    at(800, fault(PLATFORM, true)),
    at(12_800, in_force("sidecar-1#1", 1)),
    at(15_000, fault(PLATFORM, false)),
    at(26_000, in_force("sidecar-1#1", 1)),
])]
#[case::version_of_a_new_process(vec![
    at(12_000, Event::ProcessStarted { process: "sidecar-1#2".to_string() }),
    at(12_800, in_force("sidecar-1#2", 0)),
])]
#[case::work_accepted_just_after_leaving(vec![
    at(600, sent(9, 9, true)),
    at(610, started(9, 9)),
    at(620, answered(9, "answer 9 whole")),
])]
#[case::queued_at_a_graceful_stop(vec![
    at(9_000, sent(9, 9, false)),
    at(9_010, stop_asked("gateway-1", None)),
    at(9_020, error(9, NotRun::True)),
])]
fn excused(#[case] extra: Vec<Entry>) {
    assert_eq!(violated(&with(extra)), vec![]);
}

/// The limit starts anew at the end of an outage, but it does end.
#[test]
fn outage_excuses_no_longer_than_the_limit() {
    let entries = with(vec![
        at(800, fault(PLATFORM, true)),
        at(15_000, fault(PLATFORM, false)),
        at(27_001, in_force("sidecar-1#1", 1)),
    ]);
    let found = finding(&entries, Invariant::InForce);
    assert_eq!(found.violations.len(), 1);
    assert_eq!(found.violations[0].at_ms, 27_001);
}
