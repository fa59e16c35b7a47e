//! Spans: the ways of one, and every interleaving of two that want the same endpoints.

use std::collections::HashMap;
use std::collections::VecDeque;

use rstest::rstest;

use mgs_request::span::Action;
use mgs_request::span::Event;
use mgs_request::span::Options;
use mgs_request::span::Span;
use mgs_schema::wire::RefusalReason;

/// A time before the deadline; the machine asks for no other.
const NOW_MS: u64 = 0;

const DEADLINE_MS: u64 = 60_000;

fn options(parts: usize) -> Options {
    Options {
        parts,
        deadline_ms: DEADLINE_MS,
        again_ms: 1,
        asks: 1,
        asks_max: 2,
        rest_ms: 5,
    }
}

#[test]
fn a_span_takes_exports_dispatches_and_frees() {
    let (mut span, _) = Span::start(options(3));
    let mut on = |event| span.on(event, 0);
    let reserved = |part| Event::Reserved { part, done: true };
    let exported = |part| Event::Exported { part, done: true };
    on(reserved(0));
    on(reserved(1));
    assert_eq!(on(reserved(2)), vec![Action::Export(0), Action::Export(1)]);
    assert_eq!(on(exported(1)), vec![]);
    assert_eq!(on(exported(0)), vec![Action::Dispatch]);
    assert_eq!(
        on(Event::HomeStarted),
        vec![Action::Release(0), Action::Release(1)]
    );
    assert_eq!(on(Event::Released { part: 0 }), vec![]);
    assert_eq!(on(Event::HomeEnded), vec![Action::Release(2)]);
    assert_eq!(on(Event::Released { part: 2 }), vec![]);
    assert_eq!(on(Event::ReleaseLost { part: 1 }), vec![Action::Release(1)]);
    assert_eq!(on(Event::Released { part: 1 }), vec![Action::Over]);
}

#[rstest]
#[case(Event::Exported { part: 0, done: false }, Action::Replan(0))]
#[case(Event::Cancelled, Action::Refuse(RefusalReason::Cancelled))]
fn each_way_out_frees_all(#[case] event: Event, #[case] why: Action) {
    let (mut span, _) = Span::start(options(2));
    span.on(
        Event::Reserved {
            part: 0,
            done: true,
        },
        0,
    );
    span.on(
        Event::Reserved {
            part: 1,
            done: true,
        },
        0,
    );
    let expected = vec![why, Action::Release(0), Action::Release(1)];
    assert_eq!(span.on(event, 0), expected);
}

#[test]
fn what_is_held_is_held_for_a_limited_time() {
    let (mut span, _) = Span::start(options(2));
    let taken = Event::Reserved {
        part: 1,
        done: false,
    };
    let mut on = |event| span.on(event, NOW_MS);
    on(Event::Reserved {
        part: 0,
        done: true,
    });
    assert_eq!(on(taken), vec![Action::Release(0), Action::WakeAfter(5)]);
    assert_eq!(on(Event::Wake), vec![]);
    assert_eq!(on(Event::Released { part: 0 }), vec![Action::Reserve(0)]);
    // The second round asks once more before it lets go.
    on(Event::Reserved {
        part: 0,
        done: true,
    });
    assert_eq!(on(taken), vec![Action::WakeAfter(1)]);
    assert_eq!(on(Event::Wake), vec![Action::Reserve(1)]);
    assert_eq!(on(taken), vec![Action::Release(0), Action::WakeAfter(5)]);
}

#[test]
fn past_the_deadline_nothing_is_asked_for() {
    let (mut span, _) = Span::start(options(2));
    span.on(
        Event::Reserved {
            part: 0,
            done: true,
        },
        NOW_MS,
    );
    let taken = Event::Reserved {
        part: 1,
        done: false,
    };
    span.on(taken, NOW_MS);
    let refused = Action::Refuse(RefusalReason::Deadline);
    assert_eq!(span.on(Event::Wake, DEADLINE_MS), vec![refused]);
    assert_eq!(
        span.on(Event::ReleaseLost { part: 0 }, DEADLINE_MS),
        vec![Action::Over]
    );
}

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    /// A reservation whose reply was lost counts as refused.
    LostMeansRefused,
    /// A release is sent once, whether or not it arrives.
    ReleasedOnce,
    /// Two gateways take reservations in opposite orders and never let go.
    OppositeOrders,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Side {
    span: Span,
    todo: Vec<Action>,
    dispatched: bool,
    started: bool,
    dispatched_once: bool,
    dead: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    sides: Vec<Side>,
    /// Who holds each endpoint, which has room for one part.
    held: Vec<Option<usize>>,
    faults: u8,
}

