//! Each way to place a prompt, judged by the worth that it is expected to lose.

use crate::board::Elsewhere;
use crate::board::Rate;
use crate::choose::Lot;
use crate::crowd;
use crate::crowd::Crowd;
use crate::model::EngineModel;
use crate::need::Need;
use crate::need::LATE_SHARE;
use crate::options::Options;
use crate::survey::late;
use crate::survey::Survey;
use crate::way::Lack;
use crate::way::NoPlace;
use crate::way::Placement;
use crate::way::Scene;

/// A prompt is small if it takes less than this part of an engine's memory: one in so many.
const SMALL_SHARE: u64 = 6;

/// Engines whose parts would end within this share of the aim of each other are as good for a part.
const PART_STEP_SHARE: f64 = 0.02;

/// Numbers of engines that are tried for a prompt that is shared.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 16];

/// One decision.
#[derive(Debug)]
pub(crate) struct Placing<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a Options,
    pub(crate) engines_max: usize,
    pub(crate) surveys: Vec<Survey<'a>>,
    /// What its being on time is worth, in units.
    pub(crate) units: f64,
    /// Passes of an engine that its answer is expected to take.
    pub(crate) passes: f64,
    /// Time that peers' placements take to be known here, in milliseconds.
    pub(crate) unseen_ms: f64,
    /// What peers place meanwhile.
    pub(crate) elsewhere: Elsewhere,
    /// By which it differs from others' choices.
    pub(crate) lot: Lot,
    /// Whether it is long; see [`Options::long_aim_share`].
    pub(crate) is_long: bool,
    /// Whether its answer needs so much of its time that what is read beside it counts.
    pub(crate) is_tight: bool,
}

