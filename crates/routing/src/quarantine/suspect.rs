//! What is known of one request under which targets crashed.
//!
//! Hosts hold this apart and merge what they are told, in any order and as often as it
//! comes: crashes are a set, and a clearance outdoes all crashes from before it. A
//! counter was rejected: told twice, it counts twice.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::Change;
use super::Crash;
use super::CrashReport;
use super::Decision;
use super::IncarnationId;
use super::REMEMBERED;
use super::Report;
use crate::balancer::HostId;
use crate::fingerprint::Fingerprint;

/// Targets that a request may end before it can be blamed.
const CRASHES_ALLOWED: u32 = 3;

/// Crashes of a sound target in a second at most: four targets in ten every three
/// seconds.
const CRASH_RATE_MAX: f64 = 0.14;

/// Chances of a healthy request to meet the crashes that it met below which it is
/// blamed, by the number of crashes from [`CRASHES_ALLOWED`] on; beyond the last it is
/// blamed in any case. At first one in 100,000, with some 1,000 requests a day that meet
/// a crash at all; the fewer targets it may still end, the less it takes. Played for ten
/// minutes with a crash of each target every 7.5 seconds, 1 of 28,500 online requests is
/// refused, sent again after three runs that broke off, and none of 1,500 items that run
/// for seven seconds; with a crash every 20 seconds none at all.
const CHANCES_MIN: [f64; 3] = [1e-5, 1e-5, 1e-4];

/// Least time for which a request counts as having run when a target crashed. A target
/// that has crashed is still sent requests until that is noticed, and those break off at
/// once; and what ran for 50 ms is no more to blame than what ran for 100.
const RAN_MIN: Duration = Duration::from_millis(100);

/// Times the longest run after which a target crashed that a run must outlast to show
/// that its target bears the request: it would have crashed before.
const OUTLASTS: u32 = 2;

/// Least time that such a run lasts.
const OUTLASTS_MIN: Duration = Duration::from_secs(1);

/// Time for which a blamed request is kept from all targets, after the last crash that
/// is allowed; each later crash doubles it. So it ends one target in ten minutes, then one
/// in twenty, if its caller does not give up.
const KEPT_AWAY: Duration = Duration::from_secs(600);

/// The same for one of which a result is owed, as long as it may end targets besides
/// those allowed. Blamed by mistake, an item ends well then and is only late; to blame,
/// it ends three targets more within two minutes.
const KEPT_AWAY_OWED: Duration = Duration::from_secs(15);

/// Crashes from which that does not hold any more.
const CRASHES_OWED_MAX: u32 = CRASHES_ALLOWED + 3;

/// Time after which a run does not keep others waiting: targets crash some 100 ms after
/// they begin a request that they cannot bear. It also ends the runs of hosts that
/// died.
const RUN_WATCHED: Duration = Duration::from_secs(1);

/// Time for which changes are told again to those that may have missed them: some six
/// times, each to two hosts.
const RETOLD: Duration = Duration::from_secs(3);

/// Crashes that are remembered of one request, the newest ones: with so many it is kept
/// away for more than five hours after each.
const CRASHES_KEPT: usize = 8;

