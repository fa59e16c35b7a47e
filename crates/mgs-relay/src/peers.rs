//! What gateways tell each other, over datagrams: each sends what it holds when that changes, at most
//! every few milliseconds, and a sign of life otherwise.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Held;
use mgs_placing::board::PeerKey;
use mgs_placing::share::Beacon;
use mgs_placing::share::HeldAt;
use mgs_placing::share::ReadAt;
use mgs_placing::turn::Score;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::Core;
use crate::drain::Phase;
use crate::view::Fleet;

/// Least time between two messages: what is placed meanwhile goes together.
const INTERVAL_MIN: Duration = Duration::from_millis(15);

/// Most time between two messages.
const INTERVAL_MAX: Duration = Duration::from_millis(300);

/// Longest message; larger ones would be cut into fragments, all of which must arrive.
const MESSAGE_BYTES_MAX: usize = 1_400;

/// A peer that was not heard of for this long gets signs of life only, in milliseconds.
const SILENT_MS: f64 = 2_000.0;

/// The number of gateways that shares the budget of second tries: how long the largest one counts.
const GATEWAYS_MEMORY: Duration = Duration::from_secs(20);

/// Peers by address: when each was last heard, and the last message's number by incarnation.
#[derive(Debug, Default)]
struct Known {
    heard_ms: HashMap<SocketAddr, f64>,
    sequences: HashMap<PeerKey, u64>,
}

impl Known {
    /// Who is told: those heard of late, and at times all that are listed.
    fn addresses(&self, core: &Core, now_ms: f64, to_all: bool) -> Vec<SocketAddr> {
        let near = self.heard_ms.iter();
        let near = near.filter(|(_, at_ms)| now_ms - **at_ms < SILENT_MS);
        let mut addresses: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
        if to_all {
            addresses.extend(core.published.peers().iter());
            addresses.sort();
            addresses.dedup();
        }
        addresses
    }
}

/// Talks with peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let known = Rc::new(RefCell::new(Known::default()));
    tokio::task::spawn_local(listen(core.clone(), socket.clone(), known.clone()));
    tokio::task::spawn_local(count(core.clone()));
    let mut sequence = 0;
    loop {
        sequence += 1;
        tell(&core, &socket, &known, sequence).await;
        sleep(INTERVAL_MIN).await;
        // Whether something changed or time is up is all the same.
        let _ = timeout(INTERVAL_MAX, core.board_changed.notified()).await;
    }
}

async fn tell(core: &Core, socket: &UdpSocket, known: &RefCell<Known>, sequence: u64) {
    let message = encode(core, sequence);
    let now_ms = core.now_ms();
    // Silent ones hear from us about once a second.
    let to_all = sequence.is_multiple_of(8);
    let addresses = known.borrow().addresses(core, now_ms, to_all);
    for address in addresses {
        if let Err(error) = socket.send_to(&message, address).await {
            core.metrics.peer_faults.inc();
            log::debug!(peer:% = address, error:% = error; "a peer can't be told");
        }
    }
}

fn encode(core: &Core, sequence: u64) -> Vec<u8> {
    let fleet = core.published.fleet();
    let mut beacon = Beacon {
        from: core.incarnation,
        sequence,
        leaving: core.drain.phase() != Phase::Serving,
        waiting: core.best_waiting().map(|score| score.0),
        held: Vec::new(),
        reads: Vec::new(),
    };
    for (key, held) in core.board.borrow().own() {
        if let Some(endpoint) = hash_of(&fleet, key) {
            beacon.held.push(HeldAt { endpoint, held });
        }
    }
    for read in core.fresh_reads.take() {
        if let Some(endpoint) = hash_of(&fleet, read.endpoint) {
            let read_ms = read.read_ms.round() as u16;
            beacon.reads.push(ReadAt { endpoint, read_ms });
        }
    }
    loop {
        let message = bincode::serde::encode_to_vec(&beacon, bincode::config::standard())
            .expect("BUG: a beacon is plain data");
        if message.len() <= MESSAGE_BYTES_MAX || beacon.held.is_empty() {
            return message;
        }
        // The endpoints named last are left out; peers see them as less loaded for a moment.
        let fewer = beacon.held.len() * 3 / 4;
        beacon.held.truncate(fewer);
        beacon.reads.truncate(fewer.max(1));
    }
}

fn hash_of(fleet: &Fleet, key: EndpointKey) -> Option<u64> {
    let endpoint = fleet.by_key.get(&key)?;
    Some(xxh3_64(endpoint.id.as_bytes()))
}

async fn listen(core: Rc<Core>, socket: Rc<UdpSocket>, known: Rc<RefCell<Known>>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                core.metrics.peer_faults.inc();
                log::debug!(error:% = error; "peers can't be heard");
                sleep(INTERVAL_MIN).await;
                continue;
            }
        };
        let decoded = bincode::serde::decode_from_slice(
            &buffer[..length],
            bincode::config::standard().with_limit::<65_536>(),
        );
        match decoded {
            Ok((beacon, _)) => hear(&core, &known, from, &beacon),
            Err(error) => {
                core.metrics.peer_faults.inc();
                log::warn!(peer:% = from, error:% = error; "a peer's message can't be read");
            }
        }
    }
}

fn hear(core: &Core, known: &RefCell<Known>, from: SocketAddr, beacon: &Beacon) {
    if beacon.from == core.incarnation {
        return;
    }
    let peer = PeerKey(beacon.from);
    let now_ms = core.now_ms();
    let mut known = known.borrow_mut();
    let before = known.sequences.insert(peer, beacon.sequence);
    if let Some(newest) = before.filter(|newest| *newest >= beacon.sequence) {
        known.sequences.insert(peer, newest);
        return;
    }
    let was_silent = known
        .heard_ms
        .insert(from, now_ms)
        .is_none_or(|at_ms| now_ms - at_ms > SILENT_MS);
    if was_silent {
        log::info!(peer:% = from; "a peer is heard");
    }
    let fleet = core.published.fleet();
    let by_hash = core.published.endpoint_hashes();
    let key_of = |hash: u64| by_hash.get(&hash).copied();
    let held: Vec<(EndpointKey, Held)> = beacon
        .held
        .iter()
        .filter_map(|at| Some((key_of(at.endpoint)?, at.held)))
        .collect();
    let mut board = core.board.borrow_mut();
    board.hear(peer, now_ms, beacon.waiting.map(Score), held);
    for read in &beacon.reads {
        if let Some(key) = key_of(read.endpoint).filter(|key| fleet.by_key.contains_key(key)) {
            board.read(key, now_ms, f64::from(read.read_ms));
        }
    }
}

/// Keeps count of the gateways, and forgets those that fell silent.
async fn count(core: Rc<Core>) {
    const LOOK: Duration = Duration::from_millis(250);
    let mut most_at = tokio::time::Instant::now();
    loop {
        sleep(LOOK).await;
        let now_ms = core.now_ms();
        let (gone, peers) = {
            let mut board = core.board.borrow_mut();
            (board.expire(now_ms), board.peers())
        };
        for peer in gone {
            log::info!(peer = format!("{:x}", peer.0); "a peer fell silent");
        }
        core.metrics.peers.set(peers as i64);
        let gateways = peers + 1;
        if gateways >= core.gateways.get() || most_at.elapsed() > GATEWAYS_MEMORY {
            core.gateways.set(gateways);
            most_at = tokio::time::Instant::now();
        }
        note_beliefs(&core);
    }
}

fn note_beliefs(core: &Core) {
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
}
