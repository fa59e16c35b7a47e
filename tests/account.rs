//! `marigoldstage account`: the summary of a day, from logs alone.

mod common;

use std::fs;
use std::path::PathBuf;

use common::code;
use common::marigoldstage;
use common::stderr;
use common::stdout;
use rstest::rstest;

/// Log of two hosts in two availability zones: short prompts on time and late, audits refused since helper engines
/// refused, a late answer to an idempotent request, one with an unknown key, a client that reads too slowly, a body without
/// room, a prompt beyond its organisation's share, calls to the store, and bytes carried.
const LOG: &str = r#"
front-1 {"timestamp":"2026-05-30 03:20:20.000 +00:00","text":"started","kv":{"host":"front-1","zone":"north"}}
front-2 {"timestamp":"2026-05-30 03:20:20.000 +00:00","text":"started","kv":{"host":"front-2","zone":"south"}}
front-1 {"timestamp":"2026-05-30 03:20:20.100 +00:00","text":"the store is called","kv":{"topic":"endpoints","reason":"whole"}}
front-2 {"timestamp":"2026-05-30 03:20:20.100 +00:00","text":"the store is called","kv":{"topic":"endpoints","reason":"whole"}}
front-1 {"timestamp":"2026-05-30 03:20:25.000 +00:00","text":"request ended","kv":{"request_id":"a","route":"r","kind":"streaming","aim_ms":300,"pause_limit_ms":250,"outcome":"answered","status":200,"prompt_tokens":5000,"size_tokens":10000,"total_ms":120}}
front-1 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"stream ended","kv":{"request_id":"a","route":"r","outcome":"answered","first_event_ms":120,"aim_ms":300,"longest_pause_ms":90,"pause_limit_ms":250,"size_tokens":10000,"total_ms":1100}}
front-1 {"timestamp":"2026-05-30 03:20:25.500 +00:00","text":"request ended","kv":{"request_id":"b","route":"r","kind":"streaming","aim_ms":300,"pause_limit_ms":250,"outcome":"answered","status":200,"prompt_tokens":5000,"size_tokens":10000,"total_ms":900}}
front-1 {"timestamp":"2026-05-30 03:20:26.000 +00:00","text":"stream ended","kv":{"request_id":"b","route":"r","outcome":"answered","first_event_ms":900,"aim_ms":300,"longest_pause_ms":90,"pause_limit_ms":250,"size_tokens":10000,"total_ms":1500}}
front-1 {"timestamp":"2026-05-30 03:20:29.005 +00:00","text":"refused since its organisation's share is used up","kv":{"request_id":"c","organisation":"hule930","retry_after_ms":1640}}
front-1 {"timestamp":"2026-05-30 03:20:29.010 +00:00","text":"dispatch ended","kv":{"request_id":"c","endpoint":"i-1","dispatch":1,"end":"helper_refused","at_fault":"i-9","took_ms":3}}
front-1 {"timestamp":"2026-05-30 03:20:29.030 +00:00","text":"dispatch ended","kv":{"request_id":"c","endpoint":"i-2","dispatch":2,"end":"helper_refused","at_fault":"i-8","took_ms":3}}
front-1 {"timestamp":"2026-05-30 03:20:29.050 +00:00","text":"request ended","kv":{"request_id":"c","route":"s","kind":"streaming","aim_ms":4000,"pause_limit_ms":1000,"outcome":"refused","status":503,"detail":"not_run","prompt_tokens":220000,"size_tokens":229000,"total_ms":50}}
front-1 {"timestamp":"2026-05-30 03:20:30.010 +00:00","text":"dispatch ended","kv":{"request_id":"d","endpoint":"i-1","dispatch":1,"end":"helper_refused","at_fault":"i-9","took_ms":3}}
front-2 {"timestamp":"2026-05-30 03:20:30.020 +00:00","text":"dispatch ended","kv":{"request_id":"e","endpoint":"i-1","dispatch":1,"end":"helper_refused","at_fault":"i-9","took_ms":3}}
front-2 {"timestamp":"2026-05-30 03:20:31.000 +00:00","text":"request ended","kv":{"request_id":"f","route":"t","kind":"idempotent","aim_ms":120,"pause_limit_ms":0,"outcome":"answered","status":200,"total_ms":400}}
front-2 {"timestamp":"2026-05-30 03:20:32.000 +00:00","text":"request ended","kv":{"request_id":"g","outcome":"refused","status":401,"detail":"unknown_key","total_ms":1}}
front-1 {"timestamp":"2026-05-30 03:20:33.000 +00:00","text":"stream ended","kv":{"request_id":"h","route":"u","kind":"streaming","outcome":"client_too_slow","aim_ms":700,"pause_limit_ms":400,"total_ms":900}}
front-1 {"timestamp":"2026-05-30 03:20:33.000 +00:00","text":"request ended","kv":{"request_id":"i","route":"v","kind":"idempotent","aim_ms":50,"pause_limit_ms":0,"outcome":"refused","status":503,"detail":"no_memory","total_ms":1}}
front-2 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"bytes carried","kv":{"requests":7000,"whole_messages":2000}}
front-1 {"timestamp":"2026-05-30 03:20:35.000 +00:00","text":"bytes carried","kv":{"requests":1000,"whole_messages":3000}}
"#;

