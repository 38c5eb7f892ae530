//! Distributed rate limiter for the requests of workspaces, over all hosts.
//!
//! Every host owns an equal share of each limit and leases it, for a limited time, to a
//! *holder*. A holder keeps a token bucket per workspace, sized by the sum of the shares
//! leased to it, and decides about requests on behalf of all hosts. When a network partition
//! separates a host from its holder, the lease expires and the host leases its share to a
//! holder on its own side. The holders therefore never have more than the whole limit between
//! them, whatever partitions, pauses or restarts occur, and clocks of different hosts are
//! never compared.
//!
//! Deciding about a request costs at most one round trip to another host. There are
//! [`HOLDER_SLOTS`] holders at a time, each of which receives an equal part of every share.
//! If one fails, the other still admits half of each limit until the leases have been renewed
//! elsewhere.
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
//! // A host that has just started grants no leases yet: it may have granted some before.
//! let later = start + Duration::from_secs(4);
//! let fleet = Fleet { members: &[1], is_complete: true, ..Fleet::default() };
//! limiter.tick(&fleet, true, later);
//! let after = later + Duration::from_millis(500);
//! limiter.tick(&fleet, true, after);
//! let query = limiter.query(choir, Duration::ZERO, after);
//! assert!(matches!(query, Query::Decided { decision: Decision::Admitted { .. }, .. }));
//! ```
//!
//! Alternatives rejected, with figures of the simulation in `examples/ways.rs`:
//!
//! - Gossiped counts, where each host subtracts the requests admitted elsewhere from a bucket
//!   of the whole limit: hosts admit requests before they receive the counts of others, so a
//!   flood over 12 hosts exceeded the bounds. Every host also reports to every other, which
//!   took 1.4 kB/s per host at 12 hosts and 7.6 kB/s at 61; leased shares took at most 1.0 and
//!   0.4 kB/s.
//! - Shares that follow demand: the share of the receiving host is often too small. Of the
//!   requests that a large workspace sent to all hosts at 0.9 times its limit, 19 % were
//!   refused at 12 hosts and 60 % at 61; leased shares refused none.

mod allowance;
mod bucket;
mod grantor;
mod holder;
mod limiter;
mod message;
mod params;

pub use self::allowance::is_allowance_due;
pub use self::holder::Decision;
pub use self::limiter::Fleet;
pub use self::limiter::Limiter;
pub use self::message::Action;
pub use self::message::Message;
pub use self::message::Query;
pub use self::params::Bounds;
pub use self::params::BucketParams;

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a host's name.
pub type HostKey = u32;
/// Hash of a workspace's name: 64 bits, unlike the 32-bit key of `notchwharf_waiting`.
pub type WorkspaceKey = u64;
/// Index of a holder slot, the role of one of the concurrent holders.
///
/// Every slot in this crate is a holder slot: a host that holds it decides about requests. A
/// slot of a target, in `notchwharf_waiting` and elsewhere, is something else: capacity for one
/// running request.
pub type HolderSlot = u8;

/// Number of concurrent holders. With one, its failure stops all limited workspaces for the
/// duration of a lease; with three, the additional messages outweigh the benefit.
pub const HOLDER_SLOTS: usize = 2;

/// Returns the hash of a host's name.
pub fn host_key(name: &str) -> HostKey {
    // Half of the hash's bits are enough to distinguish thousands of hosts.
    (xxh3_64(name.as_bytes()) >> HostKey::BITS) as HostKey
}

/// Returns the hash of a workspace's name.
pub fn workspace_key(name: &str) -> WorkspaceKey {
    xxh3_64(name.as_bytes())
}
