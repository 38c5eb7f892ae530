//! What hosts tell one another by datagram.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::DataCentreId;
use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Preemption;
use notchwharf_proto::messages::Status;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::TargetKey;
use notchwharf_routing::dissemination::Due;
use notchwharf_routing::dissemination::Pace;
use notchwharf_routing::dissemination::Schedule;
use notchwharf_routing::items::peer_queues::QueuedItems;
use tokio::net::UdpSocket;

use super::Peer;
use super::cell;
use super::receivers::receivers;
use super::relay;
use super::suspects;
use crate::catalog::Versions;
use crate::context::Context;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::limits;
use crate::metrics::Counted;
use crate::sync::lock;
use crate::time::ms;

/// Time for which a peer may know newer routes or targets before they are requested from
/// it. Exceeds the pause between two readings, 300 ms, so that hosts whose next reading is
/// due do not send redundant requests.
const AHEAD_MAX: Duration = Duration::from_millis(500);

/// Bytes of a datagram at most: what UDP carries.
const DATAGRAM_BYTES_MAX: usize = 65_536;

fn own_status(ctx: &Context, number: u64) -> Status {
    let versions = ctx.catalog.versions();
    let (loads, failing) = {
        let places = lock(&ctx.balancer);
        let loads = places.own_loads().map(|(target, load)| messages::Load {
            target,
            online: load.online,
            batch: load.batch,
        });
        (loads.collect(), places.failing(Instant::now()))
    };
    let waiting = ctx
        .items
        .queue_summary()
        .into_iter()
        .map(|w| messages::WaitingItems {
            due_unix_ms: w.due_unix_ms,
            items: w.items,
        });
    Status {
        host: ctx.host().to_owned(),
        incarnation: ctx.incarnation,
        number,
        leaving: ctx.items.has_released_jobs(),
        store_up: ctx.store.is_up() && ctx.journal.is_loaded(),
        config: versions.config,
        targets: versions.targets,
        jobs: ctx.journal.jobs().end(),
        loads,
        waiting: waiting.collect(),
        failing,
    }
}

/// Tells peers what this host runs, when that changes and in each beat.
pub(super) async fn send(ctx: Arc<Context>) {
    let settings = &ctx.settings.peers;
    let gap = ms(settings.news_ms);
    let mut schedule = Schedule::new(ms(settings.beat_ms), Instant::now());
    let mut number = 0;
    if let Some(socket) = ctx.peers.socket.get() {
        // Before the runtime has looked at it, a socket takes nothing, and a peer that
        // missed the first word is told again only after a second. An error shows again
        // when something is sent.
        let _ = socket.writable().await;
    }
    while ctx.phase() != Phase::Stopped {
        let wait = schedule.wait(Instant::now());
        let news = tokio::time::timeout(wait, ctx.peers.dirty.notified()).await;
        let due = schedule.due(news.is_ok(), Instant::now());
        number += 1;
        let Some(socket) = ctx.peers.socket.get() else {
            return;
        };
        let pace = cpu_time::measure(&ctx.metrics, Activity::SendUpdates, || {
            tell(&ctx, number, due, socket)
        });
        if let Some(pace) = pace {
            schedule.set_pace(pace);
        }
        tokio::time::sleep(gap).await;
    }
}

/// Tells peers how this host is; returns how those far away were told, if they
/// were.
fn tell(ctx: &Context, number: u64, due: Due, socket: &UdpSocket) -> Option<Pace> {
    let mut receivers = receivers(ctx, due);
    receivers.addrs.extend(changed_elsewhere(ctx, due));
    if !receivers.addrs.is_empty() {
        let contention = ctx.waiting.summary(Instant::now());
        let bytes = messages::encode_with_contention(own_status(ctx, number), contention.as_ref());
        for addr in receivers.addrs {
            // Lost, the next one makes up for it.
            let _ = socket.try_send_to(&bytes, addr);
            ctx.metrics.count(Counted::Datagrams, "sent");
        }
    }
    receivers.pace
}

