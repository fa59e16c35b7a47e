//! Shares of completed answers by size of the request.

use super::gateway::run;
use super::gateway::Deployment;
use super::gateway::Policy;
use super::Emulator;
use super::Phase;
use super::Prompt;

/// Shares of one kind's prompts whose answers are complete.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnsweredShares {
    /// Of all prompts of the kind.
    pub(crate) all: f64,
    /// Of the fifth below the largest tenth.
    pub(crate) next_largest_fifth: f64,
    /// Of the largest tenth.
    pub(crate) largest_tenth: f64,
}

impl AnsweredShares {
    /// The shares over all runs of a deployment, of the prompts with this first-token target.
    pub(crate) fn of(deployment: &Deployment, phases: &[Phase], ttft_target_ms: f64) -> Self {
        let mut answers: Vec<(u64, bool)> = Vec::new();
        for seed in 1..=deployment.runs {
            let emulator = run(Policy::Gateway, deployment, phases, seed);
            answers.extend(size_and_completion(&emulator, |prompt| {
                prompt.ttft_target_ms == ttft_target_ms
            }));
        }
        answers.sort();
        let index_at = |share: f64| (answers.len() as f64 * share) as usize;
        Self {
            all: share(&answers),
            next_largest_fifth: share(&answers[index_at(0.7)..index_at(0.9)]),
            largest_tenth: share(&answers[index_at(0.9)..]),
        }
    }
}

/// Size of each prompt of a kind, and whether its answer is complete.
fn size_and_completion(
    emulator: &Emulator,
    is_of_kind: impl Fn(&Prompt) -> bool,
) -> Vec<(u64, bool)> {
    let stride = emulator.model.stride_steps;
    let all = emulator.prompts.iter().zip(&emulator.outcomes);
    let of_kind = all.filter(|(prompt, _)| is_of_kind(prompt));
    let answer = |prompt: &Prompt, is_complete| (prompt.size_tokens(stride), is_complete);
    of_kind
        .map(|(prompt, outcome)| answer(prompt, outcome.is_complete))
        .collect()
}

fn share(answers: &[(u64, bool)]) -> f64 {
    let complete = answers
        .iter()
        .filter(|(_, is_complete)| *is_complete)
        .count();
    complete as f64 / answers.len().max(1) as f64
}
