//! Other hosts: who they are, what they run, and what they know.
//!
//! Hosts find one another in the store and then speak by datagram: each tells
//! all others of its cell what it runs as soon as that changes. A host that is cut from the
//! store takes routes and targets from a peer that knows newer ones.
//!
//! The gossip of the membership package was rejected here: it spreads news in
//! rounds, and a place that was taken must be known within milliseconds. Calls
//! between hosts use plain HTTP and not JSON-RPC, since the one there is hands
//! over bytes as they came.

mod cell;
mod contact;
mod host_log;
mod links;
mod list;
mod loading;
mod receivers;
mod relay;
mod rpc;
mod status;
pub(crate) mod suspects;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_config::DataCentreId;
use notchwharf_config::gateway::Peers as Settings;
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
use crate::follower::Source;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::spread;
use crate::sync::lock;
use crate::time::ms;

use self::cell::FAR_WORD_MAX;
use self::cell::Neighbours;
use self::host_log::HostLog;
pub(crate) use self::list::leave;
use self::loading::Loading;
pub(crate) use self::loading::fetch_job_records;
pub(crate) use self::loading::wait_for_role;
use self::relay::Relay;
pub(crate) use self::rpc::CallError;

/// Time without the store after which a host's jobs are taken over: most
/// outages of one host are shorter, and items take some seconds.
pub(crate) const STORE_OUTAGE_MAX: Duration = Duration::from_millis(1_500);

/// Time between two looks at who is down.
const SWEEP: Duration = Duration::from_millis(100);

/// Other hosts.
#[derive(Debug)]
pub(crate) struct Peers {
    known: Mutex<HashMap<HostId, Peer>>,
    dirty: Arc<Notify>,
    /// What hosts elsewhere were last told that this one runs at their targets.
    told_elsewhere: Mutex<BTreeMap<DataCentreId, Vec<(TargetKey, Load)>>>,
    /// When a peer was last lost or said that it leaves.
    lost_at: Mutex<Option<Instant>>,
    socket: OnceLock<UdpSocket>,
    relay: Relay,
    neighbours: Neighbours,
    host_log: Mutex<HostLog>,
    loading: Loading,
    /// Since when the list has this host's own entry.
    entered_at: Mutex<Option<Instant>>,
    /// Whether it had it when this host started.
    was_listed: AtomicBool,
}

/// Another host, as limits know it.
#[derive(Clone, Debug)]
pub(crate) struct QuotaPeer {
    pub(crate) key: HostKey,
    pub(crate) addr: SocketAddr,
    /// Whether it could hold limits.
    pub(crate) could_hold: bool,
    /// Whether it has been silent for so long that it holds none.
    pub(crate) is_silent: bool,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    /// Since when it has been known.
    since: Instant,
    /// Whether the list says that it has long been silent, or is being told.
    is_marked_silent: bool,
    /// Where it stands, once its entry in the store is known.
    data_centre: Option<DataCentreId>,
    heard: Option<Instant>,
    is_alive: bool,
    told: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Since when it does not reach the store.
    storeless_since: Option<Instant>,
    status: Status,
    /// When it last told of its cell, being in another one, and whether it reached
    /// the store.
    far_word: Option<(Instant, bool)>,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            since: Instant::now(),
            is_marked_silent: false,
            data_centre: None,
            heard: None,
            is_alive: false,
            told: None,
            ahead_since: None,
            storeless_since: None,
            status: Status::default(),
            far_word: None,
        }
    }
}

