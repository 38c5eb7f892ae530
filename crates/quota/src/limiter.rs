//! One host's part in all this: what it lends, what it holds, and what it asks.

mod queries;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::HOLDER_SLOTS;
use crate::HolderSlot;
use crate::HostKey;
use crate::WorkspaceKey;
use crate::grantor::Lender;
use crate::holder::Decision;
use crate::holder::Holder;
use crate::limit::BucketParams;
use crate::message::Action;
use crate::message::Message;
use crate::message::millis;

use self::queries::Open;

/// Time between two calls of a holder to lend it parts, in a fleet of up to
/// [`HOSTS_PER_CALL`] hosts. Each call costs a datagram to every host and one back, some
/// 30 bytes. With 300 ms and four calls in the time for which parts are lent, hosts that
/// all lost power refused limited workspaces for 1.9 s; that time is the least between
/// their start and the first request that is let in.
const CALL_GAP: Duration = Duration::from_millis(200);
/// Hosts up to which the time between two calls does not grow: a holder sends as many
/// datagrams a second however large the fleet is.
const HOSTS_PER_CALL: usize = 100;
/// Time after its start for which a host calls three times as often, and asks who has
/// its parts: when all hosts start together, limited workspaces wait for that.
const STARTING: Duration = Duration::from_secs(3);
/// Time between two times that a host asks who has its parts: many times the way between
/// data centres, a tenth of the time for which parts are lent.
const ASK_GAP: Duration = Duration::from_millis(60);
/// Calls of a host that has just started in the time of one later.
const CALLS_STARTING: u32 = 3;
/// Time after its start for which a host calls at each tick until it has most parts: each
/// of the others lends as soon as it knows that its part is free.
const GATHERING: Duration = Duration::from_secs(1);
/// Part of a slot that counts as most of it.
const GATHERED_MIN: f64 = 0.9;
/// Calls within the time for which a part is lent: two may be lost in a row.
const CALLS_VALID: u32 = 3;

/// One of the holders' places, as this host sees it.
#[derive(Debug)]
struct Slot {
    holder: Holder,
    lender: Lender,
    /// Holders that called, with how long each call counts.
    callers: HashMap<HostKey, Instant>,
}

/// The hosts of the fleet, as one host knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet<'a> {
    /// Other hosts that could hold a slot, as far as this one hears them.
    pub holder_candidates: &'a [HostKey],
    /// All hosts.
    pub members: &'a [HostKey],
    /// Those of them that have been silent for so long that they hold nothing any more.
    pub expired: &'a [HostKey],
    /// Whether no host can be missing from `members`.
    pub is_complete: bool,
}

/// One host.
#[derive(Debug)]
pub struct Limiter {
    own: HostKey,
    started: Instant,
    slots: [Slot; HOLDER_SLOTS],
    /// The hosts of the fleet, with this one, as its own list has them.
    hosts: u32,
    /// Whether that list is whole.
    is_list_whole: bool,
    /// The hosts of the fleet as the last holder that called had them.
    hosts_told: Option<u32>,
    /// The other hosts that could hold a slot.
    alive: Vec<HostKey>,
    /// What other hosts have said that they hold of this one's parts, since it started.
    held_at: HashMap<HostKey, u8>,
    /// Whether all hosts of the fleet have said so.
    is_known_where: bool,
    /// What stamps begin at: another number at each start, so that none of an earlier
    /// start is taken for one of this.
    first_stamp_ms: u64,
    called: Option<Instant>,
    asked_where: Option<Instant>,
    /// How long parts are lent, and the stamp of the first call that said so.
    valid: (Duration, u64),
    open: HashMap<u32, Open>,
    next_number: u32,
    /// Slots by which requests were let in, to give back.
    given: HashMap<u32, (usize, WorkspaceKey)>,
}

