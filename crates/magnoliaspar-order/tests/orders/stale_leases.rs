//! Orders under an outdated lease have no lasting effect, despite pauses and crashes of instances,
//! restarts of engines and faults of the table.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::common::{
    FakeEngine, PausableTable, PauseGate, PollingSleep, SkewedClock, advance_time, backoff, desired,
};
use async_trait::async_trait;
use magnoliaspar_core::{Clock, Incarnation, ManualClock, ServerName};
use magnoliaspar_engine::{
    CacheEvents, DecodeCall, Engine, EngineError, EngineStatus, HeldStream, LoadSnapshot, Order,
    PrefillCall, Prefilled, StreamId, TokenStream,
};
use magnoliaspar_fake::{FaultProbabilities, MemoryTable, MemoryWeights};
use magnoliaspar_order::{
    DesiredError, DesiredTable, LeaseController, LeaseSettings, OperatorName, OrderController,
    OrderSettings, OrderTarget,
};
use magnoliaspar_store::Sleep;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);

/// Rates of the instances' clocks relative to the simulated time.
const CLOCK_RATES: [f64; 3] = [1.0, 0.985, 1.015];

/// The engines of the simulation; true for those that check fencing tokens.
const ENGINE_IS_FENCING: [bool; 4] = [true, false, true, false];

/// Maximum duration of a call of the table.
const MAX_TABLE_DELAY: Duration = Duration::from_millis(400);

/// One step of the simulation, apart from the instances' own work.
#[derive(Debug, Clone)]
enum Step {
    /// An instance is paused.
    Pause { process: usize, millis: u64 },
    /// An instance crashes and another takes its place.
    Replace { process: usize },
    /// An engine restarts and loses its state.
    Restart { engine: usize },
    /// An operator sets the desired state of an engine.
    Set { engine: usize, variant: usize },
    /// The table is unavailable.
    Outage { millis: u64 },
    /// Time passes.
    Run { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..CLOCK_RATES.len();
    let engine = 0..ENGINE_IS_FENCING.len();
    prop_oneof![
        4 => (process.clone(), 500..40_000_u64)
            .prop_map(|(process, millis)| Step::Pause { process, millis }),
        1 => process.prop_map(|process| Step::Replace { process }),
        1 => engine.clone().prop_map(|engine| Step::Restart { engine }),
        4 => (engine, 0..6_usize).prop_map(|(engine, variant)| Step::Set { engine, variant }),
        1 => (500..20_000_u64).prop_map(|millis| Step::Outage { millis }),
        4 => (50..5000_u64).prop_map(|millis| Step::Run { millis }),
    ]
}

/// An engine as seen by a process that may be paused between its decision and the order.
struct PausableEngine {
    inner: FakeEngine,
    gate: PauseGate,
    lease: Rc<LeaseController>,
    bad_orders: Rc<Cell<u32>>,
}

#[async_trait(?Send)]
impl Engine for PausableEngine {
    async fn status(&self) -> Result<EngineStatus, EngineError> {
        self.gate.wait_while_paused().await;
        let result = self.inner.status().await;
        self.gate.wait_while_paused().await;
        result
    }

    async fn order(&self, order: &Order) -> Result<(), EngineError> {
        let is_own = self.lease.current().is_some_and(|lease| lease.fencing_token == order.fence);
        let is_in_time = self.inner.is_fencing() || self.lease.remaining() >= ORDER_TIMEOUT;
        if !is_own || !is_in_time {
            self.bad_orders.set(self.bad_orders.get() + 1);
        }
        self.gate.wait_while_paused().await;
        let result = self.inner.order(order).await;
        self.gate.wait_while_paused().await;
        result
    }

    async fn prefill(&self, call: &PrefillCall) -> Result<Prefilled, EngineError> {
        self.inner.prefill(call).await
    }

    async fn decode(&self, call: &DecodeCall) -> Result<TokenStream, EngineError> {
        self.inner.decode(call).await
    }

    async fn attach(&self, stream: &StreamId, from: u32) -> Result<TokenStream, EngineError> {
        self.inner.attach(stream, from).await
    }

    async fn cancel(&self, stream: &StreamId) -> Result<(), EngineError> {
        self.inner.cancel(stream).await
    }

    async fn streams(&self) -> Result<Vec<HeldStream>, EngineError> {
        self.inner.streams().await
    }

