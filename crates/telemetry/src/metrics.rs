//! Counters, gauges and latency histograms.
//!
//! Histograms are kept by `hdrhistogram` and shown as summaries in the
//! Prometheus text format. Only so many are kept for each figure; whatever
//! comes on top shares one, so that memory does not grow with what callers
//! send.
//!
//! ```
//! use std::time::Duration;
//! use notchwharf_telemetry::metrics::{Counter, Metrics, Timing};
//!
//! const REQUESTS: Counter = Counter { name: "requests_total", help: "Requests.", label: "outcome" };
//! const WHOLE: Timing = Timing { name: "whole_seconds", help: "By route." };
//! let metrics = Metrics::new(&[REQUESTS], &[WHOLE]);
//! metrics.add(0, "whole", 1);
//! metrics.histogram(0, &[("route", "r1")]).record(Duration::from_millis(3));
//! assert!(metrics.text().contains("requests_total{outcome=\"whole\"} 1"));
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

/// Histograms kept for each figure: two classes for each of 256 tenants.
const HISTOGRAMS_MAX: usize = 512;
/// The value of the last label of what is counted together.
const OTHERS: &str = "others";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
const MICROS_PER_SECOND: f64 = 1e6;

/// A counter with one label.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    /// The counter's name.
    pub name: &'static str,
    /// What it counts.
    pub help: &'static str,
    /// The name of its label.
    pub label: &'static str,
}

/// A figure that is timed.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The figure's name.
    pub name: &'static str,
    /// What it measures.
    pub help: &'static str,
}

type Labels = Vec<(&'static str, String)>;

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    counters: Vec<IntCounterVec>,
    gauges: IntGaugeVec,
    timings: Vec<(Timing, Mutex<HashMap<Labels, Histogram>>)>,
}

/// The histogram of one figure and set of labels.
#[derive(Clone, Debug)]
pub struct Histogram(Arc<Mutex<hdrhistogram::Histogram<u64>>>);

impl Histogram {
    fn new() -> Self {
        let histogram = hdrhistogram::Histogram::new(2).expect("Two digits are within bounds.");
        Self(Arc::new(Mutex::new(histogram)))
    }

    /// Records a time.
    pub fn record(&self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // A histogram that sizes itself takes any value that it can hold.
        let _ = lock(&self.0).record(micros);
    }
}

impl Metrics {
    /// Returns metrics with these counters and timings, named by their places.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid for Prometheus or stands twice.
    pub fn new(counters: &[Counter], timings: &[Timing]) -> Self {
        let registry = Registry::new();
        let counters = counters.iter().map(|counter| {
            let opts = Opts::new(counter.name, counter.help);
            let vec = IntCounterVec::new(opts, &[counter.label]).expect("The name is valid.");
            let known = registry.register(Box::new(vec.clone()));
            known.expect("Each name is registered once.");
            vec
        });
        let counters = counters.collect();
        let opts = Opts::new("notchwharf_state", "Present state by name.");
        let gauges = IntGaugeVec::new(opts, &["name"]).expect("The name is valid.");
        let known = registry.register(Box::new(gauges.clone()));
        known.expect("Each name is registered once.");
        let timings = timings.iter().map(|t| (*t, Mutex::default())).collect();
        Self {
            registry,
            counters,
            gauges,
            timings,
        }
    }

    /// Adds to the counter at a place.
    ///
    /// # Panics
    ///
    /// Panics if there is no such counter.
    pub fn add(&self, counter: usize, label: &str, by: u64) {
        let counter = &self.counters[counter];
        counter.with_label_values(&[label]).inc_by(by);
    }

    /// Returns the value of the counter at a place.
    ///
    /// # Panics
    ///
    /// Panics if there is no such counter.
    pub fn counter_value(&self, counter: usize, label: &str) -> u64 {
        self.counters[counter].with_label_values(&[label]).get()
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Returns the histogram of the timing at a place, to record into again
    /// and again. Where there are too many, the last label's value is lost.
    ///
    /// # Panics
    ///
    /// Panics if there is no such timing.
    pub fn histogram(&self, timing: usize, labels: &[(&'static str, &str)]) -> Histogram {
        let mut histograms = lock(&self.timings[timing].1);
        let mut key: Labels = labels.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
        let is_crowded = histograms.len() >= HISTOGRAMS_MAX;
        if is_crowded
            && !histograms.contains_key(&key)
            && let Some((_, value)) = key.last_mut()
        {
            OTHERS.clone_into(value);
        }
        let histogram = histograms.entry(key).or_insert_with(Histogram::new);
        histogram.clone()
    }

    /// Returns everything in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut families = self.registry.gather();
        families.extend(self.timings.iter().filter_map(summaries));
        let mut out = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&families, &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Locks a mutex; what it guards is consistent between any two statements.
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
