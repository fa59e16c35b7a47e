//! Formats the account for printing.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::breakdown::LossBreakdown;
use super::outcome::EndClass;
use super::outcome::Outcome;
use super::refusals::HelpRefusals;
use super::share_refusals::ShareRefusals;
use super::usage::ResourceUsage;
use super::Account;

/// Most causes and endpoints that are listed, in descending order.
const MAX_ROWS: usize = 12;

/// Most seconds that are listed, in descending order of loss.
const MAX_SECONDS: usize = 6;

/// Totals of a group of requests.
#[derive(Debug, Default)]
struct Totals {
    requests: usize,
    end_counts: BTreeMap<EndClass, usize>,
    units: f64,
    lost_units: f64,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        *self.end_counts.entry(outcome.end_class()).or_default() += 1;
        self.units += outcome.units;
        self.lost_units += outcome.lost_units;
    }

    fn end_share(&self, end_class: EndClass) -> f64 {
        let count = self.end_counts.get(&end_class).copied().unwrap_or(0);
        count as f64 / self.requests.max(1) as f64
    }

    fn lost_share(&self) -> f64 {
        self.lost_units / self.units.max(f64::MIN_POSITIVE)
    }
}

/// Totals of the requests that share a value of `name`.
fn totals_by(outcomes: &[Outcome], name: impl Fn(&Outcome) -> String) -> BTreeMap<String, Totals> {
    let mut groups: BTreeMap<String, Totals> = BTreeMap::new();
    for outcome in outcomes {
        groups.entry(name(outcome)).or_default().add(outcome);
    }
    groups
}

impl Display for Account {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} requests at {} hosts, {} more that were not to be served",
            self.outcomes.len(),
            self.hosts,
            self.ineligible
        )?;
        let group_by = |name: fn(&Outcome) -> String| totals_by(&self.outcomes, name);
        write_totals(f, "kind", &group_by(|outcome| outcome.kind.clone()))?;
        write_totals(
            f,
            "length of prompt",
            &group_by(|outcome| outcome.length_label.to_string()),
        )?;
        write_totals(
            f,
            "availability zone",
            &group_by(|outcome| outcome.zone.clone()),
        )?;
        write_breakdown(f, &self.breakdown)?;
        write_causes(f, &self.outcomes)?;
        write_refusals(f, &self.refusals)?;
        write_share_refusals(f, &self.share_refusals)?;
        write_seconds(f, &self.outcomes)?;
        write_usage(f, &self.usage)
    }
}

fn write_totals(
    f: &mut Formatter<'_>,
    title: &str,
    groups: &BTreeMap<String, Totals>,
) -> std::fmt::Result {
    writeln!(
        f,
        "\n{title:<32} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "requests", "on time", "late", "refused", "failed", "lost"
    )?;
    for (name, totals) in groups {
        writeln!(
            f,
            "{name:<32} {:>8} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3}",
            totals.requests,
            totals.end_share(EndClass::OnTime),
            totals.end_share(EndClass::Late),
            totals.end_share(EndClass::Refused),
            totals.end_share(EndClass::Failed),
            totals.lost_share(),
        )?;
    }
    Ok(())
}

/// Prints the shares of unservable, unforeseeable and avoidable loss.
fn write_breakdown(f: &mut Formatter<'_>, breakdown: &LossBreakdown) -> std::fmt::Result {
    if !breakdown.has_engines {
        return writeln!(
            f,
            "\nthe logs declare no engines, so the unservable share can't be computed"
        );
    }
    writeln!(
        f,
        "\n{:<32} {:>8} {:>8} {:>8} {:>8}",
        "lost, as a share of the worth", "total", "can't be", "can't be", "rest"
    )?;
    writeln!(f, "{:<32} {:>8} {:>8} {:>8}", "", "", "served", "foreseen")?;
    for (kind, loss) in &breakdown.kinds {
        let share = |units: f64| units / loss.units.max(f64::MIN_POSITIVE);
        writeln!(
            f,
            "{kind:<32} {:>8.3} {:>8.3} {:>8.3} {:>8.3}",
            share(loss.lost_units),
            share(loss.unservable_units),
            share(loss.unforeseeable_units),
            share(loss.avoidable_units()),
        )?;
    }
    Ok(())
}

