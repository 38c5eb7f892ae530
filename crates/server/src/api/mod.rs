//! The HTTP API for callers, compatible with OpenAI clients.

pub(crate) mod admin;
mod auth;
mod batches;
pub(crate) mod body;
pub(crate) mod chat;
mod error;
mod files;
mod form;
mod input_file;
mod listen;
mod services;
mod sse;

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

pub(crate) use self::listen::serve;

use self::body::Response;
use self::error::ApiError;
use self::error::Outcome;
use crate::context::Context;
use crate::metrics::Counted;
use notchwharf_listen::Phase;

type HandlerResult = Result<Response, ApiError>;

/// Handles a request of a caller.
pub(crate) async fn handle(ctx: Arc<Context>, req: Request<Incoming>) -> Response {
    let result = tokio::select! {
        // An answer that has arrived counts, although the host stops.
        biased;
        result = route(&ctx, req) => result,
        () = ctx.drain.answers_end() => Err(ApiError::OutcomeUnknown),
    };
    let outcome = match &result {
        Ok(_) => "answered",
        Err(error) => match error.outcome() {
            Outcome::NotRun => "not run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        },
    };
    ctx.metrics.count(Counted::Requests, outcome);
    result.unwrap_or_else(|error| body::error_response(&error))
}

async fn route(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match &parts[..] {
        ["healthz"] => return Ok(body::text(StatusCode::OK, "ok\n")),
        ["readyz"] => return readiness(ctx),
        ["metrics"] => return Ok(body::text(StatusCode::OK, &ctx.metrics.text())),
        _ => {}
    }
    if ctx.phase() == Phase::Starting {
        return Err(ApiError::Starting);
    }
    let method = req.method().clone();
    match (&method, &parts[..]) {
        (&Method::POST, ["v1", "chat", "completions"]) => chat::complete(ctx, req).await,
        (&Method::GET, ["v1", "models"]) => models(ctx, &req),
        (&Method::GET, ["v1", "models", name]) => model(ctx, &req, name),
        (&Method::POST, ["v1", "files"]) => files::upload(ctx, req).await,
        (&Method::GET, ["v1", "files", id]) => files::get(ctx, &req, id).await,
        (&Method::GET, ["v1", "files", id, "content"]) => files::content(ctx, &req, id).await,
        (&Method::POST, ["v1", "batches"]) => batches::create(ctx, req).await,
        (&Method::GET, ["v1", "batches"]) => batches::list(ctx, &req).await,
        (&Method::GET, ["v1", "batches", id]) => batches::get(ctx, &req, id).await,
        (&Method::POST, ["v1", "batches", id, "cancel"]) => batches::cancel(ctx, &req, id).await,
        (_, ["services", service, ..]) => services::call(ctx, req, service).await,
        (_, ["v1", "chat", "completions"] | ["v1", "models" | "files" | "batches", ..]) => {
            Err(ApiError::MethodNotAllowed)
        }
        _ => Err(ApiError::NotFound("path")),
    }
}

fn readiness(ctx: &Context) -> HandlerResult {
    match ctx.phase() {
        Phase::Ready => Ok(body::text(StatusCode::OK, "ready\n")),
        Phase::Starting => Err(ApiError::Starting),
        Phase::Leaving | Phase::Closing | Phase::Stopped => Err(ApiError::Leaving),
    }
}

fn models(ctx: &Context, req: &Request<Incoming>) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    let data: Vec<Value> = caller
        .tenant
        .servings
        .iter()
        .map(|s| model_json(s))
        .collect();
    let list = json!({"object": "list", "data": data});
    Ok(body::json(StatusCode::OK, &list))
}

fn model(ctx: &Context, req: &Request<Incoming>, name: &str) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    if !caller.tenant.servings.iter().any(|s| s == name) {
        return Err(ApiError::UnknownModel(name.to_owned()));
    }
    Ok(body::json(StatusCode::OK, &model_json(name)))
}

fn model_json(name: &str) -> Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "notchwharf"})
}
