//! What a request asks of the line, and what it is told.

use std::time::Duration;
use std::time::Instant;

use notchwharf_config::access::WorkspaceName;
use notchwharf_config::routes::ServiceName;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::peer_queues::Ahead;

use crate::RequestId;

/// What a request waits for, and what its place in the line follows from.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) affinity: u64,
    /// Targets that it was offered to before.
    pub(crate) tried: Vec<TargetId>,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) standing: Standing,
    /// When it came.
    pub(crate) since: Instant,
    /// Until when its first event is in time.
    pub(crate) due: Instant,
}

/// What a request's place in the line follows from, beside its age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// How urgent it is; 0 is the most urgent.
    pub(crate) priority: u8,
    /// What its workspace may hold against others.
    pub(crate) weight: f64,
}

impl Wanted {
    pub(super) fn want<'a>(&'a self, data_centre: &'a str) -> Criteria<'a> {
        Criteria {
            service: &self.service,
            data_centre,
            affinity: self.affinity,
            tried: &self.tried,
            objective: None,
            ahead: Ahead::default(),
        }
    }
}

/// Why a request was not given a place; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// There is no target that it was not offered to.
    NoTarget,
    /// No place falls free in time.
    NoRoom {
        /// When to come back.
        retry_after: Duration,
    },
}
