//! The predicted state of each candidate engine, and the harm that more work would do to its
//! streams.

use mgs_fleet::view::EndpointKey;

use crate::load_table::EndpointLoad;
use crate::load_table::LoadTable;
use crate::model::DecodeCost;
use crate::model::EngineModel;
use crate::need::LATE_LOSS_SHARE;
use crate::options::PlacementOptions;
use crate::placement::Candidate;
use crate::stream_group::StreamGroup;

/// Width of the transition from on time to late for a pause, as a share of the limit: predictions
/// of prefill were within a tenth at low load.
const PAUSE_BLUR: f64 = 0.1;

/// Width of the transition from ending in time to ending late, as a share of an engine's time: its
/// prefill share varies by about as much from one second to the next.
const SLACK_BLUR: f64 = 0.08;

/// Network round trip to an engine, in milliseconds.
const ROUND_TRIP_MS: f64 = 8.0;

/// Ratio of the prefill and passes until a prompt's first token to those present when the prompt
/// arrived: what arrives during a pass is prefilled together with it, and the pass is half over on
/// average.
const JOINING_FACTOR: f64 = 1.5;

/// One candidate with the state that the load table has for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineState<'a> {
    pub(crate) key: EndpointKey,
    /// Predicted time until the prefill placed there is finished, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// The load placed there by all gateways.
    pub(crate) load: &'a EndpointLoad,
    /// Streams that are or will be decoded there.
    pub(crate) running: u32,
    /// Streams that answer short prompts.
    pub(crate) running_short: u32,
    /// Streams that answer short prompts and are tight; see [`StreamGroup::is_tight`].
    pub(crate) running_tight: u32,
    /// Duration of a pass without prefill, in milliseconds; 0 without streams.
    pub(crate) pass_ms: f64,
    /// Duration of a pass with one more stream and the recent share of prefill, in milliseconds.
    pub(crate) busy_pass_ms: f64,
    /// Share of the engine's time in which prefill, other streams and slowness keep a stream from
    /// being decoded.
    overhead_share: f64,
    /// What one more stream adds to a pass.
    decode_cost: DecodeCost,
    /// Time until a prompt without any prefill would emit its first token, in milliseconds.
    ready_ms: f64,
    /// Duration of the next pass, in milliseconds; 0 without streams.
    next_pass_ms: f64,
    /// Free memory, in tokens.
    pub(crate) free_tokens: u64,
    /// Ratio of actual to predicted response times, at least 1.
    pub(crate) slowness: f64,
    /// Whether it is on probation after failures.
    pub(crate) on_probation: bool,
    /// Whether it accepts parts of prompts as a helper.
    can_help: bool,
    /// Whether it may get a request as the lead.
    pub(crate) can_lead: bool,
    /// Whether it has just started.
    pub(crate) is_cold: bool,
}

