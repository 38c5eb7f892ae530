//! Stand-in for the platform: log service, host list and weight store.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::log::Appended;
use notchwharf_clients::log::Bounds;
use notchwharf_clients::log::Page;
use notchwharf_clients::log::StoredRecord;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http;
use crate::http::HandlerResult;
use crate::http::ServerHandle;

/// Maximum size of the records in one page.
const PAGE_BYTES_MAX: usize = 4 << 20;
/// Window over which the append rate is limited.
const APPEND_WINDOW: Duration = Duration::from_secs(1);

/// The configuration of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Retention time of log records.
    pub retention: Duration,
    /// Maximum appends per second; more are rejected.
    pub appends_per_s: u32,
    /// Delay after which a change of the host list becomes visible.
    pub list_lag: Duration,
    /// Throughput of the weight store.
    pub weights_bytes_per_s: u64,
    /// Size of each model with its adapter.
    pub weights_bytes: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention: Duration::from_secs(3_600),
            appends_per_s: 600,
            list_lag: Duration::from_millis(500),
            weights_bytes_per_s: 2_000_000_000,
            weights_bytes: 20_000_000,
        }
    }
}

/// The faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the log rejects every call.
    pub log_down: bool,
    /// Latency of each append.
    pub append_ms: u64,
    /// Number of appends that take effect, but whose response is lost.
    pub lose_answers: u32,
    /// Number of appends that are lost before they take effect.
    pub lose_appends: u32,
}

#[derive(Debug, Default)]
struct Log {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
}

#[derive(Debug)]
struct State {
    cfg: Config,
    faults: Faults,
    logs: HashMap<String, Log>,
    /// Start of the current append window, and the appends admitted in it.
    append_window: (Instant, u32),
    appends: u64,
    listed: HashMap<String, ListEntry>,
    /// Changes of the host list that are not yet visible; `None` is a removal.
    changes: VecDeque<(Instant, String, Option<ListEntry>)>,
    weights_available_at: Instant,
}

