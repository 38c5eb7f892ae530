//! Queries whether requests may run: selection of the holder, retries and results.
//!
//! Queries are tracked by number because datagrams may be lost, delayed or duplicated: a
//! reply counts only while its query is pending.

use std::time::Duration;
use std::time::Instant;

use super::Limiter;
use super::rank;
use crate::HOLDER_SLOTS;
use crate::HolderSlot;
use crate::HostKey;
use crate::WorkspaceKey;
use crate::holder::Decision;
use crate::message::Action;
use crate::message::Message;
use crate::message::Query;
use crate::message::millis;
use crate::message::short_millis;

/// Maximum number of pending queries; the oldest are dropped beyond it.
const PENDING_MAX: usize = 4_096;

/// A query without a decision.
#[derive(Clone, Debug)]
pub(super) struct PendingQuery {
    workspace: WorkspaceKey,
    max_delay: Duration,
    /// The slot queried last.
    slot: usize,
    /// Slots that refused the request, with the time until a token is available.
    refused: [Option<Duration>; HOLDER_SLOTS],
    /// Number of times a slot was queried.
    attempts: usize,
}

impl PendingQuery {
    /// Returns the decision if no slot admits the request.
    fn refusal(&self) -> Decision {
        let soonest = self.refused.iter().flatten().min();
        soonest.map_or(Decision::Unknown, |retry_after| Decision::Refused {
            retry_after: *retry_after,
        })
    }
}

impl Limiter {
    /// Queries whether a workspace's request may run, now or within `max_delay`.
    pub fn query(&mut self, workspace: WorkspaceKey, max_delay: Duration, now: Instant) -> Query {
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        // Queries alternate between the slots so that both are used evenly.
        let slot = number as usize % HOLDER_SLOTS;
        let query = PendingQuery {
            workspace,
            max_delay,
            slot,
            refused: [None; HOLDER_SLOTS],
            attempts: 0,
        };
        self.advance(number, query, now)
    }

    /// Queries the other holder because the first has not replied in time; `None` if the
    /// query has been decided in the meantime.
    pub fn retry_query(&mut self, number: u32, now: Instant) -> Option<Query> {
        let mut query = self.pending.remove(&number)?;
        query.slot = (query.slot + 1) % HOLDER_SLOTS;
        Some(self.advance(number, query, now))
    }

    /// Cancels a query.
    pub fn cancel_query(&mut self, number: u32) {
        self.pending.remove(&number);
    }

    fn advance(&mut self, number: u32, mut query: PendingQuery, now: Instant) -> Query {
        for _ in 0..HOLDER_SLOTS {
            let slot = query.slot;
            if query.refused[slot].is_none() {
                query.attempts += 1;
                match self.holder_of(slot, now) {
                    Some(host) if host == self.own => {
                        let holder = &mut self.slots[slot].holder;
                        match holder.decide(query.workspace, query.max_delay, now) {
                            Decision::Admitted { delay } => {
                                return self.admit(number, slot, query.workspace, delay);
                            }
                            Decision::Refused { retry_after } => {
                                query.refused[slot] = Some(retry_after);
                            }
                            Decision::Unknown => {}
                        }
                    }
                    Some(host) => return self.send_query(number, query, host),
                    None => {}
                }
            }
            query.slot = (slot + 1) % HOLDER_SLOTS;
        }
        Query::Decided {
            number,
            decision: query.refusal(),
        }
    }

    fn send_query(&mut self, number: u32, query: PendingQuery, to: HostKey) -> Query {
        let message = Message::Ask {
            slot: query.slot as HolderSlot,
            number,
            workspace: query.workspace,
            patience_ms: short_millis(query.max_delay),
        };
        if self.pending.len() >= PENDING_MAX {
            // Queries that old have been cancelled by their callers.
            let oldest = number.wrapping_sub(PENDING_MAX as u32);
            self.pending
                .retain(|known, _| known.wrapping_sub(oldest) < PENDING_MAX as u32);
        }
        self.pending.insert(number, query);
        Query::Sent {
            number,
            to,
            message,
        }
    }

    fn admit(
        &mut self,
        number: u32,
        slot: usize,
        workspace: WorkspaceKey,
        delay: Duration,
    ) -> Query {
        if self.admitted.len() >= PENDING_MAX {
            // Requests that old have finished.
            self.admitted.clear();
        }
        self.admitted.insert(number, (slot, workspace));
        Query::Decided {
            number,
            decision: Decision::Admitted { delay },
        }
    }

    /// Returns the host to query for a slot: the one to which this host has leased its share,
    /// or else the preferred host among those requesting leases.
    pub(super) fn holder_of(&self, slot: usize, now: Instant) -> Option<HostKey> {
        let state = &self.slots[slot];
        state.grantor.leased_to(now).or_else(|| {
            let requesting = state.requesters.iter().filter(|(_, until)| now < **until);
            let requesting = requesting.map(|(host, _)| *host);
            requesting.max_by_key(|host| rank(slot, *host))
        })
    }

    /// Refunds an admitted request that was not run; returns the message to send, if any.
    pub fn refund(&mut self, number: u32, now: Instant) -> Option<(HostKey, Message)> {
        let (slot, workspace) = self.admitted.remove(&number)?;
        let host = self.holder_of(slot, now)?;
        if host == self.own {
            self.slots[slot].holder.refund(workspace, now);
            return None;
        }
        let slot = slot as HolderSlot;
        Some((host, Message::GivenBack { slot, workspace }))
    }

    /// Records that an admitted request was run, or may have been.
    pub fn confirm(&mut self, number: u32) {
        self.admitted.remove(&number);
    }

    pub(super) fn receive_decision(
        &mut self,
        number: u32,
        decision: Decision,
        now: Instant,
    ) -> Action {
        let Some(mut query) = self.pending.remove(&number) else {
            return Action::None;
        };
        let slot = query.slot;
        match decision {
            Decision::Admitted { delay } => {
                let workspace = query.workspace;
                return Action::Query(self.admit(number, slot, workspace, delay));
            }
            Decision::Refused { retry_after } => query.refused[slot] = Some(retry_after),
            Decision::Unknown => {}
        }
        if query.attempts >= HOLDER_SLOTS {
            let decision = query.refusal();
            return Action::Query(Query::Decided { number, decision });
        }
        query.slot = (slot + 1) % HOLDER_SLOTS;
        Action::Query(self.advance(number, query, now))
    }

    /// Decides another host's query.
    pub(super) fn decide(
        &mut self,
        slot: HolderSlot,
        number: u32,
        workspace: WorkspaceKey,
        max_delay: Duration,
        now: Instant,
    ) -> Action {
        let Some(slot) = self.slots.get_mut(usize::from(slot)) else {
            return Action::None;
        };
        Action::Reply(match slot.holder.decide(workspace, max_delay, now) {
            Decision::Admitted { delay } => Message::Given {
                number,
                after_ms: short_millis(delay),
            },
            Decision::Refused { retry_after } => Message::Refused {
                number,
                retry_after_ms: millis(retry_after),
            },
            Decision::Unknown => Message::Unknown { number },
        })
    }
}
