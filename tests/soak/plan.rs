//! The fault plan of a run: steps and their times, drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::environment::ENDPOINTS;
use crate::environment::GATEWAYS;
use crate::environment::ZONES;
use crate::standin::endpoint::Behaviour;
use crate::standin::store::Mode;

/// A fault of a network path, injected by its proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathFault {
    Delayed,
    /// New connections are refused.
    Refused,
    /// Open connections are reset once.
    Cut,
    /// No connection carries any bytes.
    Silent,
    /// No connection carries bytes towards the gateway.
    SilentOneWay,
    /// Open connections carry no more bytes; new ones work.
    OpenConnectionsSilent,
    /// Requests pass, and the connection is reset before any of the reply does.
    RepliesLost,
}

/// A fault, or the repair of one. The first number is that of a gateway or of an endpoint slot.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Injects a fault into the path between a gateway and the store.
    BreakStorePath(usize, PathFault),
    HealStorePath(usize),
    SetStoreMode(Mode),
    /// Drops the changes of the store up to now, so that its feed can't be continued.
    DropStoreHistory,
    /// Restores the store from a copy of this age; the lost writes are repeated after this delay, both in milliseconds.
    RollBackStore(u64, u64),
    /// Injects a fault into the path to an endpoint.
    BreakEndpointPath(usize, PathFault),
    HealEndpointPath(usize),
    SetEndpointBehaviour(usize, Behaviour),
    ResetEndpointBehaviour(usize),
    /// Sets the state of the endpoint in the store to draining.
    DrainEndpoint(usize),
    /// Adds these header lines to all responses of the endpoint.
    SetEndpointHeaders(usize, String),
    RemoveEndpointRow(usize),
    /// Starts another incarnation at the same address; the row of the previous one stays in the store.
    ReplaceEndpoint(usize),
    /// Removes the rows of previous incarnations.
    RemoveStaleRows(usize),
    /// Crashes the endpoint and starts it under the same identifier and address, without a change in the store.
    RestartEndpoint(usize),
    /// Writes the row of the endpoint again.
    RewriteEndpointRow(usize),
    /// Overwrites the row of the endpoint with invalid JSON, as a faulty writer does.
    CorruptEndpointRow(usize),
    /// Sends SIGSTOP.
    PauseGateway(usize),
    /// Sends SIGCONT.
    ResumeGateway(usize),
    KillGateway(usize),
    /// Sends SIGTERM.
    TerminateGateway(usize),
    StartGateway(usize),
    /// Sends SIGHUP, upon which the gateway reads its settings again.
    HangUpGateway(usize),
    /// Replaces the settings file of the gateway with invalid TOML.
    CorruptSettings(usize),
    RestoreSettings(usize),
    /// Writes a new version of the configuration.
    PublishConfiguration,
    /// Orders the evacuation of a zone.
    EvacuateZone(usize),
    /// Withdraws the order.
    RestoreZone(usize),
    /// Crashes the endpoint, starts it under the same identifier and writes its row again.
    RestartColdEndpoint(usize),
    /// Stops the engines from answering, and one organisation sends more than usual.
    BeginSurge,
    /// Lets the engines answer, and the organisation send as usual.
    EndSurge,
}

/// A step and its time, in milliseconds from the start of the run.
#[derive(Debug, Clone)]
pub(crate) struct TimedStep {
    pub(crate) at_ms: u64,
    pub(crate) step: Step,
}

/// The basic plan of a seed, sorted by time. All faults are repaired by `length_ms`.
pub(crate) fn plan(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    // Two faults a second on average, so that several overlap.
    let count = length_ms / 500;
    Planner::extend_plan(seed, length_ms, Vec::new(), count, Planner::add_fault)
}

/// [`plan`] with endpoints that restart under the same identifier, and rows that other writers corrupt meanwhile.
pub(crate) fn plan_with_restarts(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    let steps = plan(seed, length_ms);
    let count = length_ms / 700;
    Planner::extend_plan(!seed, length_ms, steps, count, Planner::add_restart)
}

/// [`plan_with_restarts`] with a store that is restored from older copies.
pub(crate) fn plan_with_rollbacks(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    let steps = plan_with_restarts(seed, length_ms);
    let (rng_seed, count) = (seed.rotate_left(17), length_ms / 3_000);
    Planner::extend_plan(rng_seed, length_ms, steps, count, Planner::add_rollback)
}

