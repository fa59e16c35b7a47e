//! Sends this gateway's state to its peers: short messages with new load at once, at most one every
//! few milliseconds, and a full message with all its load a few times a second.

use std::cell::RefCell;
use std::io;
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
use tokio::time::Instant;

use crate::core::Core;
use crate::drain::Phase;
use crate::evacuation_gossip;
use crate::freshness::Freshness;
use crate::link_use::SEND_INTERVAL_MIN_MS;
use crate::message_schedule::is_for_all;
use crate::message_schedule::until_due;
use crate::message_schedule::DueMessage;
use crate::peers::Datagram;
use crate::peers::PeerTable;
use crate::traffic::TrafficKind;
use crate::view::Fleet;

/// Minimum time between two messages on a link with room; what is placed meanwhile is sent together.
pub(crate) const SEND_INTERVAL_MIN: Duration = Duration::from_millis(SEND_INTERVAL_MIN_MS);

/// Maximum size of a message, in bytes. Larger datagrams would be fragmented, and the loss of one
/// fragment loses them all.
pub(crate) const MESSAGE_BYTES_MAX: usize = 1_400;

/// Sends messages to peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, peer_table: Rc<RefCell<PeerTable>>) {
    let mut broadcaster = Broadcaster {
        core,
        socket,
        peer_table,
        sequence: 0,
        full_messages_sent: 0,
        last_to_all: None,
    };
    loop {
        let pace = broadcaster.core.observe_link();
        let full_interval = Duration::from_millis(pace.full_interval_ms);
        broadcaster.send_full(full_interval).await;
        let pace = broadcaster.core.observe_link();
        let full_at = Instant::now() + Duration::from_millis(pace.full_interval_ms);
        let mut sent_at = Instant::now();
        sleep(Duration::from_millis(pace.send_interval_ms)).await;
        loop {
            let due = until_due(&broadcaster.core.broadcast_wanted, full_at, sent_at).await;
            if due == DueMessage::Full || broadcaster.core.full_message_wanted.get() {
                break;
            }
            broadcaster.send_short().await;
            sent_at = Instant::now();
            let pace = broadcaster.core.observe_link();
            sleep(Duration::from_millis(pace.send_interval_ms)).await;
        }
    }
}

/// Builds and sends the messages.
struct Broadcaster {
    core: Rc<Core>,
    socket: Rc<UdpSocket>,
    peer_table: Rc<RefCell<PeerTable>>,
    /// Sequence number of the last message.
    sequence: u64,
    /// Number of full messages sent.
    full_messages_sent: u64,
    /// When a full message was last sent to all listed gateways, and its number.
    last_to_all: Option<(Instant, u64)>,
}

impl Broadcaster {
    /// Sends all load that this gateway has placed and what it knows of the store.
    async fn send_full(&mut self, full_interval: Duration) {
        let message = self.next_message(true);
        let core = &self.core;
        core.unreported_loads.take();
        core.full_message_wanted.set(false);
        let mut message = PeerMessage {
            is_whole: true,
            configuration: store_knowledge(core, core.published.configuration_freshness()),
            endpoints: store_knowledge(core, core.published.endpoint_freshness()),
            lengths: core.lengths.borrow().band_counts(core.now_ms()),
            gateways: gateways_sharing(core),
            ..message
        };
        let loads = core.load_table.borrow().own_loads();
        add_loads(&mut message, &core.published.fleet(), loads);
        // Silent peers are sent a message about once a second.
        let sent = self.full_messages_sent;
        let to_all = self.last_to_all.is_none_or(|(sent_at, number)| {
            is_for_all(sent - number, sent_at.elapsed(), full_interval)
        });
        if to_all {
            self.last_to_all = Some((Instant::now(), sent));
        }
        self.send(&encode_to_fit(message), to_all, TrafficKind::FullMessages)
            .await;
        self.send_evacuations(to_all).await;
        if let Some(demand) = core.demand_datagram() {
            self.send(&encode(&demand), to_all, TrafficKind::FullMessages)
                .await;
        }
        if let Some(speeds) = core.speeds_datagram() {
            self.send(&encode(&speeds), to_all, TrafficKind::FullMessages)
                .await;
        }
        if let Some(waiting) = core.waiting_datagram() {
            self.send(&encode(&waiting), to_all, TrafficKind::FullMessages)
                .await;
        }
        self.full_messages_sent += 1;
    }

    /// Sends the known orders to evacuate zones.
    async fn send_evacuations(&self, to_all: bool) {
        let core = &self.core;
        let now_ms = core.now_ms();
        let peers = self.peer_table.borrow().recipients(core, now_ms, to_all);
        let sent = self.full_messages_sent;
        evacuation_gossip::send_with_full_message(core, &self.socket, &peers, sent).await;
    }

