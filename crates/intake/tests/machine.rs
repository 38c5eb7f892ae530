//! What a host takes of its machine for callers.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_intake::Machine;
use rstest::rstest;

/// Descriptors that a host needs for itself.
const OWN_DESCRIPTORS: u64 = 64;

fn machine(descriptors: u64) -> Machine {
    Machine {
        memory_bytes: 128 << 20,
        descriptors,
    }
}

/// When all entrances are full, each caller's request has a connection to its target, and all items
/// run, the host still has its own descriptors.
#[rstest]
#[case(256)]
#[case(1_024)]
#[case(4_100)]
#[case(8_200)]
#[case(1_048_576)]
fn full_entrances_leave_the_host_its_descriptors(#[case] descriptors: u64) {
    let machine = machine(descriptors);
    let callers = 2 * machine.connections_max();
    let checks = 2 * machine.checks_max();
    assert!(callers + checks + machine.items_max() + OWN_DESCRIPTORS <= descriptors);
    assert!(machine.connections_max() > descriptors / 5);
}

/// A check once a second that leaves its connections open for a minute is no crowd.
#[rstest]
#[case(1_024)]
#[case(4_100)]
fn a_minute_of_readiness_checks_is_admitted(#[case] descriptors: u64) {
    assert!(machine(descriptors).checks_max() > 60);
}
