//! What is asked of the engines and what waits for them, at this gateway and at its peers.
//!
//! Prompts are grouped by their score, so that a gateway knows how much goes ahead of one of its own
//! without a list of all prompts that wait elsewhere.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::load_table::PeerKey;
use crate::load_table::PEER_SILENCE_MS;
use crate::queue_order::Score;
use crate::queue_order::LATE_SCORE_BASE;

/// Time constant with which the count of what is asked decays, in milliseconds: ten long prompts
/// arrive in a second, so that a shorter one counts hardly more than chance, and the mix of lengths
/// changes within seconds.
pub(crate) const DECAY_MS: f64 = 2_000.0;

/// Time from the start for which no rate is known, in milliseconds.
const UNKNOWN_RATES_MS: f64 = 1_000.0;

/// Number of bands for each doubling of the score. Prompts within a band differ less in their score
/// than by the rate at which prompts of their length are dispatched.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// Most bands: those of all scores up to the late ones, which have a band of their own.
const BANDS_MAX: usize = 64;

/// Largest plausible waiting prefill of a peer in one band, and largest rate, in milliseconds on
/// one engine: that of a thousand engines for ten seconds.
const PEER_MS_MAX: u32 = 10_000_000;

/// Prompts of similar score.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScoreBand(u8);

impl ScoreBand {
    /// Prompts that can't be on time.
    const LATE: Self = Self(BANDS_MAX as u8 - 1);

    /// The band of a score.
    ///
    /// ```
    /// use mgs_placing::queue_demand::ScoreBand;
    /// use mgs_placing::queue_order::Score;
    ///
    /// assert_eq!(ScoreBand::of(Score(500)), ScoreBand::of(Score(510)));
    /// assert!(ScoreBand::of(Score(500)) < ScoreBand::of(Score(1_000)));
    /// ```
    pub fn of(score: Score) -> Self {
        if score.0 >= LATE_SCORE_BASE {
            return Self::LATE;
        }
        let doublings = f64::from(score.0.max(1)).log2();
        Self((doublings * BANDS_PER_DOUBLING) as u8)
    }
}

/// The prompts of one band at a gateway, as gateways send them to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BandDemand {
    /// The band.
    pub band: ScoreBand,
    /// Prefill that waits, on one engine, in milliseconds.
    pub waiting_ms: u32,
    /// Prefill asked for, on one engine, in milliseconds per second.
    pub asked_ms_per_s: u32,
}

/// The demand at one gateway, as gateways send it to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDemand {
    /// Engine time asked for by prompts that don't queue, in milliseconds per second.
    pub short_ms_per_s: u32,
    /// Prompts that queue, by band.
    pub bands: Vec<BandDemand>,
}

impl GatewayDemand {
    /// Whether there is no demand.
    pub fn is_empty(&self) -> bool {
        self.short_ms_per_s == 0 && self.bands.is_empty()
    }

    /// Whether the figures are plausible.
    fn is_usable(&self) -> bool {
        let is_usable = |demand: &BandDemand| {
            demand.band <= ScoreBand::LATE
                && demand.waiting_ms <= PEER_MS_MAX
                && demand.asked_ms_per_s <= PEER_MS_MAX
        };
        self.short_ms_per_s <= PEER_MS_MAX
            && self.bands.len() <= BANDS_MAX
            && self.bands.iter().all(is_usable)
    }
}

/// The demand that counts for one prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandAhead {
    /// Prefill of the waiting prompts that go ahead, on one engine, in milliseconds.
    pub waiting_ms: f64,
    /// Prefill of all waiting prompts, on one engine, in milliseconds.
    pub waiting_ms_of_all: f64,
    /// Number of engines that prompts which go ahead and haven't arrived yet keep busy.
    pub asked_engines: f64,
    /// Number of engines that prompts which don't queue would keep busy.
    pub asked_engines_of_short: f64,
    /// Number of engines that all prompts would keep busy.
    pub asked_engines_of_all: f64,
    /// Time since the oldest peer's report that counts, in milliseconds.
    pub oldest_report_ms: f64,
}

impl DemandAhead {
    /// Adds engine time asked for by prompts that don't queue.
    fn add_short(&mut self, ms_per_s: f64) {
        self.asked_engines_of_short += ms_per_s / 1e3;
        self.asked_engines_of_all += ms_per_s / 1e3;
    }

    /// Adds engine time asked for by prompts that queue. Those of the prompt's own band that arrive
    /// later go behind it.
    fn add_rate(&mut self, is_ahead: bool, ms_per_s: f64) {
        self.asked_engines_of_all += ms_per_s / 1e3;
        if is_ahead {
            self.asked_engines += ms_per_s / 1e3;
        }
    }

    fn add_peer(&mut self, peer: &PeerDemand, own_band: ScoreBand, with_rates: bool) {
        for demand in &peer.demand.bands {
            let waiting_ms = f64::from(demand.waiting_ms);
            self.waiting_ms_of_all += waiting_ms;
            if demand.band <= own_band {
                self.waiting_ms += waiting_ms;
            }
            if with_rates {
                self.add_rate(demand.band < own_band, f64::from(demand.asked_ms_per_s));
            }
        }
        if with_rates {
            self.add_short(f64::from(peer.demand.short_ms_per_s));
        }
    }
}

/// A peer's last report.
#[derive(Debug)]
struct PeerDemand {
    sequence: u64,
    at_ms: f64,
    demand: GatewayDemand,
}

