//! Routes: which service answers a request, and on what terms.
//!
//! A [`Table`] is one version of the routes in force. It is built once from a
//! configuration and never changed; a newer version replaces it whole.
//!
//! ```
//! use notchwharf_config::routes::{Route, Table};
//!
//! let broad = Route { host: "a.example".into(), prefix: "/x/".into(), ..Route::default() };
//! let narrow = Route { host: "a.example".into(), prefix: "/x/y/".into(), ..Route::default() };
//! let table = Table::new(7, vec![broad, narrow], vec![], Default::default());
//! assert_eq!(table.find("A.example", "/x/y/z").unwrap().prefix, "/x/y/");
//! assert!(table.find("a.example", "/x").is_none());
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::access::EntryError;
use crate::access::Workspace;
use crate::access::Workspaces;

/// The name of a service, which several targets offer.
pub type ServiceName = String;
/// The version of a table; newer ones have higher numbers.
pub type TableVersion = u64;

/// What may be repeated, and how a request of a route is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A plain request that may run more than once.
    Idempotent,
    /// A plain request that may run at most once.
    #[default]
    NonIdempotent,
    /// A stream of events.
    Stream,
    /// Jobs of many items.
    Batch,
}

/// The terms of jobs on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobPolicy {
    /// Time after the first submission within which results are worth most.
    pub objective: Duration,
    /// Time after the first submission from which an item may be given up.
    pub abandon_after: Duration,
    /// Tokens of items that may wait on the route; nothing for no limit.
    pub tokens_max: Option<u64>,
}

/// One of the services among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the others.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// How their path begins; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Time after which a request must have its answer.
    pub timeout: Duration,
    /// Time to the answer, or its first event, that callers hope for.
    pub objective: Duration,
    /// Targets that one request may run on.
    pub attempts_max: u32,
    /// The route's rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer, with their weights.
    pub shares: Vec<Share>,
    /// Whether a stream may go on at another target after an event.
    pub resumable: bool,
    /// The longest pause between two events that callers hope for.
    pub gap_objective: Option<Duration>,
    /// The terms of its jobs.
    pub jobs: JobPolicy,
    /// Whether anybody may call, also without a key.
    pub public: bool,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent | Kind::Batch => true,
            Kind::Stream => self.resumable,
            Kind::NonIdempotent => false,
        }
    }

    /// Returns the service for a request; `draw` spreads requests by weight.
    pub fn select_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        let chosen = self.shares.iter().find(|share| {
            let weight = u64::from(share.weight);
            let hit = left < weight;
            left = left.saturating_sub(weight);
            hit
        });
        chosen.map(|share| &share.service)
    }
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Connections that one of its targets takes from all callers.
    pub connections_max: u32,
    /// Requests that one of its targets runs at once, where the configuration
    /// says so.
    pub slots: Option<u32>,
    /// Tokens that one of its targets holds, where the configuration says so.
    pub tokens_max: Option<u64>,
    /// Requests per second that a cold target of the service sustains, if configured.
    pub cold_per_s: Option<f64>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes_max: usize,
    /// Bytes of a request's body.
    pub body_bytes_max: usize,
    /// Time that a caller may take for a head.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns generous bounds, for the time before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes_max: 64 << 10,
            body_bytes_max: 16 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of the routes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: TableVersion,
    /// By host; the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    limits: Limits,
    workspaces: Option<Workspaces>,
    entry_errors: Vec<EntryError>,
}

impl Table {
    /// Returns the table of a version.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for mut route in routes {
            route.host.make_ascii_lowercase();
            let same_host = by_host.entry(route.host.clone()).or_default();
            same_host.push(Arc::new(route));
        }
        for same_host in by_host.values_mut() {
            same_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            routes: by_host,
            services,
            limits,
            workspaces: None,
            entry_errors: Vec::new(),
        }
    }

    /// Returns the table with the workspaces that may call; without them anybody may.
    #[must_use]
    pub fn with_workspaces(self, entries: Vec<Workspace>) -> Self {
        let (workspaces, entry_errors) = Workspaces::new(entries);
        Self {
            workspaces: Some(workspaces),
            entry_errors,
            ..self
        }
    }

    /// Returns what was wrong with entries of workspaces.
    pub fn entry_errors(&self) -> &[EntryError] {
        &self.entry_errors
    }

    /// Returns the workspaces that may call; nothing if callers are not told apart.
    pub fn workspaces(&self) -> Option<&Workspaces> {
        self.workspaces.as_ref()
    }

    /// Returns whether a host has a route for jobs that anybody may use.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let routes = self.same_host(host);
        routes.is_some_and(|routes| routes.iter().any(|r| r.public && r.kind == Kind::Batch))
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the table's version.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the bounds on what callers send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route of a request: of those of its host, the one with the
    /// longest prefix that begins the path. A port behind the host is passed
    /// over, as is the case of its letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let same_host = self.same_host(host)?;
        same_host.iter().find(|r| path.starts_with(&r.prefix))
    }

    fn same_host(&self, host: &str) -> Option<&Vec<Arc<Route>>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let exact = self.routes.get(name);
        exact.or_else(|| self.routes.get(&name.to_ascii_lowercase()))
    }

    /// Returns the route with a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Route>> {
        let mut all = self.routes.values().flatten();
        all.find(|route| route.name == name)
    }
}
