//! Load balancing among hosts that share all targets.
//!
//! A target runs a fixed number of requests concurrently, its slots, and queues the rest in
//! order of arrival. Every host counts the requests that it runs itself and receives the counts
//! of its peers, so each host knows within milliseconds which slots are free, without querying
//! targets. Online requests are sent to a target with a free slot. If there is none, an item
//! of a batch job is preempted to free one, since it can be resumed later on any target.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::balancer::{Balancer, Config, Criteria, SlotSource, Spec};
//!
//! let now = Instant::now();
//! let mut balancer = Balancer::new(Config { reserve: 0, ..Config::default() }, 7);
//! let spec = Spec { service: "s".into(), data_centre: "d".into(), slots: 1, ..Spec::default() };
//! balancer.upsert("t1", spec);
//! let criteria = Criteria { service: "s", data_centre: "d", affinity: 0, tried: &[], objective: None, ahead: Default::default(), version: None };
//! let item = balancer.choose_batch(&criteria, now).unwrap();
//! balancer.begin_batch(&item);
//! let choice = balancer.choose_online(&criteria, now).unwrap();
//! assert_eq!(choice.slot_source, SlotSource::PreemptOwn);
//! ```
//!
//! Alternatives rejected: querying targets for their load (each query is a request, and the
//! reported load is some hundred milliseconds old), and a lease holder per target as in
//! [`crate::slots`] (assigning a slot costs a round trip before the request is sent).

mod choice;
mod closed;
mod counts;
mod free;
mod health;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::items::peer_queues::Ahead;

pub use self::counts::Load;
use self::counts::Peer;
pub use self::free::Availability;
use self::health::Health;

/// The name of a target. A restarted target may keep it, see [`Spec::started_unix_ms`].
pub type TargetId = String;
/// The name of a host.
pub type HostId = String;
/// A hash of a target's name, which identifies the target in messages between hosts.
pub type TargetKey = u32;
/// The version of a target's software, compared for equality only.
pub type TargetVersion = String;

/// Time for which no item is started at a target whose slots online requests had filled.
///
/// During a burst the slots are taken again within this time, and every restart of an item
/// processes its prompt again. It is the time after which one of eight slots is released; with
/// 200 ms, items paused for a tenth of the time between bursts. A target filled by items has no
/// such cooldown, which left slots idle while items were waiting.
const FULL_COOLDOWN: Duration = Duration::from_millis(60);
/// Time for which free slots are left to hosts with earlier items: twice the delay of updates
/// between data centres, so that a slow or frozen host does not block the others.
const YIELD_TIMEOUT: Duration = Duration::from_millis(30);
/// Weight of a new measurement in the moving average of request durations.
const DURATION_WEIGHT: f64 = 0.05;

/// Configuration of a [`Balancer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Slots that items leave free for online requests: at least this number over all targets of a
    /// service, and at most this number per target on average.
    pub reserve: u32,
    /// Requests that may wait in a target's queue per slot before further ones are rejected.
    /// 3 by default: a slot is released several times a second, so the wait in a longer queue
    /// exceeds any latency objective.
    pub queue_per_slot: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reserve: 1,
            queue_per_slot: 3,
        }
    }
}

/// Maximum number of slots of a target. Slots of all targets are added up in 32 bits.
pub const SLOTS_MAX: u32 = 1 << 16;
/// Maximum time for which a target is cold.
pub const COLD_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// The properties of a target. Whoever decodes them keeps to [`SLOTS_MAX`] and [`COLD_MAX`], so that no
/// sum exceeds its type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The service that it provides.
    pub service: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and must not receive new requests.
    pub is_leaving: bool,
    /// The wall-clock time at which it started, if reported. A different value under the same
    /// name means that the target restarted and lost its state.
    pub started_unix_ms: Option<u64>,
    /// Remaining time for which the target is cold and sustains a lower request rate.
    pub cold_left: Duration,
    /// The version of its software; `None` if it is not known.
    pub version: Option<TargetVersion>,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            service: String::new(),
            data_centre: String::new(),
            addr: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            slots: 1,
            is_leaving: false,
            started_unix_ms: None,
            cold_left: Duration::ZERO,
            version: None,
        }
    }
}

