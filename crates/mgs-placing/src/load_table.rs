//! The work placed on each endpoint, by this gateway and by its peers.
//!
//! The gateway's own load is known exactly. Peers report theirs in small messages
//! ([`crate::peer_message`]); a report counts until the peer sends another or falls silent. Engines
//! don't report when a prefill is done, so the table predicts for each endpoint when all prefill
//! placed so far will be finished, and corrects the prediction when a first token arrives.

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

/// Time after which a silent peer's report is discarded, in milliseconds: four of the longest
/// intervals between messages.
pub const PEER_SILENCE_MS: f64 = 1_200.0;

/// Upper bound of a backlog, in milliseconds: prefill placed longer ago than the longest deadline
/// says nothing about an engine.
const BACKLOG_MAX_MS: f64 = 15_000.0;

/// Time constant with which past prefill and placements decay, in milliseconds: long compared with
/// a pass of an engine, short compared with load swings, which last seconds.
const DECAY_MS: f64 = 1_000.0;

/// Largest share of its time that an endpoint is assumed to spend on prefill while it decodes;
/// anything beyond that is backlog.
const PREFILL_SHARE_MAX: f64 = 0.7;

/// Identifies a peer by its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerKey(pub u64);

/// The load that one gateway has placed on one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Streams that are or will be decoded there, grouped by [`StreamGroup`].
    pub streams: Vec<StreamGroup>,
    /// Parts of prompts that it prefills for other lead engines.
    pub parts: u16,
    /// Those of `parts` that belong to prompts that will miss their first-token target in any case.
    pub late_parts: u16,
    /// Prefill of shared prompts that isn't known to be finished, in milliseconds.
    pub shared_read_ms: u32,
    /// Calls of a plain service that run there.
    pub calls: u16,
    /// Memory taken by prompts and answers, in tokens.
    pub memory_tokens: u32,
}

impl EndpointLoad {
    /// No load.
    const EMPTY: Self = Self {
        streams: Vec::new(),
        parts: 0,
        late_parts: 0,
        shared_read_ms: 0,
        calls: 0,
        memory_tokens: 0,
    };

    /// Whether there is no load at all.
    pub fn is_empty(&self) -> bool {
        *self == Self::EMPTY
    }

    /// Number of streams that are or will be decoded.
    pub fn running(&self) -> u32 {
        let counts = self.streams.iter().map(|streams| u32::from(streams.count));
        counts.sum()
    }

    /// Number of streams that answer short prompts.
    pub fn running_short(&self) -> u32 {
        let short = self.streams.iter().filter(|streams| !streams.is_long);
        short.map(|streams| u32::from(streams.count)).sum()
    }

    /// Number of streams that answer short prompts and are tight; see [`StreamGroup::is_tight`].
    pub fn running_tight(&self) -> u32 {
        let is_tight = |streams: &&StreamGroup| !streams.is_long && streams.is_tight();
        let tight = self.streams.iter().filter(is_tight);
        tight.map(|streams| u32::from(streams.count)).sum()
    }

    /// Mean number of passes that an answer is expected to take from beginning to end; 0 without
    /// streams.
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

/// The work placed on one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointWork {
    /// Load placed by this gateway.
    own: EndpointLoad,
    /// Load placed by this gateway and its peers.
    total: EndpointLoad,
    /// When all prefill placed so far should be finished.
    prefill_done_ms: f64,
    passes: PassTimeline,
    /// Recently placed prefill with exponential decay, in milliseconds, as of `recent_at_ms`.
    recent_prefill_ms: f64,
    recent_at_ms: f64,
    /// All prefill ever placed, in milliseconds.
    prefill_total_ms: f64,
}

impl EndpointWork {
    /// The value of the field `recent_prefill_ms` decayed to `now_ms`.
    fn recent_prefill_ms(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.recent_at_ms).max(0.0);
        self.recent_prefill_ms * (-age_ms / DECAY_MS).exp()
    }
}

/// The last report of a peer.
#[derive(Debug, Default)]
struct Peer {
    reported_ms: f64,
    zone: ZoneKey,
    waiting: QueueHeads,
    lengths: Vec<BandCount>,
    loads: Vec<(EndpointKey, EndpointLoad)>,
}

/// Identifies an availability zone among gateways; 0 if unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

/// What a peer reports about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// The best scores among the prompts that wait there.
    pub waiting: QueueHeads,
    /// Its counts of prompts by length: how many it received and how many it dispatched.
    pub lengths: Vec<BandCount>,
    /// All the load that it has placed.
    pub loads: Vec<(EndpointKey, EndpointLoad)>,
}

/// The work of all endpoints, indexed by [`EndpointKey`].
#[derive(Debug, Default)]
pub struct LoadTable {
    work: Vec<EndpointWork>,
    peers: HashMap<PeerKey, Peer>,
    peer_whole: DecayingRate,
    peer_shared: DecayingRate,
}

