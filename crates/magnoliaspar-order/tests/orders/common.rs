//! Helpers of the order tests: a fake engine, skewed clocks and processes that can be paused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_trait::async_trait;
use magnoliaspar_core::{Clock, Epoch, Incarnation, ManualClock};
use magnoliaspar_engine::{
    CacheEvents, DecodeCall, Engine, EngineError, EngineStatus, HeldStream, LoadSnapshot, Order,
    OrderKind, PrefillCall, Prefilled, StreamId, TokenStream,
};
use magnoliaspar_order::{DesiredRole, DesiredState};
use magnoliaspar_store::{
    Backoff, PlatformError, Row, RowKey, RowVersion, Sleep, TableService, Transaction, WriteOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::yield_now;

/// A clock that runs faster or slower than the simulated time.
pub struct SkewedClock {
    base: Rc<ManualClock>,
    rate: f64,
}

impl SkewedClock {
    pub fn new(base: Rc<ManualClock>, rate: f64) -> Rc<Self> {
        Rc::new(Self { base, rate })
    }
}

impl Clock for SkewedClock {
    fn now(&self) -> Instant {
        let start = self.base.now() - self.base.elapsed();
        start + self.base.elapsed().mul_f64(self.rate)
    }

    fn wall(&self) -> SystemTime {
        self.base.wall()
    }

    fn since_boot(&self) -> Duration {
        self.base.since_boot()
    }
}

/// Sleeps until a clock, which others advance, reaches the end of the duration.
pub struct PollingSleep(pub Rc<dyn Clock>);

#[async_trait(?Send)]
impl Sleep for PollingSleep {
    async fn sleep(&self, duration: Duration) {
        let end = self.0.now() + duration;
        while self.0.now() < end {
            yield_now().await;
        }
    }
}

pub fn backoff(clock: Rc<dyn Clock>) -> Backoff {
    Backoff::new(Rc::new(PollingSleep(clock)))
}

/// Advances the simulated time in steps of 50 ms and lets all tasks run after each step.
pub async fn advance_time(clock: &ManualClock, time: Duration) {
    let end = clock.elapsed() + time;
    while clock.elapsed() < end {
        clock.advance(Duration::from_millis(50));
        for _ in 0..4 {
            yield_now().await;
        }
    }
}

/// Pauses a process while the contained flag is set.
#[derive(Clone, Default)]
pub struct PauseGate(pub Rc<Cell<bool>>);

impl PauseGate {
    /// Waits until the process is not paused.
    pub async fn wait_while_paused(&self) {
        while self.0.get() {
            yield_now().await;
        }
    }
}

/// The table as seen by a process that may be paused before and after each call.
pub struct PausableTable<T> {
    pub inner: T,
    pub gate: PauseGate,
}

#[async_trait(?Send)]
impl<T: TableService> TableService for PausableTable<T> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.gate.wait_while_paused().await;
        let result = self.inner.read(key).await;
        self.gate.wait_while_paused().await;
        result
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.gate.wait_while_paused().await;
        let result = self.inner.scan(prefix, after, limit).await;
        self.gate.wait_while_paused().await;
        result
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        self.gate.wait_while_paused().await;
        let result = self.inner.commit(transaction).await;
        self.gate.wait_while_paused().await;
        result
    }

    fn epoch(&self) -> Epoch {
        self.inner.epoch()
    }

    fn newest_version(&self) -> RowVersion {
        self.inner.newest_version()
    }
}

/// A model engine that implements only orders and status; a clone is a handle to the same engine.
#[derive(Clone)]
pub struct FakeEngine(Rc<EngineState>);

struct EngineState {
    status: RefCell<EngineStatus>,
    is_fencing: bool,
    /// The highest fencing token seen.
    seen_token: Cell<u64>,
    /// The fencing tokens of the accepted orders.
    accepted: RefCell<Vec<u64>>,
    rng: RefCell<StdRng>,
    is_faulty: Cell<bool>,
    next_error: RefCell<Option<EngineError>>,
}

impl FakeEngine {
    pub fn new(is_fencing: bool, seed: u64) -> Self {
        Self(Rc::new(EngineState {
            status: RefCell::new(blank_status(Incarnation(1))),
            is_fencing,
            seen_token: Cell::new(0),
            accepted: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            is_faulty: Cell::new(false),
            next_error: RefCell::default(),
        }))
    }

    pub fn set_faulty(&self, is_faulty: bool) {
        self.0.is_faulty.set(is_faulty);
    }

    /// Makes the next order fail without effect.
    pub fn fail_next(&self, error: EngineError) {
        self.0.next_error.replace(Some(error));
    }

