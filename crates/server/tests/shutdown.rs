//! Requests at the product's own interface that meet the end of their host.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;

use hyper::Method;
use notchwharf_clients::http::Client;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::Response;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Calls that are sent while their host shuts down, and the time between two of them.
const CALLS: usize = 12;
const CALL_INTERVAL: Duration = Duration::from_millis(130);
/// Time between two bytes of a slow upload.
const BYTE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a response takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A fleet of one host that stops soon, and takes all requests for a part of that time. The last of them
/// outlast it.
async fn start() -> Fleet {
    let config = Config {
        hosts: 1,
        engines: 0,
        settings: json!({
            "online": {"request_timeout_ms": 1_500, "idle_timeout_ms": 1_000},
            "shutdown": {"notice_ms": 1_000, "drain_timeout_ms": 2_000},
        }),
        ..Config::default()
    };
    let fleet = Fleet::start(config).await;
    fleet.activate_bundle(&fleet::school_bundle("1")).await;
    let url = format!("{}/services/filing/probe", fleet.url("a1"));
    fleet
        .wait_until(|fleet| {
            let url = url.clone();
            async move { fleet.get(PERMITS_KEY, &url).await.unwrap().status == 201 }
        })
        .await;
    fleet
}

async fn call(url: String, key: Option<&str>) -> Option<Response> {
    let auth = format!("Bearer {PERMITS_KEY}");
    let mut headers = vec![("authorization", auth.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let client = Client::unpooled(TIMEOUT);
    let sent = fleet::send(&client, Method::POST, &url, &headers, "permit".into());
    sent.await.ok()
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_without_an_answer_when_its_host_stops_is_told(
    #[values(None, Some("k1"))] key: Option<&'static str>,
) {
    let mut fleet = start().await;
    for service in &fleet.services {
        service.hold_responses(true);
    }
    let url = format!("{}/services/filing/permits", fleet.url("a1"));
    let sending = tokio::spawn(async move {
        let mut sent = Vec::new();
        for number in 0..CALLS {
            let key = key.map(|key| format!("{key}-{number}"));
            let url = url.clone();
            sent.push(tokio::spawn(async move { call(url, key.as_deref()).await }));
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        sent
    });
    fleet.leave_host("a1").await;
    let mut outcomes = Vec::new();
    for response in sending.await.unwrap() {
        let response = response.await.unwrap();
        outcomes.push(response.map(|r| (r.status, r.json()["error"]["outcome"].to_string())));
    }
    let is_told = |outcome: &Option<(u16, String)>| {
        let outcome = outcome.as_ref().map(|(s, o)| (*s, o.as_str()));
        matches!(outcome, Some((502, "\"unknown\"") | (503, "\"not-run\"")))
    };
    assert!(outcomes.iter().all(is_told), "{outcomes:?}");
    let is_refused = |outcome: &(u16, String)| outcome.0 == 503;
    assert!(outcomes.iter().flatten().any(is_refused), "{outcomes:?}");
}

#[rstest]
#[case::service("/services/filing/permits")]
#[case::chat("/v1/chat/completions")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_is_being_received_when_its_host_stops_is_told_that_it_did_not_run(
    #[case] path: &str,
) {
    let mut fleet = start().await;
    let url = fleet.url("a1");
    let mut socket = TcpStream::connect(url.trim_start_matches("http://"))
        .await
        .unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a1\r\nAuthorization: Bearer {PERMITS_KEY}\r\n\
         Content-Length: 100\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    let reading = tokio::spawn(async move {
        // A caller that sends slowly is waited for.
        let (mut reader, mut writer) = socket.into_split();
        let writing = tokio::spawn(async move {
            while writer.write_all(b"x").await.is_ok() {
                tokio::time::sleep(BYTE_INTERVAL).await;
            }
        });
        let mut received = Vec::new();
        // What arrived before a reset stays.
        let _ = reader.read_to_end(&mut received).await;
        writing.abort();
        String::from_utf8(received).unwrap()
    });
    fleet.leave_host("a1").await;
    let received = reading.await.unwrap();
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
    assert!(received.contains("not-run"), "{received:?}");
}
