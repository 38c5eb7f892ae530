//! Which requests are kept from targets, since targets crash under them.
//!
//! Some requests crash every target that begins to run them, and their callers send
//! them again: the same content under another id, to any host. A crash also ends what
//! else ran at the target, so one crash makes suspects of all that it ended, and only
//! one of these is to blame. What tells them apart is whether they are there the next
//! time. So hosts remember the requests under which targets crashed by their content,
//! tell one another, and let
//!
//! * a suspect run at no more targets at once, over all hosts, than it may still end;
//! * a request that is blamed run nowhere until it has been kept away for long;
//! * a request that ended well go free, or that ran for far longer than it takes to
//!   crash a target: it does not crash every target that runs it.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_routing::quarantine::{Crash, Quarantine, Decision};
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
//! Targets also crash for reasons of their own, and a healthy request that is sent
//! again may be there each time. How likely that is depends on how long it ran: where a
//! target crashes every seven seconds, one that ran for 50 ms is hit with a chance of
//! 0.7 in 100, one that ran for 3 s with 40. A request is blamed for three crashes if a
//! healthy one would have met them with a chance below one in 100,000, and for six in
//! any case. A fixed number of crashes was rejected: items of jobs run for seconds and
//! would be taken for the cause whenever many targets crash. So was the rate of crashes
//! as hosts see it: a request that is to blame raises it.
//!
//! Played with healthy requests only, a quarter to four in ten of all targets crashing every
//! three or four seconds, 67 items met three or more crashes in 32 days of half a minute,
//! and one was blamed: sent to a target at the moment of its crash, and seen to run there
//! for 1 ms. Hence the least time that counts, the runs that clear a request without
//! ending, and the early trial of what is owed.
//!
//! # Trade-offs
//!
//! Two hosts that admit a suspect within the time that news takes between them both
//! run it. Asking one host for leave was rejected: it costs a way there and back, and its
//! death or a cut leaves nobody to ask. A request that is new everywhere may be running
//! at any number of targets when it is first seen to end one.
//!
//! Ages are measured on the clock given. Where that stands still, as a suspended
//! machine's does, suspects are remembered and kept away for longer, never shorter.

mod suspect;

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;
use std::time::Instant;

use crate::balancer::HostId;
use crate::fingerprint::Fingerprint;

use self::suspect::Suspect;

/// The name of one life of a target, from a start to its end.
pub type IncarnationId = u64;

/// Time for which a suspect is remembered after its last crash. A caller's repeats come
/// within seconds or minutes; each crash leaves about eight suspects, most of which
/// never come again.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Requests remembered at most, some 200 bytes each, so 3 MB. A crash adds about eight,
/// so a caller who would fill it to have his own forgotten must crash 2,000 targets first,
/// and those of which more is known stay longest.
const SUSPECTS_MAX: usize = 16_384;

/// A target's crash under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The life of the target that ended.
    pub incarnation: IncarnationId,
    /// How long the request had run there.
    pub run_time: Duration,
    /// When it was noticed.
    pub detected_at: Instant,
}

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may. If it is a suspect, its run is noted until [`Quarantine::ended`].
    Admit,
    /// Others with the same content run now; it may when one of them has ended.
    Wait,
    /// Targets crash under it.
    Refuse {
        /// How many were seen to.
        crashes: u32,
        /// Time until it may be tried once more.
        retry_after: Duration,
    },
}

/// What one host tells others of a suspect. Times are relative, as hosts' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often it was cleared: crashes from before a clearance do not count.
    pub clearances: u32,
    /// The crashes since.
    pub crashes: Vec<CrashReport>,
    /// How long ago the telling host began to run it, if it runs there.
    pub running_for: Option<Duration>,
}

/// A crash as one host tells another of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The life of the target that ended.
    pub incarnation: IncarnationId,
    /// How long the request had run there.
    pub run_time: Duration,
    /// How long ago it was noticed.
    pub age: Duration,
}

/// What became of a suspect by a crash or by what a host told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that was not known.
    None,
    /// Another crash or clearance, or a run began or ended.
    Updated,
    /// It is refused from now on, or for longer than before.
    Blamed {
        /// How many targets crashed under it.
        crashes: u32,
    },
}

