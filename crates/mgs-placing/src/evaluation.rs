//! Each way to place a prompt, judged by the worth that it is expected to lose.

use crate::choose::RandomDraw;
use crate::concurrent_choices;
use crate::concurrent_choices::ConcurrentChoices;
use crate::engine_state::late_probability;
use crate::engine_state::EngineState;
use crate::load_table::PeerRates;
use crate::load_table::PlacementRate;
use crate::model::EngineModel;
use crate::need::Need;
use crate::need::LATE_LOSS_SHARE;
use crate::options::PlacementOptions;
use crate::placement::FleetSnapshot;
use crate::placement::Placement;
use crate::placement::PlacementError;
use crate::placement::Shortage;

/// A prompt is small if it takes less than this part of an engine's memory: one in so many.
const SMALL_DIVISOR: u64 = 6;

/// Engines whose parts would end within this share of the aim of each other are as good for a part.
const PART_RANK_STEP_SHARE: f64 = 0.02;

/// Numbers of engines that are tried for a prompt that is shared.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 16];

/// One decision.
#[derive(Debug)]
pub(crate) struct Evaluation<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a PlacementOptions,
    pub(crate) engines_max: usize,
    pub(crate) engines: Vec<EngineState<'a>>,
    /// What its being on time is worth, in units.
    pub(crate) worth_units: f64,
    /// Passes of an engine that its answer is expected to take.
    pub(crate) passes: f64,
    /// Time that peers' placements take to be known here, in milliseconds.
    pub(crate) unseen_ms: f64,
    /// What peers place meanwhile.
    pub(crate) peer_rates: PeerRates,
    /// By which it differs from others' choices.
    pub(crate) random: RandomDraw,
    /// Whether it is long; see [`Options::long_aim_share`].
    pub(crate) is_long: bool,
    /// Whether its answer needs so much of its time that what is read beside it counts.
    pub(crate) is_tight: bool,
}

