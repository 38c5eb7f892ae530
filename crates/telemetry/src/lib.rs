//! Metrics and logs of a process.
//!
//! [`metrics`] keeps counters, gauges and latency histograms and shows them in
//! the Prometheus text format. [`logs`] writes structured lines that cost a
//! bounded amount: lines over the rate are dropped and counted, and nothing
//! ever waits for the reader of the lines.

pub mod gauge;
pub mod logs;
pub mod metrics;
