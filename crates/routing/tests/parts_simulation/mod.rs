//! Simulates in virtual time a fleet of hosts that exchange suspected parts of prompts, in front
//! of targets that crash on some parts and independently of requests.
#![allow(unreachable_pub, reason = "Private to the tests.")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Decision;
use notchwharf_routing::quarantine::parts::Crash;
use notchwharf_routing::quarantine::parts::Pace;
use notchwharf_routing::quarantine::parts::Parts;
use notchwharf_routing::quarantine::parts::Report;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Time that the users' rule allows after the fifth crash.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests per second and host.
const REQUEST_RATE: f64 = 7.0;
/// Duration of an answer.
const ANSWER: Duration = Duration::from_millis(700);
/// Time from a crash to its detection.
const DETECTION: Duration = Duration::from_millis(3);
/// Time until the detection of a crash that is detected late, in milliseconds.
const LATE_DETECTION_MS: std::ops::Range<u64> = 10..800;
/// Time from a crash's detection until all hosts that read the store know it.
const RECORD_DELAY: Duration = Duration::from_millis(350);
/// Range of message delays, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..16;
/// Time until a crashed target is back.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Interval of the periodic reports and of crashes that no request causes.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const CRASH_INTERVAL: Duration = Duration::from_secs(3);
/// Delay after which a crash is reported once more.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Time after which a waiting request checks again, and for which it waits.
const RECHECK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(5);
/// Ids of the parts that crash targets.
pub const BAD: std::ops::Range<PartId> = 1..9;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub hosts: usize,
    /// Number of parts that crash targets.
    pub bad_parts: u128,
    /// Whether these are first parts, which requests share with none.
    pub is_first: bool,
    /// Requests per second with such a part.
    pub bad_rate: f64,
    /// Number of first parts, the first of which 43 in 100 of the requests have.
    pub first_parts: u128,
    /// Number of first parts that only requests with a bad part have; none if they share theirs.
    pub bad_first_parts: u128,
    /// Share of the crashes that a host detects late, and of those that it never detects.
    pub seen_late: f64,
    pub missed: f64,
    /// Whether hosts hear the store and not one another.
    pub is_apart: bool,
    /// Share of the targets that crash at once independently of requests.
    pub crash_share: f64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether hosts restart one after the other, and all at once halfway through.
    pub restarts: bool,
    /// Time for which the records cannot be read after that, by hosts that all know nothing.
    pub unreadable: Duration,
    pub duration: Duration,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Crashes by bad part.
    pub crashes: HashMap<PartId, u32>,
    /// Sends of a bad part after the time that the rule allows.
    pub late_sends: u32,
    /// Sound requests that share the first part with a bad one, after twice that time.
    pub sharing: u32,
    pub sharing_sent: u32,
    /// All healthy requests, and those that were refused.
    pub healthy: u32,
    pub healthy_refused: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    key: u64,
    parts: [PartId; 2],
    arrived_at: Duration,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(Request),
    Crash(usize),
    Detect {
        incarnation: u64,
        runs: Vec<(Request, Duration)>,
        broke_at: Duration,
    },
    Read(PartId),
    Answer {
        run: u64,
    },
    Receive {
        to: usize,
        report: Report,
    },
    Resend {
        from: usize,
        part: PartId,
    },
    Periodic,
    HealthyCrashes,
    Restart {
        all: bool,
    },
    Load,
}

struct Target {
    incarnation: u64,
    up_at: Duration,
    runs: BTreeMap<u64, (Request, Duration)>,
}

