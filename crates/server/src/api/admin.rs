//! The HTTP API for operators, on a separate address.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use notchwharf_clients::error::CallError;
use notchwharf_config::Version;
use notchwharf_config::bundle;
use notchwharf_config::error::Refusal;
use notchwharf_config::history::Outcome;
use notchwharf_config::history::Record;
use notchwharf_proto::peer::HostReport;
use notchwharf_proto::peer::PeerClient as _;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::HandlerResult;
use super::batches;
use super::body;
use super::body::Response;
use super::error::ApiError;
use crate::bundle::STREAM;
use crate::context::Context;
use crate::ledger;
use crate::peers;

const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishRequest {
    base: Option<Version>,
    author: String,
    bundle: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SignOffRequest {
    version: Version,
    digest: String,
    author: String,
}

/// Handles a request of an operator.
pub(crate) async fn handle(ctx: Arc<Context>, req: Request<Incoming>) -> Response {
    let result = route(&ctx, req).await;
    result.unwrap_or_else(|error| body::error_response(&error))
}

async fn route(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&method, &parts[..]) {
        (&Method::GET, ["admin", "v1", "bundle"]) => current_bundle(ctx),
        (&Method::POST, ["admin", "v1", "bundle"]) => publish(ctx, req).await,
        (&Method::POST, ["admin", "v1", "sign-off"]) => sign_off(ctx, req).await,
        (&Method::GET, ["admin", "v1", "history"]) => Ok(history(ctx)),
        (&Method::GET, ["admin", "v1", "hosts"]) => Ok(hosts(ctx).await),
        (&Method::POST, ["admin", "v1", "hosts", host, "drain"]) => drain(ctx, host).await,
        (&Method::GET, ["admin", "v1", "targets"]) => Ok(targets(ctx)),
        (&Method::GET, ["admin", "v1", "jobs"]) => jobs(ctx).await,
        (&Method::POST, ["admin", "v1", "jobs", id, "cancel"]) => {
            let view = batches::cancel_job(ctx, id, None).await?;
            Ok(body::json(StatusCode::OK, &view))
        }
        _ => Err(ApiError::NotFound("path")),
    }
}

fn current_bundle(ctx: &Context) -> HandlerResult {
    let active = ctx.active();
    let response = json!({
        "version": active.as_ref().map(|a| a.version),
        "digest": active.as_ref().map(|a| a.bundle.digest()),
        "bundle": active.as_ref().map(|a| &*a.bundle),
    });
    Ok(body::json(StatusCode::OK, &response))
}

fn history(ctx: &Context) -> Response {
    let events = ctx
        .bundle_follower()
        .map(|follower| follower.events())
        .unwrap_or_default();
    body::json(StatusCode::OK, &json!({"events": events}))
}

async fn publish(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let text = body::read(ctx, req).await?;
    let request: PublishRequest =
        serde_json::from_slice(&text).map_err(|err| ApiError::MalformedJson(err.to_string()))?;
    let content = request.bundle.to_string();
    let bundle = bundle::parse(content.as_bytes())
        .map_err(|err| ApiError::MalformedJson(err.to_string()))?;
    let digest = bundle.digest();
    let record = Record::proposal(request.base, &request.author, bundle);
    let version = append_and_confirm(ctx, &record).await?;
    let response = json!({"version": version, "digest": digest});
    Ok(body::json(StatusCode::OK, &response))
}

async fn sign_off(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let text = body::read(ctx, req).await?;
    let request: SignOffRequest =
        serde_json::from_slice(&text).map_err(|err| ApiError::MalformedJson(err.to_string()))?;
    let record = Record::sign_off(request.version, &request.digest, &request.author);
    append_and_confirm(ctx, &record).await?;
    let response = json!({"version": request.version, "in_force": true});
    Ok(body::json(StatusCode::OK, &response))
}

