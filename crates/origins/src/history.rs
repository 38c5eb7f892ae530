//! The versions that a service has had.
//!
//! A caller that names no stream gives nothing to look up. Its stream can go on only if the
//! service has had one version alone for as long as streams may be resumed.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// A version, as far as it is known.
type Version = Option<String>;

/// When targets of a service and version were last known.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
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

    /// Returns the version of a service if it has been the only one for a time, including any
    /// that is not known.
    pub fn only(&self, service: &str, within: Duration, now: Instant) -> Option<&str> {
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|(_, p)| p.is_recent(within, now));
        let (version, _) = recent.next()?;
        if recent.next().is_some() {
            return None;
        }
        version.as_deref()
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
