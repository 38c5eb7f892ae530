//! Whom to probe, what to tell, and who is taken for dead.
//!
//! Each host probes one peer in turn, asks others to probe for it before it
//! suspects, and lets a suspect deny it before it counts as down. Facts ride
//! on probes and their answers. Feed [`Gossip::step`] and send what it says.
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
//! The price of probing one peer at a time is that a death is noticed after a
//! probe round and the suspicion time, a few seconds, and not at once. What
//! must be known faster comes from failed calls.

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

use crate::fact::Address;
use crate::fact::Fact;
use crate::fact::Health;
use crate::fact::Host;
use crate::fact::HostId;
use crate::fact::Key;
use crate::fact::Target;
use crate::spread::Spread;
use crate::spread::encoded_len;

use self::probe::Probe;

/// Bytes of facts in one datagram, so that it fits an Ethernet frame.
const FACTS_BYTES_MAX: usize = 1_100;
/// Least time between two tellings of news apart from probes.
const PUSH_PAUSE: Duration = Duration::from_millis(40);
/// Peers told of news at a time.
const PUSH_PEERS: usize = 2;
/// Least time between two full tellings to one peer.
const SYNC_PAUSE: Duration = Duration::from_secs(5);

/// How gossip behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time a suspect has to deny it.
    pub suspicion_timeout: Duration,
}

impl Config {
    /// Returns a configuration that suits hosts a few milliseconds apart.
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            probe_interval: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A datagram came.
    Datagram(Vec<u8>),
    /// A fact is known from elsewhere: the list, a call, this host itself.
    Fact(Fact),
    /// This host leaves.
    Leave,
}

/// What is to be done, and what is news.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send.
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
    /// Answer, please; the second field is for whom the sender asks.
    Ping(u64, Option<HostId>),
    /// The answer to a ping.
    Ack(u64, Option<HostId>),
    /// Probe that host for the sender, please.
    Help(u64, HostId),
    /// Nothing but facts.
    Tell,
}

/// What a host knows of the fleet.
pub struct Gossip {
    cfg: Config,
    spread: Spread,
    suspects: BTreeMap<HostId, Instant>,
    synced: HashMap<HostId, Instant>,
    round: Vec<HostId>,
    telling: Vec<HostId>,
    probe: Option<Probe>,
    next_probe: Instant,
    next_push: Instant,
    seq: u64,
    rng: ChaCha8Rng,
    out: Output,
}

impl Gossip {
    /// Returns the gossip of a host that knows only itself.
    pub fn new(cfg: Config, incarnation: u64, addr: Address, seed: u64, now: Instant) -> Self {
        let me = Host {
            incarnation,
            addr: Some(addr),
            ..Host::default()
        };
        let mut spread = Spread::default();
        spread.merge(Fact::Host(cfg.host.clone(), me));
        Self {
            next_probe: now + cfg.probe_interval,
            next_push: now,
            cfg,
            spread,
            suspects: BTreeMap::new(),
            synced: HashMap::new(),
            round: Vec::new(),
            telling: Vec::new(),
            probe: None,
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Output::default(),
        }
    }

    /// Returns the fact about this host itself.
    pub fn own_fact(&self) -> Fact {
        Fact::Host(self.cfg.host.clone(), self.own())
    }

