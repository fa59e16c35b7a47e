//! Receives messages of peers over UDP: the load that each has placed, and what it knows of the
//! store. [`crate::broadcast`] sends this gateway's messages.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_admission::demand_shares::OrganisationDemand;
use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PEER_SILENCE_MS;
use mgs_placing::peer_message::PeerMessage;
use mgs_placing::peer_message::TopicVersion;
use mgs_placing::queue_demand::GatewayDemand;
use mgs_quarantine::shared::SharedRecord;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::broadcast;
use crate::broadcast::SEND_INTERVAL_MIN;
use crate::core::Core;
use crate::crash_gossip;
use crate::engine_speeds::SpeedAt;
use crate::evacuation::ZoneOrder;
use crate::evacuation_gossip;
use crate::evacuation_state::OrderOrigin;
use crate::freshness::Freshness;
use crate::freshness::TopicReport;
use crate::held_bytes::HoldKind;
use crate::traffic::TrafficKind;
use crate::warm_up;

/// Time without a message from a peer after which it is sent messages about once a second only, in
/// milliseconds.
const RECENT_CONTACT_MS: f64 = 2_000.0;

/// Number of readers, the gateways that poll the store at short intervals so that the others
/// needn't. With two of them, the end of one isn't noticed.
const READER_COUNT: usize = 2;

/// Added to the ages that a peer reports to account for the transfer, in milliseconds: one interval
/// between two messages and the delay of a busy host.
pub(crate) const TRANSIT_MS: u64 = 50;

/// A datagram between gateways.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The load that the sender has placed, and what it knows of the store.
    Beacon(Box<PeerMessage>),
    /// Requests that have crashed endpoints.
    Crashes {
        /// Incarnation of the sender.
        from: u64,
        /// What the sender knows of them, or a part of it.
        works: Vec<SharedRecord>,
    },
    /// Orders of operators to evacuate zones.
    Evacuations {
        /// Incarnation of the sender.
        from: u64,
        /// What the sender knows, or a part of it.
        orders: Vec<ZoneOrder>,
    },
    /// Demand of organisations at the sender.
    Demand {
        /// Incarnation of the sender.
        from: u64,
        /// Number of the report; the newest counts.
        sequence: u64,
        /// The organisations with the most cost.
        demands: Vec<OrganisationDemand>,
    },
    /// What waits and is asked for at the sender.
    Waiting {
        /// Incarnation of the sender.
        from: u64,
        /// Number of the report; the newest counts.
        sequence: u64,
        /// The demand by position in the queue.
        demand: GatewayDemand,
    },
    /// Speeds of engines that the sender has observed.
    Speeds {
        /// Incarnation of the sender.
        from: u64,
        /// Number of the report; the newest counts.
        sequence: u64,
        /// Engines that don't run as declared.
        speeds: Vec<SpeedAt>,
    },
}

/// The last message from one address.
#[derive(Debug, Clone, Copy)]
struct PeerContact {
    at_ms: f64,
    is_leaving: bool,
}

/// The peers from which messages were received.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// Last message by address.
    contacts: HashMap<SocketAddr, PeerContact>,
    /// Peers that are shutting down.
    leaving: HashSet<PeerKey>,
    /// Sequence number of the last message, by incarnation.
    last_sequences: HashMap<PeerKey, u64>,
}

impl PeerTable {
    /// Addresses to send to: peers heard recently and, with `to_all`, all that the store lists.
    pub(crate) fn recipients(&self, core: &Core, now_ms: f64, to_all: bool) -> Vec<SocketAddr> {
        let recent = self.contacts.iter();
        let recent = recent.filter(|(_, contact)| now_ms - contact.at_ms < RECENT_CONTACT_MS);
        let mut addresses: Vec<SocketAddr> = recent.map(|(address, _)| *address).collect();
        if to_all {
            addresses.extend(core.published.peers().iter());
            addresses.sort();
            addresses.dedup();
        }
        addresses
    }

    /// Incarnations of the peers that are heard and aren't shutting down.
    fn staying(&self, load_table: &LoadTable) -> Vec<u64> {
        let stay = |peer: &&PeerKey| load_table.knows_peer(**peer) && !self.leaving.contains(peer);
        let mut staying: Vec<u64> = self
            .last_sequences
            .keys()
            .filter(stay)
            .map(|p| p.0)
            .collect();
        staying.sort_unstable();
        staying
    }

    /// Whether the gateway at `own` is one of the readers: those with the lowest addresses among
    /// the gateways that aren't shutting down. All gateways come to the same result without
    /// coordination.
    fn is_reader(&self, own: SocketAddr, now_ms: f64) -> bool {
        let precedes = |(address, contact): &(&SocketAddr, &PeerContact)| {
            **address < own && !contact.is_leaving && now_ms - contact.at_ms < PEER_SILENCE_MS
        };
        self.contacts.iter().filter(precedes).count() < READER_COUNT
    }
}

