//! A fleet in virtual time: hosts that tick, are cut off, paused, killed and started
//! again, and callers that ask them. One of three ways decides on each host.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "Each binary uses a part of it, and fails by panicking."
)]

pub mod counts;
pub mod days;
pub mod shares;
mod tank;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::access::RateLimit;
use notchwharf_quota::Action;
use notchwharf_quota::Bounds;
use notchwharf_quota::BucketParams;
use notchwharf_quota::Decision;
use notchwharf_quota::HOLDER_SLOTS;
use notchwharf_quota::HolderSlot;
use notchwharf_quota::HostKey;
use notchwharf_quota::Limiter;
use notchwharf_quota::Message;
use notchwharf_quota::Query;
use notchwharf_quota::WorkspaceKey;
use notchwharf_quota::is_allowance_due;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use self::counts::Counts;
use self::shares::Shares;

/// Time between two ticks of a host, as the gateway ticks.
const TICK_US: u64 = 100_000;
/// Time after which an unanswered question goes to the other holder.
const AGAIN_US: u64 = 20_000;
/// Time after which a question is given up.
const GIVE_UP_US: u64 = 400_000;
/// Silence after which a host counts as down.
const DOWN_US: u64 = 1_200_000;
/// The way between two hosts.
const WAY_US: std::ops::Range<u64> = 200..2_500;
/// The only workspace.
const WORKSPACE: WorkspaceKey = 7;
/// What a call of the store takes.
const STORE_US: std::ops::Range<u64> = 4_000..12_000;
/// By how much the time of day of a host may be wrong, either way.
const CLOCK_WRONG_US: u64 = 1_000_000;
/// The time of day at the start of a play.
const DAY_US: u64 = 10_000_000_000;
/// Time for which requests can wait: half of the users' objective.
const PATIENCE: Duration = Duration::from_millis(150);

pub const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

/// Which way decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Counts that hosts tell one another.
    Counts,
    /// Shares that follow demand.
    Shares,
    /// Parts that are lent to holders.
    Holders,
}

/// What one way knows on one host.
pub enum Decider {
    Counts(Counts),
    Shares(Shares),
    Holders(Box<Limiter>),
}

/// What hosts of any way tell one another.
#[derive(Clone, Debug)]
pub enum Told {
    Total(u64),
    Demand(f64),
    Holders(Message),
}

