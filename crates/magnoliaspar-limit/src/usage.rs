//! Requests that pass without a question, and what instances tell each other of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::WorkspaceName;
use serde::{Deserialize, Serialize};

/// Maximum number of workspaces in a message.
const MAX_REPORTED: usize = 256;

/// What a message between instances says of the limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// Number of the sender's process.
    #[serde(default)]
    process: u64,
    /// Units that the process has let pass without a question since its start, by workspace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    used: Vec<(WorkspaceName, u64)>,
    /// Workspaces whose limit is used up, and the time until it is not, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    exhausted: Vec<(WorkspaceName, u64)>,
}

impl LimitReport {
    /// Creates the report of a coordinator.
    pub fn of_exhausted(workspaces: Vec<(WorkspaceName, Duration)>) -> Self {
        let mut exhausted = Vec::new();
        for (workspace, wait) in workspaces.into_iter().take(MAX_REPORTED) {
            exhausted.push((workspace, wait.as_millis() as u64));
        }
        Self { exhausted, ..Self::default() }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty() && self.exhausted.is_empty()
    }
}

/// What this instance has let pass without a question.
#[derive(Debug)]
pub struct Usage {
    process: u64,
    totals: BTreeMap<WorkspaceName, u64>,
}

impl Usage {
    /// Creates the state of a process, whose number tells it from former processes of the instance.
    pub fn new(process: u64) -> Self {
        Self { process, totals: BTreeMap::new() }
    }

    /// Counts a request.
    pub fn record(&mut self, workspace: &WorkspaceName, cost: u64) {
        *self.totals.entry(workspace.clone()).or_default() += cost;
    }

    /// Returns what is reported with each heartbeat. Totals, rather than what was added, make up for lost messages.
    pub fn report(&self) -> LimitReport {
        let mut used = Vec::new();
        for (workspace, total) in self.totals.iter().take(MAX_REPORTED) {
            used.push((workspace.clone(), *total));
        }
        LimitReport { process: self.process, used, exhausted: Vec::new() }
    }

    /// Forgets workspaces that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&WorkspaceName) -> bool) {
        self.totals.retain(|workspace, _| is_known(workspace));
    }
}

/// The last totals that other instances have reported.
#[derive(Debug, Default)]
pub struct UsageTotals {
    totals: BTreeMap<Box<str>, (u64, BTreeMap<WorkspaceName, u64>)>,
}

impl UsageTotals {
    /// Applies a report, and returns what was used since the one before.
    ///
    /// Of a process that was not known, only what it uses from now on counts: the rest may be long ago.
    pub fn apply(&mut self, instance: &str, report: &LimitReport) -> Vec<(WorkspaceName, u64)> {
        let mut used = Vec::new();
        let known = self.totals.get(instance).filter(|(process, _)| *process == report.process);
        let is_known = known.is_some();
        if !is_known {
            self.totals.insert(instance.into(), (report.process, BTreeMap::new()));
        }
        let Some((_, totals)) = self.totals.get_mut(instance) else { return used };
        for (workspace, total) in &report.used {
            let last = totals.insert(workspace.clone(), *total);
            // A message that was overtaken by a later one has a lower total.
            if last.is_some_and(|last| last > *total) {
                totals.insert(workspace.clone(), last.unwrap_or_default());
                continue;
            }
            let before = last.unwrap_or(if is_known { 0 } else { *total });
            if *total > before {
                used.push((workspace.clone(), total - before));
            }
        }
        used
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, instance: &str) {
        self.totals.remove(instance);
    }
}

/// The workspaces whose limit is used up, as the coordinators have reported it.
#[derive(Debug, Default)]
pub struct Exhausted {
    until: BTreeMap<WorkspaceName, Instant>,
}

impl Exhausted {
    /// Applies the report of a coordinator: what it does not name is not used up.
    pub fn apply(&mut self, report: &LimitReport, now: Instant) {
        self.until.clear();
        for (workspace, wait_ms) in &report.exhausted {
            self.until.insert(workspace.clone(), now + Duration::from_millis(*wait_ms));
        }
    }

    /// Returns the time until the limit of a workspace is not used up; `None` if it is not.
    pub fn wait(&self, workspace: &WorkspaceName, now: Instant) -> Option<Duration> {
        let until = self.until.get(workspace)?;
        Some(until.saturating_duration_since(now)).filter(|wait| !wait.is_zero())
    }
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::WorkspaceName;

    use super::{Usage, UsageTotals};

    /// Guards against use that is lost with a message, or counted twice with a repeated one.
    #[test]
    fn each_use_is_counted_once() {
        let workspace = WorkspaceName::try_from("a").expect("the name is valid");
        let mut usage = Usage::new(1);
        let mut totals = UsageTotals::default();
        let mut counted = 0;
        let mut reports = Vec::new();
        for _ in 0..5 {
            usage.record(&workspace, 200);
            reports.push(usage.report());
        }
        // The first report may hold what was used long ago; the third is lost, and the second comes last.
        for index in [0, 1, 3, 3, 4, 1] {
            for (_, cost) in totals.apply("one", &reports[index]) {
                counted += cost;
            }
        }
        assert_eq!(counted, 800);
        let mut restarted = Usage::new(2);
        restarted.record(&workspace, 200);
        totals.apply("one", &restarted.report());
        restarted.record(&workspace, 200);
        assert_eq!(totals.apply("one", &restarted.report()), [(workspace, 200)]);
    }
}
