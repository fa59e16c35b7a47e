//! What a run gave, in the model's time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::load::call::Ended;
use crate::load::run::Sample;
use crate::load::scenario::Options;
use crate::load::scenario::Phase;
use crate::load::workload::BANDS;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Requests of the first part of a run, which finds empty engines, don't count.
const WARM_SHARE: f64 = 0.1;

/// A request is back to normal if its first token takes at most this many times the normal p95.
const RECOVERED_FACTOR: f64 = 1.5;

/// Step in which the recovery is told, in seconds.
const RECOVERY_STEP_S: f64 = 0.5;

/// Times to first token at three quantiles, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: u64,
    /// 95 of 100.
    pub p95_ms: u64,
    /// 99 of 100.
    pub p99_ms: u64,
    /// Count of answers.
    pub count: u64,
}

/// What one phase gave.
#[derive(Debug, Clone, PartialEq)]
pub struct PhaseFigures {
    /// Its name.
    pub name: String,
    /// Prompt and answer tokens of the answers that came in time within the phase, per second.
    pub goodput_tokens_per_s: f64,
    /// Time to first token of short prompts that arrived in it.
    pub short: Quantiles,
    /// Refused requests as a share of those offered.
    pub refused_share: f64,
    /// Least share of its due that an organisation got which offered no more than that.
    pub least_share_of_due: f64,
}

/// What a policy gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Time to first token, by band.
    pub first_token: Vec<Quantiles>,
    /// Time to first token of all short prompts.
    pub short: Quantiles,
    /// p95 of short prompts among all, divided by that of the same short prompts alone.
    pub short_slowdown_p95: f64,
    /// Prompt and answer tokens answered in time, per second.
    pub goodput_tokens_per_s: f64,
    /// Jain's index of what organisations got as a share of their due.
    pub fairness_index: f64,
    /// Cached prompt tokens as a share of the prompt tokens answered.
    pub cache_hit_share: f64,
    /// Refused requests by reason.
    pub refused: BTreeMap<String, u64>,
    /// Refused requests that were not told when to come back.
    pub refused_without_time: u64,
    /// Requests that ended in another way, by reason.
    pub failed: BTreeMap<String, u64>,
    /// What each phase gave.
    pub phases: Vec<PhaseFigures>,
    /// Time after the overload until short prompts were back to normal, in seconds.
    pub recovery_s: Option<f64>,
    /// How late callers were to send because the machine was busy: p99, in milliseconds.
    pub lateness_p99_ms: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the number of digits is valid")
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50_ms: histogram.value_at_quantile(0.50),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
        count: histogram.len(),
    }
}

/// Milliseconds of the model's time to the first token, if there was one.
pub fn first_token_ms(sample: &Sample, time_scale: f64) -> Option<u64> {
    match &sample.ended {
        Ended::Answered { first_token, .. } => {
            Some((first_token.as_secs_f64() * time_scale * 1_000.0) as u64)
        }
        _ => None,
    }
}

/// When an answer was whole, in the model's seconds, if that was in time.
fn whole_at_s(sample: &Sample, time_scale: f64) -> Option<f64> {
    let Ended::Answered { whole, .. } = &sample.ended else {
        return None;
    };
    let took_s = whole.as_secs_f64() * time_scale;
    let in_time = took_s * 1_000.0 <= sample.arrival.allotted_ms() as f64;
    in_time.then_some(sample.arrival.at_s + took_s)
}

fn tokens(sample: &Sample) -> u64 {
    sample.arrival.prompt_tokens + sample.arrival.answer_tokens
}

/// Quantiles of the short prompts among `samples`, without those of the start.
pub fn short(samples: &[Sample], options: &Options) -> Quantiles {
    let mut all = histogram();
    for sample in samples
        .iter()
        .filter(|s| counts(s, options) && s.arrival.is_short())
    {
        if let Some(ms) = first_token_ms(sample, options.time_scale) {
            all += ms;
        }
    }
    quantiles(&all)
}

