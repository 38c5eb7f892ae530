//! What callers may occupy of a host, in the settings of each kind of host.

use serde::Deserialize;
use serde::Serialize;

use crate::check::check_range;
use crate::error;

/// What callers may occupy of a host. By default it is derived from what the process may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intake {
    /// Memory of the machine in MiB. From 32 to 16_777_216; absent by default, in which case the
    /// smallest of the machine's memory, the limits of the process's control groups and its resource
    /// limits counts. A larger one than that has no effect.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open. From 32 to 16_777_216; absent by default, in which
    /// case its resource limit counts. A larger number than that has no effect.
    pub descriptors: Option<u64>,
    /// Bytes that requests of callers, their connections and responses that they have not read may
    /// occupy. From 1_048_576 to 1_099_511_627_776; by default half of the memory, and a quarter at
    /// the product's own interface, which several threads serve. Several times the largest request
    /// are needed to serve it.
    pub bytes_max: Option<u64>,
    /// Number of connections that callers may have. From 1 to 16_777_216; by default what is left of
    /// the descriptors if each request needs another one, for its target.
    pub connections_max: Option<u64>,
}

impl Intake {
    pub(crate) fn check(&self) -> Result<(), error::Settings> {
        const COUNT_MAX: u64 = 16 << 20;
        let ranges = [
            ("intake.memory_mb", self.memory_mb, 32, COUNT_MAX),
            ("intake.descriptors", self.descriptors, 32, COUNT_MAX),
            ("intake.bytes_max", self.bytes_max, 1 << 20, 1 << 40),
            ("intake.connections_max", self.connections_max, 1, COUNT_MAX),
        ];
        for (path, found, min, max) in ranges {
            if let Some(found) = found {
                check_range(path, found, min, max)?;
            }
        }
        Ok(())
    }
}
