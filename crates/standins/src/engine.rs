//! Stand-in for a target that runs a model engine.
//!
//! The generated text depends only on prompt, model and version, so that a test can
//! check that a response is complete and belongs to its request. Prompts that
//! contain [`POISON`] crash the engine, and prompts that contain [`MALFORMED`] are
//! rejected.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use notchwharf_clients::http::Client;
use notchwharf_clients::target;
use notchwharf_clients::target::Ack;
use notchwharf_clients::target::Action;
use notchwharf_clients::target::Choice;
use notchwharf_clients::target::Chunk;
use notchwharf_clients::target::Delta;
use notchwharf_clients::target::ModelVersion;
use notchwharf_clients::target::Order;
use notchwharf_clients::target::Resume;
use notchwharf_clients::target::Role;
use notchwharf_clients::target::Status;
use notchwharf_clients::target::Usage;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::http;
use crate::http::HandlerResult;
use crate::http::ServerHandle;
use crate::model;
use crate::model::Model;

/// Prompts that contain this text crash the engine.
pub const POISON: &str = "[poison]";
/// Prompts that contain this text are rejected with status 400.
pub const MALFORMED: &str = "[malformed]";

const DEFAULT_TOKENS: u32 = 16;
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The speed and memory of the engine.
    pub model: model::Config,
    /// The models that are loaded at start.
    pub loaded: Vec<ModelVersion>,
    /// Whether it rejects orders with a stale fencing token.
    pub checks_fencing: bool,
    /// The URL of the weight store. Without one, loading a model takes no time.
    pub weights_url: Option<String>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: model::Config::default(),
            loaded: Vec::new(),
            checks_fencing: true,
            weights_url: None,
        }
    }
}

/// The faults to inject. Each count applies to that many streams or requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Streams whose connection is reset before their second token.
    pub cut: u32,
    /// Streams that end before their second token, without an end marker.
    pub short: u32,
    /// Streams with the ID and the text of another request.
    pub crossed: u32,
    /// Streams that repeat each token.
    pub doubled: u32,
    /// Requests that are rejected with status 503.
    pub busy: u32,
}

/// A fault of one stream, as in [`Faults`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    Cut,
    Short,
    Crossed,
    Doubled,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug)]
struct OpenStream {
    request_id: String,
    prompt: String,
    prompt_tokens: u32,
    /// The model version that generates it.
    model_version: ModelVersion,
    fault: Option<StreamFault>,
    sender: mpsc::UnboundedSender<io::Result<Frame<Bytes>>>,
}

#[derive(Debug)]
struct State {
    model: Model,
    streams: HashMap<model::StreamId, OpenStream>,
    next_id: model::StreamId,
    incarnation: u64,
    is_leaving: bool,
    role: Role,
    loaded: Vec<ModelVersion>,
    loading: Vec<ModelVersion>,
    fence: u64,
    faults: Faults,
    /// Number of requests rejected as in [`Faults::busy`].
    rejections: u32,
    /// Number of starts of each prompt.
    runs: HashMap<String, u32>,
    orders: Vec<Order>,
    /// Running streams and queued requests as of the last load report.
    reported_load: (u32, u32),
}

#[derive(Debug)]
struct Shared {
    cfg: Config,
    state: Mutex<State>,
    work_available: Notify,
}

/// A running engine stand-in. Clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    running: Arc<ServerHandle>,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn start(cfg: Config) -> io::Result<Self> {
        let state = State {
            model: Model::new(cfg.model),
            streams: HashMap::new(),
            next_id: 1,
            incarnation: 1,
            is_leaving: false,
            role: Role::Any,
            loaded: cfg.loaded.clone(),
            loading: Vec::new(),
            fence: 0,
            faults: Faults::default(),
            rejections: 0,
            runs: HashMap::new(),
            orders: Vec::new(),
            reported_load: (0, 0),
        };
        let listen = cfg.listen;
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
            work_available: Notify::new(),
        });
        let handler = Arc::clone(&shared);
        let running = http::serve(listen, move |req| {
            let shared = Arc::clone(&handler);
            async move { shared.handle(req).await }
        });
        let running = Arc::new(running.await?);
        tokio::spawn(run_steps(Arc::downgrade(&shared)));
        tokio::spawn(run_load_reports(Arc::downgrade(&shared)));
        Ok(Self { running, shared })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.running.url()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Reports from now on that the engine is leaving.
    pub fn leave(&self) {
        self.shared.lock().is_leaving = true;
    }

    /// Returns how often each prompt was started from its first token.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests that were rejected as in [`Faults::busy`].
    pub fn rejections(&self) -> u32 {
        self.shared.lock().rejections
    }

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Resets all streams and clears the state, as in a crash.
    pub fn kill_streams(&self) {
        self.shared.lock().crash();
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().incarnation - 1
    }

    /// Returns the number of running streams.
    pub fn streams(&self) -> usize {
        self.shared.lock().model.running()
    }
}

