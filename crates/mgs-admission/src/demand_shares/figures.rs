//! What gateways report, see and log.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an organisation's name, by which gateways refer to it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct OrganisationHash(pub u64);

impl OrganisationHash {
    /// The hash of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Demand of one organisation at one gateway, in milliseconds of engine time per second.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Cost asked for, over about a second.
    pub asked: f32,
    /// Cost admitted and not refused by engines since, over about a second. What waits for engines is
    /// included.
    pub admitted: f32,
    /// Usual cost; 0 for all organisations of a gateway that doesn't know it yet.
    pub usual: f32,
}

impl OrganisationDemand {
    /// Whether all figures are finite and not negative.
    pub(super) fn is_valid(&self) -> bool {
        let figures = [self.asked, self.admitted, self.usual];
        figures
            .iter()
            .all(|figure| figure.is_finite() && *figure >= 0.0)
    }
}

/// What a gateway sees of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EnginePressure {
    /// Engines that may be used.
    pub engines: usize,
    /// Share of their time in use, by prefill and by slots that are taken.
    pub busy_share: f64,
    /// Time until one of them begins with a prompt that arrives now, in milliseconds.
    pub wait_ms: f64,
}

/// Figures behind a refusal. Rates are in milliseconds of engine time per second, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ShareRefusal {
    /// Cost that the organisation asks for.
    pub asked: f64,
    /// Cost that it may use.
    pub allowed: f64,
    /// Its usual cost.
    pub usual: f64,
    /// Cost that all organisations ask for.
    pub asked_by_all: f64,
    /// Capacity that they share.
    pub capacity: f64,
    /// Peers whose figures are included.
    pub peers: usize,
    /// Age of the oldest of these figures, in milliseconds.
    pub oldest_report_ms: f64,
    /// When the excess will have passed, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// A change of whether capacity is short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortageChange {
    /// Whether it is short now.
    pub is_short: bool,
    /// Cost that all organisations ask for, in milliseconds of engine time per second.
    pub asked: f64,
    /// Cost sent to engines, in milliseconds of engine time per second.
    pub admitted: f64,
    /// Capacity, in milliseconds of engine time per second; 0 if it isn't short.
    pub capacity: f64,
}
