//! Applies the quarantine at a host: detects crashes of targets, and delays or refuses requests that
//! may have caused them. The rules are in [`quarantine`].
//!
//! An interrupted run alone is weak evidence: the connection may have been reset, the response
//! lost, or the target crashed. So the host probes the target's address at once. If the
//! connection is refused, the target has crashed, and all requests that ran there become
//! suspects. Waiting until another request is refused there was rejected: a target that failed
//! is not used for 400 ms or more, and callers retry the suspects meanwhile.
//!
//! A request passes the gate twice, for the shared parts of its prompt and for its content: the
//! first recurs where the second does not.
//!
//! Fingerprints are computed only while there are suspects, or for an interrupted run. Without
//! crashes all this costs one check of an empty table.
//!
//! Limitations: a crash is missed if the target restarts before the probe, or if its whole
//! machine stops responding.
//!
//! [`quarantine`]: notchwharf_routing::quarantine

mod part_records;
mod probe;
mod records;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use notchwharf_quarantine::gate::Blocked;
use notchwharf_quarantine::gate::Gate;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Report;
use notchwharf_routing::quarantine::parts;

pub(crate) use self::probe::BrokenRun;
use self::probe::Probes;
pub(crate) use self::probe::check_crash;
pub(crate) use self::probe::check_unmarked_end;
use crate::backlog::Item;
use crate::context::Context;
use crate::context::Until;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::peers;
use crate::peers::suspects;
use crate::ports::StoreError;
use crate::sync::lock;
use crate::time::millis;

/// Number of hosts that save a blame beside the one that detected the last crash. A host that
/// does not reach the store keeps trying, and the record is lost if it is restarted meanwhile.
const SAVERS: usize = 3;

/// The requests under which targets crashed, as known to this host.
#[derive(Debug)]
pub(crate) struct Suspects {
    pub(crate) gate: Arc<Gate>,
    probes: Probes,
    known: Mutex<Option<Known>>,
}

/// Where a host learned what was blamed before, and when.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// The store, or the name of a host.
    pub(crate) source: String,
    pub(crate) since: Instant,
}

impl Suspects {
    pub(crate) fn new(host: &str) -> Self {
        Self {
            gate: Gate::new(host.to_owned()),
            probes: Probes::default(),
            known: Mutex::default(),
        }
    }

    /// Returns where and when this host last learned all that was blamed before; `None` if it never did.
    pub(crate) fn known(&self) -> Option<Known> {
        lock(&self.known).clone()
    }

    /// Records that this host has learned all that was blamed before.
    pub(crate) fn set_known(&self, source: &str) {
        *lock(&self.known) = Some(Known {
            source: source.to_owned(),
            since: Instant::now(),
        });
    }
}

/// Starts to send reports to other hosts, and to load what was blamed before this host started.
pub(crate) fn start(ctx: &Arc<Context>) {
    let until = Until::Phase(Phase::Stopped);
    ctx.spawn_duty("report crashes", until, suspects::broadcast_changes);
    ctx.spawn_duty("load suspects", Until::Done, records::load);
    ctx.spawn_duty("request suspects", Until::Done, suspects::catch_up);
}

/// Deletes the records of requests and parts whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    records::delete_expired(ctx).await?;
    part_records::delete_expired(ctx).await
}

/// Decides whether an item may be sent to a target now. Its fingerprint is computed only if
/// there are suspects.
///
/// # Errors
///
/// Returns why it may not.
pub(crate) fn try_admit(ctx: &Context, item: &Item) -> Result<Option<RunGuard>, Blocked> {
    let gate = &ctx.suspects.gate;
    if gate.has_parts() {
        gate.try_admit_item_parts(item.parts(&ctx.decode))?;
    }
    if gate.is_empty() {
        return Ok(None);
    }
    gate.try_admit_item(item.fingerprint(&ctx.decode))
}

/// Records that a request succeeded, which clears it as a suspect. Its fingerprint is computed
/// only if there are suspects.
pub(crate) fn record_success(ctx: &Arc<Context>, fingerprint: impl FnOnce() -> Fingerprint) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    if let Some(crashes) = gate.record_success(fingerprint) {
        clear(ctx, fingerprint, crashes);
    }
}

