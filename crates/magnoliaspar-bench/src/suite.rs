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

/// The name under which the policy that serves requests is reported.
pub const SCHEDULER: &str = "scheduler";

/// How many runs go on at the same time.
const THREADS: usize = 4;

/// One run of a policy through a scenario.
#[derive(Debug, Clone)]
pub struct Run {
    /// The deployment, with the weights that the policy is given.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The baseline, or `None` for the policy that serves requests.
    pub baseline: Option<Placement>,
    /// The seed from which the requests are drawn.
    pub seed: u64,
}

impl Run {
    /// Carries out the run.
    pub fn report(&self) -> Report {
        let arrivals = arrivals(&self.deployment, self.scenario, self.seed);
        let (name, mut policy): (Box<str>, Box<dyn Policy>) = match self.baseline {
            None => (SCHEDULER.into(), Box::new(Scheduler::new())),
            Some(placement) => (placement.to_string().into(), Box::new(Baseline::new(placement))),
        };
        run(&mut *policy, &name, &self.deployment, self.scenario, self.seed, &arrivals)
    }
}

/// Lists the runs of the policy and all baselines through scenarios; the policy comes first.
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

/// Carries out runs, several at the same time, and returns their reports in the same order.
pub fn run_all(runs: &[Run]) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((number, run)) = next_run(runs, &next) {
                    let report = run.report();
                    reports.lock().expect("no run panics with the lock").insert(number, report);
                }
            });
        }
    });
    reports.into_inner().expect("no run panics with the lock").into_values().collect()
}

fn next_run<'a>(runs: &'a [Run], next: &AtomicUsize) -> Option<(usize, &'a Run)> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    Some((number, runs.get(number)?))
}
