//! Whether a request may be dispatched, and on which endpoints, if it or a part of its prompt is
//! suspected to crash endpoints.

use std::collections::BTreeSet;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::verdict::Verdict;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::Core;
use crate::crash_keys::CrashKeys;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::view::Endpoint;
use crate::view::Fleet;

/// `Retry-After` for a held request, in milliseconds; longer than a client waits, since
/// nothing will have changed by then.
const RETRY_AFTER_HELD_MS: u64 = 30_000;

/// On which endpoints a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Confinement {
    /// On any endpoint.
    None,
    /// On a single endpoint, the same at all gateways for this key.
    SingleEndpoint(Fingerprint),
    /// Once, on a single endpoint, to test whether what is held still crashes it.
    Trial(Fingerprint),
}

impl Confinement {
    /// The key by which all gateways choose the same endpoint; `None` if any endpoint will do.
    pub(crate) fn key(self) -> Option<Fingerprint> {
        match self {
            Self::None => None,
            Self::SingleEndpoint(key) | Self::Trial(key) => Some(key),
        }
    }
}

impl Core {
    /// The confinement of a request, or the refusal if it or a part of its prompt is held.
    pub(crate) fn confinement(&self, keys: &CrashKeys) -> Result<Confinement, Refusal> {
        let table = self.crashes.table.borrow();
        if table.is_empty() {
            return Ok(Confinement::None);
        }
        let mut confinement = Confinement::None;
        for key in keys.all() {
            match table.verdict(key) {
                Verdict::Allowed => {}
                Verdict::Confined => confinement = Confinement::SingleEndpoint(key),
                Verdict::Held => return Err(Refusal::after(Fault::Held, RETRY_AFTER_HELD_MS)),
            }
        }
        Ok(confinement)
    }

    /// Like [`Core::confinement`], for a request that has begun; logs which key is held.
    pub(crate) fn confinement_before_dispatch(
        &self,
        request_id: &str,
        keys: &CrashKeys,
    ) -> Result<Confinement, Refusal> {
        let confinement = self.confinement(keys);
        if confinement.is_err() {
            self.log_held_request(request_id, keys, &self.held_keys(keys));
        }
        confinement
    }

    /// Like [`Core::confinement`], for a request that begins. If one of its keys is held, it may become
    /// the trial of that key. Only one gateway runs the trial: the first by rank among those that hear
    /// each other.
    pub(crate) fn confinement_at_start(
        &self,
        request_id: &str,
        keys: &CrashKeys,
    ) -> Result<Confinement, Refusal> {
        self.begin(keys.request);
        let refused = match self.confinement(keys) {
            Ok(confinement) => return Ok(confinement),
            Err(refused) => refused,
        };
        let held = self.held_keys(keys);
        if let [key] = held.as_slice() {
            if self.take_trial(*key) {
                return Ok(Confinement::Trial(*key));
            }
        }
        self.log_held_request(request_id, keys, &held);
        Err(refused)
    }

    /// Those keys of a request that are held.
    fn held_keys(&self, keys: &CrashKeys) -> Vec<Fingerprint> {
        let table = self.crashes.table.borrow();
        let is_held = |key: &Fingerprint| table.verdict(*key) == Verdict::Held;
        keys.all().filter(is_held).collect()
    }

    fn take_trial(&self, key: Fingerprint) -> bool {
        let is_taken = self.is_first_for(key)
            && self
                .crashes
                .table
                .borrow_mut()
                .take_trial(key, self.now_ms());
        if is_taken {
            log::info!(work:% = key; "a held request is tried once more");
            self.write_hold(key, true);
            self.crashes.urgent.notify_one();
        }
        is_taken
    }

    fn log_held_request(&self, request_id: &str, keys: &CrashKeys, held: &[Fingerprint]) {
        let mut parts = keys.parts.iter();
        let part = parts.find(|part| held.contains(&part.fingerprint));
        log::info!(
            request_id = request_id,
            work:% = held.first().copied().unwrap_or(keys.request),
            part = part.map_or("", |part| part.name.id.as_str());
            "refused since it is held"
        );
    }

    /// Records that a request begins.
    fn begin(&self, fingerprint: Fingerprint) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        table.begin_request(fingerprint, now_ms);
        drop(table);
        self.apply_verdict_changes();
    }

    /// Whether this gateway ranks before all peers that it hears, for one request.
    pub(crate) fn is_first_for(&self, fingerprint: Fingerprint) -> bool {
        let rank = |gateway: u64| xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), gateway);
        let own = rank(self.incarnation);
        let load_table = self.load_table.borrow();
        let mut peers = load_table.peer_keys();
        peers.all(|peer| rank(peer.0) < own)
    }
}

/// All active endpoints but the one on which a request may run. The choice is the same at each
/// gateway that knows the same fleet and the same evacuated zones; endpoints there and `tried` ones
/// are skipped.
pub(crate) fn barred_endpoints(
    fleet: &Fleet,
    service: &str,
    fingerprint: Fingerprint,
    tried: &[EndpointKey],
    evacuated_zones: &BTreeSet<String>,
) -> Vec<EndpointKey> {
    let present = fleet.of_service(service).iter();
    let present = present.filter(|endpoint| !endpoint.facts.is_leaving);
    let rank = |endpoint: &Endpoint| {
        let seed = endpoint.facts.incarnation.hash_64();
        xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), seed)
    };
    let open = present
        .clone()
        .filter(|endpoint| !tried.contains(&endpoint.key))
        .filter(|endpoint| !evacuated_zones.contains(&endpoint.facts.zone))
        .max_by_key(|endpoint| rank(endpoint));
    let open = open.map(|endpoint| endpoint.key);
    let closed = present.map(|endpoint| endpoint.key);
    closed.filter(|key| Some(*key) != open).collect()
}
