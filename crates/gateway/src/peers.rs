//! Other hosts: failure detection, their load, and calls to them.
//!
//! Hosts find one another by the host list in the store and then exchange datagrams: each notifies
//! all others of its cell as soon as its load changes. A host that cannot reach the store receives
//! routes and targets from a peer with newer ones.
//!
//! The gossip of the membership package was rejected here: it disseminates in rounds, but the start
//! of a request must be known within milliseconds. Calls between hosts use plain HTTP rather than
//! JSON-RPC, since their bodies are raw bytes.

mod bootstrap;
mod cell;
mod contact;
mod departures;
mod host_list;
mod links;
pub(crate) mod origins;
mod recipients;
mod relay;
mod rpc;
mod status;
pub(crate) mod suspects;
mod versions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_config::DataCentreId;
use notchwharf_config::gateway::Peers as Settings;
use notchwharf_intake::Intake;
use notchwharf_intake::Reservation;
use notchwharf_ledger::rendezvous;
use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Preemption;
use notchwharf_proto::messages::SlotTransfer;
use notchwharf_proto::messages::Status;
use notchwharf_quota::HostKey;
use notchwharf_quota::host_key;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::TargetKey;
use notchwharf_timer::lateness::Lateness;
use rand::seq::IndexedRandom as _;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::context::Context;
use crate::context::Until;
use crate::follower::Source;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::spread;
use crate::sync::lock;
use crate::time::ms;

use self::bootstrap::Bootstrap;
pub(crate) use self::bootstrap::fetch_job_records;
pub(crate) use self::bootstrap::wait_for_role;
use self::cell::CELL_REPORT_TTL;
use self::cell::CellState;
use self::host_list::HostList;
pub(crate) use self::host_list::deregister;
use self::relay::Relay;
pub(crate) use self::rpc::CallError;

/// Time without access to the store after which a host's jobs are taken over: most outages of a
/// single host are shorter, and items take some seconds.
pub(crate) const STORE_OUTAGE_MAX: Duration = Duration::from_millis(1_500);

/// Interval between checks for failed hosts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The other hosts known to this one.
#[derive(Debug)]
pub(crate) struct Peers {
    known: Mutex<HashMap<HostId, Peer>>,
    changed: Arc<Notify>,
    /// The loads of this host by remote data centre, as last sent there.
    last_sent_remote: Mutex<BTreeMap<DataCentreId, Vec<(TargetKey, Load)>>>,
    /// When a peer last failed or announced its shutdown.
    peer_lost_at: Mutex<Option<Instant>>,
    socket: OnceLock<UdpSocket>,
    relay: Relay,
    cell_state: CellState,
    host_list: Mutex<HostList>,
    bootstrap: Bootstrap,
    /// Since when the host list has contained this host's entry.
    registered_at: Mutex<Option<Instant>>,
    /// Whether the list contained it when this host started.
    was_listed: AtomicBool,
}

/// Another host, as needed by the rate limits.
#[derive(Clone, Debug)]
pub(crate) struct QuotaPeer {
    pub(crate) key: HostKey,
    pub(crate) addr: SocketAddr,
    /// Whether it may hold leases on limits.
    pub(crate) is_holder_candidate: bool,
    /// Whether it has been silent for so long that its leases have expired.
    pub(crate) is_silent: bool,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    /// Since when it has been known.
    known_since: Instant,
    /// Whether its entry in the host list is marked as silent, or is being marked.
    is_marked_silent: bool,
    /// Whether its entry in the host list was deleted. It is forgotten once it has been silent for
    /// long, as it still finishes requests or may be restarting.
    has_left: bool,
    /// Its data centre, once its entry in the host list is known.
    data_centre: Option<DataCentreId>,
    last_received: Option<Instant>,
    is_alive: bool,
    last_sent: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Since when it has reported that it cannot reach the store.
    store_unavailable_since: Option<Instant>,
    status: Status,
    /// For a host of another cell: when it last sent a summary of its cell, and whether it could
    /// reach the store.
    cell_report: Option<(Instant, bool)>,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            known_since: Instant::now(),
            is_marked_silent: false,
            has_left: false,
            data_centre: None,
            last_received: None,
            is_alive: false,
            last_sent: None,
            ahead_since: None,
            store_unavailable_since: None,
            status: Status::default(),
            cell_report: None,
        }
    }

    /// Returns the time since its last message.
    fn silence(&self) -> Duration {
        self.last_received.unwrap_or(self.known_since).elapsed()
    }
}

