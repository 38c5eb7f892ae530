//! The versions that a service has had.
//!
//! A caller that names no stream gives nothing to look up. Its stream can go on only if the
//! service has had one version alone for as long as streams may be resumed. That takes somebody who
//! has watched for as long: this process, or earlier ones that left records of what they saw.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_origins::history::{Unsure, VersionHistory};
//!
//! let (minute, started) = (Duration::from_secs(60), Instant::now());
//! let mut history = VersionHistory::default();
//! history.add("s", Some("v2"));
//! assert_eq!(history.only("s", minute, started), Err(Unsure::PastUnknown));
//! // Nobody has seen another version before.
//! history.add_past([], started);
//! assert_eq!(history.only("s", minute, started), Ok("v2"));
//! ```

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// A version, as far as it is known.
type Version = Option<String>;

/// A service and one of its versions, as far as it is known.
pub type ServiceVersion = (String, Option<String>);

/// Why it is not known that a version has been the only one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsure {
    /// Nobody has watched for long enough.
    PastUnknown,
    /// The service has had several versions, none, or one that is not known.
    Several,
}

/// When targets of a service and version were last known.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Since when this process knows all targets.
    watched_since: Option<Instant>,
    /// Whether the versions before that are known.
    is_past_known: bool,
    /// Number of present targets and, if there are none, when the last one went.
    services: HashMap<String, HashMap<Version, Presence>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    targets: usize,
    last_gone_at: Option<Instant>,
}

impl VersionHistory {
    /// Records that a target of a version has come.
    pub fn add(&mut self, service: &str, version: Option<&str>) {
        let versions = self.services.entry(service.to_owned()).or_default();
        let presence = versions.entry(version.map(str::to_owned)).or_default();
        presence.targets += 1;
    }

    /// Records that a target of a version has gone.
    pub fn remove(&mut self, service: &str, version: Option<&str>, now: Instant) {
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        if let Some(presence) = versions.get_mut(&version.map(str::to_owned)) {
            presence.targets = presence.targets.saturating_sub(1);
            presence.last_gone_at = Some(now);
        }
    }

    /// Records that this process knows all targets from now on.
    pub fn begin(&mut self, now: Instant) {
        self.watched_since.get_or_insert(now);
    }

    /// Adds the versions that served at any time before `now` for which streams may be resumed.
    pub fn add_past(&mut self, past: impl IntoIterator<Item = ServiceVersion>, now: Instant) {
        self.is_past_known = true;
        for (service, version) in past {
            let versions = self.services.entry(service).or_default();
            let presence = versions.entry(version).or_default();
            presence.last_gone_at = Some(now);
        }
    }

    /// Returns the version of a service if it has been the only one for a time, including any
    /// that is not known.
    ///
    /// # Errors
    ///
    /// Returns why that is not known.
    pub fn only(&self, service: &str, within: Duration, now: Instant) -> Result<&str, Unsure> {
        let versions = self.services.get(service).ok_or(Unsure::Several)?;
        let mut recent = versions.iter().filter(|(_, p)| p.is_recent(within, now));
        let (version, _) = recent.next().ok_or(Unsure::Several)?;
        if recent.next().is_some() {
            return Err(Unsure::Several);
        }
        let watched = self
            .watched_since
            .map(|since| now.saturating_duration_since(since));
        if !self.is_past_known && watched.is_none_or(|watched| watched < within) {
            return Err(Unsure::PastUnknown);
        }
        version.as_deref().ok_or(Unsure::Several)
    }

    /// Returns the versions that are not forgotten.
    pub fn versions(&self) -> impl Iterator<Item = ServiceVersion> {
        self.services.iter().flat_map(|(service, versions)| {
            let versions = versions.keys();
            versions.map(|version| (service.clone(), version.clone()))
        })
    }

    /// Forgets versions that have been gone for a time.
    pub fn forget(&mut self, within: Duration, now: Instant) {
        for versions in self.services.values_mut() {
            versions.retain(|_, presence| presence.is_recent(within, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the number of present targets by service and version.
    pub fn counts(&self) -> impl Iterator<Item = (&str, Option<&str>, usize)> {
        self.services.iter().flat_map(|(service, versions)| {
            let counts = versions.iter();
            counts.map(|(version, p)| (service.as_str(), version.as_deref(), p.targets))
        })
    }
}

impl Presence {
    fn is_recent(&self, within: Duration, now: Instant) -> bool {
        let gone = self.last_gone_at;
        self.targets > 0 || gone.is_some_and(|at| now.saturating_duration_since(at) < within)
    }
}
