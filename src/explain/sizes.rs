//! Whether long requests of a route are served as often as the others.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::summary::Cause;
use super::Line;
use super::Story;

/// A route's requests in order of their size, cut where the largest three tenths and the largest tenth begin.
const PARTS: [Part; 3] = [
    Part {
        name: "below the largest three tenths",
        from: 0.0,
        to: 0.7,
    },
    Part {
        name: "the fifth below the largest tenth",
        from: 0.7,
        to: 0.9,
    },
    Part {
        name: "the largest tenth",
        from: 0.9,
        to: 1.0,
    },
];

#[derive(Debug)]
struct Part {
    name: &'static str,
    from: f64,
    to: f64,
}

impl Part {
    /// Its share of some requests that are in order of their size.
    fn of<'a>(&self, sorted: &'a [Ended]) -> &'a [Ended] {
        let at = |share: f64| (sorted.len() as f64 * share) as usize;
        &sorted[at(self.from)..at(self.to)]
    }
}

/// One request that ended.
#[derive(Debug, Clone, PartialEq)]
struct Ended {
    size_tokens: u64,
    is_answered: bool,
    cause: Cause,
}

/// The requests of each route by size.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sizes {
    routes: BTreeMap<String, Vec<Ended>>,
}

impl Sizes {
    /// Puts the prompts in order that some lines tell of.
    ///
    /// ```
    /// use marigoldstage::explain::sizes::Sizes;
    /// use marigoldstage::explain::Line;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","route":"audit","size_tokens":5000,"prompt_tokens":4000,"outcome":"refused","detail":"full"}}"#;
    /// let sizes = Sizes::of(vec![Line::of_any(text, "gateway.log").unwrap()]);
    /// assert!(sizes.to_string().contains("audit: 1 prompts"));
    /// ```
    pub fn of(lines: Vec<Line>) -> Self {
        let mut sizes = Self::default();
        for story in Story::all_of(lines) {
            sizes.count(&story);
        }
        for ended in sizes.routes.values_mut() {
            ended.sort_by(|a, b| (a.size_tokens, &a.cause).cmp(&(b.size_tokens, &b.cause)));
        }
        sizes
    }

    fn count(&mut self, story: &Story) {
        let size = |line: &Line| line.number("size_tokens") as u64;
        let largest = story.lines.iter().map(size).max().unwrap_or(0);
        let is_prompt = story.lines.iter().any(|l| l.number("prompt_tokens") > 0.0);
        let Some(cause) = Cause::of(story).filter(|_| is_prompt) else {
            return;
        };
        let outcome = story.last("stream ended").map(|line| line.field("outcome"));
        let ended = Ended {
            size_tokens: largest,
            is_answered: outcome.is_some_and(|outcome| outcome == "answered"),
            cause,
        };
        self.routes.entry(story.route()).or_default().push(ended);
    }
}

/// Share of some requests that were answered.
fn answered_share(ended: &[Ended]) -> f64 {
    let answered = ended.iter().filter(|ended| ended.is_answered).count();
    answered as f64 / ended.len().max(1) as f64
}

impl Display for Sizes {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (route, ended) in &self.routes {
            let all = answered_share(ended);
            writeln!(f, "{route}: {} prompts, {all:.2} answered", ended.len())?;
            for part in &PARTS {
                write_part(f, part, part.of(ended), all)?;
            }
        }
        Ok(())
    }
}

fn write_part(f: &mut Formatter<'_>, part: &Part, ended: &[Ended], all: f64) -> std::fmt::Result {
    let (Some(least), Some(most)) = (ended.first(), ended.last()) else {
        return Ok(());
    };
    let share = answered_share(ended);
    writeln!(
        f,
        "{:>8} {}: {} to {} read tokens, {share:.2} answered, {:.2} of all",
        ended.len(),
        part.name,
        least.size_tokens,
        most.size_tokens,
        share / all.max(f64::MIN_POSITIVE),
    )?;
    let mut causes: BTreeMap<&Cause, u64> = BTreeMap::new();
    for ended in ended.iter().filter(|ended| !ended.is_answered) {
        *causes.entry(&ended.cause).or_default() += 1;
    }
    for (cause, count) in causes {
        writeln!(f, "{count:>16} {cause}")?;
    }
    Ok(())
}
