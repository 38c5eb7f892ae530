//! The cells of a large fleet: which one this host is in, and word between them.
//!
//! Inside its cell a host tells all that it runs, see [`cells`]. To other cells it
//! tells sums: each beat one host of another cell, drawn at random, gets what all
//! hosts of this one run at each target. So a host sends and gets as much however
//! large the fleet is, and each cell hears of each other one many times a second. A
//! cell of which nothing comes for long is gone as a whole, and the jobs of its hosts
//! are taken over by others.
//!
//! Hosts of each cell that speak for it were rejected: their death would silence the
//! cell, and who speaks would have to be agreed on.
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

/// Time between two datagrams to other cells. With five cells each hears of each
/// other one every 200 ms on average, as old as news of far hosts is in a fleet that
/// is one cell.
const BEAT: Duration = Duration::from_millis(50);

/// Beats without a word of a cell, for each other cell, after which it counts as
/// gone: words come to random hosts, so one that lives is not heard for so long with
/// a chance of e^-15. A job taken over by mistake runs again.
const SILENT_BEATS: u32 = 15;

/// Least time without a word of a cell after which it counts as gone: all hosts of a
/// data centre are back within it after most losses of power.
const SILENT_MIN: Duration = Duration::from_secs(3);

/// Time after which a host that is not in the list is taken for gone: new ones are
/// there within a second.
const UNLISTED_MAX: Duration = Duration::from_secs(5);

/// Time for which word of a host in another cell says that it can be asked.
pub(super) const FAR_WORD_MAX: Duration = Duration::from_secs(2);

/// The division of the fleet as this host sees it.
#[derive(Debug)]
pub(super) struct Neighbours {
    division: Mutex<Division>,
    /// When something was last heard of each other cell, by its name.
    heard: Mutex<HashMap<String, Instant>>,
    /// Since when jobs have had owners that are not in the list.
    unlisted: Mutex<HashMap<HostId, Instant>>,
}

impl Neighbours {
    pub(super) fn new(cell_hosts_max: usize) -> Self {
        Self {
            division: Mutex::new(Division::new(cell_hosts_max)),
            heard: Mutex::default(),
            unlisted: Mutex::default(),
        }
    }

    /// Returns the cells as they are.
    pub(super) fn cells(&self) -> Cells {
        lock(&self.division).cells()
    }

    /// Returns the cells whose hosts are told what this one runs.
    pub(super) fn told(&self, now: Instant) -> Cells {
        lock(&self.division).broadcast_cells(now)
    }

    /// Returns whether nothing was heard of a cell for so long that all its hosts
    /// are gone.
    fn is_silent(&self, cell: &str) -> bool {
        let heard = lock(&self.heard);
        let others = u32::try_from(heard.len()).unwrap_or(u32::MAX);
        let silence_max = SILENT_MIN.max(BEAT * SILENT_BEATS.saturating_mul(others));
        heard.get(cell).is_none_or(|at| at.elapsed() >= silence_max)
    }

    fn is_unlisted_for_long(&self, host: &str) -> bool {
        let mut unlisted = lock(&self.unlisted);
        let since = unlisted.entry(host.to_owned()).or_insert_with(Instant::now);
        since.elapsed() >= UNLISTED_MAX
    }
}

/// Returns the name of this host's cell.
fn own_cell(ctx: &Context, cells: Cells) -> String {
    cells.name_of((ctx.host(), &ctx.settings.host.data_centre))
}

/// Divides the fleet anew if its hosts call for it.
pub(super) fn divide(ctx: &Context) {
    let now = Instant::now();
    let neighbours = &ctx.peers.neighbours;
    let known = lock(&ctx.peers.known);
    let listed = known.values().filter_map(|p| p.data_centre.as_deref());
    let own = ctx.settings.host.data_centre.as_str();
    let mut hosts: HashMap<&str, usize> = HashMap::new();
    for data_centre in listed.chain([own]) {
        *hosts.entry(data_centre).or_default() += 1;
    }
    let is_new = lock(&neighbours.division).note_hosts(hosts.values().copied(), now);
    let cells = neighbours.cells();
    let own_cell = own_cell(ctx, cells);
    let listed = known.iter().filter_map(|(host, peer)| {
        let data_centre = peer.data_centre.as_deref()?;
        Some(cells.name_of((host, data_centre)))
    });
    let others: Vec<String> = listed.filter(|cell| *cell != own_cell).collect();
    drop(known);
    {
        let mut heard = lock(&neighbours.heard);
        heard.retain(|cell, _| others.contains(cell));
        for cell in others {
            // Its hosts have just been read of: they have time to be heard.
            heard.entry(cell).or_insert(now);
        }
    }
    lock(&neighbours.unlisted).retain(|host, _| !is_listed(ctx, host));
    if is_new {
        begin_division(ctx, cells, &own_cell);
    }
}

fn is_listed(ctx: &Context, host: &str) -> bool {
    let known = lock(&ctx.peers.known);
    known.get(host).is_some_and(|p| p.data_centre.is_some())
}

