//! Rate limiter of one host: the leases it grants, the holder slots it holds, and its queries.
//!
//! It reads no clock and performs no I/O: times and messages are passed in, and the messages
//! to send are returned.

mod queries;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::HOLDER_SLOTS;
use crate::HolderSlot;
use crate::HostKey;
use crate::WorkspaceKey;
use crate::grantor::Grantor;
use crate::holder::Decision;
use crate::holder::Holder;
use crate::message::Action;
use crate::message::Message;
use crate::message::millis;
use crate::params::BucketParams;

use self::queries::PendingQuery;

/// Interval at which a holder requests leases, in a fleet of up to [`HOSTS_PER_INTERVAL`]
/// hosts. Each request costs one datagram of about 30 bytes to every host and one back. With
/// 300 ms and four requests per lease, a fleet that lost power refused requests of limited
/// workspaces for 1.9 s after its restart; the lease duration is the minimum for that time.
const LEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of hosts up to which the interval is constant. Above it the interval grows with the
/// fleet, so that a holder's datagram rate does not.
const HOSTS_PER_INTERVAL: usize = 100;
/// Time after its start during which a host requests leases three times as often and asks
/// which hosts hold its shares: when all hosts start together, limited workspaces wait for
/// this.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Interval at which a host asks which hosts hold its shares: many times the message delay
/// between data centres, a tenth of the lease duration.
const HELD_QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Factor by which a host that has just started requests leases more often.
const STARTUP_INTERVAL_DIVISOR: u32 = 3;
/// Time after its start during which a host requests leases at every tick until it holds most
/// shares: each host grants its lease as soon as it knows that its share is not leased.
const GATHER_TIME: Duration = Duration::from_secs(1);
/// Fraction of a holder slot's shares that counts as most of them.
const GATHERED_FRACTION: f64 = 0.9;
/// Requests per lease duration; tolerates the loss of two in a row.
const REQUESTS_PER_LEASE: u32 = 3;

/// A holder slot as seen by this host.
#[derive(Debug)]
struct Slot {
    holder: Holder,
    grantor: Grantor,
    /// Hosts that requested leases as the holder, and the expiry of each request.
    requesters: HashMap<HostKey, Instant>,
}

/// The hosts of the fleet as known to one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet<'a> {
    /// Other hosts that are reachable and could hold a slot.
    pub holder_candidates: &'a [HostKey],
    /// All hosts.
    pub members: &'a [HostKey],
    /// Members that have been silent for so long that their leases have expired.
    pub expired: &'a [HostKey],
    /// Whether `members` is certain to contain all hosts.
    pub is_complete: bool,
}

/// Rate limiter of one host.
#[derive(Debug)]
pub struct Limiter {
    own: HostKey,
    started: Instant,
    slots: [Slot; HOLDER_SLOTS],
    /// Number of hosts in this host's own list, itself included.
    hosts: u32,
    /// Whether that list is complete.
    is_list_complete: bool,
    /// Number of hosts reported by the last holder that requested a lease.
    reported_hosts: Option<u32>,
    /// Other hosts that could hold a slot.
    holder_candidates: Vec<HostKey>,
    /// Leases of this host's shares reported by other hosts since its start, as slot bits.
    held_by: HashMap<HostKey, u8>,
    /// Whether all hosts of the fleet have reported.
    is_held_known: bool,
    /// Base of timestamps, random at each start so that none from before a restart is
    /// mistaken for a current one.
    stamp_base_ms: u64,
    requested_at: Option<Instant>,
    held_asked_at: Option<Instant>,
    /// Lease duration, and the timestamp of the first request that stated it.
    lease_duration: (Duration, u64),
    pending: HashMap<u32, PendingQuery>,
    next_number: u32,
    /// Slots that admitted a request, for refunds.
    admitted: HashMap<u32, (usize, WorkspaceKey)>,
}

