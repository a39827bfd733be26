//! Bounds on the results of the benchmarks and the runs on which they are checked.

use displaydoc::Display;

use crate::baseline::Placement;
use crate::deployment::Deployment;
use crate::report::Report;
use crate::scenario::Scenario;
use crate::suite::{Run, SCHEDULER, comparison_runs, run_all};

/// The percentage of requests that must be within both latency targets.
const TARGET_PERCENT: u64 = 95;

/// Minimum factor by which the policy wastes fewer prefill tokens than each baseline.
const WASTE_FACTOR: u64 = 10;

/// The scenarios with a load of at most the capacity and no fault.
const WITHIN_CAPACITY: [Scenario; 4] =
    [Scenario::Calm, Scenario::Peak, Scenario::HotDocument, Scenario::Cancels];

/// The scenarios in which the policy is compared with the baselines on all seeds.
const COMPARED_SCENARIOS: [Scenario; 2] = [Scenario::Peak, Scenario::TwiceCapacity];

/// The number of seeds for which the policy is compared with the baselines.
///
/// With a single seed, a baseline may answer all requests by chance, so that no policy could be
/// better.
pub const SEEDS: u64 = 5;

/// A bound on the counts of the reports that follows from the stated targets.
///
/// The display text is the name of the test in `KNOWN-RED.txt`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Bound {
    /// targets_are_met_up_to_capacity
    TargetsMet,
    /// no_prefill_is_wasted_without_a_fault
    NoWaste,
    /// goodput_holds_at_twice_capacity
    OverloadHolds,
    /// refusals_are_truthful
    TruthfulRefusals,
    /// promises_are_kept
    Promises,
    /// weight_on_waste_wastes_no_more
    WeightOnWaste,
    /// weight_on_goodput_gives_no_less
    WeightOnGoodput,
    /// goodput_is_ahead_of_all_baselines
    AheadOfBaselines,
    /// waste_is_a_tenth_of_any_baseline
    TenthOfWaste,
}

/// The reports on which the bounds are checked.
#[derive(Debug)]
pub struct Evidence {
    /// The runs of the policy and the baselines with the own weights of each deployment.
    pub own_weights: Vec<Report>,
    /// The runs of the policy with the weights of the two deployments swapped.
    pub swapped_weights: Vec<Report>,
    /// The runs of [`COMPARED_SCENARIOS`] for each of [`SEEDS`] seeds. The last element belongs to
    /// the first seed and is a copy of `own_weights`, which has all scenarios.
    pub by_seed: Vec<Vec<Report>>,
}

impl Bound {
    /// All bounds.
    pub const ALL: [Self; 9] = [
        Self::TargetsMet,
        Self::NoWaste,
        Self::OverloadHolds,
        Self::TruthfulRefusals,
        Self::Promises,
        Self::WeightOnWaste,
        Self::WeightOnGoodput,
        Self::AheadOfBaselines,
        Self::TenthOfWaste,
    ];

    /// Returns the violations of the bound, one text per run or comparison that misses it.
    pub fn misses(self, evidence: &Evidence) -> Vec<Box<str>> {
        match self {
            Self::TargetsMet => targets_met(evidence),
            Self::NoWaste => no_waste(evidence),
            Self::OverloadHolds => overload_holds(evidence),
            Self::TruthfulRefusals => truthful_refusals(evidence),
            Self::Promises => promises(evidence),
            Self::WeightOnWaste => weight_on_waste(evidence),
            Self::WeightOnGoodput => weight_on_goodput(evidence),
            Self::AheadOfBaselines => ahead_of_baselines(evidence),
            Self::TenthOfWaste => tenth_of_waste(evidence),
        }
    }
}

