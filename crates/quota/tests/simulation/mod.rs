//! Simulates a fleet in virtual time: hosts that tick, are partitioned, paused, killed and
//! restarted, and callers that send them requests. One of three strategies decides on each
//! host.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "Each binary uses a part of it, and fails by panicking."
)]

pub mod demand_shares;
pub mod gossiped_counts;
mod local_bucket;
pub mod scenarios;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::access::RateLimit;
use notchwharf_quota::Action;
use notchwharf_quota::Bounds;
use notchwharf_quota::BucketParams;
use notchwharf_quota::Decision;
use notchwharf_quota::HOLDER_SLOTS;
use notchwharf_quota::HolderSlot;
use notchwharf_quota::HostKey;
use notchwharf_quota::Limiter;
use notchwharf_quota::Message;
use notchwharf_quota::Query;
use notchwharf_quota::WorkspaceKey;
use notchwharf_quota::is_allowance_due;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use self::demand_shares::DemandShares;
use self::gossiped_counts::GossipedCounts;

/// Interval of ticks, as in the gateway.
const TICK_US: u64 = 100_000;
/// Time after which a query without a reply is sent to the other holder.
const QUERY_RETRY_US: u64 = 20_000;
/// Time after which a query is cancelled.
const QUERY_TIMEOUT_US: u64 = 400_000;
/// Time without a message after which a host is considered down.
const DOWN_AFTER_US: u64 = 1_200_000;
/// Message delay between two hosts.
const MESSAGE_DELAY_US: std::ops::Range<u64> = 200..2_500;
/// The only workspace.
const WORKSPACE: WorkspaceKey = 7;
/// Duration of a store call.
const STORE_CALL_US: std::ops::Range<u64> = 4_000..12_000;
/// Maximum error of a host's wall clock, in either direction.
const CLOCK_ERROR_MAX_US: u64 = 1_000_000;
/// Wall-clock time at the start of a simulation.
const START_UNIX_US: u64 = 10_000_000_000;
/// Longest delay of a request: half of the users' objective.
const MAX_DELAY: Duration = Duration::from_millis(150);

pub const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

/// Strategy for sharing a limit among hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Gossiped counts of admitted requests.
    GossipedCounts,
    /// Shares that follow demand.
    DemandShares,
    /// Shares leased to holders.
    LeasedShares,
}

/// State of a strategy on one host.
pub enum Decider {
    GossipedCounts(GossipedCounts),
    DemandShares(DemandShares),
    LeasedShares(Box<Limiter>),
}

/// Message between hosts, for any strategy.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    Total(u64),
    Demand(f64),
    Limiter(Message),
}

impl PeerMessage {
    /// Returns the size of its datagram, without the sender's name.
    fn bytes(&self) -> usize {
        match self {
            Self::Total(_) => 12,
            Self::Demand(_) => 12,
            Self::Limiter(message) => postcard::to_stdvec(message).unwrap().len(),
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Deliver(usize, PeerMessage),
    Arrive,
    RetryQuery(u32),
    /// The store has responded to the allowance request of a slot.
    DecideAllowance(HolderSlot, Option<u64>),
    CancelQuery(u32),
    Start(u32),
}

pub struct Host {
    decider: Decider,
    is_up: bool,
    incarnation: u32,
    paused_until_us: u64,
    /// Partition of the network; only hosts with the same number reach one another.
    pub partition: u8,
    last_received_us: Vec<u64>,
    /// Offset of its wall clock from one that is behind by the maximum error.
    clock_offset_us: u64,
    /// Requests without a decision, with the times at which they were sent.
    pending: std::collections::HashMap<u32, u64>,
}

/// Result of a request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub host: usize,
    pub sent_us: u64,
    pub ended_us: u64,
    pub is_admitted: bool,
}

/// Time of an event, its number, and the host with its incarnation.
type Due = (u64, usize, usize, u32);

pub struct Fleet {
    pub strategy: Strategy,
    pub limit: RateLimit,
    pub now_us: u64,
    pub hosts: Vec<Host>,
    pub outcomes: Vec<Outcome>,
    pub bytes: u64,
    pub loss_rate: f64,
    pub is_store_down: bool,
    /// Wall-clock time at which the allowance of each slot was last granted.
    allowance_unix_ms: [Option<u64>; HOLDER_SLOTS],
    pub rng: ChaCha8Rng,
    start: Instant,
    queue: BinaryHeap<Reverse<Due>>,
    events: Vec<Option<Event>>,
}

fn key(host: usize) -> HostKey {
    notchwharf_quota::host_key(&format!("host-{host}"))
}

impl Fleet {
    pub fn new(strategy: Strategy, hosts: usize, limit: RateLimit, seed: u64) -> Self {
        let mut fleet = Self {
            strategy,
            limit,
            now_us: 0,
            hosts: Vec::new(),
            outcomes: Vec::new(),
            bytes: 0,
            loss_rate: 0.0,
            is_store_down: false,
            allowance_unix_ms: [None; HOLDER_SLOTS],
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
        };
        for host in 0..hosts {
            let decider = fleet.decider(host, hosts);
            fleet.hosts.push(Host {
                decider,
                is_up: true,
                incarnation: 0,
                paused_until_us: 0,
                partition: 0,
                clock_offset_us: fleet.rng.random_range(0..2 * CLOCK_ERROR_MAX_US),
                last_received_us: vec![0; hosts],
                pending: Default::default(),
            });
            let first = fleet.rng.random_range(0..TICK_US);
            fleet.schedule(first, host, Event::Tick);
        }
        fleet
    }

