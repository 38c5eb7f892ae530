//! Streams on a simulated fleet: hosts that start again and are cut off, targets of several
//! versions that come and go, copies that are late, lost or repeated, and callers that come
//! back anywhere.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_origins::Lookup;
use notchwharf_origins::Origin;
use notchwharf_origins::Origins;
use notchwharf_origins::StreamKey;
use notchwharf_origins::holders::ASKED_MAX;
use notchwharf_origins::holders::COPIES;
use notchwharf_origins::holders::Candidate;
use notchwharf_origins::holders::ranked;
use notchwharf_origins::key;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Config;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::items::peer_queues::Ahead;
use proptest::prelude::*;

const HOSTS: usize = 6;
const DATA_CENTRES: usize = 3;
const VERSIONS: usize = 3;
/// Few, so that runs reach the bound.
const ORIGINS_MAX: usize = 12;
const KEEP: Duration = Duration::from_secs(10);

/// What becomes of a message.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    ArrivesTwice,
    ArrivesLate,
    IsLost,
}

/// A step, with the fate of the message to each host.
#[derive(Clone, Debug)]
enum Op {
    StartTarget(usize, Vec<Fate>),
    RemoveTarget(usize, Vec<Fate>),
    Begin(usize, Vec<Fate>),
    Resume(usize, usize, Vec<Fate>),
    Restart(usize),
    Cut(usize, bool),
    DeliverLate,
    WaitMs(u64),
}

#[derive(Clone, Debug)]
enum Message {
    Target(String, Option<Spec>),
    Copy(StreamKey, Origin, Instant),
}

struct Host {
    name: String,
    data_centre: String,
    balancer: Balancer,
    origins: Origins,
    is_cut: bool,
}

#[derive(Debug)]
struct Stream {
    id: String,
    /// The versions of the targets whose events the caller has.
    versions: Vec<String>,
}

struct Fleet {
    now: Instant,
    hosts: Vec<Host>,
    targets: HashMap<String, Spec>,
    live: Vec<String>,
    streams: Vec<Stream>,
    late: Vec<(usize, Message)>,
    next_id: u64,
}

