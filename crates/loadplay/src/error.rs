//! Why a load is not played.

use std::fmt;
use std::path::PathBuf;

/// Why a load is not played.
#[derive(Debug)]
pub enum Load {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not JSON of a load.
    Shape {
        /// The field at fault.
        field: String,
        /// What is wrong with it.
        detail: String,
    },
    /// A field has a value that makes no load.
    Value {
        /// The field at fault.
        field: &'static str,
        /// What it must be.
        must: &'static str,
    },
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Shape { field, detail } => write!(f, "{field}: {detail}"),
            Self::Value { field, must } => write!(f, "{field}: must be {must}"),
        }
    }
}

impl std::error::Error for Load {}
