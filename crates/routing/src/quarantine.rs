//! Decides which requests are withheld from targets because targets crash while running them.
//!
//! Some requests crash every target that runs them, and their callers retry them: the same
//! content under another id, sent to any host. A crash also ends everything else that ran
//! at the target, so a single crash makes suspects of many requests of which only one caused
//! it. Only recurrence distinguishes them: the causing request is present at the next crash
//! too. A target crashes *under* a request if it appears to have been running the request
//! when it crashed, whether or not the request was the cause. Hosts remember the requests
//! under which targets crashed by a fingerprint of their content, send one another reports on
//! them, and
//!
//! * run a suspect at no more targets at once, over all hosts, than it may still crash;
//! * run a request that is blamed for its crashes nowhere until it has been blocked for a
//!   long time;
//! * run an item of a job again once no target has crashed for a time, since it is owed a result
//!   ([`Quarantine::admit_item`]);
//! * clear a request that completed, or that ran for far longer than it takes to crash a
//!   target: it does not crash every target that runs it.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_routing::quarantine::{Crash, Decision, Quarantine};
//!
//! let now = Instant::now();
//! let mut quarantine = Quarantine::default();
//! assert_eq!(quarantine.admit(7, "a1", now), Decision::Admit);
//! for incarnation in 0..3 {
//!     let run_time = Duration::from_millis(50);
//!     quarantine.record_crash(7, Crash { incarnation, run_time, detected_at: now });
//! }
//! assert!(matches!(quarantine.admit(7, "a1", now), Decision::Refuse { crashes: 3, .. }));
//! ```
//!
//! # Blame
//!
//! Targets also crash for other reasons, and a healthy request that is retried may be
//! present each time. The probability depends on its run time: where a target crashes every
//! seven seconds, a request that ran for 50 ms meets a crash with a probability of 0.7 %,
//! one that ran for 3 s with 40 %. A request is blamed for three crashes if a healthy one
//! would have met them with a probability below one in 100,000, and for six in any case.
//! A fixed number of crashes was rejected, as items of jobs run for seconds and would be
//! blamed whenever many targets crash. The crash rate that hosts observe was rejected, as
//! the request to blame raises it.
//!
//! In simulations with healthy requests only, in which a quarter to four tenths of all
//! targets crashed every three or four seconds, 67 items met three or more crashes in 32
//! runs of half a minute each. One of them was blamed: it had been sent to a target at the
//! moment of its crash, and appeared to have run there for 1 ms. Hence the minimum run time
//! that counts, the clearance by runs that did not complete, and the early retry of items.
//!
//! # Trade-offs
//!
//! Two hosts that admit a suspect within the time that a report takes between them both run
//! it. Requesting permission from one host was rejected: it costs a round trip, and if that
//! host fails or is partitioned, no other can grant it. A request that no host has seen
//! before may be running at any number of targets when its first crash is detected.
//!
//! Ages are measured on the given clock. If it stops, as on a suspended machine, suspects
//! are remembered and blocked for longer, never for shorter.

mod calm;
pub mod parts;
mod suspect;
mod unknown;

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;
use std::time::Instant;

use crate::balancer::HostId;
use crate::fingerprint::Fingerprint;

use xxhash_rust::xxh3::xxh3_64;

use self::calm::CrashTimes;
use self::suspect::Suspect;

/// Identifies one incarnation of a target, from a start of its process to its end.
pub type IncarnationId = u64;

/// Time for which a suspect is remembered after its last crash. Callers retry within
/// seconds or minutes; each crash leaves about eight suspects, most of which are never seen
/// again.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of suspects, about 200 bytes each and 3 MB in total. A crash adds about
/// eight, so a caller who wanted to have a suspect evicted would have to crash 2,000 targets
/// first, and the suspects with the most crashes are evicted last.
const SUSPECTS_MAX: usize = 16_384;

/// Highest crash rate of a target that crashes for other reasons: four targets in ten crash
/// every three seconds.
const CRASH_RATE_MAX_PER_S: f64 = 0.14;

/// Lower bound on the run time with which a crash is counted. A crashed target is still sent
/// requests until the crash is detected, and those fail at once; a request that ran for 50 ms
/// is also no more suspicious than one that ran for 100 ms.
const RUN_TIME_MIN: Duration = Duration::from_millis(100);
/// Maximum time that a run takes to crash a target, to which whoever decodes a report keeps: multiples of it
/// are computed.
pub const RUN_TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// A crash of a target under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// Time for which the request had run there.
    pub run_time: Duration,
    /// When the crash was detected.
    pub detected_at: Instant,
}

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may. The run of a suspect is recorded until [`Quarantine::end_run`].
    Admit,
    /// Requests with the same content are running; it may once one of them has ended.
    Wait,
    /// Targets crash under it.
    Refuse {
        /// Number of crashes observed.
        crashes: u32,
        /// Time until it may be tried once more.
        retry_after: Duration,
    },
}

/// A host's report on a suspect. Times are relative, as the clocks of hosts differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of times it was cleared; crashes before a clearance do not count.
    pub clearances: u32,
    /// The crashes since the last clearance.
    pub crashes: Vec<CrashReport>,
    /// Time since the reporting host started to run it; `None` if it does not run there.
    pub running_for: Option<Duration>,
}

/// A crash in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// Time for which the request had run there.
    pub run_time: Duration,
    /// Time since the crash was detected.
    pub age: Duration,
}

