//! Targets that do what the test says.

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

/// Events of a whole answer.
pub const EVENTS: u64 = 6;

/// Time for which a target runs a request before it crashes under it: a tenth of what was
/// seen, and many times what news takes between hosts.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// What a target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// It runs the request.
    Run,
    /// It runs so much of it, then breaks off in the middle of an event.
    BreakAfter(u64),
    /// It runs so much of it and says no more.
    HangAfter(u64),
    /// It answers only when it is dropped.
    Hang,
    /// It answers with a status.
    Status(u16),
    /// It leaves out an event.
    SkipAt(u64),
    /// It runs the request, and its answer comes in one piece.
    AtOnce,
    /// It answers well and does not sign.
    Unsigned,
    /// It crashes once its answer has begun.
    Crash,
    /// It gives no answer, for this reason.
    None(NoReply),
}

#[derive(Default)]
struct State {
    acts: HashMap<String, VecDeque<Act>>,
    by_request: HashMap<String, VecDeque<Act>>,
    runs: Vec<(String, String, Option<u64>)>,
    active: HashMap<(String, String), usize>,
    is_slow: bool,
    /// Bodies of requests under which a target crashes once its answer has begun.
    deadly: HashSet<Bytes>,
    /// Targets that have crashed and are not back yet.
    down: HashSet<String>,
    /// How often each target has crashed.
    crashes: HashMap<String, u32>,
}

/// All targets.
#[derive(Clone, Default)]
pub struct Engines {
    state: Arc<Mutex<State>>,
}

/// Counts a run as long as somebody reads it.
struct Active {
    engines: Engines,
    key: (String, String),
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut state = self.engines.state.lock().unwrap();
        *state.active.entry(self.key.clone()).or_default() -= 1;
    }
}

impl Engines {
    /// Sets what a target does with the next requests.
    pub fn script(&self, target: &str, acts: &[Act]) {
        let acts = acts.iter().copied().collect();
        self.state.lock().unwrap().acts.insert(target.into(), acts);
    }

    /// Sets what targets do with the next offers of a request.
    pub fn script_request(&self, request: &str, acts: &[Act]) {
        let acts = acts.iter().copied().collect();
        self.state
            .lock()
            .unwrap()
            .by_request
            .insert(request.into(), acts);
    }

    /// Makes answers take until [`Self::go`].
    pub fn hold(&self) {
        self.state.lock().unwrap().is_slow = true;
    }

    pub fn go(&self) {
        self.state.lock().unwrap().is_slow = false;
    }

    /// Makes targets crash under requests with a body.
    pub fn set_deadly(&self, body: &str) {
        let body = Bytes::from(body.to_owned());
        self.state.lock().unwrap().deadly.insert(body);
    }

    /// Makes a target crash: all that it runs breaks off, and it refuses
    /// connections.
    pub fn crash(&self, target: &str) {
        let mut state = self.state.lock().unwrap();
        *state.crashes.entry(target.to_owned()).or_default() += 1;
        state.down.insert(target.to_owned());
    }

    /// Lets a target that crashed serve again.
    pub fn restart(&self, target: &str) {
        self.state.lock().unwrap().down.remove(target);
    }

    /// Lets all targets that crashed serve again.
    pub fn restart_all(&self) {
        self.state.lock().unwrap().down.clear();
    }

