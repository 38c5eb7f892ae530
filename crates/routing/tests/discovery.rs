//! Which targets there are, as a host believes.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery::Change;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::Failure;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::Record;
use notchwharf_routing::discovery::TargetView;
use notchwharf_routing::discovery::Timeouts;
use proptest::prelude::*;
use rstest::rstest;

/// A host with its belief and what it knows of the store, on one clock.
struct Host {
    start: Instant,
    evidence: Evidence,
    view: TargetView,
}

impl Host {
    /// Returns a host that has listed some targets at 0 ms.
    fn new(targets: &[&str]) -> Self {
        let mut host = Self {
            start: Instant::now() + Duration::from_secs(60),
            evidence: Evidence::default(),
            view: TargetView::new(Timeouts::default()),
        };
        host.list(0, targets);
        host
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn list(&mut self, ms: u64, targets: &[&str]) -> Vec<Change<()>> {
        let end = self.view.end() + 10;
        let records = targets.iter().map(|id| put(id, end - 1)).collect();
        let read = ReadInfo::at_end(self.at(ms), self.at(ms));
        self.evidence.reads.record_response(read.answered_at);
        self.evidence.calls.record_response(read.answered_at);
        self.view
            .apply_listing(&read, &self.evidence, end, records, decode)
    }

    /// Reads a record that was asked for and answered at these times.
    fn read(&mut self, asked: u64, at: u64, record: Option<Record<u8>>) -> Vec<Change<()>> {
        let read = ReadInfo::at_end(self.at(asked), self.at(at));
        self.evidence.reads.record_response(read.answered_at);
        self.evidence.calls.record_response(read.answered_at);
        let records = record.into_iter().collect();
        self.view
            .apply_records(&read, &self.evidence, records, decode)
    }

    fn reads_that_it_is_gone(&mut self, asked: u64, at: u64, id: &str) -> Vec<Change<()>> {
        let record = gone(id, self.view.end());
        self.read(asked, at, Some(record))
    }

    fn fails(&mut self, begun: u64, noticed: u64, failure: Failure) {
        let (begun, noticed) = (self.at(begun), self.at(noticed));
        self.evidence.reads.record_failure(begun, noticed, failure);
        self.evidence.calls.record_failure(begun, noticed, failure);
    }

    /// The store refuses calls from one time to another.
    fn refused(&mut self, from: u64, to: u64) {
        for ms in (from..to).step_by(200) {
            self.fails(ms, ms, Failure::Refused);
        }
    }

    fn expire(&mut self, ms: u64) -> Vec<String> {
        let now = self.at(ms);
        self.view.expire(now, &self.evidence)
    }

    fn known(&self) -> Vec<&String> {
        let mut ids: Vec<&String> = self.view.entries().map(|(id, _, _)| id).collect();
        ids.sort();
        ids
    }
}

fn decode(value: &u8) -> Result<Spec, ()> {
    if *value == 0 {
        return Err(());
    }
    Ok(Spec::default())
}

fn put(id: &str, offset: u64) -> Record<u8> {
    Record {
        id: id.to_owned(),
        offset,
        value: Some(1),
    }
}

fn gone(id: &str, offset: u64) -> Record<u8> {
    Record {
        value: None,
        ..put(id, offset)
    }
}

fn is_gone(changes: &[Change<()>]) -> bool {
    matches!(changes, [Change::Removed { .. }])
}

fn is_kept(changes: &[Change<()>]) -> bool {
    matches!(changes, [Change::Retained { .. }])
}

/// What was lost may have been lost with a connection that was silent long
/// before; none of these shows that the store was away when the entry went.
#[rstest]
#[case::nothing_failed(&[])]
#[case::one_call_was_lost(&[(4_000, 4_500, Failure::Lost)])]
#[case::a_call_that_waited_was_lost(&[(10, 4_990, Failure::Lost)])]
#[case::two_that_were_begun_together(&[(10, 4_000, Failure::Lost), (10, 4_500, Failure::Lost)])]
#[case::calls_are_too_many(&[(4_000, 4_100, Failure::Throttled), (4_300, 4_400, Failure::Throttled)])]
#[case::an_outage_long_ago(&[(100, 100, Failure::Refused), (200, 200, Failure::Refused)])]
fn an_entry_that_goes_is_gone_at_once(#[case] failures: &[(u64, u64, Failure)]) {
    let mut host = Host::new(&["t1", "t2"]);
    for (begun, noticed, failure) in failures {
        host.fails(*begun, *noticed, *failure);
        if *noticed < 1_000 {
            host.read(1_000, 1_000, None);
        }
    }
    host.read(4_995, 4_995, None);
    assert!(is_gone(&host.reads_that_it_is_gone(5_000, 5_100, "t1")));
    assert_eq!(host.known(), ["t2"]);
}

/// A call that was lost is no evidence once another has been answered.
#[test]
fn an_answer_since_a_call_began_clears_its_loss() {
    let mut host = Host::new(&["t1"]);
    host.fails(1_000, 1_500, Failure::Lost);
    host.read(1_600, 1_610, None);
    host.fails(1_000, 1_700, Failure::Lost);
    assert_eq!(host.evidence.reads.outage_at(), None);
}

#[rstest]
#[case::refused(Failure::Refused)]
#[case::lost(Failure::Lost)]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back(#[case] failure: Failure) {
    let mut host = Host::new(&["t1", "t2"]);
    for ms in (1_000..5_000).step_by(200) {
        host.fails(ms, ms + 1, failure);
    }
    assert!(is_kept(&host.reads_that_it_is_gone(5_000, 5_010, "t1")));
    assert!(is_kept(&host.reads_that_it_is_gone(5_300, 5_310, "t2")));
    assert!(host.known().is_empty(), "Peers are told of none in doubt.");
    assert!(host.expire(7_000).is_empty());
    let back = put("t1", host.view.end());
    host.read(7_000, 7_010, Some(back));
    assert_eq!(host.expire(7_400), ["t2"]);
    assert_eq!(host.known(), ["t1"]);
}

