//! Whose turn it is when a place falls free.
//!
//! Each host runs the items of its own jobs, and jobs come unevenly: one host
//! has ten seconds of work waiting while another has none. If whoever sees a
//! free place takes it, items that have just come overtake those that have
//! waited long, and the latter are late though there was room for all. So hosts
//! tell one another which of their items wait and when they are due, and a host
//! leaves free places to as many items as are due before its own.
//!
//! The load that this answers: places nearly all taken for some ten seconds,
//! jobs at some hosts only. Without it a third of the items came late there.
//!
//! A common queue was rejected: whoever holds it is a step more for each item,
//! and its death stops all. So was running items at other hosts than the one
//! that has the job: what an item generated would have to be handed over.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::items::peer_queues::{PeerQueues, QueuedItems};
//!
//! let now = Instant::now();
//! let mut line = PeerQueues::default();
//! line.tell("a2", vec![QueuedItems { due_unix_ms: 900, items: 3 }], now);
//! line.tell("a3", vec![QueuedItems { due_unix_ms: 500, items: 2 }], now);
//! assert_eq!(line.ahead(800).items, 2);
//! line.forget("a3");
//! assert_eq!(line.ahead(800).items, 0);
//! ```

use std::collections::HashMap;
use std::time::Instant;

use crate::balancer::HostId;

/// Jobs that a host tells apart: those due first. More would be bytes for
/// nothing, since few hosts have more than three at a time.
pub const DUE_TIMES_MAX: usize = 3;

/// Items that wait and are due at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedItems {
    /// When they are due, by the clock of the host that took their job in. All
    /// hosts read it from the same record, so that their own clocks don't
    /// matter.
    pub due_unix_ms: u64,
    /// How many they are.
    pub items: u32,
}

/// What comes before an item of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Items at other hosts that are due before it.
    pub items: u32,
    /// When one of these hosts last took a place, as far as known.
    pub last_start_at: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    waiting: Vec<QueuedItems>,
    last_start_at: Option<Instant>,
}

/// Items that wait at other hosts.
#[derive(Debug, Default)]
pub struct PeerQueues {
    peers: HashMap<HostId, Peer>,
}

impl PeerQueues {
    /// Takes in what waits at a peer; it replaces what was known. Returns whether
    /// it differs.
    pub fn update(&mut self, host: &str, waiting: Vec<QueuedItems>, now: Instant) -> bool {
        if waiting.is_empty() {
            return self.peers.remove(host).is_some();
        }
        let before = self.peers.get(host);
        if before.is_some_and(|peer| peer.waiting == waiting) {
            return false;
        }
        let has_moved = before.is_some_and(|peer| count(&peer.waiting) > count(&waiting));
        let last_start_at = match has_moved {
            true => Some(now),
            false => before.and_then(|peer| peer.last_start_at),
        };
        self.peers.insert(
            host.to_owned(),
            Peer {
                waiting,
                last_start_at,
            },
        );
        true
    }

    /// Forgets a peer: it is down.
    pub fn remove(&mut self, host: &str) {
        self.peers.remove(host);
    }

    /// Returns what comes before an item that is due at a time.
    pub fn ahead(&self, due_unix_ms: u64) -> Ahead {
        let mut ahead = Ahead::default();
        for peer in self.peers.values() {
            let waiting = peer.waiting.iter();
            let before = waiting.filter(|waiting| waiting.due_unix_ms < due_unix_ms);
            let items = before.fold(0, |sum: u32, w| sum.saturating_add(w.items));
            if items > 0 {
                ahead.items = ahead.items.saturating_add(items);
                ahead.last_start_at = ahead.last_start_at.max(peer.last_start_at);
            }
        }
        ahead
    }
}

fn count(waiting: &[QueuedItems]) -> u32 {
    let items = waiting.iter().map(|w| w.items);
    items.fold(0, u32::saturating_add)
}
