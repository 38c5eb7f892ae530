//! Who calls: API keys, the workspaces that hold them, and their limits.
//!
//! A key is known by its digest alone and compared as such, so neither a table nor
//! a log line can give it away. A [`Workspaces`] is part of one version of a
//! configuration: it is built once, never changed, and replaced whole.
//!
//! ```
//! use notchwharf_config::access::{parse_key, Workspace, Workspaces};
//!
//! let (all, faults) = Workspaces::new(vec![Workspace {
//!     name: "choir".into(),
//!     keys: vec!["k1".into()],
//!     ..Workspace::default()
//! }]);
//! assert!(faults.is_empty());
//! let presented = parse_key("Token", [b"token  k1".as_slice()]).unwrap();
//! assert_eq!(all.by_key(presented).unwrap().name, "choir");
//! assert!(all.by_key("k2").is_none());
//! ```
//!
//! What a faulty entry leads to is decided here, for all adapters: see [`EntryError`].
//! Refusing the whole configuration was rejected, since one workspace's fault would
//! keep a key of another in force that was taken away.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use sha2::Digest as _;
use sha2::Sha256;

/// The name of a workspace.
pub type WorkspaceName = String;
/// The SHA-256 digest of an API key.
pub type Digest = [u8; 32];

/// Bytes of a key at most: many times those of any that are handed out, and few
/// enough that digesting one from the network takes microseconds.
const KEY_BYTES_MAX: usize = 512;
/// Bytes of a workspace's name at most: it is part of the keys of records, which the
/// platform bounds at 255 bytes with all that stands beside it.
const NAME_BYTES_MAX: usize = 100;
/// Requests a second from which on a limit is none: no fleet serves as many.
const PER_S_MAX: f64 = 1e9;

/// How many requests a workspace may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// A workspace as a configuration tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Its name, unique.
    pub name: WorkspaceName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before a route's; nothing if the route's counts.
    pub priority: Option<u8>,
    /// How many requests it may send; nothing for no limit.
    pub limit: Option<RateLimit>,
}

/// A workspace without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspacePolicy {
    /// Its name.
    pub name: WorkspaceName,
    /// Its rank, which goes before a route's; nothing if the route's counts.
    pub priority: Option<u8>,
    /// How many requests it may send; nothing for no limit.
    pub limit: Option<RateLimit>,
}

/// What is wrong with an entry, and what it leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// A workspace has no name, or one that no header can carry or that is too long: it
    /// is left out.
    InvalidName,
    /// Two entries have one name: they are one workspace, with the keys of both
    /// and the stricter terms.
    DuplicateName(WorkspaceName),
    /// Two workspaces have one key: it is nobody's.
    SharedKey(WorkspaceName, WorkspaceName),
    /// A key is empty or too long to be presented: it is left out.
    InvalidKey(WorkspaceName),
    /// A limit is negative or no number: nothing beyond its burst is let in.
    InvalidLimit(WorkspaceName),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidName => f.write_str("a workspace has no usable name and is left out"),
            Self::DuplicateName(name) => {
                write!(f, "workspace {name} stands twice; the stricter terms hold")
            }
            Self::SharedKey(a, b) => write!(f, "a key of {a} is also one of {b}; it is nobody's"),
            Self::InvalidKey(name) => write!(f, "a key of {name} cannot be used"),
            Self::InvalidLimit(name) => {
                write!(
                    f,
                    "the limit of {name} is unsound; only its burst is let in"
                )
            }
        }
    }
}

impl std::error::Error for EntryError {}

/// Why a request presents no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// There is none.
    Missing,
    /// There are two, or it is no text, too long or empty.
    Malformed,
    /// What there is follows another scheme.
    OtherScheme,
}

impl KeyError {
    /// Returns the reason as logs and metrics name it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Malformed => "malformed key",
            Self::OtherScheme => "other scheme",
        }
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "an API key is required",
            Self::Malformed => "the API key is malformed",
            Self::OtherScheme => "the API key follows another scheme",
        })
    }
}

impl std::error::Error for KeyError {}

/// Returns the key among the values of the `Authorization` header. The scheme's case
/// and blanks around the key do not matter, as RFC 9110 has it.
///
/// # Errors
///
/// Returns why there is none.
pub fn parse_key<'a>(
    scheme: &str,
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<&'a str, KeyError> {
    let mut values = values.into_iter();
    let value = values.next().ok_or(KeyError::Missing)?;
    if values.next().is_some() || value.len() > KEY_BYTES_MAX {
        return Err(KeyError::Malformed);
    }
    let text = std::str::from_utf8(value).map_err(|_| KeyError::Malformed)?;
    let (found, key) = text.trim().split_once(' ').ok_or(KeyError::OtherScheme)?;
    if !found.eq_ignore_ascii_case(scheme) {
        return Err(KeyError::OtherScheme);
    }
    let key = key.trim();
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(KeyError::Malformed);
    }
    Ok(key)
}

