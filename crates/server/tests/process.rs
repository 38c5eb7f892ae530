//! Hosts as processes of their own: what only sockets and signals can show.
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
use processes::until;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

const TOKENS: u32 = 8;

#[tokio::test]
async fn a_host_killed_with_items_in_flight_loses_and_doubles_nothing() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.until_busy().await;
    fleet.hosts[1].child.start_kill().unwrap();
    fleet.check_whole(0, &job, 300).await;
}

#[tokio::test]
async fn hosts_that_die_again_and_again_lose_and_double_nothing() {
    let mut fleet = Fleet::start(3).await;
    let mut jobs = vec![fleet.submit(0, &fleet::input_file("n", 600, TOKENS)).await];
    for round in 0..4 {
        // A job that is whole before the next kill leaves nothing to kill for.
        while !fleet.until_busy_or_whole(0, &jobs[jobs.len() - 1]).await {
            let lot = fleet::input_file(&format!("n{round}"), 600, TOKENS);
            jobs.push(fleet.submit(0, &lot).await);
        }
        let victim = 1 + round % 2;
        fleet.hosts[victim].child.start_kill().unwrap();
        // Online requests at the host that stays are answered meanwhile.
        let url = format!("{}/v1/chat/completions", fleet.hosts[0].url);
        for i in 0..5 {
            let ask = json!({"model": "hints", "max_tokens": TOKENS,
                "messages": [{"role": "user", "content": format!("{round} {i}")}]});
            let seen = fleet
                .send(Method::POST, &url, ask.to_string())
                .await
                .unwrap();
            assert_eq!(seen.status, 200, "{}", seen.body);
        }
        fleet.start_host(&format!("b{round}")).await;
        let fresh = fleet.hosts.pop().unwrap();
        fleet.hosts[victim] = fresh;
    }
    for job in &jobs {
        fleet.check_whole(0, job, 600).await;
    }
}

/// Returns whether hosts that answer hold every shard.
fn all_shards_held(seen: &Value) -> bool {
    let hosts = seen["hosts"].as_array().cloned().unwrap_or_default();
    let shards = hosts
        .iter()
        .filter_map(|h| h["report"]["shards"].as_array());
    shards.map(Vec::len).sum::<usize>() == 6
}

/// Files a permit under a key; returns the answer's status and outcome.
async fn file(client: &Client, url: &str, key: &str) -> (u16, Value) {
    let auth = format!("Bearer {SCHOOL_KEY}");
    let headers = [("authorization", auth.as_str()), ("idempotency-key", key)];
    let url = format!("{url}/services/filing/{key}");
    let seen = fleet::send(client, Method::POST, &url, &headers, "permit".into()).await;
    let seen = seen.unwrap();
    (seen.status, seen.json()["error"]["outcome"].clone())
}

#[tokio::test]
async fn a_filing_whose_host_dies_in_the_middle_is_unknown_and_never_filed_again() {
    const KEYS: usize = 12;
    let mut fleet = Fleet::start(3).await;
    fleet.service.hold_responses(true);
    let url = fleet.hosts[0].url.clone();
    let open: Vec<_> = (0..KEYS)
        .map(|i| {
            let (client, url) = (fleet.client.clone(), url.clone());
            tokio::spawn(async move { file(&client, &url, &format!("k{i}")).await })
        })
        .collect();
    until(|| async { fleet.service.executed_calls().len() == KEYS }).await;
    for host in 1..3 {
        fleet.hosts[host].child.start_kill().unwrap();
    }
    let hosts = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    fleet.start_host("a4").await;
    fleet.service.hold_responses(false);
    let mut told = Vec::new();
    for one in open {
        told.push(one.await.unwrap());
    }
    assert!(
        told.iter().any(|(status, _)| *status != 201),
        "Some owner died: {told:?}"
    );
    for (status, outcome) in &told {
        assert!(*status == 201 || *outcome == "unknown", "{told:?}");
    }
    until(|| async { fleet.get(&hosts).await.is_some_and(|h| all_shards_held(&h)) }).await;
    // A caller that asks again, as often as it likes, hears the same.
    for (i, (first, _)) in told.iter().enumerate() {
        let key = format!("k{i}");
        let settled = |(status, outcome): (u16, Value)| {
            status == 201 || (*first != 201 && outcome == "unknown")
        };
        until(|| async { settled(file(&fleet.client, &url, &key).await) }).await;
    }
    assert_eq!(
        fleet.service.executed_calls().len(),
        KEYS,
        "Each was filed once."
    );
}

#[tokio::test]
async fn a_job_acknowledged_by_a_host_that_dies_at_once_is_done() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(2, &fleet::input_file("n", 50, TOKENS)).await;
    fleet.hosts[2].child.start_kill().unwrap();
    fleet.check_whole(0, &job, 50).await;
}

#[tokio::test]
async fn a_host_stopped_past_its_lease_does_no_harm_when_it_goes_on() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.until_busy().await;
    signal(&fleet.hosts[1], "STOP");
    // Its shards and targets are held by others before it goes on.
    let url = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    until(|| async { fleet.get(&url).await.is_some_and(|h| all_shards_held(&h)) }).await;
    signal(&fleet.hosts[1], "CONT");
    fleet.check_whole(0, &job, 300).await;
    fleet.check_whole(1, &job, 300).await;
}

