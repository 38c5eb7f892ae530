//! Wait queue of one host, and the waiting requests that its peers report.
//!
//! The host that frees a slot assigns it: it observes the free slot first, and no two hosts
//! decide about the same slot. If two hosts each took the last free slot, one of their
//! requests would wait behind the other in the target's queue.

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

/// Number of requests reported to peers, the first ones. A host rarely receives more slots
/// before its next report.
const REPORTED_REQUESTS_MAX: usize = 6;

/// Time for which a free slot is left to requests of other hosts that rank first: four times
/// the message delay between hosts of a data centre. A slow or failed host delays the others
/// for no longer than this.
const YIELD_TIMEOUT: Duration = Duration::from_millis(8);

/// Time within which a host that received a slot reports its waiting requests again: the
/// message delay there, two report intervals, and the message delay back.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(6);

/// Time after a request is enqueued within which it is refused if it is unlikely to start in
/// time, so that the caller learns early that it should retry.
const EARLY_REFUSAL_WINDOW: Duration = Duration::from_millis(10);

/// Factor by which a new request's remaining time must exceed its expected wait: the release
/// rate is mostly measured on requests that ran while slots were free, and saturated targets
/// are slower. A request that waits without success is not retried in time.
const WAIT_MARGIN: f64 = 2.0;

/// Increase of that factor for each overuse level of the workspace: requests that rank before
/// it arrive in the meantime.
const WAIT_MARGIN_PER_LEVEL: f64 = 2.0;

/// Time after which a waiting request is known to the other hosts of its data centre, and
/// theirs to this one: two report intervals and the message delay.
const PROPAGATION_TIME: Duration = Duration::from_millis(4);

/// Free slots required beyond those that other hosts may be taking concurrently.
const FREE_SLOTS_MARGIN: f64 = 2.0;

/// Represents this host where peers are identified by name.
const OWN_HOST: HostId = HostId::new();

#[derive(Clone, Debug, Default)]
struct Peer {
    waiting: Vec<(ServiceKey, Rank)>,
    /// Times of slot transfers to the peer, by service, that its report may not reflect yet.
    unreported_transfers: Vec<(ServiceKey, Instant)>,
}

impl Peer {
    fn pending_transfers(&self, service: ServiceKey, now: Instant) -> usize {
        let transfers = self.unreported_transfers.iter();
        let pending = transfers.filter(|(transferred_for, at)| {
            *transferred_for == service && !is_transfer_expired(*at, now)
        });
        pending.count()
    }
}

/// Requests that wait at a host, and those reported by its peers.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<(Ticket, Request, Instant)>,
    peers: HashMap<HostId, Peer>,
    /// Time since which slots of a service's targets have been observed free.
    free_since: HashMap<ServiceKey, HashMap<TargetKey, Instant>>,
    /// Times of slot transfers by this host and its peers. The slots appear free until the
    /// receiving host reports them as used.
    transfers: HashMap<(HostId, TargetKey), Instant>,
    last_ticket: Ticket,
}

impl WaitQueue {
    /// Adds a request to the queue.
    pub fn enqueue(&mut self, request: Request, now: Instant) -> Ticket {
        self.last_ticket += 1;
        self.waiting.push((self.last_ticket, request, now));
        self.last_ticket
    }