/// The criteria by which a target is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The requested service.
    pub service: &'a str,
    /// The data centre of this host.
    pub data_centre: &'a str,
    /// A hash of the prompt prefix shared among requests.
    pub affinity: u64,
    /// Targets that were already tried and are excluded.
    pub tried: &'a [TargetId],
    /// The time to the first event that the caller expects at most; `None` if there is no limit.
    pub objective: Option<Duration>,
    /// Earlier items of other hosts, for which free slots are left.
    pub ahead: Ahead,
    /// The version at which a stream or a text goes on; `None` if any target may run the
    /// request.
    pub version: Option<&'a str>,
}

impl Criteria<'_> {
    /// Returns whether a target may run the request. Each choice of a target asks this, so that
    /// no stream holds events of two versions.
    fn allow(&self, spec: &Spec) -> bool {
        let is_version_allowed = match self.version {
            Some(version) => spec.version.as_deref() == Some(version),
            None => true,
        };
        spec.service == self.service && is_version_allowed
    }
}

/// How a request obtains a slot of the chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotSource {
    /// A slot is free.
    Free,
    /// An item of this host must be preempted.
    PreemptOwn,
    /// An item of the given peer must be preempted.
    PreemptPeer(HostId),
    /// The request waits in the target's queue.
    Queue,
}

/// The target for an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// The version of its software, if known.
    pub version: Option<TargetVersion>,
    /// How the request obtains a slot there.
    pub slot_source: SlotSource,
}

/// Why no target was chosen. The request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target provides the service.
    NoTarget {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// Every target that provides the service is full.
    Full {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Target {
    key: TargetKey,
    spec: Spec,
    /// Whether the target receives no new requests because it is leaving or its data centre
    /// is evacuated.
    is_closed: bool,
    /// The maximum number of concurrent requests; below `spec.slots` while the target is cold
    /// and its rate is limited.
    slots: u32,
    /// Requests of this host.
    own: Load,
    /// Requests of all other hosts, as last reported.
    others: Load,
    /// Number of peers that report the target as failing.
    failing_peers: u32,
    /// When online requests were last known to occupy all slots.
    full_at: Option<Instant>,
    health: Health,
}

impl Target {
    fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.failing_peers > 0 || self.health.is_ejected(now)
    }

    fn update_full_at(&mut self, now: Instant) {
        if self.load().online >= self.slots {
            self.full_at = Some(now);
        }
    }

    /// Returns whether online requests recently filled it, in which case an item started there
    /// is likely to be preempted before it makes progress.
    fn was_recently_full(&self, now: Instant) -> bool {
        let elapsed = self.full_at.map(|at| now.saturating_duration_since(at));
        elapsed.is_some_and(|elapsed| elapsed < FULL_COOLDOWN)
    }

    /// Returns the number of free slots that items may take.
    fn free_for_items(&self, now: Instant) -> u32 {
        if self.was_recently_full(now) {
            return 0;
        }
        self.free()
    }

    /// Returns whether the concurrency limit is below the number of slots. Requests must not
    /// be queued at such a target, since it would run them immediately.
    fn is_limited(&self) -> bool {
        self.slots < self.spec.slots
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.load().total())
    }
}

