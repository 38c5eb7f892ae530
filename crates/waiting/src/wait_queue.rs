//! The line of one host, and what its peers tell of theirs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::HostId;
use crate::ServiceKey;
use crate::SlotUsage;
use crate::TargetKey;
use crate::request::Assignment;
use crate::request::FreeSlots;
use crate::request::QueuedRequest;
use crate::request::Rank;
use crate::request::Request;
use crate::request::RequestSummary;
use crate::request::StartDecision;
use crate::request::StartEstimate;
use crate::request::Ticket;

/// Requests of which a host tells, its first ones. A host is rarely granted more places
/// than that before it tells again.
const TOLD_MAX: usize = 6;

/// Time for which a place is left to requests of other hosts that come first: four times
/// what news takes between hosts of a data centre. A host that does not take its turn, being
/// slow or gone, holds nobody up for longer.
const TURN: Duration = Duration::from_millis(8);

/// Time within which a host that was handed a place tells what waits there now: the way
/// there, two gaps between its words, and the way back.
const TOLD_WITHIN: Duration = Duration::from_millis(6);

/// Time after its coming within which a request is refused that is unlikely to begin in
/// time: a caller that is to come back should know at once.
const EARLY: Duration = Duration::from_millis(10);

/// Times the expected wait that a request must have left when it comes: what drains is
/// reckoned by requests that mostly ran while places were free, and full targets are slower.
/// A request that waits in vain is kept from coming back in time.
const MARGIN: f64 = 2.0;

/// The same again for each level by which its workspace exceeds its part: others come
/// meanwhile that go before it.
const MARGIN_LEVEL: f64 = 2.0;

/// Time after which a request that waits is known to those that wait near by, and they to
/// it: two gaps between words, and the way.
const SETTLED: Duration = Duration::from_millis(4);

/// Free places beyond those that others may be taking at this moment.
const SURE_MIN: f64 = 2.0;

/// Stands for this host where others stand by their names.
const OWN: HostId = HostId::new();

#[derive(Clone, Debug, Default)]
struct Peer {
    waiting: Vec<(ServiceKey, Rank)>,
    /// When places were handed to it, for services, that it may not have told of yet.
    handed: Vec<(ServiceKey, Instant)>,
}

impl Peer {
    fn handed(&self, service: ServiceKey, now: Instant) -> usize {
        let handed = self.handed.iter();
        let under_way = handed.filter(|(of, at)| *of == service && !is_over(*at, now));
        under_way.count()
    }
}

/// Requests that wait at a host, and what its peers told of theirs.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<(Ticket, Request, Instant)>,
    peers: HashMap<HostId, Peer>,
    /// Since when places of a service's targets have been seen to be free.
    open_since: HashMap<ServiceKey, HashMap<TargetKey, Instant>>,
    /// When hosts handed places of targets to requests elsewhere: until these have told
    /// that they took them, they look free.
    reserved: HashMap<(HostId, TargetKey), Instant>,
    entered: Ticket,
}

impl WaitQueue {
    /// Lets a request wait.
    pub fn enqueue(&mut self, request: Request, now: Instant) -> Ticket {
        self.entered += 1;
        self.waiting.push((self.entered, request, now));
        self.entered
    }

