//! Errors of requests, of job operations and of the start of a host.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use notchwharf_config::access::KeyError;
use serde::Deserialize;
use serde::Serialize;

/// Why an online request got no response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No configuration is known yet; nothing ran.
    NotReady {
        /// When to retry.
        retry_after: Duration,
    },
    /// No route matches the request.
    NoRoute,
    /// Nothing ran and nothing will.
    NotRun {
        /// When to retry.
        retry_after: Duration,
        /// The reason.
        reason: &'static str,
    },
    /// The stream cannot be taken up again; nothing ran and nothing will.
    NotResumable {
        /// The reason.
        reason: &'static str,
        /// When another attempt may succeed; `None` if it cannot.
        retry_after: Option<Duration>,
    },
    /// The request is malformed; nothing ran.
    Malformed {
        /// The reason.
        reason: &'static str,
    },
    /// Targets crash under the request; nothing ran and nothing will.
    Crashing {
        /// When it may be retried once more.
        retry_after: Duration,
        /// The number of targets that crashed under it.
        crashes: u32,
    },
    /// The caller has no access; nothing ran.
    Unauthorized(AuthError),
    /// The rate limit of the workspace is reached; nothing ran and nothing will.
    OverLimit {
        /// When the limit allows a request again.
        retry_after: Duration,
    },
    /// A target rejected the request as invalid; nothing ran.
    Rejected(StatusCode),
    /// The request may have run.
    Unknown {
        /// The last known cause.
        reason: &'static str,
    },
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// Retry delay if this host shuts down: the retry is routed to another host.
const STOPPED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Reason of what ends because this host shuts down.
pub(crate) const STOPPED: &str = "the host shuts down";

impl Failure {
    /// Returns the failure of a request that did not run, as this host shuts down.
    pub fn stopped() -> Self {
        Self::NotRun {
            retry_after: STOPPED_RETRY_AFTER,
            reason: STOPPED,
        }
    }

    /// Returns the outcome as logs and metrics name it.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotReady { .. } => "not ready",
            Self::NoRoute => "no route",
            Self::NotRun { .. } => "not run",
            Self::NotResumable { .. } => "not resumable",
            Self::Malformed { .. } => "malformed",
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
            Self::NotReady { .. } => {
                f.write_str("the configuration is not loaded yet; retry later")
            }
            Self::NoRoute => f.write_str("no route matches the request"),
            Self::NotRun { reason, .. } => write!(f, "not run ({reason}); retry later"),
            Self::NotResumable {
                reason,
                retry_after: None,
            } => write!(f, "not run ({reason}); the stream cannot be resumed"),
            Self::NotResumable { reason, .. } => {
                write!(f, "not run ({reason}); retry to resume the stream")
            }
            Self::Malformed { reason } => write!(f, "not run ({reason})"),
            Self::Crashing { crashes, .. } => {
                write!(
                    f,
                    "not run ({crashes} targets crashed under it); do not retry it soon"
                )
            }
            Self::Unauthorized(reason) => reason.fmt(f),
            Self::OverLimit { .. } => {
                f.write_str("not run (the workspace's rate limit is reached); retry later")
            }
            Self::Rejected(status) => {
                write!(f, "not run (the target rejected it with status {status})")
            }
            Self::Unknown { reason } => write!(f, "the request may have run ({reason})"),
            Self::TimedOut => f.write_str("the deadline was exceeded; the request may have run"),
        }
    }
}

impl std::error::Error for Failure {}

/// Why a caller has no access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// The request has no valid key.
    NoKey(KeyError),
    /// No known configuration contains the key.
    Unknown,
    /// The key was removed from the configuration.
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
            Self::Unknown => f.write_str("the API key belongs to no workspace"),
            Self::Removed => f.write_str("the API key was removed"),
        }
    }
}

impl std::error::Error for AuthError {}

/// Why a job operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// The request is malformed.
    Malformed(Cow<'static, str>),
    /// No route matches the request.
    NoRoute,
    /// The route's limit of waiting tokens is reached; nothing of the job runs.
    OverQuota {
        /// When to retry.
        retry_after: Duration,
    },
    /// The host can't decide or do it now; nothing of the job runs by this attempt.
    NotNow {
        /// When to retry.
        retry_after: Duration,
        /// The reason.
        reason: Cow<'static, str>,
    },
    /// The job may have been accepted, or the end recorded.
    Unknown,
    /// There is no such job or item.
    NotFound,
    /// Callers occupy the bytes that the call needs; nothing of the job runs by this attempt. Other hosts
    /// are told [`JobError::NotNow`], as those of an earlier build do not know this one.
    Occupied {
        /// When to retry.
        retry_after: Duration,
    },
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::NoRoute => f.write_str("no route matches the request"),
            Self::OverQuota { .. } => {
                f.write_str("too many tokens are waiting; nothing of the job runs")
            }
            Self::NotNow { reason, .. } => write!(f, "not now ({reason}); retry later"),
            Self::Unknown => f.write_str("it is unknown whether this was done; send it again"),
            Self::NotFound => f.write_str("not found"),
            Self::Occupied { .. } => f.write_str("callers occupy the host; retry later"),
        }
    }
}

impl std::error::Error for JobError {}

/// Why a host could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// Listening on an address failed.
    Listen,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen => f.write_str("failed to listen on an address"),
        }
    }
}

impl std::error::Error for StartError {}
