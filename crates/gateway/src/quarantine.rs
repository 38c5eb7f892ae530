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
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::places::HostId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Told;
use notchwharf_routing::quarantine::Verdict;
use tokio::sync::watch;

use self::look::Looks;
pub(crate) use self::look::Run;
pub(crate) use self::look::broke_off;
pub(crate) use self::saved::drop_old;
use crate::context::Context;
use crate::context::lock;
use crate::context::millis;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::peers;
use crate::peers::suspects;

/// Requests under which targets crashed, as this host knows them.
#[derive(Debug)]
pub(crate) struct Suspects {
    table: Mutex<Quarantine>,
    looks: Looks,
    /// Sent to when a run of a suspect may have ended, for requests that wait for it.
    changed: watch::Sender<()>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            looks: Looks::default(),
            changed: watch::Sender::new(()),
        }
    }
}

impl Suspects {
    /// Returns what is known of all suspects.
    pub(crate) fn table(&self) -> &Mutex<Quarantine> {
        &self.table
    }

    /// Returns whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.table).is_empty()
    }
}

/// The run of a suspect; the next one may begin when it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    ctx: Arc<Context>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let host = self.ctx.host();
        lock(&self.ctx.suspects.table).ended(self.fingerprint, host);
        suspects::tell(&self.ctx, self.fingerprint);
        self.ctx.suspects.changed.send_replace(());
    }
}

/// Why a request must not be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeptBack {
    /// Others with the same content run.
    Waiting,
    /// Targets crash under it.
    Refused {
        /// How many were seen to.
        crashes: u32,
        /// Time until it may be tried once more.
        retry_after: Duration,
    },
}

/// Starts to remember what was blamed before this host started.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(saved::load(Arc::clone(ctx)));
}

/// Decides whether a request may be sent to a target now. A suspect's run lasts until
/// what is returned is dropped.
///
/// # Errors
///
/// Returns why it must not.
pub(crate) fn try_admit(
    ctx: &Arc<Context>,
    fingerprint: Fingerprint,
) -> Result<Option<Trial>, KeptBack> {
    let is_suspect = {
        let mut table = lock(&ctx.suspects.table);
        match table.admit(fingerprint, ctx.host(), Instant::now()) {
            Verdict::Free => table.crashes(fingerprint) > 0,
            Verdict::Wait => return Err(KeptBack::Waiting),
            Verdict::Refused {
                crashes,
                retry_after,
            } => {
                return Err(KeptBack::Refused {
                    crashes,
                    retry_after,
                });
            }
        }
    };
    if !is_suspect {
        return Ok(None);
    }
    suspects::tell(ctx, fingerprint);
    Ok(Some(Trial {
        ctx: Arc::clone(ctx),
        fingerprint,
    }))
}

/// Waits until a request may be sent to a target, at most until a moment.
///
/// # Errors
///
/// Returns why it must not.
pub(crate) async fn admit(
    ctx: &Arc<Context>,
    fingerprint: Fingerprint,
    until: Instant,
) -> Result<Option<Trial>, KeptBack> {
    /// Time after which a run may have lasted for so long that it keeps nobody waiting
    /// any more, which nothing tells.
    const LOOK_GAP: Duration = Duration::from_millis(100);
    let mut changed = ctx.suspects.changed.subscribe();
    loop {
        let admitted = try_admit(ctx, fingerprint);
        if !matches!(admitted, Err(KeptBack::Waiting)) || Instant::now() >= until {
            return admitted;
        }
        let gap = until.min(Instant::now() + LOOK_GAP);
        // The sender lives as long as the context.
        let _ = tokio::time::timeout_at(gap.into(), changed.changed()).await;
    }
}

/// Notes that a request has ended well, so that it is no suspect any more. What names
/// it is worked out only if there are suspects.
pub(crate) fn ended_well(ctx: &Arc<Context>, fingerprint: impl FnOnce() -> Fingerprint) {
    if ctx.suspects.is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let (crashes, is_cleared) = {
        let mut table = lock(&ctx.suspects.table);
        let crashes = table.crashes(fingerprint);
        (crashes, table.ended_well(fingerprint, Instant::now()))
    };
    if !is_cleared {
        return;
    }
    slog::info!(ctx.logger, "request cleared"; "crashes" => crashes,
        "fingerprint" => fingerprint::text(fingerprint));
    ctx.metrics.count(Counted::Changes, "request cleared");
    suspects::tell(ctx, fingerprint);
    ctx.suspects.changed.send_replace(());
    saved::drop_cleared(ctx, fingerprint, crashes);
}

/// Takes in what a host tells of a suspect.
pub(crate) fn take(ctx: &Arc<Context>, host: &HostId, told: &Told, now: Instant) {
    let change = lock(&ctx.suspects.table).take(host, told, now);
    if change == Change::None {
        return;
    }
    ctx.suspects.changed.send_replace(());
    let Change::Blamed { crashes } = change else {
        return;
    };
    note_blamed(ctx, told.fingerprint, crashes, host);
    // The host that saw the last crash may have died since.
    let task = fingerprint::text(told.fingerprint);
    if peers::is_for_cell(ctx, &task) && ctx.peers.is_successor(ctx.host(), &task) {
        saved::save(ctx, told.fingerprint);
    }
}

fn note_blamed(ctx: &Context, fingerprint: Fingerprint, crashes: u32, by: &str) {
    let lives = lock(&ctx.suspects.table).told(fingerprint, ctx.host(), Instant::now());
    let ran_ms = lives.map(|told| {
        let ran = told.crashes.iter().map(|c| millis(c.ran).to_string());
        ran.collect::<Vec<_>>().join(",")
    });
    slog::warn!(ctx.logger, "request blamed for crashes"; "crashes" => crashes,
        "fingerprint" => fingerprint::text(fingerprint), "told_by" => by, "ran_ms" => ran_ms);
    ctx.metrics.count(Counted::Changes, "request blamed");
}
