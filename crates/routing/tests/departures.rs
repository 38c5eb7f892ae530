//! Targets that have said that they leave stay out, whatever is written of them later.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::Record;
use notchwharf_routing::discovery::TargetView;
use notchwharf_routing::discovery::Timeouts;
use proptest::prelude::*;

/// A target, with the time at which it started.
type Start = (usize, Option<u64>);

/// What is written of a target.
#[derive(Clone, Copy, Debug)]
enum Written {
    Ready(Option<u64>),
    Draining(Option<u64>),
    Removed,
    Unreadable,
}

/// How a host learns of records.
#[derive(Clone, Copy, Debug)]
enum Learnt {
    Read,
    /// From another host that has read them all, one by one.
    FromPeer,
}

const TARGETS: usize = 3;
const EVENTS_MAX: usize = 60;

fn written() -> impl Strategy<Value = Written> {
    let start = prop_oneof![Just(None), (0u64..3).prop_map(Some)];
    prop_oneof![
        4 => start.clone().prop_map(Written::Ready),
        2 => start.prop_map(Written::Draining),
        2 => Just(Written::Removed),
        1 => Just(Written::Unreadable),
    ]
}

fn learnt() -> impl Strategy<Value = Learnt> {
    prop_oneof![Just(Learnt::Read), Just(Learnt::FromPeer)]
}

fn spec(started_unix_ms: Option<u64>, is_leaving: bool) -> Spec {
    Spec {
        is_leaving,
        started_unix_ms,
        ..Spec::default()
    }
}

/// A value that is `None` where a record cannot be decoded.
type Value = Option<Spec>;

fn record(offset: u64, target: usize, written: Written) -> Record<Value> {
    let value = match written {
        Written::Ready(started) => Some(Some(spec(started, false))),
        Written::Draining(started) => Some(Some(spec(started, true))),
        Written::Unreadable => Some(None),
        Written::Removed => None,
    };
    Record {
        id: format!("t{target}"),
        offset,
        value,
    }
}

fn decode(value: &Value) -> Result<Spec, ()> {
    value.clone().ok_or(())
}

/// A log of targets, one host that reads it, and one that learns from that host too.
struct Fleet {
    now: Instant,
    evidence: Evidence,
    log: Vec<Record<Value>>,
    reader: TargetView,
    other: TargetView,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            evidence: Evidence::default(),
            log: vec![record(0, TARGETS, Written::Ready(None))],
            reader: TargetView::new(Timeouts::default()),
            other: TargetView::new(Timeouts::default()),
        };
        let read = fleet.read();
        for view in [&mut fleet.reader, &mut fleet.other] {
            view.apply_listing(&read, &fleet.evidence, 1, fleet.log.clone(), decode);
        }
        fleet
    }

    fn read(&mut self) -> ReadInfo {
        self.now += Duration::from_millis(100);
        ReadInfo::at_end(self.now, self.now)
    }

    fn append(&mut self, target: usize, written: Written) {
        let offset = self.log.len() as u64;
        self.log.push(record(offset, target, written));
        let read = self.read();
        let newest = vec![self.log[offset as usize].clone()];
        self.reader
            .apply_records(&read, &self.evidence, newest, decode);
    }

    /// Lets the other host catch up; returns the starts that it has been told to be leaving.
    fn catch_up(&mut self, learnt: Learnt) -> Vec<Start> {
        let read = self.read();
        match learnt {
            Learnt::Read => {
                let from = self.other.end() as usize;
                let records = self.log[from..].to_vec();
                let told = records.iter().filter_map(leaving).collect();
                self.other
                    .apply_records(&read, &self.evidence, records, decode);
                told
            }
            Learnt::FromPeer => {
                let difference = self.reader.since(&self.other.position(), usize::MAX);
                let told = difference.records.iter().filter_map(|record| {
                    let spec = record.value.as_ref().filter(|spec| spec.is_leaving)?;
                    Some((number(&record.id), spec.started_unix_ms))
                });
                let told = told.collect();
                self.other
                    .apply_difference(&read, &self.evidence, difference);
                told
            }
        }
    }
}

fn number(id: &str) -> usize {
    id[1..].parse().unwrap()
}

/// Returns the start that a record says to be leaving.
fn leaving(record: &Record<Value>) -> Option<Start> {
    let spec = record.value.as_ref()?.as_ref()?;
    spec.is_leaving
        .then(|| (number(&record.id), spec.started_unix_ms))
}

fn open_starts(view: &TargetView) -> Vec<Start> {
    let entries = view.entries().filter(|(_, _, spec)| !spec.is_leaving);
    let starts = entries.map(|(id, _, spec)| (number(id), spec.started_unix_ms));
    starts.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_start_that_a_host_was_told_to_be_leaving_is_never_open_there_again(
        events in proptest::collection::vec(
            (0..TARGETS, written(), proptest::option::weighted(0.4, learnt())),
            1..EVENTS_MAX,
        ),
    ) {
        let mut fleet = Fleet::new();
        let (mut left, mut told) = (HashSet::new(), HashSet::new());
        for (target, written, learnt) in events {
            fleet.append(target, written);
            left.extend(leaving(fleet.log.last().unwrap()));
            for start in open_starts(&fleet.reader) {
                prop_assert!(!left.contains(&start), "{start:?} is open at the reader");
            }
            if let Some(learnt) = learnt {
                told.extend(fleet.catch_up(learnt));
                for start in open_starts(&fleet.other) {
                    prop_assert!(!told.contains(&start), "{start:?} is open at the other host");
                }
            }
        }
    }

    #[test]
    fn a_start_that_never_said_so_is_open_if_its_entry_is_ready(
        events in proptest::collection::vec((0..TARGETS, written()), 1..EVENTS_MAX),
    ) {
        let mut fleet = Fleet::new();
        let mut left = HashSet::new();
        for (target, written) in events {
            fleet.append(target, written);
            left.extend(leaving(fleet.log.last().unwrap()));
            if let Written::Ready(started) = written {
                let is_open = open_starts(&fleet.reader).contains(&(target, started));
                prop_assert_eq!(is_open, !left.contains(&(target, started)));
            }
        }
    }
}

/// Number of cases; `NOTCHWHARF_CASES` sets it for long hunts.
fn cases() -> u32 {
    let cases = std::env::var("NOTCHWHARF_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(500)
}
