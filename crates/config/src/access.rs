//! API keys, the workspaces that they identify, and the limits of workspaces.
//!
//! Keys are stored and compared only as digests, so neither a table nor a log line can reveal
//! a key. A [`Workspaces`] belongs to one version of a configuration, is immutable, and is
//! replaced as a whole.
//!
//! ```
//! use notchwharf_config::access::{parse_key, Workspace, Workspaces};
//!
//! let (workspaces, errors) = Workspaces::new(vec![Workspace {
//!     name: "choir".into(),
//!     keys: vec!["k1".into()],
//!     ..Workspace::default()
//! }]);
//! assert!(errors.is_empty());
//! let presented = parse_key("Token", [b"token  k1".as_slice()]).unwrap();
//! assert_eq!(workspaces.by_key(presented).unwrap().name, "choir");
//! assert!(workspaces.by_key("k2").is_none());
//! ```
//!
//! The handling of invalid entries is the same for all adapters: see [`EntryError`]. Refusing
//! the whole configuration was rejected, since an invalid entry of one workspace would then
//! keep a revoked key of another workspace valid.

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

/// Maximum size of a key: many times that of issued keys, and small enough that computing the
/// digest of a received key takes microseconds.
const KEY_BYTES_MAX: usize = 512;
/// Maximum size of a workspace's name. The name is part of record keys, which the platform
/// limits to 255 bytes in total.
const NAME_BYTES_MAX: usize = 100;
/// Requests per second from which a rate limit is treated as no limit, since no fleet serves
/// that many.
const PER_S_MAX: f64 = 1e9;

/// The rate limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Additional requests that may be sent at once.
    pub burst: f64,
}

/// A workspace as defined by a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Its unique name.
    pub name: WorkspaceName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its priority, which overrides that of the route; `None` to use the route's.
    pub priority: Option<u8>,
    /// Its rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// The policy of a workspace: the definition without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspacePolicy {
    /// Its name.
    pub name: WorkspaceName,
    /// Its priority, which overrides that of the route; `None` to use the route's.
    pub priority: Option<u8>,
    /// Its rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// An error in an entry of a workspace, and its consequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// The name of a workspace is empty, too long, or not valid in a header: the workspace is
    /// ignored.
    InvalidName,
    /// Two entries have the same name: they are merged into one workspace with the keys of
    /// both and the stricter priority and limit.
    DuplicateName(WorkspaceName),
    /// Two workspaces have the same key: the key is not valid for either.
    SharedKey(WorkspaceName, WorkspaceName),
    /// A key is empty, too long, or contains white space: the key is ignored.
    InvalidKey(WorkspaceName),
    /// A limit is negative or not a number: the invalid part is treated as 0, so without a
    /// valid rate only the burst is admitted.
    InvalidLimit(WorkspaceName),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidName => {
                f.write_str("the name of a workspace is invalid; the workspace is ignored")
            }
            Self::DuplicateName(name) => {
                write!(
                    f,
                    "workspace {name} is defined twice; the stricter priority and limit apply"
                )
            }
            Self::SharedKey(a, b) => write!(
                f,
                "workspaces {a} and {b} have the same key; the key is ignored"
            ),
            Self::InvalidKey(name) => write!(
                f,
                "a key of workspace {name} is invalid; the key is ignored"
            ),
            Self::InvalidLimit(name) => {
                write!(
                    f,
                    "the limit of workspace {name} is invalid; the invalid part is treated as 0"
                )
            }
        }
    }
}

impl std::error::Error for EntryError {}

/// Reasons why a request has no valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The header is missing.
    Missing,
    /// The header is repeated, not text or too long, or the key is empty or contains white
    /// space.
    Malformed,
    /// The header uses another scheme.
    OtherScheme,
}

impl KeyError {
    /// Returns the label of the reason in logs and metrics.
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
            Self::OtherScheme => "the Authorization header uses another scheme",
        })
    }
}

impl std::error::Error for KeyError {}

/// Returns the API key from the values of the `Authorization` header. The case of the scheme
/// and spaces around the key are ignored, as specified by RFC 9110.
///
/// # Errors
///
/// Returns the reason if there is no valid key.
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
    let (found_scheme, key) = text.trim().split_once(' ').ok_or(KeyError::OtherScheme)?;
    if !found_scheme.eq_ignore_ascii_case(scheme) {
        return Err(KeyError::OtherScheme);
    }
    let key = key.trim();
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(KeyError::Malformed);
    }
    Ok(key)
}

