//! Incremental transfer of target entries: a host that has caught up matches the log,
//! whichever hosts sent the pages and in whatever order.
//!
//! Guards against sending the complete listing to a host that misses a single entry, which
//! kept a fleet of 985 hosts and 10,000 targets from serving.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery::Difference;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::Position;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::Record;
use notchwharf_routing::discovery::TargetView;
use notchwharf_routing::discovery::Timeouts;
use proptest::prelude::*;

type Entry = (u8, Option<u8>);

fn spec(slots: u8) -> Spec {
    Spec {
        slots: slots.into(),
        ..Spec::default()
    }
}

fn decode(slots: &u8) -> Result<Spec, ()> {
    Ok(spec(*slots))
}

struct Cluster {
    start: Instant,
    log: Vec<Entry>,
    views: Vec<TargetView>,
}

impl Cluster {
    fn new(hosts: usize) -> Self {
        Self {
            start: Instant::now() + Duration::from_secs(60),
            log: Vec::new(),
            views: (0..hosts)
                .map(|_| TargetView::new(Timeouts::default()))
                .collect(),
        }
    }

    fn read_info(&self) -> ReadInfo {
        let now = self.start + Duration::from_millis(self.log.len() as u64);
        ReadInfo::at_end(now, now)
    }

    fn records(&self, from: usize) -> Vec<Record<u8>> {
        let log = self.log.iter().enumerate().skip(from);
        log.map(|(offset, (id, value))| Record {
            id: format!("t{id}"),
            offset: offset as u64,
            value: *value,
        })
        .collect()
    }

    /// Reads the records that follow on a host.
    fn read(&mut self, host: usize) {
        let from = usize::try_from(self.views[host].end()).unwrap();
        let (read, records) = (self.read_info(), self.records(from));
        self.views[host].apply_records(&read, &Evidence::default(), records, decode);
    }

    /// Lists all entries on a host.
    fn list(&mut self, host: usize) {
        let mut newest: BTreeMap<String, Record<u8>> = BTreeMap::new();
        for record in self.records(0) {
            newest.insert(record.id.clone(), record);
        }
        let listed = newest.into_values().filter(|r| r.value.is_some());
        let (end, read) = (self.log.len() as u64, self.read_info());
        let listed = listed.collect();
        self.views[host].apply_listing(&read, &Evidence::default(), end, listed, decode);
    }

    /// Requests records of another host once; returns what was sent.
    fn request(&mut self, host: usize, of: usize, limit: usize) -> Difference {
        let difference = self.views[of].since(&self.views[host].position(), limit);
        let read = self.read_info();
        self.views[host].apply_difference(&read, &Evidence::default(), difference.clone());
        difference
    }

    fn known(&self, host: usize) -> BTreeMap<String, u32> {
        let entries = self.views[host].entries();
        entries
            .map(|(id, _, spec)| (id.clone(), spec.slots))
            .collect()
    }

