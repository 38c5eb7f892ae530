//! The host list in the store: this host's entry and those of others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_listen::Phase;
use notchwharf_proto::records::Hosts;
use notchwharf_routing::balancer::HostId;
use notchwharf_spread::replica::Delta;
use notchwharf_spread::replica::Record;
use notchwharf_spread::replica::Replica;
use serde::Deserialize;
use serde::Serialize;

use super::Peer;
use super::cell;
use crate::context::Context;
use crate::follower::PollConfig;
use crate::follower::ReadAttempt;
use crate::metrics::Counted;
use crate::ports::Entry;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::sync::lock;
use crate::time::Backoff;

/// How the list is read. It changes rarely, and a host known to any other soon becomes known to all
/// by its own datagrams.
pub(super) const POLL_CONFIG: PollConfig = PollConfig {
    wait: Duration::from_secs(10),
    min_interval: Duration::from_millis(700),
    backoff_max: Duration::from_millis(400),
};

/// Maximum time to wait for the list before writing this host's entry: two timeouts of a slow
/// store.
const REGISTER_WAIT: Duration = Duration::from_millis(1_500);
/// Initial pause between attempts to write this host's entry, doubled after each.
const REGISTER_PAUSE_MIN: Duration = Duration::from_millis(300);
/// Maximum such pause. Other hosts discover this one by its datagrams meanwhile.
const REGISTER_PAUSE_MAX: Duration = Duration::from_millis(2_400);

/// Silence after which a host is marked as silent in the list: four times the failure timeout, and
/// longer than most outages. A host that recovers, or had not failed, writes its entry again.
const MARK_SILENT_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of new hosts that are logged individually.
const LOGGED_HOSTS_MAX: usize = 8;

/// Time after writing a host's own entry within which all hosts that started with it have written
/// theirs and it has received them: the interval between two reads, a call, and forwarding by the
/// reader.
pub(super) const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// Number of retained changes of the list. A peer that is further behind is sent all entries.
const CHANGES_RETAINED: usize = 2_048;

/// The host list as stored, and its recent changes.
pub(super) type HostList = Replica<HostId, Bytes>;

/// Returns an empty list.
pub(super) fn empty() -> HostList {
    Replica::new(CHANGES_RETAINED)
}

/// The address and location of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HostInfo {
    pub(super) addr: SocketAddr,
    pub(super) data_centre: String,
}

/// A host's entry in the store. Entries written by older versions contain only the [`HostInfo`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostEntry {
    #[serde(rename = "listing")]
    info: HostInfo,
    /// Whether other hosts have marked the host as silent.
    is_silent: bool,
}

impl HostEntry {
    fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value).or_else(|_| {
            let info = postcard::from_bytes(value)?;
            Ok(Self {
                info,
                is_silent: false,
            })
        })
    }
}

/// Returns the record of a host's entry.
fn entry(host: &str, info: HostInfo, is_silent: bool) -> Entry {
    let entry = HostEntry { info, is_silent };
    let value = postcard::to_stdvec(&entry).expect("Host entries are representable.");
    Entry {
        key: host.to_owned(),
        value: Some(value.into()),
    }
}

pub(super) fn own_info(ctx: &Context) -> HostInfo {
    HostInfo {
        addr: ctx.settings.host.peer_listen,
        data_centre: ctx.settings.host.data_centre.clone(),
    }
}

/// Writes this host's entry unless the list contains it. After an outage of all hosts the list
/// contains them all, and writing the entries again would delay every reader: the store executes
/// appends one at a time and does not serve reads of the list meanwhile.
pub(super) async fn register(ctx: Arc<Context>) {
    let entry = entry(ctx.host(), own_info(&ctx), false);
    ctx.peers.bootstrap.wait_list_attempt(REGISTER_WAIT).await;
    let mut backoff = Backoff::new(REGISTER_PAUSE_MIN, REGISTER_PAUSE_MAX);
    while ctx.phase() < Phase::Leaving && lock(&ctx.peers.registered_at).is_none() {
        let res = ctx.store.append(Topic::Hosts, 0, vec![entry.clone()]).await;
        if res.is_ok() {
            *lock(&ctx.peers.registered_at) = Some(Instant::now());
            return;
        }
        // Randomized, so that hosts that start together do not retry together.
        backoff.wait().await;
    }
}

