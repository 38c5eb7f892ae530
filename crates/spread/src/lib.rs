//! Distribution of log records to all hosts of a data centre.
//!
//! If every host read the log, its owner would send each record once per host. Instead, one
//! host of a data centre reads the log ([`readers`]) and forwards records to the others
//! along a tree that is reshuffled for each message ([`tree`]). Each message carries the
//! age of the reading, which the receiver corrects for transit delays ([`delay`]). A host
//! that missed a message requests the changes since its last known offset from the sender
//! ([`changes`]). [`replica`] applies these to the entries of a small topic.
//!
//! ```
//! use std::time::Duration;
//! use notchwharf_spread::readers::{Timeouts, rank, should_read};
//!
//! let timeouts = Timeouts::for_deadline(Duration::from_secs(2));
//! let hosts = ["a1", "a2", "a3"];
//! let first = hosts.into_iter().find(|host| rank(host, hosts) == 0).unwrap();
//! assert!(should_read(rank(first, hosts), Duration::ZERO, timeouts));
//! // The host ranked second takes over once the first has been silent long enough.
//! assert!(!should_read(1, Duration::ZERO, timeouts));
//! assert!(should_read(1, timeouts.takeover_after, timeouts));
//! ```
//!
//! Alternatives rejected: a lease on reading stored in the log (needs a call to renew and
//! cannot be obtained while the log is unavailable), several permanent readers (each adds
//! another full copy of the log's traffic, whereas the next host in rank takes over within
//! a second), and gossip rounds (several messages per host and change, with no bound on the
//! delivery time).

pub mod changes;
pub mod delay;
pub mod readers;
pub mod replica;
pub mod tree;
