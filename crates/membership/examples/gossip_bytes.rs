//! Bytes per second that gossip sends per host, by the number of hosts.
//!
//! Hosts exchange datagrams in memory and simulated time. Facts change at the rates of the
//! largest supported fleet, scaled by the number of hosts: reports of targets, holders of
//! shards, backlogs and bundles.
//!
//! ```sh
//! cargo run --release -p notchwharf-membership --example gossip_bytes
//! ```

use std::time::Duration;
use std::time::Instant;

use notchwharf_membership::fact::Address;
use notchwharf_membership::fact::Backlog;
use notchwharf_membership::fact::Fact;
use notchwharf_membership::fact::Holder;
use notchwharf_membership::fact::Target;
use notchwharf_membership::gossip::Config;
use notchwharf_membership::gossip::Gossip;
use notchwharf_membership::gossip::Input;

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_S: u64 = 50;
const RUN_S: u64 = 30;
/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
const TARGETS_PER_HOST: u64 = 4;
const DAY_S: f64 = 86_400.0;

/// Changes per second in the whole fleet.
struct ChangeRates {
    /// Targets that load a serving, since each bundle changes some replicas.
    targets: f64,
    /// Shards whose holder changes because of failures and restarts.
    shards: f64,
    /// Hosts whose set of servings with batch items changes.
    backlogs: f64,
    /// New bundles.
    bundles: f64,
}

impl ChangeRates {
    fn of(hosts: usize) -> Self {
        let share = hosts as f64 / 360.0;
        Self {
            targets: 1_300.0 * 4.0 / DAY_S * share,
            shards: 160.0 * 2.0 / DAY_S * share,
            backlogs: 77_000.0 * 2.0 / DAY_S * share,
            bundles: 1_300.0 / DAY_S,
        }
    }
}

fn main() {
    println!(
        "hosts  bytes/s a host  datagrams/s a host  under load bytes/s  facts  us of a core/s"
    );
    for hosts in [9, 36, 120, 360] {
        let (idle, datagrams, _, _) = run(hosts, None);
        let (loaded, _, facts, cpu_us) = run(hosts, Some(ChangeRates::of(hosts)));
        println!(
            "{hosts:5}  {idle:14.0}  {datagrams:18.2}  {loaded:18.0}  {facts:5}  {cpu_us:14.0}"
        );
    }
}

fn run(count: usize, rates: Option<ChangeRates>) -> (f64, f64, usize, f64) {
    let start = Instant::now();
    let mut now = start;
    let mut hosts: Vec<Gossip> = (0..count).map(|i| host(i, now)).collect();
    let mut known: Vec<Fact> = hosts.iter().map(Gossip::own_fact).collect();
    for target in 0..count as u64 * TARGETS_PER_HOST {
        known.push(self::target(target, 0));
    }
    for host in &mut hosts {
        for fact in &known {
            host.step(now, Input::Fact(fact.clone()));
        }
    }
    // The initial facts are sent until their send counts are used up; this is not measured.
    let warmed_up = run_for(&mut hosts, &mut now, 20, None);
    let _ = warmed_up;
    let started = Instant::now();
    let (bytes, datagrams) = run_for(&mut hosts, &mut now, RUN_S, rates.as_ref());
    let cpu_us = started.elapsed().as_micros() as f64;
    let per = |n: usize| n as f64 / RUN_S as f64 / count as f64;
    let facts = hosts[0].hosts().count() + hosts[0].targets().count();
    (
        per(bytes),
        per(datagrams),
        facts,
        cpu_us / RUN_S as f64 / count as f64,
    )
}

fn run_for(
    hosts: &mut [Gossip],
    now: &mut Instant,
    seconds: u64,
    rates: Option<&ChangeRates>,
) -> (usize, usize) {
    let (mut bytes, mut datagrams) = (0, 0);
    let mut pending = [0.0_f64; 4];
    let mut serial = 1;
    for step in 0..seconds * STEPS_PER_S {
        *now += STEP;
        let mut inputs = Vec::new();
        if let Some(rates) = rates {
            let per_s = [rates.targets, rates.shards, rates.backlogs, rates.bundles];
            for (kind, rate) in per_s.iter().enumerate() {
                pending[kind] += rate / STEPS_PER_S as f64;
                if pending[kind] >= 1.0 {
                    pending[kind] -= 1.0;
                    serial += 1;
                    inputs.push((step as usize * 7 % hosts.len(), fact(kind, serial)));
                }
            }
        }
        for (at, fact) in inputs {
            exchange(
                hosts,
                *now,
                at,
                Input::Fact(fact),
                &mut bytes,
                &mut datagrams,
            );
        }
        for at in 0..hosts.len() {
            exchange(hosts, *now, at, Input::Tick, &mut bytes, &mut datagrams);
        }
    }
    (bytes, datagrams)
}

fn exchange(
    hosts: &mut [Gossip],
    now: Instant,
    at: usize,
    input: Input,
    bytes: &mut usize,
    datagrams: &mut usize,
) {
    let mut queue = vec![(at, input)];
    while let Some((at, input)) = queue.pop() {
        for (to, datagram) in hosts[at].step(now, input).sends {
            *bytes += datagram.len() + HEADER_BYTES;
            *datagrams += 1;
            queue.push((usize::from(to.port()) - 1, Input::Datagram(datagram)));
        }
    }
}

fn host(index: usize, now: Instant) -> Gossip {
    let port = u16::try_from(index + 1).expect("Ports suffice.");
    let address = Address {
        gossip: ([10, 0, 0, 1], port).into(),
        peer_url: format!("http://10.0.0.1:{port}"),
        data_centre: format!("dc-{}", index % 19),
    };
    let config = Config::new(&format!("host-{index}"));
    Gossip::new(config, 1_790_000_000_000, address, index as u64, now)
}

fn target(index: u64, serial: u64) -> Fact {
    let target = Target {
        incarnation: 1,
        order: (index, serial),
        holder: Some(format!("host-{}", index / TARGETS_PER_HOST)),
        answers: true,
        holds: vec![format!("model-{}/-/{serial}", index % 21)],
        ..Target::default()
    };
    Fact::Target(format!("runner-{index}"), target)
}

fn fact(kind: usize, serial: u64) -> Fact {
    match kind {
        0 => target(serial % 36, serial),
        1 => {
            let host = format!("host-{}", serial % 9);
            let shard = u32::try_from(serial % 64).unwrap_or(0);
            Fact::Shard(
                shard,
                Holder {
                    epoch: serial,
                    host,
                },
            )
        }
        2 => {
            let servings = vec![format!("serving-{}", serial % 21)];
            let order = (1, serial);
            Fact::Backlog(format!("host-{}", serial % 9), Backlog { order, servings })
        }
        _ => Fact::Bundle(serial),
    }
}
