//! Requests that wait, and what the line says of them.

use std::time::Duration;
use std::time::Instant;

use crate::HostId;
use crate::ServiceKey;
use crate::TargetKey;
use crate::WorkspaceKey;

/// The number of a request in its host's line.
pub type Ticket = u64;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its service; those of one wait for those places only.
    pub service: ServiceKey,
    /// Whose it is.
    pub workspace: WorkspaceKey,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// Since when it waits.
    pub waiting_since: Instant,
    /// Until when it must begin to be served in time.
    pub start_deadline: Instant,
}

/// Where a request stands: less comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// How urgent it is.
    pub priority: u8,
    /// How far its workspace exceeds its part of the places.
    pub overuse_level: u8,
    /// Since when it waits.
    pub waiting_since: Instant,
}

/// A request that waits at another host, as that tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSummary {
    /// Its service.
    pub service: ServiceKey,
    /// How urgent it is.
    pub priority: u8,
    /// How far its workspace exceeds its part of the places.
    pub overuse_level: u8,
    /// For how long it has waited.
    pub age: Duration,
}

/// The first request of a host's line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its number.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
    /// Where it stands.
    pub rank: Rank,
    /// Since when it stands there.
    pub enqueued_at: Instant,
}

/// A target at which places are free of online requests, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlots {
    /// The target.
    pub target: TargetKey,
    /// How many places.
    pub count: u32,
}

/// Whether a request may take one of the places that are free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// It may, any.
    Any,
    /// It may take one at this target, which those before it have left.
    At(TargetKey),
    /// It waits.
    Wait,
}

/// When a request is expected to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartEstimate {
    /// Its number.
    pub ticket: Ticket,
    /// How many begin before it, over all hosts.
    pub ahead: u32,
    /// How long it still waits.
    pub wait: Duration,
    /// Whether it begins too late.
    pub is_late: bool,
}

/// Who takes a place that has fallen free at this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// This host's first request.
    Local(QueuedRequest),
    /// A request of a peer, which is to be told.
    Peer(HostId),
}
