//! Who reads for whom when hosts start.
//!
//! A host that starts needs the routes, the targets and the job records. In a large
//! fleet that starts as a whole, each host that lists them from the store takes what
//! the store can read out in 20 ms or more: some 2 MB of 80 a second, so 300 hosts
//! take six seconds at best. They do not get there: answers come too late for their
//! callers, who ask again while the store still answers the last call, and no host
//! ever serves jobs again. So in a fleet that is divided into cells a few hosts of
//! each cell list, the best by rendezvous hashing among those in the list of hosts,
//! and the others take what these have, and then from one another. One that gets
//! nothing in time lists after all, so the death of those that list costs a moment.
//!
//! Listing in turn, each host after another, was rejected: six seconds remain six
//! seconds. Longer time-outs alone were rejected for the same reason.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_ledger::jobs::Snapshot;
use notchwharf_ledger::rendezvous;
use notchwharf_routing::balancer::HostId;
use notchwharf_spread::tree;
use notchwharf_telemetry::gauge::Gauge;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use tokio::sync::watch;

use super::Peer;
use super::cell;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::spread;
use crate::sync::lock;
use crate::time::sleep_random;

/// The name by which hosts agree on who lists.
const TASK: &str = "list";
/// Hosts of a cell that list: some may be gone, and the first to have all hand it
/// on at once.
const LISTERS: usize = 3;
/// Maximum time that a starting host waits for the host list. Without the list a host does
/// not know that others list, and lists for itself. When a thousand hosts start together,
/// the store sends 85 MB of host lists, which takes a second.
const LIST_WAIT: Duration = Duration::from_millis(2_500);
/// Time for which a host waits for what others list.
const OTHERS_WAIT: Duration = Duration::from_secs(4);
/// Time that is drawn on top, so that hosts that have waited in vain do not list all
/// at once.
const OTHERS_WAIT_DRAWN_MS: u64 = 3_000;
/// Time for a peer's answer: a megabyte over the least link takes 0.3 s, and it hands
/// over to some at a time.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause between two looks for a peer that has what is wanted, drawn.
const PAUSE_MS: std::ops::Range<u64> = 20..80;
/// Peers that a host hands over to at a time: fewer would leave its link idle, more
/// would all get it late, and nobody could hand it on.
const HAND_OVER_MAX: usize = 3;

/// Maximum number of concurrent responses to requests for changes.
const RESPONSES_MAX: usize = tree::FANOUT;

/// What a host notes while it starts.
#[derive(Debug)]
pub(super) struct Loading {
    /// Whether the list of hosts was read, or could not be.
    is_list_tried: watch::Sender<bool>,
    /// When the newest reading of the host list was requested.
    list_read_at: watch::Sender<Option<Instant>>,
    /// Whether routes and targets are here, or are to be listed.
    is_catalog_due: watch::Sender<bool>,
    /// Peers that are being handed something.
    handing_over: Gauge,
    /// Responses to requests for changes in progress.
    responses: Gauge,
}

impl Default for Loading {
    fn default() -> Self {
        Self {
            is_list_tried: watch::Sender::new(false),
            list_read_at: watch::Sender::new(None),
            is_catalog_due: watch::Sender::new(false),
            handing_over: Gauge::default(),
            responses: Gauge::default(),
        }
    }
}

impl Loading {
    /// Notes that the list of hosts was read, or could not be.
    pub(super) fn list_tried(&self) {
        self.is_list_tried.send_replace(true);
    }

    /// Records a reading of the host list.
    pub(super) fn list_read(&self, asked: Instant) {
        self.list_read_at
            .send_modify(|read_at| *read_at = (*read_at).max(Some(asked)));
        self.list_tried();
    }

    /// Waits for the list of hosts to be read, or not to be readable, at most for a
    /// time.
    pub(super) async fn until_list_tried(&self, wait: Duration) {
        let mut is_tried = self.is_list_tried.subscribe();
        // Late, the list says as little as none.
        let _ = tokio::time::timeout(wait, is_tried.wait_for(|tried| *tried)).await;
    }

    /// Waits until the host list is read or `wait` has elapsed.
    async fn until_list_read(&self, wait: Duration) {
        let mut read_at = self.list_read_at.subscribe();
        // On timeout the caller continues with the hosts known so far.
        let _ = tokio::time::timeout(wait, read_at.wait_for(Option::is_some)).await;
    }

