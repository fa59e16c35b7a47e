//! Whether the longest prompts of a kind are served as often as the others.

use super::gateway::play;
use super::gateway::Deployment;
use super::gateway::Policy;
use super::Emulator;
use super::Phase;
use super::Prompt;

/// Shares of a kind's prompts that were answered whole: of all, of the largest tenth and of the fifth below it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Served {
    pub(crate) all: f64,
    pub(crate) fifth: f64,
    pub(crate) largest: f64,
}

impl Served {
    /// Of all plays of a deployment together.
    pub(crate) fn of(deployment: &Deployment, phases: &[Phase], aim_ms: f64) -> Self {
        let mut ends: Vec<(u64, bool)> = Vec::new();
        for seed in 1..=deployment.plays {
            let emulator = play(Policy::Turns, deployment, phases, seed);
            ends.extend(ends_of(&emulator, |prompt| prompt.aim_ms == aim_ms));
        }
        ends.sort();
        let at = |share: f64| (ends.len() as f64 * share) as usize;
        Self {
            all: share(&ends),
            fifth: share(&ends[at(0.7)..at(0.9)]),
            largest: share(&ends[at(0.9)..]),
        }
    }
}

/// Size of each prompt of a kind, and whether its answer is whole.
fn ends_of(emulator: &Emulator, is_of_kind: impl Fn(&Prompt) -> bool) -> Vec<(u64, bool)> {
    let stride = emulator.model.stride_steps;
    let all = emulator.prompts.iter().zip(&emulator.fates);
    let of_kind = all.filter(|(prompt, _)| is_of_kind(prompt));
    let end = |prompt: &Prompt, is_whole| (prompt.size_tokens(stride), is_whole);
    of_kind
        .map(|(prompt, fate)| end(prompt, fate.is_whole))
        .collect()
}

fn share(ends: &[(u64, bool)]) -> f64 {
    let served = ends.iter().filter(|(_, is_whole)| *is_whole).count();
    served as f64 / ends.len().max(1) as f64
}
