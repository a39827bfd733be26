//! The checked settings of one gateway.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliaspar_core::Findings;
use magnoliaspar_json::{Cursor, Source, read_value};
use magnoliaspar_retry::RetryBudgetConfig;

/// The log filter of an instance whose settings give none.
const DEFAULT_LOG_FILTER: &str = "info";

/// The shares of retries that may be set.
const RETRY_SHARES: RangeInclusive<f64> = 0.0..=10.0;

/// The numbers of retries that may be set.
const RETRY_COUNTS: RangeInclusive<f64> = 0.0..=1e6;

/// The durations that may be set, in seconds.
const SECONDS: RangeInclusive<f64> = 0.1..=3_600.0;

/// The parts of a core that may be set.
const CORES: RangeInclusive<f64> = 0.001..=1_000.0;

/// The cores of an instance whose settings give none.
const DEFAULT_CORES: f64 = 1.0;

/// The part of the shared retry budget that instances together use by their own requests.
///
/// The rest covers the delay with which the window of the budget is counted elsewhere.
const BUDGET_SHARE: f64 = 0.8;

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The name of the instance.
    pub instance: Box<str>,
    /// The availability zone of the instance.
    pub zone: Box<str>,
    /// Where callers connect.
    pub requests: SocketAddr,
    /// Where the balancer asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where the other instances send their messages.
    pub peers: SocketAddr,
    /// The addresses of some other instances, which may be down.
    pub seeds: Box<[SocketAddr]>,
    /// Where the store is that holds the configuration and the list of servers.
    pub store: SocketAddr,
    /// How much the instance can do, in thousandths of a core.
    pub capacity: u32,
    /// The retries of all instances together for each service.
    pub budget: SharedBudget,
    /// How long the process may go on after it was told to stop.
    pub grace: Duration,
    /// The log filter.
    pub log: Box<str>,
}

/// The retries that all instances together may make for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBudget {
    /// How many retries each request allows.
    pub ratio: f64,
    /// How many more there may be in a window.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl SharedBudget {
    /// Returns the budget of one of `instances`.
    pub fn share(&self, instances: usize) -> RetryBudgetConfig {
        let extra = self.extra * BUDGET_SHARE / instances.max(1) as f64;
        RetryBudgetConfig {
            share: self.ratio * BUDGET_SHARE,
            // Half of the fixed part is saved up for a burst, the other half comes evenly.
            per_second: extra / 2.0 / self.window.as_secs_f64(),
            burst: (extra / 2.0).max(1.0),
        }
    }
}

impl GatewaySettings {
    /// Reads settings from the text of a JSON file, or returns all findings with their places.
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
    let budget = object.required("retries").and_then(|field| read_budget(&field));
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
        budget: budget?,
        grace: Duration::from_secs_f64(grace?),
        log: log?.into(),
    })
}

fn read_budget(cursor: &Cursor) -> Option<SharedBudget> {
    let object = cursor.object()?;
    let ratio = object.required("ratio").and_then(|field| field.number(RETRY_SHARES));
    let extra = object.required("extra").and_then(|field| field.number(RETRY_COUNTS));
    let window = object.required("window_s").and_then(|field| field.number(SECONDS));
    object.finish();
    let (ratio, extra, window) = (ratio?, extra?, window?);
    Some(SharedBudget { ratio, extra, window: Duration::from_secs_f64(window) })
}
