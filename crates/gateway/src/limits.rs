//! Limits of workspaces: asks the hosts that hold them, see [`notchwharf_quota`].
//!
//! A question is one datagram there and one back. Datagrams get lost and hosts stand
//! still, so a question without an answer goes to the other holder, and by turns until
//! time is up; then the request is refused as not run, since letting it go unasked would
//! break the limit just when the fleet is cut to pieces.

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

/// Time between two looks at who should hold what.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks when a host has just started: until parts are lent, requests
/// of limited workspaces wait.
const TICK_STARTING: Duration = Duration::from_millis(20);
/// Time after its start for which a host looks so often.
const STARTING: Duration = Duration::from_secs(2);
/// Time after which a question goes to the other holder: ten times the way to another
/// data centre and back, a tenth of usual objectives.
const AGAIN: Duration = Duration::from_millis(20);
/// Time after which a question is given up: every holder was asked three times.
const GIVE_UP: Duration = Duration::from_millis(150);
/// Part of a route's objective for which a request may wait for room: the rest is for
/// its first event.
const PATIENCE_PART: u32 = 2;
/// Time over which those are spread who are told to come back since nobody could tell:
/// holders that have just begun let in what flows in, and callers come back once.
const UNKNOWN_SPREAD_MS: u64 = 500;
/// Least time to come back: sooner costs a connection for a place in the same queue.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// What this host knows of limits.
pub(crate) struct Limits {
    node: Mutex<Limiter>,
    waiting: Mutex<HashMap<u32, oneshot::Sender<Decision>>>,
    addrs: Mutex<HashMap<HostKey, SocketAddr>>,
    bounds: Bounds,
    own: HostKey,
}

impl Limits {
    pub(crate) fn new(settings: &Settings) -> Self {
        let own = host_key(&settings.host.name);
        let limits = &settings.access.limits;
        Self {
            node: Mutex::new(Limiter::new(own, rand::random(), Instant::now())),
            waiting: Mutex::default(),
            addrs: Mutex::default(),
            bounds: Bounds {
                window: Duration::from_secs(limits.window_s),
                excess: limits.excess,
                slack: limits.slack as f64,
            },
            own,
        }
    }

    fn terms(&self, table: &Table) -> HashMap<WorkspaceKey, BucketParams> {
        let workspaces = table.workspaces().into_iter().flat_map(|all| all.iter());
        let limited = workspaces.filter_map(|workspace| {
            let terms = BucketParams::new(workspace.limit?, self.bounds);
            Some((workspace_key(&workspace.name), terms))
        });
        limited.collect()
    }
}

/// What a request took of its workspace's limit. Dropped before it may have run, it is
/// given back.
pub(crate) struct Permit {
    ctx: Arc<Context>,
    number: u32,
    pub(crate) is_used: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ctx = &self.ctx;
        let mut node = lock(&ctx.limits.node);
        if self.is_used {
            return node.confirm(self.number);
        }
        let told = node.refund(self.number, Instant::now());
        drop(node);
        ctx.metrics.count(Counted::Limits, "given back");
        if let Some((to, message)) = told {
            send(ctx, to, message);
        }
    }
}

/// Lets a request of a workspace go, or refuses it.
///
/// # Errors
///
/// Returns that the limit is reached, or that nobody could tell.
pub(crate) async fn admit(
    ctx: &Arc<Context>,
    workspace: &WorkspacePolicy,
    objective: Duration,
    deadline: Instant,
) -> Result<Option<Permit>, Failure> {
    if workspace.limit.is_none() {
        return Ok(None);
    }
    let begun = Instant::now();
    let left = deadline.saturating_duration_since(begun);
    let patience = objective.min(left) / PATIENCE_PART;
    let (number, taken) = ask(ctx, workspace, patience, begun).await;
    match taken {
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
                retry_after: retry_after.max(RETRY_MIN),
            })
        }
        Decision::Unknown => {
            ctx.metrics.count(Counted::Limits, "nobody could tell");
            let retry_after = lock(&ctx.limits.node).retry_after(Instant::now());
            let drawn = rand::rng().random_range(0..UNKNOWN_SPREAD_MS);
            Err(Failure::NotRun {
                retry_after: retry_after + Duration::from_millis(drawn),
                reason: "nobody could tell the workspace's limit",
            })
        }
    }
}

