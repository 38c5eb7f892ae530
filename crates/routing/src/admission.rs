//! Admission control with weighted fair shares per tenant (workspace).
//!
//! Up to three quarters of the host's capacity, all requests are admitted. Above that, requests of
//! tenants that exceed their weighted share are rejected first, so that one tenant cannot exclude
//! the others. A rejection is immediate and includes a retry delay.

use std::collections::HashMap;
use std::time::Duration;

/// Percentage of the capacity above which fair shares are enforced.
const UNRESTRICTED_PERCENT: usize = 75;
/// Retry delay after a rejection.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The requests in flight at this host.
#[derive(Debug)]
pub struct Admission {
    max: usize,
    total: usize,
    tenants: HashMap<String, Share>,
    weights: u64,
}

#[derive(Debug)]
struct Share {
    weight: u32,
    in_flight: usize,
}

/// The request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// Time after which to retry.
    pub retry_after: Duration,
}

impl Admission {
    /// Returns an admission control for at most `max` concurrent requests.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            total: 0,
            tenants: HashMap::new(),
            weights: 0,
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.total
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] if the request must be rejected.
    pub fn admit(&mut self, tenant: &str, weight: u32) -> Result<(), Shed> {
        let shed = Shed {
            retry_after: RETRY_AFTER,
        };
        if self.total >= self.max {
            return Err(shed);
        }
        let is_restricted = self.total * 100 >= self.max * UNRESTRICTED_PERCENT;
        if is_restricted && self.exceeds_share(tenant, weight) {
            return Err(shed);
        }
        self.total += 1;
        if let Some(share) = self.tenants.get_mut(tenant) {
            share.in_flight += 1;
            return Ok(());
        }
        self.weights += u64::from(weight);
        let share = Share {
            weight,
            in_flight: 1,
        };
        self.tenants.insert(tenant.to_owned(), share);
        Ok(())
    }

    /// Records the end of a request.
    pub fn release(&mut self, tenant: &str) {
        let Some(share) = self.tenants.get_mut(tenant) else {
            debug_assert!(false, "A request is released only after it was admitted.");
            return;
        };
        share.in_flight -= 1;
        self.total -= 1;
        if share.in_flight == 0 {
            self.weights -= u64::from(share.weight);
            self.tenants.remove(tenant);
        }
    }

    fn exceeds_share(&self, tenant: &str, weight: u32) -> bool {
        let Some(share) = self.tenants.get(tenant) else {
            return false;
        };
        let weights = self.weights.max(1);
        let fair_share = self.max as u64 * u64::from(weight) / weights;
        share.in_flight as u64 >= fair_share.max(1)
    }
}
