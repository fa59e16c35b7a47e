//! Exchange of records of requests that crash endpoints between gateways.
//!
//! A record that makes a verdict more severe is sent to all peers at once, and once more later,
//! since datagrams get lost. A record that makes it milder waits for the next interval. Every
//! second, one random peer is sent all severe verdicts, so that a peer that was cut off learns them
//! too. A peer that is heard for the first time is sent them at once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::shared::SharedRecord;
use tokio::net::UdpSocket;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::broadcast::encode;
use crate::broadcast::send_to;
use crate::broadcast::MESSAGE_BYTES_MAX;
use crate::core::Core;
use crate::peers::Datagram;
use crate::peers::PeerTable;
use crate::traffic::TrafficKind;

/// Longest delay of a record that isn't urgent, and the delay before an urgent one is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between sending all severe verdicts to one random peer and to the next.
const RANDOM_PEER_INTERVAL: Duration = Duration::from_secs(1);

/// Sends records until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, peer_table: Rc<RefCell<PeerTable>>) {
    let mut to_repeat: Vec<Fingerprint> = Vec::new();
    let mut random_peer_at = Instant::now() + RANDOM_PEER_INTERVAL;
    let gossip = CrashGossip {
        core,
        socket,
        peer_table,
    };
    loop {
        let waiting = gossip.core.crashes.urgent.notified();
        // Changes are sent both when something is urgent and when the interval is over.
        let is_urgent = timeout(REPEAT_INTERVAL, waiting).await.is_ok();
        gossip.send_to_newcomers().await;
        let changed = gossip.core.crashes.take_changed();
        gossip.send_to_all(&changed).await;
        if !is_urgent {
            gossip.send_to_all(&to_repeat).await;
            to_repeat.clear();
        }
        to_repeat.extend(changed);
        if Instant::now() >= random_peer_at {
            random_peer_at = Instant::now() + RANDOM_PEER_INTERVAL;
            gossip.send_to_random_peer().await;
        }
    }
}

struct CrashGossip {
    core: Rc<Core>,
    socket: Rc<UdpSocket>,
    peer_table: Rc<RefCell<PeerTable>>,
}

impl CrashGossip {
    fn all_peers(&self) -> Vec<SocketAddr> {
        let now_ms = self.core.now_ms();
        self.peer_table
            .borrow()
            .recipients(&self.core, now_ms, true)
    }

    async fn send_to_all(&self, fingerprints: &[Fingerprint]) {
        if !fingerprints.is_empty() {
            self.send(fingerprints, &self.all_peers()).await;
        }
    }

    /// Sends all severe verdicts to peers that have just started or were cut off.
    async fn send_to_newcomers(&self) {
        let newcomers = self.core.crashes.newcomers.take();
        if !newcomers.is_empty() {
            self.send(&self.core.crashes.confined_or_held(), &newcomers)
                .await;
        }
    }

    async fn send_to_random_peer(&self) {
        let severe = self.core.crashes.confined_or_held();
        let all_peers = self.all_peers();
        if severe.is_empty() || all_peers.is_empty() {
            return;
        }
        let index = self.core.random_below(all_peers.len() as u32) as usize;
        self.send(&severe, &all_peers[index..=index]).await;
    }

    async fn send(&self, fingerprints: &[Fingerprint], peers: &[SocketAddr]) {
        let records = self
            .core
            .crashes
            .shared_records(fingerprints, self.core.now_ms());
        for datagram in split_into_datagrams(self.core.incarnation, records) {
            let kind = TrafficKind::CrashMessages;
            send_to(&self.core, &self.socket, &datagram, peers, kind).await;
        }
    }
}

/// Encodes records as datagrams of at most [`MESSAGE_BYTES_MAX`] bytes.
fn split_into_datagrams(from: u64, records: Vec<SharedRecord>) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut rest = records;
    while !rest.is_empty() {
        let mut count = rest.len();
        loop {
            let works = rest[..count].to_vec();
            let datagram = encode(&Datagram::Crashes { from, works });
            if datagram.len() <= MESSAGE_BYTES_MAX || count == 1 {
                datagrams.push(datagram);
                break;
            }
            count = count.div_ceil(2);
        }
        rest.drain(..count);
    }
    datagrams
}
