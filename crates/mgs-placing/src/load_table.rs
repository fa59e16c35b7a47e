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

use crate::length_counts::BandCount;
use crate::length_counts::LengthCounts;
use crate::pass_timeline::PassTimeline;
use crate::peer_message::PrefillPart;
use crate::queue_order::QueueHeads;
use crate::stream_group;
use crate::stream_group::StreamGroup;

/// A peer's word counts for this long, in milliseconds: four of its longest intervals.
pub const PEER_SILENCE_MS: f64 = 1_200.0;

/// Reading placed longer ago than the longest deadline says nothing about an engine.
const BACKLOG_MAX_MS: f64 = 15_000.0;

/// How long placed reading counts as recent, in milliseconds: long beside a pass of an engine, short beside
/// the swings of a load, which last seconds.
const DECAY_MS: f64 = 1_000.0;

/// Most of its time that an endpoint is taken to read while it writes: what exceeds it is backlog.
const PREFILL_SHARE_MAX: f64 = 0.7;

/// Identifier of a peer: its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerKey(pub u64);

/// What one gateway holds at one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Streams that are or will be written there, by limit on pauses.
    pub streams: Vec<StreamGroup>,
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

impl EndpointLoad {
    /// Nothing.
    const EMPTY: Self = Self {
        streams: Vec::new(),
        parts: 0,
        late_parts: 0,
        shared_read_ms: 0,
        calls: 0,
        memory_tokens: 0,
    };

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        *self == Self::EMPTY
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
        let is_tight = |streams: &&StreamGroup| !streams.is_long && streams.is_tight();
        let tight = self.streams.iter().filter(is_tight);
        tight.map(|streams| u32::from(streams.count)).sum()
    }

    /// Passes that their answers are expected to take from beginning to end, on average; 0 without streams.
    pub fn mean_passes(&self) -> f64 {
        let passes: u32 = self.streams.iter().map(|streams| streams.passes).sum();
        f64::from(passes) / f64::from(self.running().max(1))
    }

    fn add(&mut self, other: &EndpointLoad) {
        stream_group::add(&mut self.streams, &other.streams);
        self.parts = self.parts.saturating_add(other.parts);
        self.late_parts = self.late_parts.saturating_add(other.late_parts);
        self.shared_read_ms = self.shared_read_ms.saturating_add(other.shared_read_ms);
        self.calls = self.calls.saturating_add(other.calls);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn subtract(&mut self, other: &EndpointLoad) {
        stream_group::subtract(&mut self.streams, &other.streams);
        self.parts = self.parts.saturating_sub(other.parts);
        self.late_parts = self.late_parts.saturating_sub(other.late_parts);
        self.shared_read_ms = self.shared_read_ms.saturating_sub(other.shared_read_ms);
        self.calls = self.calls.saturating_sub(other.calls);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// The work of one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointWork {
    own: EndpointLoad,
    /// By this gateway and its peers.
    total: EndpointLoad,
    prefill_done_ms: f64,
    passes: PassTimeline,
    /// Reading placed of late, in milliseconds, as it fades from memory.
    recent_prefill_ms: f64,
    recent_at_ms: f64,
}

impl EndpointWork {
    /// What is left in memory of the reading that was placed before `now_ms`.
    fn recent_prefill_ms(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.recent_at_ms).max(0.0);
        self.recent_prefill_ms * (-age_ms / DECAY_MS).exp()
    }
}

#[derive(Debug, Default)]
struct Peer {
    heard_ms: f64,
    zone: ZoneKey,
    waiting: QueueHeads,
    lengths: Vec<BandCount>,
    held: Vec<(EndpointKey, EndpointLoad)>,
}

/// Names an availability zone among gateways; 0 if it isn't told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

/// What a peer says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Who goes first among the prompts that wait there.
    pub waiting: QueueHeads,
    /// How often prompts of each length were asked of it and sent by it.
    pub lengths: Vec<BandCount>,
    /// All that it holds.
    pub held: Vec<(EndpointKey, EndpointLoad)>,
}

/// The work of all endpoints, an arena by [`EndpointKey`].
#[derive(Debug, Default)]
pub struct LoadTable {
    work: Vec<EndpointWork>,
    peers: HashMap<PeerKey, Peer>,
    peer_whole: DecayingRate,
    peer_shared: DecayingRate,
}

/// Prompts that peers placed, as they fade from memory.
#[derive(Debug, Default)]
struct DecayingRate {
    prompts: f64,
    prefill_ms: f64,
    at_ms: f64,
}

