//! How often an item has been run, over all hosts that have owned its job.
//!
//! An item that fails at each run must not reach targets more than a fixed number of times. A host
//! that counts failures in memory loses the count when it ends, so the count is part of the log:
//! a run may begin only if the log has counted it. The first run of the process that accepted the
//! job is counted from the start and needs no record, so an item that succeeds costs none. Nor do
//! further runs that do not fail, such as those after a preemption: they share one admission, which
//! the first failure uses up.
//!
//! # Bound
//!
//! Let `begun` be the number of admissions that were not withdrawn, `failed` the number of answers of
//! 500 that the log has, and `a` the attempts of the route. Each admission covers runs until one of
//! them fails or is in doubt: a run is in doubt if the target may have answered it with a failure, and
//! its owner received no answer, or was lost. So targets have given at most `begun` failing answers,
//! whatever a process that has ended knew of them, and `begun - failed` runs are in doubt or in
//! progress. A run is admitted at once while
//!
//! - `begun <= 3 * a`, so targets give at most `3 * a` answers of 500, and
//! - `begun - failed <= 3`, including the new one, so targets give at most three answers of 422.
//!
//! # Liveness
//!
//! An item that is not known to have failed is owed a result, so beyond these limits it is not withheld
//! but placed again in calm: a run that is `n` above a limit begins once its owner has been undisturbed
//! for `2^n` periods. In calm the outcome of a run is learnt, which ends the doubt: an item that a
//! target begins to answer is free of the limits, and one that fails is known to have. Failing answers
//! beyond the limits are therefore at most one, and one more for each owner that is lost during such a
//! run, or answer that is lost, although it was calm for `2^n` periods before: in a time `t` at most
//! `log2(t / period)` of these, up to [`CALM_EXPONENT_MAX`].
//!
//! A target that is slow is not lost. The owner keeps the connection of a run that is overdue, beside
//! the next runs; until the target answers, the run is in doubt. A failure that arrives late counts like
//! any other, and ends the doubt. Where all targets answer within the periods of calm, the sums are
//! therefore the same as where none is slow.
//!
//! A run that brings no event, and neither a failure nor proof that nothing ran, is in doubt whatever
//! else its target has sent. So each run under an item's id counts.
//!
//! An owner that did not use its admission withdraws it when it loses the job or shuts down, so waiting
//! for a slow store or for a slot leaves no doubt.
//!
//! Records that are lost, late or appended twice do not weaken the bound. A run begins after its
//! record was read back from the log, and a copy of a record with the same [`RunId`] counts once, also
//! after its withdrawal. A host that no longer owns the job is admitted to no run; what it knows of its
//! earlier ones still counts.
//!
//! An item that a target has begun to answer does not fail at each run. Its known failures still
//! count, but it runs on at its next owner without a record.
//!
//! Rejected alternatives: a record after each failure alone loses the last failure of each process;
//! a record before each run costs a write for every item; charging all items of a job for each
//! change of its owner delays items that only waited; and withholding an item in doubt until it may be
//! abandoned loses healthy ones.

use serde::Deserialize;
use serde::Serialize;

/// Identifies an admission; unique in the fleet.
pub type RunId = u64;

/// Failures, including those attributed to targets, for each attempt that a route allows. With two,
/// an item that fails at every target still ends soon.
const FAILURES_PER_ATTEMPT: u32 = 2;
/// Greatest number of admissions for each attempt that a route allows.
const ADMISSIONS_PER_ATTEMPT: u32 = 3;
/// Greatest number of runs with an unknown outcome. Each of them may have been answered with 422.
const UNRESOLVED_MAX: u32 = 3;
/// Greatest exponent of the number of calm periods before a run.
const CALM_EXPONENT_MAX: u32 = 7;

/// The runs of an item according to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of admissions.
    pub begun: u32,
    /// Number of known failures.
    pub failed: u32,
    /// Number of failures attributed to the item, because the target does not fail others.
    pub blamed: u32,
    /// Whether a target has begun to answer with a result.
    pub is_answered: bool,
    /// The newest admission by a record.
    last: Option<RunId>,
}

impl Default for Runs {
    fn default() -> Self {
        Self {
            begun: 1,
            failed: 0,
            blamed: 0,
            is_answered: false,
            last: None,
        }
    }
}

impl Runs {
    /// Applies what a host knows of the runs of an item.
    pub(super) fn learn(&mut self, report: &Report) {
        self.failed = self.failed.max(report.failed);
        self.blamed = self.blamed.max(report.blamed);
        self.is_answered |= report.is_answered;
    }

    /// Counts an admission.
    pub(super) fn admit(&mut self, id: RunId) {
        if self.last != Some(id) {
            self.begun = self.begun.saturating_add(1);
            self.last = Some(id);
        }
    }

