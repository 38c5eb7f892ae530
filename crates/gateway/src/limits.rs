//! Enforces the rate limits of workspaces: queries the hosts that hold them, see
//! [`notchwharf_quota`].
//!
//! A query is one datagram each way. Datagrams are lost and hosts stall, so a query without a
//! response is sent to the other holder, alternating until its timeout. Then the request is
//! refused as not run: admitting it unchecked would exceed the limit during network
//! partitions.

mod allowance;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::access::WorkspacePolicy;
use notchwharf_config::gateway::Settings;
use notchwharf_config::routes::Table;
use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_quota::Action;
use notchwharf_quota::Bounds;
use notchwharf_quota::BucketParams;
use notchwharf_quota::Decision;
use notchwharf_quota::Fleet;
use notchwharf_quota::HostKey;
use notchwharf_quota::Limiter;
use notchwharf_quota::Message;
use notchwharf_quota::Query;
use notchwharf_quota::WorkspaceKey;
use notchwharf_quota::host_key;
use notchwharf_quota::workspace_key;
use notchwharf_startup::Dependency;
use rand::RngExt as _;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::error::Failure;
use crate::metrics::Counted;
use crate::peers::QuotaPeer;
use crate::sync::lock;
use crate::time::millis;

/// Interval at which it is checked which host should hold which limits.
const TICK: Duration = Duration::from_millis(100);
/// That interval while a host starts: requests of limited workspaces wait until shares are
/// leased.
const STARTUP_TICK: Duration = Duration::from_millis(20);
/// Time after its start for which a host uses the shorter interval.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Time after which a query is sent to the other holder: ten round trips to another data
/// centre, a tenth of usual objectives.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a query fails: each holder was queried three times by then.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Divisor of a route's objective that gives the longest wait for the limit: the rest of the
/// objective is for the first event.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Jitter of the retry delay when no holder decided: it spreads the retries of callers, each
/// of which retries once, over the refill of buckets that start empty.
const UNKNOWN_JITTER_MS: u64 = 500;
/// Least retry delay: an earlier retry costs a connection and gains nothing.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The limits as known to this host, and its queries in progress.
pub(crate) struct Limits {
    limiter: Mutex<Limiter>,
    pending: Mutex<HashMap<u32, oneshot::Sender<Decision>>>,
    addrs: Mutex<HashMap<HostKey, SocketAddr>>,
    bounds: Bounds,
    own: HostKey,
}

impl Limits {
    pub(crate) fn new(settings: &Settings) -> Self {
        let own = host_key(&settings.host.name);
        let limits = &settings.access.limits;
        Self {
            limiter: Mutex::new(Limiter::new(own, rand::random(), Instant::now())),
            pending: Mutex::default(),
            addrs: Mutex::default(),
            bounds: Bounds {
                window: Duration::from_secs(limits.window_s),
                excess: limits.excess,
                slack: limits.slack as f64,
            },
            own,
        }
    }

    /// Returns the bucket parameters of the workspaces that have a limit.
    fn bucket_params(&self, table: &Table) -> HashMap<WorkspaceKey, BucketParams> {
        let workspaces = table.workspaces().into_iter().flat_map(|all| all.iter());
        let limited = workspaces.filter_map(|workspace| {
            let params = BucketParams::new(workspace.limit?, self.bounds);
            Some((workspace_key(&workspace.name), params))
        });
        limited.collect()
    }
}

/// A request's admission by its workspace's limit. Dropped before the request may have run, it
/// is refunded.
pub(crate) struct Permit {
    ctx: Arc<Context>,
    number: u32,
    pub(crate) is_used: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ctx = &self.ctx;
        let mut limiter = lock(&ctx.limits.limiter);
        if self.is_used {
            return limiter.confirm(self.number);
        }
        let refund = limiter.refund(self.number, Instant::now());
        drop(limiter);
        ctx.metrics.count(Counted::Limits, "given back");
        if let Some((to, message)) = refund {
            send(ctx, to, message);
        }
    }
}

