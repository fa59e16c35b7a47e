//! `marigoldstage gateway`: the entry host's process, which callers talk to.

use std::io::Write;
use std::sync::Arc;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_gateway::gateway;
use mgs_gateway::listen;
use mgs_request::budget;
use mgs_request::plant::Plant;
use mgs_routing::policy;
use mgs_settings::follow;
use mgs_transport::client;

use super::process;
use crate::error::Error;
use crate::role::gateway::Options;
use crate::role::gateway::Running;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;
use crate::stop::Stop;

const NAME: &str = "name";
const ZONE: &str = "zone";
const LISTEN: &str = "listen";
const PEER_LISTEN: &str = "peer-listen";
const POLICY: &str = "policy";
const READ_TIMEOUT_MS: &str = "caller-read-timeout-ms";
const WRITE_TIMEOUT_MS: &str = "caller-write-timeout-ms";
const BODY_TIMEOUT_MS: &str = "body-timeout-ms";
const BODY_MAX_BYTES: &str = "body-max-bytes";
const OPEN_MAX: &str = "open-max";
const REPORT_INTERVAL_MS: &str = "report-interval-ms";
const CONNECT_TIMEOUT_MS: &str = "connect-timeout-ms";
const PING_INTERVAL_MS: &str = "ping-interval-ms";
const PING_TIMEOUT_MS: &str = "ping-timeout-ms";
const TRANSPORT_THREADS: &str = "transport-threads";
const NO_HEDGE: &str = "no-hedge";
const RETRY_EARNED_MILLI: &str = "retry-earned-milli";
const RETRY_SAVED_MAX: &str = "retry-saved-max";
const LEAVE_GRACE_MS: &str = "leave-grace-ms";
const POLL_INTERVAL_MS: &str = "settings-poll-interval-ms";
const POLL_READS_PER_S: &str = "settings-reads-per-s";

const MS_MAX: u64 = 3_600_000;
const BYTES_MAX: usize = 1 << 30;

const EXAMPLES: &str = "\
Examples:
  # on an entry host, behind the balancer
  marigoldstage gateway --name gateway-1 --zone north-1 --listen 10.0.0.5:7100 \\
      --admin 10.0.0.5:7102 --platform http://10.0.0.2:7400

  # by environment
  MARIGOLDSTAGE_PLATFORM=http://10.0.0.2:7400 marigoldstage gateway

Point the balancer's check at /readyz of --admin: it fails until the settings are read, and again
from the signal to stop on.
SIGTERM or SIGINT: /readyz fails, after --leave-grace-ms new requests are refused as not run, what
is open is finished within --drain-ms, then exit 0.
A second signal, or the end of that time, cuts the rest off: exit 1.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("gateway")
        .about("Run the entry host's process, which callers talk to")
        .after_help(EXAMPLES)
        .args(host_arguments())
        .args(caller_arguments())
        .args(sidecar_arguments())
        .args(retry_arguments())
        .args(settings_arguments())
        .args(process::platform_arguments())
        .args(process::arguments("127.0.0.1:7102", "600000"))
        .args(process::plant_arguments())
}

fn host_arguments() -> [Arg; 6] {
    [
        value(NAME, "NAME", "Name of this process, unique among gateways")
            .default_value("gateway-1"),
        value(ZONE, "ZONE", "Availability zone of this host").default_value("zone-1"),
        value(LISTEN, "IP:PORT", "Where callers reach this process")
            .default_value("127.0.0.1:7100"),
        value(
            PEER_LISTEN,
            "IP:PORT",
            "Where other gateways reach this process",
        )
        .default_value("127.0.0.1:7101"),
        value(
            LEAVE_GRACE_MS,
            "MS",
            "Time from the signal to stop to the refusal of new requests",
        )
        .default_value("1000"),
        value(
            POLICY,
            "NAME",
            "How endpoints are chosen: marigold, round-robin, least-outstanding or prefix-affinity",
        )
        .default_value(policy::NAMES[0]),
    ]
}

fn caller_arguments() -> [Arg; 5] {
    [
        value(
            READ_TIMEOUT_MS,
            "MS",
            "Longest silence of a caller within and between requests",
        )
        .default_value("30000"),
        value(
            WRITE_TIMEOUT_MS,
            "MS",
            "Longest time that a caller takes no byte of its answer",
        )
        .default_value("10000"),
        value(BODY_TIMEOUT_MS, "MS", "Longest time for a whole body").default_value("60000"),
        value(
            BODY_MAX_BYTES,
            "BYTES",
            "Largest body; a million tokens need over 4 MB",
        )
        .default_value("8388608"),
        value(
            OPEN_MAX,
            "N",
            "Most requests open at once; more are refused",
        )
        .default_value("4096"),
    ]
}