impl Told {
    /// Returns its bytes in a datagram, beside the sender's name.
    fn bytes(&self) -> usize {
        match self {
            Self::Total(_) => 12,
            Self::Demand(_) => 12,
            Self::Holders(message) => postcard::to_stdvec(message).unwrap().len(),
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Deliver(usize, Told),
    Arrive,
    Again(u32),
    /// The store has read what was last asked of it about a slot.
    Allow(HolderSlot, Option<u64>),
    GiveUp(u32),
    Go(u32),
}

pub struct Host {
    decider: Decider,
    is_up: bool,
    life: u32,
    paused_until: u64,
    /// Hosts that hear one another have the same number.
    pub side: u8,
    heard: Vec<u64>,
    /// By how much its time of day is ahead of one that is as wrong as it may be.
    clock_us: u64,
    /// Requests that wait for an answer, with when they were sent.
    waiting: std::collections::HashMap<u32, u64>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub host: usize,
    pub sent_us: u64,
    pub ended_us: u64,
    pub is_given: bool,
}

/// When an event is due, its number, and the host with its life.
type Due = (u64, usize, usize, u32);

pub struct Fleet {
    pub way: Way,
    pub limit: RateLimit,
    pub now_us: u64,
    pub hosts: Vec<Host>,
    pub outcomes: Vec<Outcome>,
    pub bytes: u64,
    pub loss: f64,
    pub is_store_away: bool,
    /// When the allowance of each slot was last asked for, by the asker's clock.
    allowed_unix_ms: [Option<u64>; HOLDER_SLOTS],
    pub rng: ChaCha8Rng,
    start: Instant,
    queue: BinaryHeap<Reverse<Due>>,
    events: Vec<Option<Event>>,
}

fn key(host: usize) -> HostKey {
    notchwharf_quota::host_key(&format!("host-{host}"))
}

impl Fleet {
    pub fn new(way: Way, hosts: usize, limit: RateLimit, seed: u64) -> Self {
        let mut fleet = Self {
            way,
            limit,
            now_us: 0,
            hosts: Vec::new(),
            outcomes: Vec::new(),
            bytes: 0,
            loss: 0.0,
            is_store_away: false,
            allowed_unix_ms: [None; HOLDER_SLOTS],
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
        };
        for host in 0..hosts {
            let decider = fleet.decider(host, hosts);
            fleet.hosts.push(Host {
                decider,
                is_up: true,
                life: 0,
                paused_until: 0,
                side: 0,
                clock_us: fleet.rng.random_range(0..2 * CLOCK_WRONG_US),
                heard: vec![0; hosts],
                waiting: Default::default(),
            });
            let first = fleet.rng.random_range(0..TICK_US);
            fleet.push(first, host, Event::Tick);
        }
        fleet
    }

    fn terms(&self) -> BucketParams {
        BucketParams::new(self.limit, BOUNDS)
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn decider(&mut self, host: usize, hosts: usize) -> Decider {
        let now = self.at(self.now_us);
        let terms = self.terms();
        match self.way {
            Way::Counts => Decider::Counts(Counts::new(hosts, terms, self.now_us)),
            Way::Shares => Decider::Shares(Shares::new(hosts, terms, self.now_us)),
            Way::Holders => {
                let mut node = Limiter::new(key(host), self.rng.random(), now);
                node.set_limits([(WORKSPACE, terms)].into(), now);
                Decider::Holders(Box::new(node))
            }
        }
    }

    fn push(&mut self, at: u64, host: usize, event: Event) {
        let number = self.events.len();
        self.events.push(Some(event));
        let life = self.hosts.get(host).map_or(0, |h| h.life);
        self.queue.push(Reverse((at, number, host, life)));
    }

    /// Lets a caller send a request to a host.
    pub fn send(&mut self, at_us: u64, host: usize) {
        self.push(at_us, host, Event::Arrive);
    }

    /// Plays until a time.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at, number, host, life))) = self.queue.peek().copied() {
            if at > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = self.now_us.max(at);
            let event = self.events[number].take().unwrap();
            let paused_until = self.hosts[host].paused_until;
            if at < paused_until {
                // What comes to a host that stands still waits for it.
                self.push(paused_until, host, event);
                continue;
            }
            let is_for_this_life = life == self.hosts[host].life;
            if self.hosts[host].is_up && is_for_this_life {
                self.handle(host, event);
            }
        }
        self.now_us = until_us;
    }

    /// Stops a host without a word.
    pub fn kill(&mut self, host: usize) {
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        drop(waiting);
        self.hosts[host].is_up = false;
    }

    pub fn start(&mut self, host: usize) {
        let hosts = self.hosts.len();
        let decider = self.decider(host, hosts);
        let restarted = &mut self.hosts[host];
        if restarted.is_up {
            return;
        }
        restarted.decider = decider;
        restarted.is_up = true;
        restarted.life += 1;
        restarted.paused_until = 0;
        restarted.heard = vec![0; hosts];
        self.push(self.now_us, host, Event::Tick);
    }

    /// Kills all hosts and starts them again after a time.
    pub fn restart_all(&mut self, down_us: u64) {
        (0..self.hosts.len()).for_each(|host| self.kill(host));
        self.run_until(self.now_us + down_us);
        (0..self.hosts.len()).for_each(|host| self.start(host));
    }

    pub fn pause(&mut self, host: usize, until_us: u64) {
        self.hosts[host].paused_until = until_us;
    }

    /// Puts another limit in force on all hosts.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
        let terms = self.terms();
        let now = self.at(self.now_us);
        for host in &mut self.hosts {
            match &mut host.decider {
                Decider::Counts(counts) => counts.set_limits(terms),
                Decider::Shares(shares) => shares.set_limits(terms),
                Decider::Holders(node) => node.set_limits([(WORKSPACE, terms)].into(), now),
            }
        }
    }

