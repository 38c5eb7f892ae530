//! Looks at a target after runs there broke off, to detect whether it ended. A run whose answer
//! ended with its connection may have broken off too.
//!
//! A process that ends closes its connections and its listener one after the other, may be back
//! before the first look, or may fall silent with its machine. So a target that the first look does
//! not show to have ended is looked at again, until it answers a request that was sent since, or
//! until another start of it is known. A run that broke off at a target that goes on is no evidence:
//! connections are reset for other reasons.
//!
//! Taking a reset as a crash was rejected, as a reset of many connections would blame whatever ran on
//! them. Asking the target for its state was rejected: such a request waits for a slot like any other.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::parts;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::log_blamed;
use super::log_blamed_part;
use super::record_parts_success;
use super::record_success;
use super::saver;
use crate::RequestId;
use crate::context::Context;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::peers::suspects;
use crate::ports::Presence;
use crate::sync::lock;
use crate::time::millis;

/// How long an interrupted request waits for the first look and the record of a crash: many round
/// trips to a target. The crash should be recorded before the request's next run or its caller's next
/// attempt; a target that doesn't respond at all is not worth a longer wait.
const PROBE_WAIT: Duration = Duration::from_millis(30);

/// The same if its content or a part of its prompt has been in crashes before: it waits until the end of
/// its target is seen, or an answer shows that the target goes on. Else it could crash several targets
/// before any of these crashes is seen.
const SUSPECT_WAIT: Duration = Duration::from_secs(1);
/// Least number of crashes for that. One crash is met by any request.
const SUSPECT_CRASHES_MIN: u32 = 2;

/// Pause between the first two looks, and the longest between any two. A pause is twice as long as the
/// newest run has been broken off.
const LOOK_PAUSE_MIN: Duration = Duration::from_millis(10);
const LOOK_PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// Time after a run broke off for which its target is looked at. The entry of a target that ended is
/// removed soon after that, which doesn't tell an end from a shutdown.
const LOOK_TIME: Duration = Duration::from_secs(3);
/// Time after which an answer that ended with its connection counts, if its target goes on listening.
const LISTENING_TIME: Duration = Duration::from_millis(200);
/// Runs at other targets that break off within so much time of one another break off for a common reason:
/// the network reset their connections, or many targets ended.
const COMMON_BREAK_TIME: Duration = Duration::from_millis(20);
/// Number of breaks that are remembered for that.
const BREAKS_REMEMBERED: usize = 256;
/// Interval at which the known entries are searched for another start of a target.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A run that was interrupted, or whose answer ended with its connection.
#[derive(Clone, Debug)]
pub(crate) struct BrokenRun {
    /// The fingerprint of the request or item.
    pub(crate) fingerprint: Fingerprint,
    /// The shared parts of its prompt.
    pub(crate) parts: Vec<PartId>,
    /// The id of the attempt.
    pub(crate) id: RequestId,
    /// The target it ran at.
    pub(crate) target: TargetId,
    /// The target's address.
    pub(crate) addr: SocketAddr,
    /// How long it ran.
    pub(crate) run_time: Duration,
    /// When it was sent, if the target had started to respond: the target was running then.
    pub(crate) sent_at: Option<Instant>,
    /// Whether its answer was a success and looked complete.
    pub(crate) is_complete: bool,
}

/// A run whose target is looked at.
#[derive(Debug)]
struct PendingRun {
    run: BrokenRun,
    /// The target's incarnation when the run broke off.
    incarnation: IncarnationId,
    detected_at: Instant,
    /// Dropped when the first look is done, and a crash that it showed is recorded.
    waiting: Option<oneshot::Sender<()>>,
    /// Whether it is dropped only once it is known why the run broke off.
    waits_for_end: bool,
}

impl PendingRun {
    fn began_at(&self) -> Instant {
        let began_at = self.detected_at.checked_sub(self.run.run_time);
        began_at.unwrap_or(self.detected_at)
    }
}

/// A target that is looked at.
#[derive(Debug, Default)]
struct Watched {
    runs: Vec<PendingRun>,
    /// When the request was sent that is the newest one which the target answered.
    answered_since: Option<Instant>,
    /// Whether another start has answered at its address.
    is_replaced: bool,
}

/// The targets that are looked at, each with the runs that broke off there: one crash interrupts
/// several.
#[derive(Debug, Default)]
pub(super) struct Probes {
    watched: Mutex<HashMap<TargetId, Watched>>,
    /// The newest breaks, oldest first.
    breaks: Mutex<VecDeque<(TargetId, Instant)>>,
    changed: Notify,
}