/// Prints the loss by cause, as a share of the worth of its kind.
fn write_causes(f: &mut Formatter<'_>, outcomes: &[Outcome]) -> std::fmt::Result {
    let kinds = totals_by(outcomes, |outcome| outcome.kind.clone());
    let mut causes: BTreeMap<(String, String), Totals> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.lost_units > 0.0) {
        let key = (outcome.kind.clone(), outcome.cause.to_string());
        causes.entry(key).or_default().add(outcome);
    }
    let share =
        |(kind, _): &(String, String), totals: &Totals| totals.lost_units / kinds[kind].units;
    let mut all: Vec<_> = causes
        .iter()
        .map(|(key, totals)| (share(key, totals), key, totals))
        .collect();
    all.sort_by(|a, b| b.0.total_cmp(&a.0));
    writeln!(f, "\nlost, as a share of its kind's worth, by cause")?;
    for (share, (kind, cause), totals) in all.into_iter().take(MAX_ROWS) {
        writeln!(f, "{share:>8.3} {:>6} {kind}: {cause}", totals.requests)?;
    }
    Ok(())
}

fn write_refusals(f: &mut Formatter<'_>, refusals: &HelpRefusals) -> std::fmt::Result {
    if refusals.by_endpoint.is_empty() {
        return Ok(());
    }
    let by_dispatch = refusals.by_dispatch.iter();
    let by_dispatch: Vec<String> = by_dispatch
        .map(|(dispatch, count)| format!("{count} at try {dispatch}"))
        .collect();
    writeln!(
        f,
        "\n{} dispatches of {} requests were refused since another endpoint didn't help: {}",
        refusals.count(),
        refusals.requests.len(),
        by_dispatch.join(", ")
    )?;
    for (endpoint, endpoint_refusals) in refusals.by_count().into_iter().take(MAX_ROWS) {
        writeln!(
            f,
            "{:>8} times by {endpoint}, {} hosts, {} times one that it had refused before, {:.1} s to {:.1} s",
            endpoint_refusals.count,
            endpoint_refusals.hosts.len(),
            endpoint_refusals.repeats,
            endpoint_refusals.first_s,
            endpoint_refusals.last_s,
        )?;
    }
    Ok(())
}

fn write_share_refusals(f: &mut Formatter<'_>, refusals: &ShareRefusals) -> std::fmt::Result {
    if refusals.by_organisation.is_empty() {
        return Ok(());
    }
    writeln!(
        f,
        "\nprompts refused since their organisation's share was used up"
    )?;
    for (organisation, count) in refusals.by_count().into_iter().take(MAX_ROWS) {
        writeln!(f, "{count:>8} of {organisation}")?;
    }
    Ok(())
}

fn write_seconds(f: &mut Formatter<'_>, outcomes: &[Outcome]) -> std::fmt::Result {
    let second = |outcome: &Outcome| format!("{:05}", outcome.arrived_s.max(0.0) as u64);
    let seconds = totals_by(outcomes, second);
    let mut worst: Vec<_> = seconds.iter().collect();
    worst.sort_by(|a, b| b.1.lost_units.total_cmp(&a.1.lost_units));
    writeln!(
        f,
        "\nseconds with the most loss, counted from the first line"
    )?;
    for (second, totals) in worst.into_iter().take(MAX_SECONDS) {
        writeln!(
            f,
            "{:>8} s {:>8} requests, {:.3} of their worth lost",
            second.trim_start_matches('0'),
            totals.requests,
            totals.lost_share()
        )?;
    }
    Ok(())
}

fn write_usage(f: &mut Formatter<'_>, usage: &ResourceUsage) -> std::fmt::Result {
    let calls: u64 = usage.calls.values().sum();
    writeln!(f, "\n{calls} calls to the store")?;
    for ((topic, reason), count) in &usage.calls {
        writeln!(f, "{count:>8} {topic}: {reason}")?;
    }
    if !usage.bytes.is_empty() {
        writeln!(f, "\nbytes carried, in kB")?;
    }
    for (content, bytes) in &usage.bytes {
        writeln!(f, "{:>8} {content}", bytes / 1_000)?;
    }
    Ok(())
}
