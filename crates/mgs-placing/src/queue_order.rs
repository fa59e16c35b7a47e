//! The order in which waiting prompts are dispatched.

use serde::Deserialize;
use serde::Serialize;

/// Position in the order of all waiting prompts; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Score(pub u32);

/// Score that stands for an empty queue.
pub const NONE_WAITING: Score = Score(u32::MAX);

/// Added to the score of prompts that can't meet their first-token target; they queue behind all
/// others.
pub(crate) const LATE_SCORE_BASE: u32 = 1_000_000_000;

/// The best scores of a set of waiting prompts, with late prompts in a queue of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueHeads {
    /// Least score of the prompts that can meet their first-token target.
    pub on_time: Score,
    /// Least score of the prompts that can't.
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
    /// Includes one more waiting prompt.
    ///
    /// ```
    /// use mgs_placing::queue_order::QueueHeads;
    /// use mgs_placing::queue_order::Score;
    ///
    /// let heads = QueueHeads::default().with_score(Score(30)).with_score(Score(20));
    /// assert_eq!(heads.on_time, Score(20));
    /// ```
    pub fn with_score(self, score: Score) -> Self {
        match score.0 < LATE_SCORE_BASE {
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

    /// The best scores of both sets together.
    pub fn merge(self, other: Self) -> Self {
        Self {
            on_time: self.on_time.min(other.on_time),
            late: self.late.min(other.late),
        }
    }

    /// The best score in the queue to which `score` belongs.
    pub fn head_for(self, score: Score) -> Score {
        match score.0 < LATE_SCORE_BASE {
            true => self.on_time,
            false => self.late,
        }
    }
}
