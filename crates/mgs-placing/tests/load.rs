//! Plays swinging loads on emulated engines and looks at what callers get.

mod emulator;

use std::collections::HashMap;

use emulator::load;
use emulator::Audits;
use emulator::Emulator;
use emulator::Event;
use emulator::Fate;
use emulator::Phase;
use emulator::Prompt;
use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::choose::choose;
use mgs_placing::choose::is_long;
use mgs_placing::line::Firsts;
use mgs_placing::line::Score;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options;
use mgs_placing::spare::Spare;
use mgs_placing::streams::Streams;
use mgs_placing::turn;
use mgs_placing::turn::score;
use mgs_placing::turn::Turn;
use mgs_placing::way::Candidate;
use mgs_placing::way::Placement;
use mgs_placing::way::Scene;

const LOOK_MS: f64 = 12.0;

/// Prompts of fewer tokens are short in each load.
const SHORT_TOKENS: u64 = 24_000;

/// A fleet and the longest prompts that it gets.
#[derive(Debug, Clone)]
struct Deployment {
    engines: usize,
    model: EngineModel,
    audits: Audits,
    /// Requests and parts that an engine runs at once; more wait at the engine.
    places: usize,
    /// Plays with different numbers, over which the mean is taken.
    plays: u64,
}

/// The first deployments.
fn first() -> Deployment {
    Deployment {
        engines: 21,
        model: EngineModel::default(),
        audits: Audits {
            mean_tokens: 154_000.0,
            spread: 0.51,
            most_tokens: 290_000.0,
            aim_ms: 3_000.0,
        },
        places: usize::MAX,
        plays: 6,
    }
}

/// A third of the grown ones.
fn grown() -> Deployment {
    Deployment {
        engines: 23,
        model: EngineModel {
            slots: 12,
            memory_tokens: 267_750,
            ..EngineModel::default()
        },
        audits: Audits {
            mean_tokens: 220_000.0,
            spread: 0.6,
            most_tokens: 800_000.0,
            aim_ms: 4_000.0,
        },
        places: usize::MAX,
        plays: 8,
    }
}

/// Ten seconds of long prompts that ask for more reading than all engines have, then short ones that need
/// nearly all engines: the swing of the grown deployments' heaviest days.
const GROWN_SWING: [Phase; 2] = [
    Phase {
        length_ms: 9_500.0,
        short_per_s: 13.0,
        reviews_per_s: 2.7,
        audits_per_s: 3.5,
    },
    Phase {
        length_ms: 6_000.0,
        short_per_s: 100.0,
        reviews_per_s: 1.3,
        audits_per_s: 0.1,
    },
];

/// Ten seconds of long prompts, then ten of short ones: the swing of the users' calm days.
const SWING: [Phase; 2] = [
    Phase {
        length_ms: 9_500.0,
        short_per_s: 12.0,
        reviews_per_s: 2.4,
        audits_per_s: 3.0,
    },
    Phase {
        length_ms: 9_500.0,
        short_per_s: 80.0,
        reviews_per_s: 0.9,
        audits_per_s: 0.05,
    },
];

/// How prompts are placed in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// As the gateway does.
    Turns,
    /// As the gateway does, and nobody waits for a turn.
    NoTurns,
    /// As the gateway does, but short prompts are sent also when they can't be on time.
    NoSpare,
    /// As the gateway does, but late prompts go at their last chance and over as many engines as may be.
    WideWhenLate,
    /// On the one engine with the least reading and writing.
    LeastLoaded,
}

/// Shares of prompts on time, by kind, and of audits that were answered at all.
#[derive(Debug, Clone, Copy)]
struct Shares {
    short: f64,
    reviews: f64,
    audits: f64,
    audits_whole: f64,
}

struct Gateway {
    policy: Policy,
    engines: u32,
    board: Board,
    options: options::Options,
    turns: turn::Options,
    waiting: Vec<usize>,
    spare: Spare,
    placed: HashMap<usize, Placed>,
}

struct Placed {
    placement: Placement,
    parts: Vec<(EndpointKey, Held)>,
    /// The writer and memory, until the end.
    rest: Vec<(EndpointKey, Held)>,
}

