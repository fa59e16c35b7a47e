//! A small world around one request: its sidecars, the network, and a clock of a few ticks.
//!
//! Each attempt has a sidecar of its own. Messages arrive in any order; a path may break at any
//! moment, and what was sent on it may still arrive later; sidecars may be started again.

use std::collections::HashSet;

use mgs_request::budget::Budget;
use mgs_request::event::Action;
use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::life::Life;
use mgs_request::life::Options;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::WithdrawState;

/// Frames of a whole answer.
pub(crate) const FRAMES: u64 = 2;

/// The last tick; the deadline of the request.
pub(crate) const DEADLINE_MS: u64 = 3;

/// How much may go wrong in one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub(crate) lost_paths: u8,
    pub(crate) crashes: u8,
    pub(crate) not_sent: u8,
    pub(crate) doubled_frames: u8,
    pub(crate) engine_failures: u8,
    pub(crate) refusals: u8,
    pub(crate) caller_gone: u8,
    /// Attempts that gather memory at several endpoints first.
    pub(crate) spans: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Ask {
    Dispatch { incarnation: u8 },
    Withdraw { incarnation: u8 },
    Resume { next_seq: u64 },
}

/// A message to an attempt's sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sent {
    attempt: usize,
    call: u8,
    ask: Ask,
}

/// What a sidecar does with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Work {
    Unknown,
    Tombstone,
    Queued,
    Running { produced: u64 },
    Answered,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    incarnation: u8,
    work: Work,
    /// Whether the request ever ran here, whatever the sidecar remembers.
    ran: bool,
    /// Whether it was told to end the request.
    cancelled: bool,
    /// The call that reads the answer.
    reader: Option<u8>,
    /// The gateway's present call; replies to others are dropped.
    call: u8,
    /// Incarnation that the dispatch was meant for.
    meant_for: u8,
    /// Replies under way to the present call, in any order.
    replies: Vec<Event>,
    /// Whether memory for the attempt is being gathered.
    gathering: bool,
}

/// One state of the world.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    life: Life,
    now_ms: u64,
    sidecars: Vec<Sidecar>,
    sent: Vec<Sent>,
    faults: Faults,
    delivered: Vec<TokenFrame>,
    end: Option<End>,
    idempotent: bool,
}

/// A rule that was broken.
pub(crate) type Violation = &'static str;

type Next = Result<World, Violation>;

fn frame(attempt: usize, seq: u64) -> Event {
    Event::Frame {
        attempt: attempt as AttemptNumber + 1,
        frame: TokenFrame {
            seq,
            tokens: 1,
            text: format!("{attempt}/{seq}"),
        },
    }
}

fn finished(attempt: usize, outcome: Outcome) -> Event {
    let failure = match outcome {
        Outcome::Failed => FailureReason::Endpoint,
        _ => FailureReason::Unspecified,
    };
    Event::Finished {
        attempt: attempt as AttemptNumber + 1,
        finished: Finished {
            outcome: outcome.into(),
            failure: failure.into(),
            frames: FRAMES,
            ..Finished::default()
        },
    }
}

fn refused(attempt: usize, reason: RefusalReason) -> Event {
    Event::Refused {
        attempt: attempt as AttemptNumber + 1,
        refusal: Refusal::new(reason, ""),
    }
}

impl World {
    pub(crate) fn begin(options: Options, faults: Faults, budget: &Budget) -> Vec<World> {
        let idempotent = options.idempotent;
        let (life, actions) = Life::begin(options);
        let world = World {
            life,
            now_ms: 0,
            sidecars: Vec::new(),
            sent: Vec::new(),
            faults,
            delivered: Vec::new(),
            end: None,
            idempotent,
        };
        let started = world.act(actions, budget);
        started.into_iter().map(|next| next.unwrap()).collect()
    }

    /// Tells the life an event and carries out its actions, in each way that they can go.
    fn tell(mut self, event: Event, budget: &Budget) -> Vec<Next> {
        let actions = self.life.on(self.now_ms, event, budget);
        self.act(actions, budget)
    }

    fn act(self, actions: Vec<Action>, budget: &Budget) -> Vec<Next> {
        let mut worlds = vec![(self, Vec::new())];
        for action in &actions {
            let mut after = Vec::new();
            for (world, events) in worlds {
                match world.carry_out(action, events) {
                    Ok(more) => after.extend(more),
                    Err(violation) => return vec![Err(violation)],
                }
            }
            worlds = after;
        }
        let mut nexts = Vec::new();
        for (world, events) in worlds {
            nexts.extend(world.tell_all(events, budget));
        }
        nexts
    }

