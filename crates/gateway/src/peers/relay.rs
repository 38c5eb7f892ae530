//! Relays statuses of hosts in other data centres within the local one.
//!
//! [`dissemination`] decides who receives and who relays; this module keeps the queue and sends.
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
use super::recipients::relay_recipients;
use crate::context::Context;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::metrics::Counted;
use crate::sync::lock;

/// Remote hosts whose status is to be relayed. The status itself is stored with the peer.
#[derive(Debug, Default)]
pub(super) struct Relay {
    pending: Mutex<HashSet<HostId>>,
}

impl Relay {
    /// Queues the status of a remote host for the next relay.
    pub(super) fn enqueue(&self, host: &str) {
        lock(&self.pending).insert(host.to_owned());
    }

    fn take(&self) -> HashSet<HostId> {
        std::mem::take(&mut *lock(&self.pending))
    }
}

/// Returns the statuses of hosts, split into parts that each fit a datagram.
fn split_statuses(ctx: &Context, hosts: &HashSet<HostId>) -> Vec<Vec<Status>> {
    let known = lock(&ctx.peers.known);
    let changed = hosts.iter().filter_map(|host| known.get(host));
    let bytes_of = |status: &Status| messages::encode(&PeerMessage::Status(status.clone())).len();
    messages::split_by_size(changed.map(|peer| peer.status.clone()), bytes_of)
}

/// Relays queued statuses until the host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(RELAY_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let pending = ctx.peers.relay.take();
        if pending.is_empty() {
            continue;
        }
        let local = relay_recipients(&ctx);
        if local.is_empty() {
            continue;
        }
        let Some(socket) = ctx.peers.socket.get() else {
            return;
        };
        cpu_time::measure(&ctx.metrics, Activity::RelayUpdates, || {
            relay(&ctx, &pending, &local, socket);
        });
    }
}

fn relay(ctx: &Context, pending: &HashSet<HostId>, local: &[SocketAddr], socket: &UdpSocket) {
    for part in split_statuses(ctx, pending) {
        let bytes = messages::encode(&PeerMessage::PassedOn(part));
        for addr in local {
            // If this is lost, the next one replaces it.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "passed on");
        }
    }
}

/// Returns whether a peer is in this host's data centre.
pub(super) fn is_local(ctx: &Context, peer: &Peer) -> bool {
    peer.data_centre.as_ref() == Some(&ctx.settings.host.data_centre)
}
