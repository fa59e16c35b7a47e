//! Fencing of control-plane orders: an order with a lower fencing number than one already seen is
//! rejected as stale.

use crate::fault::InjectedFault;

/// Result of a fencing check on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The order is accepted; its number is now the highest.
    Accept,
    /// The order is refused: a higher number was seen.
    Stale,
    /// The order is refused: the highest earlier number is not known yet.
    NotReady,
}

/// The highest fencing number seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Option<u64>,
    injected_fault: InjectedFault,
}

impl Fence {
    /// Creates a fence that accepts no order until a number is restored.
    ///
    /// ```
    /// use mgs_ledger::fence::Fence;
    /// use mgs_ledger::fence::Verdict;
    ///
    /// let mut fence = Fence::new(Default::default());
    /// assert_eq!(fence.check(5), Verdict::NotReady);
    /// fence.restore(5);
    /// assert_eq!(fence.check(5), Verdict::Accept);
    /// assert_eq!(fence.check(4), Verdict::Stale);
    /// ```
    pub fn new(injected_fault: InjectedFault) -> Self {
        Self {
            highest: None,
            injected_fault,
        }
    }

    /// Restores a number from external storage; 0 means that no order was ever accepted. The
    /// highest number never decreases.
    pub fn restore(&mut self, number: u64) {
        self.highest = self.highest.max(Some(number));
    }

    /// Whether a number was restored.
    pub fn is_ready(&self) -> bool {
        self.highest.is_some()
    }

    /// The highest number seen; 0 if none.
    pub fn highest(&self) -> u64 {
        self.highest.unwrap_or(0)
    }

    /// Checks an order with this number, and raises the highest number if it is accepted.
    pub fn check(&mut self, number: u64) -> Verdict {
        if self.injected_fault == InjectedFault::IgnoredFence {
            return Verdict::Accept;
        }
        match self.highest {
            None => Verdict::NotReady,
            Some(highest) if number < highest => Verdict::Stale,
            Some(_) => {
                self.highest = Some(number);
                Verdict::Accept
            }
        }
    }
}