impl Gateway {
    fn new(policy: Policy, deployment: &Deployment) -> Self {
        let mut options = options::Options::default();
        let mut turns = turn::Options::default();
        // Engines that never run out of places have no spare ones to wait for.
        if policy == Policy::NoSpare || deployment.places == usize::MAX {
            turns.spare_from_share = f64::INFINITY;
        }
        if policy == Policy::WideWhenLate {
            // Nothing narrow ends in time by this, and there are always engines for the last chance.
            options.late_margin_factor = 100.0;
            turns.last_engines = 10.0;
            turns.last_share = 1.0;
        }
        let mut board = Board::new();
        for key in 0..deployment.engines as u32 {
            board.know_pass(EndpointKey(key), deployment.model.bare_pass_ms());
        }
        Self {
            policy,
            engines: deployment.engines as u32,
            board,
            options,
            turns,
            waiting: Vec::new(),
            spare: Spare::default(),
            placed: HashMap::new(),
        }
    }

    fn need(prompt: &Prompt, now_ms: f64) -> Need {
        let waited_ms = now_ms - prompt.at_ms;
        Need {
            prompt_tokens: prompt.tokens,
            output_tokens: u64::from(prompt.events) * 51,
            expected_tokens: u64::from(prompt.events) * 51,
            pause_ms: prompt.pause_ms,
            full_aim_ms: prompt.aim_ms,
            aim_ms: prompt.aim_ms - waited_ms,
            left_ms: prompt.deadline_ms - waited_ms,
        }
    }

    fn place(&self, need: &Need, model: &EngineModel, now_ms: f64) -> Option<Placement> {
        let candidate = |key| Candidate {
            key: EndpointKey(key),
            slowness: 1.0,
            trial: false,
        };
        let candidates: Vec<Candidate> = (0..self.engines).map(candidate).collect();
        choose(need, &candidates, &self.board, model, &self.options, now_ms).ok()
    }

    fn look(&mut self, emulator: &mut Emulator) {
        self.note(emulator);
        let now_ms = emulator.now_ms;
        let mut scored = Vec::new();
        for prompt in std::mem::take(&mut self.waiting) {
            let need = Self::need(&emulator.prompts[prompt], now_ms);
            let Some(placement) = self.place(&need, &emulator.model, now_ms) else {
                continue;
            };
            scored.push((score(&need, &placement, &emulator.model), prompt));
        }
        scored.sort();
        for (position, (own, prompt)) in scored.iter().enumerate() {
            let need = Self::need(&emulator.prompts[*prompt], now_ms);
            let Some(placement) = self.place(&need, &emulator.model, now_ms) else {
                continue;
            };
            let before = scored[..position].iter();
            let before = before.fold(Firsts::default(), |firsts, (score, _)| firsts.with(*score));
            let best_other = before.in_line_of(*own);
            let waiting = turn::Waiting {
                need: &need,
                placement: &placement,
                model: &emulator.model,
                own: *own,
                best_other,
                ahead: self.ahead(&emulator.prompts, &scored, *prompt),
                spare_per_s: self.spare.per_s(now_ms),
                gateways: 1,
            };
            let turn = turn::turn(&waiting, &self.turns);
            if turn == Turn::Go
                && waiting.is_short(&self.turns)
                && turn::takes_spare(&waiting, &self.turns)
            {
                self.spare.found(now_ms);
            }
            if turn == Turn::Go || self.policy == Policy::NoTurns {
                self.send(emulator, *prompt, &need, placement);
            } else if turn == Turn::Wait {
                self.waiting.push(*prompt);
            }
        }
    }

    /// Short prompts that wait since before this one came; prompts are numbered as they come.
    fn ahead(&self, prompts: &[Prompt], waiting: &[(Score, usize)], own: usize) -> usize {
        let is_short = |prompt: usize| prompts[prompt].tokens < SHORT_TOKENS;
        let ahead = waiting
            .iter()
            .filter(|(_, prompt)| *prompt < own && is_short(*prompt));
        ahead.count()
    }

    fn note(&mut self, emulator: &mut Emulator) {
        for (engine, at_ms) in emulator.wrote.drain(..) {
            self.board.event(EndpointKey(engine as u32), at_ms);
        }
        for prompt in emulator.started.drain(..) {
            let placed = &self.placed[&prompt];
            for (key, part) in &placed.parts {
                self.board.let_go(*key, part);
            }
        }
        for prompt in emulator.ended.drain(..) {
            if let Some(placed) = self.placed.remove(&prompt) {
                for (key, held) in &placed.rest {
                    self.board.let_go(*key, held);
                }
            }
        }
    }

