//! Reads and prints the status of processes from their `/readyz` and `/metrics`, and from their
//! rows on the platform.

pub mod member;

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Response;
use serde::Serialize;

const REASON_SHOWN_CHARS: usize = 60;

/// Readiness and metrics of a process, as its admin server reports them.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessStatus {
    /// Admin address of the process.
    pub address: SocketAddr,
    /// Whether it answered `/readyz`.
    pub reached: bool,
    /// Whether it is ready to take requests.
    pub ready: bool,
    /// Why it isn't ready, wasn't reached or gave no metrics; else empty.
    pub reason: String,
    /// Metric values by name and labels, in the notation of `/metrics`.
    pub metrics: BTreeMap<String, f64>,
}

impl ProcessStatus {
    /// Sum of a metric over its labels; `None` if the process has no such metric.
    pub fn total(&self, name: &str) -> Option<f64> {
        let has_name = |key: &str| key == name || key.starts_with(&format!("{name}{{"));
        let values = self.metrics.iter().filter(|(key, _)| has_name(key));
        values.map(|(_, value)| *value).reduce(|a, b| a + b)
    }
}

/// Queries `/readyz` and `/metrics` of one process; `timeout` bounds each of the two calls.
pub fn query(address: SocketAddr, timeout: Duration) -> ProcessStatus {
    let mut process = ProcessStatus {
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

/// Reads the OpenMetrics text format; lines that aren't a name and a number are skipped.
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

/// A column of the table: its title, and metrics of which it shows the first that the process has.
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

/// Prints a table with a row for each process.
pub fn print_table(processes: &[ProcessStatus], out: &mut dyn Write) -> io::Result<()> {
    write!(out, "{:<22}{:<10}", "address", "state")?;
    for column in &COLUMNS {
        write!(out, "{:>10}", column.title)?;
    }
    writeln!(out, "  reason")?;
    processes
        .iter()
        .try_for_each(|process| print_row(process, out))
}

fn print_row(process: &ProcessStatus, out: &mut dyn Write) -> io::Result<()> {
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
