//! A prompt that exceeds one engine's memory: reservations at several endpoints, all or nothing.
//!
//! Parts of the prompt go to endpoints that declare spans. Each part but the last is processed at
//! its endpoint and its KV exported; the last one's endpoint, the home, imports them and answers.
//! Before anything is processed, each endpoint reserves the memory of its part.
//!
//! - Reservations are taken one after another in the order of the plan, which is the same at each
//!   gateway, so that spans can't wait for each other in a circle.
//! - A span that finds an endpoint taken keeps what it holds and asks again a limited number of
//!   times; then it frees everything, rests and begins anew. The number grows with each round, so
//!   that the span that has tried longest holds on longest, and none starves.
//! - Whatever may be held is released on each way out, again until the release is confirmed or the
//!   reservation has ended by itself, as each one does at the request's deadline.
//!
//! The machine keeps no clock and sends nothing; the gateway drives it.

use mgs_schema::wire::RefusalReason;

/// Place of a part in the plan.
pub type PartNumber = usize;

/// Settings of one span.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Count of parts, 1 or more; the last one is the home's.
    pub parts: usize,
    /// When the request's allotted time ends, on the process's monotonic clock, in milliseconds.
    pub deadline_ms: u64,
    /// Pause before an endpoint that is taken, or couldn't be asked, is asked again.
    pub again_ms: u64,
    /// How often the first round asks an endpoint that is taken, while it keeps what it holds.
    pub asks: u32,
    /// How often any round asks, at most; each round asks twice as often as the one before.
    pub asks_max: u32,
    /// Pause between two rounds, with nothing held.
    pub rest_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            parts: 1,
            deadline_ms: 0,
            again_ms: 200,
            asks: 10,
            asks_max: 160,
            rest_ms: 500,
        }
    }
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The endpoint answered a reservation.
    Reserved {
        /// The part.
        part: PartNumber,
        /// Whether the memory is held.
        done: bool,
    },
    /// A reservation wasn't answered in time, or its path broke; it may be held.
    ReserveLost {
        /// The part.
        part: PartNumber,
    },
    /// The endpoint answered an export.
    Exported {
        /// The part.
        part: PartNumber,
        /// Whether its KV is exported.
        done: bool,
    },
    /// The home refused the request, which didn't run.
    HomeRefused,
    /// The home sent its first token: it has imported the parts.
    HomeStarted,
    /// The request ended at the home.
    HomeEnded,
    /// The endpoint confirmed a release.
    Released {
        /// The part.
        part: PartNumber,
    },
    /// A release wasn't answered.
    ReleaseLost {
        /// The part.
        part: PartNumber,
    },
    /// The time of an [`Action::WakeAfter`] has come.
    Wake,
    /// The caller went away before the request was dispatched.
    Cancelled,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reserve the part's memory, until the deadline.
    Reserve(PartNumber),
    /// Have the part processed and its KV exported.
    Export(PartNumber),
    /// Dispatch the request to the home with the exported parts. It is the gateway's from here on.
    Dispatch,
    /// Release the part's memory and KV.
    Release(PartNumber),
    /// Come back after this time, in milliseconds, or at the deadline if that is sooner.
    WakeAfter(u64),
    /// The request didn't run; a new plan may avoid this part's endpoint.
    Replan(PartNumber),
    /// The request didn't run and is to be refused.
    Refuse(RefusalReason),
    /// Nothing is held any more.
    Over,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Part {
    Free,
    /// Asked for.
    Asked,
    Held,
    Exporting,
    Exported,
    Releasing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Takes reservations; waits for this part's.
    Reserving(PartNumber),
    /// Waits to ask for this part again.
    Waiting(PartNumber),
    /// Holds nothing, or frees the last round's, and waits to begin anew.
    Resting,
    Exporting,
    Dispatched,
    /// Only releases are left.
    Leaving,
    Over,
}

