//! Tests that the driver detects policies that violate the rules for policies.

use std::time::Instant;

use magnoliaspar_bench::{Baseline, Deployment, Placement, Report, Scenario, arrivals, run};
use magnoliaspar_core::{BlockHash, JobKey, ServerKey};
use magnoliaspar_policy::{
    Action, FailedStage, Job, LoadReport, Policy, RefuseReason, Scheduler, ServerSpec,
};

const SEED: u64 = 3;

/// The fault of a policy under test.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    RefuseAsTooLarge,
    RefuseAfterTokens,
    IgnoreFinishedJobs,
    RepeatTransfers,
}

/// A policy that wraps another one and adds a fault.
struct Faulty {
    inner: Box<dyn Policy>,
    fault: Fault,
    finished_jobs: u32,
    /// The job to refuse after its first tokens; listed a second time once it has been refused.
    refusals: Vec<JobKey>,
}

impl Policy for Faulty {
    fn add_server(&mut self, now: Instant, spec: ServerSpec) -> ServerKey {
        self.inner.add_server(now, spec)
    }

    fn cordon_server(&mut self, now: Instant, server: ServerKey) {
        self.inner.cordon_server(now, server);
    }

    fn remove_server(&mut self, now: Instant, server: ServerKey) {
        self.inner.remove_server(now, server);
    }

    fn submit(&mut self, now: Instant, job: Job) -> JobKey {
        self.inner.submit(now, job)
    }

    fn prefilled(&mut self, now: Instant, job: JobKey, cached: u32, held_until: Instant) {
        self.inner.prefilled(now, job, cached, held_until);
    }

    fn transferred(&mut self, now: Instant, job: JobKey) {
        self.inner.transferred(now, job);
    }

    fn progressed(&mut self, now: Instant, job: JobKey, tokens: u32) {
        self.inner.progressed(now, job, tokens);
        if self.fault == Fault::RefuseAfterTokens && self.refusals.is_empty() {
            self.refusals.push(job);
        }
    }

    fn finished(&mut self, now: Instant, job: JobKey) {
        self.finished_jobs += 1;
        if self.fault == Fault::IgnoreFinishedJobs && self.finished_jobs.is_multiple_of(100) {
            return;
        }
        self.inner.finished(now, job);
    }

    fn cancelled(&mut self, now: Instant, job: JobKey) {
        self.inner.cancelled(now, job);
    }

    fn failed(&mut self, now: Instant, job: JobKey, stage: FailedStage, held: Option<Instant>) {
        self.inner.failed(now, job, stage, held);
    }

    fn report(&mut self, now: Instant, server: ServerKey, report: LoadReport) {
        self.inner.report(now, server, report);
    }

    fn cache_events(
        &mut self,
        now: Instant,
        server: ServerKey,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    ) {
        self.inner.cache_events(now, server, stored, evicted, gap);
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.inner.poll(now) {
            match (&action, self.fault) {
                (Action::Prefill { job, .. }, Fault::RefuseAsTooLarge) => {
                    self.inner.cancelled(now, *job);
                    actions.push(refuse(*job, RefuseReason::TooLarge));
                    continue;
                }
                (Action::Transfer { .. }, Fault::RepeatTransfers) => actions.push(action.clone()),
                _ => {}
            }
            actions.push(action);
        }
        // The job stays in the list, so that `progressed` adds no other: the policy refuses only
        // once.
        if let [job] = self.refusals[..] {
            self.refusals.push(job);
            actions.push(refuse(job, RefuseReason::QueueFull));
        }
        actions
    }

    fn next_poll(&self) -> Option<Instant> {
        self.inner.next_poll()
    }
}

fn refuse(job: JobKey, reason: RefuseReason) -> Action {
    Action::Refuse { job, reason, retry_after: None }
}

fn report(inner: Box<dyn Policy>, fault: Fault) -> Report {
    let deployment = Deployment::benang_merah();
    let arrivals = arrivals(&deployment, Scenario::Calm, SEED);
    let mut policy = Faulty { inner, fault, finished_jobs: 0, refusals: Vec::new() };
    run(&mut policy, "faulty", &deployment, Scenario::Calm, SEED, &arrivals)
}

fn baseline() -> Box<dyn Policy> {
    Box::new(Baseline::new(Placement::RoundRobin))
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let one = report(baseline(), Fault::None);
    let other = report(baseline(), Fault::None);
    assert!(one.goodput > 0);
    assert!(one.violations.is_empty() && one.untrue_refusals.is_empty());
    assert_eq!(serde_json::to_string(&one).unwrap(), serde_json::to_string(&other).unwrap());
}

#[test]
fn an_untrue_reason_is_detected() {
    let report = report(baseline(), Fault::RefuseAsTooLarge);
    assert_eq!(report.goodput, 0);
    assert!(report.untrue_refusals[0].contains("untrue reason"));
}

#[test]
fn a_refusal_after_tokens_is_detected() {
    let report = report(baseline(), Fault::RefuseAfterTokens);
    assert_eq!(report.untrue_refusals.len(), 1);
    assert!(report.untrue_refusals[0].contains("after it had produced tokens"));
}

#[test]
fn a_repeated_action_is_detected() {
    let report = report(baseline(), Fault::RepeatTransfers);
    assert!(report.violations[0].contains("does not follow from its state"));
}

#[test]
fn slots_that_are_not_released_are_detected() {
    // Only the scheduler reserves decode slots, so that it leaks them if it does not learn of ends.
    let correct = report(Box::new(Scheduler::new()), Fault::None);
    assert!(correct.violations.is_empty());
    let leaked = report(Box::new(Scheduler::new()), Fault::IgnoreFinishedJobs);
    assert!(leaked.violations[0].contains("decode slots from new requests"));
}
