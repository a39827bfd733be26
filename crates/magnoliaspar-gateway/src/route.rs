//! The current routing: the service for each request, and the rules for retries.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_access::Workspaces;
use serde::{Deserialize, Serialize};

use crate::guarantees::{Guarantee, is_disabled};

/// Name of a group of interchangeable backend servers.
pub type ServiceName = Box<str>;

/// A validated configuration of routes and services.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Routing {
    /// Version set by the operator, which only increases.
    pub version: u64,
    /// The routes by host name, sorted by descending prefix length.
    hosts: BTreeMap<Box<str>, Vec<Rc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The workspaces whose callers authenticate with a key; `None` if no key is needed.
    #[serde(default)]
    pub workspaces: Option<Rc<Workspaces>>,
}

impl Routing {
    /// Sorts the routes of each host for the lookup by longest prefix.
    pub fn new(
        version: u64,
        routes: Vec<(Box<str>, Route)>,
        services: BTreeMap<ServiceName, Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: BTreeMap<Box<str>, Vec<Rc<Route>>> = BTreeMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, hosts, services, limits, workspaces: None }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.hosts.get(name)?;
        for route in routes {
            if path.starts_with(&*route.path_prefix) {
                return Some(route.clone());
            }
        }
        None
    }

    /// Returns the number of priorities above that of `route` among the routes to a service.
    pub fn rank(&self, route: &Route, service: &str) -> u32 {
        let mut higher = BTreeSet::new();
        for other in self.hosts.values().flatten() {
            let is_of_service = other.split.iter().any(|(name, _)| &**name == service);
            if is_of_service && other.priority < route.priority {
                higher.insert(other.priority);
            }
        }
        higher.len() as u32
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Destination of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, which is any text and only for logs.
    pub name: Box<str>,
    /// Prefix of the paths that belong to the route.
    pub path_prefix: Box<str>,
    /// Rules for retries.
    pub kind: RouteKind,
    /// Maximum duration of a request until its response.
    pub timeout: Duration,
    /// Latency target of a response, or of the first event of a stream.
    pub target_latency: Duration,
    /// Maximum gap between two events that meets the target.
    pub max_gap: Duration,
    /// Priority among the routes; 0 is the highest.
    pub priority: u8,
    /// The services and their weights.
    pub split: Box<[(ServiceName, u32)]>,
    /// Maximum number of servers that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key, also where the configuration has workspaces.
    #[serde(default)]
    pub is_anonymous: bool,
}

/// Priority of a request; the lowest one goes first.
///
/// The priority of the workspace decides before that of the route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Priority {
    /// Priority of the workspace; 0 without one.
    pub workspace: u8,
    /// Priority of the route.
    pub route: u8,
}

impl Route {
    /// Returns whether a request that may have run `runs` times may be sent again.
    pub fn allows_retry(&self, runs: u32) -> bool {
        let is_allowed = self.kind.is_retryable() && runs < self.max_attempts;
        is_allowed || is_disabled(Guarantee::AtMostOnce)
    }

    /// Chooses a service by weight; `point` is uniform in `0.0..1.0`.
    pub fn choose_service(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut rest = point * total;
        for (service, weight) in &self.split {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}

/// Kind of a route, which determines the rules for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run several times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another engine may resume after the last delivered event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream { is_resumable: true } => "resumable_stream",
            Self::Stream { is_resumable: false } => "stream",
        }
    }
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections that one server accepts from all instances together; 0 if none is
    /// stated.
    pub max_connections: u32,
    /// Path at which the servers answer whether they are healthy; empty if none is stated.
    #[serde(default)]
    pub health_path: Box<str>,
    /// Common properties of the service's model engines; `None` for other services.
    pub engine: Option<EngineSpec>,
}

/// Common properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Limits on what callers may send and on the time that they may take.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum length of a body, in bytes.
    pub max_body: usize,
    /// Timeout for the head of a request.
    pub head_timeout: Duration,
    /// Timeout of an idle connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
