//! `marigoldstage explain`: the causes of failed and late requests, from logs alone.

mod common;

use std::io::Write;
use std::process::Output;
use std::process::Stdio;

use common::code;
use common::marigoldstage;
use common::stderr;
use common::stdout;
use rstest::rstest;

/// Log lines of gateways, of several requests and hosts; the last one is truncated.
const LOG: &str = r#"
front-1 {"timestamp":"2026-05-30 03:20:24.100 +00:00","text":"started","kv":{"host":"front-1"}}
front-1 {"timestamp":"2026-05-30 03:20:25.000 +00:00","text":"waits for its turn","kv":{"request_id":"late","score":595,"best_other_score":282,"engines_backlog_ms":76,"room":11,"left_ms":14995}}
front-1 {"timestamp":"2026-05-30 03:20:36.200 +00:00","text":"not placed","kv":{"request_id":"late","reason":"too_late","usable_engines":21,"retry_after_ms":150}}
front-1 {"timestamp":"2026-05-30 03:20:36.285 +00:00","text":"request ended","kv":{"request_id":"late","outcome":"refused","status":503,"detail":"too_late","total_ms":11285}}
front-2 {"timestamp":"2026-05-30 03:20:27.600 +00:00","text":"stream ended","kv":{"request_id":"cut","outcome":"answered","events":21,"longest_pause_ms":840,"resumes":1,"total_ms":2710}}
front-2 {"timestamp":"2026-05-30 03:20:25.335 +00:00","text":"dispatch ended","kv":{"request_id":"cut","endpoint":"i-1","end":"started","why":"started","took_ms":335,"predicted_ms":335}}
front-2 {"timestamp":"2026-05-30 03:20:25.400 +00:00","text":"stream broke off","kv":{"request_id":"cut","endpoint":"i-1","why":"end of file","last_event_id":"1"}}
front-1 {"timestamp":"2026-05-30 03:20:28.000 +00:00","text":"dispatch ended","kv":{"request_id":"lost","endpoint":"i-7","end":"unknown","why":"connection reset","took_ms":2}}
front-1 {"timestamp":"2026-05-30 03:20:28.001 +00:00","text":"request ended","kv":{"request_id":"lost","outcome":"refused","status":502,"detail":"unknown","total_ms":37}}
front-1 {"timestamp":"2026-05-30 03:20:29.000 +00:00","text":"placed","kv":{"request_id":"open","endpoint":"i-7"}}
front-1 {"timestamp":"2026-05-30 03:20:30.000 +00:00","text":"request ended","kv":{"request_id":"old","outcome":"refused","status":503,"detail":"stale_configuration","total_ms":0,"configuration_age_ms":5120}}
front-1 {"timestamp":"2026-05-30 03:20:31.000 +00:00","text":"waits for a place","kv":{"request_id":"full","ahead":31,"spare_per_s":2.5,"places_taken_permille":940}}
front-1 {"timestamp":"2026-05-30 03:20:31.100 +00:00","text":"request ended","kv":{"request_id":"full","outcome":"refused","status":503,"detail":"too_late","total_ms":100}}
front-1 {"timestamp":"2026-05-30 03:20:33.000 +00:00","text":"all endpoints are shut","kv":{"request_id":"shut","leaving":1,"resting":0,"limited":2,"warming":3,"retry_after_ms":526}}
front-1 {"timestamp":"2026-05-30 03:20:33.001 +00:00","text":"request ended","kv":{"request_id":"shut","outcome":"refused","status":503,"detail":"endpoints_shut","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:33.100 +00:00","text":"all endpoints are shut","kv":{"request_id":"evacuated","leaving":0,"resting":0,"limited":0,"evacuated":9,"retry_after_ms":1000}}
front-1 {"timestamp":"2026-05-30 03:20:33.101 +00:00","text":"request ended","kv":{"request_id":"evacuated","outcome":"refused","status":503,"detail":"zones_evacuated","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:33.200 +00:00","text":"all endpoints are shut","kv":{"request_id":"partly","leaving":0,"resting":1,"limited":0,"evacuated":3,"retry_after_ms":200}}
front-1 {"timestamp":"2026-05-30 03:20:33.201 +00:00","text":"request ended","kv":{"request_id":"partly","outcome":"refused","status":503,"detail":"endpoints_shut","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:32.000 +00:00","text":"request ended","kv":{"request_id":"held","work":"00ff","outcome":"refused","status":503,"detail":"quarantined","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:34.000 +00:00","text":"refused since it is held","kv":{"request_id":"part","work":"00aa","part":"5c1e07a2"}}
front-1 {"timestamp":"2026-05-30 03:20:34.000 +00:00","text":"request ended","kv":{"request_id":"part","work":"00fe","outcome":"refused","status":503,"detail":"quarantined","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"a request body isn't taken","kv":{"request_id":"body","reason":"no_memory","announced_bytes":1000000,"held_total_bytes":16500000,"retry_after_ms":500}}
front-1 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"request ended","kv":{"request_id":"body","outcome":"refused","status":503,"detail":"no_memory","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:35.500 +00:00","text":"request ended","kv":{"request_id":"link","outcome":"refused","status":503,"detail":"link_full","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:36.000 +00:00","text":"a client reads too slowly","kv":{"request_id":"slow","bound":"connection","held_bytes":2790000,"held_total_bytes":3000000}}
front-1 {"timestamp":"2026-05-30 03:20:36.001 +00:00","text":"stream ended","kv":{"request_id":"slow","outcome":"client_too_slow","events":170,"total_ms":900}}
front-1 {"timestamp":"2026-05-30 03:20:37.000 +00:00","text":"request ended","kv":{"request_id":"unread","outcome":"answered","status":200,"total_ms":31}}
front-1 {"timestamp":"2026-05-30 03:20:47.000 +00:00","text":"a client reads too slowly","kv":{"request_id":"unread","bound":"time","held_bytes":150000,"held_total_bytes":150000}}
front-1 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"refused since its organisation's share is used up","kv":{"request_id":"share","organisation":"hule930","cost_ms":160,"asked_ms_per_s":81000,"allowed_ms_per_s":24000,"usual_ms_per_s":9000,"asked_by_all_ms_per_s":107000,"capacity_ms_per_s":50000,"peers":29,"oldest_report_ms":310,"retry_after_ms":1640}}
front-1 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"request ended","kv":{"request_id":"share","outcome":"refused","status":503,"detail":"over_share","total_ms":0}}
front-1 {"timestamp":"2026-05-30 03:20:31
"#;

/// Runs the command for a request, with [`LOG`] on standard input.
fn explain(request_id: &str) -> Output {
    let mut child = marigoldstage()
        .args(["explain", request_id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut log = child.stdin.take().expect("a pipe");
    log.write_all(LOG.as_bytes()).expect("a reader");
    drop(log);
    child.wait_with_output().expect("an end")
}

#[rstest]
#[case::refused_under_load("late", &["503", "11285 ms", "11 engines free", "before its deadline", "went first", "21 engines", "has not run"])]
#[case::no_free_capacity("full", &["503", "940 of 1,000", "31 others", "2.5 a second", "has not run"])]
#[case::cut_by_an_endpoint("cut", &["whole", "21 events", "i-1 broke off (end of file)", "840 ms"])]
#[case::may_have_run("lost", &["502", "may have run", "i-7 (connection reset, 2 ms)"])]
#[case::process_ended("open", &["process ended while it was open"])]
#[case::no_memory("body", &["503", "body of 1000000 bytes", "16500000 bytes", "500 ms", "has not run"])]
#[case::link_full("link", &["503", "link of its host", "has not run"])]
#[case::stream_not_read("slow", &["broken off by its host", "170 events", "bound of one connection", "2790000 bytes unread"])]
#[case::answer_not_read("unread", &["answered after 31 ms", "cut off at the time", "150000 bytes unread"])]
#[case::quarantined("held", &["503", "00ff", "crashed the endpoints", "has not run"])]
#[case::part_quarantined("part", &["503", "part 5c1e07a2 of its prompt", "has not run"])]
#[case::all_endpoints_shut("shut", &["503", "1 leave", "2 name a limit", "3 are cold", "526 ms", "has not run"])]
#[case::zones_evacuated("evacuated", &["503", "all 9 endpoints", "operators evacuated", "a zone is evacuated", "has not run"])]
#[case::shut_and_evacuated("partly", &["503", "1 want a pause", "3 are in evacuated zones", "200 ms", "has not run"])]
#[case::share_used_up("share", &["503", "hule930", "81000 ms", "24000", "107000 of 50000", "1640 ms", "has not run"])]
#[case::stale_configuration("old", &["5120 ms", "the store is lost"])]
fn the_cause_of_a_request_is_explained(#[case] request_id: &str, #[case] phrases: &[&str]) {
    let output = explain(request_id);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let text = stdout(&output);
    let cause = text.lines().last().expect("a cause");
    for phrase in phrases {
        assert!(cause.contains(phrase), "{phrase:?} in {cause:?}");
    }
}

#[test]
fn lines_are_sorted_by_time_and_show_their_host() {
    let text = stdout(&explain("cut"));
    let positions: Vec<usize> = ["dispatch ended", "stream broke off", "stream ended"]
        .iter()
        .map(|kind| text.find(kind).expect("the line"))
        .collect();
    assert!(positions.is_sorted(), "{text}");
    assert!(
        text.lines().take(3).all(|line| line.contains("front-2")),
        "{text}"
    );
    assert!(text.contains("   65.0 ms"), "{text}");
}

#[test]
fn an_unknown_request_is_reported() {
    let output = explain("nobody");
    assert_eq!(code(&output), 1);
    assert!(stdout(&output).contains("no line names this request"));
}

/// Log lines of two routes: a prompt on time, one late after waiting for a place, one with a long pause,
/// and a refused one.
const LOG_OF_TWO_ROUTES: &str = r#"
front-1 {"timestamp":"2026-05-30 03:20:24.100 +00:00","text":"started","kv":{"host":"front-1"}}
front-1 {"timestamp":"2026-05-30 03:20:25.000 +00:00","text":"stream ended","kv":{"request_id":"a","route":"short","outcome":"answered","first_event_ms":120,"aim_ms":300,"longest_pause_ms":90,"pause_limit_ms":250}}
front-1 {"timestamp":"2026-05-30 03:20:25.100 +00:00","text":"waits for a place","kv":{"request_id":"b","ahead":4}}
front-1 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"stream ended","kv":{"request_id":"b","route":"short","outcome":"answered","first_event_ms":900,"aim_ms":300,"longest_pause_ms":90,"pause_limit_ms":250}}
front-2 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"stream ended","kv":{"request_id":"c","route":"audit","outcome":"answered","first_event_ms":900,"aim_ms":3000,"longest_pause_ms":1090,"pause_limit_ms":1000}}
front-2 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"request ended","kv":{"request_id":"d","outcome":"refused","detail":"too_late"}}
front-2 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"stream ended","kv":{"request_id":"e","route":"review","outcome":"client_too_slow"}}
front-2 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"request ended","kv":{"request_id":"f","route":"lookup","outcome":"answered"}}
front-2 {"timestamp":"2026-05-30 03:20:36.000 +00:00","text":"a client reads too slowly","kv":{"request_id":"f","bound":"time"}}
"#;

/// Output of the command for a whole log, with this flag.
fn explain_all(flag: &str, log: &str) -> String {
    let name = format!("explain{flag}-{}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, log).expect("a file");
    let output = marigoldstage()
        .args(["explain", flag])
        .arg(&path)
        .output()
        .expect("the program");
    std::fs::remove_file(&path).expect("the file");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    stdout(&output)
}

/// Log lines of ten prompts of one route, of 10,000 to 100,000 read tokens; the three largest aren't answered.
fn prompts_by_size() -> String {
    let line = |number: u32| {
        let (text, end) = match number {
            8 => ("request ended", r#""outcome":"refused","detail":"full""#),
            9 => (
                "stream ended",
                r#""outcome":"client_left","silent_ms":2000,"pause_limit_ms":250"#,
            ),
            10 => ("stream ended", r#""outcome":"stream_timed_out""#),
            _ => (
                "stream ended",
                r#""outcome":"answered","first_event_ms":900,"aim_ms":3000"#,
            ),
        };
        format!(
            "front-1 {{\"timestamp\":\"2026-05-30 03:20:25.000 +00:00\",\"text\":\"{text}\",\"kv\":{{\
             \"request_id\":\"r{number}\",\"route\":\"audit\",\"size_tokens\":{number}0000,\
             \"prompt_tokens\":9000,{end}}}}}\n"
        )
    };
    (1..=10).map(line).collect()
}

#[test]
fn prompts_of_a_route_are_reported_by_size() {
    let text = explain_all("--sizes", &prompts_by_size());
    for phrase in [
        "audit: 10 prompts, 0.70 answered",
        "7 below the largest three tenths: 10000 to 70000 read tokens, 1.00 answered, 1.43 of all",
        "2 the fifth below the largest tenth: 80000 to 90000 read tokens, 0.00 answered, 0.00 of all",
        "1 refused: full",
        "1 its client left while its endpoint wrote nothing",
        "1 the largest tenth: 100000 to 100000 read tokens, 0.00 answered",
        "1 stream_timed_out",
    ] {
        assert!(text.contains(phrase), "{phrase:?} in {text}");
    }
}

#[test]
fn the_causes_of_all_requests_are_counted_by_route() {
    let text = explain_all("--all", LOG_OF_TWO_ROUTES);
    for phrase in [
        "short: 2 requests",
        "1  50.0%  on time",
        "1  50.0%  first event late: waited for a place",
        "1 100.0%  a pause too long",
        "1 100.0%  refused: too_late",
        "review: 1 requests",
        "lookup: 1 requests",
        "1 100.0%  client_too_slow",
    ] {
        assert!(text.contains(phrase), "{phrase:?} in {text}");
    }
}
