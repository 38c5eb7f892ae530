//! Counters, gauges and latency histograms.
//!
//! Durations are recorded in `hdrhistogram` histograms and exported as summaries in the
//! Prometheus text format. The number of histograms per metric is limited; further label
//! values share one histogram, so memory does not grow with the values that callers send.
//!
//! ```
//! use std::time::Duration;
//! use notchwharf_telemetry::metrics::{Counter, Metrics, Timing};
//!
//! const REQUESTS: Counter = Counter { name: "requests_total", help: "Requests.", label: "outcome" };
//! const DURATION: Timing = Timing { name: "duration_seconds", help: "By route." };
//! let metrics = Metrics::new(&[REQUESTS], &[DURATION]);
//! metrics.add(0, "completed", 1);
//! metrics.histogram(0, &[("route", "r1")]).record(Duration::from_millis(3));
//! assert!(metrics.text().contains("requests_total{outcome=\"completed\"} 1"));
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus::Encoder as _;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::proto;

/// The number of histograms per metric from which on new label values share one: two classes
/// for each of 256 tenants.
const HISTOGRAMS_MAX: usize = 512;
/// The value of the last label of the histogram that further label values share.
const OVERFLOW_LABEL: &str = "others";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
const MICROS_PER_SECOND: f64 = 1e6;

/// A counter with one label.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    /// The name of the metric.
    pub name: &'static str,
    /// The help text.
    pub help: &'static str,
    /// The name of the label.
    pub label: &'static str,
}

/// A metric of durations.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The name of the metric.
    pub name: &'static str,
    /// The help text.
    pub help: &'static str,
}

type Labels = Vec<(&'static str, String)>;

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    counters: Vec<IntCounterVec>,
    gauges: IntGaugeVec,
    timings: Vec<(Timing, Mutex<HashMap<Labels, Histogram>>)>,
}

/// The histogram of one duration metric and set of labels.
#[derive(Clone, Debug)]
pub struct Histogram(Arc<Mutex<hdrhistogram::Histogram<u64>>>);

impl Histogram {
    fn new() -> Self {
        let histogram =
            hdrhistogram::Histogram::new(2).expect("Two significant digits are supported.");
        Self(Arc::new(Mutex::new(histogram)))
    }

    /// Records a duration.
    pub fn record(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        // A histogram that resizes automatically accepts any value that it can represent.
        let _ = lock(&self.0).record(micros);
    }
}

impl Metrics {
    /// Returns metrics with these counters and timings, which are addressed by their index.
    ///
    /// # Panics
    ///
    /// Panics if a name is not a valid Prometheus name, or if two counters have the same name.
    pub fn new(counters: &[Counter], timings: &[Timing]) -> Self {
        let registry = Registry::new();
        let counters = counters.iter().map(|counter| {
            let opts = Opts::new(counter.name, counter.help);
            let vec = IntCounterVec::new(opts, &[counter.label]).expect("The name is valid.");
            let registered = registry.register(Box::new(vec.clone()));
            registered.expect("Each name is registered once.");
            vec
        });
        let counters = counters.collect();
        let opts = Opts::new("notchwharf_state", "Present state by name.");
        let gauges = IntGaugeVec::new(opts, &["name"]).expect("The name is valid.");
        let registered = registry.register(Box::new(gauges.clone()));
        registered.expect("Each name is registered once.");
        let timings = timings.iter().map(|t| (*t, Mutex::default())).collect();
        Self {
            registry,
            counters,
            gauges,
            timings,
        }
    }

    /// Adds `by` to the counter with the index `counter`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such counter.
    pub fn add(&self, counter: usize, label: &str, by: u64) {
        let counter = &self.counters[counter];
        counter.with_label_values(&[label]).inc_by(by);
    }

    /// Returns the value of the counter with the index `counter`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such counter.
    pub fn counter_value(&self, counter: usize, label: &str) -> u64 {
        self.counters[counter].with_label_values(&[label]).get()
    }

    /// Sets the gauge `name`.
    pub fn set_gauge(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Returns the histogram with these labels of the timing with the index `timing`, which
    /// may be kept and recorded into repeatedly. Once the timing has the maximum number of
    /// histograms, the value of the last label of new ones is replaced by `others`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such timing.
    pub fn histogram(&self, timing: usize, labels: &[(&'static str, &str)]) -> Histogram {
        let mut histograms = lock(&self.timings[timing].1);
        let mut key: Labels = labels.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
        let is_full = histograms.len() >= HISTOGRAMS_MAX;
        if is_full
            && !histograms.contains_key(&key)
            && let Some((_, value)) = key.last_mut()
        {
            OVERFLOW_LABEL.clone_into(value);
        }
        let histogram = histograms.entry(key).or_insert_with(Histogram::new);
        histogram.clone()
    }

    /// Exports all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut families = self.registry.gather();
        families.extend(self.timings.iter().filter_map(summaries));
        let mut out = Vec::new();
        // Writing to a vector does not fail.
        let _ = TextEncoder::new().encode(&families, &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Locks a mutex, even if it is poisoned: no panic leaves the guarded data inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn summaries(
    (timing, histograms): &(Timing, Mutex<HashMap<Labels, Histogram>>),
) -> Option<proto::MetricFamily> {
    let histograms = lock(histograms);
    if histograms.is_empty() {
        return None;
    }
    let metrics = histograms.iter().map(|(l, h)| summary(l, &lock(&h.0)));
    let mut family = proto::MetricFamily::default();
    family.set_name(timing.name.to_owned());
    family.set_help(timing.help.to_owned());
    family.set_field_type(proto::MetricType::SUMMARY);
    family.set_metric(metrics.collect());
    Some(family)
}

fn summary(labels: &Labels, histogram: &hdrhistogram::Histogram<u64>) -> proto::Metric {
    let seconds = |micros: u64| micros as f64 / MICROS_PER_SECOND;
    let quantiles = QUANTILES.map(|q| {
        let mut quantile = proto::Quantile::default();
        quantile.set_quantile(q);
        quantile.set_value(seconds(histogram.value_at_quantile(q)));
        quantile
    });
    let mut summary = proto::Summary::default();
    summary.set_sample_count(histogram.len());
    summary.set_sample_sum(histogram.mean() * histogram.len() as f64 / MICROS_PER_SECOND);
    summary.set_quantile(quantiles.to_vec());
    let pairs = labels.iter().map(|(name, value)| {
        let mut pair = proto::LabelPair::default();
        pair.set_name((*name).to_owned());
        pair.set_value(value.clone());
        pair
    });
    let mut metric = proto::Metric::default();
    metric.set_label(pairs.collect());
    metric.set_summary(summary);
    metric
}
