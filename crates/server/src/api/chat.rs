//! Chat completions, plain and streamed.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use notchwharf_config::bundle::Class;
use notchwharf_proto::peer::Callee;
use notchwharf_proto::peer::KeyedCall;
use notchwharf_routing::table::Refusal;
use notchwharf_telemetry::gauge::Gauge;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::Answer;
use super::auth;
use super::auth::Caller;
use super::body;
use super::body::Response;
use super::error::Problem;
use super::services;
use super::sse::Teller;
use super::sse::Telling;
use super::sse::ended_stream;
use super::sse::sse;
use crate::context::Context;
use crate::context::lock;
use crate::context::unix_ms;
use crate::exchange::Progress;
use crate::exchange::Question;
use crate::online;
use crate::online::Failure;

/// The header in which a caller bounds the time of its request.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Bytes of the first message that decide which prompts are alike.
const PREFIX_BYTES: usize = 512;

/// A request that the host carries; it ends when this is dropped.
struct Admitted {
    ctx: Arc<Context>,
    tenant: String,
    _in_flight: Gauge,
}

impl Admitted {
    fn enter(ctx: &Arc<Context>, caller: &Caller) -> Result<Self, Problem> {
        let tenant = caller.tenant.name.clone();
        let entered = lock(&ctx.admission).admit(&tenant, caller.tenant.weight);
        entered.map_err(|shed| Problem::Shed {
            retry_after: shed.retry_after,
        })?;
        Ok(Self {
            ctx: Arc::clone(ctx),
            tenant,
            _in_flight: ctx.in_flight.enter(),
        })
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.ctx.admission).release(&self.tenant);
    }
}

/// Answers a chat completion.
pub(crate) async fn complete(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    caller.check_class(Class::Online)?;
    let deadline = deadline(ctx, req.headers())?;
    let key = services::idempotency_key(req.headers())?;
    let admitted = Admitted::enter(ctx, &caller)?;
    let text = body::read(ctx, req).await?;
    let (request, serving) = prepare_for(&caller, &text, deadline)?;
    let stream = wants_stream(&text);
    if let Some(key) = key {
        let call = keyed_call(&caller, key, &serving, &text, deadline);
        let answer = services::run_keyed(ctx, call).await?;
        if !stream {
            return Ok(answer);
        }
        return one_piece(answer, &serving).await;
    }
    if stream {
        return streamed(ctx, request, serving, admitted).await;
    }
    let id = request.question.request_id.clone();
    let progress = online::run(ctx, request, None).await.map_err(problem)?;
    Ok(body::json(StatusCode::OK, &whole(&id, &serving, &progress)))
}

/// Checks a request's body on behalf of a tenant.
pub(crate) fn prepare(
    ctx: &Context,
    tenant: &str,
    text: &[u8],
    deadline: Instant,
) -> Result<(online::Request, String), Problem> {
    let active = ctx.active().ok_or(Problem::Starting)?;
    let tenant = active.tenant(tenant).ok_or(Problem::UnknownTenant)?.clone();
    prepare_for(&Caller { active, tenant }, text, deadline)
}

fn prepare_for(
    caller: &Caller,
    text: &[u8],
    deadline: Instant,
) -> Result<(online::Request, String), Problem> {
    let body: Map<String, Value> =
        serde_json::from_slice(text).map_err(|err| Problem::MalformedJson(err.to_string()))?;
    let serving = check(&body).map_err(|(param, why)| Problem::Invalid { param, why })?;
    caller.check_serving(&serving)?;
    let route = caller.active.route(&serving);
    let route = route
        .cloned()
        .ok_or_else(|| Problem::UnknownModel(serving.clone()))?;
    let question = Question {
        request_id: format!("chatcmpl-{:016x}", rand::random::<u64>()),
        fingerprint: route.fingerprint.clone(),
        body,
    };
    let request = online::Request {
        tenant: caller.tenant.name.clone(),
        prefix: prefix(&question.body),
        route,
        question,
        deadline,
    };
    Ok((request, serving))
}

/// Checks the fields that this system looks at; returns the serving's name.
pub(crate) fn check(body: &Map<String, Value>) -> Result<String, (&'static str, &'static str)> {
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or(("model", "must be a string"))?;
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or(("messages", "must be an array"))?;
    if messages.is_empty() || !messages.iter().all(Value::is_object) {
        return Err(("messages", "must hold one object or more"));
    }
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(("n", "must be 1"));
    }
    for name in ["max_tokens", "max_completion_tokens"] {
        let bad = |v: &Value| !v.is_null() && v.as_u64().is_none_or(|n| n == 0);
        if body.get(name).is_some_and(bad) {
            return Err(("max_tokens", "must be a whole number from 1"));
        }
    }
    let not_bool = |v: &Value| !v.is_null() && !v.is_boolean();
    if body.get("stream").is_some_and(not_bool) {
        return Err(("stream", "must be true or false"));
    }
    Ok(model.to_owned())
}

