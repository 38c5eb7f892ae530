//! Dissemination of host states, simulated in virtual time with fleets of 30 to 1,000 hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::cells::Cells;
use notchwharf_routing::dissemination;
use notchwharf_routing::dissemination::Peer;
use notchwharf_routing::dissemination::RELAY_INTERVAL;
use notchwharf_routing::dissemination::Schedule;
use notchwharf_routing::dissemination::Sender;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const DATA_CENTRES: usize = 5;
const CELL_HOSTS_MAX: usize = 96;
/// Changes of a host's state: three requests a second, each of which starts and ends, and
/// some items.
const CHANGES_PER_S: f64 = 7.0;
/// Minimum interval between two updates of a host.
const UPDATE_INTERVAL_MIN: Duration = Duration::from_millis(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an update after which a host counts as down.
const DOWN_AFTER: Duration = Duration::from_millis(1_200);
/// Message delays within a data centre and between data centres.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
const REMOTE_DELAY: Duration = Duration::from_micros(900);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Change {
        host: usize,
    },
    Update {
        host: usize,
    },
    Relay {
        host: usize,
    },
    /// A host receives the state of another (`of`), as of a number of changes.
    Receive {
        to: usize,
        of: usize,
        changes: usize,
        is_direct: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    received_at: Option<Duration>,
    last_sent: Option<Duration>,
    changes: usize,
}

struct Host {
    name: String,
    data_centre: String,
    is_up: bool,
    changed_at: Vec<Duration>,
    peers: Vec<PeerState>,
    is_changed: bool,
    schedule: Schedule,
    sent_at: Duration,
    /// When it sends its next update if nothing changes.
    next_update_at: Duration,
    to_relay: BTreeSet<usize>,
    sent: usize,
    received: usize,
}

struct Fleet {
    start: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    cells: Cells,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    /// Time from a change until a host of the same data centre, or of another, knows of it.
    local_delays: Vec<Duration>,
    remote_delays: Vec<Duration>,
    measure_from: Duration,
}

impl Fleet {
    fn new(count: usize, cell_hosts_max: usize, seed: u64) -> Self {
        let start = Instant::now();
        let host = |number: usize| Host {
            name: format!("front-{number}"),
            data_centre: format!("d{}", number % DATA_CENTRES),
            is_up: true,
            changed_at: Vec::new(),
            peers: vec![
                PeerState {
                    received_at: Some(Duration::ZERO),
                    last_sent: None,
                    changes: 0,
                };
                count
            ],
            is_changed: false,
            schedule: Schedule::new(HEARTBEAT_INTERVAL, start),
            sent_at: Duration::ZERO,
            next_update_at: Duration::ZERO,
            to_relay: BTreeSet::new(),
            sent: 0,
            received: 0,
        };
        let mut fleet = Self {
            start,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cells: Cells::for_fleet(sizes(count), cell_hosts_max),
            hosts: (0..count).map(host).collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            local_delays: Vec::new(),
            remote_delays: Vec::new(),
            measure_from: Duration::ZERO,
        };
        for host in 0..count {
            let phase = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.schedule(phase, Event::Update { host });
            fleet.schedule(phase, Event::Relay { host });
            fleet.schedule_change(host);
        }
        fleet
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn schedule_change(&mut self, host: usize) {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let after = Duration::from_secs_f64(-uniform.ln() / CHANGES_PER_S);
        self.schedule(after, Event::Change { host });
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                self.events.push(Reverse((at, 0, event)));
                self.now = end;
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Change { host } => {
                self.schedule_change(host);
                if self.hosts[host].is_up {
                    self.hosts[host].changed_at.push(self.now);
                    self.hosts[host].is_changed = true;
                    self.schedule(Duration::ZERO, Event::Update { host });
                }
            }
            Event::Update { host } => self.update(host),
            Event::Relay { host } => self.relay(host),
            Event::Receive {
                to,
                of,
                changes,
                is_direct,
            } => self.receive(to, of, changes, is_direct),
        }
    }

    fn is_alive(&self, peer: &PeerState) -> bool {
        peer.received_at
            .is_some_and(|at| self.now - at < DOWN_AFTER)
    }

    fn sender(&self, host: usize) -> Sender<'_> {
        Sender {
            host: &self.hosts[host].name,
            data_centre: &self.hosts[host].data_centre,
            cells: self.cells,
        }
    }

    fn peers(&self, host: usize) -> Vec<Peer<'_>> {
        let states = self.hosts[host].peers.iter().enumerate();
        let peers = states.map(|(number, state)| Peer {
            host: &self.hosts[number].name,
            data_centre: Some(&self.hosts[number].data_centre),
            // A host is not its own peer.
            is_alive: number != host && self.is_alive(state),
            last_sent: match number == host {
                true => Some(self.start + self.now),
                false => state.last_sent.map(|at| self.start + at),
            },
        });
        peers.collect()
    }

    /// Sends a host's state if it has changed or a heartbeat is due.
    fn update(&mut self, host: usize) {
        let sender = &self.hosts[host];
        let is_due = sender.is_changed || self.now >= sender.next_update_at;
        if !sender.is_up || !is_due {
            return;
        }
        let since_sent = self.now - self.hosts[host].sent_at;
        if since_sent < UPDATE_INTERVAL_MIN {
            self.schedule(UPDATE_INTERVAL_MIN - since_sent, Event::Update { host });
            return;
        }
        let now = self.start + self.now;
        let is_changed = std::mem::take(&mut self.hosts[host].is_changed);
        let due = self.hosts[host].schedule.due(is_changed, now);
        let mut rng = self.rng.clone();
        let recipients =
            dissemination::recipients(&self.sender(host), &self.peers(host), due, now, &mut rng);
        self.rng = rng;
        let changes = self.hosts[host].changed_at.len();
        for to in recipients.local.iter().chain(&recipients.remote) {
            self.send(host, *to, host, changes, true);
        }
        let at = self.now;
        let sender = &mut self.hosts[host];
        for to in &recipients.local {
            sender.peers[*to].last_sent = Some(at);
        }
        if let Some(pace) = recipients.pace {
            sender.schedule.set_pace(pace);
        }
        sender.sent_at = at;
        let wait = sender.schedule.wait(now).max(UPDATE_INTERVAL_MIN);
        sender.next_update_at = at + wait;
        self.schedule(wait, Event::Update { host });
    }

    fn relay(&mut self, host: usize) {
        self.schedule(RELAY_INTERVAL, Event::Relay { host });
        let states = std::mem::take(&mut self.hosts[host].to_relay);
        if !self.hosts[host].is_up || states.is_empty() {
            return;
        }
        for to in dissemination::relay_recipients(&self.sender(host), &self.peers(host)) {
            // One datagram carries all states.
            self.hosts[host].sent += 1;
            for of in &states {
                let changes = self.hosts[host].peers[*of].changes;
                self.deliver(host, to, *of, changes, false);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, of: usize, changes: usize, is_direct: bool) {
        self.hosts[from].sent += 1;
        self.deliver(from, to, of, changes, is_direct);
    }

    fn deliver(&mut self, from: usize, to: usize, of: usize, changes: usize, is_direct: bool) {
        let is_local = self.hosts[from].data_centre == self.hosts[to].data_centre;
        let delay = if is_local { LOCAL_DELAY } else { REMOTE_DELAY };
        self.schedule(
            delay,
            Event::Receive {
                to,
                of,
                changes,
                is_direct,
            },
        );
    }

    fn receive(&mut self, to: usize, of: usize, changes: usize, is_direct: bool) {
        if !self.hosts[to].is_up || to == of {
            return;
        }
        let now = self.now;
        let is_local = self.hosts[of].data_centre == self.hosts[to].data_centre;
        let known = self.hosts[to].peers[of].changes;
        if changes > known {
            let changed_at = &self.hosts[of].changed_at[known..changes];
            let delays = changed_at.iter().filter(|at| **at >= self.measure_from);
            let delays = delays.map(|at| now - *at);
            match is_local {
                true => self.local_delays.extend(delays),
                false => self.remote_delays.extend(delays),
            }
        }
        self.hosts[to].received += 1;
        let state = &mut self.hosts[to].peers[of];
        state.received_at = Some(now);
        state.changes = state.changes.max(changes);
        if is_direct && !is_local {
            self.hosts[to].to_relay.insert(of);
        }
    }

    /// Returns the mean number of datagrams that a host sends per second, and of other hosts'
    /// states that it receives.
    fn load_per_s(&self, time: Duration) -> (f64, f64) {
        let mean = |sum: usize| sum as f64 / self.hosts.len() as f64 / time.as_secs_f64();
        let sent = self.hosts.iter().map(|host| host.sent).sum();
        let received = self.hosts.iter().map(|host| host.received).sum();
        (mean(sent), mean(received))
    }
}

fn percentile_95(delays: &mut [Duration]) -> Duration {
    delays.sort_unstable();
    delays[delays.len() * 95 / 100]
}

fn load_per_s(hosts: usize, cell_hosts_max: usize) -> (f64, f64) {
    const TIME: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::new(hosts, cell_hosts_max, 1);
    fleet.run_until(TIME);
    let load = fleet.load_per_s(TIME);
    println!("{hosts} hosts, cells of {cell_hosts_max}: sent and received per second {load:?}");
    load
}

#[test]
fn the_load_of_a_host_does_not_grow_with_the_fleet() {
    let (sent_90, received_90) = load_per_s(90, CELL_HOSTS_MAX);
    for hosts in [300, 1_000] {
        let (sent, received) = load_per_s(hosts, CELL_HOSTS_MAX);
        assert!(sent <= 1.4 * sent_90, "{hosts}: {sent} of {sent_90}");
        assert!(
            received <= received_90,
            "{hosts}: {received} of {received_90}"
        );
    }
}

/// Rejected sizes of cells, and a fleet that is not divided.
#[rstest]
#[case::small_cells(48, 0.6)]
#[case::no_cells(usize::MAX, 3.5)]
fn smaller_cells_reduce_the_load_and_an_undivided_fleet_raises_it(
    #[case] cell_hosts_max: usize,
    #[case] times: f64,
) {
    let (_, default) = load_per_s(300, CELL_HOSTS_MAX);
    let (_, other) = load_per_s(300, cell_hosts_max);
    let is_as_expected = match times > 1.0 {
        true => other >= times * default,
        false => other <= times * default,
    };
    assert!(is_as_expected, "{other} of {default}");
}

#[rstest]
#[case(30)]
#[case(300)]
#[case(1_000)]
fn updates_arrive_in_time(#[case] hosts: usize) {
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 2);
    fleet.run_until(Duration::from_secs(2));
    let local = percentile_95(&mut fleet.local_delays);
    assert!(local <= Duration::from_millis(5), "{local:?}");
    // Where the fleet is divided, other data centres receive sums only.
    assert_eq!(fleet.remote_delays.is_empty(), fleet.cells.is_divided());
    if !fleet.cells.is_divided() {
        let remote = percentile_95(&mut fleet.remote_delays);
        // Sent within one relay interval and relayed within the next.
        let max = 2 * RELAY_INTERVAL + Duration::from_millis(10);
        assert!(remote <= max, "{remote:?}");
    }
}

