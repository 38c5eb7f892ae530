//! Slots that are reliably free, and the rate at which others are released.
//!
//! The load of targets in the same data centre is known within milliseconds. The load of remote
//! targets is up to some tenths of a second old, and when slots are scarce, one that was free
//! then has mostly been taken since: a request sent there waits in the target's queue behind
//! those of the target's local hosts. A remote target is therefore considered free only beyond
//! the slots that have probably been taken since its last update.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Balancer;
use super::Choice;
use super::Criteria;
use super::Load;
use super::SlotSource;
use super::TargetId;
use super::TargetKey;
use super::choice::is_remote;
use super::choice::online_cost;

/// Divisor of a remote target's slots that may have been taken since its last update: a request
/// runs for half a second or more, and an update is one or two tenths of a second old.
const STALE_DIVISOR: u32 = 4;

/// Slots that a waiting request can expect to obtain.
#[derive(Clone, Debug, PartialEq)]
pub struct Availability {
    /// Targets whose slots are not all taken by online requests, with the number of remaining
    /// slots; only local targets, unless there are none.
    pub free: Vec<(TargetKey, u32)>,
    /// Slots that the considered targets release per second when all are taken; `None` if the
    /// request duration is unknown.
    pub releases_per_s: Option<f64>,
    /// Whether there are targets in the data centre of this host.
    pub has_local: bool,
}

impl Balancer {
    /// Chooses a target for an online request with a slot that is reliably free or occupied by
    /// an item. `reserved` returns the number of slots of a target, given its data centre, that
    /// are reserved for other requests.
    pub fn choose_free(
        &mut self,
        criteria: &Criteria<'_>,
        reserved: impl Fn(TargetKey, &str) -> u32,
        now: Instant,
    ) -> Option<Choice> {
        let typical = self.typical(criteria.service);
        let with_ejected = self.are_most_ejected(criteria.service, now);
        let has_local = self.has_local(criteria, with_ejected, now);
        let id = self.best(criteria, now, with_ejected, |t| {
            let is_stale = has_local && is_remote(t, criteria);
            let taken_since = if is_stale { t.slots / STALE_DIVISOR } else { 0 };
            let unavailable = reserved(t.key, &t.spec.data_centre).saturating_add(taken_since);
            let is_free = t.load().online.saturating_add(unavailable) < t.slots;
            is_free.then(|| online_cost(t, criteria, typical, self.cfg))?
        });
        Some(self.choice_at(id?.clone()))
    }

    /// Returns the choice of a target whose slot another host transferred to a request, or `None`
    /// if the target does not meet the criteria.
    pub fn choose_transferred(
        &self,
        criteria: &Criteria<'_>,
        id: &TargetId,
        now: Instant,
    ) -> Option<Choice> {
        let target = self.targets.get(id)?;
        let is_suitable = criteria.allow(&target.spec) && !criteria.tried.contains(id);
        if !is_suitable || target.is_closed || target.is_ejected(now) {
            return None;
        }
        let mut choice = self.choice_at(id.clone());
        if choice.slot_source == SlotSource::Queue {
            // The host that transferred the slot has not yet reported the end of its request.
            choice.slot_source = SlotSource::Free;
        }
        Some(choice)
    }

    /// Returns whether a slot of a target may be transferred to a waiting request: the target is
    /// local and online requests don't occupy all of its slots.
    pub fn can_transfer(&self, id: &str, data_centre: &str, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| {
            let is_local = t.spec.data_centre == data_centre;
            is_local && !t.is_closed && !t.is_ejected(now) && t.load().online < t.slots
        })
    }

    /// Returns the load of this host at remote targets, by data centre.
    pub fn own_remote_loads(&self, data_centre: &str) -> BTreeMap<String, Vec<(TargetKey, Load)>> {
        let mut remote: BTreeMap<String, Vec<(TargetKey, Load)>> = BTreeMap::new();
        let targets = self.active.iter().filter_map(|id| self.targets.get(id));
        for target in targets.filter(|t| t.spec.data_centre != data_centre) {
            let loads = remote.entry(target.spec.data_centre.clone());
            loads.or_default().push((target.key, target.own));
        }
        remote
    }

    /// Returns whether there is a target that has not been tried for a request.
    pub fn has_untried(&self, criteria: &Criteria<'_>) -> bool {
        self.targets
            .iter()
            .any(|(id, t)| criteria.allow(&t.spec) && !t.is_closed && !criteria.tried.contains(id))
    }

    /// Returns the slots that a waiting request can expect to obtain.
    pub fn availability(&self, criteria: &Criteria<'_>, now: Instant) -> Availability {
        let with_ejected = self.are_most_ejected(criteria.service, now);
        let has_local = self.has_local(criteria, with_ejected, now);
        let mut free = Vec::new();
        let mut slots = 0;
        for (_, target) in self.targets_of(criteria.service, with_ejected, now) {
            if has_local && is_remote(target, criteria) {
                continue;
            }
            let remaining = target.slots.saturating_sub(target.load().online);
            if remaining > 0 {
                free.push((target.key, remaining));
            }
            slots += target.slots;
        }
        let duration_s = self.durations_s.get(criteria.service);
        let duration_s = duration_s.filter(|duration_s| **duration_s > 0.0);
        Availability {
            free,
            releases_per_s: duration_s.map(|duration_s| f64::from(slots) / duration_s),
            has_local,
        }
    }

    /// Returns the median time to the first event of a service's targets, from the start of a run.
    pub fn typical_first_event_time(&self, service: &str) -> Duration {
        self.typical_first_event(service).unwrap_or_default()
    }

    fn has_local(&self, criteria: &Criteria<'_>, with_ejected: bool, now: Instant) -> bool {
        let mut targets = self.targets_of(criteria.service, with_ejected, now);
        targets.any(|(_, t)| !is_remote(t, criteria))
    }
}
