//! The life of a server: start, leave, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt as _;
use jsonrpsee::server::ServerHandle;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_config::settings::Settings;
use notchwharf_config::settings::ms;
use notchwharf_membership::fact::Address as HostAddress;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::api;
use crate::bundle::Feed;
use crate::context::Context;
use crate::context::post;
use crate::error::Start;
use crate::fleet;
use crate::fleet::Leases;
use crate::members;
use crate::members::Leave;
use crate::online;
use crate::peers;
use crate::quarantine;
use crate::results::Results;
use crate::shards;
use notchwharf_listen::Phase;

const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// Where a server listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addrs {
    /// Callers.
    pub listen: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// Other hosts.
    pub peer: SocketAddr,
    /// Gossip.
    pub gossip: SocketAddr,
}

/// A running server.
pub struct Server {
    ctx: Arc<Context>,
    addrs: Addrs,
    leases: xtra::Address<Leases>,
    peers: ServerHandle,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server")
            .field("host", self.ctx.host())
            .field("addrs", &self.addrs)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns [`Start`] if an address cannot be listened on.
    pub async fn start(settings: Settings, logger: slog::Logger) -> Result<Self, Report<Start>> {
        let host = &settings.host;
        let listen = bind(host.listen).await?;
        let admin = bind(host.admin_listen).await?;
        let peer = std::net::TcpListener::bind(host.peer_listen).change_context(Start::Listen)?;
        peer.set_nonblocking(true).change_context(Start::Listen)?;
        let gossip = UdpSocket::bind(host.gossip_listen);
        let gossip = gossip.await.change_context(Start::Listen)?;
        let addrs = Addrs {
            listen: listen.local_addr().change_context(Start::Listen)?,
            admin: admin.local_addr().change_context(Start::Listen)?,
            peer: peer.local_addr().change_context(Start::Listen)?,
            gossip: gossip.local_addr().change_context(Start::Listen)?,
        };
        let ctx = Arc::new(Context::new(settings, logger));
        let notices = UdpSocket::bind((addrs.gossip.ip(), 0));
        let notices = notices.await.change_context(Start::Listen)?;
        // The context is new, so nothing was set in it before.
        let _ = ctx.notices.set(notices);
        let _ = ctx.results.set(Results::start(&ctx));
        let feed = Feed::start(&ctx);
        let _ = ctx.feed.set(Arc::clone(&feed));
        let addr = HostAddress {
            gossip: addrs.gossip,
            peer_url: format!("http://{}", addrs.peer),
            data_centre: ctx.settings.host.data_centre.clone(),
        };
        let members = members::start(&ctx, &feed, gossip, addr);
        let _ = ctx.members.set(members);
        let peers = peers::serve(&ctx, peer).ok_or(Start::Peers)?;
        shards::start(&ctx);
        let leases = fleet::start(&ctx);
        tokio::spawn(online::repeat_notices(Arc::clone(&ctx)));
        quarantine::start(&ctx);
        tokio::spawn(api::serve(Arc::clone(&ctx), listen, api::handle));
        tokio::spawn(api::serve(Arc::clone(&ctx), admin, api::admin::handle));
        slog::info!(ctx.logger, "listening";
            "listen" => addrs.listen.to_string(), "admin" => addrs.admin.to_string(),
            "peer" => addrs.peer.to_string(), "gossip" => addrs.gossip.to_string(),
            "incarnation" => ctx.incarnation);
        Ok(Self {
            ctx,
            addrs,
            leases,
            peers,
        })
    }

    /// Returns where it listens.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Returns how the platform's list would name this host.
    pub fn listed(&self) -> ListEntry {
        ListEntry {
            name: self.ctx.host().clone(),
            data_centre: self.ctx.settings.host.data_centre.clone(),
            incarnation: self.ctx.incarnation,
            leaving: false,
            kind: Kind::Host {
                url: format!("http://{}", self.addrs.listen),
                peer_url: format!("http://{}", self.addrs.peer),
                gossip_addr: self.addrs.gossip,
            },
        }
    }

    /// Waits until an operator tells the host to leave.
    pub async fn told_to_leave(&self) {
        let mut phase = self.ctx.phase.subscribe();
        // The sender lives as long as the context, which this holds.
        let _ = phase.wait_for(|p| *p >= Phase::Leaving).await;
    }

    /// Leaves: turns not ready, finishes what it has, hands over, stops.
    ///
    /// Returns whether everything was finished within the settings' time.
    pub async fn leave(self) -> bool {
        let ctx = &self.ctx;
        ctx.begin_leaving();
        slog::info!(ctx.logger, "leaving");
        if let Some(members) = ctx.members.get() {
            post(members, Leave);
        }
        post(&self.leases, fleet::End);
        let shutdown = &ctx.settings.shutdown;
        let drained = tokio::time::timeout(ms(shutdown.drain_timeout_ms), self.drain()).await;
        self.stop();
        drained.is_ok()
    }

    /// Stops at once.
    pub fn stop(self) {
        let ctx = self.ctx;
        ctx.phase.send_replace(Phase::Stopped);
        ctx.forget_actors();
        // Stopping twice is no harm.
        let _ = self.peers.stop();
        slog::info!(ctx.logger, "stopped");
    }

    async fn drain(&self) {
        let ctx = &self.ctx;
        let mut ticks = ctx.timer.subscribe(DRAIN_PERIOD);
        tokio::time::sleep(ms(ctx.settings.shutdown.notice_ms)).await;
        loop {
            let given_back = self.leases.send(fleet::Ended).await.unwrap_or(true);
            let busy = ctx.in_flight.count() + ctx.unsettled.count() + ctx.held_shards().len();
            if given_back && busy == 0 {
                break;
            }
            if ticks.recv().await.is_none() {
                return;
            }
        }
        ctx.phase.send_replace(Phase::Closing);
        while ctx.connections.count() > 0 && ticks.recv().await.is_some() {}
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<Start>> {
    let listener = TcpListener::bind(addr).await;
    listener
        .change_context(Start::Listen)
        .attach_with(|| addr.to_string())
}
