//! Online requests that wait at hosts for a place.
//!
//! A target takes requests in the order in which they come, and what waits there can go
//! nowhere else. So a request waits at its host as long as no place is free, and begins
//! at whichever target frees one first. All hosts of a data centre keep one [order]:
//! by priority, then those whose workspaces exceed their part of the places after all
//! others, then by age. A host whose request ends hands the place to whoever is first;
//! whoever else sees a free place leaves it to as many requests of other hosts as come
//! before its own.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_waiting::{FreeSlots, Request, SlotUsage, StartDecision, WaitQueue, key};
//!
//! let now = Instant::now();
//! let (mut queue, usage) = (WaitQueue::default(), SlotUsage::default());
//! let service = key("s");
//! let request = Request {
//!     service,
//!     workspace: key("choir"),
//!     priority: 0,
//!     waiting_since: now,
//!     start_deadline: now + Duration::from_millis(200),
//! };
//! let ticket = queue.enqueue(request, now);
//! let first = queue.first(service, &usage).unwrap();
//! assert_eq!(first.ticket, ticket);
//! let free = [FreeSlots { target: key("t1"), count: 8 }];
//! assert_eq!(queue.may_start(&first, &free, 100.0, now), StartDecision::Any);
//! ```
//!
//! What waits and what is held is told only while something waits, so in a calm hour it
//! costs nothing.
//!
//! Weighed: one host by target that hands its places out (a message there and back before
//! each request, a death in the path); a request in the lines of two targets (it must be
//! withdrawn from one, which costs a connection); fair queueing by virtual time (it needs
//! one clock of service over all hosts; places held are told anyway).
//!
//! Not ideal: the order holds among hosts that tell one another directly, those of a data
//! centre. A request that excludes the only target with room holds up those behind it
//! until it begins or is refused.
//!
//! [order]: Rank

mod request;
mod retry;
mod usage;
mod wait_queue;

use xxhash_rust::xxh3::xxh3_64;

pub use self::request::Assignment;
pub use self::request::FreeSlots;
pub use self::request::QueuedRequest;
pub use self::request::Rank;
pub use self::request::Request;
pub use self::request::RequestSummary;
pub use self::request::StartDecision;
pub use self::request::StartEstimate;
pub use self::request::Ticket;
pub use self::retry::RetrySchedule;
pub use self::usage::SlotUsage;
pub use self::usage::WorkspaceUsage;
pub use self::wait_queue::WaitQueue;

/// The short form of a service's name.
pub type ServiceKey = u32;
/// The short form of a workspace's name.
pub type WorkspaceKey = u32;
/// The short form of a target's name.
pub type TargetKey = u32;
/// The name of a host.
pub type HostId = String;

/// Returns the short form of a service's or a workspace's name.
pub fn key(name: &str) -> u32 {
    // The low half is as good a hash as the whole.
    xxh3_64(name.as_bytes()) as u32
}
