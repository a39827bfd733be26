//! Requests that pass without a question, and what instances tell each other of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::WorkspaceName;
use serde::{Deserialize, Serialize};

/// Maximum number of workspaces in a message.
const MAX_REPORTED: usize = 256;

/// Maximum length of the names of workspaces in a message, in bytes: half of a datagram, as a name may grow to twice its
/// length where it is encoded.
const MAX_REPORTED_NAME_BYTES: usize = 28_000;

/// Returns the first workspaces that fit into a message, by their names.
fn fit_message<T>(
    workspaces: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &WorkspaceName,
) -> Vec<T> {
    let mut left = MAX_REPORTED_NAME_BYTES;
    let mut fitting = Vec::new();
    for workspace in workspaces.into_iter().take(MAX_REPORTED) {
        let Some(rest) = left.checked_sub(name(&workspace).as_str().len()) else { break };
        left = rest;
        fitting.push(workspace);
    }
    fitting
}

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
    /// Share of the limits that the sender issues, in thousandths; `None` for the whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    share_permille: Option<u32>,
}

impl LimitReport {
    /// Creates the report of a coordinator that issues a share of the limits.
    pub fn of_exhausted(workspaces: Vec<(WorkspaceName, Duration)>, share: f64) -> Self {
        let share_permille = (share < 1.0).then_some((share * 1_000.0) as u32);
        let mut exhausted = Vec::new();
        for (workspace, wait) in fit_message(workspaces, |(workspace, _)| workspace) {
            exhausted.push((workspace, wait.as_millis() as u64));
        }
        Self { exhausted, share_permille, ..Self::default() }
    }

    /// Iterates over the workspaces whose limit is used up, with the time until it is not.
    pub fn exhausted(&self) -> impl Iterator<Item = (&WorkspaceName, Duration)> {
        let entries = self.exhausted.iter();
        entries.map(|(workspace, wait_ms)| (workspace, Duration::from_millis(*wait_ms)))
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty() && self.exhausted.is_empty() && self.share_permille.is_none()
    }
}

/// What this instance has let pass without a question.
///
/// Totals never fall while the process runs, also if a workspace is removed and added again.
#[derive(Debug)]
pub struct Usage {
    process: u64,
    totals: BTreeMap<WorkspaceName, Total>,
    requests: u64,
}

/// What a workspace has used.
#[derive(Debug, Default)]
struct Total {
    units: u64,
    /// Number of the last request of the workspace.
    last_request: u64,
}

impl Usage {
    /// Creates the state of a process, whose number tells it from former processes of the instance.
    pub fn new(process: u64) -> Self {
        Self { process, totals: BTreeMap::new(), requests: 0 }
    }

    /// Counts a request.
    pub fn record(&mut self, workspace: &WorkspaceName, cost: u64) {
        self.requests += 1;
        let total = self.totals.entry(workspace.clone()).or_default();
        total.units += cost;
        total.last_request = self.requests;
    }

    /// Returns what is reported with each heartbeat: the workspaces that were used last. Totals, rather than what was
    /// added, make up for lost messages.
    pub fn report(&self) -> LimitReport {
        let mut totals: Vec<_> = self.totals.iter().collect();
        totals.sort_unstable_by_key(|(_, total)| Reverse(total.last_request));
        let mut used = Vec::new();
        for (workspace, total) in fit_message(totals, |(workspace, _)| *workspace) {
            used.push((workspace.clone(), total.units));
        }
        LimitReport { process: self.process, used, ..LimitReport::default() }
    }
}

/// Time without a report after which what an instance has used meanwhile is not charged; three heartbeats.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);

/// The last totals that other instances have reported.
#[derive(Debug, Default)]
pub struct UsageTotals {
    totals: BTreeMap<Box<str>, ReportedTotals>,
}

/// The last totals of one instance.
#[derive(Debug)]
struct ReportedTotals {
    process: u64,
    at: Instant,
    totals: BTreeMap<WorkspaceName, u64>,
}

impl UsageTotals {
    /// Applies a report, and returns what was used since the one before.
    ///
    /// Of a process that was not known, only what it uses from now on counts: the rest may be long ago. The same holds for
    /// one that was silent for long, as its part of the limits was not issued here meanwhile.
    pub fn apply(
        &mut self,
        instance: &str,
        report: &LimitReport,
        now: Instant,
    ) -> Vec<(WorkspaceName, u64)> {
        let mut used = Vec::new();
        let is_current = |known: &&mut ReportedTotals| known.process == report.process;
        let Some(known) = self.totals.get_mut(instance).filter(is_current) else {
            let totals = report.used.iter().cloned().collect();
            let reported = ReportedTotals { process: report.process, at: now, totals };
            self.totals.insert(instance.into(), reported);
            return used;
        };
        let is_silent = now.saturating_duration_since(known.at) >= MAX_SILENCE;
        known.at = now;
        for (workspace, total) in &report.used {
            let last = known.totals.entry(workspace.clone()).or_default();
            // A message that was overtaken by a later one has a lower total.
            if *total <= *last {
                continue;
            }
            if !is_silent {
                used.push((workspace.clone(), total - *last));
            }
            *last = *total;
        }
        used
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, instance: &str) {
        self.totals.remove(instance);
    }
}

