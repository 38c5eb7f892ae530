//! Metrics and logs of a process.
//!
//! [`metrics`] keeps counters, gauges and latency histograms and exports them in the Prometheus
//! text format. [`logs`] writes structured lines at a limited rate: lines beyond the limit are
//! dropped and counted, and a slow log reader never blocks the process. [`gauge`] counts
//! operations in progress.

pub mod gauge;
pub mod logs;
pub mod metrics;
