//! A scripted store and scripted targets around whole hosts.
//!
//! Hosts are real and speak to one another on loopback; what they meet behind
//! the ports is here, and does what the test says. Nothing sleeps for a fixed
//! time: tests wait until something is so.
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
use notchwharf_gateway::ports::Decode;
use notchwharf_gateway::ports::DecodeError;
use notchwharf_gateway::ports::ForwardedRequest;
use notchwharf_gateway::ports::Ports;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::items::estimate::Size;

pub use self::ports::free_addr;
use self::store::ScriptedStore;
use self::targets::Engines;

/// How long a test waits for something to be so.
pub const WAIT_MAX: Duration = Duration::from_secs(20);
/// The host that requests name.
pub const HOST: &str = "a.example";
/// The header in which requests carry keys.
pub const KEY: &str = "x-key";
/// The header in which targets are told the workspace.
pub const WORKSPACE: &str = "x-workspace";
/// A stream that may be resumed.
pub const RESUMABLE: &str = "/resumable/";
/// A stream that may not.
pub const ONCE: &str = "/once/";
/// A stream whose first event callers hope for within a time.
pub const TIMELY: &str = "/timely/";
/// That time: many times what a busy machine takes.
pub const OBJECTIVE: Duration = Duration::from_secs(3);
/// Jobs.
pub const JOBS: &str = "/jobs/";
/// Tokens that may wait on the route of jobs.
pub const TOKENS_MAX: u64 = 1_000;
/// Time after which an item may be given up.
pub const ABANDON_AFTER: Duration = Duration::from_millis(1_500);
/// The longest time of a stream that may not be resumed.
pub const ONCE_TIMEOUT: Duration = Duration::from_millis(600);

/// What hosts have in common.
#[derive(Clone, Default)]
pub struct World {
    pub store: ScriptedStore,
    pub engines: Engines,
}

impl World {
    /// Returns a world with a configuration and targets of two places each.
    pub fn new(targets: &[&str]) -> Self {
        let world = Self::default();
        world.configure(1, true);
        for target in targets {
            world.store.put_target(target, "up");
        }
        world
    }

    /// Puts a configuration in force; without jobs it has no route for them.
    pub fn configure(&self, version: u64, with_jobs: bool) {
        self.store.put_config(&format!("{version} {with_jobs}"));
    }

    /// Puts a configuration in force in which workspaces have keys, and keys alone help.
    pub fn configure_keys(&self, version: u64, keys: &[(&str, &str)]) {
        let keys = keys
            .iter()
            .map(|(key, workspace)| format!("{key}={workspace}"));
        let keys: Vec<String> = keys.collect();
        self.store
            .put_config(&format!("{version} true {}", keys.join(",")));
    }

    /// Starts a host.
    pub async fn start(&self, name: &str) -> Running {
        self.start_with(name, |_| {}).await
    }

    /// Starts a host with other settings.
    pub async fn start_with(&self, name: &str, change: impl FnOnce(&mut Settings)) -> Running {
        self.start_apart(name, self.store.clone(), change).await
    }

    /// Starts a host that reaches the store through another door.
    pub async fn start_apart(
        &self,
        name: &str,
        store: ScriptedStore,
        change: impl FnOnce(&mut Settings),
    ) -> Running {
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
            targets: self.engines.port(),
            decode: Decode {
                config: decode_config,
                evacuation: |key| key.strip_prefix("evacuate/"),
                target: decode_target,
                size: |_| Size::default(),
                caller: |_| b"",
                key: world_key,
                set_workspace: world_mark,
            },
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let host = Host::start(settings, ports, logger).await.unwrap();
        Running { host }
    }

    /// Starts a host and waits until it serves.
    pub async fn start_ready(&self, name: &str) -> Running {
        let running = self.start(name).await;
        running.until_ready().await;
        running
    }
}

/// A host that runs.
pub struct Running {
    host: Host,
}

impl Running {
    pub fn ctx(&self) -> &Arc<Context> {
        self.host.context()
    }

    pub async fn leave(self) -> bool {
        self.host.leave().await
    }

    /// Ends the host without a word.
    pub fn kill(self) {
        use notchwharf_listen::Phase;
        self.ctx().phase.send_replace(Phase::Stopped);
    }

    pub async fn until_ready(&self) {
        until("the host serves", || {
            let ctx = self.ctx();
            ctx.table().is_some() && ctx.journal.is_loaded() && ctx.targets_known() > 0
        })
        .await;
    }

    /// Sends a request and returns its whole answer.
    pub async fn ask(&self, path: &str, id: &str) -> Result<Whole, Failure> {
        self.send(request(path, id)).await
    }

