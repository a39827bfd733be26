//! Orders under an old lease leave nothing behind, whatever pauses, restarts and losses happen.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::common::{
    ClockSleep, FakeEngine, Gate, GatedTable, SkewedClock, backoff, desired, pass_time,
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

const ORDER_LIMIT: Duration = Duration::from_secs(20);

/// How fast the holders' clocks run.
const RATES: [f64; 3] = [1.0, 0.985, 1.015];

/// Whether each engine fences.
const ENGINES: [bool; 4] = [true, false, true, false];

/// The longest time that a call of the table takes.
const MAX_TABLE_DELAY: Duration = Duration::from_millis(400);

/// What happens beside the instances' own work.
#[derive(Debug, Clone)]
enum Step {
    Pause { holder: usize, millis: u64 },
    Replace { holder: usize },
    Restart { engine: usize },
    Set { engine: usize, variant: usize },
    Outage { millis: u64 },
    Run { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let holder = 0..RATES.len();
    let engine = 0..ENGINES.len();
    prop_oneof![
        4 => (holder.clone(), 500..40_000_u64)
            .prop_map(|(holder, millis)| Step::Pause { holder, millis }),
        1 => holder.prop_map(|holder| Step::Replace { holder }),
        1 => engine.clone().prop_map(|engine| Step::Restart { engine }),
        4 => (engine, 0..6_usize).prop_map(|(engine, variant)| Step::Set { engine, variant }),
        1 => (500..20_000_u64).prop_map(|millis| Step::Outage { millis }),
        4 => (50..5000_u64).prop_map(|millis| Step::Run { millis }),
    ]
}

/// An engine as a process sees it that may be paused between its decision and the order.
struct GatedEngine {
    inner: FakeEngine,
    gate: Gate,
    lease: Rc<LeaseController>,
    bad_orders: Rc<Cell<u32>>,
}

#[async_trait(?Send)]
impl Engine for GatedEngine {
    async fn status(&self) -> Result<EngineStatus, EngineError> {
        self.gate.pass().await;
        let result = self.inner.status().await;
        self.gate.pass().await;
        result
    }