#[rstest]
#[case::a_tenth(300, 10)]
#[case::a_third(300, 3)]
#[case::nine_of_ten(300, 1)]
#[case::of_a_thousand(1_000, 3)]
fn the_remaining_hosts_detect_one_another_after_a_failure(
    #[case] hosts: usize,
    #[case] one_in: usize,
) {
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 3);
    fleet.run_until(Duration::from_secs(1));
    for host in 0..hosts {
        // A value of one stands for nine hosts of ten.
        let is_failed = match one_in {
            1 => host % 10 != 0,
            _ => host % one_in == 0,
        };
        fleet.hosts[host].is_up = !is_failed;
    }
    fleet.run_until(Duration::from_secs(4));
    for host in (0..hosts).filter(|host| fleet.hosts[*host].is_up) {
        let sender = fleet.sender(host);
        for (number, peer) in fleet.peers(host).iter().enumerate() {
            let sender_location = (sender.host, sender.data_centre);
            let peer_location = (peer.host, peer.data_centre.unwrap());
            let is_in_cell = sender
                .cells
                .are_in_same_cell(sender_location, peer_location)
                && number != host;
            let is_up = fleet.hosts[number].is_up;
            assert!(!is_in_cell || peer.is_alive == is_up, "{host} of {number}");
        }
    }
}

