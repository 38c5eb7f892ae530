//! Ordering of items across hosts by deadline.
//!
//! Each host runs the items of its own jobs, and jobs are unevenly distributed: one host may have
//! ten seconds of work queued while another has none. If any host took any free slot, recently
//! added items would overtake earlier ones, which would be late although there was capacity for
//! all. Hosts therefore exchange the due times of their queued items, and a host leaves as many
//! slots free as there are items at other hosts due before its own.
//!
//! This matters if nearly all slots are taken for some ten seconds and only some hosts have jobs.
//! Without it, a third of the items were late under such a load.
//!
//! Alternatives rejected: a shared queue (its owner adds a hop for each item and is a single point
//! of failure) and running items at hosts other than the owner of the job (the generated output
//! would have to be transferred).
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::items::peer_queues::{PeerQueues, QueuedItems};
//!
//! let now = Instant::now();
//! let mut queues = PeerQueues::default();
//! queues.update("a2", vec![QueuedItems { due_unix_ms: 900, items: 3 }], now);
//! queues.update("a3", vec![QueuedItems { due_unix_ms: 500, items: 2 }], now);
//! assert_eq!(queues.ahead(800).items, 2);
//! queues.remove("a3");
//! assert_eq!(queues.ahead(800).items, 0);
//! ```

use std::collections::HashMap;
use std::time::Instant;

use crate::balancer::HostId;

/// Number of due times that a host reports separately, earliest first. Few hosts have jobs with
/// more than three at a time.
pub const DUE_TIMES_MAX: usize = 3;

/// Queued items with the same due time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedItems {
    /// When they are due, by the clock of the host that accepted the job. All hosts read this
    /// time from the same record, so clock differences between hosts have no effect.
    pub due_unix_ms: u64,
    /// The number of items.
    pub items: u32,
}

/// The items of other hosts that precede an item of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Number of items at other hosts with an earlier due time.
    pub items: u32,
    /// When one of these hosts was last known to start an item.
    pub last_start_at: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    queued: Vec<QueuedItems>,
    last_start_at: Option<Instant>,
}

/// The queued items of other hosts.
#[derive(Debug, Default)]
pub struct PeerQueues {
    peers: HashMap<HostId, Peer>,
}

impl PeerQueues {
    /// Replaces the queued items of a peer. Returns whether they changed.
    pub fn update(&mut self, host: &str, queued: Vec<QueuedItems>, now: Instant) -> bool {
        if queued.is_empty() {
            return self.peers.remove(host).is_some();
        }
        let before = self.peers.get(host);
        if before.is_some_and(|peer| peer.queued == queued) {
            return false;
        }
        let has_started_item = before.is_some_and(|peer| count(&peer.queued) > count(&queued));
        let last_start_at = match has_started_item {
            true => Some(now),
            false => before.and_then(|peer| peer.last_start_at),
        };
        self.peers.insert(
            host.to_owned(),
            Peer {
                queued,
                last_start_at,
            },
        );
        true
    }

    /// Removes a failed peer.
    pub fn remove(&mut self, host: &str) {
        self.peers.remove(host);
    }

    /// Returns the items of other hosts that precede an item with the given due time.
    pub fn ahead(&self, due_unix_ms: u64) -> Ahead {
        let mut ahead = Ahead::default();
        for peer in self.peers.values() {
            let queued = peer.queued.iter();
            let earlier = queued.filter(|group| group.due_unix_ms < due_unix_ms);
            let items = earlier.fold(0, |sum: u32, group| sum.saturating_add(group.items));
            if items > 0 {
                ahead.items = ahead.items.saturating_add(items);
                ahead.last_start_at = ahead.last_start_at.max(peer.last_start_at);
            }
        }
        ahead
    }
}

fn count(queued: &[QueuedItems]) -> u32 {
    let items = queued.iter().map(|group| group.items);
    items.fold(0, u32::saturating_add)
}
