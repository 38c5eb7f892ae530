//! The simulation of a load: a loop over virtual milliseconds.

mod arrivals;

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
use crate::outcome::Outcome;
use crate::outcome::SlotUsage;
use crate::policy::Policy;
use crate::target;
use crate::target::Progress;
use crate::target::Run;
use crate::target::RunId;
use crate::target::Target;

/// Time between two starts of items at one host, as in the gateway's setting
/// `batch.start_gap_ms`.
const START_INTERVAL_MS: u64 = 4;
/// Delay of a message between two hosts.
const MESSAGE_DELAY_MS: u64 = 1;
/// Interval at which a host preempts items at overcommitted targets.
const PREEMPTION_CHECK_INTERVAL_MS: u64 = 50;
/// Interval over which slot usage is averaged.
const SAMPLE_MS: usize = 500;

/// The request or item that a run belongs to.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Online { index: usize, host: usize },
    Item { host: usize },
}

struct Simulation<'a> {
    load: &'a Load,
    policy: Policy,
    rng: ChaCha8Rng,
    origin: Instant,
    now_ms: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    leaving: Vec<bool>,
    target_by_name: HashMap<String, usize>,
    /// The owner and the target of each run.
    owners: HashMap<RunId, (Owner, usize)>,
    last_run: RunId,
    /// Total events of each item.
    item_events: Vec<f64>,
    /// Status updates in flight: delivery time, recipient and content.
    messages: Vec<(u64, usize, Status)>,
    /// Requested preemptions in flight: delivery time, host and target.
    preemptions: Vec<(u64, usize, usize)>,
    outcome: Outcome,
    /// Slot usage in each millisecond.
    slot_usage: Vec<SlotUsage>,
}

