//! Progress bar on standard error, shown only on a terminal.

use std::io::IsTerminal;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indicatif::ProgressBar;
use indicatif::ProgressDrawTarget;
use indicatif::ProgressStyle;

const TEMPLATE: &str = "{elapsed_precise} {bar:30} {pos}/{len} ended  {msg}";

/// Progress bar that counts the requests sent and ended.
#[derive(Debug)]
pub struct Progress {
    bar: ProgressBar,
    sent: AtomicU64,
}

impl Progress {
    /// Creates a progress bar for `total` requests; it is hidden unless standard error is a terminal.
    pub fn new(total: u64) -> Self {
        let target = if std::io::stderr().is_terminal() {
            ProgressDrawTarget::stderr()
        } else {
            ProgressDrawTarget::hidden()
        };
        let bar = ProgressBar::with_draw_target(Some(total), target);
        let style = ProgressStyle::with_template(TEMPLATE);
        bar.set_style(style.expect("BUG: the template is well formed"));
        Self {
            bar,
            sent: AtomicU64::new(0),
        }
    }

    /// Counts a sent request.
    pub fn sent(&self) {
        let sent = self.sent.fetch_add(1, Ordering::Relaxed) + 1;
        self.bar.set_message(format!("{sent} sent"));
    }

    /// Counts an ended request.
    pub fn ended(&self) {
        self.bar.inc(1);
    }

    /// Removes the progress bar.
    pub fn finish(&self) {
        self.bar.finish_and_clear();
    }
}