fn counts(sample: &Sample, options: &Options) -> bool {
    sample.arrival.at_s >= options.run_s * WARM_SHARE * first_share(options)
}

fn first_share(options: &Options) -> f64 {
    options.scenario.phases().first().map_or(1.0, |p| p.share)
}

/// Works out the figures of a run.
pub fn figures(samples: &[Sample], options: &Options) -> Figures {
    let counted: Vec<&Sample> = samples.iter().filter(|s| counts(s, options)).collect();
    let mut first_token = vec![histogram(); BANDS.len()];
    let mut lateness = histogram();
    let mut figures = Figures::default();
    let (mut cached, mut answered) = (0, 0);
    for sample in &counted {
        lateness += sample.lateness.as_millis() as u64;
        if let Some(ms) = first_token_ms(sample, options.time_scale) {
            first_token[sample.arrival.band()] += ms;
        }
        match &sample.ended {
            Ended::Answered { cached_tokens, .. } => {
                cached += cached_tokens;
                answered += sample.arrival.prompt_tokens;
            }
            Ended::Refused {
                reason,
                retry_after,
            } => {
                *figures.refused.entry(reason.clone()).or_default() += 1;
                figures.refused_without_time += u64::from(!retry_after);
            }
            Ended::Failed(reason) => *figures.failed.entry(reason.clone()).or_default() += 1,
        }
    }
    figures.first_token = first_token.iter().map(quantiles).collect();
    figures.short = short(samples, options);
    figures.cache_hit_share = cached as f64 / f64::max(answered as f64, 1.0);
    figures.lateness_p99_ms = lateness.value_at_quantile(0.99);
    figures.phases = phases(samples, options);
    let warm_s = options.run_s * WARM_SHARE * first_share(options);
    figures.goodput_tokens_per_s = goodput(samples, options, warm_s, options.run_s);
    let shares = shares_of_due(&counted, options);
    figures.fairness_index = jain(&shares);
    figures.recovery_s = recovery_s(samples, options, &figures.phases);
    figures
}

/// Tokens answered in time between two moments, per second.
fn goodput(samples: &[Sample], options: &Options, from_s: f64, to_s: f64) -> f64 {
    let mut sum = 0;
    for sample in samples {
        let at_s = whole_at_s(sample, options.time_scale);
        if at_s.is_some_and(|at_s| at_s >= from_s && at_s < to_s) {
            sum += tokens(sample);
        }
    }
    sum as f64 / (to_s - from_s)
}

fn phases(samples: &[Sample], options: &Options) -> Vec<PhaseFigures> {
    let mut start_s = 0.0;
    let mut all = Vec::new();
    for (number, phase) in options.scenario.phases().iter().enumerate() {
        let end_s = start_s + phase.share * options.run_s;
        let own: Vec<&Sample> = samples
            .iter()
            .filter(|s| s.arrival.phase == number)
            .collect();
        all.push(phase_figures(
            phase,
            &own,
            samples,
            options,
            (start_s, end_s),
        ));
        start_s = end_s;
    }
    all
}

fn phase_figures(
    phase: &Phase,
    own: &[&Sample],
    samples: &[Sample],
    options: &Options,
    (start_s, end_s): (f64, f64),
) -> PhaseFigures {
    let mut short = histogram();
    for sample in own.iter().filter(|s| s.arrival.is_short()) {
        if let Some(ms) = first_token_ms(sample, options.time_scale) {
            short += ms;
        }
    }
    let is_refused = |s: &&&Sample| matches!(s.ended, Ended::Refused { .. });
    let refused = own.iter().filter(is_refused).count();
    PhaseFigures {
        name: phase.name.to_string(),
        goodput_tokens_per_s: goodput(samples, options, start_s, end_s),
        short: quantiles(&short),
        refused_share: refused as f64 / own.len().max(1) as f64,
        least_share_of_due: least_share(own, options),
    }
}

