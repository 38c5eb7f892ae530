//! Failure detection and dissemination of facts by gossip.
//!
//! As in SWIM, each host probes its peers one at a time. A peer that does not respond is
//! probed indirectly through other hosts before it is suspected, and a suspected host may
//! refute the suspicion before it is considered down. Facts are piggybacked on probes and
//! their acknowledgements. The caller passes inputs to [`Gossip::step`] and sends the
//! datagrams that it returns.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_membership::fact::{Address, Fact};
//! use notchwharf_membership::gossip::{Config, Gossip, Input};
//!
//! let address = |port| Address {
//!     gossip: ([127, 0, 0, 1], port).into(),
//!     peer_url: String::new(),
//!     data_centre: "dc".into(),
//! };
//! let start = Instant::now();
//! let mut a = Gossip::new(Config::new("a"), 1, address(1), 7, start);
//! let b = Gossip::new(Config::new("b"), 1, address(2), 8, start);
//! a.step(start, Input::Fact(b.own_fact()));
//! let out = a.step(start + Duration::from_secs(2), Input::Tick);
//! assert_eq!(out.sends[0].0, address(2).gossip);
//! ```
//!
//! Since only one peer is probed at a time, a failed host is detected only after a round of
//! probes and the suspicion timeout, which takes a few seconds. Failures that must be detected
//! faster are detected by failed calls.

mod probe;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::dissemination::Dissemination;
use crate::dissemination::encoded_len;
use crate::fact::Address;
use crate::fact::Fact;
use crate::fact::Health;
use crate::fact::Host;
use crate::fact::HostId;
use crate::fact::Key;
use crate::fact::Target;

use self::probe::Probe;

/// Maximum size of the facts in a datagram, so that it fits an Ethernet frame.
const FACTS_BYTES_MAX: usize = 1_100;
/// Minimum time between two pushes of pending facts outside of probes.
const PUSH_INTERVAL_MIN: Duration = Duration::from_millis(40);
/// Peers per push.
const PUSH_FANOUT: usize = 2;
/// Minimum time between two transfers of all facts to the same peer.
const SYNC_INTERVAL_MIN: Duration = Duration::from_secs(5);

/// Configuration of gossip.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this host.
    pub host: HostId,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time within which a suspected host may refute the suspicion.
    pub suspicion_timeout: Duration,
}

impl Config {
    /// Returns a configuration for hosts with a round trip of a few milliseconds.
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            probe_interval: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
        }
    }
}

/// An input of the protocol.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// A fact from another source: the host list, a call, or this host itself.
    Fact(Fact),
    /// This host is leaving.
    Leave,
}