    /// Takes a request out: it begins, is refused, or its caller has left.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|(known, ..)| *known != ticket);
    }

    /// Returns how many requests wait at this host.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits at this host.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether something waits here or at a peer.
    pub fn is_contended(&self) -> bool {
        !self.waiting.is_empty() || !self.peers.is_empty()
    }

    /// Returns the services for which requests wait here.
    pub fn services(&self) -> Vec<ServiceKey> {
        let mut services: Vec<ServiceKey> =
            self.waiting.iter().map(|(_, r, _)| r.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns this host's first request for a service.
    pub fn first(&self, service: ServiceKey, shares: &SlotUsage) -> Option<QueuedRequest> {
        self.of(service, shares).min_by_key(|first| first.rank)
    }

    fn of(&self, service: ServiceKey, shares: &SlotUsage) -> impl Iterator<Item = QueuedRequest> {
        let waiting = self
            .waiting
            .iter()
            .filter(move |(_, r, _)| r.service == service);
        waiting.map(|(ticket, request, entered)| QueuedRequest {
            ticket: *ticket,
            request: *request,
            rank: rank(request, shares),
            enqueued_at: *entered,
        })
    }

    /// Returns who takes a place that has fallen free at this host, and notes that it is
    /// handed to a peer; nothing if nobody waits. The host that frees a place decides: it
    /// knows of it first, and no two hosts decide about one place.
    pub fn assign_freed(
        &mut self,
        service: ServiceKey,
        target: TargetKey,
        shares: &SlotUsage,
        now: Instant,
    ) -> Option<Assignment> {
        let own = self.first(service, shares);
        let peers = self.peers.iter_mut().filter_map(|(host, peer)| {
            let mut waiting = peer.waiting.iter().filter(|(of, _)| *of == service);
            // Its first requests are being served already.
            let (_, rank) = *waiting.nth(peer.handed(service, now))?;
            Some((rank, host, peer))
        });
        let best = peers.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        match (own, best) {
            (Some(own), Some((rank, ..))) if own.rank <= rank => Some(Assignment::Local(own)),
            (_, Some((_, host, peer))) => {
                peer.handed.retain(|(_, at)| !is_over(*at, now));
                peer.handed.push((service, now));
                self.reserved.insert((OWN, target), now);
                Some(Assignment::Peer(host.clone()))
            }
            (own, None) => own.map(Assignment::Local),
        }
    }

    /// Returns the targets of which this host has just handed places over: its peers hear
    /// from it that these are free.
    pub fn recent_transfers(&self, now: Instant) -> Vec<TargetKey> {
        let own = self
            .reserved
            .iter()
            .filter(|((host, _), at)| *host == OWN && !is_over(**at, now));
        own.map(|((_, target), _)| *target).collect()
    }

    /// Returns how many places of a target were handed to requests elsewhere which these may
    /// not have taken yet.
    pub fn reserved(&self, target: TargetKey, now: Instant) -> u32 {
        let all = self.reserved.iter();
        let open = all.filter(|((_, of), at)| *of == target && !is_over(**at, now));
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Returns the places that are free and promised to nobody.
    fn unreserved(&mut self, open: &[FreeSlots], now: Instant) -> Vec<FreeSlots> {
        self.reserved.retain(|_, at| !is_over(*at, now));
        let open = open.iter().map(|one| FreeSlots {
            target: one.target,
            count: one.count.saturating_sub(self.reserved(one.target, now)),
        });
        open.filter(|one| one.count > 0).collect()
    }

    /// Returns how many requests come before one, at other hosts.
    fn ahead(&self, service: ServiceKey, rank: Rank) -> u32 {
        let told = self.peers.values().flat_map(|peer| &peer.waiting);
        let before = told.filter(|(of, told)| *of == service && *told < rank);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a host's first request may take one of the places that are free near
    /// by, of which `drain_per_s` fall free a second when all are taken.
    ///
    /// It may if there are more than requests of other hosts before it. As long as these
    /// may not know of it, there must be more by what others may be taking just now: of two
    /// hosts that take the last place one would wait behind the other in the target's queue.
    /// It may also take a place that has been free for some time: those before it do not.
    pub fn may_start(
        &mut self,
        first: &QueuedRequest,
        open: &[FreeSlots],
        drain_per_s: f64,
        now: Instant,
    ) -> StartDecision {
        let service = first.request.service;
        let ahead = self.ahead(service, first.rank);
        let unreserved;
        let open = if self.reserved.is_empty() {
            open
        } else {
            unreserved = self.unreserved(open, now);
            &unreserved
        };
        let free: u32 = open.iter().map(|open| open.count).sum();
        let unseen = drain_per_s * SETTLED.as_secs_f64() + SURE_MIN;
        let is_settled = now.saturating_duration_since(first.enqueued_at) >= SETTLED;
        let sure = if is_settled { 0 } else { unseen.ceil() as u32 };
        if free > ahead.saturating_add(sure) {
            self.open_since.remove(&service);
            return StartDecision::Any;
        }
        let left = self.left(service, open, now);
        left.map_or(StartDecision::Wait, StartDecision::At)
    }

    /// Notes at which targets places are free; returns the one at which they have been free
    /// for so long that whoever they were left to does not take them.
    fn left(&mut self, service: ServiceKey, open: &[FreeSlots], now: Instant) -> Option<TargetKey> {
        let since = self.open_since.entry(service).or_default();
        since.retain(|target, _| open.iter().any(|open| open.target == *target));
        for one in open {
            since.entry(one.target).or_insert(now);
        }
        let longest = since
            .iter()
            .min_by_key(|(target, since)| (**since, **target));
        let left = longest.filter(|(_, since)| now.saturating_duration_since(**since) >= TURN);
        left.map(|(target, _)| *target)
    }

    /// Returns when each request for a service is expected to begin if so many places fall
    /// free a second; in the order in which they do.
    pub fn estimate_starts(
        &self,
        service: ServiceKey,
        drain_per_s: f64,
        shares: &SlotUsage,
        now: Instant,
    ) -> Vec<StartEstimate> {
        let mut waiting: Vec<QueuedRequest> = self.of(service, shares).collect();
        waiting.sort_unstable_by_key(|first| first.rank);
        let numbered = (0..).zip(waiting);
        let expected = numbered.map(|(before, first)| {
            let ahead = before + self.ahead(service, first.rank);
            let wait_s = f64::from(ahead + 1) / drain_per_s;
            let left = first.request.start_deadline.saturating_duration_since(now);
            let is_new = now.saturating_duration_since(first.enqueued_at) <= EARLY;
            let margin = match is_new {
                true => MARGIN + MARGIN_LEVEL * f64::from(first.rank.overuse_level),
                false => 1.0,
            };
            StartEstimate {
                ticket: first.ticket,
                ahead,
                wait: Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX),
                is_late: left.is_zero() || wait_s * margin > left.as_secs_f64(),
            }
        });
        expected.collect()
    }

    /// Returns what this host tells its peers: its first requests.
    pub fn summary(&self, shares: &SlotUsage, now: Instant) -> Vec<RequestSummary> {
        let waiting = self.waiting.iter();
        let mut first: Vec<(Rank, ServiceKey)> = waiting
            .map(|(_, r, _)| (rank(r, shares), r.service))
            .collect();
        first.sort_unstable();
        let first = first.into_iter().take(TOLD_MAX);
        let told = first.map(|(rank, service)| RequestSummary {
            service,
            priority: rank.priority,
            overuse_level: rank.overuse_level,
            age: now.saturating_duration_since(rank.waiting_since),
        });
        told.collect()
    }

    /// Takes in what waits at a peer, which replaces what was known, and the targets of
    /// which it has just handed places over. Returns whether that lets others go before:
    /// fewer wait there than before.
    pub fn update_peer(
        &mut self,
        host: &str,
        told: &[RequestSummary],
        handed: &[TargetKey],
        now: Instant,
    ) -> bool {
        // Each word of the host repeats it for a while: what counts is the first.
        self.reserved.retain(|_, at| !is_over(*at, now));
        for target in handed {
            let reserved = self.reserved.entry((host.to_owned(), *target));
            reserved.or_insert(now);
        }
        let before = self.peers.get(host);
        let has_moved = before.is_some_and(|peer| peer.waiting.len() > told.len());
        if told.is_empty() {
            return self.peers.remove(host).is_some();
        }
        let waiting = told.iter().map(|one| {
            let waiting_since = now.checked_sub(one.age).unwrap_or(now);
            let rank = Rank {
                priority: one.priority,
                overuse_level: one.overuse_level,
                waiting_since,
            };
            (one.service, rank)
        });
        let handed = before.map(|peer| peer.handed.clone()).unwrap_or_default();
        let peer = Peer {
            waiting: waiting.collect(),
            handed,
        };
        self.peers.insert(host.to_owned(), peer);
        has_moved
    }

    /// Forgets a peer: it is down.
    pub fn remove_peer(&mut self, host: &str) {
        self.peers.remove(host);
    }
}

/// Returns whether a host that was handed a place has surely told of it since.
fn is_over(handed_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(handed_at) >= TOLD_WITHIN
}

fn rank(request: &Request, shares: &SlotUsage) -> Rank {
    Rank {
        priority: request.priority,
        overuse_level: shares.overuse_level(request.workspace),
        waiting_since: request.waiting_since,
    }
}
