//! A slot that is reserved for a request before the request is sent.

use std::sync::Arc;
use std::sync::Mutex;

use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::TargetId;
use tokio::sync::Notify;

use crate::sync::lock;

/// A slot of a target, counted for a request that is about to be sent there. Dropping it
/// without [`ReservedSlot::commit`] frees the slot.
#[derive(Debug)]
pub(crate) struct ReservedSlot {
    pub(crate) choice: Choice,
    pub(super) balancer: Arc<Mutex<Balancer>>,
    pub(super) status_changed: Arc<Notify>,
    pub(super) is_committed: bool,
}

impl ReservedSlot {
    /// Transfers the counted slot to the caller, which has to free it.
    pub(crate) fn commit(mut self) -> TargetId {
        self.is_committed = true;
        self.choice.target.clone()
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if !self.is_committed {
            lock(&self.balancer).end_online(&self.choice.target);
            self.status_changed.notify_one();
        }
    }
}
