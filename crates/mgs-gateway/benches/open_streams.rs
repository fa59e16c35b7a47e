//! What open streams cost a gateway, and how long a frame takes through it.
//!
//! Caller, gateway and a scripted sidecar share one process, so that the memory of a stream is an
//! upper bound: it holds the sidecar's side of the stream too. The last line is JSON.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_transport::runtime::Runtime;
use serde_json::json;
use serde_json::Value;
use support::gateway;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;
use support::Sidecar;
use support::KEY;
use support::WAIT;

const STREAMS: [usize; 3] = [1, 100, 1_000];
const FRAMES: usize = 2_000;
const CALLERS: u64 = 16;
const RATE_FOR: Duration = Duration::from_secs(3);

fn main() {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, Script::Answer(1));
    let gateway = gateway(snapshot(&[&engine], &[]), Options::default());
    let streams = STREAMS.map(|count| open_streams(&gateway, &engine, count));
    let result = json!({
        "streams": streams,
        "frame_us": frames(&gateway, &engine),
        "whole_answers": rate(&gateway, &engine),
    });
    let mut out = std::io::stdout();
    writeln!(out, "{result}").unwrap();
}

fn request(stream: bool, keep: bool) -> String {
    let body = format!(r#"{{"model": "m", "prompt": "olives?", "stream": {stream}}}"#);
    let connection = if keep { "keep-alive" } else { "close" };
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: {connection}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address()).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

/// A number from the process's own status, in its unit.
fn status(field: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let number = line
        .unwrap()
        .trim_start_matches(':')
        .split_whitespace()
        .next();
    number.unwrap().parse().unwrap()
}

fn open_streams(gateway: &Gateway, engine: &Sidecar, count: usize) -> Value {
    engine.fake.script(Script::Stall);
    until("quiet", || gateway.core().open_requests() == 0);
    let before = (status("VmRSS"), status("Threads"));
    let open = |_| {
        let mut stream = connect(gateway);
        stream.write_all(request(true, false).as_bytes()).unwrap();
        stream
    };
    let callers: Vec<TcpStream> = (0..count).map(open).collect();
    until("all dispatched", || engine.fake.stalled() == count);
    let after = (status("VmRSS"), status("Threads"));
    drop(callers);
    engine.fake.let_go();
    until("all ended", || gateway.core().open_requests() == 0);
    json!({
        "open": count,
        "kb_each_upper_bound": after.0.saturating_sub(before.0) as f64 / count as f64,
        "threads_more": after.1.saturating_sub(before.1),
        "rss_kb": after.0,
    })
}

/// Time from a frame's sending at the sidecar to its arrival at the caller.
fn frames(gateway: &Gateway, engine: &Sidecar) -> Value {
    engine.fake.script(Script::Drip);
    let mut stream = connect(gateway);
    stream.write_all(request(true, false).as_bytes()).unwrap();
    let mut took_us = Vec::new();
    for line in BufReader::new(stream).lines() {
        let line = line.unwrap();
        let Some(json) = line.strip_prefix("data: ") else {
            continue;
        };
        let now_us = support::now_us();
        let piece: Value = serde_json::from_str(json).unwrap();
        let text = piece["choices"][0]["text"].as_str().unwrap();
        let sent_us: u64 = text.trim().parse().unwrap();
        took_us.push(now_us - sent_us);
        if took_us.len() == FRAMES {
            break;
        }
    }
    took_us.sort_unstable();
    let at = |share: usize| took_us[took_us.len() * share / 100];
    json!({"frames": FRAMES, "p50": at(50), "p99": at(99), "max": took_us[FRAMES - 1]})
}

/// Whole answers per second, from callers that each keep one connection.
fn rate(gateway: &Gateway, engine: &Sidecar) -> Value {
    engine.fake.script(Script::Answer(1));
    let answered = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + RATE_FOR;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (mut stream, answered) = (connect(gateway), answered.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while Instant::now() < until {
                    stream.write_all(request(false, true).as_bytes()).unwrap();
                    read_answer(&mut reader);
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    let per_s = answered.load(Ordering::Relaxed) as f64 / RATE_FOR.as_secs_f64();
    json!({"callers": CALLERS, "per_s": per_s})
}

fn read_answer(reader: &mut BufReader<TcpStream>) {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    std::io::Read::read_exact(reader, &mut body).unwrap();
}
