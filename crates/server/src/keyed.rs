//! Calls with an idempotency key, run at most once.
//!
//! The owner of the key's shard runs the call: a start record is read back
//! from the log before the first byte goes out, and an end record points to
//! the answer. After a crash between the two, nobody runs the call again; what
//! became of it is unknown, and that is what callers are told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt as _;
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

/// Time that another host gets beyond the call's own time.
const SLACK: Duration = Duration::from_secs(2);
/// Time that an answer waits to be recorded before it is given.
const KEEP_PATIENCE: Duration = Duration::from_millis(500);
/// Headers of answers that are kept and passed on.
pub(crate) const KEPT_HEADERS: [&str; 3] = ["content-type", "location", "etag"];

/// Runs a call on the host that owns its key.
pub(crate) async fn run(ctx: &Arc<Context>, call: KeyedCall) -> Result<KeyedResponse, KeyedError> {
    let shard = ledger::shard_of(ctx, &key_id(&call));
    let time = Duration::from_millis(call.timeout_ms).min(ledger::SEARCH_TIME);
    let deadline = Instant::now() + time;
    for pause in budget::backoff(rand::random()) {
        let res = run_once(ctx, shard, call.clone()).await;
        let retry = matches!(res, Err(KeyedError::NotRun(CommandError::NotOwner { .. })));
        if !retry || Instant::now() + pause >= deadline {
            return res;
        }
        tokio::time::sleep(pause).await;
    }
    Err(KeyedError::NoTarget)
}

async fn run_once(
    ctx: &Arc<Context>,
    shard: ShardId,
    call: KeyedCall,
) -> Result<KeyedResponse, KeyedError> {
    let nobody = KeyedError::NotRun(CommandError::NotOwner { holder: None });
    let Some(host) = ledger::holder(ctx, shard) else {
        return Err(nobody);
    };
    if host == *ctx.host() {
        return run_here(ctx, call).await;
    }
    let timeout = Duration::from_millis(call.timeout_ms) + SLACK;
    let url = ctx.view().peer_url(&host);
    let Some(client) = url.and_then(|url| ledger::peer(&url, timeout)) else {
        return Err(nobody);
    };
    match client.keyed_call(call).await {
        Ok(res) => res,
        // Only a request that never left this host is known not to have run.
        Err(RpcError::Transport(err)) if ledger::is_connect(&*err) => Err(nobody),
        Err(_) => Err(KeyedError::Unknown),
    }
}

/// Runs a call at this host, which should own its key.
pub(crate) async fn run_here(
    ctx: &Arc<Context>,
    call: KeyedCall,
) -> Result<KeyedResponse, KeyedError> {
    // On a task of its own, so that a caller who goes away does not leave a
    // call half recorded.
    let ctx = Arc::clone(ctx);
    let task = tokio::spawn(async move { run_owned(&ctx, call).await });
    task.await.unwrap_or(Err(KeyedError::Unknown))
}

async fn run_owned(ctx: &Arc<Context>, call: KeyedCall) -> Result<KeyedResponse, KeyedError> {
    let key = key_id(&call);
    let shard = ledger::shard_of(ctx, &key);
    let start = Command::KeyStart {
        key: key.clone(),
        digest: digest(&call),
    };
    match ledger::ask_here(ctx, shard, start).await {
        Ok(Reply::Ended(place)) => return replay(ctx, place).await,
        Ok(_) => {}
        Err(CommandError::Invalid(Ignored::OtherBody)) => return Err(KeyedError::OtherBody),
        Err(CommandError::Invalid(_)) => return Err(KeyedError::Unknown),
        Err(refused) => {
            if refused == CommandError::Unknown {
                // The start may be recorded, but the call is never sent now.
                tokio::spawn(record(Arc::clone(ctx), shard, Command::KeyUnsent { key }));
                return Err(KeyedError::NotRun(CommandError::LogDown));
            }
            return Err(KeyedError::NotRun(refused));
        }
    }
    let res = match &call.callee {
        Callee::Service(service) => call_service(ctx, service, &call).await,
        Callee::Chat(_) => call_chat(ctx, &call).await,
    };
    match res {
        Ok(answer) => {
            let kept = answer.clone();
            let shared = Arc::clone(ctx);
            let keeping = tokio::spawn(async move { keep(shared, shard, key, kept).await });
            // A caller that asks again at once should find the answer kept,
            // but must not wait for a log that is down to hear it.
            let _ = tokio::time::timeout(KEEP_PATIENCE, keeping).await;
            Ok(answer)
        }
        Err(Sent::No) => {
            record(Arc::clone(ctx), shard, Command::KeyUnsent { key }).await;
            Err(KeyedError::NoTarget)
        }
        Err(Sent::Maybe) => Err(KeyedError::Unknown),
        Err(Sent::Harmless) => {
            record(Arc::clone(ctx), shard, Command::KeyUnsent { key }).await;
            Err(KeyedError::Unknown)
        }
    }
}

