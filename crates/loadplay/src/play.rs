//! One play of a load.

mod callers;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::items::estimate::Estimator;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::queue::Queue;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::bound;
use crate::host;
use crate::host::Host;
use crate::host::Running;
use crate::host::Status;
use crate::load::Load;
use crate::outcome::InUse;
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::target;
use crate::target::Came;
use crate::target::Run;
use crate::target::RunId;
use crate::target::Target;

/// Time between two starts of items at one host, as the gateway's setting
/// `batch.start_gap_ms` has it.
const START_GAP_MS: u64 = 4;
/// Time that news between hosts takes on the way.
const WAY_MS: u64 = 1;
/// Time after which a place that nobody takes is looked at again.
const LOOK_MS: u64 = 50;

/// Time of one point of the places in use.
const POINT_MS: usize = 500;

/// Who waits for a run.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Online { seen: usize, host: usize },
    Item { host: usize },
}

struct Play<'a> {
    load: &'a Load,
    policy: Policy,
    rng: ChaCha8Rng,
    began: Instant,
    now_ms: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    leaving: Vec<bool>,
    names: HashMap<String, usize>,
    owners: HashMap<RunId, (Owner, usize)>,
    runs: RunId,
    /// Events of each item.
    events: Vec<f64>,
    news: Vec<(u64, usize, Status)>,
    cuts: Vec<(u64, usize, usize)>,
    out: Outcome,
    places: Vec<InUse>,
}

/// Plays a load under a policy; the same seed plays the same.
pub fn play(load: &Load, policy: Policy, seed: u64) -> Outcome {
    let mut play = Play::new(load, policy, seed);
    let callers_ms = (load.seconds * 1e3) as u64;
    let end_ms = callers_ms + load.jobs.objective_ms;
    while play.now_ms < end_ms {
        if play.now_ms < callers_ms {
            play.callers_come();
        }
        play.step();
        play.now_ms += 1;
    }
    play.finish()
}

impl<'a> Play<'a> {
    fn new(load: &'a Load, policy: Policy, seed: u64) -> Self {
        let names = (0..load.targets as usize).map(|target| (target::name(target), target));
        let mut hosts: Vec<Host> = Vec::new();
        for number in 0..load.hosts {
            let cfg = balancer::Config {
                reserve: policy.reserve,
                ..balancer::Config::default()
            };
            let mut places = Balancer::new(cfg, seed ^ u64::from(number));
            for target in 0..load.targets {
                places.upsert(&target::name(target as usize), spec(load, target, false));
            }
            hosts.push(Host {
                places,
                queue: Queue::default(),
                line: PeerQueues::default(),
                usual: Estimator::default(),
                running: Vec::new(),
                data_centre: format!("d{}", number % load.data_centres),
                free_at_ms: 0,
                frozen_until_ms: 0,
                told_far_at_ms: 0,
            });
        }
        Self {
            load,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            began: Instant::now(),
            now_ms: 0,
            hosts,
            targets: vec![Target::default(); load.targets as usize],
            leaving: vec![false; load.targets as usize],
            names: names.collect(),
            owners: HashMap::new(),
            runs: 0,
            events: Vec::new(),
            news: Vec::new(),
            cuts: Vec::new(),
            out: Outcome::default(),
            places: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.began + Duration::from_millis(self.now_ms)
    }

    fn run(&mut self, target: usize, owner: Owner, read_ms: f64, events: f64) -> RunId {
        self.runs += 1;
        let at = &mut self.targets[target];
        let taken = at.running.len() + at.queue.len();
        self.out.queued += u64::from(taken >= self.load.slots as usize);
        at.admit(Run {
            id: self.runs,
            read_ms,
            events,
            made: 0.0,
        });
        self.owners.insert(self.runs, (owner, target));
        self.runs
    }

    /// A host cuts the item at a target that can best be spared.
    fn cut(&mut self, host: usize, target: usize) {
        if let Some(running) = self.hosts[host].take_spare(target) {
            self.out.cuts += 1;
            self.owners.remove(&running.run);
            let made = self.targets[target].stop(running.run).unwrap_or_default();
            let host = &mut self.hosts[host];
            host.places.end_batch(&target::name(target));
            host.usual
                .record_run(made as u64, took(&running, self.now_ms));
            host.put_back(running.item, made);
        }
    }

    fn step(&mut self) {
        self.faults();
        let due: Vec<_> = self.cuts.extract_if(.., |c| c.0 <= self.now_ms).collect();
        for (_, host, target) in due {
            self.cut(host, target);
        }
        let mut came = Vec::new();
        for target in &mut self.targets {
            target.step(self.load.slots as usize, self.load.event_ms, 1.0, &mut came);
        }
        for came in came {
            self.came(came);
        }
        self.tell();
        for host in 0..self.hosts.len() {
            self.start(host);
        }
        self.note_places();
    }

    fn faults(&mut self) {
        let now_ms = self.now_ms;
        let is_now = |at_s: f64| (at_s * 1e3) as u64 == now_ms;
        for frozen in self.load.frozen.iter().filter(|f| is_now(f.at_s)) {
            let until_ms = now_ms + (frozen.for_s * 1e3) as u64;
            self.hosts[frozen.host as usize].frozen_until_ms = until_ms;
        }
        for leaving in self.load.leaving.iter().filter(|l| is_now(l.at_s)) {
            self.leaving[leaving.target as usize] = true;
            let name = target::name(leaving.target as usize);
            let spec = spec(self.load, leaving.target, true);
            for host in &mut self.hosts {
                host.places.upsert(&name, spec.clone());
            }
        }
    }

    fn came(&mut self, came: Came) {
        let (Came::First(run) | Came::End(run)) = came;
        let Some((owner, target)) = self.owners.get(&run).copied() else {
            return;
        };
        let id = target::name(target);
        match (came, owner) {
            (Came::First(_), Owner::Online { seen, host }) => {
                let took_ms = self.now_ms - self.out.online[seen].came_ms;
                self.out.online[seen].first_ms = Some(took_ms);
                let took = Duration::from_millis(took_ms);
                self.hosts[host].places.record_success(&id, Some(took));
            }
            (Came::End(_), Owner::Online { seen, host }) => {
                self.owners.remove(&run);
                let took_ms = self.now_ms - self.out.online[seen].came_ms;
                let places = &mut self.hosts[host].places;
                places.end_online(&id);
                places.record_duration(host::SERVICE, Duration::from_millis(took_ms));
            }
            (Came::First(_), Owner::Item { .. }) => {}
            (Came::End(_), Owner::Item { host }) => {
                self.owners.remove(&run);
                self.ended(host, run);
            }
        }
    }

    /// An item is whole.
    fn ended(&mut self, host: usize, run: RunId) {
        let host = &mut self.hosts[host];
        let Some(place) = host.running.iter().position(|r| r.run == run) else {
            return;
        };
        let running = host.running.swap_remove(place);
        let item = running.item;
        let whole = self.events[item.number] as u64;
        host.places.end_batch(&target::name(running.target));
        host.usual
            .record_run(whole - item.events, took(&running, self.now_ms));
        host.usual.record_completion(item.size, whole);
        self.out.items[item.number].done_ms = Some(self.now_ms);
    }

    /// Hosts tell what they run and what waits.
    fn tell(&mut self) {
        let now_ms = self.now_ms;
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            let is_far_due = now_ms >= host.told_far_at_ms + self.load.news_far_ms;
            if host.frozen_until_ms > now_ms || !now_ms.is_multiple_of(self.load.news_near_ms) {
                continue;
            }
            if is_far_due {
                host.told_far_at_ms = now_ms;
            }
            let status = host.status(number);
            for other in (0..self.hosts.len()).filter(|other| *other != number) {
                let is_near = self.hosts[other].data_centre == self.hosts[number].data_centre;
                if is_near || is_far_due {
                    self.news.push((now_ms + WAY_MS, other, status.clone()));
                }
            }
        }
        let now = self.now();
        let due: Vec<_> = self.news.extract_if(.., |n| n.0 <= now_ms).collect();
        for (_, host, status) in due {
            if self.hosts[host].frozen_until_ms <= now_ms {
                self.hosts[host].hear(&status, now);
            }
        }
    }