impl Evidence {
    /// Executes all runs that the bounds need, on [`SEEDS`] seeds that start with `seed`.
    pub fn collect(seed: u64) -> Self {
        let mut runs = comparison_runs(&Deployment::all(), &Scenario::ALL, seed);
        let own_weight_runs = runs.len();
        runs.extend(swapped_runs(seed));
        let first_seed_runs = runs.len();
        for later_seed in seed + 1..seed + SEEDS {
            runs.extend(comparison_runs(&Deployment::all(), &COMPARED_SCENARIOS, later_seed));
        }
        let mut reports = run_all(&runs);
        let mut by_seed = Vec::new();
        for seed_reports in reports.split_off(first_seed_runs).chunks(compared_run_count()) {
            by_seed.push(seed_reports.to_vec());
        }
        let swapped_weights = reports.split_off(own_weight_runs);
        by_seed.push(reports.clone());
        Self { own_weights: reports, swapped_weights, by_seed }
    }

    fn own_weights_report(&self, deployment: &str, scenario: Scenario) -> &Report {
        find_report(&self.own_weights, SCHEDULER, deployment, scenario)
    }

    /// Returns the goodput and the wasted tokens of a policy, summed over all seeds.
    fn totals(&self, policy: &str, deployment: &str, scenario: Scenario) -> Totals {
        let mut totals = Totals { goodput: 0, wasted_tokens: 0 };
        for reports in &self.by_seed {
            let report = find_report(reports, policy, deployment, scenario);
            totals.goodput += report.goodput;
            totals.wasted_tokens += report.waste.total();
        }
        totals
    }

    /// Returns the two runs on the same load: first the one with more weight on wasted prefill,
    /// then the one with more weight on goodput.
    fn by_weight(&self, deployment: &Deployment, scenario: Scenario) -> (&Report, &Report) {
        let own = self.own_weights_report(&deployment.name, scenario);
        let other = find_report(&self.swapped_weights, SCHEDULER, &deployment.name, scenario);
        if deployment.weights.wasted_prefill > deployment.weights.goodput {
            (own, other)
        } else {
            (other, own)
        }
    }
}

/// Counts of one policy, summed over several seeds.
struct Totals {
    goodput: u64,
    wasted_tokens: u64,
}

/// Returns the number of runs of one seed in the comparison with the baselines.
fn compared_run_count() -> usize {
    Deployment::all().len() * COMPARED_SCENARIOS.len() * (1 + Placement::ALL.len())
}

/// Lists the runs of the policy with the weights of the two deployments swapped.
fn swapped_runs(seed: u64) -> Vec<Run> {
    let [mut midlands, mut benang_merah] = Deployment::all();
    std::mem::swap(&mut midlands.weights, &mut benang_merah.weights);
    let mut runs = Vec::new();
    for deployment in [midlands, benang_merah] {
        for scenario in Scenario::ALL {
            runs.push(Run { deployment: deployment.clone(), scenario, baseline: None, seed });
        }
    }
    runs
}

fn find_report<'a>(
    reports: &'a [Report],
    policy: &str,
    deployment: &str,
    scenario: Scenario,
) -> &'a Report {
    let scenario = scenario.to_string();
    for report in reports {
        let is_run = *report.deployment == *deployment && *report.scenario == *scenario;
        if is_run && *report.policy == *policy {
            return report;
        }
    }
    unreachable!("all runs are collected")
}

fn targets_met(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in WITHIN_CAPACITY {
            misses.extend(target_miss(evidence.own_weights_report(&deployment.name, scenario)));
        }
        // The peak is also checked on the other seeds. The last element is the first seed, which is
        // checked above.
        for reports in &evidence.by_seed[..evidence.by_seed.len() - 1] {
            let report = find_report(reports, SCHEDULER, &deployment.name, Scenario::Peak);
            misses.extend(target_miss(report));
        }
    }
    misses
}

fn target_miss(report: &Report) -> Option<Box<str>> {
    let (good, offered) = (report.goodput, report.offered);
    if good * 100 >= offered * TARGET_PERCENT {
        return None;
    }
    Some(describe_miss(report, &format!("{good} of {offered} within both targets")))
}

