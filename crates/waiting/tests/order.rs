//! Order of waiting requests, and the decisions one host derives from it.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_waiting::Assignment;
use notchwharf_waiting::FreeSlots;
use notchwharf_waiting::Request;
use notchwharf_waiting::RequestSummary;
use notchwharf_waiting::RetrySchedule;
use notchwharf_waiting::SlotUsage;
use notchwharf_waiting::StartDecision;
use notchwharf_waiting::WaitQueue;
use notchwharf_waiting::WorkspaceUsage;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: u32 = 1;
const CHOIR: u32 = 10;
const BAND: u32 = 11;
const T1: u32 = 21;
const MS: Duration = Duration::from_millis(1);

fn request(workspace: u32, priority: u8, waiting_since: Instant) -> Request {
    Request {
        service: SERVICE,
        workspace,
        priority,
        waiting_since,
        start_deadline: waiting_since + 200 * MS,
    }
}

fn reported(priority: u8, overuse_level: u8, age_ms: u32) -> RequestSummary {
    RequestSummary {
        service: SERVICE,
        priority,
        overuse_level,
        age: age_ms * MS,
    }
}

fn free(slots: u32) -> Vec<FreeSlots> {
    let one = FreeSlots {
        target: T1,
        count: slots,
    };
    (slots > 0).then_some(one).into_iter().collect()
}

/// Returns usage in which one workspace uses the given number of slots, and 20 others one
/// each.
fn usage_with(slots: u32) -> SlotUsage {
    let mut usage = SlotUsage::default();
    (0..slots).for_each(|_| usage.acquire(CHOIR, 10.0));
    (100..120).for_each(|workspace| usage.acquire(workspace, 10.0));
    usage
}

#[rstest]
#[case::higher_priority_first((1, CHOIR, 9), (0, BAND, 0), 1)]
#[case::then_within_its_fair_share((0, CHOIR, 9), (0, BAND, 0), 1)]
#[case::then_older((0, BAND, 0), (0, BAND, 9), 1)]
#[case::priority_before_fair_share((0, CHOIR, 0), (1, BAND, 9), 0)]
fn requests_are_ordered(
    #[case] one: (u8, u32, u32),
    #[case] other: (u8, u32, u32),
    #[case] first: usize,
) {
    let now = Instant::now();
    let usage = usage_with(12);
    let mut queue = WaitQueue::default();
    let tickets = [one, other].map(|(priority, workspace, age_ms)| {
        let waiting_since = now - age_ms * MS;
        queue.enqueue(request(workspace, priority, waiting_since), now)
    });
    assert_eq!(queue.first(SERVICE, &usage).unwrap().ticket, tickets[first]);
    assert_eq!(queue.first(SERVICE + 1, &usage), None);
}

#[rstest]
#[case::more_slots_than_requests_ahead(3, &[5, 4], 5, StartDecision::Any)]
#[case::as_many_slots_as_requests_ahead(2, &[5, 4], 5, StartDecision::Wait)]
#[case::no_free_slot(0, &[], 5, StartDecision::Wait)]
#[case::younger_requests_do_not_count(1, &[1, 1], 5, StartDecision::Any)]
#[case::not_yet_known_to_other_hosts(1, &[], 0, StartDecision::Wait)]
#[case::enough_slots_for_concurrent_requests(8, &[], 0, StartDecision::Any)]
fn a_slot_is_left_to_requests_ahead(
    #[case] slots: u32,
    #[case] peer_ages_ms: &[u32],
    #[case] age_ms: u32,
    #[case] decision: StartDecision,
) {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let enqueued_at = now - age_ms * MS;
    queue.enqueue(request(CHOIR, 0, now - 3 * MS), enqueued_at);
    let reports: Vec<RequestSummary> = peer_ages_ms
        .iter()
        .map(|age_ms| reported(0, 0, *age_ms))
        .collect();
    queue.update_peer("a2", &reports, &[], now);
    let usage = SlotUsage::default();
    let first = queue.first(SERVICE, &usage).unwrap();
    assert_eq!(queue.may_start(&first, &free(slots), 100.0, now), decision);
}

