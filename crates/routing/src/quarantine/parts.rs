//! Decides which requests are withheld because targets crash on a part of their prompts.
//!
//! Some parts of prompts crash every target that begins to write an answer on them, whatever
//! else the request holds. No two such requests need be alike, so their contents recur in no
//! crash; the part does. Each crash makes suspects of all parts that ran at the target. A part
//! that is not to blame is answered at other targets, and an answer clears it; the part to
//! blame is in crashes and in no answer. A part is blamed for three crashes or more if a
//! healthy one would hardly have met them since its last answer. Crashes under one request don't
//! count beside those, since the rest of its content may be to blame: the request would be
//! withheld as such, and all others with its parts with it.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_routing::quarantine::Decision;
//! use notchwharf_routing::quarantine::parts::{Crash, Parts};
//!
//! let now = Instant::now();
//! let mut parts = Parts::default();
//! for incarnation in 0..4 {
//!     let run_time = Duration::from_millis(50);
//!     let crash = Crash { incarnation, request: incarnation, run_time, has_begun: true, detected_at: now };
//!     parts.record_crash(7, crash);
//!     parts.record_crash(8, crash);
//! }
//! parts.record_success(&[8, 9], now);
//! let later = now + Duration::from_secs(2);
//! assert_eq!(parts.admit(&[8, 9], "a1", later), Decision::Admit);
//! // The part to blame is tried once.
//! assert_eq!(parts.admit(&[8, 7], "a1", later), Decision::Admit);
//! assert_eq!(parts.admit(&[8, 7], "a1", later), Decision::Wait);
//! let run_time = Duration::from_millis(50);
//! let crash = Crash { incarnation: 4, request: 4, run_time, has_begun: true, detected_at: later };
//! parts.record_crash(7, crash);
//! assert!(matches!(parts.admit(&[8, 7], "a1", later), Decision::Refuse { crashes: 5, .. }));
//! ```
//!
//! # Parts that occur together
//!
//! The request that a target ran when it crashed may have several suspected parts, and each
//! explains the crash. So a blamed part blocks a request only for crashes that no other
//! part explains, unless the request has that part too: a request with one of several parts that
//! share their crashes runs, and its outcome tells which of them is to blame. Withholding all
//! requests with any of them was rejected: a healthy part that is rarely used without the one to
//! blame would never be answered again, and so never be cleared. The price is up to three more
//! crashes where that happens. At most two parts explain the crashes of a third: letting any number
//! do so was rejected, as first parts that nobody else uses then explained one another's crashes
//! until each of them was blamed. A part of another request that ran at the target explains nothing:
//! while many targets crash, so many parts are in use at them that together they would explain
//! any crash.
//!
//! # Trade-offs
//!
//! Unlike requests, suspected parts are not limited in their number of runs before they are
//! blamed: a part may be shared by half of a route. Requests with the part that run when the
//! fourth crash is detected therefore crash more targets.
//!
//! Many targets that crash at once may make a part suspicious that is in use at all of them, and
//! if all crash, none is left to answer it. So a blamed part is tried before it is blocked: once
//! no target has crashed under it for half a second, with one request at a time, while the
//! others wait. An answer clears it; a crash confirms the blame, and costs one more target.
//! Hosts draw when they may begin, so that one of them tries first, and wait longer where they learn
//! of one another's crashes from the store alone. A trial that shows nothing, as its crash was not
//! seen, is followed by longer and longer pauses.
//! Blocking without a trial was rejected: if all targets crash together, the parts of all requests
//! would stay blocked, as nothing is left to clear them.
//!
//! An item of a job is owed a result, so in calm it is tried although a part is blocked for online
//! requests ([`Parts::admit_item`]). If the part is to blame, that costs a target for each trial; if
//! not, the answer clears the part for all.
//!
//! Clearances are points in time and not counted as those of requests are: hosts clear a part
//! in wide use independently of one another, and a crash after one clearance must not be
//! discarded with those before another. Times are exchanged as ages, so a crash that is detected
//! within 100 ms after a clearance elsewhere may be lost.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Change;
use super::Decision;
use super::IncarnationId;
use super::SUSPECT_RETENTION;
use super::SUSPECTS_MAX;
use super::calm::CrashTimes;
use super::probability_if_healthy;
use super::unknown;
use crate::prompt::PartId;

