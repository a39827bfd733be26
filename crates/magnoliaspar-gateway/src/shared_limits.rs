//! Limits of workspaces that all instances share.
//!
//! The coordinator charges each completion when it admits it, and those that may succeed it are told of the charge with
//! the reservation. Plain calls are let pass without a question; heartbeats tell the coordinators of their use, and
//! instances of the limits that are used up. An instance that does not hear from all others issues its share only.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_access::Workspace;
use magnoliaspar_core::WorkspaceName;
use magnoliaspar_limit::{Buckets, Demand, Exhausted, LimitReport, Tenure, Usage, UsageTotals};
use serde::{Deserialize, Serialize};

use crate::call::Incoming;
use crate::coordinator::AdmissionRequest;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::route::Routing;

/// State of the limits that all instances share.
#[derive(Debug)]
pub struct SharedLimits {
    buckets: RefCell<Buckets>,
    tenure: RefCell<Tenure>,
    usage: RefCell<Usage>,
    totals: RefCell<UsageTotals>,
    exhausted: RefCell<Exhausted>,
}

impl SharedLimits {
    /// Creates the state of a process, whose number tells it from former processes of the instance.
    pub fn new(process: u64) -> Self {
        Self {
            buckets: RefCell::default(),
            tenure: RefCell::default(),
            usage: RefCell::new(Usage::new(process)),
            totals: RefCell::default(),
            exhausted: RefCell::default(),
        }
    }
}

/// What a reservation was charged, for those that may succeed the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Charge {
    workspace: WorkspaceName,
    cost: u64,
}

impl Charge {
    /// Returns the charge of a completion; `None` if it is not charged.
    pub fn of(request: &AdmissionRequest) -> Option<Self> {
        let workspace = request.workspace.clone()?;
        (request.limit_cost > 0).then_some(Self { workspace, cost: request.limit_cost })
    }

    fn demand(&self) -> Demand<'_> {
        Demand { workspace: &self.workspace, cost: self.cost }
    }
}

/// Whether a completion is within the limit of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Within,
    /// It is not before this time.
    Beyond(Duration),
    /// This instance has just begun to decide and does not know yet.
    Unknown,
}

/// Sets the limits of a configuration.
pub fn configure(gateway: &Gateway, routing: &Routing) {
    let now = gateway.clock.now();
    let mut workspaces: Vec<&Workspace> = Vec::new();
    if let Some(declared) = &routing.workspaces {
        workspaces.extend(declared.iter().map(Rc::as_ref));
    }
    gateway
        .limits
        .usage
        .borrow_mut()
        .retain(|name| workspaces.iter().any(|workspace| workspace.name == *name));
    gateway.limits.buckets.borrow_mut().configure(workspaces, now);
}

/// Judges a completion as coordinator, without charging it.
pub fn judge(gateway: &Gateway, request: &AdmissionRequest) -> Verdict {
    let Some(charge) = Charge::of(request) else { return Verdict::Within };
    let now = gateway.clock.now();
    if gateway.limits.tenure.borrow_mut().decide(now) {
        ask_all(gateway);
    }
    let Some(share) = share(gateway) else { return Verdict::Unknown };
    let wait = gateway.limits.buckets.borrow_mut().wait_for(charge.demand(), share, now);
    if wait.is_zero() { Verdict::Within } else { Verdict::Beyond(wait) }
}

/// Charges a completion that is admitted or queued, or that another coordinator has admitted.
pub fn charge(gateway: &Gateway, charge: &Charge) {
    let share = share(gateway).unwrap_or(1.0);
    let now = gateway.clock.now();
    gateway.limits.buckets.borrow_mut().charge(charge.demand(), share, now);
    gateway.metrics.count_workspace_tokens(&charge.workspace, charge.cost);
}

/// Lets a plain call pass, unless the limit of its workspace is used up.
pub fn admit_call(gateway: &Gateway, req: &Incoming) -> Result<(), Refusal> {
    let Some(workspace) = &req.workspace else { return Ok(()) };
    if workspace.limit.is_none() {
        return Ok(());
    }
    let now = gateway.clock.now();
    let cost = workspace.cost(req.facts.size());
    let wait = match gateway.coordinator() {
        Some(_) => gateway.limits.exhausted.borrow().wait(&workspace.name, now),
        None => {
            let exhausted = exhausted(gateway);
            exhausted.into_iter().find(|(name, _)| *name == workspace.name).map(|(_, wait)| wait)
        }
    };
    if let Some(wait) = wait {
        req.state.over_limit_for.set(wait);
        return Err(Refusal::OverLimit);
    }
    gateway.limits.usage.borrow_mut().record(&workspace.name, cost);
    // The own use is told to others, and counts here, too.
    let demand = Demand { workspace: &workspace.name, cost };
    let share = share(gateway).unwrap_or(1.0);
    gateway.limits.buckets.borrow_mut().charge(demand, share, now);
    gateway.metrics.count_workspace_tokens(&workspace.name, cost);
    Ok(())
}

/// Returns the part of the limits that this instance issues; `None` if it does not decide, or does not know it yet.
fn share(gateway: &Gateway) -> Option<f64> {
    let known = gateway.known_instances();
    gateway.limits.tenure.borrow_mut().share(known, gateway.clock.now())
}

/// Asks all other instances for an answer, by which this one knows that they are in reach.
fn ask_all(gateway: &Gateway) {
    log::info!(known = gateway.known_instances(); "limits_taken_over");
    if let Some(peers) = gateway.peers() {
        peers.send_state_to_all(gateway);
    }
}

/// Records a message from another instance.
pub fn hear(gateway: &Gateway, instance: &str) {
    gateway.limits.tenure.borrow_mut().hear(instance, gateway.clock.now());
}

/// Records, with each heartbeat, whether this instance is the coordinator.
pub fn observe(gateway: &Gateway) {
    let is_coordinator = gateway.coordinator().is_none();
    if gateway.limits.tenure.borrow_mut().observe(is_coordinator, gateway.clock.now()) {
        ask_all(gateway);
    }
}

/// Returns what this instance has let pass, for its heartbeat.
pub fn report_usage(gateway: &Gateway) -> LimitReport {
    gateway.limits.usage.borrow().report()
}

/// Returns the limits that are used up, for the answer to a heartbeat.
pub fn report_exhausted(gateway: &Gateway) -> LimitReport {
    LimitReport::of_exhausted(exhausted(gateway))
}

fn exhausted(gateway: &Gateway) -> Vec<(WorkspaceName, Duration)> {
    let Some(share) = share(gateway) else { return Vec::new() };
    gateway.limits.buckets.borrow_mut().exhausted(share, gateway.clock.now())
}

/// Charges what another instance has let pass.
pub fn receive_usage(gateway: &Gateway, instance: &str, report: &LimitReport) {
    let used = gateway.limits.totals.borrow_mut().apply(instance, report);
    let share = share(gateway).unwrap_or(1.0);
    let now = gateway.clock.now();
    for (workspace, cost) in used {
        let demand = Demand { workspace: &workspace, cost };
        gateway.limits.buckets.borrow_mut().charge(demand, share, now);
    }
}

/// Applies what the coordinator reports of the limits that are used up.
pub fn receive_exhausted(gateway: &Gateway, instance: &str, report: &LimitReport) {
    if gateway.coordinator().is_some_and(|coordinator| &*coordinator.instance == instance) {
        gateway.limits.exhausted.borrow_mut().apply(report, gateway.clock.now());
    }
}

/// Forgets an instance that is gone.
pub fn forget(gateway: &Gateway, instance: &str) {
    gateway.limits.totals.borrow_mut().forget(instance);
}
