use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, Clock, Incarnation, JobKey, ServerKey, ServerName};
use magnoliaspar_engine::Engine;
use magnoliaspar_event::Plan;
use magnoliaspar_policy::{
    Action, Decision, FailedStage, Job, LoadReport, Policy, RefuseReason, ServerSpec, ServerUsage,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::plan::PlanContext;
use super::waiting::{JobHandle, Waiting};

/// How long the dispatcher sleeps at most.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Carries what happens to the policy, and the policy's decisions to those who wait for them.
pub struct Dispatcher {
    clock: Rc<dyn Clock>,
    policy: RefCell<Box<dyn Policy>>,
    waiters: RefCell<BTreeMap<JobKey, UnboundedSender<Step>>>,
    engines: RefCell<BTreeMap<ServerKey, EngineHandle>>,
    specs: RefCell<BTreeMap<ServerKey, Rc<ServerSpec>>>,
    sealed: RefCell<BTreeSet<ServerName>>,
    wake: Notify,
}

/// A model engine that a dispatcher can choose.
#[derive(Clone)]
pub struct EngineHandle {
    /// The name.
    pub name: ServerName,
    /// The address.
    pub address: SocketAddr,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// The life of the engine, as it was last seen.
    pub incarnation: Rc<Cell<Incarnation>>,
    /// The number of the last event of its prefix cache that was read.
    pub last_cache_event: Rc<Cell<u64>>,
    /// When the engine made its latest load report.
    pub reported_at: Rc<Cell<Option<Instant>>>,
}

/// What the books of a dispatcher show of an engine.
#[derive(Debug, Clone)]
pub struct EngineBooks {
    /// The name of the engine.
    pub name: ServerName,
    /// What the engine is.
    pub spec: Rc<ServerSpec>,
    /// What the policy has planned on it, if it keeps books.
    pub usage: Option<ServerUsage>,
    /// When the engine made its latest load report.
    pub reported_at: Option<Instant>,
}

impl EngineHandle {
    /// Creates a handle of an engine whose cache events were not read yet.
    pub fn new(
        name: ServerName,
        address: SocketAddr,
        engine: Rc<dyn Engine>,
        incarnation: Incarnation,
    ) -> Self {
        let incarnation = Rc::new(Cell::new(incarnation));
        Self {
            name,
            address,
            engine,
            incarnation,
            last_cache_event: Rc::default(),
            reported_at: Rc::default(),
        }
    }
}

/// What to do next for a job.
#[derive(Clone)]
pub enum Step {
    /// Start the prefill.
    Prefill(EngineHandle),
    /// Transfer the KV cache and decode.
    Transfer(EnginePair),
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// After how long a retry is worthwhile.
        retry_after: Option<Duration>,
    },
}

/// The engines of a transfer.
#[derive(Clone)]
pub struct EnginePair {
    /// The engine that holds the KV cache.
    pub prefill: EngineHandle,
    /// The engine that imports it.
    pub decode: EngineHandle,
}