fn sidecar_arguments() -> [Arg; 5] {
    [
        value(
            REPORT_INTERVAL_MS,
            "MS",
            "Time between load reports asked of sidecars",
        )
        .default_value("200"),
        value(
            CONNECT_TIMEOUT_MS,
            "MS",
            "Longest wait for a connection to a sidecar",
        )
        .default_value("500"),
        value(
            PING_INTERVAL_MS,
            "MS",
            "Time between pings of each connection",
        )
        .default_value("1000"),
        value(
            PING_TIMEOUT_MS,
            "MS",
            "Silence after which a connection is given up",
        )
        .default_value("1500"),
        value(
            TRANSPORT_THREADS,
            "N",
            "Threads that drive connections to sidecars",
        )
        .default_value("2"),
    ]
}

fn retry_arguments() -> [Arg; 3] {
    [
        switch(
            NO_HEDGE,
            "Never attempt an idempotent request beside a slow first attempt",
        ),
        value(
            RETRY_EARNED_MILLI,
            "N",
            "Retries allowed per 1000 first attempts",
        )
        .default_value("200"),
        value(RETRY_SAVED_MAX, "N", "Most retries saved up for a burst").default_value("50"),
    ]
}

fn settings_arguments() -> [Arg; 2] {
    [
        value(
            POLL_INTERVAL_MS,
            "MS",
            "Time between looks for edits of the settings",
        )
        .default_value("1000"),
        value(
            POLL_READS_PER_S,
            "N",
            "Reads per second that all gateways together spend on them",
        )
        .default_value("200"),
    ]
}

/// Runs until a signal.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let process = process::options(&mut values);
    let options = Options {
        gateway: gateway::Options {
            admin_listen: Some(process.admin),
            plant: plant(&mut values),
            ..gateway_options(&mut values)
        },
        platform: process::platform_options(&mut values),
        follow: follow::Options {
            poll_interval_ms: values.number(POLL_INTERVAL_MS, 10..=MS_MAX),
            reads_per_s: values.number(POLL_READS_PER_S, 1..=100_000),
        },
    };
    values.finish()?;

    let mut stop = Stop::new()?;
    let _logs = process::start_log(&process.logs)?;
    let running = Arc::new(Running::start(options)?);
    let gateway = running.gateway();
    log::info!(
        address:% = gateway.address(),
        admin_address:? = gateway.admin_address(),
        incarnation = gateway.incarnation();
        "gateway started"
    );
    stop.wait();
    let drain_ms = process.drain_ms;
    let draining = running.clone();
    stop.drain(drain_ms, move || {
        draining.gateway().drain(drain_ms);
    })
}

fn gateway_options(values: &mut Values<'_>) -> gateway::Options {
    gateway::Options {
        name: values.text(NAME),
        zone: values.text(ZONE),
        listen: values.address(LISTEN),
        peer_listen: Some(values.address(PEER_LISTEN)),
        policy: policy_name(values),
        callers: listen::Options {
            read_timeout_ms: values.number(READ_TIMEOUT_MS, 100..=MS_MAX),
            write_timeout_ms: values.number(WRITE_TIMEOUT_MS, 100..=MS_MAX),
            body_timeout_ms: values.number(BODY_TIMEOUT_MS, 100..=MS_MAX),
            body_max_bytes: values.number(BODY_MAX_BYTES, 1_024..=BYTES_MAX),
            open_max: values.number(OPEN_MAX, 1..=100_000),
            ..listen::Options::default()
        },
        report_interval_ms: values.number(REPORT_INTERVAL_MS, 10..=MS_MAX),
        transport: client::Options {
            connect_timeout_ms: values.number(CONNECT_TIMEOUT_MS, 1..=MS_MAX),
            ping_interval_ms: values.number(PING_INTERVAL_MS, 10..=MS_MAX),
            ping_timeout_ms: values.number(PING_TIMEOUT_MS, 10..=MS_MAX),
            ..client::Options::default()
        },
        transport_threads: values.number(TRANSPORT_THREADS, 1..=64),
        hedge: !values.switch(NO_HEDGE),
        retry_budget: budget::Options {
            earned_milli: values.number(RETRY_EARNED_MILLI, 0..=1_000),
            saved_max: values.number(RETRY_SAVED_MAX, 0..=1_000_000),
            ..budget::Options::default()
        },
        leave_grace_ms: values.number(LEAVE_GRACE_MS, 0..=MS_MAX),
        ..gateway::Options::default()
    }
}

fn policy_name(values: &mut Values<'_>) -> String {
    let name = values.text(POLICY);
    if !policy::NAMES.contains(&name.as_str()) {
        values.fault(POLICY, format!("give one of {}", policy::NAMES.join(", ")));
    }
    name
}

fn plant(values: &mut Values<'_>) -> Plant {
    let name = process::plant_name(values);
    Plant::from_name(&name).unwrap_or_else(|| {
        values.fault(process::PLANT, "no such deliberate bug in a gateway");
        Plant::None
    })
}