/// Least number of crashes for which a part is blamed, beside those under one request.
pub const CRASHES_MIN: usize = 3;

/// Least number of crashes with which a part explains those of another one. One crash is met by
/// any part.
const EXPLAINING_CRASHES_MIN: usize = 2;

/// Probability that a healthy part meets the crashes that two others leave unexplained, below which
/// it blocks requests.
const THIRD_PROBABILITY: f64 = 0.03;

/// Probability that a healthy part meets the same crashes, below which a part is blamed.
const BLAME_PROBABILITY: f64 = 1e-5;

/// Time after a crash before a blamed part is tried. Longer than most answers take at targets
/// that run on, and longer than the other hosts take to learn of a crash.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Interval at which a host tries a part, with one request each. Exceeds the time from the start
/// of a run that crashes its target until the other hosts learn of it.
const TRIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Most doublings of a host's trial interval, one for each trial that showed nothing.
const TRIAL_DOUBLINGS_MAX: u32 = 4;

/// How much slower a part is tried by hosts that learn of crashes from the store alone: from a crash
/// until they know of it, a write and a read pass.
const APART_FACTOR: u32 = 6;

/// Number of trial intervals after which all hosts may try a part. In each before, half as many
/// may as in the next, so that a large fleet does not lose many targets to one trial.
const TRIAL_INTERVALS_SHARED: u32 = 6;

/// Time for which a part that is confirmed to be to blame is blocked after its last crash, if
/// there were [`CRASHES_MIN`]; each further one doubles it, up to [`BLOCK_TIME_MAX`].
const BLOCK_TIME: Duration = Duration::from_secs(3_600);
const BLOCK_TIME_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Time for which a change is resent to hosts that may have missed it.
const RESEND_PERIOD: Duration = Duration::from_secs(3);

/// Error of an age that was sent between hosts: the latency of a message that is not lost.
const AGE_ERROR: Duration = Duration::from_millis(100);

/// Number of crashes retained for each part, the newest ones.
const CRASHES_RETAINED: usize = 12;

/// How soon hosts learn of one another's crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// By messages between hosts.
    #[default]
    Messages,
    /// By records in the store.
    Records,
}

impl Pace {
    fn factor(self) -> u32 {
        match self {
            Self::Messages => 1,
            Self::Records => APART_FACTOR,
        }
    }

    fn trial_interval(self) -> Duration {
        TRIAL_INTERVAL * self.factor()
    }

    /// Returns the time after a crash before a blamed part is tried.
    fn settle_time(self) -> Duration {
        SETTLE_TIME.max(self.trial_interval())
    }
}

/// Identifies a request among those that ran at a target when it crashed.
pub type RequestKey = u64;

/// A crash of a target under a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// The request with the part that ran there.
    pub request: RequestKey,
    /// Time for which that request had run.
    pub run_time: Duration,
    /// Whether the target had begun to answer that request.
    pub has_begun: bool,
    /// When the crash was detected.
    pub detected_at: Instant,
}

/// A host's report on a part. Times are relative, as the clocks of hosts differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The part.
    pub part: PartId,
    /// Time since its last answer that cleared it.
    pub cleared_age: Option<Duration>,
    /// The crashes since then.
    pub crashes: Vec<CrashReport>,
}

/// A crash in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// The request with the part that ran there.
    pub request: RequestKey,
    /// Time for which that request had run.
    pub run_time: Duration,
    /// Whether the target had begun to answer that request.
    pub has_begun: bool,
    /// Time since the crash was detected.
    pub age: Duration,
}

