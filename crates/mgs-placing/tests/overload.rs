//! Goals for more demand than the engines can serve, with the figures of the deployment whose mix
//! of lengths changes. The bounds are those that operators ask for.

#![allow(
    clippy::print_stdout,
    reason = "figures of the runs, shown with `--nocapture`"
)]

use std::ops::Range;
use std::sync::OnceLock;

mod emulator;

use emulator::vehicles;
use emulator::vehicles::Length;
use emulator::Emulator;
use emulator::Outcome;
use emulator::Prompt;

/// Seeds of the runs over which figures are pooled.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Multiples of the usual load among which the one with the most goodput is the capacity. The usual
/// load takes half of the engines' time, and goodput rises on beyond the load at which long prompts
/// become late, since short ones replace them.
const MULTIPLES: [f64; 5] = [1.6, 2.2, 2.8, 3.4, 4.0];

/// Overload, as a multiple of the capacity.
const OVERLOAD: f64 = 1.5;

/// Duration of a run, in milliseconds.
const RUN_MS: f64 = 12_000.0;

/// Arrivals that count, in milliseconds: from when the queues have filled.
const COUNTED_MS: Range<f64> = 4_000.0..RUN_MS;

/// Least ratio of the goodput under overload to its peak.
const GOODPUT_RATIO_MIN: f64 = 0.95;

/// Longest median time until a refusal, in milliseconds.
const REFUSAL_MEDIAN_MAX_MS: f64 = 50.0;

/// Least share of the admitted prompts that are on time.
const ADMITTED_ON_TIME_MIN: f64 = 0.95;

/// Figures of a load, over all seeds.
#[derive(Debug, Clone, Default)]
struct Figures {
    /// Load as a multiple of the usual one.
    multiple: f64,
    /// Engine time that the answers on time take, per second, as a share of all engines' time.
    goodput: f64,
    /// Share of the admitted prompts that are on time.
    admitted_on_time: f64,
    /// The same by length, short prompts first.
    admitted_on_time_by_length: [f64; 3],
    /// Share of the prompts that are refused, by length.
    refused_by_length: [f64; 3],
    /// Median time until a refusal, in milliseconds; 0 without refusals.
    refusal_median_ms: f64,
    /// The same by length.
    refusal_median_ms_by_length: [f64; 3],
}

/// Share of the prompts that satisfy a condition.
fn share<'a>(
    prompts: &[(&'a Prompt, &'a Outcome)],
    holds: impl Fn(&Prompt, &Outcome) -> bool,
) -> f64 {
    let holding = prompts
        .iter()
        .filter(|(prompt, outcome)| holds(prompt, outcome));
    holding.count() as f64 / prompts.len().max(1) as f64
}

/// Share of the admitted ones among these prompts that are on time.
fn admitted_on_time(prompts: &[(&Prompt, &Outcome)]) -> f64 {
    let mut admitted = prompts.to_vec();
    admitted.retain(|(_, outcome)| outcome.refused_after_ms.is_none());
    share(&admitted, |prompt, outcome| outcome.is_on_time(prompt))
}

/// Median time until a refusal, in milliseconds; 0 without refusals.
fn refusal_median_ms(prompts: &[(&Prompt, &Outcome)]) -> f64 {
    let refusals = prompts.iter();
    let mut refusals_ms: Vec<f64> = refusals
        .filter_map(|(_, outcome)| outcome.refused_after_ms)
        .collect();
    refusals_ms.sort_by(f64::total_cmp);
    let median = refusals_ms.get(refusals_ms.len() / 2);
    median.copied().unwrap_or_default()
}

