//! Target discovery: entries that expired in an outage are retained, removed ones are not.
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

/// A host with its view of the targets and its evidence of outages, on one clock.
struct Host {
    start: Instant,
    evidence: Evidence,
    view: TargetView,
}

impl Host {
    /// Returns a host that listed the given targets at 0 ms.
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

    /// Reads a record, by the times of the request and the response.
    fn read(
        &mut self,
        requested_ms: u64,
        answered_ms: u64,
        record: Option<Record<u8>>,
    ) -> Vec<Change<()>> {
        let read = ReadInfo::at_end(self.at(requested_ms), self.at(answered_ms));
        self.evidence.reads.record_response(read.answered_at);
        self.evidence.calls.record_response(read.answered_at);
        let records = record.into_iter().collect();
        self.view
            .apply_records(&read, &self.evidence, records, decode)
    }

    fn read_removal(&mut self, requested_ms: u64, answered_ms: u64, id: &str) -> Vec<Change<()>> {
        let record = removal(id, self.view.end());
        self.read(requested_ms, answered_ms, Some(record))
    }

    fn fail(&mut self, started_ms: u64, detected_ms: u64, failure: Failure) {
        let (started_at, detected_at) = (self.at(started_ms), self.at(detected_ms));
        self.evidence
            .reads
            .record_failure(started_at, detected_at, failure);
        self.evidence
            .calls
            .record_failure(started_at, detected_at, failure);
    }