impl Limiter {
    /// Returns the limiter of a host that has just started. `stamp_base` must be random for
    /// each start.
    pub fn new(own: HostKey, stamp_base: u32, now: Instant) -> Self {
        let slot = || Slot {
            holder: Holder::default(),
            grantor: Grantor::new(now),
            requesters: HashMap::new(),
        };
        Self {
            own,
            started: now,
            slots: std::array::from_fn(|_| slot()),
            hosts: 1,
            is_list_complete: false,
            reported_hosts: None,
            holder_candidates: Vec::new(),
            held_by: HashMap::new(),
            is_held_known: false,
            stamp_base_ms: stamp_base.into(),
            requested_at: None,
            held_asked_at: None,
            lease_duration: (Duration::ZERO, stamp_base.into()),
            pending: HashMap::new(),
            next_number: 0,
            admitted: HashMap::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: HashMap<WorkspaceKey, BucketParams>, now: Instant) {
        for slot in &mut self.slots {
            slot.holder.set_limits(limits.clone(), now);
        }
    }

    /// Releases all leases held by this host before it leaves the host list: a host that
    /// restarts only asks the listed hosts which of them hold its share.
    pub fn release_leases(&mut self, now: Instant) {
        for slot in &mut self.slots {
            slot.holder.release_all(now);
        }
    }

    /// Returns the retry time for a request that no holder could decide: a host that has just
    /// started grants leases once any granted before its start have expired.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let interval = lease_request_interval(self.hosts);
        let grants_at = self.started + interval * (REQUESTS_PER_LEASE + 1);
        grants_at.saturating_duration_since(now).max(interval)
    }

    /// Returns whether any workspace is limited.
    pub fn has_limits(&self) -> bool {
        self.slots.iter().any(|slot| slot.holder.has_limits())
    }

    /// Returns a slot that this host holds without knowing what was admitted before, if the
    /// allowance of its buckets has not been requested yet, and marks it as requested. The
    /// caller determines with [`is_allowance_due`](crate::is_allowance_due) whether it may be
    /// granted.
    pub fn next_allowance_request(&mut self) -> Option<HolderSlot> {
        let slot_share = 1.0 / HOLDER_SLOTS as f64;
        let mut slots = self.slots.iter_mut().enumerate();
        let (index, slot) =
            slots.find(|(_, slot)| slot.holder.should_request_allowance(slot_share))?;
        slot.holder.mark_allowance_requested();
        Some(index as HolderSlot)
    }

