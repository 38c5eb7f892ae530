//! Errors of this crate.

use std::fmt;

/// Why the head of a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// The status is no status of a final response to a request of HTTP.
    Status,
    /// The length is not a number, or there are several.
    Length,
    /// The transfer coding is not `chunked`, or there are several.
    Coding,
    /// There is a length and a transfer coding.
    LengthAndCoding,
    /// There is neither, but a field whose name or value shows that it was one.
    FramingName,
    /// There is neither, and the server has not said that it closes the connection.
    NoEnd,
}

impl Head {
    /// Returns a short description of the reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Status => "answer with no valid status",
            Self::Length => "answer with a broken length",
            Self::Coding => "answer with a broken transfer coding",
            Self::LengthAndCoding => "answer with a length and a transfer coding",
            Self::FramingName => "answer that has lost the name of its length",
            Self::NoEnd => "answer without a length on an open connection",
        }
    }
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Head {}

/// Why a response was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The head is invalid.
    Head(Head),
    /// Only the end of the connection would mark the end of the body, which proves nothing.
    NotMarked,
    /// The body is longer than allowed.
    TooLong,
    /// The connection ended within the body.
    Broken,
}

impl fmt::Display for Read {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(head) => head.fmt(f),
            Self::NotMarked => f.write_str("nothing marks the end of the response"),
            Self::TooLong => f.write_str("the response is too long"),
            Self::Broken => f.write_str("the connection ended within the response"),
        }
    }
}

impl std::error::Error for Read {}
