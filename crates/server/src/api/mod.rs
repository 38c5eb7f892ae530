//! The interface for callers, in the style that their clients know.

pub(crate) mod admin;
mod auth;
mod batches;
pub(crate) mod body;
pub(crate) mod chat;
mod error;
mod files;
mod listen;
mod lot;
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
use self::error::Outcome;
use self::error::Problem;
use crate::context::Context;
use crate::metrics::Counted;
use notchwharf_listen::Phase;

type Answer = Result<Response, Problem>;

/// Answers a caller's request.
pub(crate) async fn handle(ctx: Arc<Context>, req: Request<Incoming>) -> Response {
    let answer = route(&ctx, req).await;
    let outcome = match &answer {
        Ok(_) => "answered",
        Err(problem) => match problem.outcome() {
            Outcome::NotRun => "not run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        },
    };
    ctx.metrics.count(Counted::Requests, outcome);
    answer.unwrap_or_else(|problem| body::problem(&problem))
}

async fn route(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match &parts[..] {
        ["healthz"] => return Ok(body::text(StatusCode::OK, "ok\n")),
        ["readyz"] => return ready(ctx),
        ["metrics"] => return Ok(body::text(StatusCode::OK, &ctx.metrics.text())),
        _ => {}
    }
    if ctx.phase() == Phase::Starting {
        return Err(Problem::Starting);
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
            Err(Problem::MethodNotAllowed)
        }
        _ => Err(Problem::NotFound("path")),
    }
}

fn ready(ctx: &Context) -> Answer {
    match ctx.phase() {
        Phase::Ready => Ok(body::text(StatusCode::OK, "ready\n")),
        Phase::Starting => Err(Problem::Starting),
        Phase::Leaving | Phase::Closing | Phase::Stopped => Err(Problem::Leaving),
    }
}

fn models(ctx: &Context, req: &Request<Incoming>) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    let data: Vec<Value> = caller
        .tenant
        .servings
        .iter()
        .map(|s| model_json(s))
        .collect();
    let list = json!({"object": "list", "data": data});
    Ok(body::json(StatusCode::OK, &list))
}

fn model(ctx: &Context, req: &Request<Incoming>, name: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    if !caller.tenant.servings.iter().any(|s| s == name) {
        return Err(Problem::UnknownModel(name.to_owned()));
    }
    Ok(body::json(StatusCode::OK, &model_json(name)))
}

fn model_json(name: &str) -> Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "notchwharf"})
}
