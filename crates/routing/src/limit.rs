//! How many streams a target can run within the objectives.
//!
//! The limit follows measured times: it falls by a tenth when a window misses
//! an objective, and rises by one when a window meets both while the target is
//! nearly full. A fixed count was rejected: the same engine runs three times as
//! many short streams as long ones at the same time between tokens.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Measurements after which a window is judged.
const WINDOW_SAMPLES: u64 = 64;
/// Time after which a window is judged in any case.
const WINDOW: Duration = Duration::from_secs(1);
/// Samples without which a window says nothing.
const SAMPLES_MIN: u64 = 8;
const QUANTILE: f64 = 0.95;
const LIMIT_MIN: f64 = 2.0;
const CUT: f64 = 0.9;

/// Objectives for online streams.
#[derive(Clone, Copy, Debug)]
pub struct Objectives {
    /// Time to the first token at the 95th percentile.
    pub first_token: Duration,
    /// Time between tokens at the 95th percentile.
    pub inter_token: Duration,
}

/// The limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    objectives: Objectives,
    max: f64,
    limit: f64,
    first_us: Histogram<u32>,
    inter_us: Histogram<u32>,
    window_from: Instant,
    peak: u32,
}

impl Limit {
    /// Returns a limit that starts at `max` and never exceeds it.
    ///
    /// # Panics
    ///
    /// Never: the histograms' precision is a constant within its bounds.
    pub fn new(objectives: Objectives, max: u32, now: Instant) -> Self {
        let histogram = || Histogram::new(2).expect("Two digits are within bounds.");
        Self {
            objectives,
            max: f64::from(max),
            limit: f64::from(max),
            first_us: histogram(),
            inter_us: histogram(),
            window_from: now,
            peak: 0,
        }
    }

    /// Returns the number of streams of all classes that the target may run.
    pub fn streams(&self) -> u32 {
        // The value lies between two and a u32 setting.
        self.limit as u32
    }

    /// Notes a time to the first token.
    pub fn record_first_token(&mut self, took: Duration, running: u32, now: Instant) {
        record(&mut self.first_us, took);
        self.judge(running, now);
    }

    /// Notes a time between tokens.
    pub fn record_inter_token(&mut self, took: Duration, running: u32, now: Instant) {
        record(&mut self.inter_us, took);
        self.judge(running, now);
    }

    fn judge(&mut self, running: u32, now: Instant) {
        self.peak = self.peak.max(running);
        let samples = self.first_us.len() + self.inter_us.len();
        let old = now.duration_since(self.window_from) >= WINDOW;
        if samples < WINDOW_SAMPLES && !old {
            return;
        }
        if samples >= SAMPLES_MIN {
            self.adjust();
        }
        self.first_us.reset();
        self.inter_us.reset();
        self.window_from = now;
        self.peak = 0;
    }

    fn adjust(&mut self) {
        let first = over(&self.first_us, self.objectives.first_token);
        let inter = over(&self.inter_us, self.objectives.inter_token);
        let peak = f64::from(self.peak);
        if first || inter {
            // Cutting from what ran, not from the limit, makes one bad window
            // count also when the target was far from its limit.
            self.limit = (self.limit.min(peak) * CUT).max(LIMIT_MIN);
            return;
        }
        if peak + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }
}

fn over(histogram: &Histogram<u32>, objective: Duration) -> bool {
    histogram.len() >= SAMPLES_MIN && histogram.value_at_quantile(QUANTILE) > micros(objective)
}

/// Records a time. A histogram that sizes itself must not be given values by
/// way of `saturating_record`, which clamps them to its present size.
fn record(histogram: &mut Histogram<u32>, took: Duration) {
    // Sizing fails only for a range beyond the address space.
    let _ = histogram.record(micros(took));
}

fn micros(took: Duration) -> u64 {
    u64::try_from(took.as_micros()).unwrap_or(u64::MAX)
}