    async fn send(&self, req: online::Request) -> Result<Whole, Failure> {
        let answer = online::serve(self.ctx(), req, Instant::now()).await?;
        let body = answer.body.collect().await;
        Ok(Whole {
            status: answer.status,
            headers: answer.headers,
            body: body.ok().map(http_body_util::Collected::to_bytes),
        })
    }

    /// Sends a request with a key and returns its whole answer.
    pub async fn ask_as(&self, key: &str, id: &str) -> Result<Whole, Failure> {
        self.ask_at(ONCE, key, id).await
    }

    /// Sends a request with a key to a route and returns its whole answer.
    pub async fn ask_at(&self, path: &str, key: &str, id: &str) -> Result<Whole, Failure> {
        let mut req = request(path, id);
        let value = format!("Key {key}").parse().unwrap();
        req.forward.headers.insert(KEY, value);
        self.send(req).await
    }

    /// Sends a request with a body and returns its whole answer.
    pub async fn ask_with(&self, path: &str, id: &str, body: &str) -> Result<Whole, Failure> {
        let mut req = request(path, id);
        req.forward.body = Bytes::from(body.to_owned());
        self.send(req).await
    }

    pub async fn submit(&self, job: &str, items: u32, tokens: u32) -> Result<(), JobError> {
        jobs::submit(self.ctx(), submission(job, items, tokens)).await
    }

    /// Reads all results of a job once it has so many.
    pub async fn results(&self, job: &str, count: usize) -> Vec<ItemResult> {
        let started = Instant::now();
        loop {
            let read = jobs::read(self.ctx(), job, 0, Duration::from_millis(200)).await;
            if let Ok(read) = &read
                && read.results.len() >= count
            {
                return read.results.clone();
            }
            // A reading that finds something does not wait.
            tokio::time::sleep(Duration::from_millis(2)).await;
            let took = started.elapsed();
            assert!(took < WAIT_MAX, "{count} results of {job}: {read:?}");
        }
    }
}

/// A host whose way to the store can be closed, and one whose way stays open.
pub async fn start_with_a_door(world: &World) -> (Running, ScriptedStore, Running) {
    let door = world.store.door();
    let cut = world.start_apart("a1", door.clone(), |_| {}).await;
    cut.until_ready().await;
    let open = world.start_ready("a2").await;
    until("both know each other", || {
        cut.ctx().peers_alive() == 1 && open.ctx().peers_alive() == 1
    })
    .await;
    (cut, door, open)
}

/// Closes a host's way to the store, and waits until it knows.
pub async fn close(host: &Running, door: &ScriptedStore) {
    door.close(true);
    until("the store is lost", || !host.ctx().is_store_up()).await;
}

/// A whole answer; without a body it broke off.
#[derive(Debug)]
pub struct Whole {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<Bytes>,
}

impl Whole {
    pub fn text(&self) -> Option<String> {
        let body = self.body.as_ref()?;
        Some(String::from_utf8(body.to_vec()).unwrap())
    }
}

pub fn request(path: &str, id: &str) -> online::Request {
    online::Request {
        forward: ForwardedRequest {
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

fn world_key(headers: &HeaderMap) -> Result<&str, KeyError> {
    let values = headers.get_all(KEY).iter();
    access::parse_key("Key", values.map(hyper::header::HeaderValue::as_bytes))
}

fn world_mark(headers: &mut HeaderMap, workspace: Option<&str>) {
    headers.remove(KEY);
    headers.remove(WORKSPACE);
    if let Some(workspace) = workspace {
        headers.insert(WORKSPACE, workspace.parse().unwrap());
    }
}

/// Waits until something is so.
pub async fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < WAIT_MAX, "waited in vain until {what}");
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
            stream(ONCE, false),
            stream(TIMELY, true),
        ];
        routes[1].timeout = ONCE_TIMEOUT;
        routes[2].objective = OBJECTIVE;
        if with_jobs == "true" {
            routes.push(jobs());
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

fn jobs() -> Route {
    Route {
        kind: Kind::Batch,
        attempts_max: 3,
        jobs: JobPolicy {
            tokens_max: Some(TOKENS_MAX),
            abandon_after: ABANDON_AFTER,
            ..JobPolicy::default()
        },
        ..stream(JOBS, true)
    }
}

fn decode_target(value: &[u8]) -> Result<Spec, DecodeError> {
    let text = String::from_utf8_lossy(value);
    let (state, addr) = text.split_once(' ').unwrap_or((&text, ""));
    let (state, data_centre) = state.split_once('@').unwrap_or((state, "d"));
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
        ..Spec::default()
    };
    Ok(Spec {
        addr: addr.parse().unwrap_or(spec.addr),
        ..spec
    })
}
