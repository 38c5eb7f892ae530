//! Failures of this package.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::record::HostId;
use crate::record::Offset;

/// Why the fold ignores a record or an entry.
///
/// Every reader of a stream ignores the same ones for the same reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ignored {
    /// The record is a second copy of one already folded.
    Copy,
    /// The record's epoch is not that of the lease in force.
    Fenced,
    /// The claim names a lease that is not the one in force.
    StaleClaim,
    /// The holder was heard after the point that the claim names.
    HolderAlive,
    /// The entry names a job, item, file or key that is not there.
    Unknown,
    /// The item has a final answer already.
    Settled,
    /// The attempt was counted already.
    Counted,
    /// The job was cancelled.
    Cancelled,
    /// The key was used with another body.
    OtherBody,
    /// The key was started already, and its call has no recorded end.
    Started,
}

impl fmt::Display for Ignored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Copy => "second copy of a record",
            Self::Fenced => "written under an older epoch",
            Self::StaleClaim => "the claim names another lease than the one in force",
            Self::HolderAlive => "the holder was heard since",
            Self::Unknown => "names nothing that is known",
            Self::Settled => "the item has its final answer already",
            Self::Counted => "the attempt was counted already",
            Self::Cancelled => "the job was cancelled",
            Self::OtherBody => "the key was used with another body",
            Self::Started => "the call was started already and has no recorded end",
        })
    }
}

impl std::error::Error for Ignored {}

/// Why a stream cannot be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldError {
    /// Records between the snapshot and the oldest kept record are gone.
    Gap {
        /// The offset expected next.
        expected: Offset,
        /// The offset found.
        found: Offset,
    },
    /// The bytes of a record or snapshot cannot be decoded.
    Undecodable,
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => write!(
                f,
                "records {expected} to {found} are gone from the log: raise its retention"
            ),
            Self::Undecodable => f.write_str("undecodable record or snapshot"),
        }
    }
}

impl std::error::Error for FoldError {}

/// Why an owner did not carry a command out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandError {
    /// This host does not hold the shard; the command was not run.
    NotOwner {
        /// The holder, where it is known.
        holder: Option<HostId>,
    },
    /// The log does not answer; the command was not run.
    LogDown,
    /// The command went to the log, and its outcome is not known.
    Unknown,
    /// The command makes no sense against the state; it was not run.
    Invalid(Ignored),
}

impl CommandError {
    /// Returns whether the command certainly had no effect.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner { holder: Some(host) } => write!(f, "host {host} holds the shard"),
            Self::NotOwner { holder: None } => f.write_str("no host holds the shard yet"),
            Self::LogDown => f.write_str("the platform's log does not answer"),
            Self::Unknown => f.write_str("the outcome is not known"),
            Self::Invalid(why) => why.fmt(f),
        }
    }
}

impl std::error::Error for CommandError {}
