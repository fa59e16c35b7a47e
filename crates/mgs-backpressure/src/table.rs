//! What one gateway knows of what endpoints ask, and whether one of them may be sent something now.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::advice::Advice;
use crate::advice::Field;
use crate::limit::Limit;
use crate::limit::Scene;
use crate::options::Options;
use crate::share::Gateways;
use crate::share::SharedClock;
use crate::told::Told;
use crate::told::Word;

/// Most endpoints that one message to peers tells of, the others' turn comes with the next: what gateways have placed must fit in
/// as well.
const TOLD_MAX: usize = 12;

/// One life of an endpoint: the hash of its incarnation, the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life(pub u64);

/// What is new in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum News {
    /// It names a limit, or another one than before, in requests a second.
    Limited(f64),
    /// It names none any more.
    Unlimited,
    /// It leaves.
    Leaves,
    /// It wants rest from this gateway, for so many milliseconds.
    WantsRest(f64),
    /// It names a limit that can't be used, for the first time.
    UnusableLimit,
    /// It says of leaving what can't be used, for the first time.
    UnusableLeaving,
    /// It asks for a rest that can't be used, for the first time.
    UnusableRest,
}

impl News {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limited(_) => "limited",
            Self::Unlimited => "unlimited",
            Self::Leaves => "leaves",
            Self::WantsRest(_) => "wants_rest",
            Self::UnusableLimit => "unusable_limit",
            Self::UnusableLeaving => "unusable_leaving",
            Self::UnusableRest => "unusable_rest",
        }
    }
}

/// Why an endpoint may not be sent anything now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It leaves.
    Leaving,
    /// It has turned this gateway away and wants rest from it.
    Rest,
    /// What it takes from all gateways together is used up, or another gateway's to use.
    Limit,
}

impl Reason {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Rest => "rest",
            Self::Limit => "limit",
        }
    }

    /// Whether nothing at all is to be asked of the endpoint, not even to read a part of a prompt for another. A limit is
    /// one of requests of its own.
    pub fn bars_help(self) -> bool {
        self != Self::Limit
    }
}

/// An endpoint may not be sent anything now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shut {
    /// Why.
    pub reason: Reason,
    /// Time until it may be sent something, here or at another gateway, in milliseconds; infinite if it never may.
    pub opens_in_ms: f64,
}

/// What is known of one life.
#[derive(Debug, Clone, Default)]
struct Known {
    limit: Limit,
    /// Whether it has said that it leaves, to this gateway or to a peer; nothing takes that back.
    leaves: bool,
    /// Whether it said so to this gateway, which tells peers.
    is_leaving_own: bool,
    /// Until when it wants rest from this gateway, in milliseconds.
    rest_until_ms: f64,
    /// When peers were last told, in milliseconds; `None` if there is something new for them.
    told_ms: Option<f64>,
    /// Fields that couldn't be used.
    unusable: Vec<News>,
    /// When it was last said that it asks for something, in milliseconds.
    said_ms: f64,
}

/// What one gateway knows of what endpoints ask.
///
/// ```
/// use mgs_backpressure::advice::Advice;
/// use mgs_backpressure::advice::Field;
/// use mgs_backpressure::options::Options;
/// use mgs_backpressure::share::Gateways;
/// use mgs_backpressure::table::Life;
/// use mgs_backpressure::table::Table;
///
/// let mut table = Table::new(Options::default());
/// table.set_gateways(Gateways { count: Some(1), ..Gateways::default() });
/// let limit = Advice { limit_per_s: Field::Says(1.0), ..Advice::default() };
/// table.hear(Life(7), limit, 0.0, 20.0);
/// assert!(table.permit(Life(7), 30.0).is_ok());
/// assert!(table.permit(Life(7), 40.0).is_err());
/// assert!(table.permit(Life(7), 1_100.0).is_ok());
/// // An answer without it to a request that was sent later.
/// let none = Advice { limit_per_s: Field::Absent, ..Advice::default() };
/// table.hear(Life(7), none, 1_100.0, 1_120.0);
/// assert!(table.permit(Life(7), 1_130.0).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    options: Options,
    lives: HashMap<Life, Known>,
    gateways: Gateways,
    /// Changes with the gateways.
    version: u64,
    clock: SharedClock,
}

