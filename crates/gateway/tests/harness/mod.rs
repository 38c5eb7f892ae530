//! Runs complete hosts against a scripted store and scripted targets.
//!
//! Hosts are real and communicate over loopback; this module implements their ports, with the
//! failures that a test scripts. Tests poll for a condition instead of sleeping for a fixed
//! time.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "Each test binary uses a part of it."
)]

mod ports;
pub mod store;
pub mod targets;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use notchwharf_config::access;
use notchwharf_config::access::KeyError;
use notchwharf_config::access::Workspace;
use notchwharf_config::gateway;
use notchwharf_config::gateway::Settings;
use notchwharf_config::routes::JobPolicy;
use notchwharf_config::routes::Kind;
use notchwharf_config::routes::Limits;
use notchwharf_config::routes::Route;
use notchwharf_config::routes::Service;
use notchwharf_config::routes::Share;
use notchwharf_config::routes::Table;
use notchwharf_gateway::context::Context;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;
use notchwharf_gateway::jobs::ItemResult;
use notchwharf_gateway::jobs::PayloadItem;
use notchwharf_gateway::jobs::Submission;
use notchwharf_gateway::lifecycle::Host;
use notchwharf_gateway::online;
use notchwharf_gateway::online::Resumption;
use notchwharf_gateway::ports::Decode;
use notchwharf_gateway::ports::DecodeError;
use notchwharf_gateway::ports::ForwardedRequest;
use notchwharf_gateway::ports::Ports;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::prompt::part_id;

pub use self::ports::free_addr;
use self::store::ScriptedStore;
use self::targets::ScriptedTargets;

/// Timeout of [`wait_until`] and [`RunningHost::results`].
pub const WAIT_MAX: Duration = Duration::from_secs(20);
/// The `Host` of requests.
pub const HOST: &str = "a.example";
/// The header that carries the caller's key.
pub const KEY_HEADER: &str = "x-key";
/// The header that carries the workspace to targets.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// The header that lists the parts of a prompt; the last one is the request's own.
pub const PARTS_HEADER: &str = "x-parts";
/// Path prefix of the route of resumable streams.
pub const RESUMABLE: &str = "/resumable/";
/// Path prefix of the route of streams that cannot be resumed.
pub const NON_RESUMABLE: &str = "/once/";
/// Path prefix of the route of streams that only their callers resume.
pub const NON_RETRIED: &str = "/resumed-by-caller/";
/// Path prefix of the route of streams with an objective for the first event.
pub const WITH_OBJECTIVE: &str = "/timely/";
/// Objective of that route: many times what a busy machine takes.
pub const OBJECTIVE: Duration = Duration::from_secs(3);
/// Path prefix of the route of jobs.
pub const JOBS: &str = "/jobs/";
/// Limit on waiting tokens of the route of jobs.
pub const TOKENS_MAX: u64 = 1_000;
/// Time after which an item may be abandoned.
pub const ABANDON_AFTER: Duration = Duration::from_millis(1_500);
/// Timeout of streams that cannot be resumed.
pub const NON_RESUMABLE_TIMEOUT: Duration = Duration::from_millis(600);

/// The store and the targets that the hosts of a test share.
#[derive(Clone, Default)]
pub struct Harness {
    pub store: ScriptedStore,
    pub targets: ScriptedTargets,
}

impl Harness {
    /// Creates a harness with a configuration and targets of two slots each.
    pub fn new(targets: &[&str]) -> Self {
        let harness = Self::default();
        harness.configure(1, true);
        for target in targets {
            harness.store.put_target(target, "up");
        }
        harness
    }

    /// Writes a configuration; without jobs it has no route for them.
    pub fn configure(&self, version: u64, with_jobs: bool) {
        self.store.put_config(&format!("{version} {with_jobs}"));
    }

    /// Writes a configuration whose jobs are not abandoned within a test.
    pub fn configure_lasting_jobs(&self, version: u64) {
        self.store.put_config(&format!("{version} lasting"));
    }

