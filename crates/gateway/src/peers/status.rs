//! Datagrams between hosts: sending this host's status and handling those of others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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
use super::origins;
use super::recipients::status_recipients;
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

/// Time for which a peer may have newer routes or targets before they are requested from it.
/// Exceeds the interval between two reads, 300 ms, so that hosts whose next read is due do not send
/// redundant requests.
const AHEAD_GRACE: Duration = Duration::from_millis(500);

/// Maximum size of a UDP datagram in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_536;

fn own_status(ctx: &Context, number: u64) -> Status {
    let versions = ctx.catalog.versions();
    let (loads, failing) = {
        let balancer = lock(&ctx.balancer);
        let loads = balancer.own_loads().map(|(target, load)| messages::Load {
            target,
            online: load.online,
            batch: load.batch,
        });
        (loads.collect(), balancer.failing(Instant::now()))
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

/// Sends this host's status to peers, when it changes and at each heartbeat. `number` numbers the
/// statuses of this process; peers ignore one that is not newer, also if the task is started again.
pub(super) async fn run_sender(ctx: Arc<Context>, number: Arc<AtomicU64>) {
    let settings = &ctx.settings.peers;
    let interval = ms(settings.news_ms);
    let mut schedule = Schedule::new(ms(settings.beat_ms), Instant::now());
    if let Some(socket) = ctx.peers.socket.get() {
        // The runtime reports a new socket as writable only after a first poll; sends before that
        // fail, and a peer that misses the first status receives the next one a second later. An
        // error recurs when sending.
        let _ = socket.writable().await;
    }
    while ctx.phase() != Phase::Stopped {
        let wait = schedule.wait(Instant::now());
        let notified = tokio::time::timeout(wait, ctx.peers.changed.notified()).await;
        let due = schedule.due(notified.is_ok(), Instant::now());
        let number = number.fetch_add(1, Ordering::Relaxed) + 1;
        let Some(socket) = ctx.peers.socket.get() else {
            return;
        };
        let pace = cpu_time::measure(&ctx.metrics, Activity::SendUpdates, || {
            send_status(&ctx, number, due, socket)
        });
        if let Some(pace) = pace {
            schedule.set_pace(pace);
        }
        tokio::time::sleep(interval).await;
    }
}

/// Sends this host's status to peers; returns the pace of sending to remote hosts, if that was due.
fn send_status(ctx: &Context, number: u64, due: Due, socket: &UdpSocket) -> Option<Pace> {
    let mut recipients = status_recipients(ctx, due);
    recipients.addrs.extend(changed_remote_recipients(ctx, due));
    if !recipients.addrs.is_empty() {
        let contention = ctx.request_queue.summary(Instant::now());
        let bytes = messages::encode_with_contention(own_status(ctx, number), contention.as_ref());
        for addr in recipients.addrs {
            // If this is lost, the next one replaces it.
            let _ = socket.try_send_to(&bytes, addr);
            ctx.metrics.count(Counted::Datagrams, "sent");
        }
    }
    recipients.pace
}

/// Returns the hosts of remote data centres at whose targets this host's load has changed since the
/// last status sent to them. Where requests wait in a queue, hosts are notified of requests from other
/// data centres in time only by this: a relayed status arrives too late.
fn changed_remote_recipients(ctx: &Context, due: Due) -> Vec<SocketAddr> {
    if !due.local || !ctx.request_queue.has_been_used() {
        return Vec::new();
    }
    let now = lock(&ctx.balancer).own_remote_loads(&ctx.settings.host.data_centre);
    let mut last_sent = lock(&ctx.peers.last_sent_remote);
    let all = now.keys().chain(last_sent.keys());
    let changed: BTreeSet<&DataCentreId> = all
        .filter(|data_centre| now.get(*data_centre) != last_sent.get(*data_centre))
        .collect();
    let addrs = ctx.peers.alive_in(&changed);
    *last_sent = now;
    addrs
}

/// Handles datagrams until the host stops.
pub(super) async fn run_receiver(ctx: Arc<Context>) {
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    let mut buf = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = ctx.stopped() => return,
        };
        // The error belongs to an earlier datagram whose recipient was not reachable.
        let Ok((len, addr)) = received else {
            continue;
        };
        ctx.metrics.count(Counted::Datagrams, "received");
        cpu_time::measure(&ctx.metrics, Activity::ReceiveUpdates, || {
            handle_datagram(&ctx, addr, &buf[..len]);
        });
    }
}

