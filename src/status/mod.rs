//! Reads `/readyz` and `/metrics` of processes, and their rows on the platform.

pub mod member;

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Response;
use serde::Serialize;

const REASON_SHOWN_CHARS: usize = 60;

/// What a process says of itself.
#[derive(Debug, Clone, Serialize)]
pub struct Process {
    /// Its operators' address.
    pub address: SocketAddr,
    /// Whether it answered at all.
    pub reached: bool,
    /// Whether it takes work.
    pub ready: bool,
    /// Why not, or why it wasn't reached; empty if ready.
    pub reason: String,
    /// Values of its metrics by name and labels, as `/metrics` gives them.
    pub metrics: BTreeMap<String, f64>,
}

impl Process {
    /// Sum of a metric over its labels; `None` if the process has no such metric.
    pub fn total(&self, name: &str) -> Option<f64> {
        let of_name = |key: &str| key == name || key.starts_with(&format!("{name}{{"));
        let values = self.metrics.iter().filter(|(key, _)| of_name(key));
        values.map(|(_, value)| *value).reduce(|a, b| a + b)
    }
}

/// Asks one process.
pub fn ask(address: SocketAddr, timeout: Duration) -> Process {
    let mut process = Process {
        address,
        reached: false,
        ready: false,
        reason: String::new(),
        metrics: BTreeMap::new(),
    };
    match get(address, "/readyz", timeout) {
        Ok((ready, body)) => {
            process.reached = true;
            process.ready = ready;
            if !ready {
                process.reason = body.trim().to_string();
            }
        }
        Err(reason) => {
            process.reason = reason;
            return process;
        }
    }
    match get(address, "/metrics", timeout) {
        Ok((true, body)) => process.metrics = parse_metrics(&body),
        Ok((false, body)) => process.reason = body,
        Err(reason) => process.reason = reason,
    }
    process
}

fn get(address: SocketAddr, path: &str, timeout: Duration) -> Result<(bool, String), String> {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .send();
    let response: Response = response.map_err(|error| error.to_string())?;
    let success = response.is_success();
    let body = response.text().map_err(|error| error.to_string())?;
    Ok((success, body))
}

/// Reads the OpenMetrics text format; lines that aren't a name and a number are passed over.
///
/// ```
/// let metrics = marigoldstage::status::parse_metrics("# TYPE a counter\na_total{b=\"c d\"} 3\n");
/// assert_eq!(metrics["a_total{b=\"c d\"}"], 3.0);
/// ```
pub fn parse_metrics(text: &str) -> BTreeMap<String, f64> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_string(), value.parse().ok()?))
    });
    pairs.collect()
}

/// A column of the table: its title and the metrics of which the first known one is shown.
struct Column {
    title: &'static str,
    metrics: &'static [&'static str],
}

const COLUMNS: [Column; 5] = [
    Column {
        title: "settings",
        metrics: &[
            "mgs_gateway_settings_version",
            "mgs_sidecar_settings_version",
        ],
    },
    Column {
        title: "open",
        metrics: &["mgs_gateway_open_requests", "mgs_sidecar_running"],
    },
    Column {
        title: "ended",
        metrics: &[
            "mgs_gateway_ended_total",
            "mgs_sidecar_requests_ended_total",
        ],
    },
    Column {
        title: "refused",
        metrics: &["mgs_gateway_refused_total", "mgs_sidecar_refusals_total"],
    },
    Column {
        title: "retries",
        metrics: &["mgs_gateway_retries_total"],
    },
];

/// Prints a line for each process.
pub fn print_table(processes: &[Process], out: &mut dyn Write) -> io::Result<()> {
    write!(out, "{:<22}{:<10}", "address", "state")?;
    for column in &COLUMNS {
        write!(out, "{:>10}", column.title)?;
    }
    writeln!(out, "  reason")?;
    processes
        .iter()
        .try_for_each(|process| print_line(process, out))
}

fn print_line(process: &Process, out: &mut dyn Write) -> io::Result<()> {
    let state = match (process.reached, process.ready) {
        (false, _) => "silent",
        (true, true) => "ready",
        (true, false) => "not ready",
    };
    write!(out, "{:<22}{state:<10}", process.address)?;
    for column in &COLUMNS {
        let value = column.metrics.iter().find_map(|name| process.total(name));
        let value = value.map_or("-".to_string(), |value| value.to_string());
        write!(out, "{value:>10}")?;
    }
    let reason: String = process.reason.chars().take(REASON_SHOWN_CHARS).collect();
    writeln!(out, "  {reason}")
}
