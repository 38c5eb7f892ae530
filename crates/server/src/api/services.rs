//! Plain services beside the model engines, under a routed path.
//!
//! Methods that may be repeated are retried within the budget. Others are sent
//! once: with an idempotency key through the key's shard, without one directly
//! and never again after the first byte.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use notchwharf_clients::error::CallError;
use notchwharf_clients::http::Client;
use notchwharf_config::bundle::Class;
use notchwharf_ledger::error::CommandError;
use notchwharf_proto::peer::Callee;
use notchwharf_proto::peer::KeyedCall;
use notchwharf_proto::peer::KeyedError;
use notchwharf_proto::peer::KeyedResponse;
use notchwharf_routing::budget;
use notchwharf_routing::table::Refusal;

use super::Answer;
use super::auth;
use super::body;
use super::body::Response;
use super::chat;
use super::error::Problem;
use crate::context::Context;
use crate::context::lock;
use crate::keyed;
use crate::members::service_fingerprint;
use crate::metrics::Counted;

const KEY_HEADER: &str = "idempotency-key";
const KEY_LEN_MAX: usize = 255;
/// Headers of requests that are passed on.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "if-match", "if-none-match"];

/// A call of a plain service.
struct Outgoing {
    service: String,
    method: Method,
    path: String,
    headers: BTreeMap<String, String>,
    body: Bytes,
    deadline: Instant,
}

/// Passes a request on to a plain service.
pub(crate) async fn call(ctx: &Arc<Context>, req: Request<Incoming>, service: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    caller.check_class(Class::Online)?;
    if !caller.active.bundle.has_service(service) {
        return Err(Problem::NotFound("service"));
    }
    if !caller.tenant.services.iter().any(|s| s == service) {
        let what = format!("service `{service}`");
        return Err(Problem::NotAllowed { what });
    }
    let key = idempotency_key(req.headers())?;
    let outgoing = read(ctx, req, service).await?;
    let _in_flight = ctx.in_flight.enter();
    match key {
        Some(key) if !is_idempotent(&outgoing.method) => {
            let call = outgoing.keyed(&caller.tenant.name, key);
            run_keyed(ctx, call).await
        }
        _ => send(ctx, &outgoing).await,
    }
}

async fn read(ctx: &Context, req: Request<Incoming>, service: &str) -> Result<Outgoing, Problem> {
    let deadline = chat::deadline(ctx, req.headers())?;
    let prefix = format!("/services/{service}");
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix(&prefix).unwrap_or("/");
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let headers = passed_headers(req.headers());
    let method = req.method().clone();
    let body = body::read(ctx, req).await?;
    Ok(Outgoing {
        service: service.to_owned(),
        method,
        path,
        headers,
        body,
        deadline,
    })
}

async fn send(ctx: &Arc<Context>, outgoing: &Outgoing) -> Answer {
    let repeatable = is_idempotent(&outgoing.method);
    let client = if repeatable {
        &ctx.services
    } else {
        &ctx.services_once
    };
    let fingerprint = service_fingerprint(&outgoing.service);
    let mut tried = Vec::new();
    let mut sent = false;
    let mut pauses = budget::backoff(rand::random());
    loop {
        let now = Instant::now();
        let chosen = ctx
            .table()
            .choose(&fingerprint, rand::random(), &tried, now);
        let target = match chosen {
            Ok(target) => target,
            Err(_) if sent => return Err(Problem::OutcomeUnknown),
            Err(Refusal::NoTarget { retry_after }) => {
                return Err(Problem::NoTarget { retry_after });
            }
            Err(Refusal::Full { retry_after }) => return Err(Problem::Shed { retry_after }),
        };
        ctx.table().begin(&target);
        let res = send_to(ctx, client, outgoing, &target).await;
        ctx.table().end(&target);
        let call = match res {
            Ok(resp) => {
                lock(&ctx.budget).deposit();
                return Ok(resp);
            }
            Err(call) => call,
        };
        ctx.table().record_failure(&target, Instant::now());
        tried.push(target);
        if call != CallError::NotSent {
            sent = true;
            if !repeatable {
                return Err(Problem::OutcomeUnknown);
            }
        }
        ctx.metrics.count(Counted::Retries, "service");
        let pause = pauses.next().unwrap_or_default();
        let late = Instant::now() + pause >= outgoing.deadline;
        if late || !lock(&ctx.budget).withdraw() {
            let retry_after = Duration::from_secs(1);
            return Err(if sent {
                Problem::OutcomeUnknown
            } else {
                Problem::NoTarget { retry_after }
            });
        }
        tokio::time::sleep(pause).await;
    }
}

