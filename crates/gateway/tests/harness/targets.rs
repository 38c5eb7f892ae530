//! Targets whose responses and crashes are scripted by the test.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::stream;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Frame;
use notchwharf_gateway::ports::Call;
use notchwharf_gateway::ports::NoReply;
use notchwharf_gateway::ports::Presence;
use notchwharf_gateway::ports::Reply;
use notchwharf_gateway::ports::Targets;

use super::PARTS_HEADER;

/// Number of events in a complete response.
pub const EVENTS: u64 = 6;

/// Time for which a target runs a request before it crashes: many times what an update takes
/// between hosts. Real targets ran such requests ten times as long.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// How a target handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Runs the request.
    Run,
    /// Sends this many events, then ends the response in the middle of the next one.
    BreakAfter(u64),
    /// Sends this many events, then nothing more.
    HangAfter(u64),
    /// Never responds.
    Hang,
    /// Responds with a status and an empty body.
    Status(u16),
    /// Omits an event.
    SkipAt(u64),
    /// Runs the request and sends the complete response in one frame.
    SingleFrame,
    /// The same with lines that end in carriage return and line feed.
    CrLf,
    /// Responds with a single event that has this text.
    Text(&'static str),
    /// Responds successfully without a signature.
    Unsigned,
    /// Crashes once the response has started.
    Crash,
    /// Crashes after the first event, which looks like the end of a response without a length.
    CrashAtEventEnd,
    /// Fails without a response.
    NoReply(NoReply),
}

#[derive(Default)]
struct State {
    by_target: HashMap<String, VecDeque<Action>>,
    by_request: HashMap<String, VecDeque<Action>>,
    /// The target and the request of each run, and the event after which it resumed.
    runs: Vec<(String, String, Option<u64>)>,
    /// Current runs by target and request.
    active: HashMap<(String, String), usize>,
    is_held: bool,
    are_heads_held: bool,
    /// Number of events sent by request.
    events_sent: HashMap<String, u64>,
    /// Bodies of requests that crash a target once its response has started.
    crashing_bodies: HashSet<Bytes>,
    /// Parts of prompts that do the same.
    crashing_parts: HashSet<String>,
    /// Targets that crashed and have not been restarted.
    down: HashSet<String>,
    /// Number of crashes by target.
    crashes: HashMap<String, u32>,
    /// Number of calls by request, including those to targets that are down.
    calls: HashMap<String, u32>,
}

/// All targets.
#[derive(Clone, Default)]
pub struct ScriptedTargets {
    state: Arc<Mutex<State>>,
}

/// Counts a run as active until its response is dropped.
struct Active {
    targets: ScriptedTargets,
    key: (String, String),
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut state = self.targets.state.lock().unwrap();
        *state.active.entry(self.key.clone()).or_default() -= 1;
    }
}

impl ScriptedTargets {
    /// Sets how a target handles its next requests.
    pub fn script(&self, target: &str, actions: &[Action]) {
        let actions = actions.iter().copied().collect();
        self.state
            .lock()
            .unwrap()
            .by_target
            .insert(target.into(), actions);
    }

    /// Sets how targets handle the next attempts of a request.
    pub fn script_request(&self, request: &str, actions: &[Action]) {
        let actions = actions.iter().copied().collect();
        self.state
            .lock()
            .unwrap()
            .by_request
            .insert(request.into(), actions);
    }

    /// Holds responses after their second event until [`Self::release`].
    pub fn hold(&self) {
        self.state.lock().unwrap().is_held = true;
    }

    /// Sets whether the heads of responses are held, as by a target that queues requests.
    pub fn hold_heads(&self, are_held: bool) {
        self.state.lock().unwrap().are_heads_held = are_held;
    }

    /// Returns the number of events sent in all responses to a request.
    pub fn events_sent(&self, request: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.events_sent.get(request).copied().unwrap_or(0)
    }

    /// Lets held responses continue.
    pub fn release(&self) {
        self.state.lock().unwrap().is_held = false;
    }

    /// Makes requests with a body crash the targets that run them.
    pub fn crash_on_body(&self, body: &str) {
        let body = Bytes::from(body.to_owned());
        self.state.lock().unwrap().crashing_bodies.insert(body);
    }

    /// Makes requests with a part in their prompts crash the targets that run them.
    pub fn crash_on_part(&self, part: &str) {
        let mut state = self.state.lock().unwrap();
        state.crashing_parts.insert(part.to_owned());
    }

