//! How long items usually take, learned from those that ended.
//!
//! Whether an item can still be served in time depends on what is left of it,
//! not on how long whole runs take: judged by the latter, an item that has ten
//! events to go is put behind all others and what it got is lost.
//!
//! Callers tell how long they expect an answer to be. How much that word is
//! worth is learned from what came: the slope of the answers' lengths over the
//! expected ones, both as logarithms, is near one where callers know and near
//! zero where they guess.
//!
//! ```
//! use std::time::Duration;
//! use notchwharf_routing::items::estimate::{Size, Estimator};
//!
//! let mut usual = Estimator::default();
//! let size = Size { output_tokens_hint: 600, ..Size::default() };
//! assert_eq!(usual.remaining(size, 0), None);
//! usual.ran(100, Duration::from_secs(2));
//! usual.ended(size, 100);
//! assert_eq!(usual.remaining(size, 75), Some(Duration::from_millis(500)));
//! ```

use std::collections::HashMap;
use std::time::Duration;

/// Share of a new measurement in the running means: some thirty items' worth,
/// so that a change of load shows within seconds on a busy host.
const WEIGHT: f64 = 0.03;
/// Events of a run below which it tells nothing of the pace: the reading of the
/// prompt outweighs them.
const PACE_EVENTS_MIN: u64 = 8;
/// Spread of the hints' logarithms below which they tell items apart too little
/// to learn from.
const HINT_SPREAD_MIN: f64 = 0.01;
/// How many times longer or shorter than usual an answer is taken to be at
/// most, whatever its caller says.
const FACTOR_MAX: f64 = 3.0;
/// Share of the expected events that are to come at least: an item that is
/// longer than expected does not end at once.
const REST_SHARE_MIN: f64 = 0.05;

/// What a caller tells of an item's size; zero where it tells nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the longest answer that is taken.
    pub output_tokens_max: u32,
    /// Tokens of the answer as the caller expects it.
    pub output_tokens_hint: u32,
}

impl Size {
    /// Returns the logarithm of the expected answer's length, if it is told.
    /// One that exceeds the longest answer counts as that.
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

/// How long items of one kind usually take.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Time from one event to the next, in seconds.
    pace_s: Mean,
    /// Logarithm of the events of whole items.
    events: Mean,
    /// The same of the hints, where one was given.
    hints: Mean,
    /// Spread of the hints, and how the events go along with it.
    hint_variance: Mean,
    covariance: Mean,
}

impl Estimator {
    /// Notes a run's events and the time that they took.
    pub fn record_run(&mut self, events: u64, took: Duration) {
        if events >= PACE_EVENTS_MIN {
            self.pace_s.add(took.as_secs_f64() / events as f64);
        }
    }

    /// Notes the number of events of a whole item.
    pub fn record_completion(&mut self, size: Size, events: u64) {
        let events = (events.max(1) as f64).ln();
        let usual = self.events.value.unwrap_or(events);
        self.events.add(events);
        let Some(hint) = size.hint() else {
            return;
        };
        let usual_hint = self.hints.value.unwrap_or(hint);
        self.hints.add(hint);
        let off = hint - usual_hint;
        self.hint_variance.add(off * off);
        self.covariance.add(off * (events - usual));
    }

    /// Returns how long an item still runs that has so many events; nothing
    /// while no item has ended.
    pub fn remaining(&self, size: Size, events: u64) -> Option<Duration> {
        let expected = self.expected_events(size)?;
        let rest = (expected - events as f64).max(expected * REST_SHARE_MIN);
        Some(Duration::from_secs_f64(rest * self.pace_s.value?))
    }

    fn expected_events(&self, size: Size) -> Option<f64> {
        let usual = self.events.value?;
        let off = match (size.hint(), self.hints.value) {
            (Some(hint), Some(usual_hint)) => (hint - usual_hint) * self.slope(),
            _ => 0.0,
        };
        let off_max = FACTOR_MAX.ln();
        Some((usual + off.clamp(-off_max, off_max)).exp())
    }

    /// Returns by how much answers are longer that are expected to be longer.
    fn slope(&self) -> f64 {
        let variance = self.hint_variance.value.unwrap_or_default();
        let covariance = self.covariance.value.unwrap_or_default();
        if variance < HINT_SPREAD_MIN {
            return 0.0;
        }
        (covariance / variance).clamp(0.0, 1.0)
    }
}

/// How long items usually take, kind by kind: what is learned of short items
/// says nothing of long ones beside them.
#[derive(Clone, Debug, Default)]
pub struct Estimators {
    by_name: HashMap<String, Estimator>,
}

impl Estimators {
    /// Returns what is known of a kind, to add to it.
    pub fn kind_mut(&mut self, kind: &str) -> &mut Estimator {
        self.by_name.entry(kind.to_owned()).or_default()
    }

    /// Returns how long an item of a kind still runs that has so many events;
    /// nothing while none of its kind has ended.
    pub fn remaining(&self, kind: &str, size: Size, events: u64) -> Option<Duration> {
        self.by_name.get(kind)?.remaining(size, events)
    }
}

/// A running mean: a plain one at first, later one of the newest values.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: Option<f64>,
    count: u32,
}

impl Mean {
    fn add(&mut self, new: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        let old = self.value.unwrap_or(new);
        self.value = Some(old + (new - old) * weight);
    }
}
