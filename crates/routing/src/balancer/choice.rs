//! Selects the target of a request and the item that is preempted for it.
//!
//! Targets are compared by additive costs. The differences between the costs express how the
//! criteria are weighed against each other; only the resulting order matters.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use super::Choice;
use super::Config;
use super::Criteria;
use super::HostId;
use super::Refusal;
use super::SlotSource;
use super::Target;
use super::TargetId;
use super::YIELD_TIMEOUT;
use crate::items::peer_queues::Ahead;

/// Cost of taking the last free slot, which another host may be taking at the same time.
const LAST_SLOT_COST: f64 = 1.0;

/// Cost of a target in another data centre: traffic between data centres, higher latency, and
/// delayed load updates. It exceeds the cost of the last free slot in the own data centre, whose
/// load is known sooner.
const REMOTE_COST: f64 = 1.6;

/// Free slots by which a target in another data centre must exceed a local one to be chosen for
/// an item: half of a target's slots.
const REMOTE_BATCH_COST: f64 = 4.0;

/// Maximum cost of a target that is unlikely to have the prompt prefix cached.
const AFFINITY_COST: f64 = 0.5;

/// Cost of a target that responds much more slowly than the others of its service.
const SLOW_COST: f64 = 5.0;

/// Cost of preempting an item; exceeds that of any free slot.
const PREEMPT_COST: f64 = 10.0;

/// Cost of waiting in a target's queue; exceeds that of any preemption.
const QUEUE_COST: f64 = 100.0;

/// Additional cost per online request already at the target.
const ONLINE_COST: f64 = 0.05;

/// Divisor of the number of targets that may be ejected at most. If more are, the cause is
/// probably not the targets, and ejection is ignored.
const EJECTED_DIVISOR: usize = 2;

/// Range of the random retry delay of rejected requests. Bursts last some seconds, and callers
/// that retry at the same time cause the next one.
const RETRY_AFTER_MS: Range<u64> = 300..1_200;

