//! One run of an item at a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt as _;
use hyper::StatusCode;
use notchwharf_ledger::jobs::Reason;
use notchwharf_origins::Origin;
use notchwharf_routing::balancer::TargetId;

use super::ItemStart;
use super::admission;
use super::completion;
use super::late;
use super::late::LateReply;
use super::late::OverdueRuns;
use super::late::PendingReply;
use super::late::Resolved;
use super::late::SentRun;
use super::requeue;
use crate::backlog::Item;
use crate::backlog::count;
use crate::catalog;
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

/// Timeout of a run: far more than any item takes, so that only a stalled response or the end
/// of the job stops a run.
pub(super) const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before an item is queued again after a failure, so that an immediate failure that
/// repeats does not keep a target busy.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of responses with the same end that show that a text is whole although nothing marks it: a
/// target may mark the end of none.
const UNMARKED_ENDS: u32 = 3;
/// Copies of a text that exist at a time: while it grows, and while its progress is saved.
const TEXT_COPIES: u64 = 4;
/// Reason of a run whose response has stalled.
const SILENT: &str = "silent";

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunOutcome {
    /// The response is complete.
    Completed,
    /// The run was preempted, or its item is no longer this host's to run.
    Cancelled,
    /// The target reported a failure.
    Failed,
    /// The target reported that the item can never succeed.
    Impossible,
    /// The run was not admitted while it held its slot, and nothing was sent.
    NotAdmitted,
    /// The target has not begun to answer in time. Its answer is waited for beside the next run.
    Overdue,
    /// The target of an overdue run has begun to answer.
    Superseded,
    /// The response has ended, and nothing marks the end.
    EndNotMarked,
    /// The target did not run the item.
    NotRun(NoReply),
    /// The connection broke during the run.
    Interrupted(&'static str),
    /// The target stalled, or its response was invalid.
    Unusable(&'static str),
    /// This host had no room for the response.
    NoRoom,
}

/// How far a run has come.
#[derive(Default)]
struct Exchange {
    /// Whether the target may have received the item.
    is_sent: bool,
    /// The address that it was sent to.
    addr: Option<SocketAddr>,
    /// The start of the response, once it has arrived.
    head: Option<Head>,
    /// The response that has not begun in time.
    pending: Option<PendingReply>,
}

/// The start of a response.
#[derive(Clone, Copy, Debug)]
struct Head {
    /// When it arrived.
    at: Instant,
    /// Whether the end of the body is marked; see [`Reply::is_end_marked`].
    is_end_marked: bool,
    /// Whether its status is a success.
    is_success: bool,
}

impl Head {
    /// Returns the start of a response that arrives now.
    fn of(reply: &Reply) -> Self {
        Self {
            at: Instant::now(),
            is_end_marked: reply.is_end_marked,
            is_success: reply.status.is_success(),
        }
    }
}

/// Where an item runs.
#[derive(Clone, Debug)]
pub(super) struct Destination {
    pub(super) target: TargetId,
    /// The origin of a text that begins there, if the target's version is known.
    pub(super) origin: Option<Origin>,
}

/// Runs an item at a target, and queues it again or records its outcome.
pub(super) async fn run(ctx: Arc<Context>, start: ItemStart) {
    let mut next = Some(start);
    while let Some(start) = next {
        next = run_once(&ctx, start).await;
    }
}

/// The state of a host when a run began.
struct Start {
    at: Instant,
    /// The event after which the target was asked to go on.
    after: Option<u64>,
    /// The time since the job records were read.
    records_age: Option<Duration>,
    records_end: u64,
    applied_end: u64,
    /// The age of the host's view of the targets, if it is known.
    targets_age: Option<Duration>,
}

impl Start {
    fn of(ctx: &Context, item: &Item) -> Self {
        Self {
            at: Instant::now(),
            after: item.last_event,
            records_age: ctx.journal.staleness(),
            records_end: ctx.journal.jobs().end(),
            applied_end: lock(&ctx.items.backlog).applied_end(),
            targets_age: ctx.catalog.targets_age(),
        }
    }
}

/// Runs an item at a target. Returns its next run if another target, which was overdue, has begun
/// to answer meanwhile.
async fn run_once(ctx: &Arc<Context>, mut run: ItemStart) -> Option<ItemStart> {
    let in_progress = ctx.items.runs.enter();
    let start = Start::of(ctx, &run.item);
    let mut overdue = std::mem::take(&mut run.item.overdue);
    let mut progress = Exchange::default();
    let mut ended = Vec::new();
    let begun = match run.reply.take() {
        // A run that was cancelled before it began sends nothing.
        _ if run.place.is_cancelled() => Err(RunOutcome::Cancelled),
        Some(reply) => {
            progress.is_sent = true;
            progress.head = Some(Head::of(&reply));
            Ok(reply)
        }
        None => begin(ctx, &mut run, &mut progress, &mut overdue, &mut ended).await,
    };
    let outcome = match begun {
        Ok(reply) => {
            run.place.end_keeping();
            if reply.status.is_success() {
                overdue = OverdueRuns::default();
            }
            let read = answer(ctx, reply, &mut run.item, &run.destination);
            tokio::select! {
                // An answer that has arrived counts, although the run is cancelled.
                biased;
                outcome = tokio::time::timeout(RUN_TIMEOUT, read) => {
                    outcome.unwrap_or(RunOutcome::Unusable("timed out"))
                }
                () = run.place.cancelled() => RunOutcome::Cancelled,
            }
        }
        Err(outcome) => outcome,
    };
    let ItemStart {
        mut item,
        route,
        destination,
        place,
        guard,
        mut admission,
        reply: _,
    } = run;
    let Exchange {
        is_sent,
        addr,
        head,
        pending,
    } = progress;
    let Start {
        at: started,
        after: resumed_after,
        ..
    } = start;
    let target = destination.target.clone();
    let version = destination.origin.as_ref().map(|o| o.version.clone());
    let guard = match pending {
        Some(reply) => {
            let run = SentRun {
                destination,
                place,
                guard,
                resume_after: resumed_after,
                started,
            };
            overdue.keep(ctx, run, reply);
            None
        }
        None => {
            drop(place);
            guard
        }
    };
    item.overdue = overdue;
    let took = started.elapsed();
    ctx.metrics.count(Counted::Items, label(outcome));
    let is_broken = matches!(
        outcome,
        RunOutcome::Interrupted(_) | RunOutcome::Unusable(_) | RunOutcome::Overdue
    );
    let fingerprint = is_broken.then(|| item.fingerprint(&ctx.decode));
    let runs = item.attempts.runs();
    slog::info!(ctx.logger, "item run"; "job" => item.key.0.as_str(),
        "id" => item.request.id.as_str(), "target" => target.as_str(),
        "version" => version, "ended" => label(outcome),
        "from_event" => resumed_after, "last_event" => item.last_event, "epoch" => item.epoch,
        "begun" => runs.begun, "failures" => runs.failed, "is_sent" => is_sent,
        "is_answered" => head.is_some(), "proof" => proof(outcome), "took_ms" => millis(took),
        "records_end" => start.records_end, "applied_end" => start.applied_end,
        "records_age_ms" => start.records_age.map(millis),
        "targets_age_ms" => start.targets_age.map(millis),
        "fingerprint" => fingerprint.map(fingerprint::to_hex));
    let events = item.event_count().saturating_sub(count(resumed_after));
    if is_sent && events == 0 && is_in_doubt(outcome, head) {
        item.attempts.record_doubt();
        item.undisturbed_since = Instant::now();
    }
    if outcome == RunOutcome::Unusable(SILENT) {
        item.silences = item.silences.saturating_add(1);
        if let Some(addr) = addr {
            let run = broken_run(ctx, &item, &target, addr, head, started);
            quarantine::check_silent(ctx, run);
        }
    }
    update_balancer(ctx, &target, outcome);
    lock(&ctx.items.estimators)
        .kind_mut(&item.route)
        .record_run(events, took);
    let mut adopted = None;
    let mut is_impossible = outcome == RunOutcome::Impossible;
    for late in ended {
        match late::resolve(ctx, &mut item, late) {
            Resolved::Adopted(run, reply) => adopted = Some((run, reply)),
            Resolved::Impossible => is_impossible = true,
            Resolved::Unchanged => {}
        }
    }
    match outcome {
        _ if is_impossible => completion::fail(ctx, &item, Reason::Impossible),
        RunOutcome::Completed => {
            lock(&ctx.items.estimators)
                .kind_mut(&item.route)
                .record_completion(item.size, item.event_count());
            if events > 0 {
                record_success(ctx, &item, &target, addr, head, started);
            }
            completion::stop_tracking(ctx, &item);
            drop(in_progress);
            completion::complete(Arc::clone(ctx), item).await;
        }
        RunOutcome::Failed => {
            let is_target_failing = lock(&ctx.balancer).is_failing(&target, Instant::now());
            item.failed_at.push(target.clone());
            let report = item.attempts.record_failure(is_target_failing);
            admission::report(ctx, &item, report);
            requeue_after_delay(ctx, item).await;
        }
        RunOutcome::Cancelled => {
            // While it waited for the target to begin, the target had nothing to survive.
            if let Some(head) = head.filter(|_| events > 0) {
                quarantine::record_survival(ctx, &item, head.at.elapsed());
            }
            requeue(ctx, item);
        }
        RunOutcome::NotAdmitted => {
            if item.is_unsaved() {
                ctx.progress.record(&mut item);
            }
            // A shutdown does not wait for the store's answer.
            drop(in_progress);
            admission.wait(&mut item, route.attempts_max).await;
            requeue_after_delay(ctx, item).await;
        }
        RunOutcome::Interrupted(_) => {
            if let Some(addr) = addr {
                let run = broken_run(ctx, &item, &target, addr, head, started);
                quarantine::check_crash(ctx, run).await;
            }
            requeue_after_delay(ctx, item).await;
        }
        RunOutcome::Superseded => {
            if let Some((run, reply)) = adopted {
                return Some(late::adopt(item, route, *run, reply));
            }
            requeue(ctx, item);
        }
        RunOutcome::EndNotMarked => {
            if events > 0 {
                record_success(ctx, &item, &target, addr, head, started);
            }
            requeue(ctx, item);
        }
        RunOutcome::Impossible
        | RunOutcome::NoRoom
        | RunOutcome::NotRun(_)
        | RunOutcome::Overdue
        | RunOutcome::Unusable(_) => requeue_after_delay(ctx, item).await,
    }
    // The next run of a suspect may start only when the outcome of this one is known.
    drop(guard);
    ctx.items.wake();
    None
}

/// Waits for the admission of a run, sends it, and waits for the start of the response. Overdue runs
/// of the item that end meanwhile are added to `ended`; one that is answered may make this run needless.
async fn begin(
    ctx: &Arc<Context>,
    run: &mut ItemStart,
    progress: &mut Exchange,
    overdue: &mut OverdueRuns,
    ended: &mut Vec<LateReply>,
) -> Result<Reply, RunOutcome> {
    let last_event = run.item.last_event;
    let begin = async {
        let attempts_max = run.route.attempts_max;
        let admitted = run.admission.wait_in_slot(&mut run.item, attempts_max);
        if !admitted.await {
            return Err(RunOutcome::NotAdmitted);
        }
        send(ctx, &run.item, &run.destination, progress).await
    };
    tokio::pin!(begin);
    loop {
        tokio::select! {
            // An answer that has arrived counts, although the run is cancelled.
            biased;
            begun = &mut begin => return begun,
            late = overdue.next() => {
                let is_decisive = late.is_decisive(last_event);
                ended.push(late);
                if is_decisive {
                    return Err(RunOutcome::Superseded);
                }
            }
            () = run.place.cancelled() => return Err(RunOutcome::Cancelled),
        }
    }
}

/// Returns whether the target of a run that was sent and brought no event may have answered it with
/// a failure, or may run it again and again without an answer.
fn is_in_doubt(outcome: RunOutcome, head: Option<Head>) -> bool {
    match outcome {
        RunOutcome::Completed | RunOutcome::Failed | RunOutcome::Impossible => false,
        // A target that had begun to answer with success was not left the time for an event.
        RunOutcome::Cancelled => !head.is_some_and(|head| head.is_success),
        _ => true,
    }
}

/// Records that a target answered an item with success.
fn record_success(
    ctx: &Arc<Context>,
    item: &Item,
    target: &TargetId,
    addr: Option<SocketAddr>,
    head: Option<Head>,
    started: Instant,
) {
    if head.is_none_or(|head| head.is_end_marked) {
        quarantine::record_success(ctx, || item.fingerprint(&ctx.decode));
        quarantine::record_parts_success(ctx, || item.parts(&ctx.decode).into());
        return;
    }
    if let Some(addr) = addr {
        quarantine::check_unmarked_end(ctx, || quarantine::BrokenRun {
            is_complete: true,
            ..broken_run(ctx, item, target, addr, head, started)
        });
    }
}

/// Returns an interrupted run of an item.
fn broken_run(
    ctx: &Context,
    item: &Item,
    target: &TargetId,
    addr: SocketAddr,
    head: Option<Head>,
    started: Instant,
) -> quarantine::BrokenRun {
    quarantine::BrokenRun {
        fingerprint: item.fingerprint(&ctx.decode),
        parts: item.parts(&ctx.decode).to_vec(),
        id: item.request.id.clone(),
        target: target.clone(),
        addr,
        run_time: head.map_or(started, |head| head.at).elapsed(),
        sent_at: head.map(|_| started),
        is_complete: false,
    }
}

async fn requeue_after_delay(ctx: &Arc<Context>, item: Item) {
    tokio::time::sleep(RETRY_DELAY).await;
    requeue(ctx, item);
}

/// Returns the name of an outcome in metrics and logs.
fn label(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Completed => "whole",
        RunOutcome::Cancelled => "cut",
        RunOutcome::NotAdmitted => "not admitted",
        RunOutcome::Overdue => "overdue",
        RunOutcome::Superseded => "superseded",
        RunOutcome::EndNotMarked => "end not marked",
        RunOutcome::Failed => "failed",
        RunOutcome::Impossible => "impossible",
        RunOutcome::NoRoom => "no room for the answer",
        RunOutcome::NotRun(err) => err.reason(),
        RunOutcome::Interrupted(reason) | RunOutcome::Unusable(reason) => reason,
    }
}

/// Returns what shows that a target ran nothing.
fn proof(outcome: RunOutcome) -> Option<&'static str> {
    match outcome {
        RunOutcome::NotRun(err) => err.proof(),
        RunOutcome::NotAdmitted => Some("not sent"),
        _ => None,
    }
}

