//! What one instance knows of the use of all workspaces, and what it lets pass.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_access::Workspace;
use magnoliaspar_core::WorkspaceName;

use crate::bucket::{Buckets, Demand};
use crate::tenure::Tenure;
use crate::usage::{Exhausted, LimitReport, Usage, UsageTotals};

/// Time for which a charge is remembered, so that a message that repeats it or comes late changes nothing. Completions
/// wait for some seconds at most.
const CHARGE_MEMORY: Duration = Duration::from_secs(10);

/// Interval of the answers to heartbeats.
const ANSWER_INTERVAL: Duration = Duration::from_millis(800);

/// Factor by which the part of a limit grows with each answer, and the least part.
const PART_GROWTH: f64 = 1.1;
const MIN_PART: f64 = 0.001;

/// Part of a limit that passes without a question before it is reported, as the time in which it is gained. Only an
/// instance that uses an eighth of a limit by such calls reports more often than by heartbeats.
const MAX_UNREPORTED: Duration = Duration::from_millis(100);

/// Minimum interval of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of a charge: the instance that asked for it, and the number of its request.
pub type ChargeNumber = (Box<str>, u64);

/// Whether a request is within the limit of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Within,
    /// It is not before this time.
    Beyond(Duration),
    /// This instance has just begun to decide and does not know yet.
    Unknown,
}

/// The limits as one instance applies them. The same state serves the coordinator, those that may succeed it, and all
/// others.
///
/// `known` is the number of instances that this one knows of, with itself.
#[derive(Debug)]
pub struct Ledger {
    buckets: Buckets,
    /// What this instance has let pass without a question, against the whole limit or, without a coordinator, a part.
    unasked: Buckets,
    tenure: Tenure,
    usage: Usage,
    totals: UsageTotals,
    exhausted: Exhausted,
    /// The part of a limit that this instance lets pass without a question between two answers; the whole of those that
    /// are not listed.
    parts: BTreeMap<WorkspaceName, f64>,
    /// What was let pass without a question since the last report, in seconds of the limits, and the time of the report.
    unreported: f64,
    reported_at: Option<Instant>,
    charged_at: BTreeMap<ChargeNumber, Instant>,
    expired_at: Option<Instant>,
}

impl Ledger {
    /// Creates the state of a process, whose number tells it from former processes of the instance.
    pub fn new(process: u64) -> Self {
        Self {
            buckets: Buckets::default(),
            unasked: Buckets::default(),
            tenure: Tenure::default(),
            usage: Usage::new(process),
            totals: UsageTotals::default(),
            exhausted: Exhausted::default(),
            parts: BTreeMap::new(),
            unreported: 0.0,
            reported_at: None,
            charged_at: BTreeMap::new(),
            expired_at: None,
        }
    }

