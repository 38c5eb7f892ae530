//! Stand-in for a target that runs a model engine.
//!
//! The text that it generates depends on prompt, model and version alone, so
//! that a test can tell whether an answer is whole and its own. Prompts that
//! contain [`POISON`] kill it, and prompts that contain [`MALFORMED`] are
//! refused.

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
use notchwharf_clients::target::Held;
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

/// Prompts with this text kill the engine.
pub const POISON: &str = "[poison]";
/// Prompts with this text are refused.
pub const MALFORMED: &str = "[malformed]";

const TOKENS_DEFAULT: u32 = 16;
const LOAD_LAG: Duration = Duration::from_millis(100);

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Speed and memory.
    pub model: model::Config,
    /// What it holds at start.
    pub loaded: Vec<Held>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// The weight store; without one, loads take no time.
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

/// How the stand-in fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// So many streams are cut after their second token.
    pub cut: u32,
    /// So many streams end early with an end mark missing.
    pub short: u32,
    /// So many streams carry another request's id.
    pub crossed: u32,
    /// So many streams repeat each token.
    pub doubled: u32,
    /// So many requests are refused with status 503.
    pub busy: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Twist {
    Cut,
    Short,
    Crossed,
    Doubled,
}

#[derive(Clone, Debug, Deserialize)]
struct Asked {
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
struct Open {
    name: String,
    prompt: String,
    prompt_tokens: u32,
    held: Held,
    twist: Option<Twist>,
    sender: mpsc::UnboundedSender<io::Result<Frame<Bytes>>>,
}

#[derive(Debug)]
struct State {
    model: Model,
    open: HashMap<model::StreamId, Open>,
    next_id: model::StreamId,
    incarnation: u64,
    leaving: bool,
    role: Role,
    holds: Vec<Held>,
    loading: Vec<Held>,
    fence: u64,
    faults: Faults,
    runs: HashMap<String, u32>,
    orders: Vec<Order>,
    told: (u32, u32),
}

#[derive(Debug)]
struct Shared {
    cfg: Config,
    state: Mutex<State>,
    work: Notify,
}

/// A running engine stand-in.
#[derive(Clone, Debug)]
pub struct Engine {
    running: Arc<ServerHandle>,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be listened on.
    pub async fn start(cfg: Config) -> io::Result<Self> {
        let state = State {
            model: Model::new(cfg.model),
            open: HashMap::new(),
            next_id: 1,
            incarnation: 1,
            leaving: false,
            role: Role::Any,
            holds: cfg.loaded.clone(),
            loading: Vec::new(),
            fence: 0,
            faults: Faults::default(),
            runs: HashMap::new(),
            orders: Vec::new(),
            told: (0, 0),
        };
        let listen = cfg.listen;
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
            work: Notify::new(),
        });
        let handler = Arc::clone(&shared);
        let running = http::serve(listen, move |req| {
            let shared = Arc::clone(&handler);
            async move { shared.handle(req).await }
        });
        let running = Arc::new(running.await?);
        tokio::spawn(run(Arc::downgrade(&shared)));
        tokio::spawn(tell(Arc::downgrade(&shared)));
        Ok(Self { running, shared })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.running.url()
    }

    /// Fails from now on as told.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Says that it is leaving.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
    }

    /// Returns how often each prompt was started.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// Returns the orders that were taken.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Cuts all streams, as a crash would.
    pub fn kill_streams(&self) {
        self.shared.lock().die();
    }

    /// Returns how often it has crashed and started again.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().incarnation - 1
    }

    /// Returns the number of streams that run.
    pub fn streams(&self) -> usize {
        self.shared.lock().model.running()
    }
}

/// Returns the text that an engine generates for a prompt.
pub fn expected_text(prompt: &str, held: &Held, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(prompt, held, i)).collect()
}