impl World {
    fn start(faults: u8) -> Self {
        let side = || {
            let (span, todo) = Span::start(options(2));
            Side {
                span,
                todo,
                dispatched: false,
                started: false,
                dispatched_once: false,
                dead: false,
            }
        };
        Self {
            sides: vec![side(), side()],
            held: vec![None; 2],
            faults,
        }
    }

    fn feed(mut self, side: usize, event: Event, now_ms: u64) -> Self {
        let actions = self.sides[side].span.on(event, now_ms);
        for action in actions {
            match action {
                Action::Dispatch => {
                    self.sides[side].dispatched = true;
                    self.sides[side].dispatched_once = true;
                }
                Action::Over | Action::Replan(_) | Action::Refuse(_) => {}
                Action::WakeAfter(_) => self.sides[side].todo.push(Action::WakeAfter(0)),
                action => self.sides[side].todo.push(action),
            }
        }
        self.sides[side]
            .todo
            .sort_by_key(|action| format!("{action:?}"));
        self.sides[side].todo.dedup();
        self
    }

    fn faulty(&self) -> Option<Self> {
        let mut next = self.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    fn settled(&self) -> bool {
        let over = |side: &Side| side.dead || side.span.is_over();
        self.sides.iter().all(over) && self.held.iter().all(Option::is_none)
    }
}

fn endpoint(side: usize, part: usize, bug: Option<Bug>) -> usize {
    match bug {
        Some(Bug::OppositeOrders) if side == 1 => 1 - part,
        _ => part,
    }
}

fn act(world: &World, side: usize, action: Action, bug: Option<Bug>, out: &mut Vec<World>) {
    let mut next = world.clone();
    next.sides[side].todo.retain(|other| *other != action);
    match action {
        Action::Reserve(part) => {
            let at = endpoint(side, part, bug);
            let done = next.held[at].is_none_or(|holder| holder == side);
            if done {
                next.held[at] = Some(side);
            }
            if let Some(lost) = next.faulty() {
                let event = match bug {
                    Some(Bug::LostMeansRefused) => Event::Reserved { part, done: false },
                    _ => Event::ReserveLost { part },
                };
                out.push(lost.feed(side, event, NOW_MS));
            }
            // With the last bug, a span asks for ever and keeps what it holds.
            if done || bug != Some(Bug::OppositeOrders) {
                out.push(next.feed(side, Event::Reserved { part, done }, NOW_MS));
            }
        }
        Action::Export(part) => {
            if let Some(failed) = next.faulty() {
                let event = Event::Exported { part, done: false };
                out.push(failed.feed(side, event, NOW_MS));
            }
            out.push(next.feed(side, Event::Exported { part, done: true }, NOW_MS));
        }
        Action::Release(part) => {
            if let Some(lost) = next.faulty() {
                let event = match bug {
                    Some(Bug::ReleasedOnce) => Event::Released { part },
                    _ => Event::ReleaseLost { part },
                };
                out.push(lost.feed(side, event, NOW_MS));
            }
            let at = endpoint(side, part, bug);
            if next.held[at] == Some(side) {
                next.held[at] = None;
            }
            out.push(next.feed(side, Event::Released { part }, NOW_MS));
        }
        Action::WakeAfter(_) => out.push(next.feed(side, Event::Wake, NOW_MS)),
        _ => unreachable!("{action:?} isn't kept"),
    }
}

fn successors(world: &World, bug: Option<Bug>) -> Vec<World> {
    let mut out = Vec::new();
    for side in 0..world.sides.len() {
        if world.sides[side].dead {
            // The endpoints notice that their gateway is silent.
            let mut next = world.clone();
            next.held
                .iter_mut()
                .filter(|h| **h == Some(side))
                .for_each(|h| *h = None);
            out.push(next);
            continue;
        }
        for action in world.sides[side].todo.clone() {
            act(world, side, action, bug, &mut out);
        }
        if world.sides[side].dispatched {
            let mut next = world.clone();
            next.sides[side].dispatched = false;
            out.push(next.clone().feed(side, Event::HomeEnded, NOW_MS));
            out.push(next.feed(side, Event::HomeRefused, NOW_MS));
            if !world.sides[side].started {
                let mut next = world.clone();
                next.sides[side].started = true;
                out.push(next.feed(side, Event::HomeStarted, NOW_MS));
            }
        }
        if let Some(mut dead) = world.faulty() {
            dead.sides[side].dead = true;
            dead.sides[side].todo.clear();
            out.push(dead);
        }
        if let Some(cancelled) = world.faulty() {
            out.push(cancelled.feed(side, Event::Cancelled, NOW_MS));
        }
    }
    out
}

/// Every reachable state, with the states before it.
fn explore(bug: Option<Bug>, faults: u8) -> (Vec<World>, Vec<Vec<usize>>) {
    let mut places = HashMap::from([(World::start(faults), 0)]);
    let mut worlds = vec![World::start(faults)];
    let mut before = vec![Vec::new()];
    let mut queue = VecDeque::from([0]);
    while let Some(from) = queue.pop_front() {
        for next in successors(&worlds[from].clone(), bug) {
            let fresh = worlds.len();
            let to = *places.entry(next.clone()).or_insert(fresh);
            if to == fresh {
                worlds.push(next);
                before.push(Vec::new());
                queue.push_back(to);
            }
            before[to].push(from);
        }
    }
    (worlds, before)
}

/// Which states can reach one that holds.
fn reaching(before: &[Vec<usize>], goals: Vec<usize>) -> Vec<bool> {
    let mut reaches = vec![false; before.len()];
    let mut stack = goals;
    while let Some(place) = stack.pop() {
        if !std::mem::replace(&mut reaches[place], true) {
            stack.extend(&before[place]);
        }
    }
    reaches
}

fn places(worlds: &[World], holds: impl Fn(&World) -> bool) -> Vec<usize> {
    (0..worlds.len())
        .filter(|&place| holds(&worlds[place]))
        .collect()
}

/// States from which all can't be freed, and those in which a span that still tries can't get on.
fn faults_found(bug: Option<Bug>, faults: u8) -> (usize, usize, usize) {
    let (worlds, before) = explore(bug, faults);
    let free = reaching(&before, places(&worlds, World::settled));
    let stuck = free.iter().filter(|&&reaches| !reaches).count();
    let mut starved = 0;
    for side in 0..2 {
        let served = |world: &World| {
            let side = &world.sides[side];
            side.dispatched_once || side.dead || side.span.is_over()
        };
        let reaches = reaching(&before, places(&worlds, served));
        starved += reaches.iter().filter(|&&reaches| !reaches).count();
    }
    // A state in which nothing more can happen must hold nothing.
    let leaks = worlds.iter().filter(|world| {
        let over = |side: &Side| side.span.is_over() && side.todo.is_empty();
        world.sides.iter().all(over) && !world.settled()
    });
    (worlds.len(), stuck + leaks.count(), starved)
}

// Each fault ends a span, so that only a run without faults shows what two live ones do.
#[rstest]
#[case(0, 80)]
#[case(2, 2_000)]
fn two_spans_neither_deadlock_nor_starve_nor_leak(#[case] faults: u8, #[case] states_min: usize) {
    let (states, stuck, starved) = faults_found(None, faults);
    assert_eq!((stuck, starved), (0, 0), "of {states} states");
    assert!(states > states_min, "too few states: {states}");
}

#[rstest]
#[case(Bug::LostMeansRefused, 2)]
#[case(Bug::ReleasedOnce, 2)]
#[case(Bug::OppositeOrders, 0)]
fn a_planted_bug_is_found(#[case] bug: Bug, #[case] faults: u8) {
    let (states, stuck, starved) = faults_found(Some(bug), faults);
    assert!(stuck + starved > 0, "{bug:?} is missed in {states} states");
}
