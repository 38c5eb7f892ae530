//! Other hosts: who they are, what they run, and what they know.
//!
//! Hosts find one another in the store and then speak by datagram: each tells
//! all others what it runs as soon as that changes. A host that is cut from the
//! store takes routes and targets from a peer that knows newer ones.
//!
//! The gossip of the membership package was rejected here: it spreads news in
//! rounds, and a place that was taken must be known within milliseconds. Calls
//! between hosts use plain HTTP and not JSON-RPC, since the one there is hands
//! over bytes as they came.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use notchwharf_ledger::rendezvous;
use notchwharf_proto::news;
use notchwharf_proto::news::Cut;
use notchwharf_proto::news::News;
use notchwharf_proto::news::Status;
use notchwharf_routing::places::HostId;
use notchwharf_routing::places::Load;
use notchwharf_routing::places::TargetKey;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::catalog;
use crate::catalog::Snapshot;
use crate::catalog::Versions;
use crate::context::Context;
use crate::context::Phase;
use crate::context::lock;
use crate::context::ms;
use crate::follow::Pace;
use crate::follow::Seen;
use crate::follow::follow;
use crate::metrics::Counted;
use crate::ports::Entry;
use crate::ports::Topic;

/// Bytes of a datagram at most: what UDP carries.
const DATAGRAM_BYTES_MAX: usize = 65_536;
/// How the list of hosts is read. It changes seldom, and a host that is known
/// to one other is known to all by its own datagrams.
const LIST_PACE: Pace = Pace {
    wait: Duration::from_secs(10),
    gap: Duration::from_millis(700),
};
/// Time for which a peer may know newer routes before it is asked for them:
/// the store usually tells everyone within milliseconds.
const AHEAD_MAX: Duration = Duration::from_millis(250);
/// Time for a call of a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before the host's own entry is written again.
const ENTRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between two datagrams to a peer that is down.
const DOWN_BEAT: Duration = Duration::from_secs(1);
/// Time between two tellings of hosts in other data centres, for each of them:
/// many of them are told less often, so that what a host sends stays flat.
const REMOTE_GAP_PER_HOST: Duration = Duration::from_micros(1_500);
/// Time without the store after which a host's jobs are taken over: most
/// outages of one host are shorter, and items take some seconds.
pub(crate) const STORELESS_MAX: Duration = Duration::from_millis(1_500);
/// Time between two calls of peers: one that is ahead is asked at once, the
/// others seldom know more.
const PULL_GAP: Duration = Duration::from_millis(250);
/// Time between two looks at who is down.
const SWEEP: Duration = Duration::from_millis(100);

/// A host's entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Listing {
    addr: SocketAddr,
    data_centre: String,
}

/// Other hosts.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: Mutex<HashMap<HostId, Peer>>,
    dirty: Notify,
    pulled_at: Mutex<Option<Instant>>,
    /// When a peer was last lost or said that it leaves.
    lost_at: Mutex<Option<Instant>>,
    socket: OnceLock<UdpSocket>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    /// Whether it stands in this host's data centre; its entry says so.
    is_near: bool,
    heard: Option<Instant>,
    is_alive: bool,
    told: Option<Instant>,
    ahead_since: Option<Instant>,
    /// Since when it does not reach the store.
    storeless_since: Option<Instant>,
    status: Status,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            is_near: false,
            heard: None,
            is_alive: false,
            told: None,
            ahead_since: None,
            storeless_since: None,
            status: Status::default(),
        }
    }
}

impl Peers {
    /// Returns the number of other hosts that are alive.
    pub(crate) fn alive(&self) -> usize {
        let known = lock(&self.known);
        known.values().filter(|peer| peer.is_alive).count()
    }

    /// Lets peers know soon that something has changed.
    pub(crate) fn tell(&self) {
        self.dirty.notify_one();
    }

