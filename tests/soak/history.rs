//! The history of a run: disruptions, process lifetimes, drains, crashes, evacuations and configuration versions.

use std::net::SocketAddr;
use std::time::Instant;

/// A component of the system that a fault can disrupt; the numbers are those of gateways and endpoint slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Component {
    /// The process of a gateway.
    Process(usize),
    /// The path to an endpoint.
    EndpointPath(usize),
    /// The path from a gateway to the store.
    StorePath(usize),
    Store,
}

/// A period in which a component is disrupted; `until` is `None` while it lasts.
#[derive(Debug, Clone)]
pub(crate) struct Disruption {
    pub(crate) component: Component,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// The time for which one gateway process ran; `until` is `None` while it runs.
#[derive(Debug, Clone)]
pub(crate) struct ProcessLifetime {
    pub(crate) gateway: usize,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// An endpoint whose row in the store was set to draining.
#[derive(Debug, Clone)]
pub(crate) struct Drain {
    pub(crate) id: String,
    pub(crate) at: Instant,
}

/// An endpoint that was crashed by a request.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) id: String,
    pub(crate) slot: usize,
    pub(crate) at: Instant,
}

/// A zone that was evacuated; `until` is `None` while it is.
#[derive(Debug, Clone)]
pub(crate) struct Evacuation {
    pub(crate) zone: usize,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// The events of a run that the checks need.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) disruptions: Vec<Disruption>,
    pub(crate) process_lifetimes: Vec<ProcessLifetime>,
    pub(crate) drains: Vec<Drain>,
    pub(crate) crashes: Vec<Crash>,
    pub(crate) evacuations: Vec<Evacuation>,
    /// Addresses of incarnations that started under the identifier of the one before, and when they did.
    pub(crate) cold_restarts: Vec<(SocketAddr, Instant)>,
    /// When one organisation sent more than usual to engines that had stopped answering; the end is `None` while it does.
    pub(crate) surges: Vec<(Instant, Option<Instant>)>,
    /// Versions of the configuration and when they were written to the store.
    pub(crate) versions: Vec<(u64, Instant)>,
    /// Violations detected during the run.
    pub(crate) violations: Vec<String>,
}

impl History {
    /// Records that a component is disrupted from now on.
    pub(crate) fn begin_disruption(&mut self, component: Component) {
        self.disruptions.push(Disruption {
            component,
            from: Instant::now(),
            until: None,
        });
    }

    pub(crate) fn begin_surge(&mut self) {
        self.surges.push((Instant::now(), None));
    }

    pub(crate) fn end_surge(&mut self) {
        for (_, until) in self.surges.iter_mut().filter(|(_, until)| until.is_none()) {
            *until = Some(Instant::now());
        }
    }

    /// Ends all open disruptions of a component.
    pub(crate) fn end_disruption(&mut self, component: Component) {
        let open_disruptions = self.disruptions.iter_mut();
        for disruption in open_disruptions
            .filter(|disruption| disruption.component == component && disruption.until.is_none())
        {
            disruption.until = Some(Instant::now());
        }
    }
}
