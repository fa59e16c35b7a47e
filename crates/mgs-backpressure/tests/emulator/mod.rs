//! An endpoint with a limit, and gateways that share it in one of several ways.

use std::collections::VecDeque;

use mgs_backpressure::advice::Advice;
use mgs_backpressure::advice::Field;
use mgs_backpressure::options::Options;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::Life;
use mgs_backpressure::table::Table;
use mgs_backpressure::told::Told;
use mgs_backpressure::told::Word;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP_MS: f64 = 5.0;
const BEACON_MS: f64 = 300.0;
const SILENCE_MS: f64 = 1_200.0;
const SPAN_MS: f64 = 4_000.0;
const LOSS: f64 = 0.05;

/// Time until a limit binds.
const BINDS_AFTER_MS: f64 = 3_000.0;

/// Time from the end of a gateway's trouble until it counts again for the most that came.
const EXCUSED_MS: f64 = 4_000.0;

const LIFE: Life = Life(0x5eed);

/// How a limit is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// Each gateway takes an equal part, and may send one request at once.
    EqualParts,
    /// One gateway holds all of it for half a second, in turn.
    OneAtATime,
    /// Each gateway counts what it sends and what peers say that they sent.
    Counted,
    /// A few hold it in equal parts, as the table does.
    FewHolders,
}

/// What happens.
#[derive(Debug, Clone)]
pub(crate) struct Day {
    pub(crate) gateways: usize,
    pub(crate) limit_per_s: f64,
    pub(crate) seed: u64,
    pub(crate) length_ms: f64,
    /// Requests a second at all gateways together that would go to this endpoint if it took them.
    pub(crate) asked_per_s: f64,
    /// Gateways that end and start again.
    pub(crate) ends: usize,
    /// Gateways that are cut off from some others for a while, one way.
    pub(crate) cuts: usize,
}

impl Day {
    /// Each gateway would send a request in two seconds there, and all together at least forty a second.
    pub(crate) fn of(gateways: usize, limit_per_s: f64) -> Self {
        Self {
            gateways,
            limit_per_s,
            seed: 1,
            length_ms: 60_000.0,
            asked_per_s: (gateways as f64 / 2.0).max(40.0),
            ends: 4,
            cuts: 4,
        }
    }
}

/// What came of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Came {
    /// Most requests in four seconds, of gateways without trouble.
    pub(crate) most: u32,
    /// Share of what the limit comes to that was sent.
    pub(crate) used: f64,
}

/// News on its way from one gateway to another.
#[derive(Debug, Clone, Copy)]
struct News {
    at_ms: f64,
    from: usize,
    incarnation: u64,
    clock_ms: f64,
    sent: u32,
}

struct Gateway {
    incarnation: u64,
    table: Table,
    heard_ms: Vec<(u64, f64)>,
    inbox: Vec<News>,
    /// Requests that it has sent and tells of: all, or those since the last message.
    told_sent: u32,
    has_sent: bool,
    /// For the ways that the table doesn't know.
    tokens: f64,
    filled_ms: f64,
    down_until_ms: f64,
    troubled_until_ms: f64,
    deaf_to: Vec<usize>,
    deaf_until_ms: f64,
}

impl Gateway {
    fn start(incarnation: u64, now_ms: f64) -> Self {
        Self {
            incarnation,
            table: Table::new(Options::default()),
            heard_ms: Vec::new(),
            inbox: Vec::new(),
            told_sent: 0,
            has_sent: false,
            tokens: 1.0,
            filled_ms: now_ms,
            down_until_ms: 0.0,
            troubled_until_ms: 0.0,
            deaf_to: Vec::new(),
            deaf_until_ms: 0.0,
        }
    }
}

