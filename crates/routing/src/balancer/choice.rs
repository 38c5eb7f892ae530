//! Which target gets a request, and which item gives way.
//!
//! Targets are compared by costs whose differences say what one thing is worth
//! against another; only their order counts.

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
use super::TURN;
use super::Target;
use super::TargetId;
use crate::items::peer_queues::Ahead;

/// Cost of taking the last free place: another host may take it just now.
const LAST_PLACE_COST: f64 = 1.0;

/// Cost of a target in another data centre: bytes between data centres, a
/// longer way, and news of its places that comes later. It exceeds the cost of
/// a last place near by, which this host knows of at once.
const REMOTE_COST: f64 = 1.6;

/// Free places by which a target in another data centre must exceed one near
/// by to be given an item: half a target's places.
const REMOTE_BATCH_COST: f64 = 4.0;

/// Greatest cost of a target that is unlikely to have the prompt's beginning.
const AFFINITY_COST: f64 = 0.5;

/// Cost of a target that answers much slower than the others of its service.
const SLOW_COST: f64 = 5.0;

/// Cost of cutting an item, above any free place.
const CUT_COST: f64 = 10.0;

/// Cost of waiting in a target's queue, above any item to cut.
const QUEUE_COST: f64 = 100.0;

/// Cost of each online request that the target has already, beside the above.
const ONLINE_COST: f64 = 0.05;

/// Ejection counts as long as one in so many targets is ejected at most: what
/// happens to more is not for each of them to answer for.
const EJECTED_PART_MAX: usize = 2;

/// When to come back if no target takes the request: bursts last some seconds,
/// and callers that come back together are the next one, so the time is drawn.
const RETRY_AFTER_MS: Range<u64> = 300..1_200;

impl Balancer {
    /// Chooses the target of an online request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no target is to be asked.
    pub fn choose_online(&mut self, want: &Criteria<'_>, now: Instant) -> Result<Choice, Refusal> {
        let usual = self.usual(want.service);
        let all = self.are_most_ejected(want.service, now);
        let best = self
            .best(want, now, all, |t| online_cost(t, want, usual, self.cfg))
            .or_else(|| self.best(want, now, true, |t| online_cost(t, want, usual, self.cfg)))
            .cloned();
        let Some(id) = best else {
            let retry_after = Duration::from_millis(self.rng.random_range(RETRY_AFTER_MS));
            let mut targets = self.targets.values();
            if targets.any(|t| t.spec.service == want.service && !t.is_closed) {
                return Err(Refusal::Full { retry_after });
            }
            return Err(Refusal::NoTarget { retry_after });
        };
        Ok(self.choice_at(id))
    }

    /// Returns the choice of a target that is known.
    pub(super) fn choice_at(&self, id: TargetId) -> Choice {
        let target = &self.targets[&id];
        Choice {
            addr: target.spec.addr,
            slot_source: self.room(target),
            target: id,
        }
    }

    /// Chooses the target of an item: one with places beyond the reserve.
    pub fn choose_batch(&mut self, want: &Criteria<'_>, now: Instant) -> Option<TargetId> {
        let all = self.are_most_ejected(want.service, now);
        let targets = self.targets_of(want.service, all, now);
        let spare = spare(targets.map(|(_, t)| t), self.cfg.reserve, now);
        let open_since = self.note_open(want.service, spare > 0, now)?;
        if spare <= want.ahead.items && !is_left_over(open_since, want.ahead, now) {
            return None;
        }
        let pace = self.usual_pace(want.service);
        let draw: u64 = self.rng.random();
        let best = self.best(want, now, all, |t| {
            let spare = t.open(now);
            if spare == 0 {
                return None;
            }
            let slow = if t.health.is_slow(pace) {
                SLOW_COST
            } else {
                0.0
            };
            let chance = unit(xxh3_64_with_seed(&t.key.to_le_bytes(), draw));
            let far = if is_remote(t, want) {
                REMOTE_BATCH_COST
            } else {
                0.0
            };
            Some(slow - f64::from(spare) + far + chance)
        });
        best.cloned()
    }