pub struct Fleet {
    setting: Setting,
    start: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    hosts: Vec<Parts>,
    targets: Vec<Target>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    counter: u64,
    /// What the records in the store amount to.
    saved: Parts,
    fifth_crash_at: HashMap<PartId, Duration>,
    bad_firsts: HashSet<PartId>,
    /// Whether no host knows the records.
    is_unread: bool,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(setting: Setting, seed: u64) -> Self {
        let target = |number| Target {
            incarnation: number,
            up_at: Duration::ZERO,
            runs: BTreeMap::new(),
        };
        let targets = setting.hosts as u64 * 3 / 2;
        let mut host = Parts::default();
        if setting.is_apart {
            host.set_pace(Pace::Records);
        }
        Self {
            setting,
            start: Instant::now(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: vec![host; setting.hosts],
            targets: (0..targets).map(target).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            counter: targets,
            saved: Parts::default(),
            fifth_crash_at: HashMap::new(),
            bad_firsts: HashSet::new(),
            is_unread: false,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        let healthy_rate = REQUEST_RATE * self.setting.hosts as f64;
        self.schedule_arrivals(healthy_rate, Self::healthy_parts);
        if self.setting.bad_parts > 0 {
            self.schedule_arrivals(self.setting.bad_rate, Self::bad_parts);
        }
        self.schedule(REPORT_INTERVAL, Event::Periodic);
        self.schedule(CRASH_INTERVAL, Event::HealthyCrashes);
        if self.setting.restarts {
            self.schedule(CRASH_INTERVAL, Event::Restart { all: false });
            self.schedule(self.setting.duration / 2, Event::Restart { all: true });
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.setting.duration {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
        }
        self.outcome
    }

    fn schedule_arrivals(&mut self, rate: f64, parts: fn(&mut Self) -> [PartId; 2]) {
        let mut at = 0.0;
        while at < self.setting.duration.as_secs_f64() {
            at -= self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            let arrived_at = Duration::from_secs_f64(at);
            let host = self.rng.random_range(0..self.setting.hosts);
            let parts = parts(self);
            self.counter += 1;
            let request = Request {
                host,
                key: self.counter,
                parts,
                arrived_at,
            };
            self.schedule(arrived_at, Event::Arrive(request));
        }
    }

    fn first_part(&mut self) -> PartId {
        if self.rng.random_bool(0.43) {
            return 1_000;
        }
        1_000 + self.rng.random_range(0..self.setting.first_parts)
    }

    fn healthy_parts(&mut self) -> [PartId; 2] {
        [self.first_part(), 100_000 + self.rng.random_range(0..423)]
    }

    fn bad_parts(&mut self) -> [PartId; 2] {
        let bad = BAD.start + self.rng.random_range(0..self.setting.bad_parts);
        if self.setting.is_first {
            return [bad, 100_000 + self.rng.random_range(0..423)];
        }
        if self.setting.bad_first_parts > 0 {
            let number = self.rng.random_range(0..self.setting.bad_first_parts);
            return [900_000 + number, bad];
        }
        // A rare first part, which few healthy requests have.
        let first = 1_000 + self.setting.first_parts - 1;
        self.bad_firsts.insert(first);
        [first, bad]
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.counter += 1;
        self.events.insert(self.counter, event);
        self.queue.push(Reverse((at, self.counter)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Crash(target) => self.crash(target),
            Event::Detect {
                incarnation,
                runs,
                broke_at,
            } => {
                for (request, run_time) in runs {
                    self.record_crash(request, incarnation, run_time, broke_at);
                }
            }
            Event::Read(part) => self.read(part),
            Event::Answer { run } => self.answer(run),
            Event::Receive { to, report } => {
                let now = self.instant();
                self.hosts[to].merge_report(&report, now);
            }
            Event::Resend { from, part } => self.broadcast(from, part),
            Event::Periodic => self.report_periodically(),
            Event::HealthyCrashes => {
                for target in 0..self.targets.len() {
                    if self.rng.random_bool(self.setting.crash_share) {
                        self.crash(target);
                    }
                }
                self.schedule(self.now + CRASH_INTERVAL, Event::HealthyCrashes);
            }
            Event::Restart { all } => self.restart(all),
            Event::Load => self.load(),
        }
    }

    fn bad_part(request: &Request) -> Option<PartId> {
        request.parts.into_iter().find(|part| BAD.contains(part))
    }

    fn arrive(&mut self, request: Request) {
        let now = self.instant();
        let bad = Self::bad_part(&request);
        let is_first_attempt = request.arrived_at == self.now;
        let is_late = self
            .fifth_crash_at
            .values()
            .any(|at| self.now > *at + CONTACT * 2);
        let is_sharing = bad.is_none() && is_late && self.bad_firsts.contains(&request.parts[0]);
        if is_first_attempt && bad.is_none() {
            self.outcome.healthy += 1;
            self.outcome.sharing += u32::from(is_sharing);
        }
        match self.hosts[request.host].admit(&request.parts, &request.host.to_string(), now) {
            Decision::Admit => {}
            Decision::Wait if self.now < request.arrived_at + DEADLINE => {
                return self.schedule(self.now + RECHECK, Event::Arrive(request));
            }
            Decision::Wait | Decision::Refuse { .. } => {
                self.outcome.healthy_refused += u32::from(bad.is_none());
                return;
            }
        }
        self.outcome.sharing_sent += u32::from(is_sharing);
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        self.counter += 1;
        let run = self.counter;
        self.targets[target].runs.insert(run, (request, self.now));
        let Some(bad) = bad else {
            return self.schedule(self.now + ANSWER, Event::Answer { run });
        };
        let allowed_until = self.fifth_crash_at.get(&bad).map(|at| *at + CONTACT);
        let is_allowed = allowed_until.is_none_or(|until| self.now <= until);
        self.outcome.late_sends += u32::from(!is_allowed);
        let crashes = self.outcome.crashes.entry(bad).or_default();
        *crashes += 1;
        if *crashes == 5 {
            self.fifth_crash_at.insert(bad, self.now);
        }
        let crash_at = self.now + Duration::from_millis(self.rng.random_range(40..120));
        self.schedule(crash_at, Event::Crash(target));
    }

    fn crash(&mut self, target: usize) {
        let now = self.now;
        self.counter += 1;
        let next_incarnation = self.counter;
        let crashed = &mut self.targets[target];
        if crashed.up_at > now {
            return;
        }
        let incarnation = std::mem::replace(&mut crashed.incarnation, next_incarnation);
        crashed.up_at = now + DOWNTIME;
        let runs = std::mem::take(&mut crashed.runs).into_values();
        let mut by_host: BTreeMap<usize, Vec<(Request, Duration)>> = BTreeMap::new();
        for (request, began_at) in runs {
            let seen = by_host.entry(request.host).or_default();
            seen.push((request, now - began_at));
        }
        for runs in by_host.into_values() {
            let broke_at = now + DETECTION;
            let Some(detected_at) = self.draw_detection(broke_at) else {
                continue;
            };
            let event = Event::Detect {
                incarnation,
                runs,
                broke_at,
            };
            self.schedule(detected_at, event);
        }
    }

    /// Draws when a host detects a crash, if it does.
    fn draw_detection(&mut self, broke_at: Duration) -> Option<Duration> {
        if self.setting.missed > 0.0 && self.rng.random_bool(self.setting.missed) {
            return None;
        }
        if self.setting.seen_late > 0.0 && self.rng.random_bool(self.setting.seen_late) {
            let late = Duration::from_millis(self.rng.random_range(LATE_DETECTION_MS));
            return Some(broke_at + late);
        }
        Some(broke_at)
    }

    /// Merges the record of a part at all hosts that hear the store and not one another.
    fn read(&mut self, part: PartId) {
        let now = self.instant();
        if let Some(report) = self.saved.report(part, now) {
            for host in &mut self.hosts {
                host.merge_report(&report, now);
            }
        }
    }

    fn record_crash(
        &mut self,
        request: Request,
        incarnation: u64,
        run_time: Duration,
        broke_at: Duration,
    ) {
        let detected_at = self.start + broke_at;
        let now = self.instant();
        for part in request.parts {
            let crash = Crash {
                incarnation,
                request: request.key,
                run_time,
                has_begun: true,
                detected_at,
            };
            let change = self.hosts[request.host].record_crash(part, crash);
            if change != Change::None {
                let report = self.hosts[request.host].report(part, now).unwrap();
                self.saved.merge_report(&report, now);
                if self.setting.is_apart {
                    self.schedule(self.now + RECORD_DELAY, Event::Read(part));
                }
                self.broadcast(request.host, part);
                let from = request.host;
                self.schedule(self.now + RESEND_DELAY, Event::Resend { from, part });
            }
        }
    }

    fn answer(&mut self, run: u64) {
        let mut targets = self.targets.iter_mut();
        // The run is gone if its target has crashed.
        let Some((request, _)) = targets.find_map(|target| target.runs.remove(&run)) else {
            return;
        };
        let now = self.instant();
        self.saved.record_success(&request.parts, now);
        for cleared in self.hosts[request.host].record_success(&request.parts, now) {
            if cleared.crashes > 1 {
                self.broadcast(request.host, cleared.part);
            }
        }
    }

    fn broadcast(&mut self, from: usize, part: PartId) {
        let Some(report) = self.hosts[from].report(part, self.instant()) else {
            return;
        };
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send(to, report.clone());
        }
    }

    fn send(&mut self, to: usize, report: Report) {
        let is_lost = self.setting.loss > 0.0 && self.rng.random_bool(self.setting.loss);
        if is_lost || self.setting.is_apart {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(DELAY_MS));
        self.schedule(self.now + delay, Event::Receive { to, report });
    }

    fn report_periodically(&mut self) {
        for from in 0..self.hosts.len() {
            let mut reports = self.hosts[from].periodic_reports(self.instant());
            reports.sort_by_key(|report| report.part);
            for report in reports {
                let to = self.rng.random_range(0..self.hosts.len());
                self.send(to, report);
            }
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Periodic);
    }

    fn restart(&mut self, all: bool) {
        let now = self.instant();
        if all {
            for host in &mut self.hosts {
                *host = Parts::default();
                host.set_incomplete(true);
            }
            self.is_unread = true;
            return self.schedule(self.now + self.setting.unreadable, Event::Load);
        }
        let restarted = self.rng.random_range(0..self.hosts.len());
        let other = (restarted + 1) % self.hosts.len();
        let reports = self.hosts[other].periodic_reports(now);
        self.hosts[restarted] = Parts::default();
        self.hosts[restarted].set_incomplete(self.is_unread);
        for report in &reports {
            self.hosts[restarted].merge_report(report, now);
        }
        self.schedule(self.now + CRASH_INTERVAL / 3, Event::Restart { all: false });
    }

    fn load(&mut self) {
        self.is_unread = false;
        let now = self.instant();
        let saved = self.saved.reports(now);
        for host in &mut self.hosts {
            for report in &saved {
                host.merge_report(report, now);
            }
            host.set_incomplete(false);
        }
    }
}
