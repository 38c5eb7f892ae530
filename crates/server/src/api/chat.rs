//! Chat completions, complete and streamed.

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
use notchwharf_intake::Reservation;
use notchwharf_intake::json_bytes;
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

use super::HandlerResult;
use super::auth;
use super::auth::Caller;
use super::body;
use super::body::Response;
use super::error::ApiError;
use super::services;
use super::sse::ChunkWriter;
use super::sse::ResponseStream;
use super::sse::completed_stream;
use super::sse::sse;
use crate::context::Context;
use crate::context::lock;
use crate::context::unix_ms;
use crate::exchange::Progress;
use crate::exchange::TargetRequest;
use crate::online;
use crate::online::Failure;

/// The request header with the timeout of the request, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Bytes of the first message that are hashed to route similar prompts to one target.
const PREFIX_BYTES_MAX: usize = 512;

/// Copies of a request that exist at a time: parsed, and as it is sent.
const REQUEST_COPIES: u64 = 2;

/// An admitted request, released when dropped.
struct Admitted {
    ctx: Arc<Context>,
    tenant: String,
    /// For the parsed request.
    reserved: Option<Reservation>,
    _in_flight: Gauge,
}

impl Admitted {
    fn admit(ctx: &Arc<Context>, caller: &Caller) -> Result<Self, ApiError> {
        let tenant = caller.tenant.name.clone();
        let admitted = lock(&ctx.admission).admit(&tenant, caller.tenant.weight);
        admitted.map_err(|rejection| ApiError::Overloaded {
            retry_after: rejection.retry_after,
        })?;
        Ok(Self {
            ctx: Arc::clone(ctx),
            tenant,
            reserved: None,
            _in_flight: ctx.in_flight.enter(),
        })
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.ctx.admission).release(&self.tenant);
    }
}

/// Handles a chat completion.
pub(crate) async fn complete(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    caller.check_class(Class::Online)?;
    let deadline = deadline(ctx, req.headers())?;
    let key = services::idempotency_key(req.headers())?;
    let mut admitted = Admitted::admit(ctx, &caller)?;
    let connection = body::connection(req.extensions())?;
    let text = body::read(ctx, req).await?;
    let parsed = REQUEST_COPIES * json_bytes(&text);
    admitted.reserved = Some(body::reserve(&connection, parsed).await?);
    let (request, serving) = build_request(&caller, &text, deadline)?;
    let is_stream = is_stream_requested(&text);
    if let Some(key) = key {
        let call = keyed_call(&caller, key, &serving, &text, deadline);
        let response = services::run_keyed(ctx, call).await?;
        if !is_stream {
            return Ok(response);
        }
        return single_chunk_stream(response, &serving).await;
    }
    if is_stream {
        return streamed(ctx, request, serving, admitted).await;
    }
    let id = request.target_request.request_id.clone();
    let progress = online::run(ctx, request, None).await.map_err(api_error)?;
    Ok(body::json(
        StatusCode::OK,
        &completion_json(&id, &serving, &progress),
    ))
}

/// Validates a request body and builds the request for a tenant. Also returns the serving.
pub(crate) fn prepare(
    ctx: &Context,
    tenant: &str,
    text: &[u8],
    deadline: Instant,
) -> Result<(online::Request, String), ApiError> {
    let active = ctx.active().ok_or(ApiError::Starting)?;
    let tenant = active
        .tenant(tenant)
        .ok_or(ApiError::UnknownTenant)?
        .clone();
    build_request(&Caller { active, tenant }, text, deadline)
}

fn build_request(
    caller: &Caller,
    text: &[u8],
    deadline: Instant,
) -> Result<(online::Request, String), ApiError> {
    let body: Map<String, Value> =
        serde_json::from_slice(text).map_err(|err| ApiError::MalformedJson(err.to_string()))?;
    let serving =
        check(&body).map_err(|(param, reason)| ApiError::InvalidValue { param, reason })?;
    caller.check_serving(&serving)?;
    let route = caller.active.route(&serving);
    let route = route
        .cloned()
        .ok_or_else(|| ApiError::UnknownModel(serving.clone()))?;
    let target_request = TargetRequest {
        request_id: format!("chatcmpl-{:016x}", rand::random::<u64>()),
        fingerprint: route.fingerprint.clone(),
        body,
    };
    let request = online::Request {
        tenant: caller.tenant.name.clone(),
        prefix: prompt_prefix_hash(&target_request.body),
        route,
        target_request,
        deadline,
    };
    Ok((request, serving))
}

/// Validates the fields that this system uses and returns the name of the serving.
///
/// # Errors
///
/// Returns the invalid field and the reason.
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
        let is_invalid = |v: &Value| !v.is_null() && v.as_u64().is_none_or(|n| n == 0);
        if body.get(name).is_some_and(is_invalid) {
            return Err(("max_tokens", "must be a whole number from 1"));
        }
    }
    let is_not_bool = |v: &Value| !v.is_null() && !v.is_boolean();
    if body.get("stream").is_some_and(is_not_bool) {
        return Err(("stream", "must be true or false"));
    }
    Ok(model.to_owned())
}