    /// Sends the load that this gateway has placed since the last message.
    async fn send_short(&mut self) {
        let mut message = self.next_message(false);
        let loads = self.core.unreported_loads.take();
        add_loads(&mut message, &self.core.published.fleet(), loads);
        self.send(&encode_to_fit(message), false, TrafficKind::ShortMessages)
            .await;
    }

    /// Starts a message with the fields that full and short ones share.
    fn next_message(&mut self, is_full: bool) -> PeerMessage {
        let core = &self.core;
        self.sequence += 1;
        let mut message = PeerMessage {
            from: core.incarnation,
            sequence: self.sequence,
            leaving: core.drain.phase() != Phase::Serving,
            zone: core.zone,
            waiting: core.queue_heads(),
            clock_ms: core.shared_clock_ms(),
            advice: core.take_peer_advice(is_full),
            ..PeerMessage::default()
        };
        let fleet = core.published.fleet();
        message.refusals = refusals(core, &fleet, is_full);
        for prefill in core.unreported_prefills.take() {
            if let Some(endpoint) = endpoint_hash(&fleet, prefill.endpoint) {
                message.reads.push(PrefillAt {
                    endpoint,
                    read_ms: prefill.prefill_ms.round() as u16,
                    reads: prefill.part,
                });
            }
        }
        message
    }

    async fn send(&self, message: &[u8], to_all: bool, kind: TrafficKind) {
        let core = &self.core;
        let addresses = self
            .peer_table
            .borrow()
            .recipients(core, core.now_ms(), to_all);
        send_to(core, &self.socket, message, &addresses, kind).await;
    }
}

/// Refusals to help that are to be reported: new ones, or all of them.
fn refusals(core: &Core, fleet: &Fleet, is_full: bool) -> Vec<RefusalAt> {
    let (now_ms, confirmed_ms) = (core.now_whole_ms(), core.fleet_confirmed_ms());
    let refused = core
        .helpers
        .borrow_mut()
        .take_reports(is_full, now_ms, confirmed_ms);
    let refused_at = |(key, age_ms): (EndpointKey, u64)| {
        Some(RefusalAt {
            endpoint: endpoint_hash(fleet, key)?,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        })
    };
    refused.into_iter().filter_map(refused_at).collect()
}

/// Sends a message to peers. A failure is logged and counted but not retried; the peer gets the
/// next message.
pub(crate) async fn send_to(
    core: &Core,
    socket: &UdpSocket,
    message: &[u8],
    peers: &[SocketAddr],
    kind: TrafficKind,
) {
    core.traffic.add(kind, message.len() * peers.len());
    for peer in peers {
        if let Err(error) = send_datagram(core, socket, message, *peer).await {
            core.metrics.peer_faults.inc();
            log::debug!(peer:% = peer, error:% = error; "a message can't be sent to a peer");
        }
    }
}

/// Sends a datagram, and records for how long the socket took nothing.
async fn send_datagram(
    core: &Core,
    socket: &UdpSocket,
    message: &[u8],
    peer: SocketAddr,
) -> io::Result<usize> {
    match socket.try_send_to(message, peer) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            let _blocked = core.traffic.begin_blocked();
            socket.send_to(message, peer).await
        }
        sent => sent,
    }
}

fn add_loads(message: &mut PeerMessage, fleet: &Fleet, loads: Vec<(EndpointKey, EndpointLoad)>) {
    for (key, load) in loads {
        if let Some(endpoint) = endpoint_hash(fleet, key) {
            message.held.push(LoadAt {
                endpoint,
                held: load,
            });
        }
    }
}

/// Encodes a datagram.
pub(crate) fn encode(datagram: &Datagram) -> Vec<u8> {
    bincode::serde::encode_to_vec(datagram, bincode::config::standard())
        .expect("BUG: a datagram is plain data")
}

/// Encodes a message so that it fits a datagram.
fn encode_to_fit(mut message: PeerMessage) -> Vec<u8> {
    loop {
        let datagram = Datagram::Beacon(Box::new(message));
        let encoded = encode(&datagram);
        let Datagram::Beacon(boxed) = datagram else {
            unreachable!("the datagram was built from a message")
        };
        message = *boxed;
        if encoded.len() <= MESSAGE_BYTES_MAX || message.held.is_empty() {
            return encoded;
        }
        // The last endpoints are left out; peers see them as less loaded until a later message.
        let kept = message.held.len() * 3 / 4;
        message.held.truncate(kept);
        message.reads.truncate(kept.max(1));
    }
}

fn gateways_sharing(core: &Core) -> Option<u32> {
    u32::try_from(core.gateways_sharing()?).ok()
}

fn store_knowledge(core: &Core, freshness: &Freshness) -> Option<TopicVersion> {
    let age_ms = freshness.age_ms(core.now_whole_ms())?;
    Some(TopicVersion {
        content: freshness.content_id(),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    })
}

fn endpoint_hash(fleet: &Fleet, key: EndpointKey) -> Option<u64> {
    let endpoint = fleet.by_key.get(&key)?;
    Some(endpoint.facts.incarnation.hash_64())
}
