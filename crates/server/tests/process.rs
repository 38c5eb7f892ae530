//! Tests with hosts as separate processes, for crashes, signals and settings.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod processes;

use hyper::Method;
use notchwharf_clients::http::Client;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::school_bundle;
use notchwharf_standins::platform::Faults;
use processes::Fleet;
use processes::WAIT_MAX;
use processes::signal;
use processes::wait_until;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

const TOKENS: u32 = 8;

#[tokio::test]
async fn crash_with_items_in_flight_loses_and_duplicates_nothing() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.wait_busy().await;
    fleet.hosts[1].child.start_kill().unwrap();
    fleet.check_results(0, &job, 300).await;
}

#[tokio::test]
async fn repeated_crashes_lose_and_duplicate_nothing() {
    let mut fleet = Fleet::start(3).await;
    let mut jobs = vec![fleet.submit(0, &fleet::input_file("n", 600, TOKENS)).await];
    for round in 0..4 {
        // If the job completes before the next crash, another one is submitted.
        while !fleet.wait_busy_or_completed(0, &jobs[jobs.len() - 1]).await {
            let input_file = fleet::input_file(&format!("n{round}"), 600, TOKENS);
            jobs.push(fleet.submit(0, &input_file).await);
        }
        let crashed_host = 1 + round % 2;
        fleet.hosts[crashed_host].child.start_kill().unwrap();
        // Meanwhile, the surviving host serves online requests.
        let url = format!("{}/v1/chat/completions", fleet.hosts[0].url);
        for i in 0..5 {
            let chat_request = json!({"model": "hints", "max_tokens": TOKENS,
                "messages": [{"role": "user", "content": format!("{round} {i}")}]});
            let response = fleet
                .send(Method::POST, &url, chat_request.to_string())
                .await
                .unwrap();
            assert_eq!(response.status, 200, "{}", response.body);
        }
        fleet.start_host(&format!("b{round}")).await;
        let replacement = fleet.hosts.pop().unwrap();
        fleet.hosts[crashed_host] = replacement;
    }
    for job in &jobs {
        fleet.check_results(0, job, 600).await;
    }
}

/// Returns whether responsive hosts hold all shards.
fn all_shards_held(response: &Value) -> bool {
    let hosts = response["hosts"].as_array().cloned().unwrap_or_default();
    let shards = hosts
        .iter()
        .filter_map(|h| h["report"]["shards"].as_array());
    shards.map(Vec::len).sum::<usize>() == 6
}

/// Submits a permit with an idempotency key and returns the status and the outcome.
async fn submit_permit(client: &Client, url: &str, key: &str) -> (u16, Value) {
    let auth = format!("Bearer {SCHOOL_KEY}");
    let headers = [("authorization", auth.as_str()), ("idempotency-key", key)];
    let url = format!("{url}/services/filing/{key}");
    let response = fleet::send(client, Method::POST, &url, &headers, "permit".into()).await;
    let response = response.unwrap();
    (response.status, response.json()["error"]["outcome"].clone())
}

#[tokio::test]
async fn keyed_call_with_crashed_owner_is_unknown_and_not_retried() {
    const KEYS: usize = 12;
    let mut fleet = Fleet::start(3).await;
    fleet.service.hold_responses(true);
    let url = fleet.hosts[0].url.clone();
    let pending: Vec<_> = (0..KEYS)
        .map(|i| {
            let (client, url) = (fleet.client.clone(), url.clone());
            tokio::spawn(async move { submit_permit(&client, &url, &format!("k{i}")).await })
        })
        .collect();
    wait_until(|| async { fleet.service.executed_calls().len() == KEYS }).await;
    for host in 1..3 {
        fleet.hosts[host].child.start_kill().unwrap();
    }
    let hosts = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    fleet.start_host("a4").await;
    fleet.service.hold_responses(false);
    let mut results = Vec::new();
    for task in pending {
        results.push(task.await.unwrap());
    }
    assert!(
        results.iter().any(|(status, _)| *status != 201),
        "No owner crashed: {results:?}"
    );
    for (status, outcome) in &results {
        assert!(*status == 201 || *outcome == "unknown", "{results:?}");
    }
    wait_until(|| async { fleet.get(&hosts).await.is_some_and(|h| all_shards_held(&h)) }).await;
    // A repeated call gets the first outcome or, if that was unknown, the recorded response.
    for (i, (first, _)) in results.iter().enumerate() {
        let key = format!("k{i}");
        let settled = |(status, outcome): (u16, Value)| {
            status == 201 || (*first != 201 && outcome == "unknown")
        };
        wait_until(|| async { settled(submit_permit(&fleet.client, &url, &key).await) }).await;
    }
    assert_eq!(
        fleet.service.executed_calls().len(),
        KEYS,
        "Each permit is submitted once."
    );
}

