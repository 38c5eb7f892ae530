//! Quarantines chat completions, and messages that these share, during which targets crash.
//!
//! The gate is shared with the gateway. Targets report their incarnation, so after an
//! interrupted stream the target itself is queried: it has crashed if its incarnation has
//! changed or if it cannot be connected to. Items of jobs do not pass this gate: the ledger
//! counts their attempts when a target fails, and the last attempt runs exclusively.
//!
//! Limitation: nothing is written to the log, so a host that starts knows only what other
//! hosts report, and after a restart of all hosts the quarantine is empty.

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
use notchwharf_quarantine::reports::Batch;
use notchwharf_quarantine::reports::REPORT_FANOUT;
use notchwharf_quarantine::reports::REPORT_INTERVAL;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::decode_part;
use notchwharf_quarantine::reports::encode;
use notchwharf_quarantine::reports::encode_parts;
use notchwharf_quarantine::reports::send_changes;
use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::parts;
use notchwharf_routing::table::Refusal;
use rand::seq::IteratorRandom as _;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::metrics::Counted;
use crate::online::Failure;
use crate::online::Request;

/// Retry time if requests with the same fingerprint ran until the request's deadline.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Starts to report suspects to other hosts.
pub(crate) fn start(ctx: &Arc<Context>) {
    let shared = Arc::clone(ctx);
    let send_batch = move |batch: &Batch| send(&shared, batch, usize::MAX);
    tokio::spawn(send_changes(Arc::clone(&ctx.suspects), send_batch));
    tokio::spawn(send_periodic_reports(Arc::clone(ctx)));
}

/// Waits until a request may be sent to a target. Call it before each attempt, since
/// reports of crashes may arrive at any time.
///
/// # Errors
///
/// Returns a failure if the request must not be sent; this attempt has not run.
pub(crate) async fn admit(ctx: &Context, req: &Request) -> Result<Option<RunGuard>, Failure> {
    let gate = &ctx.suspects;
    if gate.has_parts() {
        let admission = gate.admit_parts(&parts_of(req), req.deadline).await;
        admission.map_err(failure_of)?;
    }
    if gate.is_empty() {
        return Ok(None);
    }
    let admission = gate.admit(fingerprint_of(req), req.deadline).await;
    admission.map_err(failure_of)
}

fn failure_of(blocked: Blocked) -> Failure {
    match blocked {
        Blocked::Refused { retry_after, .. } => Failure::Quarantined { retry_after },
        Blocked::Waiting => Failure::NotRun(Refusal::Full {
            retry_after: RETRY_AFTER,
        }),
    }
}

/// Records that a request completed, which clears it of suspicion.
pub(crate) fn record_success(ctx: &Context, req: &Request) {
    let gate = &ctx.suspects;
    if gate.has_parts() {
        let cleared = gate.record_parts_success(&parts_of(req));
        for part in cleared.iter().filter(|part| part.blamed_for.is_some()) {
            slog::info!(ctx.logger, "prompt part cleared"; "crashes" => part.crashes,
                "part" => prompt::to_hex(part.part));
        }
    }
    if gate.is_empty() {
        return;
    }
    let fingerprint = fingerprint_of(req);
    if let Some(crashes) = gate.record_success(fingerprint) {
        slog::info!(ctx.logger, "request cleared"; "crashes" => crashes,
            "fingerprint" => fingerprint::to_hex(fingerprint));
    }
}

/// Returns the identifier of a target's current incarnation, equal on all hosts.
pub(crate) fn incarnation_of(ctx: &Context, target: &str) -> Option<IncarnationId> {
    let incarnation = ctx.view().targets.get(target)?.incarnation;
    Some(incarnation_id(target, incarnation))
}

fn incarnation_id(target: &str, incarnation: u64) -> IncarnationId {
    xxh3_64(format!("{target}/{incarnation}").as_bytes())
}

/// Records a crash if a target is no longer in the incarnation that ran a request.
pub(crate) async fn check_crash(
    ctx: &Context,
    req: &Request,
    target: &str,
    before: Option<IncarnationId>,
    run_time: Duration,
) {
    let detected_at = Instant::now();
    let (Some(url), Some(before)) = (ctx.target_url(target), before) else {
        return;
    };
    let has_crashed = match ctx.targets.status(&url).await {
        Ok(status) => incarnation_id(target, status.incarnation) != before,
        Err(err) => *err.current_context() == CallError::NotSent,
    };
    if !has_crashed {
        return;
    }
    let fingerprint = fingerprint_of(req);
    let sent_at = detected_at.checked_sub(run_time).unwrap_or(detected_at);
    for part in parts_of(req) {
        let gate = &ctx.suspects;
        let crash = parts::Crash {
            // The view may be stale: this host may have recorded the crash of that incarnation.
            incarnation: gate.incarnation_of_part_run(part, before, sent_at),
            // The lower half identifies a request among the few at one target.
            request: fingerprint as parts::RequestKey,
            run_time,
            has_begun: true,
            detected_at,
        };
        let change = gate.record_part_crash(part, crash);
        log_if_part_blamed(ctx, part, change, ctx.host());
    }
    let crash = Crash {
        incarnation: before,
        run_time,
        detected_at,
    };
    let change = ctx.suspects.record_crash(fingerprint, crash);
    slog::info!(ctx.logger, "target crashed under a request"; "target" => target,
        "id" => req.target_request.request_id.as_str(), "ran_ms" => run_time.as_millis(),
        "crashes" => ctx.suspects.crash_count(fingerprint),
        "fingerprint" => fingerprint::to_hex(fingerprint));
    log_if_blamed(ctx, fingerprint, change, ctx.host());
}

