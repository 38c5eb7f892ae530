//! Probes: whom to ask whether it lives, and what its silence means.

use std::time::Instant;

use rand::RngExt as _;
use rand::seq::SliceRandom as _;

use super::Gossip;
use super::Kind;
use crate::fact::Fact;
use crate::fact::Health;
use crate::fact::HostId;

/// Peers asked to probe for this host.
const HELPERS: usize = 2;

/// A probe that has no answer yet.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) host: HostId,
    pub(super) seq: u64,
    pub(super) sent: Instant,
    pub(super) helped: bool,
}

impl Gossip {
    /// Takes suspects for dead that have not denied it in time.
    pub(super) fn condemn(&mut self, now: Instant) {
        let patience = self.cfg.suspicion_timeout;
        let due: Vec<HostId> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.duration_since(**since) >= patience)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.suspects.remove(&id);
            self.report(now, &id, Health::Down);
        }
    }

    /// Says that a host is worse off than is known.
    pub(super) fn report(&mut self, now: Instant, id: &str, health: Health) {
        let Some(host) = self.host(id) else {
            return;
        };
        let mut host = host.clone();
        if host.health >= health {
            return;
        }
        host.health = health;
        self.learn(now, Fact::Host(id.to_owned(), host));
    }

    /// Asks others to probe a silent peer, and then suspects it.
    pub(super) fn watch_probe(&mut self, now: Instant) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waited = now.duration_since(probe.sent);
        if waited >= self.cfg.probe_interval {
            let host = probe.host.clone();
            self.probe = None;
            self.report(now, &host, Health::Suspect);
            return;
        }
        if probe.helped || waited < self.cfg.probe_interval / 3 {
            return;
        }
        probe.helped = true;
        let (seq, host) = (probe.seq, probe.host.clone());
        let mut others = self.others();
        others.retain(|other| *other != host);
        others.shuffle(&mut self.rng);
        for helper in others.into_iter().take(HELPERS) {
            self.send(&helper, Kind::Help(seq, host.clone()));
        }
    }

    /// Probes the next peer, unless a probe is under way.
    pub(super) fn start_probe(&mut self, now: Instant) {
        if self.probe.is_some() {
            return;
        }
        let Some(host) = self.next_in_round() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        self.send(&host, Kind::Ping(seq, None));
        self.probe = Some(Probe {
            host,
            seq,
            sent: now,
            helped: false,
        });
    }

    fn next_in_round(&mut self) -> Option<HostId> {
        loop {
            if self.round.is_empty() {
                self.round = self.others();
                self.round.shuffle(&mut self.rng);
            }
            let id = self.round.pop()?;
            // One in a while, a dead host is probed as well: it may be a
            // partition that has healed.
            let down = self.host(&id).is_none_or(|h| h.health == Health::Down);
            if !down || self.rng.random_ratio(1, 8) || self.round.is_empty() {
                return Some(id);
            }
        }
    }
}
