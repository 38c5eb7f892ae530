//! Views of the targets converge to the log, whatever their entries and changes came from:
//! reads, listings during which the log grew, other hosts' pages and summaries of changes,
//! late and repeated messages.
//!
//! A host that claims too much of a range which it received in summary lets another one keep
//! a removed target, or never use a live one, until the entry itself changes.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery::Difference;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::Failure;
use notchwharf_routing::discovery::Position;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::Record;
use notchwharf_routing::discovery::TargetView;
use notchwharf_routing::discovery::Timeouts;
use proptest::prelude::*;

const HOSTS: usize = 4;
const TARGETS: u8 = 6;
/// A value that cannot be decoded; its target must not be used.
const UNREADABLE: u8 = 9;

type Entry = (u8, Option<u8>);

fn spec(slots: u8) -> Spec {
    Spec {
        slots: slots.into(),
        ..Spec::default()
    }
}

fn decode(slots: &u8) -> Result<Spec, ()> {
    match *slots {
        UNREADABLE => Err(()),
        slots => Ok(spec(slots)),
    }
}

struct Host {
    view: TargetView,
    evidence: Evidence,
}

struct Cluster {
    now: Instant,
    log: Vec<Entry>,
    hosts: Vec<Host>,
    changes_retained: usize,
    sent: Vec<Difference>,
}

impl Cluster {
    fn new(changes_retained: usize) -> Self {
        let mut cluster = Self {
            now: Instant::now() + Duration::from_secs(60),
            log: Vec::new(),
            hosts: Vec::new(),
            changes_retained,
            sent: Vec::new(),
        };
        cluster.hosts = (0..HOSTS).map(|_| cluster.new_host()).collect();
        cluster
    }

    fn new_host(&self) -> Host {
        Host {
            view: TargetView::with_changes_retained(Timeouts::default(), self.changes_retained),
            evidence: Evidence::default(),
        }
    }

    fn write(&mut self, entries: &[Entry]) {
        self.log.extend(entries);
        self.now += Duration::from_millis(1);
    }

    /// Returns the newest record of a target before an offset, unless that is a removal.
    fn entry_as_of(&self, target: u8, offset: usize) -> Option<Record<u8>> {
        let log = self.log[..offset].iter().enumerate();
        let (offset, (id, value)) = log.rev().find(|(_, (id, _))| *id == target)?;
        let id = format!("t{id}");
        let offset = offset as u64;
        value.is_some().then_some(Record {
            id,
            offset,
            value: *value,
        })
    }

    fn record_response(&mut self, host: usize) {
        let evidence = &mut self.hosts[host].evidence;
        evidence.reads.record_response(self.now);
        evidence.calls.record_response(self.now);
    }

    /// Reads up to `limit` of the records that follow on a host.
    fn read(&mut self, host: usize, limit: usize) {
        self.record_response(host);
        let from = usize::try_from(self.hosts[host].view.end()).unwrap();
        let to = self.log.len().min(from.saturating_add(limit));
        let records = (from..to).map(|offset| Record {
            id: format!("t{}", self.log[offset].0),
            offset: offset as u64,
            value: self.log[offset].1,
        });
        let records = records.collect();
        let read = ReadInfo {
            is_at_end: to == self.log.len(),
            ..ReadInfo::at_end(self.now, self.now)
        };
        let Host { view, evidence } = &mut self.hosts[host];
        view.apply_records(&read, evidence, records, decode);
    }

    /// Lists all entries on a host. The listing is as of `lag` records before the end of the
    /// log, and the page of a target was read up to that many records later.
    fn list(&mut self, host: usize, lag: usize, read_later: &[u8]) {
        self.record_response(host);
        let end = self.log.len().saturating_sub(lag);
        let mut records = Vec::new();
        for target in 0..TARGETS {
            let later: usize = read_later[usize::from(target)].into();
            let as_of = self.log.len().min(end + later);
            records.extend(self.entry_as_of(target, as_of));
        }
        let read = ReadInfo::at_end(self.now, self.now);
        let Host { view, evidence } = &mut self.hosts[host];
        view.apply_listing(&read, evidence, end as u64, records, decode);
    }

    fn apply(&mut self, host: usize, difference: Difference) {
        let read = ReadInfo::at_end(self.now, self.now);
        let Host { view, evidence } = &mut self.hosts[host];
        view.apply_difference(&read, evidence, difference);
    }

