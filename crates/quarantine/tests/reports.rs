//! Reports of suspects arrive unchanged at other hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Suspect;
use notchwharf_proto::messages::SuspectParts;
use notchwharf_proto::messages::Suspects;
use notchwharf_quarantine::gate::Gate;
use notchwharf_quarantine::reports::Batch;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::decode_snapshot;
use notchwharf_quarantine::reports::encode;
use notchwharf_quarantine::reports::encode_parts;
use notchwharf_quarantine::reports::encode_snapshot;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::parts;
use rstest::rstest;

/// Size of the packets that any link carries, headers included.
const PACKET_BYTES: usize = 1_280;

fn crash(incarnation: u64) -> Crash {
    Crash {
        incarnation,
        run_time: Duration::from_millis(80),
        detected_at: Instant::now(),
    }
}

#[rstest]
#[case::suspected(2)]
#[case::blamed(3)]
#[tokio::test]
async fn a_host_decides_alike_after_merging_reports(#[case] crashes: u64) {
    let sender = Gate::new("a1".into());
    for incarnation in 0..crashes {
        sender.record_crash(7, crash(incarnation));
    }
    let receiver = Gate::new("b1".into());
    for suspect in encode(&sender.periodic_reports()).iter().flatten() {
        receiver.merge_report(&"a1".into(), &decode(suspect));
    }
    assert_eq!(receiver.crash_count(7), sender.crash_count(7));
    assert_eq!(receiver.try_admit(7).is_err(), crashes == 3);
    assert_eq!(sender.try_admit(7).is_err(), crashes == 3);
}

#[tokio::test]
async fn datagrams_of_many_suspects_fit_into_a_packet() {
    let gate = Gate::new("a1".into());
    for request in 0..500 {
        for incarnation in 0..8 {
            gate.record_crash(request, crash(incarnation));
        }
    }
    let reports = gate.periodic_reports();
    let parts = encode(&reports);
    assert_eq!(parts.iter().flatten().count(), reports.len());
    for suspects in parts {
        let host = "a-host-with-a-long-name".to_owned();
        let bytes =
            notchwharf_proto::messages::encode(&PeerMessage::Suspects(Suspects { host, suspects }));
        assert!(bytes.len() <= PACKET_BYTES, "{}", bytes.len());
    }
}

fn part_crash(request: u64) -> parts::Crash {
    parts::Crash {
        incarnation: request,
        request,
        run_time: Duration::from_millis(80),
        has_begun: true,
        detected_at: Instant::now(),
    }
}

#[tokio::test]
async fn datagrams_of_many_parts_fit_into_a_packet() {
    let gate = Gate::new("a1".into());
    for part in 0..500 {
        for request in 0..8 {
            gate.record_part_crash(part, part_crash(request));
        }
    }
    let reports = gate.periodic_part_reports();
    let groups = encode_parts(&reports);
    assert_eq!(groups.iter().flatten().count(), reports.len());
    for parts in groups {
        let host = "a-host-with-a-long-name".to_owned();
        let message = PeerMessage::SuspectParts(SuspectParts { host, parts });
        let bytes = notchwharf_proto::messages::encode(&message);
        assert!(bytes.len() <= PACKET_BYTES, "{}", bytes.len());
    }
}

#[tokio::test]
async fn snapshots_are_read_by_hosts_of_this_and_earlier_versions() {
    let gate = Gate::new("a1".into());
    for request in 0..4 {
        gate.record_crash(7, crash(request));
        gate.record_part_crash(9, part_crash(request));
    }
    let batch = Batch {
        requests: gate.periodic_reports(),
        parts: gate.periodic_part_reports(),
    };
    let bytes = encode_snapshot(&batch);
    let receiver = Gate::new("b1".into());
    let read = decode_snapshot(&bytes).unwrap();
    receiver.merge_part_report(&read.parts[0]);
    assert!(receiver.is_part_blamed(9));
    // An earlier version reads and sends only the list of requests.
    let earlier: Vec<Suspect> = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(earlier.len(), 1);
    let bytes = postcard::to_stdvec(&earlier).unwrap();
    let read = decode_snapshot(&bytes).unwrap();
    assert_eq!((read.requests.len(), read.parts.len()), (1, 0));
}

#[tokio::test]
async fn each_crash_under_a_blamed_part_is_noticed_by_requests_that_wait_for_a_slot() {
    let gate = Gate::new("a1".into());
    assert_eq!(gate.newest_blamed_crash(&[9]), None);
    let mut newest = None;
    for request in 0..20 {
        gate.record_part_crash(9, part_crash(request));
        let crash = gate.newest_blamed_crash(&[7, 9]);
        let is_blamed = gate.is_part_blamed(9);
        assert_eq!(crash > newest, is_blamed, "crash {request}");
        newest = crash;
    }
}
