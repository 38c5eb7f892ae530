//! Balancer of targets, as hosts that share all targets see them.
//!
//! A target runs so many requests at once, its places, and queues the rest in
//! the order of arrival. Every host counts what it runs itself and is told what
//! its peers run, so each knows within milliseconds where places are free, and
//! nobody asks targets. Online requests go where a place is free; where none is,
//! an item of a job is cut to make one, since it can go on elsewhere later.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::balancer::{Config, Balancer, SlotSource, Spec, Criteria};
//!
//! let now = Instant::now();
//! let mut places = Balancer::new(Config { reserve: 0, ..Config::default() }, 7);
//! let spec = Spec { service: "s".into(), data_centre: "d".into(), slots: 1, ..Spec::default() };
//! places.upsert("t1", spec);
//! let want = Criteria { service: "s", data_centre: "d", affinity: 0, tried: &[], objective: None, ahead: Default::default() };
//! let item = places.choose_batch(&want, now).unwrap();
//! places.begin_batch(&item);
//! let choice = places.choose_online(&want, now).unwrap();
//! assert_eq!(choice.room, SlotSource::PreemptOwn);
//! ```
//!
//! Asking targets for their load was rejected: what they report is some hundred
//! milliseconds old, and each question is a request. A holder for each target,
//! as [`crate::slots`] has it, was rejected for this use: a place that it gives
//! away costs a message there and back before the request goes out.

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

/// The name of a target's incarnation.
pub type TargetId = String;
/// The name of a host.
pub type HostId = String;
/// A short form of a target's name, for messages between hosts.
pub type TargetKey = u32;

/// Time for which no item is started at a target that online requests had filled:
/// in a burst its places are taken again within that time, and an item costs its
/// prompt anew with each start. It is as long as a place of eight takes to fall
/// free there; with 200 ms, a tenth of the time between bursts went by before
/// items ran again. A target that items have filled is as good as any: resting
/// there too left places idle all the time that items waited.
const REST: Duration = Duration::from_millis(60);
/// Time for which places are left to other hosts whose items come first: twice
/// what their news takes between data centres, so that a host that does not
/// take its turn, being slow or frozen, holds nobody up.
const TURN: Duration = Duration::from_millis(30);
/// Share of a new measurement in the running mean of durations.
const DURATION_WEIGHT: f64 = 0.05;

/// How places are given away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Balancer of each target that items leave free for online requests.
    pub reserve: u32,
    /// Requests that may wait in a target's queue, for each of its places,
    /// before more are refused. 3 by default: a place falls free several
    /// times a second, so a longer queue outlasts any objective.
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

/// What is known of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The service that it offers.
    pub service: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it must get nothing new.
    pub is_leaving: bool,
    /// The time of day at which it started, if it tells; another one under the
    /// same name means that it started anew and knows nothing of before.
    pub started_unix_ms: Option<u64>,
    /// Remaining time for which the target is cold and sustains a lower request rate.
    pub cold_left: Duration,
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
        }
    }
}

/// What is wanted of a target.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// Where the host stands.
    pub data_centre: &'a str,
    /// A hash of the prompt's shared beginning.
    pub affinity: u64,
    /// Targets that were tried already.
    pub tried: &'a [TargetId],
    /// Time to the first event that the caller hopes for; nothing if any will
    /// do.
    pub objective: Option<Duration>,
    /// Items of other hosts to which free places are left.
    pub ahead: Ahead,
}

/// How the request finds room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotSource {
    /// A place is free.
    Free,
    /// An item of this host is to be cut.
    PreemptOwn,
    /// An item of that peer is to be cut.
    PreemptPeer(HostId),
    /// It waits in the target's queue.
    Queue,
}

/// The target for an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Where it answers.
    pub addr: SocketAddr,
    /// How the request finds room there.
    pub slot_source: SlotSource,
}

