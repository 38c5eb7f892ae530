//! Errors of this crate.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::record::HostId;
use crate::record::Offset;

/// The reason why a record or an entry is ignored when it is applied.
///
/// Every reader of a stream ignores the same records for the same reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ignored {
    /// The record is a duplicate of one already applied.
    Copy,
    /// The lease or incarnation of the writer is no longer current.
    Fenced,
    /// The claim would end a lease other than the current one.
    StaleClaim,
    /// The holder wrote a record that the claimant had not read.
    HolderAlive,
    /// The job, item, file, key or lease does not exist.
    Unknown,
    /// The item or call already has a final outcome.
    Settled,
    /// The failed attempt was already counted.
    Counted,
    /// The job was cancelled.
    Cancelled,
    /// The key was used with a different request.
    OtherBody,
    /// The call was already started, and no outcome is recorded.
    Started,
}

impl fmt::Display for Ignored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Copy => "duplicate record",
            Self::Fenced => "the lease or incarnation of the writer is no longer current",
            Self::StaleClaim => "the claim would end a lease other than the current one",
            Self::HolderAlive => "the holder wrote a record that the claimant had not read",
            Self::Unknown => "the job, item, file, key or lease does not exist",
            Self::Settled => "the item or call already has a final outcome",
            Self::Counted => "the failed attempt was already counted",
            Self::Cancelled => "the job was cancelled",
            Self::OtherBody => "the key was used with a different request",
            Self::Started => "the call was already started, and no outcome is recorded",
        })
    }
}

impl std::error::Error for Ignored {}

/// An error that prevents a stream from being folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldError {
    /// Records between the snapshot and the oldest retained record are missing.
    Gap {
        /// The offset that was expected next.
        expected: Offset,
        /// The offset that was found.
        found: Offset,
    },
    /// A record, blob or snapshot cannot be decoded.
    Undecodable,
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => write!(
                f,
                "expected record {expected} but found {found}: increase the log's retention"
            ),
            Self::Undecodable => f.write_str("undecodable record, blob or snapshot"),
        }
    }
}

impl std::error::Error for FoldError {}

/// The reason why a command was not executed or has no known outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandError {
    /// This host does not hold the shard; the command was not executed.
    NotOwner {
        /// The holder, if known.
        holder: Option<HostId>,
    },
    /// The log is unavailable; the command was not executed.
    LogDown,
    /// The command was appended to the log, but its outcome is unknown.
    Unknown,
    /// The command is invalid in the current state; it was not executed.
    Invalid(Ignored),
}

impl CommandError {
    /// Returns whether the command certainly was not executed.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner { holder: Some(host) } => write!(f, "host {host} holds the shard"),
            Self::NotOwner { holder: None } => f.write_str("no host is known to hold the shard"),
            Self::LogDown => f.write_str("the platform's log is unavailable"),
            Self::Unknown => f.write_str("the outcome is unknown"),
            Self::Invalid(reason) => reason.fmt(f),
        }
    }
}

impl std::error::Error for CommandError {}
