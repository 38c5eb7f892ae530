//! Probing of peers and suspicion of peers that do not respond.

use std::time::Instant;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;

use super::Gossip;
use super::Kind;
use crate::fact::Fact;
use crate::fact::Health;
use crate::fact::HostId;

/// Peers that are requested to probe indirectly.
const INDIRECT_PROBERS: usize = 2;

/// A probe that has not been acknowledged.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) host: HostId,
    pub(super) seq: u64,
    pub(super) sent_at: Instant,
    pub(super) is_indirect: bool,
}

impl Gossip {
    /// Marks hosts as down that have not refuted a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        let timeout = self.config.suspicion_timeout;
        let expired: Vec<HostId> = self
            .suspected_at
            .iter()
            .filter(|(_, since)| now.duration_since(**since) >= timeout)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.suspected_at.remove(&id);
            self.worsen_health(now, &id, Health::Down);
        }
    }

    /// Applies a health to a host if it is worse than the known one.
    pub(super) fn worsen_health(&mut self, now: Instant, id: &str, health: Health) {
        let Some(host) = self.host(id) else {
            return;
        };
        let mut host = host.clone();
        if host.health >= health {
            return;
        }
        host.health = health;
        self.apply(now, Fact::Host(id.to_owned(), host));
    }

    /// Requests indirect probes of a peer that does not respond, and later suspects it.
    pub(super) fn check_probe(&mut self, now: Instant) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let elapsed = now.duration_since(probe.sent_at);
        if elapsed >= self.config.probe_interval {
            let host = probe.host.clone();
            self.probe = None;
            self.worsen_health(now, &host, Health::Suspect);
            return;
        }
        if probe.is_indirect || elapsed < self.config.probe_interval / 3 {
            return;
        }
        probe.is_indirect = true;
        let (seq, host) = (probe.seq, probe.host.clone());
        let mut peers = self.peers();
        peers.retain(|other| *other != host);
        peers.shuffle(&mut self.rng);
        for prober in peers.into_iter().take(INDIRECT_PROBERS) {
            self.send(&prober, Kind::Help(seq, host.clone()));
        }
    }

    /// Probes the next peer unless a probe is outstanding.
    pub(super) fn start_probe(&mut self, now: Instant) {
        if self.probe.is_some() {
            return;
        }
        let Some(host) = self.next_probe_peer() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        self.send(&host, Kind::Ping(seq, None));
        self.probe = Some(Probe {
            host,
            seq,
            sent_at: now,
            is_indirect: false,
        });
    }

    fn next_probe_peer(&mut self) -> Option<HostId> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.peers();
                self.probe_order.shuffle(&mut self.rng);
            }
            let id = self.probe_order.pop()?;
            // Hosts that are down are probed occasionally, since a network partition may
            // have healed.
            let down = self.host(&id).is_none_or(|h| h.health == Health::Down);
            if !down || self.rng.random_ratio(1, 8) || self.probe_order.is_empty() {
                return Some(id);
            }
        }
    }
}
