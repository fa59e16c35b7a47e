//! A thread that keeps a process's settings up to date.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use mgs_settings::follow::Follower;

use crate::error::Error;

/// Gateways believed to share the store's read budget, until membership says better.
const GATEWAYS_ASSUMED: u64 = 1;

/// A running thread that polls a [`Follower`]; it ends when this is dropped.
#[derive(Debug)]
pub struct Following {
    follower: Arc<Follower>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Following {
    /// Starts the thread.
    pub fn start(follower: Follower) -> Result<Self, Error> {
        let follower = Arc::new(follower);
        let (stop, stopped) = channel::bounded(0);
        let polled = follower.clone();
        let thread = thread::Builder::new()
            .name("settings".to_string())
            .spawn(move || poll(&polled, &stopped))
            .map_err(|error| Error::Failed(format!("can't start a thread: {error}")))?;
        Ok(Self {
            follower,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// What is polled.
    pub fn follower(&self) -> &Arc<Follower> {
        &self.follower
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                log::error!("the thread that reads settings panicked");
            }
        }
    }
}

fn poll(follower: &Follower, stopped: &Receiver<()>) {
    loop {
        let outcome = follower.poll(GATEWAYS_ASSUMED, rand::random());
        if let Some(error) = &outcome.error {
            log::warn!(error:% = error; "settings can't be read");
        }
        if outcome.changed {
            let version = follower.holder().version();
            log::info!(settings_version = version; "settings in force");
        }
        let wait = Duration::from_millis(outcome.wait_ms);
        let stop = stopped.recv_timeout(wait);
        if stop == Err(channel::RecvTimeoutError::Disconnected) {
            return;
        }
    }
}
