//! What holds of the scheduler's books whatever happens in whatever order.

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

use self::common::{Bench, job, spec};

const STAGES: [FailedStage; 4] =
    [FailedStage::Prefill, FailedStage::Admission, FailedStage::Transfer, FailedStage::Decode];

/// Something that happens, to any job or server that ever was.
#[derive(Debug, Clone)]
enum Step {
    Submit { workspace: u8, prompt_pieces: u32, is_deferrable: bool, is_suspect: bool, dead: u16 },
    Prefilled(Index),
    Transferred(Index),
    Progressed(Index, u32),
    Finished(Index),
    Cancelled(Index),
    Failed { job: Index, stage: Index, held: Option<u16> },
    Report { server: Index, age: u16, running: u32, used_pieces: u32, queued_tokens: u32 },
    Cache { server: Index, first: u64, is_evicted: bool, gap: bool },
    Seal(Index),
    Remove(Index),
    Add { is_prefill: bool, number: u8 },
    Pass(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let index = || any::<Index>();
    prop_oneof![
        8 => (0u8..4, 1u32..40, any::<bool>(), prop::bool::weighted(0.1), 0u16..8_000).prop_map(
            |(workspace, prompt_pieces, is_deferrable, is_suspect, dead)| Step::Submit {
                workspace, prompt_pieces, is_deferrable, is_suspect, dead,
            }
        ),
        8 => index().prop_map(Step::Prefilled),
        8 => index().prop_map(Step::Transferred),
        4 => (index(), 0u32..30).prop_map(|(job, tokens)| Step::Progressed(job, tokens)),
        4 => index().prop_map(Step::Finished),
        2 => index().prop_map(Step::Cancelled),
        4 => (index(), index(), prop::option::of(0u16..1_000))
            .prop_map(|(job, stage, held)| Step::Failed { job, stage, held }),
        2 => (index(), 0u16..2_000, 0u32..8, 0u32..100, 0u32..10_000).prop_map(
            |(server, age, running, used_pieces, queued_tokens)| Step::Report {
                server, age, running, used_pieces, queued_tokens,
            }
        ),
        2 => (index(), 0u64..50, any::<bool>(), any::<bool>()).prop_map(
            |(server, first, is_evicted, gap)| Step::Cache { server, first, is_evicted, gap }
        ),
        1 => index().prop_map(Step::Seal),
        1 => index().prop_map(Step::Remove),
        1 => (any::<bool>(), 0u8..8)
            .prop_map(|(is_prefill, number)| Step::Add { is_prefill, number }),
        8 => (0u16..400).prop_map(Step::Pass),
    ]
}

/// A driver that tells the scheduler anything and checks all that it answers.
struct Chaos {
    bench: Bench,
    jobs: Vec<JobKey>,
    live: BTreeMap<JobKey, Live>,
    ends: BTreeMap<JobKey, u32>,
    servers: Vec<ServerKey>,
    sealed: BTreeSet<ServerKey>,
    removed: BTreeSet<ServerKey>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Live {
    tokens: u32,
    is_transferring: bool,
    is_decoding: bool,
    is_prefilling: bool,
}

const MAX_WAITING: usize = 12;

impl Chaos {
    fn new() -> Self {
        let settings = SchedulerSettings { max_waiting: MAX_WAITING, ..Default::default() };
        let mut chaos = Self {
            bench: Bench::with_settings(0, 0, settings),
            jobs: Vec::new(),
            live: BTreeMap::new(),
            ends: BTreeMap::new(),
            servers: Vec::new(),
            sealed: BTreeSet::new(),
            removed: BTreeSet::new(),
        };
        for number in 0..3 {
            chaos.add(true, number);
            chaos.add(false, number);
        }
        chaos
    }

