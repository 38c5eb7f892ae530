//! Why a request or a job was not answered as its caller hoped.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use notchwharf_config::access::KeyError;
use serde::Deserialize;
use serde::Serialize;

/// Why an online request has no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No configuration is known yet; nothing ran.
    NotReady {
        /// When to come back.
        retry_after: Duration,
    },
    /// No route leads there.
    NoRoute,
    /// Nothing ran and nothing will.
    NotRun {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: &'static str,
    },
    /// Targets crash under the request; nothing ran and nothing will.
    Crashing {
        /// When it may be tried once more.
        retry_after: Duration,
        /// How many targets were seen to crash.
        crashes: u32,
    },
    /// Nobody calls who may; nothing ran.
    Unauthorized(AuthError),
    /// The workspace has sent as much as it may; nothing ran and nothing will.
    OverLimit {
        /// When there is room again.
        retry_after: Duration,
    },
    /// A target found fault with the request; nothing ran.
    Rejected(StatusCode),
    /// It may have run.
    Unknown {
        /// What was seen last.
        reason: &'static str,
    },
    /// Its time is over; it may have run.
    TimedOut,
}

impl Failure {
    /// Returns the outcome as logs and metrics name it.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotReady { .. } => "not ready",
            Self::NoRoute => "no route",
            Self::NotRun { .. } => "not run",
            Self::Crashing { .. } => "crashing",
            Self::Unauthorized(reason) => reason.label(),
            Self::OverLimit { .. } => "over limit",
            Self::Rejected(_) => "rejected",
            Self::Unknown { .. } => "unknown",
            Self::TimedOut => "timed out",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReady { .. } => f.write_str("no configuration is known yet; come back later"),
            Self::NoRoute => f.write_str("no route leads there"),
            Self::NotRun { reason, .. } => write!(f, "not run ({reason}); come back later"),
            Self::Crashing { crashes, .. } => {
                write!(
                    f,
                    "not run ({crashes} targets crashed under it); do not repeat it soon"
                )
            }
            Self::Unauthorized(reason) => reason.fmt(f),
            Self::OverLimit { .. } => {
                f.write_str("not run (the workspace's limit is reached); come back later")
            }
            Self::Rejected(status) => write!(f, "the target answered {status} and ran nothing"),
            Self::Unknown { reason } => write!(f, "it may have run ({reason})"),
            Self::TimedOut => f.write_str("it took longer than it may; it may have run"),
        }
    }
}

impl std::error::Error for Failure {}

/// Why nobody calls who may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// The request presents no key.
    NoKey(KeyError),
    /// No configuration held its key.
    Unknown,
    /// Its key was taken away.
    Removed,
}

impl AuthError {
    /// Returns the reason as logs and metrics name it.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoKey(reason) => reason.label(),
            Self::Unknown => "unknown key",
            Self::Removed => "removed key",
        }
    }
}

impl fmt::Display for AuthError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey(reason) => reason.fmt(f),
            Self::Unknown => f.write_str("no workspace holds the API key"),
            Self::Removed => f.write_str("the API key was taken away"),
        }
    }
}

impl std::error::Error for AuthError {}

/// Why a call about a job was not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// The request is malformed.
    Malformed(Cow<'static, str>),
    /// No route leads there.
    NoRoute,
    /// The route's limit leaves no room; nothing of the job runs.
    OverQuota {
        /// When to come back.
        retry_after: Duration,
    },
    /// The host cannot tell or do it now; nothing of the job runs by this try.
    NotNow {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: Cow<'static, str>,
    },
    /// The job may have been accepted, or the end recorded.
    Unknown,
    /// There is no such job or item.
    NotFound,
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::NoRoute => f.write_str("no route leads there"),
            Self::OverQuota { .. } => f.write_str("too many tokens wait; nothing of the job runs"),
            Self::NotNow { reason, .. } => write!(f, "not now ({reason}); come back later"),
            Self::Unknown => f.write_str("unknown whether it was done; send it again"),
            Self::NotFound => f.write_str("not found"),
        }
    }
}

impl std::error::Error for JobError {}

/// Why a host could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen => f.write_str("an address cannot be listened on"),
        }
    }
}

impl std::error::Error for StartError {}
