//! Whom a host tells what it runs, and how often.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::relay;
use crate::context::Context;
use crate::context::lock;

/// Time between two datagrams to a peer that is down.
const DOWN_BEAT: Duration = Duration::from_secs(1);

/// Time between two tellings of hosts in other data centres, for each of those
/// that are told themselves: what a host sends stays flat.
const REMOTE_GAP_PER_HOST: Duration = Duration::from_micros(1_500);

/// Whom to tell.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    pub(super) addrs: Vec<SocketAddr>,
    /// How hosts in other data centres are told, if they are now.
    pub(super) far: Option<Far>,
}

/// How hosts in other data centres are told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Far {
    /// Time until they are told again.
    pub(super) gap: Duration,
    /// Whether any of them hear of it by others only.
    is_passed_on: bool,
}

impl Far {
    /// Returns the time after which they are told without news. Those that are
    /// to pass it on may be down, so it is shorter with them.
    pub(super) fn beat(self, beat: Duration) -> Duration {
        match self.is_passed_on {
            true => beat.min(2 * self.gap),
            false => beat,
        }
    }

    /// Adds one data centre of which so many hosts are told themselves.
    fn add(&mut self, told: usize, is_passed_on: bool) {
        if is_passed_on {
            self.gap = self.gap.max(relay::GAP);
            self.is_passed_on = true;
        } else {
            self.gap += REMOTE_GAP_PER_HOST * u32::try_from(told).unwrap_or(u32::MAX);
        }
    }
}

/// Returns where to send: to peers that live, and now and then to the others
/// and to the hosts that the settings name.
pub(super) fn receivers(ctx: &Context, with_far: bool) -> Receivers {
    let now = Instant::now();
    let mut known = lock(&ctx.peers.known);
    let mut addrs = Vec::new();
    let mut far_hosts: HashMap<Option<&str>, Vec<SocketAddr>> = HashMap::new();
    for peer in known.values_mut() {
        let told = peer.told.map(|at| now.duration_since(at));
        if peer.is_alive && !relay::is_near(ctx, peer) {
            let hosts = far_hosts.entry(peer.data_centre.as_deref()).or_default();
            hosts.push(peer.addr);
        } else if peer.is_alive || told.is_none_or(|ago| ago >= DOWN_BEAT) {
            peer.told = Some(now);
            addrs.push(peer.addr);
        }
    }
    let far = with_far.then(|| {
        let mut far = Far::default();
        for hosts in far_hosts.values() {
            let (told, is_passed_on) = relay::told(hosts);
            far.add(told.len(), is_passed_on);
            addrs.extend(told);
        }
        far
    });
    if !known.values().any(|peer| peer.is_alive) {
        let own = ctx.settings.host.peer_listen;
        let seeds = ctx.settings.host.seeds.iter();
        let seeds = seeds.map(|ip: &IpAddr| SocketAddr::new(*ip, own.port()));
        addrs.extend(seeds.filter(|addr| *addr != own));
    }
    Receivers { addrs, far }
}
