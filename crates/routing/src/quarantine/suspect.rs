//! State of one request under which targets crashed.
//!
//! Kept apart from the table of suspects because it is the unit that hosts merge. Reports
//! arrive in any order and any number of times, so merging is idempotent and commutative:
//! crashes form a set, and a clearance supersedes all crashes before it. A counter was
//! rejected, as a report that arrives twice would count twice.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Change;
use super::Crash;
use super::CrashReport;
use super::Decision;
use super::IncarnationId;
use super::Report;
use super::SUSPECT_RETENTION;
use super::calm::CrashTimes;
use super::probability_if_healthy;
use super::unknown;
use crate::balancer::HostId;
use crate::fingerprint::Fingerprint;

/// Number of targets that a request may crash before it can be blamed.
const CRASHES_ALLOWED: u32 = 3;

/// Thresholds on the probability that a healthy request would meet the same crashes; a request
/// below its threshold is blamed. Indexed by the number of crashes from [`CRASHES_ALLOWED`] on;
/// beyond the last entry the request is blamed in any case. The threshold starts at one in
/// 100,000, with about 1,000 requests a day that meet a crash at all, and rises as the request
/// has fewer targets left to crash. Simulated for ten minutes with a crash of each target every
/// 7.5 seconds, 1 of 28,500 online requests is refused, on a retry after three interrupted
/// runs, and none of 1,500 items that run for seven seconds; with a crash every 20 seconds,
/// none at all.
const BLAME_PROBABILITIES: [f64; 3] = [1e-5, 1e-5, 1e-4];

/// Multiple of the longest run before a crash that a run must survive to clear a request:
/// it would have crashed its target before.
const SURVIVAL_FACTOR: u32 = 2;

/// Minimum duration of such a run.
const SURVIVAL_MIN: Duration = Duration::from_secs(1);

/// Time for which a blamed request is blocked after the last crash that is allowed; each
/// further crash doubles it. The request thus crashes one target in ten minutes, then one
/// in twenty, as long as its caller retries.
const BLOCK_TIME: Duration = Duration::from_secs(600);

/// Time after which a run no longer blocks others. Targets crash some 100 ms after they
/// start a request that crashes them. Also ends the runs of hosts that failed.
const RUN_EXPIRY: Duration = Duration::from_secs(1);

/// Time for which a change is resent to hosts that may have missed it: about six times, to
/// two hosts each.
const RESEND_PERIOD: Duration = Duration::from_secs(3);

/// Number of crashes retained per request, the newest ones. With this many a request is
/// blocked for more than five hours after each.
const CRASHES_RETAINED: usize = 8;

