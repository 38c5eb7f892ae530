//! One batch item on one target, and the report of what became of it.

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
use crate::exchange::Broken;
use crate::exchange::Progress;
use crate::exchange::Question;
use crate::exchange::Seen;
use crate::exchange::Times;
use crate::metrics::Counted;
use crate::metrics::Timed;

/// Least pause between two reports of one result.
const REPORT_PAUSE_MIN: Duration = Duration::from_millis(250);

/// An item at this host, with what of its answer is here.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) handed: AssignedItem,
    pub(crate) serving: String,
    pub(crate) payload: Option<Payload>,
    pub(crate) progress: Progress,
}

/// What a line of a lot asks for.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    custom_id: String,
    body: Map<String, Value>,
}

/// How a run of an item ended.
#[derive(Debug)]
pub(crate) enum End {
    /// It has its final answer, which is being reported.
    Settled,
    /// It was interrupted and can go on anywhere.
    Parked(Box<Item>),
    /// It goes back to its owner.
    GivenBack(Box<Item>),
}

impl Item {
    pub(crate) fn new(handed: AssignedItem, serving: &str) -> Self {
        Self {
            handed,
            serving: serving.to_owned(),
            payload: None,
            progress: Progress::default(),
        }
    }

    fn request_id(&self) -> String {
        let work = &self.handed.work;
        format!("{}-{}-{}", work.job, work.item, work.attempts)
    }
}

/// Runs an item on a target until it ends or `cancel` says to stop.
pub(crate) async fn run(
    ctx: Arc<Context>,
    target: String,
    fingerprint: String,
    mut item: Item,
    cancel: oneshot::Receiver<()>,
) -> End {
    let Some(url) = ctx.target_url(&target) else {
        return End::Parked(Box::new(item));
    };
    if item.payload.is_none() {
        match load(&ctx, &item).await {
            Some(payload) => item.payload = Some(payload),
            None => return End::GivenBack(Box::new(item)),
        }
    }
    let Some(payload) = item.payload.clone() else {
        return End::GivenBack(Box::new(item));
    };
    let question = Question {
        request_id: item.request_id(),
        fingerprint,
        body: payload.body.clone(),
    };
    let times = Times {
        deadline: Instant::now() + ms(ctx.settings.batch.item_timeout_ms),
        idle: ms(ctx.settings.online.idle_timeout_ms),
    };
    let started = Instant::now();
    let mut progress = std::mem::take(&mut item.progress);
    let res = tokio::select! {
        res = exchange::run(&ctx.targets, &url, &question, times, &mut progress, |seen| {
            note(&ctx, &target, &seen);
        }) => Some(res),
        _ = cancel => None,
    };
    item.progress = progress;
    let Some(res) = res else {
        ctx.metrics.count(Counted::Items, "preempted");
        // Closing the connection cancels as well; this makes it sure.
        let _ = ctx.targets.cancel(&url, &question.request_id).await;
        return End::Parked(Box::new(item));
    };
    if let Err(broken) = res {
        ctx.metrics.count(Counted::Retries, broken.label());
        return broke(&ctx, item, &target, broken);
    }
    let tenant = item.handed.work.tenant.clone();
    let took = started.elapsed();
    ctx.metrics.time(Timed::Whole, Class::Batch, &tenant, took);
    let line = result_line(&question, &payload, &item);
    tokio::spawn(report_result(ctx, item.handed, line));
    End::Settled
}

fn note(ctx: &Context, target: &str, seen: &Seen<'_>) {
    if let Seen::Load(load) = seen {
        let streams = load.running + load.waiting;
        ctx.table()
            .set_reported_streams(target, streams, Instant::now());
    }
}

async fn load(ctx: &Context, item: &Item) -> Option<Payload> {
    let line = ctx.blobs.read_part(item.handed.work.place).await.ok()?;
    let line: Value = serde_json::from_slice(&line).ok()?;
    Some(Payload {
        custom_id: line.get("custom_id")?.as_str()?.to_owned(),
        body: line.get("body")?.as_object()?.clone(),
    })
}

fn broke(ctx: &Arc<Context>, item: Item, target: &str, broken: Broken) -> End {
    let verdict = match broken {
        Broken::Refused(status @ (400 | 413 | 422)) => {
            Verdict::Failed(Failure::Rejected { status })
        }
        Broken::NotSent => {
            ctx.table().record_failure(target, Instant::now());
            return End::Parked(Box::new(item));
        }
        Broken::Refused(404) => return End::GivenBack(Box::new(item)),
        Broken::Refused(_) => return End::Parked(Box::new(item)),
        _ => {
            ctx.table().record_failure(target, Instant::now());
            let before = item.handed.work.attempts;
            Verdict::TargetFailed { before }
        }
    };
    tokio::spawn(report(Arc::clone(ctx), item.handed, verdict));
    End::Settled
}

fn result_line(question: &Question, payload: &Payload, item: &Item) -> Vec<u8> {
    let answer = crate::api::chat::whole(&question.request_id, &item.serving, &item.progress);
    let line = json!({
        "id": question.request_id,
        "custom_id": payload.custom_id,
        "response": {
            "status_code": 200,
            "request_id": question.request_id,
            "body": answer,
        },
        "error": null,
    });
    serde_json::to_vec(&line).unwrap_or_default()
}

async fn report_result(ctx: Arc<Context>, handed: AssignedItem, line: Vec<u8>) {
    let Some(results) = ctx.results.get() else {
        return;
    };
    let _unsettled = ctx.unsettled.enter();
    if let Some(place) = results.write(line).await {
        report(ctx, handed, Verdict::Done(place)).await;
    }
}

/// Reports a verdict until the owner has taken it or it counts no more.
async fn report(ctx: Arc<Context>, handed: AssignedItem, verdict: Verdict) {
    let label = match verdict {
        Verdict::Done(_) => "done",
        Verdict::Failed(_) => "failed",
        Verdict::TargetFailed { .. } => "target failed",
    };
    let _unsettled = ctx.unsettled.enter();
    let settle = Command::Settle {
        job: handed.work.job.clone(),
        item: handed.work.item,
        verdict,
    };
    for pause in budget::backoff(rand::random()) {
        match crate::ledger::ask(&ctx, handed.shard, settle.clone()).await {
            Ok(_) => {
                ctx.metrics.count(Counted::Items, label);
                return;
            }
            Err(CommandError::Invalid(_)) => {
                ctx.metrics.count(Counted::Items, "superseded");
                return;
            }
            Err(_) => tokio::time::sleep(pause.max(REPORT_PAUSE_MIN)).await,
        }
    }
}

/// Gives items back to their owners.
pub(crate) async fn give_back(ctx: Arc<Context>, items: Vec<Item>) {
    for item in items {
        let work = item.handed.work;
        let back = Command::Return {
            items: vec![(work.job, work.item)],
        };
        // An owner that cannot be told hands them out again in time.
        let _ = crate::ledger::ask(&ctx, item.handed.shard, back).await;
    }
}