impl Dispatcher {
    /// Creates a dispatcher for a policy.
    pub fn new(clock: Rc<dyn Clock>, policy: Box<dyn Policy>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            policy: RefCell::new(policy),
            waiters: RefCell::default(),
            engines: RefCell::default(),
            specs: RefCell::default(),
            sealed: RefCell::default(),
            wake: Notify::new(),
        })
    }

    /// Hands out decisions for as long as the dispatcher is in use.
    pub async fn run(self: Rc<Self>) {
        loop {
            let woken = self.wake.notified();
            self.hand_out();
            let sleep = self.time_to_next_poll();
            tokio::select! {
                () = woken => {}
                () = tokio::time::sleep(sleep) => {}
            }
        }
    }

    /// Submits a job; dropping the result before the job has ended cancels it.
    pub fn submit(self: &Rc<Self>, job: Job) -> PlacedJob {
        let (tx, rx) = unbounded_channel();
        let key = self.tell(|policy, now| policy.submit(now, job));
        self.waiters.borrow_mut().insert(key, tx);
        PlacedJob { dispatcher: self.clone(), key, rx, is_ended: false }
    }

    /// Adds an engine or renews what is known of it.
    pub fn add_engine(&self, spec: ServerSpec, handle: EngineHandle) {
        let name = spec.name.clone();
        let known = Rc::new(spec.clone());
        let key = self.tell(|policy, now| policy.add_server(now, spec));
        if self.sealed.borrow_mut().remove(&name) {
            self.tell(|policy, now| policy.uncordon_server(now, key));
        }
        self.specs.borrow_mut().insert(key, known);
        self.engines.borrow_mut().insert(key, handle);
    }

    /// Gives no new work to an engine.
    pub fn seal_engine(&self, name: &ServerName) {
        let Some(key) = self.key_of(name) else { return };
        if !self.sealed.borrow_mut().insert(name.clone()) {
            return;
        }
        self.tell(|policy, now| policy.cordon_server(now, key));
    }

    /// Returns why a job waits, if it does.
    pub fn explain_wait(&self, key: JobKey) -> Option<Waiting> {
        let policy = self.policy.borrow();
        let explanation = policy.explain(key)?;
        let Decision::Wait(reason) = explanation.decision else { return None };
        let mut rejected = Vec::new();
        for server in &explanation.rejected {
            rejected.push(format!("{} ({})", server.server, server.reason).into());
        }
        let decided_at = explanation.decided_at;
        Some(Waiting { reason: reason.to_string().into(), decided_at, rejected: rejected.into() })
    }

    /// Returns what the books show of each engine.
    pub fn books(&self) -> Vec<EngineBooks> {
        let policy = self.policy.borrow();
        let specs = self.specs.borrow();
        let mut books = Vec::new();
        for (key, engine) in self.engines.borrow().iter() {
            let Some(spec) = specs.get(key) else { continue };
            books.push(EngineBooks {
                name: engine.name.clone(),
                spec: spec.clone(),
                usage: policy.usage(*key),
                reported_at: engine.reported_at.get(),
            });
        }
        books
    }

    /// Forgets an engine that is gone.
    pub fn remove_engine(&self, name: &ServerName) {
        let Some(key) = self.key_of(name) else { return };
        self.tell(|policy, now| policy.remove_server(now, key));
        self.sealed.borrow_mut().remove(name);
        self.specs.borrow_mut().remove(&key);
        self.engines.borrow_mut().remove(&key);
    }

    /// Takes in a load report.
    pub fn report(&self, name: &ServerName, report: LoadReport) {
        let Some(key) = self.key_of(name) else { return };
        if let Some(engine) = self.engines.borrow().get(&key) {
            engine.reported_at.set(Some(report.made_at));
        }
        self.tell(|policy, now| policy.report(now, key, report));
    }

    /// Takes in cache events.
    pub fn cache_events(
        &self,
        name: &ServerName,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    ) {
        let Some(key) = self.key_of(name) else { return };
        self.tell(|policy, now| policy.cache_events(now, key, stored, evicted, gap));
    }

    /// Whether an engine is known and gets new work.
    pub fn has_open_engine(&self, name: &ServerName) -> bool {
        self.key_of(name).is_some() && !self.sealed.borrow().contains(name)
    }

    /// Returns the engines.
    pub fn engines(&self) -> Vec<EngineHandle> {
        self.engines.borrow().values().cloned().collect()
    }

    fn key_of(&self, name: &ServerName) -> Option<ServerKey> {
        for (key, engine) in self.engines.borrow().iter() {
            if engine.name == *name {
                return Some(*key);
            }
        }
        None
    }

    fn tell<T>(&self, message: impl FnOnce(&mut dyn Policy, Instant) -> T) -> T {
        let now = self.clock.now();
        let answer = message(&mut **self.policy.borrow_mut(), now);
        self.wake.notify_one();
        answer
    }

    fn hand_out(&self) {
        let actions = self.policy.borrow_mut().poll(self.clock.now());
        for action in actions {
            let job = job_of(&action);
            let Some(step) = self.to_step(action) else {
                self.tell(|policy, now| policy.failed(now, job, FailedStage::Prefill, None));
                continue;
            };
            let waiters = self.waiters.borrow();
            let Some(waiter) = waiters.get(&job) else { continue };
            // A waiter that is gone has cancelled its job already.
            let _ = waiter.send(step);
        }
    }

    fn to_step(&self, action: Action) -> Option<Step> {
        let engines = self.engines.borrow();
        match action {
            Action::Prefill { server, .. } => Some(Step::Prefill(engines.get(&server)?.clone())),
            Action::Transfer { prefill, decode, .. } => {
                let prefill = engines.get(&prefill)?.clone();
                let decode = engines.get(&decode)?.clone();
                Some(Step::Transfer(EnginePair { prefill, decode }))
            }
            Action::Refuse { reason, retry_after, .. } => {
                Some(Step::Refuse { reason, retry_after })
            }
        }
    }

    fn time_to_next_poll(&self) -> Duration {
        let Some(at) = self.policy.borrow().next_poll() else { return MAX_SLEEP };
        at.saturating_duration_since(self.clock.now()).min(MAX_SLEEP)
    }
}

