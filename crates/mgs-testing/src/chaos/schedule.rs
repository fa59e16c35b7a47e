//! Which faults a run injects, and when: a pure function of its seed.

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A gateway is killed, and started again later.
    KillGateway,
    /// A sidecar is killed, and started again later.
    KillSidecar,
    /// A gateway's threads stop for a while.
    PauseGateway,
    /// A sidecar's threads stop for a while.
    PauseSidecar,
    /// The connections of a path are reset.
    Cut,
    /// The connections of a path are reset after some more bytes.
    CutAfterBytes,
    /// The connections of a path fall silent, new ones work.
    HalfDead,
    /// A path is silent in both directions for a while.
    Silent,
    /// A path is silent in one direction for a while.
    SilentOneWay,
    /// One connection of a path lets all others pass it.
    HoldOne,
    /// What gateways send to a sidecar is held back, and comes when they have given it up.
    HeldBack,
    /// A path is slow for a while.
    Slow,
    /// The platform refuses all calls for a while.
    StoreDown,
    /// The platform is slow for a while.
    StoreSlow,
    /// Writes take effect and their replies are lost.
    StoreReplyLost,
    /// One process can't reach the platform for a while.
    StoreUnreachable,
    /// An endpoint crashes.
    EndpointCrash,
    /// An endpoint stops to answer for a while.
    EndpointFreeze,
    /// Operators stop an endpoint and start it again.
    StopEndpoint,
    /// The list of hosts says that an endpoint's host leaves, and takes it back.
    HostLeaves,
    /// A gateway is asked to stop, and started again.
    StopGateway,
    /// A sidecar is asked to stop, and started again.
    StopSidecar,
}

impl FaultKind {
    /// Its name, as reports spell it.
    pub fn name(self) -> &'static str {
        match self {
            Self::KillGateway => "kill_gateway",
            Self::KillSidecar => "kill_sidecar",
            Self::PauseGateway => "pause_gateway",
            Self::PauseSidecar => "pause_sidecar",
            Self::Cut => "cut",
            Self::CutAfterBytes => "cut_after_bytes",
            Self::HalfDead => "half_dead",
            Self::Silent => "silent",
            Self::SilentOneWay => "silent_one_way",
            Self::HoldOne => "hold_one",
            Self::HeldBack => "held_back",
            Self::Slow => "slow",
            Self::StoreDown => "store_down",
            Self::StoreSlow => "store_slow",
            Self::StoreReplyLost => "store_reply_lost",
            Self::StoreUnreachable => "store_unreachable",
            Self::EndpointCrash => "endpoint_crash",
            Self::EndpointFreeze => "endpoint_freeze",
            Self::StopEndpoint => "stop_endpoint",
            Self::HostLeaves => "host_leaves",
            Self::StopGateway => "stop_gateway",
            Self::StopSidecar => "stop_sidecar",
        }
    }

    /// Whether it is an orderly change that must cut nothing off, not a failure.
    pub fn is_orderly(self) -> bool {
        matches!(
            self,
            Self::StopEndpoint | Self::HostLeaves | Self::StopGateway | Self::StopSidecar
        )
    }

    fn domain(self, sizes: &Sizes) -> usize {
        match self {
            Self::KillGateway | Self::PauseGateway | Self::StopGateway => sizes.gateways,
            Self::StoreDown | Self::StoreSlow | Self::StoreReplyLost => 1,
            Self::StoreUnreachable => sizes.gateways + sizes.endpoints,
            Self::Cut
            | Self::CutAfterBytes
            | Self::HalfDead
            | Self::Silent
            | Self::SilentOneWay
            | Self::HoldOne
            | Self::Slow => 2 * sizes.endpoints,
            _ => sizes.endpoints,
        }
    }

    fn longest_ms(self) -> u64 {
        match self {
            Self::PauseGateway | Self::PauseSidecar => PAUSE_MAX_MS,
            Self::StoreDown | Self::StoreUnreachable => OUTAGE_MAX_MS,
            Self::StopEndpoint | Self::HostLeaves => LEAVING_MAX_MS,
            Self::HoldOne | Self::HeldBack => HOLD_MAX_MS,
            _ => FAULT_MAX_MS,
        }
    }

    fn shortest_ms(self) -> u64 {
        match self {
            Self::HoldOne | Self::HeldBack => HOLD_MIN_MS,
            _ => FAULT_MIN_MS,
        }
    }
}

