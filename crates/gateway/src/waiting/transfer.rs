//! Transfer of freed slots: while requests wait, the host at which a request ends assigns the slot
//! to the first request in the queue, here or at a peer.

use std::time::Instant;

use notchwharf_routing::balancer::HostId;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::balancer::TargetKey;
use notchwharf_routing::balancer::key_of;
use notchwharf_waiting::Assignment;
use notchwharf_waiting::QueuedRequest;
use notchwharf_waiting::key;

use super::RequestQueue;
use super::State;
use crate::metrics::Counted;
use crate::sync::lock;

impl RequestQueue {
    /// Assigns a target's slot that was just freed to a waiting request. Returns the peer to
    /// which the slot has to be transferred if the request waits there.
    pub(crate) fn transfer_freed_slot(&self, target: &TargetId) -> Option<HostId> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if !state.queue.is_contended() {
            return None;
        }
        let service = {
            let balancer = lock(&self.deps.balancer);
            if !balancer.can_transfer(target, &self.deps.data_centre, now) {
                return None;
            }
            key(&balancer.spec(target)?.service)
        };
        let State { queue, usage, .. } = &mut *state;
        match queue.assign_freed(service, key_of(target), usage, now)? {
            Assignment::Local(first) => {
                self.start_transferred(&mut state, first, target, now);
                None
            }
            Assignment::Peer(host) => {
                self.deps
                    .metrics
                    .count(Counted::WaitQueue, "handed to a peer");
                Some(host)
            }
        }
    }

    /// Accepts a slot that a peer transfers.
    pub(crate) fn accept_transfer(&self, target: TargetKey) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let (id, service) = {
            let balancer = lock(&self.deps.balancer);
            let Some(id) = balancer.id_of(target).cloned() else {
                return;
            };
            let Some(spec) = balancer.spec(&id) else {
                return;
            };
            let service = key(&spec.service);
            (id, service)
        };
        match state.queue.first(service, &state.usage) {
            Some(first) => self.start_transferred(&mut state, first, &id, now),
            // The request was served meanwhile. The slot counts as free at all hosts.
            None => self
                .deps
                .metrics
                .count(Counted::WaitQueue, "handed in vain"),
        }
    }

    /// Starts a request in a transferred slot, if the balancer still allows it.
    fn start_transferred(
        &self,
        state: &mut State,
        first: QueuedRequest,
        target: &TargetId,
        now: Instant,
    ) {
        let Some(entry) = state.entries.get(&first.ticket) else {
            return;
        };
        let criteria = entry.request.criteria(&self.deps.data_centre);
        let balancer = lock(&self.deps.balancer);
        if let Some(choice) = balancer.choose_transferred(&criteria, target, now) {
            self.start_at(state, first.ticket, choice, balancer, now);
        }
    }
}
