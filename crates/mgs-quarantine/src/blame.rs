//! Which of the keys under which the same endpoints crashed is the cause.
//!
//! A request that crashes its endpoint names itself and each part of its prompt, and the runs beside
//! it name theirs. Requests without the fault share most of these keys. Those requests begin to write,
//! which clears their parts, but only some time later; until then this order decides.

use crate::fingerprint::Fingerprint;

/// Depth of a request, which has more in it than any part of its prompt.
const REQUEST_DEPTH: u16 = u16::MAX;

/// How likely a key is the cause of crashes; the key with the greater blame explains crashes that it
/// shares with another.
///
/// ```
/// use mgs_quarantine::blame::Blame;
/// use mgs_quarantine::fingerprint::Fingerprint;
///
/// let first_part = Blame::of_part(Fingerprint(1), 3, true, 0);
/// let rare_part = Blame::of_part(Fingerprint(2), 3, false, 1);
/// let request = Blame::of_request(Fingerprint(3), 2);
/// assert!(rare_part > first_part);
/// assert!(first_part > request);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Blame {
    // The derived order compares the fields in this order.
    crashes: usize,
    has_never_begun: bool,
    depth: u16,
    fingerprint: Fingerprint,
}

impl Blame {
    /// The blame of a request under which this number of crashes count.
    pub fn of_request(fingerprint: Fingerprint, crashes: usize) -> Self {
        Self {
            crashes,
            has_never_begun: true,
            depth: REQUEST_DEPTH,
            fingerprint,
        }
    }

    /// The blame of a part of prompts that comes after `depth` others.
    pub fn of_part(fingerprint: Fingerprint, crashes: usize, has_begun: bool, depth: u16) -> Self {
        Self {
            crashes,
            has_never_begun: !has_begun,
            depth: depth.min(REQUEST_DEPTH - 1),
            fingerprint,
        }
    }
}