    /// Records that the buckets of a slot start without the allowance.
    pub fn deny_allowance(&mut self, slot: HolderSlot) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.deny_allowance();
        }
    }

    /// Grants the allowance, requested at `requested_at`, to the buckets of a slot.
    pub fn grant_allowance(&mut self, slot: HolderSlot, requested_at: Instant, now: Instant) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.grant_allowance(requested_at, now);
        }
    }

    /// Returns the share of each slot that this host holds.
    pub fn held_shares(&self) -> [f64; HOLDER_SLOTS] {
        std::array::from_fn(|slot| self.slots[slot].holder.total_share())
    }

    /// Requests leases for the slots that this host should hold; returns the messages to
    /// send. A host that is leaving requests no leases and decides queries for as long as it
    /// holds any.
    pub fn tick(
        &mut self,
        fleet: &Fleet<'_>,
        may_hold: bool,
        now: Instant,
    ) -> Vec<(HostKey, Message)> {
        let members = fleet.members.iter().copied();
        let others: Vec<HostKey> = members.filter(|host| *host != self.own).collect();
        self.hosts = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        self.is_list_complete = fleet.is_complete;
        self.holder_candidates = fleet.holder_candidates.to_vec();
        let age = now.saturating_duration_since(self.started);
        let is_starting = age < STARTUP_TIME;
        let mut messages = Vec::new();
        if is_starting && fleet.is_complete && !self.is_held_known {
            let reachable = others.iter().copied();
            let reachable = reachable.filter(|host| !fleet.expired.contains(host));
            let reachable: Vec<HostKey> = reachable.collect();
            messages = self.ask_held(&reachable, now);
        }
        let interval = lease_request_interval(self.hosts);
        let wait = if age < GATHER_TIME && !self.has_gathered() {
            Duration::ZERO
        } else if is_starting {
            interval / STARTUP_INTERVAL_DIVISOR
        } else {
            interval
        };
        if self
            .requested_at
            .is_none_or(|requested_at| now >= requested_at + wait)
        {
            self.requested_at = Some(now);
            messages.extend(self.lease_requests(
                &others,
                interval * REQUESTS_PER_LEASE,
                may_hold,
                now,
            ));
        }
        messages
    }

    /// Returns whether this host holds most of each slot that it should hold.
    fn has_gathered(&self) -> bool {
        let own_slots = (0..HOLDER_SLOTS).filter(|slot| self.preferred_holder(*slot) == self.own);
        let mut shares = own_slots.map(|slot| self.slots[slot].holder.total_share());
        shares.all(|share| share >= GATHERED_FRACTION / HOLDER_SLOTS as f64)
    }

    /// Asks the hosts that have not reported yet which of this host's shares they hold.
    fn ask_held(&mut self, others: &[HostKey], now: Instant) -> Vec<(HostKey, Message)> {
        let unreported = others
            .iter()
            .filter(|host| !self.held_by.contains_key(host));
        let queries: Vec<_> = unreported.map(|host| (*host, Message::AskHeld)).collect();
        self.is_held_known = queries.is_empty();
        if self
            .held_asked_at
            .is_some_and(|at| now < at + HELD_QUERY_INTERVAL)
        {
            return Vec::new();
        }
        self.held_asked_at = Some(now);
        queries
    }

    /// Returns whether no host holds this host's share of a slot.
    fn is_unleased(&self, slot: usize) -> bool {
        self.is_held_known && self.held_by.values().all(|held| held & (1 << slot) == 0)
    }

    fn lease_requests(
        &mut self,
        others: &[HostKey],
        duration: Duration,
        may_hold: bool,
        now: Instant,
    ) -> Vec<(HostKey, Message)> {
        let stamp_ms = self.stamp_ms(now);
        if self.lease_duration.0 != duration {
            self.lease_duration = (duration, stamp_ms);
        }
        let mut requests = Vec::new();
        let Some(hosts) = self.fleet_size() else {
            return requests;
        };
        for index in 0..HOLDER_SLOTS {
            self.slots[index]
                .requesters
                .retain(|_, expires_at| now < *expires_at);
            self.slots[index].holder.remove_expired(now);
            if !may_hold || self.preferred_holder(index) != self.own {
                continue;
            }
            self.lease_to_self(index, hosts, duration, now);
            for host in others {
                let message = Message::Call {
                    slot: index as HolderSlot,
                    stamp_ms,
                    valid_ms: millis(duration),
                    is_held: self.slots[index].holder.has_lease(*host, now),
                    hosts,
                };
                requests.push((*host, message));
            }
        }
        requests
    }

    /// Returns the host that should hold a slot; all hosts that reach one another select the
    /// same one.
    fn preferred_holder(&self, slot: usize) -> HostKey {
        let requesters = self.slots[slot].requesters.keys();
        let candidates = self
            .holder_candidates
            .iter()
            .chain(requesters)
            .chain([&self.own]);
        let preferred = candidates.max_by_key(|host| rank(slot, **host));
        *preferred.unwrap_or(&self.own)
    }

    fn lease_to_self(&mut self, slot_index: usize, hosts: u32, duration: Duration, now: Instant) {
        let share = self.share(hosts);
        let (own, is_unleased) = (self.own, self.is_unleased(slot_index));
        let slot = &mut self.slots[slot_index];
        let is_held = slot.holder.has_lease(own, now);
        if slot
            .grantor
            .may_grant(own, is_held, is_unleased, duration, now)
        {
            slot.grantor.grant(own, duration, now);
            slot.holder.add_lease(own, share, now + duration, now);
        }
    }

    /// Returns the number of hosts in the fleet, if known. A host that started without
    /// reaching the host list or a holder may be one of many: computed from the few hosts it
    /// reaches, its share would be far too large.
    fn fleet_size(&self) -> Option<u32> {
        let listed = self.is_list_complete.then_some(self.hosts);
        let reported = self.reported_hosts.map(|reported| reported.max(self.hosts));
        listed.max(reported)
    }

    /// Returns one host's share of a slot in a fleet of the given size.
    fn share(&self, hosts: u32) -> f64 {
        1.0 / (f64::from(hosts.max(1)) * HOLDER_SLOTS as f64)
    }

    fn stamp_ms(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.started);
        self.stamp_base_ms + u64::from(millis(since))
    }

    /// Handles a message from another host.
    pub fn receive(&mut self, from: HostKey, message: &Message, now: Instant) -> Action {
        match *message {
            Message::Call {
                slot,
                stamp_ms,
                valid_ms,
                is_held,
                hosts,
            } => {
                self.reported_hosts = Some(hosts);
                self.receive_lease_request(from, slot, stamp_ms, valid_ms, is_held, now)
            }
            Message::Lent {
                slot,
                stamp_ms,
                hosts,
            } => {
                self.receive_lease(from, slot, stamp_ms, hosts, now);
                Action::None
            }
            Message::Ask {
                slot,
                number,
                workspace,
                patience_ms,
            } => {
                let max_delay = Duration::from_millis(patience_ms.into());
                self.decide(slot, number, workspace, max_delay, now)
            }
            Message::Given { number, after_ms } => {
                let delay = Duration::from_millis(after_ms.into());
                self.receive_decision(number, Decision::Admitted { delay }, now)
            }
            Message::Refused {
                number,
                retry_after_ms,
            } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.receive_decision(number, Decision::Refused { retry_after }, now)
            }
            Message::Unknown { number } => self.receive_decision(number, Decision::Unknown, now),
            Message::AskHeld => Action::Reply(Message::Held {
                slots: self.held_slots(from, now),
            }),
            Message::Held { slots } => {
                self.held_by.insert(from, slots);
                Action::None
            }
            Message::GivenBack { slot, workspace } => {
                if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
                    slot.holder.refund(workspace, now);
                }
                Action::None
            }
        }
    }

    /// Returns which of a host's shares are leased to this host, as slot bits.
    fn held_slots(&self, host: HostKey, now: Instant) -> u8 {
        let held = (0..HOLDER_SLOTS).filter(|slot| self.slots[*slot].holder.has_lease(host, now));
        held.fold(0, |bits, slot| bits | 1 << slot)
    }

    fn receive_lease_request(
        &mut self,
        from: HostKey,
        holder_slot: HolderSlot,
        stamp_ms: u64,
        valid_ms: u32,
        is_held: bool,
        now: Instant,
    ) -> Action {
        let index = usize::from(holder_slot);
        let Some(hosts) = self.fleet_size().filter(|_| index < HOLDER_SLOTS) else {
            return Action::None;
        };
        let duration = Duration::from_millis(valid_ms.into());
        self.slots[index].requesters.insert(from, now + duration);
        // When many hosts start together, several request leases at first. Shares leased to
        // different holders could only be combined after those leases have expired.
        let is_preferred = self.preferred_holder(index) == from;
        let is_unleased = self.is_unleased(index) && is_preferred;
        let slot = &mut self.slots[index];
        if !slot
            .grantor
            .may_grant(from, is_held, is_unleased, duration, now)
        {
            return Action::None;
        }
        slot.grantor.grant(from, duration, now);
        Action::Reply(Message::Lent {
            slot: holder_slot,
            stamp_ms,
            hosts,
        })
    }

    /// Adds a lease. It counts from the time of this host's request, however late the reply
    /// arrives.
    fn receive_lease(
        &mut self,
        from: HostKey,
        slot: HolderSlot,
        stamp_ms: u64,
        hosts: u32,
        now: Instant,
    ) {
        let share = self.share(hosts);
        let (duration, valid_from_ms) = self.lease_duration;
        // Other timestamps are from before a restart or stated another lease duration.
        let is_current = (valid_from_ms..=self.stamp_ms(now)).contains(&stamp_ms);
        if !is_current {
            return;
        }
        let requested_after = Duration::from_millis(stamp_ms - self.stamp_base_ms);
        let expires_at = self.started + requested_after + duration;
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.add_lease(from, share, expires_at, now);
        }
    }
}

/// Returns the interval of lease requests in a fleet of the given size.
fn lease_request_interval(hosts: u32) -> Duration {
    let hosts = hosts.max(HOSTS_PER_INTERVAL as u32);
    LEASE_REQUEST_INTERVAL * hosts / HOSTS_PER_INTERVAL as u32
}

/// Returns the rank of a host for a slot; the host ranked highest holds it.
fn rank(slot: usize, host: HostKey) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&host.to_le_bytes());
    bytes[4..].copy_from_slice(&(slot as u32).to_le_bytes());
    xxh3_64(&bytes)
}
