//! News of hosts in other data centres, passed on inside one's own.
//!
//! Where a data centre has many hosts, each of them being told by all others
//! far away costs bytes between data centres by the square of the fleet. So a
//! host tells a few of them, drawn anew each time, and those pass on what they
//! were told to all hosts near them, several hosts' news in one datagram. News
//! comes later by the pause between two passings; the draw makes it come as
//! long as any host there lives.
//!
//! Fixed relays were rejected: their death silences all whose news they pass
//! on until that is noticed, just when others look for owners that are gone.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use notchwharf_listen::Phase;
use notchwharf_proto::news;
use notchwharf_proto::news::News;
use notchwharf_proto::news::Status;
use notchwharf_routing::places::HostId;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;

use super::Peer;
use crate::context::Context;
use crate::context::lock;
use crate::metrics::Counted;
use crate::work;
use crate::work::Part;

/// Hosts of a data centre from which on news is passed on inside it. Below, all
/// are told: the way over another host costs more time than it saves bytes.
const HOSTS_MIN: usize = 9;

/// The same as the hosts inside see it: they must pass on whenever somebody far
/// away tells only some, and both may know of different hosts at a time.
const HOSTS_MIN_INSIDE: usize = HOSTS_MIN / 2;

/// Hosts of a data centre that are told: two, for one may just have died.
const TOLD: usize = 2;

/// Time between two tellings of data centres in which news is passed on, and
/// between two passings: together a quarter of the time after which a silent
/// host counts as down.
pub(super) const GAP: Duration = Duration::from_millis(100);

/// Bytes of news in one datagram: what the least link carries in one packet.
const BYTES_MAX: usize = 1_200;

/// Hosts far away of which there is news to pass on; what it is stands with
/// each of them as a peer.
#[derive(Debug, Default)]
pub(super) struct Relay {
    heard: Mutex<HashSet<HostId>>,
}

impl Relay {
    /// Notes that there is news of a host far away, to be passed on soon.
    pub(super) fn put(&self, host: &str) {
        lock(&self.heard).insert(host.to_owned());
    }

    fn take(&self) -> HashSet<HostId> {
        std::mem::take(&mut *lock(&self.heard))
    }
}

/// Returns how hosts are, in parts that each fit a datagram.
fn parts(ctx: &Context, hosts: &HashSet<HostId>) -> Vec<Vec<Status>> {
    let known = lock(&ctx.peers.known);
    let news = hosts.iter().filter_map(|host| known.get(host));
    let mut parts: Vec<Vec<Status>> = Vec::new();
    let mut bytes = BYTES_MAX;
    for status in news.map(|peer| peer.status.clone()) {
        let size = news::encode(&News::Status(status.clone())).len();
        bytes += size;
        match parts.last_mut() {
            Some(part) if bytes <= BYTES_MAX => part.push(status),
            _ => {
                bytes = size;
                parts.push(vec![status]);
            }
        }
    }
    parts
}

/// Returns which hosts of a data centre far away to tell, and whether they are
/// to pass the news on.
pub(super) fn told(hosts: &[SocketAddr]) -> (Vec<SocketAddr>, bool) {
    if hosts.len() < HOSTS_MIN {
        return (hosts.to_vec(), false);
    }
    (
        hosts.sample(&mut rand::rng(), TOLD).copied().collect(),
        true,
    )
}

/// Passes news on inside this host's data centre.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(GAP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let near = near(&ctx);
        let heard = ctx.peers.relay.take();
        if near.len() + 1 < HOSTS_MIN_INSIDE {
            continue;
        }
        let Some(socket) = ctx.peers.socket.get() else {
            return;
        };
        work::timed(&ctx.metrics, Part::NewsPassedOn, || {
            pass_on(&ctx, &heard, &near, socket);
        });
    }
}

fn pass_on(ctx: &Context, heard: &HashSet<HostId>, near: &[SocketAddr], socket: &UdpSocket) {
    for part in parts(ctx, heard) {
        let bytes = news::encode(&News::PassedOn(part));
        for addr in near {
            // Lost, the next one makes up for it.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "passed on");
        }
    }
}

/// Returns where the other hosts of this data centre are.
fn near(ctx: &Context) -> Vec<SocketAddr> {
    let known = lock(&ctx.peers.known);
    let near = known.values().filter(|p| p.is_alive && is_near(ctx, p));
    near.map(|peer| peer.addr).collect()
}

/// Returns whether a peer stands in this host's data centre.
pub(super) fn is_near(ctx: &Context, peer: &Peer) -> bool {
    peer.data_centre.as_ref() == Some(&ctx.settings.host.data_centre)
}
