//! Keeps requests from targets that crash under them, see [`quarantine`].
//!
//! A run that breaks off says little: the connection was reset, the answer was lost, or
//! the target crashed. So a host looks at once whether anybody still listens there. If
//! connections are refused the target has crashed, and all that ran there is suspected.
//! Waiting until another request is refused there was rejected: a target that failed is
//! left alone for 400 ms or more, and the suspects come again meanwhile.
//!
//! Fingerprints are worked out only while some request is suspected, or for a run that
//! broke off. On a day without crashes all this costs a look at an empty table.
//!
//! Not ideal: a target that is back within the time of a look is not seen to have
//! crashed, nor is one whose machine goes silent with it.
//!
//! [`quarantine`]: notchwharf_routing::quarantine

mod look;
mod saved;

use std::sync::Arc;
use std::time::Duration;

use notchwharf_quarantine::gate::Blocked;
use notchwharf_quarantine::gate::Gate;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Report;

pub(crate) use self::look::BrokenRun;
use self::look::Looks;
pub(crate) use self::look::check_crash;
pub(crate) use self::saved::delete_expired;
use crate::backlog::Item;
use crate::context::Context;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::peers;
use crate::peers::suspects;
use crate::time::millis;

/// Requests under which targets crashed, as this host knows them.
#[derive(Debug)]
pub(crate) struct Suspects {
    pub(crate) gate: Arc<Gate>,
    looks: Looks,
}

impl Suspects {
    pub(crate) fn new(host: &str) -> Self {
        Self {
            gate: Gate::new(host.to_owned()),
            looks: Looks::default(),
        }
    }
}

/// Starts to tell other hosts, and to remember what was blamed before this host started.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(suspects::broadcast_changes(Arc::clone(ctx)));
    tokio::spawn(saved::load(Arc::clone(ctx)));
    tokio::spawn(suspects::catch_up(Arc::clone(ctx)));
}

/// Decides whether an item may be sent to a target now. What names it is worked out
/// only if there are suspects.
///
/// # Errors
///
/// Returns why it must not.
pub(crate) fn try_admit(ctx: &Context, item: &Item) -> Result<Option<RunGuard>, Blocked> {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() {
        return Ok(None);
    }
    gate.try_admit_item(item.fingerprint(&ctx.decode))
}

/// Notes that a request has ended well, so that it is no suspect any more. What names
/// it is worked out only if there are suspects.
pub(crate) fn record_success(ctx: &Arc<Context>, fingerprint: impl FnOnce() -> Fingerprint) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    if let Some(crashes) = gate.record_success(fingerprint) {
        note_cleared(ctx, fingerprint, crashes);
    }
}

/// Notes that an item ran for a time, got on and was cut: if that is long enough, targets
/// bear it.
pub(crate) fn record_survival(ctx: &Arc<Context>, item: &Item, ran: Duration) {
    let gate = &ctx.suspects.gate;
    if gate.is_empty() {
        return;
    }
    let fingerprint = item.fingerprint(&ctx.decode);
    if let Some(crashes) = gate.record_survival(fingerprint, ran) {
        note_cleared(ctx, fingerprint, crashes);
    }
}

fn note_cleared(ctx: &Arc<Context>, fingerprint: Fingerprint, crashes: u32) {
    slog::info!(ctx.logger, "request cleared"; "crashes" => crashes,
        "fingerprint" => fingerprint::to_hex(fingerprint));
    ctx.metrics.count(Counted::Changes, "request cleared");
    saved::drop_cleared(ctx, fingerprint, crashes);
}

/// Takes in what a host tells of a suspect.
pub(crate) fn merge_report(ctx: &Arc<Context>, host: &HostId, told: &Report) {
    let Change::Blamed { crashes } = ctx.suspects.gate.merge_report(host, told) else {
        return;
    };
    note_blamed(ctx, told.fingerprint, crashes, host);
    // The host that saw the last crash may have died since.
    let task = fingerprint::to_hex(told.fingerprint);
    if peers::is_assigned_to_own_cell(ctx, &task) && ctx.peers.is_successor(ctx.host(), &task) {
        saved::save(ctx, told.fingerprint);
    }
}

/// Tells operators on which evidence a request is blamed.
fn note_blamed(ctx: &Context, fingerprint: Fingerprint, crashes: u32, by: &str) {
    let told = ctx.suspects.gate.report(fingerprint);
    let ran_ms: Vec<String> = told
        .iter()
        .flat_map(|told| &told.crashes)
        .map(|crash| millis(crash.run_time).to_string())
        .collect();
    slog::warn!(ctx.logger, "request blamed for crashes"; "crashes" => crashes,
        "fingerprint" => fingerprint::to_hex(fingerprint), "told_by" => by,
        "ran_ms" => ran_ms.join(","));
    ctx.metrics.count(Counted::Changes, "request blamed");
}