/// A request under which targets crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    clearances: u32,
    crashes: Vec<Crash>,
    /// When each host started its newest run.
    runs: HashMap<HostId, Instant>,
    changed_at: Instant,
}

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            clearances: 0,
            crashes: Vec::new(),
            runs: HashMap::new(),
            changed_at: now,
        }
    }

    pub(super) fn crash_count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX)
    }

    /// Decides for a request or an item that is still blocked for a time, if for any, at a host to
    /// which crashes from before may be unknown.
    pub(super) fn admit(
        &mut self,
        host: &str,
        block: Option<Duration>,
        is_incomplete: bool,
        now: Instant,
    ) -> Decision {
        if let Some(retry_after) = block {
            return Decision::Refuse {
                crashes: self.crash_count(),
                retry_after,
            };
        }
        if self.crashes.is_empty() {
            return Decision::Admit;
        }
        let detected_at = self.crashes.iter().map(|crash| crash.detected_at);
        if is_incomplete && is_within(self.last_crash_at(), unknown::wait_after(detected_at), now) {
            return Decision::Wait;
        }
        self.runs
            .retain(|_, started_at| is_within(*started_at, RUN_EXPIRY, now));
        // One run for each target that it may still crash; a blamed request, and one that may be, runs alone.
        let runs_max = match is_incomplete {
            true => 1,
            false => CRASHES_ALLOWED.saturating_sub(self.crash_count()).max(1),
        };
        if self.runs.len() >= runs_max as usize || self.runs.contains_key(host) {
            return Decision::Wait;
        }
        self.runs.insert(host.to_owned(), now);
        Decision::Admit
    }

    pub(super) fn end_run(&mut self, host: &str) {
        self.runs.remove(host);
    }

    /// Applies a change, which returns whether it had an effect; returns the effect.
    pub(super) fn update(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut Self) -> bool,
    ) -> Change {
        let last_crash_at = self.last_crash_at();
        let was_blamed = self.is_blamed();
        if !change(self) {
            return Change::None;
        }
        self.changed_at = now;
        let is_crash = !was_blamed || self.last_crash_at() > last_crash_at;
        if self.is_blamed() && is_crash {
            let crashes = self.crash_count();
            return Change::Blamed { crashes };
        }
        Change::Updated
    }

    /// Returns the first incarnation, from the known one on, that is not known to have
    /// crashed before `sent_at`.
    pub(super) fn incarnation_of_run(
        &self,
        known: IncarnationId,
        sent_at: Instant,
    ) -> IncarnationId {
        let has_crashed = |incarnation| {
            self.crashes
                .iter()
                .any(|c| c.incarnation == incarnation && c.detected_at < sent_at)
        };
        super::first_incarnation_without(known, has_crashed)
    }

    /// Adds a crash; returns whether it was unknown.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        if self
            .crashes
            .iter()
            .any(|known| known.incarnation == crash.incarnation)
        {
            return false;
        }
        if self.crashes.len() < CRASHES_RETAINED {
            self.crashes.push(crash);
            return true;
        }
        // The newest crash determines the end of the block, so the oldest is replaced.
        let oldest = self
            .crashes
            .iter_mut()
            .min_by_key(|known| known.detected_at);
        let Some(oldest) = oldest.filter(|oldest| oldest.detected_at < crash.detected_at) else {
            return false;
        };
        *oldest = crash;
        true
    }

    /// Removes all crashes; returns whether there were any.
    pub(super) fn clear(&mut self, now: Instant) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.clearances += 1;
        self.crashes.clear();
        self.changed_at = now;
        true
    }

    /// Removes all crashes if a run of this duration shows that targets survive the request;
    /// returns whether it does.
    pub(super) fn record_survival(&mut self, run_time: Duration, now: Instant) -> bool {
        let longest = self.crashes.iter().map(|crash| crash.run_time).max();
        let min = longest.map(|run_time| (run_time * SURVIVAL_FACTOR).max(SURVIVAL_MIN));
        min.is_some_and(|min| run_time >= min) && self.clear(now)
    }

    /// Merges a host's report; returns whether it had an effect.
    pub(super) fn merge_report(&mut self, host: &HostId, report: &Report, now: Instant) -> bool {
        let started_at = report.running_for.and_then(|age| now.checked_sub(age));
        let was_running = match started_at {
            Some(started_at) => self.runs.insert(host.clone(), started_at).is_some(),
            None => self.runs.remove(host).is_some(),
        };
        let is_run_changed = was_running != started_at.is_some();
        if report.clearances < self.clearances {
            // That host has missed a clearance, so the change is resent.
            return !report.crashes.is_empty();
        }
        let is_cleared = report.clearances > self.clearances;
        if is_cleared {
            self.clearances = report.clearances;
            self.crashes.clear();
        }
        let mut is_changed = is_cleared || is_run_changed;
        for CrashReport {
            incarnation,
            run_time,
            age,
        } in report.crashes.iter().copied()
        {
            let detected_at = now.checked_sub(age).unwrap_or(now);
            is_changed |= self.add(Crash {
                incarnation,
                run_time,
                detected_at,
            });
        }
        is_changed
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, host: &str, now: Instant) -> Report {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            incarnation: crash.incarnation,
            run_time: crash.run_time,
            age: age(crash.detected_at),
        });
        Report {
            fingerprint,
            clearances: self.clearances,
            crashes: crashes.collect(),
            running_for: self.runs.get(host).map(|started_at| age(*started_at)),
        }
    }

    /// Returns whether periodic reports include the suspect.
    pub(super) fn is_resent(&self, now: Instant) -> bool {
        self.crashes.len() > 1 || is_within(self.changed_at, RESEND_PERIOD, now)
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.is_blamed() {
            // Must still be known when it is tried again.
            true => self.block_time() * 2,
            false => SUSPECT_RETENTION,
        };
        !is_within(self.last_crash_at(), retention, now)
    }

    /// Returns the rank by which suspects are retained when there are too many: those with
    /// more crashes, then those with newer ones.
    pub(super) fn retention_rank(&self) -> (u32, Instant) {
        (self.crash_count(), self.last_crash_at())
    }

    /// Returns the time of the newest crash, or of the last change if there is none.
    fn last_crash_at(&self) -> Instant {
        let newest = self.crashes.iter().map(|crash| crash.detected_at).max();
        newest.unwrap_or(self.changed_at)
    }

    /// Returns the time for which the request remains blocked; `None` if it is not.
    pub(super) fn remaining_block(&self, now: Instant) -> Option<Duration> {
        if !self.is_blamed() {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.last_crash_at());
        let remaining = self.block_time().checked_sub(elapsed)?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the same for an item of a job.
    pub(super) fn item_block(&self, crash_times: &CrashTimes, now: Instant) -> Option<Duration> {
        if !self.is_blamed() {
            return None;
        }
        let crashes = self.crashes.iter();
        crash_times.item_block(crashes.map(|c| (c.incarnation, c.detected_at)), now)
    }

    fn block_time(&self) -> Duration {
        BLOCK_TIME * 2u32.pow(self.crash_count().saturating_sub(CRASHES_ALLOWED))
    }

    fn is_blamed(&self) -> bool {
        let beyond = self.crashes.len().checked_sub(CRASHES_ALLOWED as usize);
        let Some(beyond) = beyond else {
            return false;
        };
        let threshold = BLAME_PROBABILITIES.get(beyond);
        threshold.is_none_or(|threshold| {
            let run_times = self.crashes.iter().map(|crash| crash.run_time);
            probability_if_healthy(run_times) < *threshold
        })
    }
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
