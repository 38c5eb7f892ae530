//! Probes a target after runs there were interrupted, to detect whether it crashed. A run whose
//! answer ended with its connection may have been interrupted too.

use std::collections::HashMap;
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

/// How long an interrupted request waits for the probe: many round trips to a target. The crash
/// should be recorded before the request's next run or its caller's next attempt; a target that
/// doesn't respond at all is not worth a longer wait.
const PROBE_WAIT: Duration = Duration::from_millis(30);

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

/// An interrupted run that waits for the probe of its target.
#[derive(Debug)]
struct PendingRun {
    run: BrokenRun,
    detected_at: Instant,
    /// Dropped when the probe is done.
    _done: oneshot::Sender<()>,
}

/// Probes in progress, each with the runs that wait for it: one crash interrupts several.
#[derive(Debug, Default)]
pub(super) struct Probes(Mutex<HashMap<TargetId, Vec<PendingRun>>>);

impl Probes {
    /// Adds a run; returns whether its target is not being probed yet.
    fn add(&self, pending: PendingRun) -> bool {
        let mut probes = lock(&self.0);
        let runs = probes.entry(pending.run.target.clone()).or_default();
        runs.push(pending);
        runs.len() == 1
    }

    fn take(&self, target: &str) -> Vec<PendingRun> {
        lock(&self.0).remove(target).unwrap_or_default()
    }
}

/// Checks whether a target crashed under an interrupted run. Waits a short time for the result.
pub(crate) async fn check_crash(ctx: &Arc<Context>, run: BrokenRun) {
    let (done_tx, done) = oneshot::channel();
    let (target, addr) = (run.target.clone(), run.addr);
    let pending = PendingRun {
        run,
        detected_at: Instant::now(),
        _done: done_tx,
    };
    if ctx.suspects.probes.add(pending) {
        // In its own task: the result counts even if the caller disconnects now.
        tokio::spawn(probe(Arc::clone(ctx), target, addr));
    }
    // The request continues whether or not the probe is done.
    let _ = tokio::time::timeout(PROBE_WAIT, done).await;
}

/// Records the success of a run whose answer ended with its connection, unless its target has
/// crashed. While nothing is suspected, no success has to be recorded, and the target isn't probed.
pub(crate) fn check_unmarked_end(ctx: &Arc<Context>, run: impl FnOnce() -> BrokenRun) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() && !gate.has_parts() {
        return;
    }
    let (ctx, run) = (Arc::clone(ctx), run());
    tokio::spawn(async move { check_crash(&ctx, run).await });
}

/// Probes a target. If it has crashed, records that for the runs that wait.
async fn probe(ctx: Arc<Context>, target: TargetId, addr: SocketAddr) {
    let presence = (ctx.targets.probe)(addr).await;
    let pending_runs = ctx.suspects.probes.take(&target);
    slog::info!(ctx.logger, "target probed"; "target" => target.as_str(),
        "presence" => ?presence, "runs" => pending_runs.len());
    if presence != Presence::Gone && pending_runs.iter().any(|pending| !pending.run.is_complete) {
        // The run broke off, and nothing tells why.
        ctx.metrics.count(Counted::Changes, "crash not seen");
    }
    if presence == Presence::Listening {
        let complete = pending_runs
            .iter()
            .filter(|pending| pending.run.is_complete);
        for pending in complete {
            record_success(&ctx, || pending.run.fingerprint);
            record_parts_success(&ctx, || pending.run.parts.as_slice().into());
        }
    }
    if presence != Presence::Gone {
        return;
    }
    ctx.metrics.count(Counted::Changes, "target crashed");
    let incarnation = incarnation_of(&ctx, &target);
    for pending in &pending_runs {
        record_crash(&ctx, pending, incarnation);
    }
    // Others may have seen crashes of which this host is not told.
    suspects::update_reach(&ctx);
    let requests = pending_runs.iter().map(|pending| pending.run.fingerprint);
    let parts = pending_runs.iter().flat_map(|pending| &pending.run.parts);
    saver::save(&ctx, requests.collect(), parts.copied().collect()).await;
}

fn record_crash(ctx: &Arc<Context>, pending: &PendingRun, incarnation: IncarnationId) {
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
        incarnation: sent_at.map_or(incarnation, |sent_at| {
            gate.incarnation_of_run(fingerprint, incarnation, sent_at)
        }),
        run_time,
        detected_at: pending.detected_at,
    };
    record_part_crashes(ctx, &pending.run, incarnation, pending.detected_at);
    let change = ctx.suspects.gate.record_crash(fingerprint, crash);
    let known = ctx.suspects.known();
    slog::info!(ctx.logger, "target crashed under a request"; "id" => pending.run.id.as_str(),
        "target" => pending.run.target.as_str(), "ran_ms" => millis(run_time),
        "crashes" => ctx.suspects.gate.crash_count(fingerprint),
        "records_from" => known.as_ref().map(|known| known.source.as_str()),
        "records_age_ms" => known.as_ref().map(|known| millis(known.since.elapsed())),
        "fingerprint" => fingerprint::to_hex(fingerprint), "parts" => prompt::join(&pending.run.parts));
    if let Change::Blamed { crashes } = change {
        log_blamed(ctx, fingerprint, crashes, ctx.host());
    }
}

/// Records that a target crashed under the shared parts of a request's prompt.
fn record_part_crashes(
    ctx: &Arc<Context>,
    run: &BrokenRun,
    incarnation: IncarnationId,
    detected_at: Instant,
) {
    let gate = &ctx.suspects.gate;
    // The lower half identifies a request among the few at one target.
    let request = run.fingerprint as parts::RequestKey;
    for part in run.parts.iter().copied() {
        let crash = parts::Crash {
            incarnation: run.sent_at.map_or(incarnation, |sent_at| {
                gate.incarnation_of_part_run(part, incarnation, sent_at)
            }),
            request,
            run_time: run.run_time,
            has_begun: run.sent_at.is_some(),
            detected_at,
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