    async fn load(&self) -> Result<LoadSnapshot, EngineError> {
        self.inner.load().await
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.inner.cache_events(after).await
    }
}

/// The process of one instance that competes for the lease.
struct Process {
    incarnation: u64,
    lease: Rc<LeaseController>,
    orders: Rc<OrderController>,
    gate: PauseGate,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts the periodic tasks of an instance; passes overlap.
    fn start(&mut self, targets: &Rc<[OrderTarget]>, clock: &Rc<dyn Clock>) {
        let sleep = Rc::new(PollingSleep(clock.clone()));
        let (lease, timer) = (self.lease.clone(), sleep.clone());
        self.tasks.push(actix_rt::spawn(async move {
            loop {
                let _ = lease.acquire_or_renew().await;
                timer.sleep(Duration::from_millis(400)).await;
            }
        }));
        for _ in 0..2 {
            let (orders, targets, timer) = (self.orders.clone(), targets.clone(), sleep.clone());
            self.tasks.push(actix_rt::spawn(async move {
                loop {
                    let _ = orders.pass(&targets).await;
                    timer.sleep(Duration::from_millis(700)).await;
                }
            }));
        }
    }

    fn crash(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Simulation {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    engines: Vec<FakeEngine>,
    processes: Vec<Process>,
    incarnations: u64,
    /// The incarnation that held each fencing token.
    token_holders: RefCell<BTreeMap<u64, u64>>,
    operators: DesiredTable,
    /// Number of orders that were sent without the lease or with too little of it left.
    bad_orders: Rc<Cell<u32>>,
}

fn server(engine: usize) -> ServerName {
    ServerName::try_from(format!("engine-{engine}").as_str()).unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        let chances = FaultProbabilities {
            unavailable: 0.05,
            lost_request: 0.05,
            lost_answer: 0.1,
            late_effect: 0.1,
        };
        table.faults().set_probabilities(chances, seed);
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        let timer = Rc::new(PollingSleep(clock.clone()));
        let sleeper = move |max_delay: Duration| {
            let delay = max_delay.mul_f64(rng.borrow_mut().random());
            let timer = timer.clone();
            let future: Pin<Box<dyn Future<Output = ()>>> =
                Box::pin(async move { timer.sleep(delay).await });
            future
        };
        table.faults().set_delay(MAX_TABLE_DELAY, Rc::new(sleeper));
        let mut engines = Vec::new();
        for (index, is_fencing) in ENGINE_IS_FENCING.into_iter().enumerate() {
            let engine = FakeEngine::new(is_fencing, seed.wrapping_add(index as u64));
            engine.set_faulty(true);
            engines.push(engine);
        }
        let zone = "mid-a".try_into().unwrap();
        let operators = DesiredTable::new(
            Rc::new(table.clone()),
            backoff(clock.clone()),
            &zone,
            "operators".into(),
        );
        let mut sim = Self {
            clock,
            table,
            engines,
            processes: Vec::new(),
            incarnations: 0,
            token_holders: RefCell::default(),
            operators,
            bad_orders: Rc::default(),
        };
        for index in 0..CLOCK_RATES.len() {
            let process = sim.start_process(index);
            sim.processes.push(process);
        }
        sim
    }

    fn start_process(&mut self, index: usize) -> Process {
        self.incarnations += 1;
        let gate = PauseGate::default();
        let table = Rc::new(PausableTable { inner: self.table.clone(), gate: gate.clone() });
        let clock: Rc<dyn Clock> = SkewedClock::new(self.clock.clone(), CLOCK_RATES[index]);
        let lease = Rc::new(LeaseController::new(LeaseSettings {
            table: table.clone(),
            clock: clock.clone(),
            backoff: backoff(clock.clone()),
            instance: format!("instance-{index}").as_str().try_into().unwrap(),
            incarnation: Incarnation(self.incarnations),
            nonce: 0,
            name: "orders/mid-a".into(),
            duration: LeaseSettings::DURATION,
        }));
        let zone = "mid-a".try_into().unwrap();
        let writer = format!("instance-{index}-{}", self.incarnations).into();
        let desired = DesiredTable::new(table, backoff(clock.clone()), &zone, writer);
        let orders = OrderController::new(OrderSettings {
            desired: Rc::new(desired),
            lease: lease.clone(),
            weights: Rc::new(MemoryWeights::new(clock.clone())),
            sleep: Rc::new(PollingSleep(clock.clone())),
            order_timeout: ORDER_TIMEOUT,
            max_loads: 2,
        });
        let mut targets = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let is_fencing = engine.is_fencing();
            let engine = PausableEngine {
                inner: engine.clone(),
                gate: gate.clone(),
                lease: lease.clone(),
                bad_orders: self.bad_orders.clone(),
            };
            targets.push(OrderTarget {
                server: server(index),
                engine: Rc::new(engine),
                is_fencing,
                is_drained: true,
            });
        }
        let (incarnation, orders) = (self.incarnations, Rc::new(orders));
        let mut process = Process { incarnation, lease, orders, gate, tasks: Vec::new() };
        process.start(&targets.into(), &clock);
        process
    }

