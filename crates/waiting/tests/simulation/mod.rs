//! Simulates the hosts and targets of a data centre in virtual time, deterministically for a
//! seed. Hosts receive one another's load in status messages that are a few milliseconds
//! old; targets process requests in arrival order.
#![allow(unreachable_pub, reason = "Private to the tests.")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use notchwharf_waiting::Assignment;
use notchwharf_waiting::FreeSlots;
use notchwharf_waiting::Request;
use notchwharf_waiting::RequestSummary;
use notchwharf_waiting::SlotUsage;
use notchwharf_waiting::StartDecision;
use notchwharf_waiting::Ticket;
use notchwharf_waiting::WaitQueue;
use notchwharf_waiting::WorkspaceUsage;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

pub const SECOND: u64 = 1_000_000;
/// Slots of a target.
const SLOTS_PER_TARGET: usize = 8;
/// Running time of a request.
const RUN_US: std::ops::Range<u64> = 450_000..950_000;
/// Message delay of a status and of a transfer; the former includes the report interval.
const STATUS_DELAY_US: std::ops::Range<u64> = 300..3_000;
const TRANSFER_DELAY_US: std::ops::Range<u64> = 150..400;
/// Interval at which a host checks its wait queue.
const CHECK_INTERVAL_US: u64 = 4_000;
/// Time within which requests must start: an objective of 300 ms less the time to the first
/// event.
pub const START_OBJECTIVE_MS: u64 = 260;
const SERVICE: u32 = 1;

/// Where requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueLocation {
    /// In the queues of targets, as long as they are expected to start there in time.
    Targets,
    /// At hosts.
    Hosts,
}

/// A workspace and its request rate.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    pub weight: f64,
    pub per_s: f64,
}

/// Outcomes of a workspace's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Refused later than 10 ms after their arrival.
    pub refused_late: u32,
}

impl Outcome {
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_late += other.refused_late;
    }

    /// Returns the fraction of requests that started in time.
    pub fn in_time_fraction(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize),
    CheckQueue(usize),
    Status(usize, usize, usize),
    Transfer(usize, usize),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    host: usize,
    workspace: usize,
    target: usize,
    arrived_us: u64,
}

#[derive(Clone, Debug, Default)]
struct Status {
    loads: Vec<i32>,
    waiting: Vec<RequestSummary>,
    usage: Vec<WorkspaceUsage>,
    transfers: Vec<u32>,
}

struct Host {
    own_load: Vec<i32>,
    peer_loads: Vec<Vec<i32>>,
    /// Number of the newest status received from each host.
    newest_status: Vec<usize>,
    queue: WaitQueue,
    usage: SlotUsage,
    waiting: HashMap<Ticket, (usize, u64)>,
    is_up: bool,
}

impl Host {
    fn load(&self, target: usize) -> i32 {
        let peers: i32 = self.peer_loads.iter().map(|loads| loads[target]).sum();
        self.own_load[target] + peers
    }

    fn free_slots(&self, target: usize) -> usize {
        SLOTS_PER_TARGET.saturating_sub(usize::try_from(self.load(target)).unwrap_or(0))
    }
}

/// A data centre.
pub struct Fleet {
    queue_location: QueueLocation,
    rng: ChaCha8Rng,
    start: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    hosts: Vec<Host>,
    targets: Vec<(usize, VecDeque<usize>)>,
    runs: Vec<Run>,
    statuses: Vec<Status>,
    senders: Vec<Sender>,
    pub outcomes: Vec<Outcome>,
}