/// Returns the hosts of data centres at whose targets this host now runs something else
/// than it last told them. Those whose places are shared by an order know of no others'
/// requests there but by this: passed on, the news comes too late.
fn changed_elsewhere(ctx: &Context, due: Due) -> Vec<SocketAddr> {
    if !due.local || !ctx.waiting.has_been_used() {
        return Vec::new();
    }
    let now = lock(&ctx.balancer).own_remote_loads(&ctx.settings.host.data_centre);
    let mut told = lock(&ctx.peers.told_elsewhere);
    let all = now.keys().chain(told.keys());
    let changed: BTreeSet<&DataCentreId> = all
        .filter(|data_centre| now.get(*data_centre) != told.get(*data_centre))
        .collect();
    let addrs = ctx.peers.alive_in(&changed);
    *told = now;
    addrs
}

pub(super) async fn receive(ctx: Arc<Context>) {
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    let mut buf = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = ctx.stopped() => return,
        };
        // An error tells of an earlier datagram that found no receiver.
        let Ok((len, addr)) = received else {
            continue;
        };
        ctx.metrics.count(Counted::Datagrams, "received");
        cpu_time::measure(&ctx.metrics, Activity::ReceiveUpdates, || {
            take(&ctx, addr, &buf[..len]);
        });
    }
}

/// Takes in a datagram.
fn take(ctx: &Arc<Context>, addr: SocketAddr, bytes: &[u8]) {
    let Some((news, contention)) = messages::decode_with_contention(bytes) else {
        return ctx.metrics.count(Counted::Datagrams, "unreadable");
    };
    match news {
        PeerMessage::Status(status) => take_status(ctx, Some(addr), status, contention),
        PeerMessage::PassedOn(news) => {
            for status in news {
                take_status(ctx, None, status, None);
            }
        }
        PeerMessage::Preemption(cut) => take_cut(ctx, cut),
        PeerMessage::Cell(told) => cell::take(ctx, addr, told),
        PeerMessage::Suspects(told) => suspects::take(ctx, &told),
        PeerMessage::SlotTransfer(hand) => ctx.waiting.accept_transfer(hand.target),
        PeerMessage::Limits(told) => limits::handle_message(ctx, addr, &told),
        PeerMessage::Announcement(message) => ctx.distributor.receive(addr, message),
    }
}

fn take_cut(ctx: &Arc<Context>, cut: Preemption) {
    let target = lock(&ctx.balancer).id_of(cut.target).cloned();
    if let Some(target) = target {
        ctx.items.preempt_one(&target);
    }
}

/// Takes in how a host is, from its own address or passed on by another.
fn take_status(
    ctx: &Arc<Context>,
    addr: Option<SocketAddr>,
    status: Status,
    contention: Option<messages::Contention>,
) {
    let host = status.host.clone();
    // One of another cell divides the fleet differently for a moment.
    if host == ctx.host() || !is_of_cell(ctx, &host) {
        return;
    }
    let theirs = Versions {
        config: status.config,
        targets: status.targets,
    };
    let incarnation = status.incarnation;
    let jobs = status.jobs;
    let loads: Vec<(TargetKey, Load)> = status.loads.iter().map(load).collect();
    let waiting: Vec<QueuedItems> = status.waiting.iter().map(waiting).collect();
    let failing = status.failing.clone();
    let Some(heard) = note_status(ctx, addr, status, ctx.catalog.is_behind(theirs)) else {
        return;
    };
    if addr.is_some() && !heard.is_near {
        ctx.peers.relay.put(&host);
    }
    // A target may fail callers of one data centre only.
    let failing = if heard.is_near { failing } else { vec![] };
    let waits = ctx.items.update_peer_queue(&host, waiting);
    let runs = lock(&ctx.balancer).set_peer_loads(&host, loads, failing, Instant::now());
    ctx.journal.record_peer_end(jobs);
    if waits || runs {
        ctx.items.wake();
    }
    if addr.is_some() {
        take_contention(ctx, &host, &heard, contention);
    }
    if runs {
        ctx.waiting.wake();
    }
    if heard.is_new {
        slog::info!(ctx.logger, "host up"; "peer" => host.as_str(),
            "incarnation" => incarnation, "addr" => heard.addr.to_string(),
            "passed_on" => addr.is_none());
        ctx.metrics.count(Counted::Changes, "host up");
        ctx.peers.notify();
        suspects::tell_newcomer(ctx, heard.addr);
    }
    if heard.is_pull_due {
        ctx.distributor.note_ahead(heard.addr, theirs);
    }
}