/// Datagrams to send and facts that changed.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send, with their destinations.
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    /// Facts that changed.
    pub changed: Vec<Fact>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Message {
    from: HostId,
    digest: u64,
    kind: Kind,
    facts: Vec<Fact>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Kind {
    /// A probe with its sequence number, and the host that requested it if it is indirect.
    Ping(u64, Option<HostId>),
    /// Acknowledges a probe.
    Ack(u64, Option<HostId>),
    /// Requests an indirect probe of the named host.
    Help(u64, HostId),
    /// Carries only facts.
    Tell,
}

/// The gossip state of a host.
pub struct Gossip {
    config: Config,
    dissemination: Dissemination,
    suspected_at: BTreeMap<HostId, Instant>,
    synced_at: HashMap<HostId, Instant>,
    probe_order: Vec<HostId>,
    push_order: Vec<HostId>,
    probe: Option<Probe>,
    next_probe: Instant,
    next_push: Instant,
    seq: u64,
    rng: ChaCha8Rng,
    out: Output,
}

impl Gossip {
    /// Returns the state of a host that knows only itself.
    pub fn new(config: Config, incarnation: u64, addr: Address, seed: u64, now: Instant) -> Self {
        let this_host = Host {
            incarnation,
            addr: Some(addr),
            ..Host::default()
        };
        let mut dissemination = Dissemination::default();
        dissemination.merge(Fact::Host(config.host.clone(), this_host));
        Self {
            next_probe: now + config.probe_interval,
            next_push: now,
            config,
            dissemination,
            suspected_at: BTreeMap::new(),
            synced_at: HashMap::new(),
            probe_order: Vec::new(),
            push_order: Vec::new(),
            probe: None,
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Output::default(),
        }
    }

    /// Returns the fact about this host itself.
    pub fn own_fact(&self) -> Fact {
        Fact::Host(self.config.host.clone(), self.own_state())
    }

    /// Returns the known hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.dissemination.facts().filter_map(|fact| match fact {
            Fact::Host(id, host) => Some((id, host)),
            _ => None,
        })
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = (&String, &Target)> {
        self.dissemination.facts().filter_map(|fact| match fact {
            Fact::Target(id, target) => Some((id, target)),
            _ => None,
        })
    }

    /// Returns the fact with the given key, if known.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.dissemination.get(key)
    }

    /// Processes an input; returns datagrams to send and facts that changed.
    pub fn step(&mut self, now: Instant, input: Input) -> Output {
        match input {
            Input::Tick => self.tick(now),
            Input::Datagram(bytes) => {
                // Any sender can reach the port, so malformed datagrams are ignored.
                if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
                    self.receive(now, message);
                }
            }
            Input::Fact(fact) => self.apply(now, fact),
            Input::Leave => self.leave(now),
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Instant) {
        self.expire_suspicions(now);
        self.check_probe(now);
        if now >= self.next_probe {
            self.next_probe = now + self.config.probe_interval;
            self.start_probe(now);
        }
        self.push(now);
    }

    /// Pushes pending facts to some peers without waiting for the next probe, since leases,
    /// leaving hosts and backlogs must be known long before it.
    fn push(&mut self, now: Instant) {
        if now < self.next_push || !self.dissemination.has_pending() {
            return;
        }
        self.next_push = now + PUSH_INTERVAL_MIN;
        for _ in 0..PUSH_FANOUT {
            if let Some(peer) = self.next_push_peer() {
                self.send(&peer, Kind::Tell);
            }
        }
    }

    /// Returns the peer to which facts are pushed next. All peers are visited in random order
    /// before any is visited again: with independent random choices, a fact would fail to
    /// reach some host far more often for the same number of sends.
    fn next_push_peer(&mut self) -> Option<HostId> {
        if self.push_order.is_empty() {
            self.push_order = self.peers();
            self.push_order.shuffle(&mut self.rng);
        }
        while let Some(peer) = self.push_order.pop() {
            if self.host(&peer).is_some_and(|h| h.health != Health::Down) {
                return Some(peer);
            }
        }
        None
    }

    fn leave(&mut self, now: Instant) {
        let mut own_state = self.own_state();
        own_state.leaving = true;
        self.apply(now, Fact::Host(self.config.host.clone(), own_state));
        for host in self.peers() {
            self.send(&host, Kind::Tell);
        }
    }

    fn own_state(&self) -> Host {
        match self.dissemination.get(&Key::Host(self.config.host.clone())) {
            Some(Fact::Host(_, host)) => host.clone(),
            _ => Host::default(),
        }
    }

    fn host(&self, id: &str) -> Option<&Host> {
        match self.dissemination.get(&Key::Host(id.to_owned())) {
            Some(Fact::Host(_, host)) => Some(host),
            _ => None,
        }
    }

    fn apply(&mut self, now: Instant, fact: Fact) {
        if !self.dissemination.merge(fact.clone()) {
            return;
        }
        let Some(merged) = self.dissemination.get(&fact.key()).cloned() else {
            return;
        };
        if let Fact::Host(id, host) = &merged {
            self.track_suspicion(now, id, host);
        }
        self.out.changed.push(merged);
    }

    fn track_suspicion(&mut self, now: Instant, id: &str, host: &Host) {
        if id == self.config.host {
            self.refute(host.clone());
            return;
        }
        if host.health == Health::Suspect {
            self.suspected_at.entry(id.to_owned()).or_insert(now);
        } else {
            self.suspected_at.remove(id);
        }
    }

    /// Refutes a suspicion against this host.
    fn refute(&mut self, mut own_state: Host) {
        if own_state.health == Health::Alive {
            return;
        }
        own_state.beat += 1;
        own_state.health = Health::Alive;
        self.dissemination
            .merge(Fact::Host(self.config.host.clone(), own_state));
    }

    fn receive(&mut self, now: Instant, message: Message) {
        for fact in message.facts {
            self.apply(now, fact);
        }
        self.notify_suspect(now, &message.from);
        match message.kind {
            Kind::Ping(seq, requester) => self.send(&message.from, Kind::Ack(seq, requester)),
            Kind::Ack(seq, Some(requester)) if requester != self.config.host => {
                self.send(&requester, Kind::Ack(seq, None));
            }
            Kind::Ack(seq, _) => {
                if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
                    self.probe = None;
                }
            }
            Kind::Help(seq, host) => self.send(&host, Kind::Ping(seq, Some(message.from.clone()))),
            Kind::Tell => {}
        }
        self.sync_if_different(now, &message.from, message.digest);
    }

    /// Notifies a host of a suspicion that its own message shows to be wrong.
    fn notify_suspect(&mut self, now: Instant, id: &str) {
        let Some(host) = self.host(id) else {
            return;
        };
        if host.health == Health::Alive {
            return;
        }
        // Only the suspected host can refute the suspicion for all hosts. Sending it the fact
        // makes it do so immediately.
        let fact = Fact::Host(id.to_owned(), host.clone());
        self.dissemination.merge(fact.clone());
        self.send_facts(id, Kind::Tell, vec![fact]);
        self.suspected_at.entry(id.to_owned()).or_insert(now);
    }

    /// Sends all facts to a peer if the digests differ and no facts are pending that could
    /// explain the difference.
    fn sync_if_different(&mut self, now: Instant, peer: &str, digest: u64) {
        if self.dissemination.has_pending() || digest == self.dissemination.digest() {
            return;
        }
        let is_recent = |at: &Instant| now.duration_since(*at) < SYNC_INTERVAL_MIN;
        if self.synced_at.get(peer).is_some_and(is_recent) {
            return;
        }
        self.synced_at.insert(peer.to_owned(), now);
        let mut batch = Vec::new();
        let mut len = 0;
        let facts: Vec<Fact> = self.dissemination.facts().cloned().collect();
        for fact in facts {
            let add = encoded_len(&fact);
            if len + add > FACTS_BYTES_MAX {
                self.send_facts(peer, Kind::Tell, std::mem::take(&mut batch));
                len = 0;
            }
            len += add;
            batch.push(fact);
        }
        self.send_facts(peer, Kind::Tell, batch);
    }

    fn peers(&self) -> Vec<HostId> {
        self.hosts()
            .map(|(id, _)| id)
            .filter(|id| **id != self.config.host)
            .cloned()
            .collect()
    }

    fn send(&mut self, to: &str, kind: Kind) {
        let facts = self.dissemination.select(FACTS_BYTES_MAX);
        self.send_facts(to, kind, facts);
    }

    fn send_facts(&mut self, to: &str, kind: Kind, facts: Vec<Fact>) {
        let addr = self.host(to).and_then(|h| h.addr.as_ref());
        let Some(addr) = addr.map(|a| a.gossip) else {
            return;
        };
        let message = Message {
            from: self.config.host.clone(),
            digest: self.dissemination.digest(),
            kind,
            facts,
        };
        let bytes = postcard::to_stdvec(&message);
        let bytes = bytes.expect("Messages are always representable.");
        self.out.sends.push((addr, bytes));
    }
}

impl std::fmt::Debug for Gossip {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gossip")
            .field("host", &self.config.host)
            .finish_non_exhaustive()
    }
}
