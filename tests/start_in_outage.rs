//! A gateway that starts during an outage of the store serves nothing, unless it gets the table from a peer.

mod common;

use std::net::SocketAddr;
use std::thread;

use common::addresses::own_addresses;
use common::marigoldstage;
use common::process::KillOnDrop;
use common::wait_until;
use common::write_first_row;
use common::POLL_INTERVAL;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

/// Number of polls of a gateway that must not become ready; their interval equals its `--settings-poll-interval-ms`.
const POLLS: usize = 20;

/// A gateway's process.
struct Gateway {
    _process: KillOnDrop,
    admin: SocketAddr,
}

impl Gateway {
    fn start(platform: &Platform, peer_listen: SocketAddr, peers: &[SocketAddr]) -> Self {
        let [admin] = own_addresses();
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
        for peer_address in peers {
            command.args(["--peers", &peer_address.to_string()]);
        }
        Self {
            _process: KillOnDrop::silent(&mut command),
            admin,
        }
    }

    fn get(&self, path: &str) -> Option<(bool, String)> {
        let url = format!("http://{}{path}", self.admin);
        let response = attohttpc::get(url).send().ok()?;
        let is_success = response.is_success();
        Some((is_success, response.text().ok()?))
    }

    fn is_ready(&self) -> bool {
        self.get("/readyz").is_some_and(|(ready, _)| ready)
    }

    fn responds(&self) -> bool {
        self.get("/readyz").is_some()
    }
}

#[test]
fn a_gateway_is_ready_in_an_outage_only_with_a_peer_that_has_the_table() {
    let platform = Platform::start(platform::Options::default()).unwrap();
    write_first_row(&platform.url());
    let [first_peers, second_peers, third_peers] = own_addresses();
    let first = Gateway::start(&platform, first_peers, &[]);
    wait_until("the first gateway to be ready", || first.is_ready());

    platform.faults().set_outage(true);
    let without_peer = Gateway::start(&platform, second_peers, &[]);
    let with_peer = Gateway::start(&platform, third_peers, &[first_peers]);
    wait_until("the gateway with a peer to be ready", || {
        with_peer.is_ready()
    });
    wait_until("a response of the gateway without a peer", || {
        without_peer.responds()
    });
    for _ in 0..POLLS {
        assert!(!without_peer.is_ready());
        thread::sleep(POLL_INTERVAL);
    }

    platform.faults().set_outage(false);
    wait_until("the gateway without a peer to be ready", || {
        without_peer.is_ready()
    });
}
