//! The report of one run, which is printed as JSON or as a table.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::catalogue::Catalogue;
use crate::deployment::{Deployment, ITL_SHARE, ITL_TARGET, TTFT_TARGET};
use crate::limit::Limit;
use crate::scenario::{Scenario, WARM_UP, WINDOW};
use crate::state::Request;
use crate::stats::{Outcome, RunStats, WasteCause, histogram, record};

/// The results of one run.
///
/// Requests and latencies are those of the measurement window. Prefill tokens are those of the
/// whole run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Report {
    /// The name of the policy.
    pub policy: Box<str>,
    /// The name of the deployment.
    pub deployment: Box<str>,
    /// The name of the scenario.
    pub scenario: Box<str>,
    /// The seed of the requests.
    pub seed: u64,
    /// The number of requests of callers that do not cancel.
    pub offered: u64,
    /// The number of requests of callers that cancel. No other count includes them.
    pub cancelling: u64,
    /// The number of requests that were answered in full.
    pub answered: u64,
    /// The number of requests that were answered within both latency targets.
    pub goodput: u64,
    /// The number of answered requests that missed the TTFT target.
    pub late_first_token: u64,
    /// The number of answered requests that met the TTFT target but missed the ITL target.
    pub late_between_tokens: u64,
    /// The number of offered requests that were not answered within both targets, by the second of
    /// the window in which they arrived.
    pub missed_by_second: Vec<u32>,
    /// The number of requests whose deadline passed.
    pub deadline_passed: u64,
    /// The number of refused requests, by reason.
    pub refused: BTreeMap<Box<str>, u64>,
    /// The goodput as a fraction of the offered requests.
    pub share_of_offered: f64,
    /// The maximum goodput that any policy can reach.
    pub limit: Limit,
    /// The goodput as a fraction of the feasible limit.
    pub share_of_limit: f64,
    /// The number of prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// The number of prompt tokens that engines found in their prefix caches.
    pub cached_tokens: u64,
    /// The computed prompt tokens whose result was discarded.
    pub waste: Waste,
    /// The time to first token (TTFT).
    pub ttft: Latency,
    /// The breakdown of the TTFT into stages.
    pub stages: StageTimes,
    /// The time between tokens (ITL).
    pub itl: Latency,
    /// Jain's fairness index over the fraction of its fair share that each workspace received.
    pub fairness: f64,
    /// The refusals that were not truthful.
    pub untrue_refusals: Vec<Box<str>>,
    /// The other violations of the rules for policies.
    pub violations: Vec<Box<str>>,
}

/// The computed prompt tokens whose result was discarded, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Waste {
    /// The tokens for which no decode slot was free before the hold expired.
    pub no_decode_slot: u64,
    /// The tokens whose hold expired for another reason.
    pub hold_expired: u64,
    /// The tokens of requests that were cancelled before the first token.
    pub cancelled: u64,
    /// The tokens that were lost with an engine or behind a network partition.
    pub engine_lost: u64,
    /// The tokens that the policy gave up unnecessarily, before their hold expired.
    pub given_up: u64,
}

/// The distribution of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The mean time in each stage up to the first token, in milliseconds, over requests without a
/// failed stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct StageTimes {
    /// From acceptance to the command to prefill.
    pub waiting: f64,
    /// From the command to the end of the prefill.
    pub reading: f64,
    /// From the end of the prefill to the end of the import.
    pub transfer: f64,
    /// From the end of the import to the first token.
    pub first_step: f64,
}

