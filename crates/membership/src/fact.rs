//! What hosts tell one another, and how two reports merge.
//!
//! Merging is commutative, associative and idempotent, so hosts that have
//! heard the same facts agree, in whatever order and however often they heard
//! them. A leaving mark holds for an incarnation and is never lifted.
//!
//! ```
//! use notchwharf_membership::fact::Host;
//!
//! let leaving = Host { incarnation: 1, leaving: true, ..Host::default() };
//! let stale = Host { incarnation: 1, beat: 9, ..Host::default() };
//! let mut known = leaving;
//! known.merge(&stale);
//! assert!(known.leaving);
//! ```

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The name of a host of the system.
pub type HostId = String;
/// The name of a target.
pub type TargetId = String;
/// The number of a shard.
pub type ShardId = u32;

/// Something that one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// How a host is.
    Host(HostId, Host),
    /// How a target is.
    Target(TargetId, Target),
    /// Who holds a shard.
    Shard(ShardId, Holder),
    /// Which servings a host has batch items for.
    Backlog(HostId, Backlog),
    /// The newest version of the bundle that anybody has.
    Bundle(u64),
}

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A host.
    Host(HostId),
    /// A target.
    Target(TargetId),
    /// A shard.
    Shard(ShardId),
    /// A host's batch items.
    Backlog(HostId),
    /// The bundle.
    Bundle,
}

/// How a host is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// A number that grows with each start.
    pub incarnation: u64,
    /// Whether it is leaving; sticks for the incarnation.
    pub leaving: bool,
    /// A number that the host raises to deny that it is down.
    pub beat: u32,
    /// How its peers find it.
    pub health: Health,
    /// Where it answers.
    pub addr: Option<Address>,
}

/// How peers find a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It is taken for dead.
    Down,
}

/// Where a host answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Gossip.
    pub gossip: SocketAddr,
    /// Other hosts.
    pub peer_url: String,
    /// The data centre.
    pub data_centre: String,
}

/// How a target is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// A number that grows with each start.
    pub incarnation: u64,
    /// Whether it is leaving; sticks for the incarnation.
    pub leaving: bool,
    /// The reporter's lease epoch and report number; the highest counts.
    pub order: (u64, u64),
    /// The host that holds the target's lease.
    pub holder: Option<HostId>,
    /// Whether it answers its holder.
    pub answers: bool,
    /// The classes it serves: see the target protocol.
    pub role: u8,
    /// Fingerprints of what it can serve.
    pub holds: Vec<String>,
}

/// Who holds a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The host.
    pub host: HostId,
}

/// Which servings a host has batch items for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// The host's incarnation and report number; the highest counts.
    pub order: (u64, u64),
    /// The servings.
    pub servings: Vec<String>,
}

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Host(id, _) => Key::Host(id.clone()),
            Self::Target(id, _) => Key::Target(id.clone()),
            Self::Shard(id, _) => Key::Shard(*id),
            Self::Backlog(id, _) => Key::Backlog(id.clone()),
            Self::Bundle(_) => Key::Bundle,
        }
    }

    /// Merges a report about the same thing in; returns whether it was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Self::Host(_, a), Self::Host(_, b)) => a.merge(b),
            (Self::Target(_, a), Self::Target(_, b)) => a.merge(b),
            (Self::Shard(_, a), Self::Shard(_, b)) => {
                if b.epoch > a.epoch {
                    *a = b.clone();
                }
            }
            (Self::Backlog(_, a), Self::Backlog(_, b)) => {
                if b.order > a.order {
                    *a = b.clone();
                }
            }
            (Self::Bundle(a), Self::Bundle(b)) => *a = (*a).max(*b),
            _ => debug_assert!(false, "Only facts of one key merge."),
        }
        *self != before
    }
}

impl Host {
    /// Merges another report in.
    pub fn merge(&mut self, other: &Self) {
        if other.incarnation != self.incarnation {
            if other.incarnation > self.incarnation {
                *self = other.clone();
            }
            return;
        }
        self.leaving |= other.leaving;
        if (other.beat, other.health) > (self.beat, self.health) {
            self.beat = other.beat;
            self.health = other.health;
        }
        if self.addr.is_none() {
            self.addr.clone_from(&other.addr);
        }
    }

    /// Returns whether the host can be given work.
    pub fn is_live(&self) -> bool {
        !self.leaving && self.health != Health::Down
    }
}

impl Target {
    /// Merges another report in.
    pub fn merge(&mut self, other: &Self) {
        if other.incarnation != self.incarnation {
            if other.incarnation > self.incarnation {
                *self = other.clone();
            }
            return;
        }
        let leaving = self.leaving | other.leaving;
        if other.order > self.order {
            *self = other.clone();
        }
        self.leaving = leaving;
    }
}
