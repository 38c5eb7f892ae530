//! What hosts tell one another of requests that wait: behind their statuses, while any do.

use std::time::Instant;

use notchwharf_proto::messages;
use notchwharf_waiting::Held;
use notchwharf_waiting::Told;

use super::Waiting;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

impl Waiting {
    /// Returns what peers are to be told; nothing while nobody waits anywhere.
    pub(crate) fn told(&self, now: Instant) -> Option<messages::Contention> {
        let state = lock(&self.state);
        if !state.line.is_contended() {
            return None;
        }
        let waiting = state.line.told(&state.shares, now);
        let waiting = waiting.into_iter().map(|told| messages::WaitingRequest {
            service: told.service,
            priority: told.priority,
            level: told.level,
            age_ms: millis(told.age),
        });
        let held = state
            .shares
            .told()
            .into_iter()
            .map(|held| messages::HeldSlots {
                workspace: held.workspace,
                weight_milli: (held.weight * MILLI) as u64,
                places: held.places,
            });
        Some(messages::Contention {
            waiting: waiting.collect(),
            held: held.collect(),
            handed: state.line.handed(now),
        })
    }

    /// Takes in what waits at a peer near by, and what is held there.
    pub(crate) fn peer_tells(&self, host: &str, told: Option<messages::Contention>, now: Instant) {
        let told = told.unwrap_or_default();
        let waiting: Vec<Told> = told.waiting.iter().map(decode_waiting).collect();
        let held = told.held.iter().map(decode_held).collect();
        let mut state = lock(&self.state);
        state.shares.tell(host, held);
        if state.line.tell(host, &waiting, &told.handed, now) {
            drop(state);
            self.wake();
        }
    }

    /// Takes in that requests wait at a host elsewhere.
    pub(crate) fn note_short(&self, data_centre: &str, now: Instant) {
        let mut state = lock(&self.state);
        state.short_at.insert(data_centre.to_owned(), now);
    }

    /// Forgets a peer that is down.
    pub(crate) fn peer_down(&self, host: &str) {
        let mut state = lock(&self.state);
        state.shares.forget(host);
        state.line.forget(host);
        drop(state);
        self.wake();
    }
}

fn decode_waiting(told: &messages::WaitingRequest) -> Told {
    Told {
        service: told.service,
        priority: told.priority,
        level: told.level,
        age: ms(told.age_ms),
    }
}

fn decode_held(told: &messages::HeldSlots) -> Held {
    Held {
        workspace: told.workspace,
        weight: told.weight_milli as f64 / MILLI,
        places: told.places,
    }
}
