//! Discrete-event simulation of a fleet whose hosts exchange quarantine reports.
#![allow(unreachable_pub, reason = "A test module has no external users.")]

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

/// Simulated time.
const DURATION: Duration = Duration::from_secs(60);
/// Time from a broken connection to the detection of the crash: a round trip to the target.
const DETECTION_DELAY: Duration = Duration::from_millis(2);
/// Range of the transit times between hosts.
const TRANSIT_MS: std::ops::Range<f64> = 0.5..2.5;
/// Time after which the report of a crash is repeated once.
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// Interval of periodic reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a waiting request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after which callers give up.
const DEADLINE: Duration = Duration::from_secs(5);
/// Interval between injected faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(2);
/// Duration of a network partition.
const PARTITION_DURATION: Duration = Duration::from_secs(3);
/// Interval in which a share of the targets crashes independently.
const CRASH_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum runs per call and calls per request of online requests.
const RUNS_MAX: u32 = 3;
const CALLS_MAX: u32 = 2;
const ONLINE_RUN: Duration = Duration::from_millis(700);
const ITEM_RUN: Duration = Duration::from_secs(7);
/// Number of popular requests, each with the same content; together five a second.
const POPULAR_REQUESTS: u128 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One in ten datagrams is lost.
    Loss,
    /// Hosts restart without state and receive reports from the others.
    Restarts,
    /// All hosts restart at once in the middle of the simulation and load the saved state.
    PowerLoss,
    /// Hosts neither send nor receive datagrams.
    Partitions,
}

/// The outcome of a request that crashes targets.
#[derive(Clone, Copy, Debug)]
pub struct Crashing {
    pub crashes: u32,
    /// The longest time from the third crash to a later run.
    pub latest: Duration,
}

/// The outcome of healthy requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Healthy {
    pub requests: u32,
    pub refused: u32,
    pub items: u32,
    pub delayed_items: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    id: u128,
    host: usize,
    arrived_at: Duration,
    runs: u32,
    calls: u32,
    /// Remaining run time.
    remaining: Duration,
    is_item: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(Request),
    /// The target crashes during the run.
    Crash {
        request: Request,
        started_at: Duration,
    },
    Complete {
        request: Request,
    },
    Receive {
        to: usize,
        from: usize,
        report: Box<Report>,
    },
    /// A host repeats its report of a request.
    RepeatReport {
        from: usize,
        id: u128,
    },
    SendPeriodicReports,
    InjectFault,
    Heal(usize),
}

struct Host {
    quarantine: Quarantine,
    is_partitioned: bool,
}

pub struct Fleet {
    start: Instant,
    now: Duration,
    fault: Fault,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    incarnations: IncarnationId,
    saved: Option<Report>,
}