impl Limiter {
    /// Returns a host that has just started.
    /// `drawn` is another number at each start.
    pub fn new(own: HostKey, drawn: u32, now: Instant) -> Self {
        let slot = || Slot {
            holder: Holder::default(),
            lender: Lender::new(now),
            callers: HashMap::new(),
        };
        Self {
            own,
            started: now,
            slots: std::array::from_fn(|_| slot()),
            hosts: 1,
            is_list_whole: false,
            hosts_told: None,
            alive: Vec::new(),
            held_at: HashMap::new(),
            is_known_where: false,
            first_stamp_ms: drawn.into(),
            called: None,
            asked_where: None,
            valid: (Duration::ZERO, 0),
            open: HashMap::new(),
            next_number: 0,
            given: HashMap::new(),
        }
    }

    /// Puts other limits in force.
    pub fn set_limits(&mut self, terms: HashMap<WorkspaceKey, BucketParams>, now: Instant) {
        for slot in &mut self.slots {
            slot.holder.set_limits(terms.clone(), now);
        }
    }

    /// Lets all parts go that were lent to this host, before it leaves the list of hosts:
    /// one that starts anew asks those in the list who holds its part.
    pub fn release_leases(&mut self, now: Instant) {
        for slot in &mut self.slots {
            slot.holder.let_go(now);
        }
    }