    fn handle(&mut self, host: usize, event: Event) {
        let now = self.at(self.now_us);
        match event {
            Event::Tick => {
                self.tick(host);
                self.push(self.now_us + TICK_US, host, Event::Tick);
            }
            Event::Deliver(from, told) => {
                self.hosts[host].heard[from] = self.now_us;
                self.receive(host, from, told);
            }
            Event::Arrive => self.ask(host),
            Event::Again(number) => {
                let is_waiting = self.hosts[host].waiting.contains_key(&number);
                if let (true, Decider::Holders(node)) = (is_waiting, &mut self.hosts[host].decider)
                    && let Some(asked) = node.retry_query(number, now)
                {
                    self.asked(host, asked);
                    self.push(self.now_us + AGAIN_US, host, Event::Again(number));
                }
            }
            Event::Allow(slot, asked_us) => {
                let asked = asked_us.map(|us| self.at(us));
                if let Decider::Holders(node) = &mut self.hosts[host].decider {
                    match asked {
                        Some(asked) => node.grant_allowance(slot, asked, now),
                        None => node.deny_allowance(slot),
                    }
                }
            }
            Event::Go(number) => self.end(host, number, true),
            Event::GiveUp(number) => {
                if let Decider::Holders(node) = &mut self.hosts[host].decider {
                    node.cancel_query(number);
                }
                self.end(host, number, false);
            }
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.at(self.now_us);
        let now_us = self.now_us;
        let hosts = self.hosts.len();
        let heard = &self.hosts[host].heard;
        let is_alive =
            |other: usize| other != host && heard[other] > 0 && now_us - heard[other] < DOWN_US;
        let alive: Vec<usize> = (0..hosts).filter(|other| is_alive(*other)).collect();
        let told: Vec<(usize, Told)> = match &mut self.hosts[host].decider {
            Decider::Counts(counts) => {
                let total = counts.tick(&alive, now_us);
                let others = (0..hosts).filter(|other| *other != host);
                others.map(|other| (other, Told::Total(total))).collect()
            }
            Decider::Shares(shares) => {
                let demand = shares.tick(&alive, host, now_us);
                let others = (0..hosts).filter(|other| *other != host);
                others.map(|other| (other, Told::Demand(demand))).collect()
            }
            Decider::Holders(node) => {
                let alive: Vec<HostKey> = alive.iter().map(|other| key(*other)).collect();
                let members: Vec<HostKey> = (0..hosts).map(key).collect();
                let fleet = notchwharf_quota::Fleet {
                    holder_candidates: &alive,
                    members: &members,
                    expired: &[],
                    is_complete: true,
                };
                let calls = node.tick(&fleet, true, now);
                let place = |to: HostKey| (0..hosts).find(|host| key(*host) == to).unwrap();
                calls
                    .into_iter()
                    .map(|(to, message)| (place(to), Told::Holders(message)))
                    .collect()
            }
        };
        self.ask_store(host);
        // Hosts hear of one another by what they tell anyway.
        for other in 0..hosts {
            let side = self.hosts[host].side;
            if other != host && self.hosts[other].side == side && self.hosts[other].is_up {
                self.hosts[other].heard[host] = now_us;
            }
        }
        for (to, told) in told {
            self.tell(host, to, told);
        }
    }

    /// Lets a host ask the store for the allowance of a slot, if it wants it.
    fn ask_store(&mut self, host: usize) {
        let Decider::Holders(node) = &mut self.hosts[host].decider else {
            return;
        };
        let Some(slot) = node.next_allowance_request() else {
            return;
        };
        if self.is_store_away {
            return;
        }
        let unix_ms = (DAY_US + self.now_us + self.hosts[host].clock_us) / 1_000;
        let last = &mut self.allowed_unix_ms[usize::from(slot)];
        let may = is_allowance_due(*last, unix_ms, BOUNDS.window);
        if may {
            *last = Some(unix_ms);
        }
        let took = self.rng.random_range(STORE_US);
        let asked_us = may.then_some(self.now_us);
        self.push(self.now_us + took, host, Event::Allow(slot, asked_us));
    }

    fn tell(&mut self, from: usize, to: usize, told: Told) {
        self.bytes += told.bytes() as u64;
        let is_cut = self.hosts[from].side != self.hosts[to].side;
        if is_cut || !self.hosts[to].is_up || self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now_us + self.rng.random_range(WAY_US);
        self.push(at, to, Event::Deliver(from, told));
    }

    fn receive(&mut self, host: usize, from: usize, told: Told) {
        let now = self.at(self.now_us);
        let reaction = match (&mut self.hosts[host].decider, told) {
            (Decider::Counts(counts), Told::Total(total)) => {
                counts.heard(from, total, self.now_us);
                return;
            }
            (Decider::Shares(shares), Told::Demand(demand)) => {
                shares.heard(from, demand);
                return;
            }
            (Decider::Holders(node), Told::Holders(message)) => {
                node.receive(key(from), &message, now)
            }
            _ => return,
        };
        match reaction {
            Action::None => {}
            Action::Reply(message) => self.tell(host, from, Told::Holders(message)),
            Action::Query(asked) => self.asked(host, asked),
        }
    }

    fn ask(&mut self, host: usize) {
        let (now, now_us) = (self.at(self.now_us), self.now_us);
        let is_given = match &mut self.hosts[host].decider {
            Decider::Counts(counts) => counts.take(now_us),
            Decider::Shares(shares) => shares.take(now_us),
            Decider::Holders(node) => {
                let asked = node.query(WORKSPACE, PATIENCE, now);
                let (Query::Decided { number, .. } | Query::Sent { number, .. }) = asked;
                self.hosts[host].waiting.insert(number, now_us);
                self.push(now_us + AGAIN_US, host, Event::Again(number));
                self.push(now_us + GIVE_UP_US, host, Event::GiveUp(number));
                return self.asked(host, asked);
            }
        };
        self.outcomes.push(Outcome {
            host,
            sent_us: now_us,
            ended_us: now_us,
            is_given,
        });
    }

    fn asked(&mut self, host: usize, asked: Query) {
        match asked {
            Query::Decided { number, decision } => match decision {
                Decision::Admitted { delay } => {
                    let at = self.now_us + delay.as_micros() as u64;
                    self.push(at, host, Event::Go(number));
                }
                Decision::Refused { .. } | Decision::Unknown => self.end(host, number, false),
            },
            Query::Sent { to, message, .. } => {
                let hosts = self.hosts.len();
                let to = (0..hosts).find(|other| key(*other) == to).unwrap();
                self.tell(host, to, Told::Holders(message));
            }
        }
    }

    fn end(&mut self, host: usize, number: u32, is_given: bool) {
        let Some(sent_us) = self.hosts[host].waiting.remove(&number) else {
            return;
        };
        self.outcomes.push(Outcome {
            host,
            sent_us,
            ended_us: self.now_us,
            is_given,
        });
    }

    /// Returns by how much the worst window exceeds what is allowed; nothing if none does.
    pub fn excess(&self, limit: RateLimit, from_us: u64) -> Option<f64> {
        let owed = limit.per_s * BOUNDS.window.as_secs_f64() + limit.burst;
        let allowed = owed * (1.0 + BOUNDS.excess) + BOUNDS.slack;
        let window = BOUNDS.window.as_micros() as u64;
        let given = self
            .outcomes
            .iter()
            .filter(|o| o.is_given && o.sent_us >= from_us);
        let mut given: Vec<&Outcome> = given.collect();
        given.sort_by_key(|o| o.ended_us);
        let worst = (0..given.len()).map(|last| {
            let end = given[last].ended_us;
            let before = given[..=last].iter().rev();
            let near = before.take_while(|o| o.ended_us + window >= end);
            near.filter(|o| o.sent_us + window >= end).count()
        });
        let worst = worst.max().unwrap_or(0) as f64;
        (worst > allowed).then_some(worst - allowed)
    }

    /// Returns the requests that were refused in a span though their workspace had sent no
    /// more than its limit says in the window before each.
    pub fn wrongly_refused(&self, limit: RateLimit, from_us: u64, until_us: u64) -> usize {
        let owed = limit.per_s * BOUNDS.window.as_secs_f64() + limit.burst;
        let window = BOUNDS.window.as_micros() as u64;
        let mut sent: Vec<u64> = self.outcomes.iter().map(|o| o.sent_us).collect();
        sent.sort_unstable();
        let before = |at: u64| {
            let first = sent.partition_point(|sent| *sent + window < at);
            let last = sent.partition_point(|sent| *sent <= at);
            (last - first) as f64
        };
        let refused = self.outcomes.iter().filter(|o| !o.is_given);
        let refused = refused.filter(|o| (from_us..until_us).contains(&o.sent_us));
        refused.filter(|o| before(o.sent_us) <= owed).count()
    }

    /// Returns the requests that were sent in a span, and those of them that were let in.
    pub fn counted(&self, from_us: u64, until_us: u64, hosts: &[usize]) -> (usize, usize) {
        let span = from_us..until_us;
        let sent = self.outcomes.iter();
        let sent = sent.filter(|o| span.contains(&o.sent_us) && hosts.contains(&o.host));
        let given = sent.clone().filter(|o| o.is_given).count();
        (sent.count(), given)
    }
}
