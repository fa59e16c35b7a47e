//! Processes of the binary that end with the test.

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
pub(crate) struct Killed(pub(crate) Child);

impl Killed {
    /// Starts the command without output.
    pub(crate) fn silent(command: &mut Command) -> Self {
        let command = command.stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    /// Whether it has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }
}

impl Drop for Killed {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running process of the binary.
pub(crate) struct Process {
    child: Killed,
    log: Receiver<Value>,
}

impl Process {
    /// Starts a role on free ports and waits until its log says that it has started.
    pub(crate) fn role(name: &str, arguments: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::spawn(name, arguments);
        let started = format!("{name} started");
        let line = process.wait_for_log(&started);
        let address = line["kv"]["address"].as_str().unwrap().parse().unwrap();
        (process, address)
    }

    /// Starts a stand-in on a free port and reads its base address.
    pub(crate) fn standin(kind: &str, arguments: &[&str]) -> (Self, String) {
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
        let (line, log) = mpsc::channel();
        thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                // The test may have ended; the pipe is still emptied.
                let _ = line.send(serde_json::from_str(&text).unwrap_or(Value::String(text)));
            }
        });
        let child = Killed(child);
        Self { child, log }
    }

    /// Waits for a line of the log with this text.
    pub(crate) fn wait_for_log(&mut self, text: &str) -> Value {
        loop {
            let line = self.log.recv_timeout(START_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no {text:?} in the log"));
            if line["text"] == text {
                return line;
            }
        }
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        kill_process(Pid::from_child(&self.child.0), Signal::TERM).unwrap();
    }

    /// Waits for its end.
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
