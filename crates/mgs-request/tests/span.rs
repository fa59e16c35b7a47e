//! Spans: the transitions of one, and every interleaving of two that need the same endpoints.

use std::collections::HashMap;
use std::collections::VecDeque;

use rstest::rstest;

use mgs_request::span::Action;
use mgs_request::span::Event;
use mgs_request::span::Options;
use mgs_request::span::Span;
use mgs_schema::wire::RefusalReason;

/// Any time before the deadline; the state machine distinguishes no others.
const NOW_MS: u64 = 0;

const DEADLINE_MS: u64 = 60_000;

fn options(parts: usize) -> Options {
    Options {
        parts,
        deadline_ms: DEADLINE_MS,
        retry_ms: 1,
        tries: 1,
        tries_max: 2,
        backoff_ms: 5,
    }
}

#[test]
fn a_span_reserves_exports_dispatches_and_releases() {
    let (mut span, _) = Span::start(options(3));
    let mut on = |event| span.handle_event(event, 0);
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
    assert_eq!(on(Event::Released { part: 1 }), vec![Action::Done]);
}

#[rstest]
#[case(Event::Exported { part: 0, done: false }, Action::Replan(0))]
#[case(Event::Cancelled, Action::Refuse(RefusalReason::Cancelled))]
fn each_exit_releases_all_parts(#[case] event: Event, #[case] why: Action) {
    let (mut span, _) = Span::start(options(2));
    span.handle_event(
        Event::Reserved {
            part: 0,
            done: true,
        },
        0,
    );
    span.handle_event(
        Event::Reserved {
            part: 1,
            done: true,
        },
        0,
    );
    let expected = vec![why, Action::Release(0), Action::Release(1)];
    assert_eq!(span.handle_event(event, 0), expected);
}

#[test]
fn reservations_are_held_for_a_limited_time() {
    let (mut span, _) = Span::start(options(2));
    let busy = Event::Reserved {
        part: 1,
        done: false,
    };
    let mut on = |event| span.handle_event(event, NOW_MS);
    on(Event::Reserved {
        part: 0,
        done: true,
    });
    assert_eq!(on(busy), vec![Action::Release(0), Action::WakeAfter(5)]);
    assert_eq!(on(Event::Wake), vec![]);
    assert_eq!(on(Event::Released { part: 0 }), vec![Action::Reserve(0)]);
    // The second round retries once before it releases the reservation.
    on(Event::Reserved {
        part: 0,
        done: true,
    });
    assert_eq!(on(busy), vec![Action::WakeAfter(1)]);
    assert_eq!(on(Event::Wake), vec![Action::Reserve(1)]);
    assert_eq!(on(busy), vec![Action::Release(0), Action::WakeAfter(5)]);
}

#[test]
fn no_reservation_is_made_past_the_deadline() {
    let (mut span, _) = Span::start(options(2));
    span.handle_event(
        Event::Reserved {
            part: 0,
            done: true,
        },
        NOW_MS,
    );
    let busy = Event::Reserved {
        part: 1,
        done: false,
    };
    span.handle_event(busy, NOW_MS);
    let refused = Action::Refuse(RefusalReason::Deadline);
    assert_eq!(span.handle_event(Event::Wake, DEADLINE_MS), vec![refused]);
    assert_eq!(
        span.handle_event(Event::ReleaseLost { part: 0 }, DEADLINE_MS),
        vec![Action::Done]
    );
}

/// A deliberate bug.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    /// A reservation whose reply was lost counts as refused.
    LostMeansRefused,
    /// A release is sent only once, whether or not it arrives.
    ReleasedOnce,
    /// Two gateways make reservations in opposite orders and never release them.
    OppositeOrders,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Gateway {
    span: Span,
    pending: Vec<Action>,
    dispatched: bool,
    started: bool,
    was_dispatched: bool,
    crashed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    gateways: Vec<Gateway>,
    /// The gateway that holds each endpoint; an endpoint has memory for one part.
    held: Vec<Option<usize>>,
    faults: u8,
}

