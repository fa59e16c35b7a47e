//! A retry budget: retries are limited to a share of the traffic, so that they can't amplify an
//! overload.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Balance units per retry: the balance is counted in thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1_000;

/// Settings of a retry budget.
#[derive(Debug, Clone)]
pub struct Options {
    /// Thousandths of a retry that each first attempt adds to the balance.
    pub earned_milli: u64,
    /// Maximum balance, in retries.
    pub balance_max: u64,
    /// Balance of a new budget, in retries.
    pub initial_balance: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            earned_milli: 200,
            balance_max: 50,
            initial_balance: 10,
        }
    }
}

/// A retry budget shared by all requests of a process. First attempts add to the balance; retries
/// and hedges are charged to it.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicU64,
    options: Options,
}

impl RetryBudget {
    /// Creates a budget with its initial balance.
    ///
    /// ```
    /// use mgs_request::budget::RetryBudget;
    /// use mgs_request::budget::Options;
    ///
    /// let budget = RetryBudget::new(Options { initial_balance: 1, ..Options::default() });
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            balance_milli: AtomicU64::new(options.initial_balance * MILLI_PER_RETRY),
            options,
        }
    }

    /// Adds the share of one first attempt to the balance.
    pub fn add_first_attempt(&self) {
        let max_milli = self.options.balance_max * MILLI_PER_RETRY;
        let earned = self.options.earned_milli;
        let add = |balance: u64| Some((balance + earned).min(max_milli));
        let _ = self
            .balance_milli
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry from the balance; returns `false` if the balance is too low.
    pub fn try_spend(&self) -> bool {
        let take = |balance: u64| balance.checked_sub(MILLI_PER_RETRY);
        self.balance_milli
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }
}
