//! The operators' server answers over a real socket.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use mgs_observe::admin;
use mgs_observe::admin::Health;
use mgs_observe::metrics::Registry;
use rstest::rstest;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixed {
    healthy: bool,
    ready: Result<(), String>,
}

impl Health for Fixed {
    fn healthy(&self) -> bool {
        self.healthy
    }

    fn ready(&self) -> Result<(), String> {
        self.ready.clone()
    }
}

fn call(address: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[rstest]
#[case("GET", "/healthz", true, Ok(()), 200, "ok")]
#[case("GET", "/healthz", false, Ok(()), 503, "not healthy")]
#[case("GET", "/readyz", true, Ok(()), 200, "ready")]
#[case("GET", "/readyz", true, Err("leaving"), 503, "leaving")]
#[case("GET", "/metrics", true, Ok(()), 200, "mgs_seen_total 3")]
#[case("GET", "/nothing", true, Ok(()), 404, "try /metrics")]
#[case("POST", "/metrics", true, Ok(()), 405, "use GET")]
fn answers(
    #[case] method: &str,
    #[case] path: &str,
    #[case] healthy: bool,
    #[case] ready: Result<(), &str>,
    #[case] wanted: u16,
    #[case] body: &str,
) {
    let ready = ready.map_err(str::to_string);
    let registry = Registry::new();
    registry.counter("seen", "Things seen").inc_by(3);
    let health = Arc::new(Fixed { healthy, ready });
    let admin = admin::serve(admin::Options::default(), registry, health).unwrap();
    let answer = call(admin.address(), method, path);
    assert_eq!(status(&answer), wanted, "{answer}");
    assert!(answer.contains(body), "{answer}");
}

#[test]
fn a_taken_address_is_an_error_that_names_it() {
    let health = || {
        Arc::new(Fixed {
            healthy: true,
            ready: Ok(()),
        })
    };
    let first = admin::serve(admin::Options::default(), Registry::new(), health()).unwrap();
    let listen = first.address().to_string();
    let options = admin::Options {
        listen: listen.clone(),
    };
    let error = admin::serve(options, Registry::new(), health()).unwrap_err();
    assert!(error.to_string().contains(&listen), "{error}");
}
