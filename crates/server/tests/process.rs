//! Hosts as processes of their own: what only sockets and signals can show.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::process::Stdio;
use std::time::Duration;

use hyper::Method;
use notchwharf_config::bundle::Bundle;
use notchwharf_platform::hosts::Kind;
use notchwharf_platform::hosts::Listed;
use notchwharf_platform::http::Client;
use notchwharf_standins::engine;
use notchwharf_standins::engine::Engine;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::Seen;
use notchwharf_standins::fleet::school_bundle;
use notchwharf_standins::platform;
use notchwharf_standins::platform::Faults;
use notchwharf_standins::platform::Platform;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt as _;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

const TOKENS: u32 = 8;
const WAIT_MAX: Duration = Duration::from_secs(60);

/// A host that runs as a process.
struct Process {
    child: Child,
    url: String,
    admin: String,
}

/// A fleet of processes around stand-ins in the test's own process.
struct Fleet {
    platform: Platform,
    engines: Vec<Engine>,
    hosts: Vec<Process>,
    client: Client,
}

impl Fleet {
    async fn start(hosts: usize) -> Self {
        let platform = Platform::start(platform::Config {
            list_lag: Duration::from_millis(100),
            ..platform::Config::default()
        });
        let mut fleet = Self {
            platform: platform.await.unwrap(),
            engines: Vec::new(),
            hosts: Vec::new(),
            client: Client::new(WAIT_MAX),
        };
        for i in 1..=4 {
            fleet.start_engine(&format!("t{i}")).await;
        }
        for i in 1..=hosts {
            fleet.start_host(&format!("a{i}")).await;
        }
        fleet.put_in_force(&school_bundle("1")).await;
        for host in 0..hosts {
            let url = format!("{}/admin/v1/targets", fleet.hosts[host].admin);
            let held = |seen: Value| seen.to_string().matches("tutor/-/1").count() == 4;
            until(|| async { fleet.get(&url).await.is_some_and(held) }).await;
        }
        fleet
    }

    async fn start_engine(&mut self, name: &str) {
        let engine = Engine::start(engine::Config::default()).await.unwrap();
        self.platform.list(Listed {
            name: name.into(),
            data_centre: "dc1".into(),
            incarnation: 1,
            leaving: false,
            kind: Kind::Engine {
                url: engine.url(),
                checks_fencing: true,
            },
        });
        self.engines.push(engine);
    }

    async fn start_host(&mut self, name: &str) {
        let settings = json!({
            "host": {"name": name, "data_centre": "dc1"},
            "platform": {"log_url": self.platform.url(), "host_list_url": self.platform.url(),
                "poll_ms": 100},
            "lease": {"duration_ms": 1_500, "renew_ms": 400, "landing_ms": 200},
            "ledger": {"shards": 6, "commit_ms": 5},
            "membership": {"probe_ms": 200, "suspect_ms": 500},
            "shutdown": {"notice_ms": 100},
        });
        let process = spawn(name, &settings).await;
        self.platform.list(process.1);
        self.hosts.push(process.0);
    }

    async fn get(&self, url: &str) -> Option<Value> {
        self.client.get_json(url).await.ok()
    }

    async fn send(&self, method: Method, url: &str, body: String) -> Option<Seen> {
        let auth = format!("Bearer {SCHOOL_KEY}");
        let headers = [("authorization", auth.as_str())];
        fleet::send(&self.client, method, url, &headers, body.into())
            .await
            .ok()
    }

    async fn put_in_force(&self, bundle: &Bundle) -> u64 {
        let admin = &self.hosts[0].admin;
        let base = self.get(&format!("{admin}/admin/v1/bundle")).await.unwrap();
        let asked = json!({"base": base["version"], "author": "ana", "bundle": bundle});
        let url = format!("{admin}/admin/v1/bundle");
        let asked = self
            .send(Method::POST, &url, asked.to_string())
            .await
            .unwrap()
            .json();
        let signed = json!({"version": asked["version"], "digest": asked["digest"],
            "author": "rui"});
        let url = format!("{admin}/admin/v1/sign-off");
        let seen = self
            .send(Method::POST, &url, signed.to_string())
            .await
            .unwrap();
        assert_eq!(seen.status, 200, "{}", seen.body);
        asked["version"].as_u64().unwrap()
    }

    /// Uploads a lot and creates its job, asking again as a caller would until
    /// it is told that the job is accepted.
    async fn submit(&self, host: usize, lot: &str) -> String {
        let form = format!(
            "--edge\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --edge\r\ncontent-disposition: form-data; name=\"file\"; filename=\"l.jsonl\"\
             \r\n\r\n{lot}\r\n--edge--\r\n"
        );
        let auth = format!("Bearer {SCHOOL_KEY}");
        let kind = "multipart/form-data; boundary=edge";
        let headers = [("authorization", auth.as_str()), ("content-type", kind)];
        let url = format!("{}/v1/files", self.hosts[host].url);
        let sent = fleet::send(&self.client, Method::POST, &url, &headers, form.into());
        let file = sent.await.unwrap();
        assert_eq!(file.status, 200, "{}", file.body);
        let body = json!({"input_file_id": file.json()["id"],
            "endpoint": "/v1/chat/completions", "completion_window": "24h"});
        let url = format!("{}/v1/batches", self.hosts[host].url);
        let job = self
            .send(Method::POST, &url, body.to_string())
            .await
            .unwrap();
        assert_eq!(job.status, 200, "{}", job.body);
        job.json()["id"].as_str().unwrap().to_owned()
    }