    /// Lets the store refuse calls during a period.
    fn refuse(&mut self, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..to_ms).step_by(200) {
            self.fail(ms, ms, Failure::Refused);
        }
    }

    fn expire(&mut self, ms: u64) -> Vec<String> {
        let now = self.at(ms);
        self.view.expire(now, &self.evidence)
    }

    fn confirmed(&self) -> Vec<&String> {
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

fn removal(id: &str, offset: u64) -> Record<u8> {
    Record {
        value: None,
        ..put(id, offset)
    }
}

fn is_removed(changes: &[Change<()>]) -> bool {
    matches!(changes, [Change::Removed { .. }])
}

fn is_retained(changes: &[Change<()>]) -> bool {
    matches!(changes, [Change::Retained { .. }])
}

/// A lost call may have used a connection that had been unresponsive for long, so none of
/// these failures shows that the store was unavailable when the entry was removed.
#[rstest]
#[case::no_failure(&[])]
#[case::one_call_was_lost(&[(4_000, 4_500, Failure::Lost)])]
#[case::a_long_call_was_lost(&[(10, 4_990, Failure::Lost)])]
#[case::two_concurrent_calls_were_lost(&[(10, 4_000, Failure::Lost), (10, 4_500, Failure::Lost)])]
#[case::calls_are_throttled(&[(4_000, 4_100, Failure::Throttled), (4_300, 4_400, Failure::Throttled)])]
#[case::an_outage_long_ago(&[(100, 100, Failure::Refused), (200, 200, Failure::Refused)])]
fn a_removed_entry_takes_effect_at_once(#[case] failures: &[(u64, u64, Failure)]) {
    let mut host = Host::new(&["t1", "t2"]);
    for (started_ms, detected_ms, failure) in failures {
        host.fail(*started_ms, *detected_ms, *failure);
        if *detected_ms < 1_000 {
            host.read(1_000, 1_000, None);
        }
    }
    host.read(4_995, 4_995, None);
    assert!(is_removed(&host.read_removal(5_000, 5_100, "t1")));
    assert_eq!(host.confirmed(), ["t2"]);
}

#[test]
fn a_lost_call_is_no_evidence_if_another_was_answered_since_its_start() {
    let mut host = Host::new(&["t1"]);
    host.fail(1_000, 1_500, Failure::Lost);
    host.read(1_600, 1_610, None);
    host.fail(1_000, 1_700, Failure::Lost);
    assert_eq!(host.evidence.reads.outage_at(), None);
}

#[rstest]
#[case::refused(Failure::Refused)]
#[case::lost(Failure::Lost)]
fn an_entry_that_expired_in_an_outage_is_retained_until_it_reappears(#[case] failure: Failure) {
    let mut host = Host::new(&["t1", "t2"]);
    for ms in (1_000..5_000).step_by(200) {
        host.fail(ms, ms + 1, failure);
    }
    assert!(is_retained(&host.read_removal(5_000, 5_010, "t1")));
    assert!(is_retained(&host.read_removal(5_300, 5_310, "t2")));
    assert!(
        host.confirmed().is_empty(),
        "Missing entries are not sent to peers."
    );
    assert!(host.expire(7_000).is_empty());
    let reappeared = put("t1", host.view.end());
    host.read(7_000, 7_010, Some(reappeared));
    assert_eq!(host.expire(7_400), ["t2"]);
    assert_eq!(host.confirmed(), ["t1"]);
}

/// Calls of another kind may be refused for their own reasons, so their failures retain an
/// entry no longer than its drain time.
#[test]
fn refusals_of_other_calls_retain_an_entry_within_its_drain_time_only() {
    let mut host = Host::new(&["t1", "t2"]);
    host.read(4_000, 5_000, None);
    let started_at = host.at(5_050);
    host.evidence
        .calls
        .record_failure(started_at, started_at, Failure::Refused);
    assert!(is_retained(&host.read_removal(5_000, 5_100, "t1")));
    assert!(host.expire(5_550).is_empty());
    assert_eq!(host.expire(5_600), ["t1"]);
}

/// The outage falls into the pause between two reads.
#[test]
fn an_outage_between_reads_retains_the_entries_that_expired_in_it() {
    let mut host = Host::new(&["t1"]);
    let started_at = host.at(100);
    host.evidence
        .calls
        .record_failure(started_at, started_at, Failure::Refused);
    assert!(is_retained(&host.read_removal(300, 310, "t1")));
    let reappeared = put("t1", host.view.end());
    host.read(600, 610, Some(reappeared));
    assert!(host.expire(5_000).is_empty());
}

/// The store recovers for a moment only, in which entries cannot be registered again.
#[test]
fn a_second_outage_retains_the_entries_missing_since_the_first() {
    let mut host = Host::new(&["t1"]);
    host.refuse(1_000, 5_000);
    assert!(is_retained(&host.read_removal(5_000, 5_010, "t1")));
    host.refuse(5_400, 9_000);
    assert!(host.expire(9_000).is_empty());
    host.read(9_010, 9_010, None);
    assert!(host.expire(11_200).is_empty());
    assert_eq!(host.expire(11_400), ["t1"]);
}

/// While this host's outage lasts, a peer's listing takes effect after a time.
#[test]
fn a_disconnected_host_drops_entries_missing_from_a_peers_listing() {
    let mut host = Host::new(&["t1", "t2"]);
    host.refuse(1_000, 5_000);
    let end = host.view.end() + 5;
    let now = host.at(5_000);
    let records = vec![put("t2", end - 1)];
    let changes = host
        .view
        .apply_peer_listing(now, &host.evidence, end, records, decode);
    assert!(changes.iter().any(|c| matches!(c, Change::Retained { .. })));
    host.refuse(5_000, 9_000);
    assert!(host.expire(7_300).is_empty());
    assert_eq!(host.expire(7_400), ["t1"]);
}

#[test]
fn a_peer_listing_is_ignored_unless_it_is_newer() {
    let mut host = Host::new(&["t1"]);
    let (now, end) = (host.at(100), host.view.end());
    let changes = host
        .view
        .apply_peer_listing(now, &host.evidence, end, vec![], decode);
    assert!(changes.is_empty());
    assert_eq!(host.confirmed(), ["t1"]);
}

/// Regression: records were applied after the offset had been advanced, so another host
/// could be sent an offset that covered a record it was not sent.
#[test]
fn entries_are_consistent_with_their_end() {
    let mut host = Host::new(&["t1"]);
    let end = host.view.end();
    host.read(10, 20, Some(put("t2", end)));
    assert_eq!(host.view.end(), end + 1);
    assert_eq!(host.confirmed(), ["t1", "t2"]);
}

/// The pages of a listing are read one after the other. An entry that was written again in
/// the meantime is newer than the listing, not missing from it.
#[test]
fn an_entry_newer_than_its_listing_is_not_missing() {
    let mut host = Host::new(&["t1", "t2"]);
    let end = host.view.end() + 5;
    let read = ReadInfo::at_end(host.at(100), host.at(120));
    let records = vec![put("t1", end - 1), put("t2", end + 2)];
    host.view
        .apply_listing(&read, &host.evidence, end, records, decode);
    assert_eq!(host.confirmed(), ["t1", "t2"]);
    let older = removal("t2", end + 1);
    assert!(host.read(130, 140, Some(older)).is_empty());
    let now = host.at(150);
    let peer_records = vec![put("t1", end - 1)];
    host.view
        .apply_peer_listing(now, &host.evidence, end + 2, peer_records, decode);
    assert_eq!(host.confirmed(), ["t1", "t2"]);
}

/// Another writer may have overwritten the entry of a target that is shutting down by now.
#[test]
fn an_unreadable_entry_removes_its_target_until_it_is_readable() {
    let mut host = Host::new(&["t1", "t2"]);
    let record = Record {
        value: Some(0),
        ..put("t1", host.view.end())
    };
    let changes = host.read(10, 20, Some(record));
    assert!(matches!(&changes[..], [Change::Unreadable { .. }]));
    assert_eq!(host.confirmed(), ["t2"]);
    let again = put("t1", host.view.end());
    let changes = host.read(30, 40, Some(again));
    assert!(matches!(&changes[..], [Change::Put { .. }]));
    assert_eq!(host.confirmed(), ["t1", "t2"]);
}

#[test]
fn an_unreadable_entry_ends_the_retention_of_an_expired_one() {
    let mut host = Host::new(&["t1", "t2"]);
    host.refuse(100, 1_000);
    let changes = host.read_removal(1_050, 1_100, "t1");
    assert!(matches!(&changes[..], [Change::Retained { .. }]));
    let record = Record {
        value: Some(0),
        ..put("t1", host.view.end())
    };
    host.read(1_150, 1_200, Some(record));
    assert_eq!(host.confirmed(), ["t2"]);
    assert!(!host.view.has_missing_entries());
}

/// Outcome of a read.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answered,
    Failed(Failure),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        3 => Just(Outcome::Answered),
        2 => Just(Outcome::Failed(Failure::Refused)),
        2 => Just(Outcome::Failed(Failure::Lost)),
        1 => Just(Outcome::Failed(Failure::Throttled)),
    ]
}

