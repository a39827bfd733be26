//! Metrics in the Prometheus format.

use magnoliaspar_core::{Outcome, Refusal};
use prometheus::{Encoder, IntCounter, IntCounterVec, Opts, Registry, TextEncoder};

/// The metrics of one instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Completions that were accepted.
    pub requests: IntCounter,
    /// Complete answers that were delivered.
    pub answers: IntCounter,
    /// Tokens that were relayed.
    pub tokens: IntCounter,
    /// Pieces of engine memory that were freed from orphaned streams.
    pub reaped_pieces: IntCounter,
    gossip_bytes: IntCounterVec,
    refusals: IntCounterVec,
    auth_failures: IntCounterVec,
}

impl Metrics {
    /// Creates metrics with all counters at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counter(&registry, "requests_total", "Completions that were accepted."),
            answers: counter(&registry, "answers_total", "Complete answers delivered."),
            tokens: counter(&registry, "tokens_total", "Tokens relayed to callers."),
            reaped_pieces: counter(
                &registry,
                "reaped_pieces_total",
                "Pieces of engine memory freed for requests that are gone.",
            ),
            gossip_bytes: counters(
                &registry,
                "gossip_sent_bytes_total",
                "Bytes of gossip handed to links by kind, without headers.",
                &["kind"],
            ),
            refusals: counters(
                &registry,
                "refusals_total",
                "Refusals by code and outcome.",
                &["code", "outcome"],
            ),
            auth_failures: counters(
                &registry,
                "auth_failures_total",
                "Wrong or missing keys by who showed them.",
                &["who"],
            ),
            registry,
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let code = refusal.code.to_string();
        let outcome = match refusal.outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::MayHaveRun => "may_have_run",
        };
        self.refusals.with_label_values(&[code.as_str(), outcome]).inc();
    }

    /// Counts bytes of gossip that were queued for another instance.
    pub fn count_gossip(&self, kind: &str, bytes: usize) {
        self.gossip_bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }

    /// Counts a wrong or missing key.
    pub fn count_auth_failure(&self, who: &str) {
        self.auth_failures.with_label_values(&[who]).inc();
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> Vec<u8> {
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

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(Opts::new(name, help).namespace("magnoliaspar"))
        .expect("the name is valid");
    registry.register(Box::new(counter.clone())).expect("the name is used once");
    counter
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(name, help).namespace("magnoliaspar");
    let counters = IntCounterVec::new(opts, labels).expect("the names are valid");
    registry.register(Box::new(counters.clone())).expect("the name is used once");
    counters
}
