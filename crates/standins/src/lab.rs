//! Online and batch work on one fleet, in simulated time.
//!
//! The decisions are the product's own: tables of targets at entry hosts, slots
//! at the holders of targets. Engines are [`crate::model`], and messages take
//! the one-way times of the users' pages. Nothing here opens a socket.

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

const HELD: &str = "tutor/-/1";
const ONLINE_PROMPT: u32 = 200;
const ONLINE_TOKENS: (u32, u32) = (20, 80);
const BATCH_PROMPT: u32 = 300;
const BATCH_TOKENS: (u32, u32) = (50, 250);
/// Distinct beginnings of online prompts, by which targets cache.
const PREFIXES: u64 = 40;
/// Distinct prompts of batch items: a lot repeats its instructions.
const BATCH_PREFIXES: u64 = 6;
const SAMPLE_US: u64 = 1_000;

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Targets.
    pub targets: usize,
    /// Data centres.
    pub data_centres: usize,
    /// One way between data centres, in microseconds.
    pub inter_dc_latency_us: u64,
    /// Online requests a second outside bursts.
    pub online_per_s: f64,
    /// How much more come in a burst.
    pub burst_factor: f64,
    /// Time from one burst's start to the next, in microseconds.
    pub burst_interval_us: u64,
    /// How long a burst lasts, in microseconds.
    pub burst_duration_us: u64,
    /// How long the run lasts, in microseconds.
    pub duration_us: u64,
}

/// How batch work is kept from online work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// There is no batch work.
    OnlineOnly,
    /// There is no online work.
    BatchOnly,
    /// Online goes straight to targets; the holder fills what it leaves of so
    /// many streams.
    Direct(slots::Config, u32),
    /// All work to a target goes through its holder.
    ThroughHolder(slots::Config),
    /// So many targets are for batch work alone, the others for online.
    Split(usize),
    /// Batch fills every slot whatever comes.
    Unlimited,
    /// As direct, but slots are counted in reserved tokens.
    Tokens(slots::Config),
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Times to the first token, in microseconds.
    pub first_us: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub inter_us: Histogram<u64>,
    /// Batch tokens generated.
    pub batch_tokens: u64,
    /// Batch items done.
    pub batch_items: u64,
    /// Batch streams cancelled for online work.
    pub preempted: u64,
    /// Online requests refused.
    pub rejected: u64,
    /// Mean share of a target's limit that online work left.
    pub unused_share: f64,
    /// From the arrival of an online request until the batch streams that its
    /// slot needed were cancelled, in microseconds.
    pub preemption_us: Histogram<u64>,
    /// From the end of the online excess of a burst until as many batch
    /// streams run as before it, in microseconds.
    pub refill_us: Histogram<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    host: usize,
    target: usize,
    online: bool,
    prompt: u32,
    prefix: u64,
    tokens: u32,
    done: u32,
    arrived_us: u64,
    last_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Submit(u64),
    Step(usize),
    Seen(u64, u32, bool),
    Notice(usize, usize, u32, u64),
    Cancel(u64, u64),
    Fill(usize),
    Sample,
}

struct Target {
    model: Model,
    stepping: bool,
    slots: Slots,
    parked: Vec<Stream>,
    /// Online streams known to the holder, for designs that count tokens.
    batch_tokens: u32,
}

/// A run in progress.
pub struct Lab {
    scenario: Scenario,
    policy: Policy,
    now_us: u64,
    base: Instant,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    next_id: u64,
    rng: ChaCha8Rng,
    tables: Vec<Table>,
    targets: Vec<Target>,
    streams: HashMap<u64, Stream>,
    out: Outcome,
    samples: Vec<(u64, u32, u32)>,
}

impl std::fmt::Debug for Lab {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lab").finish_non_exhaustive()
    }
}

/// Runs a scenario under a policy.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut lab = Lab::new(scenario, policy, seed);
    lab.run();
    lab.finish()
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    // A histogram that sizes itself takes any value that it can hold.
    let _ = histogram.record(value);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("Three digits are within bounds.")
}

