//! Properties of the scheduler's load accounting under arbitrary sequences of events.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magnoliaspar_core::{BlockHash, JobKey, ServerKey, WorkspaceName};
use magnoliaspar_policy::{
    Action, FailedStage, Job, LoadReport, Policy, Role, SchedulerSettings, Urgency,
};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

use self::common::{Harness, job, spec};

const STAGES: [FailedStage; 4] =
    [FailedStage::Prefill, FailedStage::Admission, FailedStage::Transfer, FailedStage::Decode];

/// An event for any job or server, including removed ones.
#[derive(Debug, Clone)]
enum Step {
    Submit {
        workspace: u8,
        prompt_pieces: u32,
        is_deferrable: bool,
        is_suspect: bool,
        deadline_ms: u16,
    },
    Prefilled(Index),
    Transferred(Index),
    Progressed(Index, u32),
    Finished(Index),
    Cancelled(Index),
    Failed {
        job: Index,
        stage: Index,
        held_ms: Option<u16>,
    },
    Report {
        server: Index,
        age_ms: u16,
        running: u32,
        used_pieces: u32,
        queued_tokens: u32,
    },
    Cache {
        server: Index,
        first: u64,
        is_evicted: bool,
        gap: bool,
    },
    Cordon(Index),
    Remove(Index),
    Add {
        is_prefill: bool,
        number: u8,
    },
    Advance(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let index = || any::<Index>();
    prop_oneof![
        8 => (0u8..4, 1u32..40, any::<bool>(), prop::bool::weighted(0.1), 0u16..8_000).prop_map(
            |(workspace, prompt_pieces, is_deferrable, is_suspect, deadline_ms)| Step::Submit {
                workspace, prompt_pieces, is_deferrable, is_suspect, deadline_ms,
            }
        ),
        8 => index().prop_map(Step::Prefilled),
        8 => index().prop_map(Step::Transferred),
        4 => (index(), 0u32..30).prop_map(|(job, tokens)| Step::Progressed(job, tokens)),
        4 => index().prop_map(Step::Finished),
        2 => index().prop_map(Step::Cancelled),
        4 => (index(), index(), prop::option::of(0u16..1_000))
            .prop_map(|(job, stage, held_ms)| Step::Failed { job, stage, held_ms }),
        2 => (index(), 0u16..2_000, 0u32..8, 0u32..100, 0u32..10_000).prop_map(
            |(server, age_ms, running, used_pieces, queued_tokens)| Step::Report {
                server, age_ms, running, used_pieces, queued_tokens,
            }
        ),
        2 => (index(), 0u64..50, any::<bool>(), any::<bool>()).prop_map(
            |(server, first, is_evicted, gap)| Step::Cache { server, first, is_evicted, gap }
        ),
        1 => index().prop_map(Step::Cordon),
        1 => index().prop_map(Step::Remove),
        1 => (any::<bool>(), 0u8..8)
            .prop_map(|(is_prefill, number)| Step::Add { is_prefill, number }),
        8 => (0u16..400).prop_map(Step::Advance),
    ]
}

/// A driver that passes arbitrary events to the scheduler and checks every action.
struct RandomDriver {
    harness: Harness,
    jobs: Vec<JobKey>,
    active: BTreeMap<JobKey, JobProgress>,
    end_counts: BTreeMap<JobKey, u32>,
    servers: Vec<ServerKey>,
    cordoned: BTreeSet<ServerKey>,
    removed: BTreeSet<ServerKey>,
}

#[derive(Debug, Default, Clone, Copy)]
struct JobProgress {
    tokens: u32,
    is_transferring: bool,
    is_decoding: bool,
    is_prefilling: bool,
}

const MAX_WAITING: usize = 12;

impl RandomDriver {
    fn new() -> Self {
        let settings = SchedulerSettings { max_waiting: MAX_WAITING, ..Default::default() };
        let mut driver = Self {
            harness: Harness::with_settings(0, 0, settings),
            jobs: Vec::new(),
            active: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            servers: Vec::new(),
            cordoned: BTreeSet::new(),
            removed: BTreeSet::new(),
        };
        for number in 0..3 {
            driver.add(true, number);
            driver.add(false, number);
        }
        driver
    }