/// Appends a record to the bundle stream and waits for its outcome.
async fn append_and_confirm(ctx: &Arc<Context>, record: &Record) -> Result<u64, ApiError> {
    let follower = ctx.bundle_follower().ok_or(ApiError::Starting)?;
    follower
        .check(record)
        .map_err(|refusal| bundle_error(&refusal))?;
    let bytes = serde_json::to_vec(record).map_err(|_| ApiError::LogUnavailable)?;
    let offset = match ctx.log.append(STREAM, bytes).await {
        Ok(offset) => offset,
        Err(report) => {
            return Err(match report.current_context() {
                CallError::NotSent | CallError::Status(_) => ApiError::LogUnavailable,
                _ => ApiError::OutcomeUnknown,
            });
        }
    };
    let outcome = tokio::time::timeout(READ_BACK_TIMEOUT, follower.outcome(offset)).await;
    let event = outcome.ok().flatten().ok_or(ApiError::OutcomeUnknown)?;
    match event.outcome {
        Outcome::Proposed | Outcome::InForce => Ok(offset),
        Outcome::Refused(refusal) => Err(ApiError::BundleRejected(refusal)),
    }
}

fn bundle_error(refusal: &Refusal) -> ApiError {
    match refusal {
        Refusal::Invalid(err) => ApiError::MalformedJson(err.to_string()),
        refusal => ApiError::BundleRejected(refusal.clone()),
    }
}

async fn hosts(ctx: &Arc<Context>) -> Response {
    let known: Vec<_> = {
        let view = ctx.view();
        let known = view.hosts.iter();
        let mut known: Vec<_> = known.map(|(id, h)| (id.clone(), h.clone())).collect();
        known.sort_by(|a, b| a.0.cmp(&b.0));
        known
    };
    let mut response = Vec::new();
    for (id, host) in known {
        let report = fetch_report(ctx, &id, host.addr.as_ref().map(|a| a.peer_url.as_str())).await;
        response.push(json!({
            "host": id,
            "health": format!("{:?}", host.health).to_lowercase(),
            "leaving": host.leaving,
            "report": report,
        }));
    }
    body::json(StatusCode::OK, &json!({"hosts": response}))
}

async fn fetch_report(ctx: &Arc<Context>, id: &str, url: Option<&str>) -> Option<HostReport> {
    if id == ctx.host() {
        return Some(peers::host_report(ctx));
    }
    let client = ledger::peer_client(url?, PEER_TIMEOUT)?;
    client.host().await.ok()
}

async fn drain(ctx: &Arc<Context>, host: &str) -> HandlerResult {
    let drained = body::json(StatusCode::ACCEPTED, &json!({"draining": host}));
    if host == ctx.host() {
        ctx.begin_leaving();
        return Ok(drained);
    }
    let url = ctx
        .view()
        .peer_url(host)
        .ok_or(ApiError::NotFound("host"))?;
    let client = ledger::peer_client(&url, PEER_TIMEOUT).ok_or(ApiError::NotFound("host"))?;
    let result = client.drain().await;
    result.map_err(|_| ApiError::OutcomeUnknown)?;
    Ok(drained)
}

fn targets(ctx: &Context) -> Response {
    let view = ctx.view();
    let mut names: Vec<_> = view.listed.values().collect();
    names.sort_by(|a, b| a.name.cmp(&b.name));
    let response: Vec<Value> = names
        .into_iter()
        .filter(|l| !matches!(l.kind, notchwharf_clients::hosts::Kind::Host { .. }))
        .map(|listed| {
            let known = view.targets.get(&listed.name);
            json!({
                "target": listed.name,
                "data_centre": listed.data_centre,
                "leaving": listed.leaving || known.is_some_and(|k| k.leaving),
                "answers": known.map(|k| k.answers),
                "incarnation": known.map(|k| k.incarnation),
                "holder": known.and_then(|k| k.holder.clone()),
                "holds": known.map(|k| k.holds.clone()),
            })
        })
        .collect();
    body::json(StatusCode::OK, &json!({"targets": response}))
}

async fn jobs(ctx: &Arc<Context>) -> HandlerResult {
    let views = batches::list_jobs(ctx, None).await?;
    Ok(body::json(StatusCode::OK, &json!({"jobs": views})))
}
