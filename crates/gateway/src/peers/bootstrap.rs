//! Initial loading of routes, targets and job records.
//!
//! A starting host needs the routes, the targets and the job records. If each host of a large fleet
//! listed them from the store at a start of the whole fleet, each listing would take 20 ms or more
//! of the store's throughput, some 2 MB of 80 MB per second, so 300 hosts would take at least six
//! seconds. In practice they never finish: responses arrive after the callers' timeouts, and the
//! retries add load while the store still processes the abandoned calls. So in a fleet that is
//! divided into cells, a few hosts of each cell list, selected by rendezvous hashing among the
//! hosts in the host list. The others copy from them and then from one another. A host that
//! receives nothing in time lists itself, so a failure of the listing hosts only delays the start.
//!
//! Listing sequentially, one host after another, was rejected since it takes the same six seconds.
//! Longer timeouts alone were rejected for the same reason.

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

/// The rendezvous hashing key for selecting the hosts that list.
const LISTING_TASK: &str = "list";
/// Number of hosts of a cell that list. Some may be down, and the first to finish transfers to all
/// of its share at once.
const LISTING_HOSTS: usize = 3;
/// Maximum time that a starting host waits for the host list, without which it does not know of
/// other listing hosts and lists itself. When a thousand hosts start together, the store sends 85
/// MB of host lists, which takes a second.
const LIST_WAIT: Duration = Duration::from_millis(2_500);
/// Minimum time to wait for records from a listing host.
const PEER_WAIT: Duration = Duration::from_secs(4);
/// Maximum random time added to the wait, so that hosts that time out do not list all at once.
const PEER_WAIT_JITTER_MS: u64 = 3_000;
/// Timeout of a transfer: a megabyte takes 0.3 s on the slowest link, and the peer serves several
/// transfers at a time.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Random pause between two attempts to find a peer that has the records.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 20..80;
/// Maximum number of concurrent transfers from a host: with fewer its link would be idle, with more
/// all of them would finish late and could not be copied further.
const TRANSFERS_MAX: usize = 3;

/// Maximum number of concurrent responses to requests for changes.
const RESPONSES_MAX: usize = tree::FANOUT;

/// Progress of initial loading.
#[derive(Debug)]
pub(super) struct Bootstrap {
    /// Whether the host list has been read, or reading it has failed.
    is_list_attempted: watch::Sender<bool>,
    /// When the newest read of the host list was requested.
    list_read_at: watch::Sender<Option<Instant>>,
    /// Whether it is decided if this host reads routes and targets or follows another host.
    is_role_decided: watch::Sender<bool>,
    /// Transfers of records to peers in progress.
    transfers: Gauge,
    /// Responses to requests for changes in progress.
    responses: Gauge,
}

impl Default for Bootstrap {
    fn default() -> Self {
        Self {
            is_list_attempted: watch::Sender::new(false),
            list_read_at: watch::Sender::new(None),
            is_role_decided: watch::Sender::new(false),
            transfers: Gauge::default(),
            responses: Gauge::default(),
        }
    }
}

impl Bootstrap {
    /// Records that the host list was read, or that reading it failed.
    pub(super) fn mark_list_attempted(&self) {
        self.is_list_attempted.send_replace(true);
    }

    /// Records a read of the host list.
    pub(super) fn record_list_read(&self, requested_at: Instant) {
        self.list_read_at
            .send_modify(|read_at| *read_at = (*read_at).max(Some(requested_at)));
        self.mark_list_attempted();
    }

    /// Waits until the host list is read or reading it has failed, or `wait` has elapsed.
    pub(super) async fn wait_list_attempt(&self, wait: Duration) {
        let mut is_attempted = self.is_list_attempted.subscribe();
        // On timeout the caller continues as if reading had failed.
        let _ = tokio::time::timeout(wait, is_attempted.wait_for(|attempted| *attempted)).await;
    }

    /// Waits until the host list is read or `wait` has elapsed.
    async fn wait_list_read(&self, wait: Duration) {
        let mut read_at = self.list_read_at.subscribe();
        // On timeout the caller continues with the hosts known so far.
        let _ = tokio::time::timeout(wait, read_at.wait_for(Option::is_some)).await;
    }

