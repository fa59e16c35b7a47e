//! What gateways and sidecars spend on control alone, while no request runs.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_standin::platform::faults::Counters;
use serde::Serialize;

use crate::measure::process;
use crate::measure::process::Usage;
use crate::measure::relay::Relay;
use crate::measure::socket;
use crate::measure::socket::Bytes;
use crate::measure::system::Member;
use crate::measure::system::System;
use crate::measure::Error;

const BYTES_PER_MB: f64 = 1e6;

/// Settings of a sample.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time before the sample, in milliseconds.
    pub settle_ms: u64,
    /// Time of the sample, in milliseconds.
    pub window_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            settle_ms: 5_000,
            window_ms: 10_000,
        }
    }
}

/// What one process of a role spends and holds, on average.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Node {
    /// Payload bytes sent and received on the connections between processes and to the platform.
    pub control_bytes_per_s: f64,
    /// Share of one core.
    pub cpu_share: f64,
    /// Resident memory, in millions of bytes.
    pub resident_mb: f64,
    /// Calls of the platform.
    pub store_ops_per_s: f64,
}

/// One sample of a system.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Sample {
    /// A gateway.
    pub gateway: Node,
    /// A sidecar.
    pub sidecar: Node,
    /// Reads of the store by all processes together.
    pub reads_per_s: f64,
    /// Writes of the store by all processes together.
    pub writes_per_s: f64,
}

/// One look at all processes.
struct Look {
    at: Instant,
    bytes: HashMap<u32, Bytes>,
    gateways: Vec<Usage>,
    sidecars: Vec<Usage>,
    relayed: [Relayed; 2],
    store: Counters,
}

#[derive(Debug, Clone, Copy)]
struct Relayed {
    bytes: u64,
    calls: u64,
}

impl Relayed {
    fn of(relay: &Relay) -> Self {
        Self {
            bytes: relay.bytes(),
            calls: relay.connections(),
        }
    }
}

impl Look {
    fn at(system: &System) -> Result<Self, Error> {
        let except = [
            system.engine.address().port(),
            system.gateway_relay.address().port(),
            system.sidecar_relay.address().port(),
        ];
        Ok(Self {
            at: Instant::now(),
            bytes: socket::by_process(&except)?,
            gateways: usages(&system.gateways)?,
            sidecars: usages(&system.sidecars)?,
            relayed: [
                Relayed::of(&system.gateway_relay),
                Relayed::of(&system.sidecar_relay),
            ],
            store: system.platform.faults().counters(),
        })
    }

    fn payload_bytes(&self, members: &[Member]) -> f64 {
        let bytes = |member: &Member| self.bytes.get(&member.process.id()).copied();
        let bytes = members.iter().filter_map(bytes);
        bytes
            .map(|bytes| (bytes.sent_bytes + bytes.received_bytes) as f64)
            .sum()
    }
}

fn usages(members: &[Member]) -> Result<Vec<Usage>, Error> {
    let usages = members.iter().map(|member| member.process.usage());
    usages.collect()
}

/// Waits, and looks at the processes at the beginning and the end of the window.
pub fn sample(system: &System, options: &Options) -> Result<Sample, Error> {
    thread::sleep(Duration::from_millis(options.settle_ms));
    let before = Look::at(system)?;
    thread::sleep(Duration::from_millis(options.window_ms));
    let after = Look::at(system)?;
    let time = after.at - before.at;
    let gateways = &system.gateways;
    let sidecars = &system.sidecars;
    let gateway_bytes = after.payload_bytes(gateways) - before.payload_bytes(gateways);
    let sidecar_bytes = after.payload_bytes(sidecars) - before.payload_bytes(sidecars);
    let relayed = |role: usize| (before.relayed[role], after.relayed[role]);
    let rate = |count: u64| count as f64 / time.as_secs_f64();
    Ok(Sample {
        reads_per_s: rate(after.store.reads - before.store.reads),
        writes_per_s: rate(after.store.writes - before.store.writes),
        gateway: node(
            &before.gateways,
            &after.gateways,
            gateway_bytes,
            relayed(0),
            time,
        ),
        sidecar: node(
            &before.sidecars,
            &after.sidecars,
            sidecar_bytes,
            relayed(1),
            time,
        ),
    })
}

fn node(
    before: &[Usage],
    after: &[Usage],
    socket_bytes: f64,
    relayed: (Relayed, Relayed),
    time: Duration,
) -> Node {
    let count = after.len() as f64;
    let rate = |amount: f64| amount / count / time.as_secs_f64();
    let both = before.iter().zip(after);
    let shares = both.map(|(before, after)| process::cpu_share(*before, *after, time));
    let resident_bytes: u64 = after.iter().map(|usage| usage.resident_bytes).sum();
    let relayed_bytes = (relayed.1.bytes - relayed.0.bytes) as f64;
    Node {
        control_bytes_per_s: rate(socket_bytes + relayed_bytes),
        cpu_share: shares.sum::<f64>() / count,
        resident_mb: resident_bytes as f64 / count / BYTES_PER_MB,
        store_ops_per_s: rate((relayed.1.calls - relayed.0.calls) as f64),
    }
}
