//! Tests of the checks: each finds the violation that it is meant for.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::backpressure::EndpointArrival;
use crate::check::Observations;
use crate::check::REQUEST_CRASHES_MAX;
use crate::clients::Record;
use crate::clients::RequestKind;
use crate::endpoint_traits::ORGANISATION_KEYS;
use crate::history::Component;
use crate::history::Crash;
use crate::history::Disruption;
use crate::history::Drain;
use crate::history::Evacuation;
use crate::history::History;
use crate::history::ProcessLifetime;
use crate::standin::client::Response;
use crate::standin::endpoint::Arrival;
use crate::standin::endpoint::Run;
use crate::standin::gateway::API_KEY;
use crate::standin::Message;

fn response(id: &str, status: u16, text: &str) -> Response {
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

/// A request that is answered as it should be, sent `at_ms` after `start`.
fn successful_record(start: Instant, at_ms: u64, version: u64) -> Record {
    let sent_at = start + Duration::from_millis(at_ms);
    Record {
        id: "r".to_string(),
        kind: RequestKind::AtMostOnce,
        gateway: 0,
        is_reused: false,
        crashes_engine: false,
        api_key: API_KEY,
        sent_at,
        ended_at: sent_at + Duration::from_millis(20),
        response: Some(response("r", 200, &format!("r nursery-{version}"))),
    }
}

fn run(id: &str, at: Instant) -> (String, Run) {
    let request_id = id.to_string();
    ("i-1".to_string(), Run { request_id, at })
}

fn violations(history: &History, records: &[Record], runs: &[(String, Run)]) -> Vec<String> {
    let observations = Observations {
        history,
        records,
        runs,
        arrivals: &[],
        crashes_max: REQUEST_CRASHES_MAX,
    };
    observations.violations()
}

/// Response body of a quarantined request.
const QUARANTINED: &str = "{\"error\":\"quarantined\"}";

#[test]
fn a_run_without_violations_passes() {
    let start = Instant::now();
    let history = History {
        versions: vec![(1, start)],
        ..History::default()
    };
    let records = [successful_record(start, 5_000, 1)];
    assert_eq!(violations(&history, &records, &[run("r", start)]), [""; 0]);
}

#[rstest]
#[case::ran_twice(|r: &mut Record| r.kind = RequestKind::AtMostOnce, 2, "ran 2 times")]
#[case::refused_and_ran(|r: &mut Record| r.response = Some(response("r", 503, "")), 1, "got 503 and ran")]
#[case::denied(|r: &mut Record| r.response = Some(response("r", 404, "")), 0, "was denied")]
#[case::response_to_another_request(|r: &mut Record| r.response = Some(response("x", 200, "stock: 7")), 1, "the response to another request")]
#[case::corrupted(|r: &mut Record| r.response = Some(response("r", 200, "stock: 9")), 1, "corrupted")]
#[case::gap(|r: &mut Record| {
    r.kind = RequestKind::Stream;
    r.response = Some(response("r", 200, "id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n"));
}, 1, "corrupted")]
#[case::late(|r: &mut Record| r.ended_at = r.sent_at + Duration::from_secs(3), 1, "took 3s")]
#[case::other_request_quarantined(|r: &mut Record| r.response = Some(response("r", 503, QUARANTINED)), 0, "quarantined but crashes no engine")]
#[case::quarantined_and_ran(|r: &mut Record| {
    r.kind = RequestKind::UnauthenticatedStream;
    r.crashes_engine = true;
    r.response = Some(response("r", 503, QUARANTINED));
}, 1, "got 503 and ran")]
#[case::closed(|r: &mut Record| r.response = None, 1, "its connection was closed")]
#[case::closed_before_running(|r: &mut Record| r.response = None, 0, "closed on a new connection")]
fn a_wrong_outcome_of_a_request_is_found(
    #[case] corrupt: fn(&mut Record),
    #[case] runs: usize,
    #[case] message: &str,
) {
    let start = Instant::now();
    let mut record = successful_record(start, 0, 1);
    corrupt(&mut record);
    let runs = vec![run("r", start); runs];
    let found = violations(&History::default(), &[record], &runs);
    assert!(found.iter().any(|text| text.contains(message)), "{found:?}");
}

