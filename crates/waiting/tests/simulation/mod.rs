//! The hosts and targets of a data centre in virtual time, the same for the same seed:
//! hosts know what others run by news that is some milliseconds old, targets take requests
//! in the order in which they come.
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
/// Places of a target.
const SLOTS: usize = 8;
/// How long a request runs.
const RUN_US: std::ops::Range<u64> = 450_000..950_000;
/// How long news and words take, with the gap between two words of a host.
const NEWS_US: std::ops::Range<u64> = 300..3_000;
const WORD_US: std::ops::Range<u64> = 150..400;
/// Time between two looks at a line.
const LOOK_US: u64 = 4_000;
/// Time to begin within: an objective of 300 ms, less the time to a first event.
pub const BEGIN_MS: u64 = 260;
const SERVICE: u32 = 1;

/// Where requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// In the queues of targets, as far as they are expected to begin in time there.
    Targets,
    /// At hosts.
    Hosts,
}

/// A workspace and what it sends.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    pub weight: f64,
    pub per_s: f64,
}

/// What became of a workspace's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Refused later than 10 ms after they came.
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

    /// Returns the share of requests that began in time.
    pub fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize),
    Look(usize),
    News(usize, usize, usize),
    Hand(usize, usize),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    host: usize,
    workspace: usize,
    target: usize,
    came_us: u64,
}

#[derive(Clone, Debug, Default)]
struct News {
    loads: Vec<i32>,
    waiting: Vec<RequestSummary>,
    held: Vec<WorkspaceUsage>,
    handed: Vec<u32>,
}

struct Host {
    own: Vec<i32>,
    others: Vec<Vec<i32>>,
    /// The number of the newest news of each.
    heard: Vec<usize>,
    line: WaitQueue,
    shares: SlotUsage,
    waiting: HashMap<Ticket, (usize, u64)>,
    is_up: bool,
}

impl Host {
    fn load(&self, target: usize) -> i32 {
        let others: i32 = self.others.iter().map(|loads| loads[target]).sum();
        self.own[target] + others
    }

    fn room(&self, target: usize) -> usize {
        SLOTS.saturating_sub(usize::try_from(self.load(target)).unwrap_or(0))
    }
}

/// A data centre.
pub struct Fleet {
    way: Way,
    rng: ChaCha8Rng,
    start: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    hosts: Vec<Host>,
    targets: Vec<(usize, VecDeque<usize>)>,
    runs: Vec<Run>,
    news: Vec<News>,
    senders: Vec<Sender>,
    pub outcomes: Vec<Outcome>,
}