/// Decodes a datagram and applies it.
fn handle_datagram(ctx: &Arc<Context>, addr: SocketAddr, bytes: &[u8]) {
    let Some((message, contention)) = messages::decode_with_contention(bytes) else {
        return ctx.metrics.count(Counted::Datagrams, "unreadable");
    };
    match message {
        PeerMessage::Status(status) => apply_status(ctx, Some(addr), status, contention),
        PeerMessage::PassedOn(statuses) => {
            for status in statuses {
                apply_status(ctx, None, status, None);
            }
        }
        PeerMessage::Preemption(preemption) => preempt_item(ctx, preemption),
        PeerMessage::Cell(status) => cell::apply_status(ctx, addr, status),
        PeerMessage::Suspects(reports) => suspects::apply_reports(ctx, &reports),
        PeerMessage::SlotTransfer(transfer) => ctx.request_queue.accept_transfer(transfer.target),
        PeerMessage::Limits(message) => limits::handle_message(ctx, addr, &message),
        PeerMessage::Announcement(message) => ctx.distributor.receive(addr, message),
        PeerMessage::TargetsChecksum(message) => ctx.distributor.check(message),
        PeerMessage::SuspectParts(reports) => suspects::apply_part_reports(ctx, &reports),
        PeerMessage::StreamOrigins(copies) => origins::apply(ctx, copies),
    }
}

fn preempt_item(ctx: &Arc<Context>, preemption: Preemption) {
    let target = lock(&ctx.balancer).id_of(preemption.target).cloned();
    if let Some(target) = target {
        ctx.items.preempt_one(&target);
    }
}

/// Applies a host's status, received from the host itself or relayed by another.
fn apply_status(
    ctx: &Arc<Context>,
    addr: Option<SocketAddr>,
    status: Status,
    contention: Option<messages::Contention>,
) {
    let host = status.host.clone();
    // A host of another cell may send to this one while it uses another division.
    if host == ctx.host() || !is_own_cell_host(ctx, &host) {
        return;
    }
    let versions = Versions {
        config: status.config,
        targets: status.targets,
    };
    let incarnation = status.incarnation;
    let jobs = status.jobs;
    let loads: Vec<(TargetKey, Load)> = status.loads.iter().map(load).collect();
    let waiting: Vec<QueuedItems> = status.waiting.iter().map(waiting).collect();
    let failing = status.failing.clone();
    let Some(update) = record_status(ctx, addr, status, ctx.catalog.is_behind(versions)) else {
        return;
    };
    if addr.is_some() && !update.is_local {
        ctx.peers.relay.enqueue(&host);
    }
    // A target may fail for the callers of one data centre only.
    let failing = if update.is_local { failing } else { vec![] };
    let has_queue_changed = ctx.items.update_peer_queue(&host, waiting);
    let has_load_changed =
        lock(&ctx.balancer).set_peer_loads(&host, loads, failing, Instant::now());
    ctx.journal.record_peer_end(jobs);
    if has_queue_changed || has_load_changed {
        ctx.items.wake();
    }
    if addr.is_some() {
        apply_contention(ctx, &host, &update, contention);
    }
    if has_load_changed {
        ctx.request_queue.wake();
    }
    if update.is_new {
        slog::info!(ctx.logger, "host up"; "peer" => host.as_str(),
            "incarnation" => incarnation, "addr" => update.addr.to_string(),
            "passed_on" => addr.is_none());
        ctx.metrics.count(Counted::Changes, "host up");
        ctx.peers.notify();
        suspects::send_to_new_host(ctx, update.addr);
        origins::send_to_new_host(ctx, &host, update.addr);
    }
    if update.is_request_due {
        ctx.distributor.record_newer_versions(update.addr, versions);
    }
}

