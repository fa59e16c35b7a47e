//! Finds out which hosts are leaving, so that endpoints on them get no new work: from the platform's
//! list, read as often as its length allows, and from what other gateways have read of it.

use std::sync::Arc;

use mgs_settings::host;
use mgs_settings::host::Leaving;

use crate::duty::Duties;

/// Reads per second that all gateways together may spend on what others have read.
const SHARED_READS_PER_S: u64 = 300;

/// Looks until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    let mut list_due_ms = 0;
    let mut wait_ms = 0;
    while core.pause(wait_ms) {
        let now_ms = core.now_ms();
        if now_ms >= list_due_ms {
            let hosts = look(duties);
            let interval_ms = host::list_interval_ms(hosts, duties.links.gateways());
            list_due_ms = now_ms + host::spread_ms(interval_ms, rand::random());
        } else if let Ok(leaving) = host::read(duties.platform.table.as_ref()) {
            found(duties, &leaving);
        }
        let shared_ms = host::shared_interval_ms(duties.links.gateways(), SHARED_READS_PER_S);
        wait_ms = shared_ms.min(list_due_ms.saturating_sub(core.now_ms()));
    }
}

/// Reads the list; returns how many hosts it has.
fn look(duties: &Duties) -> u64 {
    let platform = &duties.platform;
    match host::look(platform.hosts.as_ref(), platform.table.as_ref()) {
        Ok(look) => {
            found(duties, &look.leaving);
            look.hosts
        }
        Err(error) => {
            log::info!(error:% = error; "the list of hosts can't be read");
            0
        }
    }
}

fn found(duties: &Duties, leaving: &Leaving) {
    let core = &duties.core;
    let names = leaving.endpoints(&core.settings.table());
    core.change_fleet(|fleet| fleet.set_leaving(&names));
}
