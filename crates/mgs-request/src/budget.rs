//! Retries as a bounded share of traffic, so that they never multiply an overload.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Thousandths of a retry, the unit of the budget's counter.
const MILLI: u64 = 1_000;

/// Settings of a retry budget.
#[derive(Debug, Clone)]
pub struct Options {
    /// Thousandths of a retry that each first attempt earns.
    pub earned_milli: u64,
    /// Most retries saved up.
    pub saved_max: u64,
    /// Retries that may be spent before anything was earned.
    pub saved_at_start: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            earned_milli: 200,
            saved_max: 50,
            saved_at_start: 10,
        }
    }
}

/// A budget shared by the requests of a process: first attempts earn, retries and hedges spend.
#[derive(Debug)]
pub struct Budget {
    saved_milli: AtomicU64,
    options: Options,
}

impl Budget {
    /// A budget with its savings at the start.
    ///
    /// ```
    /// use mgs_request::budget::Budget;
    /// use mgs_request::budget::Options;
    ///
    /// let budget = Budget::new(Options { saved_at_start: 1, ..Options::default() });
    /// assert!(budget.spend());
    /// assert!(!budget.spend());
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            saved_milli: AtomicU64::new(options.saved_at_start * MILLI),
            options,
        }
    }

    /// Earns the share of one first attempt.
    pub fn earn(&self) {
        let most = self.options.saved_max * MILLI;
        let earned = self.options.earned_milli;
        let add = |saved: u64| Some((saved + earned).min(most));
        let _ = self
            .saved_milli
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Spends one retry; `false` if there is none.
    pub fn spend(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(MILLI);
        self.saved_milli
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }
}