/// Returns the digest by which a key is known.
pub fn digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}

/// The workspaces of one version of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    /// Nothing for a key that several workspaces have.
    by_key: HashMap<Digest, Option<Arc<WorkspacePolicy>>>,
    by_name: HashMap<WorkspaceName, Arc<WorkspacePolicy>>,
}

impl Workspaces {
    /// Returns the workspaces, and what was wrong with their entries.
    pub fn new(entries: Vec<Workspace>) -> (Self, Vec<EntryError>) {
        let mut faults = Vec::new();
        let mut merged: HashMap<WorkspaceName, Workspace> = HashMap::new();
        for entry in entries {
            let sound = sound(entry, &mut faults);
            merge(&mut merged, sound, &mut faults);
        }
        let mut all = Self::default();
        for workspace in merged.into_values() {
            all.insert(workspace, &mut faults);
        }
        (all, faults)
    }

    fn insert(&mut self, workspace: Workspace, faults: &mut Vec<EntryError>) {
        let holder = Arc::new(WorkspacePolicy {
            name: workspace.name,
            priority: workspace.priority,
            limit: workspace.limit,
        });
        for key in &workspace.keys {
            match self.by_key.entry(digest(key)) {
                Entry::Vacant(entry) => {
                    entry.insert(Some(Arc::clone(&holder)));
                }
                Entry::Occupied(mut entry) => {
                    let other = entry.get().as_ref().map(|other| other.name.clone());
                    // A key that a workspace lists twice is still its own.
                    if other.as_ref() != Some(&holder.name) {
                        entry.insert(None);
                        let other = other.unwrap_or_default();
                        faults.push(EntryError::SharedKey(holder.name.clone(), other));
                    }
                }
            }
        }
        self.by_name.insert(holder.name.clone(), holder);
    }

    /// Returns the workspace that holds a key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<WorkspacePolicy>> {
        self.by_digest(&digest(key))
    }

    /// Returns the workspace that holds the key of a digest.
    pub fn by_digest(&self, digest: &Digest) -> Option<&Arc<WorkspacePolicy>> {
        self.by_key.get(digest)?.as_ref()
    }

    /// Returns the workspace with a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<WorkspacePolicy>> {
        self.by_name.get(name)
    }

    /// Returns all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<WorkspacePolicy>> {
        self.by_name.values()
    }

    /// Returns the digests of all keys.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.by_key.keys()
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Returns the entry without what cannot be used of it.
fn sound(mut entry: Workspace, faults: &mut Vec<EntryError>) -> Workspace {
    let name = entry.name.clone();
    let before = entry.keys.len();
    entry.keys.retain(|key| is_presentable(key));
    for _ in entry.keys.len()..before {
        faults.push(EntryError::InvalidKey(name.clone()));
    }
    if let Some(limit) = entry.limit {
        let is_sound = limit.per_s >= 0.0 && limit.burst >= 0.0;
        if !is_sound {
            faults.push(EntryError::InvalidLimit(name));
        }
        entry.limit = bounded(limit);
    }
    entry
}

/// Returns whether a name can be told to targets. Control characters can neither be
/// sent in a header nor stand in a job's name.
fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_BYTES_MAX && !name.contains(char::is_control)
}

fn is_presentable(key: &str) -> bool {
    !key.is_empty() && key.len() <= KEY_BYTES_MAX && !key.contains(char::is_whitespace)
}

/// Returns a limit without what is negative or no number; nothing for none.
fn bounded(limit: RateLimit) -> Option<RateLimit> {
    // Of two numbers `max` returns the one that is one.
    let per_s = limit.per_s.max(0.0);
    let burst = limit.burst.max(0.0);
    let is_none = limit.per_s == 0.0 || per_s >= PER_S_MAX;
    (!is_none).then_some(RateLimit { per_s, burst })
}

fn merge(
    merged: &mut HashMap<WorkspaceName, Workspace>,
    entry: Workspace,
    faults: &mut Vec<EntryError>,
) {
    if !is_name(&entry.name) {
        faults.push(EntryError::InvalidName);
        return;
    }
    match merged.entry(entry.name.clone()) {
        Entry::Vacant(vacant) => {
            vacant.insert(entry);
        }
        Entry::Occupied(mut occupied) => {
            faults.push(EntryError::DuplicateName(entry.name.clone()));
            let known = occupied.get_mut();
            known.keys.extend(entry.keys);
            known.priority = known.priority.max(entry.priority);
            known.limit = stricter(known.limit, entry.limit);
        }
    }
}

fn stricter(a: Option<RateLimit>, b: Option<RateLimit>) -> Option<RateLimit> {
    match (a, b) {
        (Some(a), Some(b)) => Some(RateLimit {
            per_s: a.per_s.min(b.per_s),
            burst: a.burst.min(b.burst),
        }),
        (limit, None) | (None, limit) => limit,
    }
}
