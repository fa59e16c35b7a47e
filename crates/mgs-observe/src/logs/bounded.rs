//! A log writer that never blocks its callers.

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

/// Most lines waiting to be written; at some hundred bytes each, about 2 MB.
pub const QUEUED_LINES_MAX: usize = 4_096;

/// Time between two writes. Each write wakes a thread, so lines are written in batches.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that logging threads pass to the writer thread.
#[derive(Debug)]
struct Queue {
    lines: ArrayQueue<Vec<u8>>,
    dropped: AtomicU64,
}

impl Queue {
    /// Writes all queued lines.
    fn drain(&self) -> io::Result<()> {
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

/// Puts log lines into the queue.
#[derive(Debug, Clone)]
pub(super) struct QueueWriter {
    queue: Arc<Queue>,
}

impl QueueWriter {
    /// Starts the writer thread.
    pub(super) fn start() -> io::Result<Self> {
        let queue = Arc::new(Queue {
            lines: ArrayQueue::new(QUEUED_LINES_MAX),
            dropped: AtomicU64::new(0),
        });
        let writer_queue = queue.clone();
        let write_loop = move || loop {
            thread::sleep(FLUSH_INTERVAL);
            // If standard output has no reader, the error can't be reported anywhere.
            let _ = writer_queue.drain();
        };
        thread::Builder::new()
            .name("log".to_string())
            .spawn(write_loop)
            .map(|_| Self { queue })
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        json_format(&mut line, now, record)?;
        if self.queue.lines.push(line).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.queue.drain()
    }

    fn shutdown(&self) {
        // The process ends, so lines that can't be written now are lost.
        let _ = self.queue.drain();
    }
}