/// A part that was cleared by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cleared {
    /// The part.
    pub part: PartId,
    /// Number of crashes that no longer count.
    pub crashes: u32,
    /// Time for which it had been blamed at this host, if it was.
    pub blamed_for: Option<Duration>,
    /// Time since the first of these crashes.
    pub suspected_for: Duration,
}

/// A part under which targets crashed.
#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    cleared_at: Option<Instant>,
    blamed_since: Option<Instant>,
    /// When this host last tried the part.
    tried_at: Option<Instant>,
    /// How often it did since the last crash that it knows of.
    trials: u32,
    changed_at: Instant,
}

/// Parts of prompts under which targets crashed, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    suspects: HashMap<PartId, Suspect>,
    blamed: HashSet<PartId>,
    /// Parts that explain crashes of others: those with [`EXPLAINING_CRASHES_MIN`] or more.
    explaining: HashSet<PartId>,
    crash_times: CrashTimes,
    pace: Pace,
    is_incomplete: bool,
}

impl Parts {
    /// Sets whether crashes from before may be unknown. Meanwhile requests with a suspected part wait for
    /// longer after each crash, and are tried one by one.
    pub fn set_incomplete(&mut self, is_incomplete: bool) {
        self.is_incomplete = is_incomplete;
    }

    /// Sets how soon this host learns of the crashes that others see.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// Returns whether no part is known to have been in a crash.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of parts that were in a crash.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of blamed parts. While there are none, every request is admitted.
    pub fn blamed_count(&self) -> usize {
        self.blamed.len()
    }

    /// Returns whether a part is blamed.
    pub fn is_blamed(&self, part: PartId) -> bool {
        self.blamed.contains(&part)
    }

    /// Returns the number of crashes that count against a part.
    pub fn crash_count(&self, part: PartId) -> u32 {
        self.suspects.get(&part).map_or(0, Suspect::crash_count)
    }

    /// Returns when the newest crash under a part was detected; `None` if the part is not blamed.
    pub fn newest_blamed_crash(&self, part: PartId) -> Option<Instant> {
        let suspect = self.suspects.get(&part).filter(|_| self.is_blamed(part));
        suspect.map(Suspect::last_crash_at)
    }

    /// Returns the incarnation of a target that answered a request with the part; see
    /// [`Quarantine::incarnation_of_run`](super::Quarantine::incarnation_of_run).
    pub fn incarnation_of_run(
        &self,
        part: PartId,
        known: IncarnationId,
        sent_at: Instant,
    ) -> IncarnationId {
        let Some(suspect) = self.suspects.get(&part) else {
            return known;
        };
        super::first_incarnation_without(known, |incarnation| {
            let mut crashes = suspect.crashes.iter();
            crashes.any(|c| c.incarnation == incarnation && c.detected_at < sent_at)
        })
    }

    /// Decides whether a request whose prompt has these shared parts may be sent now.
    /// Requests with a part that is not confirmed to be to blame wait, and are tried one by one.
    pub fn admit(&mut self, parts: &[PartId], host: &str, now: Instant) -> Decision {
        self.admit_with(parts, host, now, |_, suspect| suspect.remaining_block(now))
    }

    /// Decides the same for an item of a job, which is owed a result: in calm it is tried, however
    /// many targets crashed under a part of its prompt.
    pub fn admit_item(&mut self, parts: &[PartId], host: &str, now: Instant) -> Decision {
        self.admit_with(parts, host, now, |crash_times, suspect| {
            let block = suspect.remaining_block(now)?;
            let crashes = suspect.crashes.iter();
            let crashes = crashes.map(|c| (c.incarnation, c.detected_at));
            Some(crash_times.item_block(crashes, now)?.min(block))
        })
    }

