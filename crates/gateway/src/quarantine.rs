//! Applies the quarantine at a host: detects crashes of targets, and delays or refuses requests that
//! may have caused them. The rules are in [`quarantine`].
//!
//! An interrupted run alone is weak evidence: the connection may have been reset, the response
//! lost, or the target crashed. So the host looks at the target at once, and again until it is known
//! to go on or to have ended. If it has ended, all requests that ran there become
//! suspects. Waiting until another request is refused there was rejected: a target that failed
//! is not used for 400 ms or more, and callers retry the suspects meanwhile.
//!
//! A request passes the gate twice, for the shared parts of its prompt and for its content: the
//! first recurs where the second does not.
//!
//! Fingerprints are computed only while there are suspects, or for an interrupted run. Without
//! crashes all this costs one check of an empty table.
//!
//! Limitations: a crash is missed if the target ends more than three seconds after its connections
//! broke, or if nothing that it leaves behind tells a shutdown from an end, as when its machine is lost
//! for good.
//!
//! [`quarantine`]: notchwharf_routing::quarantine

mod part_records;
mod probe;
mod records;
mod saver;

use std::collections::HashMap;
use std::sync::Arc;
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
use notchwharf_routing::quarantine::parts::Pace;
use tokio::sync::watch;

pub(crate) use self::probe::BrokenRun;
use self::probe::Probes;
pub(crate) use self::probe::check_crash;
pub(crate) use self::probe::check_replaced;
pub(crate) use self::probe::check_silent;
pub(crate) use self::probe::check_unmarked_end;
use self::saver::Saver;
use crate::backlog::Item;
use crate::context::Context;
use crate::context::Until;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::peers;
use crate::peers::suspects;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;

/// Number of hosts that save a blame beside the one that detected the last crash. A host that
/// does not reach the store keeps trying, and the record is lost if it is restarted meanwhile.
const SAVERS: usize = 3;

/// The requests under which targets crashed, as known to this host.
#[derive(Debug)]
pub(crate) struct Suspects {
    pub(crate) gate: Arc<Gate>,
    probes: Probes,
    request_saver: Saver<Fingerprint>,
    part_saver: Saver<PartId>,
    known: watch::Sender<Option<Known>>,
    /// Whether this host follows the records, as it does not hear some of the others.
    is_following: watch::Sender<bool>,
    /// The offsets up to which the records of each topic were read.
    read_ends: watch::Sender<HashMap<Topic, u64>>,
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
        let gate = Gate::new(host.to_owned());
        gate.set_incomplete(true);
        Self {
            gate,
            probes: Probes::default(),
            request_saver: Saver::default(),
            part_saver: Saver::default(),
            known: watch::Sender::new(None),
            is_following: watch::Sender::new(false),
            read_ends: watch::Sender::default(),
        }
    }

    /// Returns where and when this host last learned all that was blamed before; `None` if it never did.
    pub(crate) fn known(&self) -> Option<Known> {
        self.known.borrow().clone()
    }

    /// Records that this host has learned all that was blamed before.
    pub(crate) fn set_known(&self, source: &str) {
        self.known.send_replace(Some(Known {
            source: source.to_owned(),
            since: Instant::now(),
        }));
        self.gate.set_incomplete(false);
    }

    /// Sets whether this host has to learn from the store what the others see.
    pub(crate) fn set_following(&self, reach: Reach) {
        let is_following = reach != Reach::All;
        self.is_following
            .send_if_modified(|present| std::mem::replace(present, is_following) != is_following);
        self.gate.set_pace(match reach {
            Reach::All | Reach::Most => Pace::Messages,
            Reach::Few => Pace::Records,
        });
    }

    fn is_following(&self) -> bool {
        *self.is_following.borrow()
    }

    fn read_end(&self, topic: Topic) -> Option<u64> {
        self.read_ends.borrow().get(&topic).copied()
    }

    fn set_read_end(&self, topic: Topic, end: u64) {
        self.read_ends.send_modify(|ends| {
            ends.insert(topic, end);
        });
    }

    /// Waits until this host has read the records of a topic once.
    async fn wait_until_read(&self, topic: Topic) {
        let mut ends = self.read_ends.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = ends.wait_for(|ends| ends.contains_key(&topic)).await;
    }
}

