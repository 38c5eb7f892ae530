//! Places that fall free while requests wait: the host whose request ends hands them over.

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
    /// Lets a request that waits take a place that has just fallen free at a target; returns
    /// the peer that is to be told if the request waits there.
    pub(crate) fn transfer_freed_slot(&self, target: &TargetId) -> Option<HostId> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if !state.line.is_contended() {
            return None;
        }
        let service = {
            let places = lock(&self.uses.balancer);
            if !places.can_transfer(target, &self.uses.data_centre, now) {
                return None;
            }
            key(&places.spec(target)?.service)
        };
        let State { line, shares, .. } = &mut *state;
        match line.assign_freed(service, key_of(target), shares, now)? {
            Assignment::Local(first) => {
                self.hand_over(&mut state, first, target, now);
                None
            }
            Assignment::Peer(host) => {
                self.uses
                    .metrics
                    .count(Counted::WaitQueue, "handed to a peer");
                Some(host)
            }
        }
    }

    /// Takes in that a peer hands a place over.
    pub(crate) fn accept_transfer(&self, target: TargetKey) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let (id, service) = {
            let places = lock(&self.uses.balancer);
            let Some(id) = places.id_of(target).cloned() else {
                return;
            };
            let Some(spec) = places.spec(&id) else {
                return;
            };
            let service = key(&spec.service);
            (id, service)
        };
        match state.line.first(service, &state.shares) {
            Some(first) => self.hand_over(&mut state, first, &id, now),
            // Served meanwhile: the place is seen to be free by all.
            None => self
                .uses
                .metrics
                .count(Counted::WaitQueue, "handed in vain"),
        }
    }

    fn hand_over(&self, state: &mut State, first: QueuedRequest, target: &TargetId, now: Instant) {
        let Some(entry) = state.entries.get(&first.ticket) else {
            return;
        };
        let want = entry.wanted.want(&self.uses.data_centre);
        let places = lock(&self.uses.balancer);
        if let Some(choice) = places.choose_transferred(&want, target, now) {
            self.begin_at(state, first.ticket, choice, places, now);
        }
    }
}
