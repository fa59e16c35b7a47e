//! Whether capacity is short, and how much there is.

use super::room::ROOM_WAIT_MS;

/// Part of the engines' time that serves requests when all of them are busy. The rest passes between
/// the end of a request and the dispatch of the next, and in chunks that are only partly filled.
const USABLE_SHARE: f64 = 0.9;

/// Share of the engines' time in use from which on they count as short, if more than
/// [`USABLE_SHARE`] is asked for. With 0.9, a fleet that was asked for three quarters of its time
/// refused single prompts when several long ones came together.
const BUSY_SHARE: f64 = 0.95;

/// Share of the engines' time in use below which nothing is short without a surge. Prompts were
/// refused that the engines would have served: what is asked for varies by a third within seconds
/// when long prompts come together.
const ROOM_SHARE: f64 = 0.9;

/// Share of the engines' time that is to be in use during a surge. With 0.75, long prompts that came
/// together made others late: 0.040 of their on-time share was lost at worst, 0.027 with this.
const TARGET_BUSY_SHARE: f64 = 0.7;

/// Most by which the wait for engines counts as too long or short without a surge: as much as
/// engines that are all busy during one.
const EXCESS_MAX: f64 = 1.0 - TARGET_BUSY_SHARE;

/// Share of the cost sent to engines that they refuse from which on they count as short. A single
/// long prompt that comes too late is less than that of two seconds' cost.
const REFUSED_SHARE: f64 = 0.05;

/// Share of refused cost from which on the capacity is taken to be lower than the engines' figures
/// say, if one organisation asks for much more than usual.
pub(super) const OVERESTIMATED_SHARE: f64 = 0.1;

/// Shortage ends when less than this share of what makes it begin is asked for, so that it doesn't
/// begin and end with each long prompt.
const END_SHARE: f64 = 0.9;

/// Bounds of the ratio of the capacity to what the engines' figures say. Engines that are slower than
/// the least are found out as failing. Twice the engines' time is beyond any error of the figures.
const CORRECTION_MIN: f64 = 0.4;
const CORRECTION_MAX: f64 = 2.0;

/// Time constant of the shares of refused cost and of busy engines, and of the wait for engines, in milliseconds: longer than
/// several long prompts that come together keep the engines busy, and short enough to notice an
/// overload within half a second.
const SMOOTHING_MS: f64 = 400.0;

/// Time constant of the share of the engines' time in use that tells a shortage without a surge, in
/// milliseconds. A shortage of all organisations lasts, and refusing a second later costs nothing of
/// what others are owed; long prompts that come together keep the engines busy for half a second.
const SUSTAINED_MS: f64 = 1_000.0;

/// Longest time for which one update raises that share, in milliseconds. A gateway that gets a prompt
/// in a second would take one moment in which all engines are busy for most of a second. With 200 ms,
/// gateways that had missed an idle period refused prompts while 0.84 was in use over a second.
const SUSTAINED_STEP_MAX_MS: f64 = 100.0;

/// Time in which the capacity is reduced by the share that is refused or too busy, in milliseconds.
/// What came before the shortage was noticed must be served first, and all others are late until
/// then.
const REDUCE_MS: f64 = 500.0;

/// Time in which the capacity is raised by the share of the engines' time that isn't in use, in
/// milliseconds: that of the rates, which show the effect.
const RAISE_MS: f64 = 1_000.0;

/// Longest time for which one update changes the capacity, in milliseconds: what was seen says nothing
/// about a longer one.
const CORRECTED_MAX_MS: f64 = 1_000.0;

/// Time constant with which the correction is forgotten after a shortage, in milliseconds.
const FORGET_MS: f64 = 30_000.0;

/// What the gateways ask for and what the engines take, in milliseconds of engine time per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Strain {
    /// Time of all usable engines.
    pub(super) engine_time: f64,
    /// Cost asked for.
    pub(super) asked: f64,
    /// Cost admitted and not refused by engines.
    pub(super) admitted: f64,
    /// Share of the engines' time in use.
    pub(super) busy_share: f64,
    /// Time until an engine begins with a prompt that arrives now, in milliseconds.
    pub(super) wait_ms: f64,
    /// Share of what was to be sent to engines that they refused.
    pub(super) refused_share: f64,
    /// Whether one organisation asks for much more than usual, compared with the others.
    pub(super) has_surge: bool,
}

/// Tells shortage from ordinary busy periods. It begins only if engines are seen to be short, and
/// then lasts as long as more is asked for than there is, since engines that are protected by it
/// don't look short any more.
#[derive(Debug, Clone)]
pub(super) struct Shortage {
    is_short: bool,
    /// Ratio of the capacity to what the engines' figures say.
    correction: f64,
    busy_share: f64,
    /// The same over [`SUSTAINED_MS`]; `None` before the first update.
    sustained_busy_share: Option<f64>,
    wait_ms: f64,
    refused_share: f64,
    updated_ms: f64,
}

