//! Named sets of faults.

use crate::chaos::schedule::FaultKind;

/// A named set of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// None.
    Calm,
    /// Processes that are killed.
    Kill,
    /// Processes that are paused, also beyond a lease, and go on.
    Pause,
    /// Connections that break, fall silent, slow down or let others pass.
    Silence,
    /// Outages of the platform and lost replies.
    Store,
    /// Engines and services that crash or freeze.
    Engine,
    /// Endpoints that leave, gateways and sidecars that are asked to stop.
    Leave,
    /// Operators who race while the store and gateways fail.
    Settings,
    /// Processes that die, are paused, leave and come back.
    Membership,
    /// Contenders for the controller's lease, paused beyond it, who give orders.
    Orders,
    /// All faults that there are.
    Mixed,
}

/// Each scenario and its name.
const NAMES: [(Scenario, &str); 11] = [
    (Scenario::Calm, "calm"),
    (Scenario::Kill, "kill"),
    (Scenario::Pause, "pause"),
    (Scenario::Silence, "silence"),
    (Scenario::Store, "store"),
    (Scenario::Engine, "engine"),
    (Scenario::Leave, "leave"),
    (Scenario::Settings, "settings"),
    (Scenario::Membership, "membership"),
    (Scenario::Orders, "orders"),
    (Scenario::Mixed, "mixed"),
];

const KILL: &[FaultKind] = &[FaultKind::KillGateway, FaultKind::KillSidecar];

const PAUSE: &[FaultKind] = &[FaultKind::PauseGateway, FaultKind::PauseSidecar];

const SILENCE: &[FaultKind] = &[
    FaultKind::Cut,
    FaultKind::CutAfterBytes,
    FaultKind::HalfDead,
    FaultKind::Silent,
    FaultKind::SilentOneWay,
    FaultKind::HoldOne,
    FaultKind::HeldBack,
    FaultKind::Slow,
];

const STORE: &[FaultKind] = &[
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreReplyLost,
    FaultKind::StoreUnreachable,
];

const ENGINE: &[FaultKind] = &[FaultKind::EndpointCrash, FaultKind::EndpointFreeze];

const SETTINGS: &[FaultKind] = &[
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreReplyLost,
    FaultKind::StoreUnreachable,
    FaultKind::PauseGateway,
    FaultKind::KillGateway,
];

const ORDERS: &[FaultKind] = &[
    FaultKind::StoreDown,
    FaultKind::StoreReplyLost,
    FaultKind::PauseSidecar,
    FaultKind::KillSidecar,
];

const LEAVE: &[FaultKind] = &[
    FaultKind::StopEndpoint,
    FaultKind::HostLeaves,
    FaultKind::StopGateway,
    FaultKind::StopSidecar,
];

impl Scenario {
    /// The scenario of a name.
    ///
    /// ```
    /// use mgs_testing::chaos::Scenario;
    ///
    /// assert_eq!(Scenario::from_name("kill"), Some(Scenario::Kill));
    /// assert_eq!(Scenario::from_name("earthquake"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        let mut names = NAMES.iter();
        names.find(|(_, known)| *known == name).map(|one| one.0)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        let mut names = NAMES.iter();
        names.find(|one| one.0 == self).map_or("", |one| one.1)
    }

    /// The names of all scenarios.
    pub fn names() -> impl Iterator<Item = &'static str> {
        NAMES.iter().map(|one| one.1)
    }

    /// The faults that it injects.
    pub fn faults(self) -> Vec<FaultKind> {
        match self {
            Self::Calm => Vec::new(),
            Self::Kill => KILL.to_vec(),
            Self::Pause => PAUSE.to_vec(),
            Self::Silence => SILENCE.to_vec(),
            Self::Store => STORE.to_vec(),
            Self::Engine => ENGINE.to_vec(),
            Self::Leave => LEAVE.to_vec(),
            Self::Settings => SETTINGS.to_vec(),
            Self::Membership => [KILL, PAUSE, LEAVE].concat(),
            Self::Orders => ORDERS.to_vec(),
            Self::Mixed => [KILL, PAUSE, SILENCE, STORE, ENGINE, LEAVE].concat(),
        }
    }

    /// Operators who edit the table all the while.
    pub fn operators(self) -> usize {
        match self {
            Self::Settings => 3,
            _ => 0,
        }
    }

    /// Contenders for the controller's lease.
    pub fn contenders(self) -> usize {
        match self {
            Self::Orders => 3,
            _ => 0,
        }
    }
}
