//! Convergence, failure detection and rejection of outdated facts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use notchwharf_membership::fact::Address;
use notchwharf_membership::fact::Backlog;
use notchwharf_membership::fact::Fact;
use notchwharf_membership::fact::Health;
use notchwharf_membership::fact::Holder;
use notchwharf_membership::fact::Host;
use notchwharf_membership::fact::Target;
use notchwharf_membership::gossip::Config;
use notchwharf_membership::gossip::Gossip;
use notchwharf_membership::gossip::Input;
use proptest::prelude::*;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(20);

/// A simulated network that delivers datagrams immediately and drops some.
struct Network {
    now: Instant,
    hosts: Vec<Option<Gossip>>,
    drop_every: usize,
    sent: usize,
}

fn addr(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(index + 1).unwrap()).into()
}

fn host(index: usize, incarnation: u64, now: Instant) -> Gossip {
    let address = Address {
        gossip: addr(index),
        peer_url: String::new(),
        data_centre: "dc".into(),
    };
    let config = Config::new(&format!("a{index}"));
    Gossip::new(config, incarnation, address, index as u64, now)
}

impl Network {
    fn new(count: usize, drop_every: usize) -> Self {
        let now = Instant::now();
        let mut network = Self {
            now,
            hosts: (0..count).map(|i| Some(host(i, 1, now))).collect(),
            drop_every,
            sent: 0,
        };
        // The host list names one other host to each; gossip must propagate the rest.
        for i in 0..count {
            let other = network.hosts[(i + 1) % count].as_ref().unwrap().own_fact();
            network.deliver(i, Input::Fact(other));
        }
        network
    }

