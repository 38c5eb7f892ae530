//! Simulates reader selection in virtual time: hosts fail and messages are lost, and no
//! host may be without fresh records for longer than the timeouts allow.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::VecDeque;
use std::time::Duration;

use notchwharf_spread::readers::Timeouts;
use notchwharf_spread::readers::rank;
use notchwharf_spread::readers::ranks_before;
use notchwharf_spread::readers::should_read;
use notchwharf_spread::tree;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which log records must be applied.
const DEADLINE: Duration = Duration::from_secs(2);
/// Duration of a simulation step, and steps between two checks of a host.
const STEP: Duration = Duration::from_millis(10);
const CHECK_STEPS: u32 = 5;
/// Steps that a message takes per hop.
const HOP_STEPS: u32 = 1;

#[derive(Clone)]
struct Host {
    name: String,
    is_up: bool,
    is_disconnected: bool,
    reads: bool,
    /// When the newest records that it has were read from the log.
    newest_read_at: Duration,
    /// The same, considering only announcements of hosts ranked before it.
    newest_read_at_ranked_before: Duration,
    sent: usize,
    read_count: usize,
    announced_at: Duration,
    staleness_max: Duration,
}

struct Message {
    due: u32,
    to: usize,
    reader: usize,
    read_at: Duration,
    forward_to: Vec<usize>,
}

struct Simulation {
    rng: ChaCha8Rng,
    timeouts: Timeouts,
    step: u32,
    hosts: Vec<Host>,
    ranks: Vec<usize>,
    messages: VecDeque<Message>,
    loss: f64,
}

impl Simulation {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("h{number}")).collect();
        let ranks = names
            .iter()
            .map(|own| rank(own, names.iter().map(String::as_str)));
        let ranks = ranks.collect();
        let hosts = names.into_iter().map(|name| Host {
            name,
            is_up: true,
            is_disconnected: false,
            reads: false,
            newest_read_at: Duration::ZERO,
            newest_read_at_ranked_before: Duration::ZERO,
            sent: 0,
            read_count: 0,
            announced_at: Duration::ZERO,
            staleness_max: Duration::ZERO,
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            timeouts: Timeouts::for_deadline(DEADLINE),
            step: 0,
            hosts: hosts.collect(),
            ranks,
            messages: VecDeque::new(),
            loss,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    /// Returns the hosts ordered by rank.
    fn ranked(&self) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..self.hosts.len()).collect();
        hosts.sort_by_key(|host| self.ranks[*host]);
        hosts
    }

    fn forward(&mut self, from: usize, reader: usize, read_at: Duration, hosts: &[usize]) {
        for branch in tree::split(hosts, tree::FANOUT) {
            self.hosts[from].sent += 1;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.messages.push_back(Message {
                due: self.step + HOP_STEPS,
                to: branch.receiver,
                reader,
                read_at,
                forward_to: branch.forward_to,
            });
        }
    }

    fn deliver(&mut self) {
        while self.messages.front().is_some_and(|m| m.due <= self.step) {
            let message = self.messages.pop_front().unwrap();
            if !self.hosts[message.to].is_up {
                continue;
            }
            self.forward(
                message.to,
                message.reader,
                message.read_at,
                &message.forward_to,
            );
            let reader = self.hosts[message.reader].name.clone();
            let host = &mut self.hosts[message.to];
            host.newest_read_at = host.newest_read_at.max(message.read_at);
            if ranks_before(&reader, &host.name) {
                host.newest_read_at_ranked_before =
                    host.newest_read_at_ranked_before.max(message.read_at);
            }
        }
    }

    fn check(&mut self, number: usize) {
        let now = self.now();
        let host = &self.hosts[number];
        let newest_read_at = match host.reads {
            true => host.newest_read_at_ranked_before,
            false => host.newest_read_at,
        };
        let is_due = should_read(
            self.ranks[number],
            now.saturating_sub(newest_read_at),
            self.timeouts,
        );
        let host = &mut self.hosts[number];
        host.reads = is_due;
        if !is_due || host.is_disconnected {
            return;
        }
        host.newest_read_at = now;
        host.read_count += 1;
        if now.saturating_sub(host.announced_at) < self.timeouts.announce_interval {
            return;
        }
        host.announced_at = now;
        let mut others: Vec<usize> = (0..self.hosts.len()).filter(|h| *h != number).collect();
        others.shuffle(&mut self.rng);
        self.forward(number, number, now, &others);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now() + time;
        while self.now() < until {
            self.step += 1;
            self.deliver();
            if self.step.is_multiple_of(CHECK_STEPS) {
                for number in 0..self.hosts.len() {
                    if self.hosts[number].is_up {
                        self.check(number);
                    }
                }
            }
            let now = self.now();
            for host in self
                .hosts
                .iter_mut()
                .filter(|host| host.is_up && !host.is_disconnected)
            {
                host.staleness_max = host.staleness_max.max(now - host.newest_read_at);
            }
        }
    }

    fn reader_count(&self) -> usize {
        let alive = self
            .hosts
            .iter()
            .filter(|host| host.is_up && !host.is_disconnected);
        alive.filter(|host| host.reads).count()
    }

    fn staleness_max(&self) -> Duration {
        let alive = self
            .hosts
            .iter()
            .filter(|host| host.is_up && !host.is_disconnected);
        alive.map(|host| host.staleness_max).max().unwrap()
    }
}

