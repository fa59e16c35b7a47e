//! Runs the binary, and waits for conditions.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod addresses;
pub(crate) mod cluster;
pub(crate) mod process;

use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which [`wait_until`] checks its condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A command for the binary, without the `MARIGOLDSTAGE_` variables of the environment.
pub(crate) fn marigoldstage() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldstage"));
    for (name, _) in std::env::vars() {
        if name.starts_with("MARIGOLDSTAGE_") {
            command.env_remove(name);
        }
    }
    command
}

/// Runs the binary until it exits.
pub(crate) fn run(arguments: &[&str]) -> Output {
    marigoldstage().args(arguments).output().unwrap()
}

/// Writes a first row, since a gateway without a table serves nothing.
pub(crate) fn write_first_row(platform_url: &str) {
    let row = ["table", "set", "*", "*", "weight=1"];
    let edit = run(&[&row, &["--platform", platform_url][..]].concat());
    assert_eq!(code(&edit), 0, "{}{}", stdout(&edit), stderr(&edit));
}

/// Exit code of a process that ended.
pub(crate) fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Standard error as text.
pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Standard output as text.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Waits until a condition holds; panics after a minute.
pub(crate) fn wait_until(event: &str, condition: impl FnMut() -> bool) {
    wait_at_most(WAIT_TIMEOUT, event, condition);
}

/// Waits until a condition holds; panics after `timeout`.
pub(crate) fn wait_at_most(timeout: Duration, event: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < end, "waited too long for {event}");
        thread::sleep(POLL_INTERVAL);
    }
}
