//! Spans: all-or-nothing reservations at several endpoints, for a prompt that exceeds the memory of
//! one engine.
//!
//! The parts of the prompt are assigned to endpoints that declare spans. Each part but the last is
//! processed at its endpoint and its KV cache is exported. The endpoint of the last part, the home,
//! imports them and generates the response. Before any processing, each endpoint reserves the
//! memory of its part.
//!
//! - Reservations are made one after another in the order of the plan, which is the same at each
//!   gateway, so that spans can't deadlock.
//! - A span that finds an endpoint busy keeps its reservations and retries a limited number of
//!   times; then it releases all of them, backs off and starts a new round. The limit grows with
//!   each round, so that the span that has tried longest keeps its reservations longest and none
//!   starves.
//! - On each exit, every reservation that may be held is released. A release is repeated until it
//!   is confirmed or the reservation has expired, which happens at the request's deadline.
//!
//! The state machine reads no clock and sends nothing; the gateway drives it.

use mgs_schema::wire::RefusalReason;

/// Index of a part in the plan.
pub type PartNumber = usize;

/// Settings of one span.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Number of parts, at least 1; the last one belongs to the home.
    pub parts: usize,
    /// Deadline of the request on the process's monotonic clock, in milliseconds.
    pub deadline_ms: u64,
    /// Delay before a reservation at a busy or unreachable endpoint is retried, in milliseconds.
    pub retry_ms: u64,
    /// Number of refused reservations after which the first round releases everything.
    pub tries: u32,
    /// Maximum of `tries`, which doubles with each round.
    pub tries_max: u32,
    /// Delay between two rounds, in milliseconds, without reservations.
    pub backoff_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            parts: 1,
            deadline_ms: 0,
            retry_ms: 200,
            tries: 10,
            tries_max: 160,
            backoff_ms: 500,
        }
    }
}

/// Input of the span state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The endpoint replied to a reservation.
    Reserved {
        /// Index of the part.
        part: PartNumber,
        /// Whether the memory is reserved.
        done: bool,
    },
    /// A reservation timed out or its connection broke; the memory may be reserved.
    ReserveLost {
        /// Index of the part.
        part: PartNumber,
    },
    /// The endpoint replied to an export.
    Exported {
        /// Index of the part.
        part: PartNumber,
        /// Whether the KV cache of the part was exported.
        done: bool,
    },
    /// The home refused the request, which didn't run.
    HomeRefused,
    /// The home sent the first token, so it has imported the parts.
    HomeStarted,
    /// The request ended at the home.
    HomeEnded,
    /// The endpoint confirmed a release.
    Released {
        /// Index of the part.
        part: PartNumber,
    },
    /// A release got no reply.
    ReleaseLost {
        /// Index of the part.
        part: PartNumber,
    },
    /// The delay of an [`Action::WakeAfter`] has passed.
    Wake,
    /// The caller disconnected before the request was dispatched.
    Cancelled,
}

/// Output of the span state machine, carried out by the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reserve the memory of the part until the deadline.
    Reserve(PartNumber),
    /// Have the part processed and its KV cache exported.
    Export(PartNumber),
    /// Dispatch the request to the home with the exported parts. From then on the gateway decides
    /// how the request ends.
    Dispatch,
    /// Release the memory and the KV cache of the part.
    Release(PartNumber),
    /// Send [`Event::Wake`] after this delay, in milliseconds, or at the deadline if that is
    /// sooner.
    WakeAfter(u64),
    /// Make a new plan, which may avoid the endpoint of this part; the request didn't run.
    Replan(PartNumber),
    /// Refuse the request, which didn't run.
    Refuse(RefusalReason),
    /// All reservations are released; no further actions follow.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Part {
    Free,
    /// The reservation was sent and not yet answered.
    Requested,
    Reserved,
    Exporting,
    Exported,
    Releasing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Makes reservations; the one of this part is pending.
    Reserving(PartNumber),
    /// Waits to retry the reservation of this part.
    WaitingToRetry(PartNumber),
    /// Waits for the releases of the last round and for the end of the backoff.
    BackingOff,
    Exporting,
    Dispatched,
    /// Only releases are pending.
    Releasing,
    Done,
}

/// The reservations of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Span {
    options: Options,
    parts: Vec<Part>,
    phase: Phase,
    /// Tries of the next round.
    tries: u32,
    /// Tries left in this round.
    tries_left: u32,
    /// Whether the backoff before the next round has passed.
    backoff_elapsed: bool,
}

impl Span {
    /// Creates a span without reservations and returns its first actions.
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
    /// let next = span.handle_event(Event::Reserved { part: 0, done: true }, 1);
    /// assert_eq!(next, vec![Action::Reserve(1)]);
    /// ```
    pub fn start(options: Options) -> (Self, Vec<Action>) {
        let mut span = Self {
            parts: vec![Part::Free; options.parts],
            phase: Phase::BackingOff,
            tries: options.tries,
            tries_left: 0,
            backoff_elapsed: true,
            options,
        };
        let actions = span.begin_round();
        (span, actions)
    }