impl Shortage {
    pub(super) fn started_at(now_ms: f64) -> Self {
        Self {
            is_short: false,
            correction: 1.0,
            busy_share: 0.0,
            sustained_busy_share: None,
            wait_ms: 0.0,
            refused_share: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Returns the capacity in milliseconds of engine time per second while it is short.
    pub(super) fn update(&mut self, now_ms: f64, strain: &Strain) -> Option<f64> {
        let elapsed_ms = (now_ms - self.updated_ms).max(0.0);
        self.updated_ms = now_ms;
        let step = 1.0 - (-elapsed_ms / SMOOTHING_MS).exp();
        self.busy_share += (strain.busy_share - self.busy_share) * step;
        self.sustain(elapsed_ms, strain.busy_share);
        self.refused_share += (strain.refused_share - self.refused_share) * step;
        self.wait_ms += (strain.wait_ms - self.wait_ms) * step;
        let declared = strain.engine_time * USABLE_SHARE;
        if self.is_short {
            self.correct(elapsed_ms.min(CORRECTED_MAX_MS), strain.has_surge);
        } else {
            self.correction += (1.0 - self.correction) * (elapsed_ms / FORGET_MS).min(1.0);
        }
        self.is_short = match self.is_short {
            true => self.lasts(declared, strain),
            false => self.begins(declared, strain),
        };
        self.is_short.then_some(declared * self.correction)
    }

    /// Follows the share of the engines' time in use. The first update takes it as it is.
    fn sustain(&mut self, elapsed_ms: f64, busy_share: f64) {
        let before = self.sustained_busy_share.unwrap_or(busy_share);
        let counted_ms = match busy_share > before {
            true => elapsed_ms.min(SUSTAINED_STEP_MAX_MS),
            false => elapsed_ms,
        };
        let step = 1.0 - (-counted_ms / SUSTAINED_MS).exp();
        self.sustained_busy_share = Some(before + (busy_share - before) * step);
    }

    fn sustained(&self) -> f64 {
        self.sustained_busy_share.unwrap_or(0.0)
    }

    fn begins(&mut self, declared: f64, strain: &Strain) -> bool {
        let is_overestimated = strain.has_surge
            && self.refused_share >= OVERESTIMATED_SHARE
            && strain.asked > declared * CORRECTION_MIN;
        if is_overestimated {
            let taken = (strain.admitted / declared).max(CORRECTION_MIN);
            self.correction = self.correction.min(taken);
        }
        let is_refusing = self.refused_share >= REFUSED_SHARE;
        let is_seen = match strain.has_surge {
            true => self.busy_share >= BUSY_SHARE || is_refusing,
            false => {
                let sustained = self.sustained();
                let is_busy = sustained >= BUSY_SHARE;
                is_busy || (is_refusing && sustained >= ROOM_SHARE)
            }
        };
        is_overestimated || (is_seen && strain.asked > bound(declared, strain))
    }

    fn lasts(&self, declared: f64, strain: &Strain) -> bool {
        let bound = match strain.has_surge {
            true => declared * self.correction,
            false => bound(declared, strain),
        };
        let has_room = !strain.has_surge && self.sustained() < ROOM_SHARE;
        strain.asked > bound * END_SHARE && !has_room
    }

    /// Admits less while engines refuse what was admitted, are too busy (during a surge) or are waited
    /// for too long (otherwise), and more while they have room.
    fn correct(&mut self, elapsed_ms: f64, has_surge: bool) {
        let refused = (self.refused_share - REFUSED_SHARE).max(0.0);
        let used = match has_surge {
            true => self.busy_share - TARGET_BUSY_SHARE,
            false => (self.wait_ms / ROOM_WAIT_MS - 1.0).clamp(-EXCESS_MAX, EXCESS_MAX),
        };
        let excess = match refused > 0.0 {
            true => refused.max(used),
            false => used,
        };
        let time_ms = if excess > 0.0 { REDUCE_MS } else { RAISE_MS };
        let change = (-excess * elapsed_ms / time_ms).exp();
        self.correction = (self.correction * change).clamp(CORRECTION_MIN, CORRECTION_MAX);
    }
}

/// The cost from which on capacity can be short. Without a surge it is all of the engines' time:
/// when all ask for a little too much, engines choose better than chance what to refuse.
fn bound(declared: f64, strain: &Strain) -> f64 {
    match strain.has_surge {
        true => declared,
        false => strain.engine_time,
    }
}