    async fn job(&self, host: usize, job: &str) -> Value {
        let url = format!("{}/v1/batches/{job}", self.hosts[host].url);
        let seen = self.send(Method::GET, &url, String::new()).await;
        seen.filter(|s| s.status == 200)
            .map(|s| s.json())
            .unwrap_or_default()
    }

    async fn check_whole(&self, host: usize, job: &str, items: usize) {
        until(|| async { self.job(host, job).await["status"] == "completed" }).await;
        let ended = self.job(host, job).await;
        assert_eq!(ended["request_counts"]["completed"], items, "{ended}");
        let output = ended["output_file_id"].as_str().unwrap();
        let url = format!("{}/v1/files/{output}/content", self.hosts[host].url);
        let seen = self.send(Method::GET, &url, String::new()).await.unwrap();
        let ids: std::collections::BTreeSet<String> = seen
            .body
            .lines()
            .map(|l| serde_json::from_str::<Value>(l).unwrap()["custom_id"].to_string())
            .collect();
        assert_eq!((seen.body.lines().count(), ids.len()), (items, items));
    }

    async fn until_busy(&self) {
        until(|| async { self.engines.iter().any(|e| e.streams() > 0) }).await;
    }
}

async fn spawn(name: &str, settings: &Value) -> (Process, Listed) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let id: u64 = rand::random();
    let path = dir.join(format!("{name}-{id:x}.json"));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_notchwharfd"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let told: Value = serde_json::from_str(&line).unwrap();
    let listed: Listed = serde_json::from_value(told["listed"].clone()).unwrap();
    let Kind::Entry { url, .. } = &listed.kind else {
        panic!("A host is an entry host.");
    };
    let process = Process {
        child,
        url: url.clone(),
        admin: format!("http://{}", told["admin"].as_str().unwrap()),
    };
    (process, listed)
}

fn signal(process: &Process, name: &str) {
    let pid = process.child.id().unwrap().to_string();
    let sent = std::process::Command::new("kill")
        .args(["-s", name, &pid])
        .status();
    assert!(sent.unwrap().success());
}

async fn until<F, R>(mut so: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let wait = async {
        while !so().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_MAX, wait)
        .await
        .expect("It becomes so within a minute.");
}

#[tokio::test]
async fn a_host_killed_with_items_in_flight_loses_and_doubles_nothing() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::lot("n", 300, TOKENS)).await;
    fleet.until_busy().await;
    fleet.hosts[1].child.start_kill().unwrap();
    fleet.check_whole(0, &job, 300).await;
}

#[tokio::test]
async fn a_job_acknowledged_by_a_host_that_dies_at_once_is_done() {
    let mut fleet = Fleet::start(3).await;
    let job = fleet.submit(2, &fleet::lot("n", 50, TOKENS)).await;
    fleet.hosts[2].child.start_kill().unwrap();
    fleet.check_whole(0, &job, 50).await;
}

#[tokio::test]
async fn a_host_stopped_past_its_lease_does_no_harm_when_it_goes_on() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::lot("n", 300, TOKENS)).await;
    fleet.until_busy().await;
    signal(&fleet.hosts[1], "STOP");
    // Its shards and targets are held by others before it goes on.
    let url = format!("{}/admin/v1/hosts", fleet.hosts[0].admin);
    let held = |seen: Value| {
        let hosts = seen["hosts"].as_array().cloned().unwrap_or_default();
        let shards = hosts
            .iter()
            .filter_map(|h| h["report"]["shards"].as_array());
        shards.map(Vec::len).sum::<usize>() == 6
    };
    until(|| async { fleet.get(&url).await.is_some_and(held) }).await;
    signal(&fleet.hosts[1], "CONT");
    fleet.check_whole(0, &job, 300).await;
    fleet.check_whole(1, &job, 300).await;
}

#[tokio::test]
async fn a_log_that_is_down_and_loses_answers_loses_no_item() {
    let fleet = Fleet::start(3).await;
    let job = fleet.submit(0, &fleet::lot("n", 300, TOKENS)).await;
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
    let job = fleet.submit(0, &fleet::lot("n", 200, TOKENS)).await;
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
    let told = |seen: Option<Seen>| seen.is_none_or(|s| s.status == 503);
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
    let is_ready = |seen: Option<Seen>| seen.is_some_and(|s| s.status == 200);
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
