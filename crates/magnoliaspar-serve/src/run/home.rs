//! This instance as the home of runs: opens runs, drives them and cancels abandoned ones.

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
use super::driver::{Driver, RunSettings};
use super::link::{Home, LocalLink, OpenError, RunLink};
use super::registry::RunRegistry;
use super::running::{Run, RunResult};
use super::shard::{Shard, ShardMap};
use crate::instance::ConfigurationSlot;

/// Time without a reader after which a run is cancelled; the caller may reconnect until then.
const ABANDONED_RUN_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks for readers.
const ABANDONED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// This instance as the home of runs.
pub struct LocalHome {
    name: InstanceName,
    is_draining: Cell<bool>,
    clock: Rc<dyn Clock>,
    configuration: Rc<ConfigurationSlot>,
    driver: Driver,
    shards: ShardMap,
    registry: RunRegistry,
    dispatchers: RefCell<BTreeMap<Shard, Rc<Dispatcher>>>,
    shard_added: Notify,
}

impl LocalHome {
    /// Creates a home that has no runs.
    pub fn new(
        name: InstanceName,
        clock: Rc<dyn Clock>,
        configuration: Rc<ConfigurationSlot>,
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

    /// Returns the registry of runs.
    pub fn registry(&self) -> &RunRegistry {
        &self.registry
    }

    /// Starts or stops draining. A draining home accepts no new runs; its runs that no engine has
    /// worked on are refused, so that other homes can run them.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.set(is_draining);
        if !is_draining {
            return;
        }
        for run in self.registry.live() {
            if !run.may_have_run() {
                run.hand_over(draining_refusal());
            }
        }
    }

    /// Returns the division of pools into shards.
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Returns the dispatcher of a shard, and starts one if there is none.
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

    /// Returns whether this instance has a dispatcher for a shard.
    pub fn has_dispatcher(&self, shard: &Shard) -> bool {
        self.dispatchers.borrow().contains_key(shard)
    }

    /// Waits until a dispatcher is added, which has no engines yet.
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

    /// Subscribes to the run of a request; creates and drives the run if there is none.
    pub fn open_run(self: &Rc<Self>, req: &CompletionRequest) -> Result<LocalLink, Refusal> {
        if self.is_draining.get() && !self.registry.contains(&req.id) {
            return Err(draining_refusal());
        }
        let settings = self.settings_of(req)?;
        let opened = self.registry.open(req)?;
        let subscription = opened.run.subscribe(req.from);
        if opened.is_new {
            let home = self.clone();
            actix_rt::spawn(home.drive(opened.run, req.clone(), settings));
        }
        Ok(LocalLink { home: self.name.clone(), subscription, is_new: opened.is_new })
    }

    fn settings_of(&self, req: &CompletionRequest) -> Result<RunSettings, Refusal> {
        let Some(active_configuration) = self.configuration.current() else {
            return Err(Refusal::not_run(RefusalCode::NotReady, "no configuration is in force"));
        };
        let Some(route) = active_configuration.declarations.routes.get(&req.route) else {
            return Err(Refusal::not_run(
                RefusalCode::UnknownModel,
                "the route is no longer declared",
            ));
        };
        let RouteTarget::Completion(completion) = &route.target else {
            return Err(Refusal::not_run(
                RefusalCode::UnknownModel,
                "the route no longer serves a model",
            ));
        };
        let workspace = active_configuration.declarations.workspaces.get(&req.id.workspace);
        Ok(RunSettings {
            route: completion.clone(),
            share: workspace.map_or(1, |workspace| workspace.share),
        })
    }

    async fn drive(self: Rc<Self>, run: Rc<Run>, req: CompletionRequest, settings: RunSettings) {
        let dispatcher = self.dispatcher(&self.shards.for_prompt(&settings.route, &req.prompt));
        let watch = cancel_when_abandoned(run.clone());
        let watch = actix_rt::spawn(watch);
        self.driver.drive(&dispatcher, &run, &req, &settings).await;
        watch.abort();
        let has_answer = matches!(run.result(), Some(RunResult::Completed(_)));
        self.registry.retire(self.clock.now(), &run, has_answer);
    }
}

fn draining_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::Draining, "the instance drains")
}

/// Opens runs on this instance for the requests that it has accepted itself.
pub struct LocalHomeHandle {
    /// The name of this instance.
    pub name: InstanceName,
    /// This instance as a home.
    pub home: Rc<LocalHome>,
}

#[async_trait(?Send)]
impl Home for LocalHomeHandle {
    fn name(&self) -> &InstanceName {
        &self.name
    }

    fn is_in_other_zone(&self) -> bool {
        false
    }

    async fn open(&self, req: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError> {
        let link = self.home.open_run(req).map_err(OpenError::Refused)?;
        Ok(Box::new(link))
    }
}

/// Cancels a run that has had no reader for [`ABANDONED_RUN_TIMEOUT`].
async fn cancel_when_abandoned(run: Rc<Run>) {
    let mut abandoned = Duration::ZERO;
    while !run.is_finished() {
        tokio::time::sleep(ABANDONED_CHECK_INTERVAL).await;
        abandoned =
            if run.is_abandoned() { abandoned + ABANDONED_CHECK_INTERVAL } else { Duration::ZERO };
        if abandoned >= ABANDONED_RUN_TIMEOUT {
            run.cancel();
            return;
        }
    }
}
