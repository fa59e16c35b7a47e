//! Typed handles for the metrics of one process.
//!
//! Names follow the OpenMetrics conventions: the registry adds the prefix `mgs_`, counters get the
//! suffix `_total`, and names of duration histograms end in `_ms`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;
use prometheus_client::registry::Metric;

const PREFIX: &str = "mgs";

/// Upper bounds of the buckets of a [`HistogramMs`], in milliseconds.
pub const BUCKETS_MS: [f64; 20] = [
    0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0, 25_000.0, 50_000.0, 100_000.0, 250_000.0,
];

type OneLabel = [(String, String); 1];

type TwoLabels = [(String, String); 2];

/// The metrics of one process, or of one role where several share a process. Clones share their
/// state.
///
/// ```
/// use mgs_observe::metrics::Registry;
///
/// let registry = Registry::new();
/// let refusals = registry.counters("refused", "Requests refused, by reason", "reason");
/// refusals.inc("queue_full");
/// assert!(registry.encode().contains(r#"mgs_refused_total{reason="queue_full"} 1"#));
/// ```
#[derive(Debug, Clone)]
pub struct Registry {
    inner: Arc<Mutex<registry::Registry>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        let inner = registry::Registry::with_prefix(PREFIX);
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, registry::Registry> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, name: &str, help: &str, metric: impl Metric) {
        self.lock().register(name, help, metric);
    }

    /// Registers a counter; `name` is given without `_total`.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.register(name, help, counter.0.clone());
        counter
    }

    /// Registers a family of counters that differ in the value of one label.
    pub fn counters(&self, name: &str, help: &str, label: &str) -> Counters {
        let counters = Counters {
            label: label.to_string(),
            family: Family::default(),
        };
        self.register(name, help, counters.family.clone());
        counters
    }

    /// Registers a family of counters that differ in the values of two labels.
    ///
    /// ```
    /// use mgs_observe::metrics::Registry;
    ///
    /// let registry = Registry::new();
    /// let ends = registry.two_label_counters(
    ///     "ends",
    ///     "Requests, by size and outcome",
    ///     ["size", "outcome"],
    /// );
    /// ends.inc(["under_2k", "answered"]);
    /// assert!(registry
    ///     .encode()
    ///     .contains(r#"mgs_ends_total{size="under_2k",outcome="answered"} 1"#));
    /// ```
    pub fn two_label_counters(
        &self,
        name: &str,
        help: &str,
        labels: [&str; 2],
    ) -> TwoLabelCounters {
        let counters = TwoLabelCounters {
            labels: labels.map(str::to_string),
            family: Family::default(),
        };
        self.register(name, help, counters.family.clone());
        counters
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.register(name, help, gauge.0.clone());
        gauge
    }

    /// Registers a family of gauges that differ in the value of one label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> Gauges {
        let gauges = Gauges {
            label: label.to_string(),
            family: Family::default(),
        };
        self.register(name, help, gauges.family.clone());
        gauges
    }

    /// Registers a histogram of durations; `name` ends in `_ms`.
    pub fn histogram_ms(&self, name: &str, help: &str) -> HistogramMs {
        let histogram = HistogramMs(new_histogram());
        self.register(name, help, histogram.0.clone());
        histogram
    }

    /// Registers a family of histograms of durations that differ in the value of one label.
    pub fn histograms_ms(&self, name: &str, help: &str, label: &str) -> HistogramsMs {
        let histograms = HistogramsMs {
            label: label.to_string(),
            family: Family::new_with_constructor(new_histogram),
        };
        self.register(name, help, histograms.family.clone());
        histograms
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        text::encode(&mut out, &self.lock()).expect("BUG: writing to a string can't fail");
        out
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}

fn new_histogram() -> histogram::Histogram {
    histogram::Histogram::new(BUCKETS_MS)
}

/// A monotonic counter. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Counter(counter::Counter);

impl Counter {
    /// Adds one.
    pub fn inc(&self) {
        self.0.inc();
    }

