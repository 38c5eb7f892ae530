//! A fold over the bundle stream that determines which bundle is in force.
//!
//! A bundle comes into force by two records: a [`Record::Proposal`], whose offset is its
//! version, and a [`Record::SignOff`] that contains its digest. All readers of the stream
//! reach the same result, so concurrent changes by operators need no lock: the first valid
//! sign-off wins and invalidates every other proposal on the same base.
//!
//! ```
//! use notchwharf_config::bundle::Bundle;
//! use notchwharf_config::history::{History, Record};
//!
//! let bundle = Bundle::default();
//! let digest = bundle.digest();
//! let mut history = History::default();
//! history
//!     .apply(7, Record::proposal(None, "ana", bundle))
//!     .unwrap();
//! assert!(history.in_force().is_none());
//! history.apply(8, Record::sign_off(7, &digest, "rui")).unwrap();
//! assert_eq!(history.in_force().unwrap().version, 7);
//! ```
//!
//! The version in force never decreases, regardless of the order in which records, copies in
//! the stream ([`Record::Carried`]) and copies from peers arrive. Consequently, a rollback is a
//! new bundle with old content rather than a return to an old version.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Version;
use crate::bundle::Bundle;
use crate::error::Refusal;

/// Maximum number of open proposals that a reader retains.
const OPEN_PROPOSALS_MAX: usize = 256;
/// Maximum number of past events that a reader retains for operators.
const EVENTS_MAX: usize = 256;

/// A record of the bundle stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A bundle proposed by an operator.
    Proposal {
        /// The version in force on which the proposal is based.
        base: Option<Version>,
        /// The operator who proposes it.
        author: String,
        /// The content.
        bundle: Box<Bundle>,
    },
    /// The sign-off of a proposal by an operator.
    SignOff {
        /// The version of the proposal.
        version: Version,
        /// The digest of the content that is signed off.
        digest: String,
        /// The operator who signs it off.
        author: String,
    },
    /// A copy of the bundle in force, appended by a host before the log drops its records.
    Carried {
        /// The version in force.
        version: Version,
        /// The offset of its sign-off.
        since: u64,
        /// The content.
        bundle: Box<Bundle>,
    },
}

impl Record {
    /// Returns a proposal record.
    pub fn proposal(base: Option<Version>, author: &str, bundle: Bundle) -> Self {
        Self::Proposal {
            base,
            author: author.into(),
            bundle: Box::new(bundle),
        }
    }

    /// Returns a sign-off record.
    pub fn sign_off(version: Version, digest: &str, author: &str) -> Self {
        Self::SignOff {
            version,
            digest: digest.into(),
            author: author.into(),
        }
    }
}

/// A bundle in force; packages that use it call it the current bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// The offset of its proposal.
    pub version: Version,
    /// The offset of its sign-off. No record up to this offset can change the bundle in force
    /// any more, regardless of when it is read.
    pub since: u64,
    /// The digest of its content.
    pub digest: String,
    /// The content.
    pub bundle: Arc<Bundle>,
}

impl InForce {
    /// Returns a bundle in force and computes the digest of its content.
    pub fn new(version: Version, since: u64, bundle: Bundle) -> Self {
        Self {
            version,
            since,
            digest: bundle.digest(),
            bundle: Arc::new(bundle),
        }
    }
}

/// An entry of the history that is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The offset of the record.
    pub offset: u64,
    /// The version to which the record refers.
    pub version: Version,
    /// The author of the record.
    pub author: String,
    /// The outcome of the record.
    pub outcome: Outcome,
}

/// The outcome of a record of the bundle stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The proposal can be signed off.
    Proposed,
    /// The bundle came into force.
    InForce,
    /// The record was ignored for the given reason.
    Refused(Refusal),
}

#[derive(Clone, Debug)]
struct OpenProposal {
    base: Option<Version>,
    digest: String,
    bundle: Arc<Bundle>,
}

/// The state that results from the bundle stream.
///
/// Invariant: the version in force never decreases.
#[derive(Clone, Debug, Default)]
pub struct History {
    in_force: Option<InForce>,
    open: BTreeMap<Version, OpenProposal>,
    events: Vec<Event>,
}

