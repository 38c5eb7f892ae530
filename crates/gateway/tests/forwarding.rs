//! Forwarding of calls about jobs by a host that does not reach the store while a peer does.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use harness::Harness;
use harness::TOKENS_MAX;
use harness::WAIT_MAX;
use harness::close_connection;
use harness::start_two_hosts as start;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_host_without_the_store_forwards_all_job_calls() {
    let harness = Harness::new(&["t1"]);
    let (a1, connection, _a2) = start(&harness).await;
    close_connection(&a1, &connection).await;
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    for result in &results {
        let text = result.text.as_ref().unwrap();
        assert_eq!(text, &item_text(&result.item));
    }
    harness.targets.hold();
    a1.submit("j2", 1, 10).await.unwrap();
    let body = jobs::read_item_body(a1.ctx(), "j2", "j2-0").await.unwrap();
    assert_eq!(body, "body of 0");
    jobs::end(a1.ctx(), "j2").await.unwrap();
    wait_until("its item is cancelled", || harness.targets.active() == 0).await;
}

#[tokio::test]
async fn a_job_submitted_through_forwarding_is_accepted_once() {
    let harness = Harness::new(&["t1"]);
    let (a1, connection, a2) = start(&harness).await;
    close_connection(&a1, &connection).await;
    a1.submit("j1", 2, 10).await.unwrap();
    a2.submit("j1", 2, 10).await.unwrap();
    a1.submit("j1", 2, 10).await.unwrap();
    assert_eq!(a2.results("j1", 2).await.len(), 2);
    for item in ["j1-0", "j1-1"] {
        assert_eq!(harness.targets.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn errors_of_the_peer_are_returned() {
    let harness = Harness::new(&["t1"]);
    let (a1, connection, _a2) = start(&harness).await;
    close_connection(&a1, &connection).await;
    let too_much = u32::try_from(TOKENS_MAX).unwrap() + 1;
    let err = a1.submit("j1", 1, too_much).await.unwrap_err();
    assert!(matches!(err, JobError::OverQuota { .. }), "{err:?}");
    let none = jobs::read_results(a1.ctx(), "j1", 0, Duration::ZERO).await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
    let none = jobs::read_item_body(a1.ctx(), "j1", "j1-0").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
    let none = jobs::end(a1.ctx(), "j1").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
}

#[rstest]
#[case::peer_failed(true)]
#[case::peer_lost_the_store(false)]
#[tokio::test]
async fn without_a_peer_that_reaches_the_store_a_job_is_refused_for_now(#[case] has_failed: bool) {
    let harness = Harness::new(&["t1"]);
    let (a1, connection, a2) = start(&harness).await;
    close_connection(&a1, &connection).await;
    if has_failed {
        a2.kill();
    } else {
        harness.store.set_closed(true);
    }
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert!(matches!(err, JobError::NotNow { .. }), "{err:?}");
    assert_eq!(harness.targets.runs("j1-0"), []);
}

/// Guards against a way past the budget for callers: a host without room forwarded the call, and kept
/// what the peer answered.
#[rstest]
#[case::reaches_the_store(true)]
#[case::does_not_reach_the_store(false)]
#[tokio::test]
async fn a_host_without_room_takes_no_answer_from_a_peer(#[case] has_store: bool) {
    let harness = Harness::new(&["t1"]);
    let (a1, connection, a2) = start(&harness).await;
    harness.targets.hold();
    a2.submit("j1", 1, 10).await.unwrap();
    if !has_store {
        close_connection(&a1, &connection).await;
    }
    let intake = &a1.ctx().callers.intake;
    let report = intake.report();
    let everything = intake.reserve(report.bytes_max - report.bytes).await;
    let read = jobs::read_item_body(a1.ctx(), "j1", "j1-0").await;
    assert!(matches!(read, Err(JobError::Occupied { .. })), "{read:?}");
    drop(everything);
    let read = jobs::read_item_body(a1.ctx(), "j1", "j1-0").await.unwrap();
    assert_eq!(read, "body of 0");
    assert_eq!(intake.report().bytes, read.len() as u64);
    drop(read);
    assert_eq!(intake.report().bytes, 0);
}

/// Longest time for which a host does not notice that its peer has ended, in milliseconds.
const UNNOTICED_MS: u64 = 30_000;

/// Answers all calls at an address with the same bytes, and closes each connection.
async fn answer_calls(addr: SocketAddr, answer: &'static [u8]) {
    let listener = loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            break listener;
        }
        // The host that has ended there closes its listener soon.
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut call = [0; 4_096];
                let _ = socket.read(&mut call).await;
                let _ = socket.write_all(answer).await;
            });
        }
    });
}

/// The body of each answer says that a job was accepted.
#[rstest]
#[case::whole(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\0", true)]
#[case::coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n\0", false)]
#[case::length_and_coding(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: x\r\n\r\n\0",
    false
)]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n\0", false)]
#[case::not_marked(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\0", false)]
#[case::cut(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\0", false)]
#[case::status(b"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n\0", false)]
#[tokio::test]
async fn an_answer_of_a_peer_counts_only_if_it_is_whole(
    #[case] answer: &'static [u8],
    #[case] is_whole: bool,
) {
    let harness = Harness::new(&["t1"]);
    let connection = harness.store.connection();
    let patient = |settings: &mut Settings| {
        settings.peers.down_ms = UNNOTICED_MS;
    };
    let store = connection.clone();
    let a1 = harness.start_with_store("a1", store, patient).await;
    a1.wait_ready().await;
    let a2 = harness.start_ready("a2").await;
    close_connection(&a1, &connection).await;
    let forwarded = async {
        while a1.submit("j0", 1, 10).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let forwarded = tokio::time::timeout(WAIT_MAX, forwarded).await;
    assert!(forwarded.is_ok(), "the host has not discovered its peer");
    let addr = a2.ctx().settings.host.peer_listen;
    a2.kill();
    answer_calls(addr, answer).await;
    let submitted = a1.submit("j1", 1, 10).await;
    match is_whole {
        true => assert_eq!(submitted, Ok(())),
        false => assert_eq!(submitted, Err(JobError::Unknown)),
    }
    let read = jobs::read_item_body(a1.ctx(), "j1", "j1-0").await;
    assert!(matches!(read, Err(JobError::NotNow { .. })), "{read:?}");
}
