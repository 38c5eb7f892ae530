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
//! use notchwharf_routing::items::turn::{Line, Waiting};
//!
//! let mut line = Line::default();
//! line.tell("a2", vec![Waiting { due_unix_ms: 900, items: 3 }]);
//! line.tell("a3", vec![Waiting { due_unix_ms: 500, items: 2 }]);
//! assert_eq!(line.ahead(800), 2);
//! line.forget("a3");
//! assert_eq!(line.ahead(800), 0);
//! ```

use std::collections::HashMap;

use crate::places::HostId;

/// Jobs of which a host tells: those due first. Three reach as far as a host
/// gets within the age of the news; more would be bytes for nothing.
pub const TOLD_MAX: usize = 3;

/// Items that wait and are due at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// When they are due, by the clock of the host that took their job in. All
    /// hosts read it from the same record, so that their own clocks don't
    /// matter.
    pub due_unix_ms: u64,
    /// How many they are.
    pub items: u32,
}

/// Items that wait at other hosts.
#[derive(Debug, Default)]
pub struct Line {
    peers: HashMap<HostId, Vec<Waiting>>,
}

impl Line {
    /// Takes in what waits at a peer; it replaces what was known.
    pub fn tell(&mut self, host: &str, waiting: Vec<Waiting>) {
        if waiting.is_empty() {
            self.peers.remove(host);
        } else {
            self.peers.insert(host.to_owned(), waiting);
        }
    }

    /// Forgets a peer: it is down.
    pub fn forget(&mut self, host: &str) {
        self.peers.remove(host);
    }

    /// Returns how many items at other hosts are due before a time.
    pub fn ahead(&self, due_unix_ms: u64) -> u32 {
        let waiting = self.peers.values().flatten();
        let before = waiting.filter(|waiting| waiting.due_unix_ms < due_unix_ms);
        before.fold(0, |sum, waiting| sum.saturating_add(waiting.items))
    }
}
