//! Runs a batch item on a target and reports its outcome to the owner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::bundle::Class;
use notchwharf_config::settings::ms;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::job::Failure;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Verdict;
use notchwharf_proto::peer::AssignedItem;
use notchwharf_routing::budget;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::exchange;
use crate::exchange::Observation;
use crate::exchange::Progress;
use crate::exchange::StreamError;
use crate::exchange::TargetRequest;
use crate::exchange::Timeouts;
use crate::metrics::Counted;
use crate::metrics::Timed;

/// Minimum delay between two attempts to report an outcome.
const REPORT_DELAY_MIN: Duration = Duration::from_millis(250);

/// An item assigned to this host, with the partial output of its runs.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) assigned: AssignedItem,
    pub(crate) serving: String,
    pub(crate) payload: Option<Payload>,
    pub(crate) progress: Progress,
}

/// The request in a line of an input file.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    custom_id: String,
    body: Map<String, Value>,
}

/// How a run of an item ended.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The outcome is being reported, or the item is not to be run any more.
    Finished,
    /// The run was interrupted and can be resumed on any target.
    Interrupted(Box<Item>),
    /// The item is to be returned to its owner.
    Returned(Box<Item>),
}

impl Item {
    pub(crate) fn new(assigned: AssignedItem, serving: &str) -> Self {
        Self {
            assigned,
            serving: serving.to_owned(),
            payload: None,
            progress: Progress::default(),
        }
    }

    fn request_id(&self) -> String {
        let work = &self.assigned.work;
        format!("{}-{}-{}", work.job, work.item, work.attempts)
    }
}

/// Runs an item on a target until it ends or is cancelled through `cancel_rx`.
pub(crate) async fn run(
    ctx: Arc<Context>,
    target: String,
    fingerprint: String,
    mut item: Item,
    cancel_rx: oneshot::Receiver<()>,
) -> RunOutcome {
    let Some(url) = ctx.target_url(&target) else {
        return RunOutcome::Interrupted(Box::new(item));
    };
    if item.payload.is_none() {
        match load_payload(&ctx, &item).await {
            Some(payload) => item.payload = Some(payload),
            None => return RunOutcome::Returned(Box::new(item)),
        }
    }
    let Some(payload) = item.payload.clone() else {
        return RunOutcome::Returned(Box::new(item));
    };
    match confirm(&ctx, &item.assigned).await {
        Ok(()) => {}
        Err(CommandError::Invalid(_)) => {
            ctx.metrics.count(Counted::Items, "outdated");
            return RunOutcome::Finished;
        }
        // Without the owner it is not known whether the item is still to be run.
        Err(_) => return RunOutcome::Interrupted(Box::new(item)),
    }
    let target_request = TargetRequest {
        request_id: item.request_id(),
        fingerprint,
        body: payload.body.clone(),
    };
    let timeouts = Timeouts {
        deadline: Instant::now() + ms(ctx.settings.batch.item_timeout_ms),
        idle: ms(ctx.settings.online.idle_timeout_ms),
    };
    let started_at = Instant::now();
    let mut progress = std::mem::take(&mut item.progress);
    let res = tokio::select! {
        res = exchange::run(&ctx.targets, &url, &target_request, timeouts, &mut progress, |observation| {
            record_load(&ctx, &target, &observation);
        }) => Some(res),
        _ = cancel_rx => None,
    };
    item.progress = progress;
    let Some(res) = res else {
        ctx.metrics.count(Counted::Items, "preempted");
        // Closing the connection also cancels the run; the explicit call ensures it.
        let _ = ctx.targets.cancel(&url, &target_request.request_id).await;
        return RunOutcome::Interrupted(Box::new(item));
    };
    if let Err(err) = res {
        ctx.metrics.count(Counted::Retries, err.label());
        return handle_stream_error(&ctx, item, &target, err);
    }
    let tenant = item.assigned.work.tenant.clone();
    let elapsed = started_at.elapsed();
    ctx.metrics
        .time(Timed::Total, Class::Batch, &tenant, elapsed);
    let line = result_line(&target_request, &payload, &item);
    tokio::spawn(report_result(ctx, item.assigned, line));
    RunOutcome::Finished
}

fn record_load(ctx: &Context, target: &str, observation: &Observation<'_>) {
    if let Observation::Load(load) = observation {
        let streams = load.running + load.waiting;
        ctx.table()
            .set_reported_streams(target, streams, Instant::now());
    }
}