/// Effect of a crash or a report on a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Everything was known already.
    None,
    /// Another crash or clearance was added, or a run started or ended.
    Updated,
    /// The request is refused from now on, or for longer than before.
    Blamed {
        /// Number of targets that crashed under it.
        crashes: u32,
    },
}

/// Requests under which targets crashed, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    crash_times: CrashTimes,
    is_incomplete: bool,
}

impl Quarantine {
    /// Sets whether crashes from before may be unknown. Meanwhile a suspect waits for longer after each
    /// crash.
    pub fn set_incomplete(&mut self, is_incomplete: bool) {
        self.is_incomplete = is_incomplete;
    }

    /// Returns whether there are no suspects, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, Suspect::crash_count)
    }

    /// Returns the incarnation of a target that answered a request sent at `sent_at`: the
    /// known one, or a later one if the known one had crashed by then.
    ///
    /// Guards against a host with an outdated list of targets, which would mistake the next
    /// crash of a target for the previous one, so that the request could crash more targets
    /// than allowed. Reported crashes are not corrected in this way: a host that was
    /// suspended may take an old report for a new one, and the crash would then count as
    /// often as it was reported.
    pub fn incarnation_of_run(
        &self,
        fingerprint: Fingerprint,
        known: IncarnationId,
        sent_at: Instant,
    ) -> IncarnationId {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(known, |suspect| suspect.incarnation_of_run(known, sent_at))
    }

    /// Decides whether a host may send a request now, and records the run of a suspect.
    pub fn admit(&mut self, fingerprint: Fingerprint, host: &str, now: Instant) -> Decision {
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) => {
                let block = suspect.remaining_block(now);
                suspect.admit(host, block, self.is_incomplete, now)
            }
            None => Decision::Admit,
        }
    }

    /// Decides the same for an item of a job. Each accepted item must get a result, and no
    /// caller retries it, so it runs again in calm, however many targets crashed under it.
    pub fn admit_item(&mut self, fingerprint: Fingerprint, host: &str, now: Instant) -> Decision {
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) => {
                let block = suspect.item_block(&self.crash_times, now);
                suspect.admit(host, block, self.is_incomplete, now)
            }
            None => Decision::Admit,
        }
    }

    /// Records that a host's run of a request has ended.
    pub fn end_run(&mut self, fingerprint: Fingerprint, host: &str) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.end_run(host);
        }
    }

    /// Records that a target crashed under a request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let now = crash.detected_at;
        self.crash_times.add(crash.incarnation, now);
        self.evict_if_full(now);
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        suspect.update(now, |suspect| suspect.add(crash))
    }

    /// Records that a request completed at a target; returns whether that clears a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.clear(now))
    }

    /// Records that a host ended a run after `run_time` while the target was healthy;
    /// returns whether that clears a suspect.
    pub fn record_survival(
        &mut self,
        fingerprint: Fingerprint,
        run_time: Duration,
        now: Instant,
    ) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.record_survival(run_time, now))
    }

    /// Merges another host's report on a suspect.
    pub fn merge_report(&mut self, host: &HostId, report: &Report, now: Instant) -> Change {
        self.evict_if_full(now);
        for crash in &report.crashes {
            let detected_at = now.checked_sub(crash.age).unwrap_or(now);
            self.crash_times.add(crash.incarnation, detected_at);
        }
        let suspect = match self.suspects.entry(report.fingerprint) {
            Entry::Occupied(known) => known.into_mut(),
            // The clearance of a request that is no suspect here has no effect.
            Entry::Vacant(_) if report.crashes.is_empty() => return Change::None,
            Entry::Vacant(new) => new.insert(Suspect::new(now)),
        };
        suspect.update(now, |suspect| suspect.merge_report(host, report, now))
    }

    /// Returns a host's report on a request; `None` if it is not a suspect.
    pub fn report(&self, fingerprint: Fingerprint, host: &str, now: Instant) -> Option<Report> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(suspect.report(fingerprint, host, now))
    }

    /// Returns the reports that a host resends periodically, for hosts that missed them: on
    /// suspects with more than one crash, and on those that changed recently.
    pub fn periodic_reports(&self, host: &str, now: Instant) -> Vec<Report> {
        let resent = self.suspects.iter().filter(|(_, s)| s.is_resent(now));
        resent
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, host, now))
            .collect()
    }

    /// Evicts suspects whose last crash was long ago.
    pub fn evict_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    /// Evicts the suspects with the fewest and oldest crashes if there are too many.
    fn evict_if_full(&mut self, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        self.evict_expired(now);
        let mut by_rank: Vec<_> = self
            .suspects
            .iter()
            .map(|(f, s)| (s.retention_rank(), *f))
            .collect();
        by_rank.sort_unstable();
        // Evicts many at once, so that sorting is rare.
        for (_, fingerprint) in by_rank.into_iter().take(SUSPECTS_MAX / 8) {
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Returns the probability that something healthy meets as many crashes, each this soon after it
/// started to run.
fn probability_if_healthy(run_times: impl Iterator<Item = Duration>) -> f64 {
    run_times
        .map(|run_time| (CRASH_RATE_MAX_PER_S * run_time.max(RUN_TIME_MIN).as_secs_f64()).min(1.0))
        .product()
}

/// Returns the first incarnation, from the known one on, that has not crashed. Later ones are
/// named the same on all hosts.
fn first_incarnation_without(
    known: IncarnationId,
    has_crashed: impl Fn(IncarnationId) -> bool,
) -> IncarnationId {
    let mut incarnation = known;
    while has_crashed(incarnation) {
        incarnation = xxh3_64(&incarnation.to_le_bytes());
    }
    incarnation
}