    /// Writes a configuration in which requests are identified by the keys of workspaces.
    pub fn configure_keys(&self, version: u64, keys: &[(&str, &str)]) {
        let keys = keys
            .iter()
            .map(|(key, workspace)| format!("{key}={workspace}"));
        let keys: Vec<String> = keys.collect();
        self.store
            .put_config(&format!("{version} true {}", keys.join(",")));
    }

    /// Starts a host.
    pub async fn start(&self, name: &str) -> RunningHost {
        self.start_with(name, |_| {}).await
    }

    /// Starts a host with other settings.
    pub async fn start_with(&self, name: &str, change: impl FnOnce(&mut Settings)) -> RunningHost {
        self.start_with_store(name, self.store.clone(), change)
            .await
    }

    /// Starts a host that reaches the store through another connection.
    pub async fn start_with_store(
        &self,
        name: &str,
        store: ScriptedStore,
        change: impl FnOnce(&mut Settings),
    ) -> RunningHost {
        let text = format!(r#"{{"host": {{"name": "{name}", "data_centre": "d"}}}}"#);
        let mut settings = gateway::parse(text.as_bytes()).unwrap();
        settings.host.peer_listen = free_addr();
        settings.store.poll_ms = 20;
        settings.peers.beat_ms = 20;
        settings.peers.down_ms = 200;
        settings.shutdown.notice_ms = 0;
        settings.shutdown.drain_timeout_ms = 5_000;
        settings.batch.stall_ms = 300;
        settings.online.stall_ms = 300;
        change(&mut settings);
        let ports = Ports {
            store: store.port(),
            targets: self.targets.port(),
            decode: Decode {
                config: decode_config,
                evacuation: |key| key.strip_prefix("evacuate/"),
                target: decode_target,
                size: |_| Size::default(),
                caller: |_| b"",
                parts: shared_parts,
                key: parse_key,
                set_workspace,
            },
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let host = Host::start(settings, ports, logger).await.unwrap();
        RunningHost { host }
    }

    /// Starts a host and waits until it serves.
    pub async fn start_ready(&self, name: &str) -> RunningHost {
        let running = self.start(name).await;
        running.wait_ready().await;
        running
    }
}

/// A running host.
pub struct RunningHost {
    host: Host,
}

impl RunningHost {
    pub fn ctx(&self) -> &Arc<Context> {
        self.host.context()
    }

    pub async fn shut_down(self) -> bool {
        self.host.shut_down().await
    }

    /// Stops the host without a graceful shutdown.
    pub fn kill(self) {
        use notchwharf_listen::Phase;
        self.ctx().phase.send_replace(Phase::Stopped);
    }

    pub async fn wait_ready(&self) {
        wait_until("the host serves", || {
            let ctx = self.ctx();
            ctx.table().is_some() && ctx.journal.is_loaded() && ctx.targets_known() > 0
        })
        .await;
    }

    /// Sends a request and returns the response.
    pub async fn send(&self, path: &str, id: &str) -> Result<Response, Failure> {
        self.send_request(request(path, id)).await
    }

    /// Resumes the stream that a request has begun, after an event, and returns the response.
    pub async fn resume(
        &self,
        path: &str,
        id: &str,
        stream: &str,
        last_event: u64,
    ) -> Result<Response, Failure> {
        self.send_request(resumption(path, id, stream, last_event))
            .await
    }

    pub async fn send_request(&self, req: online::Request) -> Result<Response, Failure> {
        let response = online::serve(self.ctx(), req, Instant::now()).await?;
        let body = response.body.collect().await;
        Ok(Response {
            status: response.status,
            headers: response.headers,
            body: body.ok().map(http_body_util::Collected::to_bytes),
        })
    }

    /// Sends a request with a key and returns the response.
    pub async fn send_with_key(&self, key: &str, id: &str) -> Result<Response, Failure> {
        self.send_to_with_key(NON_RESUMABLE, key, id).await
    }

    /// Sends a request with a key to a route and returns the response.
    pub async fn send_to_with_key(
        &self,
        path: &str,
        key: &str,
        id: &str,
    ) -> Result<Response, Failure> {
        let mut req = request(path, id);
        let value = format!("Key {key}").parse().unwrap();
        req.forwarded.headers.insert(KEY_HEADER, value);
        self.send_request(req).await
    }

    /// Sends a request with a body and returns the response.
    pub async fn send_with_body(
        &self,
        path: &str,
        id: &str,
        body: &str,
    ) -> Result<Response, Failure> {
        let mut req = request(path, id);
        req.forwarded.body = Bytes::from(body.to_owned());
        self.send_request(req).await
    }

    /// Sends a request with a prompt of the given parts and returns the response. Its body is
    /// its id.
    pub async fn send_with_parts(
        &self,
        path: &str,
        id: &str,
        parts: &str,
    ) -> Result<Response, Failure> {
        let mut req = request(path, id);
        req.forwarded.body = Bytes::from(id.to_owned());
        let parts = parts.parse().unwrap();
        req.forwarded.headers.insert(PARTS_HEADER, parts);
        self.send_request(req).await
    }

    pub async fn submit(&self, job: &str, items: u32, tokens: u32) -> Result<(), JobError> {
        jobs::submit(self.ctx(), submission(job, items, tokens)).await
    }

    /// Waits until a job has this many results and returns all of them.
    pub async fn results(&self, job: &str, count: usize) -> Vec<ItemResult> {
        let started = Instant::now();
        loop {
            let read = jobs::read_results(self.ctx(), job, 0, Duration::from_millis(200)).await;
            if let Ok(read) = &read
                && read.results.len() >= count
            {
                return read.results.clone();
            }
            // A read that finds results returns at once.
            tokio::time::sleep(Duration::from_millis(2)).await;
            let took = started.elapsed();
            assert!(took < WAIT_MAX, "{count} results of {job}: {read:?}");
        }
    }
}

/// Starts two hosts: one with a store connection of its own, which the test can close, and
/// one whose connection stays open. Returns the first with its connection, and the second.
pub async fn start_two_hosts(harness: &Harness) -> (RunningHost, ScriptedStore, RunningHost) {
    let connection = harness.store.connection();
    let closable = harness
        .start_with_store("a1", connection.clone(), |_| {})
        .await;
    closable.wait_ready().await;
    let open = harness.start_ready("a2").await;
    wait_until("the hosts have discovered each other", || {
        closable.ctx().peers_alive() == 1 && open.ctx().peers_alive() == 1
    })
    .await;
    (closable, connection, open)
}

/// Closes a host's store connection and waits until the host has detected it.
pub async fn close_connection(host: &RunningHost, connection: &ScriptedStore) {
    connection.set_closed(true);
    wait_until("the store is unavailable", || !host.ctx().is_store_up()).await;
}

/// A response with its collected body; `None` if the body was interrupted.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<Bytes>,
}

impl Response {
    pub fn text(&self) -> Option<String> {
        let body = self.body.as_ref()?;
        Some(String::from_utf8(body.to_vec()).unwrap())
    }
}

pub fn request(path: &str, id: &str) -> online::Request {
    online::Request {
        forwarded: ForwardedRequest {
            id: id.to_owned(),
            method: Method::POST,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            workspace: None,
        },
        host: HOST.to_owned(),
        deadline: Some(Duration::from_secs(10)),
        affinity: 0,
        resumption: None,
    }
}

/// Returns a request that resumes a stream after an event.
pub fn resumption(path: &str, id: &str, stream: &str, last_event: u64) -> online::Request {
    online::Request {
        resumption: Some(Resumption::Named {
            stream: stream.to_owned(),
            last_event: Some(last_event),
        }),
        ..request(path, id)
    }
}

pub fn submission(job: &str, items: u32, tokens: u32) -> Submission {
    let items = (0..items).map(|number| {
        let spec = ItemSpec {
            id: format!("{job}-{number}"),
            tokens,
        };
        let item = PayloadItem {
            path: format!("{JOBS}{number}"),
            headers: vec![("x-number".into(), number.to_string())],
            body: format!("body of {number}").into_bytes(),
        };
        (spec, item)
    });
    Submission {
        job: job.to_owned(),
        host: HOST.to_owned(),
        path: JOBS.to_owned(),
        items: items.collect(),
    }
}

fn parse_key(headers: &HeaderMap) -> Result<&str, KeyError> {
    let values = headers.get_all(KEY_HEADER).iter();
    access::parse_key("Key", values.map(hyper::header::HeaderValue::as_bytes))
}

fn shared_parts(headers: &HeaderMap) -> Vec<PartId> {
    let prompt = headers.get(PARTS_HEADER).and_then(|v| v.to_str().ok());
    let shared = prompt.and_then(|prompt| prompt.rsplit_once(','));
    let names = shared.map_or("", |(shared, _)| shared).split(',');
    names.filter(|n| !n.is_empty()).map(part_id).collect()
}

fn set_workspace(headers: &mut HeaderMap, workspace: Option<&str>) {
    headers.remove(KEY_HEADER);
    headers.remove(WORKSPACE_HEADER);
    if let Some(workspace) = workspace {
        headers.insert(WORKSPACE_HEADER, workspace.parse().unwrap());
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within [`WAIT_MAX`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_MAX,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn decode_config(key: &str, value: &[u8]) -> Option<Result<Table, DecodeError>> {
    (key == store::CONFIG_KEY).then(|| {
        let text = String::from_utf8_lossy(value);
        let fields: Vec<&str> = text.split(' ').collect();
        let (version, with_jobs, keys) = match fields[..] {
            [version, with_jobs] => (version, with_jobs, None),
            [version, with_jobs, keys] => (version, with_jobs, Some(keys)),
            _ => {
                let detail = text.to_string();
                return Err(DecodeError { detail });
            }
        };
        let mut routes = vec![
            stream(RESUMABLE, true),
            stream(NON_RESUMABLE, false),
            stream(WITH_OBJECTIVE, true),
            stream(NON_RETRIED, true),
        ];
        routes[1].timeout = NON_RESUMABLE_TIMEOUT;
        routes[2].objective = OBJECTIVE;
        routes[3].attempts_max = 1;
        match with_jobs {
            "true" => routes.push(jobs(ABANDON_AFTER)),
            "lasting" => routes.push(jobs(2 * WAIT_MAX)),
            _ => {}
        }
        let version = version.parse().unwrap();
        let services = vec![Service {
            name: "s".into(),
            cold_per_s: Some(4.0),
            ..Service::default()
        }];
        let table = Table::new(version, routes, services, Limits::default());
        Ok(match keys {
            Some(keys) => table.with_workspaces(workspaces(keys)),
            None => table,
        })
    })
}

fn workspaces(keys: &str) -> Vec<Workspace> {
    let pairs = keys.split(',').filter_map(|pair| pair.split_once('='));
    let workspaces = pairs.map(|(key, name)| Workspace {
        name: name.into(),
        keys: vec![key.into()],
        ..Workspace::default()
    });
    workspaces.collect()
}

fn stream(prefix: &str, resumable: bool) -> Route {
    Route {
        name: prefix.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(10),
        attempts_max: if resumable { 3 } else { 1 },
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        resumable,
        ..Route::default()
    }
}

fn jobs(abandon_after: Duration) -> Route {
    Route {
        kind: Kind::Batch,
        attempts_max: 3,
        jobs: JobPolicy {
            tokens_max: Some(TOKENS_MAX),
            abandon_after,
            ..JobPolicy::default()
        },
        ..stream(JOBS, true)
    }
}

fn decode_target(value: &[u8]) -> Result<Spec, DecodeError> {
    let text = String::from_utf8_lossy(value);
    let (state, addr) = text.split_once(' ').unwrap_or((&text, ""));
    let (state, data_centre) = state.split_once('@').unwrap_or((state, "d"));
    let (state, version) = state.split_once('#').unwrap_or((state, "v1"));
    let (state, started) = state.split_once('*').unwrap_or((state, ""));
    let cold_left = match state {
        "cold" => WAIT_MAX,
        _ => Duration::ZERO,
    };
    let spec = Spec {
        service: "s".into(),
        data_centre: data_centre.into(),
        slots: 2,
        cold_left,
        is_leaving: state == "leaving",
        started_unix_ms: started.parse().ok(),
        version: (version != "unknown").then(|| version.to_owned()),
        ..Spec::default()
    };
    Ok(Spec {
        addr: addr.parse().unwrap_or(spec.addr),
        ..spec
    })
}
