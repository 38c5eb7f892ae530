//! Requests that run at targets, counted as long as they run.

use std::sync::Arc;
use std::time::Instant;

use notchwharf_routing::places::TargetId;

use crate::context::Context;
use crate::sync::lock;

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
}

impl Running {
    pub(crate) fn begin(ctx: &Arc<Context>, target: &TargetId, class: Class) -> Self {
        {
            let mut places = lock(&ctx.places);
            match class {
                Class::Online => places.begin_online(target, Instant::now()),
                Class::Batch => places.begin_batch(target),
            }
        }
        ctx.peers.tell();
        Self {
            ctx: Arc::clone(ctx),
            target: target.clone(),
            class,
        }
    }

    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        {
            let mut places = lock(&self.ctx.places);
            match self.class {
                Class::Online => places.end_online(&self.target),
                Class::Batch => places.end_batch(&self.target),
            }
        }
        self.ctx.peers.tell();
        self.ctx.items.wake();
    }
}
