//! The work that has been placed on each endpoint, by this gateway and by its peers.
//!
//! What this gateway holds is known exactly. Peers say what they hold in small messages
//! ([`crate::share`]); what a peer said counts until it says otherwise or falls silent. Reading that
//! was placed isn't reported as done by an engine, so each endpoint has an instant at which all reading
//! placed so far should be finished, and a first token corrects it.

use std::collections::HashMap;

use mgs_fleet::view::EndpointKey;
use serde::Deserialize;
use serde::Serialize;

use crate::lengths::Counts;
use crate::lengths::Told;
use crate::line::Firsts;
use crate::passes::Passes;
use crate::share::Reads;
use crate::streams;
use crate::streams::Streams;

/// A peer's word counts for this long, in milliseconds: four of its longest intervals.
pub const PEER_SILENCE_MS: f64 = 1_200.0;

/// Reading placed longer ago than the longest deadline says nothing about an engine.
const BACKLOG_MAX_MS: f64 = 15_000.0;

/// How long placed reading counts as recent, in milliseconds: long beside a pass of an engine, short beside
/// the swings of a load, which last seconds.
const RECENT_MS: f64 = 1_000.0;

/// Most of its time that an endpoint is taken to read while it writes: what exceeds it is backlog.
const READ_SHARE_MAX: f64 = 0.7;

/// Identifier of a peer: its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerKey(pub u64);

/// What one gateway holds at one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Streams that are or will be written there, by limit on pauses.
    pub streams: Vec<Streams>,
    /// Parts of prompts of other endpoints that it reads.
    pub parts: u16,
    /// Those among them that belong to prompts that are late anyway.
    pub late_parts: u16,
    /// Reading of shared prompts that isn't known to be done, in milliseconds.
    pub shared_read_ms: u32,
    /// Calls of a plain service that run there.
    pub calls: u16,
    /// Memory that prompts and answers take, in tokens.
    pub memory_tokens: u32,
}

impl Held {
    /// Nothing.
    const NOTHING: Self = Self {
        streams: Vec::new(),
        parts: 0,
        late_parts: 0,
        shared_read_ms: 0,
        calls: 0,
        memory_tokens: 0,
    };

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        *self == Self::NOTHING
    }

    /// How many streams are or will be written.
    pub fn running(&self) -> u32 {
        let counts = self.streams.iter().map(|streams| u32::from(streams.count));
        counts.sum()
    }

    /// Those of them that answer prompts which aren't long.
    pub fn running_short(&self) -> u32 {
        let short = self.streams.iter().filter(|streams| !streams.is_long);
        short.map(|streams| u32::from(streams.count)).sum()
    }

    /// Those among the short ones that are tight; see [`Streams::is_tight`].
    pub fn running_tight(&self) -> u32 {
        let is_tight = |streams: &&Streams| !streams.is_long && streams.is_tight();
        let tight = self.streams.iter().filter(is_tight);
        tight.map(|streams| u32::from(streams.count)).sum()
    }

    /// Passes that their answers are expected to take from beginning to end, on average; 0 without streams.
    pub fn mean_passes(&self) -> f64 {
        let passes: u32 = self.streams.iter().map(|streams| streams.passes).sum();
        f64::from(passes) / f64::from(self.running().max(1))
    }

    fn add(&mut self, other: &Held) {
        streams::add(&mut self.streams, &other.streams);
        self.parts = self.parts.saturating_add(other.parts);
        self.late_parts = self.late_parts.saturating_add(other.late_parts);
        self.shared_read_ms = self.shared_read_ms.saturating_add(other.shared_read_ms);
        self.calls = self.calls.saturating_add(other.calls);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn take(&mut self, other: &Held) {
        streams::take(&mut self.streams, &other.streams);
        self.parts = self.parts.saturating_sub(other.parts);
        self.late_parts = self.late_parts.saturating_sub(other.late_parts);
        self.shared_read_ms = self.shared_read_ms.saturating_sub(other.shared_read_ms);
        self.calls = self.calls.saturating_sub(other.calls);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// The work of one endpoint.
#[derive(Debug, Clone, Default)]
struct Work {
    own: Held,
    /// By this gateway and its peers.
    all: Held,
    read_done_ms: f64,
    passes: Passes,
    /// Reading placed of late, in milliseconds, as it fades from memory.
    recent_read_ms: f64,
    recent_at_ms: f64,
}

impl Work {
    /// What is left in memory of the reading that was placed before `now_ms`.
    fn recent_read_ms(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.recent_at_ms).max(0.0);
        self.recent_read_ms * (-age_ms / RECENT_MS).exp()
    }
}

#[derive(Debug, Default)]
struct Peer {
    heard_ms: f64,
    zone: ZoneKey,
    waiting: Firsts,
    lengths: Vec<Told>,
    held: Vec<(EndpointKey, Held)>,
}

/// Names an availability zone among gateways; 0 if it isn't told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

/// What a peer says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Said {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Who goes first among the prompts that wait there.
    pub waiting: Firsts,
    /// How often prompts of each length were asked of it and sent by it.
    pub lengths: Vec<Told>,
    /// All that it holds.
    pub held: Vec<(EndpointKey, Held)>,
}