/// Returns a whole answer as callers know it.
pub(crate) fn whole(id: &str, serving: &str, progress: &Progress) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": unix_ms() / 1_000,
        "model": serving,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": progress.text},
            "finish_reason": progress.finish_reason,
            "logprobs": null,
        }],
        "usage": progress.usage,
    })
}

async fn streamed(
    ctx: &Arc<Context>,
    request: online::Request,
    serving: String,
    admitted: Admitted,
) -> Answer {
    let id = request.question.request_id.clone();
    let (grown, mut pieces) = mpsc::unbounded_channel();
    let (ended, end) = oneshot::channel();
    let shared = Arc::clone(ctx);
    tokio::spawn(async move {
        let res = online::run(&shared, request, Some(grown)).await;
        let _ = ended.send(res);
        drop(admitted);
    });
    // The status waits for the first piece, so that a request that was not
    // run gets a refusal and not a broken stream.
    let first = pieces.recv().await;
    if first.is_none() {
        return match end.await {
            Ok(Err(failure)) => Err(problem(failure)),
            Ok(Ok(progress)) => Ok(sse(ended_stream(id, serving, progress))),
            Err(_) => Err(Problem::Broken),
        };
    }
    let teller = Teller {
        id,
        serving,
        created: unix_ms() / 1_000,
    };
    let state = Telling::Pieces {
        first,
        pieces,
        end,
        teller,
    };
    Ok(sse(stream::unfold(state, |state| state.next())))
}

/// Turns a kept whole answer into a stream of one piece.
async fn one_piece(answer: Response, serving: &str) -> Answer {
    let text = answer.into_body().collect().await;
    let text = text.map_err(|_| Problem::OutcomeUnknown)?.to_bytes();
    let kept: Value = serde_json::from_slice(&text).map_err(|_| Problem::OutcomeUnknown)?;
    let at = |pointer: &str| kept.pointer(pointer).and_then(Value::as_str);
    let progress = Progress {
        text: at("/choices/0/message/content")
            .unwrap_or_default()
            .to_owned(),
        finish_reason: at("/choices/0/finish_reason").map(str::to_owned),
        ..Progress::default()
    };
    let id = at("/id").unwrap_or_default().to_owned();
    Ok(sse(ended_stream(id, serving.to_owned(), progress)))
}

fn keyed_call(
    caller: &Caller,
    key: String,
    serving: &str,
    text: &Bytes,
    deadline: Instant,
) -> KeyedCall {
    let left = deadline.saturating_duration_since(Instant::now());
    KeyedCall {
        tenant: caller.tenant.name.clone(),
        key,
        callee: Callee::Chat(serving.to_owned()),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: std::collections::BTreeMap::new(),
        body_base64: BASE64_STANDARD.encode(text),
        timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns when a request's time is over.
pub(crate) fn deadline(ctx: &Context, headers: &HeaderMap) -> Result<Instant, Problem> {
    let max = ctx.settings.online.request_timeout_ms;
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(Instant::now() + Duration::from_millis(max));
    };
    let bad = Problem::Invalid {
        param: TIMEOUT_HEADER,
        why: "must be a whole number from 1",
    };
    let asked = value.to_str().ok().and_then(|v| v.parse::<u64>().ok());
    let asked = asked.filter(|ms| *ms > 0).ok_or(bad)?;
    Ok(Instant::now() + Duration::from_millis(asked.min(max)))
}

pub(crate) fn problem(failure: Failure) -> Problem {
    match failure {
        Failure::NotRun(Refusal::NoTarget { retry_after }) => Problem::NoTarget { retry_after },
        Failure::NotRun(Refusal::Full { retry_after }) => Problem::Shed { retry_after },
        Failure::Crashing { retry_after } => Problem::Crashing { retry_after },
        Failure::Rejected(status) => Problem::Rejected(status),
        Failure::Deadline => Problem::Deadline,
        Failure::Broken | Failure::Gone => Problem::Broken,
    }
}

fn wants_stream(text: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Wanted {
        #[serde(default)]
        stream: Option<bool>,
    }
    let wanted = serde_json::from_slice::<Wanted>(text);
    wanted.is_ok_and(|w| w.stream == Some(true))
}

/// Returns a hash that prompts with the same beginning share.
fn prefix(body: &Map<String, Value>) -> u64 {
    let first = body.get("messages").and_then(|m| m.get(0));
    let text = first.map(Value::to_string).unwrap_or_default();
    let end = text.len().min(PREFIX_BYTES);
    xxh3_64(&text.as_bytes()[..end])
}