impl Fleet {
    pub fn new(way: Way, hosts: usize, targets: usize, senders: &[Sender], seed: u64) -> Self {
        let host = || Host {
            own: vec![0; targets],
            others: vec![vec![0; targets]; hosts],
            heard: vec![0; hosts],
            line: WaitQueue::default(),
            shares: SlotUsage::default(),
            waiting: HashMap::new(),
            is_up: true,
        };
        Self {
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            count: 0,
            hosts: (0..hosts).map(|_| host()).collect(),
            targets: vec![(0, VecDeque::new()); targets],
            runs: Vec::new(),
            news: Vec::new(),
            senders: senders.to_vec(),
            outcomes: vec![Outcome::default(); senders.len()],
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at_us, self.count, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Lets a workspace send for a time, `times` what it usually does.
    pub fn send(&mut self, workspace: usize, span_us: std::ops::Range<u64>, times: f64) {
        let mut at_us = span_us.start;
        let per_s = self.senders[workspace].per_s * times;
        loop {
            let unit: f64 = self.rng.random_range(1e-9..1.0);
            at_us += (-unit.ln() / per_s * SECOND as f64) as u64;
            if at_us >= span_us.end {
                return;
            }
            self.push(at_us, Event::Arrive(workspace));
        }
    }

    /// Ends a host without a word: its requests are lost, and nobody hears of it.
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
            Event::Look(host) => {
                self.serve(host);
                self.refuse(host);
                if !self.hosts[host].line.is_empty() {
                    self.push(self.now_us + LOOK_US, Event::Look(host));
                }
            }
            Event::News(to, from, number) => self.hear(to, from, number),
            Event::Hand(host, target) => self.take_handed(host, target),
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].is_up)
            .collect();
        let host = *up.choose(&mut self.rng).unwrap();
        self.outcomes[workspace].sent += 1;
        if self.way == Way::Targets {
            return self.join(host, workspace);
        }
        let now = self.now();
        let request = Request {
            service: SERVICE,
            workspace: workspace as u32,
            priority: 0,
            waiting_since: now,
            start_deadline: now + Duration::from_millis(BEGIN_MS),
        };
        let ticket = self.hosts[host].line.enqueue(request, now);
        self.hosts[host]
            .waiting
            .insert(ticket, (workspace, self.now_us));
        self.serve(host);
        self.refuse(host);
        if !self.hosts[host].line.is_empty() {
            self.tell(host);
            self.push(self.now_us + LOOK_US, Event::Look(host));
        }
    }

    /// Sends a request to the target with the shortest queue, as far as known.
    fn join(&mut self, host: usize, workspace: usize) {
        let draw = self.rng.random_range(0..self.targets.len());
        let targets = (0..self.targets.len()).map(|i| (i + draw) % self.targets.len());
        let target = targets.min_by_key(|t| self.hosts[host].load(*t)).unwrap();
        let behind = (self.hosts[host].load(target) + 1 - SLOTS as i32).max(0);
        if f64::from(behind) * 700.0 / SLOTS as f64 > BEGIN_MS as f64 {
            self.outcomes[workspace].refused += 1;
            return;
        }
        self.begin(host, workspace, target, self.now_us);
    }

    fn drain_per_s(&self) -> f64 {
        // As hosts know it from requests that ran while places were free.
        (self.targets.len() * SLOTS) as f64 / 0.6
    }

    fn serve(&mut self, host: usize) {
        loop {
            let now = self.now();
            let drain_per_s = self.drain_per_s();
            let targets = self.targets.len();
            let this = &mut self.hosts[host];
            let Some(first) = this.line.first(SERVICE, &this.shares) else {
                return;
            };
            let rooms = (0..targets).map(|target| FreeSlots {
                target: target as u32,
                count: this.room(target) as u32,
            });
            let open: Vec<FreeSlots> = rooms.filter(|open| open.count > 0).collect();
            let target = match this.line.may_start(&first, &open, drain_per_s, now) {
                StartDecision::Any => {
                    let draw = self.rng.random_range(0..open.len());
                    let drawn = (0..open.len()).map(|i| open[(i + draw) % open.len()]);
                    drawn.max_by_key(|open| open.count).unwrap().target as usize
                }
                StartDecision::At(target) => target as usize,
                StartDecision::Wait => return,
            };
            self.grant(host, first.ticket, target);
        }
    }

    fn grant(&mut self, host: usize, ticket: Ticket, target: usize) {
        let this = &mut self.hosts[host];
        this.line.remove(ticket);
        let (workspace, came_us) = this.waiting.remove(&ticket).unwrap();
        let weight = self.senders[workspace].weight;
        this.shares.acquire(workspace as u32, weight);
        self.begin(host, workspace, target, came_us);
    }

    fn begin(&mut self, host: usize, workspace: usize, target: usize, came_us: u64) {
        self.hosts[host].own[target] += 1;
        self.runs.push(Run {
            host,
            workspace,
            target,
            came_us,
        });
        let run = self.runs.len() - 1;
        let (running, queue) = &mut self.targets[target];
        if *running < SLOTS {
            *running += 1;
            self.start(run);
        } else {
            queue.push_back(run);
        }
        self.tell(host);
    }

    fn start(&mut self, run: usize) {
        let Run {
            workspace, came_us, ..
        } = self.runs[run];
        let outcome = &mut self.outcomes[workspace];
        match self.now_us - came_us <= BEGIN_MS * 1_000 {
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
        this.own[target] -= 1;
        if self.way == Way::Hosts {
            this.shares.release(workspace as u32);
            if this.room(target) > 0 {
                match this
                    .line
                    .assign_freed(SERVICE, target as u32, &this.shares, now)
                {
                    Some(Assignment::Local(first)) => self.grant(host, first.ticket, target),
                    Some(Assignment::Peer(peer)) => {
                        let at_us = self.now_us + self.rng.random_range(WORD_US);
                        self.push(at_us, Event::Hand(peer.parse().unwrap(), target));
                    }
                    None => {}
                }
            }
        }
        self.tell(host);
    }

    fn take_handed(&mut self, host: usize, target: usize) {
        let this = &self.hosts[host];
        if let (true, Some(first)) = (this.is_up, this.line.first(SERVICE, &this.shares)) {
            self.grant(host, first.ticket, target);
        }
    }

    fn refuse(&mut self, host: usize) {
        let (now, drain_per_s) = (self.now(), self.drain_per_s());
        let this = &mut self.hosts[host];
        let expected = this
            .line
            .estimate_starts(SERVICE, drain_per_s, &this.shares, now);
        for late in expected.into_iter().filter(|e| e.is_late) {
            this.line.remove(late.ticket);
            let (workspace, came_us) = this.waiting.remove(&late.ticket).unwrap();
            self.outcomes[workspace].refused += 1;
            if self.now_us - came_us > 10_000 {
                self.outcomes[workspace].refused_late += 1;
            }
        }
    }

    fn tell(&mut self, host: usize) {
        let now = self.now();
        let this = &self.hosts[host];
        let is_contended = this.line.is_contended();
        let news = News {
            loads: this.own.clone(),
            waiting: this.line.summary(&this.shares, now),
            handed: this.line.recent_transfers(now),
            held: if is_contended {
                this.shares.summary()
            } else {
                Vec::new()
            },
        };
        self.news.push(news);
        let number = self.news.len() - 1;
        for to in 0..self.hosts.len() {
            if to != host {
                let at_us = self.now_us + self.rng.random_range(NEWS_US);
                self.push(at_us, Event::News(to, host, number));
            }
        }
    }

    fn hear(&mut self, to: usize, from: usize, number: usize) {
        let now = self.now();
        let News {
            loads,
            waiting,
            held,
            handed,
        } = self.news[number].clone();
        let this = &mut self.hosts[to];
        if number < this.heard[from] {
            return;
        }
        this.heard[from] = number;
        this.others[from] = loads;
        let name = from.to_string();
        this.line.update_peer(&name, &waiting, &handed, now);
        this.shares.update_peer(&name, held);
        if !this.line.is_empty() {
            self.serve(to);
        }
    }
}
