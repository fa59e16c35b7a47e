//! What the board says of each candidate, and what more reading would do to the streams there.

use mgs_fleet::view::EndpointKey;

use crate::load_table::EndpointLoad;
use crate::load_table::LoadTable;
use crate::model::DecodeCost;
use crate::model::EngineModel;
use crate::need::LATE_LOSS_SHARE;
use crate::options::PlacementOptions;
use crate::placement::Candidate;
use crate::stream_group::StreamGroup;

/// Width of the step from on time to late for a pause, as a share of the limit: predictions of reading were
/// within a tenth on calm days.
const PAUSE_BLUR: f64 = 0.1;

/// Width of the step from ending in time to ending late, as a share of an engine's time: what it reads differs by
/// about as much from one second to the next.
const SLACK_BLUR: f64 = 0.08;

/// Time on the way to an engine and back, in milliseconds.
const HOPS_MS: f64 = 8.0;

/// What is read until a prompt's first token shows, and the passes that it takes, as a multiple of what was there
/// when the prompt came: what arrives while a pass runs is read together with it, and a pass is half over.
const JOINING_FACTOR: f64 = 1.5;

/// One candidate as the board has it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineState<'a> {
    pub(crate) key: EndpointKey,
    /// Time until the reading placed there is done, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// All that is held there.
    pub(crate) held: &'a EndpointLoad,
    /// Requests whose answers are or will be written there.
    pub(crate) running: u32,
    /// Those of them that answer prompts which aren't long.
    pub(crate) running_short: u32,
    /// Those among the short ones that are tight; see [`Streams::is_tight`].
    pub(crate) running_tight: u32,
    /// Time of a pass without reading; 0 without writers.
    pub(crate) pass_ms: f64,
    /// The same with the reading that it gets as of late.
    pub(crate) busy_pass_ms: f64,
    /// Share of its time by which reading, other writers and slowness keep a stream from being written.
    overhead_share: f64,
    /// What one more writer adds to a pass.
    decode_cost: DecodeCost,
    /// Time until a prompt without any reading would show its first token, in milliseconds.
    ready_ms: f64,
    /// Length of its next pass, in milliseconds; 0 without writers.
    next_pass_ms: f64,
    /// Free memory, in tokens.
    pub(crate) free_tokens: u64,
    /// By what factor its answers come later than predicted, at least 1.
    pub(crate) slowness: f64,
    /// Whether it is on trial after failures.
    pub(crate) on_trial: bool,
    /// Whether it reads parts of prompts that others answer.
    can_help: bool,
    /// Whether it may get a request of its own.
    pub(crate) can_lead: bool,
}

impl<'a> EngineState<'a> {
    pub(crate) fn of(
        candidate: &Candidate,
        load_table: &'a LoadTable,
        model: &EngineModel,
        options: &PlacementOptions,
        now_ms: f64,
    ) -> Self {
        let held = load_table.load(candidate.key);
        let held_tokens = u64::from(held.memory_tokens);
        let mut engine = Self {
            key: candidate.key,
            backlog_ms: load_table.backlog_ms(candidate.key, now_ms, options.unknown_share),
            held,
            running: held.running(),
            running_short: held.running_short(),
            running_tight: held.running_tight(),
            pass_ms: 0.0,
            ready_ms: 0.0,
            next_pass_ms: 0.0,
            busy_pass_ms: 0.0,
            overhead_share: 0.0,
            decode_cost: model.decode_cost(),
            free_tokens: model.memory_tokens.saturating_sub(held_tokens),
            slowness: 1.0,
            on_trial: candidate.on_trial,
            can_help: candidate.can_help,
            can_lead: candidate.can_lead,
        };
        let is_decoding = engine.running > 0;
        let passes = load_table.pass_timeline(candidate.key);
        if is_decoding {
            engine.pass_ms = model.pass_ms(engine.running, held_tokens);
            // A pass reads so much at most: of a long part, more is left when it ends.
            engine.next_pass_ms = passes.next_pass_ms(now_ms).max(engine.backlog_ms);
        }
        let by_backlog_ms = (engine.backlog_ms + engine.pass_ms) * JOINING_FACTOR;
        engine.ready_ms = passes.ready_ms(now_ms, 0.0, is_decoding).max(by_backlog_ms);
        let with_one_more_ms = model.pass_ms(engine.running + 1, held_tokens);
        let recent_prefill_share = load_table.recent_prefill_share(candidate.key, now_ms);
        engine.busy_pass_ms = with_one_more_ms / (1.0 - recent_prefill_share);
        let busy_now_ms =
            engine.pass_ms * candidate.slowness.max(1.0) / (1.0 - recent_prefill_share);
        if is_decoding {
            engine.overhead_share = 1.0 - model.min_pass_ms() / busy_now_ms;
        }
        engine.set_slowness(candidate.slowness.max(1.0));
        engine
    }

    /// Whether it may read a part of a prompt that another one answers.
    pub(crate) fn may_help(&self, model: &EngineModel) -> bool {
        self.can_help && !self.on_trial && u32::from(self.held.parts) + 1 < model.slots
    }