/// Checks whether the list contains this host's entry, and writes it again if it was changed or
/// deleted.
fn check_own_entry(
    ctx: &Arc<Context>,
    requested_at: Instant,
    is_listing: bool,
    records: &[Record<HostId, Bytes>],
) {
    let own = records.iter().rev().find(|r| r.key == ctx.host());
    let value = own.and_then(|own| own.value.as_deref());
    let is_listed = value.is_some_and(|value| {
        let entry = HostEntry::decode(value);
        entry.is_ok_and(|own| !own.is_silent && own.info == own_info(ctx))
    });
    let mut registered_at = lock(&ctx.peers.registered_at);
    if is_listed {
        if registered_at.is_none() && is_listing {
            ctx.peers.was_listed.store(true, Ordering::Relaxed);
        }
        registered_at.get_or_insert(requested_at);
        return;
    }
    let is_missing = own.is_some() || is_listing;
    let was_registered = registered_at.is_some_and(|at| at < requested_at);
    if is_missing && was_registered && ctx.phase() < Phase::Leaving {
        slog::info!(
            ctx.logger,
            "own host entry changed by another host; writing it again"
        );
        *registered_at = None;
        tokio::spawn(register(Arc::clone(ctx)));
    }
}

/// Deletes this host's entry. If that fails, others detect the shutdown by the missing heartbeats.
pub(crate) async fn deregister(ctx: &Context) {
    let entry = Entry::tombstone(ctx.host().to_owned());
    if let Err(err) = ctx.store.append(Topic::Hosts, 0, vec![entry]).await {
        slog::warn!(ctx.logger, "own host entry not deleted"; "error" => err.to_string());
    }
}

/// Returns the offset up to which the host list is known.
pub(super) fn end(ctx: &Context) -> u64 {
    lock(&ctx.peers.host_list).end()
}

/// Returns the changes of the list since an offset.
pub(super) fn since(ctx: &Context, from: u64) -> Hosts {
    let delta = lock(&ctx.peers.host_list).since(from);
    let changes = delta.records.into_iter();
    let changes = changes.map(|r| (r.key, r.offset, r.value.map(|value| value.to_vec())));
    Hosts {
        from: delta.from,
        to: delta.to,
        is_complete: delta.is_complete,
        changes: changes.collect(),
    }
}

/// Applies changes of the list received from a peer.
pub(super) fn apply_changes(ctx: &Arc<Context>, received: Hosts) {
    let records = received.changes.into_iter();
    let records = records.map(|(key, offset, value)| Record {
        key,
        offset,
        value: value.map(Bytes::from),
    });
    let delta = Delta {
        from: received.from,
        to: received.to,
        is_complete: received.is_complete,
        records: records.collect(),
    };
    if delta.from > end(ctx) || delta.to <= end(ctx) {
        return;
    }
    let requested_at = Instant::now();
    check_own_entry(ctx, requested_at, false, &delta.records);
    let added = {
        let mut list = lock(&ctx.peers.host_list);
        let applied = list.apply_delta(delta);
        update_known(ctx, applied)
    };
    finish_update(ctx, requested_at, &added);
}

/// Applies the result of a read of the list.
pub(super) fn apply_read(ctx: &Arc<Context>, attempt: ReadAttempt) {
    // The follower retries; `Store` has logged the failure.
    let Ok(fetched) = attempt.result else {
        ctx.peers.bootstrap.mark_list_attempted();
        return;
    };
    let listing_end = fetched.listing_end();
    let records: Vec<_> = fetched.records().into_iter().map(record).collect();
    check_own_entry(ctx, attempt.requested_at, listing_end.is_some(), &records);
    let added = {
        let mut list = lock(&ctx.peers.host_list);
        let applied = match listing_end {
            Some(end) => list.apply_listing(end, records),
            None => list.apply_read(records),
        };
        update_known(ctx, applied)
    };
    finish_update(ctx, attempt.requested_at, &added);
}

fn record(stored: StoredRecord) -> Record<HostId, Bytes> {
    Record {
        key: stored.entry.key,
        offset: stored.offset,
        value: stored.entry.value,
    }
}

/// Updates the known hosts by the records of the list that took effect; returns the new ones. The
/// caller holds the lock on the list, so that the records of two results are applied in order.
fn update_known(ctx: &Context, records: Vec<Record<HostId, Bytes>>) -> Vec<(HostId, SocketAddr)> {
    let mut added = Vec::new();
    for record in records {
        let host = record.key;
        if host == ctx.host() {
            continue;
        }
        let Some(value) = record.value else {
            slog::info!(ctx.logger, "host removed from the list"; "peer" => host.as_str());
            remove_host(ctx, &host);
            continue;
        };
        match HostEntry::decode(&value) {
            Ok(entry) if update_host(ctx, &host, &entry) => added.push((host, entry.info.addr)),
            Ok(_) => {}
            Err(err) => slog::error!(ctx.logger, "invalid host entry";
                "peer" => host, "error" => err.to_string()),
        }
    }
    added
}