/// Reports the outcome of a run to the balancer.
fn update_balancer(ctx: &Context, target: &TargetId, outcome: RunOutcome) {
    let now = Instant::now();
    let mut balancer = lock(&ctx.balancer);
    match outcome {
        RunOutcome::Completed | RunOutcome::EndNotMarked | RunOutcome::Impossible => {
            balancer.record_success(target, None)
        }
        RunOutcome::Failed => balancer.record_item_failure(target, now),
        RunOutcome::NotRun(NoReply::Full) => balancer.record_rejection(target, now),
        RunOutcome::NotRun(NoReply::Rejected(_))
        | RunOutcome::Cancelled
        | RunOutcome::NoRoom
        | RunOutcome::NotAdmitted
        | RunOutcome::Superseded => {}
        RunOutcome::NotRun(_)
        | RunOutcome::Interrupted(_)
        | RunOutcome::Overdue
        | RunOutcome::Unusable(_) => balancer.record_connection_failure(target, now),
    }
}

/// Sends an item to a target and waits for the start of the response.
async fn send(
    ctx: &Arc<Context>,
    item: &Item,
    destination: &Destination,
    progress: &mut Exchange,
) -> Result<Reply, RunOutcome> {
    catalog::wait_after_standstill(ctx).await;
    let target = &destination.target;
    let Some(addr) = lock(&ctx.balancer).spec(target).map(|spec| spec.addr) else {
        return Err(RunOutcome::NotRun(NoReply::NotSent("target gone")));
    };
    let call = Call {
        request: Arc::clone(&item.request),
        target: target.clone(),
        addr,
        remaining: RUN_TIMEOUT,
        resume_after: item.last_event,
        may_send: ctx.may_send_to(target),
    };
    let stall_timeout = ms(ctx.settings.batch.stall_ms);
    progress.is_sent = true;
    progress.addr = Some(addr);
    let sent_at = Instant::now();
    let mut reply = (ctx.targets.call)(call);
    match tokio::time::timeout(stall_timeout, &mut reply).await {
        Err(_) => {
            progress.pending = Some(reply);
            Err(RunOutcome::Overdue)
        }
        Ok(Err(err @ NoReply::Broken)) => Err(RunOutcome::Interrupted(err.reason())),
        Ok(Err(NoReply::Unknown(reason))) => Err(RunOutcome::Unusable(reason)),
        Ok(Err(err)) => {
            match err {
                NoReply::Full | NoReply::Rejected(_) => {
                    quarantine::record_answer(ctx, target, sent_at);
                }
                NoReply::OtherTarget => quarantine::record_replaced(ctx, target),
                NoReply::NotSent(_) | NoReply::Broken | NoReply::Unknown(_) => {}
            }
            progress.is_sent = false;
            Err(RunOutcome::NotRun(err))
        }
        Ok(Ok(reply)) => {
            quarantine::record_answer(ctx, target, sent_at);
            progress.head = Some(Head::of(&reply));
            Ok(reply)
        }
    }
}

