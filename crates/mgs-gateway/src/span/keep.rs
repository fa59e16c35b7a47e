//! Spans whose request needs them no longer, until everything is free.

use std::io;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;

use super::Span;

/// Time between two looks at what is kept.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time between two looks at nothing.
const REST: Duration = Duration::from_secs(1);

/// Polls spans until they are over; whatever is left when the gateway ends, the sidecars free when
/// its lease with them runs out.
#[derive(Debug, Clone)]
pub(crate) struct Keeper {
    sender: Sender<Span>,
}

impl Keeper {
    /// Starts its thread; it stops with the last clone.
    pub(crate) fn start() -> io::Result<Self> {
        let (sender, receiver) = crossbeam::channel::unbounded();
        std::thread::Builder::new()
            .name("spans".to_string())
            .spawn(move || run(&receiver))?;
        Ok(Self { sender })
    }

    /// Has everything of a span freed.
    pub(crate) fn free(&self, mut span: Span) {
        span.leave();
        if !span.is_over() && self.sender.send(span).is_err() {
            log::debug!("the gateway stops; its spans end with its lease");
        }
    }
}

fn run(receiver: &Receiver<Span>) {
    let mut kept: Vec<Span> = Vec::new();
    loop {
        let wait = match kept.is_empty() {
            true => REST,
            false => LOOK_EVERY,
        };
        match receiver.recv_timeout(wait) {
            Ok(span) => kept.push(span),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for span in &mut kept {
            span.poll();
        }
        kept.retain(|span| !span.is_over());
    }
}