/// The work of all endpoints, an arena by [`EndpointKey`].
#[derive(Debug, Default)]
pub struct Board {
    work: Vec<Work>,
    peers: HashMap<PeerKey, Peer>,
    whole_elsewhere: Recent,
    shared_elsewhere: Recent,
}

/// Prompts that peers placed, as they fade from memory.
#[derive(Debug, Default)]
struct Recent {
    prompts: f64,
    read_ms: f64,
    at_ms: f64,
}

impl Recent {
    fn add(&mut self, now_ms: f64, read_ms: f64) {
        let left = self.left(now_ms);
        self.prompts = self.prompts * left + 1.0;
        self.read_ms = self.read_ms * left + read_ms;
        self.at_ms = now_ms;
    }

    fn left(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        (-age_ms / RECENT_MS).exp()
    }

    fn rate(&self, now_ms: f64) -> Rate {
        Rate {
            per_ms: self.prompts * self.left(now_ms) / RECENT_MS,
            mean_read_ms: self.read_ms / self.prompts.max(f64::MIN_POSITIVE),
        }
    }
}

/// How often peers place prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Prompts in a millisecond, by all peers.
    pub per_ms: f64,
    /// Mean reading of one at each of its engines, in milliseconds.
    pub mean_read_ms: f64,
}

/// What peers place, as of late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Elsewhere {
    /// Prompts that one engine reads.
    pub whole: Rate,
    /// Prompts that several engines read.
    pub shared: Rate,
}

