//! The metrics of the server.
//!
//! The telemetry package stores the values; this module defines names and labels.

use std::time::Duration;

use notchwharf_config::bundle::Class;
use notchwharf_telemetry::metrics;
use notchwharf_telemetry::metrics::Counter;
use notchwharf_telemetry::metrics::Histogram;
use notchwharf_telemetry::metrics::Timing;

/// A histogram of durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Timed {
    /// Time to the first token of a response.
    FirstToken,
    /// Time between tokens.
    InterToken,
    /// Time to the complete response.
    Total,
}

/// A counter with one label.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Counted {
    /// Requests by outcome.
    Requests,
    /// Retries and resumes by cause.
    Retries,
    /// Batch items by event.
    Items,
    /// Calls to the log by outcome.
    Log,
    /// Leases by event.
    Leases,
    /// Orders to targets by outcome.
    Orders,
    /// Bytes of gossip by direction.
    GossipBytes,
    /// Callers that gave way or were refused, by event.
    Callers,
}

/// The counters, in the order of [`Counted`].
const COUNTERS: [Counter; 8] = [
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
    counter(
        "notchwharf_callers_total",
        "Callers that gave way or were refused.",
        "event",
    ),
];

/// The histograms, in the order of [`Timed`].
const TIMINGS: [Timing; 3] = [
    timing("notchwharf_first_token_seconds"),
    timing("notchwharf_inter_token_seconds"),
    timing("notchwharf_whole_answer_seconds"),
];

const fn counter(name: &'static str, help: &'static str, label: &'static str) -> Counter {
    Counter { name, help, label }
}

const fn timing(name: &'static str) -> Timing {
    let help = "By tenant and class.";
    Timing { name, help }
}

#[derive(Debug)]
pub(crate) struct Metrics(metrics::Metrics);

impl Metrics {
    pub(crate) fn new() -> Self {
        Self(metrics::Metrics::new(&COUNTERS, &TIMINGS))
    }

    pub(crate) fn count(&self, what: Counted, label: &str) {
        self.add(what, label, 1);
    }

    pub(crate) fn add(&self, what: Counted, label: &str, by: u64) {
        self.0.add(what as usize, label, by);
    }

    pub(crate) fn set(&self, name: &str, value: usize) {
        self.0.set_gauge(name, value);
    }

    pub(crate) fn time(&self, what: Timed, class: Class, tenant: &str, duration: Duration) {
        self.timing(what, class, tenant).record(duration);
    }

    /// Returns a histogram, for recording repeatedly without a lookup.
    pub(crate) fn timing(&self, what: Timed, class: Class, tenant: &str) -> Histogram {
        let class = match class {
            Class::Online => "online",
            Class::Batch => "batch",
        };
        let labels = [("class", class), ("tenant", tenant)];
        self.0.histogram(what as usize, &labels)
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.0.text()
    }
}