impl Fleet {
    pub fn new(hosts: usize, fault: Fault, seed: u64) -> Self {
        let host = || Host {
            quarantine: Quarantine::default(),
            is_partitioned: false,
        };
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: std::iter::repeat_with(host).take(hosts).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            incarnations: 0,
            saved: None,
        };
        fleet.schedule(REPORT_INTERVAL, Event::SendPeriodicReports);
        let first_fault = match fault {
            Fault::PowerLoss => DURATION / 2,
            _ => FAULT_INTERVAL,
        };
        fleet.schedule(first_fault, Event::InjectFault);
        fleet
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let number = self.events.last_key_value().map_or(0, |(n, _)| n + 1);
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    fn next_event(&mut self) -> Option<Event> {
        let Reverse((at, number)) = self.queue.pop()?;
        self.now = at;
        self.events.remove(&number)
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn request(&mut self, id: u128, run: Duration, is_item: bool) -> Request {
        Request {
            id,
            host: self.rng.random_range(0..self.hosts.len()),
            arrived_at: self.now,
            runs: 0,
            calls: 0,
            remaining: run,
            is_item,
        }
    }

    fn broadcast_report(&mut self, from: usize, id: u128) {
        let report = self.hosts[from]
            .quarantine
            .report(id, &from.to_string(), self.instant());
        let Some(report) = report else {
            return;
        };
        for to in 0..self.hosts.len() {
            self.send(from, to, &report);
        }
    }

    fn send(&mut self, from: usize, to: usize, report: &Report) {
        let is_lost = self.fault == Fault::Loss && self.rng.random_bool(0.1);
        if to == from || is_lost || self.hosts[from].is_partitioned || self.hosts[to].is_partitioned
        {
            return;
        }
        let transit = Duration::from_secs_f64(self.rng.random_range(TRANSIT_MS) / 1e3);
        let report = Box::new(report.clone());
        self.schedule(self.now + transit, Event::Receive { to, from, report });
    }

    fn send_periodic_reports(&mut self) {
        for from in 0..self.hosts.len() {
            let reports = self.hosts[from]
                .quarantine
                .periodic_reports(&from.to_string(), self.instant());
            for _ in 0..2 {
                let to = self.rng.random_range(0..self.hosts.len());
                for report in &reports {
                    self.send(from, to, report);
                }
            }
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::SendPeriodicReports);
    }

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        match self.fault {
            Fault::None | Fault::Loss => return,
            Fault::Restarts => {
                self.hosts[host].quarantine = Quarantine::default();
                for by in 0..self.hosts.len() {
                    let quarantine = &self.hosts[by].quarantine;
                    for report in quarantine.periodic_reports(&by.to_string(), self.instant()) {
                        self.send(by, host, &report);
                    }
                }
            }
            Fault::PowerLoss => {
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
            Fault::Partitions => {
                self.hosts[host].is_partitioned = true;
                self.schedule(self.now + PARTITION_DURATION, Event::Heal(host));
            }
        }
        self.schedule(self.now + FAULT_INTERVAL, Event::InjectFault);
    }

    /// Handles events that are independent of the kind of request; returns all others.
    fn handle_common(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::Receive { to, from, report } => {
                let now = self.instant();
                self.hosts[to]
                    .quarantine
                    .merge_report(&from.to_string(), &report, now);
            }
            Event::RepeatReport { from, id } => self.broadcast_report(from, id),
            Event::SendPeriodicReports => self.send_periodic_reports(),
            Event::InjectFault => self.inject_fault(),
            Event::Heal(host) => self.hosts[host].is_partitioned = false,
            other => return Some(other),
        }
        None
    }

    fn admit(&mut self, request: &Request) -> Decision {
        let (host, now) = (request.host, self.instant());
        let quarantine = &mut self.hosts[host].quarantine;
        let verdict = match request.is_item {
            true => quarantine.admit_item(request.id, &host.to_string(), now),
            false => quarantine.admit(request.id, &host.to_string(), now),
        };
        if verdict == Decision::Admit {
            self.broadcast_report(host, request.id);
        }
        verdict
    }

    /// Records a crash at the host of a request and broadcasts it.
    fn record_crash(&mut self, request: &Request, run_time: Duration) {
        self.incarnations += 1;
        let at = self.instant();
        let incarnation = self.incarnations;
        let quarantine = &mut self.hosts[request.host].quarantine;
        quarantine.record_crash(
            request.id,
            Crash {
                incarnation,
                run_time,
                detected_at: at,
            },
        );
        quarantine.end_run(request.id, &request.host.to_string());
        if quarantine.crash_count(request.id) >= 3 {
            self.saved = quarantine.report(request.id, "store", at);
        }
        self.broadcast_report(request.host, request.id);
        let (from, id) = (request.host, request.id);
        self.schedule(self.now + REPEAT_DELAY, Event::RepeatReport { from, id });
    }

    fn retry(&mut self, request: Request) {
        if self.now - request.arrived_at < DEADLINE {
            self.schedule(self.now + RETRY_DELAY, Event::Arrive(request));
        }
    }

