//! Discrete-event simulation of online and batch work on one fleet, in virtual time.
//!
//! The scheduling decisions are those of production: each entry host has a table of
//! targets, and the holder of a target's lease (its only host that starts batch
//! items there) has the target's slots. Engines are simulated by [`crate::model`],
//! and messages take fixed one-way latencies. No sockets are opened.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use notchwharf_routing::slots;
use notchwharf_routing::slots::Slots;
use notchwharf_routing::table;
use notchwharf_routing::table::Report;
use notchwharf_routing::table::Table;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::model;
use crate::model::Model;

const FINGERPRINT: &str = "tutor/-/1";
const ONLINE_PROMPT_TOKENS: u32 = 200;
const ONLINE_TOKENS: (u32, u32) = (20, 80);
const BATCH_PROMPT_TOKENS: u32 = 300;
const BATCH_TOKENS: (u32, u32) = (50, 250);
/// Number of distinct prefixes of online prompts, the keys of prompt caches.
const ONLINE_PREFIXES: u64 = 40;
/// Number of distinct prefixes of batch prompts: the items of an input file repeat
/// the same instructions.
const BATCH_PREFIXES: u64 = 6;
const SAMPLE_INTERVAL_US: u64 = 1_000;

/// A fleet and its load, as input of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name in reports.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way latency between data centres, in microseconds.
    pub inter_dc_latency_us: u64,
    /// Rate of online requests outside bursts, per second.
    pub online_per_s: f64,
    /// Factor on this rate in a burst.
    pub burst_factor: f64,
    /// Time between the starts of two bursts, in microseconds.
    pub burst_interval_us: u64,
    /// Duration of a burst, in microseconds.
    pub burst_duration_us: u64,
    /// Duration of the simulation, in microseconds.
    pub duration_us: u64,
}

/// How batch work is isolated from online work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// No batch work, as a baseline.
    OnlineOnly,
    /// No online work, as a baseline.
    BatchOnly,
    /// Online requests go straight to targets. The holder starts batch items in
    /// the slots that they leave free, of the given maximum of streams.
    Direct(slots::Config, u32),
    /// Like `Direct`, but online requests go through the holder too.
    ThroughHolder(slots::Config),
    /// The given number of targets run batch work only, the others online work only.
    Split(usize),
    /// Batch work fills every slot regardless of online work.
    Unlimited,
    /// Like `Direct`, but capacity is counted in reserved tokens instead of slots.
    Tokens(slots::Config),
}

/// The results of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Times to first token, in microseconds.
    pub first_us: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub inter_us: Histogram<u64>,
    /// Number of generated batch tokens.
    pub batch_tokens: u64,
    /// Number of completed batch items.
    pub batch_items: u64,
    /// Number of batch streams preempted for online work.
    pub preempted: u64,
    /// Number of rejected online requests.
    pub rejected: u64,
    /// Mean share of the concurrency limits that online work left unused.
    pub unused_share: f64,
    /// Time from the load change that made a preemption necessary until the batch
    /// stream was cancelled at its target, in microseconds.
    pub preemption_us: Histogram<u64>,
    /// Time from when online streams are back at their level before a burst until
    /// batch streams are too, in microseconds.
    pub refill_us: Histogram<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    host: usize,
    target: usize,
    is_online: bool,
    prompt_tokens: u32,
    prefix: u64,
    tokens: u32,
    done_tokens: u32,
    arrived_us: u64,
    last_token_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An online request arrives at a host.
    Arrive(usize),
    /// A stream arrives at its target.
    Submit(u64),
    /// A target ends a step.
    Step(usize),
    /// The token of a stream at an offset, possibly the last, arrives at its host.
    Receive(u64, u32, bool),
    /// The holder of a target receives a host's number of streams there, sent at a
    /// time.
    LoadReport(usize, usize, u32, u64),
    /// A target cancels a stream because of a load report sent at a time.
    Cancel(u64, u64),
    /// The holder of a target starts batch items.
    Fill(usize),
    /// The numbers of streams are sampled.
    Sample,
}

