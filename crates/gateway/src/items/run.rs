//! One run of an item at a target.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt as _;
use hyper::StatusCode;
use notchwharf_config::routes::Route;
use notchwharf_ledger::jobs::Reason;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::TargetId;

use super::registry::Ticket;
use super::settle;
use crate::backlog::Item;
use crate::backlog::count;
use crate::context::Context;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::ports::Call;
use crate::ports::NoReply;
use crate::ports::Reply;
use crate::quarantine;
use crate::sse::Events;
use crate::sse::is_next;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

/// Time that a target is given for an item: far more than any takes, so that
/// only silence or the job's end stops it.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before an item that failed goes on, so that a fault that repeats at
/// once does not keep a target busy.
const FAILED_PAUSE: Duration = Duration::from_millis(50);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The whole answer is here.
    Whole,
    /// It was cut for an online request or since it is not wanted.
    Cut,
    /// The target failed at it.
    Failed,
    /// It can never be done.
    Impossible,
    /// Nothing was run.
    NotRun(NoReply),
    /// The connection broke in the midst of it.
    BrokeOff(&'static str),
    /// The target fell silent or sent something else.
    Broken(&'static str),
}

pub(super) async fn run(
    ctx: Arc<Context>,
    mut item: Item,
    route: Arc<Route>,
    target: TargetId,
    ticket: Ticket,
    trial: Option<RunGuard>,
) {
    let under_way = ctx.items.runs.enter();
    let started = Instant::now();
    let had = item.last_event;
    let Ticket { number, cancelled } = ticket;
    let ended = tokio::select! {
        ended = exchange(&ctx, &mut item, &target) => ended,
        _ = cancelled => Ended::Cut,
    };
    let entry = lock(&ctx.items.running).take(&target, number);
    // Not before the registry is free again: the end of its count wakes whoever
    // looks there.
    drop(entry);
    let took = started.elapsed();
    ctx.metrics.count(Counted::Items, label(ended));
    let is_broken = matches!(ended, Ended::BrokeOff(_) | Ended::Broken(_));
    let fingerprint = is_broken.then(|| item.fingerprint(&ctx.decode));
    slog::info!(ctx.logger, "item run"; "job" => item.key.0.as_str(),
        "id" => item.forward.id.as_str(), "target" => target.as_str(), "ended" => label(ended),
        "from_event" => had, "last_event" => item.last_event, "failures" => item.failures,
        "took_ms" => millis(took),
        "fingerprint" => fingerprint.map(fingerprint::to_hex));
    note(&ctx, &target, ended);
    let events = item.events().saturating_sub(count(had));
    lock(&ctx.items.usual)
        .kind_mut(&item.route)
        .record_run(events, took);
    match ended {
        Ended::Whole => {
            lock(&ctx.items.usual)
                .kind_mut(&item.route)
                .record_completion(item.size, item.events());
            quarantine::record_success(&ctx, || item.fingerprint(&ctx.decode));
            settle::is_ending(&ctx, &item);
            drop(under_way);
            settle::complete(Arc::clone(&ctx), item).await;
        }
        Ended::Impossible => settle::give_up(&ctx, &item, Reason::Impossible),
        Ended::Failed => {
            let is_targets_fault = lock(&ctx.balancer).is_failing(&target, Instant::now());
            item.failed(&target, is_targets_fault);
            if item.is_spent(route.attempts_max) {
                settle::give_up(&ctx, &item, Reason::Attempts);
            } else {
                put_back(&ctx, item).await;
            }
        }
        Ended::Cut => {
            if events > 0 {
                quarantine::record_survival(&ctx, &item, took);
            }
            lock(&ctx.items.backlog).put_back(item);
        }
        Ended::BrokeOff(_) => {
            broke_off(&ctx, &item, target, took).await;
            put_back(&ctx, item).await;
        }
        Ended::NotRun(_) | Ended::Broken(_) => put_back(&ctx, item).await,
    }
    // The next run of a suspect begins when it is known how this one ended.
    drop(trial);
    ctx.items.wake();
}

/// Finds out whether a target crashed under an item.
async fn broke_off(ctx: &Arc<Context>, item: &Item, target: TargetId, ran: Duration) {
    let Some(addr) = lock(&ctx.balancer).spec(&target).map(|spec| spec.addr) else {
        return;
    };
    let run = quarantine::BrokenRun {
        fingerprint: item.fingerprint(&ctx.decode),
        id: item.forward.id.clone(),
        target,
        addr,
        run_time: ran,
        sent_at: None,
    };
    quarantine::check_crash(ctx, run).await;
}

async fn put_back(ctx: &Context, item: Item) {
    tokio::time::sleep(FAILED_PAUSE).await;
    lock(&ctx.items.backlog).put_back(item);
}

fn label(ended: Ended) -> &'static str {
    match ended {
        Ended::Whole => "whole",
        Ended::Cut => "cut",
        Ended::Failed => "failed",
        Ended::Impossible => "impossible",
        Ended::NotRun(err) => err.reason(),
        Ended::BrokeOff(reason) | Ended::Broken(reason) => reason,
    }
}