    /// Simulates a request that crashes targets and arrives `rate` times a second on average.
    pub fn simulate_crashing(mut self, rate: f64) -> Crashing {
        let mut at = 0.0;
        while at < DURATION.as_secs_f64() {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            self.now = Duration::from_secs_f64(at);
            let request = self.request(1, Duration::ZERO, false);
            self.schedule(self.now, Event::Arrive(request));
        }
        let mut crashed_at = Vec::new();
        let mut latest = Duration::ZERO;
        while let Some(event) = self.next_event() {
            if self.now > DURATION {
                break;
            }
            match self.handle_common(event) {
                Some(Event::Arrive(request)) => match self.admit(&request) {
                    Decision::Admit => {
                        if let Some(third_crash) = crashed_at.get(2) {
                            latest = latest.max(self.now.saturating_sub(*third_crash));
                        }
                        let started_at = self.now;
                        let run_time = Duration::from_millis(self.rng.random_range(40..150));
                        let event = Event::Crash {
                            request,
                            started_at,
                        };
                        self.schedule(self.now + run_time, event);
                        crashed_at.push(started_at + run_time);
                        crashed_at.sort();
                    }
                    Decision::Wait => self.retry(request),
                    Decision::Refuse { .. } => {}
                },
                Some(Event::Crash {
                    request,
                    started_at,
                }) => {
                    let run_time = self.now - started_at;
                    self.now += DETECTION_DELAY;
                    self.record_crash(&request, run_time);
                }
                _ => {}
            }
        }
        let crashes = u32::try_from(crashed_at.len()).unwrap();
        Crashing { crashes, latest }
    }

    /// Simulates healthy requests while a share of the targets crashes repeatedly.
    pub fn simulate_healthy(mut self, share: f64) -> Healthy {
        /// Long enough for rare cases to occur.
        const HEALTHY_DURATION: Duration = Duration::from_secs(600);
        let mut outcome = Healthy::default();
        let mut id = 1_000;
        let mut at = Duration::ZERO;
        while at < HEALTHY_DURATION {
            self.now = at;
            id += 1;
            let is_item = id % 20 == 0;
            let is_popular = id % 10 == 1;
            let run = if is_item { ITEM_RUN } else { ONLINE_RUN };
            let content_id = if is_popular {
                id / 10 % POPULAR_REQUESTS
            } else {
                id
            };
            let request = self.request(content_id, run, is_item);
            outcome.requests += u32::from(!is_item);
            outcome.items += u32::from(is_item);
            self.schedule(at, Event::Arrive(request));
            at += Duration::from_millis(20);
        }
        while let Some(event) = self.next_event() {
            if self.now > HEALTHY_DURATION {
                break;
            }
            match self.handle_common(event) {
                Some(Event::Arrive(request)) => self.start_healthy(request, share, &mut outcome),
                Some(Event::Crash {
                    request,
                    started_at,
                }) => {
                    self.crash_healthy(request, started_at);
                }
                Some(Event::Complete { request }) => {
                    let now = self.instant();
                    let quarantine = &mut self.hosts[request.host].quarantine;
                    quarantine.end_run(request.id, &request.host.to_string());
                    if quarantine.record_success(request.id, now) {
                        self.broadcast_report(request.host, request.id);
                    }
                }
                _ => {}
            }
        }
        outcome
    }

    fn start_healthy(&mut self, request: Request, share: f64, outcome: &mut Healthy) {
        match self.admit(&request) {
            Decision::Wait => return self.retry(request),
            Decision::Refuse { retry_after, .. } if request.is_item => {
                outcome.delayed_items += 1;
                return self.schedule(self.now + retry_after, Event::Arrive(request));
            }
            Decision::Refuse { .. } => {
                outcome.refused += 1;
                return;
            }
            Decision::Admit => {}
        }
        let started_at = self.now;
        let rate = share / CRASH_INTERVAL.as_secs_f64();
        let crash = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let run_time = Duration::from_secs_f64(crash);
        if run_time < request.remaining {
            self.schedule(
                started_at + run_time,
                Event::Crash {
                    request,
                    started_at,
                },
            );
        } else {
            self.schedule(started_at + request.remaining, Event::Complete { request });
        }
    }

    /// Items resume from their progress. Online requests are run again on other targets, and then
    /// called again by their callers.
    fn crash_healthy(&mut self, mut request: Request, started_at: Duration) {
        let run_time = self.now - started_at;
        self.record_crash(&request, run_time);
        request.runs += 1;
        if request.is_item {
            request.remaining = request.remaining.saturating_sub(run_time);
        } else if request.runs == RUNS_MAX {
            request.runs = 0;
            request.calls += 1;
            request.host = self.rng.random_range(0..self.hosts.len());
            if request.calls == CALLS_MAX {
                return;
            }
        }
        self.retry(request);
    }
}