/// Admits a request of a workspace, after a wait if need be, or refuses it.
///
/// # Errors
///
/// Returns that the limit is reached, or that no holder decided in time.
pub(crate) async fn admit(
    ctx: &Arc<Context>,
    workspace: &WorkspacePolicy,
    objective: Duration,
    deadline: Instant,
) -> Result<Option<Permit>, Failure> {
    if workspace.limit.is_none() {
        return Ok(None);
    }
    let started = Instant::now();
    let remaining = deadline.saturating_duration_since(started);
    let max_wait = objective.min(remaining) / MAX_WAIT_DIVISOR;
    let (number, decision) = query_holders(ctx, workspace, max_wait, started).await;
    match decision {
        Decision::Admitted { delay } => {
            let permit = Permit {
                ctx: Arc::clone(ctx),
                number,
                is_used: false,
            };
            let label = if delay.is_zero() {
                "let in"
            } else {
                "let in after a wait"
            };
            ctx.metrics.count(Counted::Limits, label);
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            Ok(Some(permit))
        }
        Decision::Refused { retry_after } => {
            ctx.metrics.count(Counted::Limits, "refused");
            Err(Failure::OverLimit {
                retry_after: retry_after.max(MIN_RETRY_AFTER),
            })
        }
        Decision::Unknown => {
            ctx.metrics.count(Counted::Limits, "nobody could tell");
            let retry_after = lock(&ctx.limits.limiter).retry_after(Instant::now());
            let jitter = rand::rng().random_range(0..UNKNOWN_JITTER_MS);
            Err(Failure::NotRun {
                retry_after: retry_after + Duration::from_millis(jitter),
                reason: "nobody could tell the workspace's limit",
            })
        }
    }
}

/// Queries the holders of a workspace's limit. While this host starts, there may be no known
/// holder yet: the query is repeated for as long as the request can wait.
async fn query_holders(
    ctx: &Context,
    workspace: &WorkspacePolicy,
    max_wait: Duration,
    started: Instant,
) -> (u32, Decision) {
    let key = workspace_key(&workspace.name);
    loop {
        let query = lock(&ctx.limits.limiter).query(key, max_wait, Instant::now());
        let (number, decision) = await_decision(ctx, query).await;
        if decision != Decision::Unknown {
            ctx.startup.mark_ready(Dependency::Limits, "holder");
        }
        let is_out_of_time = started.elapsed() + QUERY_RETRY_INTERVAL > max_wait;
        let has_started = ctx.startup.uptime() >= STARTUP_PERIOD;
        if decision != Decision::Unknown || is_out_of_time || has_started {
            return (number, decision);
        }
        tokio::time::sleep(QUERY_RETRY_INTERVAL).await;
    }
}

/// Sends a query, with retries, and waits for the decision.
async fn await_decision(ctx: &Context, query: Query) -> (u32, Decision) {
    let (number, to, message) = match query {
        Query::Decided { number, decision } => return (number, decision),
        Query::Sent {
            number,
            to,
            message,
        } => (number, to, message),
    };
    let (decision_tx, mut decision_rx) = oneshot::channel();
    lock(&ctx.limits.pending).insert(number, decision_tx);
    let _guard = CancelOnDrop { ctx, number };
    send(ctx, to, message);
    let deadline = Instant::now() + QUERY_TIMEOUT;
    loop {
        if let Ok(decision) = tokio::time::timeout(QUERY_RETRY_INTERVAL, &mut decision_rx).await {
            return (number, decision.unwrap_or(Decision::Unknown));
        }
        let now = Instant::now();
        if now >= deadline {
            return (number, Decision::Unknown);
        }
        ctx.metrics.count(Counted::Limits, "asked again");
        let retried = lock(&ctx.limits.limiter).retry_query(number, now);
        match retried {
            Some(Query::Sent { to, message, .. }) => send(ctx, to, message),
            Some(Query::Decided { decision, .. }) => return (number, decision),
            // The decision has arrived in between.
            None => {}
        }
    }
}

/// Cancels a query when its request no longer waits for the decision.
struct CancelOnDrop<'a> {
    ctx: &'a Context,
    number: u32,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        lock(&self.ctx.limits.pending).remove(&self.number);
        lock(&self.ctx.limits.limiter).cancel_query(self.number);
    }
}

/// Sends a message to a host if its address is known.
fn send(ctx: &Context, to: HostKey, message: Message) {
    let addr = lock(&ctx.limits.addrs).get(&to).copied();
    if let Some(addr) = addr {
        send_to(ctx, addr, message);
    }
}

fn send_to(ctx: &Context, addr: SocketAddr, message: Message) {
    let host = ctx.limits.own;
    let quota_message = messages::QuotaMessage { host, message };
    ctx.peers.send_to(addr, &PeerMessage::Limits(quota_message));
    ctx.metrics.count(Counted::Datagrams, "limits");
}