/// How far a call without an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// It was not sent.
    No,
    /// It may have taken effect.
    Maybe,
    /// It may have run, and running it again does no harm.
    Harmless,
}

async fn call_service(
    ctx: &Arc<Context>,
    service: &str,
    call: &KeyedCall,
) -> Result<KeyedResponse, Sent> {
    let fingerprint = service_fingerprint(service);
    let mut tried = Vec::new();
    loop {
        let now = Instant::now();
        let chosen = ctx
            .table()
            .choose(&fingerprint, rand::random(), &tried, now);
        let target = chosen.map_err(|_| Sent::No)?;
        let url = ctx.target_url(&target).ok_or(Sent::No)?;
        let req = request(&url, call).ok_or(Sent::No)?;
        let timeout = Duration::from_millis(call.timeout_ms);
        let sent = tokio::time::timeout(timeout, ctx.services_once.send(req)).await;
        match sent {
            Ok(Ok(resp)) => {
                let status = resp.status().as_u16();
                let headers = kept_headers(resp.headers());
                let body = resp.into_body().collect();
                let body = tokio::time::timeout(timeout, body).await;
                let body = body.map_err(|_| Sent::Maybe)?.map_err(|_| Sent::Maybe)?;
                return Ok(KeyedResponse {
                    status,
                    headers,
                    body_base64: BASE64_STANDARD.encode(body.to_bytes()),
                    replayed: false,
                });
            }
            Ok(Err(report)) if *report.current_context() == CallError::NotSent => {
                ctx.metrics.count(Counted::Retries, "not sent");
                ctx.table().record_failure(&target, now);
                tried.push(target);
            }
            _ => return Err(Sent::Maybe),
        }
    }
}

async fn call_chat(ctx: &Arc<Context>, call: &KeyedCall) -> Result<KeyedResponse, Sent> {
    let body = BASE64_STANDARD.decode(&call.body_base64);
    let body = body.map_err(|_| Sent::No)?;
    let deadline = Instant::now() + Duration::from_millis(call.timeout_ms);
    let req = chat::prepare(ctx, &call.tenant, &body, deadline);
    let (req, serving) = req.map_err(|_| Sent::No)?;
    let id = req.question.request_id.clone();
    match online::run(ctx, req, None).await {
        Ok(progress) => {
            let answer = chat::whole(&id, &serving, &progress);
            let text = serde_json::to_vec(&answer).unwrap_or_default();
            let json = ("content-type".to_owned(), "application/json".to_owned());
            Ok(KeyedResponse {
                status: 200,
                headers: BTreeMap::from([json]),
                body_base64: BASE64_STANDARD.encode(text),
                replayed: false,
            })
        }
        Err(Failure::NotRun(_) | Failure::Crashing { .. }) => Err(Sent::No),
        Err(_) => Err(Sent::Harmless),
    }
}

/// Returns the headers of an answer that are kept and passed on.
pub(crate) fn kept_headers(headers: &hyper::HeaderMap) -> BTreeMap<String, String> {
    let kept = KEPT_HEADERS.iter().filter_map(|name| {
        let value = headers.get(*name)?.to_str().ok()?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    kept.collect()
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

/// Keeps an answer, however long the log is down.
async fn keep(ctx: Arc<Context>, shard: ShardId, key: String, answer: KeyedResponse) {
    let _unsettled = ctx.unsettled.enter();
    let Some(results) = ctx.results.get() else {
        return;
    };
    let bytes = serde_json::to_vec(&answer).unwrap_or_default();
    if let Some(place) = results.write(bytes).await {
        record(Arc::clone(&ctx), shard, Command::KeyEnd { key, place }).await;
    }
}

/// Gives a command to the shard's owner until it is taken.
async fn record(ctx: Arc<Context>, shard: ShardId, command: Command) {
    for pause in budget::backoff(rand::random()) {
        match ledger::ask(&ctx, shard, command.clone()).await {
            Ok(_) | Err(CommandError::Invalid(_)) => return,
            Err(_) => tokio::time::sleep(pause).await,
        }
    }
}

async fn replay(ctx: &Context, place: Place) -> Result<KeyedResponse, KeyedError> {
    let bytes = ctx.blobs.read_part(place).await;
    let bytes = bytes.map_err(|_| KeyedError::NotRun(CommandError::LogDown))?;
    let answer: KeyedResponse = serde_json::from_slice(&bytes).map_err(|_| KeyedError::Unknown)?;
    Ok(KeyedResponse {
        replayed: true,
        ..answer
    })
}

fn key_id(call: &KeyedCall) -> String {
    format!("{}/{}", call.tenant, call.key)
}

/// Returns what makes two calls the same.
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

/// Returns bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
