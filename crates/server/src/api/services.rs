//! Forwarding to plain services, which are targets other than model engines.
//!
//! Idempotent methods are retried within the retry budget. Others are sent at most once:
//! with an idempotency key through the owner of the key's shard, without one directly, and
//! not again once the first byte was sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
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

use super::HandlerResult;
use super::auth;
use super::body;
use super::body::Response;
use super::chat;
use super::error::ApiError;
use crate::context::Context;
use crate::context::lock;
use crate::keyed;
use crate::members::service_fingerprint;
use crate::metrics::Counted;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_KEY_LEN_MAX: usize = 255;
/// Request headers that are forwarded.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "if-match", "if-none-match"];

/// A request to a plain service.
struct ServiceRequest {
    service: String,
    method: Method,
    path: String,
    headers: BTreeMap<String, String>,
    body: Bytes,
    deadline: Instant,
}

/// Copies of a keyed call's body that exist at a time: in base64, and in the message to its owner.
const KEYED_COPIES: u64 = 3;

/// Copies of an answer that exist at a time: while it is copied to a buffer of twice its size.
const ANSWER_COPIES: u64 = 3;

/// Forwards a request to a plain service.
pub(crate) async fn call(
    ctx: &Arc<Context>,
    req: Request<Incoming>,
    service: &str,
) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    caller.check_class(Class::Online)?;
    if !caller.active.bundle.has_service(service) {
        return Err(ApiError::NotFound("service"));
    }
    if !caller.tenant.services.iter().any(|s| s == service) {
        let what = format!("service `{service}`");
        return Err(ApiError::NotAllowed { what });
    }
    let key = idempotency_key(req.headers())?;
    let connection = body::connection(req.extensions())?;
    let request = read(ctx, req, service).await?;
    let _in_flight = ctx.in_flight.enter();
    match key {
        Some(key) if !is_idempotent(&request.method) => {
            let bytes = KEYED_COPIES * request.body.len() as u64;
            let _reserved = body::reserve(&connection, bytes).await?;
            let call = request.keyed(&caller.tenant.name, key);
            run_keyed(ctx, call).await
        }
        _ => send(ctx, &request).await,
    }
}

async fn read(
    ctx: &Context,
    req: Request<Incoming>,
    service: &str,
) -> Result<ServiceRequest, ApiError> {
    let deadline = chat::deadline(ctx, req.headers())?;
    let prefix = format!("/services/{service}");
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix(&prefix).unwrap_or("/");
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let headers = forwarded_headers(req.headers());
    let method = req.method().clone();
    let body = body::read(ctx, req).await?;
    Ok(ServiceRequest {
        service: service.to_owned(),
        method,
        path,
        headers,
        body,
        deadline,
    })
}

async fn send(ctx: &Arc<Context>, request: &ServiceRequest) -> HandlerResult {
    let is_repeatable = is_idempotent(&request.method);
    let client = if is_repeatable {
        &ctx.services
    } else {
        &ctx.services_once
    };
    let fingerprint = service_fingerprint(&request.service);
    let mut tried = Vec::new();
    let mut was_sent = false;
    let mut backoff = budget::backoff(rand::random());
    loop {
        let now = Instant::now();
        let choice = ctx
            .table()
            .choose(&fingerprint, rand::random(), &tried, now);
        let target = match choice {
            Ok(target) => target,
            Err(_) if was_sent => return Err(ApiError::OutcomeUnknown),
            Err(Refusal::NoTarget { retry_after }) => {
                return Err(ApiError::NoTarget { retry_after });
            }
            Err(Refusal::Full { retry_after }) => return Err(ApiError::Overloaded { retry_after }),
        };
        ctx.table().begin(&target);
        let res = send_to(ctx, client, request, &target).await;
        ctx.table().end(&target);
        let err = match res {
            Ok(resp) => {
                lock(&ctx.budget).deposit();
                return Ok(resp);
            }
            Err(err) => err,
        };
        ctx.table().record_failure(&target, Instant::now());
        tried.push(target);
        if err != CallError::NotSent {
            was_sent = true;
            if !is_repeatable {
                return Err(ApiError::OutcomeUnknown);
            }
        }
        ctx.metrics.count(Counted::Retries, "service");
        let delay = backoff.next().unwrap_or_default();
        let is_past_deadline = Instant::now() + delay >= request.deadline;
        if is_past_deadline || !lock(&ctx.budget).withdraw() {
            let retry_after = Duration::from_secs(1);
            return Err(if was_sent {
                ApiError::OutcomeUnknown
            } else {
                ApiError::NoTarget { retry_after }
            });
        }
        tokio::time::sleep(delay).await;
    }
}