/// Plays a day.
pub(crate) fn play(way: Way, day: &Day) -> Came {
    let mut random = ChaCha8Rng::seed_from_u64(day.seed);
    let mut gateways: Vec<Gateway> = (0..day.gateways)
        .map(|number| Gateway::start(1 + number as u64 * 7_919, 0.0))
        .collect();
    let mut next_incarnation = 1_000_000;
    let mut sent: VecDeque<f64> = VecDeque::new();
    let (mut most, mut all) = (0, 0_u32);
    let mut now_ms = 0.0;
    let troubles = trouble_times(day, &mut random);
    let mut beacons: Vec<f64> = (0..day.gateways)
        .map(|_| random.random_range(0.0..BEACON_MS))
        .collect();
    while now_ms < day.length_ms {
        now_ms += STEP_MS;
        for (at_ms, is_end) in &troubles {
            if (*at_ms..*at_ms + STEP_MS).contains(&now_ms) {
                let victim = random.random_range(0..day.gateways);
                trouble(&mut gateways, victim, *is_end, now_ms, &mut random);
                next_incarnation += 1;
                if *is_end {
                    gateways[victim].incarnation = next_incarnation;
                }
            }
        }
        for from in 0..day.gateways {
            let wants =
                now_ms >= beacons[from] || way == Way::Counted && gateways[from].told_sent > 0;
            if wants && now_ms >= gateways[from].down_until_ms {
                beacons[from] = now_ms + BEACON_MS;
                tell(way, &mut gateways, from, now_ms, &mut random);
            }
        }
        for gateway in &mut gateways {
            hear(way, gateway, day, now_ms);
        }
        let chance = day.asked_per_s * STEP_MS / 1e3 / day.gateways as f64;
        for gateway in &mut gateways {
            let is_up = now_ms >= gateway.down_until_ms;
            if !is_up
                || !random.random_bool(chance.min(1.0))
                || !may_send(way, gateway, day, now_ms)
            {
                continue;
            }
            all += 1;
            let limit = Advice {
                limit_per_s: Field::Says(day.limit_per_s),
                ..Advice::default()
            };
            gateway.table.hear(LIFE, limit, now_ms, now_ms);
            let is_excused = now_ms < gateway.troubled_until_ms;
            if now_ms >= BINDS_AFTER_MS && !is_excused {
                sent.push_back(now_ms);
            }
        }
        while sent.front().is_some_and(|at_ms| *at_ms <= now_ms - SPAN_MS) {
            sent.pop_front();
        }
        most = most.max(sent.len() as u32);
    }
    Came {
        most,
        used: f64::from(all) / (day.limit_per_s * day.length_ms / 1e3),
    }
}

fn trouble_times(day: &Day, random: &mut ChaCha8Rng) -> Vec<(f64, bool)> {
    let number = day.ends + day.cuts;
    let at = |which: usize| {
        let at_ms: f64 = random.random_range(BINDS_AFTER_MS..day.length_ms);
        ((at_ms / STEP_MS).round() * STEP_MS, which < day.ends)
    };
    (0..number).map(at).collect()
}

fn trouble(
    gateways: &mut [Gateway],
    victim: usize,
    is_end: bool,
    now_ms: f64,
    random: &mut ChaCha8Rng,
) {
    if is_end {
        gateways[victim] = Gateway::start(0, now_ms);
        gateways[victim].down_until_ms = now_ms + 1_000.0;
        gateways[victim].troubled_until_ms = now_ms + 1_000.0 + EXCUSED_MS;
        return;
    }
    // It hears half of the others no more; they hear it.
    let deaf_to = (0..gateways.len())
        .filter(|_| random.random_bool(0.5))
        .collect();
    gateways[victim].deaf_to = deaf_to;
    gateways[victim].deaf_until_ms = now_ms + 5_000.0;
    gateways[victim].troubled_until_ms = now_ms + 5_000.0 + EXCUSED_MS;
}

