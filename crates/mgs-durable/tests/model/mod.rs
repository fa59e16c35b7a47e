//! A model of gateways, store and endpoints around the real [`Pursuit`].

use std::collections::HashMap;
use std::collections::VecDeque;

use mgs_durable::batch::Op;
use mgs_durable::batch::Written;
use mgs_durable::entry::Done;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Entry;
use mgs_durable::entry::State as EntryState;
use mgs_durable::entry::Target;
use mgs_durable::pursuit::Action;
use mgs_durable::pursuit::Event;
use mgs_durable::pursuit::Options;
use mgs_durable::pursuit::Proof;
use mgs_durable::pursuit::Pursuit;
use mgs_platform::table::Row;

const KEY: &str = "row";

/// Most states before the exploration counts as too large.
const STATES_MAX: usize = 1_500_000;

/// What is explored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A keyed request that its caller sends to both gateways.
    Claim,
    /// A durable request that was accepted, and that both gateways find.
    Durable,
}

impl Kind {
    /// Tenures of one gateway, at most.
    fn tenures_max(self) -> u64 {
        match self {
            Kind::Claim => 1,
            Kind::Durable => 2,
        }
    }

    /// Dispatches within one tenure, at most.
    fn attempts_max(self) -> u64 {
        match self {
            Kind::Claim => 2,
            Kind::Durable => 1,
        }
    }
}

/// A deliberate fault of the code around the pursuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bug {
    /// The dispatch goes out without a write that names its endpoint.
    SendUnmarked,
    /// The dispatch goes out although the write may not have taken effect.
    SendAfterUnknownMark,
    /// An endpoint that can't tell counts as one that never started the request.
    RetryWithoutProof,
    /// A withdrawn request leaves no tombstone.
    DroppedTombstone,
    /// Writes ignore the version of the row.
    UnconditionalWrite,
}

