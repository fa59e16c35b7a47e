//! The highest fencing number seen, so that orders can't come from the past.

use crate::plant::Plant;

/// What to do with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Obey it; its number is now the highest.
    Obey,
    /// Refuse it: a higher number was seen.
    Stale,
    /// Refuse it: nothing is known of earlier numbers yet.
    NotReady,
}

/// The highest fencing number seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Option<u64>,
    plant: Plant,
}

impl Fence {
    /// A fence that obeys nothing until it has learnt a number.
    ///
    /// ```
    /// use mgs_ledger::fence::Fence;
    /// use mgs_ledger::fence::Verdict;
    ///
    /// let mut fence = Fence::new(Default::default());
    /// assert_eq!(fence.check(5), Verdict::NotReady);
    /// fence.learn(5);
    /// assert_eq!(fence.check(5), Verdict::Obey);
    /// assert_eq!(fence.check(4), Verdict::Stale);
    /// ```
    pub fn new(plant: Plant) -> Self {
        Self {
            highest: None,
            plant,
        }
    }

    /// Takes a number that was kept elsewhere; 0 says that no order was ever obeyed.
    pub fn learn(&mut self, number: u64) {
        self.highest = self.highest.max(Some(number));
    }

    /// Whether a number was learnt.
    pub fn is_ready(&self) -> bool {
        self.highest.is_some()
    }

    /// The highest number seen; 0 if none.
    pub fn highest(&self) -> u64 {
        self.highest.unwrap_or(0)
    }

    /// Judges the order with this number, and raises the highest.
    pub fn check(&mut self, number: u64) -> Verdict {
        if self.plant == Plant::IgnoredFence {
            return Verdict::Obey;
        }
        match self.highest {
            None => Verdict::NotReady,
            Some(highest) if number < highest => Verdict::Stale,
            Some(_) => {
                self.highest = Some(number);
                Verdict::Obey
            }
        }
    }
}
