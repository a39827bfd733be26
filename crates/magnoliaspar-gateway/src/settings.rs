//! Settings of one instance.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliaspar_access::Revocation;
use magnoliaspar_core::Findings;
use magnoliaspar_json::{Cursor, Object, Source, read_value};

use crate::shared_budget::SharedBudget;

/// Log filter if the settings have none.
const DEFAULT_LOG_FILTER: &str = "info";

/// Valid numbers of retries that each request adds to the budget.
const RETRY_RATIOS: RangeInclusive<f64> = 0.0..=10.0;

/// Valid numbers of additional retries per window.
const EXTRA_RETRIES: RangeInclusive<f64> = 0.0..=1e6;

/// Valid durations, in seconds.
const SECONDS: RangeInclusive<f64> = 0.1..=3_600.0;

/// Valid times until a revoked key is unusable, in milliseconds; zero for none.
const REVOCATION_MILLIS: RangeInclusive<u64> = 0..=3_600_000;

/// Valid numbers of cores.
const CORES: RangeInclusive<f64> = 0.001..=1_000.0;

/// Valid memory sizes, in megabytes.
const MEGABYTES: RangeInclusive<f64> = 1.0..=1e6;

/// Memory of the machine if the settings have none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 88.0;

/// Share of the machine's memory for responses if the settings have none. The rest is for the program, for
/// connections and for what the system holds of the same responses.
const DEFAULT_RESPONSE_SHARE: f64 = 0.25;

/// Maximum share of the machine's memory for responses.
const MAX_RESPONSE_SHARE: f64 = 0.5;

/// Share of the machine's memory that the account may use together with the process at rest. The allocator needs
/// the remainder, as blocks that are released leave holes.
const USABLE_SHARE: f64 = 0.8;

/// Memory of the process at rest, in bytes: 9 MiB in the smallest deployment, and what the largest configuration
/// and list of servers add.
const REST_BYTES: usize = 14_000_000;

/// Part of the machine's memory that the account has at least.
const MIN_LIMIT_PART: usize = 4;

/// Number of bytes of a megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// Valid numbers of open descriptors.
const DESCRIPTORS: RangeInclusive<u64> = 256..=10_000_000;

/// Number of cores if the settings have none.
const DEFAULT_CORES: f64 = 1.0;

/// Validated settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address for callers.
    pub requests: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for messages from the other instances.
    pub peers: SocketAddr,
    /// Addresses of some other instances, which may be down.
    pub seeds: Box<[SocketAddr]>,
    /// Address of the store that holds the configuration and the list of servers.
    pub store: SocketAddr,
    /// Capacity of the instance, in thousandths of a core.
    pub capacity: u32,
    /// Memory of the machine, in bytes.
    pub memory: usize,
    /// Memory for responses, in bytes.
    pub response_memory: usize,
    /// Maximum number of open descriptors; `None` for the limit that the system sets.
    pub max_descriptors: Option<usize>,
    /// Retry budget of each service, shared by all instances.
    pub budget: SharedBudget,
    /// How keys become unusable that a configuration revokes.
    pub revocation: Revocation,
    /// Time from the stop signal within which the process must exit.
    pub grace: Duration,
    /// Log filter.
    pub log: Box<str>,
}

impl GatewaySettings {
    /// Returns the limit of the account of memory, in bytes: what the process does not need at rest.
    pub fn memory_limit(&self) -> usize {
        let usable = (self.memory as f64 * USABLE_SHARE) as usize;
        usable.saturating_sub(REST_BYTES).max(self.memory / MIN_LIMIT_PART)
    }

    /// Parses settings from JSON, or returns all findings with their locations.
    pub fn read(text: &str, file: &str) -> Result<Self, Findings> {
        let source = Source::parse(text, file)?;
        read_value(source.value(), read_settings).map_err(|findings| source.locate(findings))
    }
}

fn read_settings(cursor: &Cursor) -> Option<GatewaySettings> {
    let object = cursor.object()?;
    let instance = object.required("instance").and_then(|field| field.non_empty_text());
    let zone = object.required("zone").and_then(|field| field.non_empty_text());
    let requests = object.required("requests").and_then(|field| field.address());
    let readiness = object.required("readiness").and_then(|field| field.address());
    let metrics = object.required("metrics").and_then(|field| field.address());
    let peers = object.required("peers").and_then(|field| field.address());
    let seeds = object.with_default("seeds", [].into(), |field| field.list(Cursor::address));
    let store = object.required("store").and_then(|field| field.address());
    let cores = object.with_default("cores", DEFAULT_CORES, |field| field.number(CORES));
    let memory_mb =
        object.with_default("memory_mb", DEFAULT_MEMORY_MB, |field| field.number(MEGABYTES));
    let response_memory = memory_mb.and_then(|memory_mb| read_response_memory(&object, memory_mb));
    let max_descriptors = object.with_default("max_descriptors", None, |field| {
        Some(Some(field.integer(DESCRIPTORS)? as usize))
    });
    let budget = object.required("retries").and_then(|field| read_budget(&field));
    let revocation =
        object.with_default("revocation", Revocation::default(), |field| read_revocation(field));
    let grace = object.required("grace_s").and_then(|field| field.number(SECONDS));
    let log = object.with_default("log", DEFAULT_LOG_FILTER, |field| field.non_empty_text());
    object.finish();
    Some(GatewaySettings {
        instance: instance?.into(),
        zone: zone?.into(),
        requests: requests?,
        readiness: readiness?,
        metrics: metrics?,
        peers: peers?,
        seeds: seeds?,
        store: store?,
        capacity: (cores? * 1_000.0) as u32,
        memory: (memory_mb? * BYTES_PER_MB) as usize,
        response_memory: response_memory?,
        max_descriptors: max_descriptors?,
        budget: budget?,
        revocation: revocation?,
        grace: Duration::from_secs_f64(grace?),
        log: log?.into(),
    })
}

/// Reads the part of the machine's memory that is for responses, in bytes.
fn read_response_memory(object: &Object, memory_mb: f64) -> Option<usize> {
    let (least, most) = (*MEGABYTES.start(), (memory_mb * MAX_RESPONSE_SHARE).max(1.0));
    let default_mb = (memory_mb * DEFAULT_RESPONSE_SHARE).max(least);
    let response_mb = object
        .with_default("response_memory_mb", default_mb, |field| field.number(least..=most))?;
    Some((response_mb * BYTES_PER_MB) as usize)
}

fn read_revocation(cursor: &Cursor) -> Option<Revocation> {
    let object = cursor.object()?;
    let is_strict = object.with_default("is_strict", false, |field| field.boolean());
    let bound_ms = object.with_default("bound_ms", 0, |field| field.integer(REVOCATION_MILLIS));
    object.finish();
    let bound = Some(bound_ms?).filter(|millis| *millis > 0).map(Duration::from_millis);
    Some(Revocation { is_strict: is_strict? && bound.is_some(), bound })
}

fn read_budget(cursor: &Cursor) -> Option<SharedBudget> {
    let object = cursor.object()?;
    let ratio = object.required("ratio").and_then(|field| field.number(RETRY_RATIOS));
    let extra = object.required("extra").and_then(|field| field.number(EXTRA_RETRIES));
    let window = object.required("window_s").and_then(|field| field.number(SECONDS));
    object.finish();
    let (ratio, extra, window) = (ratio?, extra?, window?);
    Some(SharedBudget { ratio, extra, window: Duration::from_secs_f64(window) })
}
