//! The routes in force: which service a request goes to and what may be repeated.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::RouteName;

use crate::guarantees::{Guarantee, is_disabled};

/// The name of a group of interchangeable backend servers.
pub type ServiceName = Box<str>;

/// A checked configuration of routes and services.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    /// The operator's version, which only grows.
    pub version: u64,
    /// The routes by host name, those with the longest prefix first.
    hosts: BTreeMap<Box<str>, Vec<Rc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Routing {
    /// Orders the routes of each host for the search by longest prefix.
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
        Self { version, hosts, services, limits }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
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

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: RouteName,
    /// The start of the paths that belong to the route.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may stay unanswered.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// The longest pause between two events with which a stream is on time.
    pub max_gap: Duration,
    /// The rank among routes; 0 goes first.
    pub priority: u8,
    /// The services and their shares of the requests.
    pub split: Box<[(ServiceName, u32)]>,
    /// The most servers that may run one request.
    pub max_attempts: u32,
}

impl Route {
    /// Whether a request that may have run `runs` times may be sent once more.
    pub fn allows_another(&self, runs: u32) -> bool {
        let is_allowed = self.kind.may_repeat() && runs < self.max_attempts;
        is_allowed || is_disabled(Guarantee::AtMostOnce)
    }

    /// Chooses a service by weight; `point` is uniform in `0.0..1.0`.
    pub fn choose_service(&self, point: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|(_, weight)| *weight).sum();
        let mut rest = point * f64::from(total);
        for (service, weight) in &self.split {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service)
    }
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run several times.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a series of events.
    Stream {
        /// Whether another engine may go on after the last event that was delivered.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns the word for logs.
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
pub struct Service {
    /// The most connections that one server accepts from all instances together.
    pub max_connections: u32,
    /// What the model engines of the service have in common; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What the model engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// How many requests an engine runs at once.
    pub slots: u32,
    /// The memory for KV cache, in tokens.
    pub kv_capacity: u64,
    /// How many tokens one event of a stream holds.
    pub tokens_per_event: u64,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// The most bytes of a body.
    pub max_body: usize,
    /// How long the head of a request may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle between two requests.
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
