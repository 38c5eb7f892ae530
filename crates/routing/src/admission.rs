//! Whether this host takes a request at all.
//!
//! Up to three quarters of what the host carries, everyone is welcome. Above,
//! a tenant that already has more than its weighted share is refused first, so
//! that one tenant's flood does not keep the others out. A refusal comes at
//! once and says when to come back.

use std::collections::HashMap;
use std::time::Duration;

/// Share of the host's requests above which shares count, in percent.
const FREE_PERCENT: usize = 75;
/// When to come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that the host carries.
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

/// The request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// When to come back.
    pub retry_after: Duration,
}

impl Admission {
    /// Returns an admission of at most `max` requests at once.
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

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] if the request is not to be run.
    pub fn admit(&mut self, tenant: &str, weight: u32) -> Result<(), Shed> {
        let shed = Shed {
            retry_after: RETRY_AFTER,
        };
        if self.total >= self.max {
            return Err(shed);
        }
        let crowded = self.total * 100 >= self.max * FREE_PERCENT;
        if crowded && self.above_share(tenant, weight) {
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

    /// Notes that a request has ended.
    pub fn release(&mut self, tenant: &str) {
        let Some(share) = self.tenants.get_mut(tenant) else {
            debug_assert!(false, "A tenant leaves only after it entered.");
            return;
        };
        share.in_flight -= 1;
        self.total -= 1;
        if share.in_flight == 0 {
            self.weights -= u64::from(share.weight);
            self.tenants.remove(tenant);
        }
    }

    fn above_share(&self, tenant: &str, weight: u32) -> bool {
        let Some(share) = self.tenants.get(tenant) else {
            return false;
        };
        let all = self.weights.max(1);
        let fair = self.max as u64 * u64::from(weight) / all;
        share.in_flight as u64 >= fair.max(1)
    }
}