/// Prompts placed by peers, with exponential decay.
#[derive(Debug, Default)]
struct DecayingRate {
    prompts: f64,
    prefill_ms: f64,
    at_ms: f64,
}

impl DecayingRate {
    fn add(&mut self, now_ms: f64, prefill_ms: f64) {
        let factor = self.decay_factor(now_ms);
        self.prompts = self.prompts * factor + 1.0;
        self.prefill_ms = self.prefill_ms * factor + prefill_ms;
        self.at_ms = now_ms;
    }

    /// Factor by which the sums have decayed since the last prompt.
    fn decay_factor(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        (-age_ms / DECAY_MS).exp()
    }

    /// The rate and the mean prefill of recent prompts.
    fn rate(&self, now_ms: f64) -> PlacementRate {
        PlacementRate {
            per_ms: self.prompts * self.decay_factor(now_ms) / DECAY_MS,
            mean_prefill_ms: self.prefill_ms / self.prompts.max(f64::MIN_POSITIVE),
        }
    }
}

/// Rate at which peers place prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRate {
    /// Prompts per millisecond, from all peers together.
    pub per_ms: f64,
    /// Mean prefill of such a prompt at each of its engines, in milliseconds.
    pub mean_prefill_ms: f64,
}

/// Recent placement rates of all peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerRates {
    /// Prompts that one engine prefills alone.
    pub whole: PlacementRate,
    /// Prompts that several engines prefill together.
    pub shared: PlacementRate,
}

impl LoadTable {
    /// Creates a table without any load.
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

    /// Adds load that this gateway places on an endpoint.
    pub fn add_own(&mut self, endpoint: EndpointKey, load: &EndpointLoad) {
        let work = self.work_mut(endpoint);
        work.own.add(load);
        work.total.add(load);
    }

    /// Removes load that this gateway has placed on an endpoint.
    pub fn remove_own(&mut self, endpoint: EndpointKey, load: &EndpointLoad) {
        let work = self.work_mut(endpoint);
        work.own.subtract(load);
        work.total.subtract(load);
    }

    /// Records prefill placed on an endpoint by this gateway or a peer.
    pub fn add_prefill(&mut self, endpoint: EndpointKey, now_ms: f64, prefill_ms: f64) {
        let work = self.work_mut(endpoint);
        let start_ms = work.prefill_done_ms.max(now_ms);
        work.prefill_done_ms = (start_ms + prefill_ms).min(now_ms + BACKLOG_MAX_MS);
        work.recent_prefill_ms = work.recent_prefill_ms(now_ms) + prefill_ms;
        work.recent_at_ms = now_ms;
        work.prefill_total_ms += prefill_ms;
        let is_decoding = work.total.running() > 0;
        work.passes.add_prefill(now_ms, prefill_ms, is_decoding);
    }

    /// Records prefill that a peer placed or gave up. Without the latter, an engine that refused a
    /// prompt would still seem busy with it, and other prompts would be refused because of that.
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

    /// Recent rates at which peers place prompts.
    pub fn peer_rates(&self, now_ms: f64) -> PeerRates {
        PeerRates {
            whole: self.peer_whole.rate(now_ms),
            shared: self.peer_shared.rate(now_ms),
        }
    }

    /// Corrects the prediction for prefill that ended `early_ms` before it was due (negative:
    /// after), or that was given up.
    pub fn correct_prefill(&mut self, endpoint: EndpointKey, now_ms: f64, early_ms: f64) {
        let work = self.work_mut(endpoint);
        work.passes.remove_prefill(now_ms, early_ms);
        work.recent_prefill_ms = (work.recent_prefill_ms(now_ms) - early_ms).max(0.0);
        work.recent_at_ms = now_ms;
        if work.prefill_done_ms > now_ms {
            work.prefill_done_ms = (work.prefill_done_ms - early_ms).max(now_ms);
        }
    }

