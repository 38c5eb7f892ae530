//! A message reaches each host exactly once.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::HashMap;

use notchwharf_spread::tree::FANOUT;
use notchwharf_spread::tree::split;
use proptest::prelude::*;

/// Forwards a message to all hosts; returns the depth of the tree.
fn forward(hosts: &[usize], received: &mut HashMap<usize, usize>) -> usize {
    let branches = split(hosts, FANOUT);
    assert!(branches.len() <= FANOUT);
    let deepest = branches.into_iter().map(|branch| {
        *received.entry(branch.receiver).or_default() += 1;
        1 + forward(&branch.forward_to, received)
    });
    deepest.max().unwrap_or(0)
}

proptest! {
    #[test]
    fn each_host_receives_a_message_once_within_four_levels(count in 0..2_000_usize) {
        let hosts: Vec<usize> = (0..count).collect();
        let mut received = HashMap::new();
        let levels = forward(&hosts, &mut received);
        prop_assert_eq!(received.len(), count);
        prop_assert!(received.values().all(|times| *times == 1));
        prop_assert!(levels <= 4, "{} levels", levels);
    }
}

#[test]
fn a_fanout_of_zero_still_reaches_all_hosts() {
    let branches = split(&[1, 2, 3], 0);
    assert_eq!(branches.len(), 1);
    assert_eq!(branches[0].forward_to, [2, 3]);
}
