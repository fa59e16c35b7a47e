//! Tells the surge of an organisation from prompts that come together by chance.

use std::collections::HashMap;

use super::rates::MS_PER_S;
use super::rates::RATE_MS;
use super::FleetDemand;
use super::OrganisationHash;

/// Ratio to its usual cost, compared with all others, from which on an organisation surges. Chance
/// alone takes an organisation of relevant size to twice its usual cost at times.
pub(super) const SURGE_RATIO: f64 = 3.0;

/// Evidence from which on a surge isn't chance, as the logarithm of a likelihood ratio. Each of the
/// largest prompts adds 1.1 (the logarithm of [`SURGE_RATIO`]) at most, so it takes eight of them
/// within moments. Chance reaches this less than once in 3,000 arrivals of such prompts.
const SURGE_EVIDENCE: f64 = 8.0;

/// Evidence from which on usual costs follow slowly. Three of the largest prompts that come together
/// by chance are part of what is usual: an organisation that sends one in ten seconds would be
/// underestimated without them.
const DOUBT_EVIDENCE: f64 = 3.5;

/// Most evidence that is kept, so that what was a surge is forgotten within seconds after it.
const EVIDENCE_MAX: f64 = 12.0;

/// Evidence for the surge of one organisation.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Logarithm of the likelihood ratio.
    level: f64,
    /// Cost asked for at the last update, in milliseconds of engine time per second.
    asked: f64,
}

/// Evidence of surges by organisation: a cumulative sum test of the usual cost, in proportion to that
/// of the others, against [`SURGE_RATIO`] times that. It counts cost in units of the largest prompts.
/// If all prompts are smaller, it takes longer than needed, but chance isn't likelier to mislead it.
#[derive(Debug)]
pub(super) struct SurgeEvidence {
    by_organisation: HashMap<OrganisationHash, Evidence>,
    updated_ms: f64,
}

impl SurgeEvidence {
    pub(super) fn started_at(now_ms: f64) -> Self {
        Self {
            by_organisation: HashMap::new(),
            updated_ms: now_ms,
        }
    }

    /// Brings the evidence to the present and writes it into `fleet`. `largest_cost_ms` is the cost of
    /// the largest prompts in milliseconds of engine time.
    pub(super) fn update(
        &mut self,
        now_ms: f64,
        fleet: &mut HashMap<OrganisationHash, FleetDemand>,
        all: &FleetDemand,
        largest_cost_ms: f64,
    ) {
        let elapsed_ms = (now_ms - self.updated_ms).max(0.0);
        self.updated_ms = now_ms;
        self.by_organisation
            .retain(|organisation, _| fleet.contains_key(organisation));
        let kept = (-elapsed_ms / RATE_MS).exp();
        // What arrives between two updates decays until the second, and so does what is expected.
        let counted_s = (1.0 - kept) * RATE_MS / MS_PER_S;
        for (organisation, sum) in fleet {
            let others_weight = (all.weight - sum.weight).max(f64::MIN_POSITIVE);
            let others_ratio = ((all.asked - sum.asked) / others_weight).max(1.0);
            let expected_ms = sum.weight * others_ratio * counted_s;
            let evidence = self.by_organisation.entry(*organisation).or_default();
            // What has arrived, without the delay of the rate.
            let arrived_ms = (sum.asked - evidence.asked * kept) * RATE_MS / MS_PER_S;
            let gain_ms = SURGE_RATIO.ln() * arrived_ms - (SURGE_RATIO - 1.0) * expected_ms;
            let level = evidence.level + gain_ms / largest_cost_ms.max(1.0);
            *evidence = Evidence {
                level: level.clamp(0.0, EVIDENCE_MAX),
                asked: sum.asked,
            };
            sum.evidence = evidence.level;
        }
    }
}

impl FleetDemand {
    /// Whether the organisation asks for much more than usual compared with all together, and for
    /// longer than chance explains.
    pub(super) fn is_surge(&self, all: &FleetDemand) -> bool {
        let (others_asked, others_weight) = (all.demand - self.demand, all.weight - self.weight);
        let others_ratio = others_asked / others_weight.max(f64::MIN_POSITIVE);
        self.evidence >= SURGE_EVIDENCE
            && self.demand > SURGE_RATIO * self.weight * others_ratio.max(1.0)
    }

    /// Whether what is asked for may be more than chance.
    pub(super) fn is_doubtful(&self) -> bool {
        self.evidence >= DOUBT_EVIDENCE
    }
}
