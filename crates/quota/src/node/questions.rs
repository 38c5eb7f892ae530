//! Questions whether requests may go: to which holder, again, and what comes of them.

use std::time::Duration;
use std::time::Instant;

use super::Node;
use super::rank;
use crate::HostKey;
use crate::SLOTS;
use crate::SlotNumber;
use crate::WorkspaceKey;
use crate::holder::Taken;
use crate::message::Asked;
use crate::message::Message;
use crate::message::Reaction;
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
    refused: [Option<Duration>; SLOTS],
    /// Times that a slot was asked.
    asked: usize,
}

impl Open {
    /// Returns what its host is told if nobody lets the request go.
    fn refusal(&self) -> Taken {
        let soonest = self.refused.iter().flatten().min();
        soonest.map_or(Taken::CannotTell, |retry_after| Taken::Refused {
            retry_after: *retry_after,
        })
    }
}

impl Node {
    /// Asks whether a request of a workspace may go, now or within a time.
    pub fn ask(&mut self, workspace: WorkspaceKey, patience: Duration, now: Instant) -> Asked {
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        // Both holders are asked by turns, so that both are used up evenly.
        let slot = number as usize % SLOTS;
        let open = Open {
            workspace,
            patience,
            slot,
            refused: [None; SLOTS],
            asked: 0,
        };
        self.go_on(number, open, now)
    }

    /// Asks the other holder, the first one having been silent for some time; nothing if
    /// the question was answered meanwhile.
    pub fn ask_again(&mut self, number: u32, now: Instant) -> Option<Asked> {
        let mut open = self.open.remove(&number)?;
        open.slot = (open.slot + 1) % SLOTS;
        Some(self.go_on(number, open, now))
    }

    /// Gives a question up.
    pub fn give_up(&mut self, number: u32) {
        self.open.remove(&number);
    }

    fn go_on(&mut self, number: u32, mut open: Open, now: Instant) -> Asked {
        for _ in 0..SLOTS {
            let slot = open.slot;
            if open.refused[slot].is_none() {
                open.asked += 1;
                match self.holder_of(slot, now) {
                    Some(host) if host == self.own => {
                        let holder = &mut self.slots[slot].holder;
                        match holder.take(open.workspace, open.patience, now) {
                            Taken::Given { after } => {
                                return self.given(number, slot, open.workspace, after);
                            }
                            Taken::Refused { retry_after } => {
                                open.refused[slot] = Some(retry_after);
                            }
                            Taken::CannotTell => {}
                        }
                    }
                    Some(host) => return self.send(number, open, host),
                    None => {}
                }
            }
            open.slot = (slot + 1) % SLOTS;
        }
        Asked::Answered {
            number,
            taken: open.refusal(),
        }
    }

    fn send(&mut self, number: u32, open: Open, to: HostKey) -> Asked {
        let message = Message::Ask {
            slot: open.slot as SlotNumber,
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
        Asked::Sent {
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
        after: Duration,
    ) -> Asked {
        if self.given.len() >= OPEN_MAX {
            // Requests that old have long run.
            self.given.clear();
        }
        self.given.insert(number, (slot, workspace));
        Asked::Answered {
            number,
            taken: Taken::Given { after },
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
    pub fn give_back(&mut self, number: u32, now: Instant) -> Option<(HostKey, Message)> {
        let (slot, workspace) = self.given.remove(&number)?;
        let host = self.holder_of(slot, now)?;
        if host == self.own {
            self.slots[slot].holder.give_back(workspace, now);
            return None;
        }
        let slot = slot as SlotNumber;
        Some((host, Message::GivenBack { slot, workspace }))
    }

    /// Notes that a request that was let in has run, or may have.
    pub fn ran(&mut self, number: u32) {
        self.given.remove(&number);
    }

    pub(super) fn answered(&mut self, number: u32, taken: Taken, now: Instant) -> Reaction {
        let Some(mut open) = self.open.remove(&number) else {
            return Reaction::None;
        };
        let slot = open.slot;
        match taken {
            Taken::Given { after } => {
                let workspace = open.workspace;
                return Reaction::Asked(self.given(number, slot, workspace, after));
            }
            Taken::Refused { retry_after } => open.refused[slot] = Some(retry_after),
            Taken::CannotTell => {}
        }
        if open.asked >= SLOTS {
            let taken = open.refusal();
            return Reaction::Asked(Asked::Answered { number, taken });
        }
        open.slot = (slot + 1) % SLOTS;
        Reaction::Asked(self.go_on(number, open, now))
    }

    /// Answers another host's question.
    pub(super) fn asked(
        &mut self,
        slot: SlotNumber,
        number: u32,
        workspace: WorkspaceKey,
        patience: Duration,
        now: Instant,
    ) -> Reaction {
        let Some(slot) = self.slots.get_mut(usize::from(slot)) else {
            return Reaction::None;
        };
        Reaction::Reply(match slot.holder.take(workspace, patience, now) {
            Taken::Given { after } => Message::Given {
                number,
                after_ms: short_millis(after),
            },
            Taken::Refused { retry_after } => Message::Refused {
                number,
                retry_after_ms: millis(retry_after),
            },
            Taken::CannotTell => Message::Unknown { number },
        })
    }
}
