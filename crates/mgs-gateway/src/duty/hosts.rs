//! Reads the platform's list of hosts, so that endpoints on leaving ones get no new work.

use std::sync::Arc;

use mgs_settings::host;

use crate::duty::Duties;

/// Bytes per second that the list may take.
const BYTES_PER_S: u64 = 4_000;

/// Reads the list until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    let mut hosts = 0;
    while core.pause(host::interval_ms(hosts, BYTES_PER_S)) {
        match duties.platform.hosts.list() {
            Ok(list) => {
                hosts = list.len() as u64;
                let names = host::leaving(&list, &core.settings.table());
                core.change_fleet(|fleet| fleet.leaving(&names));
            }
            Err(error) => log::info!(error:% = error; "the list of hosts can't be read"),
        }
    }
}
