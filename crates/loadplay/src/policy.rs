//! Policies to compare: that of production, and variants with one mechanism off.

/// The mechanisms in use in a simulation. Comparing policies shows what each contributes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The name on the command line and in reports.
    pub name: &'static str,
    /// Whether a host leaves free slots to peers whose queued items are due earlier.
    pub uses_peer_queues: bool,
    /// Whether items that can no longer complete in time run after all others.
    pub demotes_late: bool,
    /// Slots of each target that may be kept free for online requests.
    pub reserve: u32,
}

/// All policies; the first is that of production.
pub const POLICIES: [Policy; 4] = [
    Policy {
        name: "product",
        uses_peer_queues: true,
        demotes_late: true,
        reserve: 1,
    },
    Policy {
        name: "no-turns",
        uses_peer_queues: false,
        demotes_late: true,
        reserve: 1,
    },
    Policy {
        name: "late-in-line",
        uses_peer_queues: true,
        demotes_late: false,
        reserve: 1,
    },
    Policy {
        name: "no-reserve",
        uses_peer_queues: true,
        demotes_late: true,
        reserve: 0,
    },
];
