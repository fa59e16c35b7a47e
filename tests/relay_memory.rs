//! Memory of `marigoldstage relay` as a process. Apart from the other tests of the process, whose times its load would
//! disturb.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod common;
mod relay_process;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::wait_until;
use relay_process::Relay;
use serde_json::json;
use standin::client::request;
use standin::client::send;
use standin::client::ClientRequest;
use standin::endpoint::Behaviour;
use standin::endpoint::Endpoint;
use standin::gateway::configuration;
use standin::gateway::store_with;

/// Peak of the resident memory of a process, in MB.
fn peak_memory_mb(process_id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.expect("a size").parse::<f64>().expect("a number") * 1.024e-3
}

/// Guards against a host of 112 MB that ends since it holds what its clients don't read or don't finish sending.
#[test]
fn a_small_host_stays_within_60_mb_whatever_its_clients_do() {
    const MEMORY_BOUND_MB: f64 = 60.0;
    const ROUNDS: usize = 4;
    const CLIENTS_OF_A_KIND: usize = 60;
    let large_stream = Behaviour::LargeStream(400, 16 * 1024);
    let large_answer = Behaviour::LargeAnswer(2_500_000);
    let engines = [1, 2].map(|number| {
        Endpoint::start(
            &format!("i-{number}"),
            "model",
            std::slice::from_ref(&large_stream),
        )
    });
    let desk = Endpoint::start("i-3", "desk", &[large_answer]);
    let store = store_with(&[&engines[0], &engines[1], &desk]);
    let mut patient = configuration(2);
    for route in patient["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(15_000);
    }
    patient["limits"]["maxBodyBytes"] = json!(4_000_000);
    store.put("op", "config", &patient);
    let relay = Relay::start_with(&store, "[limits]\nmemoryMb = 112\n");
    let process_id = relay.child.id();
    let idle_mb = peak_memory_mb(process_id);
    let stream_request = ClientRequest::to("/talk/1").with_header("Token-Count", "900,200");
    let unfinished_body =
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-2\r\nCredential: key-1\r\n\
                           Content-Length: 3000000\r\n\r\n"
            .to_string()
            + &"b".repeat(2_900_000);
    let mut connections = Vec::new();
    for _ in 0..ROUNDS {
        for _ in 0..CLIENTS_OF_A_KIND {
            connections.push(send(relay.client_address, &stream_request));
            connections.push(send(relay.client_address, &ClientRequest::to("/once/1")));
            let mut idle = TcpStream::connect(relay.client_address).expect("a gateway");
            idle.write_all(b"POST /once/1 HTTP/1.1\r\n")
                .expect("a gateway");
            connections.push(idle);
            let mut sending = TcpStream::connect(relay.client_address).expect("a gateway");
            sending.set_nonblocking(true).expect("an option");
            // Only what the gateway takes at once is sent.
            let _ = sending.write(unfinished_body.as_bytes());
            connections.push(sending);
        }
        thread::sleep(Duration::from_secs(1));
    }
    let peak_mb = peak_memory_mb(process_id);
    assert!(peak_mb < MEMORY_BOUND_MB, "{peak_mb} MB, idle {idle_mb} MB");
    drop(connections);
    wait_until("room", || {
        request(relay.client_address, &stream_request).is_complete
    });
}