/// Time for which an idle connection may have been unresponsive before it is used.
const IDLE_MS: u64 = 10_000;
/// Interval between two checks for expired entries in the property below; covered by the
/// dispatch timeout.
const CHECK_INTERVAL_MS: u64 = 10;

proptest! {
    /// Whatever the outcomes of reads, no request reaches a removed target later than allowed:
    /// within the drain time of its removal, or within the settle time of an outage, taken as
    /// early as the failures permit.
    #[test]
    fn no_request_reaches_a_removed_target_too_late(
        reads in proptest::collection::vec((0u64..400, 1u64..1_700, outcome()), 1..30),
        removed_ms in 0u64..15_000,
    ) {
        let timeouts = Timeouts::default();
        let mut host = Host::new(&["t1"]);
        let mut outages: Vec<Instant> = Vec::new();
        let mut lost_ms = None;
        let mut is_removal_read = false;
        let mut ms = 0;
        for (gap, took, outcome) in reads {
            let started_ms = ms + gap;
            let answered_ms = started_ms + took;
            // Until the read ends, the host uses its current view.
            while ms < answered_ms {
                if is_removal_read {
                    host.expire(ms);
                }
                if host.view.has_missing_entries() {
                    let reached_at = host.at(ms) + timeouts.dispatch;
                    let allowed_until = host.at(removed_ms) + timeouts.drain;
                    let is_settling = outages.iter().any(|at| reached_at <= *at + timeouts.settle);
                    prop_assert!(reached_at <= allowed_until || is_settling);
                }
                ms += CHECK_INTERVAL_MS;
            }
            ms = answered_ms;
            match outcome {
                Outcome::Answered if removed_ms < ms && !is_removal_read => {
                    is_removal_read = true;
                    lost_ms = None;
                    host.read_removal(started_ms, ms, "t1");
                }
                Outcome::Answered => {
                    lost_ms = None;
                    host.read(started_ms, ms, None);
                }
                Outcome::Failed(failure) => {
                    let outage = match (failure, lost_ms) {
                        (Failure::Throttled, _) => None,
                        (Failure::Refused, _) => Some(host.at(started_ms)),
                        (Failure::Lost, None) => Some(host.at(started_ms) - Duration::from_millis(IDLE_MS)),
                        (Failure::Lost, Some(before)) => Some(host.at(before)),
                    };
                    outages.extend(outage);
                    if failure == Failure::Lost {
                        lost_ms = Some(ms);
                    }
                    host.fail(started_ms, ms, failure);
                }
            }
        }
    }
}

#[rstest]
#[case::same_start(Some(7), None, Some("v1"))]
#[case::started_again(Some(8), None, None)]
#[case::known_already(Some(7), Some("v0"), Some("v0"))]
fn version_from_a_peer_is_set_for_the_same_start_only(
    #[case] started_unix_ms: Option<u64>,
    #[case] known: Option<&str>,
    #[case] expected: Option<&str>,
) {
    let now = Instant::now();
    let mut view = TargetView::new(Timeouts::default());
    let decode = |_: &u8| {
        Ok::<_, ()>(Spec {
            started_unix_ms: Some(7),
            version: known.map(str::to_owned),
            ..Spec::default()
        })
    };
    let entry = Record {
        id: "t1".to_owned(),
        offset: 3,
        value: Some(1),
    };
    let read = ReadInfo::at_end(now, now);
    view.apply_listing(&read, &Evidence::default(), 4, vec![entry], decode);
    let checksum = view.checksum();
    let is_changed = view
        .set_version("t1", started_unix_ms, "v1".into())
        .is_some();
    assert_eq!(is_changed, known.is_none() && expected.is_some());
    let (_, offset, spec) = view.entries().next().unwrap();
    assert_eq!((offset, spec.version.as_deref()), (3, expected));
    assert_eq!(view.checksum(), checksum);
}