/// Requests under which targets have crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns whether no request is suspected, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns how many crashes under a request count.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, Suspect::crash_count)
    }

    /// Returns the life of a target that a request met which was sent at a moment and
    /// answered: the one that is taken for it, or a later one if that had ended by then.
    ///
    /// Guards against a host whose list of targets is old: it would take a target's next
    /// crash for the one before, and the request would end more targets than it may.
    /// Crashes that others tell are not judged so: a host that stood still takes an old
    /// word for a new one, and one crash would count as often as it was told.
    pub fn incarnation_of_run(
        &self,
        fingerprint: Fingerprint,
        incarnation: IncarnationId,
        sent: Instant,
    ) -> IncarnationId {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(incarnation, |suspect| {
            suspect.incarnation_of_run(incarnation, sent)
        })
    }

    /// Decides whether a host may send a request now, and notes the run of a suspect.
    pub fn admit(&mut self, fingerprint: Fingerprint, host: &str, now: Instant) -> Decision {
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) => suspect.admit(host, false, now),
            None => Decision::Admit,
        }
    }

    /// Decides the same of a request of which a result is owed, an item of a job: nobody
    /// sends it again, and blamed by mistake it would be lost.
    pub fn admit_item(&mut self, fingerprint: Fingerprint, host: &str, now: Instant) -> Decision {
        match self.suspects.get_mut(&fingerprint) {
            Some(suspect) => suspect.admit(host, true, now),
            None => Decision::Admit,
        }
    }

    /// Notes that a host's run of a request has ended.
    pub fn end_run(&mut self, fingerprint: Fingerprint, host: &str) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.end_run(host);
        }
    }

    /// Notes that a target crashed under a request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let now = crash.detected_at;
        self.make_room(now);
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        suspect.noting(now, |suspect| suspect.add(crash))
    }

    /// Notes that a request ended well at a target; returns whether that clears a
    /// suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.clear(now))
    }

    /// Notes that a run went on for a time and was ended by its host, the target being
    /// well; returns whether that clears a suspect.
    pub fn record_survival(
        &mut self,
        fingerprint: Fingerprint,
        run_time: Duration,
        now: Instant,
    ) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.record_survival(run_time, now))
    }

    /// Takes in what another host tells of a suspect.
    pub fn merge_report(&mut self, host: &HostId, told: &Report, now: Instant) -> Change {
        self.make_room(now);
        let suspect = match self.suspects.entry(told.fingerprint) {
            Entry::Occupied(known) => known.into_mut(),
            // A clearance of what is not known here says nothing.
            Entry::Vacant(_) if told.crashes.is_empty() => return Change::None,
            Entry::Vacant(new) => new.insert(Suspect::new(now)),
        };
        suspect.noting(now, |suspect| suspect.merge(host, told, now))
    }

    /// Returns what a host tells of a request; nothing if it is not remembered.
    pub fn report(&self, fingerprint: Fingerprint, host: &str, now: Instant) -> Option<Report> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(suspect.report(fingerprint, host, now))
    }

    /// Returns what a host tells now and then, for those that missed it: the suspects
    /// that came more than once, and what has changed lately.
    pub fn periodic_reports(&self, host: &str, now: Instant) -> Vec<Report> {
        let worth = self.suspects.iter().filter(|(_, s)| s.is_retold(now));
        worth
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, host, now))
            .collect()
    }

    /// Forgets suspects that have not been to blame for long.
    pub fn evict_expired(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| !suspect.is_forgotten(now));
    }

    /// Forgets the suspects of which least is known if there are too many.
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        self.evict_expired(now);
        let mut by_weight: Vec<_> = self
            .suspects
            .iter()
            .map(|(f, s)| (s.weight(), *f))
            .collect();
        by_weight.sort_unstable();
        // Many at a time, so that sorting is seldom.
        for (_, fingerprint) in by_weight.into_iter().take(SUSPECTS_MAX / 8) {
            self.suspects.remove(&fingerprint);
        }
    }
}
