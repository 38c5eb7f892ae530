//! Error responses: each error has a code, a status and a JSON object.

use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use notchwharf_config::error::Refusal;
use serde_json::Value;
use serde_json::json;

/// Whether the failed request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request had no effect.
    NotRun,
    /// The request may have had an effect.
    Unknown,
    /// The request ran and failed.
    Failed,
}

/// Why a line of an input file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LineError {
    NotJson(String),
    InvalidCustomId,
    UnsupportedMethod,
    UnsupportedEndpoint,
    MissingBody,
    InvalidBody(&'static str),
    UnknownModel(String),
    MixedModels { first: String, found: String },
    DuplicateCustomId(String),
    LineTooLong { max: u64 },
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ApiError {
    MalformedJson(String),
    InvalidValue {
        param: &'static str,
        reason: &'static str,
    },
    InvalidLine {
        line: u32,
        error: LineError,
    },
    EmptyInputFile,
    TooManyItems {
        max: u32,
    },
    TooLarge {
        max: u64,
    },
    BodyTimeout,
    IncompleteBody,
    MissingApiKey,
    UnknownTenant,
    NotAllowed {
        what: String,
    },
    UnknownModel(String),
    NotFound(&'static str),
    MethodNotAllowed,
    IdempotencyKeyReused,
    BundleRejected(Refusal),
    Starting,
    Leaving,
    Overloaded {
        retry_after: Duration,
    },
    NoTarget {
        retry_after: Duration,
    },
    /// Callers occupy what the host has for them.
    Occupied,
    /// The request needs more than the host has for callers.
    OverBudget,
    /// Targets crashed while running such a request.
    Quarantined {
        retry_after: Duration,
    },
    LogUnavailable,
    NoOwner,
    OutcomeUnknown,
    DeadlineExceeded,
    TargetsFailed,
    RejectedByTarget(u16),
}

/// Value of `Retry-After` for errors without an estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl ApiError {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::MalformedJson(_) | Self::InvalidValue { .. } | Self::InvalidLine { .. } => {
                StatusCode::BAD_REQUEST
            }
            Self::EmptyInputFile | Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::TooManyItems { .. } | Self::TooLarge { .. } | Self::OverBudget => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::MissingApiKey | Self::UnknownTenant => StatusCode::UNAUTHORIZED,
            Self::NotAllowed { .. } => StatusCode::FORBIDDEN,
            Self::UnknownModel(_) | Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::IdempotencyKeyReused | Self::BundleRejected(_) => StatusCode::CONFLICT,
            Self::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Starting | Self::Leaving | Self::NoTarget { .. } | Self::LogUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoOwner | Self::Quarantined { .. } | Self::Occupied => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown | Self::TargetsFailed => StatusCode::BAD_GATEWAY,
            Self::RejectedByTarget(status) => {
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST)
            }
        }
    }

    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::OutcomeUnknown => Outcome::Unknown,
            Self::DeadlineExceeded | Self::TargetsFailed | Self::RejectedByTarget(_) => {
                Outcome::Failed
            }
            _ => Outcome::NotRun,
        }
    }

    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::MalformedJson(_) => "malformed_json",
            Self::InvalidValue { .. } => "invalid_value",
            Self::InvalidLine { .. } => "invalid_line",
            Self::EmptyInputFile => "empty_lot",
            Self::TooManyItems { .. } => "too_many_items",
            Self::TooLarge { .. } => "too_large",
            Self::BodyTimeout => "slow_sender",
            Self::IncompleteBody => "incomplete_body",
            Self::MissingApiKey => "missing_tenant",
            Self::UnknownTenant => "unknown_tenant",
            Self::NotAllowed { .. } => "not_allowed",
            Self::UnknownModel(_) => "model_not_found",
            Self::NotFound(_) => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::BundleRejected(_) => "stale_base",
            Self::Starting => "starting",
            Self::Leaving => "leaving",
            Self::Overloaded { .. } => "overloaded",
            Self::NoTarget { .. } => "no_target",
            Self::Occupied => "host_occupied",
            Self::OverBudget => "over_budget",
            Self::Quarantined { .. } => "targets_crash",
            Self::LogUnavailable => "log_unavailable",
            Self::NoOwner => "no_owner",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::TargetsFailed => "targets_failed",
            Self::RejectedByTarget(_) => "rejected_by_target",
        }
    }

    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry_after }
            | Self::NoTarget { retry_after }
            | Self::Quarantined { retry_after } => Some(*retry_after),
            Self::Starting
            | Self::Leaving
            | Self::LogUnavailable
            | Self::NoOwner
            | Self::Occupied
            | Self::TargetsFailed => Some(RETRY_AFTER),
            _ => None,
        }
    }

    pub(crate) fn body(&self) -> Value {
        let error_type = match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let param = match self {
            Self::InvalidValue { param, .. } => Some(*param),
            Self::UnknownModel(_) => Some("model"),
            _ => None,
        };
        let outcome = match self.outcome() {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        };
        json!({"error": {
            "message": self.to_string(),
            "type": error_type,
            "param": param,
            "code": self.code(),
            "outcome": outcome,
        }})
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedJson(detail) => write!(f, "The body is not valid JSON: {detail}."),
            Self::InvalidValue { param, reason } => write!(f, "The value of `{param}` {reason}."),
            Self::InvalidLine { line, error } => {
                write!(f, "Line {line}: {error}. No item of the file was accepted.")
            }
            Self::EmptyInputFile => {
                f.write_str("The input file has no items; send one request per line.")
            }
            Self::TooManyItems { max } => {
                write!(f, "The input file has more than {max} items; split it.")
            }
            Self::TooLarge { max } => {
                write!(f, "The body is larger than the limit of {max} bytes.")
            }
            Self::BodyTimeout => {
                f.write_str("The body was not received in time; send it without long pauses.")
            }
            Self::IncompleteBody => f.write_str("The body ended before it was complete."),
            Self::MissingApiKey => f.write_str("Send an API key as a bearer token."),
            Self::UnknownTenant => {
                f.write_str("The API key or tenant name is not known; check the credentials.")
            }
            Self::NotAllowed { what } => write!(f, "The tenant is not allowed to use {what}."),
            Self::UnknownModel(name) => write!(f, "There is no model `{name}`."),
            Self::NotFound(what) => write!(f, "There is no such {what}."),
            Self::MethodNotAllowed => f.write_str("The path does not support this method."),
            Self::IdempotencyKeyReused => f.write_str(
                "The idempotency key was already used with a different request; use a new key.",
            ),
            Self::BundleRejected(reason) => reason.fmt(f),
            Self::Starting => f.write_str(
                "The host is starting and has no configuration yet; the request was not run.",
            ),
            Self::Leaving => f.write_str("The host is shutting down; the request was not run."),
            Self::Overloaded { .. } => {
                f.write_str("The server is overloaded; the request was not run. Retry later.")
            }
            Self::Quarantined { .. } => f.write_str(
                "Targets crashed while running requests with this content; the request was \
                 not run. Do not retry it before the time in `Retry-After`.",
            ),
            Self::NoTarget { .. } => {
                f.write_str("No target is available; the request was not run. Retry later.")
            }
            Self::Occupied => {
                f.write_str("Other callers occupy the host; the request was not run. Retry later.")
            }
            Self::OverBudget => {
                f.write_str("The request needs more memory than the host has for callers.")
            }
            Self::LogUnavailable => f.write_str(
                "The platform's log is unavailable; the request was not run. Retry later.",
            ),
            Self::NoOwner => f.write_str(
                "The record has no owner at the moment; the request was not run. Retry later.",
            ),
            Self::OutcomeUnknown => {
                f.write_str("The request may have run; its outcome is unknown.")
            }
            Self::DeadlineExceeded => {
                f.write_str("The deadline passed before the response was complete.")
            }
            Self::TargetsFailed => f.write_str("Targets failed before the response was complete."),
            Self::RejectedByTarget(status) => {
                write!(f, "The target rejected the request with status {status}.")
            }
        }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(detail) => write!(f, "not valid JSON: {detail}"),
            Self::InvalidCustomId => f.write_str("`custom_id` must be a string of 1 to 512 bytes"),
            Self::UnsupportedMethod => f.write_str("`method` must be POST"),
            Self::UnsupportedEndpoint => f.write_str("`url` must be /v1/chat/completions"),
            Self::MissingBody => f.write_str("`body` must be an object"),
            Self::InvalidBody(reason) => write!(f, "`body` {reason}"),
            Self::UnknownModel(name) => write!(f, "there is no model `{name}`"),
            Self::MixedModels { first, found } => {
                write!(
                    f,
                    "model `{found}`, but the first item has `{first}`; use one model per file"
                )
            }
            Self::DuplicateCustomId(id) => write!(f, "`custom_id` {id:?} is used more than once"),
            Self::LineTooLong { max } => write!(f, "the line is longer than {max} bytes"),
        }
    }
}