    fn send(&mut self, emulator: &mut Emulator, prompt: usize, need: &Need, placement: Placement) {
        let memory = |tokens: u64| Held {
            memory_tokens: tokens as u32,
            ..Held::default()
        };
        let reserves = placement.reserves.iter();
        let mut rest: Vec<(EndpointKey, Held)> = reserves
            .map(|reserve| (reserve.endpoint, memory(reserve.tokens)))
            .collect();
        let reserved: u64 = placement.reserves.iter().map(|r| r.tokens).sum();
        let mut writer = memory(need.memory_tokens().saturating_sub(reserved));
        let is_long = is_long(need, &emulator.model, &self.options);
        let passes = emulator.model.passes(need.expected_tokens);
        let units = need.units(&emulator.model);
        writer.streams = vec![Streams::one(need.pause_ms, is_long, units, passes)];
        rest.push((placement.first, writer));
        let mut readers = vec![placement.first];
        readers.extend(&placement.helpers);
        for key in &readers {
            self.board.read(*key, emulator.now_ms, placement.read_ms);
        }
        for (key, held) in &rest {
            self.board.hold(*key, held);
        }
        let part = Held {
            parts: 1,
            late_parts: u16::from(placement.is_late),
            shared_read_ms: placement.read_ms as u32,
            ..Held::default()
        };
        let mut parts = Vec::new();
        for key in &readers {
            if readers.len() > 1 {
                self.board.hold(*key, &part);
                parts.push((*key, part.clone()));
            }
        }
        let at_ms = emulator.now_ms + placement.hold_ms;
        let placed = Placed {
            placement,
            parts,
            rest,
        };
        self.placed.insert(prompt, placed);
        emulator.schedule(at_ms, Event::Send(prompt));
    }

    fn least_loaded(&mut self, emulator: &mut Emulator, prompt: usize) {
        self.note(emulator);
        let now_ms = emulator.now_ms;
        let need = Self::need(&emulator.prompts[prompt], now_ms);
        let load = |key: &u32| {
            let key = EndpointKey(*key);
            let running = self.board.held(key).running();
            self.board.backlog_ms(key, now_ms, 0.0) + 50.0 * f64::from(running)
        };
        let least = (0..self.engines).min_by(|a, b| load(a).total_cmp(&load(b)));
        let placement = Placement {
            first: EndpointKey(least.expect("there are engines")),
            helpers: Vec::new(),
            reserves: Vec::new(),
            read_ms: emulator.model.read_ms(need.prompt_tokens),
            backlog_ms: 0.0,
            hold_ms: 0.0,
            first_token_ms: 0.0,
            loss_units: 0.0,
            is_late: false,
            scene: Scene::default(),
        };
        self.send(emulator, prompt, &need, placement);
    }
}

fn play(policy: Policy, deployment: &Deployment, phases: &[Phase], seed: u64) -> Shares {
    let prompts = load(phases, &deployment.audits, seed);
    let model = deployment.model.clone();
    let mut emulator = Emulator::new(model, deployment.engines, prompts);
    emulator.places = deployment.places;
    let mut gateway = Gateway::new(policy, deployment);
    emulator.schedule(LOOK_MS, Event::Look);
    let end_ms = phases.iter().map(|phase| phase.length_ms).sum::<f64>() + 15_000.0;
    while let Some(event) = emulator.next() {
        if emulator.now_ms > end_ms {
            break;
        }
        match event {
            Event::Arrival(prompt) if policy == Policy::LeastLoaded => {
                gateway.least_loaded(&mut emulator, prompt);
            }
            Event::Arrival(prompt) => {
                gateway.waiting.push(prompt);
                gateway.look(&mut emulator);
            }
            Event::Look => {
                gateway.look(&mut emulator);
                let at_ms = emulator.now_ms + LOOK_MS;
                emulator.schedule(at_ms, Event::Look);
            }
            Event::Send(prompt) => {
                let placement = &gateway.placed[&prompt].placement;
                let mut readers = vec![placement.first.0 as usize];
                readers.extend(placement.helpers.iter().map(|key| key.0 as usize));
                emulator.send(prompt, &readers);
            }
            Event::Pass(_) => unreachable!("passes are played by the emulator"),
        }
    }
    shares(&emulator, &deployment.audits)
}