/// Time for which an answer to a heartbeat counts; one heartbeat and its delay.
const ANSWER_WINDOW: Duration = Duration::from_millis(1_200);

/// The workspaces whose limit is used up, as the coordinator and those that may succeed it have reported it.
#[derive(Debug, Default)]
pub struct Exhausted {
    answers: BTreeMap<Box<str>, Answer>,
}

/// The last answer of an instance.
#[derive(Debug)]
struct Answer {
    at: Instant,
    until: BTreeMap<WorkspaceName, Instant>,
    share: f64,
}

impl Answer {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < ANSWER_WINDOW
    }
}

impl Exhausted {
    /// Applies the report of an instance: what it does not name is not used up.
    pub fn apply(&mut self, instance: &str, report: &LimitReport, now: Instant) {
        self.answers.retain(|_, answer| answer.is_fresh(now));
        let mut until = BTreeMap::new();
        for (workspace, wait) in report.exhausted() {
            until.insert(workspace.clone(), now + wait);
        }
        let share = report.share_permille.map_or(1.0, |share| f64::from(share) / 1_000.0);
        self.answers.insert(instance.into(), Answer { at: now, until, share });
    }

    /// Returns the share of the limits that the coordinator issues, or that one of those would which may succeed it if the
    /// coordinator has not answered.
    pub fn share(&self, coordinator: &str, now: Instant) -> f64 {
        if let Some(answer) = self.answers.get(coordinator).filter(|answer| answer.is_fresh(now)) {
            return answer.share;
        }
        let mut share = None;
        for answer in self.answers.values().filter(|answer| answer.is_fresh(now)) {
            share = Some(answer.share.max(share.unwrap_or_default()));
        }
        share.unwrap_or(1.0)
    }

    /// Returns the time until the limit of a workspace is not used up; zero if it is not. It is that of the coordinator,
    /// or the longest of those that may succeed it if the coordinator has not answered; `None` if nobody has.
    pub fn wait(
        &self,
        coordinator: &str,
        workspace: &WorkspaceName,
        now: Instant,
    ) -> Option<Duration> {
        let is_fresh = |answer: &&Answer| answer.is_fresh(now);
        let wait = |answer: &Answer| {
            let until = answer.until.get(workspace);
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        if let Some(answer) = self.answers.get(coordinator).filter(is_fresh) {
            return Some(wait(answer));
        }
        self.answers.values().filter(is_fresh).map(wait).max()
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::WorkspaceName;

    use super::{Usage, UsageTotals};

    /// Guards against reports that are too long for a datagram and never arrive.
    #[test]
    fn the_names_of_a_report_fit_into_a_datagram() {
        let mut usage = Usage::new(1);
        for index in 0..100 {
            let name = format!("{}-{index}", "\"".repeat(1_000));
            usage.record(&WorkspaceName::try_from(&*name).expect("the name is valid"), 200);
        }
        let report = serde_json::to_vec(&usage.report()).expect("a report can be encoded");
        assert!((20_000..60_000).contains(&report.len()), "{} bytes", report.len());
    }

    /// Guards against use that is lost with a message, or counted twice with a repeated one.
    #[test]
    fn each_use_is_counted_once() {
        let workspace = WorkspaceName::try_from("a").expect("the name is valid");
        let now = Instant::now();
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
            for (_, cost) in totals.apply("one", &reports[index], now) {
                counted += cost;
            }
        }
        assert_eq!(counted, 800);
        let mut restarted = Usage::new(2);
        restarted.record(&workspace, 200);
        totals.apply("one", &restarted.report(), now);
        restarted.record(&workspace, 200);
        assert_eq!(totals.apply("one", &restarted.report(), now), [(workspace, 200)]);
    }

    /// Guards against a workspace that is refused after a cut for what the other side has issued by its own share.
    #[test]
    fn use_during_a_long_silence_is_not_charged() {
        let workspace = WorkspaceName::try_from("a").expect("the name is valid");
        let mut now = Instant::now();
        let (mut usage, mut totals) = (Usage::new(1), UsageTotals::default());
        totals.apply("one", &usage.report(), now);
        for (silence_ms, expected) in [(800, Some(200)), (2_400, Some(200)), (5_000, None)] {
            now += Duration::from_millis(silence_ms);
            usage.record(&workspace, 200);
            let used = totals.apply("one", &usage.report(), now);
            assert_eq!(used.first().map(|(_, cost)| *cost), expected, "{silence_ms}");
        }
    }
}