    fn add(&mut self, is_prefill: bool, number: u8) {
        let role = if is_prefill { Role::Prefill } else { Role::Decode };
        let zone = if number.is_multiple_of(2) { "a" } else { "b" };
        let mut spec = spec(role, &format!("{role:?}-{number}"), zone);
        spec.slots = 3;
        spec.memory_pieces = 60;
        let key = self.bench.add(spec);
        self.removed.remove(&key);
        if !self.servers.contains(&key) {
            self.servers.push(key);
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.bench.now;
        let jobs = self.jobs.clone();
        let any_job = |index: &Index| (!jobs.is_empty()).then(|| *index.get(&jobs));
        let scheduler = &mut self.bench.scheduler;
        match step {
            Step::Submit { workspace, prompt_pieces, is_deferrable, is_suspect, dead } => {
                let blocks: Vec<_> = (0..u64::from(*prompt_pieces)).map(BlockHash).collect();
                let name = format!("w{workspace}");
                let key = scheduler.submit(
                    now,
                    Job {
                        workspace: WorkspaceName::try_from(name.as_str()).unwrap(),
                        // The answer fits into the last piece, so that books do not grow.
                        prompt_tokens: prompt_pieces * 64 - 40,
                        blocks: blocks.into(),
                        expected_output_tokens: 15,
                        max_output_tokens: 30,
                        urgency: match is_deferrable {
                            true => Urgency::Deferrable,
                            false => Urgency::Interactive,
                        },
                        deadline: (*dead > 4_000)
                            .then(|| now + Duration::from_millis(u64::from(*dead))),
                        is_suspect: *is_suspect,
                        ..job(now)
                    },
                );
                assert!(!self.jobs.contains(&key), "the key of an ended job is used again");
                self.jobs.push(key);
                self.live.insert(key, Live::default());
            }
            Step::Prefilled(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.prefilled(now, job, 0, now + Duration::from_millis(700));
            }
            Step::Transferred(index) => {
                let Some(job) = any_job(index) else { return };
                scheduler.transferred(now, job);
                let Some(live) = self.live.get_mut(&job) else { return };
                live.is_decoding |= std::mem::take(&mut live.is_transferring);
            }
            Step::Progressed(index, tokens) => {
                let Some(job) = any_job(index) else { return };
                scheduler.progressed(now, job, *tokens);
                let Some(live) = self.live.get_mut(&job) else { return };
                live.is_decoding |= std::mem::take(&mut live.is_transferring);
                if live.is_decoding {
                    live.tokens = live.tokens.max(*tokens);
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
            Step::Failed { job, stage, held } => {
                let Some(job) = any_job(job) else { return };
                let held = held.map(|millis| now + Duration::from_millis(u64::from(millis)));
                scheduler.failed(now, job, *stage.get(&STAGES), held);
                let Some(live) = self.live.get_mut(&job) else { return };
                *live = Live { tokens: live.tokens, ..Live::default() };
            }
            Step::Report { server, age, running, used_pieces, queued_tokens } => {
                let made_at = now - Duration::from_millis(u64::from(*age));
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
            Step::Seal(index) => {
                let server = *index.get(&self.servers);
                scheduler.cordon_server(now, server);
                self.sealed.insert(server);
            }
            Step::Remove(index) => {
                let server = *index.get(&self.servers);
                scheduler.remove_server(now, server);
                self.removed.insert(server);
            }
            Step::Add { is_prefill, number } => self.add(*is_prefill, *number),
            Step::Pass(millis) => self.bench.pass(u64::from(*millis)),
        }
    }

    fn end(&mut self, job: JobKey) {
        if self.live.remove(&job).is_some() {
            *self.ends.entry(job).or_default() += 1;
        }
    }

    fn poll(&mut self) {
        let actions = self.bench.poll();
        for action in &actions {
            match action {
                Action::Prefill { job, server, decode } => {
                    let live = self.live.get_mut(job).expect("the job is not over");
                    assert!(!live.is_transferring && !live.is_decoding, "{action:?}");
                    live.is_prefilling = true;
                    for server in [Some(*server), *decode].into_iter().flatten() {
                        assert!(!self.sealed.contains(&server), "{action:?} to a sealed server");
                        assert!(!self.removed.contains(&server), "{action:?} to a removed server");
                    }
                }
                Action::Transfer { job, decode, .. } => {
                    let live = self.live.get_mut(job).expect("the job is not over");
                    assert!(!live.is_transferring && !live.is_decoding, "{action:?}");
                    live.is_transferring = true;
                    assert!(!self.sealed.contains(decode), "{action:?} to a sealed server");
                    assert!(!self.removed.contains(decode), "{action:?} to a removed server");
                }
                Action::Refuse { job, .. } => {
                    let live = self.live.get(job).expect("the job is not over");
                    assert_eq!(live.tokens, 0, "{action:?} after a token");
                    self.end(*job);
                }
            }
        }
        assert_eq!(self.bench.scheduler.jobs(), self.live.len());
        let next = self.bench.scheduler.next_poll();
        assert!(next.is_none_or(|next| next > self.bench.now), "the next poll is not later");
        self.check_books();
    }

    fn check_books(&self) {
        for server in &self.servers {
            let Some(usage) = self.bench.scheduler.usage(*server) else { continue };
            assert!(usage.running <= 3 && usage.running_pieces <= 60, "{usage:?}");
            assert!(usage.prefills <= 3, "{usage:?}");
            assert!(usage.reserved <= 3, "{usage:?}");
        }
        assert!(self.bench.scheduler.waiting() <= MAX_WAITING + self.live.len());
    }

    fn check_empty(&mut self) {
        for job in self.jobs.clone() {
            self.bench.scheduler.cancelled(self.bench.now, job);
            self.end(job);
        }
        self.poll();
        assert_eq!(self.bench.scheduler.jobs(), 0);
        assert_eq!(self.bench.scheduler.waiting(), 0);
        for job in &self.jobs {
            assert_eq!(self.ends.get(job), Some(&1));
        }
        for server in &self.servers {
            let Some(usage) = self.bench.scheduler.usage(*server) else { continue };
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

    /// Every job ends once, no action is for a job that is over or goes to a server that is
    /// sealed or removed, no refusal comes after a token, no server is given more than it has
    /// room for, and the books are empty when all jobs are over.
    #[test]
    fn books_hold_under_any_order_of_events(steps in prop::collection::vec(step(), 1..300)) {
        let mut chaos = Chaos::new();
        for step in &steps {
            chaos.apply(step);
            chaos.poll();
        }
        chaos.check_empty();
    }

    /// The same without a poll between events.
    #[test]
    fn books_hold_when_polls_are_rare(
        steps in prop::collection::vec(step(), 1..300),
        every in 2usize..20,
    ) {
        let mut chaos = Chaos::new();
        for (n, step) in steps.iter().enumerate() {
            chaos.apply(step);
            if n % every == 0 {
                chaos.poll();
            }
        }
        chaos.check_empty();
    }
}