    fn deliver(&mut self, index: usize, input: Input) {
        let mut queue = vec![(index, input)];
        while let Some((index, input)) = queue.pop() {
            let Some(gossip) = self.hosts[index].as_mut() else {
                continue;
            };
            for (to, bytes) in gossip.step(self.now, input).sends {
                self.sent += 1;
                let is_dropped = self.drop_every > 0 && self.sent.is_multiple_of(self.drop_every);
                if !is_dropped {
                    let to = usize::from(to.port()) - 1;
                    queue.push((to, Input::Datagram(bytes)));
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for i in 0..self.hosts.len() {
                self.deliver(i, Input::Tick);
            }
        }
    }

    fn health(&self, at: usize, of: usize) -> Option<Health> {
        let gossip = self.hosts[at].as_ref()?;
        let name = format!("a{of}");
        let found = gossip.hosts().find(|(id, _)| **id == name);
        found.map(|(_, host)| host.health)
    }

    fn all_report(&self, of: usize, health: Health) -> bool {
        let alive = (0..self.hosts.len()).filter(|i| self.hosts[*i].is_some() && *i != of);
        alive
            .into_iter()
            .all(|at| self.health(at, of) == Some(health))
    }
}

#[rstest]
#[case::no_loss(0)]
#[case::one_in_five_dropped(5)]
fn all_hosts_learn_of_all_others_and_mark_no_live_host_down(#[case] drop_every: usize) {
    let mut network = Network::new(12, drop_every);
    network.run(Duration::from_secs(30));
    for of in 0..12 {
        for at in 0..12 {
            assert_ne!(network.health(at, of), None, "a{at} knows a{of}");
            assert_ne!(network.health(at, of), Some(Health::Down), "a{at} on a{of}");
        }
    }
}

#[rstest]
fn a_failed_host_is_detected_and_a_restarted_one_is_accepted() {
    let mut network = Network::new(9, 0);
    network.run(Duration::from_secs(5));
    network.hosts[3] = None;
    network.run(Duration::from_secs(20));
    assert!(network.all_report(3, Health::Down));
    network.hosts[3] = Some(host(3, 2, network.now));
    let other = network.hosts[0].as_ref().unwrap().own_fact();
    network.deliver(3, Input::Fact(other));
    network.run(Duration::from_secs(5));
    assert!(network.all_report(3, Health::Alive));
}

#[rstest]
fn a_new_fact_reaches_all_hosts_before_the_next_probes() {
    let mut network = Network::new(12, 0);
    network.run(Duration::from_secs(10));
    network.deliver(0, Input::Fact(Fact::Bundle(7)));
    network.run(Duration::from_millis(500));
    for at in 0..12 {
        let gossip = network.hosts[at].as_ref().unwrap();
        let known = gossip.get(&notchwharf_membership::fact::Key::Bundle);
        assert_eq!(known, Some(&Fact::Bundle(7)), "a{at}");
    }
}

#[rstest]
fn a_stale_fact_does_not_clear_the_leaving_flag() {
    let mut network = Network::new(5, 0);
    network.run(Duration::from_secs(3));
    let stale = network.hosts[2].as_ref().unwrap().own_fact();
    network.deliver(2, Input::Leave);
    network.run(Duration::from_secs(1));
    network.deliver(0, Input::Fact(stale));
    network.run(Duration::from_secs(1));
    for at in 0..5 {
        let gossip = network.hosts[at].as_ref().unwrap();
        let (_, host) = gossip.hosts().find(|(id, _)| **id == "a2").unwrap();
        assert!(host.leaving, "a{at}");
    }
}

#[rstest]
fn idle_hosts_send_only_probes() {
    let mut network = Network::new(12, 0);
    network.run(Duration::from_secs(30));
    network.sent = 0;
    network.run(Duration::from_secs(10));
    // One probe and its acknowledgement per host and second, and nothing else.
    assert!(
        network.sent <= 12 * 10 * 2 + 24,
        "{} datagrams",
        network.sent
    );
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let health = prop_oneof![
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Down)
    ];
    let host = (0..3_u64, any::<bool>(), 0..3_u32, health);
    let target = (0..3_u64, any::<bool>(), 0..3_u64, "[xy]");
    prop_oneof![
        host.prop_map(|(incarnation, leaving, beat, health)| {
            let host = Host {
                incarnation,
                leaving,
                beat,
                health,
                addr: None,
            };
            Fact::Host("h".into(), host)
        }),
        target.prop_map(|(incarnation, leaving, epoch, loaded)| {
            // A reporter never sends different content with the same order.
            let holds = vec![format!("{loaded}{epoch}").replace('y', "x")];
            let target = Target {
                incarnation,
                leaving,
                order: (epoch, 0),
                holds,
                ..Target::default()
            };
            Fact::Target("t".into(), target)
        }),
        (0..4_u64).prop_map(|epoch| Fact::Shard(
            1,
            Holder {
                epoch,
                host: format!("h{epoch}")
            }
        )),
        (0..4_u64).prop_map(|seq| Fact::Backlog(
            "h".into(),
            Backlog {
                order: (1, seq),
                servings: vec![seq.to_string()]
            }
        )),
        (0..9_u64).prop_map(Fact::Bundle),
    ]
}

fn merged(facts: &[Fact]) -> Vec<Fact> {
    let mut known: std::collections::BTreeMap<_, Fact> = std::collections::BTreeMap::new();
    for fact in facts {
        let entry = known.entry(fact.key());
        entry
            .and_modify(|k| {
                k.merge(fact);
            })
            .or_insert_with(|| fact.clone());
    }
    known.into_values().collect()
}

proptest! {
    /// The result does not depend on order or repetition, and a leaving flag is never reset.
    #[test]
    fn merging_is_commutative_and_idempotent(
        facts in proptest::collection::vec(any_fact(), 1..12),
        seed in any::<u64>(),
    ) {
        let expected = merged(&facts);
        let mut shuffled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
        let len = shuffled.len() as u64;
        for i in (1..shuffled.len()).rev() {
            let j = (seed.wrapping_mul(i as u64 + 7) >> 7) % len % (i as u64 + 1);
            shuffled.swap(i, usize::try_from(j).unwrap());
        }
        prop_assert_eq!(&merged(&shuffled), &expected);
        let leaving_incarnation = facts.iter().filter_map(|f| match f {
            Fact::Host(_, h) if h.leaving => Some(h.incarnation),
            _ => None,
        }).max();
        for fact in &expected {
            if let (Fact::Host(_, h), Some(leaving_incarnation)) = (fact, leaving_incarnation) {
                prop_assert!(h.leaving || h.incarnation > leaving_incarnation);
            }
        }
    }
}