    /// A host starts an item if it may.
    fn start(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let host = &mut self.hosts[number];
        if host.frozen_until_ms > now_ms || host.free_at_ms > now_ms {
            return;
        }
        if now_ms.is_multiple_of(LOOK_MS) {
            // As the gateway's tick does.
            for id in host.places.overcommitted(&host::name(number)) {
                self.cut(number, self.names[&id]);
            }
        }
        let host = &mut self.hosts[number];
        let Some((item, is_late, id)) = host.next(self.policy, now_ms, now) else {
            return;
        };
        host.free_at_ms = now_ms + START_GAP_MS;
        host.places.begin_batch(&id);
        let target = self.names[&id];
        let tokens = self.load.jobs.prompt_tokens + item.events as f64 * self.load.event_tokens;
        let read_ms = tokens / self.load.prompt_tokens_per_ms;
        let events = self.events[item.number] - item.events as f64;
        let owner = Owner::Item { host: number };
        let run = self.run(target, owner, read_ms, events);
        self.hosts[number].begin(run, target, item, is_late, now_ms);
    }

    fn note_places(&mut self) {
        let mut now = InUse::default();
        for (target, leaves) in self.targets.iter().zip(&self.leaving) {
            let is_item =
                |run: &&Run| matches!(self.owners.get(&run.id), Some((Owner::Item { .. }, _)));
            let items = target.running.iter().filter(is_item).count() as f64;
            now.items += items;
            now.online += target.running.len() as f64 - items;
            if !leaves {
                now.all += f64::from(self.load.slots);
            }
        }
        self.places.push(now);
    }

    fn finish(mut self) -> Outcome {
        let free = self.places.iter().map(|p| (p.all - p.online).max(0.0));
        self.out.bound = bound::in_time(&self.out.items, &free.collect::<Vec<_>>());
        let points = self.places.chunks(POINT_MS).map(InUse::mean);
        self.out.places = points.collect();
        self.out
    }
}

fn took(running: &Running, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms - running.started_ms)
}

fn spec(load: &Load, target: u32, leaving: bool) -> Spec {
    Spec {
        service: host::SERVICE.to_owned(),
        data_centre: format!("d{}", target % load.data_centres),
        slots: load.slots,
        is_leaving: leaving,
        ..Spec::default()
    }
}