impl Probes {
    /// Adds a run; returns whether its target is not being looked at yet.
    fn add(&self, pending: PendingRun) -> bool {
        {
            let mut breaks = lock(&self.breaks);
            if breaks.len() >= BREAKS_REMEMBERED {
                breaks.pop_front();
            }
            breaks.push_back((pending.run.target.clone(), pending.detected_at));
        }
        let mut watched = lock(&self.watched);
        let runs = &mut watched.entry(pending.run.target.clone()).or_default().runs;
        runs.push(pending);
        runs.len() == 1
    }

    fn update(&self, target: &str, change: impl FnOnce(&mut Watched)) {
        if let Some(watched) = lock(&self.watched).get_mut(target) {
            change(watched);
            self.changed.notify_waiters();
        }
    }

    /// Records that a target answered a request that was sent at a time.
    pub(super) fn record_answer(&self, target: &str, sent_at: Instant) {
        self.update(target, |watched| {
            watched.answered_since = watched.answered_since.max(Some(sent_at));
        });
    }

    /// Records that another start answered at a target's address.
    pub(super) fn record_replaced(&self, target: &str) {
        self.update(target, |watched| watched.is_replaced = true);
    }

    /// Returns whether a run that broke off at a target had begun before a time.
    fn has_begun_before(&self, target: &str, at: Instant) -> bool {
        let watched = lock(&self.watched);
        let mut runs = watched.get(target).into_iter().flat_map(|w| &w.runs);
        runs.any(|pending| pending.began_at() < at)
    }

    fn is_replaced(&self, target: &str) -> bool {
        let watched = lock(&self.watched);
        watched.get(target).is_some_and(|w| w.is_replaced)
    }

    /// Returns whether a run at another target broke off at the same time as one at a target.
    fn is_common_break(&self, target: &str, at: Instant) -> bool {
        let is_common = |other: &(TargetId, Instant)| {
            let apart = other.1.max(at) - other.1.min(at);
            other.0 != target && apart <= COMMON_BREAK_TIME
        };
        lock(&self.breaks).iter().any(is_common)
    }

    /// Removes the runs that match, and the target with the last one.
    fn take(
        &self,
        target: &str,
        matches: impl Fn(&Watched, &PendingRun) -> bool,
    ) -> Vec<PendingRun> {
        let mut all = lock(&self.watched);
        let Some(watched) = all.get_mut(target) else {
            return Vec::new();
        };
        let runs = std::mem::take(&mut watched.runs);
        let (taken, left) = runs.into_iter().partition(|run| matches(watched, run));
        watched.runs = left;
        if watched.runs.is_empty() {
            all.remove(target);
        }
        taken
    }

    /// Returns when the newest of a target's runs broke off; `None` if there are none.
    fn newest(&self, target: &str) -> Option<Instant> {
        let watched = lock(&self.watched);
        let runs = watched.get(target)?.runs.iter();
        runs.map(|pending| pending.detected_at).max()
    }

    fn end_waits(&self, target: &str) {
        if let Some(watched) = lock(&self.watched).get_mut(target) {
            let runs = watched.runs.iter_mut().filter(|run| !run.waits_for_end);
            runs.for_each(|run| run.waiting = None);
        }
    }
}

/// Checks whether a target crashed under an interrupted run. Waits a short time for the first look, or for
/// the result if it is a suspect's.
pub(crate) async fn check_crash(ctx: &Arc<Context>, run: BrokenRun) {
    let is_suspect = is_suspect(ctx, &run);
    let wait = match is_suspect {
        true => SUSPECT_WAIT,
        false => PROBE_WAIT,
    };
    let waiting = watch(ctx, run, is_suspect);
    // The request continues whether or not the look is done.
    let _ = tokio::time::timeout(wait, waiting).await;
}

/// Returns whether a run's content, or a part of its prompt, has been in crashes before.
fn is_suspect(ctx: &Context, run: &BrokenRun) -> bool {
    let gate = &ctx.suspects.gate;
    let crashes = run.parts.iter().map(|part| gate.part_crash_count(*part));
    let crashes = crashes.chain([gate.crash_count(run.fingerprint)]);
    crashes.max() >= Some(SUSPECT_CRASHES_MIN)
}

/// Looks at the target of a run that fell silent, without a wait: it may have ended with its machine.
pub(crate) fn check_silent(ctx: &Arc<Context>, run: BrokenRun) {
    drop(watch(ctx, run, false));
}

/// Checks whether another start has taken a target's place since a run there began that was not
/// answered in time. Nothing else is looked for, as the target may have been busy.
pub(crate) fn check_replaced(ctx: &Arc<Context>, run: BrokenRun) {
    let began_at = Instant::now().checked_sub(run.run_time);
    if ctx.catalog.replaced_at(run.addr) > began_at {
        drop(watch(ctx, run, false));
    }
}

