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
        let since = |from| {
            let position = Position { from, after: None };
            self.deps
                .catalog
                .targets_since(&position, ANNOUNCED_CHANGES_MAX)
        };
        let repeated = since(announced.targets_from);
        let is_short = changes_bytes(&repeated) <= CHANGES_BYTES_MAX
            && repeated.page.is_none()
            && !repeated.is_complete;
        let targets = match is_short {
            true => repeated,
            false => since(announced.targets_to),
        };
        if targets.page.is_some() || targets.is_complete || targets.to < targets.end {
            let end = self.deps.catalog.targets_end();
            return vec![records::Targets {
                from: end,
                to: end,
                end,
                ..records::Targets::default()
            }];
        }
        split_changes(targets)
    }
}

fn changes_bytes(targets: &records::Targets) -> usize {
    targets.changes.iter().map(change_bytes).sum()
}

/// Returns the approximate encoded size of a change.
fn change_bytes(change: &records::TargetChange) -> usize {
    /// Size of numbers, flags and the address.
    const FIXED: usize = 32;
    let target = change.target.as_ref();
    let names = target.map_or(0, |t| t.service.len() + t.data_centre.len());
    FIXED + change.id.len() + names
}

/// Splits changes into datagrams. Only the last one reaches the end of the range.
fn split_changes(targets: records::Targets) -> Vec<records::Targets> {
    let mut parts = Vec::new();
    let mut part = records::Targets {
        from: targets.from,
        to: targets.from,
        end: targets.end,
        ..records::Targets::default()
    };
    let mut bytes = 0;
    for change in targets.changes {
        let size = change_bytes(&change);
        // Changes at the same offset must stay in one datagram, and those newer than the range in
        // the last one.
        let is_next = change.offset >= part.to && change.offset < targets.to;
        if bytes + size > CHANGES_BYTES_MAX && is_next && !part.changes.is_empty() {
            let next = records::Targets {
                from: part.to,
                to: part.to,
                end: targets.end,
                ..records::Targets::default()
            };
            parts.push(std::mem::replace(&mut part, next));
            bytes = 0;
        }
        bytes += size;
        part.to = part.to.max(change.offset + 1);
        part.changes.push(change);
    }
    part.to = targets.to;
    parts.push(part);
    parts
}