/// Applies the state of a host's wait queue. Remote hosts send it too rarely for ordering requests
/// among hosts, so only its presence counts.
fn apply_contention(
    ctx: &Context,
    host: &str,
    update: &StatusUpdate,
    contention: Option<messages::Contention>,
) {
    let now = Instant::now();
    if update.is_local {
        return ctx.request_queue.update_peer(host, contention, now);
    }
    let has_waiting = contention.is_some_and(|reported| !reported.waiting.is_empty());
    if let (true, Some(data_centre)) = (has_waiting, &update.data_centre) {
        ctx.request_queue.record_remote_queue(data_centre, now);
    }
}

/// Returns whether a host is in this one's cell, according to the host list.
fn is_own_cell_host(ctx: &Context, host: &str) -> bool {
    let cells = ctx.peers.cell_state.cells();
    if !cells.is_divided() {
        return true;
    }
    let known = lock(&ctx.peers.known);
    let peer = known.get(host);
    peer.is_some_and(|peer| cell::is_in_own_cell(ctx, cells, host, peer))
}

pub(super) fn load(reported: &messages::Load) -> (TargetKey, Load) {
    let load = Load {
        online: reported.online,
        batch: reported.batch,
    };
    (reported.target, load)
}

fn waiting(reported: &messages::WaitingItems) -> QueuedItems {
    QueuedItems {
        due_unix_ms: reported.due_unix_ms,
        items: reported.items,
    }
}

/// The state of a peer after its status was recorded.
struct StatusUpdate {
    /// The address of the host.
    addr: SocketAddr,
    /// Whether the host was not alive before, or has restarted since.
    is_new: bool,
    /// Whether it is in this host's data centre.
    is_local: bool,
    /// Its data centre, if known.
    data_centre: Option<DataCentreId>,
    /// Whether it has been ahead of this host for long enough to request changes from it.
    is_request_due: bool,
}

/// Records a status. Returns `None` if a newer one was received before, or if a relayed status is
/// of a host whose address is unknown.
fn record_status(
    ctx: &Context,
    addr: Option<SocketAddr>,
    status: Status,
    is_ahead: bool,
) -> Option<StatusUpdate> {
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
    // A host whose clock was set back restarts with a lower incarnation than before.
    let is_other_incarnation = status.incarnation != peer.status.incarnation;
    let has_restarted = is_other_incarnation && !peer.is_alive;
    if !is_newer && !has_restarted {
        return None;
    }
    peer.addr = addr.unwrap_or(peer.addr);
    peer.last_received = Some(now);
    if status.leaving && !peer.status.leaving {
        *lock(&ctx.peers.peer_lost_at) = Some(now);
    }
    peer.store_unavailable_since = match status.store_up {
        true => None,
        false => Some(peer.store_unavailable_since.unwrap_or(now)),
    };
    let ahead_since = if is_ahead {
        Some(peer.ahead_since.unwrap_or(now))
    } else {
        None
    };
    peer.ahead_since = ahead_since;
    peer.status = status;
    let is_overdue = ahead_since.is_some_and(|since| now.duration_since(since) >= AHEAD_GRACE);
    Some(StatusUpdate {
        // A host that restarts before its failure is detected has lost its state as well.
        is_new: !std::mem::replace(&mut peer.is_alive, true) || is_other_incarnation,
        addr: peer.addr,
        is_local: relay::is_local(ctx, peer),
        data_centre: peer.data_centre.clone(),
        is_request_due: is_ahead && (is_overdue || !ctx.store.is_up()),
    })
}