impl Table {
    /// Nothing known yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Takes what an answer to a request that was sent at `sent_ms` says; tells what is new in it. An answer without a limit
    /// takes one back only if its request was sent after the limit was heard: answers may overtake each other.
    pub fn hear(&mut self, life: Life, advice: Advice, sent_ms: f64, now_ms: f64) -> Vec<News> {
        if !self.lives.contains_key(&life) && !advice.says_anything() {
            return Vec::new();
        }
        let known = self.lives.entry(life).or_default();
        if advice.says_anything() {
            known.said_ms = now_ms;
        }
        let limit = known.hear_limit(advice.limit_per_s, sent_ms, now_ms);
        let leaving = known.hear_leaving(advice.leaving);
        let rest_max_ms = self.options.rest_max_ms;
        let rest = known.hear_rest(advice.rest_ms, rest_max_ms, now_ms);
        limit.into_iter().chain(leaving).chain(rest).collect()
    }

    /// Takes what a peer tells.
    pub fn hear_peer(&mut self, peer: u64, life: Life, told: Told, now_ms: f64) {
        let known = self.lives.entry(life).or_default();
        known.said_ms = now_ms;
        known.limit.hear_sent(peer, told.sent);
        known.leaves |= told.leaves;
        if let Some(word) = told.word {
            known.limit.hear(word, false);
        }
    }

    /// What peers are to be told: of all endpoints of which this gateway knows something by itself those that were told longest
    /// ago, or only those of which something is new. What it was told isn't told further: it would seem newer each time.
    pub fn take_told(&mut self, is_all: bool, now_ms: f64) -> Vec<(Life, Told)> {
        let is_due = |known: &Known| is_all || known.told_ms.is_none();
        let lives = self.lives.iter_mut();
        let mut due: Vec<(Life, &mut Known)> = lives
            .filter(|(_, known)| is_due(known) && known.told().is_worth(now_ms))
            .map(|(life, known)| (*life, known))
            .collect();
        let told_ms = |known: &Known| known.told_ms.unwrap_or(f64::NEG_INFINITY);
        due.sort_by(|(a, x), (b, y)| told_ms(x).total_cmp(&told_ms(y)).then(a.cmp(b)));
        due.truncate(TOLD_MAX);
        let mut told = Vec::new();
        for (life, known) in due {
            known.told_ms = Some(now_ms);
            told.push((life, known.told()));
        }
        told
    }

    /// Replaces the gateways that share limits.
    pub fn set_gateways(&mut self, gateways: Gateways) {
        if gateways == self.gateways {
            return;
        }
        let there: HashSet<u64> = gateways.others.iter().copied().collect();
        for known in self.lives.values_mut() {
            known.limit.forget(|gateway| there.contains(&gateway));
        }
        self.gateways = gateways;
        self.version += 1;
    }

    /// What the clock that gateways share shows, in milliseconds.
    pub fn clock_ms(&self, now_ms: f64) -> f64 {
        self.clock.show_ms(now_ms)
    }

    /// A peer's clock shows so much.
    pub fn hear_clock(&mut self, shown_ms: f64, now_ms: f64) {
        if self.clock.hear(shown_ms, now_ms) {
            self.version += 1;
        }
    }

    /// Those that may not be sent anything now.
    pub fn shut(&mut self, now_ms: f64) -> Vec<(Life, Shut)> {
        let lives: Vec<Life> = self.lives.keys().copied().collect();
        let shut = |life: Life| Some((life, self.look(life, now_ms).err()?));
        lives.into_iter().filter_map(shut).collect()
    }