impl Balancer {
    /// Chooses the target of an online request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target is available.
    pub fn choose_online(
        &mut self,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Result<Choice, Refusal> {
        let typical = self.typical(criteria.service);
        let with_ejected = self.are_most_ejected(criteria.service, now);
        let best = self
            .best(criteria, now, with_ejected, |t| {
                online_cost(t, criteria, typical, self.cfg)
            })
            .or_else(|| {
                self.best(criteria, now, true, |t| {
                    online_cost(t, criteria, typical, self.cfg)
                })
            })
            .cloned();
        let Some(id) = best else {
            let retry_after = Duration::from_millis(self.rng.random_range(RETRY_AFTER_MS));
            let mut targets = self.targets.values();
            if targets.any(|t| criteria.allow(&t.spec) && !t.is_closed) {
                return Err(Refusal::Full { retry_after });
            }
            return Err(Refusal::NoTarget { retry_after });
        };
        Ok(self.choice_at(id))
    }

    /// Returns the choice of a known target.
    pub(super) fn choice_at(&self, id: TargetId) -> Choice {
        let target = &self.targets[&id];
        Choice {
            addr: target.spec.addr,
            version: target.spec.version.clone(),
            slot_source: self.slot_source(target),
            target: id,
        }
    }

    /// Chooses the target of an item: one with free slots beyond the reserve.
    pub fn choose_batch(&mut self, criteria: &Criteria<'_>, now: Instant) -> Option<TargetId> {
        let with_ejected = self.are_most_ejected(criteria.service, now);
        let targets = self.targets_of(criteria.service, with_ejected, now);
        let available = available_for_items(targets.map(|(_, t)| t), self.cfg.reserve, now);
        let open_since = self.update_open_since(criteria.service, available > 0, now)?;
        if available <= criteria.ahead.items && !is_unclaimed(open_since, criteria.ahead, now) {
            return None;
        }
        let typical = self.typical_first_event(criteria.service);
        let seed: u64 = self.rng.random();
        let best = self.best(criteria, now, with_ejected, |t| {
            let free = t.free_for_items(now);
            if free == 0 {
                return None;
            }
            let slow = if t.health.is_slow(typical) {
                SLOW_COST
            } else {
                0.0
            };
            let tie_break = unit(xxh3_64_with_seed(&t.key.to_le_bytes(), seed));
            let remote = if is_remote(t, criteria) {
                REMOTE_BATCH_COST
            } else {
                0.0
            };
            Some(slow - f64::from(free) + remote + tie_break)
        });
        best.cloned()
    }

    /// Records whether slots are available for items; returns since when they have been.
    fn update_open_since(&mut self, service: &str, is_open: bool, now: Instant) -> Option<Instant> {
        if !is_open {
            self.open_since.remove(service);
            return None;
        }
        if let Some(since) = self.open_since.get(service) {
            return Some(*since);
        }
        self.open_since.insert(service.to_owned(), now);
        Some(now)
    }

    /// Returns the targets at which this host should preempt an item: they have more requests
    /// than slots, and no other host has more items there.
    pub fn overcommitted(&self, host: &str) -> Vec<TargetId> {
        let active = self
            .active
            .iter()
            .filter_map(|id| self.targets.get_key_value(id));
        let with_items = active.filter(|(_, t)| t.own.batch > 0);
        let overcommitted = with_items.filter(|(_, t)| {
            t.load().total() > t.slots && self.peer_with_most_items(t, host).is_none()
        });
        overcommitted.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the peer with the most items at a target, if it has more than this host.
    fn peer_with_most_items(&self, target: &Target, host: &str) -> Option<&HostId> {
        let own = (target.own.batch, host);
        let peers = self.peers.iter().filter_map(|(id, peer)| {
            let load = peer.load(target.key)?;
            Some((load.batch, id))
        });
        let most = peers.max()?;
        let is_more = most.0 > 0 && (most.0, most.1.as_str()) > own;
        is_more.then_some(most.1)
    }

    fn slot_source(&self, target: &Target) -> SlotSource {
        if target.free() > 0 {
            return SlotSource::Free;
        }
        if target.own.batch > 0 {
            return SlotSource::PreemptOwn;
        }
        match self.peer_with_most_items(target, "") {
            Some(host) => SlotSource::PreemptPeer(host.clone()),
            None => SlotSource::Queue,
        }
    }

    pub(super) fn best(
        &self,
        criteria: &Criteria<'_>,
        now: Instant,
        with_ejected: bool,
        cost: impl Fn(&Target) -> Option<f64>,
    ) -> Option<&TargetId> {
        let targets = self.targets_of(criteria.service, with_ejected, now);
        let open =
            targets.filter(|(id, t)| criteria.allow(&t.spec) && !criteria.tried.contains(id));
        let costs = open.filter_map(|(id, t)| Some((cost(t)?, id)));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        least.map(|(_, id)| id)
    }

    /// Returns a service's targets that receive new requests, including ejected ones only if
    /// `with_ejected`.
    pub(super) fn targets_of(
        &self,
        service: &str,
        with_ejected: bool,
        now: Instant,
    ) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.targets.iter().filter(move |(_, t)| {
            t.spec.service == service && !t.is_closed && (with_ejected || !t.is_ejected(now))
        })
    }

    /// Returns whether so many targets of a service are ejected that the cause is probably not
    /// the targets.
    pub(super) fn are_most_ejected(&self, service: &str, now: Instant) -> bool {
        let (mut all, mut ejected) = (0, 0);
        for (_, target) in self.targets_of(service, true, now) {
            all += 1;
            ejected += usize::from(target.is_ejected(now));
        }
        ejected * EJECTED_DIVISOR > all
    }

    /// Returns the typical response times of a service's targets.
    pub(super) fn typical(&self, service: &str) -> Typical {
        Typical {
            first_event: self.typical_first_event(service),
            duration_s: self.durations_s.get(service).copied(),
        }
    }

    /// Returns the median time to the first event of a service's targets.
    pub(super) fn typical_first_event(&self, service: &str) -> Option<Duration> {
        let of_service = self.targets.values().filter(|t| t.spec.service == service);
        let mut times: Vec<Duration> = of_service
            .filter_map(|t| t.health.first_event_time())
            .collect();
        let middle = times.len() / 2;
        let (_, median, _) = (!times.is_empty()).then(|| times.select_nth_unstable(middle))?;
        Some(*median)
    }
}

/// Returns whether the hosts with earlier items have not used the free slots: these have been
/// available for some time, and none of those hosts has started an item since.
fn is_unclaimed(open_since: Instant, ahead: Ahead, now: Instant) -> bool {
    let since = ahead
        .last_start_at
        .map_or(open_since, |at| at.max(open_since));
    now.saturating_duration_since(since) >= YIELD_TIMEOUT
}

/// Returns the number of slots of a service's targets that items may take.
///
/// The reserve is shared by all targets and follows the online load: it is the standard
/// deviation of the number of running requests, which is its square root if requests arrive
/// independently. A fixed reserve of one slot per target left an eighth of all slots idle while
/// items were late. Bursts exceed the reserve; items are preempted for them.
fn available_for_items<'a>(
    targets: impl Iterator<Item = &'a Target>,
    reserve: u32,
    now: Instant,
) -> u32 {
    let (mut free, mut online, mut count) = (0, 0, 0);
    for target in targets {
        free += target.free_for_items(now);
        online += target.load().online;
        count += 1;
    }
    let deviation = f64::from(online).sqrt().ceil() as u32;
    free.saturating_sub(deviation.clamp(reserve, reserve * count.max(1)))
}