#[test]
fn an_unclaimed_slot_is_taken_after_a_timeout() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.enqueue(request(CHOIR, 0, now), now);
    queue.update_peer("a2", &[reported(0, 0, 50)], &[], now);
    let usage = SlotUsage::default();
    let first = queue.first(SERVICE, &usage).unwrap();
    for (after_ms, decision) in [
        (0, StartDecision::Wait),
        (7, StartDecision::Wait),
        (8, StartDecision::At(T1)),
    ] {
        let at = now + after_ms * MS;
        assert_eq!(queue.may_start(&first, &free(1), 100.0, at), decision);
    }
    // The wait starts anew once the slot has been in use in between.
    let later = now + 9 * MS;
    assert_eq!(
        queue.may_start(&first, &[], 100.0, later),
        StartDecision::Wait
    );
    assert_eq!(
        queue.may_start(&first, &free(1), 100.0, later),
        StartDecision::Wait
    );
}

#[test]
fn a_freed_slot_is_assigned_to_the_first_request_of_all_hosts() {
    let now = Instant::now();
    let (mut queue, usage) = (WaitQueue::default(), SlotUsage::default());
    let ticket = queue.enqueue(request(CHOIR, 0, now - 20 * MS), now);
    queue.update_peer("a2", &[reported(0, 0, 40), reported(0, 0, 10)], &[], now);
    queue.update_peer("a3", &[reported(0, 0, 30)], &[], now);
    let mut next = || queue.assign_freed(SERVICE, T1, &usage, now).unwrap();
    assert_eq!(next(), Assignment::Peer("a2".into()));
    // A transferred slot counts as used although the peer has not reported it yet.
    assert_eq!(next(), Assignment::Peer("a3".into()));
    let Assignment::Local(first) = next() else {
        panic!("This host's request ranks next.");
    };
    assert_eq!(first.ticket, ticket);
    assert_eq!(queue.recent_transfers(now), [T1]);
    // The notification was lost: the slot is transferred again after a timeout.
    let later = now + 10 * MS;
    assert_eq!(
        queue.assign_freed(SERVICE, T1, &usage, later),
        Some(Assignment::Peer("a2".into()))
    );
}

#[test]
fn a_transferred_slot_is_not_free_for_other_hosts() {
    let now = Instant::now();
    let (mut queue, usage) = (WaitQueue::default(), SlotUsage::default());
    queue.enqueue(request(CHOIR, 0, now), now - 10 * MS);
    let first = queue.first(SERVICE, &usage).unwrap();
    queue.update_peer("a2", &[], &[T1], now);
    assert_eq!(
        queue.may_start(&first, &free(1), 100.0, now),
        StartDecision::Wait
    );
    let later = now + 7 * MS;
    assert_eq!(
        queue.may_start(&first, &free(1), 100.0, later),
        StartDecision::Any
    );
    // A second transfer is recorded although the queue was not read in between.
    queue.update_peer("a2", &[], &[T1], later);
    let again = later + 7 * MS;
    queue.update_peer("a2", &[], &[T1], again);
    assert_eq!(queue.reserved(T1, again), 1);
}

/// A peer that is down or reports no waiting requests delays no request, and a repeated report
/// counts once.
#[test]
fn a_report_replaces_the_previous_one_of_the_peer() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.enqueue(request(CHOIR, 0, now), now - 10 * MS);
    let usage = SlotUsage::default();
    let first = queue.first(SERVICE, &usage).unwrap();
    let decision = |queue: &mut WaitQueue| queue.may_start(&first, &free(2), 100.0, now);
    queue.update_peer("a2", &[reported(0, 0, 50)], &[], now);
    queue.update_peer("a2", &[reported(0, 0, 50)], &[], now);
    assert_eq!(decision(&mut queue), StartDecision::Any);
    queue.update_peer("a2", &[reported(0, 0, 50), reported(0, 0, 40)], &[], now);
    assert_eq!(decision(&mut queue), StartDecision::Wait);
    assert!(queue.update_peer("a2", &[], &[], now));
    assert_eq!(decision(&mut queue), StartDecision::Any);
    queue.update_peer("a2", &[reported(0, 0, 50), reported(0, 0, 40)], &[], now);
    queue.remove_peer("a2");
    assert_eq!(decision(&mut queue), StartDecision::Any);
}