/// Zones that are evacuated and restored, among a few faults and rollbacks. With as many as in the other plans, all
/// evacuations would be disturbed, and an order that no gateway reads would hardly ever be found.
pub(crate) fn plan_with_evacuations(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    let extend = |steps, salt: u32, count, add_event| {
        Planner::extend_plan(seed.rotate_left(salt), length_ms, steps, count, add_event)
    };
    let steps = extend(Vec::new(), 0, length_ms / 2_000, Planner::add_fault);
    let steps = extend(steps, 11, length_ms / 4_000, Planner::add_restart);
    let steps = extend(steps, 17, length_ms / 8_000, Planner::add_rollback);
    extend(steps, 43, length_ms / 4_000, Planner::add_evacuation)
}

/// Endpoints that start again, cold, among a few faults. Gateways may send to cold endpoints only 17 s after their start,
/// so most starts come later than `from_ms`.
pub(crate) fn plan_with_cold_starts(seed: u64, from_ms: u64, length_ms: u64) -> Vec<TimedStep> {
    let mut planner = Planner {
        rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(51)),
        length_ms,
        steps: Vec::new(),
    };
    for _ in 0..length_ms / 4_000 {
        planner.add_fault();
    }
    for at_ms in (from_ms / 2..length_ms).step_by(800) {
        planner.add_cold_start(at_ms);
    }
    planner.steps.sort_by_key(|timed_step| timed_step.at_ms);
    planner.steps
}

/// Surges of one organisation among a few faults. The first comes at `from_ms`, when the usual load of all is known.
pub(crate) fn plan_with_surges(seed: u64, from_ms: u64, length_ms: u64) -> Vec<TimedStep> {
    let mut planner = Planner {
        rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(57)),
        length_ms,
        steps: Vec::new(),
    };
    for _ in 0..length_ms / 6_000 {
        planner.add_path_fault();
    }
    let mut at_ms = from_ms;
    while at_ms < length_ms {
        let end_ms = at_ms + 2_500 + planner.random_below(2_500);
        planner.add(at_ms, Step::BeginSurge);
        planner.add(end_ms, Step::EndSurge);
        at_ms = end_ms + 6_000;
    }
    planner.steps.sort_by_key(|timed_step| timed_step.at_ms);
    planner.steps
}

/// [`plan_with_restarts`] with endpoints that announce limits, draining and back-off in response headers.
pub(crate) fn plan_with_backpressure(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    let steps = plan_with_restarts(seed, length_ms);
    let (rng_seed, count) = (seed.rotate_left(31), length_ms / 1_000);
    Planner::extend_plan(rng_seed, length_ms, steps, count, Planner::add_backpressure)
}

/// Kills of all gateways in series, while all engines and most other endpoints refuse what they get, so that requests ask
/// for many retries.
pub(crate) fn plan_with_kills_under_refusals(seed: u64, length_ms: u64) -> Vec<TimedStep> {
    Planner::extend_plan(
        seed,
        length_ms,
        Vec::new(),
        1,
        Planner::add_kills_under_refusals,
    )
}

/// Draws the steps of a plan from a random number generator.
struct Planner {
    rng: ChaCha8Rng,
    length_ms: u64,
    steps: Vec<TimedStep>,
}

impl Planner {
    /// Returns `steps` and those of `count` calls of `add_event`, sorted by time.
    fn extend_plan(
        rng_seed: u64,
        length_ms: u64,
        steps: Vec<TimedStep>,
        count: u64,
        add_event: fn(&mut Self),
    ) -> Vec<TimedStep> {
        let mut planner = Self {
            rng: ChaCha8Rng::seed_from_u64(rng_seed),
            length_ms,
            steps,
        };
        for _ in 0..count {
            add_event(&mut planner);
        }
        planner.steps.sort_by_key(|timed_step| timed_step.at_ms);
        planner.steps
    }

    fn add_rollback(&mut self) {
        let at_ms = self.random_below(self.length_ms);
        let age_ms = self.random_below(6_000);
        let rewrite_after_ms = self.random_below(2_000);
        self.add(at_ms, Step::RollBackStore(age_ms, rewrite_after_ms));
    }

