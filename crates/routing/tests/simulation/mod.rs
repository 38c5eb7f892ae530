//! A fleet in virtual time whose hosts tell one another of suspects.
#![allow(unreachable_pub, reason = "A test has no outside.")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Decision;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Report;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Time that is played.
const PLAYED: Duration = Duration::from_secs(60);
/// Time from a break to a crash noted: a way to the target and back.
const LOOK: Duration = Duration::from_millis(2);
const WAY_MS: std::ops::Range<f64> = 0.5..2.5;
/// Time after which a crash is told once more, and what is worth it is told again.
const TELL_GAP: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a request that waits asks again.
const WAIT: Duration = Duration::from_millis(20);
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_secs(5);
/// How often a host is cut off or killed.
const TROUBLE_GAP: Duration = Duration::from_secs(2);
const CUT: Duration = Duration::from_secs(3);
/// Time in which a share of the targets crashes, each on its own.
const CRASH_GAP: Duration = Duration::from_secs(3);
/// Online requests of one attempt run so often, and callers come so often.
const RUNS_MAX: u32 = 3;
const CALLS_MAX: u32 = 2;
const ONLINE_RUN: Duration = Duration::from_millis(700);
const ITEM_RUN: Duration = Duration::from_secs(7);
/// Popular requests, each with one content, that come five times a second.
const POPULAR: u128 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// A datagram in ten is lost.
    Loss,
    /// Hosts die, forget all and are told by one that lives.
    Kills,
    /// All die at once in the midst of it, and read what was saved.
    PowerLoss,
    /// Hosts neither hear nor are heard.
    Cuts,
}

/// What came of a request that crashes targets.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    pub crashes: u32,
    /// The longest time from the third crash to a send.
    pub latest: Duration,
}

/// What came of healthy requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Healthy {
    pub requests: u32,
    pub refused: u32,
    pub items: u32,
    pub delayed_items: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    name: u128,
    host: usize,
    since: Duration,
    runs: u32,
    calls: u32,
    /// Time that it runs still, if nothing comes between.
    left: Duration,
    is_item: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(Request),
    /// A run under which the target crashes, which began then.
    Breaks {
        request: Request,
        began: Duration,
    },
    EndsWell {
        request: Request,
    },
    Hear {
        to: usize,
        from: usize,
        told: Box<Report>,
    },
    /// A host tells of a request once more.
    Tell {
        from: usize,
        name: u128,
    },
    Retell,
    Trouble,
    Heal(usize),
}

struct Host {
    quarantine: Quarantine,
    is_cut: bool,
}

pub struct Fleet {
    start: Instant,
    now: Duration,
    trouble: Trouble,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    lives: IncarnationId,
    saved: Option<Report>,
}

