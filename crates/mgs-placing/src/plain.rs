//! Choice of an endpoint for a call to a plain service.
//!
//! These calls are short and each endpoint runs only a few at a time, so the least loaded endpoint
//! is chosen; among equals, one in the same zone saves a hop.

use mgs_fleet::view::EndpointKey;

use crate::load_table::LoadTable;

/// An endpoint that may take the call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Whether it is in the gateway's own availability zone.
    pub in_own_zone: bool,
    /// Whether it is on probation after failures. It then counts as more loaded, so that it is
    /// chosen mainly while it is idle or if no other endpoint is left.
    pub on_probation: bool,
}

/// Added to the load of an endpoint in another zone, in calls: the round trip takes about a tenth
/// of a call.
const OTHER_ZONE_CALLS: f64 = 0.1;

/// Added to the load of an endpoint on probation, in calls.
const PROBATION_CALLS: f64 = 2.0;

/// The endpoint with the least load per slot, or `None` without candidates.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_placing::load_table::LoadTable;
/// use mgs_placing::plain::choose_endpoint;
/// use mgs_placing::plain::Candidate;
///
/// let far = Candidate { key: EndpointKey(0), slots: 6, in_own_zone: false, on_probation: false };
/// let near = Candidate { key: EndpointKey(1), in_own_zone: true, ..far };
/// assert_eq!(choose_endpoint(&[far, near], &LoadTable::new()), Some(EndpointKey(1)));
/// ```
pub fn choose_endpoint(candidates: &[Candidate], load_table: &LoadTable) -> Option<EndpointKey> {
    let load = |candidate: &Candidate| {
        let mut calls = f64::from(load_table.load(candidate.key).calls);
        if !candidate.in_own_zone {
            calls += OTHER_ZONE_CALLS;
        }
        if candidate.on_probation {
            calls += PROBATION_CALLS;
        }
        calls / f64::from(candidate.slots.max(1))
    };
    let least = candidates
        .iter()
        .min_by(|a, b| load(a).total_cmp(&load(b)))?;
    Some(least.key)
}