    /// Removes an admission that was counted.
    pub(super) fn withdraw(&mut self) {
        self.begun = self.begun.saturating_sub(1);
    }

    /// Returns by how much the admissions exceed a limit.
    fn excess(&self, attempts_max: u32) -> u32 {
        if self.is_answered {
            return 0;
        }
        let admissions_max = attempts_max.max(1).saturating_mul(ADMISSIONS_PER_ATTEMPT);
        let unresolved = self.begun.saturating_sub(self.failed);
        let of_failures = self.begun.saturating_sub(admissions_max);
        of_failures.max(unresolved.saturating_sub(UNRESOLVED_MAX))
    }

    /// Returns the runs after a number of further admissions.
    fn after(&self, count: u32) -> Self {
        Self {
            begun: self.begun.saturating_add(count),
            ..*self
        }
    }

    /// Returns whether the item has failed as often as its route allows.
    fn has_failed_finally(&self, attempts_max: u32) -> bool {
        let max = attempts_max.max(1);
        let is_exhausted = self.failed >= max && self.after(1).excess(attempts_max) > 0;
        is_exhausted
            || self.blamed >= max
            || self.failed >= max.saturating_mul(FAILURES_PER_ATTEMPT)
    }
}

/// What an owner knows of an item's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The run that is to begin once this is read back from the log, if any.
    pub begins: Option<RunId>,
    /// Number of known failures.
    pub failed: u32,
    /// Number of failures attributed to the item.
    pub blamed: u32,
    /// Whether a target has begun to answer with a result.
    pub is_answered: bool,
}

/// What an owner does with an item that is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Runs it.
    Run,
    /// Appends what [`Attempts::request`] returns, and passes its effect to [`Attempts::confirm`].
    Admit,
    /// The same, once this host has been undisturbed for a number of periods. Unless the outcome
    /// of the run is learnt, the next one has to wait for longer.
    AdmitInCalm {
        /// The number of periods.
        periods: u32,
    },
    /// Records it as failed: it has failed as often as its route allows.
    Fail,
}

/// Whether a run may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// Only after a record.
    Needed,
    /// A record with this id may have been appended, for a run that exceeds a limit by `excess`.
    Requested { id: RunId, excess: u32 },
    /// At any time, until a run fails or is in doubt; by the record with this id, if it needed one.
    Granted(Option<RunId>),
}

/// The runs of an item as its owner counts them.
///
/// ```
/// use notchwharf_ledger::jobs::Attempts;
/// use notchwharf_ledger::jobs::Runs;
/// use notchwharf_ledger::jobs::Step;
///
/// // The item of a job that this process accepted runs without a record.
/// let mut attempts = Attempts::of_accepted();
/// assert_eq!(attempts.step(3), Step::Run);
/// // After a failure the next run must be in the log first.
/// attempts.record_failure(true);
/// assert_eq!(attempts.step(3), Step::Admit);
/// // Another host, or this one after a restart, knows what the log has.
/// let attempts = Attempts::of_owned(Runs::default());
/// assert_eq!(attempts.step(3), Step::Admit);
/// ```
#[derive(Clone, Debug)]
pub struct Attempts {
    runs: Runs,
    admission: Admission,
    /// Whether another process may have run the item, or a record was appended for it.
    is_in_log: bool,
    /// Runs in doubt of this owner, which has not been lost during them.
    own_doubts: u32,
}

impl Attempts {
    /// Returns the attempts of an item whose job this process accepted and owns since then.
    pub fn of_accepted() -> Self {
        Self {
            runs: Runs::default(),
            admission: Admission::Granted(None),
            is_in_log: false,
            own_doubts: 0,
        }
    }

    /// Returns the attempts of an item that another process may have run.
    pub fn of_owned(runs: Runs) -> Self {
        let admission = match runs.is_answered {
            true => Admission::Granted(None),
            false => Admission::Needed,
        };
        Self {
            runs,
            admission,
            is_in_log: true,
            own_doubts: 0,
        }
    }

    /// Returns the runs as far as this host knows them.
    pub fn runs(&self) -> Runs {
        self.runs
    }

    /// Adds what was saved beside the item's text. Hosts of earlier builds save their failures
    /// only there.
    pub fn add_saved(&mut self, failed: u32, blamed: u32, is_answered: bool) {
        self.runs.failed = self.runs.failed.max(failed);
        self.runs.blamed = self.runs.blamed.max(blamed);
        self.runs.begun = self.runs.begun.max(failed.saturating_add(1));
        if is_answered {
            self.runs.is_answered = true;
            self.admission = Admission::Granted(None);
        }
    }