/// Returns the JSON of a complete response.
pub(crate) fn completion_json(id: &str, serving: &str, progress: &Progress) -> Value {
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
) -> HandlerResult {
    let id = request.target_request.request_id.clone();
    let (output_tx, mut output_rx) = mpsc::unbounded_channel();
    let (result_tx, result_rx) = oneshot::channel();
    let shared = Arc::clone(ctx);
    tokio::spawn(async move {
        let res = online::run(&shared, request, Some(output_tx)).await;
        let _ = result_tx.send(res);
        drop(admitted);
    });
    // The status is sent only after the first output, so that a request that was not run
    // gets an error status and not an interrupted stream.
    let first = output_rx.recv().await;
    if first.is_none() {
        return match result_rx.await {
            Ok(Err(failure)) => Err(api_error(failure)),
            Ok(Ok(progress)) => Ok(sse(completed_stream(id, serving, progress))),
            Err(_) => Err(ApiError::TargetsFailed),
        };
    }
    let chunk_writer = ChunkWriter {
        id,
        serving,
        created: unix_ms() / 1_000,
    };
    let state = ResponseStream::Chunks {
        first,
        output_rx,
        result_rx,
        chunk_writer,
    };
    Ok(sse(stream::unfold(state, |state| state.next())))
}

/// Converts a recorded complete response into a stream with a single chunk of text.
async fn single_chunk_stream(response: Response, serving: &str) -> HandlerResult {
    let text = response.into_body().collect().await;
    let text = text.map_err(|_| ApiError::OutcomeUnknown)?.to_bytes();
    let stored: Value = serde_json::from_slice(&text).map_err(|_| ApiError::OutcomeUnknown)?;
    let at = |pointer: &str| stored.pointer(pointer).and_then(Value::as_str);
    let progress = Progress {
        text: at("/choices/0/message/content")
            .unwrap_or_default()
            .to_owned(),
        finish_reason: at("/choices/0/finish_reason").map(str::to_owned),
        ..Progress::default()
    };
    let id = at("/id").unwrap_or_default().to_owned();
    Ok(sse(completed_stream(id, serving.to_owned(), progress)))
}

fn keyed_call(
    caller: &Caller,
    key: String,
    serving: &str,
    text: &Bytes,
    deadline: Instant,
) -> KeyedCall {
    let remaining = deadline.saturating_duration_since(Instant::now());
    KeyedCall {
        tenant: caller.tenant.name.clone(),
        key,
        callee: Callee::Chat(serving.to_owned()),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: std::collections::BTreeMap::new(),
        body_base64: BASE64_STANDARD.encode(text),
        timeout_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the deadline of a request.
pub(crate) fn deadline(ctx: &Context, headers: &HeaderMap) -> Result<Instant, ApiError> {
    let deadline = Instant::now() + timeout(ctx, headers)?;
    match ctx.drain.admits(deadline) {
        true => Ok(deadline),
        false => Err(ApiError::Leaving),
    }
}

fn timeout(ctx: &Context, headers: &HeaderMap) -> Result<Duration, ApiError> {
    let max = ctx.settings.online.request_timeout_ms;
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(Duration::from_millis(max));
    };
    let invalid = ApiError::InvalidValue {
        param: TIMEOUT_HEADER,
        reason: "must be a whole number from 1",
    };
    let requested_ms = value.to_str().ok().and_then(|v| v.parse::<u64>().ok());
    let requested_ms = requested_ms.filter(|ms| *ms > 0).ok_or(invalid)?;
    Ok(Duration::from_millis(requested_ms.min(max)))
}

pub(crate) fn api_error(failure: Failure) -> ApiError {
    match failure {
        Failure::NotRun(Refusal::NoTarget { retry_after }) => ApiError::NoTarget { retry_after },
        Failure::NotRun(Refusal::Full { retry_after }) => ApiError::Overloaded { retry_after },
        Failure::Quarantined { retry_after } => ApiError::Quarantined { retry_after },
        Failure::Rejected(status) => ApiError::RejectedByTarget(status),
        Failure::DeadlineExceeded => ApiError::DeadlineExceeded,
        Failure::TargetsFailed | Failure::Disconnected => ApiError::TargetsFailed,
    }
}

fn is_stream_requested(text: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct StreamField {
        #[serde(default)]
        stream: Option<bool>,
    }
    let parsed = serde_json::from_slice::<StreamField>(text);
    parsed.is_ok_and(|field| field.stream == Some(true))
}

/// Returns a hash of the beginning of the prompt.
fn prompt_prefix_hash(body: &Map<String, Value>) -> u64 {
    let first = body.get("messages").and_then(|m| m.get(0));
    let text = first.map(Value::to_string).unwrap_or_default();
    let end = text.len().min(PREFIX_BYTES_MAX);
    xxh3_64(&text.as_bytes()[..end])
}