    fn add(&mut self, is_prefill: bool, number: u8) {
        let role = if is_prefill { Role::Prefill } else { Role::Decode };
        let zone = if number.is_multiple_of(2) { "a" } else { "b" };
        let mut spec = spec(role, &format!("{role:?}-{number}"), zone);
        spec.slots = 3;
        spec.memory_pieces = 60;
        let key = self.harness.add(spec);
        self.removed.remove(&key);
        if !self.servers.contains(&key) {
            self.servers.push(key);
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.harness.now;
        let jobs = self.jobs.clone();
        let any_job = |index: &Index| (!jobs.is_empty()).then(|| *index.get(&jobs));
        let scheduler = &mut self.harness.scheduler;
        match step {
            Step::Submit { workspace, prompt_pieces, is_deferrable, is_suspect, deadline_ms } => {
                let blocks: Vec<_> = (0..u64::from(*prompt_pieces)).map(BlockHash).collect();
                let name = format!("w{workspace}");
                let key = scheduler.submit(
                    now,
                    Job {
                        workspace: WorkspaceName::try_from(name.as_str()).unwrap(),
                        // The answer fits into the last piece, so that memory use does not grow.
                        prompt_tokens: prompt_pieces * 64 - 40,
                        blocks: blocks.into(),
                        expected_output_tokens: 15,
                        max_output_tokens: 30,
                        urgency: match is_deferrable {
                            true => Urgency::Deferrable,
                            false => Urgency::Interactive,
                        },
                        deadline: (*deadline_ms > 4_000)
                            .then(|| now + Duration::from_millis(u64::from(*deadline_ms))),
                        is_suspect: *is_suspect,
                        ..job(now)
                    },
                );
                assert!(!self.jobs.contains(&key), "the key of an ended job is reused");
                self.jobs.push(key);
                self.active.insert(key, JobProgress::default());
            }
            Step::Prefilled(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.prefilled(now, job, 0, now + Duration::from_millis(700));
            }
            Step::Transferred(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.transferred(now, job);
                let Some(progress) = self.active.get_mut(&job) else { return };
                progress.is_decoding |= std::mem::take(&mut progress.is_transferring);
            }
            Step::Progressed(index, tokens) => {
                let Some(job) = any_job(index) else { return };
                scheduler.progressed(now, job, *tokens);
                let Some(progress) = self.active.get_mut(&job) else { return };
                progress.is_decoding |= std::mem::take(&mut progress.is_transferring);
                if progress.is_decoding {
                    progress.tokens = progress.tokens.max(*tokens);
                }
            }
            Step::Finished(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.finished(now, job);
                self.end(job);
            }
            Step::Cancelled(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.cancelled(now, job);
                self.end(job);
            }
            Step::Failed { job, stage, held_ms } => {
                let Some(job) = any_job(job) else { return };
                let held_until =
                    held_ms.map(|millis| now + Duration::from_millis(u64::from(millis)));
                scheduler.failed(now, job, *stage.get(&STAGES), held_until);
                let Some(progress) = self.active.get_mut(&job) else { return };
                *progress = JobProgress { tokens: progress.tokens, ..JobProgress::default() };
            }
            Step::Report { server, age_ms, running, used_pieces, queued_tokens } => {
                let made_at = now - Duration::from_millis(u64::from(*age_ms));
                let report = LoadReport {
                    made_at,
                    running: *running,
                    waiting: 0,
                    used_pieces: *used_pieces,
                    queued_tokens: *queued_tokens,
                };
                scheduler.report(now, *server.get(&self.servers), report);
            }
            Step::Cache { server, first, is_evicted, gap } => {
                let blocks: Vec<_> = (*first..first + 5).map(BlockHash).collect();
                let (stored, evicted) =
                    if *is_evicted { (&[][..], &blocks[..]) } else { (&blocks[..], &[][..]) };
                let server = *server.get(&self.servers);
                scheduler.cache_events(now, server, stored, evicted, *gap);
            }
            Step::Cordon(index) => {
                let server = *index.get(&self.servers);
                scheduler.cordon_server(now, server);
                self.cordoned.insert(server);
            }
            Step::Remove(index) => {
                let server = *index.get(&self.servers);
                scheduler.remove_server(now, server);
                self.removed.insert(server);
            }
            Step::Add { is_prefill, number } => self.add(*is_prefill, *number),
            Step::Advance(millis) => self.harness.advance(u64::from(*millis)),
        }
    }

    fn end(&mut self, job: JobKey) {
        if self.active.remove(&job).is_some() {
            *self.end_counts.entry(job).or_default() += 1;
        }
    }

    fn poll(&mut self) {
        let actions = self.harness.poll();
        for action in &actions {
            match action {
                Action::Prefill { job, server, decode } => {
                    let progress = self.active.get_mut(job).expect("the job has not ended");
                    assert!(!progress.is_transferring && !progress.is_decoding, "{action:?}");
                    progress.is_prefilling = true;
                    for server in [Some(*server), *decode].into_iter().flatten() {
                        assert!(
                            !self.cordoned.contains(&server),
                            "{action:?} to a cordoned server"
                        );
                        assert!(!self.removed.contains(&server), "{action:?} to a removed server");
                    }
                }
                Action::Transfer { job, decode, .. } => {
                    let progress = self.active.get_mut(job).expect("the job has not ended");
                    assert!(!progress.is_transferring && !progress.is_decoding, "{action:?}");
                    progress.is_transferring = true;
                    assert!(!self.cordoned.contains(decode), "{action:?} to a cordoned server");
                    assert!(!self.removed.contains(decode), "{action:?} to a removed server");
                }
                Action::Refuse { job, .. } => {
                    let progress = self.active.get(job).expect("the job has not ended");
                    assert_eq!(progress.tokens, 0, "{action:?} after a token");
                    self.end(*job);
                }
            }
        }
        assert_eq!(self.harness.scheduler.jobs(), self.active.len());
        let next = self.harness.scheduler.next_poll();
        assert!(
            next.is_none_or(|next| next > self.harness.now),
            "the next poll is not in the future"
        );
        self.check_load();
    }

    fn check_load(&self) {
        for server in &self.servers {
            let Some(usage) = self.harness.scheduler.usage(*server) else { continue };
            assert!(usage.running <= 3 && usage.running_pieces <= 60, "{usage:?}");
            assert!(usage.prefills <= 3, "{usage:?}");
            assert!(usage.reserved <= 3, "{usage:?}");
        }
        assert!(self.harness.scheduler.waiting() <= MAX_WAITING + self.active.len());
    }

    fn check_no_load_remains(&mut self) {
        for job in self.jobs.clone() {
            self.harness.scheduler.cancelled(self.harness.now, job);
            self.end(job);
        }
        self.poll();
        assert_eq!(self.harness.scheduler.jobs(), 0);
        assert_eq!(self.harness.scheduler.waiting(), 0);
        for job in &self.jobs {
            assert_eq!(self.end_counts.get(job), Some(&1));
        }
        for server in &self.servers {
            let Some(usage) = self.harness.scheduler.usage(*server) else { continue };
            assert_eq!(usage.prefills + usage.prefill_pieces, 0, "{usage:?}");
            assert_eq!(usage.running + usage.running_pieces, 0, "{usage:?}");
            assert_eq!(usage.reserved + usage.reserved_pieces, 0, "{usage:?}");
            assert_eq!(usage.transfers, 0, "{usage:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Every job ends once, no action is for an ended job or a cordoned or removed server, no
    /// refusal comes after a token, no server gets more than its capacity, and no load is accounted
    /// for when all jobs have ended.
    #[test]
    fn load_accounting_holds_in_any_event_order(steps in prop::collection::vec(step(), 1..300)) {
        let mut driver = RandomDriver::new();
        for step in &steps {
            driver.apply(step);
            driver.poll();
        }
        driver.check_no_load_remains();
    }

    /// The same properties hold if several events arrive between two polls.
    #[test]
    fn load_accounting_holds_when_polls_are_rare(
        steps in prop::collection::vec(step(), 1..300),
        poll_interval in 2usize..20,
    ) {
        let mut driver = RandomDriver::new();
        for (n, step) in steps.iter().enumerate() {
            driver.apply(step);
            if n % poll_interval == 0 {
                driver.poll();
            }
        }
        driver.check_no_load_remains();
    }
}
