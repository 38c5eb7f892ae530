//! Adaptive concurrency limit of a target under latency objectives.
//!
//! The limit follows measured latencies with additive increase and multiplicative decrease: it is
//! reduced by a tenth when a window misses an objective, and increased by one when a window meets
//! both while the target is nearly full. A fixed limit was rejected: at the same time between
//! tokens, an engine runs three times as many short streams as long ones.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Number of samples after which a window is evaluated.
const WINDOW_SAMPLES: u64 = 64;
/// Time after which a window is evaluated regardless of the number of samples.
const WINDOW_DURATION: Duration = Duration::from_secs(1);
/// Minimum number of samples of a window to change the limit.
const SAMPLES_MIN: u64 = 8;
const QUANTILE: f64 = 0.95;
const LIMIT_MIN: f64 = 2.0;
const DECREASE_FACTOR: f64 = 0.9;

/// Latency objectives of online streams.
#[derive(Clone, Copy, Debug)]
pub struct Objectives {
    /// Time to the first token at the 95th percentile.
    pub first_token: Duration,
    /// Time between tokens at the 95th percentile.
    pub inter_token: Duration,
}

/// The concurrency limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    objectives: Objectives,
    max: f64,
    limit: f64,
    first_us: Histogram<u32>,
    inter_us: Histogram<u32>,
    window_start: Instant,
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
            window_start: now,
            peak: 0,
        }
    }

    /// Returns the maximum number of concurrent streams of all classes.
    pub fn streams(&self) -> u32 {
        // The value is between two and a u32 setting.
        self.limit as u32
    }

    /// Records a time to the first token, with the number of running streams.
    pub fn record_first_token(&mut self, duration: Duration, running: u32, now: Instant) {
        record(&mut self.first_us, duration);
        self.evaluate_window(running, now);
    }

    /// Records a time between two tokens, with the number of running streams.
    pub fn record_inter_token(&mut self, duration: Duration, running: u32, now: Instant) {
        record(&mut self.inter_us, duration);
        self.evaluate_window(running, now);
    }

    fn evaluate_window(&mut self, running: u32, now: Instant) {
        self.peak = self.peak.max(running);
        let samples = self.first_us.len() + self.inter_us.len();
        let is_elapsed = now.duration_since(self.window_start) >= WINDOW_DURATION;
        if samples < WINDOW_SAMPLES && !is_elapsed {
            return;
        }
        if samples >= SAMPLES_MIN {
            self.adjust();
        }
        self.first_us.reset();
        self.inter_us.reset();
        self.window_start = now;
        self.peak = 0;
    }

    fn adjust(&mut self) {
        let misses_first = exceeds(&self.first_us, self.objectives.first_token);
        let misses_inter = exceeds(&self.inter_us, self.objectives.inter_token);
        let peak = f64::from(self.peak);
        if misses_first || misses_inter {
            // The decrease starts from the peak rather than from the limit, so that a single
            // missed window takes effect even if the target was far below its limit.
            self.limit = (self.limit.min(peak) * DECREASE_FACTOR).max(LIMIT_MIN);
            return;
        }
        if peak + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }
}

fn exceeds(histogram: &Histogram<u32>, objective: Duration) -> bool {
    histogram.len() >= SAMPLES_MIN && histogram.value_at_quantile(QUANTILE) > micros(objective)
}

/// Records a duration. `saturating_record` must not be used with an auto-resizing histogram, since
/// it clamps values to the current size.
fn record(histogram: &mut Histogram<u32>, duration: Duration) {
    // Resizing fails only for a range that exceeds the address space.
    let _ = histogram.record(micros(duration));
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