#[test]
fn a_data_centre_is_detected_again_after_an_outage() {
    // One cell, so that data centres send one another updates.
    let hosts = 90;
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 4);
    fleet.run_until(Duration::from_secs(1));
    let failed: Vec<usize> = (0..hosts).filter(|host| host % DATA_CENTRES == 0).collect();
    for host in &failed {
        fleet.hosts[*host].is_up = false;
    }
    fleet.run_until(Duration::from_secs(4));
    let observer = (0..hosts).find(|host| host % DATA_CENTRES == 1).unwrap();
    let is_detected = |fleet: &Fleet, of: usize| fleet.is_alive(&fleet.hosts[observer].peers[of]);
    assert!(failed.iter().all(|host| !is_detected(&fleet, *host)));
    for host in &failed {
        fleet.hosts[*host].is_up = true;
        fleet.schedule(Duration::ZERO, Event::Update { host: *host });
    }
    // Hosts send updates to those that are down once a second.
    fleet.run_until(Duration::from_secs(8));
    for host in failed {
        assert!(is_detected(&fleet, host), "{host}");
    }
}

/// Returns the number of hosts in each data centre.
fn sizes(hosts: usize) -> [usize; DATA_CENTRES] {
    std::array::from_fn(|number| (hosts + DATA_CENTRES - 1 - number) / DATA_CENTRES)
}
