//! Shares of organisations in ordinary traffic of the first deployment, where they have nothing to
//! do: 24 organisations of unlike size, of which the small ones send a long prompt in ten seconds or
//! fewer. `-- --nocapture` prints the figures.

#![allow(clippy::print_stdout, reason = "the tests report shares")]

#[allow(dead_code, reason = "shared with the tests of shortages")]
mod share_fleet;

use mgs_admission::demand_shares::EnginePressure;
use rstest::rstest;
use share_fleet::hash;
use share_fleet::learned_shares;
use share_fleet::on_time;
use share_fleet::usual_load_share;
use share_fleet::Conditions;
use share_fleet::Fleet;
use share_fleet::LEARN_S;
use share_fleet::ORGANISATIONS;

/// Engines of the first deployment, and those that are left without a third of them.
const ENGINES: usize = 69;
const ENGINES_LEFT: usize = 46;

/// Most that the on-time share of all prompts may be lower with shares than without.
const LOSS_MAX: f64 = 0.01;

/// What happens in ordinary traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// Nothing.
    Calm,
    /// All organisations send twice as many long prompts for some seconds, four times.
    LongBursts,
    /// A third of the engines is gone for ten seconds, twice.
    EnginesGone,
}

/// What one play shows.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Play {
    /// On-time share of all prompts.
    on_time: f64,
    /// Refusals by shares, and those of them while the engines had room.
    refusals: f64,
    refusals_with_room: f64,
    /// Most of the engines' time that was in use over a second.
    use_share_max: f64,
}

fn play(seed: u64, conditions: &Conditions, event: Event) -> Play {
    let mut fleet = Fleet::new(seed, conditions.clone());
    fleet.run(LEARN_S);
    let mut phases = Vec::new();
    match event {
        Event::Calm => phases.push((60.0, 1.0, ENGINES)),
        Event::LongBursts => {
            for burst_s in [2.0, 3.0, 4.0, 5.0] {
                phases.push((burst_s, 2.0, ENGINES));
                phases.push((12.0, 1.0, ENGINES));
            }
        }
        Event::EnginesGone => {
            for _ in 0..2 {
                phases.push((10.0, 1.0, ENGINES_LEFT));
                phases.push((20.0, 1.0, ENGINES));
            }
        }
    }
    let mut on_time_sum = 0.0;
    let mut requests = 0.0;
    let mut play = Play {
        on_time: 0.0,
        refusals: 0.0,
        refusals_with_room: 0.0,
        use_share_max: 0.0,
    };
    for (duration_s, long_load, engines) in phases {
        fleet.conditions.long_load = long_load;
        fleet.conditions.engines = engines;
        let outcomes = fleet.run(duration_s);
        let phase_requests: f64 = outcomes.iter().map(|row| row.requests).sum();
        on_time_sum += on_time(&outcomes) * phase_requests;
        requests += phase_requests;
        play.refusals += outcomes.iter().map(|row| row.share_refusals).sum::<f64>();
        play.refusals_with_room += fleet.refusals_with_room;
        play.use_share_max = play.use_share_max.max(fleet.use_share_max);
    }
    play.on_time = on_time_sum / requests;
    play
}

// Guards against refusals in ordinary traffic: several long prompts of a small organisation that come
// together by chance were taken for a surge, and prompts that wait for engines for refused ones.
#[rstest]
fn ordinary_traffic_loses_nothing_by_shares(
    #[values(Event::Calm, Event::LongBursts, Event::EnginesGone)] event: Event,
    #[values(false, true)] has_groups: bool,
    #[values(0.0, 0.65)] load_share: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = if load_share > 0.0 {
        load_share / usual_load_share()
    } else {
        1.0
    };
    let conditions = Conditions {
        load: [load; ORGANISATIONS],
        has_groups,
        ..Conditions::default()
    };
    let off = Conditions {
        is_on: false,
        ..conditions.clone()
    };
    let (with, without) = (play(seed, &conditions, event), play(seed, &off, event));
    println!(
        "{event:?} groups {has_groups} load {load:.2} seed {seed}: off {:.4}, {with:.4?}",
        without.on_time
    );
    assert_eq!(with.refusals_with_room, 0.0, "{with:?}");
    assert!(
        with.on_time >= without.on_time - LOSS_MAX,
        "{with:?} {without:?}"
    );
}

// Guards against prompts that wait for engines being taken for refused ones, and against refusals that
// aren't noticed where the engines' declared figures are too high.
#[rstest]
#[case::waiting(false)]
#[case::refused(true)]
fn only_what_engines_refuse_counts_as_refused(#[case] is_refused: bool) {
    let mut shares = learned_shares(2);
    for _ in 0..60 {
        let _ = shares.admit(20_000.0, hash(0), 50.0, 0.0);
        if is_refused {
            shares.record_refused(20_000.0, hash(0), 50.0, 0.0);
        }
    }
    let half_busy = EnginePressure {
        engines: 1,
        busy_share: 0.5,
        wait_ms: 0.0,
    };
    for step in 0..10 {
        shares.refresh(20_000.0 + f64::from(step) * 50.0, &half_busy);
    }
    let next = shares.admit(20_450.0, hash(0), 50.0, 0.99);
    assert_eq!(next.is_err(), is_refused, "{next:?}");
}

// Guards against refusals while engines have room for a prompt at once, against admitting more than
// shares allow while prompts wait, and against a wait without a bound that is never forgotten.
#[rstest]
#[case::idle_engine(0.0, true)]
#[case::wait(200.0, false)]
#[case::no_slot(f64::INFINITY, false)]
fn what_is_beyond_a_share_is_admitted_if_engines_have_room(
    #[case] wait_ms: f64,
    #[case] is_admitted: bool,
) {
    let mut shares = learned_shares(2);
    let pressure = |wait_ms| EnginePressure {
        engines: 1,
        busy_share: 1.0,
        wait_ms,
    };
    let mut play = |from_ms: f64, wait_ms: f64| {
        for step in 0..30 {
            let now_ms = from_ms + f64::from(step) * 50.0;
            for _ in 0..10 {
                let _ = shares.admit(now_ms, hash(0), 50.0, 0.0);
            }
            shares.refresh(now_ms, &pressure(wait_ms));
        }
        shares.admit(from_ms + 1_450.0, hash(0), 50.0, 0.99)
    };
    let next = play(20_000.0, wait_ms);
    assert_eq!(next.is_ok(), is_admitted, "{next:?}");
    let later = play(21_500.0, 0.0);
    assert!(later.is_ok(), "{later:?}");
}
