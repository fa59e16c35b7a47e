//! Evaluation of the possible placements of one prompt by the worth that each is expected to lose.

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

/// A prompt is small if it takes less than an engine's memory divided by this.
const SMALL_DIVISOR: u64 = 6;

/// Engines rank as equal for a part if their finishing times differ by less than this share of the
/// first-token target.
const PART_RANK_STEP_SHARE: f64 = 0.02;

/// A warm engine is preferred to a cold one as the lead if it finishes later by less than this share
/// of the first-token target: 50 ms for short prompts, the pass that it may have to wait for.
const COLD_SHARE: f64 = 0.2;

/// Numbers of engines that are tried for a prompt.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 16];

/// The inputs of one placement decision.
#[derive(Debug)]
pub(crate) struct Evaluation<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a PlacementOptions,
    /// Most engines that may prefill the prompt.
    pub(crate) engines_max: usize,
    /// State of each candidate engine.
    pub(crate) engines: Vec<EngineState<'a>>,
    /// Worth of answering the prompt on time, in units.
    pub(crate) worth_units: f64,
    /// Number of passes that the answer is expected to take.
    pub(crate) passes: f64,
    /// Delay until peers' placements are known here, in milliseconds.
    pub(crate) unseen_ms: f64,
    /// Rates at which peers place prompts in the meantime.
    pub(crate) peer_rates: PeerRates,
    /// Randomization against other gateways' choices.
    pub(crate) random: RandomDraw,
    /// Whether the prompt is long; see [`PlacementOptions::long_aim_share`].
    pub(crate) is_long: bool,
    /// Whether the prompt's stream is tight; see [`crate::stream_group::StreamGroup::is_tight`].
    pub(crate) is_tight: bool,
}

