//! Endpoints that fail or are slow are passed over for a while, by evidence.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mgs_fleet::view::EndpointKey;

use crate::outstanding::Arena;

/// Settings of [`Outliers`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Failures in a row that eject.
    pub failures: u32,
    /// Smoothed slowness that ejects, as a multiple of the fleet's.
    pub slow_factor: f64,
    /// First tokens that must have been seen before slowness ejects.
    pub slow_samples: u32,
    /// First ejection, in milliseconds; doubled by each further one.
    pub ejection_ms: u64,
    /// Longest ejection, in milliseconds.
    pub ejection_max_ms: u64,
    /// Most endpoints ejected at once, as a share of those known.
    pub share_max: f64,
    /// Answers in a row that end the trial after an ejection.
    pub trial_answers: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failures: 3,
            slow_factor: 4.0,
            slow_samples: 8,
            ejection_ms: 2_000,
            ejection_max_ms: 120_000,
            share_max: 0.25,
            trial_answers: 3,
        }
    }
}

/// Weight of a new sample in the smoothed slowness.
const SMOOTHING: f64 = 0.2;

/// Added to both times before they are divided, in milliseconds: small differences of small times
/// are no evidence.
const GRACE_MS: f64 = 200.0;

/// What stands against one endpoint.
#[derive(Debug, Default)]
struct Evidence {
    failures: AtomicU32,
    samples: AtomicU32,
    slowness_bits: AtomicU64,
    ejected_until_ms: AtomicU64,
    ejections: AtomicU32,
    trial: AtomicU32,
}

/// How an endpoint may be used now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// As any other.
    Good,
    /// For one request at a time, to see whether it has recovered.
    Trial,
    /// Not at all.
    Ejected,
}

/// An ejection in force.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    endpoint: EndpointKey,
    until_ms: u64,
}

/// The evidence against all endpoints.
#[derive(Debug, Default)]
pub struct Outliers {
    options: Options,
    evidence: Arena<Evidence>,
    fleet_slowness_bits: AtomicU64,
    known: AtomicU32,
    ejections: Mutex<Vec<Ejection>>,
}

impl Outliers {
    /// No evidence yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// How many endpoints there are to choose from.
    pub fn known(&self, endpoints: usize) {
        let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        self.known.store(endpoints, Ordering::Relaxed);
    }

    /// How an endpoint may be used now.
    pub fn standing(&self, endpoint: EndpointKey, now_ms: u64) -> Standing {
        let evidence = self.evidence.get(endpoint);
        if evidence.ejected_until_ms.load(Ordering::Relaxed) > now_ms {
            Standing::Ejected
        } else if evidence.trial.load(Ordering::Relaxed) > 0 {
            Standing::Trial
        } else {
            Standing::Good
        }
    }

    /// By what factor first tokens of an endpoint come later than predicted, smoothed; at least 1.
    pub fn slowness(&self, endpoint: EndpointKey) -> f64 {
        read(&self.evidence.get(endpoint).slowness_bits).max(1.0)
    }

    /// An attempt ended with an answer.
    pub fn answered(&self, endpoint: EndpointKey) {
        let evidence = self.evidence.get(endpoint);
        evidence.failures.store(0, Ordering::Relaxed);
        let less = |trial: u32| trial.checked_sub(1);
        let trial = evidence
            .trial
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        if trial == Ok(1) {
            evidence.ejections.store(0, Ordering::Relaxed);
        }
    }

    /// An attempt failed at the endpoint.
    pub fn failed(&self, endpoint: EndpointKey, now_ms: u64) {
        let evidence = self.evidence.get(endpoint);
        let failures = evidence.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let on_trial = evidence.trial.load(Ordering::Relaxed) > 0;
        if on_trial || failures >= self.options.failures {
            self.eject(endpoint, now_ms);
        }
    }

    /// A first token came.
    pub fn first_token(&self, endpoint: EndpointKey, now_ms: u64, predicted_ms: u64, took_ms: u64) {
        let evidence = self.evidence.get(endpoint);
        let sample = (took_ms as f64 + GRACE_MS) / (predicted_ms as f64 + GRACE_MS);
        let slowness = smooth(&evidence.slowness_bits, sample);
        // One endpoint moves the fleet's slowness by no more than what would eject it.
        let most = read(&self.fleet_slowness_bits).max(1.0) * self.options.slow_factor;
        let fleet = smooth(&self.fleet_slowness_bits, sample.min(most));
        let samples = evidence.samples.fetch_add(1, Ordering::Relaxed) + 1;
        let slow = slowness > fleet.max(1.0) * self.options.slow_factor;
        if slow && samples >= self.options.slow_samples {
            self.eject(endpoint, now_ms);
        }
    }

    /// Ejects unless too many are ejected already.
    fn eject(&self, endpoint: EndpointKey, now_ms: u64) {
        let mut ejections = self.ejections();
        ejections.retain(|e| e.until_ms > now_ms);
        let known = f64::from(self.known.load(Ordering::Relaxed));
        let most = (known * self.options.share_max) as usize;
        let already = ejections.iter().any(|e| e.endpoint == endpoint);
        if already || ejections.len() >= most {
            return;
        }
        let evidence = self.evidence.get(endpoint);
        let before = evidence.ejections.fetch_add(1, Ordering::Relaxed);
        let length_ms = self.options.ejection_ms.saturating_mul(1 << before.min(16));
        let until_ms = now_ms + length_ms.min(self.options.ejection_max_ms);
        evidence.failures.store(0, Ordering::Relaxed);
        evidence.samples.store(0, Ordering::Relaxed);
        evidence.slowness_bits.store(0, Ordering::Relaxed);
        evidence
            .trial
            .store(self.options.trial_answers, Ordering::Relaxed);
        evidence.ejected_until_ms.store(until_ms, Ordering::Relaxed);
        ejections.push(Ejection { endpoint, until_ms });
    }

    fn ejections(&self) -> MutexGuard<'_, Vec<Ejection>> {
        self.ejections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn read(bits: &AtomicU64) -> f64 {
    f64::from_bits(bits.load(Ordering::Relaxed))
}

/// Mixes a sample into a smoothed value, whose first sample stands as it is.
fn smooth(bits: &AtomicU64, sample: f64) -> f64 {
    let old = read(bits);
    let new = if old == 0.0 {
        sample
    } else {
        old + SMOOTHING * (sample - old)
    };
    bits.store(new.to_bits(), Ordering::Relaxed);
    new
}
