//! The sidecar's row in the table service, and the platform's list of hosts.

use std::sync::Arc;
use std::time::Duration;

use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::table::Table;
use mgs_settings::member::Claim;
use mgs_settings::member::Error;
use mgs_settings::member::Member;
use mgs_settings::member::Role;

use crate::state::Shared;

/// Time between looks at whether the sidecar has stopped.
const LOOK_MS: u64 = 50;

/// Longest random delay added to an interval, as a part of it, so that many sidecars don't come
/// at once.
const JITTER_PARTS: u64 = 4;

/// What the platform knows of this sidecar.
pub(crate) struct Membership {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) hosts: Arc<dyn Hosts>,
    /// Where gateways reach the sidecar, `IP:PORT`.
    pub(crate) address: String,
}

impl Membership {
    /// Keeps the row and reads the list until the sidecar stops. The platform being down changes
    /// nothing.
    pub(crate) fn run(self, shared: &Arc<Shared>) {
        let member = Member {
            incarnation: shared.incarnation,
            address: self.address.clone(),
            zone: shared.options.zone.clone(),
            ..Member::default()
        };
        let mut claim = Claim::new(Role::Sidecar, &shared.options.name, member);
        let mut member_due_ms = 0;
        let mut hosts_due_ms = 0;
        while !shared.is_stopped() {
            let now_ms = shared.now_ms();
            if now_ms >= member_due_ms {
                self.look_at_row(shared, &mut claim);
                member_due_ms = now_ms + jittered(shared.options.member_poll_ms);
            }
            if now_ms >= hosts_due_ms {
                self.look_at_hosts(shared);
                hosts_due_ms = now_ms + jittered(shared.options.hosts_poll_ms);
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    /// The newer of two sidecars that claim an endpoint has it.
    fn look_at_row(&self, shared: &Arc<Shared>, claim: &mut Claim) {
        let held = match claim.made() {
            true => claim.check(self.table.as_ref()),
            false => claim.renew(self.table.as_ref(), Default::default()),
        };
        match held {
            Ok(()) => {}
            Err(Error::Superseded { incarnation }) => {
                log::warn!(endpoint = shared.options.name, incarnation; "a newer sidecar has the endpoint");
                shared.set_leaving(|leaving| leaving.superseded = true);
            }
            Err(error) => log::debug!(error:% = error; "the sidecar's row can't be read"),
        }
    }

    fn look_at_hosts(&self, shared: &Arc<Shared>) {
        let hosts = match self.hosts.list() {
            Ok(hosts) => hosts,
            Err(error) => {
                log::debug!(error:% = error; "the list of hosts can't be read");
                return;
            }
        };
        let ip = self.address.rsplit_once(':').map_or("", |(ip, _)| ip);
        let is_here = |address: &str| address == self.address || address == ip;
        let leaves = hosts
            .iter()
            .any(|host| host.state == State::Leaving && is_here(&host.address));
        shared.set_leaving(|leaving| leaving.host = leaves);
    }
}

fn jittered(interval_ms: u64) -> u64 {
    interval_ms + rand::random_range(0..=interval_ms / JITTER_PARTS)
}