/// A job that waits for decisions or runs.
pub struct PlacedJob {
    dispatcher: Rc<Dispatcher>,
    key: JobKey,
    rx: UnboundedReceiver<Step>,
    is_ended: bool,
}

impl PlacedJob {
    /// Returns what names the job as long as it is not over.
    pub fn handle(&self) -> JobHandle {
        JobHandle { dispatcher: self.dispatcher.clone(), key: self.key }
    }

    /// Waits for the next decision.
    pub async fn next(&mut self) -> Option<Step> {
        let step = self.rx.recv().await;
        self.is_ended |= matches!(step, Some(Step::Refuse { .. }));
        step
    }

    /// Returns why the policy decided as it did, if it has decided where the job runs.
    pub fn explain(&self, cx: &PlanContext) -> Option<Plan> {
        let policy = self.dispatcher.policy.borrow();
        let explanation = policy.explain(self.key)?;
        let Decision::Prefill { prefill, decode } = explanation.decision else { return None };
        let engines = self.dispatcher.engines.borrow();
        let prefill = engines.get(&prefill)?.name.clone();
        let decode = engines.get(&decode)?.name.clone();
        Some(cx.describe(explanation, prefill, decode))
    }

    /// Reports that the prefill is done.
    pub fn prefilled(&self, cached_tokens: u32, held_until: Instant) {
        self.dispatcher
            .tell(|policy, now| policy.prefilled(now, self.key, cached_tokens, held_until));
    }

    /// Reports that the KV cache is imported.
    pub fn transferred(&self) {
        self.dispatcher.tell(|policy, now| policy.transferred(now, self.key));
    }

    /// Reports how many tokens were produced.
    pub fn progressed(&self, tokens: u32) {
        self.dispatcher.policy.borrow_mut().progressed(
            self.dispatcher.clock.now(),
            self.key,
            tokens,
        );
    }

    /// Reports that an engine has crashed; it gets no new work until it answers again.
    pub fn engine_gone(&self, name: &ServerName) {
        self.dispatcher.seal_engine(name);
    }

    /// Reports that a stage failed.
    pub fn failed(&self, stage: FailedStage, kv_held_until: Option<Instant>) {
        self.dispatcher.tell(|policy, now| policy.failed(now, self.key, stage, kv_held_until));
    }

    /// Reports that the answer is complete.
    pub fn finished(mut self) {
        self.is_ended = true;
        self.dispatcher.tell(|policy, now| policy.finished(now, self.key));
    }
}

impl Drop for PlacedJob {
    fn drop(&mut self) {
        self.dispatcher.waiters.borrow_mut().remove(&self.key);
        if !self.is_ended {
            self.dispatcher.tell(|policy, now| policy.cancelled(now, self.key));
        }
    }
}

fn job_of(action: &Action) -> JobKey {
    match action {
        Action::Prefill { job, .. } | Action::Transfer { job, .. } | Action::Refuse { job, .. } => {
            *job
        }
    }
}