/// Records that a target answered a request, which clears the shared parts of its prompt. These
/// are read only if there are suspects.
pub(crate) fn record_parts_success(ctx: &Arc<Context>, parts: impl FnOnce() -> Arc<[PartId]>) {
    let gate = &ctx.suspects.gate;
    if !gate.has_parts() {
        return;
    }
    for cleared in gate.record_parts_success(&parts()) {
        ctx.metrics.count(Counted::Changes, "prompt part cleared");
        part_records::delete(ctx, &cleared);
        let Some(blamed_for) = cleared.blamed_for else {
            continue;
        };
        slog::info!(ctx.logger, "prompt part cleared"; "crashes" => cleared.crashes,
            "part" => prompt::to_hex(cleared.part), "blamed_for_ms" => millis(blamed_for));
    }
}

/// Records that an item ran for a time, made progress and was preempted. If it ran for long
/// enough, it is cleared: targets evidently survive it.
pub(crate) fn record_survival(ctx: &Arc<Context>, item: &Item, run_time: Duration) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() {
        return;
    }
    let fingerprint = item.fingerprint(&ctx.decode);
    if let Some(crashes) = gate.record_survival(fingerprint, run_time) {
        clear(ctx, fingerprint, crashes);
    }
}

/// Logs and counts that a request was cleared, and deletes its record.
fn clear(ctx: &Arc<Context>, fingerprint: Fingerprint, crashes: u32) {
    slog::info!(ctx.logger, "request cleared"; "crashes" => crashes,
        "fingerprint" => fingerprint::to_hex(fingerprint));
    ctx.metrics.count(Counted::Changes, "request cleared");
    records::delete_record(ctx, fingerprint, crashes);
}

/// Merges a host's report on a suspect.
pub(crate) fn merge_report(ctx: &Arc<Context>, host: &HostId, report: &Report) {
    let Change::Blamed { crashes } = ctx.suspects.gate.merge_report(host, report) else {
        return;
    };
    log_blamed(ctx, report.fingerprint, crashes, host);
    let task = fingerprint::to_hex(report.fingerprint);
    if host != records::STORE_REPORTER && is_saver(ctx, &task) {
        records::save(ctx, report.fingerprint);
    }
}

/// Merges a host's report on a part of prompts.
pub(crate) fn merge_part_report(ctx: &Arc<Context>, host: &HostId, report: &parts::Report) {
    let Change::Blamed { crashes } = ctx.suspects.gate.merge_part_report(report) else {
        return;
    };
    log_blamed_part(ctx, report.part, crashes, host);
    if host != records::STORE_REPORTER && is_saver(ctx, &prompt::to_hex(report.part)) {
        part_records::save(ctx, report.part);
    }
}

/// Logs the evidence on which a part of prompts is blamed.
fn log_blamed_part(ctx: &Context, part: PartId, crashes: u32, by: &str) {
    let report = ctx.suspects.gate.part_report(part);
    let crash_reports = report.iter().flat_map(|report| &report.crashes);
    let ran_ms: Vec<String> = crash_reports
        .map(|crash| millis(crash.run_time).to_string())
        .collect();
    slog::warn!(ctx.logger, "prompt part blamed for crashes"; "crashes" => crashes,
        "part" => prompt::to_hex(part), "told_by" => by, "ran_ms" => ran_ms.join(","));
    ctx.metrics.count(Counted::Changes, "prompt part blamed");
}

/// Returns whether this host saves a blame that it learned of. The host that detected the last
/// crash may have failed since, and so may any other.
fn is_saver(ctx: &Context, task: &str) -> bool {
    peers::is_assigned_to_own_cell(ctx, task)
        && ctx.peers.is_among_successors(ctx.host(), task, SAVERS)
}

/// Logs the evidence on which a request is blamed.
fn log_blamed(ctx: &Context, fingerprint: Fingerprint, crashes: u32, by: &str) {
    let report = ctx.suspects.gate.report(fingerprint);
    let ran_ms: Vec<String> = report
        .iter()
        .flat_map(|report| &report.crashes)
        .map(|crash| millis(crash.run_time).to_string())
        .collect();
    slog::warn!(ctx.logger, "request blamed for crashes"; "crashes" => crashes,
        "fingerprint" => fingerprint::to_hex(fingerprint), "told_by" => by,
        "ran_ms" => ran_ms.join(","));
    ctx.metrics.count(Counted::Changes, "request blamed");
}