    /// Makes requests with a part in their prompts crash targets no more.
    pub fn recover_part(&self, part: &str) {
        self.state.lock().unwrap().crashing_parts.remove(part);
    }

    fn is_crashing(&self, call: &Call) -> bool {
        let state = self.state.lock().unwrap();
        let prompt = call.request.headers.get(PARTS_HEADER);
        let prompt = prompt.map_or("", |value| value.to_str().unwrap());
        state.crashing_bodies.contains(&call.request.body)
            || prompt.split(',').any(|p| state.crashing_parts.contains(p))
    }

    /// Crashes a target: its responses are interrupted and it refuses connections.
    pub fn crash(&self, target: &str) {
        let mut state = self.state.lock().unwrap();
        *state.crashes.entry(target.to_owned()).or_default() += 1;
        state.down.insert(target.to_owned());
    }

    /// Restarts a target that crashed.
    pub fn restart(&self, target: &str) {
        self.state.lock().unwrap().down.remove(target);
    }

    /// Restarts all targets that crashed.
    pub fn restart_all(&self) {
        self.state.lock().unwrap().down.clear();
    }

    /// Returns the number of crashes of all targets.
    pub fn crash_count(&self) -> u32 {
        self.state.lock().unwrap().crashes.values().sum()
    }

    fn presence(&self, addr: SocketAddr) -> Presence {
        let state = self.state.lock().unwrap();
        match state.down.iter().any(|target| addr_of(target) == addr) {
            true => Presence::Gone,
            false => Presence::Listening,
        }
    }

    fn crashes_of(&self, target: &str) -> u32 {
        let state = self.state.lock().unwrap();
        state.crashes.get(target).copied().unwrap_or(0)
    }

    /// Returns the targets that ran a request, each with the event after which it resumed.
    pub fn runs(&self, request: &str) -> Vec<(String, Option<u64>)> {
        let state = self.state.lock().unwrap();
        let runs = state.runs.iter().filter(|(_, id, _)| id == request);
        runs.map(|(target, _, after)| (target.clone(), *after))
            .collect()
    }

    /// Returns the number of calls with requests whose ids have a prefix, including those to
    /// targets that are down.
    pub fn call_count(&self, prefix: &str) -> u32 {
        let state = self.state.lock().unwrap();
        let calls = state.calls.iter().filter(|(id, _)| id.starts_with(prefix));
        calls.map(|(_, count)| count).sum()
    }

    /// Returns the number of runs in progress.
    pub fn active(&self) -> usize {
        self.state.lock().unwrap().active.values().sum()
    }

    /// Returns the number of runs of a request in progress.
    pub fn active_runs(&self, request: &str) -> usize {
        let state = self.state.lock().unwrap();
        let runs = state.active.iter().filter(|((_, id), _)| id == request);
        runs.map(|(_, count)| count).sum()
    }

    pub fn port(&self) -> Targets {
        let targets = self.clone();
        let probed = self.clone();
        Targets {
            probe: Arc::new(move |addr| {
                let presence = probed.presence(addr);
                async move { presence }.boxed()
            }),
            call: Arc::new(move |call| {
                let targets = targets.clone();
                async move { targets.call(call).await }.boxed()
            }),
        }
    }