/// Merges the reports of another host.
pub(crate) fn merge_reports(ctx: &Context, reports: &messages::Suspects) {
    for suspect in &reports.suspects {
        let report = decode(suspect);
        let change = ctx.suspects.merge_report(&reports.host, &report);
        log_if_blamed(ctx, report.fingerprint, change, &reports.host);
    }
}

/// Merges the reports of another host on parts of prompts.
pub(crate) fn merge_part_reports(ctx: &Context, reports: &messages::SuspectParts) {
    for part in &reports.parts {
        let change = ctx.suspects.merge_part_report(&decode_part(part));
        log_if_part_blamed(ctx, part.part, change, &reports.host);
    }
}

fn log_if_part_blamed(ctx: &Context, part: PartId, change: Change, reported_by: &str) {
    if let Change::Blamed { crashes } = change {
        slog::warn!(ctx.logger, "prompt part blamed for crashes"; "crashes" => crashes,
            "part" => prompt::to_hex(part), "told_by" => reported_by);
    }
}

fn log_if_blamed(ctx: &Context, fingerprint: Fingerprint, change: Change, reported_by: &str) {
    if let Change::Blamed { crashes } = change {
        slog::warn!(ctx.logger, "request blamed for crashes"; "crashes" => crashes,
            "fingerprint" => fingerprint::to_hex(fingerprint), "told_by" => reported_by);
    }
}

/// Repeats reports to other hosts until this host stops.
async fn send_periodic_reports(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let gate = &ctx.suspects;
        if gate.is_empty() && !gate.has_parts() {
            continue;
        }
        let batch = Batch {
            requests: gate.periodic_reports(),
            parts: gate.periodic_part_reports(),
        };
        send(&ctx, &batch, REPORT_FANOUT);
    }
}

/// Sends reports to at most `hosts` other hosts, selected at random.
fn send(ctx: &Context, batch: &Batch, hosts: usize) {
    let Some(socket) = ctx.update_socket.get() else {
        return;
    };
    let addrs: Vec<std::net::SocketAddr> = {
        let view = ctx.view();
        let others = view.hosts.iter().filter(|(host, _)| *host != ctx.host());
        let addrs = others.filter_map(|(_, host)| Some(host.addr.as_ref()?.gossip));
        addrs.sample(&mut rand::rng(), hosts)
    };
    let host = || ctx.host().clone();
    let requests = encode(&batch.requests).into_iter().map(|suspects| {
        let host = host();
        Datagram::Suspects(messages::Suspects { host, suspects })
    });
    let parts = encode_parts(&batch.parts).into_iter().map(|parts| {
        let host = host();
        Datagram::SuspectParts(messages::SuspectParts { host, parts })
    });
    for datagram in requests.chain(parts) {
        let bytes = datagram::encode(&datagram);
        for addr in &addrs {
            ctx.metrics
                .add(Counted::GossipBytes, "suspects sent", bytes.len() as u64);
            // The periodic reports replace lost ones.
            let _ = socket.try_send_to(&bytes, *addr);
        }
    }
}

/// Returns the shared parts of a completion's prompt: its messages but the last.
fn parts_of(req: &Request) -> Vec<PartId> {
    let messages = req.target_request.body.get("messages");
    let messages = messages.and_then(Value::as_array).map(Vec::as_slice);
    let shared = messages.and_then(<[Value]>::split_last);
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    let names = shared.iter().take(prompt::PARTS_MAX).map(Value::to_string);
    names.map(|name| prompt::part_id(&name)).collect()
}

fn fingerprint_of(req: &Request) -> Fingerprint {
    // Encoding a JSON map cannot fail.
    let body = serde_json::to_vec(&req.target_request.body).unwrap_or_default();
    fingerprint::of(&Content {
        host: &req.route.fingerprint,
        method: "POST",
        path: "",
        caller: req.tenant.as_bytes(),
        body: &body,
    })
}
