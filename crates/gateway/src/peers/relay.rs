//! News of hosts in other data centres, passed on inside one's own.
//!
//! Who is told and who passes on is decided in [`dissemination`]; here it is noted and
//! sent.
//!
//! [`dissemination`]: notchwharf_routing::dissemination

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Status;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::dissemination::RELAY_INTERVAL;
use tokio::net::UdpSocket;

use super::Peer;
use super::receivers::passed_on_to;
use crate::context::Context;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::metrics::Counted;
use crate::sync::lock;

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
    let bytes_of = |status: &Status| messages::encode(&PeerMessage::Status(status.clone())).len();
    messages::split_by_size(news.map(|peer| peer.status.clone()), bytes_of)
}

/// Passes news on inside this host's data centre.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(RELAY_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let heard = ctx.peers.relay.take();
        if heard.is_empty() {
            continue;
        }
        let near = passed_on_to(&ctx);
        if near.is_empty() {
            continue;
        }
        let Some(socket) = ctx.peers.socket.get() else {
            return;
        };
        cpu_time::measure(&ctx.metrics, Activity::RelayUpdates, || {
            pass_on(&ctx, &heard, &near, socket);
        });
    }
}

fn pass_on(ctx: &Context, heard: &HashSet<HostId>, near: &[SocketAddr], socket: &UdpSocket) {
    for part in parts(ctx, heard) {
        let bytes = messages::encode(&PeerMessage::PassedOn(part));
        for addr in near {
            // Lost, the next one makes up for it.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "passed on");
        }
    }
}

/// Returns whether a peer stands in this host's data centre.
pub(super) fn is_near(ctx: &Context, peer: &Peer) -> bool {
    peer.data_centre.as_ref() == Some(&ctx.settings.host.data_centre)
}
