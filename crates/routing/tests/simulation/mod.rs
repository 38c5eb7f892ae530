//! Simulates in virtual time a fleet whose hosts send one another reports on suspects.
#![allow(unreachable_pub, reason = "Private to the tests.")]

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

/// Duration of a simulation.
const SIMULATED: Duration = Duration::from_secs(60);
/// Time from a failed run to the detection of the crash: a round trip to the target.
const PROBE_TIME: Duration = Duration::from_millis(2);
/// Range of message delays.
const DELAY_MS: std::ops::Range<f64> = 0.5..2.5;
/// Time after which a crash is reported once more.
const CRASH_RESEND_DELAY: Duration = Duration::from_millis(50);
/// Interval of the periodic reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a waiting request checks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which callers wait for a result.
const DEADLINE: Duration = Duration::from_secs(5);
/// Interval at which a host is partitioned or restarted.
const DISTURBANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Duration of a partition.
const PARTITION_TIME: Duration = Duration::from_secs(3);
/// Time in which a share of the targets crashes, independently of one another.
const CRASH_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of runs per call of an online request, and of calls per request.
const RUNS_MAX: u32 = 3;
const CALLS_MAX: u32 = 2;
const ONLINE_RUN: Duration = Duration::from_millis(700);
const ITEM_RUN: Duration = Duration::from_secs(7);
/// Number of popular requests: those with equal content arrive five times a second in total.
const POPULAR: u128 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    None,
    /// One datagram in ten is lost.
    Loss,
    /// Hosts restart, lose their state and receive the reports of the others.
    Restarts,
    /// All hosts restart at once halfway through, and load the stored report.
    PowerLoss,
    /// Hosts are partitioned from all others.
    Partitions,
}

/// Outcome for a request that crashes targets.
#[derive(Clone, Copy, Debug)]
pub struct CrashingOutcome {
    pub crashes: u32,
    /// The longest time from the third crash to a send of the request.
    pub latest: Duration,
}

/// Outcome for healthy requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthyOutcome {
    pub requests: u32,
    pub refused: u32,
    pub items: u32,
    pub delayed_items: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    fingerprint: u128,
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
    /// The target of a run crashes.
    Crash {
        request: Request,
        started_at: Duration,
    },
    Success {
        request: Request,
    },
    Receive {
        to: usize,
        from: usize,
        report: Box<Report>,
    },
    /// A host reports on a request once more.
    Report {
        from: usize,
        fingerprint: u128,
    },
    ReportAll,
    Disturbance,
    Reconnect(usize),
}

struct Host {
    quarantine: Quarantine,
    is_partitioned: bool,
}

pub struct Fleet {
    start: Instant,
    now: Duration,
    disturbance: Disturbance,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    incarnations: IncarnationId,
    saved: Option<Report>,
}