    /// Evacuates a zone for a time around the bound, within which an order must be in force.
    fn add_evacuation(&mut self) {
        let at_ms = self.random_below(self.length_ms);
        let end_ms = at_ms + 2_500 + self.random_below(7_000);
        let zone = self.random_below(ZONES.len() as u64) as usize;
        self.add(at_ms, Step::EvacuateZone(zone));
        self.add(end_ms, Step::RestoreZone(zone));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        u64::from(self.rng.next_u32()) % bound.max(1)
    }

    fn add(&mut self, at_ms: u64, step: Step) {
        let at_ms = at_ms.min(self.length_ms);
        self.steps.push(TimedStep { at_ms, step });
    }

    fn add_fault(&mut self) {
        let at_ms = self.random_below(self.length_ms);
        let end_ms = at_ms + 100 + self.random_below(3_000);
        let gateway = self.random_below(GATEWAYS as u64) as usize;
        let endpoint = self.random_below(ENDPOINTS as u64) as usize;
        let path = self.random_path_fault();
        let pause_ms = self.random_below(1_500);
        match self.random_below(15) {
            0 | 1 => {
                self.add(at_ms, Step::BreakStorePath(gateway, path));
                self.add(end_ms, Step::HealStorePath(gateway));
            }
            2 => {
                let mode = [Mode::Unavailable, Mode::Silent][self.random_below(2) as usize];
                self.add(at_ms, Step::SetStoreMode(mode));
                self.add(end_ms, Step::SetStoreMode(Mode::Up));
            }
            3 => self.add(at_ms, Step::DropStoreHistory),
            4 | 5 => {
                self.add(at_ms, Step::BreakEndpointPath(endpoint, path));
                self.add(end_ms, Step::HealEndpointPath(endpoint));
            }
            6 | 7 => {
                let random_behaviour = self.random_behaviour();
                self.add(
                    at_ms,
                    Step::SetEndpointBehaviour(endpoint, random_behaviour),
                );
                self.add(end_ms, Step::ResetEndpointBehaviour(endpoint));
            }
            8 => {
                self.add(at_ms, Step::DrainEndpoint(endpoint));
                self.add(at_ms + 2_500, Step::RemoveEndpointRow(endpoint));
                self.add(at_ms + 3_000 + pause_ms, Step::ReplaceEndpoint(endpoint));
            }
            9 => {
                self.add(at_ms, Step::PauseGateway(gateway));
                self.add(end_ms, Step::ResumeGateway(gateway));
            }
            10 => {
                self.add(at_ms, Step::KillGateway(gateway));
                self.add(at_ms + 200 + pause_ms / 2, Step::StartGateway(gateway));
            }
            11 => {
                self.add(at_ms, Step::TerminateGateway(gateway));
                self.add(at_ms + 8_500, Step::StartGateway(gateway));
            }
            12 => {
                self.add(at_ms, Step::CorruptSettings(gateway));
                self.add(at_ms + 50, Step::HangUpGateway(gateway));
                self.add(end_ms, Step::RestoreSettings(gateway));
                self.add(end_ms, Step::HangUpGateway(gateway));
            }
            13 => {
                // Rows expire after three missed renewals.
                self.add(at_ms, Step::ReplaceEndpoint(endpoint));
                self.add(at_ms + 3_600, Step::RemoveStaleRows(endpoint));
            }
            _ => {
                for number in 0..1 + self.random_below(4) {
                    self.add(at_ms + number * 150, Step::PublishConfiguration);
                }
            }
        }
    }

    /// Breaks the path of a gateway to the store, or the store itself.
    fn add_path_fault(&mut self) {
        let at_ms = self.random_below(self.length_ms);
        let end_ms = at_ms + 100 + self.random_below(3_000);
        let gateway = self.random_below(GATEWAYS as u64) as usize;
        let path = self.random_path_fault();
        match self.random_below(3) {
            0 => {
                self.add(at_ms, Step::SetStoreMode(Mode::Unavailable));
                self.add(end_ms, Step::SetStoreMode(Mode::Up));
            }
            _ => {
                self.add(at_ms, Step::BreakStorePath(gateway, path));
                self.add(end_ms, Step::HealStorePath(gateway));
            }
        }
    }