/// Asks whether a request may go. At a host that has just started nobody may hold the
/// limit yet; it asks on for as long as the request can wait.
async fn ask(
    ctx: &Context,
    workspace: &WorkspacePolicy,
    patience: Duration,
    begun: Instant,
) -> (u32, Decision) {
    let key = workspace_key(&workspace.name);
    loop {
        let asked = lock(&ctx.limits.node).query(key, patience, Instant::now());
        let (number, taken) = answer(ctx, asked).await;
        if taken != Decision::Unknown {
            ctx.startup.mark_ready(Dependency::Limits, "holder");
        }
        let is_late = begun.elapsed() + AGAIN > patience;
        let is_settled = ctx.startup.uptime() >= STARTING;
        if taken != Decision::Unknown || is_late || is_settled {
            return (number, taken);
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Sees a question through to its answer.
async fn answer(ctx: &Context, asked: Query) -> (u32, Decision) {
    let (number, to, message) = match asked {
        Query::Decided {
            number,
            decision: taken,
        } => return (number, taken),
        Query::Sent {
            number,
            to,
            message,
        } => (number, to, message),
    };
    let (answer, mut answered) = oneshot::channel();
    lock(&ctx.limits.waiting).insert(number, answer);
    let _forgotten = Forget { ctx, number };
    send(ctx, to, message);
    let give_up = Instant::now() + GIVE_UP;
    loop {
        if let Ok(answer) = tokio::time::timeout(AGAIN, &mut answered).await {
            return (number, answer.unwrap_or(Decision::Unknown));
        }
        let now = Instant::now();
        if now >= give_up {
            return (number, Decision::Unknown);
        }
        ctx.metrics.count(Counted::Limits, "asked again");
        let again = lock(&ctx.limits.node).retry_query(number, now);
        match again {
            Some(Query::Sent { to, message, .. }) => send(ctx, to, message),
            Some(Query::Decided {
                decision: taken, ..
            }) => return (number, taken),
            // Its answer has come in between.
            None => {}
        }
    }
}

/// Forgets a question whose answer nobody waits for any more.
struct Forget<'a> {
    ctx: &'a Context,
    number: u32,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        lock(&self.ctx.limits.waiting).remove(&self.number);
        lock(&self.ctx.limits.node).cancel_query(self.number);
    }
}

fn send(ctx: &Context, to: HostKey, message: Message) {
    let addr = lock(&ctx.limits.addrs).get(&to).copied();
    if let Some(addr) = addr {
        send_to(ctx, addr, message);
    }
}

fn send_to(ctx: &Context, addr: SocketAddr, message: Message) {
    let host = ctx.limits.own;
    let word = messages::QuotaMessage { host, message };
    ctx.peers.send_to(addr, &PeerMessage::Limits(word));
    ctx.metrics.count(Counted::Datagrams, "limits");
}

/// Takes in a word about limits.
pub(crate) fn handle_message(ctx: &Context, addr: SocketAddr, told: &messages::QuotaMessage) {
    let now = Instant::now();
    let reaction = lock(&ctx.limits.node).receive(told.host, &told.message, now);
    match reaction {
        Action::None => {}
        Action::Reply(message) => send_to(ctx, addr, message),
        Action::Query(Query::Sent { to, message, .. }) => send(ctx, to, message),
        Action::Query(Query::Decided {
            number,
            decision: taken,
        }) => {
            let waiting = lock(&ctx.limits.waiting).remove(&number);
            let is_taken = waiting.is_some_and(|waiting| waiting.send(taken).is_ok());
            // Its caller has gone, or it was given up.
            if !is_taken && matches!(taken, Decision::Admitted { .. }) {
                let told = lock(&ctx.limits.node).refund(number, now);
                if let Some((to, message)) = told {
                    send(ctx, to, message);
                }
            }
        }
    }
}

/// Keeps limits in force and their holders found, until the host stops.
pub(crate) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(TICK_STARTING);
    let mut routes = ctx.routes.subscribe();
    let mut is_holding = false;
    let mut is_starting = true;
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        if is_starting && ctx.startup.uptime() >= STARTING {
            is_starting = false;
            ticks = ctx.timer.subscribe(TICK);
        }
        if routes.has_changed().unwrap_or(false)
            && let Some(table) = routes.borrow_and_update().clone()
        {
            let terms = ctx.limits.terms(&table);
            ctx.metrics.set("limited_workspaces", terms.len());
            lock(&ctx.limits.node).set_limits(terms, Instant::now());
        }
        for (to, message) in tick(&ctx) {
            send(&ctx, to, message);
        }
        ask_allowance(&ctx);
        note_holding(&ctx, &mut is_holding);
    }
}

