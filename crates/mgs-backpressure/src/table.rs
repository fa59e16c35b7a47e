//! What one gateway knows of what endpoints ask.

use std::collections::HashMap;

use crate::advice::Advice;
use crate::advice::Field;

/// One life of an endpoint: the hash of its incarnation, the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life(pub u64);

/// What is new in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum News {
    /// It names a limit, or another one than before, in requests a second.
    Limited(f64),
    /// It names none any more.
    Unlimited,
    /// It names a limit that can't be used, for the first time.
    UnusableLimit,
}

impl News {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limited(_) => "limited",
            Self::Unlimited => "unlimited",
            Self::UnusableLimit => "unusable_limit",
        }
    }
}

/// What is known of one life.
#[derive(Debug, Clone, Default)]
struct Known {
    limit_per_s: Option<f64>,
    /// Whether a limit that can't be used was met.
    is_unusable: bool,
}

/// What one gateway knows of what endpoints ask.
#[derive(Debug, Default)]
pub struct Table {
    lives: HashMap<Life, Known>,
}

impl Table {
    /// Takes what an answer says; tells what is new in it.
    pub fn hear(&mut self, life: Life, advice: Advice) -> Option<News> {
        if advice == Advice::default() && !self.lives.contains_key(&life) {
            return None;
        }
        let known = self.lives.entry(life).or_default();
        match advice.limit_per_s {
            Field::Says(per_s) if known.limit_per_s != Some(per_s) => {
                known.limit_per_s = Some(per_s);
                Some(News::Limited(per_s))
            }
            Field::Absent => known.limit_per_s.take().map(|_| News::Unlimited),
            Field::Unusable if !known.is_unusable => {
                known.is_unusable = true;
                Some(News::UnusableLimit)
            }
            _ => None,
        }
    }
}
