//! Membership of hosts in the cells of a large fleet, and messages between cells.
//!
//! Within its cell a host sends its loads to all hosts, see [`cells`]. To other cells it sends
//! sums: at each interval one random host of another cell receives the total load of this cell at
//! each target. So the number of messages per host does not depend on the size of the fleet, and
//! each cell receives an update from each other cell many times per second. A cell that sends
//! nothing for long has failed as a whole, and other cells take over the jobs of its hosts.
//!
//! Dedicated hosts that represent each cell were rejected: their failure would silence the cell,
//! and they would have to be elected.
//!
//! [`cells`]: notchwharf_routing::cells

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::rendezvous;
use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::CellStatus;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::cells::Cells;
use notchwharf_routing::cells::Division;
use rand::seq::IteratorRandom as _;

use super::Peer;
use super::status;
use crate::catalog::Versions;
use crate::context::Context;
use crate::metrics::Counted;
use crate::sync::lock;

/// Interval between two datagrams to other cells. With five cells, each receives an update from
/// each other cell every 200 ms on average, like those between remote hosts in a fleet of a single
/// cell.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// Number of intervals without a message from a cell, per other cell, after which the cell counts
/// as failed. As messages go to random hosts, a live cell is silent for so long with a probability
/// of e^-15. Jobs that are taken over by mistake run again.
const SILENT_AFTER_INTERVALS: u32 = 15;

/// Minimum silence after which a cell counts as failed: after most power failures, all hosts of a
/// data centre are back within this time.
const SILENCE_MIN: Duration = Duration::from_secs(3);

/// Time after which a host that is not in the host list counts as failed; new hosts are listed
/// within a second.
const UNLISTED_GRACE: Duration = Duration::from_secs(5);

/// Time for which a message from a host in another cell counts as evidence that the host can be
/// called.
pub(super) const CELL_REPORT_TTL: Duration = Duration::from_secs(2);

/// The division of the fleet into cells, as known to this host.
#[derive(Debug)]
pub(super) struct CellState {
    division: Mutex<Division>,
    /// When a message was last received from each other cell, by the cell's name.
    last_received: Mutex<HashMap<String, Instant>>,
    /// Since when hosts that own jobs have been missing from the host list.
    unlisted: Mutex<HashMap<HostId, Instant>>,
}

impl CellState {
    pub(super) fn new(cell_hosts_max: usize) -> Self {
        Self {
            division: Mutex::new(Division::new(cell_hosts_max)),
            last_received: Mutex::default(),
            unlisted: Mutex::default(),
        }
    }

    /// Returns the current cells.
    pub(super) fn cells(&self) -> Cells {
        lock(&self.division).cells()
    }

    /// Returns the cells to whose hosts this host sends its status.
    pub(super) fn broadcast_cells(&self, now: Instant) -> Cells {
        lock(&self.division).broadcast_cells(now)
    }

    /// Returns whether a cell has been silent for so long that all its hosts count as failed.
    fn is_silent(&self, cell: &str) -> bool {
        let last_received = lock(&self.last_received);
        let others = u32::try_from(last_received.len()).unwrap_or(u32::MAX);
        let silence_max =
            SILENCE_MIN.max(SEND_INTERVAL * SILENT_AFTER_INTERVALS.saturating_mul(others));
        last_received
            .get(cell)
            .is_none_or(|at| at.elapsed() >= silence_max)
    }

    fn is_unlisted_for_long(&self, host: &str) -> bool {
        let mut unlisted = lock(&self.unlisted);
        let since = unlisted.entry(host.to_owned()).or_insert_with(Instant::now);
        since.elapsed() >= UNLISTED_GRACE
    }
}

/// Returns the name of this host's cell.
fn own_cell(ctx: &Context, cells: Cells) -> String {
    cells.name_of((ctx.host(), &ctx.settings.host.data_centre))
}

