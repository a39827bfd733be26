use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, InstanceName, Refusal, RefusalCode};
use magnoliaspar_declaration::RouteTarget;
use magnoliaspar_policy::Scheduler;

use tokio::sync::Notify;

use super::completion::CompletionRequest;
use super::dispatcher::Dispatcher;
use super::driver::{Driver, RunPlan};
use super::link::{Home, LocalLink, OpenError, RunLink};
use super::registry::RunRegistry;
use super::running::{Run, RunResult};
use super::shard::{Shard, ShardMap};
use crate::instance::ConfigurationInForce;

/// How long a run whose reader is gone waits for the caller to come back.
const ABANDONED_KEPT: Duration = Duration::from_secs(10);

/// How often runs are checked for readers.
const ABANDONED_CHECK: Duration = Duration::from_millis(500);

/// This instance as the home of runs.
pub struct LocalHome {
    name: InstanceName,
    is_draining: Cell<bool>,
    clock: Rc<dyn Clock>,
    configuration: Rc<ConfigurationInForce>,
    driver: Driver,
    shards: ShardMap,
    registry: RunRegistry,
    dispatchers: RefCell<BTreeMap<Shard, Rc<Dispatcher>>>,
    shard_added: Notify,
}

impl LocalHome {
    /// Creates a home without runs.
    pub fn new(
        name: InstanceName,
        clock: Rc<dyn Clock>,
        configuration: Rc<ConfigurationInForce>,
        driver: Driver,
        shards: ShardMap,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            is_draining: Cell::new(false),
            clock,
            configuration,
            driver,
            shards,
            registry: RunRegistry::default(),
            dispatchers: RefCell::default(),
            shard_added: Notify::new(),
        })
    }

    /// Returns the runs.
    pub fn registry(&self) -> &RunRegistry {
        &self.registry
    }

    /// Takes no new runs while it drains; those that still wait go to other homes.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.set(is_draining);
        if !is_draining {
            return;
        }
        for run in self.registry.live() {
            if !run.may_have_run() {
                run.hand_over(draining());
            }
        }
    }

    /// Returns how pools are divided into shards.
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Returns the dispatcher for a shard and starts it if it is new.
    pub fn dispatcher(&self, shard: &Shard) -> Rc<Dispatcher> {
        let mut dispatchers = self.dispatchers.borrow_mut();
        if let Some(dispatcher) = dispatchers.get(shard) {
            return dispatcher.clone();
        }
        let dispatcher = Dispatcher::new(self.clock.clone(), Box::new(Scheduler::new()));
        dispatchers.insert(shard.clone(), dispatcher.clone());
        actix_rt::spawn(dispatcher.clone().run());
        self.shard_added.notify_one();
        dispatcher
    }

    /// Whether this instance has runs of a shard or had some.
    pub fn serves(&self, shard: &Shard) -> bool {
        self.dispatchers.borrow().contains_key(shard)
    }

    /// Waits until there is a dispatcher whose engines are not known yet.
    pub async fn shard_added(&self) {
        self.shard_added.notified().await;
    }

    /// Returns all dispatchers with their shards.
    pub fn dispatchers(&self) -> Vec<(Shard, Rc<Dispatcher>)> {
        let dispatchers = self.dispatchers.borrow();
        let mut all = Vec::new();
        for (shard, dispatcher) in dispatchers.iter() {
            all.push((shard.clone(), dispatcher.clone()));
        }
        all
    }

    /// Opens a run or attaches to it, and starts to drive it if it is new.
    pub fn open_run(self: &Rc<Self>, req: &CompletionRequest) -> Result<LocalLink, Refusal> {
        if self.is_draining.get() && !self.registry.contains(&req.id) {
            return Err(draining());
        }
        let plan = self.plan(req)?;
        let opened = self.registry.open(req)?;
        let subscription = opened.run.subscribe(req.from);
        if opened.is_new {
            let home = self.clone();
            actix_rt::spawn(home.drive(opened.run, req.clone(), plan));
        }
        Ok(LocalLink { home: self.name.clone(), subscription, is_new: opened.is_new })
    }

    fn plan(&self, req: &CompletionRequest) -> Result<RunPlan, Refusal> {
        let Some(in_force) = self.configuration.current() else {
            return Err(Refusal::not_run(RefusalCode::NotReady, "no configuration is in force"));
        };
        let Some(route) = in_force.declarations.routes.get(&req.route) else {
            return Err(Refusal::not_run(RefusalCode::UnknownModel, "the route is gone"));
        };
        let RouteTarget::Completion(completion) = &route.target else {
            return Err(Refusal::not_run(RefusalCode::UnknownModel, "the route leads elsewhere"));
        };
        let workspace = in_force.declarations.workspaces.get(&req.id.workspace);
        Ok(RunPlan {
            route: completion.clone(),
            share: workspace.map_or(1, |workspace| workspace.share),
        })
    }

    async fn drive(self: Rc<Self>, run: Rc<Run>, req: CompletionRequest, plan: RunPlan) {
        let dispatcher = self.dispatcher(&self.shards.of_prompt(&plan.route, &req.prompt));
        let watch = cancel_when_abandoned(run.clone());
        let watch = actix_rt::spawn(watch);
        self.driver.drive(&dispatcher, &run, &req, &plan).await;
        watch.abort();
        let has_answer = matches!(run.result(), Some(RunResult::Completed(_)));
        self.registry.retire(self.clock.now(), &run, has_answer);
    }
}

fn draining() -> Refusal {
    Refusal::not_run(RefusalCode::Draining, "the instance drains")
}

/// This instance, as a home for its own requests.
pub struct LocalHomeHandle {
    /// The name of this instance.
    pub name: InstanceName,
    /// The runs of this instance.
    pub home: Rc<LocalHome>,
}

#[async_trait(?Send)]
impl Home for LocalHomeHandle {
    fn name(&self) -> &InstanceName {
        &self.name
    }

    fn is_foreign(&self) -> bool {
        false
    }

    async fn open(&self, req: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError> {
        let link = self.home.open_run(req).map_err(OpenError::Refused)?;
        Ok(Box::new(link))
    }
}

/// Cancels a run that nobody reads for a while, since its caller did not come back.
async fn cancel_when_abandoned(run: Rc<Run>) {
    let mut abandoned = Duration::ZERO;
    while !run.is_finished() {
        tokio::time::sleep(ABANDONED_CHECK).await;
        abandoned = if run.is_abandoned() { abandoned + ABANDONED_CHECK } else { Duration::ZERO };
        if abandoned >= ABANDONED_KEPT {
            run.cancel();
            return;
        }
    }
}