struct Target {
    model: Model,
    is_stepping: bool,
    slots: Slots,
    /// Preempted batch streams, which are restarted first.
    preempted: Vec<Stream>,
    /// Tokens reserved by running batch streams, for [`Policy::Tokens`].
    batch_tokens: u32,
}

/// The state of a simulation.
pub struct Lab {
    scenario: Scenario,
    policy: Policy,
    now_us: u64,
    origin: Instant,
    /// Pending events by time, then by order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    next_id: u64,
    rng: ChaCha8Rng,
    tables: Vec<Table>,
    targets: Vec<Target>,
    streams: HashMap<u64, Stream>,
    outcome: Outcome,
    /// Time, online streams and batch streams.
    samples: Vec<(u64, u32, u32)>,
}

impl std::fmt::Debug for Lab {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lab").finish_non_exhaustive()
    }
}

/// Simulates a scenario under a policy.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut lab = Lab::new(scenario, policy, seed);
    lab.run();
    lab.finish()
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    // A histogram that resizes itself accepts every value.
    let _ = histogram.record(value);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("Three digits are within bounds.")
}

impl Lab {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let origin = Instant::now();
        let cfg = match policy {
            Policy::Direct(c, _) | Policy::ThroughHolder(c) | Policy::Tokens(c) => c,
            _ => slots::Config::default(),
        };
        let streams_max = match policy {
            Policy::Direct(_, max) => max,
            _ => table::Config::default().streams_max,
        };
        let table_cfg = table::Config {
            streams_max,
            ..table::Config::default()
        };
        let target = |_| Target {
            model: Model::new(model::Config::default()),
            is_stepping: false,
            slots: Slots::new(cfg, origin),
            preempted: Vec::new(),
            batch_tokens: 0,
        };
        let mut lab = Self {
            scenario,
            policy,
            now_us: 0,
            origin,
            events: BinaryHeap::new(),
            sequence: 0,
            next_id: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tables: (0..scenario.hosts as u64)
                .map(|h| Table::new(table_cfg, seed ^ h))
                .collect(),
            targets: (0..scenario.targets).map(target).collect(),
            streams: HashMap::new(),
            outcome: Outcome {
                first_us: histogram(),
                inter_us: histogram(),
                batch_tokens: 0,
                batch_items: 0,
                preempted: 0,
                rejected: 0,
                unused_share: 0.0,
                preemption_us: histogram(),
                refill_us: histogram(),
            },
            samples: Vec::new(),
        };
        for host in 0..scenario.hosts {
            for id in 0..scenario.targets {
                let is_for_online = !matches!(policy, Policy::Split(k) if id < k);
                let report = Report {
                    is_for_online,
                    is_for_batch: true,
                    models: vec![FINGERPRINT.into()],
                    ..Report::default()
                };
                lab.tables[host].upsert(&target_name(id), report, origin);
            }
            if policy != Policy::BatchOnly {
                let at = lab.next_arrival_us();
                lab.schedule(at, Event::Arrive(host));
            }
        }
        for id in 0..scenario.targets {
            lab.schedule(id as u64, Event::Fill(id));
        }
        lab.schedule(SAMPLE_INTERVAL_US, Event::Sample);
        lab
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.scenario.duration_us {
                return;
            }
            self.now_us = at;
            match event {
                Event::Arrive(host) => self.arrive(host),
                Event::Submit(id) => self.submit(id),
                Event::Step(target) => self.step(target),
                Event::Receive(id, offset, is_last) => self.receive(id, offset, is_last),
                Event::LoadReport(target, host, streams, cause_us) => {
                    self.apply_load_report(target, host, streams, cause_us);
                }
                Event::Cancel(id, cause_us) => self.cancel(id, cause_us),
                Event::Fill(target) => self.fill(target),
                Event::Sample => self.sample(),
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_micros(self.now_us)
    }

