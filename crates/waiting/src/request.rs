//! Waiting requests and the decisions about them.

use std::time::Duration;
use std::time::Instant;

use crate::HostId;
use crate::ServiceKey;
use crate::TargetKey;
use crate::WorkspaceKey;

/// Number of a request in its host's wait queue.
pub type Ticket = u64;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its service; requests wait only for slots of their own service's targets.
    pub service: ServiceKey,
    /// Workspace that sent it.
    pub workspace: WorkspaceKey,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time since which it has been waiting.
    pub waiting_since: Instant,
    /// Latest start time that still meets the request's objective.
    pub start_deadline: Instant,
}

/// Position of a request in the order of all hosts; lower ranks start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How far its workspace exceeds its fair share of the slots, see
    /// [`SlotUsage::overuse_level`](crate::SlotUsage::overuse_level).
    pub overuse_level: u8,
    /// Time since which it has been waiting.
    pub waiting_since: Instant,
}

/// A request that waits at another host, as reported by that host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSummary {
    /// Its service.
    pub service: ServiceKey,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How far its workspace exceeds its fair share of the slots.
    pub overuse_level: u8,
    /// Time for which it has been waiting.
    pub age: Duration,
}

/// A request in a host's wait queue, with its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its number in the queue.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
    /// Its rank.
    pub rank: Rank,
    /// Time at which it was added to the queue.
    pub enqueued_at: Instant,
}

/// Slots of a target not used by online requests, as far as this host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlots {
    /// The target.
    pub target: TargetKey,
    /// Number of free slots.
    pub count: u32,
}

/// Whether a request may take a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// It may take any free slot.
    Any,
    /// It may only take a slot of this target, which the requests ahead have left unused.
    At(TargetKey),
    /// It keeps waiting.
    Wait,
}

/// When a waiting request is expected to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartEstimate {
    /// Its number in the queue.
    pub ticket: Ticket,
    /// Number of requests, over all hosts, that start before it.
    pub ahead: u32,
    /// Expected remaining wait.
    pub wait: Duration,
    /// Whether it is unlikely to start by its deadline.
    pub is_late: bool,
}

/// The request to which a freed slot is assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// The first request of this host.
    Local(QueuedRequest),
    /// The first request of a peer, to which the caller must send a slot transfer.
    Peer(HostId),
}
