//! Questions whether requests may go: to which holder, again, and what comes of them.

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

/// Questions that a host has open at most; beyond, the oldest are forgotten.
const OPEN_MAX: usize = 4_096;

/// A question that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Open {
    workspace: WorkspaceKey,
    patience: Duration,
    /// The slot that was asked last.
    slot: usize,
    /// Slots that have refused, with when there is room again.
    refused: [Option<Duration>; HOLDER_SLOTS],
    /// Times that a slot was asked.
    asked: usize,
}

impl Open {
    /// Returns what its host is told if nobody lets the request go.
    fn refusal(&self) -> Decision {
        let soonest = self.refused.iter().flatten().min();
        soonest.map_or(Decision::Unknown, |retry_after| Decision::Refused {
            retry_after: *retry_after,
        })
    }
}

impl Limiter {
    /// Asks whether a request of a workspace may go, now or within a time.
    pub fn query(&mut self, workspace: WorkspaceKey, patience: Duration, now: Instant) -> Query {
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        // Both holders are asked by turns, so that both are used up evenly.
        let slot = number as usize % HOLDER_SLOTS;
        let open = Open {
            workspace,
            patience,
            slot,
            refused: [None; HOLDER_SLOTS],
            asked: 0,
        };
        self.go_on(number, open, now)
    }

    /// Asks the other holder, the first one having been silent for some time; nothing if
    /// the question was answered meanwhile.
    pub fn retry_query(&mut self, number: u32, now: Instant) -> Option<Query> {
        let mut open = self.open.remove(&number)?;
        open.slot = (open.slot + 1) % HOLDER_SLOTS;
        Some(self.go_on(number, open, now))
    }

    /// Gives a question up.
    pub fn cancel_query(&mut self, number: u32) {
        self.open.remove(&number);
    }

    fn go_on(&mut self, number: u32, mut open: Open, now: Instant) -> Query {
        for _ in 0..HOLDER_SLOTS {
            let slot = open.slot;
            if open.refused[slot].is_none() {
                open.asked += 1;
                match self.holder_of(slot, now) {
                    Some(host) if host == self.own => {
                        let holder = &mut self.slots[slot].holder;
                        match holder.take(open.workspace, open.patience, now) {
                            Decision::Admitted { delay } => {
                                return self.given(number, slot, open.workspace, delay);
                            }
                            Decision::Refused { retry_after } => {
                                open.refused[slot] = Some(retry_after);
                            }
                            Decision::Unknown => {}
                        }
                    }
                    Some(host) => return self.send(number, open, host),
                    None => {}
                }
            }
            open.slot = (slot + 1) % HOLDER_SLOTS;
        }
        Query::Decided {
            number,
            decision: open.refusal(),
        }
    }

    fn send(&mut self, number: u32, open: Open, to: HostKey) -> Query {
        let message = Message::Ask {
            slot: open.slot as HolderSlot,
            number,
            workspace: open.workspace,
            patience_ms: short_millis(open.patience),
        };
        if self.open.len() >= OPEN_MAX {
            // Whoever asked so many before has given up.
            let oldest = number.wrapping_sub(OPEN_MAX as u32);
            self.open
                .retain(|known, _| known.wrapping_sub(oldest) < OPEN_MAX as u32);
        }
        self.open.insert(number, open);
        Query::Sent {
            number,
            to,
            message,
        }
    }

    fn given(
        &mut self,
        number: u32,
        slot: usize,
        workspace: WorkspaceKey,
        delay: Duration,
    ) -> Query {
        if self.given.len() >= OPEN_MAX {
            // Requests that old have long run.
            self.given.clear();
        }
        self.given.insert(number, (slot, workspace));
        Query::Decided {
            number,
            decision: Decision::Admitted { delay },
        }
    }

    /// Returns the host to ask about a slot: the one to which this host has lent its
    /// part, or the best of those that call.
    pub(super) fn holder_of(&self, slot: usize, now: Instant) -> Option<HostKey> {
        let slots = &self.slots[slot];
        slots.lender.lent_to(now).or_else(|| {
            let calling = slots.callers.iter().filter(|(_, until)| now < **until);
            let calling = calling.map(|(host, _)| *host);
            calling.max_by_key(|host| rank(slot, *host))
        })
    }

    /// Notes that a request that was let in has not run; returns whom to tell.
    pub fn refund(&mut self, number: u32, now: Instant) -> Option<(HostKey, Message)> {
        let (slot, workspace) = self.given.remove(&number)?;
        let host = self.holder_of(slot, now)?;
        if host == self.own {
            self.slots[slot].holder.refund(workspace, now);
            return None;
        }
        let slot = slot as HolderSlot;
        Some((host, Message::GivenBack { slot, workspace }))
    }

    /// Notes that a request that was let in has run, or may have.
    pub fn confirm(&mut self, number: u32) {
        self.given.remove(&number);
    }

    pub(super) fn answered(&mut self, number: u32, decision: Decision, now: Instant) -> Action {
        let Some(mut open) = self.open.remove(&number) else {
            return Action::None;
        };
        let slot = open.slot;
        match decision {
            Decision::Admitted { delay } => {
                let workspace = open.workspace;
                return Action::Query(self.given(number, slot, workspace, delay));
            }
            Decision::Refused { retry_after } => open.refused[slot] = Some(retry_after),
            Decision::Unknown => {}
        }
        if open.asked >= HOLDER_SLOTS {
            let decision = open.refusal();
            return Action::Query(Query::Decided { number, decision });
        }
        open.slot = (slot + 1) % HOLDER_SLOTS;
        Action::Query(self.go_on(number, open, now))
    }

    /// Answers another host's question.
    pub(super) fn asked(
        &mut self,
        slot: HolderSlot,
        number: u32,
        workspace: WorkspaceKey,
        patience: Duration,
        now: Instant,
    ) -> Action {
        let Some(slot) = self.slots.get_mut(usize::from(slot)) else {
            return Action::None;
        };
        Action::Reply(match slot.holder.take(workspace, patience, now) {
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
