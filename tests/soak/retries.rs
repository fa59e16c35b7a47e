//! Checks that all gateways together stay within the retry budget of their settings.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::check::Observations;
use crate::clients::Record;

/// Retries per request, as in the gateways' settings.
pub(crate) const RETRY_RATIO: f64 = 0.2;

/// Additional retries in a window, as in the gateways' settings.
pub(crate) const EXTRA_RETRIES: u32 = 100;

/// Window of the budget, as in the gateways' settings.
pub(crate) const BUDGET_WINDOW: Duration = Duration::from_secs(10);

impl Observations<'_> {
    /// Checks the arrivals beyond the first of each request, by service.
    pub(crate) fn check_retries(&self, found: &mut Vec<String>) {
        for is_stream in [false, true] {
            let mut of_request: HashMap<&str, Vec<Instant>> = HashMap::new();
            let records = self.records.iter();
            let records = records.filter(|record| record.kind.is_stream() == is_stream);
            let mut sent: Vec<Instant> = Vec::new();
            for Record { id, sent_at, .. } in records {
                of_request.insert(id, Vec::new());
                sent.push(*sent_at);
            }
            for arrival in self.arrivals {
                if let Some(times) = of_request.get_mut(arrival.request.request_id.as_str()) {
                    times.push(arrival.request.at);
                }
            }
            let mut retries: Vec<Instant> = Vec::new();
            for mut times in of_request.into_values() {
                times.sort();
                retries.extend(times.into_iter().skip(1));
            }
            sent.sort();
            retries.sort();
            found.extend(exceeded_window(&sent, &retries));
        }
    }
}

/// Describes a window with more retries than allowed, if there is one. The requests of the window, of the one before or
/// of the one half a window earlier count, whichever are most.
fn exceeded_window(sent: &[Instant], retries: &[Instant]) -> Option<String> {
    retries.iter().find_map(|start| {
        let count = count_between(retries, *start, *start + BUDGET_WINDOW);
        let earlier = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
        let requests = earlier.map(|earlier| {
            let from = start.checked_sub(earlier).unwrap_or(*start);
            count_between(sent, from, from + BUDGET_WINDOW)
        });
        let requests = requests.into_iter().max().unwrap_or(0);
        let allowed = RETRY_RATIO * requests as f64 + f64::from(EXTRA_RETRIES);
        (count as f64 > allowed)
            .then(|| format!("{count} retries for {requests} requests; {allowed} are allowed"))
    })
}

fn count_between(sorted: &[Instant], from: Instant, to: Instant) -> usize {
    let first = sorted.partition_point(|at| *at < from);
    let last = sorted.partition_point(|at| *at <= to);
    last - first
}
