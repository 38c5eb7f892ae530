//! Who tells whom, played in virtual time with fleets of 30 to 1,000 hosts.
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
/// Changes of what a host runs: three requests a second, each of which begins and
/// ends, and some items.
const CHANGES_PER_S: f64 = 7.0;
const NEWS_GAP: Duration = Duration::from_millis(2);
const BEAT: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(1_200);
const NEAR_WAY: Duration = Duration::from_micros(200);
const FAR_WAY: Duration = Duration::from_micros(900);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Change {
        host: usize,
    },
    Speak {
        host: usize,
    },
    Pass {
        host: usize,
    },
    /// How a host is reaches another, as of a number of changes.
    Arrive {
        to: usize,
        of: usize,
        changes: usize,
        is_direct: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Option<Duration>,
    told: Option<Duration>,
    changes: usize,
}

struct Host {
    name: String,
    data_centre: String,
    is_up: bool,
    changed_at: Vec<Duration>,
    peers: Vec<Heard>,
    is_news: bool,
    schedule: Schedule,
    spoke: Duration,
    /// When it speaks next without news.
    wakes: Duration,
    to_pass_on: BTreeSet<usize>,
    sent: usize,
    taken_in: usize,
}

struct Fleet {
    start: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    cells: Cells,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    /// Time from a change to a host near, or far away, that knows of it.
    near_delays: Vec<Duration>,
    far_delays: Vec<Duration>,
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
                Heard {
                    at: Some(Duration::ZERO),
                    told: None,
                    changes: 0,
                };
                count
            ],
            is_news: false,
            schedule: Schedule::new(BEAT, start),
            spoke: Duration::ZERO,
            wakes: Duration::ZERO,
            to_pass_on: BTreeSet::new(),
            sent: 0,
            taken_in: 0,
        };
        let mut fleet = Self {
            start,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cells: Cells::for_fleet(sizes(count), cell_hosts_max),
            hosts: (0..count).map(host).collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            near_delays: Vec::new(),
            far_delays: Vec::new(),
            measure_from: Duration::ZERO,
        };
        for host in 0..count {
            let phase = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.schedule(phase, Event::Speak { host });
            fleet.schedule(phase, Event::Pass { host });
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
        let drawn: f64 = self.rng.random_range(1e-9..1.0);
        let after = Duration::from_secs_f64(-drawn.ln() / CHANGES_PER_S);
        self.schedule(after, Event::Change { host });
    }

    fn play_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                self.events.push(Reverse((at, 0, event)));
                self.now = end;
                return;
            }
            self.now = at;
            self.play(event);
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Change { host } => {
                self.schedule_change(host);
                if self.hosts[host].is_up {
                    self.hosts[host].changed_at.push(self.now);
                    self.hosts[host].is_news = true;
                    self.schedule(Duration::ZERO, Event::Speak { host });
                }
            }
            Event::Speak { host } => self.speak(host),
            Event::Pass { host } => self.pass(host),
            Event::Arrive {
                to,
                of,
                changes,
                is_direct,
            } => self.arrive(to, of, changes, is_direct),
        }
    }

    fn is_alive(&self, heard: &Heard) -> bool {
        heard.at.is_some_and(|at| self.now - at < DOWN)
    }

    fn own(&self, host: usize) -> Sender<'_> {
        Sender {
            host: &self.hosts[host].name,
            data_centre: &self.hosts[host].data_centre,
            cells: self.cells,
        }
    }

    fn peers(&self, host: usize) -> Vec<Peer<'_>> {
        let heard = self.hosts[host].peers.iter().enumerate();
        let peers = heard.map(|(number, heard)| Peer {
            host: &self.hosts[number].name,
            data_centre: Some(&self.hosts[number].data_centre),
            // A host is no peer of its own.
            is_alive: number != host && self.is_alive(heard),
            last_sent: match number == host {
                true => Some(self.start + self.now),
                false => heard.told.map(|at| self.start + at),
            },
        });
        peers.collect()
    }

    /// Does what a host does when it has news, or a beat is due.
    fn speak(&mut self, host: usize) {
        let speaker = &self.hosts[host];
        let is_due = speaker.is_news || self.now >= speaker.wakes;
        if !speaker.is_up || !is_due {
            return;
        }
        let silence = self.now - self.hosts[host].spoke;
        if silence < NEWS_GAP {
            self.schedule(NEWS_GAP - silence, Event::Speak { host });
            return;
        }
        let now = self.start + self.now;
        let is_news = std::mem::take(&mut self.hosts[host].is_news);
        let due = self.hosts[host].schedule.due(is_news, now);
        let mut rng = self.rng.clone();
        let told =
            dissemination::recipients(&self.own(host), &self.peers(host), due, now, &mut rng);
        self.rng = rng;
        let changes = self.hosts[host].changed_at.len();
        for to in told.local.iter().chain(&told.remote) {
            self.send(host, *to, host, changes, true);
        }
        let at = self.now;
        let speaker = &mut self.hosts[host];
        for to in &told.local {
            speaker.peers[*to].told = Some(at);
        }
        if let Some(pace) = told.pace {
            speaker.schedule.set_pace(pace);
        }
        speaker.spoke = at;
        let wait = speaker.schedule.wait(now).max(NEWS_GAP);
        speaker.wakes = at + wait;
        self.schedule(wait, Event::Speak { host });
    }

    fn pass(&mut self, host: usize) {
        self.schedule(RELAY_INTERVAL, Event::Pass { host });
        let heard = std::mem::take(&mut self.hosts[host].to_pass_on);
        if !self.hosts[host].is_up || heard.is_empty() {
            return;
        }
        for to in dissemination::relay_recipients(&self.own(host), &self.peers(host)) {
            // One datagram carries them all.
            self.hosts[host].sent += 1;
            for of in &heard {
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
        let way = if is_local { NEAR_WAY } else { FAR_WAY };
        self.schedule(
            way,
            Event::Arrive {
                to,
                of,
                changes,
                is_direct,
            },
        );
    }

    fn arrive(&mut self, to: usize, of: usize, changes: usize, is_direct: bool) {
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
                true => self.near_delays.extend(delays),
                false => self.far_delays.extend(delays),
            }
        }
        self.hosts[to].taken_in += 1;
        let heard = &mut self.hosts[to].peers[of];
        heard.at = Some(now);
        heard.changes = heard.changes.max(changes);
        if is_direct && !is_local {
            self.hosts[to].to_pass_on.insert(of);
        }
    }

    /// Returns the datagrams that a host sends a second, and the states of others
    /// that it takes in, on average.
    fn work_per_s(&self, time: Duration) -> (f64, f64) {
        let mean = |sum: usize| sum as f64 / self.hosts.len() as f64 / time.as_secs_f64();
        let sent = self.hosts.iter().map(|host| host.sent).sum();
        let taken_in = self.hosts.iter().map(|host| host.taken_in).sum();
        (mean(sent), mean(taken_in))
    }
}

