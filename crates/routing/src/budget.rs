//! A budget for retries, as a share of recent successes.
//!
//! ```
//! use notchwharf_routing::budget::Budget;
//!
//! let mut budget = Budget::new(50);
//! while budget.spend() {}
//! budget.earn();
//! budget.earn();
//! assert!(budget.spend());
//! assert!(!budget.spend());
//! ```

use std::time::Duration;

use backon::BackoffBuilder as _;
use backon::ExponentialBuilder;

/// Retries that may be saved up.
const SAVED_MAX: u32 = 20;
const CENTS: u32 = 100;
const PAUSE_MIN: Duration = Duration::from_millis(5);
const PAUSE_MAX: Duration = Duration::from_millis(250);

/// Retries that may still be made.
#[derive(Clone, Debug)]
pub struct Budget {
    share_percent: u32,
    cents: u32,
}

impl Budget {
    /// Returns a full budget that grows by a share of successes.
    pub fn new(share_percent: u32) -> Self {
        Self {
            share_percent,
            cents: SAVED_MAX * CENTS,
        }
    }

    /// Notes a success.
    pub fn deposit(&mut self) {
        let cents = self.cents + self.share_percent;
        self.cents = cents.min(SAVED_MAX * CENTS);
    }

    /// Takes one retry out; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.cents.checked_sub(CENTS) else {
            return false;
        };
        self.cents = left;
        true
    }
}

/// Returns pauses between tries, growing and spread by chance.
pub fn backoff(seed: u64) -> impl Iterator<Item = Duration> {
    ExponentialBuilder::default()
        .with_min_delay(PAUSE_MIN)
        .with_max_delay(PAUSE_MAX)
        .with_jitter()
        .with_jitter_seed(seed)
        .without_max_times()
        .build()
}
