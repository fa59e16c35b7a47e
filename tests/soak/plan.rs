//! What goes wrong and when, drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::standin::endpoint::Behaviour;
use crate::standin::store::Mode;
use crate::world::ENDPOINTS;
use crate::world::GATEWAYS;

/// What is wrong with a path through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathFault {
    Delayed,
    Refused,
    Cut,
    Silent,
    SilentOneWay,
    /// Open connections fall silent, new ones work.
    Forgotten,
    RepliesLost,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    StorePath(usize, PathFault),
    StorePathHealed(usize),
    StoreMode(Mode),
    HistoryDropped,
    /// It comes back from a copy of this age, and what it has lost is written again after so long, both in milliseconds.
    StoreRolledBack(u64, u64),
    EndpointPath(usize, PathFault),
    EndpointPathHealed(usize),
    EndpointActs(usize, Behaviour),
    EndpointWell(usize),
    EndpointLeaves(usize),
    /// It says this of itself in all its answers, as whole lines of their heads.
    EndpointSays(usize, String),
    EndpointGone(usize),
    /// Another incarnation at the same address; the entry of the one before stays.
    EndpointBack(usize),
    /// Entries of earlier incarnations are gone.
    EndpointLapsed(usize),
    /// It crashes and starts again under its identifier and address; nothing tells so yet.
    EndpointStartsAgain(usize),
    /// Its entry is written anew.
    EndpointListed(usize),
    /// Another writer spoils its entry.
    EndpointRowSpoilt(usize),
    Paused(usize),
    Continued(usize),
    Killed(usize),
    Terminated(usize),
    Started(usize),
    HungUp(usize),
    SettingsSpoiled(usize),
    SettingsMended(usize),
    Configured,
}

/// A step and when it comes, in milliseconds from the start.
#[derive(Debug, Clone)]
pub(crate) struct Timed {
    pub(crate) at_ms: u64,
    pub(crate) step: Step,
}

/// The steps of a seed within `length_ms`; whatever began has ended by then.
pub(crate) fn plan(seed: u64, length_ms: u64) -> Vec<Timed> {
    // About two faults a second, so that several overlap.
    let count = length_ms / 500;
    Planner::more(seed, length_ms, Vec::new(), count, Planner::fault)
}

/// The same with endpoints that start again under their identifiers, and entries that others spoil meanwhile.
pub(crate) fn plan_with_restarts(seed: u64, length_ms: u64) -> Vec<Timed> {
    let steps = plan(seed, length_ms);
    let count = length_ms / 700;
    Planner::more(!seed, length_ms, steps, count, Planner::restart)
}

/// The same, and the store comes back from older copies.
pub(crate) fn plan_with_rollbacks(seed: u64, length_ms: u64) -> Vec<Timed> {
    let steps = plan_with_restarts(seed, length_ms);
    let (numbers, count) = (seed.rotate_left(17), length_ms / 3_000);
    Planner::more(numbers, length_ms, steps, count, Planner::rollback)
}

/// The same as [`plan_with_restarts`], and endpoints say in their answers what they need.
pub(crate) fn plan_with_needs(seed: u64, length_ms: u64) -> Vec<Timed> {
    let steps = plan_with_restarts(seed, length_ms);
    let (numbers, count) = (seed.rotate_left(31), length_ms / 1_000);
    Planner::more(numbers, length_ms, steps, count, Planner::need)
}

struct Planner {
    numbers: ChaCha8Rng,
    length_ms: u64,
    steps: Vec<Timed>,
}

impl Planner {
    /// These steps and more, which `add` draws so many times.
    fn more(
        numbers: u64,
        length_ms: u64,
        steps: Vec<Timed>,
        count: u64,
        add: fn(&mut Self),
    ) -> Vec<Timed> {
        let mut planner = Self {
            numbers: ChaCha8Rng::seed_from_u64(numbers),
            length_ms,
            steps,
        };
        for _ in 0..count {
            add(&mut planner);
        }
        planner.steps.sort_by_key(|timed| timed.at_ms);
        planner.steps
    }