fn shares(emulator: &Emulator, audits: &Audits) -> Shares {
    let share = |aim_ms: f64, counts: fn(&Prompt, &Fate) -> bool| {
        let of_kind = emulator.prompts.iter().zip(&emulator.fates);
        let of_kind: Vec<_> = of_kind
            .filter(|(prompt, _)| prompt.aim_ms == aim_ms)
            .collect();
        let counted = of_kind.iter().filter(|(prompt, fate)| counts(prompt, fate));
        counted.count() as f64 / of_kind.len().max(1) as f64
    };
    let on_time = |prompt: &Prompt, fate: &Fate| fate.is_on_time(prompt);
    Shares {
        short: share(300.0, on_time),
        reviews: share(1_500.0, on_time),
        audits: share(audits.aim_ms, on_time),
        audits_whole: share(audits.aim_ms, |_, fate| fate.is_whole),
    }
}

fn mean(policy: Policy, deployment: &Deployment, phases: &[Phase]) -> Shares {
    let plays = (1..=deployment.plays).map(|seed| play(policy, deployment, phases, seed));
    let plays: Vec<Shares> = plays.collect();
    let mean = |of: fn(&Shares) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
    Shares {
        short: mean(|play| play.short),
        reviews: mean(|play| play.reviews),
        audits: mean(|play| play.audits),
        audits_whole: mean(|play| play.audits_whole),
    }
}

#[test]
fn a_swing_between_long_and_short_prompts_leaves_most_of_both_on_time() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &first(), &swing);
    assert!(turns.short > 0.93, "{turns:?}");
    assert!(turns.reviews > 0.93, "{turns:?}");
    assert!(turns.audits > 0.85, "{turns:?}");
}

#[test]
fn a_router_that_places_one_prompt_at_a_time_loses_the_audits_or_the_streams() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &first(), &swing);
    let least = mean(Policy::LeastLoaded, &first(), &swing);
    assert!(turns.audits > least.audits + 0.3, "{turns:?} {least:?}");
    assert!(turns.short > least.short, "{turns:?} {least:?}");
}

#[test]
fn waiting_for_a_turn_serves_more_when_audits_ask_for_all_engines() {
    let heavy = Phase {
        audits_per_s: 4.5,
        ..SWING[0]
    };
    let load = [heavy, SWING[1]];
    let turns = mean(Policy::Turns, &first(), &load);
    let without = mean(Policy::NoTurns, &first(), &load);
    assert!(
        turns.audits > without.audits + 0.05,
        "{turns:?} {without:?}"
    );
    assert!(turns.short >= without.short, "{turns:?} {without:?}");
}

/// Six seconds in which streams ask for nearly twice the places of all engines: 21 of 16 places each write about
/// 170 answers a second. Sent all the same, 0.14 of the short prompts are on time: engines queue them, and each
/// waits for those before it. With late ones held back it is 0.50 (mean of two plays each).
#[test]
fn more_streams_than_places_leave_half_of_the_prompts_on_time() {
    let deployment = Deployment {
        places: 16,
        plays: 2,
        ..first()
    };
    let load = [Phase {
        length_ms: 6_000.0,
        short_per_s: 300.0,
        reviews_per_s: 0.01,
        audits_per_s: 0.01,
    }];
    let held_back = mean(Policy::Turns, &deployment, &load);
    let all_sent = mean(Policy::NoSpare, &deployment, &load);
    assert!(held_back.short > 0.45, "{held_back:?}");
    assert!(
        held_back.short > all_sent.short + 0.2,
        "{held_back:?} {all_sent:?}"
    );
}

/// On a grown deployment 481 of 592 short prompts that came within two seconds were late, when the largest
/// audits of the phase before took nearly all engines at their last chance, all at the same time.
#[test]
fn audits_that_are_late_together_leave_most_engines_to_the_next_phase() {
    let largest = Deployment {
        audits: Audits {
            mean_tokens: 600_000.0,
            spread: 0.1,
            ..grown().audits
        },
        ..grown()
    };
    let together = Phase {
        length_ms: 1_000.0,
        audits_per_s: 8.0,
        ..GROWN_SWING[0]
    };
    let between = Phase {
        length_ms: 6_500.0,
        audits_per_s: 0.01,
        ..GROWN_SWING[0]
    };
    let load = [together, between, GROWN_SWING[1]];
    let narrow = mean(Policy::Turns, &largest, &load);
    let wide = mean(Policy::WideWhenLate, &largest, &load);
    assert!(narrow.short > wide.short + 0.05, "{narrow:?} {wide:?}");
    assert!(narrow.reviews >= wide.reviews, "{narrow:?} {wide:?}");
    assert!(narrow.audits >= wide.audits, "{narrow:?} {wide:?}");
    assert!(
        narrow.audits_whole >= wide.audits_whole,
        "{narrow:?} {wide:?}"
    );
}
