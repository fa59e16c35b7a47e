//! Checks the responses of the admin server over a TCP connection.

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

struct StaticHealth {
    healthy: bool,
    ready: Result<(), String>,
}

impl Health for StaticHealth {
    fn healthy(&self) -> bool {
        self.healthy
    }

    fn ready(&self) -> Result<(), String> {
        self.ready.clone()
    }
}

fn send_request(address: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

fn status(response: &str) -> u16 {
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

#[rstest]
#[case("GET", "/healthz", true, Ok(()), 200, "ok")]
#[case("GET", "/healthz", false, Ok(()), 503, "not healthy")]
#[case("GET", "/readyz", true, Ok(()), 200, "ready")]
#[case("GET", "/readyz", true, Err("leaving"), 503, "leaving")]
#[case("GET", "/metrics", true, Ok(()), 200, "mgs_seen_total 3")]
#[case("GET", "/nothing", true, Ok(()), 404, "try /metrics")]
#[case("POST", "/metrics", true, Ok(()), 405, "use GET")]
fn paths_and_methods_get_their_status_and_body(
    #[case] method: &str,
    #[case] path: &str,
    #[case] healthy: bool,
    #[case] ready: Result<(), &str>,
    #[case] expected_status: u16,
    #[case] body: &str,
) {
    let ready = ready.map_err(str::to_string);
    let registry = Registry::new();
    registry.counter("seen", "Things seen").inc_by(3);
    let health = Arc::new(StaticHealth { healthy, ready });
    let admin = admin::serve(admin::Options::default(), registry, health).unwrap();
    let response = send_request(admin.address(), method, path);
    assert_eq!(status(&response), expected_status, "{response}");
    assert!(response.contains(body), "{response}");
}

#[test]
fn an_address_in_use_is_an_error_that_names_it() {
    let health = || {
        Arc::new(StaticHealth {
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
