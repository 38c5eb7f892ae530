//! Plain services: method semantics and idempotency keys.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::platform::Faults;
use rstest::rstest;

fn small() -> Config {
    Config {
        engines: 0,
        ..Config::default()
    }
}

async fn ready() -> Fleet {
    let fleet = Fleet::start(small()).await;
    fleet
        .activate_bundle(&notchwharf_standins::fleet::school_bundle("1"))
        .await;
    let url = format!("{}/services/filing/probe", fleet.url("a1"));
    // The list lags, so the service is not known at once.
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

/// Calls as a caller does that comes back when told to.
async fn insist(fleet: &Fleet, host: &str, key: &str, body: &str) -> Response {
    fleet::retry_until_final(|| call(fleet, host, Method::POST, Some(key), body)).await
}

fn filings(fleet: &Fleet) -> usize {
    let taken = fleet.executed_calls();
    taken.iter().filter(|t| t.path == "/permits").count()
}

#[tokio::test]
async fn a_keyed_call_runs_once_and_its_answer_is_given_again_by_any_host() {
    let fleet = ready().await;
    let first = insist(&fleet, "a1", "k", "permit").await;
    assert_eq!((first.status, first.is_replayed), (201, false), "{first:?}");
    for host in ["a1", "a2", "a3"] {
        let again = insist(&fleet, host, "k", "permit").await;
        assert_eq!((again.status, again.is_replayed), (201, true), "{again:?}");
        assert_eq!(again.body, first.body);
    }
    assert_eq!(filings(&fleet), 1);
    let other = insist(&fleet, "a2", "k", "another").await;
    assert_eq!(other.status, 409);
    assert_eq!(filings(&fleet), 1);
}

#[rstest]
#[case::with_key(Some("k"))]
#[case::without_key(None)]
#[tokio::test]
async fn a_lost_answer_is_unknown_and_the_call_not_repeated(#[case] key: Option<&str>) {
    let fleet = ready().await;
    fleet.services.iter().for_each(|s| s.lose_responses(1));
    let lost = fleet::retry_until_final(|| call(&fleet, "a1", Method::POST, key, "permit")).await;
    assert_eq!(lost.status, 502);
    assert_eq!(lost.json()["error"]["outcome"], "unknown");
    assert_eq!(filings(&fleet), 1);
    if key.is_some() {
        let again =
            fleet::retry_until_final(|| call(&fleet, "a2", Method::POST, key, "permit")).await;
        assert_eq!(again.json()["error"]["outcome"], "unknown");
        assert_eq!(filings(&fleet), 1);
    }
}

#[tokio::test]
async fn an_idempotent_call_is_repeated() {
    let fleet = ready().await;
    fleet.services.iter().for_each(|s| s.lose_responses(1));
    let seen = call(&fleet, "a1", Method::PUT, None, "permit").await;
    // Both targets lose an answer and are passed over for a while, and then
    // nobody claims to know the outcome.
    assert_eq!(seen.json()["error"]["outcome"], "unknown");
    assert_eq!(filings(&fleet), 2);
    fleet
        .wait_until(|fleet| async { call(fleet, "a1", Method::PUT, None, "p").await.status == 201 })
        .await;
}

#[tokio::test]
async fn a_keyed_call_is_refused_while_the_log_is_down() {
    let fleet = ready().await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    let seen = call(&fleet, "a1", Method::POST, Some("k"), "permit").await;
    assert_eq!(seen.status, 503, "{seen:?}");
    assert_eq!(seen.json()["error"]["outcome"], "not-run");
    assert!(seen.retry_after_s.is_some());
    assert_eq!(filings(&fleet), 0, "Not run means not run.");
}

#[tokio::test]
async fn a_keyed_call_runs_once_when_its_hosts_die() {
    let mut fleet = ready().await;
    for i in 0..8 {
        let key = format!("k{i}");
        let seen = insist(&fleet, "a1", &key, "permit").await;
        assert_eq!(seen.status, 201, "{seen:?}");
    }
    assert_eq!(filings(&fleet), 8);
    fleet.kill_host("a3");
    for i in 0..8 {
        let key = format!("k{i}");
        fleet
            .wait_until(|fleet| {
                let key = key.clone();
                async move {
                    let seen = call(fleet, "a1", Method::POST, Some(&key), "permit").await;
                    seen.is_replayed
                }
            })
            .await;
    }
    assert_eq!(filings(&fleet), 8);
}

#[tokio::test]
async fn a_fresh_key_whose_owner_just_died_is_not_called_unknown() {
    let mut fleet = ready().await;
    // The stopped host's port is closed once this is refused.
    let peer = fleet.hosts["a3"].addrs().peer;
    fleet.kill_host("a3");
    fleet
        .wait_until(|_| async { tokio::net::TcpStream::connect(peer).await.is_err() })
        .await;
    for i in 0..12 {
        let key = format!("fresh-{i}");
        let seen = call(&fleet, "a1", Method::POST, Some(&key), "permit").await;
        let refused = seen.status == 503 && seen.json()["error"]["outcome"] == "not-run";
        assert!(seen.status == 201 || refused, "{seen:?}");
    }
}

#[tokio::test]
async fn a_service_that_is_not_in_the_bundle_is_not_found() {
    let fleet = ready().await;
    let url = format!("{}/services/other/x", fleet.url("a1"));
    assert_eq!(fleet.get(PERMITS_KEY, &url).await.unwrap().status, 404);
}
