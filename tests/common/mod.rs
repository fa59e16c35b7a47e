//! Runs the binary.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod cluster;
pub(crate) mod process;

use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between looks at what is waited for.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The binary with an environment that holds none of its variables.
pub(crate) fn marigoldstage() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldstage"));
    for (name, _) in std::env::vars() {
        if name.starts_with("MARIGOLDSTAGE_") {
            command.env_remove(name);
        }
    }
    command
}

/// Runs the binary to its end.
pub(crate) fn run(arguments: &[&str]) -> Output {
    marigoldstage().args(arguments).output().unwrap()
}

/// Writes a first row, without which no gateway has a table to serve by.
pub(crate) fn write_first_row(platform_url: &str) {
    let row = ["table", "set", "*", "*", "weight=1"];
    let edit = run(&[&row, &["--platform", platform_url][..]].concat());
    assert_eq!(code(&edit), 0, "{}{}", stdout(&edit), stderr(&edit));
}

/// Exit code of an ended process.
pub(crate) fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// What was written to standard error.
pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// What was written to standard output.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Waits for an event that must come.
pub(crate) fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_at_most(WAIT_TIMEOUT, what, holds);
}

/// Waits for an event that must come within `timeout`.
pub(crate) fn wait_at_most(timeout: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < end, "waited too long for {what}");
        thread::sleep(LOOK_INTERVAL);
    }
}