    fn admit_with(
        &mut self,
        parts: &[PartId],
        host: &str,
        now: Instant,
        remaining_block: impl Fn(&CrashTimes, &Suspect) -> Option<Duration>,
    ) -> Decision {
        if self.blamed.is_empty() && !self.is_incomplete {
            return Decision::Admit;
        }
        let blocks = |part: PartId| self.is_blamed(part) && self.blocks(part, parts);
        let blocking = parts.iter().copied();
        let blocking = blocking.filter(|part| {
            let is_unknown = self.is_incomplete && self.crash_count(*part) > 0;
            is_unknown || blocks(*part)
        });
        let blocking: Vec<PartId> = blocking.collect();
        for part in &blocking {
            let Some(suspect) = self.suspects.get(part) else {
                continue;
            };
            let remaining = remaining_block(&self.crash_times, suspect);
            if let Some(retry_after) = remaining.filter(|_| blocks(*part)) {
                return Decision::Refuse {
                    crashes: suspect.crash_count(),
                    retry_after,
                };
            }
            if !suspect.may_be_tried(*part, host, self.trial_times(suspect), now) {
                return Decision::Wait;
            }
        }
        // A trial is used up only by a request that is sent.
        for part in &blocking {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.tried_at = Some(now);
                suspect.trials = suspect.trials.saturating_add(1);
            }
        }
        Decision::Admit
    }

    /// Returns how long after its last crash a part is tried first, and the interval of trials.
    fn trial_times(&self, suspect: &Suspect) -> (Duration, Duration) {
        if !self.is_incomplete {
            return (self.pace.settle_time(), self.pace.trial_interval());
        }
        let detected_at = suspect.crashes.iter().map(|crash| crash.detected_at);
        (
            unknown::wait_after(detected_at),
            Pace::Records.trial_interval(),
        )
    }

    /// Returns whether a blamed part blocks a request: whether it would also be blamed for those
    /// of its crashes that no part which the prompt does not have explains. Where it takes two such
    /// parts, a third one would have to be to blame for each crash that they leave, which is less
    /// likely than that the one which all have in common is.
    fn blocks(&self, part: PartId, prompt: &[PartId]) -> bool {
        let Some(suspect) = self.suspects.get(&part) else {
            return false;
        };
        let is_other = |other: &&PartId| **other != part && !prompt.contains(other);
        let others: Vec<PartId> = self.explaining.iter().filter(is_other).copied().collect();
        let (unexplained, first) = self.explain(&suspect.crashes, &others);
        match self.explain(&unexplained, &others) {
            (unexplained, None) => are_to_blame(unexplained.iter()),
            (unexplained, Some(second)) => {
                let explaining = [first.unwrap_or(second), second];
                // Of the requests with the part that ran at a target only one is kept, which need
                // not be the one that has the other part too.
                let is_met = |crash: &&Crash| {
                    let mut explaining = explaining.iter();
                    explaining.any(|other| self.has_met(*other, crash.incarnation))
                };
                let left = unexplained.iter().filter(|crash| !is_met(crash));
                probability_if_healthy(left.map(|crash| crash.run_time)) < THIRD_PROBABILITY
            }
        }
    }

    /// Returns whether a part was in a crash of an incarnation, under any request.
    fn has_met(&self, part: PartId, incarnation: IncarnationId) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|s| s.crashes.iter().any(|c| c.incarnation == incarnation))
    }

    /// Returns those of some crashes that the likeliest of some other parts leaves unexplained, and
    /// this part if it explains any.
    fn explain(&self, crashes: &[Crash], others: &[PartId]) -> (Vec<Crash>, Option<PartId>) {
        let left = others
            .iter()
            .map(|other| (self.unexplained_by(*other, crashes), *other));
        match left.min_by_key(|(left, other)| (left.len(), *other)) {
            Some((left, other)) if left.len() < crashes.len() => (left, Some(other)),
            _ => (crashes.to_vec(), None),
        }
    }

    /// Returns those of some crashes that another part does not explain.
    fn unexplained_by(&self, other: PartId, crashes: &[Crash]) -> Vec<Crash> {
        let explaining = self
            .suspects
            .get(&other)
            .map_or(&[][..], |other| &other.crashes);
        let is_same =
            |a: &Crash, b: &Crash| (a.incarnation, a.request) == (b.incarnation, b.request);
        let unexplained = crashes
            .iter()
            .filter(|crash| !explaining.iter().any(|other| is_same(other, crash)));
        unexplained.copied().collect()
    }

    /// Records that a target crashed under a part.
    pub fn record_crash(&mut self, part: PartId, crash: Crash) -> Change {
        let now = crash.detected_at;
        self.crash_times.add(crash.incarnation, now);
        self.update(part, now, |suspect| suspect.add(crash))
    }

    /// Records that a target answered a request whose prompt has these shared parts, which clears
    /// them; returns those that had been in crashes.
    pub fn record_success(&mut self, parts: &[PartId], now: Instant) -> Vec<Cleared> {
        let mut cleared = Vec::new();
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            if suspect.crashes.is_empty() {
                continue;
            }
            let age = |since| now.saturating_duration_since(since);
            let crashes = suspect.crashes.iter();
            let suspected_since = crashes.map(|crash| crash.detected_at).min();
            cleared.push(Cleared {
                part: *part,
                crashes: suspect.crash_count(),
                blamed_for: suspect.blamed_since.map(age),
                suspected_for: suspected_since.map_or(Duration::ZERO, age),
            });
            suspect.clear(now, Duration::ZERO);
            suspect.changed_at = now;
            self.blamed.remove(part);
            self.explaining.remove(part);
        }
        cleared
    }

    /// Merges another host's report on a part.
    pub fn merge_report(&mut self, report: &Report, now: Instant) -> Change {
        if report.crashes.is_empty() && !self.suspects.contains_key(&report.part) {
            return Change::None;
        }
        for crash in &report.crashes {
            let detected_at = now.checked_sub(crash.age).unwrap_or(now);
            self.crash_times.add(crash.incarnation, detected_at);
        }
        self.update(report.part, now, |suspect| suspect.merge(report, now))
    }

    /// Applies a change, which returns whether it had an effect; returns the effect.
    fn update(
        &mut self,
        part: PartId,
        now: Instant,
        change: impl FnOnce(&mut Suspect) -> bool,
    ) -> Change {
        self.evict_if_full(now);
        let suspect = self.suspects.entry(part);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let last_crash_at = suspect.last_crash_at();
        if !change(suspect) {
            return Change::None;
        }
        suspect.changed_at = now;
        if suspect.last_crash_at() > last_crash_at {
            suspect.trials = 0;
        }
        match suspect.crashes.len() >= EXPLAINING_CRASHES_MIN {
            true => self.explaining.insert(part),
            false => self.explaining.remove(&part),
        };
        if !are_to_blame(suspect.crashes.iter()) {
            suspect.blamed_since = None;
            self.blamed.remove(&part);
            return Change::Updated;
        }
        suspect.blamed_since.get_or_insert(now);
        let crashes = suspect.crash_count();
        let is_new = self.blamed.insert(part);
        if is_new || suspect.last_crash_at() > last_crash_at {
            return Change::Blamed { crashes };
        }
        Change::Updated
    }

    /// Returns the report on a part; `None` if it was in no crash.
    pub fn report(&self, part: PartId, now: Instant) -> Option<Report> {
        let suspect = self.suspects.get(&part)?;
        Some(suspect.report(part, now))
    }

    /// Returns the reports on all parts that were in crashes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let crashed = self.suspects.iter().filter(|(_, s)| !s.crashes.is_empty());
        crashed.map(|(part, s)| s.report(*part, now)).collect()
    }

    /// Returns the reports that a host resends periodically, for hosts that missed them.
    pub fn periodic_reports(&self, now: Instant) -> Vec<Report> {
        let resent = self.suspects.iter().filter(|(_, s)| s.is_resent(now));
        resent.map(|(part, s)| s.report(*part, now)).collect()
    }

    /// Evicts parts whose last crash was long ago.
    pub fn evict_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.remove_evicted();
    }

    /// Evicts the parts with the fewest and oldest crashes if there are too many.
    fn evict_if_full(&mut self, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        self.evict_expired(now);
        let mut by_rank: Vec<_> = self
            .suspects
            .iter()
            .map(|(part, s)| ((s.crash_count(), s.last_crash_at()), *part))
            .collect();
        by_rank.sort_unstable();
        // Evicts many at once, so that sorting is rare.
        for (_, part) in by_rank.into_iter().take(SUSPECTS_MAX / 8) {
            self.suspects.remove(&part);
        }
        self.remove_evicted();
    }

    fn remove_evicted(&mut self) {
        let suspects = &self.suspects;
        self.blamed.retain(|part| suspects.contains_key(part));
        self.explaining.retain(|part| suspects.contains_key(part));
    }
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            cleared_at: None,
            blamed_since: None,
            tried_at: None,
            trials: 0,
            changed_at: now,
        }
    }

    fn crash_count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time for which the part remains blocked; `None` if it is not.
    fn remaining_block(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.last_crash_at());
        let remaining = self.block_time().saturating_sub(elapsed);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns whether a host may try the part, which is not blocked, after a settling time and in an
    /// interval. A trial that brought neither an answer nor a crash that was seen is followed by a longer
    /// pause.
    fn may_be_tried(
        &self,
        part: PartId,
        host: &str,
        (settle_time, interval): (Duration, Duration),
        now: Instant,
    ) -> bool {
        let elapsed = now.saturating_duration_since(self.last_crash_at());
        let doublings = self.trials.saturating_sub(1).min(TRIAL_DOUBLINGS_MAX);
        let is_tried = |at| is_within(at, interval * 2_u32.pow(doublings), now);
        elapsed >= settle_time
            && !self.tried_at.is_some_and(is_tried)
            && may_try(part, host, elapsed - settle_time, interval)
    }

    /// Returns the time for which the part is blocked after its last crash. Crashes that come
    /// together, as when all targets crash, are confirmed by a trial before it is.
    fn block_time(&self) -> Duration {
        if !self.is_confirmed() {
            return Duration::ZERO;
        }
        let beyond = self.crashes.len().saturating_sub(CRASHES_MIN);
        let factor = 2u32.saturating_pow(u32::try_from(beyond).unwrap_or(u32::MAX));
        BLOCK_TIME.saturating_mul(factor).min(BLOCK_TIME_MAX)
    }

    /// Returns whether a target crashed under the part when it was already to blame for the
    /// crashes before, in a run that began after them, and no other had crashed for
    /// [`SETTLE_TIME`]. A run from before them may be one of a healthy part.
    fn is_confirmed(&self) -> bool {
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|crash| crash.detected_at);
        (CRASHES_MIN..crashes.len()).any(|index| {
            let (last, crash) = (crashes[index - 1], crashes[index]);
            let gap = crash.detected_at - last.detected_at;
            gap + AGE_ERROR >= SETTLE_TIME
                && crash.run_time < gap
                && are_to_blame(crashes[..index].iter().copied())
        })
    }

    /// Adds a crash; returns whether that changed anything.
    fn add(&mut self, crash: Crash) -> bool {
        let is_cleared = |cleared_at| crash.detected_at <= cleared_at;
        if self.cleared_at.is_some_and(is_cleared) {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.incarnation == crash.incarnation) {
            // A request that had not begun is no evidence beside one that had. Of several that
            // had, the longest run decides how likely it was to be present.
            let is_stronger = (crash.has_begun, crash.run_time) > (known.has_begun, known.run_time);
            if is_stronger {
                known.has_begun = crash.has_begun;
                known.request = crash.request;
                known.run_time = crash.run_time;
            }
            return is_stronger;
        }
        self.crashes.push(crash);
        if self.crashes.len() <= CRASHES_RETAINED {
            return true;
        }
        let oldest = self
            .crashes
            .iter()
            .enumerate()
            .min_by_key(|(_, c)| c.detected_at);
        let Some(oldest) = oldest.map(|(index, _)| index) else {
            return false;
        };
        self.crashes.swap_remove(oldest).incarnation != crash.incarnation
    }

    /// Discards the crashes up to a time, which may be wrong by `error`; returns whether there
    /// were any.
    fn clear(&mut self, at: Instant, error: Duration) -> bool {
        let known = self.crashes.len();
        self.crashes.retain(|crash| crash.detected_at > at + error);
        self.cleared_at = self.cleared_at.max(Some(at));
        if self.crashes.is_empty() {
            self.blamed_since = None;
        }
        self.crashes.len() < known
    }

    /// Merges a report; returns whether it had an effect.
    fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let cleared_at = report.cleared_age.and_then(|age| now.checked_sub(age));
        // Also discards the crashes that the host which cleared the part will refuse to merge.
        let mut is_changed = cleared_at.is_some_and(|at| self.clear(at, AGE_ERROR));
        for crash in &report.crashes {
            let detected_at = now.checked_sub(crash.age).unwrap_or(now);
            let is_cleared = |cleared_at| detected_at <= cleared_at + AGE_ERROR;
            if self.cleared_at.is_some_and(is_cleared) {
                // That host has missed the clearance, so it is resent.
                self.changed_at = now;
                continue;
            }
            is_changed |= self.add(Crash {
                incarnation: crash.incarnation,
                request: crash.request,
                run_time: crash.run_time,
                has_begun: crash.has_begun,
                detected_at,
            });
        }
        is_changed
    }

    fn report(&self, part: PartId, now: Instant) -> Report {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            incarnation: crash.incarnation,
            request: crash.request,
            run_time: crash.run_time,
            has_begun: crash.has_begun,
            age: age(crash.detected_at),
        });
        Report {
            part,
            cleared_age: self.cleared_at.map(age),
            crashes: crashes.collect(),
        }
    }

    /// Returns whether periodic reports include the part.
    fn is_resent(&self, now: Instant) -> bool {
        self.crashes.len() > 1 || is_within(self.changed_at, RESEND_PERIOD, now)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.blamed_since {
            // Must still be known when it is tried again.
            Some(_) => (self.block_time() * 2).max(SUSPECT_RETENTION),
            None => SUSPECT_RETENTION,
        };
        !is_within(self.last_crash_at(), retention, now)
    }

    /// Returns the time of the newest crash, or of the last change if there is none.
    fn last_crash_at(&self) -> Instant {
        let newest = self.crashes.iter().map(|crash| crash.detected_at).max();
        newest.unwrap_or(self.changed_at)
    }
}