    async fn apply(&mut self, step: Step) {
        match step {
            Step::Pause { process, millis } => {
                let gate = self.processes[process].gate.clone();
                gate.0.set(true);
                let timer = PollingSleep(self.clock.clone());
                actix_rt::spawn(async move {
                    timer.sleep(Duration::from_millis(millis)).await;
                    gate.0.set(false);
                });
            }
            Step::Replace { process } => {
                self.processes[process].crash();
                self.processes[process] = self.start_process(process);
            }
            Step::Restart { engine } => self.engines[engine].restart(),
            Step::Set { engine, variant } => self.set(engine, variant).await,
            Step::Outage { millis } => {
                self.table.faults().set_outage(true);
                self.run(Duration::from_millis(millis)).await;
                self.table.faults().set_outage(false);
            }
            Step::Run { millis } => self.run(Duration::from_millis(millis)).await,
        }
    }

    /// Advances the time and checks the leases after each step.
    async fn run(&self, time: Duration) {
        let end = self.clock.elapsed() + time;
        while self.clock.elapsed() < end {
            advance_time(&self.clock, Duration::from_millis(50)).await;
            self.check_leases();
        }
    }

    async fn set(&self, engine: usize, variant: usize) {
        // Calls of the table wait for the clock, so the time must advance concurrently.
        let set = async {
            let Ok(seen) = self.operators.read(&server(engine)).await else { return };
            let seen = seen.map(|row| row.version);
            let operator = OperatorName("ayu".into());
            let result =
                self.operators.set(&server(engine), Some(&desired(variant)), seen, &operator).await;
            assert!(!matches!(result, Err(DesiredError::Conflict { .. })), "there is one operator");
        };
        futures_util::future::join(set, self.run(Duration::from_secs(8))).await;
    }

    /// Checks that at most one instance holds the lease and no two ever use the same fencing token.
    fn check_leases(&self) {
        let mut holders = 0;
        for process in &self.processes {
            let Some(lease) = process.lease.current() else { continue };
            holders += 1;
            let mut token_holders = self.token_holders.borrow_mut();
            let owner = *token_holders.entry(lease.fencing_token).or_insert(process.incarnation);
            assert_eq!(owner, process.incarnation, "two holders of token {}", lease.fencing_token);
        }
        assert!(holders <= 1, "{holders} instances hold the lease");
    }

    /// Ends all faults and runs until the instances have nothing left to do.
    async fn end_faults(&self) {
        self.table.faults().set_probabilities(FaultProbabilities::default(), 0);
        for engine in &self.engines {
            engine.set_faulty(false);
        }
        for process in &self.processes {
            process.gate.0.set(false);
        }
        self.run(Duration::from_secs(90)).await;
    }

    async fn check_engines(&self) {
        assert_eq!(self.bad_orders.get(), 0, "orders were sent without a sufficient lease");
        let (states, ()) =
            futures_util::future::join(self.operators.list(), self.run(Duration::from_secs(1)))
                .await;
        let states = states.unwrap();
        for (index, engine) in self.engines.iter().enumerate() {
            let Some(row) = states.get(&server(index)) else { continue };
            let state = row.state.as_ref().unwrap();
            let status = engine.current_status();
            let is_up_to_date =
                state.has_role(&status) && state.has_model(&status) && state.has_adapters(&status);
            assert!(is_up_to_date, "engine {index} is {status:?}, not {state:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        max_shrink_iters: 100,
        ..ProptestConfig::default()
    })]

    #[test]
    fn engines_end_in_their_desired_states(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..30),
    ) {
        actix_rt::System::new().block_on(async {
            let mut sim = Simulation::new(seed);
            for step in steps {
                sim.apply(step).await;
            }
            sim.end_faults().await;
            sim.check_engines().await;
        });
    }
}
