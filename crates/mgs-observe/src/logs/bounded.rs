//! A writer of log lines that never waits.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::queue::ArrayQueue;
use flexi_logger::json_format;
use flexi_logger::writers::LogWriter;
use flexi_logger::DeferredNow;
use log::Record;

/// Lines that wait to be written; at some hundred bytes each about 2 MB.
pub const LINES_MAX: usize = 4_096;

/// Time between two writes. Each wakes a thread, so lines go out together.
const INTERVAL: Duration = Duration::from_millis(100);

/// What the process's threads and the writing thread share.
#[derive(Debug)]
struct Shared {
    lines: ArrayQueue<Vec<u8>>,
    dropped: AtomicU64,
}

impl Shared {
    /// Writes what waits.
    fn write_out(&self) -> io::Result<()> {
        let mut text = Vec::new();
        while let Some(line) = self.lines.pop() {
            text.extend_from_slice(&line);
            text.push(b'\n');
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"kv\":{{\"lines\":{dropped}}}}}\n");
            text.extend_from_slice(line.as_bytes());
        }
        if text.is_empty() {
            return Ok(());
        }
        let mut out = io::stdout().lock();
        out.write_all(&text)?;
        out.flush()
    }
}

/// Puts lines in the queue.
#[derive(Debug, Clone)]
pub(super) struct Writer {
    shared: Arc<Shared>,
}

impl Writer {
    /// Starts the thread that writes.
    pub(super) fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            lines: ArrayQueue::new(LINES_MAX),
            dropped: AtomicU64::new(0),
        });
        let writing = shared.clone();
        let body = move || loop {
            thread::sleep(INTERVAL);
            // Without a reader of standard output there is nobody to tell.
            let _ = writing.write_out();
        };
        thread::Builder::new()
            .name("log".to_string())
            .spawn(body)
            .map(|_| Self { shared })
    }
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        json_format(&mut line, now, record)?;
        if self.shared.lines.push(line).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.shared.write_out()
    }

    fn shutdown(&self) {
        // The end of the process: what can't be written now is lost.
        let _ = self.shared.write_out();
    }
}