impl Evaluation<'_> {
    /// A share of an engine's places, in streams.
    fn slots_of(&self, share: f64) -> f64 {
        (f64::from(self.model.slots) * share).max(1.0)
    }

    /// Engines that are left for a long prompt: without those that the short streams of the moment need,
    /// wherever they are.
    pub(crate) fn engines_for_long(&self) -> usize {
        let short = |engine: &EngineState<'_>| f64::from(engine.running_short);
        let streams: f64 = self.engines.iter().map(short).sum();
        let needed = (streams / self.slots_of(self.options.streams_share)).ceil() as usize;
        self.engines.len().saturating_sub(needed)
    }

    /// Places of all engines that are taken, in thousandths.
    fn slots_taken_permille(&self) -> u32 {
        let running: u32 = self.engines.iter().map(|engine| engine.running).sum();
        let slots = self.model.slots * self.engines.len() as u32;
        running * 1_000 / slots.max(1)
    }

    pub(crate) fn snapshot(&self) -> FleetSnapshot {
        let count =
            |is: fn(&EngineState<'_>) -> bool| self.engines.iter().filter(|s| is(s)).count();
        let backlog_ms: f64 = self.engines.iter().map(|engine| engine.backlog_ms).sum();
        FleetSnapshot {
            engines: self.engines.len(),
            with_short_streams: count(|engine| engine.running_short > 0),
            with_other_streams: count(|engine| engine.running_short == 0 && engine.running > 0),
            engines_for_long: self.engines_for_long(),
            without_reading: count(|engine| engine.backlog_ms <= 0.0),
            late_engines: count(|engine| engine.held.late_parts > 0),
            backlog_ms: backlog_ms as u64,
            slots_taken_permille: self.slots_taken_permille(),
        }
    }

    /// Whether memory at several engines is needed. A prompt that takes a small part of an engine's memory
    /// rather waits there until others end.
    pub(crate) fn needs_reservations(&self) -> bool {
        !self.is_small() && !self.engines.iter().any(|engine| self.has_memory(engine))
    }

    fn is_small(&self) -> bool {
        let small_tokens = self.model.memory_tokens / SMALL_DIVISOR;
        self.need.memory_tokens() < small_tokens
    }

    fn has_memory(&self, engine: &EngineState<'_>) -> bool {
        engine.free_tokens >= self.need.memory_tokens() + self.spare_tokens()
    }

    /// Memory of an engine that is kept free of promises, in tokens.
    pub(crate) fn spare_tokens(&self) -> u64 {
        (self.model.memory_tokens as f64 * self.options.memory_spare_share) as u64
    }

    /// Time until a stream ends on an engine, if those there began one after the other, in milliseconds.
    fn next_slot_ms(&self, engine: &EngineState<'_>) -> f64 {
        self.mean_answer_ms(engine) / 2.0
    }

    /// Time that an answer takes to be written there, in milliseconds: the passes that those there take on
    /// average, with the reading that the engine gets as of late.
    fn mean_answer_ms(&self, engine: &EngineState<'_>) -> f64 {
        engine.held.mean_passes() * engine.busy_pass_ms
    }

    /// Time that its own answer takes to be written on an engine half full, in milliseconds.
    pub(crate) fn decode_ms(&self) -> f64 {
        self.passes * self.model.usual_pass_ms() * self.options.write_factor
    }

    /// Time that its answer takes at least, in milliseconds: a part of what its client expects, on an engine that
    /// reads nothing.
    pub(crate) fn min_decode_ms(&self) -> f64 {
        let believed = self.need.expected_tokens as f64 * self.options.believed_share;
        self.model.passes_for(believed as u64) as f64 * self.model.min_pass_ms()
    }

    /// Time until there is a place and memory for an answer there, in milliseconds.
    fn slot_wait_ms(&self, engine: &EngineState<'_>) -> f64 {
        self.wait_ms(engine, self.model.slots)
    }

    /// The same if some places are kept free, which is what an engine is chosen by.
    fn slot_wait_with_spare_ms(&self, engine: &EngineState<'_>) -> f64 {
        let spare = (f64::from(self.model.slots) * self.options.slots_spare_share) as u32;
        self.wait_ms(engine, self.model.slots - spare)
    }

    fn wait_ms(&self, engine: &EngineState<'_>, slots: u32) -> f64 {
        let over = (engine.running + 1).saturating_sub(slots);
        let turns = f64::from(over) / f64::from(self.model.slots.max(1));
        let memory_ms = match self.has_memory(engine) {
            true => 0.0,
            false => self.next_slot_ms(engine),
        };
        turns * self.mean_answer_ms(engine) + memory_ms
    }

    /// Whether an engine may get one more answer to write: it queues no more than it runs.
    pub(crate) fn has_slot(&self, engine: &EngineState<'_>) -> bool {
        engine.can_lead && engine.running < self.model.slots * 2
    }

    pub(crate) fn full_error(&self, shortage: Shortage) -> PlacementError {
        let backlogs = self.engines.iter().map(|engine| engine.backlog_ms);
        let backlog_ms = backlogs.fold(f64::INFINITY, f64::min);
        let free = self.engines.iter().map(|engine| self.next_slot_ms(engine));
        let backlog_ms = backlog_ms.max(free.fold(f64::INFINITY, f64::min));
        PlacementError::Full {
            backlog_ms,
            shortage,
        }
    }

    pub(crate) fn best_width(&self) -> Result<Placement, PlacementError> {
        let prefill_ms = self.model.prefill_ms(self.need.prompt_tokens);
        let mut best: Option<Placement> = None;
        for width in WIDTHS {
            if !self.may_share(width, prefill_ms) {
                break;
            }
            let Some(placement) = self.placement_for_width(width, prefill_ms / width as f64) else {
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
        best.ok_or_else(|| self.full_error(Shortage::Slot))
    }

    /// Whether a prompt of `read_ms` may be read by `width` engines.
    fn may_share(&self, width: usize, prefill_ms: f64) -> bool {
        if width == 1 {
            return true;
        }
        let engines_max = self.engines_max.min(self.engines.len());
        let part_ms = prefill_ms / width as f64;
        width <= engines_max
            && prefill_ms >= self.options.share_from_passes * self.model.min_pass_ms()
            && part_ms >= self.options.part_min_passes * self.model.min_pass_ms()
    }

    pub(crate) fn placement_for_width(&self, width: usize, part_ms: f64) -> Option<Placement> {
        let is_shared = width > 1;
        if !is_shared {
            let lead = self.lead_alone(part_ms)?;
            return Some(self.evaluate_alone(lead, part_ms));
        }
        let lead = self.lead_shared(part_ms)?;
        let mut others: Vec<&EngineState<'_>> = self
            .engines
            .iter()
            .filter(|engine| engine.key != lead.key && engine.may_help(self.model))
            .collect();
        if others.len() + 1 < width {
            return None;
        }
        others.sort_by_cached_key(|engine| self.part_rank(engine, part_ms));
        others.truncate(width - 1);
        Some(self.evaluate_shared(lead, &others, part_ms))
    }

    /// Engines that may write the answer.
    fn lead_candidates(&self) -> impl Iterator<Item = &EngineState<'_>> {
        let with_place = self.engines.iter().filter(|engine| self.has_slot(engine));
        with_place.filter(|engine| self.is_small() || self.has_memory(engine))
    }

    /// The engine that writes a prompt whose reading is shared: the least loss of its own part, of its place and of
    /// its company.
    fn lead_shared(&self, part_ms: f64) -> Option<&EngineState<'_>> {
        let loss = |engine: &EngineState<'_>| self.lead_part_loss(engine, part_ms);
        self.pick(loss, part_ms, &self.peer_rates.shared)
    }

    /// The engine that reads and writes a whole prompt: one of those with the least loss, the others left to whoever
    /// chooses at the same moment.
    fn lead_alone(&self, prefill_ms: f64) -> Option<&EngineState<'_>> {
        let loss = |engine: &EngineState<'_>| self.alone_loss(engine, prefill_ms);
        self.pick(loss, prefill_ms, &self.peer_rates.whole)
    }

    /// One of the engines with the least loss for a prompt that is read there for `read_ms`, while `others` are placed
    /// elsewhere.
    fn pick(
        &self,
        loss: impl Fn(&EngineState<'_>) -> f64,
        prefill_ms: f64,
        others: &PlacementRate,
    ) -> Option<&EngineState<'_>> {
        let lead_candidates: Vec<&EngineState<'_>> = self.lead_candidates().collect();
        let losses: Vec<f64> = lead_candidates.iter().map(|engine| loss(engine)).collect();
        let best = losses
            .iter()
            .zip(&lead_candidates)
            .min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let others_now = ConcurrentChoices {
            unseen_placements: others.per_ms * self.unseen_ms * self.random.share,
            collision_units: self.collision_units(best.1, prefill_ms, others)
                * self.options.crowd_factor,
            draw: self.random.draw,
        };
        let picked = concurrent_choices::pick_engine(&losses, &others_now)?;
        lead_candidates.get(picked).copied()
    }

    /// What it loses for each prompt that somebody else has placed on its engine meanwhile, in units.
    fn collision_units(
        &self,
        engine: &EngineState<'_>,
        prefill_ms: f64,
        others: &PlacementRate,
    ) -> f64 {
        let alone_ms = engine.ready_ms(prefill_ms) + self.slot_wait_with_spare_ms(engine);
        let with_one_ms = alone_ms + others.mean_prefill_ms * engine.slowness;
        let waits = self.lateness_loss(engine, with_one_ms) - self.lateness_loss(engine, alone_ms);
        waits + engine.prefill_harm(prefill_ms + others.mean_prefill_ms)
            - engine.prefill_harm(prefill_ms)
    }

    /// Loss by reading a part there and writing the answer.
    fn lead_part_loss(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let ready_ms = engine.ready_ms(part_ms);
        let wait_ms = self.slot_wait_with_spare_ms(engine);
        let waits =
            self.lateness_loss(engine, ready_ms + wait_ms) - self.lateness_loss(engine, ready_ms);
        self.part_loss(engine, part_ms) + waits + self.co_location_loss(engine)
    }

    /// Loss by reading all of the prompt there.
    fn alone_loss(&self, engine: &EngineState<'_>, prefill_ms: f64) -> f64 {
        let late = self.lateness_loss(
            engine,
            engine.ready_ms(prefill_ms) + self.slot_wait_with_spare_ms(engine),
        );
        late + engine.prefill_harm(prefill_ms)
            + self.co_location_loss(engine)
            + self.trial_loss(engine)
    }

    /// Order of an engine among those that may read a part: its loss in steps, so that engines that differ by little
    /// are as good, and the first candidates of them are taken. Two gateways that choose at the same moment then
    /// take engines that lie together each, and seldom the same; ordered to the last digit, both took the same
    /// sixteen.
    fn part_rank(&self, engine: &EngineState<'_>, part_ms: f64) -> u64 {
        let step_units = self.worth_units * self.options.wait_units * PART_RANK_STEP_SHARE;
        (self.part_loss(engine, part_ms) / step_units.max(f64::MIN_POSITIVE)).max(0.0) as u64
    }

    /// Loss by reading a part there: the prompt's lateness if this engine were the last to be done,
    /// and the streams there that pause. Engines with less to read are better, also where the part
    /// would overtake what waits.
    fn part_loss(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let late = self.lateness_loss(engine, engine.ready_ms(part_ms));
        late + engine.prefill_harm(part_ms) + self.trial_loss(engine)
    }

    /// One request at a time shows whether an engine has recovered.
    fn trial_loss(&self, engine: &EngineState<'_>) -> f64 {
        if !engine.on_trial {
            return 0.0;
        }
        self.worth_units * f64::from(1 + engine.running.min(4))
    }

    /// What it costs others that this answer is written there: short streams belong together, the more
    /// there are the better, so that engines with few fall free again; other streams belong together
    /// apart from them. So do short prompts' long answers, which take long and begin seldom: where these are
    /// together, engines read little beside them, and they end in time.
    fn co_location_loss(&self, engine: &EngineState<'_>) -> f64 {
        let context_tokens = self.need.prompt_tokens as f64;
        self.grouping_loss(engine) + engine.added_stream_harm(context_tokens)
    }

    fn grouping_loss(&self, engine: &EngineState<'_>) -> f64 {
        if !self.is_long {
            let same_slack = f64::from(engine.running_with_same_slack(self.is_tight));
            let missing = 1.0 - same_slack / self.slots_of(self.options.pack_share);
            // Who writes little takes an engine from others for as much less, and isn't to be lost for it.
            let taken = self.worth_units.min(1.0);
            return self.options.open_units * missing.max(0.0) * taken;
        }
        if engine.running_short > 0 {
            return self.options.open_units;
        }
        self.options.open_other_units / (1.0 + f64::from(engine.running_long()))
    }

    /// What the prompt loses if its first token comes after `first_token_ms` on an engine that writes it, in
    /// units. One whose aim has passed has only its end to lose; it isn't worth more harm to others than that.
    fn lateness_loss(&self, lead: &EngineState<'_>, first_token_ms: f64) -> f64 {
        let need = self.need;
        let blur = self.options.blur;
        let left_ms = need.deadline_left_ms.max(1.0);
        let end_ms = first_token_ms + self.passes * lead.busy_pass_ms;
        let lost = (1.0 - LATE_LOSS_SHARE) * late_probability(first_token_ms, left_ms, blur)
            + self.options.end_share * late_probability(end_ms, left_ms, blur);
        if need.ttft_left_ms <= 0.0 {
            let waits =
                self.options.wait_units * (1.0 - LATE_LOSS_SHARE) * first_token_ms / left_ms;
            return self.worth_units * (lost + waits);
        }
        let misses = LATE_LOSS_SHARE * late_probability(first_token_ms, need.ttft_left_ms, blur);
        let waits = self.options.wait_units * first_token_ms / need.ttft_left_ms;
        self.worth_units * (misses + lost + waits)
    }

    fn evaluate_alone(&self, lead: &EngineState<'_>, prefill_ms: f64) -> Placement {
        Placement {
            lead: lead.key,
            helpers: Vec::new(),
            reservations: Vec::new(),
            prefill_ms,
            backlog_ms: lead.backlog_ms,
            hold_ms: 0.0,
            first_token_ms: lead.ready_ms(prefill_ms) + self.slot_wait_ms(lead),
            loss_units: self.alone_loss(lead, prefill_ms),
            harm_units: lead.prefill_harm(prefill_ms),
            is_late: false,
            snapshot: FleetSnapshot::default(),
        }
    }

    fn evaluate_shared(
        &self,
        lead: &EngineState<'_>,
        others: &[&EngineState<'_>],
        part_ms: f64,
    ) -> Placement {
        let mut prefill_engines = vec![lead];
        prefill_engines.extend(others);
        let hold_ms = self.hold_ms(&prefill_engines, part_ms);
        let ready = prefill_engines
            .iter()
            .map(|engine| engine.part_ready_ms(part_ms, hold_ms));
        let ready_ms = ready.fold(0.0, f64::max);
        let harm_units: f64 = prefill_engines
            .iter()
            .map(|engine| engine.prefill_harm(part_ms))
            .sum();
        let engines_units = prefill_engines.len() as f64 * self.options.engine_units;
        let mut loss_units = self.co_location_loss(lead) + harm_units + engines_units;
        let first_token_ms = hold_ms + ready_ms + self.slot_wait_ms(lead);
        loss_units += self.lateness_loss(lead, first_token_ms);
        loss_units += self.overtake_loss(&prefill_engines, part_ms, hold_ms);
        Placement {
            lead: lead.key,
            helpers: others.iter().map(|engine| engine.key).collect(),
            reservations: Vec::new(),
            prefill_ms: part_ms,
            backlog_ms: longest_backlog_ms(&prefill_engines),
            hold_ms,
            first_token_ms,
            loss_units,
            harm_units,
            is_late: false,
            snapshot: FleetSnapshot::default(),
        }
    }

    /// How long its engines need for what was placed before, within bounds.
    pub(crate) fn hold_ms(&self, prefill_engines: &[&EngineState<'_>], part_ms: f64) -> f64 {
        let longest_ms = longest_backlog_ms(prefill_engines);
        longest_ms.min(part_ms * self.options.hold_factor)
    }

    /// What earlier prompts lose by this one's overtaking them.
    fn overtake_loss(
        &self,
        prefill_engines: &[&EngineState<'_>],
        part_ms: f64,
        hold_ms: f64,
    ) -> f64 {
        let overtaken = prefill_engines
            .iter()
            .filter(|engine| engine.backlog_ms > hold_ms);
        let share = overtaken.count() as f64 / prefill_engines.len() as f64;
        share * part_ms / 1e3 * self.options.overtake_units
    }
}

/// The longest backlog among some engines that a prompt must let pass, in milliseconds: late prompts have only
/// their end to lose, and engines read the newest part first.
pub(crate) fn longest_backlog_ms(prefill_engines: &[&EngineState<'_>]) -> f64 {
    let for_others = prefill_engines
        .iter()
        .filter(|engine| engine.held.late_parts == 0);
    let backlogs = for_others.map(|engine| engine.backlog_ms);
    backlogs.fold(0.0, f64::max)
}