/// Confirms with the owner of an item that it is still to be run, right before it starts: its job
/// may have been cancelled while the item waited here.
///
/// # Errors
///
/// Returns [`CommandError::Invalid`] if it is not, and another error if the owner did not answer.
async fn confirm(ctx: &Arc<Context>, assigned: &AssignedItem) -> Result<(), CommandError> {
    let work = &assigned.work;
    let running = Command::Running {
        items: vec![(work.job.clone(), work.item)],
        host: ctx.host().clone(),
        incarnation: ctx.incarnation,
    };
    let confirmed = crate::ledger::execute(ctx, assigned.shard, running).await;
    confirmed.map(|_| ())
}

async fn load_payload(ctx: &Context, item: &Item) -> Option<Payload> {
    let line = ctx.blobs.read_part(item.assigned.work.place).await.ok()?;
    let line: Value = serde_json::from_slice(&line).ok()?;
    Some(Payload {
        custom_id: line.get("custom_id")?.as_str()?.to_owned(),
        body: line.get("body")?.as_object()?.clone(),
    })
}

fn handle_stream_error(
    ctx: &Arc<Context>,
    item: Item,
    target: &str,
    err: StreamError,
) -> RunOutcome {
    let verdict = match err {
        StreamError::Rejected(status @ (400 | 413 | 422)) => {
            Verdict::Failed(Failure::Rejected { status })
        }
        StreamError::NotSent => {
            ctx.table().record_failure(target, Instant::now());
            return RunOutcome::Interrupted(Box::new(item));
        }
        StreamError::Rejected(404) => return RunOutcome::Returned(Box::new(item)),
        StreamError::Rejected(_) => return RunOutcome::Interrupted(Box::new(item)),
        _ => {
            ctx.table().record_failure(target, Instant::now());
            let before = item.assigned.work.attempts;
            Verdict::TargetFailed { before }
        }
    };
    tokio::spawn(report(Arc::clone(ctx), item.assigned, verdict));
    RunOutcome::Finished
}

fn result_line(target_request: &TargetRequest, payload: &Payload, item: &Item) -> Vec<u8> {
    let completion = crate::api::chat::completion_json(
        &target_request.request_id,
        &item.serving,
        &item.progress,
    );
    let line = json!({
        "id": target_request.request_id,
        "custom_id": payload.custom_id,
        "response": {
            "status_code": 200,
            "request_id": target_request.request_id,
            "body": completion,
        },
        "error": null,
    });
    serde_json::to_vec(&line).unwrap_or_default()
}

async fn report_result(ctx: Arc<Context>, assigned: AssignedItem, line: Vec<u8>) {
    let Some(results) = ctx.results.get() else {
        return;
    };
    let _unsettled = ctx.unsettled.enter();
    if let Some(location) = results.write(line).await {
        report(ctx, assigned, Verdict::Done(location)).await;
    }
}

/// Reports a verdict until the owner accepts it or it has been superseded.
async fn report(ctx: Arc<Context>, assigned: AssignedItem, verdict: Verdict) {
    let label = match verdict {
        Verdict::Done(_) => "done",
        Verdict::Failed(_) => "failed",
        Verdict::TargetFailed { .. } => "target failed",
    };
    let _unsettled = ctx.unsettled.enter();
    let settle = Command::Settle {
        job: assigned.work.job.clone(),
        item: assigned.work.item,
        verdict,
    };
    for delay in budget::backoff(rand::random()) {
        match crate::ledger::execute(&ctx, assigned.shard, settle.clone()).await {
            Ok(_) => {
                ctx.metrics.count(Counted::Items, label);
                return;
            }
            Err(CommandError::Invalid(_)) => {
                ctx.metrics.count(Counted::Items, "superseded");
                return;
            }
            Err(_) => tokio::time::sleep(delay.max(REPORT_DELAY_MIN)).await,
        }
    }
}

/// Returns items to their owners.
pub(crate) async fn return_items(ctx: Arc<Context>, items: Vec<Item>) {
    for item in items {
        let work = item.assigned.work;
        let command = Command::Return {
            items: vec![(work.job, work.item)],
        };
        // An owner that cannot be reached assigns them again later.
        let _ = crate::ledger::execute(&ctx, item.assigned.shard, command).await;
    }
}