#[tokio::test]
async fn job_acknowledged_before_crash_completes() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(2, &fleet::input_file("n", 50, TOKENS)).await;
    fleet.hosts[2].child.start_kill().unwrap();
    fleet.check_results(0, &job, 50).await;
}

#[tokio::test]
async fn host_suspended_past_its_lease_resumes_safely() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.wait_busy().await;
    signal(&fleet.hosts[1], "STOP");
    // Other hosts take over its shards before it resumes.
    let url = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    wait_until(|| async { fleet.get(&url).await.is_some_and(|h| all_shards_held(&h)) }).await;
    signal(&fleet.hosts[1], "CONT");
    fleet.check_results(0, &job, 300).await;
    fleet.check_results(1, &job, 300).await;
}

#[tokio::test]
async fn log_outage_and_lost_responses_lose_no_item() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.wait_busy().await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    // Waits until running items end while nothing can be recorded.
    wait_until(|| async { fleet.engines.iter().all(|e| e.streams() == 0) }).await;
    fleet.platform.set_faults(Faults {
        lose_answers: 20,
        lose_appends: 10,
        ..Faults::default()
    });
    fleet.check_results(0, &job, 300).await;
}

#[rstest]
#[case::log_up(false)]
#[case::log_down(true)]
#[tokio::test]
async fn shutdown_interrupts_no_request(#[case] log_down: bool) {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 200, TOKENS)).await;
    fleet.wait_busy().await;
    let url = format!("{}/v1/chat/completions", fleet.hosts[1].url);
    let chat_request = |i: u32, stream: bool| {
        json!({"model": "hints", "max_tokens": 40, "stream": stream,
            "messages": [{"role": "user", "content": format!("long {i}")}]})
        .to_string()
    };
    let pending: Vec<_> = (0..12)
        .map(|i| {
            let (client, url, body) = (
                fleet.client.clone(),
                url.clone(),
                chat_request(i, i % 2 == 0),
            );
            tokio::spawn(async move {
                let auth = format!("Bearer {SCHOOL_KEY}");
                let headers = [("authorization", auth.as_str())];
                fleet::send(&client, Method::POST, &url, &headers, body.into()).await
            })
        })
        .collect();
    let report = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    let has_requests_in_flight = |response: Value| {
        let hosts = response["hosts"].as_array().cloned().unwrap_or_default();
        hosts
            .iter()
            .any(|h| h["host"] == "a2" && h["report"]["in_flight"].as_u64() >= Some(12))
    };
    wait_until(|| async { fleet.get(&report).await.is_some_and(has_requests_in_flight) }).await;
    if log_down {
        fleet.platform.set_faults(Faults {
            log_down: true,
            ..Faults::default()
        });
    }
    signal(&fleet.hosts[1], "TERM");
    for (i, task) in pending.into_iter().enumerate() {
        let response = task.await.unwrap().unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        let end_marker = if i % 2 == 0 {
            "[DONE]"
        } else {
            "\"finish_reason\":\"stop\""
        };
        assert!(response.body.contains(end_marker), "{}", response.body);
    }
    fleet.platform.set_faults(Faults::default());
    let ended = fleet.hosts[1].child.wait();
    let ended = tokio::time::timeout(WAIT_MAX, ended)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(ended.code(), Some(0));
    fleet.check_results(0, &job, 200).await;
}

#[tokio::test]
async fn second_signal_stops_host_immediately() {
    let mut fleet = Fleet::start(1).await;
    let url = format!("{}/v1/chat/completions", fleet.hosts[0].url);
    let body = json!({"model": "hints", "max_tokens": 100_000,
        "messages": [{"role": "user", "content": "without end"}]});
    let client = fleet.client.clone();
    let pending = tokio::spawn(async move {
        let auth = format!("Bearer {SCHOOL_KEY}");
        let headers = [("authorization", auth.as_str())];
        fleet::send(
            &client,
            Method::POST,
            &url,
            &headers,
            body.to_string().into(),
        )
        .await
    });
    fleet.wait_busy().await;
    signal(&fleet.hosts[0], "TERM");
    let ready = format!("{}/readyz", fleet.hosts[0].url);
    let is_not_ready = |response: Option<Response>| response.is_none_or(|r| r.status == 503);
    wait_until(|| async { is_not_ready(fleet.send(Method::GET, &ready, String::new()).await) })
        .await;
    signal(&fleet.hosts[0], "TERM");
    let ended = fleet.hosts[0].child.wait();
    let ended = tokio::time::timeout(WAIT_MAX, ended)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(
        pending.await.unwrap().is_err(),
        "The request is aborted and gets no truncated response."
    );
}

