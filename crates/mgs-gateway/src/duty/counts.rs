//! Shows the counters of keyed and durable requests beside the gateway's own.

use std::sync::Arc;

use crate::duty::Duties;

/// Time between looks, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// Copies the counters until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    while core.pause(LOOK_MS) {
        let Some(durable) = core.durable() else {
            continue;
        };
        for (name, count) in durable.metrics().list() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            core.metrics.durable.set(name, count);
        }
    }
}
