//! Policies: the product's, and the same with one mechanism switched off.

/// What is switched off in a play, to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Whether hosts leave places to those whose items are due first.
    pub takes_turns: bool,
    /// Whether items that come too late run after all others.
    pub puts_late_behind: bool,
    /// Places of each target that may be kept free for online requests.
    pub reserve: u32,
}

/// All policies; the first is the product's.
pub const POLICIES: [Policy; 4] = [
    Policy {
        name: "product",
        takes_turns: true,
        puts_late_behind: true,
        reserve: 1,
    },
    Policy {
        name: "no-turns",
        takes_turns: false,
        puts_late_behind: true,
        reserve: 1,
    },
    Policy {
        name: "late-in-line",
        takes_turns: true,
        puts_late_behind: false,
        reserve: 1,
    },
    Policy {
        name: "no-reserve",
        takes_turns: true,
        puts_late_behind: true,
        reserve: 0,
    },
];
