//! Pauses of this process itself, found by a timer that fires late.
//!
//! A host with a small share of a core may not run for tenths of a second. Events that arrive
//! meanwhile look late, whatever their engine did.

/// Interval of the timer, in milliseconds: about that of the events of a stream.
pub const TICK_INTERVAL_MS: f64 = 50.0;

/// Lateness of the timer from which on this process counts as paused, in milliseconds.
const LATENESS_MAX_MS: f64 = 30.0;

/// The recent pauses of one process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ProcessPauses {
    last_tick_ms: Option<f64>,
    pause_end_ms: Option<f64>,
}

impl ProcessPauses {
    /// Records that the timer fired.
    pub fn record_tick(&mut self, now_ms: f64) {
        if self.is_tick_late(now_ms) {
            self.pause_end_ms = Some(now_ms);
        }
        self.last_tick_ms = Some(now_ms);
    }

    /// Whether a measurement of the time from `from_ms` to `now_ms` may include a pause, or began
    /// with something that was received late because of one. Also true before the first tick.
    ///
    /// ```
    /// use mgs_placing::process_pauses::ProcessPauses;
    ///
    /// let mut pauses = ProcessPauses::default();
    /// pauses.record_tick(0.0);
    /// assert!(!pauses.affect(0.0, 40.0));
    /// // The timer should have fired at 50.
    /// assert!(pauses.affect(0.0, 400.0));
    /// ```
    pub fn affect(&self, from_ms: f64, now_ms: f64) -> bool {
        let is_late = self.last_tick_ms.is_none() || self.is_tick_late(now_ms);
        let ended_ms = self.pause_end_ms;
        is_late || ended_ms.is_some_and(|ended_ms| from_ms <= ended_ms + LATENESS_MAX_MS)
    }

    fn is_tick_late(&self, now_ms: f64) -> bool {
        let due_ms = self.last_tick_ms.map(|last_ms| last_ms + TICK_INTERVAL_MS);
        due_ms.is_some_and(|due_ms| now_ms - due_ms > LATENESS_MAX_MS)
    }
}
