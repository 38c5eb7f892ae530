//! Ordering of online requests that wait at hosts for a free target slot.
//!
//! A target runs a limited number of requests at once; each unit of that limit is a slot
//! (unrelated to the holder slots of `notchwharf_quota`, which are roles of hosts). A target
//! processes its queue in arrival order, and a request queued there cannot move to another
//! target. Requests therefore wait at their host while all slots are in use, and start at
//! whichever target frees a slot first. All hosts of a data centre apply the same [order]: by
//! priority, then requests of workspaces that exceed their fair share of the slots after all
//! others, then by age. The host whose request ends assigns the freed slot to the first request
//! in that order and transfers it to a peer if the request waits there. Any other host that
//! observes a free slot leaves as many slots as there are requests of other hosts ahead of its
//! own.
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
//! Hosts exchange waiting requests and slots in use only while some request waits, so an
//! uncontended data centre has no overhead.
//!
//! Alternatives rejected: one host per target that assigns its slots (a round trip before
//! each request and a single point of failure), queueing a request at two targets (it must be
//! withdrawn from one of them, which costs a connection), and fair queueing by virtual time
//! (it needs a service clock shared by all hosts, whereas slots in use are exchanged anyway).
//!
//! Limitations: the order holds only among hosts that exchange messages directly, those of a
//! data centre. A request that excludes the only target with a free slot blocks the requests
//! behind it until it starts or is refused.
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

/// Hash of a service's name.
pub type ServiceKey = u32;
/// Hash of a workspace's name: 32 bits, unlike the 64-bit key of `notchwharf_quota`.
pub type WorkspaceKey = u32;
/// Hash of a target's name.
pub type TargetKey = u32;
/// Name of a host.
pub type HostId = String;

/// Returns the hash of a service's or workspace's name.
pub fn key(name: &str) -> u32 {
    // The low half of an XXH3 hash is as uniformly distributed as the whole.
    xxh3_64(name.as_bytes()) as u32
}