    fn add_cold_start(&mut self, at_ms: u64) {
        let endpoint = self.random_below(ENDPOINTS as u64) as usize;
        match self.random_below(2) {
            0 => self.add(at_ms, Step::RestartColdEndpoint(endpoint)),
            _ => {
                self.add(at_ms, Step::ReplaceEndpoint(endpoint));
                self.add(at_ms + 3_600, Step::RemoveStaleRows(endpoint));
            }
        }
    }

    fn add_restart(&mut self) {
        let at_ms = self.random_below(self.length_ms);
        let endpoint = self.random_below(ENDPOINTS as u64) as usize;
        let rewrite_ms = at_ms + self.random_below(1_500);
        match self.random_below(3) {
            0 => {
                self.add(at_ms, Step::RestartEndpoint(endpoint));
                self.add(rewrite_ms, Step::RewriteEndpointRow(endpoint));
            }
            1 => {
                for repeat in 0..3 {
                    self.add(at_ms + repeat * 200, Step::RestartEndpoint(endpoint));
                    self.add(at_ms + repeat * 200, Step::RewriteEndpointRow(endpoint));
                }
            }
            _ => {
                self.add(at_ms, Step::CorruptEndpointRow(endpoint));
                self.add(rewrite_ms, Step::RewriteEndpointRow(endpoint));
            }
        }
    }

    fn add_kills_under_refusals(&mut self) {
        for endpoint in [0, 1, 3, 4, 5, 6] {
            self.add(
                0,
                Step::SetEndpointBehaviour(endpoint, Behaviour::Refuse(None)),
            );
        }
        let mut at_ms = 2_000;
        while at_ms < self.length_ms {
            for gateway in 0..GATEWAYS {
                self.add(at_ms, Step::KillGateway(gateway));
                let down_ms = 100 + self.random_below(200);
                self.add(at_ms + down_ms, Step::StartGateway(gateway));
            }
            if self.random_below(3) == 0 {
                self.add(at_ms, Step::SetStoreMode(Mode::Silent));
                self.add(at_ms + 800, Step::SetStoreMode(Mode::Up));
            }
            at_ms += 1_000 + self.random_below(1_000);
        }
    }

    fn add_backpressure(&mut self) {
        let at_ms = self.random_below(self.length_ms / 2);
        let end_ms = at_ms + 2_000 + self.random_below(6_000);
        let endpoint = self.random_below(ENDPOINTS as u64) as usize;
        match self.random_below(4) {
            0 | 1 => {
                let limit_tenths = self.random_below(60);
                let limit = format!(
                    "Server-Limit: {}.{}\r\n",
                    limit_tenths / 10,
                    limit_tenths % 10
                );
                self.add(at_ms, Step::SetEndpointHeaders(endpoint, limit));
                self.add(end_ms, Step::SetEndpointHeaders(endpoint, String::new()));
            }
            2 => {
                // The row in the store follows seconds after the header.
                let leaving = "Server-Leaving: 1\r\n".to_string();
                self.add(at_ms, Step::SetEndpointHeaders(endpoint, leaving));
                self.add(end_ms, Step::DrainEndpoint(endpoint));
                self.add(end_ms + 1_000, Step::RemoveEndpointRow(endpoint));
                self.add(end_ms + 1_500, Step::ReplaceEndpoint(endpoint));
            }
            _ => {
                let retry_after = format!("Retry-After: {}.5\r\n", 1 + self.random_below(3));
                self.add(at_ms, Step::SetEndpointHeaders(endpoint, retry_after));
                self.add(
                    at_ms,
                    Step::SetEndpointBehaviour(endpoint, Behaviour::Refuse(None)),
                );
                self.add(end_ms, Step::SetEndpointHeaders(endpoint, String::new()));
                self.add(end_ms, Step::ResetEndpointBehaviour(endpoint));
            }
        }
    }

    fn random_path_fault(&mut self) -> PathFault {
        let choices = [
            PathFault::Delayed,
            PathFault::Refused,
            PathFault::Cut,
            PathFault::Silent,
            PathFault::SilentOneWay,
            PathFault::OpenConnectionsSilent,
            PathFault::RepliesLost,
        ];
        choices[self.random_below(choices.len() as u64) as usize]
    }

    fn random_behaviour(&mut self) -> Behaviour {
        let choices = [
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
        choices[self.random_below(choices.len() as u64) as usize].clone()
    }
}