#[rstest]
fn one_host_reads_regardless_of_the_fleet_size(#[values(30, 100, 300, 1_000)] count: usize) {
    let mut simulation = Simulation::new(count, 0.0, 1);
    simulation.run(Duration::from_secs(20));
    assert_eq!(simulation.reader_count(), 1);
    let sent: usize = simulation.hosts.iter().map(|host| host.sent).sum();
    let announcements = 20_000 / simulation.timeouts.announce_interval.as_millis() as usize;
    assert!(sent <= (announcements + 1) * (count - 1), "{sent} messages");
    let readers = simulation.hosts.iter().filter(|host| host.read_count > 0);
    assert_eq!(readers.count(), 1);
}

#[rstest]
fn no_host_is_stale_beyond_the_timeouts(
    #[values(30, 300)] count: usize,
    // Failed hosts among the first ranks, and percentage of failed hosts among the others.
    #[values(1, 3, 20)] first_ranks: usize,
    #[values(0, 50)] others_percent: usize,
    #[values(0.0, 0.02)] loss: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut simulation = Simulation::new(count, loss, seed);
    simulation.run(Duration::from_secs(5));
    for (rank, host) in simulation.ranked().into_iter().enumerate() {
        let is_failed = rank < first_ranks || (rank * 37 + 11) % 100 < others_percent;
        simulation.hosts[host].is_up = !is_failed;
    }
    simulation.run(Duration::from_secs(5));
    let staleness_max = simulation.staleness_max();
    // A host that reads for itself is up to date by its next check.
    let limit = simulation.timeouts.fallback_after + STEP * CHECK_STEPS;
    assert!(staleness_max <= limit, "{staleness_max:?}");
    if loss == 0.0 && others_percent == 0 {
        assert_eq!(simulation.reader_count(), 1);
    }
}

#[rstest]
fn hosts_without_access_to_the_log_are_replaced(#[values(1, 4)] disconnected: usize) {
    let mut simulation = Simulation::new(100, 0.0, 3);
    simulation.run(Duration::from_secs(5));
    for host in simulation.ranked().into_iter().take(disconnected) {
        simulation.hosts[host].is_disconnected = true;
    }
    simulation.run(Duration::from_secs(5));
    assert!(simulation.staleness_max() <= simulation.timeouts.fallback_after + STEP * CHECK_STEPS);
    assert_eq!(simulation.reader_count(), 1);
    for host in &mut simulation.hosts {
        host.is_disconnected = false;
    }
    simulation.run(Duration::from_secs(5));
    assert_eq!(simulation.reader_count(), 1);
}

#[rstest]
#[case::first(0, 0, true)]
#[case::second_with_announcements(1, 900, false)]
#[case::second_in_silence(1, 1_000, true)]
#[case::third_waits_longer(2, 1_000, false)]
#[case::third_in_silence(2, 1_100, true)]
#[case::all_after_the_fallback(500, 1_400, true)]
#[case::rank_overflow(usize::MAX, 1_399, false)]
fn a_host_reads_depending_on_rank_and_silence(
    #[case] rank: usize,
    #[case] silence_ms: u64,
    #[case] expected: bool,
) {
    let timeouts = Timeouts::for_deadline(DEADLINE);
    let silence = Duration::from_millis(silence_ms);
    assert_eq!(should_read(rank, silence, timeouts), expected);
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(500)]
#[case(600_000)]
fn timeouts_are_ordered_for_any_deadline(#[case] deadline_ms: u64) {
    let timeouts = Timeouts::for_deadline(Duration::from_millis(deadline_ms));
    assert!(timeouts.announce_interval <= timeouts.takeover_after);
    assert!(timeouts.takeover_after <= timeouts.fallback_after);
    assert!(timeouts.fallback_after <= Duration::from_millis(deadline_ms));
}