    /// Whether a report of this peer is held.
    pub fn knows_peer(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Replaces a peer's report by a full one.
    pub fn replace_peer(&mut self, peer: PeerKey, now_ms: f64, report: PeerReport) {
        let before = self.peers.remove(&peer).unwrap_or_default();
        for (endpoint, old) in &before.loads {
            self.work_mut(*endpoint).total.subtract(old);
        }
        for (endpoint, new) in &report.loads {
            self.work_mut(*endpoint).total.add(new);
        }
        let reported_ms = now_ms;
        let known = Peer {
            reported_ms,
            zone: report.zone,
            waiting: report.waiting,
            lengths: report.lengths,
            loads: report.loads,
        };
        self.peers.insert(peer, known);
    }

    /// Adds to the report of a known peer; does nothing for an unknown one.
    pub fn extend_peer(
        &mut self,
        peer: PeerKey,
        now_ms: f64,
        waiting: QueueHeads,
        more: Vec<(EndpointKey, EndpointLoad)>,
    ) {
        let Some(known) = self.peers.get_mut(&peer) else {
            return;
        };
        known.reported_ms = now_ms;
        known.waiting = waiting;
        for (endpoint, load) in &more {
            self.work_mut(*endpoint).total.add(load);
        }
        // The next full report subtracts these entries, endpoint by endpoint.
        self.peers
            .entry(peer)
            .and_modify(|known| known.loads.extend(more));
    }

    /// Discards the reports of silent peers and returns the keys of those peers.
    pub fn expire_peers(&mut self, now_ms: f64) -> Vec<PeerKey> {
        let silent = |peer: &Peer| now_ms - peer.reported_ms > PEER_SILENCE_MS;
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

    /// The best scores among the prompts that wait at peers.
    pub fn peer_heads(&self) -> QueueHeads {
        let waiting = self.peers.values().map(|peer| peer.waiting);
        waiting.fold(QueueHeads::default(), QueueHeads::merge)
    }

    /// The best scores among the prompts that wait at peers in one availability zone.
    pub fn peer_heads_in(&self, zone: ZoneKey) -> QueueHeads {
        let waiting = self.in_zone(zone).map(|peer| peer.waiting);
        waiting.fold(QueueHeads::default(), QueueHeads::merge)
    }

    /// Number of peers in one availability zone that reported recently.
    pub fn peer_count_in(&self, zone: ZoneKey) -> usize {
        self.in_zone(zone).count()
    }

    fn in_zone(&self, zone: ZoneKey) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.zone == zone)
    }

    /// Adds the length counts of all peers to `counts`.
    pub fn add_length_counts(&self, counts: &mut LengthCounts) {
        for peer in self.peers.values() {
            counts.add(&peer.lengths);
        }
    }

    /// The peers whose reports are held.
    pub fn peer_keys(&self) -> impl Iterator<Item = PeerKey> + '_ {
        self.peers.keys().copied()
    }

    /// Number of peers that reported recently.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// This gateway's load at each endpoint where it has any.
    pub fn own_loads(&self) -> Vec<(EndpointKey, EndpointLoad)> {
        let mut all = Vec::new();
        for (index, work) in self.work.iter().enumerate() {
            if !work.own.is_empty() {
                all.push((EndpointKey(index as u32), work.own.clone()));
            }
        }
        all
    }

    /// The load at an endpoint, from all gateways.
    pub fn load(&self, endpoint: EndpointKey) -> &EndpointLoad {
        const EMPTY: &EndpointLoad = &EndpointLoad::EMPTY;
        self.work(endpoint).map_or(EMPTY, |work| &work.total)
    }

    /// Sets the duration of a pass of an endpoint without prefill, in milliseconds.
    pub fn set_pass_ms(&mut self, endpoint: EndpointKey, pass_ms: f64) {
        self.work_mut(endpoint).passes.set_pass_ms(pass_ms);
    }

    /// Records the arrival of an event of a stream that the endpoint decodes.
    pub fn record_stream_event(&mut self, endpoint: EndpointKey, now_ms: f64) {
        self.work_mut(endpoint).passes.record_event(now_ms);
    }

    /// All prefill ever placed on an endpoint, in milliseconds; the difference of two values is what
    /// was placed in between.
    pub fn prefill_total_ms(&self, endpoint: EndpointKey) -> f64 {
        self.work(endpoint)
            .map_or(0.0, |work| work.prefill_total_ms)
    }

    /// The predicted pass boundaries of an endpoint.
    pub fn pass_timeline(&self, endpoint: EndpointKey) -> PassTimeline {
        self.work(endpoint)
            .map_or_else(PassTimeline::default, |work| work.passes.clone())
    }

    /// Recent share of its time that an endpoint has spent on prefill.
    pub fn recent_prefill_share(&self, endpoint: EndpointKey, now_ms: f64) -> f64 {
        let recent_ms = self
            .work(endpoint)
            .map_or(0.0, |work| work.recent_prefill_ms(now_ms));
        // Rounded to hundredths, so that engines with a smaller difference compare equal and the
        // first of them is chosen.
        ((recent_ms / DECAY_MS * 100.0).round() / 100.0).min(PREFILL_SHARE_MAX)
    }

    /// Predicted time until all prefill placed so far is finished, in milliseconds.
    ///
    /// An engine may be behind the prediction, because a prompt was overtaken or passes took
    /// longer. While shared prompts haven't shown their first token, `unknown_share` of their
    /// prefill counts as unfinished.
    pub fn backlog_ms(&self, endpoint: EndpointKey, now_ms: f64, unknown_share: f64) -> f64 {
        let Some(work) = self.work(endpoint) else {
            return 0.0;
        };
        let unknown_ms = f64::from(work.total.shared_read_ms);
        let predicted_ms = work.prefill_done_ms - now_ms;
        predicted_ms.max(unknown_ms * unknown_share)
    }
}
