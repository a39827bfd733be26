//! Limits of workspaces that all instances share.
//!
//! The coordinator charges each completion when it admits it, and those that may succeed it are told of the charge with
//! the reservation. Plain calls are let pass without a question; heartbeats tell the coordinators of their use, and
//! instances of the limits that are used up. An instance that does not hear from all others issues its share only.

use std::cell::RefCell;
use std::rc::Rc;

use magnoliaspar_access::Workspace;
use magnoliaspar_core::WorkspaceName;
use magnoliaspar_limit::{Demand, Ledger, LimitReport, Verdict};
use serde::{Deserialize, Serialize};

use crate::call::Incoming;
use crate::coordinator::AdmissionRequest;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::reservations::ReservationId;
use crate::route::Routing;

/// State of the limits that all instances share.
#[derive(Debug)]
pub struct SharedLimits(RefCell<Ledger>);

impl SharedLimits {
    /// Creates the state of a process, whose number tells it from former processes of the instance.
    pub fn new(process: u64) -> Self {
        Self(RefCell::new(Ledger::new(process)))
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

/// Sets the limits of a configuration.
pub fn configure(gateway: &Gateway, routing: &Routing) {
    let mut workspaces: Vec<&Workspace> = Vec::new();
    if let Some(declared) = &routing.workspaces {
        workspaces.extend(declared.iter().map(Rc::as_ref));
    }
    gateway.limits.0.borrow_mut().configure(workspaces, gateway.clock.now());
}

/// Judges a completion as coordinator, without charging it.
pub fn judge(
    gateway: &Gateway,
    instance: &str,
    id: ReservationId,
    request: &AdmissionRequest,
) -> Verdict {
    let Some(charge) = Charge::of(request) else { return Verdict::Within };
    let (known, now) = (gateway.known_instances(), gateway.clock.now());
    if gateway.limits.0.borrow_mut().decide(now) {
        ask_all(gateway);
    }
    let number = (instance.into(), id);
    gateway.limits.0.borrow_mut().judge(&number, charge.demand(), known, now)
}

/// Charges a completion of an instance that is admitted or queued here, or that another coordinator has admitted.
pub fn charge(gateway: &Gateway, instance: &str, id: ReservationId, charge: &Charge) {
    let (known, now) = (gateway.known_instances(), gateway.clock.now());
    let number = (instance.into(), id);
    if gateway.limits.0.borrow_mut().charge(number, charge.demand(), known, now) {
        gateway.metrics.count_workspace_tokens(&charge.workspace, charge.cost);
    }
}

/// Lets a plain call pass, unless the limit of its workspace is used up.
pub fn admit_call(gateway: &Gateway, req: &Incoming) -> Result<(), Refusal> {
    let Some(workspace) = &req.workspace else { return Ok(()) };
    if workspace.limit.is_none() {
        return Ok(());
    }
    let (known, now) = (gateway.known_instances(), gateway.clock.now());
    let cost = workspace.cost(req.facts.size());
    let demand = Demand { workspace: &workspace.name, cost };
    let coordinator = gateway.coordinator();
    let coordinator = coordinator.as_ref().map(|coordinator| &*coordinator.instance);
    if let Err(wait) = gateway.limits.0.borrow_mut().admit_call(demand, coordinator, known, now) {
        req.state.over_limit_for.set(wait);
        return Err(Refusal::OverLimit);
    }
    gateway.metrics.count_workspace_tokens(&workspace.name, cost);
    let is_report_due = gateway.limits.0.borrow().is_report_due(now);
    if let Some(peers) = gateway.peers().filter(|_| is_report_due) {
        peers.send_state(gateway, false);
    }
    Ok(())
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
    gateway.limits.0.borrow_mut().hear(instance, gateway.clock.now());
}

/// Records, with each heartbeat, whether this instance is the coordinator.
pub fn observe(gateway: &Gateway) {
    // Without limits there is nothing to decide, and no reason to ask others.
    if !gateway.limits.0.borrow().has_limits() {
        return;
    }
    let is_coordinator = gateway.coordinator().is_none();
    if gateway.limits.0.borrow_mut().observe(is_coordinator, gateway.clock.now()) {
        ask_all(gateway);
    }
}

/// Returns what this instance has let pass, for its heartbeat.
pub fn report_usage(gateway: &Gateway) -> LimitReport {
    gateway.limits.0.borrow_mut().report_usage(gateway.clock.now())
}

/// Returns the limits that are used up, for the answer to a heartbeat.
pub fn report_exhausted(gateway: &Gateway) -> LimitReport {
    let (known, now) = (gateway.known_instances(), gateway.clock.now());
    gateway.limits.0.borrow_mut().report_exhausted(known, now)
}

/// Charges what another instance has let pass.
pub fn receive_usage(gateway: &Gateway, instance: &str, report: &LimitReport) {
    let (known, now) = (gateway.known_instances(), gateway.clock.now());
    gateway.limits.0.borrow_mut().receive_usage(instance, report, known, now);
}

/// Applies what another instance knows of the limits that are used up.
pub fn receive_exhausted(gateway: &Gateway, instance: &str, report: &LimitReport) {
    let coordinator = gateway.coordinator();
    let coordinator = coordinator.as_ref().map(|coordinator| &*coordinator.instance);
    let now = gateway.clock.now();
    gateway.limits.0.borrow_mut().receive_exhausted(instance, report, coordinator, now);
}

/// Forgets an instance that is gone.
pub fn forget(gateway: &Gateway, instance: &str) {
    gateway.limits.0.borrow_mut().forget(instance);
}
