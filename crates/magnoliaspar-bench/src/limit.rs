//! Upper limits on the goodput that the engines of a deployment allow.

use std::time::Duration;

use magnoliaspar_policy::Role;
use serde::Serialize;

use crate::arrival::Arrival;
use crate::catalogue::Catalogue;
use crate::deployment::{Deployment, TTFT_TARGET};
use crate::scenario::{Fault, Scenario, Shape, WARM_UP, WINDOW};

/// The capacity of a deployment as a fraction of the maximum throughput of its engines.
///
/// Arrivals are random, so at peak load the memory of the decode engines must have some headroom.
const CAPACITY_SHARE: f64 = 0.9;

/// The maximum number of requests of a scenario that a policy can answer within both latency
/// targets.
///
/// The limits are computed from the mean request, with the mean length of the drawn answers. A
/// policy that knew in advance which answers are short could exceed them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Limit {
    /// The number of offered requests that are not cancelled.
    pub offered: f64,
    /// The number of requests that the prefill engines can prefill, with the most popular documents
    /// cached.
    pub prefill: f64,
    /// The number of requests that the decode engines can answer.
    pub decode: f64,
    /// The number of requests whose KV cache the links can transfer.
    pub link: f64,
    /// The minimum of these, summed over the phases before, during and after a fault.
    pub feasible: f64,
}

impl Limit {
    /// Computes the limit of a scenario.
    pub(crate) fn new(
        deployment: &Deployment,
        scenario: Scenario,
        catalogue: &Catalogue,
        arrivals: &[&Arrival],
    ) -> Self {
        let shape = scenario.shape();
        let mut limit = Self::default();
        for phase in phases(deployment, &shape) {
            let (hot_share, engines) = (shape.hot_share, phase.prefill_engines);
            let mut request = MeanRequest::new(deployment, catalogue, hot_share, engines);
            request.output = mean_output_tokens(arrivals);
            let rates = Rates::new(deployment, &request);
            limit.add_phase(&phase, &rates, deployment, shape.load, arrivals);
        }
        limit
    }

    /// Returns the minimum of the limits that the engines and links set.
    pub(crate) fn engine_limit(&self) -> f64 {
        self.prefill.min(self.decode).min(self.link)
    }

    /// Adds the limits of one phase.
    fn add_phase(
        &mut self,
        phase: &Phase,
        rates: &Rates,
        deployment: &Deployment,
        load: f64,
        arrivals: &[&Arrival],
    ) {
        let mut offered = 0.0;
        for arrival in arrivals {
            let at = arrival.at.saturating_sub(WARM_UP);
            let is_in_phase = arrival.is_counted && phase.from <= at && at < phase.to;
            if is_in_phase && arrival.cancel_after.is_none() {
                offered += 1.0;
            }
        }
        // A request that arrives at the end of a phase may start as late as the TTFT target allows.
        let seconds = (phase.to - phase.from + TTFT_TARGET).as_secs_f64();
        let slots = phase.decode_engines * f64::from(deployment.engine.decode_slots);
        let idle_slots = slots * (1.0 - CAPACITY_SHARE * load).max(0.0);
        let prefill = rates.prefill * phase.prefill_engines * seconds;
        let decode = rates.decode * phase.decode_engines * seconds + idle_slots;
        let link = rates.export * phase.prefill_engines * seconds;
        self.offered += offered;
        self.prefill += prefill;
        self.decode += decode;
        self.link += link;
        self.feasible += offered.min(prefill).min(decode).min(link);
    }
}

/// A part of the measurement window in which the set of working engines is constant.
struct Phase {
    from: Duration,
    to: Duration,
    prefill_engines: f64,
    decode_engines: f64,
}

