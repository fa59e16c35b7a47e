//! How the cost of control grows with each count that a fleet has.

use std::collections::BTreeMap;

use mgs_fleet::fleet;
use serde::Serialize;

use crate::measure::control;
use crate::measure::control::Node;
use crate::measure::control::Sample;
use crate::measure::fit::Line;
use crate::measure::system;
use crate::measure::system::System;
use crate::measure::Error;

/// Budgets of one process for control.
pub const CONTROL_BYTES_PER_S: f64 = 14_000.0;
/// Share of one core.
pub const CPU_SHARE: f64 = 0.029;
/// Resident memory, in millions of bytes.
pub const RESIDENT_MB: f64 = 256.0;

/// Calls that the platform's store serves in a second; gateways and sidecars get a half each.
const STORE_OPS_PER_S: f64 = 2_000.0;
const STORE_SHARE: f64 = 0.5;

/// The fleet that the design is for.
pub const GATEWAYS: f64 = 450.0;
/// Endpoints.
pub const ENDPOINTS: f64 = 5_300.0;
/// Organisations.
pub const ORGANISATIONS: f64 = 4_400.0;
/// Models in steady use.
pub const MODELS: f64 = 6.0;

/// Most sidecars with which a gateway has a session.
pub fn sessions_max() -> usize {
    fleet::Options::default().subset_max
}

/// What grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    /// Sidecars with which each gateway has a session.
    Sidecars,
    /// Gateways with a session with each sidecar.
    Gateways,
    /// Organisations, each with a row of limits.
    Organisations,
    /// Endpoints in the table with which no gateway has a session.
    EndpointRows,
}

/// All of them.
pub const AXES: [Axis; 4] = [
    Axis::Sidecars,
    Axis::Gateways,
    Axis::Organisations,
    Axis::EndpointRows,
];

/// Which process is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A gateway.
    Gateway,
    /// A sidecar.
    Sidecar,
}

impl Axis {
    /// Its name in flags and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sidecars => "sidecars",
            Self::Gateways => "gateways",
            Self::Organisations => "organisations",
            Self::EndpointRows => "endpoint_rows",
        }
    }

    /// The counts that are measured.
    pub fn counts(self) -> &'static [usize] {
        match self {
            Self::Sidecars | Self::Gateways => &[10, 20, 40, 80, 160],
            Self::Organisations => &[10, 100, 1_000, 4_400],
            Self::EndpointRows => &[10, 1_000, 2_600, 5_300],
        }
    }

    /// The roles that it concerns.
    pub fn roles(self) -> &'static [Role] {
        match self {
            Self::Sidecars => &[Role::Gateway],
            _ => &[Role::Gateway, Role::Sidecar],
        }
    }

    /// The count that a process meets in the fleet that the design is for.
    pub fn target(self, role: Role) -> f64 {
        let sessions = sessions_max() as f64;
        match (self, role) {
            (Self::Sidecars, _) => sessions,
            (Self::Gateways, Role::Gateway) => GATEWAYS,
            (Self::Gateways, Role::Sidecar) => GATEWAYS * sessions / ENDPOINTS,
            (Self::Organisations, _) => ORGANISATIONS,
            (Self::EndpointRows, _) => ENDPOINTS,
        }
    }

    /// The peers that a process has at a count: a gateway holds a bounded part of a larger fleet.
    fn peers(self, count: usize) -> f64 {
        match self {
            Self::Sidecars => count.min(sessions_max()) as f64,
            _ => count as f64,
        }
    }

    /// The system in which a count is measured.
    fn system(self, count: usize, base: &system::Options) -> system::Options {
        let small = system::Options {
            gateways: 2,
            sidecars: 2,
            sessions: 2,
            ..base.clone()
        };
        match self {
            Self::Sidecars => system::Options {
                sidecars: count,
                models: MODELS as usize,
                sessions: count.min(sessions_max()),
                ..small
            },
            Self::Gateways => system::Options {
                gateways: count,
                ..small
            },
            Self::Organisations => system::Options {
                organisations: count,
                ..small
            },
            Self::EndpointRows => system::Options {
                idle_endpoints: count,
                ..small
            },
        }
    }
}

impl Role {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Sidecar => "sidecar",
        }
    }

    /// Its part of a sample.
    pub fn node(self, sample: &Sample) -> Node {
        match self {
            Self::Gateway => sample.gateway,
            Self::Sidecar => sample.sidecar,
        }
    }

    /// Its budget of calls of the platform.
    fn store_ops_per_s(self) -> f64 {
        let processes = match self {
            Self::Gateway => GATEWAYS,
            Self::Sidecar => ENDPOINTS,
        };
        STORE_OPS_PER_S * STORE_SHARE / processes
    }

    /// The metrics, how to read them and their budgets.
    pub fn metrics(self) -> [Metric; 4] {
        let metric = |name, read, budget| Metric { name, read, budget };
        [
            metric(
                "control_bytes_per_s",
                |n| n.control_bytes_per_s,
                CONTROL_BYTES_PER_S,
            ),
            metric("cpu_share", |n| n.cpu_share, CPU_SHARE),
            metric("resident_mb", |n| n.resident_mb, RESIDENT_MB),
            metric(
                "store_ops_per_s",
                |n| n.store_ops_per_s,
                self.store_ops_per_s(),
            ),
        ]
    }
}

/// One metric of a role.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Name in reports.
    pub name: &'static str,
    /// Reads it.
    pub read: fn(&Node) -> f64,
    /// Its budget.
    pub budget: f64,
}

/// How one metric grows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Growth {
    /// The line.
    #[serde(flatten)]
    pub line: Line,
    /// Count in the fleet that the design is for.
    pub target: f64,
    /// The line's value there.
    pub at_target: f64,
    /// The budget.
    pub budget: f64,
}

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The count.
    pub count: usize,
    /// What was measured.
    #[serde(flatten)]
    pub sample: Sample,
}

/// Growths by role and axis, and by metric.
pub type Report = BTreeMap<String, BTreeMap<&'static str, Growth>>;

/// Measures one count.
pub fn measure(
    axis: Axis,
    count: usize,
    base: &system::Options,
    options: &control::Options,
) -> Result<Point, Error> {
    let system = System::start(&axis.system(count, base))?;
    let sample = control::sample(&system, options)?;
    Ok(Point { count, sample })
}

/// Fits a line to each metric of each role.
pub fn fit(axis: Axis, points: &[Point]) -> Report {
    let mut report = Report::new();
    for role in axis.roles() {
        let target = axis.target(*role);
        let name = format!("{}_by_{}", role.name(), axis.name());
        let growths = report.entry(name).or_default();
        for metric in role.metrics() {
            let value = |point: &Point| (metric.read)(&role.node(&point.sample));
            let pairs: Vec<_> = points
                .iter()
                .map(|p| (axis.peers(p.count), value(p)))
                .collect();
            let line = Line::fit(&pairs);
            let growth = Growth {
                line,
                target,
                at_target: line.at(target),
                budget: metric.budget,
            };
            growths.insert(metric.name, growth);
        }
    }
    report
}
