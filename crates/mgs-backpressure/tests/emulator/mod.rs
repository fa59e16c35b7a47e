//! Simulates an endpoint with a limit, and gateways that share the limit by one of several
//! policies.

use std::collections::VecDeque;

use mgs_backpressure::advice::Advice;
use mgs_backpressure::advice::Field;
use mgs_backpressure::options::Options;
use mgs_backpressure::peer_update::LimitUpdate;
use mgs_backpressure::peer_update::PeerUpdate;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::Backpressure;
use mgs_backpressure::table::IncarnationHash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP_MS: f64 = 5.0;
const UPDATE_INTERVAL_MS: f64 = 300.0;
const PEER_TIMEOUT_MS: f64 = 1_200.0;
const WINDOW_MS: f64 = 4_000.0;
const MESSAGE_LOSS_SHARE: f64 = 0.05;

/// Time until the limit is checked.
const WARM_UP_MS: f64 = 3_000.0;

/// Time after a gateway's restart or partition until its requests are checked again.
const RECOVERY_MS: f64 = 4_000.0;

const INCARNATION: IncarnationHash = IncarnationHash(0x5eed);

/// How a limit is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Each gateway gets an equal part, and may send one request at once.
    EqualParts,
    /// One gateway at a time uses the whole limit for half a second, in rotation.
    OneAtATime,
    /// Each gateway counts its own requests and those that its peers report.
    Counted,
    /// A few gateways use the limit at a time, as in [`Backpressure`].
    FewHolders,
}

/// One simulated run.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    pub(crate) limit_per_s: f64,
    pub(crate) seed: u64,
    pub(crate) duration_ms: f64,
    /// Requests per second that all gateways together would send to the endpoint if it accepted
    /// them.
    pub(crate) offered_per_s: f64,
    /// Gateways that stop and start again.
    pub(crate) restarts: usize,
    /// Gateways that for a while receive nothing from some others, which still receive from them.
    pub(crate) partitions: usize,
}