/// Returns the phases before, during and after the fault of a scenario.
fn phases(deployment: &Deployment, shape: &Shape) -> Vec<Phase> {
    let fault_free = |from, to| Phase {
        from,
        to,
        prefill_engines: f64::from(deployment.prefill_engines),
        decode_engines: f64::from(deployment.decode_engines),
    };
    let (at, back_at) = match shape.fault {
        None => return vec![fault_free(Duration::ZERO, WINDOW)],
        Some(Fault::DecodeLost { at, back_at } | Fault::ZoneCut { at, back_at }) => (at, back_at),
    };
    let mut during = fault_free(at, back_at);
    match shape.fault {
        Some(Fault::ZoneCut { .. }) => remove_last_zone(deployment, &mut during),
        _ => during.decode_engines -= 1.0,
    }
    vec![fault_free(Duration::ZERO, at), during, fault_free(back_at, WINDOW)]
}

/// Subtracts the engines of the last availability zone, which a zone cut makes unreachable.
fn remove_last_zone(deployment: &Deployment, phase: &mut Phase) {
    let last = &deployment.zones[deployment.zones.len() - 1];
    for spec in deployment.servers() {
        if spec.zone != *last {
            continue;
        }
        match spec.role {
            Role::Prefill => phase.prefill_engines -= 1.0,
            Role::Decode => phase.decode_engines -= 1.0,
        }
    }
}

/// Returns the capacity of a deployment in requests per second.
pub(crate) fn capacity(deployment: &Deployment, catalogue: &Catalogue) -> f64 {
    let prefill_engines = f64::from(deployment.prefill_engines);
    let request = MeanRequest::new(deployment, catalogue, 0.0, prefill_engines);
    let rates = Rates::new(deployment, &request);
    let prefill = rates.prefill * prefill_engines;
    let decode = rates.decode * f64::from(deployment.decode_engines);
    let export = rates.export * prefill_engines;
    CAPACITY_SHARE * prefill.min(decode).min(export)
}

/// The lengths of the mean request in tokens.
struct MeanRequest {
    prompt: f64,
    uncached: f64,
    output: f64,
}

impl MeanRequest {
    fn new(
        deployment: &Deployment,
        catalogue: &Catalogue,
        hot_share: f64,
        prefill_engines: f64,
    ) -> Self {
        let workload = &deployment.workload;
        let question = f64::from(workload.min_question_tokens + workload.max_question_tokens) / 2.0;
        let catalogue_share = 1.0 - hot_share;
        let hot = hot_share * catalogue.hot.tokens();
        let cache_blocks = f64::from(deployment.engine.cache_blocks()) * prefill_engines;
        Self {
            prompt: catalogue_share * catalogue.mean_document_tokens() + hot + question,
            uncached: catalogue_share
                * catalogue.mean_uncached_document_tokens(cache_blocks as u32)
                + question,
            output: workload.mean_output_tokens(),
        }
    }
}

/// The throughput of one engine in requests per second.
struct Rates {
    prefill: f64,
    decode: f64,
    export: f64,
}

impl Rates {
    fn new(deployment: &Deployment, request: &MeanRequest) -> Self {
        let engine = &deployment.engine;
        let prefill_seconds = engine.prefill_overhead.as_secs_f64()
            + request.uncached / engine.prefill_tokens_per_second;
        let transfer_seconds = request.prompt / engine.link_tokens_per_second;
        let max_context_tokens = request.prompt + f64::from(deployment.workload.max_output_tokens);
        let pieces = max_context_tokens / f64::from(engine.piece_tokens);
        let max_batch =
            f64::from(engine.decode_slots).min(f64::from(engine.memory_pieces) / pieces);
        let answer_seconds = request.output * deployment.full_batch_step_time().as_secs_f64();
        Self {
            prefill: 1.0 / prefill_seconds,
            decode: max_batch / (transfer_seconds + answer_seconds),
            export: 1.0 / transfer_seconds,
        }
    }
}

/// Returns the mean answer length in tokens of the requests in the measurement window.
fn mean_output_tokens(arrivals: &[&Arrival]) -> f64 {
    let mut tokens = 0.0;
    let mut answers = 0.0;
    for arrival in arrivals {
        if arrival.is_counted {
            tokens += f64::from(arrival.output_tokens);
            answers += 1.0;
        }
    }
    tokens / answers
}
