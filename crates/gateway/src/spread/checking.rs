//! Detects that this host's targets differ from those of the host that reads the log.
//!
//! Changes are sent without the state that they lead to, so a host that has missed one would
//! not find out until the entry changes again. The reader therefore sends a checksum of its
//! targets from time to time. A host that differs for long reports it and goes on: whether it or
//! the reader is wrong cannot be told from the checksum.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::records::TargetsChecksum;
use notchwharf_spread::tree;

use super::Distributor;
use super::Links;
use super::Neighbour;
use crate::metrics::Counted;
use crate::sync::lock;
use crate::time::millis;

/// Interval between two checksums.
const SEND_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which targets may differ. The reader's listing may be newer than its offset until it
/// has read the records that follow.
const DIFFERENCE_MAX: Duration = Duration::from_secs(6);

/// State of sending and comparing checksums.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Check {
    sent_at: Option<Instant>,
    /// Since when the targets have differed.
    differs_since: Option<Instant>,
    is_reported: bool,
}

impl Check {
    /// Records a comparison; returns for how long the targets have differed if that is to be
    /// reported.
    fn record(&mut self, is_equal: bool, now: Instant) -> Option<Duration> {
        if is_equal {
            self.differs_since = None;
            self.is_reported = false;
            return None;
        }
        let since = *self.differs_since.get_or_insert(now);
        let elapsed = now - since;
        let is_due = elapsed >= DIFFERENCE_MAX && !self.is_reported;
        self.is_reported |= is_due;
        is_due.then_some(elapsed)
    }
}

impl Distributor {
    /// Sends the checksum of this host's targets if it is due.
    pub(super) fn send_checksum(&self, links: &Links, neighbours: &[Neighbour], now: Instant) {
        let sent_at = lock(&self.state).check.sent_at;
        if sent_at.is_some_and(|at| now - at < SEND_INTERVAL) {
            return;
        }
        let Some((end, checksum)) = self.deps.catalog.targets_checksum() else {
            return;
        };
        lock(&self.state).check.sent_at = Some(now);
        let addrs: Vec<SocketAddr> = neighbours.iter().map(|(_, addr)| *addr).collect();
        let message = TargetsChecksum {
            reader: self.deps.host.clone(),
            end,
            checksum,
            forward_to: Vec::new(),
        };
        self.forward_checksum(links, &addrs, &message);
    }

    fn forward_checksum(&self, links: &Links, addrs: &[SocketAddr], message: &TargetsChecksum) {
        for branch in tree::split(addrs, tree::FANOUT) {
            let datagram = PeerMessage::TargetsChecksum(TargetsChecksum {
                forward_to: branch.forward_to,
                ..message.clone()
            });
            (links.send)(branch.receiver, &datagram);
        }
    }

    /// Forwards the reader's checksum and compares it, if this host has read as far.
    pub(crate) fn check(&self, mut message: TargetsChecksum) {
        let Some(links) = self.links.get() else {
            return;
        };
        let forward_to = std::mem::take(&mut message.forward_to);
        self.forward_checksum(links, &forward_to, &message);
        let own = self.deps.catalog.targets_checksum();
        let Some((_, checksum)) = own.filter(|(end, _)| *end == message.end) else {
            return;
        };
        let is_equal = checksum == message.checksum;
        let report = lock(&self.state).check.record(is_equal, Instant::now());
        if is_equal {
            self.deps.metrics.set("targets_differ", 0);
        }
        if let Some(elapsed) = report {
            self.deps.metrics.set("targets_differ", 1);
            self.deps.metrics.count(Counted::Changes, "targets differ");
            slog::error!(self.deps.logger, "targets differ from those of the log's reader";
                "peer" => message.reader, "offset" => message.end, "for_ms" => millis(elapsed));
        }
    }
}
