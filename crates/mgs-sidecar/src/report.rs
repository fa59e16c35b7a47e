//! Load reports to the gateways that asked for them.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;

use mgs_schema::prefix::SHORT_PROMPT_TOKENS;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;
use mgs_transport::server::Reply;

use crate::state::locked;
use crate::state::Shared;

/// One gateway that wants reports.
struct Subscriber {
    reply: Reply,
    interval_ms: u64,
    due_ms: u64,
    /// Position in the changes of the engine's cache.
    cache_position: u64,
    /// Models as last told.
    models: Option<Vec<String>>,
    /// Failures told so far.
    failed: u64,
}

/// The gateways that want reports.
#[derive(Default)]
pub(crate) struct Reporter {
    subscribers: Mutex<Vec<Subscriber>>,
    number: AtomicU64,
    failed: AtomicU64,
    hasty: AtomicBool,
}

impl Reporter {
    pub(crate) fn subscribe(&self, reply: Reply, interval_ms: u64) {
        locked(&self.subscribers).push(Subscriber {
            reply,
            interval_ms: interval_ms.max(1),
            due_ms: 0,
            cache_position: 0,
            models: None,
            failed: self.failed.load(Ordering::Relaxed),
        });
    }

    /// Counts a request that failed.
    pub(crate) fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes all reports due: the load has changed so much that routing should know soon.
    pub(crate) fn hasten(&self) {
        self.hasty.store(true, Ordering::Release);
    }

    /// Sends the reports that are due.
    pub(crate) fn send_due(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let all = self.hasty.swap(false, Ordering::AcqRel);
        self.send(shared, |subscriber| all || subscriber.due_ms <= now_ms);
    }

    /// Sends a report to everyone at once.
    pub(crate) fn push(&self, shared: &Shared) {
        self.send(shared, |_| true);
    }

    fn send(&self, shared: &Shared, is_due: impl Fn(&Subscriber) -> bool) {
        let mut subscribers = locked(&self.subscribers);
        subscribers.retain(|subscriber| !subscriber.reply.is_closed());
        if !subscribers.iter().any(&is_due) {
            return;
        }
        let base = load_report(shared);
        subscribers.retain_mut(|subscriber| {
            if !is_due(subscriber) {
                return true;
            }
            subscriber.due_ms = shared.now_ms() + subscriber.interval_ms;
            let mut report = base.clone();
            report.report = self.number.fetch_add(1, Ordering::Relaxed) + 1;
            self.add_news(shared, subscriber, &mut report);
            subscriber.reply.send(Body::LoadReport(report)).is_ok()
        });
    }

    /// Adds what this gateway hasn't been told yet.
    fn add_news(&self, shared: &Shared, subscriber: &mut Subscriber, report: &mut LoadReport) {
        let failed = self.failed.load(Ordering::Relaxed);
        report.failed_requests = u32::try_from(failed - subscriber.failed).unwrap_or(u32::MAX);
        subscriber.failed = failed;
        let (delta, position) = locked(&shared.cache).delta(subscriber.cache_position);
        subscriber.cache_position = position;
        report.cache_reset = delta.reset;
        report.cached_hashes = delta.cached;
        report.evicted_hashes = delta.evicted;
        let info = shared.info.load();
        if subscriber.models.as_ref() != Some(&info.models) && info.boot != 0 {
            report.models_known = true;
            report.models = info.models.clone();
            subscriber.models = Some(info.models.clone());
        }
    }
}

/// What the sidecar says to everyone.
fn load_report(shared: &Shared) -> LoadReport {
    let (load, state) = shared.look(|ledger| {
        let state = if ledger.is_leaving() {
            EndpointState::Leaving
        } else if ledger.is_down() {
            EndpointState::Down
        } else {
            EndpointState::Live
        };
        (ledger.load(SHORT_PROMPT_TOKENS), state)
    });
    shared.metrics.waiting.set(load.waiting as i64);
    shared.metrics.running.set(load.running as i64);
    shared
        .metrics
        .kv_used_tokens
        .set(load.kv_used_tokens as i64);
    shared
        .metrics
        .kv_capacity_tokens
        .set(load.kv_capacity_tokens as i64);
    LoadReport {
        incarnation: shared.incarnation,
        state: state.into(),
        waiting_requests: load.waiting as u32,
        running_requests: load.running as u32,
        prefill_waiting_tokens: load.prefill_tokens,
        short_prefill_waiting_tokens: load.short_prefill_tokens,
        kv_used_tokens: load.kv_used_tokens,
        kv_capacity_tokens: load.kv_capacity_tokens,
        prefill_tokens_per_s: load.prefill_tokens_per_s,
        decode_step_ms: load.decode_step_ms,
        settings_version: shared.settings.version(),
        ..LoadReport::default()
    }
}