impl Fleet {
    pub fn new(
        queue_location: QueueLocation,
        hosts: usize,
        targets: usize,
        senders: &[Sender],
        seed: u64,
    ) -> Self {
        let host = || Host {
            own_load: vec![0; targets],
            peer_loads: vec![vec![0; targets]; hosts],
            newest_status: vec![0; hosts],
            queue: WaitQueue::default(),
            usage: SlotUsage::default(),
            waiting: HashMap::new(),
            is_up: true,
        };
        Self {
            queue_location,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            hosts: (0..hosts).map(|_| host()).collect(),
            targets: vec![(0, VecDeque::new()); targets],
            runs: Vec::new(),
            statuses: Vec::new(),
            senders: senders.to_vec(),
            outcomes: vec![Outcome::default(); senders.len()],
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Lets a workspace send requests for a period, at its usual rate multiplied by
    /// `load_factor`.
    pub fn send(&mut self, workspace: usize, span_us: std::ops::Range<u64>, load_factor: f64) {
        let mut at_us = span_us.start;
        let per_s = self.senders[workspace].per_s * load_factor;
        loop {
            let uniform: f64 = self.rng.random_range(1e-9..1.0);
            at_us += (-uniform.ln() / per_s * SECOND as f64) as u64;
            if at_us >= span_us.end {
                return;
            }
            self.push(at_us, Event::Arrive(workspace));
        }
    }

    /// Stops a host silently: its requests are lost, and no other host is notified.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
    }

    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, ..))) = self.events.peek()
            && *at_us <= until_us
        {
            let Some(Reverse((at_us, _, event))) = self.events.pop() else {
                return;
            };
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = until_us;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(workspace) => self.arrive(workspace),
            Event::End(run) => self.end(run),
            Event::CheckQueue(host) => {
                self.start_waiting(host);
                self.refuse_late(host);
                if !self.hosts[host].queue.is_empty() {
                    self.push(self.now_us + CHECK_INTERVAL_US, Event::CheckQueue(host));
                }
            }
            Event::Status(to, from, number) => self.receive_status(to, from, number),
            Event::Transfer(host, target) => self.accept_transfer(host, target),
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].is_up)
            .collect();
        let host = *up.choose(&mut self.rng).unwrap();
        self.outcomes[workspace].sent += 1;
        if self.queue_location == QueueLocation::Targets {
            return self.send_to_target(host, workspace);
        }
        let now = self.now();
        let request = Request {
            service: SERVICE,
            workspace: workspace as u32,
            priority: 0,
            waiting_since: now,
            start_deadline: now + Duration::from_millis(START_OBJECTIVE_MS),
        };
        let ticket = self.hosts[host].queue.enqueue(request, now);
        self.hosts[host]
            .waiting
            .insert(ticket, (workspace, self.now_us));
        self.start_waiting(host);
        self.refuse_late(host);
        if !self.hosts[host].queue.is_empty() {
            self.report(host);
            self.push(self.now_us + CHECK_INTERVAL_US, Event::CheckQueue(host));
        }
    }

    /// Sends a request to the target with the shortest known queue.
    fn send_to_target(&mut self, host: usize, workspace: usize) {
        let random = self.rng.random_range(0..self.targets.len());
        let targets = (0..self.targets.len()).map(|i| (i + random) % self.targets.len());
        let target = targets.min_by_key(|t| self.hosts[host].load(*t)).unwrap();
        let queued_before = (self.hosts[host].load(target) + 1 - SLOTS_PER_TARGET as i32).max(0);
        if f64::from(queued_before) * 700.0 / SLOTS_PER_TARGET as f64 > START_OBJECTIVE_MS as f64 {
            self.outcomes[workspace].refused += 1;
            return;
        }
        self.submit(host, workspace, target, self.now_us);
    }

    fn releases_per_s(&self) -> f64 {
        // Release rate as hosts measure it on requests that ran while slots were free.
        (self.targets.len() * SLOTS_PER_TARGET) as f64 / 0.6
    }

    fn start_waiting(&mut self, host: usize) {
        loop {
            let now = self.now();
            let releases_per_s = self.releases_per_s();
            let targets = self.targets.len();
            let this = &mut self.hosts[host];
            let Some(first) = this.queue.first(SERVICE, &this.usage) else {
                return;
            };
            let slots = (0..targets).map(|target| FreeSlots {
                target: target as u32,
                count: this.free_slots(target) as u32,
            });
            let free: Vec<FreeSlots> = slots.filter(|slots| slots.count > 0).collect();
            let target = match this.queue.may_start(&first, &free, releases_per_s, now) {
                StartDecision::Any => {
                    let random = self.rng.random_range(0..free.len());
                    let rotated = (0..free.len()).map(|i| free[(i + random) % free.len()]);
                    rotated.max_by_key(|slots| slots.count).unwrap().target as usize
                }
                StartDecision::At(target) => target as usize,
                StartDecision::Wait => return,
            };
            self.start_queued(host, first.ticket, target);
        }
    }

    fn start_queued(&mut self, host: usize, ticket: Ticket, target: usize) {
        let this = &mut self.hosts[host];
        this.queue.remove(ticket);
        let (workspace, arrived_us) = this.waiting.remove(&ticket).unwrap();
        let weight = self.senders[workspace].weight;
        this.usage.acquire(workspace as u32, weight);
        self.submit(host, workspace, target, arrived_us);
    }

    fn submit(&mut self, host: usize, workspace: usize, target: usize, arrived_us: u64) {
        self.hosts[host].own_load[target] += 1;
        self.runs.push(Run {
            host,
            workspace,
            target,
            arrived_us,
        });
        let run = self.runs.len() - 1;
        let (running, queue) = &mut self.targets[target];
        if *running < SLOTS_PER_TARGET {
            *running += 1;
            self.start(run);
        } else {
            queue.push_back(run);
        }
        self.report(host);
    }

    fn start(&mut self, run: usize) {
        let Run {
            workspace,
            arrived_us,
            ..
        } = self.runs[run];
        let outcome = &mut self.outcomes[workspace];
        match self.now_us - arrived_us <= START_OBJECTIVE_MS * 1_000 {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
        let ends_us = self.now_us + self.rng.random_range(RUN_US);
        self.push(ends_us, Event::End(run));
    }

    fn end(&mut self, run: usize) {
        let Run {
            host,
            workspace,
            target,
            ..
        } = self.runs[run];
        let (running, queue) = &mut self.targets[target];
        match queue.pop_front() {
            Some(next) => self.start(next),
            None => *running -= 1,
        }
        let now = self.now();
        let this = &mut self.hosts[host];
        if !this.is_up {
            return;
        }
        this.own_load[target] -= 1;
        if self.queue_location == QueueLocation::Hosts {
            this.usage.release(workspace as u32);
            if this.free_slots(target) > 0 {
                match this
                    .queue
                    .assign_freed(SERVICE, target as u32, &this.usage, now)
                {
                    Some(Assignment::Local(first)) => self.start_queued(host, first.ticket, target),
                    Some(Assignment::Peer(peer)) => {
                        let at_us = self.now_us + self.rng.random_range(TRANSFER_DELAY_US);
                        self.push(at_us, Event::Transfer(peer.parse().unwrap(), target));
                    }
                    None => {}
                }
            }
        }
        self.report(host);
    }

    fn accept_transfer(&mut self, host: usize, target: usize) {
        let this = &self.hosts[host];
        if let (true, Some(first)) = (this.is_up, this.queue.first(SERVICE, &this.usage)) {
            self.start_queued(host, first.ticket, target);
        }
    }

    fn refuse_late(&mut self, host: usize) {
        let (now, releases_per_s) = (self.now(), self.releases_per_s());
        let this = &mut self.hosts[host];
        let estimates = this
            .queue
            .estimate_starts(SERVICE, releases_per_s, &this.usage, now);
        for late in estimates.into_iter().filter(|e| e.is_late) {
            this.queue.remove(late.ticket);
            let (workspace, arrived_us) = this.waiting.remove(&late.ticket).unwrap();
            self.outcomes[workspace].refused += 1;
            if self.now_us - arrived_us > 10_000 {
                self.outcomes[workspace].refused_late += 1;
            }
        }
    }

    fn report(&mut self, host: usize) {
        let now = self.now();
        let this = &self.hosts[host];
        let is_contended = this.queue.is_contended();
        let status = Status {
            loads: this.own_load.clone(),
            waiting: this.queue.summary(&this.usage, now),
            transfers: this.queue.recent_transfers(now),
            usage: if is_contended {
                this.usage.summary()
            } else {
                Vec::new()
            },
        };
        self.statuses.push(status);
        let number = self.statuses.len() - 1;
        for to in 0..self.hosts.len() {
            if to != host {
                let at_us = self.now_us + self.rng.random_range(STATUS_DELAY_US);
                self.push(at_us, Event::Status(to, host, number));
            }
        }
    }

    fn receive_status(&mut self, to: usize, from: usize, number: usize) {
        let now = self.now();
        let Status {
            loads,
            waiting,
            usage,
            transfers,
        } = self.statuses[number].clone();
        let this = &mut self.hosts[to];
        if number < this.newest_status[from] {
            return;
        }
        this.newest_status[from] = number;
        this.peer_loads[from] = loads;
        let name = from.to_string();
        this.queue.update_peer(&name, &waiting, &transfers, now);
        this.usage.update_peer(&name, usage);
        if !this.queue.is_empty() {
            self.start_waiting(to);
        }
    }
}