    fn tell_all(self, events: Vec<Event>, budget: &Budget) -> Vec<Next> {
        let mut worlds = vec![Ok(self)];
        for event in events {
            let tell = |next: Next| match next {
                Ok(world) => world.tell(event.clone(), budget),
                Err(violation) => vec![Err(violation)],
            };
            worlds = worlds.into_iter().flat_map(tell).collect();
        }
        worlds
    }

    /// Carries out one action; gives the worlds that may follow, with what the life is told next.
    fn carry_out(
        mut self,
        action: &Action,
        mut events: Vec<Event>,
    ) -> Result<Vec<(World, Vec<Event>)>, Violation> {
        if self.end.is_some() && !matches!(action, Action::Cancel { .. }) {
            return Err("acted after its end");
        }
        match action {
            Action::Deliver(frame) => self.delivered.push(frame.clone()),
            Action::Finish(end) => self.end = Some(end.clone()),
            Action::Cancel { attempt } => {
                self.sidecars[*attempt as usize - 1].cancelled = true;
            }
            Action::Dispatch { attempt, .. } => {
                let index = *attempt as usize - 1;
                if self.sidecars.len() == index {
                    self.sidecars.push(Sidecar {
                        incarnation: 0,
                        work: Work::Unknown,
                        ran: false,
                        cancelled: false,
                        reader: None,
                        call: 0,
                        meant_for: 0,
                        replies: Vec::new(),
                        gathering: false,
                    });
                }
                let mut ways = self.gather(index, &events);
                let incarnation = self.sidecars[index].incarnation;
                self.sidecars[index].meant_for = incarnation;
                ways.extend(self.send(index, Ask::Dispatch { incarnation }, events));
                return Ok(ways);
            }
            Action::Withdraw { attempt } => {
                let index = *attempt as usize - 1;
                let incarnation = self.sidecars[index].meant_for;
                return Ok(self.send(index, Ask::Withdraw { incarnation }, events));
            }
            Action::Resume { attempt, next_seq } => {
                let index = *attempt as usize - 1;
                let next_seq = *next_seq;
                return Ok(self.send(index, Ask::Resume { next_seq }, events));
            }
        }
        events.shrink_to_fit();
        Ok(vec![(self, events)])
    }

    /// The attempt's prompt exceeds one engine's memory: nothing is sent yet.
    fn gather(&self, attempt: usize, events: &[Event]) -> Vec<(World, Vec<Event>)> {
        if self.faults.spans == 0 {
            return Vec::new();
        }
        let mut world = self.clone();
        world.faults.spans -= 1;
        world.sidecars[attempt].gathering = true;
        let number = attempt as AttemptNumber + 1;
        let mut events = events.to_vec();
        events.push(Event::Gathering { attempt: number });
        vec![(world, events)]
    }

    /// The memory is there, or can't be had.
    fn gathered(&self, attempt: usize, budget: &Budget) -> Vec<Next> {
        let number = attempt as AttemptNumber + 1;
        if !self.sidecars[attempt].gathering || !self.life.wants_dispatch(number) {
            return Vec::new();
        }
        let mut world = self.clone();
        world.sidecars[attempt].gathering = false;
        let mut nexts = Vec::new();
        for busy in [false, true] {
            let refusal = Refusal::new(RefusalReason::NoEndpoint, "");
            let none = Event::NoEndpoint {
                attempt: number,
                refusal,
                busy,
            };
            nexts.extend(world.clone().tell(none, budget));
        }
        let incarnation = world.sidecars[attempt].incarnation;
        world.sidecars[attempt].meant_for = incarnation;
        let gathered = vec![Event::Gathered { attempt: number }];
        for (world, events) in world.send(attempt, Ask::Dispatch { incarnation }, gathered) {
            nexts.extend(world.tell_all(events, budget));
        }
        nexts
    }

    /// Sends a message on a new call, or fails to.
    fn send(mut self, attempt: usize, ask: Ask, events: Vec<Event>) -> Vec<(World, Vec<Event>)> {
        let number = attempt as AttemptNumber + 1;
        let mut ways = Vec::new();
        if self.faults.not_sent > 0 {
            let mut other = self.clone();
            other.faults.not_sent -= 1;
            let mut events = events.clone();
            events.push(Event::NotSent { attempt: number });
            ways.push((other, events));
        }
        let sidecar = &mut self.sidecars[attempt];
        sidecar.call += 1;
        sidecar.replies.clear();
        let call = sidecar.call;
        self.sent.push(Sent { attempt, call, ask });
        self.sent.sort();
        let mut events = events;
        if matches!(ask, Ask::Dispatch { .. }) {
            events.push(Event::Sent {
                attempt: number,
                first_token_ms: 0,
            });
        }
        ways.push((self, events));
        ways
    }

