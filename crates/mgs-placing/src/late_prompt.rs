//! Where a long prompt goes that can't be on time any more.
//!
//! The load that this answers: for ten seconds and more, audits ask for more reading than all engines have,
//! and the largest of them, worth least for their reading, are passed by all others. Sent at their last
//! chance, over as many engines as may be, several of them took nearly all engines of a large fleet for two
//! seconds, just as the next phase of short prompts began: of 592 short prompts that came within two seconds
//! 481 were late. Nobody gains from a late prompt's being fast, so it gets as few engines as can read it
//! before its deadline, and the other engines stay free for those that can be on time.

use crate::evaluation::Evaluation;
use crate::placement::Placement;
use crate::split_memory;

/// Numbers of engines that are tried, the least first. Not one: parts of other prompts go before a whole one.
const WIDTHS: [usize; 10] = [2, 3, 4, 5, 6, 8, 10, 12, 14, 16];

/// A wider way must spare others this much, in units, to be taken: an engine more is one less for the others.
const MIN_WIDER_GAIN_UNITS: f64 = 0.25;

/// Among the ways that end in time, the one that harms others least, and of those the narrowest; else `widest`.
/// The narrowest in any case had engines read for four seconds at a stretch beside streams whose clients leave
/// after two.
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
        // Nothing wider can spare others as much any more.
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

fn placement_for_width(evaluation: &mut Evaluation<'_>, width: usize) -> Option<Placement> {
    evaluation.engines_max = width;
    if evaluation.needs_reservations() {
        return split_memory::place_over_engines(evaluation).ok();
    }
    let prefill_ms = evaluation.model.prefill_ms(evaluation.need.prompt_tokens);
    evaluation.placement_for_width(width, prefill_ms / width as f64)
}

fn ends_in_time(evaluation: &Evaluation<'_>, placement: &Placement) -> bool {
    let options = evaluation.options;
    let reading_ms = placement.first_token_ms * options.late_margin_factor;
    reading_ms + evaluation.decode_ms() <= evaluation.need.deadline_left_ms
}
