//! Whom a host tells what it runs, when, and what it passes on.
//!
//! Inside its data centre a host tells all hosts of its cell at each change. Where a
//! cell is a whole fleet, those in other data centres hear of it later and by others: a host tells two of each,
//! drawn anew each time, and these pass on what they were told to all near them,
//! several hosts' news in one datagram. Each of them being told by all others far
//! away would cost bytes between data centres by the square of the cell. The draw
//! makes news come as long as any host there lives.
//!
//! Fixed relays were rejected: their death silences all whose news they pass on
//! until that is noticed, just when others look for owners that are gone.
//!
//! Where a data centre has few hosts, the way over another costs more time than it
//! saves bytes, and all are told.
//!
//! The decisions are here, without clocks and sockets, so that fleets of any size
//! can be played in virtual time.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom as _;

use crate::cells::Cells;

/// Time between two datagrams to a peer that is down.
const DOWN_BEAT: Duration = Duration::from_secs(1);

/// Time between two tellings of hosts in other data centres, for each of those
/// that are told themselves: what a host sends stays flat.
const FAR_GAP_PER_HOST: Duration = Duration::from_micros(1_500);

/// Hosts of a data centre from which on news is passed on inside it.
const HOSTS_MIN: usize = 9;

/// The same as the hosts inside see it: they must pass on whenever somebody far
/// away tells only some, and both may know of different hosts at a time.
const HOSTS_MIN_INSIDE: usize = HOSTS_MIN / 2;

/// Hosts of a data centre that are told: two, for one may just have died.
const TOLD: usize = 2;

/// Time between two tellings of data centres in which news is passed on, and
/// between two passings: together a quarter of the time after which a silent
/// host counts as down.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(100);

/// The host that tells.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Its name.
    pub host: &'a str,
    /// Where it stands.
    pub data_centre: &'a str,
    /// The cells of which it tells its own.
    pub cells: Cells,
}

/// A peer, as far as telling goes.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its name.
    pub host: &'a str,
    /// Where it stands, once that is known.
    pub data_centre: Option<&'a str>,
    /// Whether it is heard.
    pub is_alive: bool,
    /// When it was last told.
    pub last_sent: Option<Instant>,
}

impl Sender<'_> {
    /// Returns whether a peer is in the same cell and stands in the same data
    /// centre: one that is told at each change.
    pub fn is_local(&self, peer: &Peer<'_>) -> bool {
        self.is_together(peer) && peer.data_centre == Some(self.data_centre)
    }

    /// Returns whether a peer is in the same cell; one of which nobody knows yet
    /// where it stands is in none but that of a whole fleet.
    fn is_together(&self, peer: &Peer<'_>) -> bool {
        let own = (self.host, self.data_centre);
        let data_centre = peer.data_centre.unwrap_or_default();
        self.cells.are_in_same_cell(own, (peer.host, data_centre))
    }
}

/// Whom to tell, by their places among the peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Peers in the same data centre, and some that are down.
    pub local: Vec<usize>,
    /// Peers in other data centres.
    pub remote: Vec<usize>,
    /// How peers in other data centres are told, if they are now.
    pub pace: Option<Pace>,
}

/// How often hosts in other data centres are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time until they are told again.
    pub gap: Duration,
    /// Whether any of them hear of it by others only.
    is_passed_on: bool,
}

impl Pace {
    /// Returns the time after which they are told without news. Those that are
    /// to pass it on may be down, so it is shorter with them.
    pub fn beat(self, beat: Duration) -> Duration {
        match self.is_passed_on {
            true => beat.min(2 * self.gap),
            false => beat,
        }
    }

    /// Adds one data centre of which so many hosts are told themselves.
    fn add(&mut self, told: usize, is_passed_on: bool) {
        if is_passed_on {
            self.gap = self.gap.max(RELAY_INTERVAL);
            self.is_passed_on = true;
        } else {
            self.gap += FAR_GAP_PER_HOST * u32::try_from(told).unwrap_or(u32::MAX);
        }
    }
}

/// Who is to be told now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Hosts in the same data centre.
    pub local: bool,
    /// Hosts in other data centres.
    pub remote: bool,
}

/// When a host tells others how it is.
///
/// Hosts near by are told at each change, those far away as often as their number
/// allows, and all in each beat.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    beat: Duration,
    pace: Pace,
    near_told: Instant,
    far_told: Instant,
    /// Whether there is news that those far away have not been told.
    is_far_behind: bool,
}

impl Schedule {
    /// Returns the schedule of a host that speaks in each beat.
    pub fn new(beat: Duration, now: Instant) -> Self {
        Self {
            beat,
            pace: Pace::default(),
            near_told: now,
            far_told: now,
            is_far_behind: true,
        }
    }

    /// Returns the time until somebody is to be told without further news.
    pub fn wait(&self, now: Instant) -> Duration {
        let near = (self.near_told + self.beat).saturating_duration_since(now);
        let far = (self.far_told + self.far_gap()).saturating_duration_since(now);
        near.min(far)
    }

    /// Returns who is to be told now, which is then counted as done.
    pub fn due(&mut self, is_news: bool, now: Instant) -> Due {
        self.is_far_behind |= is_news;
        let due = Due {
            local: is_news || now.duration_since(self.near_told) >= self.beat,
            remote: now.duration_since(self.far_told) >= self.far_gap(),
        };
        if due.local {
            self.near_told = now;
        }
        if due.remote {
            self.far_told = now;
            self.is_far_behind = false;
        }
        due
    }

    /// Takes in how those far away were told.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    fn far_gap(&self) -> Duration {
        match self.is_far_behind {
            true => self.pace.gap,
            false => self.pace.beat(self.beat),
        }
    }
}

/// Returns whom to tell: peers of the cell that live, and now and then the others.
pub fn recipients(
    own: &Sender<'_>,
    peers: &[Peer<'_>],
    due: Due,
    now: Instant,
    rng: &mut impl Rng,
) -> Recipients {
    let mut recipients = Recipients::default();
    let mut far: HashMap<Option<&str>, Vec<usize>> = HashMap::new();
    for (place, peer) in peers.iter().enumerate() {
        if !own.is_together(peer) {
            continue;
        }
        let is_far = peer.data_centre != Some(own.data_centre);
        let told = peer.last_sent.map(|at| now.duration_since(at));
        if peer.is_alive && is_far {
            far.entry(peer.data_centre).or_default().push(place);
        } else if due.local && (peer.is_alive || told.is_none_or(|ago| ago >= DOWN_BEAT)) {
            recipients.local.push(place);
        }
    }
    if !due.remote {
        return recipients;
    }
    let mut pace = Pace::default();
    for hosts in far.values() {
        let is_passed_on = hosts.len() >= HOSTS_MIN;
        let told: Vec<usize> = match is_passed_on {
            true => hosts.sample(rng, TOLD).copied().collect(),
            false => hosts.clone(),
        };
        pace.add(told.len(), is_passed_on);
        recipients.remote.extend(told);
    }
    recipients.pace = Some(pace);
    recipients
}

/// Returns to whom a host passes on what it was told by hosts far away: all near
/// it, or nobody where they are told themselves.
pub fn relay_recipients(own: &Sender<'_>, peers: &[Peer<'_>]) -> Vec<usize> {
    let near = peers.iter().enumerate();
    let near = near.filter(|(_, peer)| peer.is_alive && own.is_local(peer));
    let near: Vec<usize> = near.map(|(place, _)| place).collect();
    if near.len() + 1 < HOSTS_MIN_INSIDE {
        return Vec::new();
    }
    near
}
