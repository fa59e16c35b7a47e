//! A limit of one endpoint at one gateway: what is known of it, and what may be sent by it.

use std::collections::HashMap;

use crate::options::Options;
use crate::share::Gateways;
use crate::share::Turn;
use crate::table::Life;
use crate::told::Told;
use crate::told::Word;

/// A turn as it was found.
#[derive(Debug, Clone, Copy)]
struct Found {
    /// For which gateways.
    version: u64,
    until_ms: f64,
    turn: Turn,
}

/// A limit of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Limit {
    word: Option<Word>,
    /// Whether this gateway heard the word from the endpoint.
    is_own: bool,
    /// Requests that this gateway has sent by it.
    sent: u32,
    /// Requests that others say that they have sent by it, by their incarnations.
    sent_by: HashMap<u64, u32>,
    /// Requests that all gateways together may send at once; below 0 if they have sent too many.
    saved: f64,
    /// When that was last brought up to date, in milliseconds; `None` before the limit was ever named.
    filled_ms: Option<f64>,
    /// The turn as it was last found.
    found: Option<Found>,
}

impl Limit {
    /// Requests a second, if it is named.
    pub(crate) fn per_s(&self) -> Option<f64> {
        self.word?.per_s
    }

    /// Takes a word; tells whether it changes what is known.
    pub(crate) fn hear(&mut self, word: Word, is_own: bool) -> bool {
        if self.word.is_some_and(|known| !word.goes_before(&known)) {
            return false;
        }
        let is_changed = word.per_s != self.per_s();
        self.word = Some(word);
        self.is_own = is_own;
        if is_changed {
            self.found = None;
        }
        is_changed
    }

    /// Another gateway has sent so many requests by it.
    pub(crate) fn hear_sent(&mut self, gateway: u64, sent: u32) {
        let known = self.sent_by.entry(gateway).or_default();
        // A message that comes late tells less than is known.
        let more = sent.saturating_sub(*known);
        *known += more;
        self.saved -= f64::from(more);
    }

    /// Forgets what gateways sent that are gone.
    pub(crate) fn forget(&mut self, is_there: impl Fn(u64) -> bool) {
        self.sent_by.retain(|gateway, _| is_there(*gateway));
    }

    /// What peers are to be told.
    pub(crate) fn told(&self) -> Told {
        Told {
            word: self.word.filter(|_| self.is_own),
            sent: self.sent,
            leaves: false,
        }
    }

    /// Milliseconds until one request may be sent; 0 for now.
    pub(crate) fn opens_in_ms(&mut self, life: Life, scene: &Scene<'_>) -> f64 {
        let Some(limit_per_s) = self.per_s() else {
            return 0.0;
        };
        let turn = self.turn(life, limit_per_s, scene);
        self.fill(limit_per_s, &turn, scene);
        let is_open = turn.is_held && self.saved >= 1.0;
        if is_open {
            return 0.0;
        }
        // A client that comes back may meet any gateway.
        let per_s = limit_per_s.max(scene.options.least_per_s);
        (1.0 - self.saved).max(1.0) / per_s * 1e3
    }

    /// One request is sent; tells whether it counts.
    pub(crate) fn take(&mut self) -> bool {
        if self.per_s().is_none() {
            return false;
        }
        self.saved -= 1.0;
        self.sent += 1;
        true
    }

    fn turn(&mut self, life: Life, limit_per_s: f64, scene: &Scene<'_>) -> Turn {
        let now_ms = scene.now_ms;
        let is_valid = |found: &Found| found.version == scene.version && now_ms < found.until_ms;
        if let Some(found) = self.found.filter(is_valid) {
            return found.turn;
        }
        let options = scene.options;
        let turn = scene
            .gateways
            .turn(life, limit_per_s, scene.clock_ms, options);
        self.found = Some(Found {
            version: scene.version,
            until_ms: now_ms + turn.left_ms,
            turn,
        });
        turn
    }

    /// Saves what the limit has come to since the last time, for all gateways together.
    fn fill(&mut self, limit_per_s: f64, turn: &Turn, scene: &Scene<'_>) {
        let now_ms = scene.now_ms;
        let Some(filled_ms) = self.filled_ms.replace(now_ms) else {
            self.saved = 1.0;
            return;
        };
        let per_s = limit_per_s.max(scene.options.least_per_s) * turn.share;
        let most = (per_s * scene.options.burst_ms / 1e3).max(1.0);
        let since_ms = (now_ms - filled_ms).max(0.0);
        // Whoever starts late hears of all that was ever sent.
        let least = -(turn.holders as f64);
        self.saved = (self.saved.max(least) + per_s * since_ms / 1e3).min(most);
    }
}

/// What a limit is shared by at a moment.
#[derive(Debug)]
pub(crate) struct Scene<'a> {
    pub(crate) gateways: &'a Gateways,
    /// Changes with the gateways.
    pub(crate) version: u64,
    pub(crate) clock_ms: f64,
    pub(crate) now_ms: f64,
    pub(crate) options: &'a Options,
}