    /// Returns when to come back where nobody could tell: a host that has just started
    /// lends its parts when those that it may have lent before are back.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let gap = call_gap(self.hosts);
        let lends_at = self.started + gap * (CALLS_VALID + 1);
        lends_at.saturating_duration_since(now).max(gap)
    }

    /// Returns whether any workspace is limited.
    pub fn has_limits(&self) -> bool {
        self.slots.iter().any(|slot| slot.holder.has_limits())
    }

    /// Returns a slot that this host holds without knowing what was let in before, if the
    /// allowance of its buckets has not been asked for; it counts as asked for then. The
    /// caller finds out whether [`is_allowance_due`](crate::is_allowance_due) lets it be taken.
    pub fn next_allowance_request(&mut self) -> Option<HolderSlot> {
        let whole = 1.0 / HOLDER_SLOTS as f64;
        let mut slots = self.slots.iter_mut().enumerate();
        let (number, slot) = slots.find(|(_, slot)| slot.holder.next_allowance_request(whole))?;
        slot.holder.ask_allowance();
        Some(number as HolderSlot)
    }

    /// Notes that the buckets of a slot begin without the allowance.
    pub fn deny_allowance(&mut self, slot: HolderSlot) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.deny_allowance();
        }
    }

    /// Lets the buckets of a slot begin with the allowance that was asked for at a moment.
    pub fn grant_allowance(&mut self, slot: HolderSlot, asked: Instant, now: Instant) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.grant_allowance(asked, now);
        }
    }

    /// Returns the share of each slot that this host holds.
    pub fn held_shares(&self) -> [f64; HOLDER_SLOTS] {
        std::array::from_fn(|slot| self.slots[slot].holder.share())
    }

    /// Calls for parts where this host should hold a slot. One that leaves calls for
    /// nothing any more and answers as long as it holds parts. Returns what is to be sent.
    pub fn tick(
        &mut self,
        fleet: &Fleet<'_>,
        is_staying: bool,
        now: Instant,
    ) -> Vec<(HostKey, Message)> {
        let listed = fleet.members.iter().copied();
        let others: Vec<HostKey> = listed.filter(|host| *host != self.own).collect();
        self.hosts = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        self.is_list_whole = fleet.is_complete;
        self.alive = fleet.holder_candidates.to_vec();
        let age = now.saturating_duration_since(self.started);
        let is_starting = age < STARTING;
        let mut told = Vec::new();
        if is_starting && fleet.is_complete && !self.is_known_where {
            let speaking = others.iter().copied();
            let speaking = speaking.filter(|host| !fleet.expired.contains(host));
            let speaking: Vec<HostKey> = speaking.collect();
            told = self.ask_where(&speaking, now);
        }
        let gap = call_gap(self.hosts);
        let pause = if age < GATHERING && !self.has_gathered() {
            Duration::ZERO
        } else if is_starting {
            gap / CALLS_STARTING
        } else {
            gap
        };
        if self.called.is_none_or(|called| now >= called + pause) {
            self.called = Some(now);
            told.extend(self.calls(&others, gap * CALLS_VALID, is_staying, now));
        }
        told
    }

    /// Returns whether this host has most parts of each slot that it should hold.
    fn has_gathered(&self) -> bool {
        let mine = (0..HOLDER_SLOTS).filter(|slot| self.best(*slot) == self.own);
        let mut shares = mine.map(|slot| self.slots[slot].holder.share());
        shares.all(|share| share >= GATHERED_MIN / HOLDER_SLOTS as f64)
    }

    /// Asks the hosts that have not said yet what they hold of this one's parts.
    fn ask_where(&mut self, others: &[HostKey], now: Instant) -> Vec<(HostKey, Message)> {
        let silent = others
            .iter()
            .filter(|host| !self.held_at.contains_key(host));
        let asked: Vec<_> = silent.map(|host| (*host, Message::AskHeld)).collect();
        self.is_known_where = asked.is_empty();
        if self.asked_where.is_some_and(|at| now < at + ASK_GAP) {
            return Vec::new();
        }
        self.asked_where = Some(now);
        asked
    }

    /// Returns whether nobody holds this host's part of a slot.
    fn is_free(&self, slot: usize) -> bool {
        self.is_known_where && self.held_at.values().all(|held| held & (1 << slot) == 0)
    }

    fn calls(
        &mut self,
        others: &[HostKey],
        valid: Duration,
        is_staying: bool,
        now: Instant,
    ) -> Vec<(HostKey, Message)> {
        let stamp_ms = self.stamp_ms(now);
        if self.valid.0 != valid {
            self.valid = (valid, stamp_ms);
        }
        let mut calls = Vec::new();
        let Some(hosts) = self.fleet() else {
            return calls;
        };
        for number in 0..HOLDER_SLOTS {
            self.slots[number].callers.retain(|_, until| now < *until);
            self.slots[number].holder.expire(now);
            if !is_staying || self.best(number) != self.own {
                continue;
            }
            self.lend_to_self(number, hosts, valid, now);
            for host in others {
                let message = Message::Call {
                    slot: number as HolderSlot,
                    stamp_ms,
                    valid_ms: millis(valid),
                    is_held: self.slots[number].holder.has(*host, now),
                    hosts,
                };
                calls.push((*host, message));
            }
        }
        calls
    }

    /// Returns which host should hold a slot: the same one in the eyes of all that hear
    /// one another.
    fn best(&self, slot: usize) -> HostKey {
        let callers = self.slots[slot].callers.keys();
        let all = self.alive.iter().chain(callers).chain([&self.own]);
        let best = all.max_by_key(|host| rank(slot, **host));
        *best.unwrap_or(&self.own)
    }

    fn lend_to_self(&mut self, number: usize, hosts: u32, valid: Duration, now: Instant) {
        let part = self.part(hosts);
        let (own, is_free) = (self.own, self.is_free(number));
        let slot = &mut self.slots[number];
        let is_held = slot.holder.has(own, now);
        if slot.lender.may_lend(own, is_held, is_free, valid, now) {
            slot.lender.lend(own, valid, now);
            slot.holder.lent(own, part, now + valid, now);
        }
    }

    /// Returns how many hosts the fleet has, if that is known. A host that started while
    /// it reached neither the list nor a holder may be one of many: by the few that it
    /// hears, its part would be far too large.
    fn fleet(&self) -> Option<u32> {
        let listed = self.is_list_whole.then_some(self.hosts);
        let told = self.hosts_told.map(|told| told.max(self.hosts));
        listed.max(told)
    }

    /// Returns the part of each slot that one of so many hosts lends.
    fn part(&self, hosts: u32) -> f64 {
        1.0 / (f64::from(hosts.max(1)) * HOLDER_SLOTS as f64)
    }

    fn stamp_ms(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.started);
        self.first_stamp_ms + u64::from(millis(since))
    }

    /// Takes in what another host tells.
    pub fn receive(&mut self, from: HostKey, message: &Message, now: Instant) -> Action {
        match *message {
            Message::Call {
                slot,
                stamp_ms,
                valid_ms,
                is_held,
                hosts,
            } => {
                self.hosts_told = Some(hosts);
                self.called(from, slot, stamp_ms, valid_ms, is_held, now)
            }
            Message::Lent {
                slot,
                stamp_ms,
                hosts,
            } => {
                self.lent(from, slot, stamp_ms, hosts, now);
                Action::None
            }
            Message::Ask {
                slot,
                number,
                workspace,
                patience_ms,
            } => {
                let patience = Duration::from_millis(patience_ms.into());
                self.asked(slot, number, workspace, patience, now)
            }
            Message::Given { number, after_ms } => {
                let delay = Duration::from_millis(after_ms.into());
                self.answered(number, Decision::Admitted { delay }, now)
            }
            Message::Refused {
                number,
                retry_after_ms,
            } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.answered(number, Decision::Refused { retry_after }, now)
            }
            Message::Unknown { number } => self.answered(number, Decision::Unknown, now),
            Message::AskHeld => Action::Reply(Message::Held {
                slots: self.held_of(from, now),
            }),
            Message::Held { slots } => {
                self.held_at.insert(from, slots);
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

    /// Returns which of a host's parts are held here, a bit for each slot.
    fn held_of(&self, host: HostKey, now: Instant) -> u8 {
        let held = (0..HOLDER_SLOTS).filter(|slot| self.slots[*slot].holder.has(host, now));
        held.fold(0, |bits, slot| bits | 1 << slot)
    }

    fn called(
        &mut self,
        from: HostKey,
        number: HolderSlot,
        stamp_ms: u64,
        valid_ms: u32,
        is_held: bool,
        now: Instant,
    ) -> Action {
        let place = usize::from(number);
        let Some(hosts) = self.fleet().filter(|_| place < HOLDER_SLOTS) else {
            return Action::None;
        };
        let valid = Duration::from_millis(valid_ms.into());
        self.slots[place].callers.insert(from, now + valid);
        // When many hosts start together, several call at first; parts that were lent to
        // all of them would come together only when their time is over.
        let is_best = self.best(place) == from;
        let is_free = self.is_free(place) && is_best;
        let slot = &mut self.slots[place];
        if !slot.lender.may_lend(from, is_held, is_free, valid, now) {
            return Action::None;
        }
        slot.lender.lend(from, valid, now);
        Action::Reply(Message::Lent {
            slot: number,
            stamp_ms,
            hosts,
        })
    }

    /// Counts a part from when this host called for it, however late the answer is.
    fn lent(&mut self, from: HostKey, slot: HolderSlot, stamp_ms: u64, hosts: u32, now: Instant) {
        let part = self.part(hosts);
        let (valid, since_ms) = self.valid;
        // Other stamps are of an earlier start of this host, or named another time.
        let is_known = (since_ms..=self.stamp_ms(now)).contains(&stamp_ms);
        if !is_known {
            return;
        }
        let spoken = Duration::from_millis(stamp_ms - self.first_stamp_ms);
        let until = self.started + spoken + valid;
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.holder.lent(from, part, until, now);
        }
    }
}

/// Returns the time between two calls in a fleet of so many hosts.
fn call_gap(hosts: u32) -> Duration {
    let hosts = hosts.max(HOSTS_PER_CALL as u32);
    CALL_GAP * hosts / HOSTS_PER_CALL as u32
}

/// Returns the rank of a host for a slot; the highest holds it.
fn rank(slot: usize, host: HostKey) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&host.to_le_bytes());
    bytes[4..].copy_from_slice(&(slot as u32).to_le_bytes());
    xxh3_64(&bytes)
}
