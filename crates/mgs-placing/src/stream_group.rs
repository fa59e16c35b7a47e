//! The streams that an endpoint writes, by what makes them late.

use serde::Deserialize;
use serde::Serialize;

/// Worth is counted in hundredths of a unit, so that what was added can be taken away without a rest.
const HUNDREDTHS: f64 = 100.0;

/// Slack is counted in tenths of the time left, so that streams gather in few groups.
const TENTHS: f64 = 10.0;

/// Tenths from which on slack isn't told apart: an engine that writes reads less than that.
const SLACK_TENTHS_MAX: u8 = 5;

/// Slack in tenths, as far as it is told apart.
fn slack_tenths(slack_share: f64) -> u8 {
    ((slack_share * TENTHS) as u8).min(SLACK_TENTHS_MAX)
}

/// Whether an answer that leaves this share of its time for reading is tight; see [`Streams::is_tight`].
pub(crate) fn is_tight(slack_share: f64) -> bool {
    slack_tenths(slack_share) < SLACK_TENTHS_MAX
}

/// Streams of one limit on pauses, patience and slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamGroup {
    /// Longest pause between events for which they are on time, in milliseconds.
    pub pause_ms: u32,
    /// Whether they are answers to long prompts, which are kept apart from others.
    pub is_long: bool,
    /// How many there are.
    pub count: u16,
    /// What their being on time is worth, in hundredths of a unit.
    pub worth_hundredths: u32,
    /// Passes of the engine that their answers are expected to take from beginning to end.
    pub passes: u32,
    /// Longest silence that their clients bear, in milliseconds.
    pub patience_ms: u32,
    /// Tenths of their time that they can do without and still end by their deadlines.
    slack_tenths: u8,
}

impl StreamGroup {
    /// One stream, worth so many units.
    ///
    /// ```
    /// use mgs_placing::stream_group::StreamGroup;
    ///
    /// let stream = StreamGroup::single(250.0, false, 0.75, 38);
    /// assert_eq!(stream.count, 1);
    /// assert_eq!(stream.units(), 0.75);
    /// ```
    pub fn single(pause_ms: f64, is_long: bool, units: f64, passes: u64) -> Self {
        Self {
            pause_ms: pause_ms as u32,
            is_long,
            count: 1,
            worth_hundredths: (units * HUNDREDTHS) as u32,
            passes: u32::try_from(passes).unwrap_or(u32::MAX),
            patience_ms: u32::MAX,
            slack_tenths: SLACK_TENTHS_MAX,
        }
    }

    /// The same whose client bears a silence of at most `patience_ms`.
    pub fn with_patience(self, patience_ms: f64) -> Self {
        Self {
            patience_ms: patience_ms as u32,
            ..self
        }
    }

    /// The same that must have ended by a deadline, and can do without `slack_share` of the time until then.
    ///
    /// ```
    /// use mgs_placing::stream_group::StreamGroup;
    ///
    /// let stream = StreamGroup::single(250.0, false, 0.75, 150).with_slack(0.17);
    /// assert!((stream.slack_share().unwrap() - 0.15).abs() < 1e-9);
    /// assert_eq!(stream.with_slack(0.8).slack_share(), None);
    /// ```
    pub fn with_slack(self, slack_share: f64) -> Self {
        Self {
            slack_tenths: slack_tenths(slack_share),
            ..self
        }
    }

    /// Whether they need so much of their time for writing that what an engine reads beside them counts.
    pub fn is_tight(&self) -> bool {
        self.slack_tenths < SLACK_TENTHS_MAX
    }

    /// Share of their time that they can do without, if it is less than an engine may read.
    pub fn slack_share(&self) -> Option<f64> {
        let share = (f64::from(self.slack_tenths) + 0.5) / TENTHS;
        self.is_tight().then_some(share)
    }

    /// Passes that each of them takes on average.
    pub fn mean_passes(&self) -> f64 {
        f64::from(self.passes) / f64::from(self.count.max(1))
    }

    /// What their being on time is worth, in units.
    pub fn units(&self) -> f64 {
        f64::from(self.worth_hundredths) / HUNDREDTHS
    }

    fn key(&self) -> (u32, bool, u32, u8) {
        (
            self.pause_ms,
            self.is_long,
            self.patience_ms,
            self.slack_tenths,
        )
    }

    fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.worth_hundredths = self.worth_hundredths.saturating_add(other.worth_hundredths);
        self.passes = self.passes.saturating_add(other.passes);
    }

    fn subtract(&mut self, other: &Self) {
        self.count = self.count.saturating_sub(other.count);
        self.worth_hundredths = self.worth_hundredths.saturating_sub(other.worth_hundredths);
        self.passes = self.passes.saturating_sub(other.passes);
    }
}

/// Adds streams to groups of which each has a limit of its own.
pub(crate) fn add(groups: &mut Vec<StreamGroup>, more: &[StreamGroup]) {
    for streams in more {
        match groups.iter_mut().find(|group| group.key() == streams.key()) {
            Some(group) => group.add(streams),
            None => groups.push(*streams),
        }
    }
}

/// Takes streams away that were added before.
pub(crate) fn subtract(groups: &mut Vec<StreamGroup>, less: &[StreamGroup]) {
    for streams in less {
        if let Some(group) = groups.iter_mut().find(|group| group.key() == streams.key()) {
            group.subtract(streams);
        }
    }
    groups.retain(|group| group.count > 0);
}