async fn send_to(
    ctx: &Context,
    client: &Client,
    request: &ServiceRequest,
    target: &str,
) -> Result<Response, CallError> {
    let url = ctx.target_url(target).ok_or(CallError::NotSent)?;
    let req = request.to_http(&url).ok_or(CallError::NotSent)?;
    let deadline = tokio::time::Instant::from_std(request.deadline);
    let exchange = async {
        let called = client
            .call_within(req, &ctx.callers.intake, ANSWER_COPIES)
            .await;
        let (resp, room) = called.map_err(|report| report.current_context().clone())?;
        let headers = keyed::response_headers(resp.headers());
        Ok(response(
            resp.status(),
            &headers,
            room.keep(resp.into_body()),
        ))
    };
    let exchange = tokio::time::timeout_at(deadline, exchange).await;
    exchange.unwrap_or(Err(CallError::TimedOut))
}

impl ServiceRequest {
    fn to_http(&self, url: &str) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("{url}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body.clone())).ok()
    }

    fn keyed(&self, tenant: &str, key: String) -> KeyedCall {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        KeyedCall {
            tenant: tenant.to_owned(),
            key,
            callee: Callee::Service(self.service.clone()),
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body_base64: BASE64_STANDARD.encode(&self.body),
            timeout_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Runs a call with an idempotency key and returns its response.
pub(crate) async fn run_keyed(ctx: &Arc<Context>, call: KeyedCall) -> HandlerResult {
    match keyed::run(ctx, call).await {
        Ok(stored) => Ok(stored_response(&stored)),
        Err(KeyedError::OtherBody) => Err(ApiError::IdempotencyKeyReused),
        Err(KeyedError::NoTarget) => Err(ApiError::NoTarget {
            retry_after: Duration::from_secs(1),
        }),
        Err(KeyedError::Unknown) => Err(ApiError::OutcomeUnknown),
        Err(KeyedError::NotRun(CommandError::NotOwner { .. })) => Err(ApiError::NoOwner),
        Err(KeyedError::NotRun(_)) => Err(ApiError::LogUnavailable),
    }
}

fn stored_response(stored: &KeyedResponse) -> Response {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let bytes = BASE64_STANDARD
        .decode(&stored.body_base64)
        .unwrap_or_default();
    let mut resp = response(status, &stored.headers, bytes.into());
    if stored.replayed {
        let replayed = HeaderValue::from_static("true");
        resp.headers_mut().insert("idempotent-replayed", replayed);
    }
    resp
}

fn response(status: StatusCode, headers: &BTreeMap<String, String>, bytes: Bytes) -> Response {
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

/// Returns the idempotency key of a request, if present.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_LEN_MAX {
        return Err(ApiError::InvalidValue {
            param: "Idempotency-Key",
            reason: "must be 1 to 255 visible ASCII characters",
        });
    }
    Ok(Some(key.to_owned()))
}

fn forwarded_headers(headers: &HeaderMap) -> BTreeMap<String, String> {
    let forwarded = FORWARDED_HEADERS.iter().filter_map(|name| {
        let value = headers.get(*name)?.to_str().ok()?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    forwarded.collect()
}

fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    )
}
