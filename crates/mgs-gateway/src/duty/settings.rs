//! Follows the settings.

use std::sync::Arc;

use crate::duty::Duties;

/// Polls until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    loop {
        let outcome = duties
            .follower
            .poll(duties.links.gateways(), rand::random());
        if let Some(error) = outcome.error {
            log::warn!(error:% = error; "settings can't be read");
        }
        if !duties.core.pause(outcome.wait_ms) {
            return;
        }
    }
}
