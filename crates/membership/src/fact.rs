//! The replicated facts, and how two reports on the same subject merge.
//!
//! Merging is commutative, associative and idempotent, so hosts that have received the same
//! facts agree, regardless of order and repetition. Once set, a `leaving` flag remains set
//! for the incarnation.
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

/// A fact that hosts replicate among one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// The state of a host.
    Host(HostId, Host),
    /// The state of a target.
    Target(TargetId, Target),
    /// The holder of a shard's lease.
    Shard(ShardId, Holder),
    /// The servings for which a host has batch items.
    Backlog(HostId, Backlog),
    /// The newest known version of the bundle.
    Bundle(u64),
}

/// The subject of a fact.
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

/// The state of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Increases with each start.
    pub incarnation: u64,
    /// Whether it is leaving; never reset within an incarnation.
    pub leaving: bool,
    /// A counter that the host increments to refute a suspicion.
    pub beat: u32,
    /// Its health as observed by its peers.
    pub health: Health,
    /// Its addresses, if known.
    pub addr: Option<Address>,
}

/// The health of a host as observed by its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The host responds.
    #[default]
    Alive,
    /// The host failed to respond to a probe.
    Suspect,
    /// The host is considered failed.
    Down,
}

/// The addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The address for gossip.
    pub gossip: SocketAddr,
    /// The URL at which other hosts call it.
    pub peer_url: String,
    /// The data centre of the host.
    pub data_centre: String,
}

/// The state of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Increases with each start.
    pub incarnation: u64,
    /// Whether it is leaving; never reset within an incarnation.
    pub leaving: bool,
    /// The reporter's lease epoch and the number of the report; the highest takes precedence.
    pub order: (u64, u64),
    /// The host that holds the lease on the target.
    pub holder: Option<HostId>,
    /// Whether it responds to its holder.
    pub answers: bool,
    /// The classes of work that it serves, as encoded by the target protocol.
    pub role: u8,
    /// Fingerprints of the servings that it has loaded.
    pub holds: Vec<String>,
}

/// The holder of a shard's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The host.
    pub host: HostId,
}

/// The servings for which a host has batch items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// The host's incarnation and the number of the report; the highest takes precedence.
    pub order: (u64, u64),
    /// The servings.
    pub servings: Vec<String>,
}

impl Fact {
    /// Returns the subject of the fact.
    pub fn key(&self) -> Key {
        match self {
            Self::Host(id, _) => Key::Host(id.clone()),
            Self::Target(id, _) => Key::Target(id.clone()),
            Self::Shard(id, _) => Key::Shard(*id),
            Self::Backlog(id, _) => Key::Backlog(id.clone()),
            Self::Bundle(_) => Key::Bundle,
        }
    }

    /// Merges a report on the same subject; returns whether this changed anything.
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
            _ => debug_assert!(false, "Only facts with the same key can be merged."),
        }
        *self != before
    }
}

impl Host {
    /// Merges another report.
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

    /// Returns whether the host can be assigned work.
    pub fn is_live(&self) -> bool {
        !self.leaving && self.health != Health::Down
    }
}

impl Target {
    /// Merges another report.
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