/// What each organisation got as a share of its due: what it offered, or its part of all that was
/// answered, by weight, whichever is less. Prompts that no engine can hold don't count.
fn shares_of_due(samples: &[&Sample], options: &Options) -> Vec<f64> {
    let parts = options.scenario.parts(options.organisations);
    let mut offered = vec![0.0; parts.len()];
    let mut got = vec![0.0; parts.len()];
    for sample in samples.iter().filter(|s| !is_too_large(s)) {
        let organisation = sample.arrival.organisation;
        offered[organisation] += tokens(sample) as f64;
        if whole_at_s(sample, options.time_scale).is_some() {
            got[organisation] += tokens(sample) as f64;
        }
    }
    let due = max_min(&offered, &parts, got.iter().sum());
    let share = |(got, due): (&f64, &f64)| got / due.max(1.0);
    got.iter().zip(&due).map(share).collect()
}

fn is_too_large(sample: &Sample) -> bool {
    matches!(&sample.ended, Ended::Refused { reason, .. } if reason == "prompt_exceeds_memory")
}

/// Least share of those that offered no more than their due; the first organisation, which may
/// flood, isn't one of them.
fn least_share(samples: &[&Sample], options: &Options) -> f64 {
    let shares = shares_of_due(samples, options);
    shares.into_iter().skip(1).fold(1.0, f64::min)
}

/// Divides `all` by weight, none getting more than it wants.
///
/// ```
/// let due = mgs_testing::load::figures::max_min(&[10.0, 100.0], &[0.5, 0.5], 60.0);
/// assert_eq!(due, [10.0, 50.0]);
/// ```
pub fn max_min(wanted: &[f64], weights: &[f64], all: f64) -> Vec<f64> {
    let mut due = vec![0.0; wanted.len()];
    let mut open: Vec<usize> = (0..wanted.len()).collect();
    let mut left = all;
    while !open.is_empty() {
        let weight: f64 = open.iter().map(|i| weights[*i]).sum();
        let part = |i: usize| left * weights[i] / weight;
        let (full, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|i| wanted[**i] <= part(**i));
        if full.is_empty() {
            for i in rest {
                due[i] = part(i);
            }
            return due;
        }
        for i in &full {
            due[*i] = wanted[*i];
        }
        left -= full.iter().map(|i| wanted[*i]).sum::<f64>();
        open = rest;
    }
    due
}

/// Jain's fairness index.
///
/// ```
/// assert_eq!(mgs_testing::load::figures::jain(&[1.0, 1.0]), 1.0);
/// ```
pub fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Time from the end of the overload until 95 of 100 short prompts that arrive later are back to
/// normal.
fn recovery_s(samples: &[Sample], options: &Options, figures: &[PhaseFigures]) -> Option<f64> {
    let phases = options.scenario.phases();
    let after = phases.iter().position(|phase| phase.name == "after")?;
    let start_s: f64 = phases[..after]
        .iter()
        .map(|p| p.share * options.run_s)
        .sum();
    let normal_ms = figures.first()?.short.p95_ms as f64 * RECOVERED_FACTOR;
    let own = |s: &&Sample| s.arrival.phase == after && s.arrival.is_short();
    let own: Vec<&Sample> = samples.iter().filter(own).collect();
    let is_normal = |s: &Sample| {
        let ms = first_token_ms(s, options.time_scale);
        ms.is_some_and(|ms| ms as f64 <= normal_ms)
    };
    let mut after_s = 0.0;
    while after_s < phases[after].share * options.run_s {
        let rest = own.iter().filter(|s| s.arrival.at_s >= start_s + after_s);
        let (normal, other): (Vec<&Sample>, Vec<&Sample>) =
            rest.copied().partition(|s| is_normal(s));
        if normal.len() >= 19 * other.len() && !normal.is_empty() {
            return Some(after_s);
        }
        after_s += RECOVERY_STEP_S;
    }
    None
}
