//! Counters, gauges and latency histograms in the Prometheus format.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliaspar_core::WorkspaceName;
use magnoliaspar_http::{MemoryKind, MemoryUsage};
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::refusal::Refusal;
use crate::shutdown::DropCause;

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 3.0, 6.0, 15.0];

/// Maximum number of workspaces with series of their own.
const MAX_NAMED_WORKSPACES: usize = 64;

/// Label of all further workspaces.
const OTHER_WORKSPACES: &str = "other";

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    calls: IntCounterVec,
    latency: HistogramVec,
    feeds: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    workspace_requests: IntCounterVec,
    workspace_tokens: IntCounterVec,
    /// The names of workspaces that have series of their own.
    workspaces: RefCell<BTreeSet<WorkspaceName>>,
    /// Version of the current configuration.
    pub configuration_version: IntGauge,
    /// Newest configuration version that this instance or a peer has.
    pub newest_version: IntGauge,
    /// Time for which a peer has had a newer configuration, in milliseconds.
    pub outdated_ms: IntGauge,
    /// Time since the configuration is known to have been the newest one, in milliseconds; -1 if it is not known.
    pub proof_age_ms: IntGauge,
    /// Whether the store holds a configuration that cannot be read: 1 or 0.
    pub configuration_unreadable: IntGauge,
    /// Number of known servers.
    pub servers: IntGauge,
    /// Epoch of the store in which the list of servers was read last.
    pub store_epoch: IntGauge,
    /// Number of servers that name a limit.
    pub limited_servers: IntGauge,
    limited_calls: IntCounterVec,
    unannounced_ends: IntCounterVec,
    loans: IntCounterVec,
    dropped_requests: IntCounterVec,
    /// Panics in the process, which its panic hook counts.
    pub panics: IntCounter,
    /// Streams that resumed at another engine.
    pub resumptions: IntCounter,
    /// Retries that the budget did not allow.
    pub budget_exhausted: IntCounter,
    /// Connections opened to servers.
    pub connections: IntCounter,
    /// Messages sent to other instances.
    pub peer_messages: IntCounter,
    /// Bytes of these messages.
    pub peer_bytes: IntCounter,
    /// Bytes held for responses.
    pub response_bytes: IntGauge,
    /// Responses that were given up as the memory for responses was used up.
    pub responses_given_up: IntCounter,
    /// Plain services whose calls are shared out by the load that all instances observe.
    pub shared_services: IntGauge,
    /// Open connections of callers.
    pub open_connections: IntGauge,
    memory_bytes: IntGaugeVec,
    memory_room_bytes: IntGaugeVec,
    memory_refused: IntGaugeVec,
    memory_evicted: IntGaugeVec,
    /// Completions queued here for engine memory.
    pub queued: IntGauge,
    /// Retries left in the budget, by service.
    pub budget_left: GaugeVec,
    log_lines_dropped: IntGaugeVec,
    resident_bytes: IntGauge,
    dropped_lines: RefCell<Option<DroppedLines>>,
}

/// Returns the numbers of dropped log lines about successes and about failures.
pub type DroppedLines = Box<dyn Fn() -> (u64, u64)>;

