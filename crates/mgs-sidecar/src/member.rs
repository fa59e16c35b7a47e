//! The sidecar's row in the table service, and the platform's list of hosts.

use std::sync::Arc;
use std::time::Duration;

use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::table::Table;
use mgs_settings::host;
use mgs_settings::member::Claim;
use mgs_settings::member::Error;
use mgs_settings::member::Member;
use mgs_settings::member::Role;

use crate::state::Shared;

/// Time between looks at whether the sidecar has stopped.
const LOOK_MS: u64 = 50;

/// Bytes in a second that the list of hosts may take.
const HOSTS_BYTES_PER_S: u64 = 4_000;

/// Hosts in a list that is short enough to be read at any interval.
const HOSTS_SHORT: u64 = 64;

/// Time that each host adds to the time between looks at the row, in milliseconds; it bounds the
/// reads of all sidecars together to 50 in a second.
const MEMBER_MS_PER_HOST: u64 = 20;

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
        let mut hosts = 0;
        while !shared.is_stopped() {
            let now_ms = shared.now_ms();
            if now_ms >= member_due_ms {
                self.look_at_row(shared, &mut claim);
                let interval_ms = shared.options.member_poll_ms;
                let interval_ms = interval_ms.max(hosts * MEMBER_MS_PER_HOST);
                member_due_ms = now_ms + jittered(interval_ms);
            }
            if now_ms >= hosts_due_ms {
                hosts = self.look_at_hosts(shared).unwrap_or(hosts);
                hosts_due_ms = now_ms + jittered(hosts_interval_ms(shared, hosts));
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

    /// Says how many hosts there are.
    fn look_at_hosts(&self, shared: &Arc<Shared>) -> Option<u64> {
        let hosts = match self.hosts.list() {
            Ok(hosts) => hosts,
            Err(error) => {
                log::debug!(error:% = error; "the list of hosts can't be read");
                return None;
            }
        };
        let ip = self.address.rsplit_once(':').map_or("", |(ip, _)| ip);
        let is_here = |address: &str| address == self.address || address == ip;
        let leaves = hosts
            .iter()
            .any(|host| host.state == State::Leaving && is_here(&host.address));
        shared.set_leaving(|leaving| leaving.host = leaves);
        Some(hosts.len() as u64)
    }
}

/// A list of the whole fleet is read less often, within a budget of bytes; a short one as often as
/// the options say.
fn hosts_interval_ms(shared: &Shared, hosts: u64) -> u64 {
    let interval_ms = shared.options.hosts_poll_ms;
    match host::interval_ms(hosts, HOSTS_BYTES_PER_S) {
        bounded_ms if hosts > HOSTS_SHORT => interval_ms.max(bounded_ms),
        _ => interval_ms,
    }
}

fn jittered(interval_ms: u64) -> u64 {
    interval_ms + rand::random_range(0..=interval_ms / JITTER_PARTS)
}
