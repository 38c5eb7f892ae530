//! Reports the runs of items to the job log, and admits a run once the log has counted it.
//!
//! A run waits for its admission in its slot, since a slot that is chosen later may be taken. It
//! gives the slot back after [`SLOT_WAIT_MAX`], so that the items of others do not wait for a slow
//! store. Asking for the admissions of all queued items ahead was rejected: an admission counts as a
//! run that may have failed, and most of these items would only have waited.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::jobs::Report;
use notchwharf_ledger::jobs::Runs;
use tokio::sync::oneshot;

use super::completion::RECORD_TIMEOUT;
use crate::backlog::Item;
use crate::context::Context;
use crate::metrics::Counted;

/// Maximum time for which a run holds its slot until it is admitted.
const SLOT_WAIT_MAX: Duration = Duration::from_millis(200);

/// Time after which the admission of a run is given up; the item is queued and asks again.
const ADMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// The admission of a run.
#[derive(Debug)]
pub(super) enum Admission {
    /// The run may begin.
    Granted,
    /// The effect of the record, once it is known.
    Pending(oneshot::Receiver<Option<Runs>>),
}

impl Admission {
    /// Asks the log to admit a run of an item.
    pub(super) fn request(ctx: &Arc<Context>, item: &mut Item, attempts_max: u32) -> Self {
        let (done, admitted) = oneshot::channel();
        let report = item.attempts.request(attempts_max, rand::random);
        let record = record(item, report);
        let ctx = Arc::clone(ctx);
        tokio::spawn(async move {
            let deadline = Instant::now() + ADMIT_TIMEOUT;
            let runs = match ctx.journal.append(record, deadline).await {
                Ok(Applied::Reported(runs)) => Some(runs),
                // The item has ended, or another host owns its job.
                Ok(_) => None,
                Err(_) => {
                    ctx.metrics.count(Counted::Items, "not admitted");
                    None
                }
            };
            // The run may have been cancelled; the item asks again with the same id.
            let _ = done.send(runs);
        });
        Self::Pending(admitted)
    }

    /// Waits in the run's slot until the run is admitted. Returns whether it is.
    pub(super) async fn wait_in_slot(&mut self, item: &mut Item, attempts_max: u32) -> bool {
        // After the timeout the caller gives the slot back and waits without it.
        let _ = tokio::time::timeout(SLOT_WAIT_MAX, self.wait(item, attempts_max)).await;
        matches!(self, Self::Granted) && item.attempts.is_admitted()
    }

    /// Waits until the effect of the record is known.
    pub(super) async fn wait(&mut self, item: &mut Item, attempts_max: u32) {
        let Self::Pending(admitted) = self else {
            return;
        };
        let runs = admitted.await.ok().flatten();
        *self = Self::Granted;
        if let Some(runs) = runs {
            item.attempts.confirm(runs, attempts_max);
        }
    }
}

/// Reports what this host knows of an item's runs. It is not awaited: the next admission reports
/// the same, so this only matters if this host ends before.
pub(super) fn report(ctx: &Arc<Context>, item: &Item, report: Report) {
    append(ctx, record(item, report));
}

/// Withdraws the admission of an item that this host runs no more, if it has one that is not used.
pub(super) fn withdraw(ctx: &Arc<Context>, item: &Item) {
    let Some(run) = item.attempts.unused_admission() else {
        return;
    };
    ctx.metrics.count(Counted::Items, "admission withdrawn");
    let (job, number) = item.key.clone();
    append(
        ctx,
        Record::Withdrawn {
            job,
            item: number,
            run,
        },
    );
}

/// Appends a record without waiting for it.
fn append(ctx: &Arc<Context>, record: Record) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        if let Err(err) = ctx.journal.append(record, deadline).await {
            slog::warn!(ctx.logger, "runs of an item not recorded"; "error" => ?err);
        }
    });
}

fn record(item: &Item, report: Report) -> Record {
    Record::Reported {
        job: item.key.0.clone(),
        item: item.key.1,
        epoch: item.epoch,
        report,
    }
}
