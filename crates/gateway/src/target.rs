//! Counts requests at targets while they run.

use std::sync::Arc;
use std::time::Instant;

use notchwharf_config::access::WorkspaceName;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::balancer::key_of;

use crate::context::Context;
use crate::sync::lock;
use crate::waiting::ReservedSlot;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// An online request.
    Online,
    /// An item of a job.
    Batch,
}

/// A running request at a target, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    ctx: Arc<Context>,
    target: TargetId,
    class: Class,
    /// The workspace that the slot is counted for, if workspaces share slots.
    workspace: Option<WorkspaceName>,
}

impl Running {
    /// Counts a request that starts at a target.
    pub(crate) fn start(ctx: &Arc<Context>, target: &TargetId, class: Class) -> Self {
        let is_scarce = {
            let mut balancer = lock(&ctx.balancer);
            match class {
                Class::Online => balancer.begin_online(target, Instant::now()),
                Class::Batch => balancer.begin_batch(target),
            }
            balancer.has_scarce_slots(target)
        };
        ctx.peers.notify_load(is_scarce);
        Self {
            ctx: Arc::clone(ctx),
            target: target.clone(),
            class,
            workspace: None,
        }
    }

    /// Returns an online request in a slot that was reserved, and counted, for it.
    pub(crate) fn in_slot(
        ctx: &Arc<Context>,
        slot: ReservedSlot,
        workspace: Option<&str>,
        weight: f64,
    ) -> Self {
        if let Some(workspace) = workspace {
            ctx.request_queue.record_start(workspace, weight);
        }
        ctx.peers.notify();
        Self {
            ctx: Arc::clone(ctx),
            target: slot.commit(),
            class: Class::Online,
            workspace: workspace.map(str::to_owned),
        }
    }

    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let was_scarce = {
            let mut balancer = lock(&self.ctx.balancer);
            let was_scarce = balancer.has_scarce_slots(&self.target);
            match self.class {
                Class::Online => balancer.end_online(&self.target),
                Class::Batch => balancer.end_batch(&self.target),
            }
            was_scarce
        };
        if let Some(workspace) = &self.workspace {
            self.ctx.request_queue.record_end(workspace);
        }
        if let Some(host) = self.ctx.request_queue.transfer_freed_slot(&self.target) {
            self.ctx.peers.transfer_slot(&host, key_of(&self.target));
        }
        self.ctx.peers.notify_load(was_scarce);
        self.ctx.items.wake();
        self.ctx.request_queue.wake();
    }
}
