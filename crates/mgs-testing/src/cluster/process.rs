//! One running process and the signals that it is sent.

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

/// Processes that run, so that none is left behind when this program is ended by a signal.
static RUNNING: Mutex<BTreeSet<i32>> = Mutex::new(BTreeSet::new());

/// Kills all processes that this program has started and not yet seen end.
pub fn kill_all() {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    for pid in running.iter().filter_map(|pid| Pid::from_raw(*pid)) {
        // Fails only when it has ended already.
        let _ = kill_process(pid, Signal::KILL);
    }
}

fn with_running(change: impl FnOnce(&mut BTreeSet<i32>)) {
    change(&mut RUNNING.lock().unwrap_or_else(PoisonError::into_inner));
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    /// Starts the binary; its output goes to the end of a file.
    pub(super) fn start(binary: &Path, arguments: &[String], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let process = Self { child };
        with_running(|running| {
            running.insert(process.pid());
        });
        Ok(process)
    }

    fn pid(&self) -> i32 {
        Pid::from_child(&self.child).as_raw_nonzero().get()
    }

    /// Notes that it has ended, before its number may be used again.
    fn forget(&self) {
        with_running(|running| {
            running.remove(&self.pid());
        });
    }

    /// Kills it at once and waits for its end.
    pub(super) fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.forget();
        self.child.wait().map(|_| ())
    }

    /// Stops its threads until [`Process::resume`].
    pub(super) fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    pub(super) fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop gracefully.
    pub(super) fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// How it ended; `None` if it still runs.
    pub(super) fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            self.forget();
        }
        Ok(status)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only when it has ended already.
        let _ = self.kill();
    }
}
