//! What a caller makes of answers, errors and broken connections.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use rstest::rstest;

use mgs_testing::caller::send;
use mgs_testing::caller::Kind;
use mgs_testing::caller::NotSent;
use mgs_testing::caller::Options;
use mgs_testing::caller::Plan;
use mgs_testing::history::Ending;
use mgs_testing::history::NotRun;
use mgs_testing::history::Request;

/// Answers one connection with these bytes and ends it.
fn answering(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// Reads up to the end of the JSON body that the caller sends.
fn read_request(stream: &mut impl Read) {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"}") {
        stream.read_exact(&mut byte).unwrap();
        seen.push(byte[0]);
    }
}

fn http(status: &str, content_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn events(body: &str) -> String {
    http("200 OK", "text/event-stream", body)
}

fn piece(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n")
}

fn error(not_run: &str) -> String {
    format!("{{\"error\":{{\"reason\":\"busy\",\"not_run\":{not_run}}}}}")
}

fn ending(kind: Kind, answer: String) -> Ending {
    let plan = Plan {
        kind,
        ..Plan::new(Request(1), 8)
    };
    let exchange = send(answering(answer), &plan, &Options::default());
    exchange.unwrap().ending
}

fn answered(text: &str) -> Ending {
    let text = text.to_string();
    Ending::Answered { text }
}

fn failed(not_run: NotRun, partial: &str) -> Ending {
    Ending::Error {
        not_run,
        reason: "busy".to_string(),
        partial: partial.to_string(),
    }
}

fn broken(partial: &str) -> Ending {
    let partial = partial.to_string();
    Ending::Broken { partial }
}

#[test]
fn stream_with_its_end_is_answered() {
    let body = format!(": \n\n{}{}data: [DONE]\n\n", piece("ab"), piece("cd"));
    assert_eq!(ending(Kind::Streamed, events(&body)), answered("abcd"));
}

#[test]
fn stream_without_its_end_is_broken() {
    let body = piece("ab");
    assert_eq!(ending(Kind::Streamed, events(&body)), broken("ab"));
}

#[test]
fn stream_cut_before_its_announced_length_is_broken() {
    let mut answer = events(&format!("{}data: [DONE]\n\n", piece("ab")));
    answer.truncate(answer.len() - 10);
    assert_eq!(ending(Kind::Streamed, answer), broken("ab"));
}

#[test]
fn stream_that_ends_in_an_error_keeps_its_text() {
    let body = format!("{}event: error\ndata: {}\n\n", piece("ab"), error("false"));
    let expected = failed(NotRun::False, "ab");
    assert_eq!(ending(Kind::Streamed, events(&body)), expected);
}

#[rstest]
#[case::not_run("true", NotRun::True)]
#[case::ran("false", NotRun::False)]
#[case::unknown("\"unknown\"", NotRun::Unknown)]
#[case::unsaid("null", NotRun::Unknown)]
fn errors_say_whether_the_request_ran(
    #[case] word: &str,
    #[case] not_run: NotRun,
    #[values(Kind::Whole, Kind::Streamed)] kind: Kind,
) {
    let answer = http("503 Service Unavailable", "application/json", &error(word));
    assert_eq!(ending(kind, answer), failed(not_run, ""));
}

#[test]
fn whole_answer() {
    let body = "{\"choices\":[{\"text\":\"abcd\"}]}";
    let answer = http("200 OK", "application/json", body);
    assert_eq!(ending(Kind::Whole, answer), answered("abcd"));
}

#[test]
fn end_without_a_head_is_broken() {
    assert_eq!(ending(Kind::Whole, String::new()), broken(""));
}

#[test]
fn refused_connection_was_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let plan = Plan::new(Request(1), 8);
    assert_eq!(send(address, &plan, &Options::default()), Err(NotSent));
}

#[test]
fn nothing_within_the_callers_patience_is_silence() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let plan = Plan {
        allotted_ms: 50,
        ..Plan::new(Request(1), 8)
    };
    let options = Options { patience_ms: 100 };
    let exchange = send(silent.local_addr().unwrap(), &plan, &options).unwrap();
    assert_eq!(exchange.ending, Ending::Silent);
}