/// Path of a temporary file of this test process.
fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("account-{}-{name}", std::process::id()))
}

/// Runs the command on [`LOG`] with these further arguments, and returns its standard output.
fn run_account(name: &str, arguments: &[&str]) -> String {
    run_account_on(name, LOG, arguments)
}

/// Runs the command on a log.
fn run_account_on(name: &str, text: &str, arguments: &[&str]) -> String {
    let log = temporary_file(&format!("{name}.log"));
    fs::write(&log, text).expect("a file");
    let output = marigoldstage()
        .arg("account")
        .args(arguments)
        .arg(&log)
        .output()
        .expect("the program");
    fs::remove_file(&log).expect("the file");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    stdout(&output)
}

#[rstest]
#[case::hosts_and_requests("8 requests at 2 hosts, 1 more that were not to be served")]
#[case::a_kind_with_late_requests(
    "streaming 300/250 ms                    2    0.500    0.500    0.000    0.000    0.375"
)]
#[case::a_kind_with_refusals(
    "streaming 4000/1000 ms                  1    0.000    0.000    1.000"
)]
#[case::a_late_answer("0.750      1 idempotent 120 ms: answered late")]
#[case::the_cause_of_a_refusal("1.000      1 streaming 4000/1000 ms: refused: not_run")]
#[case::a_client_that_read_too_slowly("1.000      1 streaming 700/400 ms: client_too_slow")]
#[case::no_memory_for_a_body("1.000      1 idempotent 50 ms: refused: no_memory")]
#[case::dispatches_refused_for_a_helper("4 dispatches of 3 requests were refused since another endpoint didn't help: 3 at try 1, 1 at try 2")]
#[case::refusals_by_helper(
    "3 times by i-9, 2 hosts, 1 times one that it had refused before, 9.0 s to 10.0 s"
)]
#[case::requests_by_zone("south                                   2")]
#[case::store_calls("2 endpoints: whole")]
#[case::refusals_by_organisation("1 of hule930")]
#[case::bytes_carried("8 requests")]
fn the_summary_contains(#[case] phrase: &str) {
    let name: String = phrase.chars().filter(char::is_ascii_alphanumeric).collect();
    let text = run_account(&name, &[]);
    assert!(text.contains(phrase), "{phrase:?} in {text}");
}

#[test]
fn requests_refused_because_all_zones_are_evacuated_have_a_cause_of_their_own() {
    let log = LOG.replace("not_run", "zones_evacuated");
    let text = run_account_on("evacuated", &log, &[]);
    let cause = "1.000      1 streaming 4000/1000 ms: refused: zones_evacuated";
    assert!(text.contains(cause), "{text}");
}

#[test]
fn a_csv_file_and_a_plot_are_written() {
    let (rows, plot) = (temporary_file("rows.csv"), temporary_file("drawing.svg"));
    let path = |temporary: &PathBuf| temporary.to_str().expect("a path").to_string();
    run_account("files", &["--csv", &path(&rows), "--plot", &path(&plot)]);
    let text = fs::read_to_string(&rows).expect("rows");
    fs::remove_file(&rows).expect("the file");
    assert!(
        text.contains("9,streaming 4000/1000 ms,over 100k,north,refused: not_run,1,1.000,1.000"),
        "{text}"
    );
    let svg = fs::read_to_string(&plot).expect("a plot");
    fs::remove_file(&plot).expect("the file");
    assert!(
        svg.contains("<svg") && svg.contains("streaming 300/250 ms"),
        "{svg}"
    );
}