impl Report {
    pub(crate) fn new(
        policy: &str,
        deployment: &Deployment,
        scenario: Scenario,
        seed: u64,
        requests: &[Request],
        stats: &RunStats,
    ) -> Self {
        let limit = compute_limit(deployment, scenario, seed, requests);
        let ttft = ttft_histogram(requests);
        let mut report = Self {
            policy: policy.into(),
            deployment: deployment.name.clone(),
            scenario: scenario.to_string().into(),
            seed,
            offered: 0,
            cancelling: 0,
            answered: 0,
            goodput: 0,
            late_first_token: 0,
            late_between_tokens: 0,
            missed_by_second: vec![0; WINDOW.as_secs() as usize],
            deadline_passed: 0,
            refused: BTreeMap::new(),
            share_of_offered: 0.0,
            limit,
            share_of_limit: 0.0,
            computed_tokens: stats.computed_tokens,
            cached_tokens: stats.cached_tokens,
            waste: Waste::new(stats),
            ttft: Latency::new(&ttft),
            stages: StageTimes::new(requests),
            itl: Latency::new(&stats.itl),
            fairness: fairness(requests, limit.engine_limit()),
            untrue_refusals: Vec::new(),
            violations: Vec::new(),
        };
        for request in requests {
            if request.arrival.is_counted {
                report.count_request(request);
            }
        }
        report.share_of_offered = ratio(report.goodput, report.offered);
        report.share_of_limit = report.goodput as f64 / limit.feasible;
        for violation in &stats.violations {
            let text = violation.to_string().into();
            if violation.is_untrue_refusal() {
                report.untrue_refusals.push(text);
            } else {
                report.violations.push(text);
            }
        }
        report
    }

    fn count_request(&mut self, request: &Request) {
        if request.arrival.cancel_after.is_some() {
            self.cancelling += 1;
            return;
        }
        self.offered += 1;
        match request.outcome {
            None => {}
            Some(Outcome::Answered) => self.answered += 1,
            // Only the callers that are skipped above cancel.
            Some(Outcome::Cancelled) => {}
            Some(Outcome::DeadlinePassed) => self.deadline_passed += 1,
            Some(Outcome::Refused(reason)) => {
                *self.refused.entry(reason.to_string().into()).or_default() += 1;
            }
        }
        if meets_both_targets(request) {
            self.goodput += 1;
            return;
        }
        let second = request.arrival.at.saturating_sub(WARM_UP).as_secs() as usize;
        self.missed_by_second[second] += 1;
        if request.outcome != Some(Outcome::Answered) {
            return;
        }
        if meets_ttft_target(request) {
            self.late_between_tokens += 1;
        } else {
            self.late_first_token += 1;
        }
    }

    /// Returns the number of requests that were refused.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

impl Waste {
    fn new(stats: &RunStats) -> Self {
        let tokens = |cause| stats.wasted_tokens.get(&cause).copied().unwrap_or(0);
        Self {
            no_decode_slot: tokens(WasteCause::NoDecodeSlot),
            hold_expired: tokens(WasteCause::HoldExpired),
            cancelled: tokens(WasteCause::Cancelled),
            engine_lost: tokens(WasteCause::EngineLost),
            given_up: tokens(WasteCause::GivenUp),
        }
    }

    /// Returns the number of tokens that were wasted for any cause.
    pub fn total(&self) -> u64 {
        self.avoidable() + self.cancelled + self.engine_lost
    }