/// Exchanges messages with peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let peer_table = Rc::new(RefCell::new(PeerTable::default()));
    tokio::task::spawn_local(receive(core.clone(), socket.clone(), peer_table.clone()));
    tokio::task::spawn_local(maintain(core.clone(), peer_table.clone()));
    tokio::task::spawn_local(crash_gossip::run(
        core.clone(),
        socket.clone(),
        peer_table.clone(),
    ));
    tokio::task::spawn_local(evacuation_gossip::run(
        core.clone(),
        socket.clone(),
        peer_table.clone(),
    ));
    broadcast::run(core, socket, peer_table).await;
}

async fn receive(core: Rc<Core>, socket: Rc<UdpSocket>, peer_table: Rc<RefCell<PeerTable>>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                core.metrics.peer_faults.inc();
                log::debug!(error:% = error; "messages of peers can't be received");
                sleep(SEND_INTERVAL_MIN).await;
                continue;
            }
        };
        core.traffic.add(TrafficKind::HeardMessages, length);
        let decoded = bincode::serde::decode_from_slice(
            &buffer[..length],
            bincode::config::standard().with_limit::<65_536>(),
        );
        match decoded {
            Ok((Datagram::Beacon(message), _)) => {
                handle_message(&core, &peer_table, from, &message)
            }
            Ok((Datagram::Crashes { from, works }, _)) => {
                if from != core.incarnation {
                    core.record_peer_crashes(&works);
                }
            }
            Ok((Datagram::Evacuations { from, orders }, _)) => {
                if from != core.incarnation {
                    record_peer_orders(&core, &orders);
                }
            }
            Ok((
                Datagram::Demand {
                    from: peer,
                    sequence,
                    demands,
                },
                _,
            )) => core.record_peer_demand(from, peer, sequence, &demands),
            Ok((
                Datagram::Waiting {
                    from: peer,
                    sequence,
                    demand,
                },
                _,
            )) => core.record_peer_waiting(from, peer, sequence, demand),
            Ok((
                Datagram::Speeds {
                    from: peer,
                    sequence,
                    speeds,
                },
                _,
            )) => core.record_peer_speeds(from, peer, sequence, &speeds),
            Err(error) => {
                core.metrics.peer_faults.inc();
                log::warn!(peer:% = from, error:% = error; "a peer's message can't be decoded");
            }
        }
    }
}

fn handle_message(
    core: &Core,
    peer_table: &RefCell<PeerTable>,
    from: SocketAddr,
    message: &PeerMessage,
) {
    if message.from == core.incarnation {
        return;
    }
    let peer = PeerKey(message.from);
    let now_ms = core.now_ms();
    let mut peer_table = peer_table.borrow_mut();
    let before = peer_table.last_sequences.insert(peer, message.sequence);
    if let Some(newest) = before.filter(|newest| *newest >= message.sequence) {
        peer_table.last_sequences.insert(peer, newest);
        return;
    }
    if message.leaving {
        peer_table.leaving.insert(peer);
    }
    let contact = PeerContact {
        at_ms: now_ms,
        is_leaving: message.leaving,
    };
    let was_silent = peer_table
        .contacts
        .insert(from, contact)
        .is_none_or(|before| now_ms - before.at_ms > RECENT_CONTACT_MS);
    if was_silent || before.is_none() {
        core.crashes.newcomers.borrow_mut().push(from);
        core.crashes.urgent.notify_one();
        core.evacuation_newcomers.borrow_mut().push(from);
        core.published.evacuations().wake();
    }
    if was_silent {
        log::info!(peer:% = from; "a peer is heard");
    }
    if message.is_whole {
        record_peer_reports(core, from, message);
    }
    if let Some(gateways) = message.gateways {
        core.gateway_count
            .borrow_mut()
            .record_reported(gateways as usize);
    }
    core.apply_peer_advice(message);
    let fleet = core.published.fleet();
    let by_hash = core.published.endpoint_keys_by_hash();
    let key_of = |hash: u64| by_hash.get(&hash).copied();
    let loads: Vec<(EndpointKey, EndpointLoad)> = message
        .held
        .iter()
        .filter_map(|at| Some((key_of(at.endpoint)?, at.held.clone())))
        .collect();
    let mut load_table = core.load_table.borrow_mut();
    for prefill in &message.reads {
        if let Some(key) = key_of(prefill.endpoint).filter(|key| fleet.by_key.contains_key(key)) {
            let prefill_ms = f64::from(prefill.read_ms);
            load_table.add_peer_prefill(key, now_ms, prefill_ms, prefill.reads);
        }
    }
    for refused in &message.refusals {
        if let Some(key) = key_of(refused.endpoint) {
            let age_ms = u64::from(refused.age_ms) + TRANSIT_MS;
            let at_ms = core.now_whole_ms().saturating_sub(age_ms);
            core.helpers.borrow_mut().record_peer_refusal(key, at_ms);
        }
    }
    if !message.is_whole {
        load_table.extend_peer(peer, now_ms, message.waiting, loads);
        return;
    }
    let report = load_table::PeerReport {
        zone: message.zone,
        waiting: message.waiting,
        lengths: message.lengths.clone(),
        loads,
    };
    load_table.replace_peer(peer, now_ms, report);
}