    /// Each state that may follow this one.
    pub(crate) fn nexts(&self, budget: &Budget) -> Vec<Next> {
        let mut nexts = Vec::new();
        for index in 0..self.sent.len() {
            nexts.extend(self.arrive(index).into_iter().map(Ok));
        }
        for attempt in 0..self.sidecars.len() {
            nexts.extend(self.work(attempt).into_iter().map(Ok));
            nexts.extend(self.hear(attempt, budget));
            nexts.extend(self.lose(attempt, budget));
            nexts.extend(self.gathered(attempt, budget));
        }
        if self.now_ms < DEADLINE_MS {
            let mut later = self.clone();
            later.now_ms += 1;
            nexts.extend(later.tell(Event::Tick, budget));
        }
        if self.faults.caller_gone > 0 && self.end.is_none() {
            let mut gone = self.clone();
            gone.faults.caller_gone -= 1;
            nexts.extend(gone.tell(Event::CallerGone, budget));
        }
        nexts
    }

    /// A message reaches its sidecar.
    fn arrive(&self, index: usize) -> Vec<World> {
        let mut world = self.clone();
        let Sent { attempt, call, ask } = world.sent.remove(index);
        let mut ways = Vec::new();
        let sidecar = &mut world.sidecars[attempt];
        match ask {
            Ask::Dispatch { incarnation } if incarnation != sidecar.incarnation => {
                sidecar.reply(call, refused(attempt, RefusalReason::StaleIncarnation));
            }
            Ask::Dispatch { .. } => match sidecar.work {
                Work::Unknown => {
                    if world.faults.refusals > 0 {
                        let mut other = world.clone();
                        other.faults.refusals -= 1;
                        let event = refused(attempt, RefusalReason::Busy);
                        other.sidecars[attempt].reply(call, event);
                        ways.push(other);
                    }
                    let sidecar = &mut world.sidecars[attempt];
                    sidecar.work = Work::Queued;
                    sidecar.reader = Some(call);
                    let attempt = attempt as AttemptNumber + 1;
                    sidecar.reply(call, Event::Accepted { attempt });
                }
                Work::Tombstone => {
                    sidecar.reply(call, refused(attempt, RefusalReason::Withdrawn));
                }
                _ => sidecar.reply(call, refused(attempt, RefusalReason::Duplicate)),
            },
            Ask::Withdraw { incarnation } => {
                let state = sidecar.withdraw(incarnation);
                let attempt = attempt as AttemptNumber + 1;
                sidecar.reply(call, Event::Withdrawn { attempt, state });
            }
            Ask::Resume { next_seq } => sidecar.resume(attempt, call, next_seq),
        }
        ways.push(world);
        ways
    }

    /// A sidecar goes on with its work.
    fn work(&self, attempt: usize) -> Vec<World> {
        let mut ways = Vec::new();
        let mut world = self.clone();
        let sidecar = &mut world.sidecars[attempt];
        match sidecar.work {
            Work::Queued => {
                sidecar.work = Work::Running { produced: 0 };
                sidecar.ran = true;
                ways.push(world);
            }
            Work::Running { produced } => {
                if self.faults.engine_failures > 0 {
                    let mut failed = self.clone();
                    failed.faults.engine_failures -= 1;
                    let sidecar = &mut failed.sidecars[attempt];
                    sidecar.work = Work::Failed;
                    sidecar.tell_reader(finished(attempt, Outcome::Failed));
                    ways.push(failed);
                }
                if produced < FRAMES {
                    sidecar.work = Work::Running {
                        produced: produced + 1,
                    };
                    sidecar.tell_reader(frame(attempt, produced));
                } else {
                    sidecar.work = Work::Answered;
                    sidecar.tell_reader(finished(attempt, Outcome::Answered));
                }
                ways.push(world);
            }
            _ => {}
        }
        ways
    }

    /// The gateway hears one of the replies under way.
    fn hear(&self, attempt: usize, budget: &Budget) -> Vec<Next> {
        let mut nexts = Vec::new();
        for index in 0..self.sidecars[attempt].replies.len() {
            let mut world = self.clone();
            let event = world.sidecars[attempt].replies.remove(index);
            if self.faults.doubled_frames > 0 && matches!(event, Event::Frame { .. }) {
                let mut doubled = self.clone();
                doubled.faults.doubled_frames -= 1;
                nexts.extend(doubled.tell(event.clone(), budget));
            }
            nexts.extend(world.tell(event, budget));
        }
        nexts
    }

