//! Errors of this package.

use std::fmt;

/// Why a server did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen,
    /// The server for other hosts cannot be started.
    Peers,
    /// The thread that reads files cannot be started.
    FileReader,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen => f.write_str(
                "cannot listen on a configured address; check the addresses under `host`",
            ),
            Self::Peers => f.write_str("cannot start the server for other hosts"),
            Self::FileReader => f.write_str("cannot start the thread that reads files"),
        }
    }
}

impl std::error::Error for StartError {}