impl Fleet {
    pub fn new(hosts: usize, trouble: Trouble, seed: u64) -> Self {
        let host = || Host {
            quarantine: Quarantine::default(),
            is_cut: false,
        };
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            trouble,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: std::iter::repeat_with(host).take(hosts).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            lives: 0,
            saved: None,
        };
        fleet.at(REPORT_INTERVAL, Event::Retell);
        let first = match trouble {
            Trouble::PowerLoss => PLAYED / 2,
            _ => TROUBLE_GAP,
        };
        fleet.at(first, Event::Trouble);
        fleet
    }

    fn at(&mut self, at: Duration, event: Event) {
        let number = self.events.last_key_value().map_or(0, |(n, _)| n + 1);
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    fn pop(&mut self) -> Option<Event> {
        let Reverse((at, number)) = self.queue.pop()?;
        self.now = at;
        self.events.remove(&number)
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn request(&mut self, name: u128, run: Duration, is_item: bool) -> Request {
        Request {
            name,
            host: self.rng.random_range(0..self.hosts.len()),
            since: self.now,
            runs: 0,
            calls: 0,
            left: run,
            is_item,
        }
    }

    fn tell(&mut self, from: usize, name: u128) {
        let told = self.hosts[from]
            .quarantine
            .report(name, &from.to_string(), self.instant());
        let Some(told) = told else {
            return;
        };
        for to in 0..self.hosts.len() {
            self.send(from, to, &told);
        }
    }

    fn send(&mut self, from: usize, to: usize, told: &Report) {
        let is_lost = self.trouble == Trouble::Loss && self.rng.random_bool(0.1);
        if to == from || is_lost || self.hosts[from].is_cut || self.hosts[to].is_cut {
            return;
        }
        let way = Duration::from_secs_f64(self.rng.random_range(WAY_MS) / 1e3);
        let told = Box::new(told.clone());
        self.at(self.now + way, Event::Hear { to, from, told });
    }

    fn retell(&mut self) {
        for from in 0..self.hosts.len() {
            let told = self.hosts[from]
                .quarantine
                .periodic_reports(&from.to_string(), self.instant());
            for _ in 0..2 {
                let to = self.rng.random_range(0..self.hosts.len());
                for told in &told {
                    self.send(from, to, told);
                }
            }
        }
        self.at(self.now + REPORT_INTERVAL, Event::Retell);
    }

    fn trouble(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        match self.trouble {
            Trouble::None | Trouble::Loss => return,
            Trouble::Kills => {
                self.hosts[host].quarantine = Quarantine::default();
                for by in 0..self.hosts.len() {
                    let quarantine = &self.hosts[by].quarantine;
                    for told in quarantine.periodic_reports(&by.to_string(), self.instant()) {
                        self.send(by, host, &told);
                    }
                }
            }
            Trouble::PowerLoss => {
                let now = self.instant();
                for host in &mut self.hosts {
                    host.quarantine = Quarantine::default();
                    if let Some(saved) = &self.saved {
                        host.quarantine
                            .merge_report(&"store".to_owned(), saved, now);
                    }
                }
                return;
            }
            Trouble::Cuts => {
                self.hosts[host].is_cut = true;
                self.at(self.now + CUT, Event::Heal(host));
            }
        }
        self.at(self.now + TROUBLE_GAP, Event::Trouble);
    }

    /// Does what is the same for all requests; returns what is not.
    fn common(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::Hear { to, from, told } => {
                let now = self.instant();
                self.hosts[to]
                    .quarantine
                    .merge_report(&from.to_string(), &told, now);
            }
            Event::Tell { from, name } => self.tell(from, name),
            Event::Retell => self.retell(),
            Event::Trouble => self.trouble(),
            Event::Heal(host) => self.hosts[host].is_cut = false,
            other => return Some(other),
        }
        None
    }

    fn admit(&mut self, request: &Request) -> Decision {
        let (host, now) = (request.host, self.instant());
        let quarantine = &mut self.hosts[host].quarantine;
        let verdict = match request.is_item {
            true => quarantine.admit_item(request.name, &host.to_string(), now),
            false => quarantine.admit(request.name, &host.to_string(), now),
        };
        if verdict == Decision::Admit {
            self.tell(host, request.name);
        }
        verdict
    }

    /// Notes a crash at the host of a request, and tells it.
    fn record_crash(&mut self, request: &Request, run_time: Duration) {
        self.lives += 1;
        let at = self.instant();
        let incarnation = self.lives;
        let quarantine = &mut self.hosts[request.host].quarantine;
        quarantine.record_crash(
            request.name,
            Crash {
                incarnation,
                run_time,
                detected_at: at,
            },
        );
        quarantine.end_run(request.name, &request.host.to_string());
        if quarantine.crash_count(request.name) >= 3 {
            self.saved = quarantine.report(request.name, "store", at);
        }
        self.tell(request.host, request.name);
        let (from, name) = (request.host, request.name);
        self.at(self.now + TELL_GAP, Event::Tell { from, name });
    }

    fn again(&mut self, request: Request) {
        if self.now - request.since < DEADLINE {
            self.at(self.now + WAIT, Event::Arrive(request));
        }
    }

    /// Plays a request that crashes targets and comes so often a second.
    pub fn play_deadly(mut self, rate: f64) -> Deadly {
        let mut at = 0.0;
        while at < PLAYED.as_secs_f64() {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            self.now = Duration::from_secs_f64(at);
            let request = self.request(1, Duration::ZERO, false);
            self.at(self.now, Event::Arrive(request));
        }
        let mut crashed_at = Vec::new();
        let mut latest = Duration::ZERO;
        while let Some(event) = self.pop() {
            if self.now > PLAYED {
                break;
            }
            match self.common(event) {
                Some(Event::Arrive(request)) => match self.admit(&request) {
                    Decision::Admit => {
                        if let Some(third) = crashed_at.get(2) {
                            latest = latest.max(self.now.saturating_sub(*third));
                        }
                        let began = self.now;
                        let run_time = Duration::from_millis(self.rng.random_range(40..150));
                        let event = Event::Breaks { request, began };
                        self.at(self.now + run_time, event);
                        crashed_at.push(began + run_time);
                        crashed_at.sort();
                    }
                    Decision::Wait => self.again(request),
                    Decision::Refuse { .. } => {}
                },
                Some(Event::Breaks { request, began }) => {
                    let run_time = self.now - began;
                    self.now += LOOK;
                    self.record_crash(&request, run_time);
                }
                _ => {}
            }
        }
        let crashes = u32::try_from(crashed_at.len()).unwrap();
        Deadly { crashes, latest }
    }

    /// Plays healthy requests while a share of the targets crashes again and again.
    pub fn play_healthy(mut self, share: f64) -> Healthy {
        /// As many plays of a minute as make rare cases show.
        const LENGTH: Duration = Duration::from_secs(600);
        let mut played = Healthy::default();
        let mut name = 1_000;
        let mut at = Duration::ZERO;
        while at < LENGTH {
            self.now = at;
            name += 1;
            let is_item = name % 20 == 0;
            let is_popular = name % 10 == 1;
            let run = if is_item { ITEM_RUN } else { ONLINE_RUN };
            let which = if is_popular {
                name / 10 % POPULAR
            } else {
                name
            };
            let request = self.request(which, run, is_item);
            played.requests += u32::from(!is_item);
            played.items += u32::from(is_item);
            self.at(at, Event::Arrive(request));
            at += Duration::from_millis(20);
        }
        while let Some(event) = self.pop() {
            if self.now > LENGTH {
                break;
            }
            match self.common(event) {
                Some(Event::Arrive(request)) => self.run_healthy(request, share, &mut played),
                Some(Event::Breaks { request, began }) => {
                    self.break_healthy(request, began);
                }
                Some(Event::EndsWell { request }) => {
                    let now = self.instant();
                    let quarantine = &mut self.hosts[request.host].quarantine;
                    quarantine.end_run(request.name, &request.host.to_string());
                    if quarantine.record_success(request.name, now) {
                        self.tell(request.host, request.name);
                    }
                }
                _ => {}
            }
        }
        played
    }

    fn run_healthy(&mut self, request: Request, share: f64, played: &mut Healthy) {
        match self.admit(&request) {
            Decision::Wait => return self.again(request),
            Decision::Refuse { retry_after, .. } if request.is_item => {
                played.delayed_items += 1;
                return self.at(self.now + retry_after, Event::Arrive(request));
            }
            Decision::Refuse { .. } => {
                played.refused += 1;
                return;
            }
            Decision::Admit => {}
        }
        let began = self.now;
        let rate = share / CRASH_GAP.as_secs_f64();
        let crash = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let run_time = Duration::from_secs_f64(crash);
        if run_time < request.left {
            self.at(began + run_time, Event::Breaks { request, began });
        } else {
            self.at(began + request.left, Event::EndsWell { request });
        }
    }

    /// Items go on behind what is there; streams go on elsewhere, then their callers come
    /// again.
    fn break_healthy(&mut self, mut request: Request, began: Duration) {
        let run_time = self.now - began;
        self.record_crash(&request, run_time);
        request.runs += 1;
        if request.is_item {
            request.left = request.left.saturating_sub(run_time);
        } else if request.runs == RUNS_MAX {
            request.runs = 0;
            request.calls += 1;
            request.host = self.rng.random_range(0..self.hosts.len());
            if request.calls == CALLS_MAX {
                return;
            }
        }
        self.again(request);
    }
}