    /// Returns whether an earlier run of the item is in doubt.
    pub fn has_doubt(&self) -> bool {
        let unresolved = self.runs.begun.saturating_sub(self.runs.failed);
        let is_current_counted = self.is_admitted();
        !self.runs.is_answered && unresolved > u32::from(is_current_counted)
    }

    /// Returns whether a run may begin without a record.
    pub fn is_admitted(&self) -> bool {
        matches!(self.admission, Admission::Granted(_))
    }

    /// Returns what to do with the item.
    pub fn step(&self, attempts_max: u32) -> Step {
        if self.is_admitted() {
            return Step::Run;
        }
        if self.runs.has_failed_finally(attempts_max) {
            return Step::Fail;
        }
        // If an owner was lost, the last run within the limits waits too, as this one may be.
        let unresolved = self.runs.begun.saturating_sub(self.runs.failed);
        let is_owner_lost = unresolved > self.own_doubts;
        let count = if is_owner_lost { 2 } else { 1 };
        if self.runs.after(count).excess(attempts_max) == 0 {
            return Step::Admit;
        }
        let exponent = self.runs.after(1).excess(attempts_max);
        Step::AdmitInCalm {
            periods: 1 << exponent.min(CALM_EXPONENT_MAX),
        }
    }

    /// Requests the admission of a run: returns what is to be appended. `new_id` returns a new id;
    /// a request whose effect is not known is repeated with the same one.
    pub fn request(&mut self, attempts_max: u32, new_id: impl FnOnce() -> RunId) -> Report {
        let id = match self.admission {
            Admission::Requested { id, .. } => id,
            _ => new_id(),
        };
        let excess = self.runs.after(1).excess(attempts_max);
        self.admission = Admission::Requested { id, excess };
        self.is_in_log = true;
        self.report(Some(id))
    }

    /// Records that the log has the requested admission, with the runs as of then. It is granted
    /// unless the limits are exceeded by more than was known when it was requested.
    pub fn confirm(&mut self, runs: Runs, attempts_max: u32) {
        let Admission::Requested { id, excess } = self.admission else {
            return;
        };
        let is_within = runs.excess(attempts_max) <= excess;
        self.runs = Runs {
            failed: runs.failed.max(self.runs.failed),
            blamed: runs.blamed.max(self.runs.blamed),
            is_answered: runs.is_answered || self.runs.is_answered,
            ..runs
        };
        self.admission = match is_within {
            true => Admission::Granted(Some(id)),
            false => Admission::Needed,
        };
    }

    /// Returns the admission that is not used up, or that may still be granted; the owner withdraws
    /// it if it runs the item no more.
    pub fn unused_admission(&self) -> Option<RunId> {
        match self.admission {
            Admission::Needed => None,
            Admission::Requested { id, .. } => Some(id),
            Admission::Granted(id) => id,
        }
    }

    /// Records that a run ended, and the target may have answered with a failure that was not
    /// received.
    pub fn record_doubt(&mut self) {
        if !self.runs.is_answered {
            self.admission = Admission::Needed;
            self.own_doubts = self.own_doubts.saturating_add(1);
        }
    }

    /// Records a failure, which is attributed either to the target or to the item. Returns what
    /// the log is to be told.
    pub fn record_failure(&mut self, is_target_failing: bool) -> Report {
        self.runs.failed = self.runs.failed.saturating_add(1);
        self.runs.blamed += u32::from(!is_target_failing);
        self.admission = Admission::Needed;
        self.report(None)
    }

    /// Records the failure of a run that was in doubt, and whose target has answered late. Another
    /// run may be in progress, whose admission stays. Returns what the log is to be told.
    pub fn record_late_failure(&mut self, is_target_failing: bool) -> Report {
        self.own_doubts = self.own_doubts.saturating_sub(1);
        self.runs.failed = self.runs.failed.saturating_add(1);
        self.runs.blamed += u32::from(!is_target_failing);
        self.report(None)
    }

    /// Records that a run that was in doubt goes on, since its target has begun to answer late. Its
    /// admission covers it again.
    pub fn resume_late(&mut self) {
        self.own_doubts = self.own_doubts.saturating_sub(1);
        if self.admission == Admission::Needed {
            self.admission = Admission::Granted(None);
        }
    }

    /// Records that a target has begun to answer. Returns what the log is to be told; `None` if
    /// it need not know.
    pub fn record_answer(&mut self) -> Option<Report> {
        let was_answered = std::mem::replace(&mut self.runs.is_answered, true);
        (self.is_in_log && !was_answered).then(|| self.report(None))
    }

    fn report(&self, begins: Option<RunId>) -> Report {
        Report {
            begins,
            failed: self.runs.failed,
            blamed: self.runs.blamed,
            is_answered: self.runs.is_answered,
        }
    }
}
