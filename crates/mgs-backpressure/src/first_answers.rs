//! Preference for endpoints whose limits and back-off this gateway can know.
//!
//! An endpoint announces its limit, and asks for a back-off, in its answers. Until its first answer
//! to a process, the process doesn't know of either, and each further request may exceed them. So a
//! process prefers endpoints that have answered it, and those that have none of its requests in
//! progress. After a start of all gateways, an endpoint gets one request from each of them, instead
//! of as many as arrive until its first answer.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::table::IncarnationHash;

/// An endpoint that may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its incarnation.
    pub incarnation: IncarnationHash,
    /// Whether it could run the request at once.
    pub has_room: bool,
}

/// Which endpoints have answered this process, and which are yet to answer a request.
///
/// ```
/// use mgs_backpressure::first_answers::Candidate;
/// use mgs_backpressure::first_answers::FirstAnswers;
/// use mgs_backpressure::table::IncarnationHash;
///
/// let candidate = |hash| Candidate { incarnation: IncarnationHash(hash), has_room: true };
/// let mut first_answers = FirstAnswers::default();
/// first_answers.begin(IncarnationHash(1));
/// let preferred = first_answers.preferred(&[candidate(1), candidate(2)]);
/// assert_eq!(preferred, [false, true]);
/// first_answers.record_answer(IncarnationHash(1));
/// let preferred = first_answers.preferred(&[candidate(1), candidate(2)]);
/// assert_eq!(preferred, [true, true]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FirstAnswers {
    answered: HashSet<IncarnationHash>,
    /// Requests in progress at endpoints that haven't answered yet.
    awaited: HashMap<IncarnationHash, usize>,
}

impl FirstAnswers {
    /// Records that a request was placed at an endpoint.
    pub fn begin(&mut self, incarnation: IncarnationHash) {
        if !self.answered.contains(&incarnation) {
            *self.awaited.entry(incarnation).or_default() += 1;
        }
    }

    /// Records that a request at an endpoint has ended, with or without an answer.
    pub fn end(&mut self, incarnation: IncarnationHash) {
        let Some(requests) = self.awaited.get_mut(&incarnation) else {
            return;
        };
        *requests -= 1;
        if *requests == 0 {
            self.awaited.remove(&incarnation);
        }
    }

    /// Records a response of an endpoint, of any status.
    pub fn record_answer(&mut self, incarnation: IncarnationHash) {
        self.awaited.remove(&incarnation);
        self.answered.insert(incarnation);
    }

    /// Whether an endpoint has a request in progress and hasn't answered any yet.
    pub fn is_awaited(&self, incarnation: IncarnationHash) -> bool {
        self.awaited.contains_key(&incarnation)
    }

    /// Number of endpoints that have a request in progress and haven't answered any yet.
    pub fn awaited_endpoints(&self) -> usize {
        self.awaited.len()
    }

    /// Which of the candidates are preferred: all but the awaited ones, or all of them if none of
    /// the others has room.
    pub fn preferred(&self, candidates: &[Candidate]) -> Vec<bool> {
        let is_preferred = |candidate: &Candidate| !self.is_awaited(candidate.incarnation);
        let has_other = candidates.iter().any(|c| c.has_room && is_preferred(c));
        let preferred = candidates.iter().map(|c| !has_other || is_preferred(c));
        preferred.collect()
    }

    /// Forgets endpoints that aren't listed any more.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool) {
        self.answered.retain(|incarnation| is_listed(*incarnation));
        self.awaited
            .retain(|incarnation, _| is_listed(*incarnation));
    }
}