impl Board {
    /// Nothing placed yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn work_mut(&mut self, endpoint: EndpointKey) -> &mut Work {
        let index = endpoint.0 as usize;
        if index >= self.work.len() {
            self.work.resize(index + 1, Work::default());
        }
        &mut self.work[index]
    }

    fn work(&self, endpoint: EndpointKey) -> Option<&Work> {
        self.work.get(endpoint.0 as usize)
    }

    /// This gateway holds more at an endpoint.
    pub fn hold(&mut self, endpoint: EndpointKey, held: &Held) {
        let work = self.work_mut(endpoint);
        work.own.add(held);
        work.all.add(held);
    }

    /// This gateway holds less at an endpoint.
    pub fn let_go(&mut self, endpoint: EndpointKey, held: &Held) {
        let work = self.work_mut(endpoint);
        work.own.take(held);
        work.all.take(held);
    }

    /// Reading was placed, by this gateway or a peer.
    pub fn read(&mut self, endpoint: EndpointKey, now_ms: f64, read_ms: f64) {
        let work = self.work_mut(endpoint);
        let start_ms = work.read_done_ms.max(now_ms);
        work.read_done_ms = (start_ms + read_ms).min(now_ms + BACKLOG_MAX_MS);
        work.recent_read_ms = work.recent_read_ms(now_ms) + read_ms;
        work.recent_at_ms = now_ms;
        let is_writing = work.all.running() > 0;
        work.passes.read(now_ms, read_ms, is_writing);
    }

    /// A peer placed reading, or gave it up: engines that refused a prompt would else seem to read it, and others be
    /// refused for it.
    pub fn read_elsewhere(
        &mut self,
        endpoint: EndpointKey,
        now_ms: f64,
        read_ms: f64,
        reads: Reads,
    ) {
        match reads {
            Reads::GivenUp => self.correct(endpoint, now_ms, read_ms),
            _ => self.read(endpoint, now_ms, read_ms),
        }
        match reads {
            Reads::Whole => self.whole_elsewhere.add(now_ms, read_ms),
            Reads::FirstPart => self.shared_elsewhere.add(now_ms, read_ms),
            Reads::Part | Reads::GivenUp => {}
        }
    }

    /// How often peers place prompts, as of late.
    pub fn elsewhere(&self, now_ms: f64) -> Elsewhere {
        Elsewhere {
            whole: self.whole_elsewhere.rate(now_ms),
            shared: self.shared_elsewhere.rate(now_ms),
        }
    }

    /// Reading ended `early_ms` before the prediction (negative: after it), or was given up.
    pub fn correct(&mut self, endpoint: EndpointKey, now_ms: f64, early_ms: f64) {
        let work = self.work_mut(endpoint);
        work.passes.unread(now_ms, early_ms);
        work.recent_read_ms = (work.recent_read_ms(now_ms) - early_ms).max(0.0);
        work.recent_at_ms = now_ms;
        if work.read_done_ms > now_ms {
            work.read_done_ms = (work.read_done_ms - early_ms).max(now_ms);
        }
    }

    /// Whether a peer is heard.
    pub fn is_heard(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(&peer)
    }

    /// A peer said all that it holds.
    pub fn hear(&mut self, peer: PeerKey, now_ms: f64, said: Said) {
        let before = self.peers.remove(&peer).unwrap_or_default();
        for (endpoint, old) in &before.held {
            self.work_mut(*endpoint).all.take(old);
        }
        for (endpoint, new) in &said.held {
            self.work_mut(*endpoint).all.add(new);
        }
        let heard_ms = now_ms;
        let heard = Peer {
            heard_ms,
            zone: said.zone,
            waiting: said.waiting,
            lengths: said.lengths,
            held: said.held,
        };
        self.peers.insert(peer, heard);
    }

    /// A peer that was heard before holds more.
    pub fn hear_more(
        &mut self,
        peer: PeerKey,
        now_ms: f64,
        waiting: Firsts,
        more: Vec<(EndpointKey, Held)>,
    ) {
        let Some(heard) = self.peers.get_mut(&peer) else {
            return;
        };
        heard.heard_ms = now_ms;
        heard.waiting = waiting;
        for (endpoint, held) in &more {
            self.work_mut(*endpoint).all.add(held);
        }
        // Taken away endpoint by endpoint by the next whole message.
        self.peers
            .entry(peer)
            .and_modify(|heard| heard.held.extend(more));
    }

    /// Forgets peers that fell silent; answers who they were.
    pub fn expire(&mut self, now_ms: f64) -> Vec<PeerKey> {
        let silent = |peer: &Peer| now_ms - peer.heard_ms > PEER_SILENCE_MS;
        let gone: Vec<PeerKey> = self
            .peers
            .iter()
            .filter(|(_, peer)| silent(peer))
            .map(|(key, _)| *key)
            .collect();
        for key in &gone {
            self.hear(*key, now_ms, Said::default());
            self.peers.remove(key);
        }
        gone
    }

    /// Who goes first among the prompts that wait at peers.
    pub fn waiting(&self) -> Firsts {
        let waiting = self.peers.values().map(|peer| peer.waiting);
        waiting.fold(Firsts::default(), Firsts::and)
    }

    /// The same among peers of one availability zone.
    pub fn waiting_in(&self, zone: ZoneKey) -> Firsts {
        let waiting = self.in_zone(zone).map(|peer| peer.waiting);
        waiting.fold(Firsts::default(), Firsts::and)
    }

    /// How many peers of one availability zone have been heard of late.
    pub fn peers_in(&self, zone: ZoneKey) -> usize {
        self.in_zone(zone).count()
    }

    fn in_zone(&self, zone: ZoneKey) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.zone == zone)
    }

    /// Adds what peers counted of each length to this gateway's own counts.
    pub fn add_lengths(&self, counts: &mut Counts) {
        for peer in self.peers.values() {
            counts.add(&peer.lengths);
        }
    }

    /// The peers that count.
    pub fn peer_keys(&self) -> impl Iterator<Item = PeerKey> + '_ {
        self.peers.keys().copied()
    }

    /// How many peers have been heard of late.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// What this gateway holds, without the endpoints at which it holds nothing.
    pub fn own(&self) -> Vec<(EndpointKey, Held)> {
        let mut all = Vec::new();
        for (index, work) in self.work.iter().enumerate() {
            if !work.own.is_empty() {
                all.push((EndpointKey(index as u32), work.own.clone()));
            }
        }
        all
    }

    /// What everybody holds at an endpoint.
    pub fn held(&self, endpoint: EndpointKey) -> &Held {
        const NOTHING: &Held = &Held::NOTHING;
        self.work(endpoint).map_or(NOTHING, |work| &work.all)
    }

    /// The length of an endpoint's passes is known, in milliseconds.
    pub fn know_pass(&mut self, endpoint: EndpointKey, pass_ms: f64) {
        self.work_mut(endpoint).passes.know(pass_ms);
    }

    /// An event of a stream that an endpoint writes has come.
    pub fn event(&mut self, endpoint: EndpointKey, now_ms: f64) {
        self.work_mut(endpoint).passes.ended(now_ms);
    }

    /// When an endpoint's passes end.
    pub fn passes(&self, endpoint: EndpointKey) -> Passes {
        self.work(endpoint)
            .map_or_else(Passes::default, |work| work.passes.clone())
    }

    /// Share of its time that an endpoint has spent on reading of late.
    pub fn read_share(&self, endpoint: EndpointKey, now_ms: f64) -> f64 {
        let recent_ms = self
            .work(endpoint)
            .map_or(0.0, |work| work.recent_read_ms(now_ms));
        // In hundredths: engines that differ by less are alike, and the first of them is as good.
        ((recent_ms / RECENT_MS * 100.0).round() / 100.0).min(READ_SHARE_MAX)
    }

    /// Time until all reading placed so far should be done, in milliseconds.
    ///
    /// An engine may be behind: a prompt that was overtaken, or passes that took longer. As long as shared
    /// prompts haven't shown their first token, `unknown_share` of their reading counts as still to be
    /// done.
    pub fn backlog_ms(&self, endpoint: EndpointKey, now_ms: f64, unknown_share: f64) -> f64 {
        let Some(work) = self.work(endpoint) else {
            return 0.0;
        };
        let unknown_ms = f64::from(work.all.shared_read_ms);
        let by_plan_ms = work.read_done_ms - now_ms;
        by_plan_ms.max(unknown_ms * unknown_share)
    }
}