/// Records the success of a run whose answer ended with its connection, unless its target has
/// crashed. While nothing is suspected, no success has to be recorded, and the target isn't looked at.
pub(crate) fn check_unmarked_end(ctx: &Arc<Context>, run: impl FnOnce() -> BrokenRun) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() && !gate.has_parts() {
        return;
    }
    drop(watch(ctx, run(), false));
}

/// Looks at the target of a run, in a task of its own: the result counts even if the caller
/// disconnects now.
fn watch(ctx: &Arc<Context>, run: BrokenRun, waits_for_end: bool) -> oneshot::Receiver<()> {
    let (waiting, done) = oneshot::channel();
    let (target, addr) = (run.target.clone(), run.addr);
    let mut pending = PendingRun {
        incarnation: incarnation_of(ctx, &target),
        run,
        detected_at: Instant::now(),
        waiting: Some(waiting),
        waits_for_end,
    };
    // It ended when its place was taken at latest.
    let replaced_at = ctx.catalog.replaced_at(addr);
    if let Some(at) = replaced_at.filter(|at| *at > pending.began_at()) {
        pending.run.run_time = at - pending.began_at();
        pending.detected_at = at;
    }
    if ctx.suspects.probes.add(pending) {
        tokio::spawn(look_at(Arc::clone(ctx), target, addr));
    }
    done
}

/// Looks at a target until it is known why its runs broke off, or for [`LOOK_TIME`].
async fn look_at(ctx: Arc<Context>, target: TargetId, addr: SocketAddr) {
    let probes = &ctx.suspects.probes;
    let mut may_shut_down = false;
    let mut looks = 0_u32;
    while let Some(newest) = probes.newest(&target) {
        let presence = (ctx.targets.probe)(addr).await;
        slog::info!(ctx.logger, "target probed"; "target" => target.as_str(),
            "presence" => ?presence, "look" => looks, "after_ms" => millis(newest.elapsed()));
        let is_replaced = is_replaced(&ctx, &target, addr);
        may_shut_down |= looks > 0 && may_shut_down_now(&ctx, &target, is_replaced);
        let has_ended = presence == Presence::Gone || is_replaced;
        if has_ended && !may_shut_down {
            record_end(&ctx, &target, is_replaced).await;
            return;
        }
        resolve(&ctx, &target, presence, has_ended);
        probes.end_waits(&target);
        looks = looks.saturating_add(1);
        let pause = (newest.elapsed() * 2).clamp(LOOK_PAUSE_MIN, LOOK_PAUSE_MAX);
        wait_for_evidence(&ctx, &target, addr, pause).await;
    }
}

/// Waits for a pause, or until it is known whether a target has ended.
async fn wait_for_evidence(ctx: &Context, target: &str, addr: SocketAddr, pause: Duration) {
    let probes = &ctx.suspects.probes;
    let ends_at = Instant::now() + pause;
    while Instant::now() < ends_at {
        let check_at = ends_at.min(Instant::now() + ENTRY_CHECK_INTERVAL);
        let changed = tokio::time::timeout_at(check_at.into(), probes.changed.notified());
        let is_changed = changed.await.is_ok();
        if is_changed || is_replaced(ctx, target, addr) {
            return;
        }
    }
}

/// Returns whether another start has taken a target's place since its runs that broke off began.
fn is_replaced(ctx: &Context, target: &str, addr: SocketAddr) -> bool {
    let probes = &ctx.suspects.probes;
    let replaced_at = ctx.catalog.replaced_at(addr);
    probes.is_replaced(target) || replaced_at.is_some_and(|at| probes.has_begun_before(target, at))
}

/// Returns whether a target may be shutting down: it has said so, or its entry was removed and no
/// other start has taken its place.
fn may_shut_down_now(ctx: &Context, target: &str, is_replaced: bool) -> bool {
    let balancer = lock(&ctx.balancer);
    let spec = balancer.spec(target);
    spec.map_or(!is_replaced, |spec| spec.is_leaving)
}