    fn params(&self) -> BucketParams {
        BucketParams::new(self.limit, BOUNDS)
    }

    fn instant(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn decider(&mut self, host: usize, hosts: usize) -> Decider {
        let now = self.instant(self.now_us);
        let params = self.params();
        match self.strategy {
            Strategy::GossipedCounts => {
                Decider::GossipedCounts(GossipedCounts::new(hosts, params, self.now_us))
            }
            Strategy::DemandShares => {
                Decider::DemandShares(DemandShares::new(hosts, params, self.now_us))
            }
            Strategy::LeasedShares => {
                let mut limiter = Limiter::new(key(host), self.rng.random(), now);
                limiter.set_limits([(WORKSPACE, params)].into(), now);
                Decider::LeasedShares(Box::new(limiter))
            }
        }
    }

    fn schedule(&mut self, at: u64, host: usize, event: Event) {
        let index = self.events.len();
        self.events.push(Some(event));
        let incarnation = self.hosts.get(host).map_or(0, |h| h.incarnation);
        self.queue.push(Reverse((at, index, host, incarnation)));
    }

    /// Lets a caller send a request to a host.
    pub fn send(&mut self, at_us: u64, host: usize) {
        self.schedule(at_us, host, Event::Arrive);
    }

    /// Runs the simulation until the given time.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at, index, host, incarnation))) = self.queue.peek().copied() {
            if at > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = self.now_us.max(at);
            let event = self.events[index].take().unwrap();
            let paused_until_us = self.hosts[host].paused_until_us;
            if at < paused_until_us {
                // Events of a paused host are delivered when it resumes.
                self.schedule(paused_until_us, host, event);
                continue;
            }
            let is_current_incarnation = incarnation == self.hosts[host].incarnation;
            if self.hosts[host].is_up && is_current_incarnation {
                self.handle(host, event);
            }
        }
        self.now_us = until_us;
    }

    /// Stops a host silently.
    pub fn kill(&mut self, host: usize) {
        let pending = std::mem::take(&mut self.hosts[host].pending);
        drop(pending);
        self.hosts[host].is_up = false;
    }

    pub fn start(&mut self, host: usize) {
        let hosts = self.hosts.len();
        let decider = self.decider(host, hosts);
        let restarted = &mut self.hosts[host];
        if restarted.is_up {
            return;
        }
        restarted.decider = decider;
        restarted.is_up = true;
        restarted.incarnation += 1;
        restarted.paused_until_us = 0;
        restarted.last_received_us = vec![0; hosts];
        self.schedule(self.now_us, host, Event::Tick);
    }

    /// Kills all hosts and restarts them after the given time.
    pub fn restart_all(&mut self, down_us: u64) {
        (0..self.hosts.len()).for_each(|host| self.kill(host));
        self.run_until(self.now_us + down_us);
        (0..self.hosts.len()).for_each(|host| self.start(host));
    }

    pub fn pause(&mut self, host: usize, until_us: u64) {
        self.hosts[host].paused_until_us = until_us;
    }

