//! What this gateway tells its peers: what it places at once, at most every few milliseconds, and all that it holds a few
//! times a second.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::peer_message::LoadAt;
use mgs_placing::peer_message::PeerMessage;
use mgs_placing::peer_message::PrefillAt;
use mgs_placing::peer_message::RefusalAt;
use mgs_placing::peer_message::TopicVersion;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::belief::Belief;
use crate::core::Core;
use crate::drain::Phase;
use crate::peers::Known;
use crate::peers::Message;
use crate::traffic::Carried;
use crate::view::Fleet;

/// Least time between two messages: what is placed meanwhile goes together.
pub(crate) const INTERVAL_MIN: Duration = Duration::from_millis(15);

/// Time between two whole messages.
const WHOLE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest message; larger ones would be cut into fragments, all of which must arrive.
pub(crate) const MESSAGE_BYTES_MAX: usize = 1_400;

/// Whole messages go to all listed gateways each so many messages, else to those heard of late.
const WHOLE_TO_ALL: u64 = 4;

/// Tells peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, known: Rc<RefCell<Known>>) {
    let mut teller = Teller {
        core,
        socket,
        known,
        sequence: 0,
        wholes: 0,
    };
    loop {
        teller.tell_all().await;
        let whole_at = Instant::now() + WHOLE_INTERVAL;
        sleep(INTERVAL_MIN).await;
        while timeout_at(whole_at, teller.core.board_changed.notified())
            .await
            .is_ok()
        {
            if teller.core.whole_wanted.get() {
                break;
            }
            teller.tell_more().await;
            sleep(INTERVAL_MIN).await;
        }
    }
}

/// Tells peers.
struct Teller {
    core: Rc<Core>,
    socket: Rc<UdpSocket>,
    known: Rc<RefCell<Known>>,
    /// Number of the last message.
    sequence: u64,
    /// Whole messages so far.
    wholes: u64,
}

impl Teller {
    /// Tells all that this gateway holds and knows.
    async fn tell_all(&mut self) {
        let next = self.next(true);
        let core = &self.core;
        core.fresh_held.take();
        core.whole_wanted.set(false);
        let mut beacon = PeerMessage {
            is_whole: true,
            configuration: knows(core, core.published.configuration_belief()),
            endpoints: knows(core, core.published.endpoint_belief()),
            lengths: core.lengths.borrow().band_counts(core.now_ms()),
            gateways: sharing(core),
            ..next
        };
        let held = core.board.borrow().own_loads();
        add_held(&mut beacon, &core.published.fleet(), held);
        // Silent ones hear from us about once a second.
        let to_all = self.wholes.is_multiple_of(WHOLE_TO_ALL);
        self.send(&shortened(beacon), to_all, Carried::WholeMessages)
            .await;
        self.wholes += 1;
    }

    /// Tells what this gateway holds more since it was last told.
    async fn tell_more(&mut self) {
        let mut beacon = self.next(false);
        let held = self.core.fresh_held.take();
        add_held(&mut beacon, &self.core.published.fleet(), held);
        self.send(&shortened(beacon), false, Carried::ShortMessages)
            .await;
    }

    /// A message with what each of them has, whole ones and others.
    fn next(&mut self, is_whole: bool) -> PeerMessage {
        let core = &self.core;
        self.sequence += 1;
        let mut beacon = PeerMessage {
            from: core.incarnation,
            sequence: self.sequence,
            leaving: core.drain.phase() != Phase::Serving,
            zone: core.zone,
            waiting: core.first_waiting(),
            clock_ms: core.shared_clock_ms(),
            advice: core.advice_to_tell(is_whole),
            ..PeerMessage::default()
        };
        let fleet = core.published.fleet();
        beacon.refusals = refusals(core, &fleet, is_whole);
        for read in core.fresh_reads.take() {
            if let Some(endpoint) = hash_of(&fleet, read.endpoint) {
                beacon.reads.push(PrefillAt {
                    endpoint,
                    read_ms: read.read_ms.round() as u16,
                    reads: read.reads,
                });
            }
        }
        beacon
    }

    async fn send(&self, message: &[u8], to_all: bool, carried: Carried) {
        let core = &self.core;
        let addresses = self.known.borrow().addresses(core, core.now_ms(), to_all);
        send_to(core, &self.socket, message, &addresses, carried).await;
    }
}

/// Refusals to help that peers are told of.
fn refusals(core: &Core, fleet: &Fleet, is_all: bool) -> Vec<RefusalAt> {
    let (now_ms, confirmed_ms) = (core.now_whole_ms(), core.fleet_confirmed_ms());
    let told = core
        .helpers
        .borrow_mut()
        .take_told(is_all, now_ms, confirmed_ms);
    let refused_at = |(key, age_ms): (EndpointKey, u64)| {
        Some(RefusalAt {
            endpoint: hash_of(fleet, key)?,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        })
    };
    told.into_iter().filter_map(refused_at).collect()
}

/// Sends a message to peers. One that can't be told is told the next time.
pub(crate) async fn send_to(
    core: &Core,
    socket: &UdpSocket,
    message: &[u8],
    peers: &[SocketAddr],
    carried: Carried,
) {
    core.traffic.add(carried, message.len() * peers.len());
    for peer in peers {
        if let Err(error) = socket.send_to(message, peer).await {
            core.metrics.peer_faults.inc();
            log::debug!(peer:% = peer, error:% = error; "a peer can't be told");
        }
    }
}

fn add_held(beacon: &mut PeerMessage, fleet: &Fleet, held: Vec<(EndpointKey, EndpointLoad)>) {
    for (key, held) in held {
        if let Some(endpoint) = hash_of(fleet, key) {
            beacon.held.push(LoadAt { endpoint, held });
        }
    }
}

/// A message as it is sent.
pub(crate) fn encode(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("BUG: a message is plain data")
}

/// A message that fits a datagram.
fn shortened(mut beacon: PeerMessage) -> Vec<u8> {
    loop {
        let message = Message::Beacon(Box::new(beacon));
        let encoded = encode(&message);
        let Message::Beacon(boxed) = message else {
            unreachable!("it was made as one")
        };
        beacon = *boxed;
        if encoded.len() <= MESSAGE_BYTES_MAX || beacon.held.is_empty() {
            return encoded;
        }
        // The endpoints named last are left out; peers see them as less loaded for a moment.
        let fewer = beacon.held.len() * 3 / 4;
        beacon.held.truncate(fewer);
        beacon.reads.truncate(fewer.max(1));
    }
}

fn sharing(core: &Core) -> Option<u32> {
    u32::try_from(core.gateways_sharing()?).ok()
}

fn knows(core: &Core, belief: &Belief) -> Option<TopicVersion> {
    let age_ms = belief.age_ms(core.now_whole_ms())?;
    Some(TopicVersion {
        content: belief.content(),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    })
}

fn hash_of(fleet: &Fleet, key: EndpointKey) -> Option<u64> {
    let endpoint = fleet.by_key.get(&key)?;
    Some(endpoint.facts.incarnation.hash_64())
}