    /// Returns how often targets have crashed.
    pub fn crashes(&self) -> u32 {
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

    /// Returns the targets at which a request ran, and after which event.
    pub fn runs(&self, request: &str) -> Vec<(String, Option<u64>)> {
        let state = self.state.lock().unwrap();
        let runs = state.runs.iter().filter(|(_, id, _)| id == request);
        runs.map(|(target, _, after)| (target.clone(), *after))
            .collect()
    }

    /// Returns how many requests run now.
    pub fn active(&self) -> usize {
        self.state.lock().unwrap().active.values().sum()
    }

    /// Returns how often a request runs now.
    pub fn active_runs(&self, request: &str) -> usize {
        let state = self.state.lock().unwrap();
        let runs = state.active.iter().filter(|((_, id), _)| id == request);
        runs.map(|(_, count)| count).sum()
    }

    pub fn port(&self) -> Targets {
        let engines = self.clone();
        let looked_at = self.clone();
        Targets {
            probe: Arc::new(move |addr| {
                let presence = looked_at.presence(addr);
                async move { presence }.boxed()
            }),
            call: Arc::new(move |call| {
                let engines = engines.clone();
                async move { engines.call(call).await }.boxed()
            }),
        }
    }

    async fn call(&self, call: Call) -> Result<Reply, NoReply> {
        let act = {
            let mut state = self.state.lock().unwrap();
            if state.down.contains(&call.target) {
                return Err(NoReply::NotSent("connection refused"));
            }
            let scripted = state.by_request.get_mut(&call.request.id);
            let scripted = scripted.and_then(VecDeque::pop_front);
            let acts = state.acts.entry(call.target.clone()).or_default();
            scripted.or_else(|| acts.pop_front()).unwrap_or(Act::Run)
        };
        if let Act::None(why) = act {
            if why.may_have_run() {
                self.note(&call);
            }
            return Err(why);
        }
        let active = self.note(&call);
        match act {
            Act::Hang => {
                std::future::pending::<()>().await;
                drop(active);
                Err(NoReply::Unknown("never"))
            }
            Act::AtOnce => {
                let body = Full::new(Bytes::from(whole(&call.request.id)));
                let mut reply = reply(200, true, body);
                reply.headers.insert("x-from", call.target.parse().unwrap());
                Ok(reply)
            }
            Act::Status(status) => Ok(reply(status, true, Full::new(Bytes::new()))),
            Act::Unsigned => Ok(reply(200, false, Full::new(Bytes::from("data: x\n\n")))),
            _ => {
                let is_deadly = self
                    .state
                    .lock()
                    .unwrap()
                    .deadly
                    .contains(&call.request.body);
                let act = if is_deadly { Act::Crash } else { act };
                Ok(self.stream(&call, act, active))
            }
        }
    }

    fn note(&self, call: &Call) -> Active {
        let mut state = self.state.lock().unwrap();
        let key = (call.target.clone(), call.request.id.clone());
        let run = (key.0.clone(), key.1.clone(), call.resume_after);
        state.runs.push(run);
        *state.active.entry(key.clone()).or_default() += 1;
        Active {
            engines: self.clone(),
            key,
        }
    }

    fn stream(&self, call: &Call, act: Act, active: Active) -> Reply {
        let first = call.resume_after.map_or(0, |event| event + 1);
        let id = call.request.id.clone();
        let target = call.target.clone();
        let crashes = self.crashes_of(&target);
        let engines = self.clone();
        let state = (first, active);
        let frames = stream::unfold(Some(state), move |state| {
            let engines = engines.clone();
            let id = id.clone();
            let target = target.clone();
            async move {
                let (event, active) = state?;
                engines.until_released(event).await;
                if act == Act::Crash {
                    tokio::time::sleep(CRASH_AFTER).await;
                    engines.crash(&target);
                }
                if engines.crashes_of(&target) != crashes {
                    drop(active);
                    let broken = std::io::Error::other("connection reset");
                    return Some((Err(broken), None));
                }
                match act {
                    Act::BreakAfter(events) if event - first >= events => {
                        let half = Bytes::from(format!("id: {event}\nda"));
                        drop(active);
                        return Some((Ok(Frame::data(half)), None));
                    }
                    Act::HangAfter(events) if event - first >= events => {
                        std::future::pending::<()>().await;
                        return None;
                    }
                    Act::SkipAt(skipped) if event == skipped => {
                        let next = Bytes::from(self::event(&id, event + 1));
                        return Some((Ok(Frame::data(next)), Some((event + 2, active))));
                    }
                    _ if event >= EVENTS => return None,
                    _ => {}
                }
                let bytes = Bytes::from(self::event(&id, event));
                Some((Ok(Frame::data(bytes)), Some((event + 1, active))))
            }
        });
        let frames = StreamBody::new(frames).boxed_unsync();
        let mut reply = Reply {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: frames,
            is_signed: true,
        };
        let from = call.target.parse().unwrap();
        reply.headers.insert("x-from", from);
        reply
    }

    /// Waits before each event but the first two while answers are held.
    async fn until_released(&self, event: u64) {
        while event >= 2 && self.state.lock().unwrap().is_slow {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Returns where a target answers; nobody listens there in fact.
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
    }
}

/// Returns an event of a request's answer.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// Returns the whole answer to a request.
pub fn whole(request: &str) -> String {
    (0..EVENTS).map(|number| event(request, number)).collect()
}

/// Returns the text of an item whose answer is whole.
pub fn item_text(request: &str) -> String {
    let lines: Vec<String> = (0..EVENTS).map(|n| format!("{request} {n}")).collect();
    lines.join("\n")
}
