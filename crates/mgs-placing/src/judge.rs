//! Each way to place a prompt, judged by the worth that it is expected to lose.

use crate::choose::NoPlace;
use crate::choose::Options;
use crate::choose::Placement;
use crate::choose::Scene;
use crate::model::EngineModel;
use crate::need::Need;
use crate::need::PAUSE_CLASSES;
use crate::split;
use crate::survey::late;
use crate::survey::Survey;
use crate::survey::LATE_SHARE;

/// A prompt is small if it takes less than this part of an engine's memory: one in so many.
const SMALL_SHARE: u64 = 6;

/// Numbers of engines that are tried for a prompt that is shared.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 16];

/// Time until a place falls free on a full engine, in milliseconds: half of an average answer of 33
/// events at 45 ms each.
const PLACE_FREE_MS: f64 = 750.0;

/// What is left of how slow engines seem where they are taken to keep to their declared speed: enough to
/// tell them apart.
const DECLARED_BLUR: f64 = 0.01;

/// One decision.
pub(crate) struct Placing<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a Options,
    pub(crate) engines_max: usize,
    pub(crate) surveys: Vec<Survey>,
}

impl Placing<'_> {
    /// The way that loses least.
    pub(crate) fn place(&self) -> Result<Placement, NoPlace> {
        let best = if self.needs_reserves() {
            split::place(self)?
        } else {
            self.best_width()?
        };
        if best.first_token_ms > self.need.left_ms {
            let backlog_ms = best.first_token_ms - self.need.left_ms;
            return Err(NoPlace::TooLate { backlog_ms });
        }
        Ok(Placement {
            scene: self.scene(),
            ..best
        })
    }

    /// The same if engines keep to what their operator declares, for a prompt that would be too late by how
    /// slow they seem. That is learned from first tokens, which also come late when this gateway was paused,
    /// and isn't learned anew where nothing is sent: it tells engines apart and refuses nobody.
    pub(crate) fn place_at_declared_speed(&mut self) -> Result<Placement, NoPlace> {
        for survey in &mut self.surveys {
            let seems_slow = 1.0 + (survey.slowness - 1.0) * DECLARED_BLUR;
            survey.pass_ms *= seems_slow / survey.slowness;
            survey.slowness = seems_slow;
        }
        self.place()
    }

    /// A share of an engine's places, in streams.
    fn places(&self, share: f64) -> f64 {
        (f64::from(self.model.slots) * share).max(1.0)
    }

    /// Engines that are left for a long prompt: without those that the short streams of the moment need,
    /// wherever they are.
    pub(crate) fn room(&self) -> usize {
        let short = |survey: &Survey| f64::from(survey.writers[0] + survey.writers[1]);
        let streams: f64 = self.surveys.iter().map(short).sum();
        let needed = (streams / self.places(self.options.streams_share)).ceil() as usize;
        self.surveys.len().saturating_sub(needed)
    }

    pub(crate) fn scene(&self) -> Scene {
        let count = |is: fn(&Survey) -> bool| self.surveys.iter().filter(|s| is(s)).count();
        let backlog_ms: f64 = self.surveys.iter().map(|survey| survey.backlog_ms).sum();
        Scene {
            engines: self.surveys.len(),
            with_short_streams: count(|survey| survey.writers[0] > 0),
            with_other_streams: count(|survey| survey.writers[0] == 0 && survey.running() > 0),
            room: self.room(),
            without_reading: count(|survey| survey.backlog_ms <= 0.0),
            late_engines: count(|survey| survey.late_parts > 0),
            backlog_ms: backlog_ms as u64,
        }
    }

    /// Whether memory at several engines is needed. A prompt that takes a small part of an engine's memory
    /// rather waits there until others end.
    pub(crate) fn needs_reserves(&self) -> bool {
        !self.is_small() && !self.surveys.iter().any(|survey| self.has_memory(survey))
    }

    fn is_small(&self) -> bool {
        let small_tokens = self.model.memory_tokens / SMALL_SHARE;
        self.need.memory_tokens() < small_tokens
    }

    fn has_memory(&self, survey: &Survey) -> bool {
        let needed = self.need.memory_tokens() + self.options.memory_spare_tokens;
        survey.free_tokens >= needed
    }

    /// Time until there is a place and memory for an answer there, in milliseconds.
    fn place_wait_ms(&self, survey: &Survey) -> f64 {
        let places = self.model.slots.saturating_sub(self.options.slots_spare);
        let over = (survey.running() + 1).saturating_sub(places);
        let turns = f64::from(over) / f64::from(self.model.slots.max(1));
        let memory_ms = match self.has_memory(survey) {
            true => 0.0,
            false => PLACE_FREE_MS,
        };
        turns * PLACE_FREE_MS * 2.0 + memory_ms
    }

    /// Whether an engine may get one more answer to write: it queues no more than it runs.
    pub(crate) fn has_place(&self, survey: &Survey) -> bool {
        survey.running() < self.model.slots * 2
    }

    pub(crate) fn full(&self) -> NoPlace {
        let backlogs = self.surveys.iter().map(|survey| survey.backlog_ms);
        let backlog_ms = backlogs.fold(f64::INFINITY, f64::min).max(PLACE_FREE_MS);
        NoPlace::Full { backlog_ms }
    }

    fn best_width(&self) -> Result<Placement, NoPlace> {
        let read_ms = self.model.read_ms(self.need.prompt_tokens);
        let mut best: Option<Placement> = None;
        for width in WIDTHS {
            if !self.may_share(width, read_ms) {
                break;
            }
            let Some(placement) = self.with_width(width, read_ms / width as f64) else {
                continue;
            };
            let better = match &best {
                Some(best) => placement.loss_units < best.loss_units,
                None => true,
            };
            if better {
                best = Some(placement);
            }
        }
        best.ok_or_else(|| self.full())
    }

    /// Whether a prompt of `read_ms` may be read by `width` engines.
    fn may_share(&self, width: usize, read_ms: f64) -> bool {
        if width == 1 {
            return true;
        }
        let engines_max = self.engines_max.min(self.surveys.len());
        let part_ms = read_ms / width as f64;
        width <= engines_max
            && read_ms >= self.options.share_from_ms
            && part_ms >= self.options.part_min_ms
    }

    pub(crate) fn with_width(&self, width: usize, part_ms: f64) -> Option<Placement> {
        let is_shared = width > 1;
        let first = self.first_for(part_ms, is_shared)?;
        if !is_shared {
            return Some(self.judge_alone(first, part_ms));
        }
        let mut others: Vec<&Survey> = self
            .surveys
            .iter()
            .filter(|survey| survey.key != first.key && !survey.trial)
            .filter(|survey| u32::from(survey.parts) + 1 < self.model.slots)
            .collect();
        if others.len() + 1 < width {
            return None;
        }
        others.sort_by(|a, b| {
            let (a, b) = (self.part_loss(a, part_ms), self.part_loss(b, part_ms));
            a.total_cmp(&b)
        });
        others.truncate(width - 1);
        Some(self.judge_shared(first, &others, part_ms))
    }

    /// The engine that writes: expected loss of its own part, of its place and of its company.
    fn first_for(&self, part_ms: f64, is_shared: bool) -> Option<&Survey> {
        let loss = |survey: &Survey| match is_shared {
            true => self.first_part_loss(survey, part_ms),
            false => self.alone_loss(survey, part_ms),
        };
        self.surveys
            .iter()
            .filter(|survey| self.has_place(survey))
            .filter(|survey| self.is_small() || self.has_memory(survey))
            .min_by(|a, b| loss(a).total_cmp(&loss(b)))
    }

    /// Loss by reading a part there and writing the answer.
    fn first_part_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        let ready_ms = survey.ready_ms(part_ms);
        let wait_ms = self.place_wait_ms(survey);
        let waits = self.late_units(ready_ms + wait_ms) - self.late_units(ready_ms);
        self.part_loss(survey, part_ms) + waits + self.company_loss(survey)
    }

    /// Loss by reading all of the prompt there.
    fn alone_loss(&self, survey: &Survey, read_ms: f64) -> f64 {
        let late = self.late_units(survey.ready_ms(read_ms) + self.place_wait_ms(survey));
        late + survey.harm(read_ms) + self.company_loss(survey) + self.trial_loss(survey)
    }

    /// Loss by reading a part there: the prompt's lateness if this engine were the last to be done,
    /// and the streams there that pause. Engines with less to read are better, also where the part
    /// would overtake what waits.
    fn part_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        let late = self.late_units(survey.ready_ms(part_ms));
        late + survey.harm(part_ms) + self.trial_loss(survey)
    }

    /// One request at a time shows whether an engine has recovered.
    fn trial_loss(&self, survey: &Survey) -> f64 {
        if !survey.trial {
            return 0.0;
        }
        self.need.units() * f64::from(1 + survey.running().min(4))
    }

    /// What it costs others that this answer is written there: short streams belong together, the more
    /// there are the better, so that engines with few fall free again; other streams belong together
    /// apart from them.
    fn company_loss(&self, survey: &Survey) -> f64 {
        let short = survey.writers[0];
        let other = survey.running() - u32::from(short);
        if self.need.pause_class() < PAUSE_CLASSES - 1 {
            let alike = short + survey.writers[1];
            let missing = 1.0 - f64::from(alike) / self.places(self.options.pack_share);
            // Who writes little takes an engine from others for as much less, and isn't to be lost for it.
            let taken = self.need.units().min(1.0);
            return self.options.open_units * missing.max(0.0) * taken;
        }
        if short > 0 {
            return self.options.open_units;
        }
        self.options.open_other_units / (1.0 + f64::from(other))
    }

    /// What the prompt loses if its first token comes after `first_token_ms`, in units. One whose aim has
    /// passed has only its end to lose; it isn't worth more harm to others than that.
    fn late_units(&self, first_token_ms: f64) -> f64 {
        let need = self.need;
        let blur = self.options.blur;
        let left_ms = need.left_ms.max(1.0);
        let lost = (1.0 - LATE_SHARE) * late(first_token_ms, left_ms, blur);
        if need.aim_ms <= 0.0 {
            let waits = self.options.wait_units * (1.0 - LATE_SHARE) * first_token_ms / left_ms;
            return need.units() * (lost + waits);
        }
        let misses = LATE_SHARE * late(first_token_ms, need.aim_ms, blur);
        let waits = self.options.wait_units * first_token_ms / need.aim_ms;
        need.units() * (misses + lost + waits)
    }

    fn judge_alone(&self, first: &Survey, read_ms: f64) -> Placement {
        Placement {
            first: first.key,
            helpers: Vec::new(),
            reserves: Vec::new(),
            read_ms,
            backlog_ms: first.backlog_ms,
            hold_ms: 0.0,
            first_token_ms: first.ready_ms(read_ms) + self.place_wait_ms(first),
            loss_units: self.alone_loss(first, read_ms),
            is_late: false,
            scene: Scene::default(),
        }
    }

    fn judge_shared(&self, first: &Survey, others: &[&Survey], part_ms: f64) -> Placement {
        let mut readers = vec![first];
        readers.extend(others);
        let hold_ms = self.hold_ms(&readers, part_ms);
        let mut ready_ms: f64 = 0.0;
        let mut loss_units = self.company_loss(first);
        for survey in &readers {
            ready_ms = ready_ms.max(survey.part_ready_ms(part_ms, hold_ms));
            loss_units += survey.harm(part_ms) + self.options.engine_units;
        }
        let first_token_ms = hold_ms + ready_ms + self.place_wait_ms(first);
        loss_units += self.late_units(first_token_ms);
        loss_units += self.overtake_loss(&readers, part_ms, hold_ms);
        Placement {
            first: first.key,
            helpers: others.iter().map(|survey| survey.key).collect(),
            reserves: Vec::new(),
            read_ms: part_ms,
            backlog_ms: longest_backlog_ms(&readers),
            hold_ms,
            first_token_ms,
            loss_units,
            is_late: false,
            scene: Scene::default(),
        }
    }

    /// How long its engines need for what was placed before, within bounds.
    pub(crate) fn hold_ms(&self, readers: &[&Survey], part_ms: f64) -> f64 {
        let longest_ms = longest_backlog_ms(readers);
        longest_ms.min(part_ms * self.options.hold_factor)
    }

    /// What earlier prompts lose by this one's overtaking them.
    fn overtake_loss(&self, readers: &[&Survey], part_ms: f64, hold_ms: f64) -> f64 {
        let overtaken = readers.iter().filter(|survey| survey.backlog_ms > hold_ms);
        let share = overtaken.count() as f64 / readers.len() as f64;
        share * part_ms / 1e3 * self.options.overtake_units
    }
}

/// The longest backlog among some engines, in milliseconds.
pub(crate) fn longest_backlog_ms(readers: &[&Survey]) -> f64 {
    let backlogs = readers.iter().map(|survey| survey.backlog_ms);
    backlogs.fold(0.0, f64::max)
}
