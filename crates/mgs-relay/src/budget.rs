//! Second tries as a bounded share of the requests, agreed with the other gateways without talking.
//!
//! All gateways together may send again a share of a service's requests plus a fixed number in each
//! window. Each takes the share of its own requests, and an equal part of the fixed number by the gateways
//! that it knows of ([`crate::gateway_count`]): neither one that is cut off nor one that has just started must
//! take all of it.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Settings of the budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Second tries for each request.
    pub ratio: f64,
    /// Second tries in each window besides, by all gateways together.
    pub extra: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: f64,
    /// Share of the allowance that is used: windows slide, and counts lag at their edges.
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

#[derive(Debug, Default)]
struct Counts {
    firsts_ms: VecDeque<f64>,
    again_ms: VecDeque<f64>,
}

/// Second tries of one gateway, by service.
///
/// ```
/// use mgs_relay::budget::Budget;
/// use mgs_relay::budget::Options;
///
/// let options = Options { extra: 4.0, used_share: 1.0, ..Options::default() };
/// let mut budget = Budget::default();
/// // Two gateways share four.
/// assert!(budget.again(&options, "model", 0.0, Some(2)));
/// assert!(budget.again(&options, "model", 1.0, Some(2)));
/// assert!(!budget.again(&options, "model", 2.0, Some(2)));
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    by_service: HashMap<String, Counts>,
}

impl Budget {
    /// A request is sent for the first time.
    pub fn first(&mut self, options: &Options, service: &str, now_ms: f64) {
        let counts = self.counts(service);
        counts.firsts_ms.push_back(now_ms);
        forget(&mut counts.firsts_ms, now_ms - options.window_ms);
    }

    /// Takes one second try, or tells that there is none. `gateways`: how many share the fixed number, if that is
    /// known; if not, none of it is taken.
    pub fn again(
        &mut self,
        options: &Options,
        service: &str,
        now_ms: f64,
        gateways: Option<usize>,
    ) -> bool {
        let counts = self.counts(service);
        forget(&mut counts.firsts_ms, now_ms - options.window_ms);
        forget(&mut counts.again_ms, now_ms - options.window_ms);
        let own = options.ratio * counts.firsts_ms.len() as f64;
        let shared = gateways.map_or(0.0, |gateways| options.extra / gateways.max(1) as f64);
        let most = (own + shared) * options.used_share;
        if counts.again_ms.len() as f64 + 1.0 > most {
            return false;
        }
        counts.again_ms.push_back(now_ms);
        true
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.to_string(), Counts::default());
        }
        self.by_service
            .get_mut(service)
            .expect("BUG: it was just put there")
    }
}

fn forget(times_ms: &mut VecDeque<f64>, before_ms: f64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < before_ms) {
        times_ms.pop_front();
    }
}