    /// Sets the limits of a configuration.
    pub fn configure<'a>(
        &mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace> + Clone,
        now: Instant,
    ) {
        self.buckets.configure(workspaces.clone(), now);
        self.unasked.configure(workspaces, now);
    }

    /// Returns whether a workspace has a limit.
    pub fn has_limits(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Records that this instance is about to decide as coordinator. Returns whether it begins to, so that all others
    /// have to be asked for an answer.
    pub fn decide(&mut self, now: Instant) -> bool {
        let begins = self.tenure.decide(now);
        self.take_over(begins, now);
        begins
    }

    /// Records whether this instance is the coordinator. Returns whether it begins to decide, so that all others have to
    /// be asked for an answer.
    pub fn observe(&mut self, is_coordinator: bool, now: Instant) -> bool {
        let begins = self.tenure.observe(is_coordinator, now);
        self.take_over(begins, now);
        begins
    }

    fn take_over(&mut self, begins: bool, now: Instant) {
        if begins {
            self.buckets.take_over(now);
        }
    }

    /// Records a message from another instance.
    pub fn hear(&mut self, instance: &str, now: Instant) {
        self.tenure.hear(instance, now);
    }

    /// Judges a completion as coordinator, without charging it. One that was charged before is within the limit.
    pub fn judge(
        &mut self,
        number: &ChargeNumber,
        demand: Demand<'_>,
        known: usize,
        now: Instant,
    ) -> Verdict {
        if self.charged_at.contains_key(number) {
            return Verdict::Within;
        }
        let Some(share) = self.tenure.share(known, now) else { return Verdict::Unknown };
        let wait = self.buckets.wait_for(demand, share, now);
        if wait.is_zero() { Verdict::Within } else { Verdict::Beyond(wait) }
    }

    /// Charges a completion that this instance or another one has admitted or queued. Returns whether it was not charged
    /// before.
    pub fn charge(
        &mut self,
        number: ChargeNumber,
        demand: Demand<'_>,
        known: usize,
        now: Instant,
    ) -> bool {
        self.expire(now);
        if self.charged_at.insert(number, now).is_some() {
            return false;
        }
        let share = self.known_share(known, now);
        self.buckets.charge(demand, share, now);
        true
    }

    /// Forgets old charges from time to time.
    fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CHARGE_MEMORY;
        if !self.expired_at.as_ref().is_some_and(is_recent) {
            self.charged_at.retain(|_, at| is_recent(at));
            self.expired_at = Some(now);
        }
    }

    /// Lets a call pass without a question, or returns the time until it may. `coordinator` is the one that would be
    /// asked; `None` if it is this instance.
    pub fn admit_call(
        &mut self,
        demand: Demand<'_>,
        coordinator: Option<&str>,
        known: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let own_part = 1.0 / known.max(1) as f64;
        let adapted = self.parts.get(demand.workspace).copied().unwrap_or(1.0);
        let (answered, part) = match coordinator {
            None => {
                let share = self.tenure.share(known, now).unwrap_or(own_part);
                (self.buckets.overdrawn_for(demand.workspace, share, now), share)
            }
            Some(coordinator) => match self.exhausted.wait(coordinator, demand.workspace, now) {
                Some(wait) => {
                    (wait, adapted.min(self.exhausted.share(coordinator, now)).max(MIN_PART))
                }
                None => (Duration::ZERO, own_part),
            },
        };
        let wait = answered.max(self.unasked.overdrawn_for(demand.workspace, part, now));
        if !wait.is_zero() {
            return Err(wait);
        }
        self.unasked.charge(demand, part, now);
        self.usage.record(demand.workspace, demand.cost);
        self.unreported += self.buckets.seconds_of(demand);
        let share = self.known_share(known, now);
        self.buckets.charge(demand, share, now);
        Ok(())
    }

    /// Returns whether so much was let pass since the last report that the next one is due before the next heartbeat. The
    /// number of these reports follows what all instances let pass, and not the number of instances.
    pub fn is_report_due(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_REPORT_INTERVAL;
        self.unreported >= MAX_UNREPORTED.as_secs_f64() && !self.reported_at.is_some_and(is_recent)
    }

    /// Returns what this instance has let pass, for a report that is sent now.
    pub fn report_usage(&mut self, now: Instant) -> LimitReport {
        self.unreported = 0.0;
        self.reported_at = Some(now);
        self.usage.report()
    }

    /// Returns the limits that are used up as far as this instance knows, for the answer to a heartbeat.
    pub fn report_exhausted(&mut self, known: usize, now: Instant) -> LimitReport {
        let share = self.known_share(known, now);
        let exhausted = self.buckets.exhausted(share, now);
        LimitReport::of_exhausted(exhausted, share.min(self.tenure.presence(known, now)))
    }

    /// Charges what another instance has let pass.
    pub fn receive_usage(
        &mut self,
        instance: &str,
        report: &LimitReport,
        known: usize,
        now: Instant,
    ) {
        let share = self.known_share(known, now);
        for (workspace, cost) in self.totals.apply(instance, report, now) {
            self.buckets.charge(Demand { workspace: &workspace, cost }, share, now);
        }
    }

    /// Applies what another instance knows of the limits that are used up. `coordinator` is the one of this instance;
    /// `None` if it is this instance.
    ///
    /// What the coordinator has charged beyond a limit is no less used up when this instance succeeds it.
    pub fn receive_exhausted(
        &mut self,
        instance: &str,
        report: &LimitReport,
        coordinator: Option<&str>,
        now: Instant,
    ) {
        if coordinator == Some(instance) {
            self.adapt_parts(instance, report, now);
            for (workspace, wait) in report.exhausted() {
                self.buckets.lower(workspace, wait, 1.0, now);
            }
        }
        self.exhausted.apply(instance, report, now);
    }

    /// Lowers the part of a limit that has been overdrawn between two answers by as much as it was, and raises the others
    /// again. Otherwise the instances would overdraw it again after each time in which it is used up.
    fn adapt_parts(&mut self, coordinator: &str, report: &LimitReport, now: Instant) {
        for part in self.parts.values_mut() {
            *part *= PART_GROWTH;
        }
        for (workspace, wait) in report.exhausted() {
            let part = self.parts.entry(workspace.clone()).or_insert(1.0);
            let before = self.exhausted.wait(coordinator, workspace, now).unwrap_or_default();
            if before.is_zero() {
                *part *= ANSWER_INTERVAL.div_duration_f64(ANSWER_INTERVAL + wait);
            }
            *part = part.clamp(MIN_PART, 1.0);
            self.unasked.lower(workspace, wait, *part, now);
        }
        self.parts.retain(|_, part| *part < 1.0);
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, instance: &str) {
        self.totals.forget(instance);
    }

    /// Returns the share that this instance issues; the whole if it does not decide, since its levels are then what it
    /// would know as successor.
    fn known_share(&mut self, known: usize, now: Instant) -> f64 {
        self.tenure.share(known, now).unwrap_or(1.0)
    }

    /// Returns what the bucket of a workspace holds; `None` without a limit.
    pub fn level(&self, workspace: &WorkspaceName) -> Option<f64> {
        self.buckets.level(workspace)
    }
}