async fn send_to(
    ctx: &Context,
    client: &Client,
    outgoing: &Outgoing,
    target: &str,
) -> Result<Response, CallError> {
    let url = ctx.target_url(target).ok_or(CallError::NotSent)?;
    let req = outgoing.request(&url).ok_or(CallError::NotSent)?;
    let until = tokio::time::Instant::from_std(outgoing.deadline);
    let whole = async {
        let resp = client.send(req).await;
        let resp = resp.map_err(|report| report.current_context().clone())?;
        let status = resp.status();
        let headers = keyed::kept_headers(resp.headers());
        let body = resp.into_body().collect().await;
        let body = body.map_err(|_| CallError::Lost)?.to_bytes();
        Ok(answer(status, &headers, body))
    };
    let whole = tokio::time::timeout_at(until, whole).await;
    whole.unwrap_or(Err(CallError::TimedOut))
}

impl Outgoing {
    fn request(&self, url: &str) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("{url}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body.clone())).ok()
    }

    fn keyed(&self, tenant: &str, key: String) -> KeyedCall {
        let left = self.deadline.saturating_duration_since(Instant::now());
        KeyedCall {
            tenant: tenant.to_owned(),
            key,
            callee: Callee::Service(self.service.clone()),
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body_base64: BASE64_STANDARD.encode(&self.body),
            timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Runs a call with an idempotency key and answers with what came of it.
pub(crate) async fn run_keyed(ctx: &Arc<Context>, call: KeyedCall) -> Answer {
    match keyed::run(ctx, call).await {
        Ok(kept) => Ok(keyed_answer(&kept)),
        Err(KeyedError::OtherBody) => Err(Problem::KeyReused),
        Err(KeyedError::NoTarget) => Err(Problem::NoTarget {
            retry_after: Duration::from_secs(1),
        }),
        Err(KeyedError::Unknown) => Err(Problem::OutcomeUnknown),
        Err(KeyedError::NotRun(CommandError::NotOwner { .. })) => Err(Problem::NoOwner),
        Err(KeyedError::NotRun(_)) => Err(Problem::LogDown),
    }
}

fn keyed_answer(kept: &KeyedResponse) -> Response {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let bytes = BASE64_STANDARD
        .decode(&kept.body_base64)
        .unwrap_or_default();
    let mut resp = answer(status, &kept.headers, bytes.into());
    if kept.replayed {
        let replayed = HeaderValue::from_static("true");
        resp.headers_mut().insert("idempotent-replayed", replayed);
    }
    resp
}

fn answer(status: StatusCode, headers: &BTreeMap<String, String>, bytes: Bytes) -> Response {
    let mut resp = body::bytes(status, bytes);
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            resp.headers_mut().insert(name, value);
        }
    }
    resp
}

/// Returns the idempotency key of a request, if it has one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_LEN_MAX {
        return Err(Problem::Invalid {
            param: "Idempotency-Key",
            why: "must be 1 to 255 visible ASCII characters",
        });
    }
    Ok(Some(key.to_owned()))
}

fn passed_headers(headers: &HeaderMap) -> BTreeMap<String, String> {
    let passed = PASSED_HEADERS.iter().filter_map(|name| {
        let value = headers.get(*name)?.to_str().ok()?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    passed.collect()
}

fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    )
}
