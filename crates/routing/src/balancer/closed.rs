//! Targets that receive no new requests, or fewer concurrent requests than they have slots.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::Balancer;
use super::Target;
use super::TargetId;

/// The request duration assumed for a service without completed requests.
const DEFAULT_DURATION_S: f64 = 0.25;

impl Balancer {
    /// Sets the data centres whose targets receive no new requests.
    pub fn set_evacuated(&mut self, data_centres: HashSet<String>) {
        self.evacuated = data_centres;
        for target in self.targets.values_mut() {
            let spec = &target.spec;
            target.is_closed = spec.is_leaving || self.evacuated.contains(&spec.data_centre);
        }
    }

    /// Sets the request rates that cold targets sustain, in requests per second by service.
    /// Cold targets of other services are not limited.
    pub fn set_cold_rates(&mut self, rates: HashMap<String, f64>) {
        self.cold_rates = rates;
        let ids: Vec<TargetId> = self.cold_until.keys().cloned().collect();
        for id in ids {
            self.update_limit(&id);
        }
    }

    /// Sets the remaining time for which a target is cold.
    ///
    /// The rate is enforced by limiting concurrent requests to the rate times the mean request
    /// duration (Little's law), which needs no rate limiter shared among hosts.
    pub fn set_cold(&mut self, id: &str, left: Duration, now: Instant) {
        if left.is_zero() {
            self.cold_until.remove(id);
        } else if self.targets.contains_key(id) {
            self.cold_until.insert(id.to_owned(), now + left);
        }
        self.update_limit(id);
    }

    /// Lifts the limit of targets that are no longer cold.
    pub fn end_cold(&mut self, now: Instant) {
        let expired = self.cold_until.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<TargetId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.cold_until.remove(&id);
            self.update_limit(&id);
        }
    }

    fn update_limit(&mut self, id: &str) {
        let is_cold = self.cold_until.contains_key(id);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let rate = self.cold_rates.get(&target.spec.service).copied();
        let duration_s = self.durations_s.get(&target.spec.service).copied();
        target.slots = match rate.filter(|_| is_cold) {
            Some(rate) => cold_slots(target, rate, duration_s.unwrap_or(DEFAULT_DURATION_S)),
            None => target.spec.slots,
        };
    }
}

fn cold_slots(target: &Target, rate: f64, duration_s: f64) -> u32 {
    // The cast maps NaN and negative values to zero and saturates large ones.
    let concurrent = (rate * duration_s).floor() as u32;
    concurrent.clamp(1, target.spec.slots.max(1))
}
