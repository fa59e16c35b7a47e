//! The order of the prompts that wait to be sent.

use serde::Deserialize;
use serde::Serialize;

/// Place in the order of all waiting prompts; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Score(pub u32);

/// Stands for nobody waiting.
pub const NONE_WAITING: Score = Score(u32::MAX);

/// Added to the score of those that can't be on time.
pub(crate) const LATE_BASE: u32 = 1_000_000_000;

/// Who goes first among some that wait: those that are late have a line of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueHeads {
    /// Least score of those that can be on time.
    pub on_time: Score,
    /// Least score of the others.
    pub late: Score,
}

impl Default for QueueHeads {
    fn default() -> Self {
        Self {
            on_time: NONE_WAITING,
            late: NONE_WAITING,
        }
    }
}

impl QueueHeads {
    /// One more waits.
    ///
    /// ```
    /// use mgs_placing::queue_order::QueueHeads;
    /// use mgs_placing::queue_order::Score;
    ///
    /// let firsts = QueueHeads::default().with_score(Score(30)).with_score(Score(20));
    /// assert_eq!(firsts.on_time, Score(20));
    /// ```
    pub fn with_score(self, score: Score) -> Self {
        match score.0 < LATE_BASE {
            true => Self {
                on_time: self.on_time.min(score),
                ..self
            },
            false => Self {
                late: self.late.min(score),
                ..self
            },
        }
    }

    /// Who goes first among both.
    pub fn merge(self, other: Self) -> Self {
        Self {
            on_time: self.on_time.min(other.on_time),
            late: self.late.min(other.late),
        }
    }

    /// Who goes first in the line of `score`.
    pub fn head_for(self, score: Score) -> Score {
        match score.0 < LATE_BASE {
            true => self.on_time,
            false => self.late,
        }
    }
}
