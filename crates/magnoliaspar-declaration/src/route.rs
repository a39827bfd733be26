use std::time::Duration;

use magnoliaspar_core::{ModelName, PoolName};

/// A route from callers to backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// What the route leads to.
    pub target: RouteTarget,
    /// The limits of one request.
    pub limits: RouteLimits,
}

/// What a route leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// Completions by a model.
    Completion(CompletionRoute),
    /// Calls of a plain service.
    Service(ServiceRoute),
}

/// A route to a model, which callers name by the route's name or the model's name.
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
    /// How much the route cares for each measure.
    pub weights: RouteWeights,
    /// Whether requests may wait past their targets.
    pub wait: WaitRule,
    /// The target for the time to the first token.
    pub ttft_target: Duration,
    /// The target for the time between tokens.
    pub itl_target: Duration,
    /// The number of output tokens that is expected when a request does not say.
    pub expected_output_tokens: u32,
}

/// How much a route cares for each measure; the weights add up to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteWeights {
    /// The weight of not wasting prefill work.
    pub wasted_prefill: f64,
    /// The weight of answers within both latency targets.
    pub goodput: f64,
}

/// Whether requests may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitRule {
    /// A request that cannot meet its target is refused early.
    RefuseLate,
    /// A request that cannot meet its target waits behind others.
    MayWait,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The path prefix, such as `/grants/payouts`.
    pub prefix: Box<str>,
    /// The pool of the service's servers.
    pub pool: PoolName,
    /// Whether calls may be repeated.
    pub repeat: RepeatRule,
}

/// Whether calls may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatRule {
    /// Calls are lookups: they may be retried and hedged.
    Lookup,
    /// Calls are idempotent: they may be retried after a failure.
    Idempotent,
    /// Calls need an idempotency key and are dispatched at most once.
    AtMostOnce,
}

/// The limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLimits {
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The largest sum of header names and values in bytes.
    pub header_bytes: usize,
    /// How many requests of the route may be in progress on one instance.
    pub concurrency: u32,
    /// How long a request may take.
    pub duration: Duration,
    /// How long a stage may go without progress.
    pub progress: Duration,
}
