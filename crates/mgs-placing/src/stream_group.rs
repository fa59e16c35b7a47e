//! The streams that an endpoint decodes, grouped by the limits that can make them late.

use serde::Deserialize;
use serde::Serialize;

/// Worth is counted in integer hundredths of a unit, so that additions and subtractions cancel
/// exactly.
const HUNDREDTHS: f64 = 100.0;

/// Slack is counted in tenths of the time left, which keeps the number of groups small.
const TENTHS: f64 = 10.0;

/// Larger slack isn't distinguished, in tenths: a decoding engine spends less than that on prefill.
const SLACK_TENTHS_MAX: u8 = 5;

/// Slack in tenths, limited to the largest that is distinguished.
fn slack_tenths(slack_share: f64) -> u8 {
    ((slack_share * TENTHS) as u8).min(SLACK_TENTHS_MAX)
}

/// Whether a stream with this slack is tight; see [`StreamGroup::is_tight`].
pub(crate) fn is_tight(slack_share: f64) -> bool {
    slack_tenths(slack_share) < SLACK_TENTHS_MAX
}

/// Streams with the same pause limit, patience, slack and kind of prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamGroup {
    /// Longest pause between events at which they are on time, in milliseconds.
    pub pause_ms: u32,
    /// Whether they answer long prompts, which are kept apart from others.
    pub is_long: bool,
    /// Number of streams.
    pub count: u16,
    /// Worth of their being on time, in hundredths of a unit.
    pub worth_hundredths: u32,
    /// Sum of the passes that their answers are expected to take from beginning to end.
    pub passes: u32,
    /// Longest silence that their clients tolerate, in milliseconds.
    pub patience_ms: u32,
    /// Tenths of their time that they can do without and still end by their deadlines.
    slack_tenths: u8,
}

impl StreamGroup {
    /// A group of one stream with a worth of `units`.
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

    /// The same group with clients that tolerate a silence of at most `patience_ms`.
    pub fn with_patience(self, patience_ms: f64) -> Self {
        Self {
            patience_ms: patience_ms as u32,
            ..self
        }
    }

    /// The same group with a deadline that leaves `slack_share` of the time until then unused.
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

    /// Whether the streams are tight: they need so much of their time for decoding that prefill on
    /// the same engine can make them miss their deadlines.
    pub fn is_tight(&self) -> bool {
        self.slack_tenths < SLACK_TENTHS_MAX
    }

    /// Share of their time that they can do without; `None` if it is more than an engine may spend
    /// on prefill.
    pub fn slack_share(&self) -> Option<f64> {
        let share = (f64::from(self.slack_tenths) + 0.5) / TENTHS;
        self.is_tight().then_some(share)
    }

    /// Mean number of passes of a stream.
    pub fn mean_passes(&self) -> f64 {
        f64::from(self.passes) / f64::from(self.count.max(1))
    }

    /// Worth of their being on time, in units.
    pub fn units(&self) -> f64 {
        f64::from(self.worth_hundredths) / HUNDREDTHS
    }

    /// The values that all streams of a group share.
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

/// Adds streams to the groups with the same limits, or as new groups.
pub(crate) fn add(groups: &mut Vec<StreamGroup>, more: &[StreamGroup]) {
    for streams in more {
        match groups.iter_mut().find(|group| group.key() == streams.key()) {
            Some(group) => group.add(streams),
            None => groups.push(*streams),
        }
    }
}

/// Subtracts streams that were added before, and drops empty groups.
pub(crate) fn subtract(groups: &mut Vec<StreamGroup>, less: &[StreamGroup]) {
    for streams in less {
        if let Some(group) = groups.iter_mut().find(|group| group.key() == streams.key()) {
            group.subtract(streams);
        }
    }
    groups.retain(|group| group.count > 0);
}
