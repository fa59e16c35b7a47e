//! Retry budget: retries limited to a share of the requests, without coordination between gateways.
//!
//! All gateways together may retry a share of a service's requests plus a fixed number in each
//! window, over any series of restarts. A gateway has two sources of retries for a service:
//!
//! - Its requests earn some. A part of what they earned in the last window may be saved, so at most
//!   that part and what is earned within a window can be spent in the window.
//! - It may take its part of the fixed number, by the count of gateways that it knows of
//!   ([`crate::gateway_count`]), once in each window. A process that is younger than a window may
//!   have predecessors that spent that part in the same window. It takes from a reserve that is
//!   kept for this, in proportion to its age.
//!
//! So the limit holds although a process forgets at its end what it has spent.

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
    /// Share of the allowance that is used. The rest covers retries that were decided before a
    /// window and arrive within it.
    pub used_share: f64,
    /// Share of the retries earned in one window that may be saved for the next one; at most a
    /// half, so that a request earns no less than it lets the gateway save.
    pub saved_share: f64,
    /// Share of the additional retries that is kept for processes younger than a window.
    pub reserve_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 100.0,
            window_ms: 10_000.0,
            used_share: 0.9,
            saved_share: 0.4,
            reserve_share: 0.3,
        }
    }
}

impl Options {
    /// Retries that one request earns at once.
    fn earned_per_request(&self) -> f64 {
        self.ratio * self.used_share * (1.0 - self.saved_share)
    }

    /// Retries that may be saved for each request of the last window.
    fn saved_per_request(&self) -> f64 {
        self.ratio * self.used_share * self.saved_share
    }

    /// Additional retries that one gateway may take in a window, `age_ms` after its start.
    fn extra_of_one(&self, gateways: usize, age_ms: f64) -> f64 {
        let extra = self.extra * self.used_share / gateways.max(1) as f64;
        if age_ms < self.window_ms {
            return extra * self.reserve_share * age_ms / self.window_ms;
        }
        extra * (1.0 - self.reserve_share)
    }
}

/// Additional retries, or parts of one, that were taken.
#[derive(Debug, Clone, Copy)]
struct ExtraTaken {
    at_ms: f64,
    retries: f64,
}

/// Retries of one service.
#[derive(Debug, Clone, Default)]
struct ServiceBudget {
    /// Requests of the last window.
    requests_ms: VecDeque<f64>,
    /// Retries earned by requests and not yet taken.
    earned: f64,
    /// Additional retries taken in the last window.
    extra_taken: VecDeque<ExtraTaken>,
}

impl ServiceBudget {
    /// Forgets what is older than a window, and earned retries that may not be saved.
    fn expire(&mut self, options: &Options, now_ms: f64) {
        let before_ms = now_ms - options.window_ms;
        while self
            .requests_ms
            .front()
            .is_some_and(|at_ms| *at_ms < before_ms)
        {
            self.requests_ms.pop_front();
        }
        while self
            .extra_taken
            .front()
            .is_some_and(|taken| taken.at_ms < before_ms)
        {
            self.extra_taken.pop_front();
        }
        let saved_max = options.saved_per_request() * self.requests_ms.len() as f64;
        self.earned = self.earned.min(saved_max);
    }

    fn extra_in_window(&self) -> f64 {
        self.extra_taken.iter().map(|taken| taken.retries).sum()
    }
}

/// Retry budget of one gateway, by service.
///
/// ```
/// use mgs_relay::budget::RetryBudget;
/// use mgs_relay::budget::Options;
///
/// let options = Options { extra: 8.0, used_share: 1.0, reserve_share: 0.5, ..Options::default() };
/// let mut budget = RetryBudget::started_at(0.0);
/// assert!(!budget.try_take_retry(&options, "model", 0.0, Some(2)));
/// // A window after the start, two gateways share the four retries outside the reserve.
/// assert!(budget.try_take_retry(&options, "model", 10_000.0, Some(2)));
/// assert!(budget.try_take_retry(&options, "model", 10_001.0, Some(2)));
/// assert!(!budget.try_take_retry(&options, "model", 10_002.0, Some(2)));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    started_ms: f64,
    by_service: HashMap<String, ServiceBudget>,
}

impl RetryBudget {
    /// The budget of a process that has just started.
    pub fn started_at(now_ms: f64) -> Self {
        Self {
            started_ms: now_ms,
            by_service: HashMap::new(),
        }
    }

    /// Records the arrival of a client's request.
    pub fn record_request(&mut self, options: &Options, service: &str, now_ms: f64) {
        let budget = self.service(service);
        budget.requests_ms.push_back(now_ms);
        budget.earned += options.earned_per_request();
        budget.expire(options, now_ms);
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
        let budget = self.service(service);
        let earned = budget.earned.min(1.0);
        budget.earned -= earned;
        if earned < 1.0 {
            budget.extra_taken.push_back(ExtraTaken {
                at_ms: now_ms,
                retries: 1.0 - earned,
            });
        }
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
        let age_ms = now_ms - self.started_ms;
        let extra = gateways.map_or(0.0, |gateways| options.extra_of_one(gateways, age_ms));
        let budget = self.service(service);
        budget.expire(options, now_ms);
        budget.earned + (extra - budget.extra_in_window()).max(0.0)
    }

    fn service(&mut self, service: &str) -> &mut ServiceBudget {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.to_string(), ServiceBudget::default());
        }
        self.by_service
            .get_mut(service)
            .expect("BUG: it was just put there")
    }
}
