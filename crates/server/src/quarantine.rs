//! Keeps chat completions from targets that crash under them.
//!
//! The gate is the one that the gateway has. A target tells its incarnation, so whether
//! one crashed when a stream was cut is asked of itself: it has another one now, or
//! nobody answers. Items of jobs have attempts, counted in the ledger when a target is
//! seen to fail, and run alone from the last one on; they do not pass this gate.
//!
//! Not ideal: nothing is written to the log, so a host that starts knows only what the
//! others tell, and if all are gone nobody knows.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_clients::error::CallError;
use notchwharf_listen::Phase;
use notchwharf_proto::datagram;
use notchwharf_proto::datagram::Datagram;
use notchwharf_proto::messages;
use notchwharf_quarantine::gate::Blocked;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_quarantine::reports::REPORT_FANOUT;
use notchwharf_quarantine::reports::REPORT_INTERVAL;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::encode;
use notchwharf_quarantine::reports::send_changes;
use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::Report;
use notchwharf_routing::table::Refusal;
use rand::seq::IteratorRandom as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::metrics::Counted;
use crate::online::Failure;
use crate::online::Request;

/// When to come back if requests alike have run for all of the request's time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Starts to tell other hosts of suspects.
pub(crate) fn start(ctx: &Arc<Context>) {
    let told_by = Arc::clone(ctx);
    let tell = move |told: &Report| send(&told_by, std::slice::from_ref(told), usize::MAX);
    tokio::spawn(send_changes(Arc::clone(&ctx.suspects), tell));
    tokio::spawn(retell(Arc::clone(ctx)));
}

/// Waits until a request may be sent to a target. That is asked before each try: news
/// may come at any time.
///
/// # Errors
///
/// Returns why it must not; nothing ran by this try.
pub(crate) async fn admit(ctx: &Context, req: &Request) -> Result<Option<RunGuard>, Failure> {
    let gate = &ctx.suspects;
    if gate.is_empty() {
        return Ok(None);
    }
    let admitted = gate.admit(fingerprint_of(req), req.deadline).await;
    admitted.map_err(|kept_back| match kept_back {
        Blocked::Refused { retry_after, .. } => Failure::Crashing { retry_after },
        Blocked::Waiting => Failure::NotRun(Refusal::Full {
            retry_after: RETRY_AFTER,
        }),
    })
}

/// Notes that a request has ended well, so that it is no suspect any more.
pub(crate) fn ended_well(ctx: &Context, req: &Request) {
    let gate = &ctx.suspects;
    if gate.is_empty() {
        return;
    }
    let fingerprint = fingerprint_of(req);
    if let Some(crashes) = gate.record_success(fingerprint) {
        slog::info!(ctx.logger, "request cleared"; "crashes" => crashes,
            "fingerprint" => fingerprint::to_hex(fingerprint));
    }
}

/// Returns what names the present life of a target, to all hosts alike.
pub(crate) fn life_of(ctx: &Context, target: &str) -> Option<IncarnationId> {
    let incarnation = ctx.view().targets.get(target)?.incarnation;
    Some(life(target, incarnation))
}

fn life(target: &str, incarnation: u64) -> IncarnationId {
    xxh3_64(format!("{target}/{incarnation}").as_bytes())
}

/// Finds out whether a target that lived then crashed under a request.
pub(crate) async fn broke_off(
    ctx: &Context,
    req: &Request,
    target: &str,
    before: Option<IncarnationId>,
    ran: Duration,
) {
    let at = Instant::now();
    let (Some(url), Some(before)) = (ctx.target_url(target), before) else {
        return;
    };
    let is_gone = match ctx.targets.status(&url).await {
        Ok(status) => life(target, status.incarnation) != before,
        Err(report) => *report.current_context() == CallError::NotSent,
    };
    if !is_gone {
        return;
    }
    let fingerprint = fingerprint_of(req);
    let crash = Crash {
        incarnation: before,
        run_time: ran,
        detected_at: at,
    };
    let change = ctx.suspects.record_crash(fingerprint, crash);
    slog::info!(ctx.logger, "target crashed under a request"; "target" => target,
        "id" => req.question.request_id.as_str(), "ran_ms" => ran.as_millis(),
        "crashes" => ctx.suspects.crash_count(fingerprint),
        "fingerprint" => fingerprint::to_hex(fingerprint));
    note_blamed(ctx, fingerprint, change, ctx.host());
}

/// Takes in what a host tells.
pub(crate) fn take(ctx: &Context, told: &messages::Suspects) {
    for suspect in &told.suspects {
        let told_one = decode(suspect);
        let change = ctx.suspects.merge_report(&told.host, &told_one);
        note_blamed(ctx, told_one.fingerprint, change, &told.host);
    }
}

fn note_blamed(ctx: &Context, fingerprint: Fingerprint, change: Change, by: &str) {
    if let Change::Blamed { crashes } = change {
        slog::warn!(ctx.logger, "request blamed for crashes"; "crashes" => crashes,
            "fingerprint" => fingerprint::to_hex(fingerprint), "told_by" => by);
    }
}

/// Tells others again until the host stops.
async fn retell(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        if !ctx.suspects.is_empty() {
            send(&ctx, &ctx.suspects.periodic_reports(), REPORT_FANOUT);
        }
    }
}

/// Sends what is known of suspects to so many other hosts, drawn at random.
fn send(ctx: &Context, told: &[Report], hosts: usize) {
    let Some(socket) = ctx.notices.get() else {
        return;
    };
    let addrs: Vec<std::net::SocketAddr> = {
        let view = ctx.view();
        let others = view.hosts.iter().filter(|(host, _)| *host != ctx.host());
        let addrs = others.filter_map(|(_, host)| Some(host.addr.as_ref()?.gossip));
        addrs.sample(&mut rand::rng(), hosts)
    };
    for suspects in encode(told) {
        let host = ctx.host().clone();
        let told = Datagram::Suspects(messages::Suspects { host, suspects });
        let bytes = datagram::encode(&told);
        for addr in &addrs {
            ctx.metrics
                .add(Counted::GossipBytes, "suspects sent", bytes.len() as u64);
            // Lost, it is told again.
            let _ = socket.try_send_to(&bytes, *addr);
        }
    }
}

fn fingerprint_of(req: &Request) -> Fingerprint {
    // A map of JSON can always be written.
    let body = serde_json::to_vec(&req.question.body).unwrap_or_default();
    fingerprint::of(&Content {
        host: &req.route.fingerprint,
        method: "POST",
        path: "",
        caller: req.tenant.as_bytes(),
        body: &body,
    })
}