    /// Removes a request that starts, is refused, or was cancelled by its caller.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|(queued, ..)| *queued != ticket);
    }

    /// Returns the number of requests that wait at this host.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits at this host.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits at this host or at a peer.
    pub fn is_contended(&self) -> bool {
        !self.waiting.is_empty() || !self.peers.is_empty()
    }

    /// Returns the services for which requests wait at this host.
    pub fn services(&self) -> Vec<ServiceKey> {
        let mut services: Vec<ServiceKey> =
            self.waiting.iter().map(|(_, r, _)| r.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns this host's first request for a service.
    pub fn first(&self, service: ServiceKey, usage: &SlotUsage) -> Option<QueuedRequest> {
        self.queued(service, usage).min_by_key(|first| first.rank)
    }

    fn queued(
        &self,
        service: ServiceKey,
        usage: &SlotUsage,
    ) -> impl Iterator<Item = QueuedRequest> {
        let waiting = self
            .waiting
            .iter()
            .filter(move |(_, r, _)| r.service == service);
        waiting.map(|(ticket, request, enqueued_at)| QueuedRequest {
            ticket: *ticket,
            request: *request,
            rank: rank(request, usage),
            enqueued_at: *enqueued_at,
        })
    }

    /// Assigns a slot that was freed at this host and records the transfer if the request
    /// waits at a peer; `None` if no request waits. The freeing host decides because it
    /// observes the free slot first, so no two hosts assign the same slot.
    pub fn assign_freed(
        &mut self,
        service: ServiceKey,
        target: TargetKey,
        usage: &SlotUsage,
        now: Instant,
    ) -> Option<Assignment> {
        let own = self.first(service, usage);
        let peers = self.peers.iter_mut().filter_map(|(host, peer)| {
            let mut waiting = peer
                .waiting
                .iter()
                .filter(|(waiting_for, _)| *waiting_for == service);
            // Its first requests have been assigned slots already.
            let (_, rank) = *waiting.nth(peer.pending_transfers(service, now))?;
            Some((rank, host, peer))
        });
        let best = peers.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        match (own, best) {
            (Some(own), Some((rank, ..))) if own.rank <= rank => Some(Assignment::Local(own)),
            (_, Some((_, host, peer))) => {
                peer.unreported_transfers
                    .retain(|(_, at)| !is_transfer_expired(*at, now));
                peer.unreported_transfers.push((service, now));
                self.transfers.insert((OWN_HOST, target), now);
                Some(Assignment::Peer(host.clone()))
            }
            (own, None) => own.map(Assignment::Local),
        }
    }

    /// Returns the targets of which this host recently transferred slots. It reports them to
    /// all peers, to which these slots appear free; the receiver of a slot is notified by a
    /// separate message (`notchwharf_proto::messages::SlotTransfer`).
    pub fn recent_transfers(&self, now: Instant) -> Vec<TargetKey> {
        let own = self
            .transfers
            .iter()
            .filter(|((host, _), at)| *host == OWN_HOST && !is_transfer_expired(**at, now));
        own.map(|((_, target), _)| *target).collect()
    }

    /// Returns the number of a target's slots that were transferred to requests at other
    /// hosts and may not be in use yet.
    pub fn reserved(&self, target: TargetKey, now: Instant) -> u32 {
        let transfers = self.transfers.iter();
        let pending = transfers.filter(|((_, transferred), at)| {
            *transferred == target && !is_transfer_expired(**at, now)
        });
        u32::try_from(pending.count()).unwrap_or(u32::MAX)
    }

    /// Returns the slots that are free and not reserved by a transfer.
    fn unreserved(&mut self, free: &[FreeSlots], now: Instant) -> Vec<FreeSlots> {
        self.transfers
            .retain(|_, at| !is_transfer_expired(*at, now));
        let free = free.iter().map(|slots| FreeSlots {
            target: slots.target,
            count: slots.count.saturating_sub(self.reserved(slots.target, now)),
        });
        free.filter(|slots| slots.count > 0).collect()
    }

    /// Returns the number of requests at other hosts that rank before the given rank.
    fn ahead(&self, service: ServiceKey, rank: Rank) -> u32 {
        let reported = self.peers.values().flat_map(|peer| &peer.waiting);
        let ahead =
            reported.filter(|(waiting_for, other)| *waiting_for == service && *other < rank);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a host's first request may take one of the free slots of local targets.
    /// `releases_per_s` slots are freed per second while all are in use.
    ///
    /// It may if there are more free slots than requests of other hosts ahead of it. Until
    /// those hosts know of the request, there must also be a surplus for the slots that they
    /// may be taking concurrently: if two hosts take the last slot, one request waits behind
    /// the other in the target's queue. It may also take a slot that has been free for some
    /// time, because the requests ahead of it are not taking it.
    pub fn may_start(
        &mut self,
        first: &QueuedRequest,
        free: &[FreeSlots],
        releases_per_s: f64,
        now: Instant,
    ) -> StartDecision {
        let service = first.request.service;
        let ahead = self.ahead(service, first.rank);
        let unreserved;
        let free = if self.transfers.is_empty() {
            free
        } else {
            unreserved = self.unreserved(free, now);
            &unreserved
        };
        let free_count: u32 = free.iter().map(|slots| slots.count).sum();
        let possibly_taken = releases_per_s * PROPAGATION_TIME.as_secs_f64() + FREE_SLOTS_MARGIN;
        let is_propagated = now.saturating_duration_since(first.enqueued_at) >= PROPAGATION_TIME;
        let margin = if is_propagated {
            0
        } else {
            possibly_taken.ceil() as u32
        };
        if free_count > ahead.saturating_add(margin) {
            self.free_since.remove(&service);
            return StartDecision::Any;
        }
        let unclaimed = self.unclaimed_target(service, free, now);
        unclaimed.map_or(StartDecision::Wait, StartDecision::At)
    }

    /// Records the targets with free slots; returns the one whose slots have been free for so
    /// long that the requests they were left to are evidently not taking them.
    fn unclaimed_target(
        &mut self,
        service: ServiceKey,
        free: &[FreeSlots],
        now: Instant,
    ) -> Option<TargetKey> {
        let since = self.free_since.entry(service).or_default();
        since.retain(|target, _| free.iter().any(|slots| slots.target == *target));
        for slots in free {
            since.entry(slots.target).or_insert(now);
        }
        let longest = since
            .iter()
            .min_by_key(|(target, since)| (**since, **target));
        let unclaimed =
            longest.filter(|(_, since)| now.saturating_duration_since(**since) >= YIELD_TIMEOUT);
        unclaimed.map(|(target, _)| *target)
    }

    /// Returns when each request for a service is expected to start, in that order, if
    /// `releases_per_s` slots are freed per second.
    pub fn estimate_starts(
        &self,
        service: ServiceKey,
        releases_per_s: f64,
        usage: &SlotUsage,
        now: Instant,
    ) -> Vec<StartEstimate> {
        let mut queued: Vec<QueuedRequest> = self.queued(service, usage).collect();
        queued.sort_unstable_by_key(|request| request.rank);
        let positions = (0..).zip(queued);
        let estimates = positions.map(|(position, queued)| {
            let ahead = position + self.ahead(service, queued.rank);
            let wait_s = f64::from(ahead + 1) / releases_per_s;
            let remaining = queued.request.start_deadline.saturating_duration_since(now);
            let is_new = now.saturating_duration_since(queued.enqueued_at) <= EARLY_REFUSAL_WINDOW;
            let margin = match is_new {
                true => WAIT_MARGIN + WAIT_MARGIN_PER_LEVEL * f64::from(queued.rank.overuse_level),
                false => 1.0,
            };
            StartEstimate {
                ticket: queued.ticket,
                ahead,
                wait: Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX),
                is_late: remaining.is_zero() || wait_s * margin > remaining.as_secs_f64(),
            }
        });
        estimates.collect()
    }

    /// Returns the waiting requests that this host reports to its peers.
    pub fn summary(&self, usage: &SlotUsage, now: Instant) -> Vec<RequestSummary> {
        let waiting = self.waiting.iter();
        let mut first: Vec<(Rank, ServiceKey)> = waiting
            .map(|(_, r, _)| (rank(r, usage), r.service))
            .collect();
        first.sort_unstable();
        let first = first.into_iter().take(REPORTED_REQUESTS_MAX);
        let reported = first.map(|(rank, service)| RequestSummary {
            service,
            priority: rank.priority,
            overuse_level: rank.overuse_level,
            age: now.saturating_duration_since(rank.waiting_since),
        });
        reported.collect()
    }

    /// Replaces the waiting requests reported by a peer and records the targets of which it
    /// recently transferred slots. Returns whether other requests may now start: fewer wait
    /// there than before.
    pub fn update_peer(
        &mut self,
        host: &str,
        reported: &[RequestSummary],
        transfers: &[TargetKey],
        now: Instant,
    ) -> bool {
        // Peers repeat a transfer in several reports; the first one determines its time.
        self.transfers
            .retain(|_, at| !is_transfer_expired(*at, now));
        for target in transfers {
            let transferred_at = self.transfers.entry((host.to_owned(), *target));
            transferred_at.or_insert(now);
        }
        let previous = self.peers.get(host);
        let has_fewer = previous.is_some_and(|peer| peer.waiting.len() > reported.len());
        if reported.is_empty() {
            return self.peers.remove(host).is_some();
        }
        let waiting = reported.iter().map(|request| {
            let waiting_since = now.checked_sub(request.age).unwrap_or(now);
            let rank = Rank {
                priority: request.priority,
                overuse_level: request.overuse_level,
                waiting_since,
            };
            (request.service, rank)
        });
        let unreported_transfers = previous
            .map(|peer| peer.unreported_transfers.clone())
            .unwrap_or_default();
        let peer = Peer {
            waiting: waiting.collect(),
            unreported_transfers,
        };
        self.peers.insert(host.to_owned(), peer);
        has_fewer
    }

    /// Removes a peer that is down.
    pub fn remove_peer(&mut self, host: &str) {
        self.peers.remove(host);
    }
}

/// Returns whether the receiver of a transferred slot has certainly reported since.
fn is_transfer_expired(transferred_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(transferred_at) >= TRANSFER_TIMEOUT
}

fn rank(request: &Request, usage: &SlotUsage) -> Rank {
    Rank {
        priority: request.priority,
        overuse_level: usage.overuse_level(request.workspace),
        waiting_since: request.waiting_since,
    }
}
