//! Routes: the service that handles a request, and the policy that applies to it.
//!
//! A [`Table`] is one version of the routes. It is built from a configuration, is immutable,
//! and is replaced as a whole by a newer version.
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

/// The name of a service, which is provided by several targets.
pub type ServiceName = String;
/// The version of a table; newer ones have higher numbers.
pub type TableVersion = u64;

/// The kind of a route: whether requests may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A single request and response; may run more than once.
    Idempotent,
    /// A single request and response; may run at most once.
    #[default]
    NonIdempotent,
    /// A stream of events.
    Stream,
    /// Batch jobs with many items.
    Batch,
}

/// The policy for batch jobs on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobPolicy {
    /// Time after the first submission within which results have their full value.
    pub objective: Duration,
    /// Time after the first submission after which an item may be abandoned.
    pub abandon_after: Duration,
    /// Maximum number of tokens of items that wait on the route; `None` for no limit.
    pub tokens_max: Option<u64>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other services.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host name of requests, in lower case.
    pub host: String,
    /// The prefix of their path; begins and ends with a slash.
    pub prefix: String,
    /// The kind of the route.
    pub kind: Kind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Desired time until the response or its first event.
    pub objective: Duration,
    /// Maximum number of targets on which a request is attempted.
    pub attempts_max: u32,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// The services that handle requests, with their weights.
    pub shares: Vec<Share>,
    /// Whether a stream may be resumed at another target after an event.
    pub resumable: bool,
    /// Desired maximum time between two events.
    pub gap_objective: Option<Duration>,
    /// The policy for its jobs.
    pub jobs: JobPolicy,
    /// Whether callers need no key.
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

    /// Returns the service for a request, chosen by weight. `random` must be uniformly
    /// distributed.
    pub fn select_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = random.checked_rem(total)?;
        let chosen = self.shares.iter().find(|share| {
            let weight = u64::from(share.weight);
            let is_chosen = rest < weight;
            rest = rest.saturating_sub(weight);
            is_chosen
        });
        chosen.map(|share| &share.service)
    }
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Maximum number of connections that one of its targets accepts from all callers.
    pub connections_max: u32,
    /// Number of requests that one of its targets runs concurrently, if configured.
    pub slots: Option<u32>,
    /// Number of tokens that one of its targets can hold, if configured.
    pub tokens_max: Option<u64>,
    /// Requests per second that a cold target of the service sustains, if configured.
    pub cold_per_s: Option<f64>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header section.
    pub head_bytes_max: usize,
    /// Maximum size of a request's body.
    pub body_bytes_max: usize,
    /// Time within which a caller must send the header section.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns permissive limits, used until a configuration is known.
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
    /// Routes by host name, ordered by decreasing length of the prefix.
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    limits: Limits,
    workspaces: Option<Workspaces>,
    entry_errors: Vec<EntryError>,
}

impl Table {
    /// Returns a table with the given version.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for mut route in routes {
            route.host.make_ascii_lowercase();
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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

    /// Returns the table with the workspaces that may call. Without workspaces, no key is
    /// needed.
    #[must_use]
    pub fn with_workspaces(self, entries: Vec<Workspace>) -> Self {
        let (workspaces, entry_errors) = Workspaces::new(entries);
        Self {
            workspaces: Some(workspaces),
            entry_errors,
            ..self
        }
    }

    /// Returns the errors in the entries of workspaces.
    pub fn entry_errors(&self) -> &[EntryError] {
        &self.entry_errors
    }

    /// Returns the workspaces that may call; `None` if callers are not distinguished.
    pub fn workspaces(&self) -> Option<&Workspaces> {
        self.workspaces.as_ref()
    }

    /// Returns whether a host name has a route for batch jobs that needs no key.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let routes = self.routes_of_host(host);
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

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route of a request: among the routes of its host name, the one with the
    /// longest matching path prefix. The port and the case of the host name are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes_of_host(host)?;
        host_routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    fn routes_of_host(&self, host: &str) -> Option<&Vec<Arc<Route>>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let exact = self.routes.get(name);
        exact.or_else(|| self.routes.get(&name.to_ascii_lowercase()))
    }

    /// Returns the route with the given name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Route>> {
        let mut all = self.routes.values().flatten();
        all.find(|route| route.name == name)
    }
}