    /// The path to a sidecar breaks, with or without the sidecar's own end.
    fn lose(&self, attempt: usize, budget: &Budget) -> Vec<Next> {
        let mut nexts = Vec::new();
        let number = attempt as AttemptNumber + 1;
        if self.faults.lost_paths > 0 {
            let mut lost = self.clone();
            lost.faults.lost_paths -= 1;
            lost.sidecars[attempt].hang_up();
            nexts.extend(lost.tell(Event::PathLost { attempt: number }, budget));
        }
        if self.faults.crashes > 0 {
            let mut crashed = self.clone();
            crashed.faults.crashes -= 1;
            let sidecar = &mut crashed.sidecars[attempt];
            sidecar.hang_up();
            sidecar.incarnation += 1;
            sidecar.work = Work::Unknown;
            nexts.extend(crashed.tell(Event::PathLost { attempt: number }, budget));
        }
        nexts
    }

    /// Checks what must hold in each state.
    pub(crate) fn check(&self) -> Result<(), Violation> {
        let ran = self.sidecars.iter().filter(|sidecar| sidecar.ran).count();
        if !self.idempotent && ran > 1 {
            return Err("a non-idempotent request ran twice");
        }
        let source = self.delivered.first().map(|frame| &frame.text[..1]);
        for (seq, frame) in self.delivered.iter().enumerate() {
            if frame.seq != seq as u64 || Some(&frame.text[..1]) != source {
                return Err("the answer was spliced or out of order");
            }
        }
        match &self.end {
            Some(End::Refused(_)) if ran > 0 => return Err("refused, and ran"),
            Some(End::Failed(..)) if ran == 0 => return Err("failed, and never ran"),
            Some(End::Answered(_)) if self.delivered.len() as u64 != FRAMES => {
                return Err("answered, and not whole");
            }
            Some(_) if self.sidecars.iter().any(Sidecar::is_left_running) => {
                return Err("ended, and left running");
            }
            None if self.now_ms >= DEADLINE_MS => return Err("no end by the deadline"),
            _ => {}
        }
        Ok(())
    }

    pub(crate) fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }
}

impl Sidecar {
    fn reply(&mut self, call: u8, event: Event) {
        if call == self.call {
            self.replies.push(event);
        }
    }

    fn tell_reader(&mut self, event: Event) {
        if let Some(call) = self.reader {
            self.reply(call, event);
        }
    }

    fn hang_up(&mut self) {
        self.replies.clear();
        self.reader = None;
        self.call += 1;
    }

    /// Whether it works for nobody and hasn't been told.
    fn is_left_running(&self) -> bool {
        let works = matches!(self.work, Work::Queued | Work::Running { .. });
        works && !self.cancelled
    }

    fn withdraw(&mut self, incarnation: u8) -> WithdrawState {
        if incarnation != self.incarnation {
            return WithdrawState::CannotTell;
        }
        match self.work {
            Work::Unknown | Work::Tombstone | Work::Queued => {
                self.work = Work::Tombstone;
                WithdrawState::NeverStarted
            }
            Work::Running { .. } => WithdrawState::Running,
            Work::Answered | Work::Failed => WithdrawState::Finished,
        }
    }

    fn resume(&mut self, attempt: usize, call: u8, next_seq: u64) {
        self.reader = Some(call);
        let produced = match self.work {
            Work::Unknown | Work::Tombstone => {
                return self.reply(call, refused(attempt, RefusalReason::BadRequest));
            }
            Work::Queued => 0,
            Work::Running { produced } => produced,
            Work::Answered => FRAMES,
            Work::Failed => 0,
        };
        for seq in next_seq..produced {
            self.reply(call, frame(attempt, seq));
        }
        match self.work {
            Work::Answered => self.reply(call, finished(attempt, Outcome::Answered)),
            Work::Failed => self.reply(call, finished(attempt, Outcome::Failed)),
            _ => {}
        }
    }
}

/// What an exploration found.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) states: usize,
    pub(crate) outcomes: HashSet<String>,
    pub(crate) violation: Option<Violation>,
}

/// Goes through every order of events, each state once.
pub(crate) fn explore(options: Options, faults: Faults, budget: &Budget) -> Found {
    let mut found = Found::default();
    let mut seen = HashSet::new();
    let mut open = World::begin(options, faults, budget);
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        if let Some(end) = world.end() {
            found.outcomes.insert(format!("{:?}", end.outcome()));
        }
        if let Err(violation) = world.check() {
            found.violation = Some(violation);
            break;
        }
        for next in world.nexts(budget) {
            match next {
                Ok(next) => open.push(next),
                Err(violation) => {
                    found.violation = Some(violation);
                    return found;
                }
            }
        }
    }
    found.states = seen.len();
    found
}