/// Engine time asked for, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct AskedTime {
    recent_ms: f64,
    at_ms: f64,
}

impl AskedTime {
    fn add(&mut self, now_ms: f64, cost_ms: f64) {
        self.recent_ms = self.recent_ms(now_ms) + cost_ms;
        self.at_ms = now_ms;
    }

    fn recent_ms(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        self.recent_ms * (-age_ms / DECAY_MS).exp()
    }

    fn ms_per_s(&self, now_ms: f64) -> f64 {
        self.recent_ms(now_ms) * 1e3 / DECAY_MS
    }
}

/// A prompt that waits in the queue of long ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedPrompt {
    /// Its position.
    pub score: Score,
    /// Its prefill on one engine, in milliseconds.
    pub prefill_ms: f64,
}

/// What is asked of the engines, as one gateway knows it.
///
/// ```
/// use mgs_placing::queue_demand::QueueDemand;
/// use mgs_placing::queue_demand::QueuedPrompt;
/// use mgs_placing::queue_order::Score;
///
/// let demand = QueueDemand::started_at(0.0);
/// let others = [QueuedPrompt { score: Score(300), prefill_ms: 4_000.0 }];
/// assert_eq!(demand.ahead_of(Score(500), &others, 0.0).waiting_ms, 4_000.0);
/// assert_eq!(demand.ahead_of(Score(100), &others, 0.0).waiting_ms, 0.0);
/// ```
#[derive(Debug)]
pub struct QueueDemand {
    started_ms: f64,
    short: AskedTime,
    bands: BTreeMap<ScoreBand, AskedTime>,
    peers: HashMap<PeerKey, PeerDemand>,
}

impl QueueDemand {
    /// No demand, for a gateway that starts now.
    pub fn started_at(now_ms: f64) -> Self {
        Self {
            started_ms: now_ms,
            short: AskedTime::default(),
            bands: BTreeMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Records a prompt that arrives and doesn't queue, with the engine time that it takes.
    pub fn record_short(&mut self, now_ms: f64, cost_ms: f64) {
        self.short.add(now_ms, cost_ms);
    }

    /// Records a prompt that arrives and may have to queue.
    pub fn record_long(&mut self, now_ms: f64, prompt: QueuedPrompt) {
        let band = self.bands.entry(ScoreBand::of(prompt.score)).or_default();
        band.add(now_ms, prompt.prefill_ms);
    }

    /// The demand at this gateway, to send to peers.
    pub fn report(&self, waiting: &[QueuedPrompt], now_ms: f64) -> GatewayDemand {
        let mut waiting_ms: BTreeMap<ScoreBand, f64> = BTreeMap::new();
        for band in self.bands.keys() {
            waiting_ms.insert(*band, 0.0);
        }
        for prompt in waiting {
            let band = ScoreBand::of(prompt.score);
            *waiting_ms.entry(band).or_default() += prompt.prefill_ms;
        }
        let bands = waiting_ms.into_iter().map(|(band, waiting_ms)| {
            let asked = self.bands.get(&band).copied().unwrap_or_default();
            BandDemand {
                band,
                waiting_ms: waiting_ms as u32,
                asked_ms_per_s: asked.ms_per_s(now_ms) as u32,
            }
        });
        let is_present = |band: &BandDemand| band.waiting_ms > 0 || band.asked_ms_per_s > 0;
        GatewayDemand {
            short_ms_per_s: self.short.ms_per_s(now_ms) as u32,
            bands: bands.filter(is_present).collect(),
        }
    }

    /// Takes a peer's report unless a newer one is known. Returns whether it had implausible figures
    /// and was dropped.
    pub fn record_peer(
        &mut self,
        now_ms: f64,
        peer: PeerKey,
        sequence: u64,
        demand: GatewayDemand,
    ) -> bool {
        if !demand.is_usable() {
            return true;
        }
        let known = self.peers.get(&peer);
        if known.is_none_or(|known| known.sequence < sequence) {
            let at_ms = now_ms;
            let peer_demand = PeerDemand {
                sequence,
                at_ms,
                demand,
            };
            self.peers.insert(peer, peer_demand);
        }
        false
    }

    /// Forgets the report of a peer that fell silent.
    pub fn drop_peer(&mut self, peer: PeerKey) {
        self.peers.remove(&peer);
    }

    /// The demand that goes ahead of a prompt with this score. A peer without demand sends no report,
    /// so an old one doesn't count. `others` are the other prompts that
    /// wait here.
    pub fn ahead_of(&self, score: Score, others: &[QueuedPrompt], now_ms: f64) -> DemandAhead {
        let own_band = ScoreBand::of(score);
        let mut ahead = DemandAhead::default();
        for other in others {
            ahead.waiting_ms_of_all += other.prefill_ms;
            if other.score <= score {
                ahead.waiting_ms += other.prefill_ms;
            }
        }
        let knows_rates = now_ms - self.started_ms >= UNKNOWN_RATES_MS;
        if knows_rates {
            ahead.add_short(self.short.ms_per_s(now_ms));
            for (band, asked) in &self.bands {
                ahead.add_rate(*band < own_band, asked.ms_per_s(now_ms));
            }
        }
        let is_recent = |peer: &&PeerDemand| now_ms - peer.at_ms <= PEER_SILENCE_MS;
        for peer in self.peers.values().filter(is_recent) {
            ahead.add_peer(peer, own_band, knows_rates);
            ahead.oldest_report_ms = ahead.oldest_report_ms.max(now_ms - peer.at_ms);
        }
        ahead
    }
}