impl Evaluation<'_> {
    /// A share of an engine's slots, at least one.
    fn slots_of(&self, share: f64) -> f64 {
        (f64::from(self.model.slots) * share).max(1.0)
    }

    /// Number of engines that the current short streams don't need, on whichever engines those
    /// streams are.
    pub(crate) fn engines_for_long(&self) -> usize {
        let short = |engine: &EngineState<'_>| f64::from(engine.running_short);
        let streams: f64 = self.engines.iter().map(short).sum();
        let needed = (streams / self.slots_of(self.options.streams_share)).ceil() as usize;
        self.engines.len().saturating_sub(needed)
    }

    /// Share of all engines' slots that is taken, in thousandths.
    fn slots_taken_permille(&self) -> u32 {
        let running: u32 = self.engines.iter().map(|engine| engine.running).sum();
        let slots = self.model.slots * self.engines.len() as u32;
        running * 1_000 / slots.max(1)
    }

    /// The state of all engines, for the log.
    pub(crate) fn snapshot(&self) -> FleetSnapshot {
        let count =
            |is: fn(&EngineState<'_>) -> bool| self.engines.iter().filter(|s| is(s)).count();
        let backlog_ms: f64 = self.engines.iter().map(|engine| engine.backlog_ms).sum();
        FleetSnapshot {
            engines: self.engines.len(),
            with_short_streams: count(|engine| engine.running_short > 0),
            with_other_streams: count(|engine| engine.running_short == 0 && engine.running > 0),
            engines_for_long: self.engines_for_long(),
            without_prefill: count(|engine| engine.backlog_ms <= 0.0),
            late_engines: count(|engine| engine.load.late_parts > 0),
            backlog_ms: backlog_ms as u64,
            slots_taken_permille: self.slots_taken_permille(),
        }
    }

    /// Whether the prompt needs memory on several engines. A small prompt waits on one engine until
    /// others end there.
    pub(crate) fn needs_reservations(&self) -> bool {
        !self.is_small() && !self.engines.iter().any(|engine| self.has_memory(engine))
    }

    /// Whether the prompt takes only a small part of an engine's memory.
    fn is_small(&self) -> bool {
        let small_tokens = self.model.memory_tokens / SMALL_DIVISOR;
        self.need.memory_tokens() < small_tokens
    }

    /// Whether an engine has free memory for the prompt and its answer beyond the spare memory.
    fn has_memory(&self, engine: &EngineState<'_>) -> bool {
        engine.free_tokens >= self.need.memory_tokens() + self.spare_tokens()
    }

    /// Memory of an engine that isn't promised to any request, in tokens.
    pub(crate) fn spare_tokens(&self) -> u64 {
        (self.model.memory_tokens as f64 * self.options.memory_spare_share) as u64
    }

    /// Expected time until a stream ends on an engine, in milliseconds, if its streams began at
    /// even intervals.
    fn next_slot_ms(&self, engine: &EngineState<'_>) -> f64 {
        self.mean_answer_ms(engine) / 2.0
    }

    /// Mean time to decode an answer on an engine, in milliseconds: the mean passes of its streams
    /// at their duration with recent prefill.
    fn mean_answer_ms(&self, engine: &EngineState<'_>) -> f64 {
        engine.load.mean_passes() * engine.busy_pass_ms
    }

    /// Time to decode this prompt's answer on an engine with half of its slots taken, in
    /// milliseconds.
    pub(crate) fn decode_ms(&self) -> f64 {
        self.passes * self.model.usual_pass_ms() * self.options.write_factor
    }

    /// Lower bound of the time to decode the answer, in milliseconds: part of the length that the
    /// client expects, on an engine without prefill.
    pub(crate) fn min_decode_ms(&self) -> f64 {
        let min_answer_tokens = self.need.expected_tokens as f64 * self.options.believed_share;
        self.model.passes_for(min_answer_tokens as u64) as f64 * self.model.min_pass_ms()
    }

    /// Time until an engine has a slot and memory for the answer, in milliseconds.
    fn slot_wait_ms(&self, engine: &EngineState<'_>) -> f64 {
        self.wait_ms(engine, self.model.slots)
    }

    /// Time until an engine has a slot beyond those kept free, in milliseconds; engines are
    /// compared by this.
    fn slot_wait_with_spare_ms(&self, engine: &EngineState<'_>) -> f64 {
        let spare = (f64::from(self.model.slots) * self.options.slots_spare_share) as u32;
        self.wait_ms(engine, self.model.slots - spare)
    }

    /// Time until an engine with `slots` usable slots has one free, and memory for the answer, in
    /// milliseconds.
    fn wait_ms(&self, engine: &EngineState<'_>, slots: u32) -> f64 {
        let excess_streams = (engine.running + 1).saturating_sub(slots);
        let rounds = f64::from(excess_streams) / f64::from(self.model.slots.max(1));
        let memory_ms = match self.has_memory(engine) {
            true => 0.0,
            false => self.next_slot_ms(engine),
        };
        rounds * self.mean_answer_ms(engine) + memory_ms
    }

    /// Whether an engine may get one more request as the lead. Its queue is limited to as many
    /// requests as it runs.
    pub(crate) fn has_slot(&self, engine: &EngineState<'_>) -> bool {
        engine.can_lead && engine.running < self.model.slots * 2
    }

    /// The error for a lack of slots or memory on all engines, with the time until one has room.
    pub(crate) fn full_error(&self, shortage: Shortage) -> PlacementError {
        let backlogs = self.engines.iter().map(|engine| engine.backlog_ms);
        let backlog_ms = backlogs.fold(f64::INFINITY, f64::min);
        let slot_times_ms = self.engines.iter().map(|engine| self.next_slot_ms(engine));
        let backlog_ms = backlog_ms.max(slot_times_ms.fold(f64::INFINITY, f64::min));
        PlacementError::Full {
            backlog_ms,
            shortage,
        }
    }

    /// The placement with the least loss over all numbers of engines.
    pub(crate) fn best_placement(&self) -> Result<Placement, PlacementError> {
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

    /// Whether a prompt of `prefill_ms` may be prefilled by `width` engines.
    fn may_share(&self, width: usize, prefill_ms: f64) -> bool {
        if width == 1 {
            return true;
        }
        let engines_max = self.engines_max.min(self.engines.len());
        let part_ms = prefill_ms / width as f64;
        width <= engines_max
            && may_share_prefill(self.need, self.model, self.options)
            && part_ms >= self.options.part_min_passes * self.model.min_pass_ms()
    }

    /// The best placement on `width` engines with a prefill of `part_ms` each; `None` without
    /// enough engines.
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

    /// Engines that may decode the answer.
    fn lead_candidates(&self) -> impl Iterator<Item = &EngineState<'_>> {
        let with_slot = self.engines.iter().filter(|engine| self.has_slot(engine));
        with_slot.filter(|engine| self.is_small() || self.has_memory(engine))
    }

    /// The lead engine of a shared prompt: the least loss from its own part, its slot and its other
    /// streams.
    fn lead_shared(&self, part_ms: f64) -> Option<&EngineState<'_>> {
        let loss = |engine: &EngineState<'_>| self.lead_part_loss(engine, part_ms);
        self.pick(loss, part_ms, &self.peer_rates.shared)
    }

    /// The engine for a whole prompt: one with a low loss, chosen at random against concurrent
    /// choices.
    fn lead_alone(&self, prefill_ms: f64) -> Option<&EngineState<'_>> {
        let loss = |engine: &EngineState<'_>| self.alone_loss(engine, prefill_ms);
        self.pick(loss, prefill_ms, &self.peer_rates.whole)
    }

    /// Picks one of the engines with the least loss for a prefill of `prefill_ms`, given the rate
    /// at which others place prompts.
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
        let concurrent = ConcurrentChoices {
            unseen_placements: others.per_ms * self.unseen_ms * self.random.share,
            collision_units: self.collision_units(best.1, prefill_ms, others)
                * self.options.crowd_factor,
            draw: self.random.draw,
        };
        let picked = concurrent_choices::pick_engine(&losses, &concurrent)?;
        lead_candidates.get(picked).copied()
    }

    /// Added loss for each prompt that another gateway has placed on the same engine meanwhile, in
    /// units.
    fn collision_units(
        &self,
        engine: &EngineState<'_>,
        prefill_ms: f64,
        others: &PlacementRate,
    ) -> f64 {
        let alone_ms = engine.ready_ms(prefill_ms) + self.slot_wait_with_spare_ms(engine);
        let with_one_ms = alone_ms + others.mean_prefill_ms * engine.slowness;
        let wait_loss =
            self.lateness_loss(engine, with_one_ms) - self.lateness_loss(engine, alone_ms);
        wait_loss + engine.prefill_harm(prefill_ms + others.mean_prefill_ms)
            - engine.prefill_harm(prefill_ms)
    }

    /// Loss from prefilling a part on an engine that also decodes the answer, in units.
    fn lead_part_loss(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let ready_ms = engine.ready_ms(part_ms);
        let wait_ms = self.slot_wait_with_spare_ms(engine);
        let wait_loss =
            self.lateness_loss(engine, ready_ms + wait_ms) - self.lateness_loss(engine, ready_ms);
        self.part_loss(engine, part_ms)
            + wait_loss
            + self.co_location_loss(engine)
            + self.cold_loss(engine)
    }

    /// Loss from prefilling the whole prompt on an engine, in units.
    fn alone_loss(&self, engine: &EngineState<'_>, prefill_ms: f64) -> f64 {
        let lateness = self.lateness_loss(
            engine,
            engine.ready_ms(prefill_ms) + self.slot_wait_with_spare_ms(engine),
        );
        lateness
            + engine.prefill_harm(prefill_ms)
            + self.co_location_loss(engine)
            + self.probation_loss(engine)
            + self.cold_loss(engine)
    }

    /// Rank of an engine for a part: its loss in coarse steps, so that nearly equal engines tie and
    /// the first candidates are chosen. Concurrent choices of two gateways then each use
    /// neighbouring engines and seldom the same ones; with exact ordering both chose the same
    /// sixteen.
    fn part_rank(&self, engine: &EngineState<'_>, part_ms: f64) -> u64 {
        let step_units = self.worth_units * self.options.wait_units * PART_RANK_STEP_SHARE;
        (self.part_loss(engine, part_ms) / step_units.max(f64::MIN_POSITIVE)).max(0.0) as u64
    }

    /// Loss from prefilling a part on an engine, in units: the lateness of the prompt if this
    /// engine finished last, and the pauses of the streams there. Engines with less prefill rank
    /// better, also where the part would overtake queued work.
    fn part_loss(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let lateness = self.lateness_loss(engine, engine.ready_ms(part_ms));
        lateness + engine.prefill_harm(part_ms) + self.probation_loss(engine)
    }

    /// Penalty for an engine on probation, in units: a single request is enough to show whether it
    /// has recovered.
    fn probation_loss(&self, engine: &EngineState<'_>) -> f64 {
        if !engine.on_probation {
            return 0.0;
        }
        self.worth_units * f64::from(1 + engine.running.min(4))
    }

    /// Penalty for a cold engine as the lead, in units: it tolerates few requests, which are kept for
    /// those that gain by it.
    fn cold_loss(&self, engine: &EngineState<'_>) -> f64 {
        match engine.is_cold {
            true => self.worth_units * self.options.wait_units * COLD_SHARE,
            false => 0.0,
        }
    }

    /// Cost to others of decoding the answer on this engine, in units. Short streams are grouped
    /// together, the more the better, so that engines with few become free again; other streams are
    /// grouped apart from them. Long answers to short prompts, which take long and start seldom,
    /// are also grouped: their engines then do little prefill, and they end in time.
    fn co_location_loss(&self, engine: &EngineState<'_>) -> f64 {
        let context_tokens = self.need.prompt_tokens as f64;
        self.grouping_loss(engine) + engine.added_stream_harm(context_tokens)
    }

    /// Cost of decoding the answer apart from streams of the same kind, in units.
    fn grouping_loss(&self, engine: &EngineState<'_>) -> f64 {
        if !self.is_long {
            let same_slack = f64::from(engine.running_with_same_slack(self.is_tight));
            let missing = 1.0 - same_slack / self.slots_of(self.options.pack_share);
            // A prompt of less than one unit costs proportionally less, so that avoiding a new
            // engine isn't worth more than its answer.
            let unit_share = self.worth_units.min(1.0);
            return self.options.open_units * missing.max(0.0) * unit_share;
        }
        if engine.running_short > 0 {
            return self.options.open_units;
        }
        self.options.open_other_units / (1.0 + f64::from(engine.running_long()))
    }

    /// Loss of the prompt if the engine, as its lead, emits the first token after `first_token_ms`,
    /// in units. Once its target has passed, only ending before the deadline counts, and the prompt
    /// justifies no more harm to others than that.
    fn lateness_loss(&self, engine: &EngineState<'_>, first_token_ms: f64) -> f64 {
        let need = self.need;
        let blur = self.options.blur;
        let left_ms = need.deadline_left_ms.max(1.0);
        let end_ms = first_token_ms + self.passes * engine.busy_pass_ms;
        let deadline_loss = (1.0 - LATE_LOSS_SHARE)
            * late_probability(first_token_ms, left_ms, blur)
            + self.options.end_share * late_probability(end_ms, left_ms, blur);
        if need.ttft_left_ms <= 0.0 {
            let wait_loss =
                self.options.wait_units * (1.0 - LATE_LOSS_SHARE) * first_token_ms / left_ms;
            return self.worth_units * (deadline_loss + wait_loss);
        }
        let target_loss =
            LATE_LOSS_SHARE * late_probability(first_token_ms, need.ttft_left_ms, blur);
        let wait_loss = self.options.wait_units * first_token_ms / need.ttft_left_ms;
        self.worth_units * (target_loss + deadline_loss + wait_loss)
    }

    /// The placement of the whole prompt on `lead`, with its predicted times and loss.
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

    /// The placement with parts on `lead` and `others`, with its predicted times and loss.
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

    /// Time for which the prompt is held back while its engines finish earlier work, in
    /// milliseconds, limited by [`PlacementOptions::hold_factor`].
    pub(crate) fn hold_ms(&self, prefill_engines: &[&EngineState<'_>], part_ms: f64) -> f64 {
        let longest_ms = longest_backlog_ms(prefill_engines);
        longest_ms.min(part_ms * self.options.hold_factor)
    }

    /// Loss of earlier prompts that this one overtakes, in units.
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

/// Whether a prompt takes so much prefill that several engines may share it.
pub(crate) fn may_share_prefill(
    need: &Need,
    model: &EngineModel,
    options: &PlacementOptions,
) -> bool {
    let prefill_ms = model.prefill_ms(need.prompt_tokens);
    prefill_ms >= options.share_from_passes * model.min_pass_ms()
}

/// The longest backlog among the engines that the prompt must wait for, in milliseconds. Engines
/// with parts of late prompts don't count: those prompts only need to end in time, and engines
/// prefill the newest part first.
pub(crate) fn longest_backlog_ms(prefill_engines: &[&EngineState<'_>]) -> f64 {
    let for_others = prefill_engines
        .iter()
        .filter(|engine| engine.load.late_parts == 0);
    let backlogs = for_others.map(|engine| engine.backlog_ms);
    backlogs.fold(0.0, f64::max)
}
