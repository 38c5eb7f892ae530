//! A place that was found for a request.

use std::sync::Arc;
use std::sync::Mutex;

use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::TargetId;
use tokio::sync::Notify;

use crate::sync::lock;

/// A place at a target, counted for a request that is about to be sent there; dropped
/// before, it is free again.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) choice: Choice,
    pub(super) places: Arc<Mutex<Balancer>>,
    pub(super) changed: Arc<Notify>,
    pub(super) is_taken: bool,
}

impl Place {
    /// Leaves the count to whoever takes the place.
    pub(crate) fn take(mut self) -> TargetId {
        self.is_taken = true;
        self.choice.target.clone()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.is_taken {
            lock(&self.places).end_online(&self.choice.target);
            self.changed.notify_one();
        }
    }
}
