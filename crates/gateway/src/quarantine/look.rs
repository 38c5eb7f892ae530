//! Looks whether a target has crashed when runs there broke off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::IncarnationId;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::note_blamed;
use super::saved;
use crate::RequestId;
use crate::context::Context;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::ports::Presence;
use crate::sync::lock;
use crate::time::millis;

/// Time for which a request that broke off waits for the look: many times the way to a
/// target and back. Its next run, or its caller's next attempt, shall find the crash
/// noted; a target that says nothing is not worth the wait.
const LOOK_WAIT: Duration = Duration::from_millis(30);

/// A run that broke off.
#[derive(Clone, Debug)]
pub(crate) struct BrokenRun {
    /// What ran.
    pub(crate) fingerprint: Fingerprint,
    /// The id of its attempt.
    pub(crate) id: RequestId,
    /// Where it ran.
    pub(crate) target: TargetId,
    /// Where the target answers.
    pub(crate) addr: SocketAddr,
    /// How long it ran.
    pub(crate) run_time: Duration,
    /// When it was sent, if the target had begun to answer it: the target lived then.
    pub(crate) sent_at: Option<Instant>,
}

/// A run that broke off at a target that is being looked at.
#[derive(Debug)]
struct Broken {
    run: BrokenRun,
    at: Instant,
    /// Dropped when the look is over.
    _done: oneshot::Sender<()>,
}

/// Looks that are under way, each with the runs that wait for it: a crash ends several.
#[derive(Debug, Default)]
pub(super) struct Looks(Mutex<HashMap<TargetId, Vec<Broken>>>);

impl Looks {
    /// Adds a run; returns whether nobody is looking yet.
    fn add(&self, broken: Broken) -> bool {
        let mut looks = lock(&self.0);
        let waiting = looks.entry(broken.run.target.clone()).or_default();
        waiting.push(broken);
        waiting.len() == 1
    }

    fn take(&self, target: &str) -> Vec<Broken> {
        lock(&self.0).remove(target).unwrap_or_default()
    }
}

/// Notes that a connection to a target broke off under a run, and waits a moment until
/// it is known whether the target crashed.
pub(crate) async fn check_crash(ctx: &Arc<Context>, run: BrokenRun) {
    let (done, over) = oneshot::channel();
    let (target, addr) = (run.target.clone(), run.addr);
    let broken = Broken {
        run,
        at: Instant::now(),
        _done: done,
    };
    if ctx.suspects.looks.add(broken) {
        // On its own: what was seen counts also if the caller leaves now.
        tokio::spawn(look(Arc::clone(ctx), target, addr));
    }
    // Over or not, the request goes its way.
    let _ = tokio::time::timeout(LOOK_WAIT, over).await;
}

async fn look(ctx: Arc<Context>, target: TargetId, addr: SocketAddr) {
    let presence = (ctx.targets.probe)(addr).await;
    let broken = ctx.suspects.looks.take(&target);
    slog::info!(ctx.logger, "target looked at"; "target" => target.as_str(),
        "presence" => ?presence, "runs" => broken.len());
    if presence != Presence::Gone {
        return;
    }
    ctx.metrics.count(Counted::Changes, "target crashed");
    let lifecycle = life_of(&ctx, &target);
    for broken in &broken {
        note_crash(&ctx, broken, lifecycle);
    }
}

fn note_crash(ctx: &Arc<Context>, broken: &Broken, lifecycle: IncarnationId) {
    let BrokenRun {
        fingerprint,
        run_time,
        sent_at,
        ..
    } = broken.run;
    let gate = &ctx.suspects.gate;
    let crash = Crash {
        // The list of targets may be old here: one that answered after the life that it
        // names had ended has started anew.
        incarnation: sent_at.map_or(lifecycle, |from| {
            gate.incarnation_of_run(fingerprint, lifecycle, from)
        }),
        run_time,
        detected_at: broken.at,
    };
    let change = ctx.suspects.gate.record_crash(fingerprint, crash);
    slog::info!(ctx.logger, "target crashed under a request"; "id" => broken.run.id.as_str(),
        "target" => broken.run.target.as_str(), "ran_ms" => millis(run_time),
        "crashes" => ctx.suspects.gate.crash_count(fingerprint),
        "fingerprint" => fingerprint::to_hex(fingerprint));
    if let Change::Blamed { crashes } = change {
        note_blamed(ctx, fingerprint, crashes, ctx.host());
        saved::save(ctx, fingerprint);
    }
}

/// Returns what names the present life of a target, to all hosts alike: a target may
/// start again under its name.
fn life_of(ctx: &Context, target: &str) -> IncarnationId {
    let places = lock(&ctx.balancer);
    let born = places.spec(target).and_then(|spec| spec.started_unix_ms);
    xxh3_64(format!("{target}/{}", born.unwrap_or_default()).as_bytes())
}
