//! Prompts that exceed the free memory of each engine: memory is reserved at several.
//!
//! The prompt fills the reservations in turn and the rest is kept by the first engine. All reservations
//! are made before the prompt is sent, or none is kept; whoever gets only some gives them back at once,
//! so nobody waits while holding and no two prompts can block each other.

use crate::judge::longest_backlog_ms;
use crate::judge::Placing;
use crate::survey::Survey;
use crate::way::Lack;
use crate::way::NoPlace;
use crate::way::Placement;
use crate::way::Reserve;
use crate::way::Scene;

/// Most of an engine's free memory that is reserved: peers may have placed prompts there in the last
/// milliseconds.
const RESERVED_SHARE: f64 = 0.85;

/// Least reservation that is worth a call, in tokens.
const RESERVE_MIN_TOKENS: u64 = 8_000;

/// Most of the first engine's free memory that the prompt's rest may take.
const FIRST_SHARE: f64 = 0.8;

/// Memory decides how many engines it needs; how many more read it, what short streams leave. Bounded by these
/// as well, thirteen waiting prompts were refused as full within 0.13 s when short ones came, with three quarters
/// of the memory free.
pub(crate) fn place(placing: &Placing<'_>) -> Result<Placement, NoPlace> {
    let needed = placing.need.memory_tokens() + placing.spare_tokens();
    let capacity = placing.model.memory_tokens * placing.surveys.len() as u64;
    if (needed as f64) > capacity as f64 * RESERVED_SHARE {
        return Err(NoPlace::TooLarge);
    }
    let first = roomiest(placing).ok_or_else(|| placing.full(Lack::Place))?;
    let at_first = (first.free_tokens as f64 * FIRST_SHARE) as u64;
    let mut missing = needed.saturating_sub(at_first);
    let mut holders = Vec::new();
    let mut reserves = Vec::new();
    for survey in by_room(placing, first) {
        if missing == 0 || holders.len() + 1 >= placing.options.engines_max {
            break;
        }
        let room = (survey.free_tokens as f64 * RESERVED_SHARE) as u64;
        let tokens = room.min(missing.max(RESERVE_MIN_TOKENS));
        if tokens < RESERVE_MIN_TOKENS {
            continue;
        }
        missing = missing.saturating_sub(tokens);
        holders.push(survey);
        reserves.push(Reserve {
            endpoint: survey.key,
            tokens,
        });
    }
    if missing > 0 {
        return Err(placing.full(Lack::Memory {
            needed_tokens: needed,
            engines_max: placing.options.engines_max,
        }));
    }
    let readers = readers(placing, first, holders);
    let width = (readers.len() + 1) as f64;
    let read_ms = placing.model.read_ms(placing.need.prompt_tokens) / width;
    let mut all = vec![first];
    all.extend(&readers);
    let hold_ms = placing.hold_ms(&all, read_ms);
    let ready_ms = all
        .iter()
        .map(|survey| survey.part_ready_ms(read_ms, hold_ms));
    let first_token_ms = hold_ms + ready_ms.fold(0.0, f64::max);
    let harm_units: f64 = all.iter().map(|survey| survey.harm(read_ms)).sum();
    Ok(Placement {
        first: first.key,
        helpers: readers.iter().map(|survey| survey.key).collect(),
        reserves,
        read_ms,
        backlog_ms: longest_backlog_ms(&all),
        hold_ms,
        first_token_ms,
        loss_units: harm_units,
        harm_units,
        is_late: false,
        scene: Scene::default(),
    })
}

fn roomiest<'a>(placing: &'a Placing<'a>) -> Option<&'a Survey<'a>> {
    placing
        .surveys
        .iter()
        .filter(|survey| placing.has_place(survey) && !survey.trial)
        .max_by(|a, b| room(a).total_cmp(&room(b)))
}

/// Tokens of room that one short stream counts for: its pauses are what reading there would break.
const SHORT_WRITER_TOKENS: f64 = 20_000.0;

/// Tokens of room that a millisecond of backlog counts for: a fifth of a second is worth all of an engine's
/// memory, since the prompt waits for the last of its engines.
const BACKLOG_MS_TOKENS: f64 = 1_500.0;

/// Free memory, less for what makes an engine a bad place to read.
fn room(survey: &Survey<'_>) -> f64 {
    let streams = f64::from(survey.running_short) * SHORT_WRITER_TOKENS;
    let backlog = survey.backlog_ms * BACKLOG_MS_TOKENS;
    survey.free_tokens as f64 - streams - backlog
}

fn by_room<'a>(placing: &'a Placing<'a>, first: &Survey<'a>) -> Vec<&'a Survey<'a>> {
    let mut others = helpers(placing, first);
    others.sort_by(|a, b| room(b).total_cmp(&room(a)));
    others
}

fn helpers<'a>(placing: &'a Placing<'a>, first: &Survey<'a>) -> Vec<&'a Survey<'a>> {
    placing
        .surveys
        .iter()
        .filter(|survey| survey.key != first.key && survey.may_help(placing.model))
        .collect()
}

/// The holders, and besides as many engines as may read without short streams of their own.
fn readers<'a>(
    placing: &'a Placing<'a>,
    first: &Survey<'a>,
    holders: Vec<&'a Survey<'a>>,
) -> Vec<&'a Survey<'a>> {
    let mut readers = holders;
    let mut others = helpers(placing, first);
    others.retain(|survey| survey.running_short == 0);
    others.sort_by(|a, b| a.backlog_ms.total_cmp(&b.backlog_ms));
    for survey in others {
        let known = readers.iter().any(|reader| reader.key == survey.key);
        if !known && readers.len() + 1 < placing.engines_max {
            readers.push(survey);
        }
    }
    readers
}