    async fn order(&self, order: &Order) -> Result<(), EngineError> {
        let is_own = self.lease.current().is_some_and(|lease| lease.number == order.fence);
        let is_in_time = self.inner.is_fencing() || self.lease.remaining() >= ORDER_LIMIT;
        if !is_own || !is_in_time {
            self.bad_orders.set(self.bad_orders.get() + 1);
        }
        self.gate.pass().await;
        let result = self.inner.order(order).await;
        self.gate.pass().await;
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

struct Holder {
    birth: u64,
    lease: Rc<LeaseController>,
    orders: Rc<OrderController>,
    gate: Gate,
    tasks: Vec<JoinHandle<()>>,
}

impl Holder {
    /// Starts what an instance does all the time; passes overlap.
    fn start(&mut self, targets: &Rc<[OrderTarget]>, clock: &Rc<dyn Clock>) {
        let sleep = Rc::new(ClockSleep(clock.clone()));
        let (lease, timer) = (self.lease.clone(), sleep.clone());
        self.tasks.push(actix_rt::spawn(async move {
            loop {
                let _ = lease.tend().await;
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

    fn die(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct World {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    engines: Vec<FakeEngine>,
    holders: Vec<Holder>,
    births: u64,
    /// Which birth held each fencing number.
    numbers: RefCell<BTreeMap<u64, u64>>,
    operators: DesiredTable,
    /// How many orders were sent without the lease, or with too little of it left.
    bad_orders: Rc<Cell<u32>>,
}

fn server(engine: usize) -> ServerName {
    ServerName::try_from(format!("engine-{engine}").as_str()).unwrap()
}

impl World {
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
        let timer = Rc::new(ClockSleep(clock.clone()));
        let sleeper = move |longest: Duration| {
            let delay = longest.mul_f64(rng.borrow_mut().random());
            let timer = timer.clone();
            let future: Pin<Box<dyn Future<Output = ()>>> =
                Box::pin(async move { timer.sleep(delay).await });
            future
        };
        table.faults().set_delay(MAX_TABLE_DELAY, Rc::new(sleeper));
        let mut engines = Vec::new();
        for (index, is_fencing) in ENGINES.into_iter().enumerate() {
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
        let mut world = Self {
            clock,
            table,
            engines,
            holders: Vec::new(),
            births: 0,
            numbers: RefCell::default(),
            operators,
            bad_orders: Rc::default(),
        };
        for index in 0..RATES.len() {
            let holder = world.birth(index);
            world.holders.push(holder);
        }
        world
    }

    fn birth(&mut self, index: usize) -> Holder {
        self.births += 1;
        let gate = Gate::default();
        let table = Rc::new(GatedTable { inner: self.table.clone(), gate: gate.clone() });
        let clock: Rc<dyn Clock> = SkewedClock::new(self.clock.clone(), RATES[index]);
        let lease = Rc::new(LeaseController::new(LeaseSettings {
            table: table.clone(),
            clock: clock.clone(),
            backoff: backoff(clock.clone()),
            instance: format!("instance-{index}").as_str().try_into().unwrap(),
            incarnation: Incarnation(self.births),
            nonce: 0,
            name: "orders/mid-a".into(),
            duration: LeaseSettings::DURATION,
        }));
        let zone = "mid-a".try_into().unwrap();
        let writer = format!("instance-{index}-{}", self.births).into();
        let desired = DesiredTable::new(table, backoff(clock.clone()), &zone, writer);
        let orders = OrderController::new(OrderSettings {
            desired: Rc::new(desired),
            lease: lease.clone(),
            weights: Rc::new(MemoryWeights::new(clock.clone())),
            sleep: Rc::new(ClockSleep(clock.clone())),
            order_limit: ORDER_LIMIT,
            max_loads: 2,
        });
        let mut targets = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let is_fencing = engine.is_fencing();
            let engine = GatedEngine {
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
        let (birth, orders) = (self.births, Rc::new(orders));
        let mut holder = Holder { birth, lease, orders, gate, tasks: Vec::new() };
        holder.start(&targets.into(), &clock);
        holder
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Pause { holder, millis } => {
                let gate = self.holders[holder].gate.clone();
                gate.0.set(true);
                let timer = ClockSleep(self.clock.clone());
                actix_rt::spawn(async move {
                    timer.sleep(Duration::from_millis(millis)).await;
                    gate.0.set(false);
                });
            }
            Step::Replace { holder } => {
                self.holders[holder].die();
                self.holders[holder] = self.birth(holder);
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

    /// Lets time pass and looks at the leases all the time.
    async fn run(&self, time: Duration) {
        let end = self.clock.elapsed() + time;
        while self.clock.elapsed() < end {
            pass_time(&self.clock, Duration::from_millis(50)).await;
            self.check_leases();
        }
    }

    async fn set(&self, engine: usize, variant: usize) {
        // The table's delays wait for the clock, so time must pass beside the call.
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

    /// At most one holder counts on the lease, and no two ever have the same number.
    fn check_leases(&self) {
        let mut holders = 0;
        for holder in &self.holders {
            let Some(lease) = holder.lease.current() else { continue };
            holders += 1;
            let mut numbers = self.numbers.borrow_mut();
            let owner = *numbers.entry(lease.number).or_insert(holder.birth);
            assert_eq!(owner, holder.birth, "two holders had number {}", lease.number);
        }
        assert!(holders <= 1, "{holders} instances hold the lease");
    }

    /// Ends all faults, and lets the instances work until nothing is left to do.
    async fn heal(&self) {
        self.table.faults().set_probabilities(FaultProbabilities::default(), 0);
        for engine in &self.engines {
            engine.set_faulty(false);
        }
        for holder in &self.holders {
            holder.gate.0.set(false);
        }
        self.run(Duration::from_secs(90)).await;
    }

    async fn check_engines(&self) {
        assert_eq!(self.bad_orders.get(), 0, "orders were sent without enough of a lease");
        let (states, ()) =
            futures_util::future::join(self.operators.list(), self.run(Duration::from_secs(1)))
                .await;
        let states = states.unwrap();
        for (index, engine) in self.engines.iter().enumerate() {
            let Some(row) = states.get(&server(index)) else { continue };
            let state = row.state.as_ref().unwrap();
            let status = engine.current();
            let is_in_force =
                state.has_role(&status) && state.has_model(&status) && state.has_adapters(&status);
            assert!(is_in_force, "engine {index} is {status:?}, not {state:?}");
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
            let mut world = World::new(seed);
            for step in steps {
                world.take(step).await;
            }
            world.heal().await;
            world.check_engines().await;
        });
    }
}
