//! A fleet of host processes, with stand-ins for platform and targets in the test process.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "Each test binary uses only some of the items."
)]
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::process::Stdio;
use std::time::Duration;

use hyper::Method;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::http::Client;
use notchwharf_config::bundle::Bundle;
use notchwharf_standins::engine;
use notchwharf_standins::engine::Engine;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::school_bundle;
use notchwharf_standins::platform;
use notchwharf_standins::platform::Platform;
use notchwharf_standins::service::Service;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt as _;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// A host running as a separate process.
pub struct Process {
    pub child: Child,
    pub url: String,
    pub admin: String,
}

/// What a host process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// A fleet of host processes, with stand-ins in the test process.
pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub hosts: Vec<Process>,
    pub client: Client,
    machine: Option<Machine>,
    limits: Value,
}

impl Fleet {
    pub async fn start(hosts: usize) -> Self {
        Self::start_on(hosts, None, json!({})).await
    }

    /// Starts a fleet whose hosts may use no more than a machine has, with these limits on requests.
    pub async fn start_on(hosts: usize, machine: Option<Machine>, limits: Value) -> Self {
        let platform = Platform::start(platform::Config {
            list_lag: Duration::from_millis(100),
            ..platform::Config::default()
        });
        let mut fleet = Self {
            platform: platform.await.unwrap(),
            engines: Vec::new(),
            service: Service::start(([127, 0, 0, 1], 0).into()).await.unwrap(),
            hosts: Vec::new(),
            client: Client::new(WAIT_MAX),
            machine,
            limits,
        };
        fleet.platform.list(ListEntry {
            name: "s1".into(),
            data_centre: "dc1".into(),
            incarnation: 1,
            leaving: false,
            kind: Kind::Service {
                url: fleet.service.url(),
                service: "filing".into(),
            },
        });
        for i in 1..=4 {
            fleet.start_engine(&format!("t{i}")).await;
        }
        for i in 1..=hosts {
            fleet.start_host(&format!("a{i}")).await;
        }
        fleet.activate_bundle(&school_bundle("1")).await;
        for host in 0..hosts {
            let url = format!("{}/admin/v1/targets", fleet.hosts[host].admin);
            let is_loaded =
                |response: Value| response.to_string().matches("tutor/-/1").count() == 4;
            wait_until(|| async { fleet.get(&url).await.is_some_and(is_loaded) }).await;
        }
        fleet
    }

