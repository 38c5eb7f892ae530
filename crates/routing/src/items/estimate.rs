//! Estimates of the remaining duration of items, learned from completed items.
//!
//! Whether an item can meet its deadline depends on its remaining duration rather than on the
//! duration of whole runs: by the latter, an item with ten remaining events would be demoted
//! behind all others and its progress wasted.
//!
//! Callers provide hints of the output length. Their accuracy is learned by linear regression of
//! the logarithm of the actual length on that of the hint: the slope is near one if hints are
//! accurate and near zero if they are guesses.
//!
//! ```
//! use std::time::Duration;
//! use notchwharf_routing::items::estimate::{Estimator, Size};
//!
//! let mut estimator = Estimator::default();
//! let size = Size { output_tokens_hint: 600, ..Size::default() };
//! assert_eq!(estimator.remaining(size, 0), None);
//! estimator.record_run(100, Duration::from_secs(2));
//! estimator.record_completion(size, 100);
//! assert_eq!(estimator.remaining(size, 75), Some(Duration::from_millis(500)));
//! ```

use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new measurement in the moving averages: they cover about thirty items, so that a
/// change of load takes effect within seconds on a busy host.
const MEAN_WEIGHT: f64 = 0.03;
/// Minimum number of events of a run from which the time per event is measured; in shorter runs,
/// prompt processing dominates.
const MEASURED_EVENTS_MIN: u64 = 8;
/// Variance of the hints' logarithms below which a slope can't be estimated.
const HINT_VARIANCE_MIN: f64 = 0.01;
/// Maximum factor by which a hint makes the expected output longer or shorter than the average.
const HINT_FACTOR_MAX: f64 = 3.0;
/// Minimum fraction of the expected events that remain: an item that is longer than expected
/// does not complete immediately.
const REMAINING_FRACTION_MIN: f64 = 0.05;

/// The output size of an item according to its caller; zero where unspecified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Maximum number of output tokens.
    pub output_tokens_max: u32,
    /// Expected number of output tokens.
    pub output_tokens_hint: u32,
}

impl Size {
    /// Returns the logarithm of the expected number of tokens, limited to the maximum, if it is
    /// specified.
    fn hint(self) -> Option<f64> {
        let max = match self.output_tokens_max {
            0 => u32::MAX,
            max => max,
        };
        match self.output_tokens_hint.min(max) {
            0 => None,
            tokens => Some(f64::from(tokens).ln()),
        }
    }
}

/// Estimator of the duration of items of one kind.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Time between two events, in seconds.
    event_interval_s: Mean,
    /// Logarithm of the number of events of completed items.
    events: Mean,
    /// Logarithm of the hints, where one was given.
    hints: Mean,
    /// Variance of the hints, and their covariance with the events.
    hint_variance: Mean,
    covariance: Mean,
}

impl Estimator {
    /// Records the number of events of a run and its duration.
    pub fn record_run(&mut self, events: u64, took: Duration) {
        if events >= MEASURED_EVENTS_MIN {
            self.event_interval_s
                .add(took.as_secs_f64() / events as f64);
        }
    }

    /// Records the total number of events of a completed item.
    pub fn record_completion(&mut self, size: Size, events: u64) {
        let events = (events.max(1) as f64).ln();
        let mean = self.events.value.unwrap_or(events);
        self.events.add(events);
        let Some(hint) = size.hint() else {
            return;
        };
        let mean_hint = self.hints.value.unwrap_or(hint);
        self.hints.add(hint);
        let deviation = hint - mean_hint;
        self.hint_variance.add(deviation * deviation);
        self.covariance.add(deviation * (events - mean));
    }

    /// Returns the estimated remaining duration of an item that has produced `events` events, or
    /// `None` before the first completed item.
    pub fn remaining(&self, size: Size, events: u64) -> Option<Duration> {
        let expected = self.expected_events(size)?;
        let remaining = (expected - events as f64).max(expected * REMAINING_FRACTION_MIN);
        Some(Duration::from_secs_f64(
            remaining * self.event_interval_s.value?,
        ))
    }

    fn expected_events(&self, size: Size) -> Option<f64> {
        let mean = self.events.value?;
        let deviation = match (size.hint(), self.hints.value) {
            (Some(hint), Some(mean_hint)) => (hint - mean_hint) * self.slope(),
            _ => 0.0,
        };
        let deviation_max = HINT_FACTOR_MAX.ln();
        Some((mean + deviation.clamp(-deviation_max, deviation_max)).exp())
    }

    /// Returns the slope of the regression of output lengths on hints.
    fn slope(&self) -> f64 {
        let variance = self.hint_variance.value.unwrap_or_default();
        let covariance = self.covariance.value.unwrap_or_default();
        if variance < HINT_VARIANCE_MIN {
            return 0.0;
        }
        (covariance / variance).clamp(0.0, 1.0)
    }
}

/// Separate estimators for each kind of item, since the durations of short items don't apply to
/// long ones.
#[derive(Clone, Debug, Default)]
pub struct Estimators {
    by_kind: HashMap<String, Estimator>,
}

impl Estimators {
    /// Returns the estimator of a kind, creating it if needed.
    pub fn kind_mut(&mut self, kind: &str) -> &mut Estimator {
        self.by_kind.entry(kind.to_owned()).or_default()
    }

    /// Returns the estimated remaining duration of an item of a kind that has produced `events`
    /// events, or `None` before the first completed item of this kind.
    pub fn remaining(&self, kind: &str, size: Size, events: u64) -> Option<Duration> {
        self.by_kind.get(kind)?.remaining(size, events)
    }
}

/// A mean of all values at first, and an exponential moving average of the latest ones later.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: Option<f64>,
    count: u32,
}

impl Mean {
    fn add(&mut self, new: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        let old = self.value.unwrap_or(new);
        self.value = Some(old + (new - old) * weight);
    }
}