impl<'a> EngineState<'a> {
    /// Predicts the state of a candidate at `now_ms`.
    pub(crate) fn of(
        candidate: &Candidate,
        load_table: &'a LoadTable,
        model: &EngineModel,
        options: &PlacementOptions,
        now_ms: f64,
    ) -> Self {
        let load = load_table.load(candidate.key);
        let used_tokens = u64::from(load.memory_tokens);
        let gateways = load_table.peer_count() + 1;
        let unknown_share = options.unknown_share_on(load.running_short(), gateways);
        let mut engine = Self {
            key: candidate.key,
            backlog_ms: load_table.backlog_ms(candidate.key, now_ms, unknown_share),
            load,
            running: load.running(),
            running_short: load.running_short(),
            running_tight: load.running_tight(),
            pass_ms: 0.0,
            ready_ms: 0.0,
            next_pass_ms: 0.0,
            busy_pass_ms: 0.0,
            overhead_share: 0.0,
            decode_cost: model.decode_cost(),
            free_tokens: model.memory_tokens.saturating_sub(used_tokens),
            slowness: 1.0,
            on_probation: candidate.on_probation,
            can_help: candidate.can_help,
            can_lead: candidate.can_lead,
            is_cold: candidate.is_cold,
        };
        let is_decoding = engine.running > 0;
        let passes = load_table.pass_timeline(candidate.key);
        if is_decoding {
            engine.pass_ms = model.pass_ms(engine.running, used_tokens);
            // The prefill in one pass is limited, so a long part leaves a backlog beyond the next
            // pass.
            engine.next_pass_ms = passes.next_pass_ms(now_ms).max(engine.backlog_ms);
        }
        let backlog_ready_ms = (engine.backlog_ms + engine.pass_ms) * JOINING_FACTOR;
        engine.ready_ms = passes
            .ready_ms(now_ms, 0.0, is_decoding)
            .max(backlog_ready_ms);
        let with_one_more_ms = model.pass_ms(engine.running + 1, used_tokens);
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

    /// Whether it may prefill a part for another lead engine.
    pub(crate) fn may_help(&self, model: &EngineModel) -> bool {
        self.can_help && !self.on_probation && u32::from(self.load.parts) + 1 < model.slots
    }

    /// Replaces the assumed slowness and scales the predicted times.
    pub(crate) fn set_slowness(&mut self, slowness: f64) {
        let factor = slowness / self.slowness;
        self.pass_ms *= factor;
        self.next_pass_ms *= factor;
        self.busy_pass_ms *= factor;
        self.slowness = slowness;
    }

    /// Streams that answer short prompts and are tight, or are not.
    pub(crate) fn running_with_same_slack(&self, is_tight: bool) -> u32 {
        match is_tight {
            true => self.running_tight,
            false => self.running_short - self.running_tight,
        }
    }

    /// Streams that answer long prompts.
    pub(crate) fn running_long(&self) -> u32 {
        self.running - self.running_short
    }

    /// Worth that its streams lose if it also prefills for `prefill_ms`, in units: by pauses beyond
    /// their limit, by clients that disconnect, and by ending after the deadline.
    ///
    /// Prefill that is already queued may cause loss as well; only the difference counts.
    pub(crate) fn prefill_harm(&self, prefill_ms: f64) -> f64 {
        let prefill_ms = prefill_ms * self.slowness;
        let streams = self.load.streams.iter();
        streams
            .map(|streams| self.prefill_harm_to(streams, prefill_ms))
            .sum()
    }

    /// Worth that one group of streams loses by a prefill of `prefill_ms`, in units.
    fn prefill_harm_to(&self, streams: &StreamGroup, prefill_ms: f64) -> f64 {
        let pause_ms = self.next_pass_ms;
        let added_lateness = |limit_ms: u32| {
            let limit_ms = f64::from(limit_ms.max(1));
            late_probability(pause_ms + prefill_ms, limit_ms, PAUSE_BLUR)
                - late_probability(pause_ms, limit_ms, PAUSE_BLUR)
        };
        let late_share = added_lateness(streams.pause_ms) * LATE_LOSS_SHARE;
        // A client that disconnects retries, and its answer is decoded again from the beginning:
        // more is lost than the rest of the stream's worth.
        let disconnect_share = added_lateness(streams.patience_ms);
        let added_share = self.prefill_share_of(streams, prefill_ms);
        streams.units()
            * (late_share + disconnect_share + self.late_end_share(streams, added_share))
    }

    /// Worth of its streams that end after their deadlines if one more stream with `context_tokens`
    /// lengthens each pass, in units.
    pub(crate) fn added_stream_harm(&self, context_tokens: f64) -> f64 {
        let longer_ms = self.decode_cost.with_context_ms(context_tokens);
        let added_share = longer_ms / self.busy_pass_ms.max(1.0);
        let harm =
            |streams: &StreamGroup| streams.units() * self.late_end_share(streams, added_share);
        self.load.streams.iter().map(harm).sum()
    }

    /// Added probability that streams end after their deadlines if `added_share` of the engine's
    /// time goes to other work. Without this, answers that need most of their time are placed where
    /// they can't end.
    fn late_end_share(&self, streams: &StreamGroup, added_share: f64) -> f64 {
        let Some(slack_share) = streams.slack_share() else {
            return 0.0;
        };
        let end_late = |share: f64| logistic((share - slack_share) / SLACK_BLUR);
        end_late(self.overhead_share + added_share) - end_late(self.overhead_share)
    }

    /// Share of the streams' time that a prefill of `prefill_ms` takes.
    fn prefill_share_of(&self, streams: &StreamGroup, prefill_ms: f64) -> f64 {
        let slack_share = streams.slack_share().unwrap_or(1.0);
        let decode_ms = streams.mean_passes() * self.pass_ms;
        let time_ms = decode_ms / (1.0 - slack_share).max(f64::MIN_POSITIVE);
        prefill_ms / time_ms.max(1.0)
    }

    /// Time until the engine has finished a whole prompt's prefill of `prefill_ms`, in
    /// milliseconds: after all parts of other prompts.
    pub(crate) fn ready_ms(&self, prefill_ms: f64) -> f64 {
        ROUND_TRIP_MS + (self.ready_ms + prefill_ms) * self.slowness
    }

    /// Time until the engine has finished a part's prefill of `prefill_ms`, from the part's arrival
    /// after `hold_ms`, in milliseconds.
    ///
    /// An engine prefills the newest part first. One that decodes emits the result only at the end
    /// of a pass, and a pass prefills all that is queued.
    pub(crate) fn part_ready_ms(&self, prefill_ms: f64, hold_ms: f64) -> f64 {
        let mut ready_ms = ROUND_TRIP_MS + self.pass_wait_ms() + prefill_ms * self.slowness;
        if self.running > 0 {
            ready_ms += (self.backlog_ms - hold_ms).max(0.0);
        }
        ready_ms
    }

    /// Wait for pass boundaries, in milliseconds: half of the current pass on average, and the next
    /// pass, at whose end the first token is emitted.
    fn pass_wait_ms(&self) -> f64 {
        self.pass_ms * 1.5
    }
}

/// Probability that something predicted to take `takes_ms` exceeds `limit_ms`; `blur` is the width
/// of the transition as a share of the limit.
pub(crate) fn late_probability(takes_ms: f64, limit_ms: f64, blur: f64) -> f64 {
    logistic((takes_ms - limit_ms) / (limit_ms * blur))
}

/// The logistic function: from 0 to 1, with 0.5 at 0.
fn logistic(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}
