//! What hosts tell one another of limits, and what comes of it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HolderSlot;
use crate::HostKey;
use crate::WorkspaceKey;
use crate::holder::Decision;

/// What hosts tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A holder asks for the receiver's part.
    Call {
        /// The slot.
        slot: HolderSlot,
        /// When it spoke, by its own clock.
        stamp_ms: u64,
        /// Time for which it counts on the part from then on.
        valid_ms: u32,
        /// Whether it has the receiver's part already.
        is_held: bool,
        /// Hosts that it knows of.
        hosts: u32,
    },
    /// A host lends its part.
    Lent {
        /// The slot.
        slot: HolderSlot,
        /// The stamp of the call that it answers.
        stamp_ms: u64,
        /// Hosts that it knows of; its part is one of so many.
        hosts: u32,
    },
    /// May a request of a workspace go?
    Ask {
        /// The slot.
        slot: HolderSlot,
        /// The number of the question at its host.
        number: u32,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Time for which the request can wait and still be served in time.
        patience_ms: u16,
    },
    /// It may go.
    Given {
        /// The number of the question.
        number: u32,
        /// Time until then.
        after_ms: u16,
    },
    /// The limit is reached.
    Refused {
        /// The number of the question.
        number: u32,
        /// Time until there is room again.
        retry_after_ms: u32,
    },
    /// The receiver of the question cannot tell.
    Unknown {
        /// The number of the question.
        number: u32,
    },
    /// Which of the sender's parts does the receiver hold?
    AskHeld,
    /// The receiver's parts that the sender holds.
    Held {
        /// A bit for each slot, the first one lowest.
        slots: u8,
    },
    /// A request that was let in has not run.
    GivenBack {
        /// The slot.
        slot: HolderSlot,
        /// The workspace.
        workspace: WorkspaceKey,
    },
}

/// What comes of a question at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The host holds the slot itself, or nobody can be asked any more.
    Decided {
        /// The number of the question.
        number: u32,
        /// What came of it.
        decision: Decision,
    },
    /// Another host was asked.
    Sent {
        /// The number of the question.
        number: u32,
        /// The host.
        to: HostKey,
        /// The question.
        message: Message,
    },
}

/// What comes of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    None,
    /// An answer to its sender.
    Reply(Message),
    /// A question goes on, or is answered.
    Query(Query),
}

/// Returns a time in whole milliseconds, rounded up: a promise is not due before.
pub(crate) fn short_millis(time: Duration) -> u16 {
    u16::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u16::MAX)
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
