//! How gateways tell each other of requests that crash endpoints.
//!
//! What makes a verdict graver goes to all peers at once, and once more later, since datagrams get lost; what makes it milder waits
//! a moment. Each second one peer drawn by lot is told all that is grave, so that one that was cut off learns it too, and
//! a peer that is heard for the first time is told it at once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_quarantine::key::WorkKey;
use mgs_quarantine::table::Told;
use tokio::net::UdpSocket;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::broadcast::encode;
use crate::broadcast::send_to;
use crate::broadcast::MESSAGE_BYTES_MAX;
use crate::core::Core;
use crate::peers::Message;
use crate::peers::PeerTable;
use crate::traffic::TrafficKind;

/// Longest wait before what isn't urgent is told, and between what is urgent and its repetition.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two peers that are told all that is grave.
const RANDOM_PEER_INTERVAL: Duration = Duration::from_secs(1);

/// Tells peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, peer_table: Rc<RefCell<PeerTable>>) {
    let mut repeated: Vec<WorkKey> = Vec::new();
    let mut random_peer_at = Instant::now() + RANDOM_PEER_INTERVAL;
    let gossip = CrashGossip {
        core,
        socket,
        peer_table,
    };
    loop {
        let waiting = gossip.core.crashes.urgent.notified();
        // Whether something is urgent or time is up, what is new is told.
        let is_urgent = timeout(REPEAT_INTERVAL, waiting).await.is_ok();
        gossip.send_to_newcomers().await;
        let changed = gossip.core.crashes.take_fresh();
        gossip.send_to_all(&changed).await;
        if !is_urgent {
            gossip.send_to_all(&repeated).await;
            repeated.clear();
        }
        repeated.extend(changed);
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

    async fn send_to_all(&self, works: &[WorkKey]) {
        if !works.is_empty() {
            self.send(works, &self.all_peers()).await;
        }
    }

    /// Tells peers that have just started, or were cut off, all that is grave.
    async fn send_to_newcomers(&self) {
        let newcomers = self.core.crashes.newcomers.take();
        if !newcomers.is_empty() {
            self.send(&self.core.crashes.grave(), &newcomers).await;
        }
    }

    async fn send_to_random_peer(&self) {
        let grave = self.core.crashes.grave();
        let all_peers = self.all_peers();
        if grave.is_empty() || all_peers.is_empty() {
            return;
        }
        let index = self.core.random_below(all_peers.len() as u32) as usize;
        self.send(&grave, &all_peers[index..=index]).await;
    }

    async fn send(&self, works: &[WorkKey], peers: &[SocketAddr]) {
        let told = self.core.crashes.told(works, self.core.now_ms());
        for message in split_into_messages(self.core.incarnation, told) {
            let kind = TrafficKind::CrashMessages;
            send_to(&self.core, &self.socket, &message, peers, kind).await;
        }
    }
}

/// Messages that fit a datagram each.
fn split_into_messages(from: u64, works: Vec<Told>) -> Vec<Vec<u8>> {
    let mut messages = Vec::new();
    let mut rest = works;
    while !rest.is_empty() {
        let mut taken = rest.len();
        loop {
            let works = rest[..taken].to_vec();
            let message = encode(&Message::Crashes { from, works });
            if message.len() <= MESSAGE_BYTES_MAX || taken == 1 {
                messages.push(message);
                break;
            }
            taken = taken.div_ceil(2);
        }
        rest.drain(..taken);
    }
    messages
}
