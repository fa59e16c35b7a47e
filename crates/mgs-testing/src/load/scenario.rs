//! What is offered to which deployment.

use std::str::FromStr;

use displaydoc::Display;

/// A deployment and what its callers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Many short questions beside few long prompts.
    Sahel,
    /// Prompts of all lengths.
    Brasov,
    /// One organisation floods; then the load goes to two and five times what the fleet can take,
    /// and back.
    Overload,
    /// One organisation and a few prefixes make most of the traffic.
    Skew,
    /// Engines crash and come back.
    EngineLoss,
}

/// unknown scenario: {0}
#[derive(Debug, Display)]
pub struct UnknownScenario(String);

impl std::error::Error for UnknownScenario {}

/// Names of all scenarios.
pub const NAMES: [&str; 5] = ["sahel", "brasov", "overload", "skew", "engine-loss"];

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "sahel" => Ok(Self::Sahel),
            "brasov" => Ok(Self::Brasov),
            "overload" => Ok(Self::Overload),
            "skew" => Ok(Self::Skew),
            "engine-loss" => Ok(Self::EngineLoss),
            _ => Err(UnknownScenario(name.to_owned())),
        }
    }
}

/// A stretch of a run with one offered load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Name in the report.
    pub name: &'static str,
    /// Offered load as a share of what the fleet can take.
    pub load_share: f64,
    /// Factor by which the first organisation offers more than its part.
    pub flood_factor: f64,
    /// Length as a share of the run.
    pub share: f64,
}

const fn phase(name: &'static str, load_share: f64, flood_factor: f64, share: f64) -> Phase {
    Phase {
        name,
        load_share,
        flood_factor,
        share,
    }
}

/// Share of the lengths in one band.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Length {
    /// Part of the requests.
    pub share: f64,
    /// Shortest prompt, in tokens.
    pub least_tokens: f64,
    /// Longest prompt, in tokens.
    pub most_tokens: f64,
}

const fn length(share: f64, least_tokens: f64, most_tokens: f64) -> Length {
    Length {
        share,
        least_tokens,
        most_tokens,
    }
}

impl Scenario {
    /// The stretches of its run.
    pub fn phases(self) -> Vec<Phase> {
        match self {
            Self::Overload => vec![
                phase("normal", 0.8, 1.0, 0.2),
                phase("flood", 0.5, 10.0, 0.2),
                phase("double", 2.0, 1.0, 0.2),
                phase("fivefold", 5.0, 1.0, 0.2),
                phase("after", 0.8, 1.0, 0.2),
            ],
            _ => vec![phase("normal", 0.8, 1.0, 1.0)],
        }
    }

    /// Lengths of its prompts; one in fifty is over a hundred thousand tokens.
    pub fn lengths(self) -> [Length; 3] {
        let long = length(0.02, 100_001.0, 1_000_000.0);
        match self {
            Self::Sahel => [
                length(0.93, 1_000.0, 16_384.0),
                length(0.05, 16_385.0, 100_000.0),
                long,
            ],
            _ => [
                length(0.88, 1_000.0, 16_384.0),
                length(0.10, 16_385.0, 100_000.0),
                long,
            ],
        }
    }

    /// Part of the traffic of each of `count` organisations; a few are large.
    pub fn parts(self, count: usize) -> Vec<f64> {
        let part = |i: usize| match self {
            Self::Skew if i == 0 => 12.0,
            _ if i < 3 => 3.0,
            _ => 1.0,
        };
        let parts: Vec<f64> = (0..count).map(part).collect();
        let all: f64 = parts.iter().sum();
        parts.into_iter().map(|part| part / all).collect()
    }

    /// Prefixes shared by the requests of one organisation.
    pub fn prefixes(self) -> u64 {
        match self {
            Self::Skew => 2,
            _ => 6,
        }
    }
}

/// Settings of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// What is offered.
    pub scenario: Scenario,
    /// Names of the policies, in order.
    pub policies: Vec<String>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the run, in the model's seconds.
    pub run_s: f64,
    /// How much faster than the model everything runs.
    pub time_scale: f64,
    /// Engines, each with a sidecar.
    pub engines: usize,
    /// Gateways.
    pub gateways: usize,
    /// Organisations.
    pub organisations: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            scenario: Scenario::Sahel,
            policies: vec!["marigold".into()],
            seed: 1,
            run_s: 60.0,
            time_scale: 2.0,
            engines: 20,
            gateways: 3,
            organisations: 10,
        }
    }
}
