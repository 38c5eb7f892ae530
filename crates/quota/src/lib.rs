//! How many requests workspaces may send over all hosts.
//!
//! A limit is cut into as many parts as there are hosts. A host lends its part, for a
//! time, to a holder; what was lent to a holder is the share of every limit by which it
//! answers hosts that ask whether a request may go. Whoever is cut off from a holder
//! takes its part along when the time is over, and lends it to a holder on its own side.
//! So all holders together never have more than the whole, whatever is cut, paused or
//! started again, and no clock is compared with another.
//!
//! The path of a request costs one question to another host and no more. There are
//! [`HOLDER_SLOTS`] holders at a time with half of each part each: when one is gone, the other
//! still lets in half of every limit until parts are lent anew.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_config::access::RateLimit;
//! use notchwharf_quota::{Bounds, BucketParams, Decision, Fleet, Limiter, Query, workspace_key};
//!
//! let start = Instant::now();
//! let bounds = Bounds { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };
//! let limit = RateLimit { per_s: 10.0, burst: 10.0 };
//! let choir = workspace_key("choir");
//! let mut limiter = Limiter::new(1, 0, start);
//! limiter.set_limits([(choir, BucketParams::new(limit, bounds))].into(), start);
//! // A host that starts does not lend at once: it may have lent before.
//! let later = start + Duration::from_secs(4);
//! let fleet = Fleet { members: &[1], is_complete: true, ..Fleet::default() };
//! limiter.tick(&fleet, true, later);
//! let after = later + Duration::from_millis(500);
//! limiter.tick(&fleet, true, after);
//! let query = limiter.query(choir, Duration::ZERO, after);
//! assert!(matches!(query, Query::Decided { decision: Decision::Admitted { .. }, .. }));
//! ```
//!
//! Ways that were rejected, with figures, are in `docs/design/limits.md`: counts that
//! hosts tell one another, and shares that follow demand.

mod allowance;
mod bucket;
mod grantor;
mod holder;
mod limit;
mod limiter;
mod message;

pub use self::allowance::is_allowance_due;
pub use self::holder::Decision;
pub use self::limit::Bounds;
pub use self::limit::BucketParams;
pub use self::limiter::Fleet;
pub use self::limiter::Limiter;
pub use self::message::Action;
pub use self::message::Message;
pub use self::message::Query;

use xxhash_rust::xxh3::xxh3_64;

/// The short form of a host's name.
pub type HostKey = u32;
/// The short form of a workspace's name.
pub type WorkspaceKey = u64;
/// The number of one of the holders that there are at a time.
pub type HolderSlot = u8;

/// Holders at a time. With one, its death stops every limited workspace for as long as
/// parts are lent; with three, more is told than gained.
pub const HOLDER_SLOTS: usize = 2;

/// Returns the short form of a host's name.
pub fn host_key(name: &str) -> HostKey {
    // Half of the hash's bits tell thousands of hosts apart.
    (xxh3_64(name.as_bytes()) >> HostKey::BITS) as HostKey
}

/// Returns the short form of a workspace's name.
pub fn workspace_key(name: &str) -> WorkspaceKey {
    xxh3_64(name.as_bytes())
}