/// Returns the digest of a key.
pub fn digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}

/// The workspaces of one version of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    /// `None` for a key that several workspaces have.
    by_key: HashMap<Digest, Option<Arc<WorkspacePolicy>>>,
    by_name: HashMap<WorkspaceName, Arc<WorkspacePolicy>>,
}

impl Workspaces {
    /// Returns the workspaces and the errors in their entries.
    pub fn new(entries: Vec<Workspace>) -> (Self, Vec<EntryError>) {
        let mut errors = Vec::new();
        let mut merged: HashMap<WorkspaceName, Workspace> = HashMap::new();
        for entry in entries {
            let valid = sanitize(entry, &mut errors);
            merge(&mut merged, valid, &mut errors);
        }
        let mut workspaces = Self::default();
        for workspace in merged.into_values() {
            workspaces.insert(workspace, &mut errors);
        }
        (workspaces, errors)
    }

    fn insert(&mut self, workspace: Workspace, errors: &mut Vec<EntryError>) {
        let policy = Arc::new(WorkspacePolicy {
            name: workspace.name,
            priority: workspace.priority,
            limit: workspace.limit,
        });
        for key in &workspace.keys {
            match self.by_key.entry(digest(key)) {
                Entry::Vacant(entry) => {
                    entry.insert(Some(Arc::clone(&policy)));
                }
                Entry::Occupied(mut entry) => {
                    let other = entry.get().as_ref().map(|other| other.name.clone());
                    // A workspace may list the same key twice.
                    if other.as_ref() != Some(&policy.name) {
                        entry.insert(None);
                        let other = other.unwrap_or_default();
                        errors.push(EntryError::SharedKey(policy.name.clone(), other));
                    }
                }
            }
        }
        self.by_name.insert(policy.name.clone(), policy);
    }

    /// Returns the workspace with the given key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<WorkspacePolicy>> {
        self.by_digest(&digest(key))
    }

    /// Returns the workspace whose key has the given digest.
    pub fn by_digest(&self, digest: &Digest) -> Option<&Arc<WorkspacePolicy>> {
        self.by_key.get(digest)?.as_ref()
    }

    /// Returns the workspace with the given name.
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

    /// Returns whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Returns the entry without invalid keys and with a normalized limit.
fn sanitize(mut entry: Workspace, errors: &mut Vec<EntryError>) -> Workspace {
    let name = entry.name.clone();
    let before = entry.keys.len();
    entry.keys.retain(|key| is_valid_key(key));
    for _ in entry.keys.len()..before {
        errors.push(EntryError::InvalidKey(name.clone()));
    }
    if let Some(limit) = entry.limit {
        let is_valid = limit.per_s >= 0.0 && limit.burst >= 0.0;
        if !is_valid {
            errors.push(EntryError::InvalidLimit(name));
        }
        entry.limit = normalized(limit);
    }
    entry
}

/// Returns whether a workspace's name is valid. Control characters are valid neither in a
/// header sent to targets nor in the name of a job.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_BYTES_MAX && !name.contains(char::is_control)
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= KEY_BYTES_MAX && !key.contains(char::is_whitespace)
}

/// Returns the limit with negative values and NaN replaced by 0. Returns `None`, which means no
/// limit, for a configured rate of 0 and for rates from [`PER_S_MAX`] on.
fn normalized(limit: RateLimit) -> Option<RateLimit> {
    // `f64::max` returns the other operand if one is NaN.
    let per_s = limit.per_s.max(0.0);
    let burst = limit.burst.max(0.0);
    let is_none = limit.per_s == 0.0 || per_s >= PER_S_MAX;
    (!is_none).then_some(RateLimit { per_s, burst })
}

fn merge(
    merged: &mut HashMap<WorkspaceName, Workspace>,
    entry: Workspace,
    errors: &mut Vec<EntryError>,
) {
    if !is_valid_name(&entry.name) {
        errors.push(EntryError::InvalidName);
        return;
    }
    match merged.entry(entry.name.clone()) {
        Entry::Vacant(vacant) => {
            vacant.insert(entry);
        }
        Entry::Occupied(mut occupied) => {
            errors.push(EntryError::DuplicateName(entry.name.clone()));
            let existing = occupied.get_mut();
            existing.keys.extend(entry.keys);
            existing.priority = existing.priority.max(entry.priority);
            existing.limit = stricter(existing.limit, entry.limit);
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
