//! What hosts tell one another of requests that wait: behind their statuses, while any do.

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
    /// Returns what peers are to be told; nothing while nobody waits anywhere.
    pub(crate) fn summary(&self, now: Instant) -> Option<messages::Contention> {
        let state = lock(&self.state);
        if !state.line.is_contended() {
            return None;
        }
        let waiting = state.line.summary(&state.shares, now);
        let waiting = waiting.into_iter().map(|told| messages::WaitingRequest {
            service: told.service,
            priority: told.priority,
            level: told.overuse_level,
            age_ms: millis(told.age),
        });
        let held = state
            .shares
            .summary()
            .into_iter()
            .map(|held| messages::HeldSlots {
                workspace: held.workspace,
                weight_milli: (held.weight * MILLI) as u64,
                places: held.slots,
            });
        Some(messages::Contention {
            waiting: waiting.collect(),
            held: held.collect(),
            handed: state.line.recent_transfers(now),
        })
    }

    /// Takes in what waits at a peer near by, and what is held there.
    pub(crate) fn update_peer(&self, host: &str, told: Option<messages::Contention>, now: Instant) {
        let told = told.unwrap_or_default();
        let waiting: Vec<RequestSummary> = told.waiting.iter().map(decode_waiting).collect();
        let held = told.held.iter().map(decode_held).collect();
        let mut state = lock(&self.state);
        state.shares.update_peer(host, held);
        if state.line.update_peer(host, &waiting, &told.handed, now) {
            drop(state);
            self.wake();
        }
    }

    /// Takes in that requests wait at a host elsewhere.
    pub(crate) fn record_remote_queue(&self, data_centre: &str, now: Instant) {
        let mut state = lock(&self.state);
        state.short_at.insert(data_centre.to_owned(), now);
    }

    /// Forgets a peer that is down.
    pub(crate) fn remove_peer(&self, host: &str) {
        let mut state = lock(&self.state);
        state.shares.remove_peer(host);
        state.line.remove_peer(host);
        drop(state);
        self.wake();
    }
}

fn decode_waiting(told: &messages::WaitingRequest) -> RequestSummary {
    RequestSummary {
        service: told.service,
        priority: told.priority,
        overuse_level: told.level,
        age: ms(told.age_ms),
    }
}

fn decode_held(told: &messages::HeldSlots) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace: told.workspace,
        weight: told.weight_milli as f64 / MILLI,
        slots: told.places,
    }
}