impl Metrics {
    /// Registers all metrics, with zero values.
    pub fn new() -> Self {
        let registry = Registry::new();
        let vec = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(name, help).namespace("magnoliaspar");
            let counters = IntCounterVec::new(opts, labels).expect("the names are valid");
            registry.register(Box::new(counters.clone())).expect("the name is used once");
            counters
        };
        let counter = |name: &str, help: &str| {
            let opts = Opts::new(name, help).namespace("magnoliaspar");
            let counter = IntCounter::with_opts(opts).expect("the name is valid");
            registry.register(Box::new(counter.clone())).expect("the name is used once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let opts = Opts::new(name, help).namespace("magnoliaspar");
            let gauge = IntGauge::with_opts(opts).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("the name is used once");
            gauge
        };
        let opts = HistogramOpts::new("latency_seconds", "Time since the request by stage.")
            .namespace("magnoliaspar")
            .buckets(BUCKETS.to_vec());
        let latency = HistogramVec::new(opts, &["kind", "stage"]).expect("the names are valid");
        registry.register(Box::new(latency.clone())).expect("the name is used once");
        let gauges = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(name, help).namespace("magnoliaspar");
            let gauges = IntGaugeVec::new(opts, &[label]).expect("the names are valid");
            registry.register(Box::new(gauges.clone())).expect("the name is used once");
            gauges
        };
        let opts = Opts::new("gateway_budget_left", "Retries that the budget still allows.");
        let budget_left = GaugeVec::new(opts.namespace("magnoliaspar"), &["service"])
            .expect("the names are valid");
        registry.register(Box::new(budget_left.clone())).expect("the name is used once");
        Self {
            requests: vec(
                "gateway_requests_total",
                "Requests by kind and outcome.",
                &["kind", "outcome"],
            ),
            refusals: vec(
                "gateway_refusals_total",
                "Answers of the gateway's own by reason.",
                &["reason"],
            ),
            calls: vec("gateway_calls_total", "Calls to servers by result.", &["result"]),
            workspace_requests: vec(
                "gateway_workspace_requests_total",
                "Requests by workspace and outcome.",
                &["workspace", "outcome"],
            ),
            workspace_tokens: vec(
                "gateway_workspace_tokens_total",
                "What instances have charged to the limits of workspaces, here or as told by others.",
                &["workspace"],
            ),
            workspaces: RefCell::default(),
            feeds: vec(
                "gateway_feed_calls_total",
                "Calls to the store by feed and result.",
                &["feed", "result"],
            ),
            in_flight: gauge("gateway_in_flight", "Requests that wait for their answer."),
            configuration_version: gauge("gateway_configuration_version", "The version in force."),
            newest_version: gauge(
                "gateway_configuration_newest_version",
                "The newest version that this instance or a peer has.",
            ),
            outdated_ms: gauge(
                "gateway_configuration_outdated_ms",
                "Time for which a peer has had a newer version.",
            ),
            proof_age_ms: gauge(
                "gateway_configuration_proof_age_ms",
                "Time since the configuration is known to have been the newest one; -1 if it is not known.",
            ),
            configuration_unreadable: gauge(
                "gateway_configuration_unreadable",
                "1 while the store holds a configuration that cannot be read.",
            ),
            servers: gauge("gateway_servers", "Known backend servers."),
            store_epoch: gauge("gateway_store_epoch", "Epoch of the store by its list of servers."),
            limited_servers: gauge("gateway_limited_servers", "Servers that name a limit."),
            limited_calls: vec(
                "gateway_limited_calls_total",
                "Requests sent to servers that name a limit, by server.",
                &["server"],
            ),
            unannounced_ends: vec(
                "gateway_unannounced_ends_total",
                "Answers that only the end of their connection ended, by whether their server lived on.",
                &["server_lived"],
            ),
            loans: vec(
                "gateway_retries_requested_total",
                "Retries requested of the coordinator, by whether it has lent them.",
                &["lent"],
            ),
            dropped_requests: vec(
                "gateway_requests_dropped_total",
                "Requests that ended before their answer did, by what was missing of it and by cause.",
                &["stage", "cause"],
            ),
            panics: counter("gateway_panics_total", "Panics in the process."),
            resumptions: counter("gateway_resumptions_total", "Streams that went on elsewhere."),
            budget_exhausted: counter("gateway_budget_exhausted_total", "Retries without budget."),
            connections: counter("gateway_connections_total", "Connections opened to servers."),
            peer_messages: counter("gateway_peer_messages_total", "Messages sent to instances."),
            peer_bytes: counter("gateway_peer_bytes_total", "Bytes of messages to instances."),
            response_bytes: gauge("gateway_response_bytes", "Bytes held for responses."),
            responses_given_up: counter(
                "gateway_responses_given_up_total",
                "Responses given up for lack of memory.",
            ),
            shared_services: gauge(
                "gateway_shared_services",
                "Plain services whose calls are shared out by the load that all instances observe.",
            ),
            open_connections: gauge("gateway_open_connections", "Open connections of callers."),
            memory_bytes: gauges("gateway_memory_bytes", "Memory held by kind.", "kind"),
            memory_room_bytes: gauges(
                "gateway_memory_limit_bytes",
                "Memory that a kind may hold now.",
                "kind",
            ),
            memory_refused: gauges(
                "gateway_memory_refused",
                "Refusals for lack of memory by kind since the start.",
                "kind",
            ),
            memory_evicted: gauges(
                "gateway_memory_evicted",
                "Callers and responses evicted for memory by kind since the start.",
                "kind",
            ),
            queued: gauge("gateway_queued", "Completions that wait here for engine memory."),
            budget_left,
            log_lines_dropped: gauges("gateway_log_lines_dropped", "Dropped log lines.", "kind"),
            resident_bytes: gauge("gateway_resident_bytes", "Memory of the process."),
            dropped_lines: RefCell::default(),
            latency,
            registry,
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, kind: &str, outcome: &str) {
        self.requests.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts a finished request of a workspace.
    pub fn count_workspace_request(&self, workspace: &WorkspaceName, outcome: &str) {
        self.workspace_requests.with_label_values(&[self.series_of(workspace), outcome]).inc();
    }

    /// Counts what is charged to the limit of a workspace.
    pub fn count_workspace_tokens(&self, workspace: &WorkspaceName, tokens: u64) {
        self.workspace_tokens.with_label_values(&[self.series_of(workspace)]).inc_by(tokens);
    }

    /// Returns the label of a workspace: its name, or that of all beyond the first ones.
    fn series_of<'a>(&self, workspace: &'a WorkspaceName) -> &'a str {
        let mut named = self.workspaces.borrow_mut();
        if named.len() < MAX_NAMED_WORKSPACES && !named.contains(workspace) {
            named.insert(workspace.clone());
        }
        if named.contains(workspace) { workspace.as_str() } else { OTHER_WORKSPACES }
    }

    /// Counts a refusal by the gateway.
    pub fn count_refusal(&self, refusal: Refusal) {
        self.refusals.with_label_values(&[refusal.to_string().as_str()]).inc();
    }

    /// Counts a call to a server.
    pub fn count_call(&self, result: &str) {
        self.calls.with_label_values(&[result]).inc();
    }

    /// Counts a request that was sent to a server that names a limit.
    pub fn count_limited_call(&self, server: &str) {
        self.limited_calls.with_label_values(&[server]).inc();
    }

    /// Counts an answer that only the end of its connection ended, by whether its server outlived it.
    pub fn count_unannounced_end(&self, is_alive: bool) {
        self.unannounced_ends.with_label_values(&[if is_alive { "yes" } else { "no" }]).inc();
    }

    /// Counts a retry that was requested of the coordinator.
    pub fn count_loan(&self, is_lent: bool) {
        self.loans.with_label_values(&[if is_lent { "yes" } else { "no" }]).inc();
    }

    /// Counts a request that was dropped in a stage: before the `head` of its answer went out, or within the `body`.
    pub fn count_dropped(&self, stage: &str, cause: DropCause) {
        self.dropped_requests.with_label_values(&[stage, cause.as_str()]).inc();
    }

    /// Removes the counter of a server that is gone.
    pub fn forget_server(&self, server: &str) {
        // Fails if the server never named a limit.
        let _ = self.limited_calls.remove_label_values(&[server]);
    }

    /// Sets the number of retries left in the budget of a service.
    pub fn set_budget_left(&self, service: &str, left: f64) {
        self.budget_left.with_label_values(&[service]).set(left);
    }

    /// Sets what is known of a kind of memory, and what it may hold.
    pub fn set_memory(&self, kind: MemoryKind, usage: MemoryUsage, room: usize) {
        let labels = [kind.as_str()];
        self.memory_bytes.with_label_values(&labels).set(usage.held as i64);
        self.memory_room_bytes.with_label_values(&labels).set(room as i64);
        self.memory_refused.with_label_values(&labels).set(usage.refused as i64);
        self.memory_evicted.with_label_values(&labels).set(usage.evicted as i64);
    }

    /// Counts a call to the store.
    pub fn count_feed(&self, feed: &str, result: &str) {
        self.feeds.with_label_values(&[feed, result]).inc();
    }

    /// Records the latency of a stage of a request.
    pub fn observe(&self, kind: &str, stage: &str, latency: Duration) {
        self.stage(kind, stage).observe(latency.as_secs_f64());
    }

    fn stage(&self, kind: &str, stage: &str) -> Histogram {
        self.latency.with_label_values(&[kind, stage])
    }

    /// Sets the source of the numbers of dropped log lines.
    pub fn set_dropped_lines(&self, count: DroppedLines) {
        self.dropped_lines.replace(Some(count));
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> Vec<u8> {
        if let Some(count) = &*self.dropped_lines.borrow() {
            let (routine, failures) = count();
            self.log_lines_dropped.with_label_values(&["routine"]).set(routine as i64);
            self.log_lines_dropped.with_label_values(&["failure"]).set(failures as i64);
        }
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.set(bytes);
        }
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .expect("metrics are written to memory");
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the resident memory of the process in bytes, if the system reports it.
fn resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: i64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