/// Updates the division into cells after a change of the known hosts.
pub(super) fn update_division(ctx: &Context) {
    let now = Instant::now();
    let cell_state = &ctx.peers.cell_state;
    let known = lock(&ctx.peers.known);
    let listed = known.values().filter_map(|p| p.data_centre.as_deref());
    let own = ctx.settings.host.data_centre.as_str();
    let mut hosts: HashMap<&str, usize> = HashMap::new();
    for data_centre in listed.chain([own]) {
        *hosts.entry(data_centre).or_default() += 1;
    }
    let has_changed = lock(&cell_state.division).note_hosts(hosts.values().copied(), now);
    let cells = cell_state.cells();
    let own_cell = own_cell(ctx, cells);
    let listed = known.iter().filter_map(|(host, peer)| {
        let data_centre = peer.data_centre.as_deref()?;
        Some(cells.name_of((host, data_centre)))
    });
    let others: Vec<String> = listed.filter(|cell| *cell != own_cell).collect();
    drop(known);
    {
        let mut last_received = lock(&cell_state.last_received);
        last_received.retain(|cell, _| others.contains(cell));
        for cell in others {
            // A cell whose hosts are new to the list counts as live until its timeout.
            last_received.entry(cell).or_insert(now);
        }
    }
    lock(&cell_state.unlisted).retain(|host, _| !is_listed(ctx, host));
    if has_changed {
        apply_division(ctx, cells, &own_cell);
    }
}

fn is_listed(ctx: &Context, host: &str) -> bool {
    let known = lock(&ctx.peers.known);
    known.get(host).is_some_and(|p| p.data_centre.is_some())
}

/// Applies a new division and removes the state of the previous one.
fn apply_division(ctx: &Context, cells: Cells, own_cell: &str) {
    let count = lock(&ctx.peers.cell_state.last_received).len() + 1;
    slog::info!(ctx.logger, "fleet divided into cells"; "cells" => count, "own_cell" => own_cell);
    ctx.metrics.set("cells", count);
    ctx.metrics.count(Counted::Changes, "cells");
    lock(&ctx.balancer).clear_cells();
    let mut other_cells = Vec::new();
    for (host, peer) in lock(&ctx.peers.known).iter_mut() {
        if !is_in_own_cell(ctx, cells, host, peer) {
            peer.is_alive = false;
            other_cells.push(host.clone());
        }
    }
    for host in other_cells {
        lock(&ctx.balancer).remove_peer(&host);
        ctx.items.remove_peer(&host);
    }
}

/// Returns whether a peer is in this host's cell.
pub(super) fn is_in_own_cell(ctx: &Context, cells: Cells, host: &str, peer: &Peer) -> bool {
    let own = (ctx.host(), ctx.settings.host.data_centre.as_str());
    let data_centre = peer.data_centre.as_deref().unwrap_or_default();
    cells.are_in_same_cell(own, (host, data_centre))
}

/// Returns whether this host may take over the jobs of another one that has possibly failed: if
/// that host is of the same cell, of a cell that has failed as a whole, or not in the host list.
pub(super) fn is_responsible_for(ctx: &Context, host: &str) -> bool {
    let cell_state = &ctx.peers.cell_state;
    let cells = cell_state.cells();
    if !cells.is_divided() {
        return true;
    }
    let cell = {
        let known = lock(&ctx.peers.known);
        let peer = known.get(host).filter(|p| p.data_centre.is_some());
        peer.map(|peer| {
            let data_centre = peer.data_centre.as_deref().unwrap_or_default();
            (
                is_in_own_cell(ctx, cells, host, peer),
                cells.name_of((host, data_centre)),
            )
        })
    };
    match cell {
        Some((is_in_own_cell, cell)) => is_in_own_cell || cell_state.is_silent(&cell),
        None => cell_state.is_unlisted_for_long(host),
    }
}

/// Returns whether a task of the whole fleet is assigned to this host's cell.
pub(super) fn is_assigned_to_own_cell(ctx: &Context, task: &str) -> bool {
    let cell_state = &ctx.peers.cell_state;
    let own = own_cell(ctx, cell_state.cells());
    let last_received = lock(&cell_state.last_received);
    let others = last_received.keys().map(String::as_str);
    let all: Vec<&str> = others.chain([own.as_str()]).collect();
    rendezvous::top_ranked(task, &all, 1) == [own.as_str()]
}