impl Placing<'_> {
    /// A share of an engine's places, in streams.
    fn places(&self, share: f64) -> f64 {
        (f64::from(self.model.slots) * share).max(1.0)
    }

    /// Engines that are left for a long prompt: without those that the short streams of the moment need,
    /// wherever they are.
    pub(crate) fn room(&self) -> usize {
        let short = |survey: &Survey<'_>| f64::from(survey.running_short);
        let streams: f64 = self.surveys.iter().map(short).sum();
        let needed = (streams / self.places(self.options.streams_share)).ceil() as usize;
        self.surveys.len().saturating_sub(needed)
    }

    /// Places of all engines that are taken, in thousandths.
    fn places_taken_permille(&self) -> u32 {
        let running: u32 = self.surveys.iter().map(|survey| survey.running).sum();
        let places = self.model.slots * self.surveys.len() as u32;
        running * 1_000 / places.max(1)
    }

    pub(crate) fn scene(&self) -> Scene {
        let count = |is: fn(&Survey<'_>) -> bool| self.surveys.iter().filter(|s| is(s)).count();
        let backlog_ms: f64 = self.surveys.iter().map(|survey| survey.backlog_ms).sum();
        Scene {
            engines: self.surveys.len(),
            with_short_streams: count(|survey| survey.running_short > 0),
            with_other_streams: count(|survey| survey.running_short == 0 && survey.running > 0),
            room: self.room(),
            without_reading: count(|survey| survey.backlog_ms <= 0.0),
            late_engines: count(|survey| survey.held.late_parts > 0),
            backlog_ms: backlog_ms as u64,
            places_taken_permille: self.places_taken_permille(),
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

    fn has_memory(&self, survey: &Survey<'_>) -> bool {
        survey.free_tokens >= self.need.memory_tokens() + self.spare_tokens()
    }

    /// Memory of an engine that is kept free of promises, in tokens.
    pub(crate) fn spare_tokens(&self) -> u64 {
        (self.model.memory_tokens as f64 * self.options.memory_spare_share) as u64
    }

    /// Time until a stream ends on an engine, if those there began one after the other, in milliseconds.
    fn place_free_ms(&self, survey: &Survey<'_>) -> f64 {
        self.answer_ms(survey) / 2.0
    }

    /// Time that an answer takes to be written there, in milliseconds: the passes that those there take on
    /// average, with the reading that the engine gets as of late.
    fn answer_ms(&self, survey: &Survey<'_>) -> f64 {
        survey.held.mean_passes() * survey.busy_pass_ms
    }

    /// Time that its own answer takes to be written on an engine half full, in milliseconds.
    pub(crate) fn write_ms(&self) -> f64 {
        self.passes * self.model.usual_pass_ms() * self.options.write_factor
    }

    /// Time that its answer takes at least, in milliseconds: a part of what its client expects, on an engine that
    /// reads nothing.
    pub(crate) fn least_write_ms(&self) -> f64 {
        let believed = self.need.expected_tokens as f64 * self.options.believed_share;
        self.model.passes(believed as u64) as f64 * self.model.bare_pass_ms()
    }

    /// Time until there is a place and memory for an answer there, in milliseconds.
    fn place_wait_ms(&self, survey: &Survey<'_>) -> f64 {
        self.wait_ms(survey, self.model.slots)
    }

    /// The same if some places are kept free, which is what an engine is chosen by.
    fn place_price_ms(&self, survey: &Survey<'_>) -> f64 {
        let spare = (f64::from(self.model.slots) * self.options.slots_spare_share) as u32;
        self.wait_ms(survey, self.model.slots - spare)
    }

    fn wait_ms(&self, survey: &Survey<'_>, places: u32) -> f64 {
        let over = (survey.running + 1).saturating_sub(places);
        let turns = f64::from(over) / f64::from(self.model.slots.max(1));
        let memory_ms = match self.has_memory(survey) {
            true => 0.0,
            false => self.place_free_ms(survey),
        };
        turns * self.answer_ms(survey) + memory_ms
    }

    /// Whether an engine may get one more answer to write: it queues no more than it runs.
    pub(crate) fn has_place(&self, survey: &Survey<'_>) -> bool {
        survey.leads && survey.running < self.model.slots * 2
    }

    pub(crate) fn full(&self, lack: Lack) -> NoPlace {
        let backlogs = self.surveys.iter().map(|survey| survey.backlog_ms);
        let backlog_ms = backlogs.fold(f64::INFINITY, f64::min);
        let free = self.surveys.iter().map(|survey| self.place_free_ms(survey));
        let backlog_ms = backlog_ms.max(free.fold(f64::INFINITY, f64::min));
        NoPlace::Full { backlog_ms, lack }
    }

    pub(crate) fn best_width(&self) -> Result<Placement, NoPlace> {
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
        best.ok_or_else(|| self.full(Lack::Place))
    }

    /// Whether a prompt of `read_ms` may be read by `width` engines.
    fn may_share(&self, width: usize, read_ms: f64) -> bool {
        if width == 1 {
            return true;
        }
        let engines_max = self.engines_max.min(self.surveys.len());
        let part_ms = read_ms / width as f64;
        width <= engines_max
            && read_ms >= self.options.share_from_passes * self.model.bare_pass_ms()
            && part_ms >= self.options.part_min_passes * self.model.bare_pass_ms()
    }

    pub(crate) fn with_width(&self, width: usize, part_ms: f64) -> Option<Placement> {
        let is_shared = width > 1;
        if !is_shared {
            let first = self.first_alone(part_ms)?;
            return Some(self.judge_alone(first, part_ms));
        }
        let first = self.first_shared(part_ms)?;
        let mut others: Vec<&Survey<'_>> = self
            .surveys
            .iter()
            .filter(|survey| survey.key != first.key && survey.may_help(self.model))
            .collect();
        if others.len() + 1 < width {
            return None;
        }
        others.sort_by_cached_key(|survey| self.part_rank(survey, part_ms));
        others.truncate(width - 1);
        Some(self.judge_shared(first, &others, part_ms))
    }

    /// Engines that may write the answer.
    fn writers(&self) -> impl Iterator<Item = &Survey<'_>> {
        let with_place = self.surveys.iter().filter(|survey| self.has_place(survey));
        with_place.filter(|survey| self.is_small() || self.has_memory(survey))
    }

    /// The engine that writes a prompt whose reading is shared: the least loss of its own part, of its place and of
    /// its company.
    fn first_shared(&self, part_ms: f64) -> Option<&Survey<'_>> {
        let loss = |survey: &Survey<'_>| self.first_part_loss(survey, part_ms);
        self.pick(loss, part_ms, &self.elsewhere.shared)
    }

    /// The engine that reads and writes a whole prompt: one of those with the least loss, the others left to whoever
    /// chooses at the same moment.
    fn first_alone(&self, read_ms: f64) -> Option<&Survey<'_>> {
        let loss = |survey: &Survey<'_>| self.alone_loss(survey, read_ms);
        self.pick(loss, read_ms, &self.elsewhere.whole)
    }

    /// One of the engines with the least loss for a prompt that is read there for `read_ms`, while `others` are placed
    /// elsewhere.
    fn pick(
        &self,
        loss: impl Fn(&Survey<'_>) -> f64,
        read_ms: f64,
        others: &Rate,
    ) -> Option<&Survey<'_>> {
        let writers: Vec<&Survey<'_>> = self.writers().collect();
        let losses: Vec<f64> = writers.iter().map(|survey| loss(survey)).collect();
        let best = losses
            .iter()
            .zip(&writers)
            .min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let crowd = Crowd {
            unseen: others.per_ms * self.unseen_ms * self.lot.share,
            step_units: self.step_units(best.1, read_ms, others) * self.options.crowd_factor,
            draw: self.lot.draw,
        };
        let picked = crowd::pick(&losses, &crowd)?;
        writers.get(picked).copied()
    }

    /// What it loses for each prompt that somebody else has placed on its engine meanwhile, in units.
    fn step_units(&self, survey: &Survey<'_>, read_ms: f64, others: &Rate) -> f64 {
        let alone_ms = survey.ready_ms(read_ms) + self.place_price_ms(survey);
        let with_one_ms = alone_ms + others.mean_read_ms * survey.slowness;
        let waits = self.late_units(survey, with_one_ms) - self.late_units(survey, alone_ms);
        waits + survey.harm(read_ms + others.mean_read_ms) - survey.harm(read_ms)
    }

    /// Loss by reading a part there and writing the answer.
    fn first_part_loss(&self, survey: &Survey<'_>, part_ms: f64) -> f64 {
        let ready_ms = survey.ready_ms(part_ms);
        let wait_ms = self.place_price_ms(survey);
        let waits = self.late_units(survey, ready_ms + wait_ms) - self.late_units(survey, ready_ms);
        self.part_loss(survey, part_ms) + waits + self.company_loss(survey)
    }

    /// Loss by reading all of the prompt there.
    fn alone_loss(&self, survey: &Survey<'_>, read_ms: f64) -> f64 {
        let late = self.late_units(
            survey,
            survey.ready_ms(read_ms) + self.place_price_ms(survey),
        );
        late + survey.harm(read_ms) + self.company_loss(survey) + self.trial_loss(survey)
    }

    /// Order of an engine among those that may read a part: its loss in steps, so that engines that differ by little
    /// are as good, and the first candidates of them are taken. Two gateways that choose at the same moment then
    /// take engines that lie together each, and seldom the same; ordered to the last digit, both took the same
    /// sixteen.
    fn part_rank(&self, survey: &Survey<'_>, part_ms: f64) -> u64 {
        let step_units = self.units * self.options.wait_units * PART_STEP_SHARE;
        (self.part_loss(survey, part_ms) / step_units.max(f64::MIN_POSITIVE)).max(0.0) as u64
    }

    /// Loss by reading a part there: the prompt's lateness if this engine were the last to be done,
    /// and the streams there that pause. Engines with less to read are better, also where the part
    /// would overtake what waits.
    fn part_loss(&self, survey: &Survey<'_>, part_ms: f64) -> f64 {
        let late = self.late_units(survey, survey.ready_ms(part_ms));
        late + survey.harm(part_ms) + self.trial_loss(survey)
    }

    /// One request at a time shows whether an engine has recovered.
    fn trial_loss(&self, survey: &Survey<'_>) -> f64 {
        if !survey.trial {
            return 0.0;
        }
        self.units * f64::from(1 + survey.running.min(4))
    }

    /// What it costs others that this answer is written there: short streams belong together, the more
    /// there are the better, so that engines with few fall free again; other streams belong together
    /// apart from them. So do short prompts' long answers, which take long and begin seldom: where these are
    /// together, engines read little beside them, and they end in time.
    fn company_loss(&self, survey: &Survey<'_>) -> f64 {
        let context_tokens = self.need.prompt_tokens as f64;
        self.place_loss(survey) + survey.writer_harm(context_tokens)
    }

    fn place_loss(&self, survey: &Survey<'_>) -> f64 {
        if !self.is_long {
            let alike = f64::from(survey.running_alike(self.is_tight));
            let missing = 1.0 - alike / self.places(self.options.pack_share);
            // Who writes little takes an engine from others for as much less, and isn't to be lost for it.
            let taken = self.units.min(1.0);
            return self.options.open_units * missing.max(0.0) * taken;
        }
        if survey.running_short > 0 {
            return self.options.open_units;
        }
        self.options.open_other_units / (1.0 + f64::from(survey.running_long()))
    }

    /// What the prompt loses if its first token comes after `first_token_ms` on an engine that writes it, in
    /// units. One whose aim has passed has only its end to lose; it isn't worth more harm to others than that.
    fn late_units(&self, writer: &Survey<'_>, first_token_ms: f64) -> f64 {
        let need = self.need;
        let blur = self.options.blur;
        let left_ms = need.left_ms.max(1.0);
        let end_ms = first_token_ms + self.passes * writer.busy_pass_ms;
        let lost = (1.0 - LATE_SHARE) * late(first_token_ms, left_ms, blur)
            + self.options.end_share * late(end_ms, left_ms, blur);
        if need.aim_ms <= 0.0 {
            let waits = self.options.wait_units * (1.0 - LATE_SHARE) * first_token_ms / left_ms;
            return self.units * (lost + waits);
        }
        let misses = LATE_SHARE * late(first_token_ms, need.aim_ms, blur);
        let waits = self.options.wait_units * first_token_ms / need.aim_ms;
        self.units * (misses + lost + waits)
    }

    fn judge_alone(&self, first: &Survey<'_>, read_ms: f64) -> Placement {
        Placement {
            first: first.key,
            helpers: Vec::new(),
            reserves: Vec::new(),
            read_ms,
            backlog_ms: first.backlog_ms,
            hold_ms: 0.0,
            first_token_ms: first.ready_ms(read_ms) + self.place_wait_ms(first),
            loss_units: self.alone_loss(first, read_ms),
            harm_units: first.harm(read_ms),
            is_late: false,
            scene: Scene::default(),
        }
    }

    fn judge_shared(&self, first: &Survey<'_>, others: &[&Survey<'_>], part_ms: f64) -> Placement {
        let mut readers = vec![first];
        readers.extend(others);
        let hold_ms = self.hold_ms(&readers, part_ms);
        let ready = readers
            .iter()
            .map(|survey| survey.part_ready_ms(part_ms, hold_ms));
        let ready_ms = ready.fold(0.0, f64::max);
        let harm_units: f64 = readers.iter().map(|survey| survey.harm(part_ms)).sum();
        let engines_units = readers.len() as f64 * self.options.engine_units;
        let mut loss_units = self.company_loss(first) + harm_units + engines_units;
        let first_token_ms = hold_ms + ready_ms + self.place_wait_ms(first);
        loss_units += self.late_units(first, first_token_ms);
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
            harm_units,
            is_late: false,
            scene: Scene::default(),
        }
    }

    /// How long its engines need for what was placed before, within bounds.
    pub(crate) fn hold_ms(&self, readers: &[&Survey<'_>], part_ms: f64) -> f64 {
        let longest_ms = longest_backlog_ms(readers);
        longest_ms.min(part_ms * self.options.hold_factor)
    }

    /// What earlier prompts lose by this one's overtaking them.
    fn overtake_loss(&self, readers: &[&Survey<'_>], part_ms: f64, hold_ms: f64) -> f64 {
        let overtaken = readers.iter().filter(|survey| survey.backlog_ms > hold_ms);
        let share = overtaken.count() as f64 / readers.len() as f64;
        share * part_ms / 1e3 * self.options.overtake_units
    }
}

/// The longest backlog among some engines that a prompt must let pass, in milliseconds: late prompts have only
/// their end to lose, and engines read the newest part first.
pub(crate) fn longest_backlog_ms(readers: &[&Survey<'_>]) -> f64 {
    let for_others = readers.iter().filter(|survey| survey.held.late_parts == 0);
    let backlogs = for_others.map(|survey| survey.backlog_ms);
    backlogs.fold(0.0, f64::max)
}