/// A request under which targets crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    clearances: u32,
    crashes: Vec<Crash>,
    /// When each host began its newest run.
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

    pub(super) fn admit(&mut self, host: &str, is_owed: bool, now: Instant) -> Decision {
        if let Some(retry_after) = self.kept_away(is_owed, now) {
            return Decision::Refuse {
                crashes: self.crash_count(),
                retry_after,
            };
        }
        if self.crashes.is_empty() {
            return Decision::Admit;
        }
        self.runs
            .retain(|_, since| is_within(*since, RUN_WATCHED, now));
        // A run for each target that it may still end; a blamed one is tried alone.
        let at_once = CRASHES_ALLOWED.saturating_sub(self.crash_count()).max(1);
        if self.runs.len() >= at_once as usize || self.runs.contains_key(host) {
            return Decision::Wait;
        }
        self.runs.insert(host.to_owned(), now);
        Decision::Admit
    }

    pub(super) fn end_run(&mut self, host: &str) {
        self.runs.remove(host);
    }

    /// Makes a change and tells what it comes to.
    pub(super) fn noting(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut Self) -> bool,
    ) -> Change {
        let newest = self.newest();
        let was_blamed = self.is_blamed();
        if !change(self) {
            return Change::None;
        }
        self.changed_at = now;
        let is_crash = !was_blamed || self.newest() > newest;
        if self.is_blamed() && is_crash {
            let crashes = self.crash_count();
            return Change::Blamed { crashes };
        }
        Change::Updated
    }

    /// Returns the first life from the given one on that is not known to have ended
    /// before a moment.
    pub(super) fn incarnation_of_run(
        &self,
        incarnation: IncarnationId,
        at: Instant,
    ) -> IncarnationId {
        let has_ended = |incarnation| {
            self.crashes
                .iter()
                .any(|c| c.incarnation == incarnation && c.detected_at < at)
        };
        let mut met = incarnation;
        while has_ended(met) {
            met = next_life(met);
        }
        met
    }

    /// Adds a crash; returns whether it was not known.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        if self
            .crashes
            .iter()
            .any(|known| known.incarnation == crash.incarnation)
        {
            return false;
        }
        if self.crashes.len() < CRASHES_KEPT {
            self.crashes.push(crash);
            return true;
        }
        // The newest says until when it is kept away, so the oldest makes room for it.
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

    /// Forgets all crashes; returns whether there were any.
    pub(super) fn clear(&mut self, now: Instant) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.clearances += 1;
        self.crashes.clear();
        self.changed_at = now;
        true
    }

    /// Forgets all crashes if a run that lasted for so long shows that targets bear it;
    /// returns whether it does.
    pub(super) fn record_survival(&mut self, run_time: Duration, now: Instant) -> bool {
        let longest = self.crashes.iter().map(|crash| crash.run_time).max();
        let least = longest.map(|run_time| (run_time * OUTLASTS).max(OUTLASTS_MIN));
        least.is_some_and(|least| run_time >= least) && self.clear(now)
    }

    /// Merges what a host tells; returns whether anything was new.
    pub(super) fn merge(&mut self, host: &HostId, told: &Report, now: Instant) -> bool {
        let since = told.running_for.and_then(|age| now.checked_sub(age));
        let before = match since {
            Some(since) => self.runs.insert(host.clone(), since).is_some(),
            None => self.runs.remove(host).is_some(),
        };
        let is_run_news = before != since.is_some();
        if told.clearances < self.clearances {
            // That host has missed a clearance, so it is told again.
            return !told.crashes.is_empty();
        }
        let is_cleared = told.clearances > self.clearances;
        if is_cleared {
            self.clearances = told.clearances;
            self.crashes.clear();
        }
        let mut is_news = is_cleared || is_run_news;
        for CrashReport {
            incarnation,
            run_time,
            age,
        } in told.crashes.iter().copied()
        {
            let detected_at = now.checked_sub(age).unwrap_or(now);
            is_news |= self.add(Crash {
                incarnation,
                run_time,
                detected_at,
            });
        }
        is_news
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
            running_for: self.runs.get(host).map(|since| age(*since)),
        }
    }

    pub(super) fn is_retold(&self, now: Instant) -> bool {
        self.crashes.len() > 1 || is_within(self.changed_at, RETOLD, now)
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        let time = match self.is_blamed() {
            // It is to be known still when it is tried again.
            true => self.kept_away_for(false) * 2,
            false => REMEMBERED,
        };
        !is_within(self.newest(), time, now)
    }

    /// Returns how much would be lost with it: the more crashes, and the newer, the more.
    pub(super) fn weight(&self) -> (u32, Instant) {
        (self.crash_count(), self.newest())
    }

    fn newest(&self) -> Instant {
        let newest = self.crashes.iter().map(|crash| crash.detected_at).max();
        newest.unwrap_or(self.changed_at)
    }

    /// Returns for how much longer it is kept from all targets, if it is.
    fn kept_away(&self, is_owed: bool, now: Instant) -> Option<Duration> {
        if !self.is_blamed() {
            return None;
        }
        let since = now.saturating_duration_since(self.newest());
        let rest = self.kept_away_for(is_owed).checked_sub(since)?;
        (!rest.is_zero()).then_some(rest)
    }

    fn kept_away_for(&self, is_owed: bool) -> Duration {
        let crashes = self.crash_count();
        let base = match is_owed && crashes < CRASHES_OWED_MAX {
            true => KEPT_AWAY_OWED,
            false => KEPT_AWAY,
        };
        base * 2u32.pow(crashes.saturating_sub(CRASHES_ALLOWED))
    }

    fn is_blamed(&self) -> bool {
        let beyond = self.crashes.len().checked_sub(CRASHES_ALLOWED as usize);
        let Some(beyond) = beyond else {
            return false;
        };
        let chance_min = CHANCES_MIN.get(beyond);
        chance_min.is_none_or(|min| self.chance_if_healthy() < *min)
    }

    /// Returns the chance that a healthy request meets as many crashes so soon after it
    /// began to run.
    fn chance_if_healthy(&self) -> f64 {
        let met = self.crashes.iter();
        met.map(|crash| (CRASH_RATE_MAX * crash.run_time.max(RAN_MIN).as_secs_f64()).min(1.0))
            .product()
    }
}

/// Returns a name for the life that follows one, the same at all hosts.
fn next_life(incarnation: IncarnationId) -> IncarnationId {
    xxh3_64(&incarnation.to_le_bytes())
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
