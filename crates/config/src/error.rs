//! Error types.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// Reasons why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settings {
    /// The JSON does not have the expected structure.
    Shape {
        /// The path of the field, such as `lease.renew_ms`.
        path: String,
        /// A description of what the parser expected and found.
        detail: String,
    },
    /// A value is out of bounds.
    Range {
        /// The path of the field.
        path: &'static str,
        /// The value found.
        found: u64,
        /// The minimum value.
        min: u64,
        /// The maximum value.
        max: u64,
    },
    /// A value is not less than that of another field.
    Order {
        /// The path of the field that is too large.
        path: &'static str,
        /// The value found.
        found: u64,
        /// The path of the field whose value must be greater.
        other: &'static str,
        /// The value of the other field.
        limit: u64,
    },
    /// A text is not a valid name.
    Name {
        /// The path of the field.
        path: &'static str,
        /// The text found.
        found: String,
    },
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shape { path, detail } => write!(f, "{path}: {detail}"),
            Self::Range {
                path,
                found,
                min,
                max,
            } => write!(f, "{path}: {found} is not between {min} and {max}"),
            Self::Order {
                path,
                found,
                other,
                limit,
            } => write!(f, "{path}: {found} must be below {other}, which is {limit}"),
            Self::Name { path, found } => write!(
                f,
                "{path}: {found:?} must be 1 to 64 letters, digits, '.', '_' or '-'"
            ),
        }
    }
}

impl std::error::Error for Settings {}

/// Reasons why a bundle is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bundle {
    /// The JSON does not have the expected structure.
    Shape {
        /// The path of the field.
        path: String,
        /// A description of what the parser expected and found.
        detail: String,
    },
    /// A name is not valid.
    Name {
        /// The path of the field.
        path: String,
        /// The text found.
        found: String,
    },
    /// A name that must be unique is used twice.
    Duplicate {
        /// The path of the second use.
        path: String,
        /// The name.
        name: String,
    },
    /// A reference names an entry that the bundle does not contain.
    Unknown {
        /// The path of the reference.
        path: String,
        /// The name that was not found.
        name: String,
    },
    /// A number is out of bounds.
    Range {
        /// The path of the field.
        path: String,
        /// The value found.
        found: u64,
    },
    /// A key digest is not 64 lower-case hexadecimal digits.
    Digest {
        /// The path of the field.
        path: String,
    },
}

impl fmt::Display for Bundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shape { path, detail } => write!(f, "{path}: {detail}"),
            Self::Name { path, found } => write!(
                f,
                "{path}: {found:?} must be 1 to 64 letters, digits, '.', '_' or '-'"
            ),
            Self::Duplicate { path, name } => write!(f, "{path}: {name:?} is used twice"),
            Self::Unknown { path, name } => {
                write!(f, "{path}: the bundle does not contain {name:?}")
            }
            Self::Range { path, found } => write!(f, "{path}: {found} is out of bounds"),
            Self::Digest { path } => {
                write!(
                    f,
                    "{path}: must be a SHA-256 digest in lower-case hexadecimal"
                )
            }
        }
    }
}

impl std::error::Error for Bundle {}

/// Reasons why a record of the bundle stream is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The proposal is not based on the bundle in force.
    StaleBase {
        /// The base of the proposal.
        base: Option<Version>,
        /// The version in force.
        current: Option<Version>,
    },
    /// The sign-off does not refer to an open proposal.
    NoProposal {
        /// The version to which the sign-off refers.
        version: Version,
    },
    /// The digest of the sign-off differs from that of the proposal.
    OtherContent {
        /// The version to which the sign-off refers.
        version: Version,
    },
    /// The record precedes the sign-off of the bundle in force.
    Past {
        /// The version in force.
        version: Version,
    },
    /// The bundle in a proposal is not valid.
    Invalid(Bundle),
    /// The record cannot be decoded by this version of the software.
    Unreadable,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleBase { base, current } => write!(
                f,
                "based on {}, but the version in force is {}: rebase and propose again",
                DisplayVersion(*base),
                DisplayVersion(*current)
            ),
            Self::NoProposal { version } => {
                write!(
                    f,
                    "version {version} is not an open proposal: see the history"
                )
            }
            Self::OtherContent { version } => write!(
                f,
                "the digest of the sign-off is not that of version {version}: check the proposal again"
            ),
            Self::Past { version } => {
                write!(
                    f,
                    "older than the sign-off of version {version}, which is in force"
                )
            }
            Self::Invalid(err) => write!(f, "invalid bundle: {err}"),
            Self::Unreadable => f.write_str("unreadable record"),
        }
    }
}

impl std::error::Error for Refusal {}

struct DisplayVersion(Option<Version>);

impl fmt::Display for DisplayVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(version) => write!(f, "version {version}"),
            None => f.write_str("no version"),
        }
    }
}