/// Decides on the runs of a target that has not ended, as far as that is known.
fn resolve(ctx: &Arc<Context>, target: &str, presence: Presence, has_ended: bool) {
    let probes = &ctx.suspects.probes;
    let is_listening = presence == Presence::Listening;
    let survived = probes.take(target, |watched, pending| {
        let is_answered = watched.answered_since > Some(pending.detected_at);
        let has_listened = is_listening && pending.detected_at.elapsed() >= LISTENING_TIME;
        is_answered || (pending.run.is_complete && has_listened)
    });
    for pending in &survived {
        if !pending.run.is_complete {
            let change = "run broke off at a target that goes on";
            ctx.metrics.count(Counted::Changes, change);
            continue;
        }
        record_success(ctx, || pending.run.fingerprint);
        record_parts_success(ctx, || pending.run.parts.as_slice().into());
    }
    let undecided = probes.take(target, |_, pending| {
        has_ended || pending.detected_at.elapsed() >= LOOK_TIME
    });
    if undecided.iter().any(|pending| !pending.run.is_complete) {
        slog::info!(ctx.logger, "runs broke off, and nothing shows why"; "target" => target,
            "runs" => undecided.len(), "may_shut_down" => has_ended);
        ctx.metrics.count(Counted::Changes, "crash not seen");
    }
}

/// Records that a target crashed under its runs, here and in the store.
async fn record_end(ctx: &Arc<Context>, target: &str, is_replaced: bool) {
    ctx.metrics.count(Counted::Changes, "target crashed");
    let probes = &ctx.suspects.probes;
    let mut runs = probes.take(target, |_, _| true);
    for pending in &mut runs {
        // A run that broke off for a common reason may have met the end of its target at any time since.
        if probes.is_common_break(target, pending.detected_at) {
            pending.run.run_time += pending.detected_at.elapsed();
        }
        record_crash(ctx, pending, is_replaced);
    }
    // Others may have seen crashes of which this host is not told.
    suspects::update_reach(ctx);
    let requests = runs.iter().map(|pending| pending.run.fingerprint);
    let parts = runs.iter().flat_map(|pending| &pending.run.parts).copied();
    saver::save(ctx, requests.collect(), parts.collect()).await;
}

fn record_crash(ctx: &Arc<Context>, pending: &PendingRun, is_replaced: bool) {
    let BrokenRun {
        fingerprint,
        run_time,
        sent_at,
        ..
    } = pending.run;
    let gate = &ctx.suspects.gate;
    let crash = Crash {
        // This host's list of targets may be stale: if the target responded after the
        // incarnation in the list had ended, it has restarted.
        incarnation: sent_at.map_or(pending.incarnation, |sent_at| {
            gate.incarnation_of_run(fingerprint, pending.incarnation, sent_at)
        }),
        run_time,
        detected_at: pending.detected_at,
    };
    record_part_crashes(ctx, pending);
    let change = ctx.suspects.gate.record_crash(fingerprint, crash);
    let known = ctx.suspects.known();
    slog::info!(ctx.logger, "target crashed under a request"; "id" => pending.run.id.as_str(),
        "target" => pending.run.target.as_str(), "ran_ms" => millis(run_time),
        "seen_after_ms" => millis(pending.detected_at.elapsed()), "by_other_start" => is_replaced,
        "crashes" => ctx.suspects.gate.crash_count(fingerprint),
        "records_from" => known.as_ref().map(|known| known.source.as_str()),
        "records_age_ms" => known.as_ref().map(|known| millis(known.since.elapsed())),
        "fingerprint" => fingerprint::to_hex(fingerprint), "parts" => prompt::join(&pending.run.parts));
    if let Change::Blamed { crashes } = change {
        log_blamed(ctx, fingerprint, crashes, ctx.host());
    }
}

/// Records that a target crashed under the shared parts of a request's prompt.
fn record_part_crashes(ctx: &Context, pending: &PendingRun) {
    let gate = &ctx.suspects.gate;
    let run = &pending.run;
    // The lower half identifies a request among the few at one target.
    let request = run.fingerprint as parts::RequestKey;
    for part in run.parts.iter().copied() {
        let crash = parts::Crash {
            incarnation: run.sent_at.map_or(pending.incarnation, |sent_at| {
                gate.incarnation_of_part_run(part, pending.incarnation, sent_at)
            }),
            request,
            run_time: run.run_time,
            has_begun: run.sent_at.is_some(),
            detected_at: pending.detected_at,
        };
        let change = gate.record_part_crash(part, crash);
        if let Change::Blamed { crashes } = change {
            log_blamed_part(ctx, part, crashes, ctx.host());
        }
    }
}

/// Returns the id of a target's current incarnation. It is the same at all hosts, and differs
/// after a restart under the same name.
fn incarnation_of(ctx: &Context, target: &str) -> IncarnationId {
    let balancer = lock(&ctx.balancer);
    let started_unix_ms = balancer.spec(target).and_then(|spec| spec.started_unix_ms);
    xxh3_64(format!("{target}/{}", started_unix_ms.unwrap_or_default()).as_bytes())
}
