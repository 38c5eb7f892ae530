//! What the process may use of its machine.
//!
//! The kernel's files are read instead of calling `getrlimit`, which needs unsafe code or another
//! dependency for three numbers that are read once.

use std::fs;
use std::path::Path;

/// Bytes of memory that are assumed if the kernel does not tell.
const UNKNOWN_MEMORY_BYTES: u64 = 512 << 20;
/// Descriptors that are assumed if the kernel does not tell: the usual soft limit.
const UNKNOWN_DESCRIPTORS: u64 = 1_024;
/// Descriptors that the host keeps for listeners, other hosts, the store, files and connections that
/// are about to be closed.
const OWN_DESCRIPTORS: u64 = 64;
/// One in so many descriptors is kept for readiness checks, and one for readers of metrics.
const CHECK_DESCRIPTORS_SHARE: u64 = 16;
/// Connections of readiness checks, or of readers of metrics, that are enough however many descriptors there
/// are: a check opens one a second, and idle ones stay open for up to a minute.
const CHECKS_MAX: u64 = 128;
/// Connections of readiness checks that are allowed however few descriptors there are.
const CHECKS_MIN: u64 = 4;
/// One in so many descriptors is kept for connections on which items of jobs run.
const ITEM_DESCRIPTORS_SHARE: u64 = 8;
/// Connections of callers that are allowed however few descriptors there are.
const CONNECTIONS_MIN: u64 = 8;
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Machine {
    /// Returns what the process may use now: the smallest of the machine's memory, the limits of
    /// its control groups, and its resource limits.
    pub fn detect() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let memory = [
            total_memory(&meminfo),
            control_group_memory(),
            soft_limit(&limits, "Max data size"),
            soft_limit(&limits, "Max address space"),
        ];
        let memory = memory.into_iter().flatten().min();
        Self {
            memory_bytes: memory.unwrap_or(UNKNOWN_MEMORY_BYTES),
            descriptors: soft_limit(&limits, "Max open files").unwrap_or(UNKNOWN_DESCRIPTORS),
        }
    }

    /// Returns this machine with no more memory and descriptors than these.
    #[must_use]
    pub fn restrict(self, memory_mib: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory_bytes = memory_mib.map_or(u64::MAX, |mib| mib.saturating_mul(MIB));
        Self {
            memory_bytes: self.memory_bytes.min(memory_bytes),
            descriptors: self.descriptors.min(descriptors.unwrap_or(u64::MAX)),
        }
    }

    /// Returns the bytes that callers may occupy: half of the memory. The other half is for the
    /// host's own state and what its allocator cannot reuse.
    pub fn caller_bytes(&self) -> u64 {
        self.memory_bytes / 2
    }

    /// Returns the bytes that callers may occupy if several threads serve them: less, as the allocator keeps
    /// what it frees for the thread that allocated it.
    pub fn caller_bytes_of_threads(&self) -> u64 {
        self.memory_bytes / 4
    }

    /// Returns how many connections of items of jobs the descriptors suffice for.
    pub fn items_max(&self) -> u64 {
        (self.descriptors / ITEM_DESCRIPTORS_SHARE).max(1)
    }

    /// Returns how many connections readiness checks may have; readers of metrics may have as many.
    pub fn checks_max(&self) -> u64 {
        (self.descriptors / CHECK_DESCRIPTORS_SHARE).clamp(CHECKS_MIN, CHECKS_MAX)
    }

    /// Returns how many connections callers may have. Each request may need one more descriptor, for
    /// its target.
    pub fn connections_max(&self) -> u64 {
        let own = OWN_DESCRIPTORS + 2 * self.checks_max() + self.items_max();
        (self.descriptors.saturating_sub(own) / 2).max(CONNECTIONS_MIN)
    }
}

/// Returns the number in a line of `/proc/meminfo`, in bytes.
fn total_memory(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}

/// Returns the soft limit in a line of `/proc/self/limits`; `None` if it is unlimited.
fn soft_limit(limits: &str, name: &str) -> Option<u64> {
    let line = limits.lines().find_map(|l| l.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the smallest limit of the process's control group and those above it.
fn control_group_memory() -> Option<u64> {
    let groups = fs::read_to_string("/proc/self/cgroup").ok()?;
    let limits = groups.lines().filter_map(|line| {
        let (_, rest) = line.split_once(':')?;
        let (controllers, path) = rest.split_once(':')?;
        let (root, file) = match controllers {
            "" => ("/sys/fs/cgroup", "memory.max"),
            c if c.split(',').any(|c| c == "memory") => {
                ("/sys/fs/cgroup/memory", "memory.limit_in_bytes")
            }
            _ => return None,
        };
        let group = Path::new(path.trim_start_matches('/'));
        let limits = group.ancestors().filter_map(|group| {
            let limit = fs::read_to_string(Path::new(root).join(group).join(file)).ok()?;
            limit.trim().parse::<u64>().ok()
        });
        limits.min()
    });
    limits.min()
}