    /// Returns whether the list of hosts was read.
    pub(super) fn is_list_read(&self) -> bool {
        self.list_read_at().is_some()
    }

    /// Returns when the newest reading of the host list was requested.
    pub(super) fn list_read_at(&self) -> Option<Instant> {
        *self.list_read_at.borrow()
    }

    /// Starts a response to a request for changes, unless too many are in progress.
    pub(super) fn begin_response(&self) -> Option<Gauge> {
        let under_way = self.responses.enter();
        (self.responses.count() <= RESPONSES_MAX).then_some(under_way)
    }

    /// Begins to hand something over, if not too many are being handed something.
    pub(super) fn hand_over(&self) -> Option<Gauge> {
        let under_way = self.handing_over.enter();
        (self.handing_over.count() <= HAND_OVER_MAX).then_some(under_way)
    }
}

/// Waits until it is decided whether this host reads routes and targets or follows another
/// host.
pub(super) async fn run(ctx: Arc<Context>) {
    ctx.peers.loading.until_list_read(LIST_WAIT).await;
    if ctx.peers.neighbours.cells().is_divided() {
        // The rank among the listed hosts is computed at the next tick.
        tokio::time::sleep(2 * spread::TICK).await;
    }
    ctx.peers.loading.is_catalog_due.send_replace(true);
}

/// Waits until routes and targets are here, or are to be listed.
pub(crate) async fn wait_for_role(ctx: &Context) {
    let mut is_due = ctx.peers.loading.is_catalog_due.subscribe();
    // The sender lives as long as the context.
    let _ = is_due.wait_for(|is_due| *is_due).await;
}

/// Returns the job records as a peer knows them; nothing if this host is to list
/// them itself.
pub(crate) async fn fetch_job_records(ctx: &Context) -> Option<Snapshot> {
    if lists(ctx).await {
        return None;
    }
    let deadline = deadline();
    while Instant::now() < deadline {
        let Some((_, addr)) = peer(ctx, |p| p.status.store_up) else {
            sleep_random(PAUSE_MS).await;
            continue;
        };
        let answer = rpc::call(addr, rpc::RECORDS, Bytes::new(), TIMEOUT).await;
        match answer.map(|bytes| postcard::from_bytes(&bytes)) {
            Ok(Ok(snapshot)) => return Some(snapshot),
            Ok(Err(err)) => slog::error!(ctx.logger, "unreadable answer of a peer";
                "addr" => addr.to_string(), "error" => err.to_string()),
            // It hands over to others already, or has just died.
            Err(_) => ctx
                .metrics
                .count(Counted::Changes, "records not handed over"),
        }
        sleep_random(PAUSE_MS).await;
    }
    slog::warn!(
        ctx.logger,
        "no peer has handed over the job records, listing them"
    );
    None
}

/// Returns whether this host lists for itself.
async fn lists(ctx: &Context) -> bool {
    ctx.peers.loading.until_list_read(LIST_WAIT).await;
    let cells = ctx.peers.neighbours.cells();
    if !cells.is_divided() {
        return true;
    }
    let known = lock(&ctx.peers.known);
    let near = known
        .iter()
        .filter(|(host, peer)| cell::is_together(ctx, cells, host, peer));
    let hosts = near.map(|(host, _)| host.as_str()).chain([ctx.host()]);
    let hosts: Vec<&str> = hosts.collect();
    rendezvous::top_ranked(TASK, &hosts, LISTERS).contains(&ctx.host())
}

fn deadline() -> Instant {
    let drawn = rand::rng().random_range(0..OTHERS_WAIT_DRAWN_MS);
    Instant::now() + OTHERS_WAIT + Duration::from_millis(drawn)
}

/// Returns a peer that has what is wanted, drawn.
pub(super) fn peer(ctx: &Context, has: impl Fn(&Peer) -> bool) -> Option<(HostId, SocketAddr)> {
    let known = lock(&ctx.peers.known);
    let having = known.iter().filter(|(_, p)| p.is_alive && has(p));
    let (host, peer) = having.choose(&mut rand::rng())?;
    Some((host.clone(), peer.addr))
}