fn no_waste(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in Scenario::ALL {
            let report = evidence.own_weights_report(&deployment.name, scenario);
            let tokens = report.waste.avoidable();
            if scenario.shape().fault.is_none() && tokens > 0 {
                misses.push(describe_miss(report, &format!("{tokens} prefill tokens wasted")));
            }
        }
    }
    misses
}

fn overload_holds(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for reports in &evidence.by_seed {
            let peak = find_report(reports, SCHEDULER, &deployment.name, Scenario::Peak).goodput;
            let report = find_report(reports, SCHEDULER, &deployment.name, Scenario::TwiceCapacity);
            let good = report.goodput;
            if good * 100 < peak * TARGET_PERCENT {
                misses.push(describe_miss(
                    report,
                    &format!("goodput {good} after {peak} at the peak"),
                ));
            }
        }
    }
    misses
}

fn truthful_refusals(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for report in evidence.own_weights.iter().chain(&evidence.swapped_weights) {
        if let Some(first) = report.untrue_refusals.first() {
            let count = report.untrue_refusals.len();
            misses.push(describe_miss(report, &format!("{count} untrue refusals, first: {first}")));
        }
    }
    misses
}

fn promises(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for report in evidence.own_weights.iter().chain(&evidence.swapped_weights) {
        if let Some(first) = report.violations.first() {
            let count = report.violations.len();
            misses.push(describe_miss(report, &format!("{count} violations, first: {first}")));
        }
    }
    misses
}

fn weight_on_waste(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in Scenario::ALL {
            let (on_waste, on_goodput) = evidence.by_weight(&deployment, scenario);
            let (tokens, other) = (on_waste.waste.total(), on_goodput.waste.total());
            if tokens > other {
                let text = format!("{tokens} tokens wasted with weight on waste, {other} without");
                misses.push(describe_miss(on_waste, &text));
            }
        }
    }
    misses
}

fn weight_on_goodput(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in Scenario::ALL {
            let (on_waste, on_goodput) = evidence.by_weight(&deployment, scenario);
            let (good, other) = (on_goodput.goodput, on_waste.goodput);
            if good < other {
                let text = format!("goodput {good} with weight on goodput, {other} without");
                misses.push(describe_miss(on_goodput, &text));
            }
        }
    }
    misses
}

fn ahead_of_baselines(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in COMPARED_SCENARIOS {
            let good = evidence.totals(SCHEDULER, &deployment.name, scenario).goodput;
            for placement in Placement::ALL {
                let baseline = placement.to_string();
                let other = evidence.totals(&baseline, &deployment.name, scenario).goodput;
                if good <= other {
                    let text =
                        format!("goodput {good}, {baseline} has {other}, over {SEEDS} seeds");
                    misses.push(format!("{} {scenario}: {text}", deployment.name).into());
                }
            }
        }
    }
    misses
}

fn tenth_of_waste(evidence: &Evidence) -> Vec<Box<str>> {
    let mut misses = Vec::new();
    for deployment in Deployment::all() {
        for scenario in COMPARED_SCENARIOS {
            let tokens = evidence.totals(SCHEDULER, &deployment.name, scenario).wasted_tokens;
            for placement in Placement::ALL {
                let baseline = placement.to_string();
                let other = evidence.totals(&baseline, &deployment.name, scenario).wasted_tokens;
                if tokens * WASTE_FACTOR > other {
                    let text = format!("{tokens} tokens wasted, {baseline} wastes {other}");
                    misses.push(format!("{} {scenario}: {text}", deployment.name).into());
                }
            }
        }
    }
    misses
}

/// Prefixes a violation with deployment, scenario, policy and seed of the run.
fn describe_miss(report: &Report, text: &str) -> Box<str> {
    let (deployment, scenario, seed) = (&report.deployment, &report.scenario, report.seed);
    format!("{deployment} {scenario} {} seed {seed}: {text}", report.policy).into()
}