impl Fleet {
    pub fn new(hosts: usize, disturbance: Disturbance, seed: u64) -> Self {
        let host = || Host {
            quarantine: Quarantine::default(),
            is_partitioned: false,
        };
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            disturbance,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: std::iter::repeat_with(host).take(hosts).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            incarnations: 0,
            saved: None,
        };
        fleet.schedule(REPORT_INTERVAL, Event::ReportAll);
        let first = match disturbance {
            Disturbance::PowerLoss => SIMULATED / 2,
            _ => DISTURBANCE_INTERVAL,
        };
        fleet.schedule(first, Event::Disturbance);
        fleet
    }

    fn schedule(&mut self, at: Duration, event: Event) {
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

    fn request(&mut self, fingerprint: u128, run: Duration, is_item: bool) -> Request {
        Request {
            fingerprint,
            host: self.rng.random_range(0..self.hosts.len()),
            arrived_at: self.now,
            runs: 0,
            calls: 0,
            remaining: run,
            is_item,
        }
    }

    fn broadcast(&mut self, from: usize, fingerprint: u128) {
        let report =
            self.hosts[from]
                .quarantine
                .report(fingerprint, &from.to_string(), self.instant());
        let Some(report) = report else {
            return;
        };
        for to in 0..self.hosts.len() {
            self.send(from, to, &report);
        }
    }

    fn send(&mut self, from: usize, to: usize, report: &Report) {
        let is_lost = self.disturbance == Disturbance::Loss && self.rng.random_bool(0.1);
        if to == from || is_lost || self.hosts[from].is_partitioned || self.hosts[to].is_partitioned
        {
            return;
        }
        let delay = Duration::from_secs_f64(self.rng.random_range(DELAY_MS) / 1e3);
        let report = Box::new(report.clone());
        self.schedule(self.now + delay, Event::Receive { to, from, report });
    }

    fn report_all(&mut self) {
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
        self.schedule(self.now + REPORT_INTERVAL, Event::ReportAll);
    }

    fn disturb(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        match self.disturbance {
            Disturbance::None | Disturbance::Loss => return,
            Disturbance::Restarts => {
                self.hosts[host].quarantine = Quarantine::default();
                for from in 0..self.hosts.len() {
                    let quarantine = &self.hosts[from].quarantine;
                    for report in quarantine.periodic_reports(&from.to_string(), self.instant()) {
                        self.send(from, host, &report);
                    }
                }
            }
            Disturbance::PowerLoss => {
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
            Disturbance::Partitions => {
                self.hosts[host].is_partitioned = true;
                self.schedule(self.now + PARTITION_TIME, Event::Reconnect(host));
            }
        }
        self.schedule(self.now + DISTURBANCE_INTERVAL, Event::Disturbance);
    }

    /// Handles the events that do not depend on the kind of request; returns any other.
    fn handle_common(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::Receive { to, from, report } => {
                let now = self.instant();
                self.hosts[to]
                    .quarantine
                    .merge_report(&from.to_string(), &report, now);
            }
            Event::Report { from, fingerprint } => self.broadcast(from, fingerprint),
            Event::ReportAll => self.report_all(),
            Event::Disturbance => self.disturb(),
            Event::Reconnect(host) => self.hosts[host].is_partitioned = false,
            other => return Some(other),
        }
        None
    }

    fn admit(&mut self, request: &Request) -> Decision {
        let (host, now) = (request.host, self.instant());
        let quarantine = &mut self.hosts[host].quarantine;
        let decision = match request.is_item {
            true => quarantine.admit_item(request.fingerprint, &host.to_string(), now),
            false => quarantine.admit(request.fingerprint, &host.to_string(), now),
        };
        if decision == Decision::Admit {
            self.broadcast(host, request.fingerprint);
        }
        decision
    }

    /// Records a crash at the host of a request, and reports it.
    fn record_crash(&mut self, request: &Request, run_time: Duration) {
        self.incarnations += 1;
        let at = self.instant();
        let incarnation = self.incarnations;
        let quarantine = &mut self.hosts[request.host].quarantine;
        quarantine.record_crash(
            request.fingerprint,
            Crash {
                incarnation,
                run_time,
                detected_at: at,
            },
        );
        quarantine.end_run(request.fingerprint, &request.host.to_string());
        if quarantine.crash_count(request.fingerprint) >= 3 {
            self.saved = quarantine.report(request.fingerprint, "store", at);
        }
        self.broadcast(request.host, request.fingerprint);
        let (from, fingerprint) = (request.host, request.fingerprint);
        self.schedule(
            self.now + CRASH_RESEND_DELAY,
            Event::Report { from, fingerprint },
        );
    }

    fn retry(&mut self, request: Request) {
        if self.now - request.arrived_at < DEADLINE {
            self.schedule(self.now + RECHECK_INTERVAL, Event::Arrive(request));
        }
    }

    /// Simulates a request that crashes targets and arrives `rate` times a second.
    pub fn run_crashing(mut self, rate: f64) -> CrashingOutcome {
        let mut at = 0.0;
        while at < SIMULATED.as_secs_f64() {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            self.now = Duration::from_secs_f64(at);
            let request = self.request(1, Duration::ZERO, false);
            self.schedule(self.now, Event::Arrive(request));
        }
        let mut crashed_at = Vec::new();
        let mut latest = Duration::ZERO;
        while let Some(event) = self.pop() {
            if self.now > SIMULATED {
                break;
            }
            match self.handle_common(event) {
                Some(Event::Arrive(request)) => match self.admit(&request) {
                    Decision::Admit => {
                        if let Some(third) = crashed_at.get(2) {
                            latest = latest.max(self.now.saturating_sub(*third));
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
                    self.now += PROBE_TIME;
                    self.record_crash(&request, run_time);
                }
                _ => {}
            }
        }
        let crashes = u32::try_from(crashed_at.len()).unwrap();
        CrashingOutcome { crashes, latest }
    }

    /// Simulates healthy requests while a share of the targets crashes repeatedly.
    pub fn run_healthy(mut self, share: f64) -> HealthyOutcome {
        /// Long enough for rare cases to occur.
        const DURATION: Duration = Duration::from_secs(600);
        let mut outcome = HealthyOutcome::default();
        let mut fingerprint = 1_000;
        let mut at = Duration::ZERO;
        while at < DURATION {
            self.now = at;
            fingerprint += 1;
            let is_item = fingerprint % 20 == 0;
            let is_popular = fingerprint % 10 == 1;
            let run = if is_item { ITEM_RUN } else { ONLINE_RUN };
            let content = if is_popular {
                fingerprint / 10 % POPULAR
            } else {
                fingerprint
            };
            let request = self.request(content, run, is_item);
            outcome.requests += u32::from(!is_item);
            outcome.items += u32::from(is_item);
            self.schedule(at, Event::Arrive(request));
            at += Duration::from_millis(20);
        }
        while let Some(event) = self.pop() {
            if self.now > DURATION {
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
                Some(Event::Success { request }) => {
                    let now = self.instant();
                    let quarantine = &mut self.hosts[request.host].quarantine;
                    quarantine.end_run(request.fingerprint, &request.host.to_string());
                    if quarantine.record_success(request.fingerprint, now) {
                        self.broadcast(request.host, request.fingerprint);
                    }
                }
                _ => {}
            }
        }
        outcome
    }

    fn start_healthy(&mut self, request: Request, share: f64, outcome: &mut HealthyOutcome) {
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
        let rate = share / CRASH_PERIOD.as_secs_f64();
        let time_to_crash_s = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let run_time = Duration::from_secs_f64(time_to_crash_s);
        if run_time < request.remaining {
            self.schedule(
                started_at + run_time,
                Event::Crash {
                    request,
                    started_at,
                },
            );
        } else {
            self.schedule(started_at + request.remaining, Event::Success { request });
        }
    }

    /// Items resume behind the output already produced; streams resume at another target and are
    /// then retried by their callers.
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