/// Returns the prompt that messages amount to.
pub fn join_prompt(messages: &[serde_json::Value]) -> String {
    let contents = messages.iter().filter_map(|m| m.get("content")?.as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn token_text(prompt: &str, held: &Held, offset: u32) -> String {
    let seed = format!("{prompt}\u{0}{}\u{0}{offset}", held.fingerprint());
    format!(" w{}", xxh3_64(seed.as_bytes()) % 1_000)
}

/// Runs steps as long as the engine exists.
async fn run(shared: std::sync::Weak<Shared>) {
    loop {
        let Some(engine) = shared.upgrade() else {
            return;
        };
        let took = {
            let mut state = engine.lock();
            (!state.model.is_idle()).then(|| state.model.begin_step())
        };
        let Some(took) = took else {
            let work = engine.work.notified();
            let _ = tokio::time::timeout(Duration::from_secs(1), work).await;
            continue;
        };
        tokio::time::sleep(took).await;
        engine.lock().end_step();
    }
}

/// Refreshes the load that is told, with its lag.
async fn tell(shared: std::sync::Weak<Shared>) {
    let mut ticks = tokio::time::interval(LOAD_LAG);
    loop {
        ticks.tick().await;
        let Some(engine) = shared.upgrade() else {
            return;
        };
        engine.lock().refresh_told();
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
                let name = req.headers().get(target::REQUEST_ID);
                let name = name.and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned();
                let body = http::read_body(req).await?;
                self.chat(name, &body)
            }
            (&Method::POST, ["v1", "requests", name, "cancel"]) => {
                self.lock().cancel(name);
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

    fn chat(&self, name: String, body: &[u8]) -> HandlerResult {
        let Ok(asked) = serde_json::from_slice::<Asked>(body) else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        let prompt = join_prompt(&asked.messages);
        if prompt.contains(MALFORMED) {
            return http::empty(StatusCode::BAD_REQUEST);
        }
        let mut state = self.lock();
        if prompt.contains(POISON) {
            state.die();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if state.faults.busy > 0 {
            state.faults.busy -= 1;
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let held = state.holds.iter().find(|h| h.fingerprint() == asked.model);
        let Some(held) = held.cloned() else {
            return http::empty(StatusCode::NOT_FOUND);
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        state.start(&asked, name, prompt, held, sender);
        let (running, waiting) = state.told;
        drop(state);
        self.work.notify_one();
        let frames = stream::unfold(receiver, |mut receiver| async {
            receiver.recv().await.map(|frame| (frame, receiver))
        });
        let body = BodyExt::boxed(StreamBody::new(frames));
        Response::builder()
            .header("content-type", "text/event-stream")
            .header(target::RUNNING, running)
            .header(target::WAITING, waiting)
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
            Action::Unload(held) => state.holds.retain(|h| *h != held),
            Action::SetRole(role) => state.role = role,
            Action::Load(held) => {
                if !state.holds.contains(&held) && !state.loading.contains(&held) {
                    state.loading.push(held.clone());
                    tokio::spawn(load(Arc::clone(self), held));
                }
            }
        }
        drop(state);
        http::json(StatusCode::OK, &Ack {})
    }
}

async fn load(shared: Arc<Shared>, held: Held) {
    if let Some(url) = &shared.cfg.weights_url {
        let client = Client::new(Duration::from_secs(600));
        let url = format!("{url}/v1/weights/{}", held.model);
        if let Ok(req) = notchwharf_clients::http::request(Method::GET, &url, Bytes::new()) {
            let _ = client.fetch(req).await;
        }
    }
    let mut state = shared.lock();
    state.loading.retain(|h| *h != held);
    state.holds.push(held);
}

impl State {
    fn start(
        &mut self,
        asked: &Asked,
        name: String,
        prompt: String,
        held: Held,
        sender: mpsc::UnboundedSender<io::Result<Frame<Bytes>>>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let done_tokens = asked.resume.as_ref().map_or(0, |r| r.tokens);
        if done_tokens == 0 {
            *self.runs.entry(prompt.clone()).or_default() += 1;
        }
        let prompt_tokens = u32::try_from(prompt.len() / 4 + 1).unwrap_or(u32::MAX);
        let tokens = asked.max_completion_tokens.or(asked.max_tokens);
        self.model.submit(model::Request {
            id,
            prompt_tokens,
            prompt_hash: xxh3_64(prompt.as_bytes()),
            tokens: tokens.unwrap_or(TOKENS_DEFAULT).max(1),
            done_tokens,
        });
        let twist = self.take_twist();
        let open = Open {
            name,
            prompt,
            prompt_tokens,
            held,
            twist,
            sender,
        };
        self.open.insert(id, open);
    }

    fn take_twist(&mut self) -> Option<Twist> {
        let faults = &mut self.faults;
        let kinds = [
            (&mut faults.cut, Twist::Cut),
            (&mut faults.short, Twist::Short),
            (&mut faults.crossed, Twist::Crossed),
            (&mut faults.doubled, Twist::Doubled),
        ];
        for (left, twist) in kinds {
            if *left > 0 {
                *left -= 1;
                return Some(twist);
            }
        }
        None
    }

    fn end_step(&mut self) {
        for token in self.model.end_step() {
            let Some(open) = self.open.get(&token.id) else {
                continue;
            };
            if !open.emit(token) {
                self.open.remove(&token.id);
                self.model.cancel(token.id);
            }
        }
    }

    fn cancel(&mut self, name: &str) {
        let found = self.open.iter().find(|(_, open)| open.name == name);
        if let Some(id) = found.map(|(id, _)| *id) {
            self.model.cancel(id);
            self.open.remove(&id);
        }
    }

    fn die(&mut self) {
        for open in self.open.values() {
            let _ = open.sender.send(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.open.clear();
        self.model.clear();
        self.incarnation += 1;
    }

    fn refresh_told(&mut self) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        self.told = (count(self.model.running()), count(self.model.waiting()));
    }

    fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            leaving: self.leaving,
            role: self.role,
            holds: self.holds.clone(),
            loading: self.loading.clone(),
            running: self.told.0,
            waiting: self.told.1,
        }
    }
}

impl Open {
    /// Sends a token; returns whether the stream goes on.
    fn emit(&self, token: model::Token) -> bool {
        let early = token.offset == 1;
        if self.twist == Some(Twist::Cut) && early {
            let _ = self.sender.send(Err(io::ErrorKind::ConnectionReset.into()));
            return false;
        }
        if self.twist == Some(Twist::Short) && early {
            return false;
        }
        let chunk = self.chunk(token);
        let text = serde_json::to_string(&chunk).unwrap_or_default();
        let mut sent = self.send(&text);
        if self.twist == Some(Twist::Doubled) {
            sent = self.send(&text);
        }
        if token.is_last {
            self.send(target::END);
        }
        sent && !token.is_last
    }

    fn chunk(&self, token: model::Token) -> Chunk {
        let (id, prompt) = match self.twist {
            Some(Twist::Crossed) => (format!("{}-other", self.name), "another prompt"),
            _ => (self.name.clone(), self.prompt.as_str()),
        };
        let completion_tokens = token.offset + 1;
        Chunk {
            id,
            offset_tokens: token.offset,
            tokens: 1,
            system_fingerprint: self.held.fingerprint(),
            choices: vec![Choice {
                index: 0,
                delta: Delta {
                    content: token_text(prompt, &self.held, token.offset),
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
