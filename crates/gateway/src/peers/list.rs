//! The list of hosts in the store: this host's entry, and those of others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_listen::Phase;
use notchwharf_proto::records::Hosts;
use notchwharf_routing::balancer::HostId;
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

/// How the list of hosts is read. It changes seldom, and a host that is known
/// to one other is known to all by its own datagrams.
pub(super) const PACE: PollConfig = PollConfig {
    wait: Duration::from_secs(10),
    min_interval: Duration::from_millis(700),
    backoff_max: Duration::from_millis(400),
};

/// Time for the list to be read before a host's own entry is written: two timeouts of
/// a slow store.
const ENTER_WAIT: Duration = Duration::from_millis(1_500);
/// Pause before a host's own entry is written again, doubled each time.
const ENTRY_PAUSE_MIN: Duration = Duration::from_millis(300);
/// The longest such pause: other hosts find this one by its datagrams meanwhile.
const ENTRY_PAUSE_MAX: Duration = Duration::from_millis(2_400);

/// Silence after which the list says so: four times that after which a host counts as
/// down, longer than most are away. One that is back, or was never gone, writes its entry
/// again.
const SILENT_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of new hosts that are logged individually.
const LOGGED_HOSTS_MAX: usize = 8;

/// Time after a host's own entry was written within which all hosts that started with it
/// have written theirs and it has received them: a pause between two readings, a call, and
/// forwarding by the reader.
pub(super) const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// A host's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Listing {
    pub(super) addr: SocketAddr,
    pub(super) data_centre: String,
}

/// An entry with what others say of its host. Entries of hosts that know of no such word
/// end before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Marked {
    listing: Listing,
    /// Whether the host has long been silent.
    is_silent: bool,
}

impl Marked {
    fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value).or_else(|_| {
            let listing = postcard::from_bytes(value)?;
            Ok(Self {
                listing,
                is_silent: false,
            })
        })
    }
}

/// Returns a host's entry.
fn entry(host: &str, listing: Listing, is_silent: bool) -> Entry {
    let marked = Marked { listing, is_silent };
    let value = postcard::to_stdvec(&marked).expect("Listings are representable.");
    Entry {
        key: host.to_owned(),
        value: Some(value.into()),
    }
}

pub(super) fn own_listing(ctx: &Context) -> Listing {
    Listing {
        addr: ctx.settings.host.peer_listen,
        data_centre: ctx.settings.host.data_centre.clone(),
    }
}

/// Writes this host's entry, unless the list has it: after a loss of all hosts the list
/// has all of them, and writing it anew would hold up all that read it. The store takes
/// one append after the other, and does not read the list out meanwhile.
pub(super) async fn enter(ctx: Arc<Context>) {
    let entry = entry(ctx.host(), own_listing(&ctx), false);
    ctx.peers.loading.until_list_tried(ENTER_WAIT).await;
    let mut backoff = Backoff::new(ENTRY_PAUSE_MIN, ENTRY_PAUSE_MAX);
    while ctx.phase() < Phase::Leaving && lock(&ctx.peers.entered_at).is_none() {
        let res = ctx.store.append(Topic::Hosts, 0, vec![entry.clone()]).await;
        if res.is_ok() {
            *lock(&ctx.peers.entered_at) = Some(Instant::now());
            return;
        }
        // Hosts that start together must not all write again at once.
        backoff.wait().await;
    }
}

/// Takes in whether the list has this host's entry; writes it again if it was dropped.
fn note_own(ctx: &Arc<Context>, asked: Instant, is_listing: bool, records: &[StoredRecord]) {
    let own = records.iter().rev().find(|r| r.entry.key == ctx.host());
    let value = own.and_then(|own| own.entry.value.as_deref());
    let is_listed = value.is_some_and(|value| {
        let marked = Marked::decode(value);
        marked.is_ok_and(|own| !own.is_silent && own.listing == own_listing(ctx))
    });
    let mut entered_at = lock(&ctx.peers.entered_at);
    if is_listed {
        if entered_at.is_none() && is_listing {
            ctx.peers.was_listed.store(true, Ordering::Relaxed);
        }
        entered_at.get_or_insert(asked);
        return;
    }
    let is_missing = own.is_some() || is_listing;
    let was_entered = entered_at.is_some_and(|at| at < asked);
    if is_missing && was_entered && ctx.phase() < Phase::Leaving {
        slog::info!(
            ctx.logger,
            "own host entry changed by another, written again"
        );
        *entered_at = None;
        tokio::spawn(enter(Arc::clone(ctx)));
    }
}

/// Drops this host's entry; without it others find out by its silence.
pub(crate) async fn leave(ctx: &Context) {
    let entry = Entry::tombstone(ctx.host().to_owned());
    if let Err(err) = ctx.store.append(Topic::Hosts, 0, vec![entry]).await {
        slog::warn!(ctx.logger, "host's entry not dropped"; "error" => err.to_string());
    }
}

/// Returns the offset up to which the list of hosts is known.
pub(super) fn end(ctx: &Context) -> u64 {
    lock(&ctx.peers.host_log).end
}

/// Returns the changes of the list since an offset.
pub(super) fn since(ctx: &Context, from: u64) -> Hosts {
    lock(&ctx.peers.host_log).since(from)
}

/// Applies changes of the list received from a peer.
pub(super) fn take_changes(ctx: &Arc<Context>, received: Hosts) {
    let known_to = end(ctx);
    if received.from > known_to || received.to <= known_to {
        return;
    }
    let changes = received.changes.into_iter();
    let changes = changes.filter(|(_, offset, _)| received.is_complete || *offset >= known_to);
    let records = changes.map(|(host, offset, value)| StoredRecord {
        offset,
        entry: Entry {
            key: host,
            value: value.map(Bytes::from),
        },
    });
    apply(ctx, Instant::now(), false, received.to, records.collect());
}