/// Returns whether a healthy part would hardly have met these crashes. Those under one request
/// may be due to the rest of its content, so the request with the strongest evidence is left out.
fn are_to_blame<'a>(crashes: impl Iterator<Item = &'a Crash>) -> bool {
    let mut by_request: HashMap<RequestKey, Vec<Duration>> = HashMap::new();
    for crash in crashes {
        by_request
            .entry(crash.request)
            .or_default()
            .push(crash.run_time);
    }
    let strongest = by_request
        .iter()
        .map(|(request, run_times)| (probability_if_healthy(run_times.iter().copied()), *request))
        .min_by(|(a, _), (b, _)| a.total_cmp(b));
    if let Some((_, request)) = strongest {
        by_request.remove(&request);
    }
    let remaining: Vec<Duration> = by_request.into_values().flatten().collect();
    remaining.len() >= CRASHES_MIN
        && probability_if_healthy(remaining.into_iter()) < BLAME_PROBABILITY
}

/// Returns whether a host may try a part this long after it could be tried first. Each host draws a
/// moment of its own, in each interval twice as many as in the one before.
fn may_try(part: PartId, host: &str, waited: Duration, interval: Duration) -> bool {
    let draw = xxh3_64_with_seed(host.as_bytes(), part as u64) as f64 / u64::MAX as f64;
    let intervals = (f64::from(TRIAL_INTERVALS_SHARED) + draw.log2()).max(0.0);
    waited >= interval.mul_f64(intervals)
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
