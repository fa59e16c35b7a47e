//! What gateways hear of each other, over datagrams: what each has placed, and what it knows of the store. What this
//! one says is the matter of [`crate::tell`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::board::PeerKey;
use mgs_placing::board::Said;
use mgs_placing::board::PEER_SILENCE_MS;
use mgs_placing::share::Beacon;
use mgs_placing::share::Knows;
use mgs_quarantine::table::SharedRecord;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::belief::Belief;
use crate::belief::Word;
use crate::core::Core;
use crate::spread;
use crate::tell;
use crate::tell::INTERVAL_MIN;
use crate::traffic::Carried;

/// A peer that was not heard of for this long is told about once a second only, in milliseconds.
const SILENT_MS: f64 = 2_000.0;

/// Gateways that ask the store often, so that the others needn't: two, so that the end of one isn't felt.
const READERS: usize = 2;

/// Added to the age of what a peer knows for its way here, in milliseconds: an interval between two messages
/// and a busy host's delay.
pub(crate) const ON_THE_WAY_MS: u64 = 50;

/// What a gateway tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What it has placed and knows of the store.
    Beacon(Box<Beacon>),
    /// Requests that have crashed endpoints.
    Crashes {
        /// Incarnation of the sender.
        from: u64,
        /// What it knows of them, or a part of that.
        works: Vec<SharedRecord>,
    },
}

/// What is known of one address.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at_ms: f64,
    is_leaving: bool,
}

/// Peers by address, and the last message's number by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Known {
    heard: HashMap<SocketAddr, Heard>,
    /// Peers that leave.
    leaving: HashSet<PeerKey>,
    sequences: HashMap<PeerKey, u64>,
}

impl Known {
    /// Who is told: those heard of late, and at times all that are listed.
    pub(crate) fn addresses(&self, core: &Core, now_ms: f64, to_all: bool) -> Vec<SocketAddr> {
        let near = self.heard.iter();
        let near = near.filter(|(_, heard)| now_ms - heard.at_ms < SILENT_MS);
        let mut addresses: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
        if to_all {
            addresses.extend(core.published.peers().iter());
            addresses.sort();
            addresses.dedup();
        }
        addresses
    }

    /// Incarnations of the peers that are heard and stay.
    fn staying(&self, board: &Board) -> Vec<u64> {
        let stay = |peer: &&PeerKey| board.is_heard(**peer) && !self.leaving.contains(peer);
        let mut staying: Vec<u64> = self.sequences.keys().filter(stay).map(|p| p.0).collect();
        staying.sort_unstable();
        staying
    }

    /// Whether the gateway at `own` is among the first that stay, by address; all agree without talking.
    fn is_reader(&self, own: SocketAddr, now_ms: f64) -> bool {
        let goes_before = |(address, heard): &(&SocketAddr, &Heard)| {
            **address < own && !heard.is_leaving && now_ms - heard.at_ms < PEER_SILENCE_MS
        };
        self.heard.iter().filter(goes_before).count() < READERS
    }
}

