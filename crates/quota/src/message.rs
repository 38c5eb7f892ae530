//! Messages about limits between hosts, and their results.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::HolderSlot;
use crate::HostKey;
use crate::WorkspaceKey;
use crate::holder::Decision;

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A holder requests a lease of the receiver's share.
    Call {
        /// Holder slot.
        slot: HolderSlot,
        /// Time of sending, by the sender's clock.
        stamp_ms: u64,
        /// Duration of the lease, from the time of sending.
        valid_ms: u32,
        /// Whether the sender already has a lease of the receiver's share.
        is_held: bool,
        /// Number of hosts known to the sender.
        hosts: u32,
    },
    /// Grants the requested lease.
    Lent {
        /// Holder slot.
        slot: HolderSlot,
        /// `stamp_ms` of the request that is granted.
        stamp_ms: u64,
        /// Number of hosts known to the sender; its share is one divided by this number.
        hosts: u32,
    },
    /// Asks a holder whether a workspace's request may run.
    Ask {
        /// Holder slot.
        slot: HolderSlot,
        /// Number of the query at its sender.
        number: u32,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Longest delay with which the request can still meet its objective.
        patience_ms: u16,
    },
    /// The request may run.
    Given {
        /// Number of the query.
        number: u32,
        /// Time until it may run.
        after_ms: u16,
    },
    /// The limit is reached.
    Refused {
        /// Number of the query.
        number: u32,
        /// Time until a token is available.
        retry_after_ms: u32,
    },
    /// The receiver of the query cannot decide.
    Unknown {
        /// Number of the query.
        number: u32,
    },
    /// Asks which leases of the sender's shares the receiver holds.
    AskHeld,
    /// States which leases of the receiver's shares the sender holds.
    Held {
        /// One bit per holder slot, starting with the lowest.
        slots: u8,
    },
    /// An admitted request was not run, so its token is returned.
    GivenBack {
        /// Holder slot.
        slot: HolderSlot,
        /// The workspace.
        workspace: WorkspaceKey,
    },
}

/// State of a query after a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The query is decided: by this host as the holder, or because no other holder can be
    /// asked.
    Decided {
        /// Number of the query.
        number: u32,
        /// The decision.
        decision: Decision,
    },
    /// The query was sent to another host.
    Sent {
        /// Number of the query.
        number: u32,
        /// The receiver.
        to: HostKey,
        /// The message.
        message: Message,
    },
}

/// What the caller has to do after a message was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    None,
    /// Send a reply to the message's sender.
    Reply(Message),
    /// Continue with a query, or complete it.
    Query(Query),
}

/// Returns a duration in whole milliseconds, rounded up so that a request never runs early.
pub(crate) fn short_millis(time: Duration) -> u16 {
    u16::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u16::MAX)
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