impl Figures {
    /// Plays the usual mix at a multiple of its rates.
    fn of(multiple: f64) -> Self {
        let phase = vehicles::phase(RUN_MS, [multiple; 3]);
        let run = |seed: &u64| vehicles::run(&[phase], *seed);
        let mut runs: Vec<Emulator> = Vec::new();
        for pair in SEEDS.chunks(2) {
            std::thread::scope(|scope| {
                let threads: Vec<_> = pair.iter().map(|seed| scope.spawn(|| run(seed))).collect();
                let ended = threads
                    .into_iter()
                    .map(|thread| thread.join().expect("a run"));
                runs.extend(ended);
            });
        }
        let counted = runs
            .iter()
            .flat_map(|run| vehicles::arrived(run, COUNTED_MS.start, COUNTED_MS.end));
        let counted: Vec<(&Prompt, &Outcome)> = counted.collect();
        let deployment = vehicles::deployment();
        let on_time = counted
            .iter()
            .filter(|(prompt, outcome)| outcome.is_on_time(prompt));
        let costs_ms = on_time.map(|(prompt, _)| vehicles::cost_ms(prompt, &deployment.model));
        let counted_ms = (COUNTED_MS.end - COUNTED_MS.start) * SEEDS.len() as f64;
        let by_length = Length::ALL.map(|length| {
            let mut of_length = counted.clone();
            of_length.retain(|(prompt, _)| Length::of(prompt) == length);
            of_length
        });
        let is_refused = |_: &Prompt, outcome: &Outcome| outcome.refused_after_ms.is_some();
        Self {
            multiple,
            goodput: costs_ms.sum::<f64>() / counted_ms / deployment.engines as f64,
            admitted_on_time: admitted_on_time(&counted),
            admitted_on_time_by_length: by_length.each_ref().map(|all| admitted_on_time(all)),
            refused_by_length: by_length.each_ref().map(|all| share(all, is_refused)),
            refusal_median_ms: refusal_median_ms(&counted),
            refusal_median_ms_by_length: by_length.each_ref().map(|all| refusal_median_ms(all)),
        }
    }
}

impl Figures {
    /// The figures as one line, lengths from short to long.
    fn summary(&self) -> String {
        format!(
            "load {:.2}: goodput {:.3}, on time of admitted {:.3} {:.3?}, refused {:.3?}, \
             median time until a refusal {:.0} ms {:.0?}",
            self.multiple,
            self.goodput,
            self.admitted_on_time,
            self.admitted_on_time_by_length,
            self.refused_by_length,
            self.refusal_median_ms,
            self.refusal_median_ms_by_length,
        )
    }
}

/// The figures at the capacity and at [`OVERLOAD`] times the capacity, played once for all tests.
fn capacity_and_overload() -> &'static (Figures, Figures) {
    static FIGURES: OnceLock<(Figures, Figures)> = OnceLock::new();
    FIGURES.get_or_init(|| {
        let mut capacity = Figures::default();
        for multiple in MULTIPLES {
            let figures = Figures::of(multiple);
            println!("{}", figures.summary());
            if figures.goodput > capacity.goodput {
                capacity = figures;
            }
        }
        assert!(
            Some(&capacity.multiple) != MULTIPLES.last(),
            "the peak lies beyond the loads played: {}",
            capacity.summary()
        );
        let overload = Figures::of(capacity.multiple * OVERLOAD);
        println!("overload: {}", overload.summary());
        (capacity, overload)
    })
}

/// Guards against engines that work for answers that come too late while others could be on time.
#[test]
fn goodput_under_overload_stays_near_its_peak() {
    let (capacity, overload) = capacity_and_overload();
    assert!(
        overload.goodput >= capacity.goodput * GOODPUT_RATIO_MIN,
        "{} {}",
        overload.summary(),
        capacity.summary()
    );
}

/// Guards against prompts that wait for seconds and are refused in the end: their clients could
/// have gone elsewhere at once. Each length is judged by itself, since most refused prompts are short
/// and their median hides how long the others wait.
#[test]
fn refusals_under_overload_come_at_once() {
    let (_, overload) = capacity_and_overload();
    let mut medians_ms = overload.refusal_median_ms_by_length.iter();
    assert!(
        medians_ms.all(|median_ms| *median_ms <= REFUSAL_MEDIAN_MAX_MS),
        "{}",
        overload.summary()
    );
}

/// Guards against prompts that are dispatched although their engines can't answer them on time.
#[test]
fn what_is_admitted_under_overload_is_on_time() {
    let (_, overload) = capacity_and_overload();
    assert!(
        overload.admitted_on_time >= ADMITTED_ON_TIME_MIN,
        "{}",
        overload.summary()
    );
}
