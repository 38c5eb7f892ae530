//! Retry budget and backoff: retries are limited to a percentage of successful requests.
//!
//! ```
//! use notchwharf_routing::budget::Budget;
//!
//! let mut budget = Budget::new(50);
//! while budget.withdraw() {}
//! budget.deposit();
//! budget.deposit();
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

use std::time::Duration;

use backon::BackoffBuilder as _;
use backon::ExponentialBuilder;

/// Maximum number of accumulated retries.
const RETRIES_MAX: u32 = 20;
/// Budget units per retry, so that a percentage can be added per success.
const UNITS_PER_RETRY: u32 = 100;
const DELAY_MIN: Duration = Duration::from_millis(5);
const DELAY_MAX: Duration = Duration::from_millis(250);

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    share_percent: u32,
    units: u32,
}

impl Budget {
    /// Returns a full budget to which each success adds `share_percent` percent of a retry.
    pub fn new(share_percent: u32) -> Self {
        Self {
            share_percent,
            units: RETRIES_MAX * UNITS_PER_RETRY,
        }
    }

    /// Adds the share of a successful request to the budget.
    pub fn deposit(&mut self) {
        let units = self.units + self.share_percent;
        self.units = units.min(RETRIES_MAX * UNITS_PER_RETRY);
    }

    /// Withdraws one retry. Returns whether the budget allowed it.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = left;
        true
    }
}

/// Returns exponentially growing delays between attempts, with jitter.
pub fn backoff(seed: u64) -> impl Iterator<Item = Duration> {
    ExponentialBuilder::default()
        .with_min_delay(DELAY_MIN)
        .with_max_delay(DELAY_MAX)
        .with_jitter()
        .with_jitter_seed(seed)
        .without_max_times()
        .build()
}
