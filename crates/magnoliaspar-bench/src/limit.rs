use serde::Serialize;

use crate::arrival::Arrival;
use crate::catalogue::Catalogue;
use crate::deployment::{Deployment, TTFT_TARGET};
use crate::scenario::{Fault, Scenario, WINDOW};

/// The load that a deployment is built for, relative to what its engines can do at best.
///
/// At the peak a decode engine's memory is nearly full, but not quite: arrivals are random.
pub const CAPACITY_SHARE: f64 = 0.9;

/// The most requests of a scenario that any policy can answer within both latency targets.
///
/// The arithmetic takes the mean request. A policy that could tell short answers from long ones
/// in advance would do better.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Limit {
    /// The requests that are offered and not cancelled.
    pub offered: f64,
    /// The requests that the prefill engines can read, with the most popular documents cached.
    pub prefill: f64,
    /// The requests for which there are decode slots.
    pub decode: f64,
    /// The requests whose KV cache the links can carry.
    pub link: f64,
}

impl Limit {
    /// Computes the limit of a scenario.
    pub fn new(
        deployment: &Deployment,
        scenario: Scenario,
        catalogue: &Catalogue,
        arrivals: &[&Arrival],
    ) -> Self {
        let mut offered = 0.0;
        for arrival in arrivals {
            if arrival.is_counted && arrival.cancel_after.is_none() {
                offered += 1.0;
            }
        }
        let (prefill_seconds, decode_seconds) = engine_seconds(deployment, scenario);
        let rates = Rates::new(deployment, catalogue, scenario.shape().hot_share);
        Self {
            offered,
            prefill: prefill_seconds * rates.prefill,
            decode: decode_seconds * rates.decode,
            link: prefill_seconds * rates.export,
        }
    }

    /// Returns the smallest of the limits.
    pub fn feasible(&self) -> f64 {
        self.offered.min(self.prefill).min(self.decode).min(self.link)
    }

    /// Returns the smallest of the limits that come from the engines.
    pub fn service(&self) -> f64 {
        self.prefill.min(self.decode).min(self.link)
    }
}

/// Returns the requests a second that a deployment is built for.
pub fn capacity(deployment: &Deployment, catalogue: &Catalogue) -> f64 {
    let rates = Rates::new(deployment, catalogue, 0.0);
    let prefill = rates.prefill * f64::from(deployment.prefill_engines);
    let decode = rates.decode * f64::from(deployment.decode_engines);
    let export = rates.export * f64::from(deployment.prefill_engines);
    CAPACITY_SHARE * prefill.min(decode).min(export)
}

/// The requests a second that one engine can carry.
struct Rates {
    prefill: f64,
    decode: f64,
    export: f64,
}

impl Rates {
    fn new(deployment: &Deployment, catalogue: &Catalogue, hot_share: f64) -> Self {
        let engine = &deployment.engine;
        let workload = &deployment.workload;
        let question = f64::from(workload.min_question_tokens + workload.max_question_tokens) / 2.0;
        let usual = 1.0 - hot_share;
        let hot = hot_share * catalogue.documents[0].tokens();
        let prompt = usual * catalogue.mean_tokens() + hot + question;
        let cache_blocks = engine.cache_blocks() * deployment.prefill_engines;
        let uncached = usual * catalogue.mean_uncached_tokens(cache_blocks) + question;
        let prefill_seconds =
            engine.prefill_overhead.as_secs_f64() + uncached / engine.prefill_tokens_per_second;
        let transfer_seconds = prompt / engine.link_tokens_per_second;
        let pieces =
            (prompt + f64::from(workload.max_output_tokens)) / f64::from(engine.piece_tokens);
        let batch = f64::from(engine.decode_slots).min(f64::from(engine.memory_pieces) / pieces);
        let answer_seconds = workload.mean_output_tokens() * deployment.full_step().as_secs_f64();
        Self {
            prefill: 1.0 / prefill_seconds,
            decode: batch / (transfer_seconds + answer_seconds),
            export: 1.0 / transfer_seconds,
        }
    }
}

/// Returns the seconds in which the prefill and the decode engines can start requests that meet
/// their target.
fn engine_seconds(deployment: &Deployment, scenario: Scenario) -> (f64, f64) {
    let window = (WINDOW + TTFT_TARGET).as_secs_f64();
    let mut prefill = f64::from(deployment.prefill_engines) * window;
    let mut decode = f64::from(deployment.decode_engines) * window;
    match scenario.shape().fault {
        None => {}
        Some(Fault::DecodeLost { at, back_at }) => decode -= (back_at - at).as_secs_f64(),
        Some(Fault::ZoneCut { at, back_at }) => {
            let last = &deployment.zones[deployment.zones.len() - 1];
            for spec in deployment.servers() {
                if spec.zone != *last {
                    continue;
                }
                match spec.role {
                    magnoliaspar_policy::Role::Prefill => prefill -= (back_at - at).as_secs_f64(),
                    magnoliaspar_policy::Role::Decode => decode -= (back_at - at).as_secs_f64(),
                }
            }
        }
    }
    (prefill, decode)
}