    fn is_in_burst(&self) -> bool {
        self.now_us % self.scenario.burst_interval_us
            >= self.scenario.burst_interval_us - self.scenario.burst_duration_us
    }

    /// Draws the time of the next online request of a host.
    fn next_arrival_us(&mut self) -> u64 {
        let factor = if self.is_in_burst() {
            self.scenario.burst_factor
        } else {
            1.0
        };
        let rate = self.scenario.online_per_s * factor / self.scenario.hosts as f64;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let interval_us = -draw.ln() / rate * 1e6;
        // Caps the interval, so that a host with a long one still sees the rate of a
        // burst that begins in it.
        let interval_us = interval_us.min(self.scenario.burst_duration_us as f64) as u64;
        self.now_us + interval_us.max(1)
    }

    fn holder(&self, target: usize) -> usize {
        target % self.scenario.hosts
    }

    fn one_way_us(&self, a: usize, b: usize) -> u64 {
        let is_local = a % self.scenario.data_centres == b % self.scenario.data_centres;
        if is_local {
            100
        } else {
            self.scenario.inter_dc_latency_us
        }
    }

    fn arrive(&mut self, host: usize) {
        let next = self.next_arrival_us();
        self.schedule(next, Event::Arrive(host));
        let prefix = self.rng.random_range(0..ONLINE_PREFIXES);
        let tokens = self.rng.random_range(ONLINE_TOKENS.0..=ONLINE_TOKENS.1);
        let now = self.now();
        let chosen = self.tables[host].choose(FINGERPRINT, prefix << 7, &[], now);
        let Ok(chosen) = chosen else {
            self.outcome.rejected += 1;
            return;
        };
        let target: usize = chosen[1..].parse().expect("Names are numbers.");
        self.tables[host].begin(&chosen);
        let stream = Stream {
            host,
            target,
            is_online: true,
            prompt_tokens: ONLINE_PROMPT_TOKENS,
            prefix,
            tokens,
            done_tokens: 0,
            arrived_us: self.now_us,
            last_token_us: self.now_us,
        };
        let holder = self.holder(target);
        let mut latency_us = self.one_way_us(host, target);
        if matches!(self.policy, Policy::ThroughHolder(_)) {
            latency_us = self.one_way_us(host, holder) + self.one_way_us(holder, target);
        }
        let id = self.add(stream);
        self.schedule(self.now_us + latency_us, Event::Submit(id));
        self.report_load(host, target);
    }