/// Talks with peers until the process ends.
pub(crate) async fn run(core: Rc<Core>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let known = Rc::new(RefCell::new(Known::default()));
    tokio::task::spawn_local(listen(core.clone(), socket.clone(), known.clone()));
    tokio::task::spawn_local(count(core.clone(), known.clone()));
    tokio::task::spawn_local(spread::run(core.clone(), socket.clone(), known.clone()));
    tell::run(core, socket, known).await;
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
        core.traffic.add(Carried::Heard, length);
        let decoded = bincode::serde::decode_from_slice(
            &buffer[..length],
            bincode::config::standard().with_limit::<65_536>(),
        );
        match decoded {
            Ok((Message::Beacon(beacon), _)) => hear(&core, &known, from, &beacon),
            Ok((Message::Crashes { from, works }, _)) => {
                if from != core.incarnation {
                    core.hear_crashes(&works);
                }
            }
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
    if beacon.leaving {
        known.leaving.insert(peer);
    }
    let heard = Heard {
        at_ms: now_ms,
        is_leaving: beacon.leaving,
    };
    let was_silent = known
        .heard
        .insert(from, heard)
        .is_none_or(|before| now_ms - before.at_ms > SILENT_MS);
    if was_silent || before.is_none() {
        core.crashes.newcomers.borrow_mut().push(from);
        core.crashes.urgent.notify_one();
    }
    if was_silent {
        log::info!(peer:% = from; "a peer is heard");
    }
    if beacon.is_whole {
        hear_knows(core, from, beacon);
    }
    if let Some(gateways) = beacon.gateways {
        core.headcount.borrow_mut().told(gateways as usize);
    }
    core.hear_peer_advice(beacon);
    let fleet = core.published.fleet();
    let by_hash = core.published.endpoint_hashes();
    let key_of = |hash: u64| by_hash.get(&hash).copied();
    let held: Vec<(EndpointKey, Held)> = beacon
        .held
        .iter()
        .filter_map(|at| Some((key_of(at.endpoint)?, at.held.clone())))
        .collect();
    let mut board = core.board.borrow_mut();
    for read in &beacon.reads {
        if let Some(key) = key_of(read.endpoint).filter(|key| fleet.by_key.contains_key(key)) {
            let read_ms = f64::from(read.read_ms);
            board.read_elsewhere(key, now_ms, read_ms, read.reads);
        }
    }
    for refused in &beacon.refusals {
        if let Some(key) = key_of(refused.endpoint) {
            let age_ms = u64::from(refused.age_ms) + ON_THE_WAY_MS;
            let at_ms = core.now_whole_ms().saturating_sub(age_ms);
            core.helpers.borrow_mut().told(key, at_ms);
        }
    }
    if !beacon.is_whole {
        board.hear_more(peer, now_ms, beacon.waiting, held);
        return;
    }
    let said = Said {
        zone: beacon.zone,
        waiting: beacon.waiting,
        lengths: beacon.lengths.clone(),
        held,
    };
    board.hear(peer, now_ms, said);
}

/// Takes what a peer knows of the store.
fn hear_knows(core: &Core, from: SocketAddr, beacon: &Beacon) {
    let published = &core.published;
    let now_ms = core.now_whole_ms();
    let hear = |belief: &Belief, knows: Option<Knows>| {
        let Some(knows) = knows else {
            return;
        };
        belief.hear(Word {
            content: knows.content,
            confirmed_ms: now_ms.saturating_sub(u64::from(knows.age_ms) + ON_THE_WAY_MS),
            from,
        });
    };
    hear(published.configuration_belief(), beacon.configuration);
    hear(published.endpoint_belief(), beacon.endpoints);
}

/// Finds out whether this gateway is a reader, and wakes followers whose knowledge gets old.
fn look_at_beliefs(core: &Core, known: &Known) {
    let published = &core.published;
    let is_reader = known.is_reader(core.options.peer_listen, core.now_ms());
    if published.put_reader(is_reader) {
        log::info!(reader = is_reader; "who asks the store often has changed");
    }
    let now_ms = core.now_whole_ms();
    for belief in [
        published.configuration_belief(),
        published.endpoint_belief(),
    ] {
        if belief.is_stale(now_ms) {
            belief.wake();
        }
    }
}

/// Keeps count of the gateways, and forgets those that fell silent.
async fn count(core: Rc<Core>, known: Rc<RefCell<Known>>) {
    const LOOK: Duration = Duration::from_millis(250);
    loop {
        sleep(LOOK).await;
        let now_ms = core.now_ms();
        let (gone, peers) = {
            let mut board = core.board.borrow_mut();
            (board.expire(now_ms), board.peers())
        };
        look_at_beliefs(&core, &known.borrow());
        let staying = known.borrow().staying(&core.board.borrow());
        core.share_limits(staying);
        core.helpers.borrow_mut().expire(core.now_whole_ms());
        for peer in gone {
            let mut known = known.borrow_mut();
            known.sequences.remove(&peer);
            known.leaving.remove(&peer);
            drop(known);
            log::info!(peer = format!("{:x}", peer.0); "a peer fell silent");
        }
        core.metrics.peers.set(peers as i64);
        count_gateways(&core, peers, now_ms);
        note_beliefs(&core);
    }
}

/// Brings the number of gateways up to date.
fn count_gateways(core: &Core, peers: usize, now_ms: f64) {
    core.headcount.borrow_mut().heard(peers, now_ms);
    let sharing = core.gateways_sharing().map_or(-1, |n| n as i64);
    if core.metrics.gateways.get() != sharing {
        log::info!(gateways = sharing, heard = peers; "how many gateways there are has changed");
    }
    core.metrics.gateways.set(sharing);
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
