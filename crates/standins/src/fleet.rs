//! A complete fleet in one process: platform, engines, a service and hosts.
//!
//! Hosts run as tasks instead of processes, but communicate over the same sockets.
//! A killed host stops without notifying the others.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use hyper::Method;
use hyper::Request;
use notchwharf_clients::error::CallError;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::http;
use notchwharf_clients::http::Client;
use notchwharf_config::bundle;
use notchwharf_config::bundle::Bundle;
use notchwharf_config::settings;
use notchwharf_config::settings::Settings;
use notchwharf_server::Server;
use serde_json::Value;
use serde_json::json;

use crate::engine;
use crate::engine::Engine;
use crate::platform;
use crate::platform::Platform;
use crate::service::ExecutedCall;
use crate::service::Service;

/// The API key of the tenant `school` in [`school_bundle`].
pub const SCHOOL_KEY: &str = "school-key";
/// The API key of the tenant `permits` in [`school_bundle`].
pub const PERMITS_KEY: &str = "permits-key";
const SERVICE_COUNT: usize = 2;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of data centres over which they are distributed.
    pub data_centres: usize,
    /// The configuration of the platform.
    pub platform: platform::Config,
    /// The configuration of each engine.
    pub engine: engine::Config,
    /// JSON that is merged into the settings of every host.
    pub settings: Value,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 4,
            data_centres: 3,
            platform: platform::Config {
                list_lag: Duration::from_millis(100),
                ..platform::Config::default()
            },
            engine: engine::Config::default(),
            settings: json!({}),
        }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The engines, by name.
    pub engines: BTreeMap<String, Engine>,
    /// The targets of a plain service named `filing`.
    pub services: Vec<Service>,
    /// The running hosts, by name.
    pub hosts: BTreeMap<String, Server>,
    cfg: Config,
    client: Client,
}

/// A response as a client receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
    /// The `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// Whether it repeats a stored response (header `Idempotent-Replayed`).
    pub is_replayed: bool,
}

