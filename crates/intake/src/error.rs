//! Why something is not taken from a caller.

use std::fmt;

/// Why bytes or a connection are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Everything is occupied by requests that run or by callers that came later.
    Occupied,
    /// More bytes were asked for than the budget has.
    OverBudget,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Occupied => "the host has no room for the request now",
            Self::OverBudget => "the request is larger than the host's budget for callers",
        })
    }
}

impl std::error::Error for Shortage {}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// It is larger than allowed.
    TooLarge,
    /// No byte arrived for too long.
    TimedOut,
    /// The connection was lost, or the body is malformed.
    Incomplete,
    /// There is no room for it.
    Shortage(Shortage),
}

impl fmt::Display for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than the limit"),
            Self::TimedOut => f.write_str("the body was not received in time"),
            Self::Incomplete => f.write_str("the body ended before it was complete"),
            Self::Shortage(shortage) => shortage.fmt(f),
        }
    }
}

impl std::error::Error for Body {}
