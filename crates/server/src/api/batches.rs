//! Creation, retrieval, listing and cancellation of batch jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use notchwharf_config::bundle::Class;
use notchwharf_intake::json_bytes;
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

use super::HandlerResult;
use super::auth;
use super::auth::Caller;
use super::body;
use super::error::ApiError;
use super::files;
use super::input_file::ENDPOINT;
use super::services;
use crate::context::Context;
use crate::context::unix_ms;
use crate::keyed::hex;
use crate::ledger;

const COMPLETION_WINDOW: &str = "24h";
const METADATA_PAIRS_MAX: usize = 16;

#[derive(Debug, Deserialize)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// Creates a job.
pub(crate) async fn create(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    caller.check_class(Class::Batch)?;
    let key = services::idempotency_key(req.headers())?;
    let _in_flight = ctx.in_flight.enter();
    let connection = body::connection(req.extensions())?;
    let text = body::read(ctx, req).await?;
    let _reserved = body::reserve(&connection, json_bytes(&text)).await?;
    let create: CreateRequest =
        serde_json::from_slice(&text).map_err(|err| ApiError::MalformedJson(err.to_string()))?;
    let metadata = check(&create)?;
    let file = files::find(ctx, &caller.tenant.name, &create.input_file_id).await?;
    let spec = Spec {
        id: job_id(&caller, key.as_deref(), &create, &metadata),
        tenant: caller.tenant.name.clone(),
        file: file.id,
        metadata,
        created_unix_ms: unix_ms(),
        weight: caller.tenant.weight,
        manifest: file.manifest,
    };
    let (requested_file, requested_metadata) = (spec.file.clone(), spec.metadata.clone());
    let shard = ledger::shard_of(ctx, &spec.id);
    let view = expect_job(ledger::execute(ctx, shard, Command::CreateJob(spec)).await)?;
    if view.file != requested_file || view.metadata != requested_metadata {
        return Err(ApiError::IdempotencyKeyReused);
    }
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

fn check(create: &CreateRequest) -> Result<BTreeMap<String, String>, ApiError> {
    if create.endpoint != ENDPOINT {
        return Err(ApiError::InvalidValue {
            param: "endpoint",
            reason: "must be /v1/chat/completions",
        });
    }
    if create.completion_window != COMPLETION_WINDOW {
        return Err(ApiError::InvalidValue {
            param: "completion_window",
            reason: "must be 24h",
        });
    }
    let metadata = create.metadata.clone().unwrap_or_default();
    if metadata.len() > METADATA_PAIRS_MAX {
        return Err(ApiError::InvalidValue {
            param: "metadata",
            reason: "must hold at most 16 pairs",
        });
    }
    Ok(metadata)
}

/// Derives the ID of a job from the idempotency key or, without one, from input file,
/// endpoint and metadata, so that a repeated request yields the same job.
fn job_id(
    caller: &Caller,
    key: Option<&str>,
    create: &CreateRequest,
    metadata: &BTreeMap<String, String>,
) -> String {
    let identity = match key {
        Some(key) => json!([caller.tenant.name, "key", key]),
        None => json!([
            caller.tenant.name,
            "content",
            create.input_file_id,
            create.endpoint,
            metadata
        ]),
    };
    let digest = Sha256::digest(identity.to_string().as_bytes());
    format!("batch_{}", &hex(&digest)[..24])
}

fn expect_job(
    res: Result<Reply, notchwharf_ledger::error::CommandError>,
) -> Result<Box<View>, ApiError> {
    match res {
        Ok(Reply::Job(view)) => Ok(view),
        Ok(_) => Err(ApiError::NotFound("batch")),
        Err(err) => Err(files::ledger_error(err, "batch")),
    }
}

/// Returns the state of a job.
pub(crate) async fn get(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    let get = Command::GetJob {
        job: id.to_owned(),
        tenant: Some(caller.tenant.name),
    };
    let shard = ledger::shard_of(ctx, id);
    let view = expect_job(ledger::execute(ctx, shard, get).await)?;
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

/// Cancels a job.
pub(crate) async fn cancel(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    let view = cancel_job(ctx, id, Some(caller.tenant.name)).await?;
    Ok(body::json(StatusCode::OK, &job_json(&view)))
}

/// Cancels a job for a tenant or, without one, for an operator.
pub(crate) async fn cancel_job(
    ctx: &Arc<Context>,
    id: &str,
    tenant: Option<String>,
) -> Result<Box<View>, ApiError> {
    let cancel = Command::CancelJob {
        job: id.to_owned(),
        tenant,
    };
    let shard = ledger::shard_of(ctx, id);
    expect_job(ledger::execute(ctx, shard, cancel).await)
}

/// Lists a tenant's jobs, newest first.
pub(crate) async fn list(ctx: &Arc<Context>, req: &Request<Incoming>) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    let views = list_jobs(ctx, Some(caller.tenant.name)).await?;
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

/// Returns the jobs of a tenant or, without one, of all tenants, newest first.
pub(crate) async fn list_jobs(
    ctx: &Arc<Context>,
    tenant: Option<String>,
) -> Result<Vec<View>, ApiError> {
    let mut views = Vec::new();
    for shard in 0..ctx.settings.ledger.shards {
        let tenant = tenant.clone();
        match ledger::execute(ctx, shard, Command::ListJobs { tenant }).await {
            Ok(Reply::Jobs(jobs)) => views.extend(jobs),
            Ok(_) => {}
            Err(err) => return Err(files::ledger_error(err, "batch")),
        }
    }
    views.sort_by(|a, b| (b.created_unix_ms, &b.id).cmp(&(a.created_unix_ms, &a.id)));
    Ok(views)
}

/// Returns the JSON of a job.
pub(crate) fn job_json(view: &View) -> Value {
    let status = match view.state {
        State::InProgress => "in_progress",
        State::Completed => "completed",
        State::Cancelled => "cancelled",
    };
    let is_ended = view.state != State::InProgress;
    let output = (is_ended && view.counts.done > 0).then(|| files::output_id(&view.id));
    let errors = (is_ended && view.counts.failed > 0).then(|| files::errors_id(&view.id));
    json!({
        "id": view.id,
        "object": "batch",
        "endpoint": view.endpoint,
        "input_file_id": view.file,
        "completion_window": COMPLETION_WINDOW,
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
