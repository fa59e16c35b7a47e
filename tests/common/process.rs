//! Processes of the binary that are killed at the end of a test.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;

use super::marigoldstage;

const START_TIMEOUT: Duration = Duration::from_secs(60);
const END_TIMEOUT: Duration = Duration::from_secs(120);

/// A child process that is killed when dropped.
pub(crate) struct KillOnDrop(pub(crate) Child);

impl KillOnDrop {
    /// Starts a command and discards its output.
    pub(crate) fn silent(command: &mut Command) -> Self {
        let command = command.stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running process of the binary.
pub(crate) struct Process {
    child: KillOnDrop,
    log_lines: Receiver<Value>,
}

impl Process {
    /// Starts a role, waits until it logs that it has started, and returns the address from that log line.
    pub(crate) fn start_role(name: &str, arguments: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::spawn(name, arguments);
        let started = format!("{name} started");
        let log_line = process.wait_for_log(&started);
        let address = log_line["kv"]["address"].as_str().unwrap().parse().unwrap();
        (process, address)
    }

    /// Starts a stand-in on a free port and returns its base URL, which it prints first.
    pub(crate) fn start_standin(kind: &str, arguments: &[&str]) -> (Self, String) {
        let arguments = [&[kind, "--listen", "127.0.0.1:0"], arguments].concat();
        let mut process = Self::spawn("standin", &arguments);
        let stdout = process.child.0.stdout.take().unwrap();
        let mut url = String::new();
        BufReader::new(stdout).read_line(&mut url).unwrap();
        (process, url.trim().to_string())
    }

    fn spawn(name: &str, arguments: &[&str]) -> Self {
        let mut child = marigoldstage()
            .arg(name)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = child.stderr.take().unwrap();
        let (log_sender, log_lines) = mpsc::channel();
        thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                // Fails after the end of the test; the pipe is still drained, so that the process is not blocked.
                let _ = log_sender.send(serde_json::from_str(&text).unwrap_or(Value::String(text)));
            }
        });
        let child = KillOnDrop(child);
        Self { child, log_lines }
    }

    /// Waits for a log line with this text and returns it.
    pub(crate) fn wait_for_log(&mut self, text: &str) -> Value {
        loop {
            let log_line = self.log_lines.recv_timeout(START_TIMEOUT);
            let log_line = log_line.unwrap_or_else(|_| panic!("no {text:?} in the log"));
            if log_line["text"] == text {
                return log_line;
            }
        }
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        kill_process(Pid::from_child(&self.child.0), Signal::TERM).unwrap();
    }

    /// Waits until the process ends.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + END_TIMEOUT;
        loop {
            if let Some(status) = self.child.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "still running");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
