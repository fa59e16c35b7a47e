//! A gateway that starts while the store is down serves nothing, unless another gateway has the
//! table.

mod common;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use common::marigoldstage;
use common::process::Killed;
use common::wait_until;
use common::write_first_row;
use common::LOOK_INTERVAL;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

/// Looks at a gateway that must not become ready; each is a poll interval of its settings long.
const LOOKS: usize = 20;

/// A gateway's process.
struct Gateway {
    _process: Killed,
    admin: SocketAddr,
}

impl Gateway {
    fn start(platform: &Platform, peer_listen: SocketAddr, peers: &[SocketAddr]) -> Self {
        let admin = free_address();
        let mut command = marigoldstage();
        command
            .args(["gateway", "--platform", &platform.url()])
            .args(["--name", &format!("gateway-{}", admin.port())])
            .args([
                "--listen",
                "127.0.0.1:0",
                "--settings-poll-interval-ms",
                "50",
            ])
            .args(["--peer-listen", &peer_listen.to_string()])
            .args(["--admin", &admin.to_string()]);
        for peer in peers {
            command.args(["--peers", &peer.to_string()]);
        }
        Self {
            _process: Killed::silent(&mut command),
            admin,
        }
    }

    fn get(&self, path: &str) -> Option<(bool, String)> {
        let url = format!("http://{}{path}", self.admin);
        let response = attohttpc::get(url).send().ok()?;
        let good = response.is_success();
        Some((good, response.text().ok()?))
    }

    fn is_ready(&self) -> bool {
        self.get("/readyz").is_some_and(|(ready, _)| ready)
    }

    fn answers(&self) -> bool {
        self.get("/readyz").is_some()
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn only_with_a_peer_that_has_the_table_is_it_ready_before_the_store_is_back() {
    let platform = Platform::start(platform::Options::default()).unwrap();
    write_first_row(&platform.url());
    let peer = free_address();
    let first = Gateway::start(&platform, peer, &[]);
    wait_until("first to be ready", || first.is_ready());

    platform.faults().set_outage(true);
    let alone = Gateway::start(&platform, free_address(), &[]);
    let helped = Gateway::start(&platform, free_address(), &[peer]);
    wait_until("helped to be ready", || helped.is_ready());
    wait_until("an answer", || alone.answers());
    for _ in 0..LOOKS {
        assert!(!alone.is_ready());
        thread::sleep(LOOK_INTERVAL);
    }

    platform.faults().set_outage(false);
    wait_until("alone to be ready", || alone.is_ready());
}
