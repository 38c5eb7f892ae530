//! Plain services: idempotent methods and idempotency keys.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::platform::Faults;
use rstest::rstest;

fn config() -> Config {
    Config {
        engines: 0,
        ..Config::default()
    }
}

async fn ready_fleet() -> Fleet {
    let fleet = Fleet::start(config()).await;
    fleet
        .activate_bundle(&notchwharf_standins::fleet::school_bundle("1"))
        .await;
    let url = format!("{}/services/filing/probe", fleet.url("a1"));
    // The host list is delayed, so the service is not known immediately.
    for host in ["a1", "a2", "a3"] {
        let url = url.replace(&fleet.url("a1"), &fleet.url(host));
        fleet
            .wait_until(|fleet| {
                let url = url.clone();
                async move { fleet.get(PERMITS_KEY, &url).await.unwrap().status == 201 }
            })
            .await;
    }
    fleet
}

async fn call(
    fleet: &Fleet,
    host: &str,
    method: Method,
    key: Option<&str>,
    body: &str,
) -> Response {
    let url = format!("{}/services/filing/permits?year=2", fleet.url(host));
    let auth = format!("Bearer {PERMITS_KEY}");
    let mut headers = vec![("authorization", auth.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let sent = fleet.send(method, &url, &headers, body.to_owned());
    sent.await.unwrap()
}

/// Makes a keyed call, retrying while it is rejected as not run.
async fn call_until_run(fleet: &Fleet, host: &str, key: &str, body: &str) -> Response {
    fleet::retry_until_final(|| call(fleet, host, Method::POST, Some(key), body)).await
}

fn filing_count(fleet: &Fleet) -> usize {
    let calls = fleet.executed_calls();
    calls.iter().filter(|call| call.path == "/permits").count()
}

#[tokio::test]
async fn keyed_call_runs_once_and_any_host_replays_its_response() {
    let fleet = ready_fleet().await;
    let first = call_until_run(&fleet, "a1", "k", "permit").await;
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    for host in ["a1", "a2", "a3"] {
        let repeated = call_until_run(&fleet, host, "k", "permit").await;
        assert_eq!(
            (repeated.status, repeated.is_replayed),
            (201, true),
            "{repeated:?}"
        );
        assert_eq!(repeated.body, first.body);
    }
    assert_eq!(filing_count(&fleet), 1);
    let other = call_until_run(&fleet, "a2", "k", "another").await;
    assert_eq!(other.status, 409);
    assert_eq!(filing_count(&fleet), 1);
}

#[rstest]
#[case::with_key(Some("k"))]
#[case::without_key(None)]
#[tokio::test]
async fn lost_response_is_unknown_and_call_not_retried(#[case] key: Option<&str>) {
    let fleet = ready_fleet().await;
    fleet.services.iter().for_each(|s| s.lose_responses(1));
    let response =
        fleet::retry_until_final(|| call(&fleet, "a1", Method::POST, key, "permit")).await;
    assert_eq!(response.status, 502);
    assert_eq!(response.json()["error"]["outcome"], "unknown");
    assert_eq!(filing_count(&fleet), 1);
    if key.is_some() {
        let repeated =
            fleet::retry_until_final(|| call(&fleet, "a2", Method::POST, key, "permit")).await;
        assert_eq!(repeated.json()["error"]["outcome"], "unknown");
        assert_eq!(filing_count(&fleet), 1);
    }
}

#[tokio::test]
async fn idempotent_call_is_retried() {
    let fleet = ready_fleet().await;
    fleet.services.iter().for_each(|s| s.lose_responses(1));
    // Both targets lose a response and are skipped for a while, so that the outcome
    // remains unknown.
    let response = call(&fleet, "a1", Method::PUT, None, "permit").await;
    assert_eq!(response.json()["error"]["outcome"], "unknown");
    assert_eq!(filing_count(&fleet), 2);
    fleet
        .wait_until(|fleet| async { call(fleet, "a1", Method::PUT, None, "p").await.status == 201 })
        .await;
}

#[tokio::test]
async fn keyed_call_is_rejected_while_log_is_down() {
    let fleet = ready_fleet().await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    let response = call(&fleet, "a1", Method::POST, Some("k"), "permit").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.json()["error"]["outcome"], "not-run");
    assert!(response.retry_after_s.is_some());
    assert_eq!(
        filing_count(&fleet),
        0,
        "A call reported as not run has run."
    );
}

#[tokio::test]
async fn keyed_call_runs_once_when_its_owner_crashes() {
    let mut fleet = ready_fleet().await;
    for i in 0..8 {
        let key = format!("k{i}");
        let response = call_until_run(&fleet, "a1", &key, "permit").await;
        assert_eq!(response.status, 201, "{response:?}");
    }
    assert_eq!(filing_count(&fleet), 8);
    fleet.kill_host("a3");
    for i in 0..8 {
        let key = format!("k{i}");
        fleet
            .wait_until(|fleet| {
                let key = key.clone();
                async move {
                    let response = call(fleet, "a1", Method::POST, Some(&key), "permit").await;
                    response.is_replayed
                }
            })
            .await;
    }
    assert_eq!(filing_count(&fleet), 8);
}

#[tokio::test]
async fn new_key_with_crashed_owner_is_not_reported_unknown() {
    let mut fleet = ready_fleet().await;
    // Waits until the port of the stopped host is closed.
    let peer = fleet.hosts["a3"].addrs().peer;
    fleet.kill_host("a3");
    fleet
        .wait_until(|_| async { tokio::net::TcpStream::connect(peer).await.is_err() })
        .await;
    for i in 0..12 {
        let key = format!("fresh-{i}");
        let response = call(&fleet, "a1", Method::POST, Some(&key), "permit").await;
        let is_rejected =
            response.status == 503 && response.json()["error"]["outcome"] == "not-run";
        assert!(response.status == 201 || is_rejected, "{response:?}");
    }
}

#[tokio::test]
async fn service_missing_from_bundle_is_not_found() {
    let fleet = ready_fleet().await;
    let url = format!("{}/services/other/x", fleet.url("a1"));
    assert_eq!(fleet.get(PERMITS_KEY, &url).await.unwrap().status, 404);
}
