//! Replicas of a log's entries.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;

use notchwharf_spread::replica::Delta;
use notchwharf_spread::replica::Record;
use notchwharf_spread::replica::Replica;
use proptest::prelude::*;

const HOSTS: usize = 3;
const KEYS: u8 = 5;

type Entry = (u8, Option<u8>);

struct Cluster {
    log: Vec<Entry>,
    replicas: Vec<Replica<u8, u8>>,
    /// Results of reads and messages that are still to arrive.
    reads: Vec<Vec<Record<u8, u8>>>,
    listings: Vec<(u64, Vec<Record<u8, u8>>)>,
    deltas: Vec<Delta<u8, u8>>,
}

impl Cluster {
    fn new(changes_retained: usize) -> Self {
        Self {
            log: Vec::new(),
            replicas: vec![Replica::new(changes_retained); HOSTS],
            reads: Vec::new(),
            listings: Vec::new(),
            deltas: Vec::new(),
        }
    }

    fn record(&self, offset: usize) -> Record<u8, u8> {
        let (key, value) = self.log[offset];
        let offset = offset as u64;
        Record { key, offset, value }
    }

    fn entry_as_of(&self, key: u8, offset: usize) -> Option<Record<u8, u8>> {
        let newest = (0..offset).rev().find(|at| self.log[*at].0 == key)?;
        Some(self.record(newest)).filter(|record| record.value.is_some())
    }

    fn read(&self, from: u64, limit: usize) -> Vec<Record<u8, u8>> {
        let from = usize::try_from(from).unwrap();
        let to = self.log.len().min(from.saturating_add(limit));
        (from..to).map(|offset| self.record(offset)).collect()
    }

    /// Lists the entries as of `lag` records before the end of the log; the entry of each key may
    /// be up to `read_later` records newer.
    fn list(&self, lag: usize, read_later: &[usize]) -> (u64, Vec<Record<u8, u8>>) {
        let end = self.log.len().saturating_sub(lag);
        let as_of = |key: u8| self.log.len().min(end + read_later[usize::from(key)]);
        let entries = (0..KEYS).filter_map(|key| self.entry_as_of(key, as_of(key)));
        (end as u64, entries.collect())
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Write(entries) => self.log.extend(entries),
            Step::Read(host, limit) => {
                let records = self.read(self.replicas[host].end(), limit);
                self.reads.push(records.clone());
                self.replicas[host].apply_read(records);
            }
            Step::List(host, lag, read_later) => {
                let (end, records) = self.list(lag, &read_later);
                self.listings.push((end, records.clone()));
                self.replicas[host].apply_listing(end, records);
            }
            Step::Request(host, of) => {
                let delta = self.replicas[of].since(self.replicas[host].end());
                self.deltas.push(delta.clone());
                self.replicas[host].apply_delta(delta);
            }
            Step::Repeat(host, which) => self.repeat(host, which),
            Step::Restart(host) => self.replicas[host] = Replica::new(100),
        }
    }

    /// Lets an earlier result arrive late. A read only counts where its start is known.
    fn repeat(&mut self, host: usize, which: usize) {
        let replica = &mut self.replicas[host];
        if let Some(listing) = self.listings.get(which) {
            replica.apply_listing(listing.0, listing.1.clone());
        }
        if let Some(delta) = self.deltas.get(which) {
            replica.apply_delta(delta.clone());
        }
        if let Some(read) = self.reads.get(which)
            && read
                .first()
                .is_some_and(|first| first.offset <= replica.end())
        {
            replica.apply_read(read.clone());
        }
    }

    fn known(&self, host: usize) -> BTreeMap<u8, u8> {
        let entries = self.replicas[host].entries();
        entries.map(|(key, _, value)| (*key, *value)).collect()
    }

    fn expected(&self) -> BTreeMap<u8, u8> {
        let entries = (0..KEYS).filter_map(|key| self.entry_as_of(key, self.log.len()));
        entries
            .map(|entry| (entry.key, entry.value.unwrap()))
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(Vec<Entry>),
    Read(usize, usize),
    List(usize, usize, Vec<usize>),
    Request(usize, usize),
    Repeat(usize, usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = (0..KEYS, proptest::option::weighted(0.6, 1..4_u8));
    let read_later = proptest::collection::vec(0..6_usize, usize::from(KEYS));
    prop_oneof![
        4 => proptest::collection::vec(entry, 1..6).prop_map(Step::Write),
        3 => (0..HOSTS, 1..8_usize).prop_map(|(host, limit)| Step::Read(host, limit)),
        2 => (0..HOSTS, 0..6_usize, read_later)
            .prop_map(|(host, lag, read_later)| Step::List(host, lag, read_later)),
        4 => (0..HOSTS, 0..HOSTS).prop_map(|(host, of)| Step::Request(host, of)),
        2 => (0..HOSTS, 0..10_usize).prop_map(|(host, which)| Step::Repeat(host, which)),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against replicas that keep a removed entry or lack a live one after late results.
    #[test]
    fn replicas_converge_to_the_log(
        changes_retained in prop_oneof![1..8_usize, Just(100)],
        steps in proptest::collection::vec(step(), 1..50),
    ) {
        let mut cluster = Cluster::new(changes_retained);
        for step in steps {
            cluster.run(step);
        }
        cluster.run(Step::Read(0, usize::MAX));
        for host in 1..HOSTS {
            cluster.run(Step::Request(host, host - 1));
        }
        for host in 0..HOSTS {
            prop_assert_eq!(cluster.known(host), cluster.expected(), "host {}", host);
        }
    }
}

fn put(offset: u64) -> Record<u8, u8> {
    Record {
        key: 1,
        offset,
        value: Some(1),
    }
}

fn removal(offset: u64) -> Record<u8, u8> {
    Record {
        key: 1,
        offset,
        value: None,
    }
}

/// A read that was in progress while a newer state arrived must not bring an entry back.
#[test]
fn a_late_read_does_not_restore_a_removed_entry() {
    let mut replica = Replica::new(10);
    replica.apply_read(vec![put(0), removal(1)]);
    assert!(replica.apply_read(vec![put(0)]).is_empty());
    assert_eq!(replica.entries().count(), 0);
}

#[test]
fn a_late_listing_does_not_restore_a_removed_entry() {
    let mut replica = Replica::new(10);
    replica.apply_read(vec![put(0), removal(1)]);
    assert!(replica.apply_listing(1, vec![put(0)]).is_empty());
    assert_eq!(replica.entries().count(), 0);
}

/// The removal itself may be among the records that the log no longer has.
#[test]
fn an_entry_missing_from_a_listing_is_removed() {
    let mut replica = Replica::new(10);
    replica.apply_read(vec![put(0)]);
    assert_eq!(replica.apply_listing(5, vec![]), [removal(4)]);
    assert_eq!(replica.entries().count(), 0);
}

#[test]
fn an_entry_missing_from_another_hosts_entries_is_removed() {
    let (mut ahead, mut behind) = (Replica::new(10), Replica::new(10));
    behind.apply_read(vec![put(0)]);
    ahead.apply_listing(5, vec![]);
    assert_eq!(behind.apply_delta(ahead.since(behind.end())), [removal(4)]);
    assert_eq!(behind.entries().count(), 0);
}