/// Handles a response whose start has arrived.
async fn answer(
    ctx: &Arc<Context>,
    reply: Reply,
    item: &mut Item,
    destination: &Destination,
) -> RunOutcome {
    match reply.status {
        StatusCode::UNPROCESSABLE_ENTITY => RunOutcome::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => RunOutcome::Failed,
        status if !status.is_success() => RunOutcome::Unusable("other status"),
        _ if !reply.is_signed => RunOutcome::Unusable("unsigned success"),
        _ => {
            let stall_timeout = late::patience(ms(ctx.settings.batch.stall_ms), item.silences);
            read(ctx, reply, item, destination, stall_timeout).await
        }
    }
}

/// Reads a response. Complete events are kept whatever the outcome.
async fn read(
    ctx: &Arc<Context>,
    mut reply: Reply,
    item: &mut Item,
    destination: &Destination,
    stall_timeout: Duration,
) -> RunOutcome {
    let mut events = Events::default();
    let text_bytes_max = ctx.settings.batch.text_bytes_max;
    let mut event_deadline = Instant::now() + stall_timeout;
    loop {
        let frame = tokio::time::timeout_at(event_deadline.into(), reply.body.frame()).await;
        let Ok(frame) = frame else {
            return RunOutcome::Unusable(SILENT);
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return RunOutcome::Interrupted("broke off"),
            None if events.is_empty() => return end(item, reply.is_end_marked),
            None => return RunOutcome::Interrupted("ended in an event"),
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        events.push(&bytes);
        for event in events.by_ref() {
            event_deadline = Instant::now() + stall_timeout;
            if !is_next(item.last_event, event.id) {
                return RunOutcome::Unusable("event out of order");
            }
            if item.last_event.is_some() {
                item.text.push(b'\n');
            } else {
                item.origin = confirmed_origin(ctx, destination);
            }
            if let Some(report) = item.attempts.record_answer() {
                admission::report(ctx, item, report);
            }
            item.text.extend_from_slice(&event.data());
            item.last_event = event.id;
            item.unmarked_ends = 0;
        }
        if events.check_partial().is_err() {
            return RunOutcome::Unusable("event too long");
        }
        if item.text.len() as u64 > text_bytes_max {
            item.start_over();
            return RunOutcome::Unusable("answer too long");
        }
        let kept = item.text.len() + events.len();
        let intake = &ctx.callers.intake;
        if item.room.grow(intake, TEXT_COPIES, kept).await.is_err() {
            // What it has occupies room that others need to come to their ends.
            item.start_over();
            return RunOutcome::NoRoom;
        }
        if item.unsaved_event_count() >= ctx.settings.batch.save_events {
            ctx.progress.record(item);
        }
    }
}

/// Returns the outcome of a response that has ended between events. An end that nothing marks may be
/// that of the connection alone, until other runs have nothing to add.
fn end(item: &mut Item, is_marked: bool) -> RunOutcome {
    if is_marked {
        return RunOutcome::Completed;
    }
    if item.last_event.is_none() {
        return RunOutcome::Interrupted("ended before it began");
    }
    item.unmarked_ends += 1;
    match item.unmarked_ends >= UNMARKED_ENDS {
        true => RunOutcome::Completed,
        false => RunOutcome::EndNotMarked,
    }
}

/// Returns the origin of a text that begins. It is not known if the target's entry has changed
/// since the choice: the process that answers may be another one.
fn confirmed_origin(ctx: &Context, destination: &Destination) -> Option<Origin> {
    let origin = destination.origin.clone()?;
    let balancer = lock(&ctx.balancer);
    let entry = balancer.spec(&destination.target);
    let is_changed = entry.is_some_and(|e| e.version.as_ref() != Some(&origin.version));
    (!is_changed).then_some(origin)
}
