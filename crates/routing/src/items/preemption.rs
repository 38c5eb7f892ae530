//! Which of the items that run at a target gives way.
//!
//! Late items go first, for nothing is lost by it; then those that are due last;
//! of these the youngest run. By the age of the run alone old items, cut again
//! and again, would never end.
//!
//! ```
//! use notchwharf_routing::items::preemption::Rank;
//!
//! let old = Rank { is_late: false, due_unix_ms: 500, run: 9 };
//! let new = Rank { is_late: false, due_unix_ms: 900, run: 1 };
//! assert!(new > old);
//! assert!(Rank { is_late: true, ..old } > new);
//! ```

/// How well an item can be spared; the greatest one gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it comes too late whatever is done.
    pub is_late: bool,
    /// When it is due.
    pub due_unix_ms: u64,
    /// The number of its run; later ones have higher numbers.
    pub run: u64,
}