/// Applies a reading of the list.
pub(super) fn take(ctx: &Arc<Context>, reading: ReadAttempt) {
    // The reader tries again, and the store's wrapper has logged why.
    let Ok(seen) = reading.result else {
        ctx.peers.loading.list_tried();
        return;
    };
    let listed_to = seen.listing_end();
    let records = seen.records();
    let read_to = records.last().map_or(0, |record| record.offset + 1);
    let to = listed_to.unwrap_or(read_to);
    apply(ctx, reading.requested_at, listed_to.is_some(), to, records);
}

fn apply(
    ctx: &Arc<Context>,
    asked: Instant,
    is_listing: bool,
    to: u64,
    records: Vec<StoredRecord>,
) {
    note_own(ctx, asked, is_listing, &records);
    {
        let mut host_log = lock(&ctx.peers.host_log);
        records.iter().for_each(|record| host_log.apply(record));
        if is_listing {
            host_log.changes.skip_to(to);
        }
        host_log.end = host_log.end.max(to);
    }
    let mut added = Vec::new();
    for record in records {
        let host = record.entry.key;
        if host == ctx.host() {
            continue;
        }
        let Some(value) = record.entry.value else {
            slog::info!(ctx.logger, "host left the list"; "peer" => host.as_str());
            forget(ctx, &host);
            continue;
        };
        match Marked::decode(&value) {
            Ok(marked) if know(ctx, &host, &marked) => added.push((host, marked.listing.addr)),
            Ok(_) => {}
            Err(err) => slog::error!(ctx.logger, "unreadable host entry";
                "peer" => host, "error" => err.to_string()),
        }
    }
    log_known(ctx, &added);
    cell::divide(ctx);
    ctx.peers.loading.list_read(asked);
    ctx.peers.notify();
}

/// Logs newly known hosts.
fn log_known(ctx: &Context, added: &[(HostId, SocketAddr)]) {
    if added.len() > LOGGED_HOSTS_MAX {
        slog::info!(ctx.logger, "hosts known"; "hosts" => added.len());
        return;
    }
    for (host, addr) in added {
        slog::info!(ctx.logger, "host known"; "peer" => host, "addr" => addr.to_string());
    }
}

/// Adds a host learned from a peer rather than from the list.
pub(super) fn add_contact(ctx: &Context, host: &str, listing: &Listing) {
    let marked = Marked {
        listing: listing.clone(),
        is_silent: false,
    };
    know(ctx, host, &marked);
}

/// Applies a host's entry; returns whether the host was unknown.
fn know(ctx: &Context, host: &str, marked: &Marked) -> bool {
    let listing = &marked.listing;
    let addr = listing.addr;
    let mut known = lock(&ctx.peers.known);
    let is_new = !known.contains_key(host);
    let peer = known
        .entry(host.to_owned())
        .or_insert_with(|| Peer::new(addr));
    peer.addr = addr;
    peer.is_marked_silent = marked.is_silent;
    peer.data_centre = Some(listing.data_centre.clone());
    is_new
}

/// Says in the list which hosts have been silent for long, where this host is the one to
/// do it. A host that starts asks all in the list what they hold of its limits, and would
/// wait for those that never answer. They still count as hosts of the fleet: one that
/// lives behind a cut has its part of each limit.
pub(super) fn mark_silent(ctx: &Arc<Context>) {
    if !ctx.store.is_up() || ctx.phase() != Phase::Ready {
        return;
    }
    for (host, listing) in silent(ctx) {
        if !ctx.peers.is_successor(ctx.host(), &host) {
            continue;
        }
        set_marked(ctx, &host, true);
        slog::info!(ctx.logger, "silent host marked in the list"; "peer" => host.as_str());
        ctx.metrics.count(Counted::Changes, "silent host marked");
        tokio::spawn(mark(Arc::clone(ctx), host, listing));
    }
}

/// Returns the hosts of this one's cell that have been silent for long, those of other
/// cells being never heard themselves.
fn silent(ctx: &Context) -> Vec<(HostId, Listing)> {
    let cells = ctx.peers.neighbours.cells();
    let known = lock(&ctx.peers.known);
    let silent = known.iter().filter_map(|(host, peer)| {
        let silence = peer.heard.unwrap_or(peer.since).elapsed();
        let is_gone = !peer.is_alive && silence >= SILENT_AFTER && !peer.is_marked_silent;
        if !is_gone || (cells.is_divided() && !cell::is_together(ctx, cells, host, peer)) {
            return None;
        }
        let listing = Listing {
            addr: peer.addr,
            data_centre: peer.data_centre.clone()?,
        };
        Some((host.clone(), listing))
    });
    silent.collect()
}

async fn mark(ctx: Arc<Context>, host: HostId, listing: Listing) {
    let entry = entry(&host, listing, true);
    let res = ctx.store.append(Topic::Hosts, 0, vec![entry]).await;
    if res.is_err() {
        // The store's wrapper has logged why; a later look tries again.
        set_marked(&ctx, &host, false);
    }
}

fn set_marked(ctx: &Context, host: &str, is_marked: bool) {
    if let Some(peer) = lock(&ctx.peers.known).get_mut(host) {
        peer.is_marked_silent = is_marked;
    }
}

fn forget(ctx: &Context, host: &str) {
    let is_silent = lock(&ctx.peers.known)
        .get(host)
        .is_some_and(|p| !p.is_alive);
    if is_silent {
        lock(&ctx.peers.known).remove(host);
    }
}