    /// Asks a peer to cut an item at a target.
    pub(crate) fn ask_cut(&self, host: &str, target: TargetKey) {
        let addr = lock(&self.known).get(host).map(|p| p.addr);
        if let (Some(addr), Some(socket)) = (addr, self.socket.get()) {
            let bytes = news::encode(&News::Cut(Cut { target }));
            // Lost, the target is overfull and its hosts notice that too.
            let _ = socket.try_send_to(&bytes, addr);
        }
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
    pub(crate) fn keeps_jobs(&self, host: &str) -> bool {
        let known = lock(&self.known);
        known.get(host).is_some_and(|peer| {
            let storeless = peer.storeless_since.map(|at| at.elapsed());
            let reaches_store = storeless.is_none_or(|time| time < STORELESS_MAX);
            peer.is_alive && !peer.status.leaving && reaches_store
        })
    }

    /// Returns whether a peer was lost or left within a time before now.
    pub(crate) fn lost_within(&self, time: Duration) -> bool {
        lock(&self.lost_at).is_some_and(|at| at.elapsed() < time)
    }

    /// Returns the number of peers that reach the store.
    pub(crate) fn with_store(&self) -> usize {
        self.able().len()
    }

    /// Returns whether this host is the one that should take a job over.
    pub(crate) fn is_successor(&self, own: &str, job: &str) -> bool {
        let able = self.able();
        let mut hosts: Vec<&str> = able.iter().map(String::as_str).collect();
        hosts.push(own);
        rendezvous::best(job, &hosts, 1) == [own]
    }
}

/// Starts to speak with other hosts.
pub(crate) fn start(ctx: &Arc<Context>, socket: UdpSocket, listener: TcpListener) {
    // The context is new, so nothing was set in it before.
    let _ = ctx.peers.socket.set(socket);
    tokio::spawn(enter_list(Arc::clone(ctx)));
    tokio::spawn(follow(Arc::clone(ctx), Topic::Hosts, LIST_PACE, take_list));
    tokio::spawn(send(Arc::clone(ctx)));
    tokio::spawn(receive(Arc::clone(ctx)));
    tokio::spawn(sweep(Arc::clone(ctx)));
    tokio::spawn(serve(Arc::clone(ctx), listener));
}

/// Writes this host's entry.
async fn enter_list(ctx: Arc<Context>) {
    let listing = Listing {
        addr: ctx.settings.host.peer_listen,
        data_centre: ctx.settings.host.data_centre.clone(),
    };
    let value = postcard::to_stdvec(&listing).expect("Listings are representable.");
    let entry = Entry {
        key: ctx.host().to_owned(),
        value: Some(value.into()),
    };
    while ctx.phase() < Phase::Leaving {
        let res = ctx.store.append(Topic::Hosts, 0, vec![entry.clone()]).await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(ENTRY_PAUSE).await;
    }
}

/// Drops this host's entry; without it others find out by its silence.
pub(crate) async fn leave_list(ctx: &Context) {
    let entry = Entry {
        key: ctx.host().to_owned(),
        value: None,
    };
    if let Err(err) = ctx.store.append(Topic::Hosts, 0, vec![entry]).await {
        slog::warn!(ctx.logger, "host's entry not dropped"; "error" => err.to_string());
    }
}

fn take_list(ctx: &Arc<Context>, seen: Seen) {
    let (Seen::All(_, records) | Seen::More(_, records)) = seen;
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
        match postcard::from_bytes::<Listing>(&value) {
            Ok(listing) => know(ctx, host, &listing),
            Err(err) => slog::error!(ctx.logger, "unreadable host entry";
                "peer" => host, "error" => err.to_string()),
        }
    }
    ctx.peers.tell();
}

fn know(ctx: &Context, host: HostId, listing: &Listing) {
    let addr = listing.addr;
    let mut known = lock(&ctx.peers.known);
    let peer = known.entry(host.clone()).or_insert_with(|| {
        slog::info!(ctx.logger, "host known"; "peer" => host, "addr" => addr.to_string());
        Peer::new(addr)
    });
    peer.addr = addr;
    peer.is_near = listing.data_centre == ctx.settings.host.data_centre;
}

fn forget(ctx: &Context, host: &str) {
    let is_silent = lock(&ctx.peers.known)
        .get(host)
        .is_some_and(|p| !p.is_alive);
    if is_silent {
        lock(&ctx.peers.known).remove(host);
    }
}

fn own_status(ctx: &Context, number: u64) -> Status {
    let versions = lock(&ctx.catalog).versions();
    let (loads, failing) = {
        let places = lock(&ctx.places);
        let loads = places.own().map(|(target, load)| news::Load {
            target,
            online: load.online,
            batch: load.batch,
        });
        (loads.collect(), places.failing(Instant::now()))
    };
    Status {
        host: ctx.host().to_owned(),
        incarnation: ctx.incarnation,
        number,
        leaving: ctx.phase() >= Phase::Leaving,
        store_up: ctx.store.is_up() && ctx.journal.is_loaded(),
        config: versions.config,
        targets: versions.targets,
        jobs: ctx.journal.jobs().end(),
        loads,
        failing,
    }
}