    /// Replaces the limit on all hosts.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
        let params = self.params();
        let now = self.instant(self.now_us);
        for host in &mut self.hosts {
            match &mut host.decider {
                Decider::GossipedCounts(counts) => counts.set_limits(params),
                Decider::DemandShares(shares) => shares.set_limits(params),
                Decider::LeasedShares(limiter) => {
                    limiter.set_limits([(WORKSPACE, params)].into(), now)
                }
            }
        }
    }

    fn handle(&mut self, host: usize, event: Event) {
        let now = self.instant(self.now_us);
        match event {
            Event::Tick => {
                self.tick(host);
                self.schedule(self.now_us + TICK_US, host, Event::Tick);
            }
            Event::Deliver(from, message) => {
                self.hosts[host].last_received_us[from] = self.now_us;
                self.receive(host, from, message);
            }
            Event::Arrive => self.decide(host),
            Event::RetryQuery(number) => {
                let is_pending = self.hosts[host].pending.contains_key(&number);
                if let (true, Decider::LeasedShares(limiter)) =
                    (is_pending, &mut self.hosts[host].decider)
                    && let Some(query) = limiter.retry_query(number, now)
                {
                    self.handle_query(host, query);
                    self.schedule(
                        self.now_us + QUERY_RETRY_US,
                        host,
                        Event::RetryQuery(number),
                    );
                }
            }
            Event::DecideAllowance(slot, requested_us) => {
                let requested_at = requested_us.map(|us| self.instant(us));
                if let Decider::LeasedShares(limiter) = &mut self.hosts[host].decider {
                    match requested_at {
                        Some(requested_at) => limiter.grant_allowance(slot, requested_at, now),
                        None => limiter.deny_allowance(slot),
                    }
                }
            }
            Event::Start(number) => self.finish(host, number, true),
            Event::CancelQuery(number) => {
                if let Decider::LeasedShares(limiter) = &mut self.hosts[host].decider {
                    limiter.cancel_query(number);
                }
                self.finish(host, number, false);
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.instant(self.now_us);
        let now_us = self.now_us;
        let hosts = self.hosts.len();
        let last_received_us = &self.hosts[host].last_received_us;
        let is_alive = |other: usize| {
            other != host
                && last_received_us[other] > 0
                && now_us - last_received_us[other] < DOWN_AFTER_US
        };
        let alive: Vec<usize> = (0..hosts).filter(|other| is_alive(*other)).collect();
        let messages: Vec<(usize, PeerMessage)> = match &mut self.hosts[host].decider {
            Decider::GossipedCounts(counts) => {
                let total = counts.tick(&alive, now_us);
                let others = (0..hosts).filter(|other| *other != host);
                others
                    .map(|other| (other, PeerMessage::Total(total)))
                    .collect()
            }
            Decider::DemandShares(shares) => {
                let demand = shares.tick(&alive, host, now_us);
                let others = (0..hosts).filter(|other| *other != host);
                others
                    .map(|other| (other, PeerMessage::Demand(demand)))
                    .collect()
            }
            Decider::LeasedShares(limiter) => {
                let alive: Vec<HostKey> = alive.iter().map(|other| key(*other)).collect();
                let members: Vec<HostKey> = (0..hosts).map(key).collect();
                let fleet = notchwharf_quota::Fleet {
                    holder_candidates: &alive,
                    members: &members,
                    expired: &[],
                    is_complete: true,
                };
                let requests = limiter.tick(&fleet, true, now);
                let index = |to: HostKey| (0..hosts).find(|host| key(*host) == to).unwrap();
                requests
                    .into_iter()
                    .map(|(to, message)| (index(to), PeerMessage::Limiter(message)))
                    .collect()
            }
        };
        self.request_allowance(host);
        // Liveness is learned from other messages that hosts exchange anyway.
        for other in 0..hosts {
            let partition = self.hosts[host].partition;
            if other != host && self.hosts[other].partition == partition && self.hosts[other].is_up
            {
                self.hosts[other].last_received_us[host] = now_us;
            }
        }
        for (to, message) in messages {
            self.send_message(host, to, message);
        }
    }

    /// Lets a host request the allowance of a slot from the store, if it needs to.
    fn request_allowance(&mut self, host: usize) {
        let Decider::LeasedShares(limiter) = &mut self.hosts[host].decider else {
            return;
        };
        let Some(slot) = limiter.next_allowance_request() else {
            return;
        };
        if self.is_store_down {
            return;
        }
        let unix_ms = (START_UNIX_US + self.now_us + self.hosts[host].clock_offset_us) / 1_000;
        let last = &mut self.allowance_unix_ms[usize::from(slot)];
        let is_due = is_allowance_due(*last, unix_ms, BOUNDS.window);
        if is_due {
            *last = Some(unix_ms);
        }
        let call_us = self.rng.random_range(STORE_CALL_US);
        let requested_us = is_due.then_some(self.now_us);
        self.schedule(
            self.now_us + call_us,
            host,
            Event::DecideAllowance(slot, requested_us),
        );
    }

    fn send_message(&mut self, from: usize, to: usize, message: PeerMessage) {
        self.bytes += message.bytes() as u64;
        let is_partitioned = self.hosts[from].partition != self.hosts[to].partition;
        if is_partitioned || !self.hosts[to].is_up || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let at = self.now_us + self.rng.random_range(MESSAGE_DELAY_US);
        self.schedule(at, to, Event::Deliver(from, message));
    }

    fn receive(&mut self, host: usize, from: usize, message: PeerMessage) {
        let now = self.instant(self.now_us);
        let action = match (&mut self.hosts[host].decider, message) {
            (Decider::GossipedCounts(counts), PeerMessage::Total(total)) => {
                counts.receive(from, total, self.now_us);
                return;
            }
            (Decider::DemandShares(shares), PeerMessage::Demand(demand)) => {
                shares.receive(from, demand);
                return;
            }
            (Decider::LeasedShares(limiter), PeerMessage::Limiter(message)) => {
                limiter.receive(key(from), &message, now)
            }
            _ => return,
        };
        match action {
            Action::None => {}
            Action::Reply(message) => self.send_message(host, from, PeerMessage::Limiter(message)),
            Action::Query(query) => self.handle_query(host, query),
        }
    }

    fn decide(&mut self, host: usize) {
        let (now, now_us) = (self.instant(self.now_us), self.now_us);
        let is_admitted = match &mut self.hosts[host].decider {
            Decider::GossipedCounts(counts) => counts.take(now_us),
            Decider::DemandShares(shares) => shares.take(now_us),
            Decider::LeasedShares(limiter) => {
                let query = limiter.query(WORKSPACE, MAX_DELAY, now);
                let (Query::Decided { number, .. } | Query::Sent { number, .. }) = query;
                self.hosts[host].pending.insert(number, now_us);
                self.schedule(now_us + QUERY_RETRY_US, host, Event::RetryQuery(number));
                self.schedule(now_us + QUERY_TIMEOUT_US, host, Event::CancelQuery(number));
                return self.handle_query(host, query);
            }
        };
        self.outcomes.push(Outcome {
            host,
            sent_us: now_us,
            ended_us: now_us,
            is_admitted,
        });
    }

    fn handle_query(&mut self, host: usize, query: Query) {
        match query {
            Query::Decided { number, decision } => match decision {
                Decision::Admitted { delay } => {
                    let at = self.now_us + delay.as_micros() as u64;
                    self.schedule(at, host, Event::Start(number));
                }
                Decision::Refused { .. } | Decision::Unknown => self.finish(host, number, false),
            },
            Query::Sent { to, message, .. } => {
                let hosts = self.hosts.len();
                let to = (0..hosts).find(|other| key(*other) == to).unwrap();
                self.send_message(host, to, PeerMessage::Limiter(message));
            }
        }
    }

    fn finish(&mut self, host: usize, number: u32, is_admitted: bool) {
        let Some(sent_us) = self.hosts[host].pending.remove(&number) else {
            return;
        };
        self.outcomes.push(Outcome {
            host,
            sent_us,
            ended_us: self.now_us,
            is_admitted,
        });
    }

    /// Returns by how much the worst window exceeds the bounds, if any does.
    pub fn excess(&self, limit: RateLimit, from_us: u64) -> Option<f64> {
        let nominal = limit.per_s * BOUNDS.window.as_secs_f64() + limit.burst;
        let allowed = nominal * (1.0 + BOUNDS.excess) + BOUNDS.slack;
        let window = BOUNDS.window.as_micros() as u64;
        let admitted = self
            .outcomes
            .iter()
            .filter(|o| o.is_admitted && o.sent_us >= from_us);
        let mut admitted: Vec<&Outcome> = admitted.collect();
        admitted.sort_by_key(|o| o.ended_us);
        let worst = (0..admitted.len()).map(|last| {
            let end = admitted[last].ended_us;
            let before = admitted[..=last].iter().rev();
            let recent = before.take_while(|o| o.ended_us + window >= end);
            recent.filter(|o| o.sent_us + window >= end).count()
        });
        let worst = worst.max().unwrap_or(0) as f64;
        (worst > allowed).then_some(worst - allowed)
    }

    /// Returns the number of requests refused in a period although their workspace had not
    /// exceeded its limit in the window before each.
    pub fn wrongly_refused(&self, limit: RateLimit, from_us: u64, until_us: u64) -> usize {
        let nominal = limit.per_s * BOUNDS.window.as_secs_f64() + limit.burst;
        let window = BOUNDS.window.as_micros() as u64;
        let mut sent: Vec<u64> = self.outcomes.iter().map(|o| o.sent_us).collect();
        sent.sort_unstable();
        let before = |at: u64| {
            let first = sent.partition_point(|sent| *sent + window < at);
            let last = sent.partition_point(|sent| *sent <= at);
            (last - first) as f64
        };
        let refused = self.outcomes.iter().filter(|o| !o.is_admitted);
        let refused = refused.filter(|o| (from_us..until_us).contains(&o.sent_us));
        refused.filter(|o| before(o.sent_us) <= nominal).count()
    }

    /// Returns the number of requests sent in a period, and how many of them were admitted.
    pub fn sent_and_admitted(
        &self,
        from_us: u64,
        until_us: u64,
        hosts: &[usize],
    ) -> (usize, usize) {
        let span = from_us..until_us;
        let sent = self.outcomes.iter();
        let sent = sent.filter(|o| span.contains(&o.sent_us) && hosts.contains(&o.host));
        let admitted = sent.clone().filter(|o| o.is_admitted).count();
        (sent.count(), admitted)
    }
}
