//! Connects the scheduling policy of one shard to the jobs that wait for its decisions.

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

use super::job::{JobHandle, WaitExplanation};
use super::plan::PlanContext;

/// Maximum time between two polls of the policy.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reports events to the scheduling policy and delivers its decisions to the waiting jobs.
pub struct Dispatcher {
    clock: Rc<dyn Clock>,
    policy: RefCell<Box<dyn Policy>>,
    waiters: RefCell<BTreeMap<JobKey, UnboundedSender<Step>>>,
    engines: RefCell<BTreeMap<ServerKey, EngineHandle>>,
    specs: RefCell<BTreeMap<ServerKey, Rc<ServerSpec>>>,
    cordoned: RefCell<BTreeSet<ServerName>>,
    wake: Notify,
}

/// A model engine that a dispatcher can schedule jobs on.
#[derive(Clone)]
pub struct EngineHandle {
    /// The name.
    pub name: ServerName,
    /// The address.
    pub address: SocketAddr,
    /// The client of the engine.
    pub client: Rc<dyn Engine>,
    /// The latest observed incarnation of the engine.
    pub incarnation: Rc<Cell<Incarnation>>,
    /// The sequence number of the last prefix cache event that was read.
    pub last_cache_event: Rc<Cell<u64>>,
    /// The time at which the engine made its latest load report.
    pub reported_at: Rc<Cell<Option<Instant>>>,
}

/// The state of an engine as a dispatcher accounts for it.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The name of the engine.
    pub name: ServerName,
    /// The role and capacity of the engine.
    pub spec: Rc<ServerSpec>,
    /// The reservations of the policy on the engine, if the policy tracks them.
    pub usage: Option<ServerUsage>,
    /// The time at which the engine made its latest load report.
    pub reported_at: Option<Instant>,
}

impl EngineHandle {
    /// Creates a handle for an engine whose cache events have not been read yet.
    pub fn new(
        name: ServerName,
        address: SocketAddr,
        client: Rc<dyn Engine>,
        incarnation: Incarnation,
    ) -> Self {
        let incarnation = Rc::new(Cell::new(incarnation));
        Self {
            name,
            address,
            client,
            incarnation,
            last_cache_event: Rc::default(),
            reported_at: Rc::default(),
        }
    }
}

