//! Announces changes of the log to other hosts.

use std::net::SocketAddr;
use std::time::Instant;

use notchwharf_proto::records;
use notchwharf_proto::records::Announcement;
use notchwharf_routing::discovery::Position;
use rand::seq::SliceRandom as _;

use super::Distributor;
use super::Links;
use super::Neighbour;
use crate::catalog::Versions;
use crate::sync::lock;
use crate::time::millis;

/// Maximum number of announced changes; a host that misses more requests them.
const ANNOUNCED_CHANGES_MAX: usize = 160;
/// Maximum bytes of changes per datagram, so that it fits one packet on the link with the
/// smallest MTU.
const CHANGES_BYTES_MAX: usize = 1_000;
/// Approximate encoded size of the numbers, flags and the address of a change.
const CHANGE_FIXED_BYTES: usize = 32;

/// The state that this host announced last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Announced {
    at: Option<Instant>,
    versions: Versions,
    hosts: u64,
    /// The target offsets announced last and before that.
    targets_to: u64,
    targets_from: u64,
}

impl Distributor {
    /// Announces what this host has read, if there are changes or an announcement is due.
    pub(super) fn announce(&self, links: &Links, neighbours: &[Neighbour], now: Instant) {
        let versions = self.deps.catalog.versions();
        let hosts = (links.hosts_end)();
        let announced = lock(&self.state).announced;
        let has_changes = versions != announced.versions || hosts != announced.hosts;
        let is_due = announced
            .at
            .is_none_or(|at| now - at >= self.timeouts.announce_interval);
        if !has_changes && !is_due {
            return;
        }
        let mut addrs: Vec<SocketAddr> = neighbours.iter().map(|(_, addr)| *addr).collect();
        addrs.shuffle(&mut rand::rng());
        let reading = self.deps.catalog.reading(now);
        let parts = self.datagram_parts(&announced);
        let to = parts.last().map_or(announced.targets_to, |part| part.to);
        for targets in parts {
            let message = Announcement {
                reader: self.deps.host.clone(),
                incarnation: self.deps.incarnation,
                sent_ms: millis(now - self.started),
                reading,
                config: versions.config,
                hosts,
                targets,
                forward_to: Vec::new(),
            };
            self.forward(links, &addrs, &message);
        }
        lock(&self.state).announced = Announced {
            at: Some(now),
            versions,
            hosts,
            targets_from: announced.targets_to,
            targets_to: to,
        };
    }

    /// Returns the changes since the last announcement, split into datagrams. If they are few,
    /// the changes of the previous announcement are repeated in case it was lost.
    fn datagram_parts(&self, announced: &Announced) -> Vec<records::Targets> {
        let repeated = self.datagram_part(announced.targets_from);
        let is_short = is_part(&repeated) && changes_bytes(&repeated) <= CHANGES_BYTES_MAX;
        if is_short && repeated.to >= repeated.end {
            return vec![repeated];
        }
        let mut parts = Vec::new();
        let mut changes = 0;
        let mut from = announced.targets_to;
        loop {
            let part = self.datagram_part(from);
            changes += part.changes.len();
            if !is_part(&part) || changes > ANNOUNCED_CHANGES_MAX {
                let end = part.end;
                return vec![records::Targets {
                    from: end,
                    to: end,
                    end,
                    ..records::Targets::default()
                }];
            }
            from = part.to;
            let is_last = part.to >= part.end;
            parts.push(part);
            if is_last {
                return parts;
            }
        }
    }

    /// Returns the changes from an offset on that fit a datagram. All that may have changed before
    /// the end of a part must be in it, so it may be larger.
    fn datagram_part(&self, from: u64) -> records::Targets {
        let position = Position { from, after: None };
        let mut limit = CHANGES_BYTES_MAX / CHANGE_FIXED_BYTES;
        loop {
            let part = self.deps.catalog.targets_since(&position, limit);
            if limit == 1 || !is_part(&part) || changes_bytes(&part) <= CHANGES_BYTES_MAX {
                return part;
            }
            limit /= 2;
        }
    }
}

/// Returns whether a difference consists of changes rather than entries.
fn is_part(targets: &records::Targets) -> bool {
    targets.page.is_none() && !targets.is_complete
}

fn changes_bytes(targets: &records::Targets) -> usize {
    targets.changes.iter().map(change_bytes).sum()
}

/// Returns the approximate encoded size of a change.
fn change_bytes(change: &records::TargetChange) -> usize {
    let target = change.target.as_ref();
    let names = target.map_or(0, |t| {
        t.service.len() + t.data_centre.len() + t.version.as_ref().map_or(0, String::len)
    });
    CHANGE_FIXED_BYTES + change.id.len() + names
}
