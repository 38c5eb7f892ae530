//! Distributes the store's log within a data centre.
//!
//! In a fleet that is divided into cells, one host of each data centre reads the
//! configuration, the targets and the host list, and announces changes and the age of its
//! reading to the others by datagram. [`notchwharf_spread`] selects the reader, builds the
//! forwarding tree and estimates message delays. A host that misses more than a datagram
//! holds requests it from the sender. In a smaller fleet every host reads the log itself.
//!
//! Access to peers is provided through [`Links`].

mod announcing;
mod catching_up;
mod checking;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::BoxFuture;
use notchwharf_listen::Phase;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::records;
use notchwharf_proto::records::Announcement;
use notchwharf_routing::balancer::HostId;
use notchwharf_spread::delay::DelayEstimator;
use notchwharf_spread::readers;
use notchwharf_spread::readers::Timeouts;
use notchwharf_spread::tree;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use self::announcing::Announced;
use self::catching_up::Missing;
pub(crate) use self::catching_up::catch_up;
use self::checking::Check;
use crate::catalog::Catalog;
use crate::catalog::PeerReading;
use crate::catalog::Versions;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::store::Store;
use crate::sync::lock;
use crate::time::millis;

/// Period of reader selection and of checks for changes to announce.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Ticks between two computations of this host's rank; the host list rarely changes.
const RANK_TICKS: u32 = 10;
/// Maximum number of targets per response, about 16 ms on the narrowest link.
pub(crate) const RESPONSE_TARGETS_MAX: usize = 1_000;

/// Dependencies of the distributor on this host.
pub(crate) struct Dependencies {
    pub(crate) host: HostId,
    pub(crate) incarnation: u64,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) store: Store,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
    /// Time after its record within which a leaving target receives no new requests.
    pub(crate) drain_time: Duration,
}

/// A host of the data centre.
pub(crate) type Neighbour = (HostId, SocketAddr);

/// Sends a datagram to an address.
type SendMessage = Box<dyn Fn(SocketAddr, &PeerMessage) + Send + Sync>;

/// Operations on the other hosts.
pub(crate) struct Links {
    /// Returns the other hosts of the data centre; `None` in a fleet of a single cell.
    pub(crate) neighbours: Box<dyn Fn() -> Option<Vec<Neighbour>> + Send + Sync>,
    /// Returns a peer with newer versions than this host.
    pub(crate) newer_peer: Box<dyn Fn() -> Option<SocketAddr> + Send + Sync>,
    /// Sends a datagram.
    pub(crate) send: SendMessage,
    /// Requests changes from a host.
    pub(crate) request: Box<
        dyn Fn(SocketAddr, records::ChangesRequest) -> BoxFuture<'static, ChangesResult>
            + Send
            + Sync,
    >,
    /// Returns the offset up to which the host list is known.
    pub(crate) hosts_end: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Applies operator records and changes of the host list.
    pub(crate) apply:
        Box<dyn Fn(OperatorRecords, records::Hosts) -> BoxFuture<'static, ()> + Send + Sync>,
    /// Notifies the users of targets of a change.
    pub(crate) targets_changed: Box<dyn Fn() + Send + Sync>,
}

/// Operator records received from a peer; `None` for those that are not newer.
pub(crate) struct OperatorRecords {
    pub(crate) config: Option<records::Config>,
    pub(crate) evacuated: Option<records::Evacuated>,
}

/// The response to a request for changes, or the reason why there is none.
pub(crate) type ChangesResult = Result<records::ChangesResponse, &'static str>;

/// Follows the reader of the log, or reads and announces it.
pub(crate) struct Distributor {
    deps: Dependencies,
    timeouts: Timeouts,
    links: std::sync::OnceLock<Links>,
    started: Instant,
    state: Mutex<State>,
    /// Whether this host reads the log itself.
    is_reader: watch::Sender<bool>,
    missing: Mutex<Missing>,
    is_behind: Notify,
}

#[derive(Debug)]
struct State {
    /// The rank among the hosts of the data centre; `None` in a fleet of a single cell.
    rank: Option<usize>,
    /// When fresh state was last received from any reader, and from one ranked before this
    /// host.
    last_received: Instant,
    last_received_ranked_before: Instant,
    /// Keyed by incarnation as well, since a reader's clock restarts with it.
    delays: DelayEstimator<(HostId, u64)>,
    announced: Announced,
    check: Check,
}

impl Distributor {
    pub(crate) fn new(deps: Dependencies) -> Self {
        let now = Instant::now();
        Self {
            timeouts: Timeouts::for_deadline(deps.drain_time),
            deps,
            links: std::sync::OnceLock::new(),
            started: now,
            state: Mutex::new(State {
                rank: None,
                last_received: now,
                last_received_ranked_before: now,
                delays: DelayEstimator::default(),
                announced: Announced::default(),
                check: Check::default(),
            }),
            is_reader: watch::Sender::new(true),
            missing: Mutex::default(),
            is_behind: Notify::new(),
        }
    }