/// Tells peers what this host runs, when that changes and in each beat.
async fn send(ctx: Arc<Context>) {
    let settings = &ctx.settings.peers;
    let beat = ms(settings.beat_ms);
    let gap = ms(settings.news_ms);
    let mut number = 0;
    let mut far_told = Instant::now();
    let mut is_far_due = true;
    while ctx.phase() != Phase::Stopped {
        let far_gap = far_gap(&ctx);
        let wait = if is_far_due { far_gap } else { beat };
        let wait = wait.saturating_sub(far_told.elapsed());
        let news = tokio::time::timeout(wait, ctx.peers.dirty.notified()).await;
        // Without news the beat, or what others are still to be told, is due.
        is_far_due = news.is_ok() && far_told.elapsed() < far_gap;
        number += 1;
        let bytes = news::encode(&News::Status(own_status(&ctx, number)));
        for addr in receivers(&ctx, !is_far_due) {
            let Some(socket) = ctx.peers.socket.get() else {
                return;
            };
            // Lost, the next one makes up for it.
            let _ = socket.try_send_to(&bytes, addr);
            ctx.metrics.count(Counted::Datagrams, "sent");
        }
        if !is_far_due {
            far_told = Instant::now();
        }
        tokio::time::sleep(gap).await;
    }
}

/// Returns the time between two tellings of hosts in other data centres.
fn far_gap(ctx: &Context) -> Duration {
    let known = lock(&ctx.peers.known);
    let far = known.values().filter(|p| p.is_alive && !p.is_near).count();
    REMOTE_GAP_PER_HOST * u32::try_from(far).unwrap_or(u32::MAX)
}

/// Returns where to send: to peers that live, and now and then to the others
/// and to the hosts that the settings name.
fn receivers(ctx: &Context, with_far: bool) -> Vec<SocketAddr> {
    let now = Instant::now();
    let mut known = lock(&ctx.peers.known);
    let due = known.values_mut().filter(|peer| {
        let rested = peer
            .told
            .is_none_or(|at| now.duration_since(at) >= DOWN_BEAT);
        (peer.is_alive && (peer.is_near || with_far)) || rested
    });
    let mut addrs: Vec<SocketAddr> = due
        .map(|peer| {
            peer.told = Some(now);
            peer.addr
        })
        .collect();
    if !known.values().any(|peer| peer.is_alive) {
        let own = ctx.settings.host.peer_listen;
        let seeds = ctx.settings.host.seeds.iter();
        let seeds = seeds.map(|ip: &IpAddr| SocketAddr::new(*ip, own.port()));
        addrs.extend(seeds.filter(|addr| *addr != own));
    }
    addrs
}

async fn receive(ctx: Arc<Context>) {
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
        match news::decode(&buf[..len]) {
            Some(News::Status(status)) => take_status(&ctx, addr, status),
            Some(News::Cut(cut)) => take_cut(&ctx, cut),
            None => ctx.metrics.count(Counted::Datagrams, "unreadable"),
        }
    }
}

fn take_cut(ctx: &Arc<Context>, cut: Cut) {
    let target = lock(&ctx.places).id_of(cut.target).cloned();
    if let Some(target) = target {
        ctx.items.cut_one(&target);
    }
}

fn take_status(ctx: &Arc<Context>, addr: SocketAddr, status: Status) {
    let host = status.host.clone();
    if host == ctx.host() {
        return;
    }
    let own = lock(&ctx.catalog).versions();
    let theirs = Versions {
        config: status.config,
        targets: status.targets,
    };
    let Some(heard) = note_status(ctx, addr, &status, theirs.is_ahead_of(own)) else {
        return;
    };
    let loads = status.loads.iter().map(|load| {
        let counted = Load {
            online: load.online,
            batch: load.batch,
        };
        (load.target, counted)
    });
    let failing = if heard.is_near {
        status.failing
    } else {
        vec![]
    };
    lock(&ctx.places).peer_runs(&host, loads, failing);
    ctx.journal.told(status.jobs);
    ctx.items.wake();
    if heard.is_new {
        slog::info!(ctx.logger, "host up"; "peer" => host.as_str(),
            "incarnation" => status.incarnation, "addr" => addr.to_string());
        ctx.metrics.count(Counted::Changes, "host up");
        ctx.peers.tell();
    }
    if heard.is_pull_due && may_pull(ctx) {
        tokio::spawn(pull(Arc::clone(ctx), addr));
    }
}