/// Returns the text that an engine generates for a prompt.
pub fn expected_text(prompt: &str, model_version: &ModelVersion, tokens: u32) -> String {
    (0..tokens)
        .map(|i| token_text(prompt, model_version, i))
        .collect()
}

/// Returns the prompt that consists of the contents of all messages.
pub fn join_prompt(messages: &[serde_json::Value]) -> String {
    let contents = messages.iter().filter_map(|m| m.get("content")?.as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn token_text(prompt: &str, model_version: &ModelVersion, offset: u32) -> String {
    let seed = format!("{prompt}\u{0}{}\u{0}{offset}", model_version.fingerprint());
    format!(" w{}", xxh3_64(seed.as_bytes()) % 1_000)
}

/// Runs steps until the engine is dropped.
async fn run_steps(shared: std::sync::Weak<Shared>) {
    loop {
        let Some(engine) = shared.upgrade() else {
            return;
        };
        let duration = {
            let mut state = engine.lock();
            (!state.model.is_idle()).then(|| state.model.begin_step())
        };
        let Some(duration) = duration else {
            let notified = engine.work_available.notified();
            let _ = tokio::time::timeout(Duration::from_secs(1), notified).await;
            continue;
        };
        tokio::time::sleep(duration).await;
        engine.lock().end_step();
    }
}

/// Updates the reported load periodically, so that it lags behind the actual load.
async fn run_load_reports(shared: std::sync::Weak<Shared>) {
    let mut ticks = tokio::time::interval(LOAD_REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(engine) = shared.upgrade() else {
            return;
        };
        engine.lock().refresh_reported_load();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: &Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&method, &parts[..]) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                let request_id = req.headers().get(target::REQUEST_ID_HEADER);
                let request_id = request_id
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or("-")
                    .to_owned();
                let body = http::read_body(req).await?;
                self.chat(request_id, &body)
            }
            (&Method::POST, ["v1", "requests", request_id, "cancel"]) => {
                self.lock().cancel(request_id);
                http::json(StatusCode::OK, &Ack {})
            }
            (&Method::GET, ["v1", "status"]) => http::json(StatusCode::OK, &self.lock().status()),
            (&Method::POST, ["v1", "orders"]) => {
                let body = http::read_body(req).await?;
                let Ok(order) = serde_json::from_slice(&body) else {
                    return http::empty(StatusCode::BAD_REQUEST);
                };
                self.order(order)
            }
            (&Method::PUT, ["v1", "faults"]) => {
                let body = http::read_body(req).await?;
                let Ok(faults) = serde_json::from_slice(&body) else {
                    return http::empty(StatusCode::BAD_REQUEST);
                };
                self.lock().faults = faults;
                http::empty(StatusCode::NO_CONTENT)
            }
            (&Method::GET, ["v1", "runs"]) => http::json(StatusCode::OK, &self.lock().runs),
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    fn chat(&self, request_id: String, body: &[u8]) -> HandlerResult {
        let Ok(request) = serde_json::from_slice::<ChatRequest>(body) else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        let prompt = join_prompt(&request.messages);
        if prompt.contains(MALFORMED) {
            return http::empty(StatusCode::BAD_REQUEST);
        }
        let mut state = self.lock();
        if prompt.contains(POISON) {
            state.crash();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if state.faults.busy > 0 {
            state.faults.busy -= 1;
            state.rejections += 1;
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let model_version = state
            .loaded
            .iter()
            .find(|v| v.fingerprint() == request.model);
        let Some(model_version) = model_version.cloned() else {
            return http::empty(StatusCode::NOT_FOUND);
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        state.start(&request, request_id, prompt, model_version, sender);
        let (running, waiting) = state.reported_load;
        drop(state);
        self.work_available.notify_one();
        let frames = stream::unfold(receiver, |mut receiver| async {
            receiver.recv().await.map(|frame| (frame, receiver))
        });
        let body = BodyExt::boxed(StreamBody::new(frames));
        Response::builder()
            .header("content-type", "text/event-stream")
            .header(target::RUNNING_HEADER, running)
            .header(target::WAITING_HEADER, waiting)
            .body(body)
            .map_err(io::Error::other)
    }

    fn order(self: &Arc<Self>, order: Order) -> HandlerResult {
        let mut state = self.lock();
        if self.cfg.checks_fencing && order.fence < state.fence {
            return http::empty(StatusCode::CONFLICT);
        }
        state.fence = state.fence.max(order.fence);
        state.orders.push(order.clone());
        match order.action {
            Action::Unload(model_version) => state.loaded.retain(|v| *v != model_version),
            Action::SetRole(role) => state.role = role,
            Action::Load(model_version) => {
                if !state.loaded.contains(&model_version) && !state.loading.contains(&model_version)
                {
                    state.loading.push(model_version.clone());
                    tokio::spawn(load_model(Arc::clone(self), model_version));
                }
            }
        }
        drop(state);
        http::json(StatusCode::OK, &Ack {})
    }
}

async fn load_model(shared: Arc<Shared>, model_version: ModelVersion) {
    if let Some(url) = &shared.cfg.weights_url {
        let client = Client::new(Duration::from_secs(600));
        let url = format!("{url}/v1/weights/{}", model_version.model);
        if let Ok(req) = notchwharf_clients::http::request(Method::GET, &url, Bytes::new()) {
            let _ = client.fetch(req).await;
        }
    }
    let mut state = shared.lock();
    state.loading.retain(|v| *v != model_version);
    state.loaded.push(model_version);
}

impl State {
    fn start(
        &mut self,
        request: &ChatRequest,
        request_id: String,
        prompt: String,
        model_version: ModelVersion,
        sender: mpsc::UnboundedSender<io::Result<Frame<Bytes>>>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let done_tokens = request.resume.as_ref().map_or(0, |r| r.tokens);
        if done_tokens == 0 {
            *self.runs.entry(prompt.clone()).or_default() += 1;
        }
        let prompt_tokens = u32::try_from(prompt.len() / 4 + 1).unwrap_or(u32::MAX);
        let tokens = request.max_completion_tokens.or(request.max_tokens);
        self.model.submit(model::Request {
            id,
            prompt_tokens,
            prompt_hash: xxh3_64(prompt.as_bytes()),
            tokens: tokens.unwrap_or(DEFAULT_TOKENS).max(1),
            done_tokens,
        });
        let fault = self.next_stream_fault();
        let stream = OpenStream {
            request_id,
            prompt,
            prompt_tokens,
            model_version,
            fault,
            sender,
        };
        self.streams.insert(id, stream);
    }

    fn next_stream_fault(&mut self) -> Option<StreamFault> {
        let faults = &mut self.faults;
        let counters = [
            (&mut faults.cut, StreamFault::Cut),
            (&mut faults.short, StreamFault::Short),
            (&mut faults.crossed, StreamFault::Crossed),
            (&mut faults.doubled, StreamFault::Doubled),
        ];
        for (remaining, fault) in counters {
            if *remaining > 0 {
                *remaining -= 1;
                return Some(fault);
            }
        }
        None
    }

    fn end_step(&mut self) {
        for token in self.model.end_step() {
            let Some(stream) = self.streams.get(&token.id) else {
                continue;
            };
            if !stream.emit(token) {
                self.streams.remove(&token.id);
                self.model.cancel(token.id);
            }
        }
    }

    fn cancel(&mut self, request_id: &str) {
        let found = self
            .streams
            .iter()
            .find(|(_, stream)| stream.request_id == request_id);
        if let Some(id) = found.map(|(id, _)| *id) {
            self.model.cancel(id);
            self.streams.remove(&id);
        }
    }

    fn crash(&mut self) {
        for stream in self.streams.values() {
            let _ = stream
                .sender
                .send(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.streams.clear();
        self.model.clear();
        self.incarnation += 1;
    }

    fn refresh_reported_load(&mut self) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        self.reported_load = (count(self.model.running()), count(self.model.waiting()));
    }

    fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            leaving: self.is_leaving,
            role: self.role,
            holds: self.loaded.clone(),
            loading: self.loading.clone(),
            running: self.reported_load.0,
            waiting: self.reported_load.1,
        }
    }
}

impl OpenStream {
    /// Sends a token; returns whether the stream continues.
    fn emit(&self, token: model::Token) -> bool {
        let is_second = token.offset == 1;
        if self.fault == Some(StreamFault::Cut) && is_second {
            let _ = self.sender.send(Err(io::ErrorKind::ConnectionReset.into()));
            return false;
        }
        if self.fault == Some(StreamFault::Short) && is_second {
            return false;
        }
        let chunk = self.chunk(token);
        let text = serde_json::to_string(&chunk).unwrap_or_default();
        let mut is_sent = self.send(&text);
        if self.fault == Some(StreamFault::Doubled) {
            is_sent = self.send(&text);
        }
        if token.is_last {
            self.send(target::END_MARKER);
        }
        is_sent && !token.is_last
    }

    fn chunk(&self, token: model::Token) -> Chunk {
        let (id, prompt) = match self.fault {
            Some(StreamFault::Crossed) => (format!("{}-other", self.request_id), "another prompt"),
            _ => (self.request_id.clone(), self.prompt.as_str()),
        };
        let completion_tokens = token.offset + 1;
        Chunk {
            id,
            offset_tokens: token.offset,
            tokens: 1,
            system_fingerprint: self.model_version.fingerprint(),
            choices: vec![Choice {
                index: 0,
                delta: Delta {
                    content: token_text(prompt, &self.model_version, token.offset),
                },
                finish_reason: token.is_last.then(|| "stop".to_owned()),
            }],
            usage: token.is_last.then_some(Usage {
                prompt_tokens: self.prompt_tokens,
                completion_tokens,
                total_tokens: self.prompt_tokens + completion_tokens,
            }),
        }
    }

    fn send(&self, data: &str) -> bool {
        let frame = Frame::data(Bytes::from(format!("data: {data}\n\n")));
        self.sender.send(Ok(frame)).is_ok()
    }
}