/// Typical response times of a service's targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Typical {
    /// Time to the first event.
    first_event: Option<Duration>,
    /// Duration of an online request, in seconds.
    duration_s: Option<f64>,
}

impl Typical {
    /// Returns whether a request queued at a target is likely to miss its objective. If it is
    /// rejected immediately, the caller may be served in time on a retry, and the requests queued
    /// before it are served in time.
    fn would_miss_objective(self, target: &Target, objective: Option<Duration>) -> bool {
        let (Some(objective), Some(duration_s)) = (objective, self.duration_s) else {
            return false;
        };
        let slots = target.slots;
        let position = (target.load().online + 1).saturating_sub(slots);
        let wait_s = f64::from(position) * duration_s / f64::from(slots.max(1));
        let first_event = self.first_event.unwrap_or_default();
        position > 0 && wait_s > objective.saturating_sub(first_event).as_secs_f64()
    }
}

pub(super) fn online_cost(
    target: &Target,
    criteria: &Criteria<'_>,
    typical: Typical,
    cfg: Config,
) -> Option<f64> {
    let load = target.load();
    let slots = target.slots;
    let queue_per_slot = if target.is_limited() {
        0
    } else {
        cfg.queue_per_slot
    };
    if load.online >= slots * (1 + queue_per_slot) {
        return None;
    }
    if typical.would_miss_objective(target, criteria.objective) {
        return None;
    }
    let key = target.key.to_le_bytes();
    let distance = unit(xxh3_64_with_seed(&key, criteria.affinity));
    let mut cost = distance * AFFINITY_COST;
    if is_remote(target, criteria) {
        cost += REMOTE_COST;
    }
    cost += f64::from(load.online) * ONLINE_COST;
    if target.health.is_slow(typical.first_event) {
        cost += SLOW_COST;
    }
    cost += match target.free() {
        0 if load.online < slots => PREEMPT_COST,
        0 => QUEUE_COST * f64::from(load.total() + 1 - slots),
        1 => LAST_SLOT_COST,
        _ => 0.0,
    };
    Some(cost)
}

pub(super) fn is_remote(target: &Target, criteria: &Criteria<'_>) -> bool {
    target.spec.data_centre != criteria.data_centre
}

/// Maps a hash to a fraction between zero and one.
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
