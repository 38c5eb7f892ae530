//! What hosts tell one another of routes and targets.

use notchwharf_routing::places::TargetId;
use serde::Deserialize;
use serde::Serialize;

/// The configuration's record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Config {
    pub(super) offset: u64,
    pub(super) key: String,
    pub(super) value: Vec<u8>,
}

/// What one host tells another of routes and targets.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(super) config: Option<Config>,
    pub(super) targets: Vec<(TargetId, u64, Vec<u8>)>,
    pub(super) targets_end: u64,
}

/// How new a host's knowledge is; higher is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    /// One more than the offset of the configuration; zero for none.
    pub(crate) config: u64,
    /// The offset that follows the newest record of a target.
    pub(crate) targets: u64,
}

impl Versions {
    /// Returns whether anything is newer than another host's.
    pub(crate) fn is_ahead_of(self, other: Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}
