//! Which of the keys under which the same endpoints crashed is the cause.
//!
//! A request that crashes its endpoint names itself and each part of its prompt, and the runs beside
//! it name theirs. Requests without the fault share most of these keys. Those requests begin to write,
//! which clears their parts, but only some time later; until then this order decides.

use crate::fingerprint::Fingerprint;
use crate::record::Record;

/// How likely a key is the cause of crashes; the key with the greater blame explains crashes that it
/// shares with another.
///
/// ```
/// use mgs_quarantine::blame::Blame;
/// use mgs_quarantine::fingerprint::Fingerprint;
/// use mgs_quarantine::fingerprint::PromptPart;
/// use mgs_quarantine::record::PartFacts;
/// use mgs_quarantine::record::Record;
///
/// let part = |depth: u16, has_begun: bool| Record {
///     part: Some(PartFacts {
///         name: PromptPart { service: "model".to_string(), id: depth.to_string() },
///         depth,
///         has_begun,
///     }),
///     ..Record::default()
/// };
/// let first_part = Blame::new(Fingerprint(1), &part(0, true), 3);
/// let rare_part = Blame::new(Fingerprint(2), &part(1, false), 3);
/// let request = Blame::new(Fingerprint(3), &Record::default(), 2);
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
    /// The blame of a key under which this number of crashes count.
    pub fn new(fingerprint: Fingerprint, record: &Record, crashes: usize) -> Self {
        Self {
            crashes,
            has_never_begun: !record.has_begun(),
            depth: record.depth(),
            fingerprint,
        }
    }
}