    fn add(&mut self, stream: Stream) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.streams.insert(id, stream);
        id
    }

    fn report_load(&mut self, host: usize, target: usize) {
        let streams = self.tables[host].own_streams(&target_name(target));
        let latency_us = self.one_way_us(host, self.holder(target));
        let report = Event::LoadReport(target, host, streams, self.now_us);
        self.schedule(self.now_us + latency_us, report);
    }

    fn apply_load_report(&mut self, target: usize, host: usize, streams: u32, cause_us: u64) {
        let now = self.now();
        let slots = &mut self.targets[target].slots;
        slots.set_online(&host.to_string(), streams, now);
        let preempts = matches!(
            self.policy,
            Policy::Direct(..) | Policy::ThroughHolder(_) | Policy::Tokens(_)
        );
        if preempts {
            let limit = self.limit(target);
            for id in self.targets[target].slots.preempt(limit, now) {
                self.targets[target].slots.end(id);
                self.outcome.preempted += 1;
                let latency_us = self.one_way_us(self.holder(target), target);
                self.schedule(self.now_us + latency_us, Event::Cancel(id, cause_us));
            }
        }
        self.fill(target);
    }

    fn limit(&self, target: usize) -> u32 {
        self.tables[self.holder(target)].limit(&target_name(target))
    }

    fn cancel(&mut self, id: u64, cause_us: u64) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        record(&mut self.outcome.preemption_us, self.now_us - cause_us);
        let target = &mut self.targets[stream.target];
        target.model.cancel(id);
        target.batch_tokens -= stream.prompt_tokens + stream.tokens;
        target.preempted.push(stream);
    }

    fn fill(&mut self, target: usize) {
        if self.policy == Policy::OnlineOnly {
            return;
        }
        if matches!(self.policy, Policy::Split(k) if target >= k) {
            return;
        }
        let now = self.now();
        loop {
            let limit = self.limit(target);
            let state = &self.targets[target];
            let free = match self.policy {
                Policy::Unlimited | Policy::BatchOnly | Policy::Split(_) => {
                    limit.saturating_sub(state.slots.batch_streams())
                }
                Policy::Tokens(_) => self.free_by_tokens(target, limit, now),
                _ => state.slots.available(limit, now),
            };
            if free == 0 {
                return;
            }
            let preempted = self.targets[target].preempted.pop();
            let stream = preempted.unwrap_or_else(|| self.new_item(target));
            let id = self.add(stream);
            let state = &mut self.targets[target];
            state.slots.begin(id, now);
            state.batch_tokens += stream.prompt_tokens + stream.tokens;
            let latency_us = self.one_way_us(self.holder(target), target);
            self.schedule(self.now_us + latency_us, Event::Submit(id));
        }
    }

    /// Returns how many more items fit when capacity is counted in reserved tokens.
    /// Each running stream reserves its prompt and output until it ends (online
    /// streams their mean), and a new item its prompt and longest possible output.
    fn free_by_tokens(&self, target: usize, limit: u32, now: Instant) -> u32 {
        let mean = |prompt: u32, tokens: (u32, u32)| prompt + (tokens.0 + tokens.1) / 2;
        let online = mean(ONLINE_PROMPT_TOKENS, ONLINE_TOKENS);
        let capacity = limit * (online + mean(BATCH_PROMPT_TOKENS, BATCH_TOKENS)) / 2;
        let state = &self.targets[target];
        let reserved = (state.slots.online_streams(now) + 1) * online + state.batch_tokens;
        capacity.saturating_sub(reserved) / (BATCH_PROMPT_TOKENS + BATCH_TOKENS.1)
    }

    fn new_item(&mut self, target: usize) -> Stream {
        Stream {
            host: self.holder(target),
            target,
            is_online: false,
            prompt_tokens: BATCH_PROMPT_TOKENS,
            prefix: ONLINE_PREFIXES + self.rng.random_range(0..BATCH_PREFIXES),
            tokens: self.rng.random_range(BATCH_TOKENS.0..=BATCH_TOKENS.1),
            done_tokens: 0,
            arrived_us: self.now_us,
            last_token_us: self.now_us,
        }
    }

    fn submit(&mut self, id: u64) {
        let Some(stream) = self.streams.get(&id).copied() else {
            return;
        };
        let target = &mut self.targets[stream.target];
        target.model.submit(model::Request {
            id,
            prompt_tokens: stream.prompt_tokens,
            prompt_hash: stream.prefix,
            tokens: stream.tokens,
            done_tokens: stream.done_tokens,
        });
        if !target.is_stepping {
            target.is_stepping = true;
            let step = target.model.begin_step();
            let at = self.now_us + micros(step);
            self.schedule(at, Event::Step(stream.target));
        }
    }

    fn step(&mut self, id: usize) {
        let tokens = self.targets[id].model.end_step();
        for token in tokens {
            let Some(stream) = self.streams.get_mut(&token.id) else {
                continue;
            };
            stream.done_tokens = token.offset + 1;
            let stream = *stream;
            if !stream.is_online {
                self.outcome.batch_tokens += 1;
                if !token.is_last {
                    continue;
                }
            }
            let mut latency_us = self.one_way_us(stream.host, id);
            if matches!(self.policy, Policy::ThroughHolder(_)) {
                let holder = self.holder(id);
                latency_us = self.one_way_us(stream.host, holder) + self.one_way_us(holder, id);
            }
            self.schedule(
                self.now_us + latency_us,
                Event::Receive(token.id, token.offset, token.is_last),
            );
        }
        let target = &mut self.targets[id];
        if target.model.is_idle() {
            target.is_stepping = false;
            return;
        }
        let step = target.model.begin_step();
        self.schedule(self.now_us + micros(step), Event::Step(id));
    }

    fn receive(&mut self, id: u64, offset: u32, is_last: bool) {
        let now = self.now();
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let elapsed = self.now_us - stream.last_token_us;
        stream.last_token_us = self.now_us;
        let stream = *stream;
        let target = target_name(stream.target);
        if stream.is_online {
            let table = &mut self.tables[stream.host];
            let elapsed = Duration::from_micros(elapsed);
            if offset == 0 {
                let first_us = self.now_us - stream.arrived_us;
                record(&mut self.outcome.first_us, first_us);
                table.record_first_token(&target, elapsed, now);
                let model = &self.targets[stream.target].model;
                let streams = model.running() + model.waiting();
                let streams = u32::try_from(streams).unwrap_or(u32::MAX);
                table.set_reported_streams(&target, streams, now);
            } else {
                record(&mut self.outcome.inter_us, micros(elapsed));
                table.record_inter_token(&target, elapsed, now);
            }
        }
        if !is_last {
            return;
        }
        self.streams.remove(&id);
        if stream.is_online {
            self.tables[stream.host].end(&target);
            self.report_load(stream.host, stream.target);
            return;
        }
        self.outcome.batch_items += 1;
        let state = &mut self.targets[stream.target];
        state.slots.end(id);
        state.batch_tokens -= stream.prompt_tokens + stream.tokens;
        self.fill(stream.target);
    }

    fn sample(&mut self) {
        self.schedule(self.now_us + SAMPLE_INTERVAL_US, Event::Sample);
        let online = self.streams.values().filter(|s| s.is_online).count();
        let batch = self.streams.len() - online;
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        self.samples
            .push((self.now_us, to_u32(online), to_u32(batch)));
    }

    fn finish(mut self) -> Outcome {
        let all = f64::from(table::Config::default().streams_max) * self.scenario.targets as f64;
        let used: f64 = self.samples.iter().map(|s| f64::from(s.1) / all).sum();
        self.outcome.unused_share = 1.0 - used / self.samples.len().max(1) as f64;
        self.measure_refill();
        self.outcome
    }

    /// Records, for each burst, the time from when online streams are back at their
    /// level before it until batch streams are too.
    fn measure_refill(&mut self) {
        let interval = (self.scenario.burst_interval_us / SAMPLE_INTERVAL_US) as usize;
        let burst = (self.scenario.burst_duration_us / SAMPLE_INTERVAL_US) as usize;
        let mean = |part: &[(u64, u32, u32)], of: fn(&(u64, u32, u32)) -> u32| {
            part.iter().map(|s| f64::from(of(s))).sum::<f64>() / part.len().max(1) as f64
        };
        let mut start = interval - burst;
        while start + burst + interval / 2 < self.samples.len() {
            let before = &self.samples[start.saturating_sub(burst)..start];
            let (online, batch) = (mean(before, |s| s.1), mean(before, |s| s.2));
            let after = &self.samples[start + burst..start + burst + interval / 2];
            let online_recovered = after.iter().position(|s| f64::from(s.1) <= online * 1.1);
            let batch_recovered = after.iter().position(|s| f64::from(s.2) >= batch * 0.95);
            if let (Some(online_recovered), Some(batch_recovered)) =
                (online_recovered, batch_recovered)
            {
                let refill_us =
                    batch_recovered.saturating_sub(online_recovered) as u64 * SAMPLE_INTERVAL_US;
                record(&mut self.outcome.refill_us, refill_us);
            }
            start += interval;
        }
    }
}

fn target_name(target: usize) -> String {
    format!("t{target}")
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