#[tokio::test]
async fn concurrent_sign_offs_accept_one_and_reject_the_other() {
    let fleet = Fleet::start(3).await;
    let base = fleet
        .get(&format!("{}/admin/v1/bundle", fleet.hosts[0].admin))
        .await
        .unwrap();
    let mut proposed = Vec::new();
    for host in 0..2 {
        let bundle = school_bundle(&format!("{}", host + 2));
        let proposal = json!({"base": base["version"], "author": "x", "bundle": bundle});
        let url = format!("{}/admin/v1/bundle", fleet.hosts[host].admin);
        let response = fleet
            .send(Method::POST, &url, proposal.to_string())
            .await
            .unwrap();
        proposed.push(response.json());
    }
    let sign = |host: usize| {
        let body = json!({"version": proposed[host]["version"],
            "digest": proposed[host]["digest"], "author": "y"});
        let url = format!("{}/admin/v1/sign-off", fleet.hosts[host].admin);
        let fleet = &fleet;
        async move {
            fleet
                .send(Method::POST, &url, body.to_string())
                .await
                .unwrap()
        }
    };
    let (a, b) = tokio::join!(sign(0), sign(1));
    let mut statuses = [a.status, b.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let winner = if a.status == 200 { 0 } else { 1 };
    for host in 0..3 {
        let url = format!("{}/admin/v1/bundle", fleet.hosts[host].admin);
        let version = proposed[winner]["version"].clone();
        wait_until(|| async {
            fleet
                .get(&url)
                .await
                .is_some_and(|b| b["version"] == version)
        })
        .await;
    }
}

#[tokio::test]
async fn new_host_gets_bundle_from_peers_while_log_is_down() {
    let mut fleet = Fleet::start(2).await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    fleet.start_host("a3").await;
    let ready = format!("{}/readyz", fleet.hosts[2].url);
    let is_ready = |response: Option<Response>| response.is_some_and(|r| r.status == 200);
    wait_until(|| async { is_ready(fleet.send(Method::GET, &ready, String::new()).await) }).await;
}

#[rstest]
#[case::unknown_field(json!({"host": {"name": "a", "data_centre": "d", "color": 1}}), "host.color")]
#[case::wrong_type(
    json!({"host": {"name": "a", "data_centre": "d"}, "lease": {"duration_ms": "6s"}}),
    "lease.duration_ms"
)]
#[case::lease_below_renewal(
    json!({"host": {"name": "a", "data_centre": "d"}, "lease": {"duration_ms": 1_000}}),
    "lease.renew_ms"
)]
#[case::drain_below_request(
    json!({"host": {"name": "a", "data_centre": "d"}, "shutdown": {"drain_timeout_ms": 3_000}}),
    "online.request_timeout_ms"
)]
#[tokio::test]
async fn invalid_settings_exit_with_field_name(
    #[case] settings: Value,
    #[case] field: &str,
    #[values(true, false)] check: bool,
) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("wrong-{:x}.json", rand::random::<u64>()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_notchwharfd"));
    command
        .arg("--settings")
        .arg(&path)
        .args(check.then_some("--check"));
    let out = command.output().await.unwrap();
    assert_eq!(out.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(stderr.contains(field), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[rstest]
#[case::unknown_adapter("other", json!({}), "unknown adapter")]
#[case::unknown_field("platform", json!({"host": {"name": "a", "data_centre": "d"}, "x": 1}), "x:")]
#[case::out_of_range(
    "platform",
    json!({"host": {"name": "a", "data_centre": "d"}, "batch": {"reserve": 65}}),
    "batch.reserve"
)]
#[tokio::test]
async fn invalid_adapter_settings_exit_with_field_name(
    #[case] adapter: &str,
    #[case] settings: Value,
    #[case] field: &str,
    #[values(true, false)] check: bool,
) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("wrong-{:x}.json", rand::random::<u64>()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_notchwharfd"));
    command
        .args(["--adapter", adapter, "--settings"])
        .arg(&path)
        .args(check.then_some("--check"));
    let out = command.output().await.unwrap();
    assert_eq!(out.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(stderr.contains(field), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}