    /// Applies an event and returns the resulting actions in order.
    pub fn handle_event(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
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

    /// Whether all reservations are released and no further one will be made.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    fn home(&self) -> PartNumber {
        self.options.parts - 1
    }

    /// Starts a round once the backoff has passed and the reservations of the last round are
    /// released.
    fn begin_round(&mut self) -> Vec<Action> {
        let free = self.parts.iter().all(|part| *part == Part::Free);
        if !free || !self.backoff_elapsed {
            return Vec::new();
        }
        self.tries_left = self.tries;
        self.tries = (self.tries * 2).min(self.options.tries_max);
        self.reserve(0)
    }

    fn reserve(&mut self, part: PartNumber) -> Vec<Action> {
        self.phase = Phase::Reserving(part);
        self.parts[part] = Part::Requested;
        vec![Action::Reserve(part)]
    }

    fn reserved(&mut self, part: PartNumber, done: bool) -> Vec<Action> {
        if self.parts[part] != Part::Requested {
            return Vec::new();
        }
        if self.phase != Phase::Reserving(part) {
            return self.reservation_resolved_late(part, done);
        }
        if !done {
            self.parts[part] = Part::Free;
            return self.endpoint_busy(part);
        }
        self.parts[part] = Part::Reserved;
        if part < self.home() {
            return self.reserve(part + 1);
        }
        self.export()
    }

    /// Handles a refused reservation: retries it later, or releases everything and backs off.
    fn endpoint_busy(&mut self, part: PartNumber) -> Vec<Action> {
        self.tries_left = self.tries_left.saturating_sub(1);
        if self.tries_left > 0 {
            self.phase = Phase::WaitingToRetry(part);
            return vec![Action::WakeAfter(self.options.retry_ms)];
        }
        self.phase = Phase::BackingOff;
        self.backoff_elapsed = false;
        let mut actions = self.release_all();
        actions.push(Action::WakeAfter(self.options.backoff_ms));
        actions
    }

    fn reserve_lost(&mut self, part: PartNumber) -> Vec<Action> {
        if self.parts[part] != Part::Requested {
            return Vec::new();
        }
        if self.phase != Phase::Reserving(part) {
            return self.reservation_resolved_late(part, true);
        }
        self.parts[part] = Part::Reserved;
        self.abort(Action::Replan(part))
    }

    /// Handles the reply to a reservation that is no longer needed. It is released only after its
    /// reply or loss, since a release that overtakes the reservation would leave it in place.
    fn reservation_resolved_late(&mut self, part: PartNumber, held: bool) -> Vec<Action> {
        self.parts[part] = if held { Part::Reserved } else { Part::Free };
        let mut actions: Vec<Action> = self.release(part).into_iter().collect();
        actions.extend(self.finish_if_free());
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
            return self.abort(Action::Replan(part));
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
        self.abort(Action::Replan(self.home()))
    }

    /// Releases the exported parts, since the home has imported them.
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
        self.phase = Phase::Releasing;
        let mut actions = self.release_all();
        actions.extend(self.finish_if_free());
        actions
    }

    /// Ends the span before the request ran.
    fn abort(&mut self, reason: Action) -> Vec<Action> {
        self.phase = Phase::Releasing;
        let mut actions = vec![reason];
        actions.extend(self.release_all());
        actions.extend(self.finish_if_free());
        actions
    }

    fn cancelled(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched | Phase::Releasing | Phase::Done => Vec::new(),
            _ => self.abort(Action::Refuse(RefusalReason::Cancelled)),
        }
    }

    fn release_all(&mut self) -> Vec<Action> {
        let parts = 0..self.parts.len();
        parts.filter_map(|part| self.release(part)).collect()
    }

    fn release(&mut self, part: PartNumber) -> Option<Action> {
        match self.parts[part] {
            Part::Free | Part::Requested | Part::Releasing => None,
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
            Phase::BackingOff => self.begin_round(),
            _ => self.finish_if_free().into_iter().collect(),
        }
    }

    /// Repeats a release. Past the deadline the reservation has expired at the endpoint.
    fn release_lost(&mut self, part: PartNumber, now_ms: u64) -> Vec<Action> {
        if self.parts[part] != Part::Releasing {
            return Vec::new();
        }
        if now_ms >= self.options.deadline_ms {
            return self.released(part);
        }
        vec![Action::Release(part)]
    }

    fn finish_if_free(&mut self) -> Option<Action> {
        let free = self.parts.iter().all(|part| *part == Part::Free);
        if self.phase != Phase::Releasing || !free {
            return None;
        }
        self.phase = Phase::Done;
        Some(Action::Done)
    }

    fn wake(&mut self, now_ms: u64) -> Vec<Action> {
        let deadline_passed = now_ms >= self.options.deadline_ms;
        match self.phase {
            Phase::Dispatched | Phase::Releasing | Phase::Done => Vec::new(),
            _ if deadline_passed => self.abort(Action::Refuse(RefusalReason::Deadline)),
            Phase::WaitingToRetry(part) => self.reserve(part),
            Phase::BackingOff => {
                self.backoff_elapsed = true;
                self.begin_round()
            }
            Phase::Reserving(_) | Phase::Exporting => Vec::new(),
        }
    }
}