fn percentile_95(delays: &mut [Duration]) -> Duration {
    delays.sort_unstable();
    delays[delays.len() * 95 / 100]
}

fn work_per_s(hosts: usize, cell_hosts_max: usize) -> (f64, f64) {
    const TIME: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::new(hosts, cell_hosts_max, 1);
    fleet.play_until(TIME);
    let work = fleet.work_per_s(TIME);
    println!("{hosts} hosts, cells of {cell_hosts_max}: sent, taken in a second {work:?}");
    work
}

#[test]
fn what_a_host_sends_and_takes_in_does_not_grow_with_the_fleet() {
    let (sent_90, taken_in_90) = work_per_s(90, CELL_HOSTS_MAX);
    for hosts in [300, 1_000] {
        let (sent, taken_in) = work_per_s(hosts, CELL_HOSTS_MAX);
        assert!(sent <= 1.4 * sent_90, "{hosts}: {sent} of {sent_90}");
        assert!(
            taken_in <= taken_in_90,
            "{hosts}: {taken_in} of {taken_in_90}"
        );
    }
}

/// Other sizes of cells that were weighed, and none at all.
#[rstest]
#[case::small_cells(48, 0.6)]
#[case::no_cells(usize::MAX, 3.5)]
fn smaller_cells_talk_less_and_a_fleet_without_much_more(
    #[case] cell_hosts_max: usize,
    #[case] times: f64,
) {
    let (_, usual) = work_per_s(300, CELL_HOSTS_MAX);
    let (_, other) = work_per_s(300, cell_hosts_max);
    let is_as_expected = match times > 1.0 {
        true => other >= times * usual,
        false => other <= times * usual,
    };
    assert!(is_as_expected, "{other} of {usual}");
}