/// The next step of a job, as the policy decided it.
#[derive(Clone)]
pub enum Step {
    /// Start the prefill.
    Prefill(EngineHandle),
    /// Transfer the KV cache and decode.
    Transfer(EnginePair),
    /// Refuse the request.
    Refuse {
        /// The reason.
        reason: RefuseReason,
        /// The delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
}

/// The two engines of a KV transfer.
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
            cordoned: RefCell::default(),
            wake: Notify::new(),
        })
    }

    /// Polls the policy and delivers its decisions, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let woken = self.wake.notified();
            self.deliver_decisions();
            let sleep = self.time_to_next_poll();
            tokio::select! {
                () = woken => {}
                () = tokio::time::sleep(sleep) => {}
            }
        }
    }

    /// Submits a job. Dropping the returned guard before the job has ended cancels the job.
    pub fn submit(self: &Rc<Self>, job: Job) -> JobGuard {
        let (tx, rx) = unbounded_channel();
        let key = self.update_policy(|policy, now| policy.submit(now, job));
        self.waiters.borrow_mut().insert(key, tx);
        JobGuard { dispatcher: self.clone(), key, rx, is_ended: false }
    }

    /// Adds an engine, or updates it and lifts its cordon.
    pub fn add_engine(&self, spec: ServerSpec, handle: EngineHandle) {
        let name = spec.name.clone();
        let known = Rc::new(spec.clone());
        let key = self.update_policy(|policy, now| policy.add_server(now, spec));
        if self.cordoned.borrow_mut().remove(&name) {
            self.update_policy(|policy, now| policy.uncordon_server(now, key));
        }
        self.specs.borrow_mut().insert(key, known);
        self.engines.borrow_mut().insert(key, handle);
    }

    /// Cordons an engine: it gets no new work.
    pub fn cordon_engine(&self, name: &ServerName) {
        let Some(key) = self.key_of(name) else { return };
        if !self.cordoned.borrow_mut().insert(name.clone()) {
            return;
        }
        self.update_policy(|policy, now| policy.cordon_server(now, key));
    }

    /// Returns the reason why a job waits, or `None` if it does not wait.
    pub fn explain_wait(&self, key: JobKey) -> Option<WaitExplanation> {
        let policy = self.policy.borrow();
        let explanation = policy.explain(key)?;
        let Decision::Wait(reason) = explanation.decision else { return None };
        let mut rejected = Vec::new();
        for server in &explanation.rejected {
            rejected.push(format!("{} ({})", server.server, server.reason).into());
        }
        let decided_at = explanation.decided_at;
        Some(WaitExplanation {
            reason: reason.to_string().into(),
            decided_at,
            rejected: rejected.into(),
        })
    }

    /// Returns the accounted state of each engine.
    pub fn engine_states(&self) -> Vec<EngineState> {
        let policy = self.policy.borrow();
        let specs = self.specs.borrow();
        let mut states = Vec::new();
        for (key, engine) in self.engines.borrow().iter() {
            let Some(spec) = specs.get(key) else { continue };
            states.push(EngineState {
                name: engine.name.clone(),
                spec: spec.clone(),
                usage: policy.usage(*key),
                reported_at: engine.reported_at.get(),
            });
        }
        states
    }

    /// Removes an engine.
    pub fn remove_engine(&self, name: &ServerName) {
        let Some(key) = self.key_of(name) else { return };
        self.update_policy(|policy, now| policy.remove_server(now, key));
        self.cordoned.borrow_mut().remove(name);
        self.specs.borrow_mut().remove(&key);
        self.engines.borrow_mut().remove(&key);
    }

    /// Passes a load report of an engine to the policy.
    pub fn report(&self, name: &ServerName, report: LoadReport) {
        let Some(key) = self.key_of(name) else { return };
        if let Some(engine) = self.engines.borrow().get(&key) {
            engine.reported_at.set(Some(report.made_at));
        }
        self.update_policy(|policy, now| policy.report(now, key, report));
    }

    /// Passes prefix cache events of an engine to the policy.
    pub fn cache_events(
        &self,
        name: &ServerName,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    ) {
        let Some(key) = self.key_of(name) else { return };
        self.update_policy(|policy, now| policy.cache_events(now, key, stored, evicted, gap));
    }

    /// Returns whether an engine is registered and not cordoned.
    pub fn is_schedulable(&self, name: &ServerName) -> bool {
        self.key_of(name).is_some() && !self.cordoned.borrow().contains(name)
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

    fn update_policy<T>(&self, update: impl FnOnce(&mut dyn Policy, Instant) -> T) -> T {
        let now = self.clock.now();
        let result = update(&mut **self.policy.borrow_mut(), now);
        self.wake.notify_one();
        result
    }

    fn deliver_decisions(&self) {
        let actions = self.policy.borrow_mut().poll(self.clock.now());
        for action in actions {
            let job = job_of(&action);
            let Some(step) = self.to_step(action) else {
                self.update_policy(|policy, now| {
                    policy.failed(now, job, FailedStage::Prefill, None)
                });
                continue;
            };
            let waiters = self.waiters.borrow();
            let Some(waiter) = waiters.get(&job) else { continue };
            // A waiter that was dropped has already cancelled its job.
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
        let Some(at) = self.policy.borrow().next_poll() else { return MAX_POLL_INTERVAL };
        at.saturating_duration_since(self.clock.now()).min(MAX_POLL_INTERVAL)
    }
}

/// Guard of a submitted job: receives its decisions and reports its progress.
pub struct JobGuard {
    dispatcher: Rc<Dispatcher>,
    key: JobKey,
    rx: UnboundedReceiver<Step>,
    is_ended: bool,
}

impl JobGuard {
    /// Returns a handle for querying the job while it waits or runs.
    pub fn handle(&self) -> JobHandle {
        JobHandle { dispatcher: self.dispatcher.clone(), key: self.key }
    }

    /// Waits for the next decision. Returns `None` if the dispatcher makes no more decisions.
    pub async fn next(&mut self) -> Option<Step> {
        let step = self.rx.recv().await;
        self.is_ended |= matches!(step, Some(Step::Refuse { .. }));
        step
    }

    /// Returns the explanation of the placement, if the policy has placed the job.
    pub fn explain(&self, cx: &PlanContext) -> Option<Plan> {
        let policy = self.dispatcher.policy.borrow();
        let explanation = policy.explain(self.key)?;
        let Decision::Prefill { prefill, decode } = explanation.decision else { return None };
        let engines = self.dispatcher.engines.borrow();
        let prefill = engines.get(&prefill)?.name.clone();
        let decode = engines.get(&decode)?.name.clone();
        Some(cx.describe(explanation, prefill, decode))
    }

    /// Reports that the prefill has finished.
    pub fn prefilled(&self, cached_tokens: u32, held_until: Instant) {
        self.dispatcher.update_policy(|policy, now| {
            policy.prefilled(now, self.key, cached_tokens, held_until)
        });
    }

    /// Reports that the decode engine has imported the KV cache.
    pub fn transferred(&self) {
        self.dispatcher.update_policy(|policy, now| policy.transferred(now, self.key));
    }

    /// Reports the number of tokens produced so far.
    pub fn progressed(&self, tokens: u32) {
        self.dispatcher.policy.borrow_mut().progressed(
            self.dispatcher.clock.now(),
            self.key,
            tokens,
        );
    }

    /// Reports that an engine has crashed; it is cordoned until it answers again.
    pub fn report_engine_crash(&self, name: &ServerName) {
        self.dispatcher.cordon_engine(name);
    }

    /// Reports that a stage failed.
    pub fn failed(&self, stage: FailedStage, kv_held_until: Option<Instant>) {
        self.dispatcher
            .update_policy(|policy, now| policy.failed(now, self.key, stage, kv_held_until));
    }

    /// Reports that the answer is complete.
    pub fn finished(mut self) {
        self.is_ended = true;
        self.dispatcher.update_policy(|policy, now| policy.finished(now, self.key));
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        self.dispatcher.waiters.borrow_mut().remove(&self.key);
        if !self.is_ended {
            self.dispatcher.update_policy(|policy, now| policy.cancelled(now, self.key));
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