impl Response {
    /// Returns whether the request was rejected without being run and should be
    /// retried later, for example because a lease expired briefly on a busy machine.
    pub fn is_retryable(&self) -> bool {
        let is_not_run = self.json()["error"]["outcome"] == "not-run";
        self.status == 503 && is_not_run && self.retry_after_s.is_some()
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

impl Fleet {
    /// Starts a fleet without a bundle.
    ///
    /// # Panics
    ///
    /// Panics if a component cannot be started.
    pub async fn start(cfg: Config) -> Self {
        let platform = Platform::start(cfg.platform.clone()).await;
        let platform = platform.expect("The platform starts.");
        let listen = ([127, 0, 0, 1], 0).into();
        let mut services = Vec::new();
        for _ in 0..SERVICE_COUNT {
            services.push(Service::start(listen).await.expect("The service starts."));
        }
        let mut fleet = Self {
            platform,
            engines: BTreeMap::new(),
            services,
            hosts: BTreeMap::new(),
            client: Client::new(WAIT_TIMEOUT),
            cfg,
        };
        fleet.list_services();
        for i in 1..=fleet.cfg.engines {
            fleet.start_engine(&format!("t{i}")).await;
        }
        for i in 1..=fleet.cfg.hosts {
            fleet.start_host(&format!("a{i}")).await;
        }
        fleet
    }

    /// Starts a fleet with [`school_bundle`] active and its model loaded everywhere.
    ///
    /// # Panics
    ///
    /// Panics if a component cannot be started or the bundle is not active in time.
    pub async fn ready(cfg: Config) -> Self {
        let fleet = Self::start(cfg).await;
        fleet.activate_bundle(&school_bundle("1")).await;
        fleet.wait_loaded("tutor/-/1").await;
        fleet
    }

    /// Starts an engine and adds it to the host list.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be started.
    pub async fn start_engine(&mut self, name: &str) {
        let cfg = engine::Config {
            weights_url: Some(self.platform.url()),
            ..self.cfg.engine.clone()
        };
        let checks_fencing = cfg.checks_fencing;
        let engine = Engine::start(cfg).await.expect("The engine starts.");
        let url = engine.url();
        self.platform.list(ListEntry {
            name: name.to_owned(),
            data_centre: self.data_centre(name),
            incarnation: 1,
            leaving: false,
            kind: Kind::Engine {
                url,
                checks_fencing,
            },
        });
        self.engines.insert(name.to_owned(), engine);
    }

    /// Starts a host and adds it to the host list.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be started.
    pub async fn start_host(&mut self, name: &str) {
        let settings = self.settings(name);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let server = Server::start(settings, logger).await;
        let server = server.expect("The host starts.");
        self.platform.list(server.listed());
        self.hosts.insert(name.to_owned(), server);
    }

    /// Stops a host at once, without notifying the others.
    pub fn kill_host(&mut self, name: &str) {
        if let Some(server) = self.hosts.remove(name) {
            server.stop();
        }
    }

    /// Drains a host and stops it; returns whether all its work finished in time.
    pub async fn leave_host(&mut self, name: &str) -> bool {
        match self.hosts.remove(name) {
            Some(server) => server.leave().await,
            None => false,
        }
    }

    /// Returns the settings of a host of this fleet.
    ///
    /// # Panics
    ///
    /// Panics if the merged settings are invalid.
    pub fn settings(&self, name: &str) -> Settings {
        let mut text = json!({
            "host": {"name": name, "data_centre": self.data_centre(name)},
            "platform": {"log_url": self.platform.url(), "host_list_url": self.platform.url(),
                "poll_ms": 100},
            "lease": {"duration_ms": 1_500, "renew_ms": 400, "landing_ms": 200},
            "ledger": {"shards": 6, "commit_ms": 5},
            "membership": {"probe_ms": 200, "suspect_ms": 500},
            "shutdown": {"notice_ms": 100},
        });
        merge(&mut text, &self.cfg.settings);
        let parsed = settings::parse(text.to_string().as_bytes());
        parsed.expect("The settings are valid.")
    }

    /// Returns the base URL of a host for clients.
    ///
    /// # Panics
    ///
    /// Panics if the host is not running.
    pub fn url(&self, host: &str) -> String {
        format!("http://{}", self.hosts[host].addrs().listen)
    }

    /// Returns the base URL of a host for operators.
    ///
    /// # Panics
    ///
    /// Panics if the host is not running.
    pub fn admin_url(&self, host: &str) -> String {
        format!("http://{}", self.hosts[host].addrs().admin)
    }

    /// Returns the name of a running host.
    ///
    /// # Panics
    ///
    /// Panics if no host is running.
    pub fn any_host(&self) -> &str {
        self.hosts.keys().next().expect("A host runs.")
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response, Report<CallError>> {
        send(&self.client, method, url, headers, body.into()).await
    }

    /// Proposes a bundle, signs it off, and waits until it is active on every host.
    /// Returns its version.
    ///
    /// # Panics
    ///
    /// Panics if a step fails or takes more than a minute.
    pub async fn activate_bundle(&self, bundle: &Bundle) -> u64 {
        let admin = self.admin_url(self.any_host());
        let current = self.get_json(&format!("{admin}/admin/v1/bundle")).await;
        let proposal = json!({"base": current["version"], "author": "ana", "bundle": bundle});
        let proposed = self
            .post(&format!("{admin}/admin/v1/bundle"), &proposal)
            .await;
        let sign_off = json!({"version": proposed["version"], "digest": proposed["digest"],
            "author": "rui"});
        self.post(&format!("{admin}/admin/v1/sign-off"), &sign_off)
            .await;
        let version = proposed["version"]
            .as_u64()
            .expect("A version is a number.");
        for host in self.hosts.keys() {
            self.wait_until(|fleet| fleet.has_activated(host, version))
                .await;
        }
        version
    }

    /// Waits until every host sees the model with this fingerprint as loaded on
    /// every engine.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than a minute.
    pub async fn wait_loaded(&self, fingerprint: &str) {
        let fingerprint = fingerprint.to_owned();
        for host in self.hosts.keys() {
            self.wait_until(|fleet| fleet.sees_loaded(host, &fingerprint))
                .await;
        }
    }

    /// Polls a condition until it is true.
    ///
    /// # Panics
    ///
    /// Panics if it is not true within a minute.
    pub async fn wait_until<'a, F, R>(&'a self, mut condition: F)
    where
        F: FnMut(&'a Self) -> R,
        R: Future<Output = bool>,
    {
        let polling = async {
            while !condition(self).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
        result.expect("The condition becomes true within a minute.");
    }

    /// Uploads an input file and creates a job from it; returns the ID of the job.
    ///
    /// # Panics
    ///
    /// Panics if either is rejected.
    pub async fn submit(&self, host: &str, key: &str, input_file: &str) -> String {
        let file = retry_until_final(|| self.upload(host, key, input_file)).await;
        assert_eq!(file.status, 200, "{}", file.body);
        let file = file.json();
        let job = retry_until_final(|| self.create_job(host, key, &file["id"])).await;
        assert_eq!(job.status, 200, "{}", job.body);
        job.json()["id"].as_str().unwrap_or_default().to_owned()
    }

    /// Uploads an input file.
    ///
    /// # Panics
    ///
    /// Panics if no response is received.
    pub async fn upload(&self, host: &str, key: &str, input_file: &str) -> Response {
        let url = format!("{}/v1/files", self.url(host));
        let form = upload_form(input_file);
        let auth = format!("Bearer {key}");
        let headers = [
            ("authorization", auth.as_str()),
            ("content-type", UPLOAD_CONTENT_TYPE),
        ];
        let response = self.send(Method::POST, &url, &headers, form).await;
        response.expect("A response is received.")
    }

    /// Creates a job from an uploaded file with the ID `file`.
    ///
    /// # Panics
    ///
    /// Panics if no response is received.
    pub async fn create_job(&self, host: &str, key: &str, file: &Value) -> Response {
        let url = format!("{}/v1/batches", self.url(host));
        let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions",
            "completion_window": "24h"});
        let auth = format!("Bearer {key}");
        let headers = [("authorization", auth.as_str())];
        let response = self.send(Method::POST, &url, &headers, body.to_string());
        response.await.expect("A response is received.")
    }

    /// Waits until a job has ended and returns it.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than a minute.
    pub async fn wait_job_end(&self, key: &str, job: &str) -> Value {
        let is_ended = |response: &Value| {
            response["status"] != "in_progress" && response["status"].is_string()
        };
        self.wait_until(|fleet| async move { is_ended(&fleet.job(key, job).await) })
            .await;
        self.job(key, job).await
    }

    /// Returns a job as its client sees it, or null if it is currently unavailable.
    pub async fn job(&self, key: &str, job: &str) -> Value {
        let url = format!("{}/v1/batches/{job}", self.url(self.any_host()));
        let response = self.get(key, &url).await;
        response
            .filter(|r| r.status == 200)
            .map(|r| r.json())
            .unwrap_or_default()
    }

    /// Returns the lines of a file, parsed as JSON.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be read.
    pub async fn lines(&self, key: &str, file: &str) -> Vec<Value> {
        let url = format!("{}/v1/files/{file}/content", self.url(self.any_host()));
        let response = self.get(key, &url).await.expect("A response is received.");
        assert_eq!(response.status, 200, "{}", response.body);
        let lines = response
            .body
            .lines()
            .map(|l| serde_json::from_str(l).unwrap_or_default());
        lines.collect()
    }

    /// Sends a GET request with an API key; returns `None` if no complete response was
    /// received.
    pub async fn get(&self, key: &str, url: &str) -> Option<Response> {
        let auth = format!("Bearer {key}");
        let headers = [("authorization", auth.as_str())];
        self.send(Method::GET, url, &headers, "").await.ok()
    }

    /// Requests a chat completion.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received.
    pub async fn chat(
        &self,
        host: &str,
        key: &str,
        body: &Value,
    ) -> Result<Response, Report<CallError>> {
        let url = format!("{}/v1/chat/completions", self.url(host));
        let auth = format!("Bearer {key}");
        let headers = [("authorization", auth.as_str())];
        self.send(Method::POST, &url, &headers, body.to_string())
            .await
    }

    /// Fetches JSON from an operator's URL.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be read.
    pub async fn get_json(&self, url: &str) -> Value {
        self.client
            .get_json(url)
            .await
            .expect("A response is received.")
    }

    async fn post(&self, url: &str, body: &Value) -> Value {
        let response = self.send(Method::POST, url, &[], body.to_string()).await;
        let response = response.expect("A response is received.");
        assert_eq!(response.status, 200, "{}", response.body);
        response.json()
    }

    async fn has_activated(&self, host: &str, version: u64) -> bool {
        let url = format!("{}/admin/v1/bundle", self.admin_url(host));
        self.get_json(&url).await["version"] == version
    }

    async fn sees_loaded(&self, host: &str, fingerprint: &str) -> bool {
        let url = format!("{}/admin/v1/targets", self.admin_url(host));
        let response = self.get_json(&url).await;
        let targets = response["targets"].as_array().cloned().unwrap_or_default();
        let loaded = targets.iter().filter(|t| {
            let models = t["holds"].as_array();
            models.is_some_and(|m| m.iter().any(|f| f == fingerprint))
        });
        loaded.count() == self.engines.len()
    }

    /// Returns the calls that the targets of the service executed.
    pub fn executed_calls(&self) -> Vec<ExecutedCall> {
        self.services
            .iter()
            .flat_map(Service::executed_calls)
            .collect()
    }

    fn list_services(&self) {
        for (i, service) in self.services.iter().enumerate() {
            self.platform.list(ListEntry {
                name: format!("s{}", i + 1),
                data_centre: "dc1".into(),
                incarnation: 1,
                leaving: false,
                kind: Kind::Service {
                    url: service.url(),
                    service: "filing".into(),
                },
            });
        }
    }

    fn data_centre(&self, name: &str) -> String {
        let number: usize = name[1..].parse().unwrap_or(0);
        format!("dc{}", number % self.cfg.data_centres.max(1) + 1)
    }
}

/// Returns a bundle with one serving on every engine and two tenants, `school` and
/// `permits`.
pub fn school_bundle(version: &str) -> Bundle {
    let text = json!({
        "servings": [{"name": "hints", "model": "tutor", "version": version, "replicas": 1_000}],
        "tenants": [
            {"name": "school", "servings": ["hints"], "services": ["filing"], "weight": 2,
             "key_sha256": [bundle::key_digest(SCHOOL_KEY)]},
            {"name": "permits", "servings": ["hints"], "services": ["filing"],
             "key_sha256": [bundle::key_digest(PERMITS_KEY)]},
        ],
        "services": [{"name": "filing"}],
    });
    let parsed = bundle::parse(text.to_string().as_bytes());
    parsed.expect("The bundle is valid.")
}

/// Returns an input file of items, each with a unique prompt.
pub fn input_file(name: &str, items: usize, tokens: u32) -> String {
    let line = |i: usize| {
        let body = json!({"model": "hints", "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("{name} {i}")}]});
        let line = json!({"custom_id": format!("{name}-{i}"), "method": "POST",
            "url": "/v1/chat/completions", "body": body});
        format!("{line}\n")
    };
    (0..items).map(line).collect()
}

/// Sends a request until the response is final, retrying as a client should while
/// the response is retryable.
///
/// # Panics
///
/// Panics if there is no final response within a minute.
pub async fn retry_until_final<F, R>(mut send: F) -> Response
where
    F: FnMut() -> R,
    R: Future<Output = Response>,
{
    let retrying = async {
        loop {
            let response = send().await;
            if !response.is_retryable() {
                return response;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, retrying).await;
    result.expect("A final response is received within a minute.")
}

/// The content type of [`upload_form`].
pub const UPLOAD_CONTENT_TYPE: &str = "multipart/form-data; boundary=edge";

/// Returns the form that uploads an input file.
pub fn upload_form(input_file: &str) -> String {
    format!(
        "--edge\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --edge\r\ncontent-disposition: form-data; name=\"file\"; filename=\"lot.jsonl\"\
         \r\n\r\n{input_file}\r\n--edge--\r\n"
    )
}

/// Sends a request and returns the response.
///
/// # Errors
///
/// Returns an error if no complete response was received.
pub async fn send(
    client: &Client,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response, Report<CallError>> {
    use http_body_util::BodyExt as _;
    let mut req: Request<_> = http::request(method, url, body)?;
    for (name, value) in headers {
        let name = hyper::header::HeaderName::try_from(*name);
        let value = hyper::header::HeaderValue::try_from(*value);
        if let (Ok(name), Ok(value)) = (name, value) {
            req.headers_mut().insert(name, value);
        }
    }
    let resp = client.send(req).await?;
    let status = resp.status().as_u16();
    let header = |name: &str| resp.headers().get(name).and_then(|v| v.to_str().ok());
    let retry_after_s = header("retry-after").and_then(|v| v.parse().ok());
    let is_replayed = header("idempotent-replayed").is_some();
    let body = resp.into_body().collect().await;
    let body = body.map_err(|_| Report::new(CallError::Lost))?.to_bytes();
    Ok(Response {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after_s,
        is_replayed,
    })
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}
