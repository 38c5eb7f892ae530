//! Start, shutdown and immediate stop of a server.

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
use crate::bundle::BundleFollower;
use crate::callers;
use crate::context::Context;
use crate::context::post;
use crate::error::StartError;
use crate::file_reader::FileReader;
use crate::leases;
use crate::leases::TargetLeases;
use crate::members;
use crate::members::Leave;
use crate::online;
use crate::peers;
use crate::quarantine;
use crate::results::ResultWriter;
use crate::shards;
use notchwharf_listen::Phase;

const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses on which a server listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addrs {
    /// The API for callers.
    pub listen: SocketAddr,
    /// The API for operators.
    pub admin: SocketAddr,
    /// The RPC server for other hosts.
    pub peer: SocketAddr,
    /// The UDP socket for gossip.
    pub gossip: SocketAddr,
}

/// A running server.
pub struct Server {
    ctx: Arc<Context>,
    addrs: Addrs,
    leases: xtra::Address<TargetLeases>,
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
    /// Returns [`StartError`] if an address cannot be listened on or the server for other
    /// hosts cannot be started.
    pub async fn start(
        settings: Settings,
        logger: slog::Logger,
    ) -> Result<Self, Report<StartError>> {
        let host = &settings.host;
        let listen = bind(host.listen).await?;
        let admin = bind(host.admin_listen).await?;
        let peer =
            std::net::TcpListener::bind(host.peer_listen).change_context(StartError::Listen)?;
        peer.set_nonblocking(true)
            .change_context(StartError::Listen)?;
        let gossip = UdpSocket::bind(host.gossip_listen);
        let gossip = gossip.await.change_context(StartError::Listen)?;
        let addrs = Addrs {
            listen: listen.local_addr().change_context(StartError::Listen)?,
            admin: admin.local_addr().change_context(StartError::Listen)?,
            peer: peer.local_addr().change_context(StartError::Listen)?,
            gossip: gossip.local_addr().change_context(StartError::Listen)?,
        };
        let file_reader = FileReader::start().change_context(StartError::FileReader)?;
        let ctx = Arc::new(Context::new(settings, logger, file_reader));
        let update_socket = UdpSocket::bind((addrs.gossip.ip(), 0));
        let update_socket = update_socket.await.change_context(StartError::Listen)?;
        // Each `OnceLock` of a new context is empty, so setting it cannot fail.
        let _ = ctx.update_socket.set(update_socket);
        let _ = ctx.results.set(ResultWriter::start(&ctx));
        let follower = BundleFollower::start(&ctx);
        let _ = ctx.bundle_follower.set(Arc::clone(&follower));
        let addr = HostAddress {
            gossip: addrs.gossip,
            peer_url: format!("http://{}", addrs.peer),
            data_centre: ctx.settings.host.data_centre.clone(),
        };
        let members = members::start(&ctx, &follower, gossip, addr);
        let _ = ctx.members.set(members);
        let peers = peers::serve(&ctx, peer).ok_or(StartError::Peers)?;
        shards::start(&ctx);
        let leases = leases::start(&ctx);
        tokio::spawn(online::resend_stream_counts(Arc::clone(&ctx)));
        quarantine::start(&ctx);
        tokio::spawn(callers::report(Arc::clone(&ctx)));
        let entrance = ctx.callers.entrance.clone();
        let callers = api::serve(Arc::clone(&ctx), listen, entrance, api::handle);
        tokio::spawn(callers);
        let entrance = ctx.callers.operators.clone();
        let operators = api::serve(Arc::clone(&ctx), admin, entrance, api::admin::handle);
        tokio::spawn(operators);
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

    /// Returns the addresses on which the server listens.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Returns this host's entry for the platform's host list.
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

    /// Waits until the host is asked to leave.
    pub async fn leave_requested(&self) {
        let mut phase = self.ctx.phase.subscribe();
        // The sender is part of the context that this server holds, so the wait cannot fail.
        let _ = phase.wait_for(|p| *p >= Phase::Leaving).await;
    }

    /// Shuts down gracefully: becomes not ready, finishes outstanding work, releases its
    /// leases and stops.
    ///
    /// Returns whether all work was finished within the configured drain timeout.
    pub async fn leave(self) -> bool {
        let ctx = &self.ctx;
        let shutdown = &ctx.settings.shutdown;
        ctx.drain
            .begin(ms(shutdown.notice_ms), ms(shutdown.drain_timeout_ms));
        ctx.begin_leaving();
        slog::info!(ctx.logger, "leaving");
        if let Some(members) = ctx.members.get() {
            post(members, Leave);
        }
        post(&self.leases, leases::ReleaseAll);
        let drained = tokio::time::timeout(ms(shutdown.drain_timeout_ms), self.drain()).await;
        self.stop();
        drained.is_ok()
    }

    /// Stops immediately.
    pub fn stop(self) {
        let ctx = self.ctx;
        ctx.phase.send_replace(Phase::Stopped);
        ctx.stop_actors();
        // Stopping a stopped server is harmless.
        let _ = self.peers.stop();
        slog::info!(ctx.logger, "stopped");
    }

    async fn drain(&self) {
        let ctx = &self.ctx;
        let mut ticks = ctx.timer.subscribe(DRAIN_CHECK_INTERVAL);
        tokio::time::sleep(ms(ctx.settings.shutdown.notice_ms)).await;
        loop {
            let is_released = self.leases.send(leases::IsReleased).await.unwrap_or(true);
            let busy = ctx.in_flight.count() + ctx.unsettled.count() + ctx.held_shards().len();
            if is_released && busy == 0 {
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

async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let listener = TcpListener::bind(addr).await;
    listener
        .change_context(StartError::Listen)
        .attach_with(|| addr.to_string())
}