/// Which of the other hosts a host hears, as far as the quarantine needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// All, or others follow the records for those that are silent.
    All,
    /// Most; it follows the records for a silent one.
    Most,
    /// Half of them at most.
    Few,
}

/// Starts to send reports to other hosts, and to load what was blamed before this host started.
pub(crate) fn start(ctx: &Arc<Context>) {
    let until = Until::Phase(Phase::Stopped);
    ctx.spawn_duty("report crashes", until, suspects::broadcast_changes);
    ctx.spawn_duty("load suspects", Until::Done, records::load);
    ctx.spawn_duty("save blamed requests", until, saver::save_requests);
    ctx.spawn_duty("save blamed parts", until, saver::save_parts);
    ctx.spawn_duty("follow blamed requests", until, |ctx| {
        records::follow(ctx, Topic::Blamed)
    });
    ctx.spawn_duty("follow blamed parts", until, |ctx| {
        records::follow(ctx, Topic::BlamedParts)
    });
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
        ctx.suspects.part_saver.clear(cleared.part);
        let Some(blamed_for) = cleared.blamed_for else {
            continue;
        };
        slog::info!(ctx.logger, "prompt part cleared"; "crashes" => cleared.crashes,
            "part" => prompt::to_hex(cleared.part), "blamed_for_ms" => millis(blamed_for));
    }
}

/// Records that a target answered a request that was sent at a time, whatever the answer is.
pub(crate) fn record_answer(ctx: &Context, target: &str, sent_at: Instant) {
    ctx.suspects.probes.record_answer(target, sent_at);
}

/// Records that another start answered at a target's address.
pub(crate) fn record_replaced(ctx: &Context, target: &str) {
    ctx.suspects.probes.record_replaced(target);
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
    ctx.suspects.request_saver.clear(fingerprint);
}

/// Merges a host's report on a suspect.
pub(crate) fn merge_report(ctx: &Arc<Context>, host: &HostId, report: &Report) {
    let change = ctx.suspects.gate.merge_report(host, report);
    let is_from_store = host == records::STORE_REPORTER;
    if is_from_store && ctx.suspects.is_following() && change != Change::None {
        // Others may hear this host and not the one that wrote the record.
        ctx.suspects.gate.report_request(report.fingerprint);
    }
    if ctx.suspects.gate.crash_count(report.fingerprint) == 0 {
        ctx.suspects.request_saver.clear(report.fingerprint);
    }
    let Change::Blamed { crashes } = change else {
        return;
    };
    log_blamed(ctx, report.fingerprint, crashes, host);
    let task = fingerprint::to_hex(report.fingerprint);
    if !is_from_store && is_saver(ctx, &task) {
        ctx.suspects.request_saver.add(report.fingerprint);
    }
}

/// Merges a host's report on a part of prompts.
pub(crate) fn merge_part_report(ctx: &Arc<Context>, host: &HostId, report: &parts::Report) {
    let change = ctx.suspects.gate.merge_part_report(report);
    let is_from_store = host == records::STORE_REPORTER;
    if is_from_store && ctx.suspects.is_following() && change != Change::None {
        // Others may hear this host and not the one that wrote the record.
        ctx.suspects.gate.report_part(report.part);
    }
    if ctx.suspects.gate.part_crash_count(report.part) == 0 {
        ctx.suspects.part_saver.clear(report.part);
    }
    let Change::Blamed { crashes } = change else {
        return;
    };
    log_blamed_part(ctx, report.part, crashes, host);
    if !is_from_store && is_saver(ctx, &prompt::to_hex(report.part)) {
        ctx.suspects.part_saver.add(report.part);
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
