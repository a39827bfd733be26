//! Executes runs of policies through scenarios, several in parallel.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use magnoliaspar_policy::{Policy, Scheduler};

use crate::arrival::arrivals;
use crate::baseline::{Baseline, Placement};
use crate::deployment::Deployment;
use crate::driver::run;
use crate::report::Report;
use crate::scenario::Scenario;

/// The name of the policy under test in reports.
pub const SCHEDULER: &str = "scheduler";

/// Number of runs that are executed in parallel.
const THREADS: usize = 4;

/// One run of a policy through a scenario.
#[derive(Debug, Clone)]
pub struct Run {
    /// The deployment with the weights that are passed to the policy.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The baseline, or `None` for the policy under test.
    pub baseline: Option<Placement>,
    /// The seed of the requests.
    pub seed: u64,
}

impl Run {
    /// Executes the run and returns its report.
    pub fn report(&self) -> Report {
        let arrivals = arrivals(&self.deployment, self.scenario, self.seed);
        let (name, mut policy): (Box<str>, Box<dyn Policy>) = match self.baseline {
            None => (SCHEDULER.into(), Box::new(Scheduler::new())),
            Some(placement) => (placement.to_string().into(), Box::new(Baseline::new(placement))),
        };
        run(&mut *policy, &name, &self.deployment, self.scenario, self.seed, &arrivals)
    }
}

/// Lists the runs of the policy under test and all baselines. In each scenario the policy under
/// test comes first.
pub fn comparison_runs(deployments: &[Deployment], scenarios: &[Scenario], seed: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for deployment in deployments {
        for scenario in scenarios {
            let mut add = |baseline| {
                let (deployment, scenario) = (deployment.clone(), *scenario);
                runs.push(Run { deployment, scenario, baseline, seed });
            };
            add(None);
            for placement in Placement::ALL {
                add(Some(placement));
            }
        }
    }
    runs
}

/// Executes runs in parallel and returns their reports in the order of the runs.
pub fn run_all(runs: &[Run]) -> Vec<Report> {
    let next_index = AtomicUsize::new(0);
    let reports = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, run)) = next_run(runs, &next_index) {
                    let report = run.report();
                    reports.lock().expect("no run panics with the lock").insert(index, report);
                }
            });
        }
    });
    reports.into_inner().expect("no run panics with the lock").into_values().collect()
}

/// Returns the next run that no thread has taken, and its index.
fn next_run<'a>(runs: &'a [Run], next_index: &AtomicUsize) -> Option<(usize, &'a Run)> {
    let index = next_index.fetch_add(1, Ordering::Relaxed);
    Some((index, runs.get(index)?))
}
