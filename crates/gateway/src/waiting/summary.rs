//! Exchange of queue summaries between hosts: appended to the status messages while requests
//! wait.

use std::time::Instant;

use notchwharf_proto::messages;
use notchwharf_waiting::RequestSummary;
use notchwharf_waiting::WorkspaceUsage;

use super::RequestQueue;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

impl RequestQueue {
    /// Returns the summary for peers; none while no request waits at any known host.
    pub(crate) fn summary(&self, now: Instant) -> Option<messages::Contention> {
        let state = lock(&self.state);
        if !state.queue.is_contended() {
            return None;
        }
        let waiting = state.queue.summary(&state.usage, now);
        let waiting = waiting.into_iter().map(|request| messages::WaitingRequest {
            service: request.service,
            priority: request.priority,
            level: request.overuse_level,
            age_ms: millis(request.age),
        });
        let held = state
            .usage
            .summary()
            .into_iter()
            .map(|usage| messages::HeldSlots {
                workspace: usage.workspace,
                weight_milli: (usage.weight * MILLI) as u64,
                places: usage.slots,
            });
        Some(messages::Contention {
            waiting: waiting.collect(),
            held: held.collect(),
            handed: state.queue.recent_transfers(now),
        })
    }

    /// Merges the summary of a peer of this data centre: its waiting requests and the slots in
    /// use there.
    pub(crate) fn update_peer(
        &self,
        host: &str,
        contention: Option<messages::Contention>,
        now: Instant,
    ) {
        let contention = contention.unwrap_or_default();
        let waiting: Vec<RequestSummary> = contention.waiting.iter().map(decode_waiting).collect();
        let held = contention.held.iter().map(decode_held).collect();
        let mut state = lock(&self.state);
        state.usage.update_peer(host, held);
        if state
            .queue
            .update_peer(host, &waiting, &contention.handed, now)
        {
            drop(state);
            self.wake();
        }
    }

    /// Records that requests wait at a host of another data centre.
    pub(crate) fn record_remote_queue(&self, data_centre: &str, now: Instant) {
        let mut state = lock(&self.state);
        state.remote_queue_at.insert(data_centre.to_owned(), now);
    }

    /// Removes the state of a peer that is down.
    pub(crate) fn remove_peer(&self, host: &str) {
        let mut state = lock(&self.state);
        state.usage.remove_peer(host);
        state.queue.remove_peer(host);
        drop(state);
        self.wake();
    }
}

fn decode_waiting(request: &messages::WaitingRequest) -> RequestSummary {
    RequestSummary {
        service: request.service,
        priority: request.priority,
        overuse_level: request.level,
        age: ms(request.age_ms),
    }
}

fn decode_held(held: &messages::HeldSlots) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace: held.workspace,
        weight: held.weight_milli as f64 / MILLI,
        slots: held.places,
    }
}