/// Handles a message about limits.
pub(crate) fn handle_message(ctx: &Context, addr: SocketAddr, received: &messages::QuotaMessage) {
    let now = Instant::now();
    let action = lock(&ctx.limits.limiter).receive(received.host, &received.message, now);
    match action {
        Action::None => {}
        Action::Reply(message) => send_to(ctx, addr, message),
        Action::Query(Query::Sent { to, message, .. }) => send(ctx, to, message),
        Action::Query(Query::Decided { number, decision }) => {
            let pending = lock(&ctx.limits.pending).remove(&number);
            let is_received = pending.is_some_and(|pending| pending.send(decision).is_ok());
            // The caller has disconnected, or the query has timed out.
            if !is_received && matches!(decision, Decision::Admitted { .. }) {
                let refund = lock(&ctx.limits.limiter).refund(number, now);
                if let Some((to, message)) = refund {
                    send(ctx, to, message);
                }
            }
        }
    }
}

/// Applies the configured limits and tracks their holders, until the host stops.
pub(crate) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(STARTUP_TICK);
    let mut routes = ctx.routes.subscribe();
    let mut was_holding = false;
    let mut is_starting = true;
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        if is_starting && ctx.startup.uptime() >= STARTUP_PERIOD {
            is_starting = false;
            ticks = ctx.timer.subscribe(TICK);
        }
        if routes.has_changed().unwrap_or(false)
            && let Some(table) = routes.borrow_and_update().clone()
        {
            let params = ctx.limits.bucket_params(&table);
            ctx.metrics.set("limited_workspaces", params.len());
            lock(&ctx.limits.limiter).set_limits(params, Instant::now());
        }
        for (to, message) in tick(&ctx) {
            send(&ctx, to, message);
        }
        request_allowance(&ctx);
        report_held_shares(&ctx, &mut was_holding);
    }
}

/// Requests from the store the allowance of a holder slot that this host has just acquired.
fn request_allowance(ctx: &Arc<Context>) {
    let Some(slot) = lock(&ctx.limits.limiter).next_allowance_request() else {
        return;
    };
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let started = Instant::now();
        let granted = allowance::request(&ctx.store, slot, ctx.limits.bounds.window).await;
        let outcome = match granted {
            Ok(Some(_)) => "allowance taken",
            Ok(None) => "allowance taken before",
            // Buckets start empty, which is safe; the store's wrapper has logged the failure.
            Err(_) => "allowance not known",
        };
        let mut limiter = lock(&ctx.limits.limiter);
        match granted {
            Ok(Some(requested_at)) => limiter.grant_allowance(slot, requested_at, Instant::now()),
            Ok(None) | Err(_) => limiter.deny_allowance(slot),
        }
        drop(limiter);
        ctx.metrics.count(Counted::Limits, outcome);
        slog::info!(ctx.logger, "limit slot acquired"; "slot" => slot, "outcome" => outcome,
            "took_ms" => millis(started.elapsed()));
    });
}

/// Releases all shares that other hosts have leased to this one.
pub(crate) fn release_leases(ctx: &Context) {
    lock(&ctx.limits.limiter).release_leases(Instant::now());
}

/// Updates which host should hold which limits; returns the messages to send.
fn tick(ctx: &Context) -> Vec<(HostKey, Message)> {
    // Without limits there is nothing to hold.
    if !lock(&ctx.limits.limiter).has_limits() {
        return Vec::new();
    }
    let peers = ctx.peers.quota_peers();
    let keys = |matches: fn(&QuotaPeer) -> bool| -> Vec<HostKey> {
        let chosen = peers.iter().filter(|peer| matches(peer));
        chosen.map(|peer| peer.key).collect()
    };
    let addrs = peers.iter().map(|peer| (peer.key, peer.addr));
    *lock(&ctx.limits.addrs) = addrs.collect();
    let candidates = keys(|peer| peer.is_holder_candidate);
    let fleet = Fleet {
        holder_candidates: &candidates,
        members: &keys(|_| true),
        expired: &keys(|peer| peer.is_silent),
        is_complete: ctx.peers.is_fleet_known(),
    };
    let is_staying = ctx.phase() < Phase::Leaving || candidates.is_empty();
    let mut limiter = lock(&ctx.limits.limiter);
    limiter.tick(&fleet, is_staying, Instant::now())
}

/// Sets the metric of held shares, and logs when this host starts or stops holding any.
fn report_held_shares(ctx: &Context, was_holding: &mut bool) {
    let shares = lock(&ctx.limits.limiter).held_shares();
    let held: f64 = shares.iter().sum();
    ctx.metrics
        .set("limits_held_percent", (held * 100.0).round() as usize);
    let holds_any = held > 0.0;
    if std::mem::replace(was_holding, holds_any) != holds_any {
        slog::info!(ctx.logger, "held limit shares changed"; "shares" => format!("{shares:?}"));
    }
}