/// What a status says of its sender.
struct Heard {
    /// Whether the host was not alive before.
    is_new: bool,
    /// Whether it stands in this host's data centre.
    is_near: bool,
    /// Whether it has been ahead of this host for long enough to be asked.
    is_pull_due: bool,
}

/// Notes a status; returns nothing if a newer one came before.
fn note_status(ctx: &Context, addr: SocketAddr, status: &Status, is_ahead: bool) -> Option<Heard> {
    let now = Instant::now();
    let mut known = lock(&ctx.peers.known);
    let peer = known
        .entry(status.host.clone())
        .or_insert_with(|| Peer::new(addr));
    let order = (status.incarnation, status.number);
    if order <= (peer.status.incarnation, peer.status.number) {
        return None;
    }
    peer.addr = addr;
    peer.heard = Some(now);
    if status.leaving && !peer.status.leaving {
        *lock(&ctx.peers.lost_at) = Some(now);
    }
    peer.status = status.clone();
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
    let is_long = ahead_since.is_some_and(|since| now.duration_since(since) >= AHEAD_MAX);
    Some(Heard {
        is_new: !std::mem::replace(&mut peer.is_alive, true),
        is_near: peer.is_near,
        is_pull_due: is_ahead && (is_long || !ctx.store.is_up()),
    })
}

/// Returns whether it is time to ask a peer for what it knows.
fn may_pull(ctx: &Context) -> bool {
    let mut pulled_at = lock(&ctx.peers.pulled_at);
    if pulled_at.is_some_and(|at| at.elapsed() < PULL_GAP) {
        return false;
    }
    *pulled_at = Some(Instant::now());
    true
}

/// Notes peers that have fallen silent.
async fn sweep(ctx: Arc<Context>) {
    let down = ms(ctx.settings.peers.down_ms);
    let mut ticks = ctx.timer.subscribe(SWEEP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let mut lost = Vec::new();
        for (host, peer) in lock(&ctx.peers.known).iter_mut() {
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
            lock(&ctx.places).peer_down(&host);
            ctx.items.wake();
        }
    }
}

/// Takes routes and targets from a peer.
async fn pull(ctx: Arc<Context>, addr: SocketAddr) {
    let pulled = tokio::time::timeout(PULL_TIMEOUT, fetch(addr)).await;
    match pulled {
        Ok(Ok(snapshot)) => catalog::take_snapshot(&ctx, snapshot),
        Ok(Err(detail)) => slog::warn!(ctx.logger, "peer not asked";
            "addr" => addr.to_string(), "error" => detail),
        Err(_) => slog::warn!(ctx.logger, "peer not asked";
            "addr" => addr.to_string(), "error" => "timed out"),
    }
}

async fn fetch(addr: SocketAddr) -> Result<Snapshot, String> {
    let socket = TcpStream::connect(addr)
        .await
        .map_err(|err| err.to_string())?;
    let conn = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, conn) = conn.map_err(|err| err.to_string())?;
    tokio::spawn(conn);
    let req = Request::get("/snapshot").header("host", "peer");
    let req = req
        .body(Empty::<Bytes>::new())
        .map_err(|err| err.to_string())?;
    let resp = sender
        .send_request(req)
        .await
        .map_err(|err| err.to_string())?;
    let body = resp
        .into_body()
        .collect()
        .await
        .map_err(|err| err.to_string())?;
    postcard::from_bytes(&body.to_bytes()).map_err(|err| err.to_string())
}

/// Answers peers that ask for routes and targets.
async fn serve(ctx: Arc<Context>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ctx.stopped() => return,
        };
        // Running out of descriptors must not end the service.
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = Arc::clone(&ctx);
        let service = service_fn(move |_: Request<Incoming>| {
            let snapshot = lock(&shared.catalog).snapshot();
            let bytes = postcard::to_stdvec(&snapshot).expect("Snapshots are representable.");
            let body = Full::new(Bytes::from(bytes));
            async move { Ok::<_, std::convert::Infallible>(Response::new(body)) }
        });
        tokio::spawn(async move {
            let conn = hyper::server::conn::http1::Builder::new();
            // A peer that goes away in between asks again.
            let _ = conn.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
