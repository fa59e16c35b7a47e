//! `marigoldstage demo`: its summary, and the `curl` line that it prints.

#![cfg(feature = "demo")]

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::process::Stdio;

use common::code;
use common::marigoldstage;
use common::run;
use common::stderr;
use common::stdout;
use serde_json::Value;

/// Options for a short run.
const FAST_OPTIONS: [&str; 6] = [
    "--load-ms",
    "1500",
    "--requests-per-s",
    "15",
    "--time-scale",
    "100",
];

#[test]
fn every_request_has_an_outcome_and_none_runs_twice() {
    let output = run(&[&["demo"], &FAST_OPTIONS[..]].concat());
    let text = stdout(&output);
    assert_eq!(code(&output), 0, "{text}{}", stderr(&output));
    assert!(text.contains("time to first token"), "{text}");
    assert!(text.contains("256k to 1M           1"), "{text}");
    let summary: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    let count = |name: &str| summary[name].as_u64().unwrap();
    assert_eq!(count("lost"), 0, "{text}");
    assert_eq!(count("ran_twice"), 0, "{text}");
    let sent: u64 = text.split(' ').next().unwrap().parse().unwrap();
    let ends = ["answered", "refused", "failed", "unknown"];
    assert_eq!(ends.map(count).iter().sum::<u64>(), sent, "{text}");
    assert!(count("answered") > 0, "{text}");
    assert!(count("answered") <= count("admitted"), "{text}");
}

#[test]
fn the_printed_curl_line_works() {
    let mut demo = marigoldstage()
        .args(["demo", "--serve"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(demo.stdout.take().unwrap()).lines();
    let line = lines.map(Result::unwrap).find(|l| l.starts_with("curl "));
    let response = send_as_curl(&line.unwrap());
    demo.kill().unwrap();
    demo.wait().unwrap();
    assert!(response.contains("data: {"), "{response}");
    assert!(response.trim_end().ends_with("data: [DONE]"), "{response}");
}

/// Sends the request of a `curl` command line whose arguments are in single quotes, and returns the response body.
fn send_as_curl(line: &str) -> String {
    let words: Vec<&str> = line.split('\'').collect();
    let url = words[0].split(' ').find(|word| word.starts_with("http://"));
    let mut request = attohttpc::post(url.unwrap());
    for pair in words.windows(2) {
        if pair[0].ends_with("-H ") {
            let (name, value) = pair[1].split_once(": ").unwrap();
            let name: attohttpc::header::HeaderName = name.parse().unwrap();
            request = request.header(name, value);
        }
    }
    let body = words.windows(2).find(|pair| pair[0].ends_with("-d "));
    request
        .text(body.unwrap()[1])
        .send()
        .unwrap()
        .text()
        .unwrap()
}
