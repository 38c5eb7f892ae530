//! Calls with an idempotency key, which run at most once.
//!
//! The owner of the key's shard runs the call. It sends the first byte only after it has
//! read its start record back from the log, and an end record points to the response. If
//! the owner crashes in between, the call is not run again; callers get the outcome
//! `unknown`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use jsonrpsee::core::client::Error as RpcError;
use notchwharf_clients::error::CallError;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::error::Ignored;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::record::Place;
use notchwharf_ledger::record::ShardId;
use notchwharf_proto::peer::Callee;
use notchwharf_proto::peer::KeyedCall;
use notchwharf_proto::peer::KeyedError;
use notchwharf_proto::peer::KeyedResponse;
use notchwharf_proto::peer::PeerClient as _;
use notchwharf_routing::budget;
use sha2::Digest as _;
use sha2::Sha256;

use crate::api::chat;
use crate::context::Context;
use crate::ledger;
use crate::members::service_fingerprint;
use crate::metrics::Counted;
use crate::online;
use crate::online::Failure;

/// Time added to the call's timeout when another host runs it.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Longest time for which a response is delayed until it is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Copies of an answer that exist at a time: as received, in base64, and as it is recorded.
const ANSWER_COPIES: u64 = 4;
/// Response headers that are recorded and forwarded.
pub(crate) const RESPONSE_HEADERS: [&str; 3] = ["content-type", "location", "etag"];

/// Runs a call on the host that owns its key.
pub(crate) async fn run(ctx: &Arc<Context>, call: KeyedCall) -> Result<KeyedResponse, KeyedError> {
    let shard = ledger::shard_of(ctx, &key_id(&call));
    let search_timeout = Duration::from_millis(call.timeout_ms).min(ledger::OWNER_SEARCH_TIMEOUT);
    let deadline = Instant::now() + search_timeout;
    for delay in budget::backoff(rand::random()) {
        let res = run_once(ctx, shard, call.clone()).await;
        let is_retryable = matches!(res, Err(KeyedError::NotRun(CommandError::NotOwner { .. })));
        if !is_retryable || Instant::now() + delay >= deadline {
            return res;
        }
        tokio::time::sleep(delay).await;
    }
    Err(KeyedError::NoTarget)
}

async fn run_once(
    ctx: &Arc<Context>,
    shard: ShardId,
    call: KeyedCall,
) -> Result<KeyedResponse, KeyedError> {
    let no_owner = KeyedError::NotRun(CommandError::NotOwner { holder: None });
    let Some(host) = ledger::holder(ctx, shard) else {
        return Err(no_owner);
    };
    if host == *ctx.host() {
        return run_locally(ctx, call).await;
    }
    let timeout = Duration::from_millis(call.timeout_ms) + PEER_TIMEOUT_MARGIN;
    let url = ctx.view().peer_url(&host);
    let Some(client) = url.and_then(|url| ledger::peer_client(&url, timeout)) else {
        return Err(no_owner);
    };
    match client.keyed_call(call).await {
        Ok(res) => res,
        // Only if the connection was refused is the call known not to have run.
        Err(RpcError::Transport(err)) if ledger::is_connection_refused(&*err) => Err(no_owner),
        Err(_) => Err(KeyedError::Unknown),
    }
}

/// Runs a call on this host, which should own its key.
pub(crate) async fn run_locally(
    ctx: &Arc<Context>,
    call: KeyedCall,
) -> Result<KeyedResponse, KeyedError> {
    // Runs in a task of its own, so that a disconnected caller does not leave a call
    // without its end record.
    let ctx = Arc::clone(ctx);
    let task = tokio::spawn(async move { run_as_owner(&ctx, call).await });
    task.await.unwrap_or(Err(KeyedError::Unknown))
}

async fn run_as_owner(ctx: &Arc<Context>, call: KeyedCall) -> Result<KeyedResponse, KeyedError> {
    let key = key_id(&call);
    let shard = ledger::shard_of(ctx, &key);
    let start = Command::KeyStart {
        key: key.clone(),
        digest: digest(&call),
    };
    match ledger::execute_locally(ctx, shard, start).await {
        Ok(Reply::Ended(location)) => return replay(ctx, location).await,
        Ok(_) => {}
        Err(CommandError::Invalid(Ignored::OtherBody)) => return Err(KeyedError::OtherBody),
        Err(CommandError::Invalid(_)) => return Err(KeyedError::Unknown),
        Err(err) => {
            if err == CommandError::Unknown {
                // The start may have been recorded, but the call is not going to be sent.
                tokio::spawn(retry_command(
                    Arc::clone(ctx),
                    shard,
                    Command::KeyUnsent { key },
                ));
                return Err(KeyedError::NotRun(CommandError::LogDown));
            }
            return Err(KeyedError::NotRun(err));
        }
    }
    let res = match &call.callee {
        Callee::Service(service) => call_service(ctx, service, &call).await,
        Callee::Chat(_) => call_chat(ctx, &call).await,
    };
    match res {
        Ok(response) => {
            let recorded = response.clone();
            let shared = Arc::clone(ctx);
            let recording =
                tokio::spawn(async move { record_response(shared, shard, key, recorded).await });
            // An immediate retry of the caller should find the recorded response, but the
            // response must not wait for a log that is unavailable.
            let _ = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
            Ok(response)
        }
        Err(CallFailure::NotSent) => {
            retry_command(Arc::clone(ctx), shard, Command::KeyUnsent { key }).await;
            Err(KeyedError::NoTarget)
        }
        Err(CallFailure::Unknown) => Err(KeyedError::Unknown),
        Err(CallFailure::SafeToRepeat) => {
            retry_command(Arc::clone(ctx), shard, Command::KeyUnsent { key }).await;
            Err(KeyedError::Unknown)
        }
    }
}

