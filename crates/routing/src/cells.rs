//! Parts of a large fleet: which hosts tell one another all that they run.
//!
//! Hosts that use the same targets have to know what the others run there. Where
//! every host tells every other one, that grows with the square of the fleet: played
//! in virtual time, each of 300 hosts takes in 3,965 states of others a second, each
//! of 90 hosts 1,180. So a fleet of more than some hundred hosts is divided into
//! cells: the hosts of one data centre, or a part of them where it has very many.
//! Inside a cell hosts tell one another each change at once. Of other cells they hear
//! sums: what all hosts of a cell together run at each target.
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
//! Rejected were: cells across data centres, drawn by hash, each with a share of all
//! targets (news of four fifths of a cell's targets is as old as it is for other
//! cells here, shares differ by a seventh, and a full fleet has no place to waste);
//! targets drawn for each host by rendezvous hashing (a host that uses 8 of 153
//! targets shares them with some 120 others); no news at all of far targets (where
//! places are short most guesses meet a full one).

use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after a change of the cells for which hosts also tell those of the cell that
/// they were in: others may read the list of hosts so much later, and would take a
/// host that they hear no more for dead.
const SETTLE: Duration = Duration::from_secs(5);

/// Makes the division of a data centre independent of other uses of the same names.
const SEED: u64 = 0x6365_6c6c;

/// A host's name and its data centre.
pub type HostLocation<'a> = (&'a str, &'a str);

/// How a fleet is divided. The lesser of two has the larger cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cells {
    is_divided: bool,
    /// The number of cells of a data centre is this power of two.
    bits: u32,
}

impl Cells {
    /// Returns how a fleet is divided whose data centres have so many hosts each, if
    /// a cell has so many at most.
    pub fn for_fleet(hosts: impl IntoIterator<Item = usize>, cell_hosts_max: usize) -> Self {
        let most = cell_hosts_max.max(1);
        let (mut all, mut largest) = (0, 0);
        for hosts in hosts {
            all += hosts;
            largest = largest.max(hosts);
        }
        if all <= most {
            return Self::default();
        }
        let parts = largest.div_ceil(most).max(1).next_power_of_two();
        Self {
            is_divided: true,
            bits: parts.trailing_zeros(),
        }
    }

    /// Returns whether there is more than one cell.
    pub fn is_divided(self) -> bool {
        self.is_divided
    }

    /// Returns a name of a host's cell.
    pub fn name_of(self, (host, data_centre): HostLocation<'_>) -> String {
        match (self.is_divided, self.bits) {
            (false, _) => String::new(),
            (true, 0) => data_centre.to_owned(),
            (true, _) => format!("{data_centre}/{}", self.part(host)),
        }
    }

    /// Returns whether two hosts are in the same cell.
    pub fn are_in_same_cell(self, one: HostLocation<'_>, other: HostLocation<'_>) -> bool {
        if !self.is_divided {
            return true;
        }
        one.1 == other.1 && (self.bits == 0 || self.part(one.0) == self.part(other.0))
    }

    fn part(self, host: &str) -> u64 {
        xxh3_64_with_seed(host.as_bytes(), SEED) % (1 << self.bits)
    }
}

/// How the fleet is divided now, and was a moment ago.
#[derive(Clone, Copy, Debug)]
pub struct Division {
    cell_hosts_max: usize,
    now: Cells,
    before: Option<(Cells, Instant)>,
    /// Whether `note_hosts` has been called; until then `now` is a placeholder.
    has_noted_hosts: bool,
}

impl Division {
    /// Returns a fleet that is not divided yet, and will be into cells of so many
    /// hosts at most.
    pub fn new(cell_hosts_max: usize) -> Self {
        Self {
            cell_hosts_max,
            now: Cells::default(),
            before: None,
            has_noted_hosts: false,
        }
    }

    /// Takes in how many hosts the data centres have; returns whether that changes
    /// the cells.
    pub fn note_hosts(&mut self, hosts: impl IntoIterator<Item = usize>, now: Instant) -> bool {
        let cells = Cells::for_fleet(hosts, self.cell_hosts_max);
        let had_noted_hosts = std::mem::replace(&mut self.has_noted_hosts, true);
        if cells == self.now {
            return false;
        }
        let before = std::mem::replace(&mut self.now, cells);
        // Nothing was sent under the initial placeholder, so it needs no settle time.
        self.before = had_noted_hosts.then_some((before, now));
        true
    }

    /// Returns the cells as they are.
    pub fn cells(&self) -> Cells {
        self.now
    }

    /// Returns the cells whose hosts are told all: just after a change the larger of
    /// those before and now.
    pub fn broadcast_cells(&self, now: Instant) -> Cells {
        let before = self
            .before
            .filter(|(_, at)| now.duration_since(*at) < SETTLE);
        before.map_or(self.now, |(cells, _)| cells.min(self.now))
    }
}
