//! Each check finds the violation that it is for.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::asked::Came;
use crate::callers::Kind;
use crate::callers::Record;
use crate::check::Seen;
use crate::history::Crash;
use crate::history::History;
use crate::history::Leave;
use crate::history::Life;
use crate::standin::client::Response;
use crate::standin::endpoint::Arrival;
use crate::standin::endpoint::Run;
use crate::standin::Message;

fn answer(id: &str, status: u16, text: &str) -> Response {
    let field = |name: &str, value: &str| (name.to_string(), value.to_string());
    Response {
        status,
        head: Message {
            headers: vec![field("request-id", id), field("server-stamp", "3e1b")],
            ..Message::default()
        },
        body: text.to_string(),
        is_complete: true,
    }
}

/// A good request, sent `at_ms` after `start`.
fn good(start: Instant, at_ms: u64, version: u64) -> Record {
    let sent = start + Duration::from_millis(at_ms);
    Record {
        id: "r".to_string(),
        kind: Kind::Once,
        gateway: 0,
        is_kept: false,
        is_deadly: false,
        sent,
        ended: sent + Duration::from_millis(20),
        answer: Some(answer("r", 200, &format!("r nursery-{version}"))),
    }
}

fn run(id: &str, at: Instant) -> (String, Run) {
    let request_id = id.to_string();
    ("i-1".to_string(), Run { request_id, at })
}

fn violations(history: &History, records: &[Record], runs: &[(String, Run)]) -> Vec<String> {
    let seen = Seen {
        history,
        records,
        runs,
        came: &[],
    };
    seen.violations()
}

/// What the client of a held request is told.
const HELD: &str = "{\"error\":\"quarantined\"}";

#[test]
fn nothing_is_found_where_all_is_well() {
    let start = Instant::now();
    let history = History {
        versions: vec![(1, start)],
        ..History::default()
    };
    let records = [good(start, 5_000, 1)];
    assert_eq!(violations(&history, &records, &[run("r", start)]), [""; 0]);
}

#[rstest]
#[case::ran_twice(|r: &mut Record| r.kind = Kind::Once, 2, "ran 2 times")]
#[case::refused_and_ran(|r: &mut Record| r.answer = Some(answer("r", 503, "")), 1, "got 503 and ran")]
#[case::denied(|r: &mut Record| r.answer = Some(answer("r", 404, "")), 0, "was denied")]
#[case::another_s(|r: &mut Record| r.answer = Some(answer("x", 200, "stock: 7")), 1, "another one's answer")]
#[case::spoiled(|r: &mut Record| r.answer = Some(answer("r", 200, "stock: 9")), 1, "spoiled")]
#[case::gap(|r: &mut Record| {
    r.kind = Kind::Talk;
    r.answer = Some(answer("r", 200, "id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n"));
}, 1, "spoiled")]
#[case::held(|r: &mut Record| r.ended = r.sent + Duration::from_secs(3), 1, "took 3s")]
#[case::neighbour_held(|r: &mut Record| r.answer = Some(answer("r", 503, HELD)), 0, "held and isn't deadly")]
#[case::held_and_ran(|r: &mut Record| {
    r.kind = Kind::OpenTalk;
    r.is_deadly = true;
    r.answer = Some(answer("r", 503, HELD));
}, 1, "got 503 and ran")]
#[case::closed(|r: &mut Record| r.answer = None, 1, "its connection was closed")]
#[case::unread(|r: &mut Record| r.answer = None, 0, "closed on a new connection")]
fn a_request_gone_wrong_is_found(
    #[case] spoil: fn(&mut Record),
    #[case] runs: usize,
    #[case] said: &str,
) {
    let start = Instant::now();
    let mut record = good(start, 0, 1);
    spoil(&mut record);
    let runs = vec![run("r", start); runs];
    let found = violations(&History::default(), &[record], &runs);
    assert!(found.iter().any(|text| text.contains(said)), "{found:?}");
}

#[test]
fn a_configuration_that_is_late_or_goes_back_is_found() {
    let start = Instant::now();
    let history = History {
        versions: vec![(1, start), (2, start + Duration::from_secs(1))],
        lives: vec![Life {
            gateway: 0,
            from: start,
            until: None,
        }],
        ..History::default()
    };
    let late = violations(&history, &[good(start, 5_000, 1)], &[]);
    assert!(late[0].contains("met version 1, not 2"), "{late:?}");
    let records = [good(start, 1_500, 2), good(start, 2_000, 1)];
    let back = violations(&history, &records, &[]);
    assert!(back[0].contains("met 1 after 2"), "{back:?}");
}