    /// Returns whether the host list has been read.
    pub(super) fn is_list_read(&self) -> bool {
        self.list_read_at().is_some()
    }

    /// Returns when the newest read of the host list was requested.
    pub(super) fn list_read_at(&self) -> Option<Instant> {
        *self.list_read_at.borrow()
    }

    /// Starts a response to a request for changes, unless too many are in progress.
    pub(super) fn begin_response(&self) -> Option<Gauge> {
        let guard = self.responses.enter();
        (self.responses.count() <= RESPONSES_MAX).then_some(guard)
    }

    /// Starts a transfer to a peer, unless too many are in progress.
    pub(super) fn begin_transfer(&self) -> Option<Gauge> {
        let guard = self.transfers.enter();
        (self.transfers.count() <= TRANSFERS_MAX).then_some(guard)
    }
}

/// Waits until it is decided whether this host reads routes and targets or follows another
/// host.
pub(super) async fn run(ctx: Arc<Context>) {
    ctx.peers.bootstrap.wait_list_read(LIST_WAIT).await;
    if ctx.peers.cell_state.cells().is_divided() {
        // The rank among the listed hosts is computed at the next tick.
        tokio::time::sleep(2 * spread::TICK).await;
    }
    ctx.peers.bootstrap.is_role_decided.send_replace(true);
}

/// Waits until it is decided whether this host reads routes and targets or follows another host.
pub(crate) async fn wait_for_role(ctx: &Context) {
    let mut is_decided = ctx.peers.bootstrap.is_role_decided.subscribe();
    // The sender exists as long as the context.
    let _ = is_decided.wait_for(|is_decided| *is_decided).await;
}

/// Returns the job records of a peer, or `None` if this host should list them itself.
pub(crate) async fn fetch_job_records(ctx: &Context) -> Option<Snapshot> {
    if is_listing_host(ctx).await {
        return None;
    }
    let deadline = peer_deadline();
    while Instant::now() < deadline {
        let Some((_, addr)) = random_peer(ctx, |p| p.status.store_up) else {
            sleep_random(RETRY_PAUSE_MS).await;
            continue;
        };
        let response = rpc::call(addr, rpc::RECORDS, Bytes::new(), TRANSFER_TIMEOUT).await;
        match response.map(|bytes| Snapshot::decode(&bytes)) {
            Ok(Ok(snapshot)) => return Some(snapshot),
            Ok(Err(err)) => slog::error!(ctx.logger, "invalid response from peer";
                "addr" => addr.to_string(), "error" => err.to_string()),
            // The peer has too many transfers in progress, or has just failed.
            Err(_) => ctx
                .metrics
                .count(Counted::Changes, "records not handed over"),
        }
        sleep_random(RETRY_PAUSE_MS).await;
    }
    slog::warn!(
        ctx.logger,
        "no peer provided the job records; listing them from the store"
    );
    None
}

/// Returns whether this host should list records from the store.
async fn is_listing_host(ctx: &Context) -> bool {
    ctx.peers.bootstrap.wait_list_read(LIST_WAIT).await;
    let cells = ctx.peers.cell_state.cells();
    if !cells.is_divided() {
        return true;
    }
    let known = lock(&ctx.peers.known);
    let own_cell = known
        .iter()
        .filter(|(host, peer)| cell::is_in_own_cell(ctx, cells, host, peer));
    let hosts = own_cell.map(|(host, _)| host.as_str()).chain([ctx.host()]);
    let hosts: Vec<&str> = hosts.collect();
    rendezvous::top_ranked(LISTING_TASK, &hosts, LISTING_HOSTS).contains(&ctx.host())
}

fn peer_deadline() -> Instant {
    let jitter_ms = rand::rng().random_range(0..PEER_WAIT_JITTER_MS);
    Instant::now() + PEER_WAIT + Duration::from_millis(jitter_ms)
}

/// Returns a random live peer that satisfies a condition.
pub(super) fn random_peer(
    ctx: &Context,
    condition: impl Fn(&Peer) -> bool,
) -> Option<(HostId, SocketAddr)> {
    let known = lock(&ctx.peers.known);
    let candidates = known.iter().filter(|(_, p)| p.is_alive && condition(p));
    let (host, peer) = candidates.choose(&mut rand::rng())?;
    Some((host.clone(), peer.addr))
}
