use magnoliaspar_policy::{Policy, Scheduler};

use crate::arrival::arrivals;
use crate::baseline::{Baseline, Placement};
use crate::deployment::Deployment;
use crate::driver::run;
use crate::report::Report;
use crate::scenario::Scenario;

/// The name under which the policy that serves requests is reported.
pub const SCHEDULER: &str = "scheduler";

/// Runs the policy and all baselines through scenarios of deployments.
pub fn run_all(deployments: &[Deployment], scenarios: &[Scenario], seed: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    for deployment in deployments {
        for scenario in scenarios {
            reports.extend(run_side_by_side(deployment, *scenario, seed));
        }
    }
    reports
}

/// Runs the policy and all baselines on the same requests; the policy comes first.
pub fn run_side_by_side(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Report> {
    let arrivals = arrivals(deployment, scenario, seed);
    let mut policies: Vec<(Box<str>, Box<dyn Policy>)> = Vec::new();
    policies.push((SCHEDULER.into(), Box::new(Scheduler::new())));
    for placement in Placement::ALL {
        let name = placement.to_string().into();
        policies.push((name, Box::new(Baseline::new(placement))));
    }
    let mut reports = Vec::new();
    for (name, mut policy) in policies {
        reports.push(run(&mut *policy, &name, deployment, scenario, seed, &arrivals));
    }
    reports
}
