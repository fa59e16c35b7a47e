//! Upper bound on the work that engines can serve: an offline schedule of jobs that are infinitely divisible.
//!
//! Each job has a release time and a deadline, and the jobs of any time interval together can't exceed the capacity of
//! that interval. For intervals of a single time line this condition is sufficient (Hall's condition), and a greedy
//! choice by worth per demand gives the highest total worth. No real schedule does better, so what this one leaves
//! out can't be served.

/// Length of a time step, in milliseconds. The interval of a job is widened to whole steps.
const STEP_MS: f64 = 250.0;

/// Divisible work with a release time and a deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Earliest time at which it may run, in milliseconds.
    pub release_ms: f64,
    /// Latest time at which it must be finished, in milliseconds.
    pub deadline_ms: f64,
    /// Capacity that it needs, in the unit of [`Capacity`].
    pub demand: f64,
    /// Worth if all of it is done; a part is worth its share.
    pub worth: f64,
}

/// Capacity over time, in steps of equal length.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    steps: usize,
    /// Unreserved capacity of each interval, indexed by its first and last step.
    remaining: Vec<f64>,
}

impl Capacity {
    /// Makes a capacity from the capacity per millisecond in each step.
    ///
    /// ```
    /// use marigoldstage::account::capacity_bound::served_shares;
    /// use marigoldstage::account::capacity_bound::Job;
    /// use marigoldstage::account::capacity_bound::Capacity;
    ///
    /// // Two engines for one second, and three jobs of one second with increasing worth.
    /// let jobs = [1.0, 2.0, 3.0].map(|worth| Job { release_ms: 0.0, deadline_ms: 1_000.0, demand: 1_000.0, worth });
    /// let shares = served_shares(&mut Capacity::new(&[2.0; 4]), &jobs);
    /// assert_eq!(shares, [0.0, 1.0, 1.0]);
    /// ```
    pub fn new(per_ms: &[f64]) -> Self {
        let steps = per_ms.len();
        let mut remaining = vec![0.0; steps * steps];
        for first in 0..steps {
            let mut sum = 0.0;
            for last in first..steps {
                sum += per_ms[last] * STEP_MS;
                remaining[first * steps + last] = sum;
            }
        }
        Self { steps, remaining }
    }

    /// Number of steps that cover `time_ms` milliseconds.
    pub fn steps_covering(time_ms: f64) -> usize {
        (time_ms.max(0.0) / STEP_MS).ceil() as usize
    }

    /// Middle of a step, in milliseconds after the start of the first one.
    pub fn middle_ms(step: usize) -> f64 {
        (step as f64 + 0.5) * STEP_MS
    }

    /// Reserves as much of `demand` as fits between two times and returns that amount.
    fn reserve(&mut self, release_ms: f64, deadline_ms: f64, demand: f64) -> f64 {
        if self.steps == 0 {
            return 0.0;
        }
        let first = ((release_ms.max(0.0) / STEP_MS) as usize).min(self.steps - 1);
        let last = Self::steps_covering(deadline_ms)
            .max(first + 1)
            .min(self.steps)
            - 1;
        let mut reserved = demand;
        for begin in 0..=first {
            for end in last..self.steps {
                reserved = reserved.min(self.remaining[begin * self.steps + end]);
            }
        }
        let reserved = reserved.max(0.0);
        for begin in 0..=first {
            for end in last..self.steps {
                self.remaining[begin * self.steps + end] -= reserved;
            }
        }
        reserved
    }
}

/// Share of each job that is done if jobs reserve capacity in descending order of worth per demand.
pub fn served_shares(capacity: &mut Capacity, jobs: &[Job]) -> Vec<f64> {
    let density = |job: &Job| job.worth / job.demand.max(f64::MIN_POSITIVE);
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| density(&jobs[*b]).total_cmp(&density(&jobs[*a])));
    let mut shares = vec![0.0; jobs.len()];
    for index in order {
        let job = &jobs[index];
        shares[index] = match job.demand > 0.0 {
            true => capacity.reserve(job.release_ms, job.deadline_ms, job.demand) / job.demand,
            false => 1.0,
        };
    }
    shares
}