/// Takes in what waits at a host. Those elsewhere tell too seldom for an order of requests.
fn take_contention(
    ctx: &Context,
    host: &str,
    heard: &Heard,
    contention: Option<messages::Contention>,
) {
    let now = Instant::now();
    if heard.is_near {
        return ctx.waiting.update_peer(host, contention, now);
    }
    let is_short = contention.is_some_and(|told| !told.waiting.is_empty());
    if let (true, Some(data_centre)) = (is_short, &heard.data_centre) {
        ctx.waiting.record_remote_queue(data_centre, now);
    }
}

/// Returns whether a host is of this one's cell, as far as the list tells.
fn is_of_cell(ctx: &Context, host: &str) -> bool {
    let cells = ctx.peers.neighbours.cells();
    if !cells.is_divided() {
        return true;
    }
    let known = lock(&ctx.peers.known);
    let peer = known.get(host);
    peer.is_some_and(|peer| cell::is_together(ctx, cells, host, peer))
}

pub(super) fn load(told: &messages::Load) -> (TargetKey, Load) {
    let load = Load {
        online: told.online,
        batch: told.batch,
    };
    (told.target, load)
}

fn waiting(told: &messages::WaitingItems) -> QueuedItems {
    QueuedItems {
        due_unix_ms: told.due_unix_ms,
        items: told.items,
    }
}

/// What a status says of its sender.
struct Heard {
    /// Where the host is.
    addr: SocketAddr,
    /// Whether the host was not alive before, or has started again since.
    is_new: bool,
    /// Whether it stands in this host's data centre.
    is_near: bool,
    /// Where it stands, if that is known.
    data_centre: Option<DataCentreId>,
    /// Whether it has been ahead of this host for long enough to be asked.
    is_pull_due: bool,
}

/// Notes a status; returns nothing if a newer one came before, or if it was
/// passed on and nobody knows yet where its host is.
fn note_status(
    ctx: &Context,
    addr: Option<SocketAddr>,
    status: Status,
    is_ahead: bool,
) -> Option<Heard> {
    let now = Instant::now();
    let mut known = lock(&ctx.peers.known);
    let peer = match addr {
        Some(addr) => known
            .entry(status.host.clone())
            .or_insert_with(|| Peer::new(addr)),
        None => known.get_mut(&status.host)?,
    };
    let order = (status.incarnation, status.number);
    let is_newer = order > (peer.status.incarnation, peer.status.number);
    // A host whose clock was set back starts with a lower number than before.
    let is_other_start = status.incarnation != peer.status.incarnation;
    let is_restarted = is_other_start && !peer.is_alive;
    if !is_newer && !is_restarted {
        return None;
    }
    peer.addr = addr.unwrap_or(peer.addr);
    peer.heard = Some(now);
    if status.leaving && !peer.status.leaving {
        *lock(&ctx.peers.lost_at) = Some(now);
    }
    peer.storeless_since = match status.store_up {
        true => None,
        false => Some(peer.storeless_since.unwrap_or(now)),
    };
    let ahead_since = if is_ahead {
        Some(peer.ahead_since.unwrap_or(now))
    } else {
        None
    };
    peer.ahead_since = ahead_since;
    peer.status = status;
    let is_long = ahead_since.is_some_and(|since| now.duration_since(since) >= AHEAD_MAX);
    Some(Heard {
        // One that is back before anybody missed it has forgotten all the same.
        is_new: !std::mem::replace(&mut peer.is_alive, true) || is_other_start,
        addr: peer.addr,
        is_near: relay::is_near(ctx, peer),
        data_centre: peer.data_centre.clone(),
        is_pull_due: is_ahead && (is_long || !ctx.store.is_up()),
    })
}