impl Lab {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let base = Instant::now();
        let cfg = match policy {
            Policy::Direct(c, _) | Policy::ThroughHolder(c) | Policy::Tokens(c) => c,
            _ => slots::Config::default(),
        };
        let streams_max = match policy {
            Policy::Direct(_, max) => max,
            _ => table::Config::default().streams_max,
        };
        let routing = table::Config {
            streams_max,
            ..table::Config::default()
        };
        let target = |_| Target {
            model: Model::new(model::Config::default()),
            stepping: false,
            slots: Slots::new(cfg, base),
            parked: Vec::new(),
            batch_tokens: 0,
        };
        let mut lab = Self {
            scenario,
            policy,
            now_us: 0,
            base,
            events: BinaryHeap::new(),
            order: 0,
            next_id: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tables: (0..scenario.hosts as u64)
                .map(|h| Table::new(routing, seed ^ h))
                .collect(),
            targets: (0..scenario.targets).map(target).collect(),
            streams: HashMap::new(),
            out: Outcome {
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
                let online = !matches!(policy, Policy::Split(k) if id < k);
                let report = Report {
                    is_for_online: online,
                    is_for_batch: true,
                    models: vec![HELD.into()],
                    ..Report::default()
                };
                lab.tables[host].upsert(&name(id), report, base);
            }
            if policy != Policy::BatchOnly {
                let at = lab.gap_us();
                lab.at(at, Event::Arrive(host));
            }
        }
        for id in 0..scenario.targets {
            lab.at(id as u64, Event::Fill(id));
        }
        lab.at(SAMPLE_US, Event::Sample);
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
                Event::Seen(id, offset, last) => self.seen(id, offset, last),
                Event::Notice(target, host, streams, cause_us) => {
                    self.notice(target, host, streams, cause_us);
                }
                Event::Cancel(id, cause_us) => self.cancel(id, cause_us),
                Event::Fill(target) => self.fill(target),
                Event::Sample => self.sample(),
            }
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    fn bursting(&self) -> bool {
        self.now_us % self.scenario.burst_interval_us
            >= self.scenario.burst_interval_us - self.scenario.burst_duration_us
    }

    /// Returns when the next online request of a host comes.
    fn gap_us(&mut self) -> u64 {
        let factor = if self.bursting() {
            self.scenario.burst_factor
        } else {
            1.0
        };
        let rate = self.scenario.online_per_s * factor / self.scenario.hosts as f64;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = -draw.ln() / rate * 1e6;
        // A quiet host must notice a burst that begins meanwhile.
        let gap = gap.min(self.scenario.burst_duration_us as f64) as u64;
        self.now_us + gap.max(1)
    }

    fn holder(&self, target: usize) -> usize {
        target % self.scenario.hosts
    }

    fn one_way(&self, a: usize, b: usize) -> u64 {
        let near = a % self.scenario.data_centres == b % self.scenario.data_centres;
        if near {
            100
        } else {
            self.scenario.inter_dc_latency_us
        }
    }

    fn arrive(&mut self, host: usize) {
        let next = self.gap_us();
        self.at(next, Event::Arrive(host));
        let prefix = self.rng.random_range(0..PREFIXES);
        let tokens = self.rng.random_range(ONLINE_TOKENS.0..=ONLINE_TOKENS.1);
        let now = self.now();
        let chosen = self.tables[host].choose(HELD, prefix << 7, &[], now);
        let Ok(chosen) = chosen else {
            self.out.rejected += 1;
            return;
        };
        let target: usize = chosen[1..].parse().expect("Names are numbers.");
        self.tables[host].begin(&chosen);
        let stream = Stream {
            host,
            target,
            online: true,
            prompt: ONLINE_PROMPT,
            prefix,
            tokens,
            done: 0,
            arrived_us: self.now_us,
            last_us: self.now_us,
        };
        let holder = self.holder(target);
        let mut way = self.one_way(host, target);
        if matches!(self.policy, Policy::ThroughHolder(_)) {
            way = self.one_way(host, holder) + self.one_way(holder, target);
        }
        let id = self.add(stream);
        self.at(self.now_us + way, Event::Submit(id));
        self.tell(host, target);
    }

    fn add(&mut self, stream: Stream) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.streams.insert(id, stream);
        id
    }

    fn tell(&mut self, host: usize, target: usize) {
        let streams = self.tables[host].own_streams(&name(target));
        let way = self.one_way(host, self.holder(target));
        let notice = Event::Notice(target, host, streams, self.now_us);
        self.at(self.now_us + way, notice);
    }

    fn notice(&mut self, target: usize, host: usize, streams: u32, cause_us: u64) {
        let now = self.now();
        let slots = &mut self.targets[target].slots;
        slots.set_online(&host.to_string(), streams, now);
        let counts = matches!(
            self.policy,
            Policy::Direct(..) | Policy::ThroughHolder(_) | Policy::Tokens(_)
        );
        if counts {
            let limit = self.limit(target);
            for id in self.targets[target].slots.preempt(limit, now) {
                self.targets[target].slots.end(id);
                self.out.preempted += 1;
                let way = self.one_way(self.holder(target), target);
                self.at(self.now_us + way, Event::Cancel(id, cause_us));
            }
        }
        self.fill(target);
    }

    fn limit(&self, target: usize) -> u32 {
        self.tables[self.holder(target)].limit(&name(target))
    }

    fn cancel(&mut self, id: u64, cause_us: u64) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        record(&mut self.out.preemption_us, self.now_us - cause_us);
        let target = &mut self.targets[stream.target];
        target.model.cancel(id);
        target.batch_tokens -= stream.prompt + stream.tokens;
        target.parked.push(stream);
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
                Policy::Tokens(_) => self.token_room(target, limit, now),
                _ => state.slots.available(limit, now),
            };
            if free == 0 {
                return;
            }
            let parked = self.targets[target].parked.pop();
            let stream = parked.unwrap_or_else(|| self.item(target));
            let id = self.add(stream);
            let state = &mut self.targets[target];
            state.slots.begin(id, now);
            state.batch_tokens += stream.prompt + stream.tokens;
            let way = self.one_way(self.holder(target), target);
            self.at(self.now_us + way, Event::Submit(id));
        }
    }

    /// Room for one more item when slots are counted in reserved tokens: each
    /// stream holds its prompt and its longest answer, refunded at its end.
    fn token_room(&self, target: usize, limit: u32, now: Instant) -> u32 {
        let mean = |prompt: u32, tokens: (u32, u32)| prompt + (tokens.0 + tokens.1) / 2;
        let online = mean(ONLINE_PROMPT, ONLINE_TOKENS);
        let granted = limit * (online + mean(BATCH_PROMPT, BATCH_TOKENS)) / 2;
        let state = &self.targets[target];
        let held = (state.slots.online_streams(now) + 1) * online + state.batch_tokens;
        granted.saturating_sub(held) / (BATCH_PROMPT + BATCH_TOKENS.1)
    }

    fn item(&mut self, target: usize) -> Stream {
        Stream {
            host: self.holder(target),
            target,
            online: false,
            prompt: BATCH_PROMPT,
            prefix: PREFIXES + self.rng.random_range(0..BATCH_PREFIXES),
            tokens: self.rng.random_range(BATCH_TOKENS.0..=BATCH_TOKENS.1),
            done: 0,
            arrived_us: self.now_us,
            last_us: self.now_us,
        }
    }

    fn submit(&mut self, id: u64) {
        let Some(stream) = self.streams.get(&id).copied() else {
            return;
        };
        let target = &mut self.targets[stream.target];
        target.model.submit(model::Request {
            id,
            prompt_tokens: stream.prompt,
            prompt_hash: stream.prefix,
            tokens: stream.tokens,
            done_tokens: stream.done,
        });
        if !target.stepping {
            target.stepping = true;
            let took = target.model.begin_step();
            let at = self.now_us + micros(took);
            self.at(at, Event::Step(stream.target));
        }
    }

    fn step(&mut self, id: usize) {
        let tokens = self.targets[id].model.end_step();
        for token in tokens {
            let Some(stream) = self.streams.get_mut(&token.id) else {
                continue;
            };
            stream.done = token.offset + 1;
            let stream = *stream;
            if !stream.online {
                self.out.batch_tokens += 1;
                if !token.is_last {
                    continue;
                }
            }
            let mut way = self.one_way(stream.host, id);
            if matches!(self.policy, Policy::ThroughHolder(_)) {
                let holder = self.holder(id);
                way = self.one_way(stream.host, holder) + self.one_way(holder, id);
            }
            self.at(
                self.now_us + way,
                Event::Seen(token.id, token.offset, token.is_last),
            );
        }
        let target = &mut self.targets[id];
        if target.model.is_idle() {
            target.stepping = false;
            return;
        }
        let took = target.model.begin_step();
        self.at(self.now_us + micros(took), Event::Step(id));
    }

    fn seen(&mut self, id: u64, offset: u32, last: bool) {
        let now = self.now();
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let took = self.now_us - stream.last_us;
        stream.last_us = self.now_us;
        let stream = *stream;
        let target = name(stream.target);
        if stream.online {
            let table = &mut self.tables[stream.host];
            let took = Duration::from_micros(took);
            if offset == 0 {
                let first = self.now_us - stream.arrived_us;
                record(&mut self.out.first_us, first);
                table.record_first_token(&target, took, now);
                let model = &self.targets[stream.target].model;
                let streams = model.running() + model.waiting();
                let streams = u32::try_from(streams).unwrap_or(u32::MAX);
                table.set_reported_streams(&target, streams, now);
            } else {
                record(&mut self.out.inter_us, micros(took));
                table.record_inter_token(&target, took, now);
            }
        }
        if !last {
            return;
        }
        self.streams.remove(&id);
        if stream.online {
            self.tables[stream.host].end(&target);
            self.tell(stream.host, stream.target);
            return;
        }
        self.out.batch_items += 1;
        let state = &mut self.targets[stream.target];
        state.slots.end(id);
        state.batch_tokens -= stream.prompt + stream.tokens;
        self.fill(stream.target);
    }

    fn sample(&mut self) {
        self.at(self.now_us + SAMPLE_US, Event::Sample);
        let online = self.streams.values().filter(|s| s.online).count();
        let batch = self.streams.len() - online;
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        self.samples
            .push((self.now_us, count(online), count(batch)));
    }

    fn finish(mut self) -> Outcome {
        let all = f64::from(table::Config::default().streams_max) * self.scenario.targets as f64;
        let used: f64 = self.samples.iter().map(|s| f64::from(s.1) / all).sum();
        self.out.unused_share = 1.0 - used / self.samples.len().max(1) as f64;
        self.measure_refill();
        self.out
    }

    /// Measures, for each burst, from when online streams are back to what they
    /// were before it until batch streams are as well.
    fn measure_refill(&mut self) {
        let every = (self.scenario.burst_interval_us / SAMPLE_US) as usize;
        let burst = (self.scenario.burst_duration_us / SAMPLE_US) as usize;
        let mean = |part: &[(u64, u32, u32)], of: fn(&(u64, u32, u32)) -> u32| {
            part.iter().map(|s| f64::from(of(s))).sum::<f64>() / part.len().max(1) as f64
        };
        let mut start = every - burst;
        while start + burst + every / 2 < self.samples.len() {
            let before = &self.samples[start.saturating_sub(burst)..start];
            let (online, batch) = (mean(before, |s| s.1), mean(before, |s| s.2));
            let after = &self.samples[start + burst..start + burst + every / 2];
            let calm = after.iter().position(|s| f64::from(s.1) <= online * 1.1);
            let full = after.iter().position(|s| f64::from(s.2) >= batch * 0.95);
            if let (Some(calm), Some(full)) = (calm, full) {
                let late = full.saturating_sub(calm) as u64 * SAMPLE_US;
                record(&mut self.out.refill_us, late);
            }
            start += every;
        }
    }
}

fn name(target: usize) -> String {
    format!("t{target}")
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