/// Applies the summary of another cell, received from one of its hosts.
pub(super) fn apply_status(ctx: &Arc<Context>, addr: SocketAddr, status: CellStatus) {
    let now = Instant::now();
    record_remote_host(ctx, addr, &status, now);
    let cells = ctx.peers.cell_state.cells();
    let own = (ctx.host(), ctx.settings.host.data_centre.as_str());
    let from = (status.host.as_str(), status.data_centre.as_str());
    // A sender that temporarily uses another division may be of this host's cell.
    if cells.is_divided() && !cells.are_in_same_cell(own, from) {
        let cell = cells.name_of(from);
        let loads = status.loads.iter().map(status::load).collect();
        lock(&ctx.balancer).set_cell_loads(&cell, loads, now);
        lock(&ctx.peers.cell_state.last_received).insert(cell, now);
    }
    ctx.journal.record_peer_end(status.jobs);
    let versions = Versions {
        config: status.config,
        targets: status.targets,
    };
    // A host that can reach the store reads changes there or follows the reader.
    if !ctx.store.is_up() {
        ctx.distributor.record_newer_versions(addr, versions);
    }
}

/// Records that a host in another cell is alive. A host that is refused by the store may not have
/// it in its host list, and depends on such hosts.
fn record_remote_host(ctx: &Context, addr: SocketAddr, status: &CellStatus, now: Instant) {
    let is_new = {
        let mut known = lock(&ctx.peers.known);
        let peer = known.entry(status.host.clone());
        let peer = peer.or_insert_with(|| Peer::new(addr));
        peer.addr = addr;
        peer.cell_report = Some((now, status.store_up));
        let is_new = peer.data_centre.is_none();
        peer.data_centre
            .get_or_insert_with(|| status.data_centre.clone());
        is_new
    };
    if is_new {
        update_division(ctx);
    }
}

fn cell_status(ctx: &Context) -> CellStatus {
    let versions = ctx.catalog.versions();
    let sum = lock(&ctx.balancer).total_loads();
    let loads = sum.into_iter().map(|(target, load)| messages::Load {
        target,
        online: load.online,
        batch: load.batch,
    });
    CellStatus {
        host: ctx.host().to_owned(),
        data_centre: ctx.settings.host.data_centre.clone(),
        store_up: ctx.store.is_up() && ctx.journal.is_loaded(),
        config: versions.config,
        targets: versions.targets,
        jobs: ctx.journal.jobs().end(),
        loads: loads.collect(),
    }
}

/// Sends the summary of this cell to other cells and detects failed cells, until the host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(SEND_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let cells = ctx.peers.cell_state.cells();
        if !cells.is_divided() {
            continue;
        }
        remove_silent_cells(&ctx);
        let addr = {
            let known = lock(&ctx.peers.known);
            let other_cells = known
                .iter()
                .filter(|(host, peer)| !is_in_own_cell(&ctx, cells, host, peer));
            other_cells
                .map(|(_, peer)| peer.addr)
                .choose(&mut rand::rng())
        };
        let (Some(addr), Some(socket)) = (addr, ctx.peers.socket.get()) else {
            continue;
        };
        let bytes = messages::encode(&PeerMessage::Cell(cell_status(&ctx)));
        // If this is lost, a later one replaces it.
        let _ = socket.try_send_to(&bytes, addr);
        ctx.metrics.count(Counted::Datagrams, "sent");
    }
}

/// Removes the loads of cells that have failed.
fn remove_silent_cells(ctx: &Context) {
    let cell_state = &ctx.peers.cell_state;
    let cells: Vec<String> = lock(&cell_state.last_received).keys().cloned().collect();
    for cell in cells {
        if cell_state.is_silent(&cell) && lock(&ctx.balancer).remove_cell(&cell) {
            slog::warn!(ctx.logger, "cell down"; "cell" => cell);
            ctx.metrics.count(Counted::Changes, "cell down");
        }
    }
}