#[rstest]
#[case(30)]
#[case(300)]
#[case(1_000)]
fn news_of_a_taken_place_is_young_where_it_decides(#[case] hosts: usize) {
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 2);
    fleet.play_until(Duration::from_secs(2));
    let near = percentile_95(&mut fleet.near_delays);
    assert!(near <= Duration::from_millis(5), "{near:?}");
    // Where the fleet is divided, other data centres hear sums only.
    assert_eq!(fleet.far_delays.is_empty(), fleet.cells.is_divided());
    if !fleet.cells.is_divided() {
        let far = percentile_95(&mut fleet.far_delays);
        // Told once in a passing gap, passed on in the next.
        let most = 2 * RELAY_INTERVAL + Duration::from_millis(10);
        assert!(far <= most, "{far:?}");
    }
}

#[rstest]
#[case::a_tenth(300, 10)]
#[case::a_third(300, 3)]
#[case::nine_of_ten(300, 1)]
#[case::of_a_thousand(1_000, 3)]
fn after_a_loss_those_that_are_left_go_on_hearing_one_another(
    #[case] hosts: usize,
    #[case] one_in: usize,
) {
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 3);
    fleet.play_until(Duration::from_secs(1));
    for host in 0..hosts {
        // One in one stands for all but a tenth.
        let is_lost = match one_in {
            1 => host % 10 != 0,
            _ => host % one_in == 0,
        };
        fleet.hosts[host].is_up = !is_lost;
    }
    fleet.play_until(Duration::from_secs(4));
    for host in (0..hosts).filter(|host| fleet.hosts[*host].is_up) {
        let own = fleet.own(host);
        for (number, peer) in fleet.peers(host).iter().enumerate() {
            let own_at = (own.host, own.data_centre);
            let peer_at = (peer.host, peer.data_centre.unwrap());
            let is_together = own.cells.are_in_same_cell(own_at, peer_at) && number != host;
            let is_up = fleet.hosts[number].is_up;
            assert!(!is_together || peer.is_alive == is_up, "{host} of {number}");
        }
    }
}

#[test]
fn a_data_centre_that_was_cut_off_is_heard_again() {
    // One cell, so that data centres tell one another.
    let hosts = 90;
    let mut fleet = Fleet::new(hosts, CELL_HOSTS_MAX, 4);
    fleet.play_until(Duration::from_secs(1));
    let lost: Vec<usize> = (0..hosts).filter(|host| host % DATA_CENTRES == 0).collect();
    for host in &lost {
        fleet.hosts[*host].is_up = false;
    }
    fleet.play_until(Duration::from_secs(4));
    let far = (0..hosts).find(|host| host % DATA_CENTRES == 1).unwrap();
    let is_heard = |fleet: &Fleet, of: usize| fleet.is_alive(&fleet.hosts[far].peers[of]);
    assert!(lost.iter().all(|host| !is_heard(&fleet, *host)));
    for host in &lost {
        fleet.hosts[*host].is_up = true;
        fleet.schedule(Duration::ZERO, Event::Speak { host: *host });
    }
    // Hosts tell those that are down once a second.
    fleet.play_until(Duration::from_secs(8));
    for host in lost {
        assert!(is_heard(&fleet, host), "{host}");
    }
}

/// Returns how many hosts stand in each data centre.
fn sizes(hosts: usize) -> [usize; DATA_CENTRES] {
    std::array::from_fn(|number| (hosts + DATA_CENTRES - 1 - number) / DATA_CENTRES)
}