/// A running platform stand-in. Clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    running: Arc<ServerHandle>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn start(cfg: Config) -> io::Result<Self> {
        let now = Instant::now();
        let listen = cfg.listen;
        let state = State {
            cfg,
            faults: Faults::default(),
            logs: HashMap::new(),
            append_window: (now, 0),
            appends: 0,
            listed: HashMap::new(),
            changes: VecDeque::new(),
            weights_available_at: now,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            appended: Notify::new(),
        });
        let handler = Arc::clone(&shared);
        let running = http::serve(listen, move |req| {
            let shared = Arc::clone(&handler);
            async move { shared.handle(req).await }
        });
        Ok(Self {
            running: Arc::new(running.await?),
            shared,
        })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.running.url()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
        self.shared.appended.notify_waiters();
    }

    /// Adds or updates a host or target in the host list, visible after
    /// [`Config::list_lag`].
    pub fn list(&self, listed: ListEntry) {
        self.shared
            .lock()
            .queue_change(listed.name.clone(), Some(listed));
    }

    /// Removes a host or target from the host list, visible after
    /// [`Config::list_lag`].
    pub fn unlist(&self, name: &str) {
        self.shared.lock().queue_change(name.to_owned(), None);
    }

    /// Returns the number of appends admitted by the rate limit.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }

    /// Returns the retained records of a stream.
    pub fn records(&self, stream: &str) -> Vec<Vec<u8>> {
        let state = self.shared.lock();
        let log = state.logs.get(stream);
        log.map(|log| log.records.iter().map(|(_, data)| data.clone()).collect())
            .unwrap_or_default()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<Incoming>) -> HandlerResult {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&method, &parts[..]) {
            (&Method::POST, ["v1", "streams", stream, "records"]) => {
                let body = http::read_body(req).await?;
                self.append(stream, body.to_vec()).await
            }
            (&Method::GET, ["v1", "streams", stream, "records"]) => self.read(stream, &query).await,
            (&Method::GET, ["v1", "streams", stream]) => self.bounds(stream),
            (&Method::GET, ["v1", "hosts"]) => {
                http::json(StatusCode::OK, &self.lock().current_list())
            }
            (&Method::PUT, ["v1", "hosts"]) => {
                let body = http::read_body(req).await?;
                let Ok(listed) = serde_json::from_slice::<ListEntry>(&body) else {
                    return http::empty(StatusCode::BAD_REQUEST);
                };
                self.lock().queue_change(listed.name.clone(), Some(listed));
                http::empty(StatusCode::NO_CONTENT)
            }
            (&Method::DELETE, ["v1", "hosts", name]) => {
                self.lock().queue_change((*name).to_owned(), None);
                http::empty(StatusCode::NO_CONTENT)
            }
            (&Method::GET, ["v1", "weights", ..]) => self.weights().await,
            (&Method::PUT, ["v1", "faults"]) => {
                let body = http::read_body(req).await?;
                let Ok(faults) = serde_json::from_slice(&body) else {
                    return http::empty(StatusCode::BAD_REQUEST);
                };
                self.lock().faults = faults;
                http::empty(StatusCode::NO_CONTENT)
            }
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn append(&self, stream: &str, data: Vec<u8>) -> HandlerResult {
        let faults = self.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.append_ms)).await;
        if faults.log_down || !self.lock().admit_append() {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let take_fault = |count: &mut u32| {
            let is_faulty = *count > 0;
            *count = count.saturating_sub(1);
            is_faulty
        };
        let (offset, is_response_lost) = {
            let mut state = self.lock();
            if take_fault(&mut state.faults.lose_appends) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            (
                state.append_record(stream, data),
                take_fault(&mut state.faults.lose_answers),
            )
        };
        self.appended.notify_waiters();
        if is_response_lost {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        http::json(StatusCode::OK, &Appended { offset })
    }

    async fn read(&self, stream: &str, query: &str) -> HandlerResult {
        let from = http::query_param(query, "from").unwrap_or(0);
        let max = http::query_param(query, "max").unwrap_or(1_000);
        let wait = Duration::from_millis(http::query_param(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            {
                let mut state = self.lock();
                if state.faults.log_down {
                    return http::empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                let page = state.page(stream, from, max);
                if from < page.first {
                    return http::empty(StatusCode::GONE);
                }
                if !page.records.is_empty() || Instant::now() >= deadline {
                    return http::json(StatusCode::OK, &page);
                }
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    fn bounds(&self, stream: &str) -> HandlerResult {
        let mut state = self.lock();
        if state.faults.log_down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let page = state.page(stream, u64::MAX, 0);
        let (first, next) = (page.first, page.next);
        http::json(StatusCode::OK, &Bounds { first, next })
    }

    async fn weights(&self) -> HandlerResult {
        let finished_at = self.lock().schedule_weights_download();
        tokio::time::sleep_until(finished_at).await;
        http::empty(StatusCode::OK)
    }
}

impl State {
    fn admit_append(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.append_window.0) >= APPEND_WINDOW {
            self.append_window = (now, 0);
        }
        if self.append_window.1 >= self.cfg.appends_per_s {
            return false;
        }
        self.append_window.1 += 1;
        self.appends += 1;
        true
    }

    fn append_record(&mut self, stream: &str, data: Vec<u8>) -> u64 {
        let log = self.logs.entry(stream.to_owned()).or_default();
        log.records.push_back((Instant::now(), data));
        log.first + log.records.len() as u64 - 1
    }

    fn page(&mut self, stream: &str, from: u64, max: u64) -> Page {
        let retention = self.cfg.retention;
        let log = self.logs.entry(stream.to_owned()).or_default();
        while log
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() >= retention)
        {
            log.records.pop_front();
            log.first += 1;
        }
        let first = log.first;
        let next = first + log.records.len() as u64;
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let mut len = 0;
        let records = log
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(max)
            .take_while(|(_, (_, data))| {
                let fits = len == 0 || len + data.len() <= PAGE_BYTES_MAX;
                len += data.len();
                fits
            })
            .map(|(i, (_, data))| StoredRecord::new(first + i as u64, data))
            .collect();
        Page {
            first,
            next,
            records,
        }
    }

    fn queue_change(&mut self, name: String, listed: Option<ListEntry>) {
        self.changes.push_back((Instant::now(), name, listed));
    }

    fn current_list(&mut self) -> Vec<ListEntry> {
        let lag = self.cfg.list_lag;
        while self
            .changes
            .front()
            .is_some_and(|(at, _, _)| at.elapsed() >= lag)
        {
            let Some((_, name, listed)) = self.changes.pop_front() else {
                break;
            };
            match listed {
                Some(listed) => self.listed.insert(name, listed),
                None => self.listed.remove(&name),
            };
        }
        self.listed.values().cloned().collect()
    }

    fn schedule_weights_download(&mut self) -> Instant {
        let duration_s = self.cfg.weights_bytes as f64 / self.cfg.weights_bytes_per_s as f64;
        let start = self.weights_available_at.max(Instant::now());
        self.weights_available_at = start + Duration::from_secs_f64(duration_s);
        self.weights_available_at
    }
}
