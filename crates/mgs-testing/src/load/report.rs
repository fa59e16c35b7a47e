//! The table for people and the JSON line for machines.

use std::fmt::Write;

use serde_json::json;
use serde_json::Map;
use serde_json::Value;

use crate::load::figures::Figures;
use crate::load::figures::PhaseFigures;
use crate::load::figures::Quantiles;
use crate::load::scenario::Options;
use crate::load::workload::BANDS;

/// A policy's name and its figures.
#[derive(Debug, Clone, PartialEq)]
pub struct Named {
    /// Name of the policy.
    pub name: String,
    /// Its figures.
    pub figures: Figures,
}

/// The table.
pub fn table(options: &Options, all: &[Named]) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{:?}, seed {}, {} s of the model at {} times its speed; {} engines, {} gateways, \
         {} organisations; times in the model's milliseconds",
        options.scenario,
        options.seed,
        options.run_s,
        options.time_scale,
        options.engines,
        options.gateways,
        options.organisations,
    );
    for named in all {
        policy(&mut text, named);
    }
    text
}

fn policy(text: &mut String, named: &Named) {
    let figures = &named.figures;
    let _ = writeln!(text, "\n{}", named.name);
    let _ = writeln!(
        text,
        "  {:<12}{:>8}{:>9}{:>9}{:>9}",
        "first token", "answers", "p50", "p95", "p99"
    );
    for ((_, band), at) in BANDS.iter().zip(&figures.first_token) {
        line(text, band, at);
    }
    line(text, "all short", &figures.short);
    let _ = writeln!(
        text,
        "  slowdown of short p95 {:.2}, goodput {:.0} tokens/s, fairness {:.3}, cached {:.1}%",
        figures.short_slowdown_p95,
        figures.goodput_tokens_per_s,
        figures.fairness_index,
        figures.cache_hit_share * 100.0,
    );
    let _ = writeln!(
        text,
        "  refused {:?} ({} without a time to come back), other ends {:?}, callers late p99 {} ms",
        figures.refused, figures.refused_without_time, figures.failed, figures.lateness_p99_ms,
    );
    if figures.phases.len() > 1 {
        figures
            .phases
            .iter()
            .for_each(|figures| phase(text, figures));
    }
    if let Some(recovery_s) = figures.recovery_s {
        let _ = writeln!(text, "  back to normal {recovery_s} s after the overload");
    }
}

fn line(text: &mut String, name: &str, at: &Quantiles) {
    let _ = writeln!(
        text,
        "  {:<12}{:>8}{:>9}{:>9}{:>9}",
        name, at.count, at.p50_ms, at.p95_ms, at.p99_ms
    );
}

fn phase(text: &mut String, phase: &PhaseFigures) {
    let _ = writeln!(
        text,
        "  {:<10} goodput {:>8.0} tokens/s, short p95 {:>6}, refused {:>4.1}%, least share of due \
         {:.2}",
        phase.name,
        phase.goodput_tokens_per_s,
        phase.short.p95_ms,
        phase.refused_share * 100.0,
        phase.least_share_of_due,
    );
}

/// The last line.
pub fn json(all: &[Named]) -> String {
    let policies: Map<String, Value> = all
        .iter()
        .map(|named| (named.name.clone(), policy_json(&named.figures)))
        .collect();
    json!({ "policies": policies }).to_string()
}

fn policy_json(figures: &Figures) -> Value {
    let bands: Map<String, Value> = BANDS
        .iter()
        .zip(&figures.first_token)
        .map(|((_, band), at)| ((*band).to_string(), quantiles(at)))
        .collect();
    json!({
        "ttft_ms": bands,
        "short_ttft_ms": quantiles(&figures.short),
        "short_slowdown_p95": figures.short_slowdown_p95,
        "goodput_tokens_per_s": figures.goodput_tokens_per_s,
        "fairness_index": figures.fairness_index,
        "cache_hit_share": figures.cache_hit_share,
        "refused": figures.refused,
        "failed": figures.failed,
        "phases": figures.phases.iter().map(phase_json).collect::<Vec<_>>(),
        "recovery_s": figures.recovery_s,
    })
}

fn quantiles(at: &Quantiles) -> Value {
    json!({"p50": at.p50_ms, "p95": at.p95_ms, "p99": at.p99_ms, "count": at.count})
}

fn phase_json(phase: &PhaseFigures) -> Value {
    json!({
        "name": phase.name,
        "goodput_tokens_per_s": phase.goodput_tokens_per_s,
        "short_ttft_ms": quantiles(&phase.short),
        "refused_share": phase.refused_share,
        "least_share_of_due": phase.least_share_of_due,
    })
}
