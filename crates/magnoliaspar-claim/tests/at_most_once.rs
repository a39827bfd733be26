//! A key is dispatched at most once, whatever instances, callers and the platform do.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use common::{controller, outcome, request};
use magnoliaspar_claim::{ClaimController, ClaimVerdict, StoredOutcome};
use magnoliaspar_core::ManualClock;
use magnoliaspar_fake::{FaultProbabilities, MemoryTable};
use magnoliaspar_store::{PlatformError, Row, RowKey, TableService, Transaction, WriteOutcome};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::{AbortHandle, yield_now};

const INSTANCES: usize = 3;
const KEYS: usize = 3;

/// The most task switches that one call of the table takes.
const MAX_SWITCHES: u32 = 6;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends a request, and its attempt ends in some way.
    Attempt { instance: usize, key: usize, end: End },
    /// Time passes.
    Run { switches: u8 },
    /// A caller goes away.
    Cancel { attempt: usize },
    /// An instance dies, wherever it is, and another takes its place.
    Replace { instance: usize },
    /// The platform goes away or comes back.
    Outage { is_out: bool },
    /// An instance writes what it has left.
    Retry { instance: usize },
}

/// How an attempt goes on once it holds a ticket.
#[derive(Debug, Clone, Copy)]
enum End {
    Complete,
    Abandon,
    Drop,
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![3 => Just(End::Complete), 2 => Just(End::Abandon), 1 => Just(End::Drop)];
    prop_oneof![
        6 => (0..INSTANCES, 0..KEYS, end)
            .prop_map(|(instance, key, end)| Step::Attempt { instance, key, end }),
        6 => (0..40_u8).prop_map(|switches| Step::Run { switches }),
        1 => any::<usize>().prop_map(|attempt| Step::Cancel { attempt }),
        1 => (0..INSTANCES).prop_map(|instance| Step::Replace { instance }),
        1 => any::<bool>().prop_map(|is_out| Step::Outage { is_out }),
        2 => (0..INSTANCES).prop_map(|instance| Step::Retry { instance }),
    ]
}

/// The table as an instance sees it until it dies, from when on no call ever returns.
struct MortalTable {
    inner: MemoryTable,
    is_alive: Rc<Cell<bool>>,
}

impl MortalTable {
    async fn live_or_hang(&self) {
        live_or_hang(&self.is_alive).await;
    }
}

async fn live_or_hang(is_alive: &Cell<bool>) {
    if !is_alive.get() {
        std::future::pending::<()>().await;
    }
}

#[async_trait(?Send)]
impl TableService for MortalTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.live_or_hang().await;
        let result = self.inner.read(key).await;
        self.live_or_hang().await;
        result
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        self.live_or_hang().await;
        let result = self.inner.commit(transaction).await;
        self.live_or_hang().await;
        result
    }
}

/// What has happened so far.
#[derive(Default)]
struct Journal {
    dispatched: BTreeMap<usize, u32>,
    /// The outcomes that attempts had, by key.
    outcomes: BTreeMap<usize, StoredOutcome>,
    /// The keys for which an instance has died or dropped its ticket.
    lost: BTreeSet<usize>,
    number: u64,
    /// What went wrong within tasks, whose panics nobody would see.
    violations: Vec<String>,
}

#[derive(Clone)]
struct Life {
    controller: ClaimController,
    is_alive: Rc<Cell<bool>>,
    attempted: Rc<RefCell<BTreeSet<usize>>>,
}

struct World {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    lives: Vec<Life>,
    births: u64,
    journal: Rc<RefCell<Journal>>,
    attempts: Vec<AbortHandle>,
}

impl World {
    fn new(seed: u64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        let chances = FaultProbabilities {
            unavailable: 0.05,
            lost_request: 0.1,
            lost_answer: 0.15,
            late_effect: 0.15,
        };
        table.faults().set_probabilities(chances, seed);
        let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
        let sleeper = move |_| {
            let switches = rng.borrow_mut().random_range(0..MAX_SWITCHES);
            let future: std::pin::Pin<Box<dyn Future<Output = ()>>> = Box::pin(run(switches));
            future
        };
        table.faults().set_delay(Duration::ZERO, Rc::new(sleeper));
        let journal = Rc::default();
        let mut world =
            Self { clock, table, lives: Vec::new(), births: 0, journal, attempts: Vec::new() };
        for instance in 0..INSTANCES {
            let life = world.birth(instance);
            world.lives.push(life);
        }
        world
    }

