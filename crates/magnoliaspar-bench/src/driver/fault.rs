//! Injects the fault of a scenario.

use std::time::{Duration, Instant};

use magnoliaspar_policy::{FailedStage, Role};

use super::Driver;
use crate::engine::DecodeEngine;
use crate::event::Event;
use crate::scenario::{Fault, WARM_UP};
use crate::state::{Engine, Stage};
use crate::stats::WasteCause;

/// Time until an unresponsive server is detected.
const FAULT_DETECTION_DELAY: Duration = Duration::from_secs(1);

impl Driver<'_> {
    pub(super) fn schedule_fault(&mut self) {
        let Some(fault) = self.scenario.shape().fault else { return };
        let (at, back_at) = match fault {
            Fault::DecodeLost { at, back_at } => (at, back_at),
            Fault::ZoneCut { at, back_at } => (at, back_at),
        };
        let window = self.start + WARM_UP;
        self.events.push(window + at, Event::FaultBegin);
        self.events.push(window + at + FAULT_DETECTION_DELAY, Event::FaultDetected);
        self.events.push(window + back_at, Event::FaultEnd);
    }

    pub(super) fn begin_fault(&mut self) {
        for server in self.affected_servers() {
            let engine = DecodeEngine::new(&self.deployment.engine);
            let state = &mut self.servers[server];
            match self.scenario.shape().fault {
                None => {}
                Some(Fault::DecodeLost { .. }) => {
                    state.is_dead = true;
                    state.engine = Engine::Decode(engine);
                }
                Some(Fault::ZoneCut { .. }) => state.is_partitioned = true,
            }
        }
    }

    /// Removes the affected servers from the policy and fails their requests.
    pub(super) fn detect_fault(&mut self, now: Instant) -> bool {
        for server in self.affected_servers() {
            let Some(key) = self.servers[server].key.take() else { continue };
            self.policy.remove_server(now, key);
        }
        for server in self.affected_servers() {
            self.fail_requests(now, server);
        }
        true
    }

    /// Reports the requests on a lost server to the policy as failed.
    fn fail_requests(&mut self, now: Instant, server: usize) {
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let is_on_prefill = request.prefill_server == Some(server);
            let is_on_decode = request.decode_server == Some(server);
            let failed = match request.stage {
                Stage::Prefilling | Stage::Prefilled if is_on_prefill => FailedStage::Prefill,
                Stage::Transferring if is_on_prefill || is_on_decode => FailedStage::Transfer,
                Stage::Decoding if is_on_decode => FailedStage::Decode,
                _ => continue,
            };
            request.waste_cause = WasteCause::EngineLost;
            let held_until = request.active_hold(now).filter(|_| !is_on_prefill);
            // A decode engine that is not lost must stop waiting for the import from the lost
            // server.
            let decode = request.decode_server.filter(|decode| *decode != server);
            if let Some(engine) = decode.and_then(|decode| self.servers[decode].decode_engine()) {
                engine.cancel(index);
            }
            self.report_failure(now, index, failed, held_until);
        }
    }

    /// Makes the affected servers available again and registers them with the policy.
    pub(super) fn end_fault(&mut self, now: Instant) -> bool {
        for server in self.affected_servers() {
            let state = &mut self.servers[server];
            state.is_dead = false;
            state.is_partitioned = false;
            state.has_gap = true;
            self.cancel_stale_requests(now, server);
            self.register_server(now, server);
        }
        true
    }

    /// Cancels the requests that kept running behind a partition after the policy had rescheduled
    /// them.
    fn cancel_stale_requests(&mut self, now: Instant, server: usize) {
        let requests = match &self.servers[server].engine {
            Engine::Prefill(engine) => engine.requests(),
            Engine::Decode(engine) => engine.requests(),
        };
        for request in requests {
            match &mut self.servers[server].engine {
                Engine::Decode(engine) => engine.cancel(request),
                Engine::Prefill(engine) => {
                    let tokens = engine.cancel(now, request);
                    self.stats.computed_tokens += u64::from(tokens);
                    self.stats.add_waste(WasteCause::EngineLost, tokens);
                }
            }
        }
    }

    /// Returns the indices of the servers that the fault of the scenario affects.
    fn affected_servers(&self) -> Vec<usize> {
        let mut affected = Vec::new();
        let last_zone = &self.deployment.zones[self.deployment.zones.len() - 1];
        for (index, server) in self.servers.iter().enumerate() {
            let is_affected = match self.scenario.shape().fault {
                None => false,
                Some(Fault::DecodeLost { .. }) => {
                    server.spec.role == Role::Decode && affected.is_empty()
                }
                Some(Fault::ZoneCut { .. }) => server.spec.zone == *last_zone,
            };
            if is_affected {
                affected.push(index);
            }
        }
        affected
    }
}
