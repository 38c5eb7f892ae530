//! Forwarding tree of a message.
//!
//! A message lists the hosts to which its receiver forwards it, so hosts need neither agree
//! on a tree nor know one another. The sender shuffles the hosts for each message; a
//! stalled or failed host therefore cuts off different hosts each time.
//!
//! Deriving the tree from a shared host list was rejected: hosts that start at the same
//! time have different lists for about a second and would skip one another.

/// Number of hosts to which each host sends a message; three levels reach about 600.
pub const FANOUT: usize = 8;

/// A receiver and the hosts to which it forwards the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch<A> {
    /// The receiver.
    pub receiver: A,
    /// The hosts to which the receiver forwards the message.
    pub forward_to: Vec<A>,
}

/// Splits hosts into up to `fanout` branches of nearly equal size.
pub fn split<A: Clone>(hosts: &[A], fanout: usize) -> Vec<Branch<A>> {
    let size = hosts.len().div_ceil(fanout.max(1)).max(1);
    let branches = hosts.chunks(size);
    let branches = branches.filter_map(|branch| {
        let (receiver, forward_to) = branch.split_first()?;
        Some(Branch {
            receiver: receiver.clone(),
            forward_to: forward_to.to_vec(),
        })
    });
    branches.collect()
}