    /// Notes whether items find places; returns since when they do.
    fn note_open(&mut self, service: &str, is_open: bool, now: Instant) -> Option<Instant> {
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

    /// Returns the targets at which this host should cut an item: there are
    /// more requests than places, and no host has more items there.
    pub fn overcommitted(&self, host: &str) -> Vec<TargetId> {
        let busy = self
            .busy
            .iter()
            .filter_map(|id| self.targets.get_key_value(id));
        let mine = busy.filter(|(_, t)| t.own.batch > 0);
        let over =
            mine.filter(|(_, t)| t.load().total() > t.slots && self.most_items(t, host).is_none());
        over.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the peer that has more items at a target than this host, if any.
    fn most_items(&self, target: &Target, host: &str) -> Option<&HostId> {
        let own = (target.own.batch, host);
        let peers = self.peers.iter().filter_map(|(id, peer)| {
            let load = peer.load(target.key)?;
            Some((load.batch, id))
        });
        let most = peers.max()?;
        let is_more = most.0 > 0 && (most.0, most.1.as_str()) > own;
        is_more.then_some(most.1)
    }

    fn room(&self, target: &Target) -> SlotSource {
        if target.free() > 0 {
            return SlotSource::Free;
        }
        if target.own.batch > 0 {
            return SlotSource::PreemptOwn;
        }
        match self.most_items(target, "") {
            Some(host) => SlotSource::PreemptPeer(host.clone()),
            None => SlotSource::Queue,
        }
    }

    pub(super) fn best(
        &self,
        want: &Criteria<'_>,
        now: Instant,
        with_ejected: bool,
        cost: impl Fn(&Target) -> Option<f64>,
    ) -> Option<&TargetId> {
        let targets = self.targets_of(want.service, with_ejected, now);
        let open = targets.filter(|(id, _)| !want.tried.contains(id));
        let costs = open.filter_map(|(id, t)| Some((cost(t)?, id)));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        least.map(|(_, id)| id)
    }

    /// Returns a service's targets that get something new, without those that
    /// are left alone unless these are to be asked too.
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

    /// Returns whether so many targets of a service are left alone that the
    /// fault is more likely not theirs.
    pub(super) fn are_most_ejected(&self, service: &str, now: Instant) -> bool {
        let (mut all, mut ejected) = (0, 0);
        for (_, target) in self.targets_of(service, true, now) {
            all += 1;
            ejected += usize::from(target.is_ejected(now));
        }
        ejected * EJECTED_PART_MAX > all
    }

    /// Returns what is usual at a service's targets.
    pub(super) fn usual(&self, service: &str) -> Typical {
        Typical {
            pace: self.usual_pace(service),
            duration_s: self.durations_s.get(service).copied(),
        }
    }

    /// Returns the usual time to a first event at a service's targets.
    pub(super) fn usual_pace(&self, service: &str) -> Option<Duration> {
        let of_service = self.targets.values().filter(|t| t.spec.service == service);
        let mut paces: Vec<Duration> = of_service.filter_map(|t| t.health.pace()).collect();
        let middle = paces.len() / 2;
        let (_, median, _) = (!paces.is_empty()).then(|| paces.select_nth_unstable(middle))?;
        Some(*median)
    }
}

/// Returns whether those whose turn it was have not taken the places: these have
/// been open for some time, and none of those has started an item.
fn is_left_over(open_since: Instant, ahead: Ahead, now: Instant) -> bool {
    let since = ahead
        .last_start_at
        .map_or(open_since, |at| at.max(open_since));
    now.saturating_duration_since(since) >= TURN
}

/// Returns how many places of a service's targets items may take.
///
/// What stays free is shared by all of them and follows the online load: as
/// many places as the number of requests that run varies by from moment to
/// moment, its square root where they come independently. One of each target,
/// whatever the load, left an eighth of all places idle while items were late.
/// Steps of the load are larger; for these items are cut.
fn spare<'a>(targets: impl Iterator<Item = &'a Target>, reserve: u32, now: Instant) -> u32 {
    let (mut open, mut online, mut count) = (0, 0, 0);
    for target in targets {
        open += target.open(now);
        online += target.load().online;
        count += 1;
    }
    let varies_by = f64::from(online).sqrt().ceil() as u32;
    open.saturating_sub(varies_by.clamp(reserve, reserve * count.max(1)))
}

/// What is usual at the targets of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Typical {
    /// Time to a first event.
    pace: Option<Duration>,
    /// Time of a whole online request, in seconds.
    duration_s: Option<f64>,
}

impl Typical {
    /// Returns whether a request that waits behind others at a target is
    /// likely to have its first event too late. Refused at once, its caller
    /// may be served in time later, and those before it are.
    fn is_too_late(self, target: &Target, objective: Option<Duration>) -> bool {
        let (Some(objective), Some(duration_s)) = (objective, self.duration_s) else {
            return false;
        };
        let slots = target.slots;
        let behind = (target.load().online + 1).saturating_sub(slots);
        let wait_s = f64::from(behind) * duration_s / f64::from(slots.max(1));
        let pace = self.pace.unwrap_or_default();
        behind > 0 && wait_s > objective.saturating_sub(pace).as_secs_f64()
    }
}

pub(super) fn online_cost(
    target: &Target,
    want: &Criteria<'_>,
    usual: Typical,
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
    if usual.is_too_late(target, want.objective) {
        return None;
    }
    let spread = target.key.to_le_bytes();
    let likely = unit(xxh3_64_with_seed(&spread, want.affinity));
    let mut cost = likely * AFFINITY_COST;
    if is_remote(target, want) {
        cost += REMOTE_COST;
    }
    cost += f64::from(load.online) * ONLINE_COST;
    if target.health.is_slow(usual.pace) {
        cost += SLOW_COST;
    }
    cost += match target.free() {
        0 if load.online < slots => CUT_COST,
        0 => QUEUE_COST * f64::from(load.total() + 1 - slots),
        1 => LAST_PLACE_COST,
        _ => 0.0,
    };
    Some(cost)
}

pub(super) fn is_remote(target: &Target, want: &Criteria<'_>) -> bool {
    target.spec.data_centre != want.data_centre
}

/// Returns a hash as a fraction from zero to one.
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