    /// Returns the hosts known.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.spread.facts().filter_map(|fact| match fact {
            Fact::Host(id, host) => Some((id, host)),
            _ => None,
        })
    }

    /// Returns the targets known.
    pub fn targets(&self) -> impl Iterator<Item = (&String, &Target)> {
        self.spread.facts().filter_map(|fact| match fact {
            Fact::Target(id, target) => Some((id, target)),
            _ => None,
        })
    }

    /// Returns what is known of a thing.
    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.spread.get(key)
    }

    /// Takes an input in and returns what to do and what is news.
    pub fn step(&mut self, now: Instant, input: Input) -> Output {
        match input {
            Input::Tick => self.tick(now),
            Input::Datagram(bytes) => {
                // Anything can arrive on an open port.
                if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
                    self.receive(now, message);
                }
            }
            Input::Fact(fact) => self.learn(now, fact),
            Input::Leave => self.leave(now),
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Instant) {
        self.condemn(now);
        self.watch_probe(now);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.probe_interval;
            self.start_probe(now);
        }
        self.push(now);
    }

    /// Tells news to some peers at once: who holds what, who leaves and who
    /// has work must be known long before the next probe.
    fn push(&mut self, now: Instant) {
        if now < self.next_push || !self.spread.has_fresh() {
            return;
        }
        self.next_push = now + PUSH_PAUSE;
        for _ in 0..PUSH_PEERS {
            if let Some(peer) = self.next_to_tell() {
                self.send(&peer, Kind::Tell);
            }
        }
    }

    /// Returns the next peer to tell news to. Each is told once before any is
    /// told again: drawn anew each time, a fact would miss some host far more
    /// often for the same number of sends.
    fn next_to_tell(&mut self) -> Option<HostId> {
        if self.telling.is_empty() {
            self.telling = self.others();
            self.telling.shuffle(&mut self.rng);
        }
        while let Some(peer) = self.telling.pop() {
            if self.host(&peer).is_some_and(|h| h.health != Health::Down) {
                return Some(peer);
            }
        }
        None
    }

    fn leave(&mut self, now: Instant) {
        let mut own = self.own();
        own.leaving = true;
        self.learn(now, Fact::Host(self.cfg.host.clone(), own));
        for host in self.others() {
            self.send(&host, Kind::Tell);
        }
    }

    fn own(&self) -> Host {
        match self.spread.get(&Key::Host(self.cfg.host.clone())) {
            Some(Fact::Host(_, host)) => host.clone(),
            _ => Host::default(),
        }
    }

    fn host(&self, id: &str) -> Option<&Host> {
        match self.spread.get(&Key::Host(id.to_owned())) {
            Some(Fact::Host(_, host)) => Some(host),
            _ => None,
        }
    }

    fn learn(&mut self, now: Instant, fact: Fact) {
        if !self.spread.merge(fact.clone()) {
            return;
        }
        let Some(merged) = self.spread.get(&fact.key()).cloned() else {
            return;
        };
        if let Fact::Host(id, host) = &merged {
            self.follow_health(now, id, host);
        }
        self.out.changed.push(merged);
    }

    fn follow_health(&mut self, now: Instant, id: &str, host: &Host) {
        if id == self.cfg.host {
            self.deny(host.clone());
            return;
        }
        if host.health == Health::Suspect {
            self.suspects.entry(id.to_owned()).or_insert(now);
        } else {
            self.suspects.remove(id);
        }
    }

    /// Denies that this host is down.
    fn deny(&mut self, mut own: Host) {
        if own.health == Health::Alive {
            return;
        }
        own.beat += 1;
        own.health = Health::Alive;
        self.spread.merge(Fact::Host(self.cfg.host.clone(), own));
    }

    fn receive(&mut self, now: Instant, message: Message) {
        for fact in message.facts {
            self.learn(now, fact);
        }
        self.heard_from(now, &message.from);
        match message.kind {
            Kind::Ping(seq, asker) => self.send(&message.from, Kind::Ack(seq, asker)),
            Kind::Ack(seq, Some(asker)) if asker != self.cfg.host => {
                self.send(&asker, Kind::Ack(seq, None));
            }
            Kind::Ack(seq, _) => {
                if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
                    self.probe = None;
                }
            }
            Kind::Help(seq, host) => self.send(&host, Kind::Ping(seq, Some(message.from.clone()))),
            Kind::Tell => {}
        }
        self.maybe_sync(now, &message.from, message.digest);
    }

    /// Clears a suspicion that this host itself can see is wrong.
    fn heard_from(&mut self, now: Instant, id: &str) {
        let Some(host) = self.host(id) else {
            return;
        };
        if host.health == Health::Alive {
            return;
        }
        // The suspect must deny it itself, or others would go on believing;
        // telling it what is said of it makes it do so at once.
        let fact = Fact::Host(id.to_owned(), host.clone());
        self.spread.merge(fact.clone());
        self.send_facts(id, Kind::Tell, vec![fact]);
        self.suspects.entry(id.to_owned()).or_insert(now);
    }

    /// Tells a peer everything if the two know different things and nothing
    /// is on its way any more.
    fn maybe_sync(&mut self, now: Instant, peer: &str, digest: u64) {
        if self.spread.has_fresh() || digest == self.spread.digest() {
            return;
        }
        let lately = |at: &Instant| now.duration_since(*at) < SYNC_PAUSE;
        if self.synced.get(peer).is_some_and(lately) {
            return;
        }
        self.synced.insert(peer.to_owned(), now);
        let mut batch = Vec::new();
        let mut len = 0;
        let facts: Vec<Fact> = self.spread.facts().cloned().collect();
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

    fn others(&self) -> Vec<HostId> {
        self.hosts()
            .map(|(id, _)| id)
            .filter(|id| **id != self.cfg.host)
            .cloned()
            .collect()
    }

    fn send(&mut self, to: &str, kind: Kind) {
        let facts = self.spread.pick(FACTS_BYTES_MAX);
        self.send_facts(to, kind, facts);
    }

    fn send_facts(&mut self, to: &str, kind: Kind, facts: Vec<Fact>) {
        let addr = self.host(to).and_then(|h| h.addr.as_ref());
        let Some(addr) = addr.map(|a| a.gossip) else {
            return;
        };
        let message = Message {
            from: self.cfg.host.clone(),
            digest: self.spread.digest(),
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
            .field("host", &self.cfg.host)
            .finish_non_exhaustive()
    }
}
