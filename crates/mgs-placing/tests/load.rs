//! Plays swinging loads on emulated engines and looks at what callers get.

mod emulator;

use std::collections::HashMap;

use emulator::load;
use emulator::Emulator;
use emulator::Event;
use emulator::Phase;
use emulator::Prompt;
use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::choose;
use mgs_placing::choose::choose;
use mgs_placing::choose::Candidate;
use mgs_placing::choose::Placement;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::turn;
use mgs_placing::turn::score;
use mgs_placing::turn::Turn;
use mgs_placing::turn::NOBODY;

const ENGINES: usize = 21;
const LOOK_MS: f64 = 12.0;

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
    /// On the one engine with the least reading and writing.
    LeastLoaded,
}

/// Shares of prompts on time, by kind.
#[derive(Debug, Clone, Copy)]
struct OnTime {
    short: f64,
    reviews: f64,
    audits: f64,
}

struct Gateway {
    policy: Policy,
    board: Board,
    options: choose::Options,
    turns: turn::Options,
    waiting: Vec<usize>,
    placed: HashMap<usize, Placed>,
}

struct Placed {
    placement: Placement,
    parts: Vec<(EndpointKey, Held)>,
    writer: (EndpointKey, Held),
}

impl Gateway {
    fn new(policy: Policy) -> Self {
        Self {
            policy,
            board: Board::new(),
            options: choose::Options::default(),
            turns: turn::Options::default(),
            waiting: Vec::new(),
            placed: HashMap::new(),
        }
    }

    fn need(prompt: &Prompt, now_ms: f64) -> Need {
        let waited_ms = now_ms - prompt.at_ms;
        Need {
            prompt_tokens: prompt.tokens,
            output_tokens: u64::from(prompt.events) * 51,
            pause_ms: prompt.pause_ms,
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
        let candidates: Vec<Candidate> = (0..ENGINES as u32).map(candidate).collect();
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
            let work_ms = emulator.model.read_ms(need.prompt_tokens);
            scored.push((score(&need, &placement, work_ms), prompt));
        }
        scored.sort();
        for (position, (own, prompt)) in scored.iter().enumerate() {
            let need = Self::need(&emulator.prompts[*prompt], now_ms);
            let Some(placement) = self.place(&need, &emulator.model, now_ms) else {
                continue;
            };
            let best_other = match position {
                0 => NOBODY,
                _ => scored[0].0,
            };
            let waiting = turn::Waiting {
                need: &need,
                placement: &placement,
                work_ms: emulator.model.read_ms(need.prompt_tokens),
                own: *own,
                best_other,
            };
            let turn = turn::turn(&waiting, &self.turns);
            if turn == Turn::Go || self.policy == Policy::NoTurns {
                self.send(emulator, *prompt, &need, placement);
            } else {
                self.waiting.push(*prompt);
            }
        }
    }

    fn note(&mut self, emulator: &mut Emulator) {
        for prompt in emulator.started.drain(..) {
            let placed = &self.placed[&prompt];
            for (key, part) in &placed.parts {
                self.board.let_go(*key, part);
            }
        }
        for prompt in emulator.ended.drain(..) {
            if let Some(placed) = self.placed.remove(&prompt) {
                self.board.let_go(placed.writer.0, &placed.writer.1);
            }
        }
    }

    fn send(&mut self, emulator: &mut Emulator, prompt: usize, need: &Need, placement: Placement) {
        let mut writer = Held {
            memory_tokens: need.memory_tokens() as u32,
            ..Held::default()
        };
        writer.writers[need.pause_class()] = 1;
        self.board.hold(placement.first, &writer);
        let mut readers = vec![placement.first];
        readers.extend(&placement.helpers);
        let part = Held {
            parts: 1,
            shared_read_ms: placement.read_ms as u32,
            ..Held::default()
        };
        let mut parts = Vec::new();
        for key in &readers {
            self.board.read(*key, emulator.now_ms, placement.read_ms);
            if readers.len() > 1 {
                self.board.hold(*key, &part);
                parts.push((*key, part));
            }
        }
        let at_ms = emulator.now_ms + placement.hold_ms;
        let writer = (placement.first, writer);
        let placed = Placed {
            placement,
            parts,
            writer,
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
            let running: u16 = self.board.held(key).writers.iter().sum();
            self.board.backlog_ms(key, now_ms, 0.0) + 50.0 * f64::from(running)
        };
        let least = (0..ENGINES as u32).min_by(|a, b| load(a).total_cmp(&load(b)));
        let placement = Placement {
            first: EndpointKey(least.expect("there are engines")),
            helpers: Vec::new(),
            reserves: Vec::new(),
            read_ms: emulator.model.read_ms(need.prompt_tokens),
            backlog_ms: 0.0,
            hold_ms: 0.0,
            first_token_ms: 0.0,
            loss_units: 0.0,
            scene: choose::Scene::default(),
        };
        self.send(emulator, prompt, &need, placement);
    }
}

fn play(policy: Policy, phases: &[Phase], seed: u64) -> OnTime {
    let prompts = load(phases, seed);
    let mut emulator = Emulator::new(EngineModel::default(), ENGINES, prompts);
    let mut gateway = Gateway::new(policy);
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
    on_time(&emulator)
}

fn on_time(emulator: &Emulator) -> OnTime {
    let share = |aim_ms: f64| {
        let of_kind = emulator.prompts.iter().zip(&emulator.fates);
        let of_kind: Vec<_> = of_kind
            .filter(|(prompt, _)| prompt.aim_ms == aim_ms)
            .collect();
        let on_time = of_kind
            .iter()
            .filter(|(prompt, fate)| fate.is_on_time(prompt));
        on_time.count() as f64 / of_kind.len().max(1) as f64
    };
    OnTime {
        short: share(300.0),
        reviews: share(1_500.0),
        audits: share(3_000.0),
    }
}

fn mean(policy: Policy, phases: &[Phase]) -> OnTime {
    const SEEDS: u64 = 6;
    let plays: Vec<OnTime> = (1..=SEEDS).map(|seed| play(policy, phases, seed)).collect();
    let mean = |of: fn(&OnTime) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
    OnTime {
        short: mean(|play| play.short),
        reviews: mean(|play| play.reviews),
        audits: mean(|play| play.audits),
    }
}

#[test]
fn a_swing_between_long_and_short_prompts_leaves_most_of_both_on_time() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &swing);
    assert!(turns.short > 0.93, "{turns:?}");
    assert!(turns.reviews > 0.93, "{turns:?}");
    assert!(turns.audits > 0.85, "{turns:?}");
}

#[test]
fn a_router_that_places_one_prompt_at_a_time_loses_the_audits_or_the_streams() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &swing);
    let least = mean(Policy::LeastLoaded, &swing);
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
    let turns = mean(Policy::Turns, &load);
    let without = mean(Policy::NoTurns, &load);
    assert!(
        turns.audits > without.audits + 0.05,
        "{turns:?} {without:?}"
    );
    assert!(turns.short >= without.short, "{turns:?} {without:?}");
}