/// Takes the orders to evacuate zones that a peer knows.
fn record_peer_orders(core: &Core, orders: &[ZoneOrder]) {
    let now_ms = core.now_whole_ms();
    core.published
        .update_evacuations(OrderOrigin::Peer, |evacuations| {
            evacuations.merge(orders, now_ms)
        });
}

/// Takes what a peer knows of the store.
fn record_peer_reports(core: &Core, from: SocketAddr, message: &PeerMessage) {
    let published = &core.published;
    let now_ms = core.now_whole_ms();
    if message.configuration.is_some() {
        published.record_informed_peer(from);
    }
    let record = |freshness: &Freshness, knows: Option<TopicVersion>| {
        let Some(knows) = knows else {
            return;
        };
        freshness.record_report(TopicReport {
            content_id: knows.content,
            confirmed_ms: now_ms.saturating_sub(u64::from(knows.age_ms) + TRANSIT_MS),
            from,
        });
    };
    record(published.configuration_freshness(), message.configuration);
    record(published.endpoint_freshness(), message.endpoints);
}

/// Updates whether this gateway is a reader.
fn refresh_reader_role(core: &Core, peer_table: &PeerTable) {
    let published = &core.published;
    let is_reader = peer_table.is_reader(core.options.peer_listen, core.now_ms());
    if published.set_is_reader(is_reader) {
        log::info!(reader = is_reader; "who asks the store often has changed");
    }
}

/// Regularly updates the number of gateways, and forgets peers that fell silent.
async fn maintain(core: Rc<Core>, peer_table: Rc<RefCell<PeerTable>>) {
    const INTERVAL: Duration = Duration::from_millis(250);
    loop {
        sleep(INTERVAL).await;
        let now_ms = core.now_ms();
        let (silent, peers) = {
            let mut load_table = core.load_table.borrow_mut();
            (load_table.expire_peers(now_ms), load_table.peer_count())
        };
        refresh_reader_role(&core, &peer_table.borrow());
        let staying = peer_table.borrow().staying(&core.load_table.borrow());
        core.share_limits(staying);
        core.helpers.borrow_mut().expire(core.now_whole_ms());
        warm_up::probe_ended_endpoints(&core);
        for peer in silent {
            let mut peer_table = peer_table.borrow_mut();
            peer_table.last_sequences.remove(&peer);
            peer_table.leaving.remove(&peer);
            drop(peer_table);
            core.drop_peer_demand(peer);
            core.forget_peer_speeds(peer);
            core.drop_peer_waiting(peer);
            log::info!(peer = format!("{:x}", peer.0); "a peer fell silent");
        }
        core.metrics.peers.set(peers as i64);
        update_gateway_count(&core, peers, now_ms);
        set_store_gauges(&core);
        set_held_gauges(&core);
        core.review_speeds();
    }
}

/// Updates the number of gateways.
fn update_gateway_count(core: &Core, peers: usize, now_ms: f64) {
    core.gateway_count.borrow_mut().record_heard(peers, now_ms);
    let sharing = core.gateways_sharing().map_or(-1, |n| n as i64);
    if core.metrics.gateways.get() != sharing {
        log::info!(gateways = sharing, heard = peers; "how many gateways there are has changed");
    }
    core.metrics.gateways.set(sharing);
}

fn set_held_gauges(core: &Core) {
    for kind in HoldKind::ALL {
        let held_bytes = core.held.held_bytes(kind) as i64;
        core.metrics.held_bytes.set(kind.name(), held_bytes);
    }
}

fn set_store_gauges(core: &Core) {
    let age = |age_ms: Option<u64>| age_ms.map_or(-1, |age_ms| age_ms as i64);
    let published = &core.published;
    let metrics = &core.metrics;
    let version = published.configuration().map_or(0, |c| c.version);
    metrics.configuration_version.set(version as i64);
    metrics
        .configuration_age_ms
        .set(age(published.configuration_age_ms()));
    metrics.fleet_age_ms.set(age(published.fleet_age_ms()));
    metrics.endpoints.set(published.fleet().by_key.len() as i64);
    let evacuated = published.evacuations().zones().evacuated.len();
    metrics.evacuated_zones.set(evacuated as i64);
}