/// Forgets what was known by another division.
fn begin_division(ctx: &Context, cells: Cells, own_cell: &str) {
    let count = lock(&ctx.peers.neighbours.heard).len() + 1;
    slog::info!(ctx.logger, "fleet divided"; "cells" => count, "own_cell" => own_cell);
    ctx.metrics.set("cells", count);
    ctx.metrics.count(Counted::Changes, "cells");
    lock(&ctx.balancer).clear_cells();
    let mut outside = Vec::new();
    for (host, peer) in lock(&ctx.peers.known).iter_mut() {
        if !is_together(ctx, cells, host, peer) {
            peer.is_alive = false;
            outside.push(host.clone());
        }
    }
    for host in outside {
        lock(&ctx.balancer).remove_peer(&host);
        ctx.items.remove_peer(&host);
    }
}

/// Returns whether a peer is in this host's cell.
pub(super) fn is_together(ctx: &Context, cells: Cells, host: &str, peer: &Peer) -> bool {
    let own = (ctx.host(), ctx.settings.host.data_centre.as_str());
    let data_centre = peer.data_centre.as_deref().unwrap_or_default();
    cells.are_in_same_cell(own, (host, data_centre))
}

/// Returns whether this host looks after the jobs of another that may be gone: one
/// of its own cell, of a cell that is gone as a whole, or of none.
pub(super) fn is_responsible_for(ctx: &Context, host: &str) -> bool {
    let neighbours = &ctx.peers.neighbours;
    let cells = neighbours.cells();
    if !cells.is_divided() {
        return true;
    }
    let cell = {
        let known = lock(&ctx.peers.known);
        let peer = known.get(host).filter(|p| p.data_centre.is_some());
        peer.map(|peer| {
            let data_centre = peer.data_centre.as_deref().unwrap_or_default();
            (
                is_together(ctx, cells, host, peer),
                cells.name_of((host, data_centre)),
            )
        })
    };
    match cell {
        Some((is_together, cell)) => is_together || neighbours.is_silent(&cell),
        None => neighbours.is_unlisted_for_long(host),
    }
}

/// Returns whether a task of the whole fleet is for a host of this one's cell.
pub(super) fn is_assigned_to_own_cell(ctx: &Context, task: &str) -> bool {
    let neighbours = &ctx.peers.neighbours;
    let own = own_cell(ctx, neighbours.cells());
    let heard = lock(&neighbours.heard);
    let others = heard.keys().map(String::as_str);
    let all: Vec<&str> = others.chain([own.as_str()]).collect();
    rendezvous::top_ranked(task, &all, 1) == [own.as_str()]
}

/// Takes in what another cell runs, from one of its hosts.
pub(super) fn take(ctx: &Arc<Context>, addr: SocketAddr, told: CellStatus) {
    let now = Instant::now();
    note_word(ctx, addr, &told, now);
    let cells = ctx.peers.neighbours.cells();
    let own = (ctx.host(), ctx.settings.host.data_centre.as_str());
    let from = (told.host.as_str(), told.data_centre.as_str());
    // One that divides the fleet differently for a moment may be of this cell.
    if cells.is_divided() && !cells.are_in_same_cell(own, from) {
        let cell = cells.name_of(from);
        let loads = told.loads.iter().map(status::load).collect();
        lock(&ctx.balancer).set_cell_loads(&cell, loads, now);
        lock(&ctx.peers.neighbours.heard).insert(cell, now);
    }
    ctx.journal.record_peer_end(told.jobs);
    let theirs = Versions {
        config: told.config,
        targets: told.targets,
    };
    // A host that reaches the store reads changes there or follows the reader.
    if !ctx.store.is_up() {
        ctx.distributor.note_ahead(addr, theirs);
    }
}

/// Notes that a host in another cell lives. A host that the store turns away may not
/// have it in its list, and needs it all the more.
fn note_word(ctx: &Context, addr: SocketAddr, told: &CellStatus, now: Instant) {
    let is_new = {
        let mut known = lock(&ctx.peers.known);
        let peer = known.entry(told.host.clone());
        let peer = peer.or_insert_with(|| Peer::new(addr));
        peer.addr = addr;
        peer.far_word = Some((now, told.store_up));
        let is_new = peer.data_centre.is_none();
        peer.data_centre
            .get_or_insert_with(|| told.data_centre.clone());
        is_new
    };
    if is_new {
        divide(ctx);
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

/// Tells other cells what this one runs, and notes those that are gone, until the
/// host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(BEAT);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let cells = ctx.peers.neighbours.cells();
        if !cells.is_divided() {
            continue;
        }
        forget_silent(&ctx);
        let addr = {
            let known = lock(&ctx.peers.known);
            let outside = known
                .iter()
                .filter(|(host, peer)| !is_together(&ctx, cells, host, peer));
            outside.map(|(_, peer)| peer.addr).choose(&mut rand::rng())
        };
        let (Some(addr), Some(socket)) = (addr, ctx.peers.socket.get()) else {
            continue;
        };
        let bytes = messages::encode(&PeerMessage::Cell(cell_status(&ctx)));
        // Lost, another one makes up for it.
        let _ = socket.try_send_to(&bytes, addr);
        ctx.metrics.count(Counted::Datagrams, "sent");
    }
}

/// Forgets what cells run that are gone.
fn forget_silent(ctx: &Context) {
    let neighbours = &ctx.peers.neighbours;
    let cells: Vec<String> = lock(&neighbours.heard).keys().cloned().collect();
    for cell in cells {
        if neighbours.is_silent(&cell) && lock(&ctx.balancer).remove_cell(&cell) {
            slog::warn!(ctx.logger, "cell down"; "cell" => cell);
            ctx.metrics.count(Counted::Changes, "cell down");
        }
    }
}