    /// Returns the number of tokens that were wasted although no caller cancelled and no engine was
    /// lost.
    pub fn avoidable(&self) -> u64 {
        self.no_decode_slot + self.hold_expired + self.given_up
    }
}

impl StageTimes {
    fn new(requests: &[Request]) -> Self {
        let mut sums = Self::default();
        let mut count = 0.0;
        for request in requests {
            let Some(ttft) = request.ttft else { continue };
            if !request.arrival.is_counted || request.failures > 0 {
                continue;
            }
            count += 1.0;
            sums.waiting += millis(request.prefill_ordered_at - request.accepted_at);
            sums.reading += millis(request.prefilled_at - request.prefill_ordered_at);
            sums.transfer += millis(request.imported_at - request.prefilled_at);
            sums.first_step += millis(request.accepted_at + ttft - request.imported_at);
        }
        if count == 0.0 {
            return sums;
        }
        Self {
            waiting: sums.waiting / count,
            reading: sums.reading / count,
            transfer: sums.transfer / count,
            first_step: sums.first_step / count,
        }
    }
}

impl Latency {
    fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

fn ttft_histogram(requests: &[Request]) -> Histogram<u64> {
    let mut ttft = histogram();
    for request in requests {
        let Some(time) = request.ttft else { continue };
        if request.arrival.is_counted {
            record(&mut ttft, time);
        }
    }
    ttft
}

/// Returns true if a request was answered within both latency targets.
fn meets_both_targets(request: &Request) -> bool {
    if request.outcome != Some(Outcome::Answered) || !meets_ttft_target(request) {
        return false;
    }
    meets_itl_target(request)
}

/// Returns true if the mean gap between the tokens of a request meets the ITL target, and so does a
/// fraction of at least [`ITL_SHARE`] of the gaps.
fn meets_itl_target(request: &Request) -> bool {
    let gaps = request.tokens.saturating_sub(1);
    if f64::from(request.late_gaps) > f64::from(gaps) * (1.0 - ITL_SHARE) {
        return false;
    }
    request.total_gap_time <= ITL_TARGET * gaps
}

/// Returns true if a request met the TTFT target.
fn meets_ttft_target(request: &Request) -> bool {
    request.ttft.is_some_and(|ttft| ttft <= TTFT_TARGET)
}

fn compute_limit(
    deployment: &Deployment,
    scenario: Scenario,
    seed: u64,
    requests: &[Request],
) -> Limit {
    let mut arrivals = Vec::new();
    for request in requests {
        arrivals.push(&request.arrival);
    }
    let catalogue =
        Catalogue::new(&deployment.workload, crate::arrival::RngStream::Catalogue.seed(seed));
    Limit::new(deployment, scenario, &catalogue, &arrivals)
}

/// Returns Jain's fairness index over the fraction of its fair share that each workspace received.
///
/// `service` is the number of requests that the engines can answer. Fair shares are max-min fair.
fn fairness(requests: &[Request], service: f64) -> f64 {
    let mut offered: BTreeMap<u32, f64> = BTreeMap::new();
    let mut served: BTreeMap<u32, f64> = BTreeMap::new();
    for request in requests {
        let arrival = &request.arrival;
        if !arrival.is_counted || arrival.cancel_after.is_some() {
            continue;
        }
        *offered.entry(arrival.workspace).or_default() += 1.0;
        *served.entry(arrival.workspace).or_default() +=
            f64::from(u8::from(meets_both_targets(request)));
    }
    let shares = fair_shares(&offered, service);
    let mut sum = 0.0;
    let mut squares = 0.0;
    for (workspace, fair_share) in &shares {
        let ratio = (served[workspace] / fair_share).min(1.0);
        sum += ratio;
        squares += ratio * ratio;
    }
    if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
}

/// Divides the service by max-min fairness: shares are equal, except that no workspace gets more
/// than its demand, and the others divide the rest.
fn fair_shares(offered: &BTreeMap<u32, f64>, service: f64) -> BTreeMap<u32, f64> {
    let mut by_demand: Vec<(f64, u32)> = Vec::new();
    for (workspace, demand) in offered {
        by_demand.push((*demand, *workspace));
    }
    by_demand.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut shares = BTreeMap::new();
    let mut remaining_service = service;
    let mut remaining_workspaces = by_demand.len();
    for (demand, workspace) in by_demand {
        let fair_share = demand.min(remaining_service / remaining_workspaces as f64);
        shares.insert(workspace, fair_share);
        remaining_service -= fair_share;
        remaining_workspaces -= 1;
    }
    shares
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::fair_shares;

    #[test]
    fn the_unused_share_of_a_workspace_goes_to_the_others() {
        let offered = BTreeMap::from([(0, 100.0), (1, 10.0), (2, 50.0)]);
        let shares = fair_shares(&offered, 90.0);
        assert_eq!(shares, BTreeMap::from([(0, 40.0), (1, 10.0), (2, 40.0)]));
    }
}