    fn rollback(&mut self) {
        let at_ms = self.below(self.length_ms);
        let age_ms = self.below(6_000);
        let write_again_ms = self.below(2_000);
        self.add(at_ms, Step::StoreRolledBack(age_ms, write_again_ms));
    }

    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.numbers.next_u32()) % most.max(1)
    }

    fn add(&mut self, at_ms: u64, step: Step) {
        let at_ms = at_ms.min(self.length_ms);
        self.steps.push(Timed { at_ms, step });
    }

    fn fault(&mut self) {
        let at_ms = self.below(self.length_ms);
        let end_ms = at_ms + 100 + self.below(3_000);
        let gateway = self.below(GATEWAYS as u64) as usize;
        let endpoint = self.below(ENDPOINTS as u64) as usize;
        let path = self.path_fault();
        let pause_ms = self.below(1_500);
        match self.below(15) {
            0 | 1 => {
                self.add(at_ms, Step::StorePath(gateway, path));
                self.add(end_ms, Step::StorePathHealed(gateway));
            }
            2 => {
                let mode = [Mode::Unavailable, Mode::Silent][self.below(2) as usize];
                self.add(at_ms, Step::StoreMode(mode));
                self.add(end_ms, Step::StoreMode(Mode::Up));
            }
            3 => self.add(at_ms, Step::HistoryDropped),
            4 | 5 => {
                self.add(at_ms, Step::EndpointPath(endpoint, path));
                self.add(end_ms, Step::EndpointPathHealed(endpoint));
            }
            6 | 7 => {
                let act = self.act();
                self.add(at_ms, Step::EndpointActs(endpoint, act));
                self.add(end_ms, Step::EndpointWell(endpoint));
            }
            8 => {
                self.add(at_ms, Step::EndpointLeaves(endpoint));
                self.add(at_ms + 2_500, Step::EndpointGone(endpoint));
                self.add(at_ms + 3_000 + pause_ms, Step::EndpointBack(endpoint));
            }
            9 => {
                self.add(at_ms, Step::Paused(gateway));
                self.add(end_ms, Step::Continued(gateway));
            }
            10 => {
                self.add(at_ms, Step::Killed(gateway));
                self.add(at_ms + 200 + pause_ms / 2, Step::Started(gateway));
            }
            11 => {
                self.add(at_ms, Step::Terminated(gateway));
                self.add(at_ms + 8_500, Step::Started(gateway));
            }
            12 => {
                self.add(at_ms, Step::SettingsSpoiled(gateway));
                self.add(at_ms + 50, Step::HungUp(gateway));
                self.add(end_ms, Step::SettingsMended(gateway));
                self.add(end_ms, Step::HungUp(gateway));
            }
            13 => {
                // Entries lapse after three renewals that didn't come.
                self.add(at_ms, Step::EndpointBack(endpoint));
                self.add(at_ms + 3_600, Step::EndpointLapsed(endpoint));
            }
            _ => {
                for number in 0..1 + self.below(4) {
                    self.add(at_ms + number * 150, Step::Configured);
                }
            }
        }
    }

    fn restart(&mut self) {
        let at_ms = self.below(self.length_ms);
        let endpoint = self.below(ENDPOINTS as u64) as usize;
        let told_ms = at_ms + self.below(1_500);
        match self.below(3) {
            0 => {
                self.add(at_ms, Step::EndpointStartsAgain(endpoint));
                self.add(told_ms, Step::EndpointListed(endpoint));
            }
            1 => {
                for again in 0..3 {
                    self.add(at_ms + again * 200, Step::EndpointStartsAgain(endpoint));
                    self.add(at_ms + again * 200, Step::EndpointListed(endpoint));
                }
            }
            _ => {
                self.add(at_ms, Step::EndpointRowSpoilt(endpoint));
                self.add(told_ms, Step::EndpointListed(endpoint));
            }
        }
    }

    fn need(&mut self) {
        let at_ms = self.below(self.length_ms / 2);
        let end_ms = at_ms + 2_000 + self.below(6_000);
        let endpoint = self.below(ENDPOINTS as u64) as usize;
        match self.below(4) {
            0 | 1 => {
                let tenths = self.below(60);
                let limit = format!("Server-Limit: {}.{}\r\n", tenths / 10, tenths % 10);
                self.add(at_ms, Step::EndpointSays(endpoint, limit));
                self.add(end_ms, Step::EndpointSays(endpoint, String::new()));
            }
            2 => {
                // The store hears it seconds later.
                let leaves = "Server-Leaving: 1\r\n".to_string();
                self.add(at_ms, Step::EndpointSays(endpoint, leaves));
                self.add(end_ms, Step::EndpointLeaves(endpoint));
                self.add(end_ms + 1_000, Step::EndpointGone(endpoint));
                self.add(end_ms + 1_500, Step::EndpointBack(endpoint));
            }
            _ => {
                let rest = format!("Retry-After: {}.5\r\n", 1 + self.below(3));
                self.add(at_ms, Step::EndpointSays(endpoint, rest));
                self.add(at_ms, Step::EndpointActs(endpoint, Behaviour::Refuse(None)));
                self.add(end_ms, Step::EndpointSays(endpoint, String::new()));
                self.add(end_ms, Step::EndpointWell(endpoint));
            }
        }
    }

    fn path_fault(&mut self) -> PathFault {
        let all = [
            PathFault::Delayed,
            PathFault::Refused,
            PathFault::Cut,
            PathFault::Silent,
            PathFault::SilentOneWay,
            PathFault::Forgotten,
            PathFault::RepliesLost,
        ];
        all[self.below(all.len() as u64) as usize]
    }

    fn act(&mut self) -> Behaviour {
        let all = [
            Behaviour::Fail,
            Behaviour::Hang,
            Behaviour::Reset,
            Behaviour::Unsigned,
            Behaviour::AnswerTwice,
            Behaviour::OtherRequestId,
            Behaviour::Truncated,
            Behaviour::BreakAfter(3),
            Behaviour::Refuse(None),
        ];
        all[self.below(all.len() as u64) as usize].clone()
    }
}
