//! Plays instances that follow a store and pass proofs on, with answers that are late, lost, repeated or reordered,
//! and instances that freeze and restart.

use std::time::Duration;

use magnoliaspar_access::{ConfigurationMark, Freshness, ProofReport, Revocation};
use magnoliaspar_core::Epoch;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_assert, prop_oneof, proptest};

const INSTANCES: usize = 4;

/// Time from the acknowledgement of a configuration within which the keys that it revokes become unusable.
const BOUND: Duration = Duration::from_secs(5);

fn mark(version: u64) -> ConfigurationMark {
    ConfigurationMark { version, epoch: Epoch(0) }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes.
    Wait { millis: u64 },
    /// The store acknowledges a configuration.
    Write,
    /// An instance calls the store, which answers at once; the answer is under way.
    CallStore { instance: usize },
    /// An instance asks another one; the question is under way.
    Ask { from: usize, to: usize },
    /// A message arrives; it may arrive again.
    Deliver { index: usize, is_kept: bool },
    /// A message is lost.
    Lose { index: usize },
    /// An instance gets the configuration of another one, without a proof.
    Copy { from: usize, to: usize },
    /// An instance starts anew.
    Restart { instance: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        6 => (0_u64..1_500).prop_map(|millis| Step::Wait { millis }),
        2 => Just(Step::Write),
        4 => instance.clone().prop_map(|instance| Step::CallStore { instance }),
        6 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Ask { from, to }),
        12 => (0_usize..100, proptest::bool::weighted(0.2))
            .prop_map(|(index, is_kept)| Step::Deliver { index, is_kept }),
        1 => (0_usize..100).prop_map(|index| Step::Lose { index }),
        1 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Copy { from, to }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Message {
    /// The store's answer to a call of a process.
    Stored { to: usize, process: u64, called: Duration, version: u64 },
    /// A question of one instance to another.
    Question { from: usize, to: usize, number: u64 },
    /// The answer to a question.
    Answer { to: usize, number: u64, report: ProofReport },
}

#[derive(Debug)]
struct Instance {
    /// Number of the process.
    process: u64,
    version: u64,
    freshness: Freshness,
}

impl Instance {
    fn new(process: u64) -> Self {
        // Far apart, so that the questions of two processes differ.
        Self { process, version: 0, freshness: Freshness::new(process << 32) }
    }
}

#[derive(Debug)]
struct World {
    now: Duration,
    /// The times at which the configurations were acknowledged.
    acknowledged: Vec<Duration>,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    processes: u64,
}

impl World {
    fn new() -> Self {
        let mut instances = Vec::new();
        for process in 0..INSTANCES as u64 {
            instances.push(Instance::new(process));
        }
        let now = Duration::from_secs(100);
        let acknowledged = vec![now];
        Self { now, acknowledged, instances, messages: Vec::new(), processes: INSTANCES as u64 }
    }

    fn version(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
            Step::Write => self.acknowledged.push(self.now),
            Step::CallStore { instance } => {
                let process = self.instances[instance].process;
                let (called, version) = (self.now, self.version());
                self.messages.push(Message::Stored { to: instance, process, called, version });
            }
            Step::Ask { from, to } => {
                let number = self.instances[from].freshness.ask(self.now);
                self.messages.push(Message::Question { from, to, number });
            }
            Step::Deliver { index, is_kept } => {
                if self.messages.is_empty() {
                    return;
                }
                let index = index % self.messages.len();
                let message = self.messages[index];
                if !is_kept {
                    self.messages.swap_remove(index);
                }
                self.deliver(message);
            }
            Step::Lose { index } => {
                if !self.messages.is_empty() {
                    self.messages.swap_remove(index % self.messages.len());
                }
            }
            Step::Copy { from, to } => {
                let version = self.instances[from].version;
                self.instances[to].version = self.instances[to].version.max(version);
            }
            Step::Restart { instance } => {
                self.instances[instance] = Instance::new(self.processes);
                self.processes += 1;
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Stored { to, process, called, version } => {
                let instance = &mut self.instances[to];
                if instance.process != process {
                    return;
                }
                instance.version = instance.version.max(version);
                instance.freshness.record(mark(instance.version), mark(version), called);
            }
            Message::Question { from, to, number } => {
                let asked = &self.instances[to];
                let report = asked.freshness.report(mark(asked.version), self.now);
                let Some(report) = report else { return };
                self.messages.push(Message::Answer { to: from, number, report });
            }
            Message::Answer { to, number, report } => {
                let instance = &mut self.instances[to];
                instance.freshness.apply(mark(instance.version), number, report);
            }
        }
    }

    /// Returns the newest version that had been acknowledged a bound ago.
    fn required(&self) -> u64 {
        let is_old = |at: &&Duration| **at + BOUND < self.now;
        self.acknowledged.iter().filter(is_old).count() as u64
    }
}

proptest! {
    /// Guards against an instance that accepts a key which was revoked longer than the bound ago.
    #[test]
    fn no_schedule_lets_a_revoked_key_in(steps in vec(step(), 0..400)) {
        let max_age = Revocation { is_strict: true, bound: Some(BOUND) }.max_proof_age();
        let mut world = World::new();
        for step in steps {
            world.play(step);
            for instance in &world.instances {
                if instance.freshness.is_proven(world.now, max_age) {
                    prop_assert!(instance.version >= world.required(), "{step:?}");
                }
            }
        }
    }
}

/// Guards against callers that are refused in calm: three instances call the store and wait a second in each call, and
/// the others ask them each 0.8 s, with one of the three answers lost.
#[test]
fn in_calm_a_lost_answer_leaves_an_instance_its_proof() {
    let mut followers = [Freshness::new(0), Freshness::new(0), Freshness::new(0)];
    let mut called = [1_000, 1_300, 1_700].map(Duration::from_millis);
    let mut other = Freshness::new(0);
    let mut oldest = Duration::ZERO;
    for millis in (1_000..60_000).step_by(100) {
        let now = Duration::from_millis(millis);
        for (follower, called) in followers.iter_mut().zip(&mut called) {
            if now >= *called + Duration::from_millis(1_010) {
                follower.record(mark(1), mark(1), *called);
                *called = now;
            }
        }
        if millis % 800 == 0 {
            let question = other.ask(now);
            let lost = (millis / 800 % 3) as usize;
            for (index, follower) in followers.iter().enumerate() {
                let report = follower.report(mark(1), now).filter(|_| index != lost);
                if let Some(report) = report {
                    other.apply(mark(1), question, report);
                }
            }
        }
        if millis > 5_000 {
            oldest = oldest.max(other.age(now).unwrap());
        }
    }
    // Callers of an instance that has not reached the store for 0.6 of the bound are not owed an answer.
    assert!(oldest <= BOUND.mul_f64(0.6), "{oldest:?}");
}

/// Guards against a late answer that counts from its arrival.
#[test]
fn a_late_answer_proves_only_the_moment_of_its_question() {
    let mut freshness = Freshness::new(7);
    let question = freshness.ask(Duration::from_secs(10));
    let report = ProofReport { age_ms: 1_000, configuration: mark(3) };
    assert!(!freshness.apply(mark(2), question, report), "a newer configuration is known");
    assert!(!freshness.apply(mark(3), question + 1, report), "nobody was asked");
    assert!(freshness.apply(mark(3), question, report));
    assert_eq!(freshness.age(Duration::from_secs(30)), Some(Duration::from_secs(21)));
}
