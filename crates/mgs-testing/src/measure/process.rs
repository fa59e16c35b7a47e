//! A process of the product, and what the system says of it.

use std::fs;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::measure::Error;

/// Clock ticks in a second, as `/proc` counts them on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the command's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

const BYTES_PER_KIB: u64 = 1_024;

/// What a process has spent and holds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the binary without output.
    pub fn start(binary: &Path, arguments: &[String]) -> io::Result<Self> {
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has spent and holds now.
    pub fn usage(&self) -> Result<Usage, Error> {
        let directory = format!("/proc/{}", self.id());
        let stat = fs::read_to_string(format!("{directory}/stat"))?;
        let status = fs::read_to_string(format!("{directory}/status"))?;
        let missing = || Error::Watch(directory.clone());
        Ok(Usage {
            cpu_s: cpu_s(&stat).ok_or_else(missing)?,
            resident_bytes: field(&status, "VmRSS:").ok_or_else(missing)? * BYTES_PER_KIB,
            threads: field(&status, "Threads:").ok_or_else(missing)?,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only when it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processor time of a line of `/proc/PID/stat`, in seconds.
///
/// ```
/// let stat = "7 (a b) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0 20 0 1 0";
/// assert_eq!(mgs_testing::measure::process::cpu_s(stat), Some(2.0));
/// ```
pub fn cpu_s(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some((ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?) as f64 / TICKS_PER_S)
}

fn field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Share of one core that was spent between two looks.
pub fn cpu_share(before: Usage, after: Usage, time: Duration) -> f64 {
    (after.cpu_s - before.cpu_s) / time.as_secs_f64()
}