#[tokio::test]
async fn a_log_that_is_down_and_loses_answers_loses_no_item() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 300, TOKENS)).await;
    fleet.until_busy().await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    // Long enough for running items to end while nothing can be recorded.
    until(|| async { fleet.engines.iter().all(|e| e.streams() == 0) }).await;
    fleet.platform.set_faults(Faults {
        lose_answers: 20,
        lose_appends: 10,
        ..Faults::default()
    });
    fleet.check_whole(0, &job, 300).await;
}

#[rstest]
#[case::alone(false)]
#[case::with_the_log_down(true)]
#[tokio::test]
async fn a_host_told_to_end_cuts_no_request(#[case] log_down: bool) {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::input_file("n", 200, TOKENS)).await;
    fleet.until_busy().await;
    let url = format!("{}/v1/chat/completions", fleet.hosts[1].url);
    let ask = |i: u32, stream: bool| {
        json!({"model": "hints", "max_tokens": 40, "stream": stream,
            "messages": [{"role": "user", "content": format!("long {i}")}]})
        .to_string()
    };
    let open: Vec<_> = (0..12)
        .map(|i| {
            let (client, url, body) = (fleet.client.clone(), url.clone(), ask(i, i % 2 == 0));
            tokio::spawn(async move {
                let auth = format!("Bearer {SCHOOL_KEY}");
                let headers = [("authorization", auth.as_str())];
                fleet::send(&client, Method::POST, &url, &headers, body.into()).await
            })
        })
        .collect();
    let report = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    let carries = |seen: Value| {
        let hosts = seen["hosts"].as_array().cloned().unwrap_or_default();
        hosts
            .iter()
            .any(|h| h["host"] == "a2" && h["report"]["in_flight"].as_u64() >= Some(12))
    };
    until(|| async { fleet.get(&report).await.is_some_and(carries) }).await;
    if log_down {
        fleet.platform.set_faults(Faults {
            log_down: true,
            ..Faults::default()
        });
    }
    signal(&fleet.hosts[1], "TERM");
    for (i, one) in open.into_iter().enumerate() {
        let seen = one.await.unwrap().unwrap();
        assert_eq!(seen.status, 200, "{}", seen.body);
        let whole = if i % 2 == 0 {
            "[DONE]"
        } else {
            "\"finish_reason\":\"stop\""
        };
        assert!(seen.body.contains(whole), "{}", seen.body);
    }
    fleet.platform.set_faults(Faults::default());
    let ended = fleet.hosts[1].child.wait();
    let ended = tokio::time::timeout(WAIT_MAX, ended)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(ended.code(), Some(0));
    fleet.check_whole(0, &job, 200).await;
}

#[tokio::test]
async fn a_second_signal_ends_a_host_at_once() {
    let mut fleet = Fleet::start(1).await;
    let url = format!("{}/v1/chat/completions", fleet.hosts[0].url);
    let body = json!({"model": "hints", "max_tokens": 100_000,
        "messages": [{"role": "user", "content": "without end"}]});
    let client = fleet.client.clone();
    let open = tokio::spawn(async move {
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
    fleet.until_busy().await;
    signal(&fleet.hosts[0], "TERM");
    let ready = format!("{}/readyz", fleet.hosts[0].url);
    let told = |seen: Option<Response>| seen.is_none_or(|s| s.status == 503);
    until(|| async { told(fleet.send(Method::GET, &ready, String::new()).await) }).await;
    signal(&fleet.hosts[0], "TERM");
    let ended = fleet.hosts[0].child.wait();
    let ended = tokio::time::timeout(WAIT_MAX, ended)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(
        open.await.unwrap().is_err(),
        "The request is cut, not answered short."
    );
}

#[tokio::test]
async fn of_two_operators_who_race_one_wins_and_the_other_is_told() {
    let fleet = Fleet::start(3).await;
    let base = fleet
        .get(&format!("{}/admin/v1/bundle", fleet.hosts[0].admin))
        .await
        .unwrap();
    let mut proposed = Vec::new();
    for host in 0..2 {
        let bundle = school_bundle(&format!("{}", host + 2));
        let asked = json!({"base": base["version"], "author": "x", "bundle": bundle});
        let url = format!("{}/admin/v1/bundle", fleet.hosts[host].admin);
        let seen = fleet
            .send(Method::POST, &url, asked.to_string())
            .await
            .unwrap();
        proposed.push(seen.json());
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
        until(|| async {
            fleet
                .get(&url)
                .await
                .is_some_and(|b| b["version"] == version)
        })
        .await;
    }
}

#[tokio::test]
async fn a_new_host_gets_the_bundle_from_peers_while_the_log_is_down() {
    let mut fleet = Fleet::start(2).await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    fleet.start_host("a3").await;
    let ready = format!("{}/readyz", fleet.hosts[2].url);
    let is_ready = |seen: Option<Response>| seen.is_some_and(|s| s.status == 200);
    until(|| async { is_ready(fleet.send(Method::GET, &ready, String::new()).await) }).await;
}

#[rstest]
#[case::unknown_field(json!({"host": {"name": "a", "data_centre": "d", "color": 1}}), "host.color")]
#[case::wrong_unit(
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
async fn wrong_settings_end_the_process_with_the_field_named(
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
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains(field), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}

#[rstest]
#[case::unknown_adapter("other", json!({}), "there is no adapter")]
#[case::unknown_field("platform", json!({"host": {"name": "a", "data_centre": "d"}, "x": 1}), "x:")]
#[case::out_of_range(
    "platform",
    json!({"host": {"name": "a", "data_centre": "d"}, "batch": {"reserve": 65}}),
    "batch.reserve"
)]
#[tokio::test]
async fn wrong_settings_of_an_adapter_end_the_process_too(
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
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains(field), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}
