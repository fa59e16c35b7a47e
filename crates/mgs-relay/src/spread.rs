//! How gateways tell each other of requests that crash endpoints.
//!
//! What makes a verdict graver goes to all peers at once, and once more later, since datagrams get lost; what makes it milder waits
//! a moment. Each second one peer drawn by lot is told all that is grave, so that one that was cut off learns it too, and
//! a peer that is heard for the first time is told it at once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::table::SharedRecord;
use tokio::net::UdpSocket;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::core::Core;
use crate::peers::Known;
use crate::peers::Message;
use crate::tell::encode;
use crate::tell::send_to;
use crate::tell::MESSAGE_BYTES_MAX;
use crate::traffic::Carried;

/// Longest wait before what isn't urgent is told, and between what is urgent and its repetition.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time between two peers that are told all that is grave.
const GOSSIP: Duration = Duration::from_secs(1);

/// Tells peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, known: Rc<RefCell<Known>>) {
    let mut repeated: Vec<Fingerprint> = Vec::new();
    let mut gossip_at = Instant::now() + GOSSIP;
    let spread = Spread {
        core,
        socket,
        known,
    };
    loop {
        let waiting = spread.core.crashes.urgent.notified();
        // Whether something is urgent or time is up, what is new is told.
        let is_urgent = timeout(INTERVAL, waiting).await.is_ok();
        spread.welcome().await;
        let fresh = spread.core.crashes.take_fresh();
        spread.tell_all(&fresh).await;
        if !is_urgent {
            spread.tell_all(&repeated).await;
            repeated.clear();
        }
        repeated.extend(fresh);
        if Instant::now() >= gossip_at {
            gossip_at = Instant::now() + GOSSIP;
            spread.gossip().await;
        }
    }
}

struct Spread {
    core: Rc<Core>,
    socket: Rc<UdpSocket>,
    known: Rc<RefCell<Known>>,
}

impl Spread {
    fn everybody(&self) -> Vec<SocketAddr> {
        let now_ms = self.core.now_ms();
        self.known.borrow().addresses(&self.core, now_ms, true)
    }

    async fn tell_all(&self, works: &[Fingerprint]) {
        if !works.is_empty() {
            self.tell(works, &self.everybody()).await;
        }
    }

    /// Tells peers that have just started, or were cut off, all that is grave.
    async fn welcome(&self) {
        let newcomers = self.core.crashes.newcomers.take();
        if !newcomers.is_empty() {
            self.tell(&self.core.crashes.grave(), &newcomers).await;
        }
    }

    async fn gossip(&self) {
        let grave = self.core.crashes.grave();
        let everybody = self.everybody();
        if grave.is_empty() || everybody.is_empty() {
            return;
        }
        let drawn = self.core.random_below(everybody.len() as u32) as usize;
        self.tell(&grave, &everybody[drawn..=drawn]).await;
    }

    async fn tell(&self, works: &[Fingerprint], peers: &[SocketAddr]) {
        let told = self.core.crashes.told(works, self.core.now_ms());
        for message in messages(self.core.incarnation, told) {
            let carried = Carried::CrashMessages;
            send_to(&self.core, &self.socket, &message, peers, carried).await;
        }
    }
}

/// Messages that fit a datagram each.
fn messages(from: u64, works: Vec<SharedRecord>) -> Vec<Vec<u8>> {
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
