//! Requests that run at targets, counted as long as they run.

use std::sync::Arc;
use std::time::Instant;

use notchwharf_config::access::WorkspaceName;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::balancer::key_of;

use crate::context::Context;
use crate::sync::lock;
use crate::waiting::Place;

/// The kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// An online request.
    Online,
    /// An item of a job.
    Batch,
}

/// A request at a target; the count ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    ctx: Arc<Context>,
    target: TargetId,
    class: Class,
    /// Whose place it is, where workspaces share places.
    workspace: Option<WorkspaceName>,
}

impl Running {
    pub(crate) fn start(ctx: &Arc<Context>, target: &TargetId, class: Class) -> Self {
        let is_scarce = {
            let mut places = lock(&ctx.balancer);
            match class {
                Class::Online => places.begin_online(target, Instant::now()),
                Class::Batch => places.begin_batch(target),
            }
            places.has_scarce_slots(target)
        };
        ctx.peers.notify_load(is_scarce);
        Self {
            ctx: Arc::clone(ctx),
            target: target.clone(),
            class,
            workspace: None,
        }
    }

    /// Returns an online request at a place that was found for it, and counted.
    pub(crate) fn in_slot(
        ctx: &Arc<Context>,
        place: Place,
        workspace: Option<&str>,
        weight: f64,
    ) -> Self {
        if let Some(workspace) = workspace {
            ctx.waiting.record_start(workspace, weight);
        }
        ctx.peers.notify();
        Self {
            ctx: Arc::clone(ctx),
            target: place.take(),
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
            let mut places = lock(&self.ctx.balancer);
            let was_scarce = places.has_scarce_slots(&self.target);
            match self.class {
                Class::Online => places.end_online(&self.target),
                Class::Batch => places.end_batch(&self.target),
            }
            was_scarce
        };
        if let Some(workspace) = &self.workspace {
            self.ctx.waiting.record_end(workspace);
        }
        if let Some(host) = self.ctx.waiting.transfer_freed_slot(&self.target) {
            self.ctx.peers.transfer_slot(&host, key_of(&self.target));
        }
        self.ctx.peers.notify_load(was_scarce);
        self.ctx.items.wake();
        self.ctx.waiting.wake();
    }
}
