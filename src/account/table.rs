//! The account as it is printed.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::outcome::End;
use super::outcome::Outcome;
use super::refusals::Refusals;
use super::spent::Spent;
use super::split::Split;
use super::Account;

/// Causes and endpoints that are listed, the most first.
const ROWS_MAX: usize = 12;

/// Seconds that are listed, those with the most lost.
const SECONDS_MAX: usize = 6;

/// Some requests together.
#[derive(Debug, Default)]
struct Sum {
    requests: usize,
    ends: BTreeMap<End, usize>,
    units: f64,
    lost_units: f64,
}

impl Sum {
    fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        *self.ends.entry(outcome.end()).or_default() += 1;
        self.units += outcome.units;
        self.lost_units += outcome.lost_units;
    }

    fn share(&self, end: End) -> f64 {
        let count = self.ends.get(&end).copied().unwrap_or(0);
        count as f64 / self.requests.max(1) as f64
    }

    fn lost_share(&self) -> f64 {
        self.lost_units / self.units.max(f64::MIN_POSITIVE)
    }
}

/// Sums of requests that are alike by `name`.
fn sums(outcomes: &[Outcome], name: impl Fn(&Outcome) -> String) -> BTreeMap<String, Sum> {
    let mut sums: BTreeMap<String, Sum> = BTreeMap::new();
    for outcome in outcomes {
        sums.entry(name(outcome)).or_default().add(outcome);
    }
    sums
}

impl Display for Account {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} requests at {} hosts, {} more that were not to be served",
            self.outcomes.len(),
            self.hosts,
            self.not_owed
        )?;
        let by = |name: fn(&Outcome) -> String| sums(&self.outcomes, name);
        write_sums(f, "kind", &by(|one| one.kind.clone()))?;
        write_sums(f, "length of prompt", &by(|one| one.length.to_string()))?;
        write_sums(f, "availability zone", &by(|one| one.zone.clone()))?;
        write_split(f, &self.split)?;
        write_causes(f, &self.outcomes)?;
        write_refusals(f, &self.refusals)?;
        write_seconds(f, &self.outcomes)?;
        write_spent(f, &self.spent)
    }
}

fn write_sums(
    f: &mut Formatter<'_>,
    title: &str,
    sums: &BTreeMap<String, Sum>,
) -> std::fmt::Result {
    writeln!(
        f,
        "\n{title:<32} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "requests", "on time", "late", "refused", "failed", "lost"
    )?;
    for (name, sum) in sums {
        writeln!(
            f,
            "{name:<32} {:>8} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3}",
            sum.requests,
            sum.share(End::OnTime),
            sum.share(End::Late),
            sum.share(End::Refused),
            sum.share(End::Failed),
            sum.lost_share(),
        )?;
    }
    Ok(())
}

/// What of the loss is whose.
fn write_split(f: &mut Formatter<'_>, split: &Split) -> std::fmt::Result {
    if !split.has_engines {
        return writeln!(
            f,
            "\nthe logs don't tell what engines there were, so no bound is drawn"
        );
    }
    writeln!(
        f,
        "\n{:<32} {:>8} {:>8} {:>8} {:>8}",
        "lost, as a share of the worth", "in all", "can't be", "can't be", "ours"
    )?;
    writeln!(f, "{:<32} {:>8} {:>8} {:>8}", "", "", "served", "known")?;
    for (kind, parts) in &split.kinds {
        let share = |units: f64| units / parts.units.max(f64::MIN_POSITIVE);
        writeln!(
            f,
            "{kind:<32} {:>8.3} {:>8.3} {:>8.3} {:>8.3}",
            share(parts.lost),
            share(parts.unservable),
            share(parts.unknowable),
            share(parts.ours()),
        )?;
    }
    Ok(())
}

/// What was lost by each cause, as a share of what its kind was worth.
fn write_causes(f: &mut Formatter<'_>, outcomes: &[Outcome]) -> std::fmt::Result {
    let kinds = sums(outcomes, |one| one.kind.clone());
    let mut causes: BTreeMap<(String, String), Sum> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|one| one.lost_units > 0.0) {
        let place = (outcome.kind.clone(), outcome.cause.to_string());
        causes.entry(place).or_default().add(outcome);
    }
    let share = |(kind, _): &(String, String), sum: &Sum| sum.lost_units / kinds[kind].units;
    let mut all: Vec<_> = causes
        .iter()
        .map(|(p, sum)| (share(p, sum), p, sum))
        .collect();
    all.sort_by(|a, b| b.0.total_cmp(&a.0));
    writeln!(f, "\nlost, as a share of its kind's worth, by cause")?;
    for (share, (kind, cause), sum) in all.into_iter().take(ROWS_MAX) {
        writeln!(f, "{share:>8.3} {:>6} {kind}: {cause}", sum.requests)?;
    }
    Ok(())
}

fn write_refusals(f: &mut Formatter<'_>, refusals: &Refusals) -> std::fmt::Result {
    if refusals.by_endpoint.is_empty() {
        return Ok(());
    }
    let by_dispatch = refusals.by_dispatch.iter();
    let by_dispatch: Vec<String> = by_dispatch
        .map(|(n, times)| format!("{times} at try {n}"))
        .collect();
    writeln!(
        f,
        "\n{} dispatches of {} requests were refused since another endpoint didn't help: {}",
        refusals.times(),
        refusals.requests.len(),
        by_dispatch.join(", ")
    )?;
    for (endpoint, of_endpoint) in refusals.most().into_iter().take(ROWS_MAX) {
        writeln!(
            f,
            "{:>8} times by {endpoint}, {} hosts, {} times one that it had refused before, {:.1} s to {:.1} s",
            of_endpoint.times,
            of_endpoint.hosts.len(),
            of_endpoint.again,
            of_endpoint.from_s,
            of_endpoint.to_s,
        )?;
    }
    Ok(())
}

fn write_seconds(f: &mut Formatter<'_>, outcomes: &[Outcome]) -> std::fmt::Result {
    let second = |one: &Outcome| format!("{:05}", one.at_s.max(0.0) as u64);
    let seconds = sums(outcomes, second);
    let mut worst: Vec<_> = seconds.iter().collect();
    worst.sort_by(|a, b| b.1.lost_units.total_cmp(&a.1.lost_units));
    writeln!(f, "\nseconds in which most was lost, after the first line")?;
    for (second, sum) in worst.into_iter().take(SECONDS_MAX) {
        writeln!(
            f,
            "{:>8} s {:>8} requests, {:.3} of their worth lost",
            second.trim_start_matches('0'),
            sum.requests,
            sum.lost_share()
        )?;
    }
    Ok(())
}

fn write_spent(f: &mut Formatter<'_>, spent: &Spent) -> std::fmt::Result {
    let calls: u64 = spent.calls.values().sum();
    writeln!(f, "\n{calls} calls to the store")?;
    for ((topic, reason), count) in &spent.calls {
        writeln!(f, "{count:>8} {topic}: {reason}")?;
    }
    if !spent.bytes.is_empty() {
        writeln!(f, "\nbytes carried, in kB")?;
    }
    for (what, bytes) in &spent.bytes {
        writeln!(f, "{:>8} {what}", bytes / 1_000)?;
    }
    Ok(())
}
