//! The lifecycle of a host: start, graceful shutdown, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt as _;
use notchwharf_config::gateway::Settings;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::catalog;
use crate::cleanup;
use crate::context::Context;
use crate::context::Until;
use crate::cpu_time;
use crate::error::StartError;
use crate::intake;
use crate::items;
use crate::journal;
use crate::limits;
use crate::origins;
use crate::peers;
use crate::ports::Ports;
use crate::quarantine;
use crate::time::ms;
use crate::waiting;
use notchwharf_listen::Phase;

const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for deleting the host's entry from the host list at shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(200);

/// A running host.
#[derive(Debug)]
pub struct Host {
    ctx: Arc<Context>,
}

impl Host {
    /// Starts a host. The adapter starts to listen for callers itself.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the peers' address cannot be listened on.
    pub async fn start(
        settings: Settings,
        ports: Ports,
        logger: slog::Logger,
    ) -> Result<Self, Report<StartError>> {
        let addr = settings.host.peer_listen;
        let socket = UdpSocket::bind(addr)
            .await
            .change_context(StartError::Listen);
        let socket = socket.attach_with(|| addr.to_string())?;
        let mut listeners = vec![bind(addr).await?];
        if let Some(addr) = settings.host.contact_listen {
            listeners.push(bind(addr).await?);
        }
        let ctx = Arc::new(Context::new(settings, ports, logger));
        catalog::start(&ctx);
        journal::start(&ctx);
        peers::start(&ctx, socket, listeners);
        quarantine::start(&ctx);
        let until = Until::Phase(Phase::Stopped);
        ctx.spawn_duty("share limits", until, limits::run);
        ctx.spawn_duty("serve wait queue", until, |ctx| {
            waiting::run(Arc::clone(&ctx.request_queue), ctx.phase.subscribe())
        });
        items::start(&ctx);
        ctx.spawn_duty(
            "delete expired records",
            Until::Phase(Phase::Leaving),
            cleanup::run,
        );
        origins::start(&ctx);
        ctx.spawn_duty("report callers", until, intake::run);
        ctx.spawn_duty("report processor time", until, |ctx| {
            cpu_time::report(
                Arc::clone(&ctx.metrics),
                ctx.logger.clone(),
                ctx.timer.subscribe(cpu_time::REPORT_INTERVAL),
                ctx.phase.subscribe(),
            )
        });
        slog::info!(ctx.logger, "started"; "incarnation" => ctx.incarnation,
            "peer_listen" => addr.to_string(),
            "data_centre" => ctx.settings.host.data_centre.as_str());
        Ok(Self { ctx })
    }

    /// Returns the state shared by all modules of the host.
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Shuts down gracefully: reports not ready, finishes requests in progress and stops.
    ///
    /// Returns whether everything was finished within the configured time.
    pub async fn shut_down(self) -> bool {
        let ctx = &self.ctx;
        let timeout = ms(ctx.settings.shutdown.drain_timeout_ms);
        ctx.drain
            .begin(ms(ctx.settings.shutdown.notice_ms), timeout);
        ctx.advance_phase(Phase::Leaving);
        ctx.peers.notify();
        slog::info!(ctx.logger, "leaving"; "in_flight" => ctx.in_flight.count(),
            "connections" => ctx.connections.count());
        let drained = tokio::time::timeout(timeout, self.drain()).await;
        let in_flight = ctx.in_flight.count();
        ctx.advance_phase(Phase::Stopped);
        slog::info!(ctx.logger, "stopped"; "clean" => drained.is_ok(), "in_flight" => in_flight);
        drained.is_ok()
    }

    async fn drain(&self) {
        let ctx = &self.ctx;
        let mut ticks = ctx.timer.subscribe(DRAIN_CHECK_INTERVAL);
        // Hosts that start meanwhile query the listed hosts for the leases on limits that they
        // hold.
        limits::release_leases(ctx);
        // If the entry cannot be deleted, other hosts detect the shutdown by the missing
        // heartbeats.
        let _ = tokio::time::timeout(DEREGISTER_TIMEOUT, peers::deregister(ctx)).await;
        tokio::time::sleep(ms(ctx.settings.shutdown.notice_ms)).await;
        while ctx.in_flight.count() + ctx.items.unrecorded.count() > 0 {
            if ticks.recv().await.is_none() {
                return;
            }
        }
        ctx.advance_phase(Phase::Closing);
        while ctx.connections.count() > 0 && ticks.recv().await.is_some() {}
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Returns [`StartError::Listen`] with the address.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let listener = TcpListener::bind(addr).await;
    listener
        .change_context(StartError::Listen)
        .attach_with(|| addr.to_string())
}
