//! A gauge of operations in progress.

use std::sync::Arc;

/// Counts operations in progress: every clone counts as one, until it is dropped.
///
/// ```
/// use notchwharf_telemetry::gauge::Gauge;
///
/// let gauge = Gauge::default();
/// let guard = gauge.enter();
/// assert_eq!(gauge.count(), 1);
/// drop(guard);
/// assert_eq!(gauge.count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gauge(Arc<()>);

impl Gauge {
    /// Counts one more operation until the returned guard is dropped.
    #[must_use]
    pub fn enter(&self) -> Self {
        self.clone()
    }

    /// Returns the number of operations in progress, which is the number of clones.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}