    /// Adds `count`.
    pub fn inc_by(&self, count: u64) {
        self.0.inc_by(count);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counters that differ in the value of one label. Clones share their state.
#[derive(Debug, Clone)]
pub struct Counters {
    label: String,
    family: Family<OneLabel, counter::Counter>,
}

impl Counters {
    /// Adds one to the counter of this label value.
    pub fn inc(&self, value: &str) {
        self.inc_by(value, 1);
    }

    /// Adds `count` to the counter of this label value.
    pub fn inc_by(&self, value: &str, count: u64) {
        let labels = labels(&self.label, value);
        self.family.get_or_create(&labels).inc_by(count);
    }

    /// The counter of this label value, for callers that count often.
    pub fn with_label_value(&self, value: &str) -> Counter {
        let labels = labels(&self.label, value);
        Counter(self.family.get_or_create_owned(&labels))
    }

    /// The count so far of this label value.
    pub fn get(&self, value: &str) -> u64 {
        let labels = labels(&self.label, value);
        let counter = self.family.get(&labels);
        counter.map_or(0, |counter| counter.get())
    }
}

/// Counters that differ in the values of two labels. Clones share their state.
#[derive(Debug, Clone)]
pub struct TwoLabelCounters {
    labels: [String; 2],
    family: Family<TwoLabels, counter::Counter>,
}

impl TwoLabelCounters {
    /// Adds one to the counter of these label values.
    pub fn inc(&self, values: [&str; 2]) {
        let [first, second] = &self.labels;
        let labels = [
            (first.clone(), values[0].to_string()),
            (second.clone(), values[1].to_string()),
        ];
        self.family.get_or_create(&labels).inc();
    }
}

/// A value that goes up and down. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Gauge(gauge::Gauge);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: i64) {
        self.0.set(value);
    }

    /// Adds one.
    pub fn inc(&self) {
        self.0.inc();
    }

    /// Subtracts one.
    pub fn dec(&self) {
        self.0.dec();
    }

    /// The value.
    pub fn get(&self) -> i64 {
        self.0.get()
    }
}

/// Gauges that differ in the value of one label. Clones share their state.
#[derive(Debug, Clone)]
pub struct Gauges {
    label: String,
    family: Family<OneLabel, gauge::Gauge>,
}

impl Gauges {
    /// Sets the gauge of this label value.
    pub fn set(&self, value: &str, to: i64) {
        self.with_label_value(value).set(to);
    }

    /// The gauge of this label value, for callers that set it often.
    pub fn with_label_value(&self, value: &str) -> Gauge {
        let labels = labels(&self.label, value);
        Gauge(self.family.get_or_create_owned(&labels))
    }

    /// Removes the gauge of this label value.
    pub fn remove(&self, value: &str) {
        self.family.remove(&labels(&self.label, value));
    }
}

/// A histogram of durations in milliseconds. Clones share their state.
#[derive(Debug, Clone)]
pub struct HistogramMs(histogram::Histogram);

impl HistogramMs {
    /// Records a duration.
    pub fn observe(&self, duration_ms: f64) {
        self.0.observe(duration_ms);
    }
}

/// Histograms of durations that differ in the value of one label. Clones share their state.
#[derive(Debug, Clone)]
pub struct HistogramsMs {
    label: String,
    family: Family<OneLabel, histogram::Histogram, fn() -> histogram::Histogram>,
}

impl HistogramsMs {
    /// Records a duration under this label value.
    pub fn observe(&self, value: &str, duration_ms: f64) {
        let labels = labels(&self.label, value);
        self.family.get_or_create(&labels).observe(duration_ms);
    }

    /// The histogram of this label value, for callers that use it often.
    pub fn with_label_value(&self, value: &str) -> HistogramMs {
        let labels = labels(&self.label, value);
        HistogramMs(self.family.get_or_create_owned(&labels))
    }
}

fn labels(label: &str, value: &str) -> OneLabel {
    [(label.to_string(), value.to_string())]
}
