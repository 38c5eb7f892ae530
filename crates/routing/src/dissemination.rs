//! Selects the hosts to which a host sends its state, when it does so, and which states it
//! relays.
//!
//! Within its data centre a host sends its state to all hosts of its cell at each change. Where
//! a cell is a whole fleet, hosts in other data centres receive it later and through relays: a
//! host sends its state to two hosts of each other data centre, chosen at random each time, and
//! these relay what they received to the other hosts of their data centre, the states of
//! several hosts in one datagram. If each of them received the state of every remote host
//! directly, the bytes between data centres would grow with the square of the cell. Because
//! relays are chosen at random, updates arrive as long as any host of the data centre is alive.
//!
//! Fixed relays were rejected: if one fails, every host whose state it relays appears silent
//! until the failure is detected, while other hosts already check for jobs whose owner has
//! failed.
//!
//! Where a data centre has few hosts, relaying costs more time than it saves bytes, and all
//! of them receive the state directly.
//!
//! The decisions are made here, without clocks and sockets, so that fleets of any size can
//! be simulated in virtual time.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom as _;

use crate::cells::Cells;

/// Interval between two datagrams to a peer that is down.
const DOWN_PEER_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the interval between two updates to hosts in other data centres, for each host
/// that receives them directly. It keeps the sending rate of a host constant.
const REMOTE_INTERVAL_PER_HOST: Duration = Duration::from_micros(1_500);

/// Number of hosts of a data centre from which on updates are relayed within it.
const RELAYED_HOSTS_MIN: usize = 9;

/// Number of hosts known within a data centre from which on they relay updates. They must
/// relay whenever a remote sender selects only some of them, and the sender may know of more
/// hosts than they do.
const RELAYING_HOSTS_MIN: usize = RELAYED_HOSTS_MIN / 2;

/// Number of relays per data centre; one of them may just have failed.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Interval between two updates to data centres in which they are relayed, and between two
/// relayed datagrams. An update takes at most both, 200 ms, well below the 1.2 s after which
/// a silent host counts as down by default.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(100);

/// The host that sends or relays.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Its name.
    pub host: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// The cells by which it selects the hosts that receive its state.
    pub cells: Cells,
}

/// A possible recipient.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its name.
    pub host: &'a str,
    /// Its data centre, once that is known.
    pub data_centre: Option<&'a str>,
    /// Whether updates arrive from it.
    pub is_alive: bool,
    /// When the sender last sent it an update.
    pub last_sent: Option<Instant>,
}

impl Sender<'_> {
    /// Returns whether a peer is in the same cell and the same data centre, and so receives
    /// an update at each change.
    pub fn is_local(&self, peer: &Peer<'_>) -> bool {
        self.shares_cell(peer) && peer.data_centre == Some(self.data_centre)
    }

    /// Returns whether a peer is in the same cell. A peer whose data centre is unknown is in
    /// no cell unless the cell is a whole fleet.
    fn shares_cell(&self, peer: &Peer<'_>) -> bool {
        let own = (self.host, self.data_centre);
        let data_centre = peer.data_centre.unwrap_or_default();
        self.cells.are_in_same_cell(own, (peer.host, data_centre))
    }
}

/// The recipients of an update, as indices into the list of peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Peers in the same data centre, and peers that are down.
    pub local: Vec<usize>,
    /// Peers in other data centres.
    pub remote: Vec<usize>,
    /// The pace of updates to other data centres, if an update is sent to them now.
    pub pace: Option<Pace>,
}

/// How often updates are sent to other data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time until the next update to them.
    pub interval: Duration,
    /// Whether any of them receive updates only through relays.
    is_relayed: bool,
}

impl Pace {
    /// Returns the time after which an update is sent without a change. It is shorter where
    /// updates are relayed, as the relays may be down.
    pub fn heartbeat_interval(self, interval: Duration) -> Duration {
        match self.is_relayed {
            true => interval.min(2 * self.interval),
            false => interval,
        }
    }

    /// Adds a data centre in which `direct_hosts` hosts receive updates directly.
    fn add(&mut self, direct_hosts: usize, is_relayed: bool) {
        if is_relayed {
            self.interval = self.interval.max(RELAY_INTERVAL);
            self.is_relayed = true;
        } else {
            self.interval +=
                REMOTE_INTERVAL_PER_HOST * u32::try_from(direct_hosts).unwrap_or(u32::MAX);
        }
    }
}