    pub async fn start_engine(&mut self, name: &str) {
        let engine = Engine::start(engine::Config::default()).await.unwrap();
        self.platform.list(ListEntry {
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

    pub async fn start_host(&mut self, name: &str) {
        let settings = json!({
            "host": {"name": name, "data_centre": "dc1"},
            "platform": {"log_url": self.platform.url(), "host_list_url": self.platform.url(),
                "poll_ms": 100},
            "lease": {"duration_ms": 1_500, "renew_ms": 400, "landing_ms": 200},
            "ledger": {"shards": 6, "commit_ms": 5},
            "membership": {"probe_ms": 200, "suspect_ms": 500},
            "shutdown": {"notice_ms": 100},
            "limits": self.limits,
        });
        let process = spawn_on(name, &settings, self.machine).await;
        self.platform.list(process.1);
        self.hosts.push(process.0);
    }

    pub async fn get(&self, url: &str) -> Option<Value> {
        self.client.get_json(url).await.ok()
    }

    pub async fn send(&self, method: Method, url: &str, body: String) -> Option<Response> {
        let auth = format!("Bearer {SCHOOL_KEY}");
        let headers = [("authorization", auth.as_str())];
        fleet::send(&self.client, method, url, &headers, body.into())
            .await
            .ok()
    }

    pub async fn activate_bundle(&self, bundle: &Bundle) -> u64 {
        let admin = &self.hosts[0].admin;
        let base = self.get(&format!("{admin}/admin/v1/bundle")).await.unwrap();
        let proposal = json!({"base": base["version"], "author": "ana", "bundle": bundle});
        let url = format!("{admin}/admin/v1/bundle");
        let proposal = self
            .send(Method::POST, &url, proposal.to_string())
            .await
            .unwrap()
            .json();
        let sign_off = json!({"version": proposal["version"], "digest": proposal["digest"],
            "author": "rui"});
        let url = format!("{admin}/admin/v1/sign-off");
        let response = self
            .send(Method::POST, &url, sign_off.to_string())
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        proposal["version"].as_u64().unwrap()
    }

    /// Uploads an input file and creates its job, retrying until the job is accepted.
    pub async fn submit(&self, host: usize, input_file: &str) -> String {
        let form = fleet::upload_form(input_file);
        let auth = format!("Bearer {SCHOOL_KEY}");
        let headers = [
            ("authorization", auth.as_str()),
            ("content-type", fleet::UPLOAD_CONTENT_TYPE),
        ];
        let url = format!("{}/v1/files", self.hosts[host].url);
        let file = fleet::retry_until_final(|| async {
            let form = form.clone().into();
            let sent = fleet::send(&self.client, Method::POST, &url, &headers, form).await;
            sent.unwrap()
        })
        .await;
        assert_eq!(file.status, 200, "{}", file.body);
        let body = json!({"input_file_id": file.json()["id"],
            "endpoint": "/v1/chat/completions", "completion_window": "24h"});
        let url = format!("{}/v1/batches", self.hosts[host].url);
        let job = fleet::retry_until_final(|| async {
            let sent = self.send(Method::POST, &url, body.to_string()).await;
            sent.unwrap()
        })
        .await;
        assert_eq!(job.status, 200, "{}", job.body);
        job.json()["id"].as_str().unwrap().to_owned()
    }

    pub async fn job(&self, host: usize, job: &str) -> Value {
        let url = format!("{}/v1/batches/{job}", self.hosts[host].url);
        let response = self.send(Method::GET, &url, String::new()).await;
        response
            .filter(|r| r.status == 200)
            .map(|r| r.json())
            .unwrap_or_default()
    }

    pub async fn check_results(&self, host: usize, job: &str, items: usize) {
        let wait =
            wait_until_or_timeout(|| async { self.job(host, job).await["status"] == "completed" });
        if !wait.await {
            let response = self.job(host, job).await;
            panic!("the job did not complete within a minute: {response}");
        }
        let ended = self.job(host, job).await;
        assert_eq!(ended["request_counts"]["completed"], items, "{ended}");
        let output = ended["output_file_id"].as_str().unwrap();
        let url = format!("{}/v1/files/{output}/content", self.hosts[host].url);
        let response = self.send(Method::GET, &url, String::new()).await.unwrap();
        let ids: std::collections::BTreeSet<String> = response
            .body
            .lines()
            .map(|l| serde_json::from_str::<Value>(l).unwrap()["custom_id"].to_string())
            .collect();
        assert_eq!((response.body.lines().count(), ids.len()), (items, items));
    }

    pub async fn wait_busy(&self) {
        wait_until(|| async { self.is_busy() }).await;
    }

    /// Waits until engines are busy or a job has completed. Returns whether engines are busy.
    pub async fn wait_busy_or_completed(&self, host: usize, job: &str) -> bool {
        wait_until(|| async {
            self.is_busy() || self.job(host, job).await["status"] == "completed"
        })
        .await;
        self.is_busy()
    }

    fn is_busy(&self) -> bool {
        self.engines.iter().any(|e| e.streams() > 0)
    }
}

pub async fn spawn(name: &str, settings: &Value) -> (Process, ListEntry) {
    spawn_on(name, settings, None).await
}

async fn spawn_on(name: &str, settings: &Value, machine: Option<Machine>) -> (Process, ListEntry) {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let id: u64 = rand::random();
    let path = dir.join(format!("{name}-{id:x}.json"));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut child = command(env!("CARGO_BIN_EXE_notchwharfd"), machine)
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(log_file(&path))
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let started: Value = serde_json::from_str(&line).unwrap();
    let listed: ListEntry = serde_json::from_value(started["listed"].clone()).unwrap();
    let Kind::Host { url, .. } = &listed.kind else {
        panic!("The entry is not of kind host.");
    };
    let process = Process {
        child,
        url: url.clone(),
        admin: format!("http://{}", started["admin"].as_str().unwrap()),
    };
    (process, listed)
}

/// Returns the command that starts a program with the limits of a machine. The shell sets them for
/// the program only, which replaces it.
fn command(program: &str, machine: Option<Machine>) -> Command {
    let Some(machine) = machine else {
        return Command::new(program);
    };
    let mut command = Command::new("sh");
    let kib = machine.memory_bytes >> 10;
    let limits = format!("ulimit -d {kib}; ulimit -n {}", machine.descriptors);
    command
        .arg("-c")
        .arg(format!("{limits}; exec \"$0\" \"$@\""));
    command.arg(program);
    command
}

/// Returns a file next to the settings for the host's log, for the analysis of failures.
fn log_file(settings: &std::path::Path) -> Stdio {
    let log = std::fs::File::create(settings.with_extension("log"));
    Stdio::from(log.unwrap())
}

pub fn signal(process: &Process, name: &str) {
    let pid = process.child.id().unwrap().to_string();
    let sent = std::process::Command::new("kill")
        .args(["-s", name, &pid])
        .status();
    assert!(sent.unwrap().success());
}

pub async fn wait_until<F, R>(condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    assert!(
        wait_until_or_timeout(condition).await,
        "The condition was not met within a minute."
    );
}

/// Waits until a condition is met. Returns whether it was met in time.
async fn wait_until_or_timeout<F, R>(mut condition: F) -> bool
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_MAX, wait).await.is_ok()
}
