//! Errors of this crate.

use std::fmt;

/// An error of a call to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed before the response was complete.
    Lost,
    /// The response was not complete within the timeout.
    TimedOut,
    /// The response is longer than a response may be.
    TooLong,
    /// The response's head is invalid, or nothing marks the end of its body.
    Invalid,
    /// The response has this status, which is not a success.
    Status(u16),
    /// The response does not have the expected format.
    Malformed,
}

impl CallError {
    /// Returns whether the request was not sent, so that it had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("the request could not be sent"),
            Self::Lost => f.write_str("the connection failed; the outcome is unknown"),
            Self::TooLong => f.write_str("the response is too long; the outcome is unknown"),
            Self::Invalid => f.write_str("the response is broken; the outcome is unknown"),
            Self::TimedOut => f.write_str("the call timed out; the outcome is unknown"),
            Self::Status(status) => write!(f, "the server responded with status {status}"),
            Self::Malformed => f.write_str("the response does not have the expected format"),
        }
    }
}

impl std::error::Error for CallError {}

/// An error of a read from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The log service is unavailable.
    Unavailable,
    /// The requested records have expired.
    Expired {
        /// The oldest retained offset.
        first: u64,
    },
    /// The record is missing or cannot be decoded.
    Undecodable,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the platform's log is unavailable"),
            Self::Expired { first } => {
                write!(
                    f,
                    "the record has expired; the oldest retained offset is {first}"
                )
            }
            Self::Undecodable => f.write_str("the record is missing or cannot be decoded"),
        }
    }
}

impl std::error::Error for ReadError {}