/// Logs new hosts and notifies the users of the list.
fn finish_update(ctx: &Context, requested_at: Instant, added: &[(HostId, SocketAddr)]) {
    log_known(ctx, added);
    cell::update_division(ctx);
    ctx.peers.bootstrap.record_list_read(requested_at);
    ctx.peers.notify();
}

/// Logs newly known hosts.
fn log_known(ctx: &Context, added: &[(HostId, SocketAddr)]) {
    if added.len() > LOGGED_HOSTS_MAX {
        slog::info!(ctx.logger, "hosts discovered"; "hosts" => added.len());
        return;
    }
    for (host, addr) in added {
        slog::info!(ctx.logger, "host discovered"; "peer" => host, "addr" => addr.to_string());
    }
}

/// Adds a host received from a peer rather than from the list.
pub(super) fn add_contact(ctx: &Context, host: &str, info: &HostInfo) {
    let entry = HostEntry {
        info: info.clone(),
        is_silent: false,
    };
    update_host(ctx, host, &entry);
}

/// Applies a host's entry; returns whether the host was unknown.
fn update_host(ctx: &Context, host: &str, entry: &HostEntry) -> bool {
    let info = &entry.info;
    let addr = info.addr;
    let mut known = lock(&ctx.peers.known);
    let is_new = !known.contains_key(host);
    let peer = known
        .entry(host.to_owned())
        .or_insert_with(|| Peer::new(addr));
    peer.addr = addr;
    peer.is_marked_silent = entry.is_silent;
    peer.has_left = false;
    peer.data_centre = Some(info.data_centre.clone());
    is_new
}

/// Forgets hosts that have been silent for long and whose entries were deleted. They would be
/// marked as silent otherwise, which writes their entries again.
pub(super) fn forget_left(ctx: &Context) {
    let mut known = lock(&ctx.peers.known);
    known.retain(|_, peer| !peer.has_left || peer.is_alive || peer.silence() < MARK_SILENT_AFTER);
}

/// Marks hosts in the list that have been silent for long, if this host is responsible for it. A
/// starting host queries all listed hosts for their leases on limits, and a query to a failed host
/// would only time out. Marked hosts still count as hosts of the fleet, since a host that is only partitioned
/// keeps its share of each limit.
pub(super) fn mark_silent(ctx: &Arc<Context>) {
    if !ctx.store.is_up() || ctx.phase() != Phase::Ready {
        return;
    }
    for (host, info) in silent_hosts(ctx) {
        if !ctx.peers.is_successor(ctx.host(), &host) {
            continue;
        }
        set_marked(ctx, &host, true);
        slog::info!(ctx.logger, "silent host marked in the list"; "peer" => host.as_str());
        ctx.metrics.count(Counted::Changes, "silent host marked");
        tokio::spawn(write_silent_mark(Arc::clone(ctx), host, info));
    }
}

/// Returns the hosts of this cell that have been silent for long. Hosts of other cells send nothing
/// to this one.
fn silent_hosts(ctx: &Context) -> Vec<(HostId, HostInfo)> {
    let cells = ctx.peers.cell_state.cells();
    let known = lock(&ctx.peers.known);
    let silent_hosts = known.iter().filter_map(|(host, peer)| {
        let is_silent = !peer.is_alive && peer.silence() >= MARK_SILENT_AFTER;
        let has_failed = is_silent && !peer.is_marked_silent;
        if !has_failed || (cells.is_divided() && !cell::is_in_own_cell(ctx, cells, host, peer)) {
            return None;
        }
        let info = HostInfo {
            addr: peer.addr,
            data_centre: peer.data_centre.clone()?,
        };
        Some((host.clone(), info))
    });
    silent_hosts.collect()
}

async fn write_silent_mark(ctx: Arc<Context>, host: HostId, info: HostInfo) {
    let entry = entry(&host, info, true);
    let res = ctx.store.append(Topic::Hosts, 0, vec![entry]).await;
    if res.is_err() {
        // `Store` has logged the failure; a later check retries.
        set_marked(&ctx, &host, false);
    }
}

fn set_marked(ctx: &Context, host: &str, is_marked: bool) {
    if let Some(peer) = lock(&ctx.peers.known).get_mut(host) {
        peer.is_marked_silent = is_marked;
    }
}

/// Removes a host whose entry was deleted, or leaves that to [`forget_left`] while it is alive.
fn remove_host(ctx: &Context, host: &str) {
    let mut known = lock(&ctx.peers.known);
    let Some(peer) = known.get_mut(host) else {
        return;
    };
    peer.has_left = true;
    if !peer.is_alive {
        known.remove(host);
    }
}