impl History {
    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.in_force.as_ref().map(|f| f.version)
    }

    /// Returns the most recent events, oldest first.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the digest of an open proposal.
    pub fn proposal(&self, version: Version) -> Option<&str> {
        self.open.get(&version).map(|p| p.digest.as_str())
    }

    /// Applies a record.
    ///
    /// # Errors
    ///
    /// Returns the reason if the record is refused. All readers refuse the same records, and
    /// for the same reasons, except that a reader that adopted a bundle from a peer refuses
    /// all records up to its sign-off as [`Refusal::Past`].
    pub fn apply(&mut self, offset: u64, record: Record) -> Result<(), Refusal> {
        if let Some(in_force) = &self.in_force
            && offset <= in_force.since
        {
            let version = in_force.version;
            return Err(Refusal::Past { version });
        }
        let (version, author) = match &record {
            Record::Proposal { author, .. } => (offset, author.clone()),
            Record::SignOff {
                version, author, ..
            } => (*version, author.clone()),
            Record::Carried {
                version,
                since,
                bundle,
            } => {
                self.adopt(InForce::new(*version, *since, (**bundle).clone()));
                return Ok(());
            }
        };
        let result = match record {
            Record::Proposal { base, bundle, .. } => self.propose(offset, base, *bundle),
            Record::SignOff { digest, .. } => self.sign_off(offset, version, &digest),
            Record::Carried { .. } => Ok(Outcome::Proposed),
        };
        let outcome = match &result {
            Ok(outcome) => outcome.clone(),
            Err(err) => Outcome::Refused(err.clone()),
        };
        self.record_event(Event {
            offset,
            version,
            author,
            outcome,
        });
        result.map(|_| ())
    }

    /// Adopts a bundle in force from a peer or a [`Record::Carried`] if it is newer.
    ///
    /// Returns whether the bundle in force changed.
    pub fn adopt(&mut self, other: InForce) -> bool {
        if self.version() >= Some(other.version) {
            return false;
        }
        self.open = self.open.split_off(&other.version);
        self.open.remove(&other.version);
        self.in_force = Some(other);
        true
    }

    fn propose(
        &mut self,
        offset: u64,
        base: Option<Version>,
        bundle: Bundle,
    ) -> Result<Outcome, Refusal> {
        self.check_base(base)?;
        if base >= Some(offset) {
            return Err(self.stale(base));
        }
        bundle.check().map_err(Refusal::Invalid)?;
        if self.open.len() >= OPEN_PROPOSALS_MAX {
            self.open.pop_first();
        }
        let open = OpenProposal {
            base,
            digest: bundle.digest(),
            bundle: Arc::new(bundle),
        };
        self.open.insert(offset, open);
        Ok(Outcome::Proposed)
    }

    fn sign_off(
        &mut self,
        offset: u64,
        version: Version,
        digest: &str,
    ) -> Result<Outcome, Refusal> {
        let open = self
            .open
            .get(&version)
            .ok_or(Refusal::NoProposal { version })?;
        if open.digest != digest {
            return Err(Refusal::OtherContent { version });
        }
        self.check_base(open.base)?;
        let in_force = InForce {
            version,
            since: offset,
            digest: open.digest.clone(),
            bundle: Arc::clone(&open.bundle),
        };
        let adopted = self.adopt(in_force);
        debug_assert!(adopted, "A proposal is always newer than its base.");
        Ok(Outcome::InForce)
    }

    fn check_base(&self, base: Option<Version>) -> Result<(), Refusal> {
        if base == self.version() {
            return Ok(());
        }
        Err(self.stale(base))
    }

    fn stale(&self, base: Option<Version>) -> Refusal {
        let current = self.version();
        Refusal::StaleBase { base, current }
    }

    fn record_event(&mut self, event: Event) {
        if self.events.len() >= EVENTS_MAX {
            self.events.remove(0);
        }
        self.events.push(event);
    }
}
