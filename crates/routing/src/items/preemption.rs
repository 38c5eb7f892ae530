//! Order in which the running items of a target are preempted.
//!
//! Late items are preempted first, since nothing is lost; then those with the latest due time, and
//! among these the most recently started. By start time alone, old items that were repeatedly
//! preempted would never complete.
//!
//! ```
//! use notchwharf_routing::items::preemption::Rank;
//!
//! let old = Rank { is_late: false, due_unix_ms: 500, run: 9 };
//! let new = Rank { is_late: false, due_unix_ms: 900, run: 1 };
//! assert!(new > old);
//! assert!(Rank { is_late: true, ..old } > new);
//! ```

/// Preemption rank of a running item. The item with the greatest rank is preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the item can no longer meet its deadline.
    pub is_late: bool,
    /// When the item is due.
    pub due_unix_ms: u64,
    /// The sequence number of its run; later runs have higher numbers.
    pub run: u64,
}