    /// Takes it for slower or less slow than it was taken for.
    pub(crate) fn set_slowness(&mut self, slowness: f64) {
        let factor = slowness / self.slowness;
        self.pass_ms *= factor;
        self.next_pass_ms *= factor;
        self.busy_pass_ms *= factor;
        self.slowness = slowness;
    }

    /// Requests there that answer prompts which aren't long and are tight, or aren't.
    pub(crate) fn running_with_same_slack(&self, is_tight: bool) -> u32 {
        match is_tight {
            true => self.running_tight,
            false => self.running_short - self.running_tight,
        }
    }

    /// Requests there that answer long prompts.
    pub(crate) fn running_long(&self) -> u32 {
        self.running - self.running_short
    }

    /// Worth of the streams there that is lost if `read_ms` is read there besides, in units: by a pause that is
    /// too long, by one after which their clients leave, and by ending after their deadlines.
    ///
    /// What is already queued there may have spoiled them; only the difference counts.
    pub(crate) fn prefill_harm(&self, prefill_ms: f64) -> f64 {
        let prefill_ms = prefill_ms * self.slowness;
        let streams = self.held.streams.iter();
        streams
            .map(|streams| self.prefill_harm_to(streams, prefill_ms))
            .sum()
    }

    fn prefill_harm_to(&self, streams: &StreamGroup, prefill_ms: f64) -> f64 {
        let pause_ms = self.next_pass_ms;
        let more_late = |limit_ms: u32| {
            let limit_ms = f64::from(limit_ms.max(1));
            late_probability(pause_ms + prefill_ms, limit_ms, PAUSE_BLUR)
                - late_probability(pause_ms, limit_ms, PAUSE_BLUR)
        };
        let late_share = more_late(streams.pause_ms) * LATE_LOSS_SHARE;
        // Whoever leaves comes back, and is written for from the beginning: more is lost than what was left of
        // its worth.
        let left_share = more_late(streams.patience_ms);
        let more_share = self.prefill_share_of(streams, prefill_ms);
        streams.units() * (late_share + left_share + self.late_end_share(streams, more_share))
    }

    /// Worth of the streams there that end after their deadlines if one more with `context_tokens` is written, in
    /// units: each pass is longer by it.
    pub(crate) fn added_stream_harm(&self, context_tokens: f64) -> f64 {
        let longer_ms = self.decode_cost.with_context_ms(context_tokens);
        let more_share = longer_ms / self.busy_pass_ms.max(1.0);
        let harm =
            |streams: &StreamGroup| streams.units() * self.late_end_share(streams, more_share);
        self.held.streams.iter().map(harm).sum()
    }

    /// Share of some streams that end after their deadlines if this much more of the engine's time goes to others.
    /// Without it, answers that take much of their time alone are put where they can't end.
    fn late_end_share(&self, streams: &StreamGroup, more_share: f64) -> f64 {
        let Some(slack_share) = streams.slack_share() else {
            return 0.0;
        };
        let overdue = |share: f64| logistic((share - slack_share) / SLACK_BLUR);
        overdue(self.overhead_share + more_share) - overdue(self.overhead_share)
    }

    /// Share of the time of some streams that reading takes.
    fn prefill_share_of(&self, streams: &StreamGroup, prefill_ms: f64) -> f64 {
        let slack_share = streams.slack_share().unwrap_or(1.0);
        let decode_ms = streams.mean_passes() * self.pass_ms;
        let time_ms = decode_ms / (1.0 - slack_share).max(f64::MIN_POSITIVE);
        prefill_ms / time_ms.max(1.0)
    }

    /// Time until a whole prompt of `read_ms` has been read there, in milliseconds: after all parts of
    /// other prompts.
    pub(crate) fn ready_ms(&self, prefill_ms: f64) -> f64 {
        HOPS_MS + (self.ready_ms + prefill_ms) * self.slowness
    }

    /// Time until a part of `read_ms` that arrives after `hold_ms` has been read there, from its
    /// arrival, in milliseconds.
    ///
    /// An engine reads the newest part first. One that writes shows what it has read at the end of a
    /// pass only, and a pass reads all that waits.
    pub(crate) fn part_ready_ms(&self, prefill_ms: f64, hold_ms: f64) -> f64 {
        let mut ready_ms = HOPS_MS + self.pass_wait_ms() + prefill_ms * self.slowness;
        if self.running > 0 {
            ready_ms += (self.backlog_ms - hold_ms).max(0.0);
        }
        ready_ms
    }

    /// A pass that is under way ends first, half a pass on average; and the token of the prompt comes at
    /// the end of the next one.
    fn pass_wait_ms(&self) -> f64 {
        self.pass_ms * 1.5
    }
}

/// Probability that something predicted to take `takes_ms` exceeds `limit_ms`; `blur` is the width of the step
/// as a share of the limit.
pub(crate) fn late_probability(takes_ms: f64, limit_ms: f64, blur: f64) -> f64 {
    logistic((takes_ms - limit_ms) / (limit_ms * blur))
}

/// From 0 to 1, with the middle at 0.
fn logistic(off: f64) -> f64 {
    1.0 / (1.0 + (-off).exp())
}
