//! Batch jobs: create, look at, list, cancel.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use notchwharf_config::bundle::Class;
use notchwharf_ledger::job::Spec;
use notchwharf_ledger::job::State;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::owner::View;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use super::Answer;
use super::auth;
use super::auth::Caller;
use super::body;
use super::error::Problem;
use super::files;
use super::lot::ENDPOINT;
use super::services;
use crate::context::Context;
use crate::context::unix_ms;
use crate::keyed::hex;
use crate::ledger;

const WINDOW: &str = "24h";
const LABELS_MAX: usize = 16;

#[derive(Debug, Deserialize)]
struct Create {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// Accepts a job.
pub(crate) async fn create(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    caller.check_class(Class::Batch)?;
    let key = services::idempotency_key(req.headers())?;
    let _in_flight = ctx.in_flight.enter();
    let text = body::read(ctx, req).await?;
    let create: Create =
        serde_json::from_slice(&text).map_err(|err| Problem::MalformedJson(err.to_string()))?;
    let labels = check(&create)?;
    let file = files::find(ctx, &caller.tenant.name, &create.input_file_id).await?;
    let spec = Spec {
        id: job_id(&caller, key.as_deref(), &create, &labels),
        tenant: caller.tenant.name.clone(),
        file: file.id,
        metadata: labels,
        created_unix_ms: unix_ms(),
        weight: caller.tenant.weight,
        manifest: file.manifest,
    };
    let (wanted_file, wanted_labels) = (spec.file.clone(), spec.metadata.clone());
    let shard = ledger::shard_of(ctx, &spec.id);
    let view = expect_job(ledger::ask(ctx, shard, Command::CreateJob(spec)).await)?;
    if view.file != wanted_file || view.metadata != wanted_labels {
        return Err(Problem::KeyReused);
    }
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

fn check(create: &Create) -> Result<BTreeMap<String, String>, Problem> {
    if create.endpoint != ENDPOINT {
        return Err(Problem::Invalid {
            param: "endpoint",
            why: "must be /v1/chat/completions",
        });
    }
    if create.completion_window != WINDOW {
        return Err(Problem::Invalid {
            param: "completion_window",
            why: "must be 24h",
        });
    }
    let labels = create.metadata.clone().unwrap_or_default();
    if labels.len() > LABELS_MAX {
        return Err(Problem::Invalid {
            param: "metadata",
            why: "must hold at most 16 pairs",
        });
    }
    Ok(labels)
}

/// Derives a job's name from what makes two requests the same job: the
/// idempotency key where there is one, else lot, endpoint and labels.
fn job_id(
    caller: &Caller,
    key: Option<&str>,
    create: &Create,
    labels: &BTreeMap<String, String>,
) -> String {
    let same = match key {
        Some(key) => json!([caller.tenant.name, "key", key]),
        None => json!([
            caller.tenant.name,
            "content",
            create.input_file_id,
            create.endpoint,
            labels
        ]),
    };
    let digest = Sha256::digest(same.to_string().as_bytes());
    format!("batch_{}", &hex(&digest)[..24])
}

fn expect_job(
    res: Result<Reply, notchwharf_ledger::error::CommandError>,
) -> Result<Box<View>, Problem> {
    match res {
        Ok(Reply::Job(view)) => Ok(view),
        Ok(_) => Err(Problem::NotFound("batch")),
        Err(err) => Err(files::refused(err, "batch")),
    }
}

/// Answers how a job stands.
pub(crate) async fn get(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    let get = Command::GetJob {
        job: id.to_owned(),
        tenant: Some(caller.tenant.name),
    };
    let shard = ledger::shard_of(ctx, id);
    let view = expect_job(ledger::ask(ctx, shard, get).await)?;
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

/// Cancels a job.
pub(crate) async fn cancel(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    let view = cancel_job(ctx, id, Some(caller.tenant.name)).await?;
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

/// Cancels a job for a tenant or, without one, for an operator.
pub(crate) async fn cancel_job(
    ctx: &Arc<Context>,
    id: &str,
    tenant: Option<String>,
) -> Result<Box<View>, Problem> {
    let cancel = Command::CancelJob {
        job: id.to_owned(),
        tenant,
    };
    let shard = ledger::shard_of(ctx, id);
    expect_job(ledger::ask(ctx, shard, cancel).await)
}

/// Lists a tenant's jobs, newest first.
pub(crate) async fn list(ctx: &Arc<Context>, req: &Request<Incoming>) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    let views = all(ctx, Some(caller.tenant.name)).await?;
    let data: Vec<Value> = views.iter().map(job_json).collect();
    let list = json!({
        "object": "list",
        "data": data,
        "first_id": views.first().map(|v| &v.id),
        "last_id": views.last().map(|v| &v.id),
        "has_more": false,
    });
    Ok(body::json(StatusCode::OK, &list))
}

/// Returns the jobs of a tenant or, without one, of all, newest first.
pub(crate) async fn all(ctx: &Arc<Context>, tenant: Option<String>) -> Result<Vec<View>, Problem> {
    let mut views = Vec::new();
    for shard in 0..ctx.settings.ledger.shards {
        let tenant = tenant.clone();
        match ledger::ask(ctx, shard, Command::ListJobs { tenant }).await {
            Ok(Reply::Jobs(jobs)) => views.extend(jobs),
            Ok(_) => {}
            Err(err) => return Err(files::refused(err, "batch")),
        }
    }
    views.sort_by(|a, b| (b.created_unix_ms, &b.id).cmp(&(a.created_unix_ms, &a.id)));
    Ok(views)
}

/// Returns a job as callers know it.
pub(crate) fn job_json(view: &View) -> Value {
    let status = match view.state {
        State::InProgress => "in_progress",
        State::Completed => "completed",
        State::Cancelled => "cancelled",
    };
    let ended = view.state != State::InProgress;
    let output = (ended && view.counts.done > 0).then(|| files::output_id(&view.id));
    let errors = (ended && view.counts.failed > 0).then(|| files::errors_id(&view.id));
    json!({
        "id": view.id,
        "object": "batch",
        "endpoint": view.endpoint,
        "input_file_id": view.file,
        "completion_window": WINDOW,
        "status": status,
        "output_file_id": output,
        "error_file_id": errors,
        "created_at": view.created_unix_ms / 1_000,
        "request_counts": {
            "total": view.counts.total,
            "completed": view.counts.done,
            "failed": view.counts.failed,
        },
        "metadata": view.metadata,
    })
}
