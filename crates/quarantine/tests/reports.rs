//! What one host tells reaches another as it was.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Suspects;
use notchwharf_quarantine::gate::Gate;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::encode;
use notchwharf_routing::quarantine::Crash;
use rstest::rstest;

/// What a link carries in one packet, with its own headers.
const PACKET_BYTES: usize = 1_280;

fn crash(incarnation: u64) -> Crash {
    Crash {
        incarnation,
        run_time: Duration::from_millis(80),
        detected_at: Instant::now(),
    }
}

#[rstest]
#[case::a_suspect(2)]
#[case::one_that_is_blamed(3)]
#[tokio::test]
async fn a_host_that_is_told_decides_alike(#[case] crashes: u64) {
    let there = Gate::new("a1".into());
    for incarnation in 0..crashes {
        there.record_crash(7, crash(incarnation));
    }
    let here = Gate::new("b1".into());
    for suspect in encode(&there.periodic_reports()).iter().flatten() {
        here.merge_report(&"a1".into(), &decode(suspect));
    }
    assert_eq!(here.crash_count(7), there.crash_count(7));
    assert_eq!(here.try_admit(7).is_err(), crashes == 3);
    assert_eq!(there.try_admit(7).is_err(), crashes == 3);
}

#[tokio::test]
async fn many_suspects_are_told_in_datagrams_that_fit_a_packet() {
    let gate = Gate::new("a1".into());
    for request in 0..500 {
        for incarnation in 0..8 {
            gate.record_crash(request, crash(incarnation));
        }
    }
    let told = gate.periodic_reports();
    let parts = encode(&told);
    assert_eq!(parts.iter().flatten().count(), told.len());
    for suspects in parts {
        let host = "a-host-with-a-long-name".to_owned();
        let bytes =
            notchwharf_proto::messages::encode(&PeerMessage::Suspects(Suspects { host, suspects }));
        assert!(bytes.len() <= PACKET_BYTES, "{}", bytes.len());
    }
}
