//! Runs of items that their targets have not begun to answer in time.
//!
//! A target that is slow is not lost: it answers, and the answer counts. So the connection of an
//! overdue run is kept, and its slot with it, while its item runs elsewhere. Of all runs of the item
//! the first one that begins to answer goes on, and a failure that arrives late is counted. Online
//! requests do not preempt the run meanwhile.
//!
//! Closing the connection instead was rejected: nobody learns the answer, so an item that fails is
//! sent too often, and one whose targets are all slow never ends. Waiting without another run was
//! rejected as well: an item at a target that hangs would be late, in calm too.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use notchwharf_config::routes::Route;
use notchwharf_ledger::jobs::Reason;
use notchwharf_quarantine::gate::RunGuard;
use tokio::sync::mpsc;

use super::ItemStart;
use super::admission;
use super::admission::Admission;
use super::completion;
use super::registry::Place;
use super::requeue;
use super::run;
use super::run::Destination;
use super::run::RUN_TIMEOUT;
use crate::backlog::Item;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::NoReply;
use crate::ports::Reply;
use crate::sync::lock;
use crate::time::millis;

/// The call of a run that is overdue.
pub(super) type PendingReply = BoxFuture<'static, Result<Reply, NoReply>>;

/// A run that has been sent.
#[derive(Debug)]
pub(super) struct SentRun {
    pub(super) destination: Destination,
    pub(super) place: Place,
    /// The quarantine's guard, if the item is a suspect.
    pub(super) guard: Option<RunGuard>,
    /// The event after which the target was asked to go on.
    pub(super) resume_after: Option<u64>,
    pub(super) started: Instant,
}

/// The end of the wait for an overdue run.
#[derive(Debug)]
pub(super) struct LateReply {
    pub(super) run: SentRun,
    pub(super) reply: Result<Reply, NoReply>,
}

impl LateReply {
    /// Returns whether an item that has received its events up to `last_event` needs no other run
    /// now.
    pub(super) fn is_decisive(&self, last_event: Option<u64>) -> bool {
        let reply = self.reply.as_ref();
        reply.is_ok_and(|reply| {
            let is_success = reply.status.is_success() && reply.is_signed;
            reply.status == StatusCode::UNPROCESSABLE_ENTITY
                || is_success && self.run.resume_after == last_event
        })
    }
}

/// The overdue runs of an item. Dropping this closes their connections.
#[derive(Debug, Default)]
pub(crate) struct OverdueRuns {
    /// None until there is one, as few items have any.
    replies: Option<Replies>,
}

#[derive(Debug)]
struct Replies {
    sender: mpsc::UnboundedSender<LateReply>,
    receiver: mpsc::UnboundedReceiver<LateReply>,
}

impl OverdueRuns {
    /// Keeps the connection of a run until its target answers.
    pub(super) fn keep(&mut self, ctx: &Arc<Context>, run: SentRun, reply: PendingReply) {
        let replies = self.replies.get_or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            Replies { sender, receiver }
        });
        run.place.keep();
        tokio::spawn(wait(Arc::clone(ctx), run, reply, replies.sender.clone()));
    }

    /// Returns whether the wait for a run has ended.
    pub(super) fn has_reply(&self) -> bool {
        let replies = self.replies.as_ref();
        replies.is_some_and(|replies| !replies.receiver.is_empty())
    }

    /// Removes a run for which the wait has ended.
    fn try_next(&mut self) -> Option<LateReply> {
        self.replies.as_mut()?.receiver.try_recv().ok()
    }

    /// Waits until the wait for a run has ended.
    pub(super) async fn next(&mut self) -> LateReply {
        let received = match &mut self.replies {
            Some(replies) => replies.receiver.recv().await,
            None => None,
        };
        // A sender is kept here, so the channel does not end.
        match received {
            Some(reply) => reply,
            None => std::future::pending().await,
        }
    }
}