impl Peers {
    /// Returns a state without known hosts.
    pub(crate) fn new(settings: &Settings) -> Self {
        let cell_hosts_max = usize::try_from(settings.cell_hosts_max).unwrap_or(usize::MAX);
        Self {
            known: Mutex::default(),
            changed: Arc::default(),
            last_sent_remote: Mutex::default(),
            peer_lost_at: Mutex::default(),
            socket: OnceLock::new(),
            relay: Relay::default(),
            cell_state: CellState::new(cell_hosts_max),
            host_list: Mutex::new(host_list::empty()),
            bootstrap: Bootstrap::default(),
            registered_at: Mutex::default(),
            was_listed: AtomicBool::new(false),
        }
    }

    /// Returns the number of other hosts of this host's cell that are alive.
    pub(crate) fn alive_count(&self) -> usize {
        let known = lock(&self.known);
        known.values().filter(|peer| peer.is_alive).count()
    }

    /// Returns up to which offset the other hosts of the cell know the targets; `None` unless all that are
    /// alive, one at least, have reported since.
    pub(crate) fn newest_targets_since(&self, since: Instant) -> Option<u64> {
        let known = lock(&self.known);
        let alive = known.values().filter(|peer| peer.is_alive);
        let newest = alive.map(|peer| {
            let has_reported = peer.last_received >= Some(since);
            has_reported.then_some(peer.status.targets)
        });
        newest.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Returns the number of other hosts whose data centre is known.
    pub(crate) fn listed_count(&self) -> usize {
        let known = lock(&self.known);
        let listed = known.values().filter(|peer| peer.data_centre.is_some());
        listed.count()
    }

    /// Returns the handle that triggers a notification of peers.
    pub(crate) fn change_notifier(&self) -> Arc<Notify> {
        Arc::clone(&self.changed)
    }

    /// Notifies peers of a change soon.
    pub(crate) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Sends this host's load to peers immediately, or with the next heartbeat if the fleet is
    /// divided into cells and the target has enough free slots.
    pub(crate) fn notify_load(&self, is_scarce: bool) {
        if is_scarce || !self.cell_state.cells().is_divided() {
            self.notify();
        }
    }

    /// Returns whether all hosts of the fleet are known. A host that is new to the list waits until
    /// others that started with it have written their entries.
    pub(crate) fn is_fleet_known(&self) -> bool {
        let registered_at = *lock(&self.registered_at);
        let is_settled = registered_at.is_some_and(|at| at.elapsed() >= host_list::SETTLED_AFTER);
        let was_listed = self.was_listed.load(Ordering::Relaxed);
        self.bootstrap.is_list_read() && (was_listed || is_settled)
    }

    /// Returns all other known hosts, as needed by the rate limits.
    pub(crate) fn quota_peers(&self) -> Vec<QuotaPeer> {
        let known = lock(&self.known);
        let all = known.iter().map(|(host, peer)| QuotaPeer {
            key: host_key(host),
            addr: peer.addr,
            is_holder_candidate: peer.is_alive && !peer.status.leaving,
            is_silent: peer.is_marked_silent && !peer.is_alive,
        });
        all.collect()
    }

    /// Sends a datagram. Senders must compensate for lost ones.
    pub(crate) fn send_to(&self, addr: SocketAddr, message: &PeerMessage) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&messages::encode(message), addr);
        }
    }

    fn send_to_host(&self, host: &str, message: &PeerMessage) {
        let addr = lock(&self.known).get(host).map(|p| p.addr);
        if let Some(addr) = addr {
            self.send_to(addr, message);
        }
    }

    /// Requests a peer to preempt an item at a target.
    pub(crate) fn request_preemption(&self, host: &str, target: TargetKey) {
        // If this is lost, the target stays overcommitted, which its hosts detect.
        self.send_to_host(host, &PeerMessage::Preemption(Preemption { target }));
    }

    /// Returns the addresses of the live hosts of some data centres.
    fn alive_in(&self, data_centres: &BTreeSet<&DataCentreId>) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let alive = known.values().filter(|peer| {
            let data_centre = peer.data_centre.as_ref();
            peer.is_alive && data_centre.is_some_and(|at| data_centres.contains(at))
        });
        alive.map(|peer| peer.addr).collect()
    }

    /// Transfers a freed slot to a request that waits at a peer.
    pub(crate) fn transfer_slot(&self, host: &str, target: TargetKey) {
        // If this is lost, all hosts soon see the free slot.
        self.send_to_host(host, &PeerMessage::SlotTransfer(SlotTransfer { target }));
    }

    /// Returns the other hosts of this cell that can run items: those that are alive, not shutting
    /// down, and able to reach the store.
    fn item_hosts(&self) -> Vec<HostId> {
        let known = lock(&self.known);
        let hosts = known
            .iter()
            .filter(|(_, peer)| peer.is_alive && !peer.status.leaving && peer.status.store_up);
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether a peer continues to run the items of its jobs. A short outage of the store
    /// does not change this, since items of a job that is taken over run again.
    pub(crate) fn retains_jobs(&self, host: &str) -> bool {
        let known = lock(&self.known);
        known.get(host).is_some_and(|peer| {
            let outage = peer.store_unavailable_since.map(|at| at.elapsed());
            let reaches_store = outage.is_none_or(|time| time < STORE_OUTAGE_MAX);
            peer.is_alive && !peer.status.leaving && reaches_store
        })
    }

    /// Returns whether a peer has failed or announced its shutdown within a time before now.
    pub(crate) fn has_lost_peer_within(&self, time: Duration) -> bool {
        lock(&self.peer_lost_at).is_some_and(|at| at.elapsed() < time)
    }

    /// Returns the hosts of other cells that have recently reported access to the store, which may
    /// refuse all hosts of a data centre.
    fn remote_hosts_with_store(&self) -> Vec<HostId> {
        let known = lock(&self.known);
        let hosts = known.iter().filter(|(_, peer)| {
            let report = peer.cell_report;
            report.is_some_and(|(at, store_up)| store_up && at.elapsed() < CELL_REPORT_TTL)
        });
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the number of peers that can reach the store.
    pub(crate) fn with_store_count(&self) -> usize {
        self.item_hosts().len() + self.remote_hosts_with_store().len()
    }

    /// Returns the addresses of random peers that can reach the store, in the order in which to
    /// call them: up to `max` of this host's cell, then up to `max` of others. The store may have
    /// refused the whole cell a moment ago without its hosts having reported it.
    pub(crate) fn sample_with_store(&self, max: usize) -> Vec<SocketAddr> {
        let (item_hosts, remote_hosts) = (self.item_hosts(), self.remote_hosts_with_store());
        let known = lock(&self.known);
        let mut rng = rand::rng();
        let local = item_hosts.sample(&mut rng, max);
        let remote = remote_hosts.sample(&mut rng, max);
        local
            .chain(remote)
            .filter_map(|host| known.get(host).map(|peer| peer.addr))
            .collect()
    }

    /// Calls a peer about a job, and reserves this many copies of its answer before it is read.
    ///
    /// # Errors
    ///
    /// The error says whether the peer may have executed the call.
    pub(crate) async fn call(
        &self,
        intake: &Intake,
        copies: u64,
        addr: SocketAddr,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(Bytes, Reservation), CallError> {
        rpc::call_within_budget(intake, copies, addr, body, timeout).await
    }

    /// Returns whether this host is the one of its cell that should take over a job.
    pub(crate) fn is_successor(&self, own: &str, job: &str) -> bool {
        self.is_among_successors(own, job, 1)
    }

    /// Returns whether this host is one of several of its cell that share a task redundantly.
    pub(crate) fn is_among_successors(&self, own: &str, task: &str, count: usize) -> bool {
        let item_hosts = self.item_hosts();
        let mut hosts: Vec<&str> = item_hosts.iter().map(String::as_str).collect();
        hosts.push(own);
        rendezvous::top_ranked(task, &hosts, count).contains(&own)
    }
}

/// Returns whether this host may take over the jobs of another one that has possibly failed.
pub(crate) fn is_responsible_for(ctx: &Context, host: &str) -> bool {
    cell::is_responsible_for(ctx, host)
}

/// Returns whether a task of the whole fleet is assigned to this host's cell.
pub(crate) fn is_assigned_to_own_cell(ctx: &Context, task: &str) -> bool {
    cell::is_assigned_to_own_cell(ctx, task)
}

/// Starts to communicate with other hosts.
pub(crate) fn start(ctx: &Arc<Context>, socket: UdpSocket, listeners: Vec<TcpListener>) {
    // The context is new, so the socket was not set before.
    let _ = ctx.peers.socket.set(socket);
    let until = Until::Phase(Phase::Stopped);
    ctx.spawn_duty("register host", Until::Done, host_list::register);
    ctx.spawn_duty("follow hosts", until, follow_hosts);
    ctx.distributor.set_links(links::new(ctx));
    ctx.spawn_duty("announce changes", until, |ctx| {
        let ticks = ctx.timer.subscribe(spread::TICK);
        spread::run_reader(Arc::clone(&ctx.distributor), ticks, ctx.phase.subscribe())
    });
    ctx.spawn_duty("catch up with changes", until, |ctx| {
        spread::catch_up(Arc::clone(&ctx.distributor), ctx.phase.subscribe())
    });
    ctx.spawn_duty("contact seeds", Until::Done, contact::run);
    let number = Arc::new(AtomicU64::new(0));
    ctx.spawn_duty("send status", until, move |ctx| {
        status::run_sender(ctx, Arc::clone(&number))
    });
    ctx.spawn_duty("receive status", until, status::run_receiver);
    ctx.spawn_duty("relay status", until, relay::run);
    ctx.spawn_duty("send cell status", until, cell::run);
    ctx.spawn_duty("decide role", Until::Done, bootstrap::run);
    ctx.spawn_duty("report suspects", until, suspects::send_periodic_reports);
    ctx.spawn_duty("request departures", Until::Done, departures::catch_up);
    ctx.spawn_duty("request versions", until, versions::run);
    ctx.spawn_duty("detect failed hosts", until, sweep);
    for listener in listeners {
        let listener = Arc::new(listener);
        ctx.spawn_duty("serve hosts", until, move |ctx| {
            rpc::serve(ctx, Arc::clone(&listener))
        });
    }
}

async fn follow_hosts(ctx: Arc<Context>) {
    let list_ctx = Arc::clone(&ctx);
    let source = Source {
        from: Box::new(move || Some(host_list::end(&list_ctx)).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: true,
    };
    let sink = |attempt| host_list::apply_read(&ctx, attempt);
    ctx.follower()
        .follow(Topic::Hosts, host_list::POLL_CONFIG, source, sink)
        .await;
}

/// Returns the number of hosts that notify one another of each change, including this one.
fn local_host_count(ctx: &Context) -> u32 {
    let known = lock(&ctx.peers.known);
    let local = known
        .values()
        .filter(|peer| peer.is_alive && relay::is_local(ctx, peer));
    u32::try_from(local.count() + 1).unwrap_or(u32::MAX)
}

/// Detects peers that have failed.
async fn sweep(ctx: Arc<Context>) {
    let down = ms(ctx.settings.peers.down_ms);
    let mut ticks = ctx.timer.subscribe(SWEEP_INTERVAL);
    let mut lateness = Lateness::new(SWEEP_INTERVAL, Instant::now());
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let now = Instant::now();
        let late = lateness.tick(now);
        let mut lost = Vec::new();
        for (host, peer) in lock(&ctx.peers.known).iter_mut() {
            // Messages that arrived while this process was stalled have not been read yet.
            peer.last_received = peer.last_received.map(|at| (at + late).min(now));
            let silence = peer.last_received.map(|at| at.elapsed());
            if peer.is_alive && silence.is_some_and(|s| s >= down) {
                peer.is_alive = false;
                lost.push((host.clone(), silence));
            }
        }
        for (host, silence) in lost {
            slog::warn!(ctx.logger, "host down"; "peer" => host.as_str(),
                "silent_ms" => silence.map(|s| s.as_millis()));
            ctx.metrics.count(Counted::Changes, "host down");
            *lock(&ctx.peers.peer_lost_at) = Some(Instant::now());
            lock(&ctx.balancer).remove_peer(&host);
            ctx.items.remove_peer(&host);
            ctx.request_queue.remove_peer(&host);
            ctx.items.wake();
        }
        suspects::update_reach(&ctx);
        host_list::forget_left(&ctx);
        host_list::mark_silent(&ctx);
        ctx.request_queue.set_host_count(local_host_count(&ctx));
    }
}