impl Peers {
    /// Returns that no other host is known yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        let cell_hosts_max = usize::try_from(settings.cell_hosts_max).unwrap_or(usize::MAX);
        Self {
            known: Mutex::default(),
            dirty: Arc::default(),
            told_elsewhere: Mutex::default(),
            lost_at: Mutex::default(),
            socket: OnceLock::new(),
            relay: Relay::default(),
            neighbours: Neighbours::new(cell_hosts_max),
            host_log: Mutex::default(),
            loading: Loading::default(),
            entered_at: Mutex::default(),
            was_listed: AtomicBool::new(false),
        }
    }

    /// Returns the number of other hosts of this host's cell that are alive.
    pub(crate) fn alive(&self) -> usize {
        let known = lock(&self.known);
        known.values().filter(|peer| peer.is_alive).count()
    }

    /// Returns the number of other hosts of which it is known where they stand.
    pub(crate) fn listed(&self) -> usize {
        let known = lock(&self.known);
        let listed = known.values().filter(|peer| peer.data_centre.is_some());
        listed.count()
    }

    /// Returns what lets peers know soon that something has changed.
    pub(crate) fn change_notifier(&self) -> Arc<Notify> {
        Arc::clone(&self.dirty)
    }

    /// Lets peers know soon that something has changed.
    pub(crate) fn notify(&self) {
        self.dirty.notify_one();
    }

    /// Sends this host's load to peers immediately, or with the next heartbeat if the fleet
    /// is divided into cells and the target's places are not scarce.
    pub(crate) fn notify_load(&self, is_scarce: bool) {
        if is_scarce || !self.neighbours.cells().is_divided() {
            self.notify();
        }
    }

    /// Returns whether no host can be missing from those that are known. One that is new
    /// to the list waits until those that are new as well have written their entries.
    pub(crate) fn is_fleet_known(&self) -> bool {
        let entered_at = *lock(&self.entered_at);
        let is_settled = entered_at.is_some_and(|at| at.elapsed() >= list::SETTLED_AFTER);
        let was_listed = self.was_listed.load(Ordering::Relaxed);
        self.loading.is_list_read() && (was_listed || is_settled)
    }

    /// Returns all other hosts that are known, for whoever shares limits with them.
    pub(crate) fn quota_peers(&self) -> Vec<QuotaPeer> {
        let known = lock(&self.known);
        let all = known.iter().map(|(host, peer)| QuotaPeer {
            key: host_key(host),
            addr: peer.addr,
            could_hold: peer.is_alive && !peer.status.leaving,
            is_silent: peer.is_marked_silent && !peer.is_alive,
        });
        all.collect()
    }

    /// Sends a datagram; lost, whoever sent it makes up for it.
    pub(crate) fn send_to(&self, addr: SocketAddr, news: &PeerMessage) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(&messages::encode(news), addr);
        }
    }

    fn send_to_host(&self, host: &str, news: &PeerMessage) {
        let addr = lock(&self.known).get(host).map(|p| p.addr);
        if let Some(addr) = addr {
            self.send_to(addr, news);
        }
    }

    /// Asks a peer to cut an item at a target.
    pub(crate) fn request_preemption(&self, host: &str, target: TargetKey) {
        // Lost, the target is overfull and its hosts notice that too.
        self.send_to_host(host, &PeerMessage::Preemption(Preemption { target }));
    }

    /// Returns the addresses of the hosts of some data centres that live.
    fn alive_in(&self, data_centres: &BTreeSet<&DataCentreId>) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let alive = known.values().filter(|peer| {
            let data_centre = peer.data_centre.as_ref();
            peer.is_alive && data_centre.is_some_and(|at| data_centres.contains(at))
        });
        alive.map(|peer| peer.addr).collect()
    }

    /// Hands a place that has fallen free to a request that waits at a peer.
    pub(crate) fn transfer_slot(&self, host: &str, target: TargetKey) {
        // Lost, all see soon that the place is free.
        self.send_to_host(host, &PeerMessage::SlotTransfer(SlotTransfer { target }));
    }

    /// Returns the hosts that can run jobs' items, without this one: they are
    /// alive, stay, and reach the store.
    fn able(&self) -> Vec<HostId> {
        let known = lock(&self.known);
        let able = known
            .iter()
            .filter(|(_, peer)| peer.is_alive && !peer.status.leaving && peer.status.store_up);
        able.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether a peer goes on running the items of its jobs. Without
    /// the store it does for a moment: taken over, its items would run again.
    pub(crate) fn retains_jobs(&self, host: &str) -> bool {
        let known = lock(&self.known);
        known.get(host).is_some_and(|peer| {
            let storeless = peer.storeless_since.map(|at| at.elapsed());
            let reaches_store = storeless.is_none_or(|time| time < STORE_OUTAGE_MAX);
            peer.is_alive && !peer.status.leaving && reaches_store
        })
    }

    /// Returns whether a peer was lost or left within a time before now.
    pub(crate) fn has_lost_peer_within(&self, time: Duration) -> bool {
        lock(&self.lost_at).is_some_and(|at| at.elapsed() < time)
    }

    /// Returns the hosts of other cells that have just said that they reach the
    /// store: the store may turn away a whole data centre.
    fn able_far(&self) -> Vec<HostId> {
        let known = lock(&self.known);
        let able = known.iter().filter(|(_, peer)| {
            let word = peer.far_word;
            word.is_some_and(|(at, store_up)| store_up && at.elapsed() < FAR_WORD_MAX)
        });
        able.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the number of peers that reach the store.
    pub(crate) fn with_store(&self) -> usize {
        self.able().len() + self.able_far().len()
    }

    /// Returns the addresses of some peers that reach the store, in the order in which to
    /// ask them: some of this host's cell, then some of others. The store may have turned
    /// away the whole cell a moment ago, and its hosts have not said so yet.
    pub(crate) fn sample_with_store(&self, most: usize) -> Vec<SocketAddr> {
        let (able, able_far) = (self.able(), self.able_far());
        let known = lock(&self.known);
        let mut rng = rand::rng();
        let near = able.sample(&mut rng, most);
        let far = able_far.sample(&mut rng, most);
        near.chain(far)
            .filter_map(|host| known.get(host).map(|peer| peer.addr))
            .collect()
    }

    /// Calls a peer about a job.
    ///
    /// # Errors
    ///
    /// Returns whether the peer may have done what it was asked for.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        rpc::call(addr, rpc::JOBS, body, timeout).await
    }

    /// Returns whether this host is the one of its cell that should take a job
    /// over.
    pub(crate) fn is_successor(&self, own: &str, job: &str) -> bool {
        let able = self.able();
        let mut hosts: Vec<&str> = able.iter().map(String::as_str).collect();
        hosts.push(own);
        rendezvous::top_ranked(job, &hosts, 1) == [own]
    }
}