    /// Permits a request right before it is sent, and counts it. Tells whether peers are to be told.
    pub fn permit(&mut self, life: Life, now_ms: f64) -> Result<bool, Shut> {
        self.look(life, now_ms)?;
        let Some(known) = self.lives.get_mut(&life) else {
            return Ok(false);
        };
        if !known.limit.take() {
            return Ok(false);
        }
        known.told_ms = None;
        Ok(true)
    }

    fn look(&mut self, life: Life, now_ms: f64) -> Result<(), Shut> {
        let Some(known) = self.lives.get_mut(&life) else {
            return Ok(());
        };
        let scene = Scene {
            gateways: &self.gateways,
            version: self.version,
            clock_ms: self.clock.show_ms(now_ms),
            now_ms,
            options: &self.options,
        };
        if known.leaves {
            return Err(Shut {
                reason: Reason::Leaving,
                opens_in_ms: f64::INFINITY,
            });
        }
        if now_ms < known.rest_until_ms {
            return Err(Shut {
                reason: Reason::Rest,
                opens_in_ms: known.rest_until_ms - now_ms,
            });
        }
        let opens_in_ms = known.limit.opens_in_ms(life, &scene);
        if opens_in_ms > 0.0 {
            return Err(Shut {
                reason: Reason::Limit,
                opens_in_ms,
            });
        }
        Ok(())
    }

    /// The limit that an endpoint has named and not taken back, in requests a second.
    pub fn limit_per_s(&self, life: Life) -> Option<f64> {
        self.lives.get(&life)?.limit.per_s()
    }

    /// Whether nothing is known of any endpoint.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Forgets, some time after the last word of it, what isn't listed and what asks for nothing any more.
    pub fn expire(&mut self, now_ms: f64, is_listed: impl Fn(Life) -> bool) {
        let kept_ms = self.options.kept_ms;
        self.lives.retain(|life, known| {
            let is_in_force = known.asks_for_something(now_ms) && is_listed(*life);
            is_in_force || now_ms - known.said_ms < kept_ms
        });
    }
}

impl Known {
    /// What peers are to be told.
    fn told(&self) -> Told {
        Told {
            leaves: self.is_leaving_own,
            ..self.limit.told()
        }
    }

    fn asks_for_something(&self, now_ms: f64) -> bool {
        self.leaves || now_ms < self.rest_until_ms || self.limit.per_s().is_some()
    }

    fn hear_limit(&mut self, said: Field<f64>, sent_ms: f64, now_ms: f64) -> Option<News> {
        let (per_s, at_ms) = match said {
            Field::Says(per_s) => (Some(per_s), now_ms),
            Field::Absent => (None, sent_ms),
            Field::Unsaid => return None,
            Field::Unusable => return self.note_unusable(News::UnusableLimit),
        };
        if !self.limit.hear(Word { per_s, at_ms }, true) {
            return None;
        }
        self.told_ms = None;
        Some(per_s.map_or(News::Unlimited, News::Limited))
    }

    fn hear_leaving(&mut self, said: Field<()>) -> Option<News> {
        match said {
            Field::Says(()) if !self.is_leaving_own => {
                self.leaves = true;
                self.is_leaving_own = true;
                self.told_ms = None;
                Some(News::Leaves)
            }
            Field::Unusable => self.note_unusable(News::UnusableLeaving),
            _ => None,
        }
    }

    /// The rest that ends last counts: an answer that was made before may come later.
    fn hear_rest(&mut self, said: Field<f64>, rest_max_ms: f64, now_ms: f64) -> Option<News> {
        match said {
            Field::Says(rest_ms) if rest_ms > 0.0 => {
                let rest_ms = rest_ms.min(rest_max_ms);
                self.rest_until_ms = self.rest_until_ms.max(now_ms + rest_ms);
                Some(News::WantsRest(rest_ms))
            }
            Field::Unusable => self.note_unusable(News::UnusableRest),
            _ => None,
        }
    }

    /// Tells it the first time.
    fn note_unusable(&mut self, news: News) -> Option<News> {
        if self.unusable.contains(&news) {
            return None;
        }
        self.unusable.push(news);
        Some(news)
    }
}