fn note(ctx: &Context, target: &TargetId, ended: Ended) {
    let now = Instant::now();
    let mut places = lock(&ctx.balancer);
    match ended {
        Ended::Whole | Ended::Impossible => places.record_success(target, None),
        Ended::Failed => places.record_item_failure(target, now),
        Ended::NotRun(NoReply::Full) => places.record_rejection(target, now),
        Ended::NotRun(NoReply::Rejected(_)) | Ended::Cut => {}
        Ended::NotRun(_) | Ended::BrokeOff(_) | Ended::Broken(_) => {
            places.record_connection_failure(target, now)
        }
    }
}

async fn exchange(ctx: &Context, item: &mut Item, target: &TargetId) -> Ended {
    let Some(addr) = lock(&ctx.balancer).spec(target).map(|spec| spec.addr) else {
        return Ended::NotRun(NoReply::NotSent("target gone"));
    };
    let call = Call {
        request: Arc::clone(&item.forward),
        target: target.clone(),
        addr,
        remaining: RUN_TIMEOUT,
        resume_after: item.last_event,
    };
    let stall = ms(ctx.settings.batch.stall_ms);
    let replied = tokio::time::timeout(stall, (ctx.targets.call)(call)).await;
    let reply = match replied {
        Err(_) => return Ended::Broken("silent"),
        Ok(Err(err @ NoReply::Broken)) => return Ended::BrokeOff(err.reason()),
        Ok(Err(NoReply::Unknown(reason))) => return Ended::Broken(reason),
        Ok(Err(err)) => return Ended::NotRun(err),
        Ok(Ok(reply)) => reply,
    };
    match reply.status {
        StatusCode::UNPROCESSABLE_ENTITY => Ended::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => Ended::Failed,
        status if !status.is_success() => Ended::Broken("other status"),
        _ if !reply.is_signed => Ended::Broken("unsigned success"),
        _ => read(ctx, reply, item, stall).await,
    }
}

/// Reads an answer; whole events are kept however it ends.
async fn read(ctx: &Context, mut reply: Reply, item: &mut Item, stall: Duration) -> Ended {
    let mut events = Events::default();
    loop {
        let Ok(frame) = tokio::time::timeout(stall, reply.body.frame()).await else {
            return Ended::Broken("silent");
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Ended::BrokeOff("broke off"),
            None if events.is_empty() => return Ended::Whole,
            None => return Ended::BrokeOff("ended in an event"),
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        events.push(&bytes);
        for event in events.by_ref() {
            if !is_next(item.last_event, event.id) {
                return Ended::Broken("event out of order");
            }
            if item.last_event.is_some() {
                item.text.push(b'\n');
            }
            item.text.extend_from_slice(&event.data());
            item.last_event = event.id;
        }
        if item.unsaved_events() >= ctx.settings.batch.save_events {
            ctx.progress.note(item);
        }
    }
}
