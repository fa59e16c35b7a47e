//! How much of some work fits what engines have, if all of it were known beforehand and could be cut as finely as one likes.
//!
//! Each piece of work may be done within a window of time, and all together take no more than there is in any span of
//! it. For windows that are spans of one line of time, that is all that binds (Hall's condition), and taking the
//! pieces in the order of their worth for what they take gives the most worth. Nothing real does better, so
//! what is left over by this can't be served.

/// Length of a step of time, in milliseconds. Windows are widened to whole steps.
const STEP_MS: f64 = 250.0;

/// A piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Piece {
    /// From when it may be done, in milliseconds.
    pub from_ms: f64,
    /// Until when it must be done, in milliseconds.
    pub until_ms: f64,
    /// What it takes, in the unit of what there is.
    pub takes: f64,
    /// What it is worth if all of it is done.
    pub worth: f64,
}

/// What there is, step by step.
#[derive(Debug, Clone, PartialEq)]
pub struct Supply {
    steps: usize,
    /// What is left between two steps, by first and last step.
    left: Vec<f64>,
}

impl Supply {
    /// What there is in a millisecond of each step.
    ///
    /// ```
    /// use marigoldstage::account::fluid::served;
    /// use marigoldstage::account::fluid::Piece;
    /// use marigoldstage::account::fluid::Supply;
    ///
    /// // One second of two engines, and three pieces of a second that are worth more and more.
    /// let pieces = [1.0, 2.0, 3.0].map(|worth| Piece { from_ms: 0.0, until_ms: 1_000.0, takes: 1_000.0, worth });
    /// let shares = served(&mut Supply::new(&[2.0; 4]), &pieces);
    /// assert_eq!(shares, [0.0, 1.0, 1.0]);
    /// ```
    pub fn new(per_ms: &[f64]) -> Self {
        let steps = per_ms.len();
        let mut left = vec![0.0; steps * steps];
        for first in 0..steps {
            let mut sum = 0.0;
            for last in first..steps {
                sum += per_ms[last] * STEP_MS;
                left[first * steps + last] = sum;
            }
        }
        Self { steps, left }
    }

    /// Steps that a time of so many milliseconds takes.
    pub fn steps_of(time_ms: f64) -> usize {
        (time_ms.max(0.0) / STEP_MS).ceil() as usize
    }

    /// Middle of a step, in milliseconds.
    pub fn middle_ms(step: usize) -> f64 {
        (step as f64 + 0.5) * STEP_MS
    }

    /// Takes as much of `wanted` as fits between two times; answers how much that is.
    fn take(&mut self, from_ms: f64, until_ms: f64, wanted: f64) -> f64 {
        if self.steps == 0 {
            return 0.0;
        }
        let first = ((from_ms.max(0.0) / STEP_MS) as usize).min(self.steps - 1);
        let last = Self::steps_of(until_ms).max(first + 1).min(self.steps) - 1;
        let mut taken = wanted;
        for begin in 0..=first {
            for end in last..self.steps {
                taken = taken.min(self.left[begin * self.steps + end]);
            }
        }
        let taken = taken.max(0.0);
        for begin in 0..=first {
            for end in last..self.steps {
                self.left[begin * self.steps + end] -= taken;
            }
        }
        taken
    }
}

/// The share of each piece that is done, if those go first that are worth most for what they take.
pub fn served(supply: &mut Supply, pieces: &[Piece]) -> Vec<f64> {
    let density = |piece: &Piece| piece.worth / piece.takes.max(f64::MIN_POSITIVE);
    let mut order: Vec<usize> = (0..pieces.len()).collect();
    order.sort_by(|a, b| density(&pieces[*b]).total_cmp(&density(&pieces[*a])));
    let mut shares = vec![0.0; pieces.len()];
    for index in order {
        let piece = &pieces[index];
        shares[index] = match piece.takes > 0.0 {
            true => supply.take(piece.from_ms, piece.until_ms, piece.takes) / piece.takes,
            false => 1.0,
        };
    }
    shares
}
