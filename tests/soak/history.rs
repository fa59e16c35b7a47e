//! What happened in a run, for the checks.

use std::time::Instant;

/// What was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum What {
    Process(usize),
    EndpointPath(usize),
    StorePath(usize),
    Store,
}

/// A disturbance; `until` is none while it lasts.
#[derive(Debug, Clone)]
pub(crate) struct Upset {
    pub(crate) what: What,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// The life of one process.
#[derive(Debug, Clone)]
pub(crate) struct Life {
    pub(crate) gateway: usize,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// An endpoint that said that it leaves.
#[derive(Debug, Clone)]
pub(crate) struct Leave {
    pub(crate) id: String,
    pub(crate) at: Instant,
}

/// An endpoint that a deadly request ended.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) id: String,
    pub(crate) place: usize,
    pub(crate) at: Instant,
}

/// What happened, for the checks.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) upsets: Vec<Upset>,
    pub(crate) lives: Vec<Life>,
    pub(crate) leaves: Vec<Leave>,
    pub(crate) crashes: Vec<Crash>,
    /// Versions of the configuration and when the store had them.
    pub(crate) versions: Vec<(u64, Instant)>,
    /// Promises seen broken while it ran.
    pub(crate) violations: Vec<String>,
}

impl History {
    /// Something is disturbed from now on.
    pub(crate) fn upset(&mut self, what: What) {
        self.upsets.push(Upset {
            what,
            from: Instant::now(),
            until: None,
        });
    }

    /// It isn't any more.
    pub(crate) fn ends(&mut self, what: What) {
        let open = self.upsets.iter_mut();
        for upset in open.filter(|upset| upset.what == what && upset.until.is_none()) {
            upset.until = Some(Instant::now());
        }
    }
}