impl Model {
    fn start(faults: u8) -> Self {
        let gateway = || {
            let (span, pending) = Span::start(options(2));
            Gateway {
                span,
                pending,
                dispatched: false,
                started: false,
                was_dispatched: false,
                crashed: false,
            }
        };
        Self {
            gateways: vec![gateway(), gateway()],
            held: vec![None; 2],
            faults,
        }
    }

    fn deliver_event(mut self, gateway: usize, event: Event, now_ms: u64) -> Self {
        let actions = self.gateways[gateway].span.handle_event(event, now_ms);
        for action in actions {
            match action {
                Action::Dispatch => {
                    self.gateways[gateway].dispatched = true;
                    self.gateways[gateway].was_dispatched = true;
                }
                Action::Done | Action::Replan(_) | Action::Refuse(_) => {}
                Action::WakeAfter(_) => self.gateways[gateway].pending.push(Action::WakeAfter(0)),
                action => self.gateways[gateway].pending.push(action),
            }
        }
        self.gateways[gateway]
            .pending
            .sort_by_key(|action| format!("{action:?}"));
        self.gateways[gateway].pending.dedup();
        self
    }

    fn with_fault(&self) -> Option<Self> {
        let mut next = self.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    fn is_settled(&self) -> bool {
        let over = |gateway: &Gateway| gateway.crashed || gateway.span.is_done();
        self.gateways.iter().all(over) && self.held.iter().all(Option::is_none)
    }
}

fn endpoint(gateway: usize, part: usize, bug: Option<Bug>) -> usize {
    match bug {
        Some(Bug::OppositeOrders) if gateway == 1 => 1 - part,
        _ => part,
    }
}

fn perform(model: &Model, gateway: usize, action: Action, bug: Option<Bug>, out: &mut Vec<Model>) {
    let mut next = model.clone();
    next.gateways[gateway]
        .pending
        .retain(|other| *other != action);
    match action {
        Action::Reserve(part) => {
            let at = endpoint(gateway, part, bug);
            let done = next.held[at].is_none_or(|holder| holder == gateway);
            if done {
                next.held[at] = Some(gateway);
            }
            if let Some(lost) = next.with_fault() {
                let event = match bug {
                    Some(Bug::LostMeansRefused) => Event::Reserved { part, done: false },
                    _ => Event::ReserveLost { part },
                };
                out.push(lost.deliver_event(gateway, event, NOW_MS));
            }
            // With `Bug::OppositeOrders`, a span retries forever and keeps its reservations.
            if done || bug != Some(Bug::OppositeOrders) {
                out.push(next.deliver_event(gateway, Event::Reserved { part, done }, NOW_MS));
            }
        }
        Action::Export(part) => {
            if let Some(failed) = next.with_fault() {
                let event = Event::Exported { part, done: false };
                out.push(failed.deliver_event(gateway, event, NOW_MS));
            }
            out.push(next.deliver_event(gateway, Event::Exported { part, done: true }, NOW_MS));
        }
        Action::Release(part) => {
            if let Some(lost) = next.with_fault() {
                let event = match bug {
                    Some(Bug::ReleasedOnce) => Event::Released { part },
                    _ => Event::ReleaseLost { part },
                };
                out.push(lost.deliver_event(gateway, event, NOW_MS));
            }
            let at = endpoint(gateway, part, bug);
            if next.held[at] == Some(gateway) {
                next.held[at] = None;
            }
            out.push(next.deliver_event(gateway, Event::Released { part }, NOW_MS));
        }
        Action::WakeAfter(_) => out.push(next.deliver_event(gateway, Event::Wake, NOW_MS)),
        _ => unreachable!("{action:?} isn't kept"),
    }
}

fn successors(model: &Model, bug: Option<Bug>) -> Vec<Model> {
    let mut out = Vec::new();
    for gateway in 0..model.gateways.len() {
        if model.gateways[gateway].crashed {
            // The endpoints release the reservations of a gateway that has stopped responding.
            let mut next = model.clone();
            next.held
                .iter_mut()
                .filter(|h| **h == Some(gateway))
                .for_each(|h| *h = None);
            out.push(next);
            continue;
        }
        for action in model.gateways[gateway].pending.clone() {
            perform(model, gateway, action, bug, &mut out);
        }
        if model.gateways[gateway].dispatched {
            let mut next = model.clone();
            next.gateways[gateway].dispatched = false;
            out.push(
                next.clone()
                    .deliver_event(gateway, Event::HomeEnded, NOW_MS),
            );
            out.push(next.deliver_event(gateway, Event::HomeRefused, NOW_MS));
            if !model.gateways[gateway].started {
                let mut next = model.clone();
                next.gateways[gateway].started = true;
                out.push(next.deliver_event(gateway, Event::HomeStarted, NOW_MS));
            }
        }
        if let Some(mut crashed) = model.with_fault() {
            crashed.gateways[gateway].crashed = true;
            crashed.gateways[gateway].pending.clear();
            out.push(crashed);
        }
        if let Some(cancelled) = model.with_fault() {
            out.push(cancelled.deliver_event(gateway, Event::Cancelled, NOW_MS));
        }
    }
    out
}

/// All reachable states and the predecessors of each.
fn explore(bug: Option<Bug>, faults: u8) -> (Vec<Model>, Vec<Vec<usize>>) {
    let mut indices = HashMap::from([(Model::start(faults), 0)]);
    let mut models = vec![Model::start(faults)];
    let mut predecessors = vec![Vec::new()];
    let mut queue = VecDeque::from([0]);
    while let Some(from) = queue.pop_front() {
        for next in successors(&models[from].clone(), bug) {
            let fresh = models.len();
            let to = *indices.entry(next.clone()).or_insert(fresh);
            if to == fresh {
                models.push(next);
                predecessors.push(Vec::new());
                queue.push_back(to);
            }
            predecessors[to].push(from);
        }
    }
    (models, predecessors)
}

/// For each state, whether it can reach one of `goals`.
fn reaching(predecessors: &[Vec<usize>], goals: Vec<usize>) -> Vec<bool> {
    let mut reaches = vec![false; predecessors.len()];
    let mut stack = goals;
    while let Some(index) = stack.pop() {
        if !std::mem::replace(&mut reaches[index], true) {
            stack.extend(&predecessors[index]);
        }
    }
    reaches
}

fn indices(models: &[Model], holds: impl Fn(&Model) -> bool) -> Vec<usize> {
    (0..models.len())
        .filter(|&index| holds(&models[index]))
        .collect()
}

/// Counts all states, the states that can't reach full release or leak reservations, and the states
/// from which a span can neither dispatch nor end.
fn count_violations(bug: Option<Bug>, faults: u8) -> (usize, usize, usize) {
    let (models, predecessors) = explore(bug, faults);
    let free = reaching(&predecessors, indices(&models, Model::is_settled));
    let stuck = free.iter().filter(|&&reaches| !reaches).count();
    let mut starved = 0;
    for gateway in 0..2 {
        let served = |model: &Model| {
            let gateway = &model.gateways[gateway];
            gateway.was_dispatched || gateway.crashed || gateway.span.is_done()
        };
        let reaches = reaching(&predecessors, indices(&models, served));
        starved += reaches.iter().filter(|&&reaches| !reaches).count();
    }
    // A final state must hold no reservations.
    let leaks = models.iter().filter(|model| {
        let over = |gateway: &Gateway| gateway.span.is_done() && gateway.pending.is_empty();
        model.gateways.iter().all(over) && !model.is_settled()
    });
    (models.len(), stuck + leaks.count(), starved)
}

// Each fault ends a span, so only the case without faults covers two spans that compete to the end.
#[rstest]
#[case(0, 80)]
#[case(2, 2_000)]
fn two_spans_neither_deadlock_nor_starve_nor_leak(#[case] faults: u8, #[case] states_min: usize) {
    let (states, stuck, starved) = count_violations(None, faults);
    assert_eq!((stuck, starved), (0, 0), "of {states} states");
    assert!(states > states_min, "too few states: {states}");
}

#[rstest]
#[case(Bug::LostMeansRefused, 2)]
#[case(Bug::ReleasedOnce, 2)]
#[case(Bug::OppositeOrders, 0)]
fn an_injected_bug_is_found(#[case] bug: Bug, #[case] faults: u8) {
    let (states, stuck, starved) = count_violations(Some(bug), faults);
    assert!(stuck + starved > 0, "{bug:?} is missed in {states} states");
}