    /// Requests records of another host once.
    fn request(&mut self, host: usize, of: usize, limit: usize) {
        let position = self.hosts[host].view.position();
        let difference = self.hosts[of].view.since(&position, limit);
        self.sent.push(difference.clone());
        self.apply(host, difference);
    }

    /// Lets a host read to the end of the log.
    fn catch_up(&mut self, host: usize) {
        self.read(host, usize::MAX);
        assert_eq!(self.hosts[host].view.end(), self.log.len() as u64);
    }

    /// Requests records of a host that has caught up until none are missing.
    fn catch_up_from(&mut self, host: usize, of: usize, limit: usize) {
        let end = self.hosts[of].view.end();
        for _ in 0..200 {
            if self.hosts[host].view.end() >= end {
                return;
            }
            self.request(host, of, limit);
        }
        panic!("host {host} does not catch up with host {of}");
    }

    fn known(&self, host: usize) -> BTreeMap<String, u32> {
        let entries = self.hosts[host].view.entries();
        entries
            .map(|(id, _, spec)| (id.clone(), spec.slots))
            .collect()
    }

    fn expected(&self) -> BTreeMap<String, u32> {
        let entries = (0..TARGETS).filter_map(|target| self.entry_as_of(target, self.log.len()));
        let readable = entries.filter_map(|record| {
            let spec = decode(&record.value?).ok()?;
            Some((record.id, spec.slots))
        });
        readable.collect()
    }