#[rstest]
#[case::in_time(8, 0, false)]
#[case::unlikely_when_new(25, 0, true)]
#[case::queued_before_and_still_in_time(15, 20, false)]
#[case::past_its_deadline(0, 200, true)]
fn requests_that_cannot_start_in_time_are_late(
    #[case] ahead: usize,
    #[case] waited_ms: u32,
    #[case] is_late: bool,
) {
    let enqueued_at = Instant::now();
    let mut queue = WaitQueue::default();
    queue.enqueue(request(CHOIR, 0, enqueued_at), enqueued_at);
    queue.update_peer("a2", &vec![reported(0, 0, 50); ahead], &[], enqueued_at);
    let now = enqueued_at + waited_ms * MS;
    // 10 ms per slot.
    let estimates = queue.estimate_starts(SERVICE, 100.0, &SlotUsage::default(), now);
    assert_eq!(estimates[0].ahead as usize, ahead);
    assert_eq!(estimates[0].is_late, is_late);
}

#[rstest]
#[case::zero(0.0)]
#[case::negative(-5.0)]
#[case::not_a_number(f64::NAN)]
#[case::huge(f64::INFINITY)]
fn invalid_weights_are_clamped(#[case] weight: f64) {
    let mut usage = SlotUsage::default();
    (0..5).for_each(|_| usage.acquire(CHOIR, weight));
    usage.acquire(BAND, 10.0);
    assert!(usage.overuse_level(CHOIR) <= 4);
    assert_eq!(usage.overuse_level(BAND), 0);
    (0..5).for_each(|_| usage.release(CHOIR));
    // A workspace without requests uses no slots, and an extra release is harmless.
    usage.release(CHOIR);
    assert_eq!(usage.slots_in_use(CHOIR), 0);
    assert_eq!(usage.overuse_level(CHOIR), 0);
}

#[test]
fn retry_times_are_staggered() {
    let now = Instant::now();
    let mut retries = RetrySchedule::default();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        let retry_after = retries.next_retry_after(100 * MS, 160.0, 20, now);
        assert!(
            retry_after >= 100 * MS && retry_after > last,
            "{retry_after:?}"
        );
        last = retry_after;
    }
    // 20 hosts share 160 freed slots per second, half of them for retries: 250 ms between the
    // retry times of one host.
    assert_eq!(last, 1_100 * MS);
    // Retry times are staggered even while the release rate is unknown.
    let mut unknown = RetrySchedule::default();
    let first = unknown.next_retry_after(Duration::ZERO, f64::INFINITY, 20, now);
    assert!(unknown.next_retry_after(Duration::ZERO, f64::INFINITY, 20, now) > first);
    assert!(unknown.next_retry_after(Duration::MAX, 0.0, 20, now) <= Duration::from_secs(3));
}

proptest! {
    /// The sums equal those of the last report of each host, in whichever order reports
    /// arrive.
    #[test]
    fn slots_in_use_add_up(reports in prop::collection::vec((0u8..4, 0u32..5, 0u32..9), 0..60)) {
        let mut usage = SlotUsage::default();
        let mut latest = [[0u32; 5]; 4];
        for (host, workspace, slots) in reports {
            let host = usize::from(host);
            latest[host] = [0; 5];
            let mut report = Vec::new();
            if slots > 0 {
                latest[host][workspace as usize] = slots;
                report.push(WorkspaceUsage { workspace, weight: 2.0, slots });
            }
            usage.update_peer(&host.to_string(), report);
        }
        for workspace in 0..5 {
            let sum: u32 = latest.iter().map(|slots| slots[workspace as usize]).sum();
            prop_assert_eq!(usage.slots_in_use(workspace), sum);
        }
        for host in 0..4 {
            usage.remove_peer(&host.to_string());
        }
        for workspace in 0..5 {
            prop_assert_eq!(usage.slots_in_use(workspace), 0);
            prop_assert_eq!(usage.overuse_level(workspace), 0);
        }
    }
}