/// Why no target was chosen; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target offers the service.
    NoTarget {
        /// When to come back.
        retry_after: Duration,
    },
    /// Every target that offers it is full.
    Full {
        /// When to come back.
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
    own: Load,
    others: Load,
    /// Peers at which it fails.
    failing_at: u32,
    /// When online requests had all its places, as far as known.
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
        self.failing_at > 0 || self.health.is_ejected(now)
    }

    fn note_load(&mut self, now: Instant) {
        if self.load().online >= self.slots {
            self.full_at = Some(now);
        }
    }

    /// Returns whether online requests filled it a moment ago: an item that starts there is
    /// likely to be cut before it gets anywhere.
    fn was_full(&self, now: Instant) -> bool {
        let since = self.full_at.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since < REST)
    }

    /// Returns how many places are open to items.
    fn open(&self, now: Instant) -> u32 {
        if self.was_full(now) {
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

/// Balancer as one host sees them.
#[derive(Debug)]
pub struct Balancer {
    cfg: Config,
    targets: HashMap<TargetId, Target>,
    keys: HashMap<TargetKey, TargetId>,
    /// Targets at which this host runs requests.
    busy: HashSet<TargetId>,
    /// Data centres whose targets receive no new requests.
    evacuated: HashSet<String>,
    /// The times until which targets are cold.
    cold_until: HashMap<TargetId, Instant>,
    /// The rates that cold targets of a service sustain, in requests per second.
    cold_rates: HashMap<String, f64>,
    peers: HashMap<HostId, Peer>,
    /// What the hosts of other cells run, by the cell's name.
    cells: HashMap<String, Peer>,
    /// How long online requests of a service usually take, in seconds.
    durations_s: HashMap<String, f64>,
    /// Since when items have found places at a service's targets.
    open_since: HashMap<String, Instant>,
    rng: ChaCha8Rng,
}

/// Returns the short form of a target's name.
pub fn key_of(id: &str) -> TargetKey {
    // The low half is as good a hash as the whole.
    xxh3_64(id.as_bytes()) as TargetKey
}

impl Balancer {
    /// Returns places without targets.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            keys: HashMap::new(),
            busy: HashSet::new(),
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

    /// Takes in what is known of a target.
    pub fn upsert(&mut self, id: &str, spec: Spec) {
        let is_closed = spec.is_leaving || self.evacuated.contains(&spec.data_centre);
        if let Some(target) = self.targets.get_mut(id) {
            target.is_closed = is_closed;
            if !self.cold_until.contains_key(id) {
                target.slots = spec.slots;
            }
            if target.spec.started_unix_ms != spec.started_unix_ms {
                // How it answered, and that it was full, was before it started anew.
                target.health = Health::default();
                target.full_at = None;
            }
            target.spec = spec;
            return;
        }
        let key = key_of(id);
        let mut others = Load::default();
        let mut failing_at = 0;
        for peer in self.peers.values() {
            others.add(peer.load(key).unwrap_or_default());
            failing_at += u32::from(peer.failing.contains(&key));
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
            failing_at,
            full_at: None,
            health: Health::default(),
        };
        self.keys.insert(key, id.to_owned());
        self.targets.insert(id.to_owned(), target);
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) {
        if let Some(target) = self.targets.remove(id) {
            self.keys.remove(&target.key);
            self.busy.remove(id);
            self.cold_until.remove(id);
        }
    }

    /// Returns what is known of a target.
    pub fn spec(&self, id: &str) -> Option<&Spec> {
        self.targets.get(id).map(|t| &t.spec)
    }

    /// Returns the name behind the short form of a target.
    pub fn id_of(&self, key: TargetKey) -> Option<&TargetId> {
        self.keys.get(&key)
    }

    /// Returns the names of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Notes that a target could not be reached or broke off.
    pub fn record_connection_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.failed(now);
        }
    }

    /// Notes that a target answered that it failed an online request.
    pub fn record_request_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.failed_request(now);
        }
    }

    /// Notes that a target answered that it failed an item, which may be the
    /// item's fault.
    pub fn record_item_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.failed_item(now);
        }
    }

    /// Notes that a target was full and ran nothing of the request.
    pub fn record_rejection(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.refused(now);
        }
    }

    /// Notes how long a whole online request of a service took.
    pub fn record_duration(&mut self, service: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.durations_s.get_mut(service) {
            Some(mean) => *mean += (took - *mean) * DURATION_WEIGHT,
            None => {
                self.durations_s.insert(service.to_owned(), took);
            }
        }
    }

    /// Notes that a target answered, and the time to its first event if there
    /// was nothing else in the request's way.
    pub fn record_success(&mut self, id: &str, first_event: Option<Duration>) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.answered(first_event);
        }
    }
}
