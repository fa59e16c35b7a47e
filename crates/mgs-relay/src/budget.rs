//! Retry budget: retries limited to a share of the requests, without coordination between gateways.
//!
//! All gateways together may retry a share of a service's requests plus a fixed number in each
//! window. Each gateway takes the share of its own requests and an equal part of the fixed number,
//! by the count of gateways that it knows of ([`crate::gateway_count`]), so that neither an isolated
//! gateway nor one that has just started takes all of it.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Settings of the retry budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in each window, by all gateways together.
    pub extra: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: f64,
    /// Share of the allowance that is used; windows slide, and counts lag at their edges.
    pub used_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 100.0,
            window_ms: 10_000.0,
            used_share: 0.7,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct RetryCounts {
    requests_ms: VecDeque<f64>,
    retries_ms: VecDeque<f64>,
}

/// Retry budget of one gateway, by service.
///
/// ```
/// use mgs_relay::budget::RetryBudget;
/// use mgs_relay::budget::Options;
///
/// let options = Options { extra: 4.0, used_share: 1.0, ..Options::default() };
/// let mut budget = RetryBudget::default();
/// // Two gateways share four.
/// assert!(budget.try_take_retry(&options, "model", 0.0, Some(2)));
/// assert!(budget.try_take_retry(&options, "model", 1.0, Some(2)));
/// assert!(!budget.try_take_retry(&options, "model", 2.0, Some(2)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    by_service: HashMap<String, RetryCounts>,
}

impl RetryBudget {
    /// Records the first dispatch of a request.
    pub fn record_request(&mut self, options: &Options, service: &str, now_ms: f64) {
        let counts = self.counts(service);
        counts.requests_ms.push_back(now_ms);
        drop_before(&mut counts.requests_ms, now_ms - options.window_ms);
    }

    /// Takes one retry from the budget; returns whether there was one. `gateways` is the number of
    /// gateways that share the fixed number; if it is unknown, none of the fixed number is used.
    pub fn try_take_retry(
        &mut self,
        options: &Options,
        service: &str,
        now_ms: f64,
        gateways: Option<usize>,
    ) -> bool {
        if self.available_retries(options, service, now_ms, gateways) < 1.0 {
            return false;
        }
        self.counts(service).retries_ms.push_back(now_ms);
        true
    }

    /// Returns how many retries of a service are left now, with the fraction of the next one.
    pub fn available_retries(
        &mut self,
        options: &Options,
        service: &str,
        now_ms: f64,
        gateways: Option<usize>,
    ) -> f64 {
        let counts = self.counts(service);
        drop_before(&mut counts.requests_ms, now_ms - options.window_ms);
        drop_before(&mut counts.retries_ms, now_ms - options.window_ms);
        let own = options.ratio * counts.requests_ms.len() as f64;
        let shared = gateways.map_or(0.0, |gateways| options.extra / gateways.max(1) as f64);
        (own + shared) * options.used_share - counts.retries_ms.len() as f64
    }

    fn counts(&mut self, service: &str) -> &mut RetryCounts {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.to_string(), RetryCounts::default());
        }
        self.by_service
            .get_mut(service)
            .expect("BUG: it was just put there")
    }
}

fn drop_before(times_ms: &mut VecDeque<f64>, before_ms: f64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < before_ms) {
        times_ms.pop_front();
    }
}