#[test]
fn work_at_an_endpoint_that_has_left_is_found() {
    let start = Instant::now();
    let id = "i-1".to_string();
    let history = History {
        leaves: vec![Leave { id, at: start }],
        ..History::default()
    };
    let record = good(start, 3_000, 1);
    let runs = [run("r", record.sent)];
    let found = violations(&history, &[record], &runs);
    assert!(found[0].contains("which had left"), "{found:?}");
}

/// Engines that a deadly request ended one after the other.
fn ended(start: Instant, count: u64) -> History {
    let crash = |number| Crash {
        id: format!("i-{number}"),
        place: 3,
        at: start + Duration::from_secs(number),
    };
    History {
        crashes: (0..count).map(crash).collect(),
        ..History::default()
    }
}

#[rstest]
#[case::as_many_as_allowed(6, false)]
#[case::one_more(7, true)]
fn a_deadly_request_that_ends_too_many_engines_is_found(
    #[case] count: u64,
    #[case] is_found: bool,
) {
    // Times before a crash are looked at too.
    let start = Instant::now() + Duration::from_secs(1);
    let found = violations(&ended(start, count), &[], &[]);
    assert_eq!(
        found.iter().any(|text| text.contains("ended 7 engines")),
        is_found,
        "{found:?}"
    );
}

/// A request that came to an endpoint which says something, at a gateway; it was answered at once.
struct Planted {
    at_ms: u64,
    gateway: usize,
    said: &'static str,
    is_refused: bool,
}

/// Requests as [`Planted`] says, and what is found.
fn asked(all: &[Planted]) -> Vec<String> {
    let start = Instant::now() + Duration::from_secs(10);
    let mut records = Vec::new();
    let mut came = Vec::new();
    for (number, planted) in all.iter().enumerate() {
        let mut record = good(start, planted.at_ms, 1);
        record.id = format!("r-{number}");
        record.gateway = planted.gateway;
        let status = if planted.is_refused { 503 } else { 200 };
        let mut answer = answer(&record.id, status, &format!("r-{number} nursery-1"));
        if planted.said.starts_with("Server-Leaving") {
            let field = ("server-leaving".to_string(), "1".to_string());
            answer.head.headers.push(field);
        }
        record.answer = Some(answer);
        came.push(Came {
            place: 0,
            id: "i-1".to_string(),
            life: "127.0.0.1:1".parse().expect("an address"),
            arrival: Arrival {
                request_id: record.id.clone(),
                at: record.sent,
                extra_headers: planted.said.to_string(),
                is_refused: planted.is_refused,
            },
        });
        records.push(record);
    }
    let seen = Seen {
        history: &History::default(),
        records: &records,
        runs: &[],
        came: &came,
    };
    seen.violations()
}

/// Requests to one gateway, so many milliseconds apart.
fn each(gap_ms: u64, count: u64, said: &'static str) -> Vec<Planted> {
    let planted = |number| Planted {
        at_ms: number * gap_ms,
        gateway: 0,
        said,
        is_refused: false,
    };
    (0..count).map(planted).collect()
}

#[rstest]
// Five and one and a half times four are allowed in four seconds.
#[case::as_many_as_allowed(370, false)]
#[case::one_more(330, true)]
fn requests_beyond_a_limit_are_found(#[case] gap_ms: u64, #[case] is_found: bool) {
    let found = asked(&each(gap_ms, 30, "Server-Limit: 1.0\r\n"));
    let is_it = |text: &String| text.contains("takes 1 a second");
    assert_eq!(found.iter().any(is_it), is_found, "{found:?}");
}

#[rstest]
#[case::in_time(1_900, false)]
#[case::later(2_100, true)]
fn requests_to_an_endpoint_that_said_that_it_leaves_are_found(
    #[case] gap_ms: u64,
    #[case] is_found: bool,
) {
    let found = asked(&each(gap_ms, 2, "Server-Leaving: 1\r\n"));
    let is_it = |text: &String| text.contains("had said that it leaves");
    assert_eq!(found.iter().any(is_it), is_found, "{found:?}");
}

#[rstest]
#[case::as_many_as_allowed(2, 0, false)]
#[case::one_more(3, 0, true)]
#[case::from_another_gateway(3, 1, false)]
fn requests_in_a_rest_are_found(
    #[case] count: u64,
    #[case] gateway: usize,
    #[case] is_found: bool,
) {
    let mut all = vec![Planted {
        at_ms: 0,
        gateway: 0,
        said: "Retry-After: 2.5\r\n",
        is_refused: true,
    }];
    let later = |number| Planted {
        at_ms: 600 + number * 300,
        gateway,
        said: "",
        is_refused: false,
    };
    all.extend((0..count).map(later));
    let found = asked(&all);
    let is_it = |text: &String| text.contains("s of rest");
    assert_eq!(found.iter().any(is_it), is_found, "{found:?}");
}