/// The targets, their load and their health as known to one host.
#[derive(Debug)]
pub struct Balancer {
    cfg: Config,
    targets: HashMap<TargetId, Target>,
    keys: HashMap<TargetKey, TargetId>,
    /// Targets at which this host runs requests.
    active: HashSet<TargetId>,
    /// Data centres whose targets receive no new requests.
    evacuated: HashSet<String>,
    /// The times until which targets are cold.
    cold_until: HashMap<TargetId, Instant>,
    /// The rates that cold targets of a service sustain, in requests per second.
    cold_rates: HashMap<String, f64>,
    peers: HashMap<HostId, Peer>,
    /// The total load of the hosts of each other cell (see [`crate::cells`]), by cell name.
    cells: HashMap<String, Peer>,
    /// The average duration of online requests by service, in seconds.
    durations_s: HashMap<String, f64>,
    /// The time since which a service's targets have had slots for items.
    open_since: HashMap<String, Instant>,
    rng: ChaCha8Rng,
}

/// Returns the key of a target.
pub fn key_of(id: &str) -> TargetKey {
    // The low half of the hash is as uniformly distributed as the whole.
    xxh3_64(id.as_bytes()) as TargetKey
}

impl Balancer {
    /// Returns a balancer without targets.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            keys: HashMap::new(),
            active: HashSet::new(),
            evacuated: HashSet::new(),
            cold_until: HashMap::new(),
            cold_rates: HashMap::new(),
            peers: HashMap::new(),
            cells: HashMap::new(),
            durations_s: HashMap::new(),
            open_since: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds a target or updates its properties.
    pub fn upsert(&mut self, id: &str, spec: Spec) {
        let is_closed = spec.is_leaving || self.evacuated.contains(&spec.data_centre);
        if let Some(target) = self.targets.get_mut(id) {
            target.is_closed = is_closed;
            if !self.cold_until.contains_key(id) {
                target.slots = spec.slots;
            }
            if target.spec.started_unix_ms != spec.started_unix_ms {
                // The target restarted: earlier responses and load don't apply any more.
                target.health = Health::default();
                target.full_at = None;
            }
            target.spec = spec;
            return;
        }
        let key = key_of(id);
        let mut others = Load::default();
        let mut failing_peers = 0;
        for peer in self.peers.values() {
            others.add(peer.load(key).unwrap_or_default());
            failing_peers += u32::from(peer.failing.contains(&key));
        }
        for cell in self.cells.values() {
            others.add(cell.load(key).unwrap_or_default());
        }
        let target = Target {
            key,
            is_closed,
            slots: spec.slots,
            spec,
            own: Load::default(),
            others,
            failing_peers,
            full_at: None,
            health: Health::default(),
        };
        self.keys.insert(key, id.to_owned());
        self.targets.insert(id.to_owned(), target);
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) {
        if let Some(target) = self.targets.remove(id) {
            self.keys.remove(&target.key);
            self.active.remove(id);
            self.cold_until.remove(id);
        }
    }

    /// Returns the properties of a target.
    pub fn spec(&self, id: &str) -> Option<&Spec> {
        self.targets.get(id).map(|t| &t.spec)
    }

    /// Returns the name of the target with the given key.
    pub fn id_of(&self, key: TargetKey) -> Option<&TargetId> {
        self.keys.get(&key)
    }

    /// Returns the names of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Records that a target could not be reached or closed the connection mid-response.
    pub fn record_connection_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_connection_failure(now);
        }
    }

    /// Records that a target responded to an online request with a failure.
    pub fn record_request_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_request_failure(now);
        }
    }

    /// Records that a target responded to an item with a failure, which the item itself may
    /// have caused.
    pub fn record_item_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_item_failure(now);
        }
    }

    /// Records that a target rejected a request because it was full.
    pub fn record_rejection(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_rejection(now);
        }
    }

    /// Records the total duration of an online request of a service.
    pub fn record_duration(&mut self, service: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.durations_s.get_mut(service) {
            Some(mean) => *mean += (took - *mean) * DURATION_WEIGHT,
            None => {
                self.durations_s.insert(service.to_owned(), took);
            }
        }
    }

    /// Records that a target responded normally, with the time to the first event if nothing
    /// but the target delayed it.
    pub fn record_success(&mut self, id: &str, first_event: Option<Duration>) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_success(first_event);
        }
    }
}