fn tell(way: Way, gateways: &mut [Gateway], from: usize, now_ms: f64, random: &mut ChaCha8Rng) {
    gateways[from].has_sent = false;
    let news = News {
        at_ms: now_ms,
        from,
        incarnation: gateways[from].incarnation,
        clock_ms: gateways[from].table.clock_ms(now_ms),
        sent: match way {
            Way::FewHolders => gateways[from].told_sent,
            _ => std::mem::take(&mut gateways[from].told_sent),
        },
    };
    for (to, gateway) in gateways.iter_mut().enumerate() {
        if to != from && !random.random_bool(LOSS) {
            let at_ms = now_ms + random.random_range(15.0..35.0);
            gateway.inbox.push(News { at_ms, ..news });
        }
    }
}

fn hear(way: Way, gateway: &mut Gateway, day: &Day, now_ms: f64) {
    let inbox = std::mem::take(&mut gateway.inbox);
    for news in inbox {
        if news.at_ms > now_ms {
            gateway.inbox.push(news);
            continue;
        }
        let is_deaf = now_ms < gateway.deaf_until_ms && gateway.deaf_to.contains(&news.from);
        if is_deaf || now_ms < gateway.down_until_ms {
            continue;
        }
        if way == Way::Counted {
            gateway.tokens -= f64::from(news.sent);
        }
        gateway.table.hear_clock(news.clock_ms, now_ms);
        let word = Word {
            per_s: Some(day.limit_per_s),
            at_ms: news.at_ms,
        };
        let told = Told {
            word: Some(word),
            sent: news.sent,
            ..Told::default()
        };
        gateway
            .table
            .hear_peer(news.incarnation, LIFE, told, now_ms);
        gateway.heard_ms.retain(|(who, _)| *who != news.incarnation);
        gateway.heard_ms.push((news.incarnation, now_ms));
    }
    let before = gateway.heard_ms.len();
    gateway
        .heard_ms
        .retain(|(_, at_ms)| now_ms - at_ms < SILENCE_MS);
    let is_new = before != gateway.heard_ms.len() || ((now_ms / STEP_MS) as u64).is_multiple_of(50);
    if is_new {
        let mut others: Vec<u64> = gateway.heard_ms.iter().map(|(who, _)| *who).collect();
        others.sort_unstable();
        gateway.table.set_gateways(Gateways {
            own: gateway.incarnation,
            others,
            count: Some(day.gateways),
        });
    }
}

fn may_send(way: Way, gateway: &mut Gateway, day: &Day, now_ms: f64) -> bool {
    let limit_per_s = day.limit_per_s.max(0.25);
    let since_s = (now_ms - gateway.filled_ms) / 1e3;
    gateway.filled_ms = now_ms;
    let members = gateway.heard_ms.len() + 1;
    match way {
        Way::FewHolders => {
            let is_taken = gateway.table.permit(LIFE, now_ms).is_ok();
            gateway.told_sent += u32::from(is_taken);
            gateway.has_sent |= is_taken;
            return is_taken;
        }
        Way::EqualParts => gateway.tokens += limit_per_s / members as f64 * since_s,
        Way::Counted => gateway.tokens += limit_per_s * since_s,
        Way::OneAtATime => {
            let slot_ms = (1e3 / limit_per_s).max(500.0);
            let slot = (gateway.table.clock_ms(now_ms) / slot_ms) as u64;
            let rank = |who: u64| {
                (who ^ slot.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd)
            };
            let own = rank(gateway.incarnation);
            if gateway.heard_ms.iter().any(|(who, _)| rank(*who) > own) {
                gateway.tokens = limit_per_s * slot_ms / 1e3;
                return false;
            }
        }
    }
    gateway.tokens = gateway.tokens.min(match way {
        Way::OneAtATime => (limit_per_s * 0.5).max(1.0),
        _ => 1.0,
    });
    if gateway.tokens < 1.0 {
        return false;
    }
    gateway.tokens -= 1.0;
    gateway.told_sent += 1;
    gateway.has_sent = true;
    true
}
