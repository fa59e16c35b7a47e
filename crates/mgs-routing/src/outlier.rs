//! Outlier detection: ejects endpoints that fail repeatedly or respond much more slowly than the
//! fleet, for a limited time.
//!
//! After an ejection an endpoint is on probation until it has given a number of answers; a failure
//! during probation ejects it again, for longer.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mgs_fleet::view::EndpointKey;

use crate::outstanding::EndpointTable;

/// Settings of [`OutlierDetector`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Number of consecutive failures after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Multiple of the fleet's smoothed slowness (at least 1) above which an endpoint is ejected.
    pub slow_factor: f64,
    /// Minimum number of first tokens observed before an endpoint can be ejected for slowness.
    pub slow_samples_min: u32,
    /// Duration of the first ejection, in milliseconds; each further ejection doubles it.
    pub ejection_ms: u64,
    /// Maximum duration of an ejection, in milliseconds.
    pub ejection_max_ms: u64,
    /// Maximum share of the endpoints that are ejected at once.
    pub ejected_share_max: f64,
    /// Number of answers without a failure that end the probation after an ejection.
    pub probation_answers: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            slow_factor: 4.0,
            slow_samples_min: 8,
            ejection_ms: 2_000,
            ejection_max_ms: 120_000,
            ejected_share_max: 0.25,
            probation_answers: 3,
        }
    }
}

/// Weight of a new sample in the exponential moving average of the slowness.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Added to the observed and the predicted time before their ratio is taken, in milliseconds, so
/// that small differences between short times don't count as slowness.
const RATIO_OFFSET_MS: f64 = 200.0;

/// Failure, slowness and ejection state of one endpoint. The fields ending in `_bits` hold the bits
/// of an `f64`.
#[derive(Debug, Default)]
struct EndpointRecord {
    failures: AtomicU32,
    samples: AtomicU32,
    slowness_bits: AtomicU64,
    ejected_until_ms: AtomicU64,
    ejections: AtomicU32,
    probation_answers_left: AtomicU32,
}

/// Health of an endpoint, which decides how it may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// May be used without restriction.
    Healthy,
    /// Was ejected, and is to get one request at a time until it has proved to have recovered.
    Probation,
    /// Must not be used.
    Ejected,
}

/// An ejection that hasn't expired.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    endpoint: EndpointKey,
    until_ms: u64,
}

/// Tracks failures and slowness of all endpoints and ejects outliers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    options: Options,
    records: EndpointTable<EndpointRecord>,
    fleet_slowness_bits: AtomicU64,
    endpoint_count: AtomicU32,
    ejections: Mutex<Vec<Ejection>>,
}

impl OutlierDetector {
    /// Creates a detector with no observations.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sets the number of endpoints to choose from, of which
    /// [`Options::ejected_share_max`] may be ejected at once.
    pub fn set_endpoint_count(&self, endpoints: usize) {
        let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        self.endpoint_count.store(endpoints, Ordering::Relaxed);
    }

    /// Returns the health of an endpoint at `now_ms`.
    pub fn health(&self, endpoint: EndpointKey, now_ms: u64) -> Health {
        let record = self.records.get(endpoint);
        if record.ejected_until_ms.load(Ordering::Relaxed) > now_ms {
            Health::Ejected
        } else if record.probation_answers_left.load(Ordering::Relaxed) > 0 {
            Health::Probation
        } else {
            Health::Healthy
        }
    }

    /// Returns the smoothed ratio of observed to predicted time to first token, at least 1.
    pub fn slowness(&self, endpoint: EndpointKey) -> f64 {
        load_f64(&self.records.get(endpoint).slowness_bits).max(1.0)
    }

    /// Records that an attempt ended with an answer.
    pub fn record_answer(&self, endpoint: EndpointKey) {
        let record = self.records.get(endpoint);
        record.failures.store(0, Ordering::Relaxed);
        let decrement = |answers: u32| answers.checked_sub(1);
        let previous = record.probation_answers_left.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            decrement,
        );
        if previous == Ok(1) {
            record.ejections.store(0, Ordering::Relaxed);
        }
    }

    /// Records that an attempt failed, and ejects the endpoint if it is on probation or has reached
    /// [`Options::consecutive_failures`].
    pub fn record_failure(&self, endpoint: EndpointKey, now_ms: u64) {
        let record = self.records.get(endpoint);
        let failures = record.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let on_probation = record.probation_answers_left.load(Ordering::Relaxed) > 0;
        if on_probation || failures >= self.options.consecutive_failures {
            self.eject(endpoint, now_ms);
        }
    }

    /// Records an observed time to first token together with its prediction, and ejects the
    /// endpoint if it is much slower than the fleet.
    pub fn record_first_token(
        &self,
        endpoint: EndpointKey,
        now_ms: u64,
        predicted_ms: u64,
        took_ms: u64,
    ) {
        let record = self.records.get(endpoint);
        let sample = (took_ms as f64 + RATIO_OFFSET_MS) / (predicted_ms as f64 + RATIO_OFFSET_MS);
        let slowness = update_average(&record.slowness_bits, sample);
        // Caps a sample's effect on the fleet's average at the slowness that ejects an endpoint.
        let sample_max = load_f64(&self.fleet_slowness_bits).max(1.0) * self.options.slow_factor;
        let fleet = update_average(&self.fleet_slowness_bits, sample.min(sample_max));
        let samples = record.samples.fetch_add(1, Ordering::Relaxed) + 1;
        let is_slow = slowness > fleet.max(1.0) * self.options.slow_factor;
        if is_slow && samples >= self.options.slow_samples_min {
            self.eject(endpoint, now_ms);
        }
    }

    /// Ejects an endpoint, unless it is ejected already or [`Options::ejected_share_max`] is
    /// reached.
    fn eject(&self, endpoint: EndpointKey, now_ms: u64) {
        let mut ejections = self.ejections();
        ejections.retain(|e| e.until_ms > now_ms);
        let endpoint_count = f64::from(self.endpoint_count.load(Ordering::Relaxed));
        let ejections_max = (endpoint_count * self.options.ejected_share_max) as usize;
        let already_ejected = ejections.iter().any(|e| e.endpoint == endpoint);
        if already_ejected || ejections.len() >= ejections_max {
            return;
        }
        let record = self.records.get(endpoint);
        let prior_ejections = record.ejections.fetch_add(1, Ordering::Relaxed);
        let duration_ms = self
            .options
            .ejection_ms
            .saturating_mul(1 << prior_ejections.min(16));
        let until_ms = now_ms + duration_ms.min(self.options.ejection_max_ms);
        record.failures.store(0, Ordering::Relaxed);
        record.samples.store(0, Ordering::Relaxed);
        record.slowness_bits.store(0, Ordering::Relaxed);
        record
            .probation_answers_left
            .store(self.options.probation_answers, Ordering::Relaxed);
        record.ejected_until_ms.store(until_ms, Ordering::Relaxed);
        ejections.push(Ejection { endpoint, until_ms });
    }

    fn ejections(&self) -> MutexGuard<'_, Vec<Ejection>> {
        self.ejections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn load_f64(bits: &AtomicU64) -> f64 {
    f64::from_bits(bits.load(Ordering::Relaxed))
}

/// Updates an exponential moving average, stored as `f64` bits, with a sample and returns it. A
/// stored 0 means that there was no sample yet.
fn update_average(bits: &AtomicU64, sample: f64) -> f64 {
    let old = load_f64(bits);
    let new = if old == 0.0 {
        sample
    } else {
        old + SMOOTHING_FACTOR * (sample - old)
    };
    bits.store(new.to_bits(), Ordering::Relaxed);
    new
}