/// Calls of another kind may be refused for a reason of their own. What they
/// show keeps an entry no longer than is allowed from its end.
#[test]
fn refusals_of_other_calls_keep_an_entry_within_its_drain_time_only() {
    let mut host = Host::new(&["t1", "t2"]);
    host.read(4_000, 5_000, None);
    let begun = host.at(5_050);
    host.evidence
        .calls
        .record_failure(begun, begun, Failure::Refused);
    assert!(is_kept(&host.reads_that_it_is_gone(5_000, 5_100, "t1")));
    assert!(host.expire(5_550).is_empty());
    assert_eq!(host.expire(5_600), ["t1"]);
}

/// An outage that falls into the pause between two readings.
#[test]
fn an_outage_that_no_reading_met_keeps_what_lapsed_in_it() {
    let mut host = Host::new(&["t1"]);
    let begun = host.at(100);
    host.evidence
        .calls
        .record_failure(begun, begun, Failure::Refused);
    assert!(is_kept(&host.reads_that_it_is_gone(300, 310, "t1")));
    let back = put("t1", host.view.end());
    host.read(600, 610, Some(back));
    assert!(host.expire(5_000).is_empty());
}

/// The store returns for a moment only: entries cannot come back meanwhile.
#[test]
fn a_second_outage_keeps_what_the_first_one_left_in_doubt() {
    let mut host = Host::new(&["t1"]);
    host.refused(1_000, 5_000);
    assert!(is_kept(&host.reads_that_it_is_gone(5_000, 5_010, "t1")));
    host.refused(5_400, 9_000);
    assert!(host.expire(9_000).is_empty());
    host.read(9_010, 9_010, None);
    assert!(host.expire(11_200).is_empty());
    assert_eq!(host.expire(11_400), ["t1"]);
}

/// Without the outage's end in sight, what a peer tells counts after a time.
#[test]
fn a_host_that_stays_cut_drops_what_a_peer_says_is_gone() {
    let mut host = Host::new(&["t1", "t2"]);
    host.refused(1_000, 5_000);
    let end = host.view.end() + 5;
    let now = host.at(5_000);
    let records = vec![put("t2", end - 1)];
    let changes = host
        .view
        .apply_peer_listing(now, &host.evidence, end, records, decode);
    assert!(changes.iter().any(|c| matches!(c, Change::Retained { .. })));
    host.refused(5_000, 9_000);
    assert!(host.expire(7_300).is_empty());
    assert_eq!(host.expire(7_400), ["t1"]);
}

#[test]
fn what_a_peer_knows_counts_only_if_it_is_newer() {
    let mut host = Host::new(&["t1"]);
    let (now, end) = (host.at(100), host.view.end());
    let changes = host
        .view
        .apply_peer_listing(now, &host.evidence, end, vec![], decode);
    assert!(changes.is_empty());
    assert_eq!(host.known(), ["t1"]);
}

/// Regression: records were taken in after the offset had moved on, so another
/// host could be told an offset that covered a record it was not told of.
#[test]
fn entries_and_their_end_belong_together() {
    let mut host = Host::new(&["t1"]);
    let end = host.view.end();
    host.read(10, 20, Some(put("t2", end)));
    assert_eq!(host.view.end(), end + 1);
    assert_eq!(host.known(), ["t1", "t2"]);
}