    /// Sets how other hosts are reached; does nothing if that is set.
    pub(crate) fn set_links(&self, links: Links) {
        let _ = self.links.set(links);
    }

    /// Returns a receiver of whether this host reads the log itself.
    pub(crate) fn is_reader(&self) -> watch::Receiver<bool> {
        self.is_reader.subscribe()
    }

    /// Records that another host has newer versions.
    pub(crate) fn record_newer_versions(&self, addr: SocketAddr, versions: Versions) {
        if self.deps.catalog.is_behind(versions) {
            self.add_missing(Missing {
                versions,
                source: Some(addr),
                ..Missing::default()
            });
        }
    }

    /// Applies an announcement and forwards it.
    pub(crate) fn receive(&self, addr: SocketAddr, mut message: Announcement) {
        let Some(links) = self.links.get() else {
            return;
        };
        let forward_to = std::mem::take(&mut message.forward_to);
        self.forward(links, &forward_to, &message);
        let now = Instant::now();
        let reading = self.record_announcement(&message, now);
        let announced = Missing {
            versions: Versions {
                config: message.config,
                targets: 0,
            },
            targets_to: message.targets.to,
            hosts: message.hosts,
            source: Some(addr),
        };
        if self
            .deps
            .catalog
            .apply_peer_targets(message.targets, reading, now)
        {
            (links.targets_changed)();
        }
        if let Some(as_of) = reading.config_as_of {
            self.deps
                .catalog
                .record_peer_confirmation(message.config, as_of);
        }
        if self.lacks(links, &announced) {
            self.add_missing(announced);
        }
    }

    /// Records the announcement of a reader; returns its reading on this host's clock.
    fn record_announcement(&self, message: &Announcement, now: Instant) -> PeerReading {
        let mut state = lock(&self.state);
        let now_ms = millis(now - self.started);
        let sender = (message.reader.clone(), message.incarnation);
        state
            .delays
            .retain(|(host, start)| *host != sender.0 || *start == sender.1);
        let delay = state.delays.observe(sender, message.sent_ms, now_ms);
        let reading = PeerReading::from_peer(&message.reading, delay, now);
        if !reading.is_store_serving() || delay >= self.timeouts.takeover_after {
            return reading;
        }
        let last_received = now - delay;
        state.last_received = state.last_received.max(last_received);
        if readers::ranks_before(&message.reader, &self.deps.host) {
            state.last_received_ranked_before =
                state.last_received_ranked_before.max(last_received);
        }
        reading
    }

    fn forward(&self, links: &Links, addrs: &[SocketAddr], message: &Announcement) {
        for branch in tree::split(addrs, tree::FANOUT) {
            let datagram = PeerMessage::Announcement(Announcement {
                forward_to: branch.forward_to,
                ..message.clone()
            });
            (links.send)(branch.receiver, &datagram);
            self.deps.metrics.count(Counted::Datagrams, "told on");
        }
    }

    /// Updates whether this host reads the log.
    fn update_role(&self, now: Instant) {
        let state = lock(&self.state);
        let was_reader = *self.is_reader.borrow();
        let last_received = match was_reader {
            true => state.last_received_ranked_before,
            false => state.last_received,
        };
        let silence = now.saturating_duration_since(last_received);
        let is_store_up = self.deps.store.is_up();
        let rank = state.rank;
        drop(state);
        let is_reader = match rank {
            None | Some(0) => true,
            // The host ranked first probes an unavailable store.
            Some(rank) => readers::should_read(rank, silence, self.timeouts) && is_store_up,
        };
        if is_reader == was_reader {
            return;
        }
        self.is_reader.send_replace(is_reader);
        self.deps.metrics.set("reads_log", usize::from(is_reader));
        slog::info!(self.deps.logger, "log reader role changed"; "is_reader" => is_reader,
            "rank" => rank, "silence_ms" => millis(silence));
    }
}

/// Updates whether this host reads the log, and announces what it has read, until the host stops.
pub(crate) async fn run_reader(
    distributor: Arc<Distributor>,
    mut ticks: mpsc::Receiver<Instant>,
    phase: watch::Receiver<Phase>,
) {
    let Some(links) = distributor.links.get() else {
        return;
    };
    let mut neighbours = None;
    let mut number: u32 = 0;
    while ticks.recv().await.is_some() && *phase.borrow() != Phase::Stopped {
        if number.is_multiple_of(RANK_TICKS) || neighbours.is_none() {
            neighbours = (links.neighbours)();
            let rank = neighbours.as_ref().map(|neighbours| {
                let hosts = neighbours.iter().map(|(host, _)| host.as_str());
                readers::rank(&distributor.deps.host, hosts)
            });
            lock(&distributor.state).rank = rank;
        }
        number = number.wrapping_add(1);
        let now = Instant::now();
        distributor.update_role(now);
        if let Some(neighbours) = &neighbours
            && *distributor.is_reader.borrow()
        {
            distributor.announce(links, neighbours, now);
            distributor.send_checksum(links, neighbours, now);
        }
    }
}
