//! Histograms for each tenant and class, and counters for every decision.
//!
//! Histograms are kept by `hdrhistogram` and shown as summaries in the
//! Prometheus text format. Only so many tenants get histograms of their own;
//! the rest share one, so that memory does not grow with the bundle.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use notchwharf_config::bundle::Class;
use prometheus::Encoder as _;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::proto;

use crate::context::lock;

/// Histograms kept: three figures and two classes for each of 256 tenants.
const TIMINGS_MAX: usize = 256 * 6;
const OTHERS: &str = "other-tenants";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
const MICROS_PER_SECOND: f64 = 1e6;

/// What is timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Timed {
    /// Time to the first token.
    FirstToken,
    /// Time between tokens.
    InterToken,
    /// Time of a whole answer.
    Whole,
}

/// What is counted, with one label.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Counted {
    /// Requests by outcome.
    Requests,
    /// Retries and resumes by cause.
    Retries,
    /// Batch items by what became of them.
    Items,
    /// Calls of the log by outcome.
    Log,
    /// Leases by what happened to them.
    Leases,
    /// Orders to targets by outcome.
    Orders,
    /// Gossip by direction, in bytes.
    GossipBytes,
}

#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    counters: [IntCounterVec; 7],
    gauges: IntGaugeVec,
    timings: Mutex<HashMap<(Timed, Class, String), Timing>>,
}

/// The histogram of one figure, tenant and class.
#[derive(Clone, Debug)]
pub(crate) struct Timing(Arc<Mutex<Histogram<u64>>>);

impl Timing {
    fn new() -> Self {
        let histogram = Histogram::new(2).expect("Two digits are within bounds.");
        Self(Arc::new(Mutex::new(histogram)))
    }

    pub(crate) fn record(&self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // A histogram that sizes itself takes any value that it can hold.
        let _ = lock(&self.0).record(micros);
    }
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(name, help);
            let counter = IntCounterVec::new(opts, &[label]).expect("The name is valid.");
            let known = registry.register(Box::new(counter.clone()));
            known.expect("Each name is registered once.");
            counter
        };
        let counters = [
            counter(
                "notchwharf_requests_total",
                "Requests by outcome.",
                "outcome",
            ),
            counter("notchwharf_retries_total", "Retries by cause.", "cause"),
            counter("notchwharf_items_total", "Batch items by event.", "event"),
            counter("notchwharf_log_calls_total", "Calls of the log.", "outcome"),
            counter("notchwharf_leases_total", "Leases by event.", "event"),
            counter("notchwharf_orders_total", "Orders to targets.", "outcome"),
            counter(
                "notchwharf_gossip_bytes_total",
                "Gossip bytes.",
                "direction",
            ),
        ];
        let opts = Opts::new("notchwharf_state", "Present state by name.");
        let gauges = IntGaugeVec::new(opts, &["name"]).expect("The name is valid.");
        let known = registry.register(Box::new(gauges.clone()));
        known.expect("Each name is registered once.");
        Self {
            registry,
            counters,
            gauges,
            timings: Mutex::default(),
        }
    }

    pub(crate) fn count(&self, what: Counted, label: &str) {
        self.add(what, label, 1);
    }

    pub(crate) fn add(&self, what: Counted, label: &str, by: u64) {
        self.counters[what as usize]
            .with_label_values(&[label])
            .inc_by(by);
    }

    pub(crate) fn set(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    pub(crate) fn time(&self, what: Timed, class: Class, tenant: &str, took: Duration) {
        self.timing(what, class, tenant).record(took);
    }

    /// Returns a histogram to record into again and again.
    pub(crate) fn timing(&self, what: Timed, class: Class, tenant: &str) -> Timing {
        let mut timings = lock(&self.timings);
        let crowded = timings.len() >= TIMINGS_MAX;
        let mut key = (what, class, tenant.to_owned());
        if crowded && !timings.contains_key(&key) {
            key.2 = OTHERS.to_owned();
        }
        timings.entry(key).or_insert_with(Timing::new).clone()
    }

    /// Returns everything in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut families = self.registry.gather();
        families.extend(self.summaries());
        let mut out = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&families, &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }

    fn summaries(&self) -> Vec<proto::MetricFamily> {
        let timings = lock(&self.timings);
        let kinds = [
            (Timed::FirstToken, "notchwharf_first_token_seconds"),
            (Timed::InterToken, "notchwharf_inter_token_seconds"),
            (Timed::Whole, "notchwharf_whole_answer_seconds"),
        ];
        let mut families = Vec::new();
        for (what, name) in kinds {
            let wanted = timings.iter().filter(|((w, _, _), _)| *w == what);
            let metrics: Vec<proto::Metric> = wanted
                .map(|((_, class, tenant), timing)| summary(*class, tenant, &lock(&timing.0)))
                .collect();
            if metrics.is_empty() {
                continue;
            }
            let mut family = proto::MetricFamily::default();
            family.set_name(name.to_owned());
            family.set_help("By tenant and class.".to_owned());
            family.set_field_type(proto::MetricType::SUMMARY);
            family.set_metric(metrics);
            families.push(family);
        }
        families
    }
}

fn summary(class: Class, tenant: &str, histogram: &Histogram<u64>) -> proto::Metric {
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
    let label = |name: &str, value: &str| {
        let mut pair = proto::LabelPair::default();
        pair.set_name(name.to_owned());
        pair.set_value(value.to_owned());
        pair
    };
    let class = match class {
        Class::Online => "online",
        Class::Batch => "batch",
    };
    let mut metric = proto::Metric::default();
    metric.set_label(vec![label("class", class), label("tenant", tenant)]);
    metric.set_summary(summary);
    metric
}