/// Simulates a load under a policy. The outcome depends only on the arguments.
pub fn run(load: &Load, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(load, policy, seed);
    let arrivals_ms = (load.seconds * 1e3) as u64;
    let end_ms = arrivals_ms + load.jobs.objective_ms;
    while simulation.now_ms < end_ms {
        if simulation.now_ms < arrivals_ms {
            simulation.generate_arrivals();
        }
        simulation.step();
        simulation.now_ms += 1;
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, policy: Policy, seed: u64) -> Self {
        let target_by_name =
            (0..load.targets as usize).map(|target| (target::name(target), target));
        let mut hosts: Vec<Host> = Vec::new();
        for index in 0..load.hosts {
            let cfg = balancer::Config {
                reserve: policy.reserve,
                ..balancer::Config::default()
            };
            let mut balancer = Balancer::new(cfg, seed ^ u64::from(index));
            for target in 0..load.targets {
                balancer.upsert(&target::name(target as usize), spec(load, target, false));
            }
            hosts.push(Host {
                balancer,
                queue: Queue::default(),
                peer_queues: PeerQueues::default(),
                estimator: Estimator::default(),
                running: Vec::new(),
                data_centre: format!("d{}", index % load.data_centres),
                next_start_ms: 0,
                frozen_until_ms: 0,
                remote_update_sent_ms: 0,
            });
        }
        Self {
            load,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            origin: Instant::now(),
            now_ms: 0,
            hosts,
            targets: vec![Target::default(); load.targets as usize],
            leaving: vec![false; load.targets as usize],
            target_by_name: target_by_name.collect(),
            owners: HashMap::new(),
            last_run: 0,
            item_events: Vec::new(),
            messages: Vec::new(),
            preemptions: Vec::new(),
            outcome: Outcome::default(),
            slot_usage: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn start_run(&mut self, target: usize, owner: Owner, prefill_ms: f64, events: f64) -> RunId {
        self.last_run += 1;
        let state = &mut self.targets[target];
        let assigned = state.running.len() + state.queue.len();
        self.outcome.queued += u64::from(assigned >= self.load.slots as usize);
        state.admit(Run {
            id: self.last_run,
            prefill_ms,
            events,
            generated: 0.0,
        });
        self.owners.insert(self.last_run, (owner, target));
        self.last_run
    }

    /// Preempts the item of a host with the greatest rank at a target.
    fn preempt(&mut self, host: usize, target: usize) {
        if let Some(running) = self.hosts[host].take_preemptible(target) {
            self.outcome.preemptions += 1;
            self.owners.remove(&running.run);
            let generated = self.targets[target].stop(running.run).unwrap_or_default();
            let host = &mut self.hosts[host];
            host.balancer.end_batch(&target::name(target));
            host.estimator
                .record_run(generated as u64, run_time(&running, self.now_ms));
            host.requeue(running.item, generated);
        }
    }

    fn step(&mut self) {
        self.apply_faults();
        let due: Vec<_> = self
            .preemptions
            .extract_if(.., |p| p.0 <= self.now_ms)
            .collect();
        for (_, host, target) in due {
            self.preempt(host, target);
        }
        let mut progress = Vec::new();
        for target in &mut self.targets {
            target.step(
                self.load.slots as usize,
                self.load.event_ms,
                1.0,
                &mut progress,
            );
        }
        for progress in progress {
            self.apply_progress(progress);
        }
        self.exchange_status();
        for host in 0..self.hosts.len() {
            self.start_item(host);
        }
        self.record_slot_usage();
    }

    fn apply_faults(&mut self) {
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
                host.balancer.upsert(&name, spec.clone());
            }
        }
    }

    fn apply_progress(&mut self, progress: Progress) {
        let (Progress::FirstEvent(run) | Progress::Completed(run)) = progress;
        let Some((owner, target)) = self.owners.get(&run).copied() else {
            return;
        };
        let id = target::name(target);
        match (progress, owner) {
            (Progress::FirstEvent(_), Owner::Online { index, host }) => {
                let took_ms = self.now_ms - self.outcome.online[index].arrived_ms;
                self.outcome.online[index].first_event_ms = Some(took_ms);
                let took = Duration::from_millis(took_ms);
                self.hosts[host].balancer.record_success(&id, Some(took));
            }
            (Progress::Completed(_), Owner::Online { index, host }) => {
                self.owners.remove(&run);
                let took_ms = self.now_ms - self.outcome.online[index].arrived_ms;
                let balancer = &mut self.hosts[host].balancer;
                balancer.end_online(&id);
                balancer.record_duration(host::SERVICE, Duration::from_millis(took_ms));
            }
            (Progress::FirstEvent(_), Owner::Item { .. }) => {}
            (Progress::Completed(_), Owner::Item { host }) => {
                self.owners.remove(&run);
                self.complete_item(host, run);
            }
        }
    }

    /// Records that a run completed its item.
    fn complete_item(&mut self, host: usize, run: RunId) {
        let host = &mut self.hosts[host];
        let Some(index) = host.running.iter().position(|r| r.run == run) else {
            return;
        };
        let running = host.running.swap_remove(index);
        let item = running.item;
        let total_events = self.item_events[item.index] as u64;
        host.balancer.end_batch(&target::name(running.target));
        host.estimator.record_run(
            total_events - item.events_done,
            run_time(&running, self.now_ms),
        );
        host.estimator.record_completion(item.size, total_events);
        self.outcome.items[item.index].completed_ms = Some(self.now_ms);
    }

    /// Sends the loads and queue summaries of hosts that are due, and applies those
    /// that arrive.
    fn exchange_status(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let is_remote_due =
                now_ms >= host.remote_update_sent_ms + self.load.remote_update_interval_ms;
            if host.frozen_until_ms > now_ms
                || !now_ms.is_multiple_of(self.load.local_update_interval_ms)
            {
                continue;
            }
            if is_remote_due {
                host.remote_update_sent_ms = now_ms;
            }
            let status = host.status(index);
            for other in (0..self.hosts.len()).filter(|other| *other != index) {
                let is_local = self.hosts[other].data_centre == self.hosts[index].data_centre;
                if is_local || is_remote_due {
                    self.messages
                        .push((now_ms + MESSAGE_DELAY_MS, other, status.clone()));
                }
            }
        }
        let now = self.now();
        let due: Vec<_> = self.messages.extract_if(.., |m| m.0 <= now_ms).collect();
        for (_, host, status) in due {
            if self.hosts[host].frozen_until_ms <= now_ms {
                self.hosts[host].apply_status(&status, now);
            }
        }
    }

    /// Starts the next item of a host if its start interval has passed and a target
    /// is available.
    fn start_item(&mut self, index: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let host = &mut self.hosts[index];
        if host.frozen_until_ms > now_ms || host.next_start_ms > now_ms {
            return;
        }
        if now_ms.is_multiple_of(PREEMPTION_CHECK_INTERVAL_MS) {
            // As in the gateway's periodic task.
            for id in host.balancer.overcommitted(&host::name(index)) {
                self.preempt(index, self.target_by_name[&id]);
            }
        }
        let host = &mut self.hosts[index];
        let Some((item, is_late, id)) = host.dequeue(self.policy, now_ms, now) else {
            return;
        };
        host.next_start_ms = now_ms + START_INTERVAL_MS;
        host.balancer.begin_batch(&id);
        let target = self.target_by_name[&id];
        let tokens =
            self.load.jobs.prompt_tokens + item.events_done as f64 * self.load.event_tokens;
        let prefill_ms = tokens / self.load.prompt_tokens_per_ms;
        let events = self.item_events[item.index] - item.events_done as f64;
        let owner = Owner::Item { host: index };
        let run = self.start_run(target, owner, prefill_ms, events);
        self.hosts[index].record_start(run, target, item, is_late, now_ms);
    }

    fn record_slot_usage(&mut self) {
        let mut usage = SlotUsage::default();
        for (target, is_leaving) in self.targets.iter().zip(&self.leaving) {
            let is_item =
                |run: &&Run| matches!(self.owners.get(&run.id), Some((Owner::Item { .. }, _)));
            let items = target.running.iter().filter(is_item).count() as f64;
            usage.items += items;
            usage.online += target.running.len() as f64 - items;
            if !is_leaving {
                usage.total += f64::from(self.load.slots);
            }
        }
        self.slot_usage.push(usage);
    }

    fn finish(mut self) -> Outcome {
        let free = self
            .slot_usage
            .iter()
            .map(|usage| (usage.total - usage.online).max(0.0));
        self.outcome.bound = bound::max_in_time(&self.outcome.items, &free.collect::<Vec<_>>());
        let samples = self.slot_usage.chunks(SAMPLE_MS).map(SlotUsage::mean);
        self.outcome.slot_usage = samples.collect();
        self.outcome
    }
}

fn run_time(running: &Running, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms - running.started_ms)
}

fn spec(load: &Load, target: u32, is_leaving: bool) -> Spec {
    Spec {
        service: host::SERVICE.to_owned(),
        data_centre: format!("d{}", target % load.data_centres),
        slots: load.slots,
        is_leaving,
        ..Spec::default()
    }
}