/// The groups of hosts to which an update is due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Hosts in the same data centre.
    pub local: bool,
    /// Hosts in other data centres.
    pub remote: bool,
}

/// Schedule of a host's state updates.
///
/// Hosts in the same data centre receive an update at each change, hosts in other data
/// centres as often as their number allows, and all at each heartbeat interval.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    heartbeat_interval: Duration,
    pace: Pace,
    local_sent_at: Instant,
    remote_sent_at: Instant,
    /// Whether a change has not been sent to other data centres yet.
    is_remote_outdated: bool,
}

impl Schedule {
    /// Returns the schedule of a host that sends an update at least once per interval.
    pub fn new(heartbeat_interval: Duration, now: Instant) -> Self {
        Self {
            heartbeat_interval,
            pace: Pace::default(),
            local_sent_at: now,
            remote_sent_at: now,
            is_remote_outdated: true,
        }
    }

    /// Returns the time until the next update is due if nothing changes.
    pub fn wait(&self, now: Instant) -> Duration {
        let local = (self.local_sent_at + self.heartbeat_interval).saturating_duration_since(now);
        let remote = (self.remote_sent_at + self.remote_interval()).saturating_duration_since(now);
        local.min(remote)
    }

    /// Returns to whom an update is due, and records it as sent.
    pub fn due(&mut self, is_changed: bool, now: Instant) -> Due {
        self.is_remote_outdated |= is_changed;
        let due = Due {
            local: is_changed || now.duration_since(self.local_sent_at) >= self.heartbeat_interval,
            remote: now.duration_since(self.remote_sent_at) >= self.remote_interval(),
        };
        if due.local {
            self.local_sent_at = now;
        }
        if due.remote {
            self.remote_sent_at = now;
            self.is_remote_outdated = false;
        }
        due
    }

    /// Sets the pace of updates to other data centres.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    fn remote_interval(&self) -> Duration {
        match self.is_remote_outdated {
            true => self.pace.interval,
            false => self.pace.heartbeat_interval(self.heartbeat_interval),
        }
    }
}

/// Returns the recipients of an update: the peers of the cell that are alive, and from time
/// to time those that are down.
pub fn recipients(
    sender: &Sender<'_>,
    peers: &[Peer<'_>],
    due: Due,
    now: Instant,
    rng: &mut impl Rng,
) -> Recipients {
    let mut recipients = Recipients::default();
    let mut remote: HashMap<Option<&str>, Vec<usize>> = HashMap::new();
    for (index, peer) in peers.iter().enumerate() {
        if !sender.shares_cell(peer) {
            continue;
        }
        let is_remote = peer.data_centre != Some(sender.data_centre);
        let since_sent = peer.last_sent.map(|at| now.duration_since(at));
        if peer.is_alive && is_remote {
            remote.entry(peer.data_centre).or_default().push(index);
        } else if due.local
            && (peer.is_alive || since_sent.is_none_or(|time| time >= DOWN_PEER_INTERVAL))
        {
            recipients.local.push(index);
        }
    }
    if !due.remote {
        return recipients;
    }
    let mut pace = Pace::default();
    for hosts in remote.values() {
        let is_relayed = hosts.len() >= RELAYED_HOSTS_MIN;
        let direct: Vec<usize> = match is_relayed {
            true => hosts.sample(rng, RELAYS_PER_DATA_CENTRE).copied().collect(),
            false => hosts.clone(),
        };
        pace.add(direct.len(), is_relayed);
        recipients.remote.extend(direct);
    }
    recipients.pace = Some(pace);
    recipients
}

/// Returns the peers to which a host relays the states received from other data centres: all
/// local peers, or none where these receive the states directly.
pub fn relay_recipients(relay: &Sender<'_>, peers: &[Peer<'_>]) -> Vec<usize> {
    let local = peers.iter().enumerate();
    let local = local.filter(|(_, peer)| peer.is_alive && relay.is_local(peer));
    let local: Vec<usize> = local.map(|(index, _)| index).collect();
    if local.len() + 1 < RELAYING_HOSTS_MIN {
        return Vec::new();
    }
    local
}