    fn expected(&self) -> BTreeMap<String, u32> {
        let mut expected = BTreeMap::new();
        for (id, value) in &self.log {
            match value {
                Some(slots) => expected.insert(format!("t{id}"), (*slots).into()),
                None => expected.remove(&format!("t{id}")),
            };
        }
        expected
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(Vec<Entry>),
    Read(usize),
    List(usize),
    Request(usize, usize, usize),
}

const HOSTS: usize = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let entry = (0..6_u8, proptest::option::weighted(0.7, 1..3_u8));
    let step = prop_oneof![
        proptest::collection::vec(entry, 1..8).prop_map(Step::Write),
        (0..2_usize).prop_map(Step::Read),
        (0..2_usize).prop_map(Step::List),
        (0..HOSTS, 0..HOSTS, 1..5_usize)
            .prop_map(|(host, of, limit)| Step::Request(host, of, limit)),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn a_host_that_has_caught_up_matches_the_log(steps in steps()) {
        let mut cluster = Cluster::new(HOSTS);
        for step in steps {
            match step {
                Step::Write(entries) => cluster.log.extend(entries),
                Step::Read(host) => cluster.read(host),
                Step::List(host) => cluster.list(host),
                Step::Request(host, of, _) if host == of => {}
                Step::Request(host, of, limit) => {
                    cluster.request(host, of, limit);
                }
            }
        }
        cluster.read(0);
        let expected = cluster.expected();
        prop_assert_eq!(cluster.known(0), expected.clone());
        for host in 1..HOSTS {
            for _ in 0..200 {
                if cluster.views[host].end() == cluster.views[0].end() {
                    break;
                }
                cluster.request(host, 0, 2);
            }
            prop_assert_eq!(cluster.known(host), expected.clone(), "host {}", host);
        }
    }
}

/// Returns a cluster in which host 0 has read `count` targets.
fn cluster_with_targets(count: usize) -> Cluster {
    let mut cluster = Cluster::new(2);
    cluster.log = (0..count).map(|id| (id as u8, Some(1))).collect();
    cluster.read(0);
    cluster
}

#[test]
fn unchanged_heartbeats_are_not_sent() {
    let mut cluster = cluster_with_targets(100);
    cluster.request(1, 0, 1_000);
    let heartbeats: Vec<Entry> = cluster.log.clone();
    cluster.log.extend(heartbeats);
    cluster.log.push((7, None));
    cluster.read(0);
    let sent = cluster.request(1, 0, 1_000);
    assert_eq!(sent.records.len(), 1);
    assert_eq!((sent.from, sent.to), (100, 201));
    assert_eq!(cluster.known(1), cluster.known(0));
}

#[test]
fn a_host_without_entries_receives_pages() {
    let mut cluster = cluster_with_targets(100);
    let mut pages = 0;
    while cluster.views[1].end() < cluster.views[0].end() {
        let sent = cluster.request(1, 0, 30);
        assert!(sent.records.len() <= 30);
        pages += 1;
    }
    assert_eq!(pages, 4);
    let empty = cluster.request(1, 0, 30);
    assert!(empty.records.is_empty());
    assert_eq!(cluster.known(1), cluster.known(0));
}

#[test]
fn a_request_beyond_the_end_of_the_log_returns_no_records() {
    let cluster = cluster_with_targets(10);
    let position = Position {
        from: 1_000,
        after: None,
    };
    let sent = cluster.views[0].since(&position, 10);
    assert!(sent.records.is_empty() && !sent.is_complete);
}

#[test]
fn duplicate_late_or_gapped_pages_change_nothing() {
    let mut cluster = cluster_with_targets(30);
    let first = cluster.request(1, 0, 10);
    let second = cluster.request(1, 0, 10);
    let known = cluster.known(1);
    let read = cluster.read_info();
    let gap = Difference {
        from: 25,
        to: 30,
        end: 30,
        records: vec![Record {
            id: "t29".into(),
            offset: 29,
            value: Some(spec(1)),
        }],
        ..Difference::default()
    };
    for page in [second, first, gap] {
        let changes = cluster.views[1].apply_difference(&read, &Evidence::default(), page);
        assert!(changes.is_empty());
    }
    assert_eq!(cluster.known(1), known);
    assert_eq!(cluster.views[1].end(), 0);
    while cluster.views[1].end() < 30 {
        cluster.request(1, 0, 10);
    }
    assert_eq!(cluster.known(1), cluster.known(0));
}

/// Guards against hosts that serve entries only after their own listing is complete, which
/// leaves every other host waiting for the one that has all entries.
#[test]
fn a_host_with_a_partial_listing_serves_the_entries_received() {
    let mut cluster = Cluster::new(3);
    cluster.log = (0..100).map(|id| (id, Some(1))).collect();
    cluster.read(0);
    cluster.request(1, 0, 30);
    assert_eq!(cluster.request(2, 1, 20).records.len(), 20);
    assert_eq!(cluster.request(2, 1, 20).records.len(), 10);
    assert!(cluster.request(2, 1, 20).records.is_empty());
    assert_eq!(cluster.known(2), cluster.known(1));
    assert_eq!(cluster.views[2].end(), 0);
    while cluster.views[2].end() == 0 {
        cluster.request(2, 0, 30);
    }
    assert_eq!(cluster.known(2), cluster.known(0));
}

/// Guards against an empty last page, which would end the listing of the requesting host.
#[test]
fn a_host_without_entries_serves_no_page() {
    let mut cluster = Cluster::new(2);
    assert!(cluster.request(1, 0, 10).page.is_none());
    assert_eq!(cluster.views[1].end(), 0);
}
