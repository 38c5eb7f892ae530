//! Divides a large fleet into cells, within which hosts send one another their full state.
//!
//! Hosts that use the same targets have to know what the others run there. Where every host
//! sends its state to every other one, the work grows with the square of the fleet: in a
//! simulation, each of 300 hosts receives 3,965 states of others a second, each of 90 hosts
//! 1,180. A fleet of more than about a hundred hosts is therefore divided into cells: the
//! hosts of one data centre, or a part of them where it has very many. Within a cell, hosts
//! send one another each change at once. From other cells they receive sums: what all hosts
//! of a cell together run at each target.
//!
//! ```
//! use notchwharf_routing::cells::Cells;
//!
//! let of = |hosts: &[usize]| Cells::for_fleet(hosts.iter().copied(), 96);
//! assert!(of(&[30, 30, 30]).are_in_same_cell(("a1", "d1"), ("b1", "d2")));
//! let cells = of(&[60, 60]);
//! assert!(cells.are_in_same_cell(("a1", "d1"), ("a2", "d1")));
//! assert!(!cells.are_in_same_cell(("a1", "d1"), ("b1", "d2")));
//! ```
//!
//! Alternatives rejected: cells that span data centres, assigned by hash, each with a share of
//! all targets (updates on four fifths of a cell's targets are as old as those from other
//! cells here, shares differ by a seventh, and a full fleet has no slots to spare);
//! targets assigned to each host by rendezvous hashing (a host that uses 8 of 153 targets
//! shares them with some 120 others); no updates on remote targets at all (where slots are
//! scarce, most requests sent without updates reach a full target).

use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after a change of the cells for which hosts also send their state to those of their
/// previous cell. Others may read the list of hosts this much later, and would consider a
/// host from which no updates arrive as failed.
const TRANSITION_TIME: Duration = Duration::from_secs(5);

/// Hash seed that makes the division independent of other hashes of the same names.
const HASH_SEED: u64 = 0x6365_6c6c;

/// A host's name and its data centre.
pub type HostLocation<'a> = (&'a str, &'a str);

/// The division of a fleet into cells. The lesser of two divisions has the larger cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cells {
    is_divided: bool,
    /// Binary logarithm of the number of cells per data centre.
    cells_log2: u32,
}

impl Cells {
    /// Returns the division of a fleet, given the number of hosts of each data centre and the
    /// maximum number of hosts of a cell.
    pub fn for_fleet(hosts: impl IntoIterator<Item = usize>, cell_hosts_max: usize) -> Self {
        let cell_hosts_max = cell_hosts_max.max(1);
        let (mut total, mut largest) = (0, 0);
        for hosts in hosts {
            total += hosts;
            largest = largest.max(hosts);
        }
        if total <= cell_hosts_max {
            return Self::default();
        }
        let cells = largest.div_ceil(cell_hosts_max).max(1).next_power_of_two();
        Self {
            is_divided: true,
            cells_log2: cells.trailing_zeros(),
        }
    }

    /// Returns whether there is more than one cell.
    pub fn is_divided(self) -> bool {
        self.is_divided
    }

    /// Returns the name of a host's cell; empty if there is only one cell.
    pub fn name_of(self, (host, data_centre): HostLocation<'_>) -> String {
        match (self.is_divided, self.cells_log2) {
            (false, _) => String::new(),
            (true, 0) => data_centre.to_owned(),
            (true, _) => format!("{data_centre}/{}", self.cell_index(host)),
        }
    }

    /// Returns whether two hosts are in the same cell.
    pub fn are_in_same_cell(self, one: HostLocation<'_>, other: HostLocation<'_>) -> bool {
        if !self.is_divided {
            return true;
        }
        one.1 == other.1
            && (self.cells_log2 == 0 || self.cell_index(one.0) == self.cell_index(other.0))
    }

    fn cell_index(self, host: &str) -> u64 {
        xxh3_64_with_seed(host.as_bytes(), HASH_SEED) % (1 << self.cells_log2)
    }
}

/// The current division of the fleet, and the previous one during a transition.
#[derive(Clone, Copy, Debug)]
pub struct Division {
    cell_hosts_max: usize,
    current: Cells,
    /// The previous cells, and when they were replaced.
    previous: Option<(Cells, Instant)>,
    /// Whether `note_hosts` has been called; until then `current` is a placeholder.
    has_noted_hosts: bool,
}

impl Division {
    /// Returns a fleet that is not divided yet, given the maximum number of hosts of a cell.
    pub fn new(cell_hosts_max: usize) -> Self {
        Self {
            cell_hosts_max,
            current: Cells::default(),
            previous: None,
            has_noted_hosts: false,
        }
    }

    /// Updates the division by the number of hosts of each data centre; returns whether the
    /// cells change.
    pub fn note_hosts(&mut self, hosts: impl IntoIterator<Item = usize>, now: Instant) -> bool {
        let cells = Cells::for_fleet(hosts, self.cell_hosts_max);
        let had_noted_hosts = std::mem::replace(&mut self.has_noted_hosts, true);
        if cells == self.current {
            return false;
        }
        let previous = std::mem::replace(&mut self.current, cells);
        // Nothing was sent under the initial placeholder, so it needs no transition.
        self.previous = had_noted_hosts.then_some((previous, now));
        true
    }

    /// Returns the current cells.
    pub fn cells(&self) -> Cells {
        self.current
    }

    /// Returns the cells within which hosts send their full state: the current ones, or the
    /// larger of the current and the previous ones during a transition.
    pub fn broadcast_cells(&self, now: Instant) -> Cells {
        let previous = self
            .previous
            .filter(|(_, at)| now.duration_since(*at) < TRANSITION_TIME);
        previous.map_or(self.current, |(cells, _)| cells.min(self.current))
    }
}