impl Scenario {
    /// Each gateway offers one request in two seconds, and all together offer at least forty per
    /// second.
    pub(crate) fn of(gateways: usize, limit_per_s: f64) -> Self {
        Self {
            gateways,
            limit_per_s,
            seed: 1,
            duration_ms: 60_000.0,
            offered_per_s: (gateways as f64 / 2.0).max(40.0),
            restarts: 4,
            partitions: 4,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Most requests in four seconds, without those of gateways in or shortly after a fault.
    pub(crate) max_requests: u32,
    /// Requests sent, as a share of what the limit allows.
    pub(crate) used_share: f64,
}

/// A message between two gateways in flight.
#[derive(Debug, Clone, Copy)]
struct Message {
    at_ms: f64,
    from: usize,
    incarnation: u64,
    clock_ms: f64,
    sent: u32,
}

struct Gateway {
    incarnation: u64,
    table: Backpressure,
    peers_heard_ms: Vec<(u64, f64)>,
    inbox: Vec<Message>,
    /// Requests sent that the next message reports: all of them, or those since the last message.
    reported_requests: u32,
    has_sent_request: bool,
    /// For the policies that [`Backpressure`] doesn't implement.
    available_requests: f64,
    refilled_ms: f64,
    down_until_ms: f64,
    excused_until_ms: f64,
    unreachable_peers: Vec<usize>,
    unreachable_until_ms: f64,
}

impl Gateway {
    fn start(incarnation: u64, now_ms: f64) -> Self {
        Self {
            incarnation,
            table: Backpressure::new(Options::default()),
            peers_heard_ms: Vec::new(),
            inbox: Vec::new(),
            reported_requests: 0,
            has_sent_request: false,
            available_requests: 1.0,
            refilled_ms: now_ms,
            down_until_ms: 0.0,
            excused_until_ms: 0.0,
            unreachable_peers: Vec::new(),
            unreachable_until_ms: 0.0,
        }
    }
}

/// Runs a scenario.
pub(crate) fn simulate(policy: Policy, scenario: &Scenario) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut gateways: Vec<Gateway> = (0..scenario.gateways)
        .map(|index| Gateway::start(1 + index as u64 * 7_919, 0.0))
        .collect();
    let mut next_incarnation = 1_000_000;
    let mut sent: VecDeque<f64> = VecDeque::new();
    let (mut max_requests, mut total) = (0, 0_u32);
    let mut now_ms = 0.0;
    let faults = fault_times(scenario, &mut random);
    let mut next_update_ms: Vec<f64> = (0..scenario.gateways)
        .map(|_| random.random_range(0.0..UPDATE_INTERVAL_MS))
        .collect();
    while now_ms < scenario.duration_ms {
        now_ms += STEP_MS;
        for (at_ms, is_restart) in &faults {
            if (*at_ms..*at_ms + STEP_MS).contains(&now_ms) {
                let victim = random.random_range(0..scenario.gateways);
                inject_fault(&mut gateways, victim, *is_restart, now_ms, &mut random);
                next_incarnation += 1;
                if *is_restart {
                    gateways[victim].incarnation = next_incarnation;
                }
            }
        }
        for from in 0..scenario.gateways {
            let is_due = now_ms >= next_update_ms[from]
                || policy == Policy::Counted && gateways[from].reported_requests > 0;
            if is_due && now_ms >= gateways[from].down_until_ms {
                next_update_ms[from] = now_ms + UPDATE_INTERVAL_MS;
                send_update(policy, &mut gateways, from, now_ms, &mut random);
            }
        }
        for gateway in &mut gateways {
            receive(policy, gateway, scenario, now_ms);
        }
        let send_probability = scenario.offered_per_s * STEP_MS / 1e3 / scenario.gateways as f64;
        for gateway in &mut gateways {
            let is_up = now_ms >= gateway.down_until_ms;
            if !is_up
                || !random.random_bool(send_probability.min(1.0))
                || !may_send(policy, gateway, scenario, now_ms)
            {
                continue;
            }
            total += 1;
            let limit = Advice {
                limit_per_s: Field::Value(scenario.limit_per_s),
                ..Advice::default()
            };
            gateway
                .table
                .apply_advice(INCARNATION, limit, now_ms, now_ms);
            let is_excused = now_ms < gateway.excused_until_ms;
            if now_ms >= WARM_UP_MS && !is_excused {
                sent.push_back(now_ms);
            }
        }
        while sent
            .front()
            .is_some_and(|at_ms| *at_ms <= now_ms - WINDOW_MS)
        {
            sent.pop_front();
        }
        max_requests = max_requests.max(sent.len() as u32);
    }
    Outcome {
        max_requests,
        used_share: f64::from(total) / (scenario.limit_per_s * scenario.duration_ms / 1e3),
    }
}

fn fault_times(scenario: &Scenario, random: &mut ChaCha8Rng) -> Vec<(f64, bool)> {
    let count = scenario.restarts + scenario.partitions;
    let at = |index: usize| {
        let at_ms: f64 = random.random_range(WARM_UP_MS..scenario.duration_ms);
        (
            (at_ms / STEP_MS).round() * STEP_MS,
            index < scenario.restarts,
        )
    };
    (0..count).map(at).collect()
}

fn inject_fault(
    gateways: &mut [Gateway],
    victim: usize,
    is_restart: bool,
    now_ms: f64,
    random: &mut ChaCha8Rng,
) {
    if is_restart {
        gateways[victim] = Gateway::start(0, now_ms);
        gateways[victim].down_until_ms = now_ms + 1_000.0;
        gateways[victim].excused_until_ms = now_ms + 1_000.0 + RECOVERY_MS;
        return;
    }
    // The gateway no longer receives from half of the others; they still receive from it.
    let unreachable_peers = (0..gateways.len())
        .filter(|_| random.random_bool(0.5))
        .collect();
    gateways[victim].unreachable_peers = unreachable_peers;
    gateways[victim].unreachable_until_ms = now_ms + 5_000.0;
    gateways[victim].excused_until_ms = now_ms + 5_000.0 + RECOVERY_MS;
}

fn send_update(
    policy: Policy,
    gateways: &mut [Gateway],
    from: usize,
    now_ms: f64,
    random: &mut ChaCha8Rng,
) {
    gateways[from].has_sent_request = false;
    let message = Message {
        at_ms: now_ms,
        from,
        incarnation: gateways[from].incarnation,
        clock_ms: gateways[from].table.clock_ms(now_ms),
        sent: match policy {
            Policy::FewHolders => gateways[from].reported_requests,
            _ => std::mem::take(&mut gateways[from].reported_requests),
        },
    };
    for (to, gateway) in gateways.iter_mut().enumerate() {
        if to != from && !random.random_bool(MESSAGE_LOSS_SHARE) {
            let at_ms = now_ms + random.random_range(15.0..35.0);
            gateway.inbox.push(Message { at_ms, ..message });
        }
    }
}

fn receive(policy: Policy, gateway: &mut Gateway, scenario: &Scenario, now_ms: f64) {
    let inbox = std::mem::take(&mut gateway.inbox);
    for message in inbox {
        if message.at_ms > now_ms {
            gateway.inbox.push(message);
            continue;
        }
        let is_unreachable = now_ms < gateway.unreachable_until_ms
            && gateway.unreachable_peers.contains(&message.from);
        if is_unreachable || now_ms < gateway.down_until_ms {
            continue;
        }
        if policy == Policy::Counted {
            gateway.available_requests -= f64::from(message.sent);
        }
        gateway.table.observe_peer_clock(message.clock_ms, now_ms);
        let limit = LimitUpdate {
            per_s: Some(scenario.limit_per_s),
            at_ms: message.at_ms,
        };
        let update = PeerUpdate {
            limit: Some(limit),
            sent_requests: message.sent,
            ..PeerUpdate::default()
        };
        gateway
            .table
            .apply_peer_update(message.incarnation, INCARNATION, update, now_ms);
        gateway
            .peers_heard_ms
            .retain(|(peer, _)| *peer != message.incarnation);
        gateway.peers_heard_ms.push((message.incarnation, now_ms));
    }
    let peers_before = gateway.peers_heard_ms.len();
    gateway
        .peers_heard_ms
        .retain(|(_, at_ms)| now_ms - at_ms < PEER_TIMEOUT_MS);
    let is_refresh_due = peers_before != gateway.peers_heard_ms.len()
        || ((now_ms / STEP_MS) as u64).is_multiple_of(50);
    if is_refresh_due {
        let mut others: Vec<u64> = gateway
            .peers_heard_ms
            .iter()
            .map(|(peer, _)| *peer)
            .collect();
        others.sort_unstable();
        gateway.table.set_gateways(Gateways {
            own: gateway.incarnation,
            others,
            count: Some(scenario.gateways),
        });
    }
}

fn may_send(policy: Policy, gateway: &mut Gateway, scenario: &Scenario, now_ms: f64) -> bool {
    let limit_per_s = scenario.limit_per_s.max(0.25);
    let since_s = (now_ms - gateway.refilled_ms) / 1e3;
    gateway.refilled_ms = now_ms;
    let members = gateway.peers_heard_ms.len() + 1;
    match policy {
        Policy::FewHolders => {
            let is_taken = gateway.table.permit(INCARNATION, now_ms).is_ok();
            gateway.reported_requests += u32::from(is_taken);
            gateway.has_sent_request |= is_taken;
            return is_taken;
        }
        Policy::EqualParts => gateway.available_requests += limit_per_s / members as f64 * since_s,
        Policy::Counted => gateway.available_requests += limit_per_s * since_s,
        Policy::OneAtATime => {
            let slot_ms = (1e3 / limit_per_s).max(500.0);
            let slot = (gateway.table.clock_ms(now_ms) / slot_ms) as u64;
            let rank = |gateway: u64| {
                (gateway ^ slot.wrapping_mul(0x9e37_79b9_7f4a_7c15))
                    .wrapping_mul(0xff51_afd7_ed55_8ccd)
            };
            let own = rank(gateway.incarnation);
            if gateway
                .peers_heard_ms
                .iter()
                .any(|(peer, _)| rank(*peer) > own)
            {
                gateway.available_requests = limit_per_s * slot_ms / 1e3;
                return false;
            }
        }
    }
    gateway.available_requests = gateway.available_requests.min(match policy {
        Policy::OneAtATime => (limit_per_s * 0.5).max(1.0),
        _ => 1.0,
    });
    if gateway.available_requests < 1.0 {
        return false;
    }
    gateway.available_requests -= 1.0;
    gateway.reported_requests += 1;
    gateway.has_sent_request = true;
    true
}
