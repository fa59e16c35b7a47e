//! The keys under which crashes of endpoints count for one request.

use std::rc::Rc;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::fingerprint::PromptPart;
use mgs_quarantine::shared::PlacedPart;

/// The keys under which crashes of one request count.
#[derive(Debug, Clone)]
pub(crate) struct CrashKeys {
    /// The request, repetitions included.
    pub(crate) request: Fingerprint,
    /// The parts of its prompt that other requests may share, in their order.
    pub(crate) parts: Rc<[PlacedPart]>,
}

impl CrashKeys {
    /// The keys of a request for a service whose prompt has these shared parts.
    pub(crate) fn new(request: Fingerprint, service: &str, shared_parts: &[String]) -> Self {
        let placed = |(depth, id): (usize, &String)| {
            let name = PromptPart {
                service: service.to_string(),
                id: id.clone(),
            };
            PlacedPart {
                fingerprint: name.fingerprint(),
                name,
                depth: u16::try_from(depth).unwrap_or(u16::MAX),
            }
        };
        Self {
            request,
            parts: shared_parts.iter().enumerate().map(placed).collect(),
        }
    }

    /// Identifiers of the parts, separated by commas.
    pub(crate) fn part_names(&self) -> String {
        let names: Vec<&str> = self.parts.iter().map(|p| p.name.id.as_str()).collect();
        names.join(",")
    }

    /// All keys: the request and its parts.
    pub(crate) fn all(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        std::iter::once(self.request).chain(parts)
    }
}
