//! Sends the known orders to evacuate zones to peers: to all of them when a zone is evacuated or
//! restored, to a peer that is heard for the first time, and with each full message.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::broadcast::encode;
use crate::broadcast::send_to;
use crate::broadcast::MESSAGE_BYTES_MAX;
use crate::core::Core;
use crate::evacuation::ZoneOrder;
use crate::evacuation_state::Zones;
use crate::peers::Datagram;
use crate::peers::PeerTable;
use crate::traffic::TrafficKind;

/// All known orders as datagrams, encoded when the orders change.
#[derive(Debug, Default)]
pub(crate) struct EncodedOrders {
    /// What the datagrams were encoded from.
    zones: Arc<Zones>,
    datagrams: Rc<[Vec<u8>]>,
}

impl EncodedOrders {
    /// The datagrams of the gateway `from` for the current orders.
    fn datagrams(&mut self, from: u64, zones: Arc<Zones>) -> Rc<[Vec<u8>]> {
        if !Arc::ptr_eq(&self.zones, &zones) {
            self.datagrams = split_into_datagrams(from, &zones.orders).into();
            self.zones = zones;
        }
        self.datagrams.clone()
    }
}

/// Sends orders that change until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, peer_table: Rc<RefCell<PeerTable>>) {
    let evacuations = core.published.evacuations();
    let mut sent = evacuations.zones();
    count_changes(&core, &BTreeSet::new(), &sent.evacuated);
    loop {
        evacuations.changed().await;
        let newcomers = core.evacuation_newcomers.take();
        let zones = evacuations.zones();
        let peers = match zones.evacuated == sent.evacuated {
            true => newcomers,
            false => all_peers(&core, &peer_table),
        };
        count_changes(&core, &sent.evacuated, &zones.evacuated);
        let datagrams = encoded(&core, zones.clone());
        sent = zones;
        for datagram in datagrams.iter() {
            send(&core, &socket, datagram, &peers).await;
        }
    }
}

/// Sends the orders to peers that get a full message. If they don't fit one datagram, each full
/// message is followed by the next part of them.
pub(crate) async fn send_with_full_message(
    core: &Core,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    full_messages_sent: u64,
) {
    let datagrams = encoded(core, core.published.evacuations().zones());
    if datagrams.is_empty() {
        return;
    }
    let index = full_messages_sent as usize % datagrams.len();
    send(core, socket, &datagrams[index], peers).await;
}

fn encoded(core: &Core, zones: Arc<Zones>) -> Rc<[Vec<u8>]> {
    let mut encoded = core.encoded_orders.borrow_mut();
    encoded.datagrams(core.incarnation, zones)
}

async fn send(core: &Core, socket: &UdpSocket, datagram: &[u8], peers: &[SocketAddr]) {
    let kind = TrafficKind::EvacuationMessages;
    send_to(core, socket, datagram, peers, kind).await;
}

fn all_peers(core: &Core, peer_table: &RefCell<PeerTable>) -> Vec<SocketAddr> {
    peer_table.borrow().recipients(core, core.now_ms(), true)
}

/// Counts the zones that were evacuated or restored.
fn count_changes(core: &Core, before: &BTreeSet<String>, now: &BTreeSet<String>) {
    for _ in now.difference(before) {
        core.metrics.zone_changes.inc("evacuated");
    }
    for _ in before.difference(now) {
        core.metrics.zone_changes.inc("restored");
    }
}

/// Encodes orders as datagrams of at most [`MESSAGE_BYTES_MAX`] bytes.
fn split_into_datagrams(from: u64, orders: &[ZoneOrder]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut part: Vec<ZoneOrder> = Vec::new();
    let mut encoded = Vec::new();
    for order in orders {
        part.push(order.clone());
        let longer = encode(&evacuations(from, &part));
        if longer.len() <= MESSAGE_BYTES_MAX {
            encoded = longer;
            continue;
        }
        datagrams.push(encoded);
        part = vec![order.clone()];
        encoded = encode(&evacuations(from, &part));
    }
    if !part.is_empty() {
        datagrams.push(encoded);
    }
    datagrams
}

fn evacuations(from: u64, orders: &[ZoneOrder]) -> Datagram {
    Datagram::Evacuations {
        from,
        orders: orders.to_vec(),
    }
}