/// The reservations of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Span {
    options: Options,
    parts: Vec<Part>,
    phase: Phase,
    /// Asks of one round.
    asks: u32,
    /// Asks left in this round.
    asks_left: u32,
    /// Whether the pause before the next round is over.
    rested: bool,
}

impl Span {
    /// A span that holds nothing, and what to do first.
    ///
    /// ```
    /// use mgs_request::span::Action;
    /// use mgs_request::span::Event;
    /// use mgs_request::span::Options;
    /// use mgs_request::span::Span;
    ///
    /// let options = Options { parts: 2, deadline_ms: 60_000, ..Options::default() };
    /// let (mut span, first) = Span::start(options);
    /// assert_eq!(first, vec![Action::Reserve(0)]);
    /// let next = span.on(Event::Reserved { part: 0, done: true }, 1);
    /// assert_eq!(next, vec![Action::Reserve(1)]);
    /// ```
    pub fn start(options: Options) -> (Self, Vec<Action>) {
        let mut span = Self {
            parts: vec![Part::Free; options.parts],
            phase: Phase::Resting,
            asks: options.asks,
            asks_left: 0,
            rested: true,
            options,
        };
        let actions = span.begin();
        (span, actions)
    }

    /// Takes in an event.
    pub fn on(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        match event {
            Event::Reserved { part, done } => self.reserved(part, done),
            Event::ReserveLost { part } => self.reserve_lost(part),
            Event::Exported { part, done } => self.exported(part, done),
            Event::HomeRefused => self.home_refused(),
            Event::HomeStarted => self.home_started(),
            Event::HomeEnded => self.home_ended(),
            Event::Released { part } => self.released(part),
            Event::ReleaseLost { part } => self.release_lost(part, now_ms),
            Event::Wake => self.wake(now_ms),
            Event::Cancelled => self.cancelled(),
        }
    }