impl DecayingRate {
    fn add(&mut self, now_ms: f64, prefill_ms: f64) {
        let left = self.decay(now_ms);
        self.prompts = self.prompts * left + 1.0;
        self.prefill_ms = self.prefill_ms * left + prefill_ms;
        self.at_ms = now_ms;
    }

    fn decay(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        (-age_ms / DECAY_MS).exp()
    }

    fn rate(&self, now_ms: f64) -> PlacementRate {
        PlacementRate {
            per_ms: self.prompts * self.decay(now_ms) / DECAY_MS,
            mean_prefill_ms: self.prefill_ms / self.prompts.max(f64::MIN_POSITIVE),
        }
    }
}

/// How often peers place prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRate {
    /// Prompts in a millisecond, by all peers.
    pub per_ms: f64,
    /// Mean reading of one at each of its engines, in milliseconds.
    pub mean_prefill_ms: f64,
}

/// What peers place, as of late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerRates {
    /// Prompts that one engine reads.
    pub whole: PlacementRate,
    /// Prompts that several engines read.
    pub shared: PlacementRate,
}

impl LoadTable {
    /// Nothing placed yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn work_mut(&mut self, endpoint: EndpointKey) -> &mut EndpointWork {
        let index = endpoint.0 as usize;
        if index >= self.work.len() {
            self.work.resize(index + 1, EndpointWork::default());
        }
        &mut self.work[index]
    }

    fn work(&self, endpoint: EndpointKey) -> Option<&EndpointWork> {
        self.work.get(endpoint.0 as usize)
    }

    /// This gateway holds more at an endpoint.
    pub fn add_own(&mut self, endpoint: EndpointKey, held: &EndpointLoad) {
        let work = self.work_mut(endpoint);
        work.own.add(held);
        work.total.add(held);
    }

    /// This gateway holds less at an endpoint.
    pub fn remove_own(&mut self, endpoint: EndpointKey, held: &EndpointLoad) {
        let work = self.work_mut(endpoint);
        work.own.subtract(held);
        work.total.subtract(held);
    }

    /// Reading was placed, by this gateway or a peer.
    pub fn add_prefill(&mut self, endpoint: EndpointKey, now_ms: f64, prefill_ms: f64) {
        let work = self.work_mut(endpoint);
        let start_ms = work.prefill_done_ms.max(now_ms);
        work.prefill_done_ms = (start_ms + prefill_ms).min(now_ms + BACKLOG_MAX_MS);
        work.recent_prefill_ms = work.recent_prefill_ms(now_ms) + prefill_ms;
        work.recent_at_ms = now_ms;
        let is_decoding = work.total.running() > 0;
        work.passes.add_prefill(now_ms, prefill_ms, is_decoding);
    }

    /// A peer placed reading, or gave it up: engines that refused a prompt would else seem to read it, and others be
    /// refused for it.
    pub fn add_peer_prefill(
        &mut self,
        endpoint: EndpointKey,
        now_ms: f64,
        prefill_ms: f64,
        reads: PrefillPart,
    ) {
        match reads {
            PrefillPart::GivenUp => self.correct_prefill(endpoint, now_ms, prefill_ms),
            _ => self.add_prefill(endpoint, now_ms, prefill_ms),
        }
        match reads {
            PrefillPart::Whole => self.peer_whole.add(now_ms, prefill_ms),
            PrefillPart::FirstPart => self.peer_shared.add(now_ms, prefill_ms),
            PrefillPart::Part | PrefillPart::GivenUp => {}
        }
    }

    /// How often peers place prompts, as of late.
    pub fn peer_rates(&self, now_ms: f64) -> PeerRates {
        PeerRates {
            whole: self.peer_whole.rate(now_ms),
            shared: self.peer_shared.rate(now_ms),
        }
    }

    /// Reading ended `early_ms` before the prediction (negative: after it), or was given up.
    pub fn correct_prefill(&mut self, endpoint: EndpointKey, now_ms: f64, early_ms: f64) {
        let work = self.work_mut(endpoint);
        work.passes.remove_prefill(now_ms, early_ms);
        work.recent_prefill_ms = (work.recent_prefill_ms(now_ms) - early_ms).max(0.0);
        work.recent_at_ms = now_ms;
        if work.prefill_done_ms > now_ms {
            work.prefill_done_ms = (work.prefill_done_ms - early_ms).max(now_ms);
        }
    }

    /// Whether a peer is heard.
    pub fn knows_peer(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(&peer)
    }

    /// A peer said all that it holds.
    pub fn replace_peer(&mut self, peer: PeerKey, now_ms: f64, report: PeerReport) {
        let before = self.peers.remove(&peer).unwrap_or_default();
        for (endpoint, old) in &before.held {
            self.work_mut(*endpoint).total.subtract(old);
        }
        for (endpoint, new) in &report.held {
            self.work_mut(*endpoint).total.add(new);
        }
        let heard_ms = now_ms;
        let heard = Peer {
            heard_ms,
            zone: report.zone,
            waiting: report.waiting,
            lengths: report.lengths,
            held: report.held,
        };
        self.peers.insert(peer, heard);
    }

    /// A peer that was heard before holds more.
    pub fn extend_peer(
        &mut self,
        peer: PeerKey,
        now_ms: f64,
        waiting: QueueHeads,
        more: Vec<(EndpointKey, EndpointLoad)>,
    ) {
        let Some(heard) = self.peers.get_mut(&peer) else {
            return;
        };
        heard.heard_ms = now_ms;
        heard.waiting = waiting;
        for (endpoint, held) in &more {
            self.work_mut(*endpoint).total.add(held);
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
            self.replace_peer(*key, now_ms, PeerReport::default());
            self.peers.remove(key);
        }
        gone
    }

    /// Who goes first among the prompts that wait at peers.
    pub fn peer_heads(&self) -> QueueHeads {
        let waiting = self.peers.values().map(|peer| peer.waiting);
        waiting.fold(QueueHeads::default(), QueueHeads::merge)
    }

    /// The same among peers of one availability zone.
    pub fn peer_heads_in(&self, zone: ZoneKey) -> QueueHeads {
        let waiting = self.in_zone(zone).map(|peer| peer.waiting);
        waiting.fold(QueueHeads::default(), QueueHeads::merge)
    }

    /// How many peers of one availability zone have been heard of late.
    pub fn peer_count_in(&self, zone: ZoneKey) -> usize {
        self.in_zone(zone).count()
    }

    fn in_zone(&self, zone: ZoneKey) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.zone == zone)
    }

    /// Adds what peers counted of each length to this gateway's own counts.
    pub fn add_length_counts(&self, counts: &mut LengthCounts) {
        for peer in self.peers.values() {
            counts.add(&peer.lengths);
        }
    }

    /// The peers that count.
    pub fn peer_keys(&self) -> impl Iterator<Item = PeerKey> + '_ {
        self.peers.keys().copied()
    }

    /// How many peers have been heard of late.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// What this gateway holds, without the endpoints at which it holds nothing.
    pub fn own_loads(&self) -> Vec<(EndpointKey, EndpointLoad)> {
        let mut all = Vec::new();
        for (index, work) in self.work.iter().enumerate() {
            if !work.own.is_empty() {
                all.push((EndpointKey(index as u32), work.own.clone()));
            }
        }
        all
    }

    /// What everybody holds at an endpoint.
    pub fn load(&self, endpoint: EndpointKey) -> &EndpointLoad {
        const EMPTY: &EndpointLoad = &EndpointLoad::EMPTY;
        self.work(endpoint).map_or(EMPTY, |work| &work.total)
    }

    /// The length of an endpoint's passes is known, in milliseconds.
    pub fn set_pass_ms(&mut self, endpoint: EndpointKey, pass_ms: f64) {
        self.work_mut(endpoint).passes.set_pass_ms(pass_ms);
    }

    /// An event of a stream that an endpoint writes has come.
    pub fn record_stream_event(&mut self, endpoint: EndpointKey, now_ms: f64) {
        self.work_mut(endpoint).passes.record_event(now_ms);
    }

    /// When an endpoint's passes end.
    pub fn pass_timeline(&self, endpoint: EndpointKey) -> PassTimeline {
        self.work(endpoint)
            .map_or_else(PassTimeline::default, |work| work.passes.clone())
    }

    /// Share of its time that an endpoint has spent on reading of late.
    pub fn recent_prefill_share(&self, endpoint: EndpointKey, now_ms: f64) -> f64 {
        let recent_ms = self
            .work(endpoint)
            .map_or(0.0, |work| work.recent_prefill_ms(now_ms));
        // In hundredths: engines that differ by less are alike, and the first of them is as good.
        ((recent_ms / DECAY_MS * 100.0).round() / 100.0).min(PREFILL_SHARE_MAX)
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
        let unknown_ms = f64::from(work.total.shared_read_ms);
        let by_plan_ms = work.prefill_done_ms - now_ms;
        by_plan_ms.max(unknown_ms * unknown_share)
    }
}
