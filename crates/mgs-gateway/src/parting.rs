//! Messages whose answer nobody waits for.
//!
//! Dropping a call resets its stream, and with it a message that is still on its way out. Such
//! calls are kept here for a while and then dropped.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use mgs_transport::client::Call;

const KEPT: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Keeps calls until their message is surely sent.
#[derive(Debug, Clone)]
pub(crate) struct Parting {
    sender: Sender<Call>,
}

impl Parting {
    /// Starts the thread that keeps them; it stops with the last clone.
    pub(crate) fn start() -> io::Result<Self> {
        let (sender, receiver) = crossbeam::channel::unbounded();
        std::thread::Builder::new()
            .name("parting".to_string())
            .spawn(move || run(&receiver))?;
        Ok(Self { sender })
    }

    /// Keeps a call for a while.
    pub(crate) fn keep(&self, call: Call) {
        if self.sender.send(call).is_err() {
            log::debug!("the gateway stops; a message may be lost");
        }
    }
}

fn run(receiver: &Receiver<Call>) {
    let mut kept = VecDeque::new();
    loop {
        match receiver.recv_timeout(LOOK_EVERY) {
            Ok(call) => kept.push_back((Instant::now(), call)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while kept
            .front()
            .is_some_and(|(since, _)| since.elapsed() > KEPT)
        {
            kept.pop_front();
        }
    }
}
