//! Balancer that a host may take as free, and how soon others fall free.
//!
//! What runs at targets near by is known within milliseconds. What runs elsewhere is up to
//! some tenths of a second old, and a place that was free then has mostly been taken when
//! all places are short: a request that is sent there waits in the target's queue, behind
//! those of the hosts near it. So a target elsewhere has room only beyond the places that
//! are likely to have been taken since.

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

/// Part of a target's places that may have been taken since the news of it, if it stands
/// elsewhere: a request runs for some half a second or more, and news is a tenth or two
/// old.
const DOUBT_PART: u32 = 4;

/// What a request that waits for a place can count on.
#[derive(Clone, Debug, PartialEq)]
pub struct Availability {
    /// Targets near by, or all if none is near, at which online requests have not taken all
    /// places, with the number of these.
    pub free: Vec<(TargetKey, u32)>,
    /// Balancer near by that fall free in a second when all are taken; nothing if nobody
    /// knows how long requests take.
    pub releases_per_s: Option<f64>,
    /// Whether there are targets in the host's own data centre.
    pub has_local: bool,
}

impl Balancer {
    /// Chooses a target for an online request at which a place is free for certain, or is
    /// an item's; nothing if there is none. `spoken_for` says how many places of a target,
    /// by its data centre, are for other requests.
    pub fn choose_free(
        &mut self,
        want: &Criteria<'_>,
        spoken_for: impl Fn(TargetKey, &str) -> u32,
        now: Instant,
    ) -> Option<Choice> {
        let usual = self.usual(want.service);
        let all = self.are_most_ejected(want.service, now);
        let has_near = self.has_near(want, all, now);
        let id = self.best(want, now, all, |t| {
            let is_far = has_near && is_remote(t, want);
            let doubt = if is_far { t.slots / DOUBT_PART } else { 0 };
            let others = spoken_for(t.key, &t.spec.data_centre).saturating_add(doubt);
            let has_room = t.load().online.saturating_add(others) < t.slots;
            has_room.then(|| online_cost(t, want, usual, self.cfg))?
        });
        Some(self.choice_at(id?.clone()))
    }

    /// Returns the choice of a place that was handed to a request; nothing if that target is
    /// not for it.
    pub fn choose_transferred(
        &self,
        want: &Criteria<'_>,
        id: &TargetId,
        now: Instant,
    ) -> Option<Choice> {
        let target = self.targets.get(id)?;
        let is_for_it = target.spec.service == want.service && !want.tried.contains(id);
        if !is_for_it || target.is_closed || target.is_ejected(now) {
            return None;
        }
        let mut choice = self.choice_at(id.clone());
        if choice.slot_source == SlotSource::Queue {
            // The host that hands it over has not told yet that its request has ended.
            choice.slot_source = SlotSource::Free;
        }
        Some(choice)
    }

    /// Returns whether a place of a target may be handed to a request that waits: one is
    /// free of online requests.
    pub fn can_transfer(&self, id: &str, data_centre: &str, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| {
            let is_near = t.spec.data_centre == data_centre;
            is_near && !t.is_closed && !t.is_ejected(now) && t.load().online < t.slots
        })
    }

    /// Returns what this host runs at targets elsewhere, by data centre.
    pub fn own_remote_loads(&self, data_centre: &str) -> BTreeMap<String, Vec<(TargetKey, Load)>> {
        let mut elsewhere: BTreeMap<String, Vec<(TargetKey, Load)>> = BTreeMap::new();
        let targets = self.busy.iter().filter_map(|id| self.targets.get(id));
        for target in targets.filter(|t| t.spec.data_centre != data_centre) {
            let loads = elsewhere.entry(target.spec.data_centre.clone());
            loads.or_default().push((target.key, target.own));
        }
        elsewhere
    }

    /// Returns whether a request could be sent anywhere that it was not sent before.
    pub fn has_untried(&self, want: &Criteria<'_>) -> bool {
        self.targets.iter().any(|(id, t)| {
            t.spec.service == want.service && !t.is_closed && !want.tried.contains(id)
        })
    }

    /// Returns what a request that waits for a place can count on.
    pub fn availability(&self, want: &Criteria<'_>, now: Instant) -> Availability {
        let all = self.are_most_ejected(want.service, now);
        let has_near = self.has_near(want, all, now);
        let mut open = Vec::new();
        let mut slots = 0;
        for (_, target) in self.targets_of(want.service, all, now) {
            if has_near && is_remote(target, want) {
                continue;
            }
            let free = target.slots.saturating_sub(target.load().online);
            if free > 0 {
                open.push((target.key, free));
            }
            slots += target.slots;
        }
        let duration_s = self.durations_s.get(want.service);
        let duration_s = duration_s.filter(|duration_s| **duration_s > 0.0);
        Availability {
            free: open,
            releases_per_s: duration_s.map(|duration_s| f64::from(slots) / duration_s),
            has_local: has_near,
        }
    }

    /// Returns the usual time to a first event once a request has begun.
    pub fn typical_first_event_time(&self, service: &str) -> Duration {
        self.usual_pace(service).unwrap_or_default()
    }

    fn has_near(&self, want: &Criteria<'_>, with_ejected: bool, now: Instant) -> bool {
        let mut targets = self.targets_of(want.service, with_ejected, now);
        targets.any(|(_, t)| !is_remote(t, want))
    }
}
