//! Placement of a long prompt that can't meet its first-token target any more.
//!
//! During overload, long prompts ask for more prefill than all engines can do for ten seconds and
//! more, and the largest, with the least worth for their prefill, are overtaken by all others. When
//! several of them were dispatched at the last possible moment over as many engines as allowed,
//! they occupied nearly all engines of a large fleet for two seconds, just as a phase of short
//! prompts began: of 592 short prompts that arrived within two seconds, 481 were late. Finishing a
//! late prompt faster has no value, so it gets as few engines as can finish it before its deadline,
//! and the others stay free for prompts that can be on time.

use crate::evaluation::Evaluation;
use crate::placement::Placement;
use crate::split_memory;

/// Numbers of engines that are tried, in ascending order. A single engine isn't: it prefills parts
/// of other prompts before a whole prompt.
const WIDTHS: [usize; 10] = [2, 3, 4, 5, 6, 8, 10, 12, 14, 16];

/// Least reduction of harm for which a wider placement is preferred, in units, since each further
/// engine is taken from other prompts.
const MIN_WIDER_GAIN_UNITS: f64 = 0.25;

/// Among the placements that end in time, the one with the least harm to others, or a narrower one
/// with hardly more; `widest` if none ends in time. Always taking the narrowest made engines
/// prefill for four seconds without a break beside streams whose clients disconnect after two.
pub(crate) fn place_late_prompt(evaluation: &mut Evaluation<'_>, widest: Placement) -> Placement {
    let snapshot = widest.snapshot;
    let engines_max = evaluation.engines_max;
    let mut best: Option<Placement> = None;
    for width in WIDTHS.iter().take_while(|width| **width <= engines_max) {
        let placement = placement_for_width(evaluation, *width);
        let Some(placement) = placement.filter(|placement| ends_in_time(evaluation, placement))
        else {
            continue;
        };
        let is_better =
            |best: &Placement| placement.harm_units + MIN_WIDER_GAIN_UNITS < best.harm_units;
        if best.as_ref().is_none_or(is_better) {
            best = Some(placement);
        }
        // No wider placement can reduce the harm by enough.
        if best
            .as_ref()
            .is_some_and(|best| best.harm_units < MIN_WIDER_GAIN_UNITS)
        {
            break;
        }
    }
    Placement {
        is_late: true,
        snapshot,
        ..best.unwrap_or(widest)
    }
}

/// The best placement on `width` engines, or on more if their memory doesn't suffice.
fn placement_for_width(evaluation: &mut Evaluation<'_>, width: usize) -> Option<Placement> {
    evaluation.engines_max = width;
    if evaluation.needs_reservations() {
        return split_memory::place_over_engines(evaluation).ok();
    }
    let prefill_ms = evaluation.model.prefill_ms(evaluation.need.prompt_tokens);
    evaluation.placement_for_width(width, prefill_ms / width as f64)
}

/// Whether the answer should be complete before the deadline.
fn ends_in_time(evaluation: &Evaluation<'_>, placement: &Placement) -> bool {
    let options = evaluation.options;
    let first_token_ms = placement.first_token_ms * options.late_margin_factor;
    first_token_ms + evaluation.decode_ms() <= evaluation.need.deadline_left_ms
}
