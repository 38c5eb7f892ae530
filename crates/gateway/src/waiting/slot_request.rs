//! What a request passes to the wait queue, and the error that the queue may return.

use std::time::Duration;
use std::time::Instant;

use notchwharf_config::access::WorkspaceName;
use notchwharf_config::routes::ServiceName;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::peer_queues::Ahead;

use crate::RequestId;

/// A request for a slot, with the values that determine its position in the queue.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) affinity: u64,
    /// Targets that the request was offered to before.
    pub(crate) tried: Vec<TargetId>,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) scheduling: SchedulingParams,
    /// When the request arrived.
    pub(crate) waiting_since: Instant,
    /// When its first event is due.
    pub(crate) first_event_due: Instant,
}

/// The values that, beside its age, determine a request's position in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SchedulingParams {
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u8,
    /// The weight by which its workspace shares slots with others.
    pub(crate) weight: f64,
}

impl SlotRequest {
    pub(super) fn criteria<'a>(&'a self, data_centre: &'a str) -> Criteria<'a> {
        Criteria {
            service: &self.service,
            data_centre,
            affinity: self.affinity,
            tried: &self.tried,
            objective: None,
            ahead: Ahead::default(),
            version: None,
        }
    }
}

/// Why a request got no slot; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// The request was already offered to every target.
    NoTarget,
    /// No slot is freed in time.
    NoSlotInTime {
        /// When to try again.
        retry_after: Duration,
    },
}