/// Asks the store for the allowance of a slot that this host has begun to hold.
fn ask_allowance(ctx: &Arc<Context>) {
    let Some(slot) = lock(&ctx.limits.node).next_allowance_request() else {
        return;
    };
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let begun = Instant::now();
        let asked = allowance::ask(&ctx.store, slot, ctx.limits.bounds.window).await;
        let outcome = match asked {
            Ok(Some(_)) => "allowance taken",
            Ok(None) => "allowance taken before",
            // Buckets begin empty, which is safe; the store's wrapper has logged why.
            Err(_) => "allowance not known",
        };
        let mut node = lock(&ctx.limits.node);
        match asked {
            Ok(Some(asked)) => node.grant_allowance(slot, asked, Instant::now()),
            Ok(None) | Err(_) => node.deny_allowance(slot),
        }
        drop(node);
        ctx.metrics.count(Counted::Limits, outcome);
        slog::info!(ctx.logger, "limits held anew"; "slot" => slot, "outcome" => outcome,
            "took_ms" => millis(begun.elapsed()));
    });
}

/// Lets all parts go that other hosts have lent to this one.
pub(crate) fn release_leases(ctx: &Context) {
    lock(&ctx.limits.node).release_leases(Instant::now());
}

/// Looks who should hold what; returns what is to be sent.
fn tick(ctx: &Context) -> Vec<(HostKey, Message)> {
    // Without limits nobody needs to hold them.
    if !lock(&ctx.limits.node).has_limits() {
        return Vec::new();
    }
    let peers = ctx.peers.quota_peers();
    let keys = |is: fn(&QuotaPeer) -> bool| -> Vec<HostKey> {
        let chosen = peers.iter().filter(|peer| is(peer));
        chosen.map(|peer| peer.key).collect()
    };
    let addrs = peers.iter().map(|peer| (peer.key, peer.addr));
    *lock(&ctx.limits.addrs) = addrs.collect();
    let alive = keys(|peer| peer.could_hold);
    let fleet = Fleet {
        holder_candidates: &alive,
        members: &keys(|_| true),
        expired: &keys(|peer| peer.is_silent),
        is_complete: ctx.peers.is_fleet_known(),
    };
    let is_staying = ctx.phase() < Phase::Leaving || alive.is_empty();
    let mut node = lock(&ctx.limits.node);
    node.tick(&fleet, is_staying, Instant::now())
}

fn note_holding(ctx: &Context, is_holding: &mut bool) {
    let shares = lock(&ctx.limits.node).held_shares();
    let held: f64 = shares.iter().sum();
    ctx.metrics
        .set("limits_held_percent", (held * 100.0).round() as usize);
    let holds_any = held > 0.0;
    if std::mem::replace(is_holding, holds_any) != holds_any {
        slog::info!(ctx.logger, "limits held"; "shares" => format!("{shares:?}"));
    }
}