    fn birth(&mut self, instance: usize) -> Life {
        self.births += 1;
        let is_alive = Rc::new(Cell::new(true));
        let table = MortalTable { inner: self.table.clone(), is_alive: is_alive.clone() };
        let name = format!("instance-{instance}");
        let controller = controller(Rc::new(table), &self.clock, &name, self.births);
        Life { controller, is_alive, attempted: Rc::default() }
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Attempt { instance, key, end } => self.start_attempt(instance, key, end),
            Step::Run { switches } => run(switches.into()).await,
            Step::Cancel { attempt } => {
                let Some(index) = attempt.checked_rem(self.attempts.len()) else { return };
                self.attempts[index].abort();
                // The task is dropped when the runtime gets to it.
                yield_now().await;
            }
            Step::Replace { instance } => {
                let life = self.birth(instance);
                let dead = std::mem::replace(&mut self.lives[instance], life);
                dead.is_alive.set(false);
                self.journal.borrow_mut().lost.extend(dead.attempted.borrow().iter());
            }
            Step::Outage { is_out } => self.table.faults().set_outage(is_out),
            Step::Retry { instance } => {
                let controller = self.lives[instance].controller.clone();
                actix_rt::spawn(async move { controller.retry_pending().await });
            }
        }
    }

    fn start_attempt(&mut self, instance: usize, key: usize, end: End) {
        let life = self.lives[instance].clone();
        life.attempted.borrow_mut().insert(key);
        let task = attempt(life, self.journal.clone(), key, end);
        self.attempts.push(actix_rt::spawn(task).abort_handle());
    }

    /// Ends all faults, and lets every instance write what it has left.
    async fn heal(&self) {
        self.table.faults().set_outage(false);
        self.table.faults().set_probabilities(FaultProbabilities::default(), 0);
        run(2000).await;
        for life in &self.lives {
            assert_eq!(life.controller.retry_pending().await, 0);
        }
    }

    /// Claims every key once more.
    async fn check(&self) {
        assert!(
            self.journal.borrow().violations.is_empty(),
            "{:?}",
            self.journal.borrow().violations
        );
        for key in 0..KEYS {
            let life = &self.lives[key % INSTANCES];
            let verdict = life.controller.claim(&request(&format!("key-{key}"), "")).await;
            let journal = self.journal.borrow();
            let times = journal.dispatched.get(&key).copied().unwrap_or(0);
            match verdict {
                ClaimVerdict::Dispatch(_) => assert_eq!(times, 0, "{key} is free again"),
                ClaimVerdict::Resend(outcome) => {
                    assert_eq!(journal.outcomes.get(&key), Some(&outcome));
                }
                ClaimVerdict::MayHaveRun { .. } => {
                    let is_explained = journal.lost.contains(&key);
                    assert!(is_explained, "{key} has no outcome; it was dispatched {times} times");
                }
                verdict => panic!("{verdict:?} without a fault"),
            }
        }
    }
}

async fn attempt(life: Life, journal: Rc<RefCell<Journal>>, key: usize, end: End) {
    let verdict = life.controller.claim(&request(&format!("key-{key}"), "")).await;
    live_or_hang(&life.is_alive).await;
    let ticket = match verdict {
        ClaimVerdict::Dispatch(ticket) => ticket,
        ClaimVerdict::Resend(outcome) => {
            let mut journal = journal.borrow_mut();
            if journal.outcomes.get(&key) != Some(&outcome) {
                journal.violations.push(format!("{key} got {outcome:?}"));
            }
            return;
        }
        ClaimVerdict::Mismatch => {
            journal.borrow_mut().violations.push(format!("{key} is taken for another request"));
            return;
        }
        ClaimVerdict::MayHaveRun { .. } | ClaimVerdict::NotRun { .. } => return,
    };
    if matches!(end, End::Abandon) {
        life.controller.abandon(ticket).await;
        return;
    }
    let number = {
        let mut journal = journal.borrow_mut();
        let times = journal.dispatched.entry(key).or_default();
        *times += 1;
        if *times > 1 {
            journal.violations.push(format!("{key} is dispatched twice"));
        }
        journal.number += 1;
        journal.number
    };
    if matches!(end, End::Drop) {
        journal.borrow_mut().lost.insert(key);
        return;
    }
    let outcome = outcome(&format!("outcome {number}"));
    journal.borrow_mut().outcomes.insert(key, outcome.clone());
    life.controller.complete(ticket, outcome).await;
}

async fn run(switches: u32) {
    for _ in 0..switches {
        yield_now().await;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_is_dispatched_at_most_once(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        actix_rt::System::new().block_on(async {
            let mut world = World::new(seed);
            for step in steps {
                world.take(step).await;
            }
            world.heal().await;
            world.check().await;
        });
    }
}