/// Pages of a listing are read one after the other: an entry that was written
/// again meanwhile is newer than the listing, and not missing.
#[test]
fn an_entry_that_is_newer_than_its_listing_is_there() {
    let mut host = Host::new(&["t1", "t2"]);
    let end = host.view.end() + 5;
    let read = ReadInfo::at_end(host.at(100), host.at(120));
    let records = vec![put("t1", end - 1), put("t2", end + 2)];
    host.view
        .apply_listing(&read, &host.evidence, end, records, decode);
    assert_eq!(host.known(), ["t1", "t2"]);
    let older = gone("t2", end + 1);
    assert!(host.read(130, 140, Some(older)).is_empty());
    let now = host.at(150);
    let of_peer = vec![put("t1", end - 1)];
    host.view
        .apply_peer_listing(now, &host.evidence, end + 2, of_peer, decode);
    assert_eq!(host.known(), ["t1", "t2"]);
}

/// Another writer may have put it there, over an entry that told of a target which
/// leaves by now.
#[test]
fn an_entry_that_cannot_be_read_names_no_target_until_it_can() {
    let mut host = Host::new(&["t1", "t2"]);
    let record = Record {
        value: Some(0),
        ..put("t1", host.view.end())
    };
    let changes = host.read(10, 20, Some(record));
    assert!(matches!(&changes[..], [Change::Unreadable { .. }]));
    assert_eq!(host.known(), ["t2"]);
    let again = put("t1", host.view.end());
    let changes = host.read(30, 40, Some(again));
    assert!(matches!(&changes[..], [Change::Put { .. }]));
    assert_eq!(host.known(), ["t1", "t2"]);
}

#[test]
fn an_unreadable_entry_ends_the_wait_for_one_that_lapsed() {
    let mut host = Host::new(&["t1", "t2"]);
    host.refused(100, 1_000);
    let changes = host.reads_that_it_is_gone(1_050, 1_100, "t1");
    assert!(matches!(&changes[..], [Change::Retained { .. }]));
    let record = Record {
        value: Some(0),
        ..put("t1", host.view.end())
    };
    host.read(1_150, 1_200, Some(record));
    assert_eq!(host.known(), ["t2"]);
    assert!(!host.view.has_missing_entries());
}

/// What happens to a reading.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    ReadInfo,
    Failed(Failure),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        3 => Just(Outcome::ReadInfo),
        2 => Just(Outcome::Failed(Failure::Refused)),
        2 => Just(Outcome::Failed(Failure::Lost)),
        1 => Just(Outcome::Failed(Failure::Throttled)),
    ]
}

/// How long an idle connection may have been silent before it is used.
const IDLE_MS: u64 = 10_000;
/// Time between two looks at overdue entries in the property below; the time
/// in flight covers it.
const LOOK_MS: u64 = 10;

proptest! {
    /// A target that is gone is never sent anything that reaches it later than
    /// is allowed, whatever readings meet: within the drain time of its entry's
    /// end, or of a fault as early as the failures allow it to have been.
    #[test]
    fn a_target_that_is_gone_gets_nothing_beyond_its_time(
        reads in proptest::collection::vec((0u64..400, 1u64..1_700, outcome()), 1..30),
        gone_ms in 0u64..15_000,
    ) {
        let timeouts = Timeouts::default();
        let mut host = Host::new(&["t1"]);
        let mut faults: Vec<Instant> = Vec::new();
        let mut lost_ms = None;
        let mut is_from_peer = false;
        let mut ms = 0;
        for (gap, took, outcome) in reads {
            let begun = ms + gap;
            let until = begun + took;
            // Until the reading ends the host uses what it keeps.
            while ms < until {
                if is_from_peer {
                    host.expire(ms);
                }
                if host.view.has_missing_entries() {
                    let reaches = host.at(ms) + timeouts.dispatch;
                    let allowed = host.at(gone_ms) + timeouts.drain;
                    let is_settling = faults.iter().any(|f| reaches <= *f + timeouts.settle);
                    prop_assert!(reaches <= allowed || is_settling);
                }
                ms += LOOK_MS;
            }
            ms = until;
            match outcome {
                Outcome::ReadInfo if gone_ms < ms && !is_from_peer => {
                    is_from_peer = true;
                    lost_ms = None;
                    host.reads_that_it_is_gone(begun, ms, "t1");
                }
                Outcome::ReadInfo => {
                    lost_ms = None;
                    host.read(begun, ms, None);
                }
                Outcome::Failed(failure) => {
                    let fault = match (failure, lost_ms) {
                        (Failure::Throttled, _) => None,
                        (Failure::Refused, _) => Some(host.at(begun)),
                        (Failure::Lost, None) => Some(host.at(begun) - Duration::from_millis(IDLE_MS)),
                        (Failure::Lost, Some(before)) => Some(host.at(before)),
                    };
                    faults.extend(fault);
                    if failure == Failure::Lost {
                        lost_ms = Some(ms);
                    }
                    host.fails(begun, ms, failure);
                }
            }
        }
    }
}
