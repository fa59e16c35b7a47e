//! How often sidecars report, so that what a gateway spends on control is bounded whatever the
//! fleet.

use crate::gateway::Options;

/// Longest time between reports; the routing policy takes no notice of much older ones.
const REPORT_INTERVAL_MAX_MS: u64 = 1_500;

/// Sessions that don't lengthen the interval.
const SESSIONS_FREE: u64 = 20;

/// Sessions are opened anew when the interval is off by this factor.
const OFF_FACTOR: u64 = 2;

/// Time between reports that a gateway with so many sessions asks for, in milliseconds.
///
/// ```
/// use mgs_gateway::gateway::Options;
/// use mgs_gateway::pace::report_interval_ms;
///
/// let options = Options::default();
/// assert_eq!(report_interval_ms(&options, 20), 200);
/// assert_eq!(report_interval_ms(&options, 96), 1_492);
/// ```
pub fn report_interval_ms(options: &Options, sessions: usize) -> u64 {
    let least_ms = options.report_interval_ms;
    let added = (sessions as u64).saturating_sub(SESSIONS_FREE);
    let bounded_ms = least_ms + options.report_ms_per_session * added;
    bounded_ms.min(REPORT_INTERVAL_MAX_MS).max(least_ms)
}

/// Whether an interval is too far from the wanted one.
///
/// ```
/// assert!(!mgs_gateway::pace::is_off(200, 400));
/// assert!(mgs_gateway::pace::is_off(200, 401));
/// ```
pub fn is_off(interval_ms: u64, wanted_ms: u64) -> bool {
    interval_ms > wanted_ms * OFF_FACTOR || wanted_ms > interval_ms * OFF_FACTOR
}
