//! Errors of load files.

use std::fmt;
use std::path::PathBuf;

/// Why a load file is rejected.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or does not describe a load.
    Malformed {
        /// The invalid field.
        field: String,
        /// The error in it.
        detail: String,
    },
    /// A field has a value out of range.
    Value {
        /// The invalid field.
        field: &'static str,
        /// The values allowed.
        expected: &'static str,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Malformed { field, detail } => write!(f, "{field}: {detail}"),
            Self::Value { field, expected } => write!(f, "{field}: must be {expected}"),
        }
    }
}

impl std::error::Error for LoadError {}
