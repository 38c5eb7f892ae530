//! The interface for operators, on an address of its own.

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

use super::Answer;
use super::batches;
use super::body;
use super::body::Response;
use super::error::Problem;
use crate::bundle::STREAM;
use crate::context::Context;
use crate::ledger;
use crate::peers;

const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    base: Option<Version>,
    author: String,
    bundle: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SignOff {
    version: Version,
    digest: String,
    author: String,
}

/// Answers an operator's request.
pub(crate) async fn handle(ctx: Arc<Context>, req: Request<Incoming>) -> Response {
    let answer = route(&ctx, req).await;
    answer.unwrap_or_else(|problem| body::problem(&problem))
}

async fn route(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&method, &parts[..]) {
        (&Method::GET, ["admin", "v1", "bundle"]) => in_force(ctx),
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
        _ => Err(Problem::NotFound("path")),
    }
}

fn in_force(ctx: &Context) -> Answer {
    let active = ctx.active();
    let shown = json!({
        "version": active.as_ref().map(|a| a.version),
        "digest": active.as_ref().map(|a| a.bundle.digest()),
        "bundle": active.as_ref().map(|a| &*a.bundle),
    });
    Ok(body::json(StatusCode::OK, &shown))
}

fn history(ctx: &Context) -> Response {
    let events = ctx.feed().map(|feed| feed.events()).unwrap_or_default();
    body::json(StatusCode::OK, &json!({"events": events}))
}

async fn publish(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let text = body::read(ctx, req).await?;
    let asked: Publish =
        serde_json::from_slice(&text).map_err(|err| Problem::MalformedJson(err.to_string()))?;
    let content = asked.bundle.to_string();
    let bundle =
        bundle::parse(content.as_bytes()).map_err(|err| Problem::MalformedJson(err.to_string()))?;
    let digest = bundle.digest();
    let record = Record::proposal(asked.base, &asked.author, bundle);
    let version = write(ctx, &record).await?;
    let shown = json!({"version": version, "digest": digest});
    Ok(body::json(StatusCode::OK, &shown))
}

async fn sign_off(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let text = body::read(ctx, req).await?;
    let asked: SignOff =
        serde_json::from_slice(&text).map_err(|err| Problem::MalformedJson(err.to_string()))?;
    let record = Record::sign_off(asked.version, &asked.digest, &asked.author);
    write(ctx, &record).await?;
    let shown = json!({"version": asked.version, "in_force": true});
    Ok(body::json(StatusCode::OK, &shown))
}

/// Appends a record to the bundle stream and reads back what came of it.
async fn write(ctx: &Arc<Context>, record: &Record) -> Result<u64, Problem> {
    let feed = ctx.feed().ok_or(Problem::Starting)?;
    feed.check(record).map_err(|why| refusal(&why))?;
    let bytes = serde_json::to_vec(record).map_err(|_| Problem::LogDown)?;
    let offset = match ctx.log.append(STREAM, bytes).await {
        Ok(offset) => offset,
        Err(report) => {
            return Err(match report.current_context() {
                CallError::NotSent | CallError::Status(_) => Problem::LogDown,
                _ => Problem::OutcomeUnknown,
            });
        }
    };
    let read_back = tokio::time::timeout(READ_BACK_TIMEOUT, feed.outcome(offset)).await;
    let event = read_back.ok().flatten().ok_or(Problem::OutcomeUnknown)?;
    match event.outcome {
        Outcome::Proposed | Outcome::InForce => Ok(offset),
        Outcome::Refused(why) => Err(Problem::StaleBase(why)),
    }
}

fn refusal(why: &Refusal) -> Problem {
    match why {
        Refusal::Invalid(err) => Problem::MalformedJson(err.to_string()),
        why => Problem::StaleBase(why.clone()),
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
    let mut shown = Vec::new();
    for (id, host) in known {
        let report = report(ctx, &id, host.addr.as_ref().map(|a| a.peer_url.as_str())).await;
        shown.push(json!({
            "host": id,
            "health": format!("{:?}", host.health).to_lowercase(),
            "leaving": host.leaving,
            "report": report,
        }));
    }
    body::json(StatusCode::OK, &json!({"hosts": shown}))
}

async fn report(ctx: &Arc<Context>, id: &str, url: Option<&str>) -> Option<HostReport> {
    if id == ctx.host() {
        return Some(peers::report(ctx));
    }
    let client = ledger::peer(url?, PEER_TIMEOUT)?;
    client.host().await.ok()
}

async fn drain(ctx: &Arc<Context>, host: &str) -> Answer {
    let drained = body::json(StatusCode::ACCEPTED, &json!({"draining": host}));
    if host == ctx.host() {
        ctx.begin_leaving();
        return Ok(drained);
    }
    let url = ctx.view().peer_url(host).ok_or(Problem::NotFound("host"))?;
    let client = ledger::peer(&url, PEER_TIMEOUT).ok_or(Problem::NotFound("host"))?;
    let told = client.drain().await;
    told.map_err(|_| Problem::OutcomeUnknown)?;
    Ok(drained)
}

fn targets(ctx: &Context) -> Response {
    let view = ctx.view();
    let mut names: Vec<_> = view.listed.values().collect();
    names.sort_by(|a, b| a.name.cmp(&b.name));
    let shown: Vec<Value> = names
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
    body::json(StatusCode::OK, &json!({"targets": shown}))
}

async fn jobs(ctx: &Arc<Context>) -> Answer {
    let views = batches::all(ctx, None).await?;
    Ok(body::json(StatusCode::OK, &json!({"jobs": views})))
}
