//! Checked routes with their targets and limits.

use std::time::Duration;

use magnoliaspar_core::{ModelName, PoolName};

/// A route from callers to backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The target of the route.
    pub target: RouteTarget,
    /// The limits of one request.
    pub limits: RouteLimits,
}

/// The target of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// Completions of a model.
    Completion(CompletionRoute),
    /// Calls to a service that is not a model engine.
    Service(ServiceRoute),
}

/// A route to a model, which callers select by the name of the route or of the model.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRoute {
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: Box<str>,
    /// The adapters to apply.
    pub adapters: Box<[Box<str>]>,
    /// The pool of prefill engines.
    pub prefill_pool: PoolName,
    /// The pool of decode engines.
    pub decode_pool: PoolName,
    /// The weights of the optimization goals.
    pub weights: RouteWeights,
    /// The rule for requests that cannot meet their targets.
    pub wait: WaitRule,
    /// The target for the time to first token (TTFT).
    pub ttft_target: Duration,
    /// The target for the inter-token latency (ITL).
    pub itl_target: Duration,
    /// The expected number of output tokens of a request that does not specify it.
    pub expected_output_tokens: u32,
}

/// The weights of the optimization goals of a route, with a sum of 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteWeights {
    /// The weight of avoiding wasted prefill work.
    pub wasted_prefill: f64,
    /// The weight of goodput: answers within both latency targets.
    pub goodput: f64,
}

/// The rule for requests that cannot meet their targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitRule {
    /// A request that cannot meet its target is refused early.
    RefuseLate,
    /// A request that cannot meet its target waits behind others.
    MayWait,
}

/// A route to a service that is not a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The path prefix, such as `/grants/payouts`.
    pub prefix: Box<str>,
    /// The pool of the service's servers.
    pub pool: PoolName,
    /// The rule for retries of calls.
    pub repeat: RepeatRule,
}

/// The rule for retries of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatRule {
    /// Calls are lookups and may be retried and hedged.
    Lookup,
    /// Calls are idempotent and may be retried after a failure.
    Idempotent,
    /// Calls require an idempotency key and are dispatched at most once.
    AtMostOnce,
}

/// The limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLimits {
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Maximum total size of header names and values in bytes.
    pub header_bytes: usize,
    /// Maximum number of requests of the route in progress on one instance.
    pub concurrency: u32,
    /// Maximum duration of a request.
    pub duration: Duration,
    /// Maximum time without progress in a stage.
    pub progress: Duration,
}