/// Whether a call without a response may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFailure {
    /// The call was not sent.
    NotSent,
    /// The call may have taken effect.
    Unknown,
    /// The call may have run but has no side effects, so it can be repeated.
    SafeToRepeat,
}

async fn call_service(
    ctx: &Arc<Context>,
    service: &str,
    call: &KeyedCall,
) -> Result<KeyedResponse, CallFailure> {
    let fingerprint = service_fingerprint(service);
    let mut tried = Vec::new();
    loop {
        let now = Instant::now();
        let choice = ctx
            .table()
            .choose(&fingerprint, rand::random(), &tried, now);
        let target = choice.map_err(|_| CallFailure::NotSent)?;
        let url = ctx.target_url(&target).ok_or(CallFailure::NotSent)?;
        let req = request(&url, call).ok_or(CallFailure::NotSent)?;
        let timeout = Duration::from_millis(call.timeout_ms);
        let intake = &ctx.callers.intake;
        let called = ctx.services_once.call_within(req, intake, ANSWER_COPIES);
        match tokio::time::timeout(timeout, called).await {
            Ok(Ok((resp, _room))) => {
                return Ok(KeyedResponse {
                    status: resp.status().as_u16(),
                    headers: response_headers(resp.headers()),
                    body_base64: BASE64_STANDARD.encode(resp.body()),
                    replayed: false,
                });
            }
            Ok(Err(report)) if *report.current_context() == CallError::NotSent => {
                ctx.metrics.count(Counted::Retries, "not sent");
                ctx.table().record_failure(&target, now);
                tried.push(target);
            }
            _ => return Err(CallFailure::Unknown),
        }
    }
}

async fn call_chat(ctx: &Arc<Context>, call: &KeyedCall) -> Result<KeyedResponse, CallFailure> {
    let body = BASE64_STANDARD.decode(&call.body_base64);
    let body = body.map_err(|_| CallFailure::NotSent)?;
    let deadline = Instant::now() + Duration::from_millis(call.timeout_ms);
    let req = chat::prepare(ctx, &call.tenant, &body, deadline);
    let (req, serving) = req.map_err(|_| CallFailure::NotSent)?;
    let id = req.target_request.request_id.clone();
    match online::run(ctx, req, None).await {
        Ok(progress) => {
            let response = chat::completion_json(&id, &serving, &progress);
            let text = serde_json::to_vec(&response).unwrap_or_default();
            let json = ("content-type".to_owned(), "application/json".to_owned());
            Ok(KeyedResponse {
                status: 200,
                headers: BTreeMap::from([json]),
                body_base64: BASE64_STANDARD.encode(text),
                replayed: false,
            })
        }
        Err(Failure::NotRun(_) | Failure::Quarantined { .. }) => Err(CallFailure::NotSent),
        Err(_) => Err(CallFailure::SafeToRepeat),
    }
}

/// Returns the response headers that are recorded and forwarded.
pub(crate) fn response_headers(headers: &hyper::HeaderMap) -> BTreeMap<String, String> {
    let headers = RESPONSE_HEADERS.iter().filter_map(|name| {
        let value = headers.get(*name)?.to_str().ok()?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    headers.collect()
}

fn request(url: &str, call: &KeyedCall) -> Option<Request<Full<Bytes>>> {
    let body = BASE64_STANDARD.decode(&call.body_base64).ok()?;
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(format!("{url}{}", call.path))
        .header("idempotency-key", &call.key);
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(body.into())).ok()
}

/// Records a response, waiting for as long as the log is unavailable.
async fn record_response(ctx: Arc<Context>, shard: ShardId, key: String, response: KeyedResponse) {
    let _unsettled = ctx.unsettled.enter();
    let Some(results) = ctx.results.get() else {
        return;
    };
    let bytes = serde_json::to_vec(&response).unwrap_or_default();
    if let Some(location) = results.write(bytes).await {
        let end = Command::KeyEnd {
            key,
            place: location,
        };
        retry_command(Arc::clone(&ctx), shard, end).await;
    }
}

/// Sends a command to the shard's owner until it is accepted or found invalid.
async fn retry_command(ctx: Arc<Context>, shard: ShardId, command: Command) {
    for delay in budget::backoff(rand::random()) {
        match ledger::execute(&ctx, shard, command.clone()).await {
            Ok(_) | Err(CommandError::Invalid(_)) => return,
            Err(_) => tokio::time::sleep(delay).await,
        }
    }
}

async fn replay(ctx: &Context, location: Place) -> Result<KeyedResponse, KeyedError> {
    let bytes = ctx.blobs.read_part(location).await;
    let bytes = bytes.map_err(|_| KeyedError::NotRun(CommandError::LogDown))?;
    let response: KeyedResponse =
        serde_json::from_slice(&bytes).map_err(|_| KeyedError::Unknown)?;
    Ok(KeyedResponse {
        replayed: true,
        ..response
    })
}

fn key_id(call: &KeyedCall) -> String {
    format!("{}/{}", call.tenant, call.key)
}

/// Returns a digest that is equal for equal calls.
fn digest(call: &KeyedCall) -> String {
    let callee = match &call.callee {
        Callee::Service(name) => format!("service/{name}"),
        Callee::Chat(serving) => format!("chat/{serving}"),
    };
    let mut hasher = Sha256::new();
    for part in [&callee, &call.method, &call.path, &call.body_base64] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hex(&hasher.finalize())
}

/// Encodes bytes as lowercase hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
