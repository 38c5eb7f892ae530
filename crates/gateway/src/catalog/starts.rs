//! When a start of a target takes the place of another one.
//!
//! A target that ends leaves its entry behind for some heartbeats, so a removed entry neither tells when
//! its target ended nor whether it shut down. Another start at the same address does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use notchwharf_routing::balancer::Spec;
use notchwharf_routing::balancer::TargetId;

/// Maximum number of addresses that are remembered, several times as many as a large fleet has.
const ADDRS_MAX: usize = 16_384;

/// The newest start at an address.
#[derive(Clone, Debug)]
struct Start {
    id: TargetId,
    started_unix_ms: Option<u64>,
    is_leaving: bool,
    /// When it became known, if it took the place of one that had not said that it leaves.
    replaced_at: Option<Instant>,
}

/// The newest start at each address.
#[derive(Debug, Default)]
pub(super) struct Starts(HashMap<SocketAddr, Start>);

impl Starts {
    /// Records the entry of a target.
    pub(super) fn add(&mut self, id: &str, spec: &Spec, now: Instant) {
        if let Some(known) = self.0.get_mut(&spec.addr)
            && known.id == id
            && known.started_unix_ms == spec.started_unix_ms
        {
            known.is_leaving |= spec.is_leaving;
            return;
        }
        if self.is_late(spec) {
            return;
        }
        if self.0.len() >= ADDRS_MAX {
            self.0.clear();
        }
        let before = self.0.get(&spec.addr);
        let has_ended = before.is_some_and(|before| !before.is_leaving);
        let start = Start {
            id: id.to_owned(),
            started_unix_ms: spec.started_unix_ms,
            is_leaving: spec.is_leaving,
            replaced_at: has_ended.then_some(now),
        };
        self.0.insert(spec.addr, start);
    }

    /// Returns whether an entry is of a start before the newest one at its address, as one that the
    /// store carries out late is.
    fn is_late(&self, spec: &Spec) -> bool {
        let newest = self
            .0
            .get(&spec.addr)
            .and_then(|start| start.started_unix_ms);
        newest > spec.started_unix_ms && spec.started_unix_ms.is_some()
    }

    /// Returns when it became known that the newest start at an address took the place of another one.
    pub(super) fn replaced_at(&self, addr: SocketAddr) -> Option<Instant> {
        self.0.get(&addr)?.replaced_at
    }
}