/// Longer than it takes to give up a silent connection, so that what it held comes late.
const HOLD_MIN_MS: u64 = 2_000;

const HOLD_MAX_MS: u64 = 5_000;

/// Longer than the lease of a gateway at a sidecar, and than that of the controller.
const PAUSE_MAX_MS: u64 = 14_000;

const OUTAGE_MAX_MS: u64 = 8_000;

/// Long enough that the limit for new work passes.
const LEAVING_MAX_MS: u64 = 8_000;

const FAULT_MAX_MS: u64 = 3_000;

const FAULT_MIN_MS: u64 = 100;

const PAUSE_BETWEEN_MIN_MS: u64 = 200;

const PAUSE_BETWEEN_MAX_MS: u64 = 2_500;

/// Time before the first fault, in milliseconds.
const LEAD_MS: u64 = 500;

/// Delay between a fault and the one that comes with it, in milliseconds.
const TOGETHER_MS: u64 = 150;

/// A fault that is to be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// When, in milliseconds since the callers began.
    pub at_ms: u64,
    /// What.
    pub kind: FaultKind,
    /// Which gateway, endpoint, path or process: a number below the count of them.
    pub place: usize,
    /// How long.
    pub lasts_ms: u64,
    /// A random number for what else varies.
    pub variant: u64,
}

/// How large the system is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Gateways.
    pub gateways: usize,
    /// Endpoints, each with its sidecar.
    pub endpoints: usize,
}

/// Faults of these kinds over a time: alone, together with another, and twice in one place.
///
/// ```
/// use mgs_testing::chaos::schedule;
/// use mgs_testing::chaos::Scenario;
/// use mgs_testing::chaos::Sizes;
///
/// let sizes = Sizes { gateways: 2, endpoints: 4 };
/// let faults = schedule(7, &Scenario::Kill.faults(), &sizes, 10_000);
/// assert_eq!(faults, schedule(7, &Scenario::Kill.faults(), &sizes, 10_000));
/// ```
pub fn schedule(seed: u64, kinds: &[FaultKind], sizes: &Sizes, total_ms: u64) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = LEAD_MS;
    while at_ms < total_ms {
        let Some(kind) = kinds.choose(&mut random) else {
            break;
        };
        let fault = draw(&mut random, *kind, sizes, at_ms);
        faults.push(fault);
        match random.random_range(0..4) {
            0 => faults.extend(another(&mut random, kinds, sizes, at_ms)),
            1 => faults.push(again(&fault)),
            _ => {}
        }
        at_ms += random.random_range(PAUSE_BETWEEN_MIN_MS..=PAUSE_BETWEEN_MAX_MS);
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw(random: &mut ChaCha8Rng, kind: FaultKind, sizes: &Sizes, at_ms: u64) -> Fault {
    let longest_ms = kind.longest_ms();
    // Most faults are short, so that many fit in a run; some last as long as they may.
    let longest_ms = match random.random_range(0..3) {
        0 => longest_ms,
        _ => longest_ms.min(FAULT_MAX_MS),
    };
    Fault {
        at_ms,
        kind,
        place: random.random_range(0..kind.domain(sizes)),
        lasts_ms: random.random_range(kind.shortest_ms()..=longest_ms),
        variant: random.random(),
    }
}

/// Another fault at nearly the same time.
fn another(
    random: &mut ChaCha8Rng,
    kinds: &[FaultKind],
    sizes: &Sizes,
    at_ms: u64,
) -> Option<Fault> {
    let kind = kinds.choose(random)?;
    let at_ms = at_ms + random.random_range(0..=TOGETHER_MS);
    Some(draw(random, *kind, sizes, at_ms))
}

/// The same fault in the same place, soon after its end.
fn again(fault: &Fault) -> Fault {
    Fault {
        at_ms: fault.at_ms + fault.lasts_ms + TOGETHER_MS,
        ..*fault
    }
}