/// Returns whether this host looks after the jobs of another that may be gone.
pub(crate) fn is_responsible_for(ctx: &Context, host: &str) -> bool {
    cell::is_responsible_for(ctx, host)
}

/// Returns whether a task of the whole fleet is for a host of this one's cell.
pub(crate) fn is_assigned_to_own_cell(ctx: &Context, task: &str) -> bool {
    cell::is_assigned_to_own_cell(ctx, task)
}

/// Starts to speak with other hosts.
pub(crate) fn start(ctx: &Arc<Context>, socket: UdpSocket, listeners: Vec<TcpListener>) {
    // The context is new, so nothing was set in it before.
    let _ = ctx.peers.socket.set(socket);
    tokio::spawn(list::enter(Arc::clone(ctx)));
    let (shared, list_ctx) = (Arc::clone(ctx), Arc::clone(ctx));
    let source = Source {
        from: Box::new(move || Some(list::end(&list_ctx)).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: true,
    };
    tokio::spawn(
        ctx.follower()
            .follow(Topic::Hosts, list::PACE, source, move |reading| {
                list::take(&shared, reading);
            }),
    );
    let ticks = ctx.timer.subscribe(spread::TICK);
    let links = links::new(ctx);
    spread::start(&ctx.distributor, links, ticks, ctx.phase.subscribe());
    tokio::spawn(contact::run(Arc::clone(ctx)));
    tokio::spawn(status::send(Arc::clone(ctx)));
    tokio::spawn(status::receive(Arc::clone(ctx)));
    tokio::spawn(relay::run(Arc::clone(ctx)));
    tokio::spawn(cell::run(Arc::clone(ctx)));
    tokio::spawn(loading::run(Arc::clone(ctx)));
    tokio::spawn(suspects::send_periodic_reports(Arc::clone(ctx)));
    tokio::spawn(sweep(Arc::clone(ctx)));
    for listener in listeners {
        tokio::spawn(rpc::serve(Arc::clone(ctx), listener));
    }
}

/// Returns the number of hosts that tell one another at each change, with this one.
fn near_hosts(ctx: &Context) -> u32 {
    let known = lock(&ctx.peers.known);
    let near = known
        .values()
        .filter(|peer| peer.is_alive && relay::is_near(ctx, peer));
    u32::try_from(near.count() + 1).unwrap_or(u32::MAX)
}

/// Notes peers that have fallen silent.
async fn sweep(ctx: Arc<Context>) {
    let down = ms(ctx.settings.peers.down_ms);
    let mut ticks = ctx.timer.subscribe(SWEEP);
    let mut lateness = Lateness::new(SWEEP, Instant::now());
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let now = Instant::now();
        let late = lateness.tick(now);
        let mut lost = Vec::new();
        for (host, peer) in lock(&ctx.peers.known).iter_mut() {
            // Messages that arrived while this process was stalled have not been read yet.
            peer.heard = peer.heard.map(|at| (at + late).min(now));
            let silence = peer.heard.map(|at| at.elapsed());
            if peer.is_alive && silence.is_some_and(|s| s >= down) {
                peer.is_alive = false;
                lost.push((host.clone(), silence));
            }
        }
        for (host, silence) in lost {
            slog::warn!(ctx.logger, "host down"; "peer" => host.as_str(),
                "silent_ms" => silence.map(|s| s.as_millis()));
            ctx.metrics.count(Counted::Changes, "host down");
            *lock(&ctx.peers.lost_at) = Some(Instant::now());
            lock(&ctx.balancer).remove_peer(&host);
            ctx.items.remove_peer(&host);
            ctx.waiting.remove_peer(&host);
            ctx.items.wake();
        }
        list::mark_silent(&ctx);
        ctx.waiting.set_host_count(near_hosts(&ctx));
    }
}