    /// Whether nothing is held and nothing more will be.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    fn home(&self) -> PartNumber {
        self.options.parts - 1
    }

    /// Starts a round, once the pause is over and the last one's reservations are free.
    fn begin(&mut self) -> Vec<Action> {
        let free = self.parts.iter().all(|part| *part == Part::Free);
        if !free || !self.rested {
            return Vec::new();
        }
        self.asks_left = self.asks;
        self.asks = (self.asks * 2).min(self.options.asks_max);
        self.reserve(0)
    }

    fn reserve(&mut self, part: PartNumber) -> Vec<Action> {
        self.phase = Phase::Reserving(part);
        self.parts[part] = Part::Asked;
        vec![Action::Reserve(part)]
    }

    fn reserved(&mut self, part: PartNumber, done: bool) -> Vec<Action> {
        if self.parts[part] != Part::Asked {
            return Vec::new();
        }
        if self.phase != Phase::Reserving(part) {
            return self.answered_late(part, done);
        }
        if !done {
            self.parts[part] = Part::Free;
            return self.taken(part);
        }
        self.parts[part] = Part::Held;
        if part < self.home() {
            return self.reserve(part + 1);
        }
        self.export()
    }

    /// An endpoint is taken by others.
    fn taken(&mut self, part: PartNumber) -> Vec<Action> {
        self.asks_left = self.asks_left.saturating_sub(1);
        if self.asks_left > 0 {
            self.phase = Phase::Waiting(part);
            return vec![Action::WakeAfter(self.options.again_ms)];
        }
        self.phase = Phase::Resting;
        self.rested = false;
        let mut actions = self.release_all();
        actions.push(Action::WakeAfter(self.options.rest_ms));
        actions
    }

    fn reserve_lost(&mut self, part: PartNumber) -> Vec<Action> {
        if self.parts[part] != Part::Asked {
            return Vec::new();
        }
        if self.phase != Phase::Reserving(part) {
            return self.answered_late(part, true);
        }
        self.parts[part] = Part::Held;
        self.leave(Action::Replan(part))
    }

    /// The span is on its way out. A reservation is released only after its answer, or its loss:
    /// a release that overtakes it would leave it held.
    fn answered_late(&mut self, part: PartNumber, held: bool) -> Vec<Action> {
        self.parts[part] = if held { Part::Held } else { Part::Free };
        let mut actions: Vec<Action> = self.release(part).into_iter().collect();
        actions.extend(self.end_if_free());
        actions
    }

    fn export(&mut self) -> Vec<Action> {
        self.phase = Phase::Exporting;
        let home = self.home();
        for part in &mut self.parts[..home] {
            *part = Part::Exporting;
        }
        if home == 0 {
            return self.dispatch();
        }
        (0..home).map(Action::Export).collect()
    }

    fn exported(&mut self, part: PartNumber, done: bool) -> Vec<Action> {
        if self.phase != Phase::Exporting || self.parts[part] != Part::Exporting {
            return Vec::new();
        }
        if !done {
            return self.leave(Action::Replan(part));
        }
        self.parts[part] = Part::Exported;
        if self.parts.contains(&Part::Exporting) {
            return Vec::new();
        }
        self.dispatch()
    }

    fn dispatch(&mut self) -> Vec<Action> {
        self.phase = Phase::Dispatched;
        vec![Action::Dispatch]
    }

    fn home_refused(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.leave(Action::Replan(self.home()))
    }

    /// The exported parts are at the home now; their endpoints are free for others.
    fn home_started(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        (0..self.home())
            .filter_map(|part| self.release(part))
            .collect()
    }

    fn home_ended(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Leaving;
        let mut actions = self.release_all();
        actions.extend(self.end_if_free());
        actions
    }

    /// Gives up before the request ran.
    fn leave(&mut self, why: Action) -> Vec<Action> {
        self.phase = Phase::Leaving;
        let mut actions = vec![why];
        actions.extend(self.release_all());
        actions.extend(self.end_if_free());
        actions
    }

    fn cancelled(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched | Phase::Leaving | Phase::Over => Vec::new(),
            _ => self.leave(Action::Refuse(RefusalReason::Cancelled)),
        }
    }

    fn release_all(&mut self) -> Vec<Action> {
        let parts = 0..self.parts.len();
        parts.filter_map(|part| self.release(part)).collect()
    }

    fn release(&mut self, part: PartNumber) -> Option<Action> {
        match self.parts[part] {
            Part::Free | Part::Asked | Part::Releasing => None,
            _ => {
                self.parts[part] = Part::Releasing;
                Some(Action::Release(part))
            }
        }
    }

    fn released(&mut self, part: PartNumber) -> Vec<Action> {
        if self.parts[part] != Part::Releasing {
            return Vec::new();
        }
        self.parts[part] = Part::Free;
        match self.phase {
            Phase::Resting => self.begin(),
            _ => self.end_if_free().into_iter().collect(),
        }
    }

    /// Past the deadline, the endpoint has ended the reservation by itself.
    fn release_lost(&mut self, part: PartNumber, now_ms: u64) -> Vec<Action> {
        if self.parts[part] != Part::Releasing {
            return Vec::new();
        }
        if now_ms >= self.options.deadline_ms {
            return self.released(part);
        }
        vec![Action::Release(part)]
    }

    fn end_if_free(&mut self) -> Option<Action> {
        let free = self.parts.iter().all(|part| *part == Part::Free);
        if self.phase != Phase::Leaving || !free {
            return None;
        }
        self.phase = Phase::Over;
        Some(Action::Over)
    }

    fn wake(&mut self, now_ms: u64) -> Vec<Action> {
        let late = now_ms >= self.options.deadline_ms;
        match self.phase {
            Phase::Dispatched | Phase::Leaving | Phase::Over => Vec::new(),
            _ if late => self.leave(Action::Refuse(RefusalReason::Deadline)),
            Phase::Waiting(part) => self.reserve(part),
            Phase::Resting => {
                self.rested = true;
                self.begin()
            }
            Phase::Reserving(_) | Phase::Exporting => Vec::new(),
        }
    }
}