    /// Removes the targets of missing entries on a host, long after any outage.
    fn expire_all(&mut self, host: usize) {
        let now = self.now + Duration::from_secs(3_600);
        let Host { view, evidence } = &mut self.hosts[host];
        view.expire(now, evidence);
        assert!(!view.has_missing_entries());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(Vec<Entry>),
    Wait(u64),
    /// Reads up to a number of records on a host.
    Read(usize, usize),
    /// Lists all entries on a host, see [`Cluster::list`].
    List(usize, usize, Vec<u8>),
    /// Requests changes on a host from another one, up to a number of records.
    Request(usize, usize, usize),
    /// Sends a host's changes since an offset to another one, as an announcement does.
    Announce(usize, usize, u64, usize),
    /// Delivers one of the messages sent so far again.
    Repeat(usize, usize),
    Refuse(usize),
    Expire(usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let value = prop_oneof![
        3 => Just(None),
        7 => (1..3_u8).prop_map(Some),
        1 => Just(Some(UNREADABLE)),
    ];
    let read_later = proptest::collection::vec(0..8_u8, usize::from(TARGETS));
    let limit = prop_oneof![1..5_usize, Just(1_000)];
    prop_oneof![
        6 => proptest::collection::vec((0..TARGETS, value), 1..8).prop_map(Step::Write),
        1 => (0..3_000_u64).prop_map(Step::Wait),
        4 => (0..HOSTS, limit.clone()).prop_map(|(host, limit)| Step::Read(host, limit)),
        2 => (0..HOSTS, 0..8_usize, read_later)
            .prop_map(|(host, lag, read_later)| Step::List(host, lag, read_later)),
        8 => (0..HOSTS, 0..HOSTS, limit.clone())
            .prop_map(|(host, of, limit)| Step::Request(host, of, limit)),
        3 => (0..HOSTS, 0..HOSTS, 0..40_u64, limit)
            .prop_map(|(host, of, from, limit)| Step::Announce(host, of, from, limit)),
        2 => (0..HOSTS, any::<usize>()).prop_map(|(host, which)| Step::Repeat(host, which)),
        1 => (0..HOSTS).prop_map(Step::Refuse),
        1 => (0..HOSTS).prop_map(Step::Expire),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

impl Cluster {
    fn run(&mut self, step: Step) {
        match step {
            Step::Write(entries) => self.write(&entries),
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
            Step::Read(host, limit) => self.read(host, limit),
            Step::List(host, lag, read_later) => self.list(host, lag, &read_later),
            Step::Request(host, of, limit) => self.request(host, of, limit),
            Step::Announce(host, of, from, limit) => {
                let position = Position { from, after: None };
                let difference = self.hosts[of].view.since(&position, limit);
                self.sent.push(difference.clone());
                self.apply(host, difference);
            }
            Step::Repeat(host, which) if !self.sent.is_empty() => {
                let difference = self.sent[which % self.sent.len()].clone();
                self.apply(host, difference);
            }
            Step::Repeat(..) => {}
            Step::Refuse(host) => {
                let evidence = &mut self.hosts[host].evidence;
                for calls in [&mut evidence.reads, &mut evidence.calls] {
                    calls.record_failure(self.now, self.now, Failure::Refused);
                }
            }
            Step::Expire(host) => {
                let Host { view, evidence } = &mut self.hosts[host];
                view.expire(self.now, evidence);
            }
            Step::Restart(host) => self.hosts[host] = self.new_host(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against hosts that keep a removed target, or never use a live one, after reads,
    /// listings and messages in any order.
    #[test]
    fn views_converge_to_the_log(
        changes_retained in prop_oneof![1..12_usize, Just(4_096)],
        steps in proptest::collection::vec(step(), 1..60),
        order in Just([0, 1, 2, 3]).prop_shuffle(),
        limit in prop_oneof![1..5_usize, Just(1_000)],
    ) {
        let mut cluster = Cluster::new(changes_retained);
        for step in steps {
            cluster.run(step);
        }
        cluster.catch_up(order[0]);
        for pair in order.windows(2) {
            cluster.catch_up_from(pair[1], pair[0], limit);
        }
        let expected = cluster.expected();
        for host in order {
            prop_assert_eq!(cluster.known(host), expected.clone(), "host {}", host);
            cluster.expire_all(host);
            prop_assert_eq!(cluster.known(host), expected.clone(), "host {} later", host);
            let checksum = cluster.hosts[host].view.checksum();
            prop_assert!(checksum.is_some() || cluster.log.is_empty(), "host {}", host);
            let first = cluster.hosts[order[0]].view.checksum();
            prop_assert_eq!(checksum, first, "host {}", host);
        }
    }
}

/// All records that follow.
const ALL: usize = 1_000;

/// Lists all entries on a host while the log does not grow.
fn list(host: usize) -> Step {
    Step::List(host, 0, vec![0; usize::from(TARGETS)])
}

/// Runs steps, lets a host catch up from another one and compares both with the log.
fn assert_converges(steps: Vec<Step>, host: usize, of: usize) {
    let mut cluster = Cluster::new(4_096);
    for step in steps {
        cluster.run(step);
    }
    cluster.catch_up(of);
    cluster.catch_up_from(host, of, ALL);
    assert_eq!(cluster.known(of), cluster.expected(), "host {of}");
    assert_eq!(cluster.known(host), cluster.expected(), "host {host}");
}

/// A host that lists its pages from two hosts misses a target that was removed meanwhile. It
/// must still pass its removal on.
#[test]
fn the_removal_of_a_target_never_held_is_passed_on() {
    let steps = vec![
        Step::Write(vec![(0, Some(1)), (1, Some(1))]),
        list(0),
        list(1),
        Step::Request(2, 0, 1),
        Step::Write(vec![(1, None)]),
        Step::Read(1, ALL),
        Step::Request(2, 1, ALL),
    ];
    assert_converges(steps, 0, 2);
}

/// A target is first missing from a listing, as it was removed before its page was read, and
/// its removal follows in the log. A host that listed before must still learn of it.
#[test]
fn the_removal_of_a_retained_target_is_passed_on() {
    let mut steps = vec![Step::Write(vec![(0, Some(1))]), list(0), list(1)];
    steps.extend([Step::Refuse(0), Step::Write(vec![(0, None)])]);
    steps.push(Step::List(0, 1, vec![1; usize::from(TARGETS)]));
    assert_converges(steps, 1, 0);
}

/// A host that never held a target must still pass on that its entry became unreadable.
#[test]
fn an_unreadable_entry_of_a_target_never_held_is_passed_on() {
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(1),
        Step::Write(vec![(0, Some(UNREADABLE))]),
        Step::List(0, 1, vec![1; usize::from(TARGETS)]),
    ];
    assert_converges(steps, 1, 0);
}

/// A summary names each target once, with its newest value. A value equal to the one held may
/// stand for a removal and a new entry, which a third host must learn of.
#[test]
fn a_target_registered_again_within_a_summary_is_passed_on() {
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(0),
        Step::Write(vec![(0, None)]),
        list(2),
        Step::Write(vec![(0, Some(1))]),
        Step::Read(1, ALL),
        Step::Request(0, 1, 1),
    ];
    assert_converges(steps, 2, 0);
}

/// The same where the summary is a listing whose page was read after the target had registered
/// again.
#[test]
fn a_target_registered_again_during_a_listing_is_passed_on() {
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(0),
        Step::Write(vec![(0, None)]),
        list(2),
        Step::Write(vec![(0, Some(1))]),
        Step::List(0, 2, vec![2; usize::from(TARGETS)]),
    ];
    assert_converges(steps, 2, 0);
}

/// A summary that ends before the newest change of a target omits its earlier ones. The target's
/// next record looks like a repeat then, and must be passed on all the same.
#[test]
fn a_removal_omitted_from_a_truncated_summary_is_passed_on() {
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(0),
        Step::Write(vec![(0, None)]),
        list(2),
        Step::Write(vec![(4, None), (1, None), (2, None), (0, Some(1))]),
        Step::Read(1, ALL),
        Step::Request(0, 1, 1),
    ];
    assert_converges(steps, 2, 0);
}

/// A host that received a truncated summary passes on that it may have missed changes.
#[test]
fn a_removal_omitted_from_a_truncated_summary_is_passed_on_by_the_next_host() {
    let mut steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(0),
        list(3),
        Step::Write(vec![(0, None)]),
        list(2),
        Step::Write(vec![(4, None), (1, None), (2, None), (0, Some(1))]),
    ];
    steps.push(Step::Read(1, ALL));
    steps.extend([Step::Request(0, 1, 1), Step::Request(3, 0, ALL)]);
    assert_converges(steps, 2, 3);
}

/// Returns the steps after which host 0 holds a target newer than its end, and host 1 is behind.
fn listed_during_writes(entries: Vec<Entry>, read_later: Vec<u8>) -> Vec<Step> {
    let lag = entries.len();
    vec![
        Step::Write(vec![(0, Some(1))]),
        list(1),
        Step::Write(entries),
        Step::List(0, lag, read_later),
        Step::Read(0, 1),
    ]
}

/// A record sent with an offset higher than its own would hide the target's next record.
#[test]
fn a_removal_after_a_change_sent_late_is_applied() {
    let entries = vec![(1, Some(1)), (1, None), (2, Some(1))];
    let mut steps = listed_during_writes(entries, vec![0, 0, 3, 0, 0, 0]);
    steps.push(Step::Request(1, 0, ALL));
    assert_converges(steps, 0, 1);
}

/// A truncated summary must not end beyond what its sender has read.
#[test]
fn a_truncated_summary_ends_where_its_sender_does() {
    let entries = vec![(1, Some(1)), (4, Some(1)), (2, Some(1)), (3, Some(1))];
    let mut steps = listed_during_writes(entries, vec![0, 0, 3, 4, 0, 0]);
    steps.push(Step::Request(1, 0, 1));
    assert_converges(steps, 0, 1);
}

/// A listing as of the start of the log may contain newer entries. Pages of another host, which
/// has seen a removal among them, must not leave them in place.
#[test]
fn an_entry_newer_than_an_empty_listing_is_removed() {
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        Step::List(0, 1, vec![1; usize::from(TARGETS)]),
        Step::Write(vec![(0, None)]),
    ];
    assert_converges(steps, 0, 1);
}

/// A summary may contain a removal newer than its range. The target's records before it follow
/// and must not bring it back.
#[test]
fn a_removed_target_is_not_used_again_for_an_older_record() {
    let mut cluster = Cluster::new(4_096);
    let entries = vec![(0, Some(2)), (5, Some(1)), (0, Some(1)), (0, None)];
    let steps = vec![
        Step::Write(vec![(0, Some(1))]),
        list(0),
        Step::Write(entries),
        Step::Read(1, ALL),
        Step::Request(0, 1, 1),
    ];
    for step in steps {
        cluster.run(step);
    }
    assert_eq!(cluster.hosts[0].view.end(), 2);
    assert!(cluster.known(0).is_empty());
    cluster.read(0, 2);
    assert!(!cluster.known(0).contains_key("t0"));
}

/// Views that differ at the same offset have different checksums.
#[test]
fn the_checksum_shows_that_views_differ() {
    let mut cluster = Cluster::new(4_096);
    cluster.write(&[(0, Some(1)), (1, Some(1))]);
    cluster.catch_up(0);
    let mut other = Cluster::new(4_096);
    other.write(&[(0, Some(1)), (1, Some(2))]);
    other.catch_up(0);
    let view = &cluster.hosts[0].view;
    assert_eq!(view.end(), other.hosts[0].view.end());
    assert_ne!(view.checksum(), other.hosts[0].view.checksum());
    cluster.write(&[(1, Some(2))]);
    other.write(&[(1, Some(2))]);
    cluster.catch_up(0);
    other.catch_up(0);
    assert!(cluster.hosts[0].view.checksum().is_some());
    let (view, other) = (&cluster.hosts[0].view, &other.hosts[0].view);
    assert_eq!(view.checksum(), other.checksum());
}