/// What an exploration found.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) states: usize,
    pub(crate) transitions: usize,
    pub(crate) ended: usize,
    pub(crate) violations: Vec<String>,
    /// What each gateway did on the way to the first violation.
    pub(crate) trace: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Doing {
    Action(Action),
    /// A dispatch went to this target, and its answer is awaited.
    Awaiting(Target),
    Idle,
    Dead,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Gateway {
    pursuit: Pursuit,
    doing: Doing,
    tenures: u64,
    attempts: u64,
    refused: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Run {
    Tombstone,
    Running,
    Finished,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Endpoint {
    incarnation: u64,
    known: Vec<(Target, Run)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Budget {
    /// Faults of any kind.
    total: u8,
    lost: u8,
    outages: u8,
    deaths: u8,
    restarts: u8,
    lapses: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    kind: Kind,
    revision: u64,
    row: Option<Row>,
    late: Vec<Op>,
    wire: Vec<Target>,
    endpoints: [Endpoint; 2],
    gateways: [Gateway; 2],
    executions: Vec<Target>,
    budget: Budget,
}

fn entry(kind: Kind) -> Entry {
    Entry {
        nonce: 0,
        write: 0,
        holder: 0,
        fencing: 0,
        idempotent: false,
        digest: "d".to_string(),
        state: match kind {
            Kind::Claim => EntryState::Held,
            Kind::Durable => EntryState::Queued,
        },
        cancelled: false,
        dispatched_before: false,
        body: 0,
        organisation: String::new(),
        kind: String::new(),
        submitted_ms: 0,
        deadline_ms: 0,
        expires_ms: 0,
    }
}

fn pursuit(kind: Kind, gateway: usize, tenure: u64) -> Pursuit {
    let options = Options {
        gateway: gateway as u64 + 1,
        nonce: (gateway as u64 + 1) * 100 + tenure,
        key: KEY.to_string(),
        forget_refused: kind == Kind::Claim,
        mark_all: false,
        hold_accepted: false,
    };
    Pursuit::new(options, entry(kind))
}

fn start(kind: Kind, faults: u8) -> World {
    let gateway = |at: usize| {
        let mut pursuit = pursuit(kind, at, 1);
        let doing = match kind {
            Kind::Claim => Doing::Action(pursuit.insert()),
            Kind::Durable => Doing::Idle,
        };
        Gateway {
            pursuit,
            doing,
            tenures: 1,
            attempts: 0,
            refused: false,
        }
    };
    let row = (kind == Kind::Durable).then(|| Row {
        key: KEY.to_string(),
        value: entry(kind).to_text(),
        version: 1,
    });
    World {
        kind,
        revision: 1,
        row,
        late: Vec::new(),
        wire: Vec::new(),
        endpoints: Default::default(),
        gateways: [gateway(0), gateway(1)],
        executions: Vec::new(),
        budget: Budget {
            total: faults,
            lost: 1,
            outages: 1,
            deaths: 1,
            restarts: 1,
            lapses: 2,
        },
    }
}

impl World {
    /// The target of a gateway's present attempt.
    fn target(&self, place: usize) -> Target {
        let gateway = &self.gateways[place];
        let second = gateway.attempts == 2;
        Target {
            endpoint: if second { "b" } else { "a" }.to_string(),
            sidecar_incarnation: self.endpoints[usize::from(second)].incarnation,
            request_origin: place as u64 + 1,
            request_serial: gateway.tenures * 10 + gateway.attempts,
        }
    }

    /// Whether no gateway is left to go on, within the bounds of the exploration.
    fn exhausted(&self) -> bool {
        let over = |gateway: &Gateway| match gateway.doing {
            Doing::Dead => true,
            _ => gateway.tenures == self.kind.tenures_max(),
        };
        self.gateways.iter().all(over)
    }

    /// Whether the entry's holder is dead, or has given it up.
    fn released(&self) -> bool {
        let entry = self.row.as_ref().and_then(|row| Entry::parse(&row.value));
        let holder = entry.map_or(0, |entry| entry.holder);
        let holder = self.gateways.get((holder as usize).wrapping_sub(1));
        holder.is_none_or(|holder| matches!(holder.doing, Doing::Idle | Doing::Dead))
    }

    /// Forgets what no longer matters, so that states that differ only in it are one.
    fn without_past(mut self, kind: Kind) -> Self {
        for (place, gateway) in self.gateways.iter_mut().enumerate() {
            if matches!(gateway.doing, Doing::Idle | Doing::Dead) {
                gateway.pursuit = pursuit(kind, place, 0);
                gateway.attempts = 0;
            }
        }
        self.executions.sort();
        self.wire.sort();
        for endpoint in &mut self.endpoints {
            endpoint.known.sort();
        }
        self
    }

    fn version(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    /// Makes a write as the grouper does, which reads its own value back as success.
    fn commit(&mut self, op: &Op, bug: Option<Bug>) -> Written {
        let matches = self.version() == op.expected || bug == Some(Bug::UnconditionalWrite);
        if !matches {
            let found = self.row.as_ref().map(|row| &row.value);
            return match found == op.value.as_ref() {
                true => Written::Done(self.version()),
                false => Written::Conflict(self.row.clone()),
            };
        }
        self.revision += 1;
        let version = self.revision;
        self.row = op.value.clone().map(|value| Row {
            key: KEY.to_string(),
            value,
            version,
        });
        Written::Done(version)
    }

    fn withdraw(&mut self, target: &Target, bug: Option<Bug>) -> Proof {
        let endpoint = &mut self.endpoints[at(target)];
        if endpoint.incarnation != target.sidecar_incarnation {
            return match bug {
                Some(Bug::RetryWithoutProof) => Proof::NeverStarted,
                _ => Proof::CannotTell,
            };
        }
        match endpoint.known.iter().find(|(known, _)| known == target) {
            Some((_, Run::Running)) => Proof::Running,
            Some((_, Run::Finished)) => Proof::Finished,
            Some((_, Run::Tombstone)) => Proof::NeverStarted,
            None if bug == Some(Bug::DroppedTombstone) => Proof::NeverStarted,
            None => {
                endpoint.known.push((target.clone(), Run::Tombstone));
                Proof::NeverStarted
            }
        }
    }

    fn run_of(&self, target: &Target) -> Option<Run> {
        let endpoint = &self.endpoints[at(target)];
        let known = endpoint.known.iter().find(|(known, _)| known == target);
        known.map(|(_, run)| *run)
    }

    fn stale(&self, target: &Target) -> bool {
        self.endpoints[at(target)].incarnation != target.sidecar_incarnation
    }

    fn ended(&self) -> Option<Done> {
        let entry = Entry::parse(&self.row.as_ref()?.value)?;
        match entry.state {
            EntryState::Done(done) => Some(done),
            _ => None,
        }
    }

    fn violation(&self, kind: Kind) -> Option<String> {
        if self.executions.len() > 1 {
            return Some(format!("ran {} times", self.executions.len()));
        }
        for (place, gateway) in self.gateways.iter().enumerate() {
            let own = |target: &Target| {
                let tenure = target.request_serial / 10 == gateway.tenures;
                tenure && target.request_origin == place as u64 + 1
            };
            let ran = self.executions.iter().any(own);
            if gateway.refused && ran {
                return Some(format!("gateway {place} said that it wasn't run"));
            }
        }
        if kind == Kind::Durable && self.row.is_none() {
            return Some("lost".to_string());
        }
        match self.ended()?.ending {
            Ending::Answered if self.executions.is_empty() => Some("answered unrun".to_string()),
            Ending::Refused if !self.executions.is_empty() => Some("refused but run".to_string()),
            _ => None,
        }
    }
}

fn at(target: &Target) -> usize {
    usize::from(target.endpoint == "b")
}

/// Feeds an event to a gateway, both with the other holder live and, within the budget, with its
/// lease taken for lapsed.
fn feed(world: &World, place: usize, event: Event, out: &mut Vec<World>) {
    let mut live = world.clone();
    let gateway = &mut live.gateways[place];
    let action = gateway.pursuit.on(event.clone(), &|_| false);
    gateway.doing = Doing::Action(action);
    let mut lapsed = world.clone();
    if lapsed.budget.lapses.min(lapsed.budget.total) > 0 {
        lapsed.budget.lapses -= 1;
        lapsed.budget.total -= 1;
        let me = place as u64 + 1;
        let gateway = &mut lapsed.gateways[place];
        let action = gateway.pursuit.on(event, &|entry| entry.holder != me);
        gateway.doing = Doing::Action(action);
        if lapsed.gateways[place] != live.gateways[place] {
            out.push(lapsed);
        }
    }
    out.push(live);
}

fn write(world: &World, place: usize, op: &Op, bug: Option<Bug>, out: &mut Vec<World>) {
    let mut made = world.clone();
    let written = made.commit(op, bug);
    if made.budget.lost.min(made.budget.total) > 0 {
        let mut lost = made.clone();
        lost.budget.lost -= 1;
        lost.budget.total -= 1;
        feed(&lost, place, Event::Written(Written::Unknown), out);
        let mut late = world.clone();
        late.budget.lost -= 1;
        late.budget.total -= 1;
        late.late.push(op.clone());
        feed(&late, place, Event::Written(Written::Unknown), out);
    }
    feed(&made, place, Event::Written(written), out);
    if world.budget.outages.min(world.budget.total) > 0 {
        let mut outage = world.clone();
        outage.budget.outages -= 1;
        outage.budget.total -= 1;
        feed(&outage, place, Event::Written(Written::Unavailable), out);
    }
}

/// The gateway wants to dispatch: its first attempt goes to one endpoint, its second to the other.
fn dispatch(world: &World, place: usize, bug: Option<Bug>, out: &mut Vec<World>) {
    let mut next = world.clone();
    if next.gateways[place].attempts == next.kind.attempts_max() {
        return;
    }
    next.gateways[place].attempts += 1;
    let target = next.target(place);
    if bug == Some(Bug::SendUnmarked) {
        send(next, place, target, out);
    } else {
        feed(&next, place, Event::Dispatch(target), out);
    }
}

fn send(mut world: World, place: usize, target: Target, out: &mut Vec<World>) {
    world.wire.push(target.clone());
    world.gateways[place].doing = Doing::Awaiting(target);
    out.push(world);
}

fn end(world: &World, place: usize, ending: Ending, out: &mut Vec<World>) {
    let done = Done::without_answer(ending, "");
    let mut next = world.clone();
    next.gateways[place].refused = ending == Ending::Refused;
    feed(&next, place, Event::Ended(done), out);
}

/// What may become of a dispatch that a gateway waits for.
fn await_answer(
    world: &World,
    place: usize,
    target: &Target,
    bug: Option<Bug>,
    out: &mut Vec<World>,
) {
    match world.run_of(target) {
        Some(Run::Finished) if !world.stale(target) => end(world, place, Ending::Answered, out),
        Some(Run::Tombstone) => end(world, place, Ending::Refused, out),
        _ if world.stale(target) && !world.wire.contains(target) => {
            end(world, place, Ending::Unknown, out);
        }
        _ => {}
    }
    // The path is lost: only a proof allows another attempt.
    let mut asked = world.clone();
    match asked.withdraw(target, bug) {
        Proof::NeverStarted => {
            let before = out.len();
            dispatch(&asked, place, bug, out);
            if out.len() == before {
                end(&asked, place, Ending::Refused, out);
            }
        }
        Proof::CannotTell => end(&asked, place, Ending::Unknown, out),
        _ => {}
    }
}

fn act(
    world: &World,
    kind: Kind,
    place: usize,
    action: Action,
    bug: Option<Bug>,
    out: &mut Vec<World>,
) {
    let mut next = world.clone();
    match action {
        Action::Write(op) => write(world, place, &op, bug, out),
        Action::Follow if kind == Kind::Durable => idle(next, place, out),
        Action::Follow => feed(world, place, Event::Row(world.row.clone()), out),
        Action::Ask(target) => {
            let proof = next.withdraw(&target, bug);
            feed(&next, place, Event::Proof(proof), out);
        }
        Action::Run => dispatch(world, place, bug, out),
        Action::Send(target) => send(next, place, target, out),
        Action::Hold if bug == Some(Bug::SendAfterUnknownMark) => {
            let target = next.target(place);
            send(next, place, target, out);
        }
        Action::Hold => end(world, place, Ending::Refused, out),
        Action::Resume(target) => match world.run_of(&target) {
            Some(Run::Finished) => end(world, place, Ending::Answered, out),
            Some(Run::Running) => {}
            _ => end(world, place, Ending::Failed, out),
        },
        Action::Refuse(_) => {
            next.gateways[place].refused = true;
            idle(next, place, out);
        }
        _ => idle(next, place, out),
    }
}

fn idle(mut world: World, place: usize, out: &mut Vec<World>) {
    world.gateways[place].doing = Doing::Idle;
    out.push(world);
}

/// An idle worker finds a durable request's row again; a keyed one's caller asks again.
fn again(world: &World, kind: Kind, place: usize, out: &mut Vec<World>) {
    if world.gateways[place].tenures == kind.tenures_max() || world.ended().is_some() {
        return;
    }
    for lapsed in [false, true] {
        let mut next = world.clone();
        let released = next.released();
        if lapsed && !released {
            if next.budget.lapses.min(next.budget.total) == 0 {
                continue;
            }
            next.budget.lapses -= 1;
            next.budget.total -= 1;
        }
        let me = place as u64 + 1;
        let gateway = &mut next.gateways[place];
        gateway.tenures += 1;
        gateway.attempts = 0;
        gateway.refused = false;
        let mut fresh = pursuit(kind, place, gateway.tenures);
        // Of its own tenures, those that it doesn't work on are over.
        let gone = |entry: &Entry| entry.holder == me || lapsed;
        gateway.doing = Doing::Action(match kind {
            Kind::Claim => fresh.insert(),
            Kind::Durable => fresh.found(world.row.clone(), &gone, None),
        });
        gateway.pursuit = fresh;
        out.push(next);
    }
}

fn successors(world: &World, kind: Kind, bug: Option<Bug>) -> Vec<World> {
    let mut out = Vec::new();
    for place in 0..2 {
        match world.gateways[place].doing.clone() {
            Doing::Action(action) => act(world, kind, place, action, bug, &mut out),
            Doing::Awaiting(target) => await_answer(world, place, &target, bug, &mut out),
            Doing::Idle => again(world, kind, place, &mut out),
            Doing::Dead => continue,
        }
        if world.budget.deaths.min(world.budget.total) > 0 {
            let mut next = world.clone();
            next.budget.deaths -= 1;
            next.budget.total -= 1;
            next.gateways[place].doing = Doing::Dead;
            out.push(next);
        }
    }
    for (index, target) in world.wire.iter().enumerate() {
        let mut next = world.clone();
        next.wire.remove(index);
        let stale = next.stale(target);
        if !stale && next.run_of(target).is_none() {
            next.endpoints[at(target)]
                .known
                .push((target.clone(), Run::Running));
            next.executions.push(target.clone());
        }
        out.push(next);
    }
    for place in 0..2 {
        for known in 0..world.endpoints[place].known.len() {
            if world.endpoints[place].known[known].1 == Run::Running {
                let mut next = world.clone();
                next.endpoints[place].known[known].1 = Run::Finished;
                out.push(next);
            }
        }
        if world.budget.restarts.min(world.budget.total) > 0 {
            let mut next = world.clone();
            next.budget.restarts -= 1;
            next.budget.total -= 1;
            next.endpoints[place].incarnation += 1;
            next.endpoints[place].known.clear();
            out.push(next);
        }
    }
    for index in 0..world.late.len() {
        let mut next = world.clone();
        let op = next.late.remove(index);
        next.commit(&op, bug);
        out.push(next);
    }
    out
}

/// Visits every state that can be reached with at most `faults` faults, each once.
pub(crate) fn explore(kind: Kind, bug: Option<Bug>, faults: u8) -> Report {
    let mut report = Report::default();
    let mut places: HashMap<World, usize> = HashMap::new();
    let mut before: Vec<Vec<usize>> = vec![Vec::new()];
    let mut parents = vec![0];
    let mut ended = Vec::new();
    let mut queue = VecDeque::from([start(kind, faults)]);
    places.insert(start(kind, faults), 0);
    while let Some(world) = queue.pop_front() {
        let from = places[&world];
        if let Some(violation) = world.violation(kind) {
            report.violations.push(violation);
            report.trace = trace(&places, &parents, from);
            break;
        }
        if world.ended().is_some() || world.exhausted() {
            ended.push(from);
        }
        for next in successors(&world, kind, bug) {
            let next = next.without_past(kind);
            report.transitions += 1;
            let fresh = before.len();
            let to = *places.entry(next.clone()).or_insert(fresh);
            if to == fresh {
                before.push(Vec::new());
                parents.push(from);
                queue.push_back(next);
            }
            before[to].push(from);
        }
        assert!(places.len() < STATES_MAX, "too many states");
    }
    report.states = places.len();
    report.ended = ended.len();
    if bug.is_none() && kind == Kind::Durable {
        check_reach(&before, ended, &mut report);
    }
    report
}

fn trace(places: &HashMap<World, usize>, parents: &[usize], mut at: usize) -> Vec<String> {
    let mut path = vec![at];
    while at != 0 {
        at = parents[at];
        path.push(at);
    }
    let world = |place: &usize| places.iter().find(|(_, at)| *at == place).map(|(w, _)| w);
    let lines = path.iter().rev().filter_map(world);
    let line = |w: &World| {
        let doing = w.gateways.each_ref().map(|gateway| &gateway.doing);
        format!(
            "{doing:?} row {:?} wire {:?} endpoints {:?}",
            w.row, w.wire, w.endpoints
        )
    };
    lines.map(line).collect()
}

/// Every state must be able to reach one in which the request has ended.
fn check_reach(before: &[Vec<usize>], ended: Vec<usize>, report: &mut Report) {
    let mut reaches = vec![false; before.len()];
    let mut stack = ended;
    while let Some(place) = stack.pop() {
        if !std::mem::replace(&mut reaches[place], true) {
            stack.extend(&before[place]);
        }
    }
    let stuck = reaches.iter().filter(|&&reaches| !reaches).count();
    if stuck > 0 {
        report.violations.push(format!("{stuck} states can't end"));
    }
}