/// Waits for the answer of an overdue run, until its slot or its item is taken away.
async fn wait(
    ctx: Arc<Context>,
    mut run: SentRun,
    mut reply: PendingReply,
    replies: mpsc::UnboundedSender<LateReply>,
) {
    let deadline = tokio::time::Instant::from_std(run.started + RUN_TIMEOUT);
    let reply = tokio::select! {
        biased;
        reply = &mut reply => reply,
        () = run.place.cancelled() => Err(NoReply::Unknown("cut")),
        () = tokio::time::sleep_until(deadline) => Err(NoReply::Unknown("timed out")),
        () = replies.closed() => return,
    };
    // The item may have ended meanwhile.
    let _ = replies.send(LateReply { run, reply });
    ctx.items.wake();
}

/// Returns how long a run whose target has begun to answer waits for an event; longer after each that
/// waited in vain, since its connection is closed.
pub(super) fn patience(stall_timeout: Duration, silences: u32) -> Duration {
    let doublings = silences.min(u32::BITS - 1);
    stall_timeout
        .saturating_mul(1 << doublings)
        .min(RUN_TIMEOUT)
}

/// What an item does after a late reply.
pub(super) enum Resolved {
    /// It goes on with the reply.
    Adopted(Box<SentRun>, Reply),
    /// It can never succeed.
    Impossible,
    /// What it did before.
    Unchanged,
}

/// Records the end of the wait for an overdue run.
pub(super) fn resolve(ctx: &Arc<Context>, item: &mut Item, late: LateReply) -> Resolved {
    let LateReply { run, reply } = late;
    let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
    slog::info!(ctx.logger, "overdue run of an item has ended"; "job" => item.key.0.as_str(),
        "id" => item.request.id.as_str(), "target" => run.destination.target.as_str(),
        "status" => status, "reason" => reply.as_ref().err().map(|err| err.reason()),
        "took_ms" => millis(run.started.elapsed()));
    let label = match reply {
        Ok(_) => "answered late",
        Err(_) => "lost after it was overdue",
    };
    ctx.metrics.count(Counted::Items, label);
    let Ok(reply) = reply else {
        return Resolved::Unchanged;
    };
    match reply.status {
        StatusCode::UNPROCESSABLE_ENTITY => Resolved::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => {
            let target = &run.destination.target;
            let mut balancer = lock(&ctx.balancer);
            let is_target_failing = balancer.is_failing(target, Instant::now());
            balancer.record_item_failure(target, Instant::now());
            drop(balancer);
            item.failed_at.push(target.clone());
            let report = item.attempts.record_late_failure(is_target_failing);
            admission::report(ctx, item, report);
            Resolved::Unchanged
        }
        status if status.is_success() && reply.is_signed && run.resume_after == item.last_event => {
            item.attempts.resume_late();
            Resolved::Adopted(Box::new(run), reply)
        }
        _ => Resolved::Unchanged,
    }
}

/// Goes on with an item whose overdue runs have ended while it was queued.
pub(super) fn resolve_queued(ctx: &Arc<Context>, mut item: Item, route: Arc<Route>) {
    while let Some(late) = item.overdue.try_next() {
        match resolve(ctx, &mut item, late) {
            Resolved::Adopted(run, reply) => {
                let start = adopt(item, route, *run, reply);
                tokio::spawn(run::run(Arc::clone(ctx), start));
                return;
            }
            Resolved::Impossible => return completion::fail(ctx, &item, Reason::Impossible),
            Resolved::Unchanged => {}
        }
    }
    requeue(ctx, item);
}

/// Returns the start of a run whose target has answered late.
pub(super) fn adopt(item: Item, route: Arc<Route>, run: SentRun, reply: Reply) -> ItemStart {
    ItemStart {
        item,
        route,
        destination: run.destination,
        place: run.place,
        guard: run.guard,
        admission: Admission::Granted,
        reply: Some(reply),
    }
}