    async fn call(&self, call: Call) -> Result<Reply, NoReply> {
        let action = {
            let mut state = self.state.lock().unwrap();
            *state.calls.entry(call.request.id.clone()).or_default() += 1;
            if state.down.contains(&call.target) {
                return Err(NoReply::NotSent("connection refused"));
            }
            if !(call.may_send)() {
                return Err(NoReply::NotSent("target left"));
            }
            let scripted = state.by_request.get_mut(&call.request.id);
            let scripted = scripted.and_then(VecDeque::pop_front);
            let of_target = state.by_target.entry(call.target.clone()).or_default();
            scripted
                .or_else(|| of_target.pop_front())
                .unwrap_or(Action::Run)
        };
        if let Action::NoReply(reason) = action {
            if reason.may_have_run() {
                self.record_run(&call);
            }
            return Err(reason);
        }
        let active = self.record_run(&call);
        while self.state.lock().unwrap().are_heads_held {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        match action {
            Action::Hang => {
                std::future::pending::<()>().await;
                drop(active);
                Err(NoReply::Unknown("never"))
            }
            Action::SingleFrame | Action::CrLf => {
                let mut text = full_response(&call.request.id);
                if action == Action::CrLf {
                    text = text.replace('\n', "\r\n");
                }
                let body = Full::new(Bytes::from(text));
                let mut reply = reply(200, true, body);
                reply.headers.insert("x-from", call.target.parse().unwrap());
                Ok(reply)
            }
            Action::Text(text) => {
                let event = format!("id: 0\ndata: {text}\n\n");
                Ok(reply(200, true, Full::new(Bytes::from(event))))
            }
            Action::Status(status) => Ok(reply(status, true, Full::new(Bytes::new()))),
            Action::Unsigned => Ok(reply(200, false, Full::new(Bytes::from("data: x\n\n")))),
            _ => {
                let action = match action {
                    Action::Run if self.is_crashing(&call) => Action::Crash,
                    other => other,
                };
                Ok(self.stream(&call, action, active))
            }
        }
    }

    fn record_run(&self, call: &Call) -> Active {
        let mut state = self.state.lock().unwrap();
        let key = (call.target.clone(), call.request.id.clone());
        let run = (key.0.clone(), key.1.clone(), call.resume_after);
        state.runs.push(run);
        *state.active.entry(key.clone()).or_default() += 1;
        Active {
            targets: self.clone(),
            key,
        }
    }

    fn stream(&self, call: &Call, action: Action, active: Active) -> Reply {
        let first = call.resume_after.map_or(0, |event| event + 1);
        let id = call.request.id.clone();
        let target = call.target.clone();
        let crashes = self.crashes_of(&target);
        let targets = self.clone();
        let state = (first, active);
        let frames = stream::unfold(Some(state), move |state| {
            let targets = targets.clone();
            let id = id.clone();
            let target = target.clone();
            async move {
                let (event, active) = state?;
                targets.wait_released(event).await;
                if action == Action::Crash {
                    tokio::time::sleep(CRASH_AFTER).await;
                    targets.crash(&target);
                }
                if targets.crashes_of(&target) != crashes {
                    drop(active);
                    let broken = std::io::Error::other("connection reset");
                    return Some((Err(broken), None));
                }
                match action {
                    Action::BreakAfter(events) if event - first >= events => {
                        let half = Bytes::from(format!("id: {event}\nda"));
                        drop(active);
                        return Some((Ok(Frame::data(half)), None));
                    }
                    Action::CrashAtEventEnd if event > first => {
                        targets.crash(&target);
                        return None;
                    }
                    Action::HangAfter(events) if event - first >= events => {
                        std::future::pending::<()>().await;
                        return None;
                    }
                    Action::SkipAt(skipped) if event == skipped => {
                        let next = Bytes::from(self::event(&id, event + 1));
                        return Some((Ok(Frame::data(next)), Some((event + 2, active))));
                    }
                    _ if event >= EVENTS => return None,
                    _ => {}
                }
                let bytes = Bytes::from(self::event(&id, event));
                let mut state = targets.state.lock().unwrap();
                *state.events_sent.entry(id).or_default() += 1;
                drop(state);
                Some((Ok(Frame::data(bytes)), Some((event + 1, active))))
            }
        });
        let frames = StreamBody::new(frames).boxed_unsync();
        let mut reply = Reply {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: frames,
            is_signed: true,
            is_end_marked: action != Action::CrashAtEventEnd,
        };
        let from = call.target.parse().unwrap();
        reply.headers.insert("x-from", from);
        reply
    }

    /// Waits before each event but the first two while responses are held.
    async fn wait_released(&self, event: u64) {
        while event >= 2 && self.state.lock().unwrap().is_held {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Returns the address of a target. Nothing listens there: it only identifies the target.
pub fn addr_of(target: &str) -> SocketAddr {
    let hash = |hash: u16, byte: u8| hash.wrapping_mul(31).wrapping_add(byte.into());
    let port = target.bytes().fold(1, hash);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn reply(status: u16, is_signed: bool, body: Full<Bytes>) -> Reply {
    Reply {
        status: StatusCode::from_u16(status).unwrap(),
        headers: HeaderMap::new(),
        body: body.map_err(|never| match never {}).boxed_unsync(),
        is_signed,
        is_end_marked: true,
    }
}

/// Returns an event of the response to a request, encoded.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// Returns the complete response to a request, encoded.
pub fn full_response(request: &str) -> String {
    (0..EVENTS).map(|number| event(request, number)).collect()
}

/// Returns the text of an item whose response is complete.
pub fn item_text(request: &str) -> String {
    let lines: Vec<String> = (0..EVENTS).map(|n| format!("{request} {n}")).collect();
    lines.join("\n")
}