#[test]
fn a_late_or_reverted_configuration_is_found() {
    let start = Instant::now();
    let history = History {
        versions: vec![(1, start), (2, start + Duration::from_secs(1))],
        process_lifetimes: vec![ProcessLifetime {
            gateway: 0,
            from: start,
            until: None,
        }],
        ..History::default()
    };
    let late = violations(&history, &[successful_record(start, 5_000, 1)], &[]);
    assert!(late[0].contains("under version 1, not 2"), "{late:?}");
    let records = [
        successful_record(start, 1_500, 2),
        successful_record(start, 2_000, 1),
    ];
    let reverted = violations(&history, &records, &[]);
    assert!(
        reverted[0].contains("under version 1 after 2"),
        "{reverted:?}"
    );
}

#[test]
fn a_run_at_a_draining_endpoint_is_found() {
    let start = Instant::now();
    let id = "i-1".to_string();
    let history = History {
        drains: vec![Drain { id, at: start }],
        ..History::default()
    };
    let record = successful_record(start, 3_000, 1);
    let runs = [run("r", record.sent_at)];
    let found = violations(&history, &[record], &runs);
    assert!(found[0].contains("which was draining"), "{found:?}");
}

/// A history in which `count` engines crash, one a second.
fn crash_history(start: Instant, count: u64) -> History {
    let crash = |number| Crash {
        id: format!("i-{number}"),
        slot: 3,
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
fn a_request_that_crashes_too_many_engines_is_found(#[case] count: u64, #[case] is_found: bool) {
    // The check also considers the time before a crash, which must not precede the origin of the clock.
    let start = Instant::now() + Duration::from_secs(1);
    let found = violations(&crash_history(start, count), &[], &[]);
    assert_eq!(
        found.iter().any(|text| text.contains("crashed 7 engines")),
        is_found,
        "{found:?}"
    );
}

#[rstest]
#[case::as_many_as_allowed(100, false)]
#[case::one_more(101, true)]
fn more_retries_than_the_budget_are_found(#[case] retries: u64, #[case] is_found: bool) {
    let start = Instant::now() + Duration::from_secs(20);
    let record = successful_record(start, 0, 1);
    let arrival = |number: u64| EndpointArrival {
        slot: 0,
        id: "i-1".to_string(),
        incarnation_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        request: Arrival {
            request_id: record.id.clone(),
            at: record.sent_at + Duration::from_millis(number),
            extra_headers: String::new(),
            is_refused: true,
            is_misdirected: false,
            is_cold: false,
        },
    };
    let arrivals: Vec<EndpointArrival> = (0..=retries).map(arrival).collect();
    let observations = Observations {
        history: &History::default(),
        records: std::slice::from_ref(&record),
        runs: &[],
        arrivals: &arrivals,
        crashes_max: REQUEST_CRASHES_MAX,
    };
    let mut found = Vec::new();
    observations.check_retries(&mut found);
    assert_eq!(!found.is_empty(), is_found, "{found:?}");
}

/// A request that a gateway sends to an endpoint, and the extra headers of the response, which follows at once.
struct ArrivalCase {
    at_ms: u64,
    gateway: usize,
    headers: &'static str,
    is_refused: bool,
}

/// Violations found for these arrivals at one endpoint.
fn violations_of_arrivals(all: &[ArrivalCase]) -> Vec<String> {
    let start = Instant::now() + Duration::from_secs(10);
    let mut records = Vec::new();
    let mut arrivals = Vec::new();
    for (number, case) in all.iter().enumerate() {
        let mut record = successful_record(start, case.at_ms, 1);
        record.id = format!("r-{number}");
        record.gateway = case.gateway;
        let status = if case.is_refused { 503 } else { 200 };
        let mut response = response(&record.id, status, &format!("r-{number} nursery-1"));
        if case.headers.starts_with("Server-Leaving") {
            let field = ("server-leaving".to_string(), "1".to_string());
            response.head.headers.push(field);
        }
        record.response = Some(response);
        arrivals.push(EndpointArrival {
            slot: 0,
            id: "i-1".to_string(),
            incarnation_address: "127.0.0.1:1".parse().expect("an address"),
            request: Arrival {
                request_id: record.id.clone(),
                at: record.sent_at,
                extra_headers: case.headers.to_string(),
                is_refused: case.is_refused,
                is_misdirected: false,
                is_cold: false,
            },
        });
        records.push(record);
    }
    let observations = Observations {
        history: &History::default(),
        records: &records,
        runs: &[],
        arrivals: &arrivals,
        crashes_max: REQUEST_CRASHES_MAX,
    };
    observations.violations()
}

/// Requests through one gateway, `gap_ms` apart.
fn arrivals_every(gap_ms: u64, count: u64, headers: &'static str) -> Vec<ArrivalCase> {
    let case = |number| ArrivalCase {
        at_ms: number * gap_ms,
        gateway: 0,
        headers,
        is_refused: false,
    };
    (0..count).map(case).collect()
}

#[rstest]
// A window of 4 s allows 5 requests plus 1.5 times the 4 of the limit.
#[case::as_many_as_allowed(370, false)]
#[case::one_more(330, true)]
fn requests_beyond_a_limit_are_found(#[case] gap_ms: u64, #[case] is_found: bool) {
    let found = violations_of_arrivals(&arrivals_every(gap_ms, 30, "Server-Limit: 1.0\r\n"));
    let is_expected = |text: &String| text.contains("a limit of 1 requests a second");
    assert_eq!(found.iter().any(is_expected), is_found, "{found:?}");
}

#[rstest]
#[case::in_time(1_900, false)]
#[case::later(2_100, true)]
fn requests_to_an_endpoint_that_announced_draining_are_found(
    #[case] gap_ms: u64,
    #[case] is_found: bool,
) {
    let found = violations_of_arrivals(&arrivals_every(gap_ms, 2, "Server-Leaving: 1\r\n"));
    let is_expected = |text: &String| text.contains("had announced that it is draining");
    assert_eq!(found.iter().any(is_expected), is_found, "{found:?}");
}

#[rstest]
#[case::as_many_as_allowed(2, 0, false)]
#[case::one_more(3, 0, true)]
#[case::from_another_gateway(3, 1, false)]
fn requests_during_a_back_off_are_found(
    #[case] count: u64,
    #[case] gateway: usize,
    #[case] is_found: bool,
) {
    let mut all = vec![ArrivalCase {
        at_ms: 0,
        gateway: 0,
        headers: "Retry-After: 2.5\r\n",
        is_refused: true,
    }];
    let later = |number| ArrivalCase {
        at_ms: 600 + number * 300,
        gateway,
        headers: "",
        is_refused: false,
    };
    all.extend((0..count).map(later));
    let found = violations_of_arrivals(&all);
    let is_expected = |text: &String| text.contains("asked for a back-off of");
    assert_eq!(found.iter().any(is_expected), is_found, "{found:?}");
}

#[rstest]
#[case::in_time_for_the_target(1_200, false, None, false)]
#[case::beyond_the_target(1_400, false, None, true)]
#[case::beyond_the_bound(5_100, false, None, true)]
#[case::from_a_gateway_cut_off_from_the_store(5_100, false, Some(Component::StorePath(0)), false)]
#[case::after_the_restoration(9_000, false, None, false)]
#[case::answered_with_421(5_100, true, None, false)]
fn requests_to_an_evacuated_zone_are_found(
    #[case] at_ms: u64,
    #[case] is_misdirected: bool,
    #[case] disrupted: Option<Component>,
    #[case] is_found: bool,
) {
    let start = Instant::now() + Duration::from_secs(10);
    let record = successful_record(start, at_ms, 1);
    let disruption = |component| Disruption {
        component,
        from: start,
        until: None,
    };
    let history = History {
        evacuations: vec![Evacuation {
            zone: 1,
            from: start,
            until: Some(start + Duration::from_secs(8)),
        }],
        disruptions: disrupted.map(disruption).into_iter().collect(),
        ..History::default()
    };
    let arrival = EndpointArrival {
        slot: 1,
        id: "i-1".to_string(),
        incarnation_address: "127.0.0.1:1".parse().expect("an address"),
        request: Arrival {
            request_id: record.id.clone(),
            at: record.sent_at,
            extra_headers: String::new(),
            is_refused: is_misdirected,
            is_misdirected,
            is_cold: false,
        },
    };
    let observations = Observations {
        history: &history,
        records: &[record],
        runs: &[],
        arrivals: &[arrival],
        crashes_max: REQUEST_CRASHES_MAX,
    };
    let mut found = Vec::new();
    observations.check_evacuations(&mut found);
    assert_eq!(!found.is_empty(), is_found, "{found:?}");
}

#[rstest]
#[case::as_many_as_allowed(20, 40, false, None, false)]
#[case::more_than_allowed(21, 40, false, None, true)]
#[case::spread_over_two_seconds(30, 60, false, None, false)]
#[case::answered_with_421(21, 40, true, None, false)]
#[case::before_the_row_of_a_restart_is_known(21, 40, false, Some(0), false)]
#[case::after_it_is_known(21, 40, false, Some(1_400), true)]
fn too_many_requests_to_a_cold_endpoint_are_found(
    #[case] count: u64,
    #[case] interval_ms: u64,
    #[case] is_misdirected: bool,
    #[case] restarted_before_ms: Option<u64>,
    #[case] is_found: bool,
) {
    let start = Instant::now() + Duration::from_secs(10);
    let incarnation_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let restart = restarted_before_ms.map(Duration::from_millis);
    let history = History {
        cold_restarts: restart
            .map(|before| (incarnation_address, start - before))
            .into_iter()
            .collect(),
        ..History::default()
    };
    let arrival = |number: u64| EndpointArrival {
        slot: 0,
        id: "i-1".to_string(),
        incarnation_address,
        request: Arrival {
            request_id: "r".to_string(),
            at: start + Duration::from_millis(number * interval_ms),
            extra_headers: String::new(),
            is_refused: false,
            is_misdirected,
            is_cold: true,
        },
    };
    let arrivals: Vec<EndpointArrival> = (0..count).map(arrival).collect();
    let observations = Observations {
        history: &history,
        records: &[successful_record(start, 0, 1)],
        runs: &[],
        arrivals: &arrivals,
        crashes_max: REQUEST_CRASHES_MAX,
    };
    let mut found = Vec::new();
    observations.check_cold(&mut found);
    assert_eq!(!found.is_empty(), is_found, "{found:?}");
}

#[rstest]
#[case::surging_organisation(ORGANISATION_KEYS[0], 20, 1_000, false)]
#[case::few_of_another(ORGANISATION_KEYS[1], 1, 1_000, false)]
#[case::more_of_another(ORGANISATION_KEYS[1], 4, 1_000, true)]
#[case::nothing_is_short(ORGANISATION_KEYS[0], 1, 8_500, true)]
fn refusals_beyond_the_shares_are_found(
    #[case] api_key: &'static str,
    #[case] refused: u64,
    #[case] at_ms: u64,
    #[case] is_found: bool,
) {
    let start = Instant::now() + Duration::from_secs(10);
    let history = History {
        surges: vec![(start, Some(start + Duration::from_secs(4)))],
        ..History::default()
    };
    let record = |number: u64| {
        let answered = Record {
            kind: RequestKind::Stream,
            api_key,
            ..successful_record(start, at_ms, 1)
        };
        match number < refused {
            true => Record {
                response: Some(response("r", 503, "over_share")),
                ..answered
            },
            false => answered,
        }
    };
    let records: Vec<Record> = (0..100).map(record).collect();
    let observations = Observations {
        history: &history,
        records: &records,
        runs: &[],
        arrivals: &[],
        crashes_max: REQUEST_CRASHES_MAX,
    };
    let mut found = Vec::new();
    observations.check_shares(&mut found);
    assert_eq!(!found.is_empty(), is_found, "{found:?}");
}
