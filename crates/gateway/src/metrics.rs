//! The counters and timings of a host.

use std::time::Duration;

use notchwharf_telemetry::metrics;
use notchwharf_telemetry::metrics::Counter;
use notchwharf_telemetry::metrics::Timing;

/// A counter with one label.
#[derive(Clone, Copy, Debug)]
pub enum Counted {
    /// Online requests by outcome.
    Requests,
    /// Offers of requests to targets by outcome.
    Offers,
    /// Streams that are taken up again, by how their origin is known or why they are refused.
    Resumptions,
    /// Copies of the origins of streams by direction.
    StreamOrigins,
    /// Online requests that wait for a slot, by event.
    WaitQueue,
    /// Items by event.
    Items,
    /// Job operations by outcome.
    Jobs,
    /// Requests without access by reason.
    Access,
    /// Decisions on rate limits of workspaces by outcome.
    Limits,
    /// Calls of the store by outcome.
    Store,
    /// Datagrams between hosts by direction.
    Datagrams,
    /// Changes of the host's view of the fleet, by kind.
    Changes,
    /// Callers that gave way or were refused, by event.
    Callers,
    /// Units of work by activity of the host.
    Work,
    /// Time of units of work in microseconds, by activity of the host.
    WorkMicros,
}

const COUNTERS: [Counter; 15] = [
    counter("notchwharf_requests_total", "Online requests.", "outcome"),
    counter("notchwharf_offers_total", "Offers to targets.", "outcome"),
    counter(
        "notchwharf_resumptions_total",
        "Streams that are taken up again.",
        "outcome",
    ),
    counter(
        "notchwharf_stream_origins_total",
        "Copies of the origins of streams.",
        "direction",
    ),
    counter(
        "notchwharf_line_total",
        "Online requests that waited for a place.",
        "outcome",
    ),
    counter("notchwharf_items_total", "Items of jobs.", "event"),
    counter("notchwharf_job_calls_total", "Calls about jobs.", "outcome"),
    counter(
        "notchwharf_access_refused_total",
        "No caller who may.",
        "reason",
    ),
    counter(
        "notchwharf_limit_decisions_total",
        "Limits of workspaces.",
        "outcome",
    ),
    counter(
        "notchwharf_store_calls_total",
        "Calls of the store.",
        "outcome",
    ),
    counter("notchwharf_datagrams_total", "Datagrams.", "direction"),
    counter("notchwharf_changes_total", "Changes of belief.", "kind"),
    counter(
        "notchwharf_callers_total",
        "Callers that gave way or were refused.",
        "event",
    ),
    counter("notchwharf_work_total", "Pieces of work.", "part"),
    counter("notchwharf_work_us_total", "Their time.", "part"),
];

/// A timing.
#[derive(Clone, Copy, Debug)]
pub enum Timed {
    /// Time to a response's first event, by route.
    FirstEvent,
    /// Time to the end of a response, by route.
    Complete,
    /// Duration of calls of the store, by call.
    StoreCall,
}

const TIMINGS: [Timing; 3] = [
    timing("notchwharf_first_event_seconds", "By route."),
    timing("notchwharf_whole_answer_seconds", "By route."),
    timing("notchwharf_store_call_seconds", "By call."),
];

const fn counter(name: &'static str, help: &'static str, label: &'static str) -> Counter {
    Counter { name, help, label }
}

const fn timing(name: &'static str, help: &'static str) -> Timing {
    Timing { name, help }
}

/// The metrics of one host.
#[derive(Debug)]
pub struct Metrics(metrics::Metrics);

impl Default for Metrics {
    fn default() -> Self {
        Self(metrics::Metrics::new(&COUNTERS, &TIMINGS))
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, what: Counted, label: &str) {
        self.add(what, label, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, what: Counted, label: &str, by: u64) {
        self.0.add(what as usize, label, by);
    }

    /// Returns the value of a counter.
    pub fn counted(&self, what: Counted, label: &str) -> u64 {
        self.0.counter_value(what as usize, label)
    }

    /// Records a duration under the name of a route or call.
    pub fn time(&self, what: Timed, name: &str, took: Duration) {
        self.0
            .histogram(what as usize, &[("name", name)])
            .record(took);
    }

    /// Sets a gauge.
    pub fn set(&self, name: &str, value: usize) {
        self.0.set_gauge(name, value);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.0.text()
    }
}
