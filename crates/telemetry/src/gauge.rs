//! Counts of what is under way.

use std::sync::Arc;

/// Counts what is under way; its clones are what is counted.
///
/// ```
/// use notchwharf_telemetry::gauge::Gauge;
///
/// let gauge = Gauge::default();
/// let one = gauge.enter();
/// assert_eq!(gauge.count(), 1);
/// drop(one);
/// assert_eq!(gauge.count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<()>);

impl Gauge {
    /// Counts one more until what is returned is dropped.
    #[must_use]
    pub fn enter(&self) -> Self {
        self.clone()
    }

    /// Returns how many are under way.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}