    pub fn set_seen_token(&self, seen: u64) {
        self.0.seen_token.set(seen);
    }

    /// Restarts the engine, which loses all state including the highest fencing token.
    pub fn restart(&self) {
        let incarnation = Incarnation(self.0.status.borrow().incarnation.0 + 1);
        self.0.status.replace(blank_status(incarnation));
        self.0.seen_token.set(0);
    }

    pub fn current_status(&self) -> EngineStatus {
        self.0.status.borrow().clone()
    }

    /// Returns the fencing tokens of the accepted orders.
    pub fn accepted(&self) -> Vec<u64> {
        self.0.accepted.borrow().clone()
    }

    pub fn is_fencing(&self) -> bool {
        self.0.is_fencing
    }

    /// Draws the fault of a call; 3 to 9 mean none, and an engine that is not faulty always has 9.
    fn draw_fault(&self) -> u32 {
        if !self.0.is_faulty.get() {
            return 9;
        }
        self.0.rng.borrow_mut().random_range(0..10)
    }

    fn apply(&self, order: &Order) -> Result<(), EngineError> {
        let seen = self.0.seen_token.get();
        if self.0.is_fencing && order.fence < seen {
            return Err(EngineError::Fenced { given: order.fence, seen });
        }
        self.0.seen_token.set(seen.max(order.fence));
        self.0.accepted.borrow_mut().push(order.fence);
        let mut status = self.0.status.borrow_mut();
        match &order.kind {
            OrderKind::Load { model, version, adapters } => {
                status.model = model.clone();
                status.version = version.clone();
                status.adapters = adapters.clone();
            }
            OrderKind::ChangeRole { role } => status.role = role.clone(),
        }
        Ok(())
    }
}

#[async_trait(?Send)]
impl Engine for FakeEngine {
    async fn status(&self) -> Result<EngineStatus, EngineError> {
        yield_now().await;
        if self.draw_fault() == 0 {
            return Err(EngineError::Unreachable("fault".into()));
        }
        Ok(self.current_status())
    }

    async fn order(&self, order: &Order) -> Result<(), EngineError> {
        yield_now().await;
        if let Some(error) = self.0.next_error.take() {
            return Err(error);
        }
        match self.draw_fault() {
            0 => Err(EngineError::Unreachable("fault".into())),
            1 => {
                self.apply(order)?;
                Err(EngineError::Lost("fault".into()))
            }
            2 => {
                // The order is applied late, after its sender got an error.
                let (engine, order) = (self.clone(), order.clone());
                let switches = self.0.rng.borrow_mut().random_range(0..2000);
                actix_rt::spawn(async move {
                    for _ in 0..switches {
                        yield_now().await;
                    }
                    let _ = engine.apply(&order);
                });
                Err(EngineError::Lost("fault".into()))
            }
            _ => self.apply(order),
        }
    }

    async fn prefill(&self, _: &PrefillCall) -> Result<Prefilled, EngineError> {
        Err(EngineError::Full)
    }

    async fn decode(&self, _: &DecodeCall) -> Result<TokenStream, EngineError> {
        Err(EngineError::Full)
    }

    async fn attach(&self, _: &StreamId, _: u32) -> Result<TokenStream, EngineError> {
        Err(EngineError::UnknownStream)
    }

    async fn cancel(&self, _: &StreamId) -> Result<(), EngineError> {
        Ok(())
    }

    async fn streams(&self) -> Result<Vec<HeldStream>, EngineError> {
        Ok(Vec::new())
    }

    async fn load(&self) -> Result<LoadSnapshot, EngineError> {
        Err(EngineError::Unreachable("the fake has no load".into()))
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        Ok(CacheEvents::default())
    }
}

fn blank_status(incarnation: Incarnation) -> EngineStatus {
    EngineStatus {
        incarnation,
        role: "prefill".into(),
        model: "none".try_into().unwrap(),
        version: "0".into(),
        adapters: Vec::new(),
        slots: 20,
        memory_pieces: 2000,
        piece_tokens: 16,
        prefill_tokens_per_second: 10_000.0,
        link_tokens_per_second: 100_000.0,
        token_us: 60_000,
        hold_ms: 800,
    }
}

/// Returns one of several desired states.
pub fn desired(variant: usize) -> DesiredState {
    let adapters: BTreeSet<Box<str>> = match variant % 2 {
        0 => BTreeSet::new(),
        _ => ["grants".into()].into(),
    };
    DesiredState {
        model: "assessor".try_into().unwrap(),
        version: format!("{}", 1 + variant / 2).into(),
        adapters,
        role: if variant.is_multiple_of(3) { DesiredRole::Prefill } else { DesiredRole::Decode },
        weight_bytes: 100,
    }
}