fn host(number: usize) -> Host {
    Host {
        name: format!("h{number}"),
        data_centre: format!("d{}", number % DATA_CENTRES),
        balancer: Balancer::new(Config::default(), 1),
        origins: Origins::new(ORIGINS_MAX),
        is_cut: false,
    }
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            hosts: (0..HOSTS).map(host).collect(),
            targets: HashMap::new(),
            live: Vec::new(),
            streams: Vec::new(),
            late: Vec::new(),
            next_id: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::StartTarget(version, fates) => self.start_target(version, &fates),
            Op::RemoveTarget(target, fates) => self.remove_target(target, &fates),
            Op::Begin(host, fates) => self.begin(host, &fates),
            Op::Resume(stream, host, fates) if !self.streams.is_empty() => {
                self.resume(stream % self.streams.len(), host, &fates);
            }
            Op::Resume(..) => {}
            Op::Restart(host) => self.restart(host),
            Op::Cut(host, is_cut) => self.hosts[host].is_cut = is_cut,
            Op::DeliverLate => {
                for (host, message) in std::mem::take(&mut self.late) {
                    self.deliver(host, message);
                }
            }
            Op::WaitMs(ms) => self.now += Duration::from_millis(ms),
        }
    }

    fn send(&mut self, host: usize, message: Message, fate: Fate) {
        match fate {
            Fate::Arrives => self.deliver(host, message),
            Fate::ArrivesTwice => {
                self.deliver(host, message.clone());
                self.deliver(host, message);
            }
            Fate::ArrivesLate => self.late.push((host, message)),
            Fate::IsLost => {}
        }
    }

    fn deliver(&mut self, host: usize, message: Message) {
        let host = &mut self.hosts[host];
        if host.is_cut {
            return;
        }
        match message {
            Message::Target(id, Some(spec)) => host.balancer.upsert(&id, spec),
            Message::Target(id, None) => host.balancer.remove(&id),
            Message::Copy(stream, origin, expires_at) => {
                host.origins.record(stream, &origin, expires_at, self.now);
            }
        }
    }

    fn start_target(&mut self, version: usize, fates: &[Fate]) {
        self.next_id += 1;
        let id = format!("t{}", self.next_id);
        let spec = Spec {
            service: "s".into(),
            data_centre: "d0".into(),
            slots: 1_000,
            version: Some(format!("v{version}")),
            ..Spec::default()
        };
        self.targets.insert(id.clone(), spec.clone());
        self.live.push(id.clone());
        for (host, fate) in fates.iter().enumerate() {
            self.send(host, Message::Target(id.clone(), Some(spec.clone())), *fate);
        }
    }

    fn remove_target(&mut self, target: usize, fates: &[Fate]) {
        if self.live.is_empty() {
            return;
        }
        let id = self.live.remove(target % self.live.len());
        for (host, fate) in fates.iter().enumerate() {
            self.send(host, Message::Target(id.clone(), None), *fate);
        }
    }

    /// Returns the version of the target that a host chooses, if it is still alive.
    fn choose(&mut self, host: usize, version: Option<&str>) -> Option<String> {
        let criteria = Criteria {
            service: "s",
            data_centre: "d0",
            affinity: self.next_id,
            tried: &[],
            objective: None,
            ahead: Ahead::default(),
            version,
        };
        let choice = self.hosts[host].balancer.choose_online(&criteria, self.now);
        let target = choice.ok()?.target;
        let is_live = self.live.contains(&target);
        self.targets[&target].version.clone().filter(|_| is_live)
    }

    fn begin(&mut self, host: usize, fates: &[Fate]) {
        self.next_id += 1;
        let id = format!("r{}", self.next_id);
        if let Some(version) = self.choose(host, None) {
            self.record(host, &id, &version, fates);
            let versions = vec![version];
            self.streams.push(Stream { id, versions });
        }
    }

    fn record(&mut self, host: usize, id: &str, version: &str, fates: &[Fate]) {
        let (stream, now) = (key(None, "h", id), self.now);
        let origin = Origin {
            service: "s".into(),
            version: version.to_owned(),
        };
        let own = &mut self.hosts[host];
        own.origins.record(stream, &origin, now + KEEP, now);
        if own.is_cut {
            return;
        }
        for (holder, fate) in self.ranked(host, stream, COPIES).into_iter().zip(fates) {
            let copy = Message::Copy(stream, origin.clone(), now + KEEP);
            self.send(holder, copy, *fate);
        }
    }

    /// Returns the other hosts that rank first for a stream.
    fn ranked(&self, host: usize, stream: StreamKey, count: usize) -> Vec<usize> {
        let others = self.hosts.iter().enumerate().filter(|(n, _)| *n != host);
        let candidates = others.map(|(_, other)| Candidate {
            host: &other.name,
            data_centre: &other.data_centre,
        });
        let names = ranked(stream, candidates, count);
        let position = |name: &str| self.hosts.iter().position(|h| h.name == name);
        names.into_iter().filter_map(position).collect()
    }

    /// Returns the version of a stream by the record of a host, or of one that it can ask.
    fn find(&self, host: usize, stream: StreamKey) -> Option<String> {
        let mut asked = vec![host];
        if !self.hosts[host].is_cut {
            let others = self.ranked(host, stream, ASKED_MAX).into_iter();
            asked.extend(others.filter(|other| !self.hosts[*other].is_cut));
        }
        let answers = asked
            .into_iter()
            .map(|asked| self.hosts[asked].origins.get(stream, self.now));
        let mut known = answers.filter_map(|answer| match answer {
            Lookup::Known { origin, .. } => Some(origin.version.clone()),
            Lookup::Conflicting | Lookup::Unknown => None,
        });
        known.next()
    }

    /// Takes a stream up at a host; returns whether it goes on.
    fn resume(&mut self, stream: usize, host: usize, fates: &[Fate]) -> bool {
        let id = self.streams[stream].id.clone();
        let Some(version) = self.find(host, key(None, "h", &id)) else {
            return false;
        };
        let Some(chosen) = self.choose(host, Some(&version)) else {
            return false;
        };
        self.record(host, &id, &version, fates);
        self.streams[stream].versions.push(chosen);
        true
    }

    /// Starts a host again: it has lost its records, and lists the targets.
    fn restart(&mut self, number: usize) {
        self.hosts[number] = host(number);
        for id in &self.live {
            let spec = self.targets[id].clone();
            self.hosts[number].balancer.upsert(id, spec);
        }
    }

    fn check(&self) {
        for stream in &self.streams {
            let first = &stream.versions[0];
            assert!(stream.versions.iter().all(|v| v == first), "{stream:?}");
        }
        assert!(self.hosts.iter().all(|h| h.origins.len() <= ORIGINS_MAX));
    }
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        6 => Just(Fate::Arrives),
        1 => Just(Fate::ArrivesTwice),
        1 => Just(Fate::ArrivesLate),
        1 => Just(Fate::IsLost),
    ];
    prop::collection::vec(fate, HOSTS)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0..VERSIONS, fates()).prop_map(|(version, fates)| Op::StartTarget(version, fates)),
        1 => (any::<usize>(), fates()).prop_map(|(n, fates)| Op::RemoveTarget(n, fates)),
        6 => (0..HOSTS, fates()).prop_map(|(host, fates)| Op::Begin(host, fates)),
        8 => (any::<usize>(), 0..HOSTS, fates())
            .prop_map(|(stream, host, fates)| Op::Resume(stream, host, fates)),
        1 => (0..HOSTS).prop_map(Op::Restart),
        1 => (0..HOSTS, any::<bool>()).prop_map(|(host, is_cut)| Op::Cut(host, is_cut)),
        1 => Just(Op::DeliverLate),
        1 => (0..6_000_u64).prop_map(Op::WaitMs),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn stream_holds_events_of_one_version(ops in prop::collection::vec(op(), 1..120)) {
        let mut fleet = Fleet::new();
        for op in ops {
            fleet.apply(op);
            fleet.check();
        }
    }

    #[test]
    fn stream_goes_on_without_the_host_that_began_it_and_all_holders_but_one(
        ids in prop::collection::vec(0..1_000_u64, 1..ORIGINS_MAX),
        resumed_at in 1..HOSTS,
    ) {
        let mut fleet = Fleet::new();
        for version in 0..VERSIONS {
            fleet.start_target(version, &[Fate::Arrives; HOSTS]);
        }
        for id in ids {
            fleet.next_id += id;
            fleet.begin(0, &[Fate::Arrives; HOSTS]);
        }
        for stream in 0..fleet.streams.len() {
            let key = key(None, "h", &fleet.streams[stream].id);
            let mut lost = fleet.ranked(0, key, COPIES);
            lost.truncate(COPIES - 1);
            lost.push(0);
            for (number, host) in fleet.hosts.iter_mut().enumerate() {
                host.is_cut = lost.contains(&number) && number != resumed_at;
            }
            prop_assert!(fleet.resume(stream, resumed_at, &[Fate::IsLost; HOSTS]));
        }
        fleet.check();
    }
}
