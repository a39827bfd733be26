//! A key is dispatched at most once, despite crashes of instances, cancelled callers and faults of
//! the platform.

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

/// Maximum number of task switches that one call of the table takes.
const MAX_SWITCHES: u32 = 6;

/// One step of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends a request, whose attempt ends as given.
    Attempt { instance: usize, key: usize, end: End },
    /// Other tasks run for a number of task switches.
    Run { switches: u8 },
    /// A caller disconnects.
    Cancel { attempt: usize },
    /// An instance crashes at any point and another takes its place.
    Replace { instance: usize },
    /// An outage of the platform starts or ends.
    Outage { is_out: bool },
    /// An instance retries its pending writes.
    Retry { instance: usize },
}

/// The end of an attempt that holds a ticket.
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

/// The table as one instance sees it. Once the instance has crashed, no call returns.
struct CrashableTable {
    inner: MemoryTable,
    is_alive: Rc<Cell<bool>>,
}

impl CrashableTable {
    async fn hang_if_crashed(&self) {
        hang_if_crashed(&self.is_alive).await;
    }
}

async fn hang_if_crashed(is_alive: &Cell<bool>) {
    if !is_alive.get() {
        std::future::pending::<()>().await;
    }
}

#[async_trait(?Send)]
impl TableService for CrashableTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.hang_if_crashed().await;
        let result = self.inner.read(key).await;
        self.hang_if_crashed().await;
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
        self.hang_if_crashed().await;
        let result = self.inner.commit(transaction).await;
        self.hang_if_crashed().await;
        result
    }
}

/// Record of the run, against which the results are checked.
#[derive(Default)]
struct History {
    /// Number of dispatches, by key.
    dispatched: BTreeMap<usize, u32>,
    /// The outcomes of the attempts, by key.
    outcomes: BTreeMap<usize, StoredOutcome>,
    /// The keys whose instance crashed or dropped the ticket.
    lost: BTreeSet<usize>,
    /// Number of outcomes so far, which makes them distinct.
    outcome_count: u64,
    /// Failures within tasks, whose panics would not fail the test.
    violations: Vec<String>,
}

/// The process of one instance, from its start to its crash.
#[derive(Clone)]
struct Process {
    controller: ClaimController,
    is_alive: Rc<Cell<bool>>,
    attempted: Rc<RefCell<BTreeSet<usize>>>,
}

struct Simulation {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    processes: Vec<Process>,
    incarnations: u64,
    history: Rc<RefCell<History>>,
    attempts: Vec<AbortHandle>,
}

impl Simulation {
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
        let history = Rc::default();
        let mut sim = Self {
            clock,
            table,
            processes: Vec::new(),
            incarnations: 0,
            history,
            attempts: Vec::new(),
        };
        for instance in 0..INSTANCES {
            let process = sim.start_process(instance);
            sim.processes.push(process);
        }
        sim
    }

    fn start_process(&mut self, instance: usize) -> Process {
        self.incarnations += 1;
        let is_alive = Rc::new(Cell::new(true));
        let table = CrashableTable { inner: self.table.clone(), is_alive: is_alive.clone() };
        let name = format!("instance-{instance}");
        let controller = controller(Rc::new(table), &self.clock, &name, self.incarnations);
        Process { controller, is_alive, attempted: Rc::default() }
    }

    async fn apply(&mut self, step: Step) {
        match step {
            Step::Attempt { instance, key, end } => self.start_attempt(instance, key, end),
            Step::Run { switches } => run(switches.into()).await,
            Step::Cancel { attempt } => {
                let Some(index) = attempt.checked_rem(self.attempts.len()) else { return };
                self.attempts[index].abort();
                // The runtime drops the aborted task when it next runs.
                yield_now().await;
            }
            Step::Replace { instance } => {
                let process = self.start_process(instance);
                let crashed = std::mem::replace(&mut self.processes[instance], process);
                crashed.is_alive.set(false);
                self.history.borrow_mut().lost.extend(crashed.attempted.borrow().iter());
            }
            Step::Outage { is_out } => self.table.faults().set_outage(is_out),
            Step::Retry { instance } => {
                let controller = self.processes[instance].controller.clone();
                actix_rt::spawn(async move { controller.retry_pending().await });
            }
        }
    }

    fn start_attempt(&mut self, instance: usize, key: usize, end: End) {
        let process = self.processes[instance].clone();
        process.attempted.borrow_mut().insert(key);
        let task = attempt(process, self.history.clone(), key, end);
        self.attempts.push(actix_rt::spawn(task).abort_handle());
    }

    /// Ends all faults and lets every instance finish its pending writes.
    async fn end_faults(&self) {
        self.table.faults().set_outage(false);
        self.table.faults().set_probabilities(FaultProbabilities::default(), 0);
        run(2000).await;
        for process in &self.processes {
            assert_eq!(process.controller.retry_pending().await, 0);
        }
    }

    /// Claims every key once more and compares the verdicts with the history.
    async fn check(&self) {
        assert!(
            self.history.borrow().violations.is_empty(),
            "{:?}",
            self.history.borrow().violations
        );
        for key in 0..KEYS {
            let process = &self.processes[key % INSTANCES];
            let verdict = process.controller.claim(&request(&format!("key-{key}"), "")).await;
            let history = self.history.borrow();
            let times = history.dispatched.get(&key).copied().unwrap_or(0);
            match verdict {
                ClaimVerdict::Dispatch(_) => assert_eq!(times, 0, "{key} is free again"),
                ClaimVerdict::Replay(outcome) => {
                    assert_eq!(history.outcomes.get(&key), Some(&outcome));
                }
                ClaimVerdict::MayHaveRun { .. } => {
                    let is_explained = history.lost.contains(&key);
                    assert!(is_explained, "{key} has no outcome; it was dispatched {times} times");
                }
                verdict => panic!("{verdict:?} without a fault"),
            }
        }
    }
}

async fn attempt(process: Process, history: Rc<RefCell<History>>, key: usize, end: End) {
    let verdict = process.controller.claim(&request(&format!("key-{key}"), "")).await;
    hang_if_crashed(&process.is_alive).await;
    let ticket = match verdict {
        ClaimVerdict::Dispatch(ticket) => ticket,
        ClaimVerdict::Replay(outcome) => {
            let mut history = history.borrow_mut();
            if history.outcomes.get(&key) != Some(&outcome) {
                history.violations.push(format!("{key} got {outcome:?}"));
            }
            return;
        }
        ClaimVerdict::Mismatch => {
            history.borrow_mut().violations.push(format!("{key} is taken for another request"));
            return;
        }
        ClaimVerdict::MayHaveRun { .. } | ClaimVerdict::NotRun { .. } => return,
    };
    if matches!(end, End::Abandon) {
        process.controller.abandon(ticket).await;
        return;
    }
    let number = {
        let mut history = history.borrow_mut();
        let times = history.dispatched.entry(key).or_default();
        *times += 1;
        if *times > 1 {
            history.violations.push(format!("{key} is dispatched twice"));
        }
        history.outcome_count += 1;
        history.outcome_count
    };
    if matches!(end, End::Drop) {
        history.borrow_mut().lost.insert(key);
        return;
    }
    let outcome = outcome(&format!("outcome {number}"));
    history.borrow_mut().outcomes.insert(key, outcome.clone());
    process.controller.complete(ticket, outcome).await;
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
            let mut sim = Simulation::new(seed);
            for step in steps {
                sim.apply(step).await;
            }
            sim.end_faults().await;
            sim.check().await;
        });
    }
}
