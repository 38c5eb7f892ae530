//! Failures of this package.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settings {
    /// The JSON does not fit the settings' shape.
    Shape {
        /// The path of the field, such as `lease.renew_ms`.
        path: String,
        /// What the parser expected and found.
        detail: String,
    },
    /// A value lies outside its bounds.
    Range {
        /// The path of the field.
        path: &'static str,
        /// The value found.
        found: u64,
        /// The least value allowed.
        min: u64,
        /// The greatest value allowed.
        max: u64,
    },
    /// A value must be below that of another field.
    Order {
        /// The path of the field that is too large.
        path: &'static str,
        /// The value found.
        found: u64,
        /// The path of the field it must stay below.
        other: &'static str,
        /// The value of that other field.
        limit: u64,
    },
    /// A text field is empty or holds a character that is not allowed.
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

/// Why a bundle document was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bundle {
    /// The JSON does not fit the bundle's shape.
    Shape {
        /// The path of the field.
        path: String,
        /// What the parser expected and found.
        detail: String,
    },
    /// A name is empty or holds a character that is not allowed.
    Name {
        /// The path of the field.
        path: String,
        /// The text found.
        found: String,
    },
    /// A name stands twice where it must be unique.
    Duplicate {
        /// The path of the second use.
        path: String,
        /// The name.
        name: String,
    },
    /// A reference names something the bundle does not hold.
    Unknown {
        /// The path of the reference.
        path: String,
        /// The name that was not found.
        name: String,
    },
    /// A number lies outside its bounds.
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
            Self::Duplicate { path, name } => write!(f, "{path}: {name:?} stands twice"),
            Self::Unknown { path, name } => write!(f, "{path}: the bundle holds no {name:?}"),
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

/// Why a proposal or a sign-off does not count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The proposal is not based on the bundle in force.
    StaleBase {
        /// The base that the proposal names.
        base: Option<Version>,
        /// The version in force.
        current: Option<Version>,
    },
    /// The sign-off names no proposal that can still come into force.
    NoProposal {
        /// The version named.
        version: Version,
    },
    /// The sign-off names other content than was proposed.
    OtherContent {
        /// The version named.
        version: Version,
    },
    /// The record was written before the bundle in force was signed off.
    Past {
        /// The version in force.
        version: Version,
    },
    /// The bundle in a proposal is not valid.
    Invalid(Bundle),
    /// The record is not one this version of the software knows.
    Unreadable,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleBase { base, current } => write!(
                f,
                "based on {}, but the version in force is {}: rebase and propose again",
                Ver(*base),
                Ver(*current)
            ),
            Self::NoProposal { version } => {
                write!(f, "version {version} is no open proposal: see the history")
            }
            Self::OtherContent { version } => write!(
                f,
                "the digest signed off is not that of version {version}: check it again"
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

struct Ver(Option<Version>);

impl fmt::Display for Ver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(version) => write!(f, "version {version}"),
            None => f.write_str("no version"),
        }
    }
}
