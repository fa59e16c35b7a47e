//! Holds the gateway's name, and finds the other gateways.

use std::sync::Arc;

use mgs_platform::table::scan_all;
use mgs_settings::member;
use mgs_settings::member::Claim;
use mgs_settings::member::Error;
use mgs_settings::member::Member;
use mgs_settings::member::Observer;
use mgs_settings::member::Role;
use mgs_settings::member::GATEWAY_PREFIX;

use crate::duty::links::Gateway;
use crate::duty::Duties;

/// Pause after an error of the store, in milliseconds.
const AGAIN_MS: u64 = 1_000;

/// Bytes per second that looks at the other gateways' rows may take.
const LOOK_BYTES_PER_S: u64 = 2_000;

/// Renews the claim until the gateway stops or its name is taken over.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    let mut claim = Claim::new(Role::Gateway, &core.options.name, member(duties));
    let mut observer = Observer::default();
    let mut since_ms = core.now_ms();
    let mut look_due_ms = 0;
    loop {
        let now_ms = core.now_ms();
        let demand = core
            .demand
            .take(now_ms - since_ms, &core.hub.waiting_tokens());
        since_ms = now_ms;
        let wait_ms = match claim.renew(duties.platform.table.as_ref(), demand) {
            Ok(()) => {
                if core.now_ms() >= look_due_ms {
                    let scan_bytes = observe(duties, &mut observer);
                    look_due_ms = core.now_ms() + look_interval_ms(duties, scan_bytes);
                }
                core.options.member.renew_interval_ms
            }
            Err(Error::Superseded { incarnation }) => {
                log::error!(by = incarnation; "another process has this gateway's name; leaving");
                return core.supersede();
            }
            Err(error) => {
                log::warn!(error:% = error; "the claim of the name can't be renewed");
                AGAIN_MS.min(core.options.member.renew_interval_ms)
            }
        };
        if !core.pause(wait_ms) {
            break;
        }
    }
    if let Err(error) = claim.leave(duties.platform.table.as_ref()) {
        log::info!(error:% = error; "the name wasn't given up; its lease runs out");
    }
}

fn look_interval_ms(duties: &Duties, scan_bytes: u64) -> u64 {
    let renew_interval_ms = duties.core.options.member.renew_interval_ms;
    member::look_interval_ms(scan_bytes, renew_interval_ms, LOOK_BYTES_PER_S)
}

fn member(duties: &Duties) -> Member {
    Member {
        incarnation: duties.core.incarnation,
        address: duties.peer_address.clone(),
        zone: duties.core.options.zone.clone(),
        ..Member::default()
    }
}

/// Looks at the gateways' rows; returns how many bytes that took.
fn observe(duties: &Duties, observer: &mut Observer) -> u64 {
    let now_ms = duties.core.now_ms();
    let rows = match scan_all(duties.platform.table.as_ref(), GATEWAY_PREFIX) {
        Ok(rows) => rows,
        Err(error) => {
            log::info!(error:% = error; "gateways can't be listed");
            return 0;
        }
    };
    let scan_bytes = member::scan_bytes(&rows);
    if let Err(error) = observer.observe(now_ms, &rows) {
        log::warn!(error:% = error; "a gateway's row can't be read");
        return scan_bytes;
    }
    let lease_ms = duties.core.options.member.lease_ms;
    let live = observer.live(lease_ms);
    let core = &duties.core;
    let own = Gateway {
        name: core.options.name.clone(),
        incarnation: core.incarnation,
        address: None,
    };
    let others = live.into_iter().filter(|(name, _)| *name != own.name);
    let others = others.map(|(name, member)| Gateway {
        name: name.to_string(),
        incarnation: member.incarnation,
        address: member.address.parse().ok(),
    });
    let others: Vec<Gateway> = others.collect();
    duties.links.found([vec![own], others].concat());
    scan_bytes
}
