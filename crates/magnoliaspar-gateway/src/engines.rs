//! The engines of a service as candidates for a completion.

use std::collections::BTreeSet;

use magnoliaspar_core::ServerKey;

use crate::coordinator::AdmissionRequest;
use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::prompt_cache::EngineProcess;
use crate::reservations::EngineLoad;
use crate::selection::Candidate;

impl Gateway {
    /// Records that the prompt of a completion is granted a prefill engine.
    pub fn record_prompt(&self, prefill: ServerKey, request: &AdmissionRequest) {
        let spec = self.last_engine_spec(&request.service);
        let capacity = spec.map_or(0, |engine| engine.kv_capacity);
        let directory = self.directory.borrow();
        let Some(server) = directory.get(prefill) else { return };
        let (engine, started_ms) = (&*server.record.id, server.record.started_ms);
        let process = EngineProcess { engine, started_ms, capacity };
        let mut prompt_caches = self.prompt_caches.borrow_mut();
        prompt_caches.record(process, &request.prompt_parts(), request.prompt_tokens);
        prompt_caches.retain(|engine| directory.key(engine).is_some());
    }

    /// Logs, as coordinator, the engines that have become slow or are no longer.
    pub fn log_engine_speeds(&self) {
        if self.coordinator().is_some() {
            return;
        }
        let changes = self.reservations.borrow_mut().take_speed_changes(self.clock.now());
        for (server, stage, relative_speed) in changes {
            log::info!(server = &*server, stage, relative_speed; "engine_speed_changed");
        }
    }

    /// Returns the names of the listed engines of a service.
    pub fn engine_names(&self, service: &str) -> BTreeSet<Box<str>> {
        let mut names = BTreeSet::new();
        for (_, server) in self.directory.borrow().iter() {
            if &*server.record.service == service && server.record.role.is_some() {
                names.insert(server.record.id.clone());
            }
        }
        names
    }

    /// Returns the engines that could run a completion, with their reserved load.
    ///
    /// Their speeds and cached prompts count only with workspaces. Without them, a fleet of 140 engines was served worse
    /// by the same weights.
    pub fn engines(&self, request: &AdmissionRequest, has_workspaces: bool) -> Vec<Candidate> {
        let now = self.clock.now();
        let spec = self.last_engine_spec(&request.service);
        let capacity = spec.map_or(0, |engine| engine.kv_capacity);
        let mut candidates = self.candidates(&request.service, &[]);
        let is_limited = candidates.iter().any(|candidate| candidate.permit_wait.is_some());
        let share = if is_limited { self.limit_share() } else { 1.0 };
        let mut directory = self.directory.borrow_mut();
        let (loads, prefill_speeds) = {
            let reservations = self.reservations.borrow();
            let prefill_speeds = has_workspaces.then(|| reservations.prefill_speeds(now));
            (reservations.loads(now), prefill_speeds)
        };
        let prompt_caches = self.prompt_caches.borrow();
        let parts = request.prompt_parts();
        let failing_engines = self.failing_engines.borrow();
        let idle = EngineLoad::default();
        candidates.retain_mut(|candidate| {
            if candidate.permit_wait.is_some() {
                candidate.permit_wait = directory.permit_due_in(candidate.key, share, now);
            }
            let Some(server) = directory.get(candidate.key) else { return false };
            let id = &server.record.id;
            let is_decode = candidate.role == Some(EngineRole::Decode);
            let is_left_out = is_decode && !request.only.is_empty() && !request.only.contains(id);
            if is_left_out || request.excluded.contains(id) {
                return false;
            }
            let load = loads.get(id).unwrap_or(&idle);
            candidate.is_local = server.record.zone == request.zone;
            candidate.is_avoided |= failing_engines.is_avoided(id, now);
            candidate.queued_prefill_tokens = load.queued_prefill_tokens;
            if let Some(prefill_speeds) = &prefill_speeds {
                candidate.prefill_speed = prefill_speeds.of(id);
            }
            if has_workspaces && candidate.role == Some(EngineRole::Prefill) {
                let started_ms = server.record.started_ms;
                let process = EngineProcess { engine: id, started_ms, capacity };
                candidate.held_prompt_tokens =
                    prompt_caches.expected(process, &parts, request.prompt_tokens);
            }
            candidate.running = load.running();
            // An idle engine counts as empty, so that it receives even a request that exceeds its
            // memory and can refuse it.
            if is_decode && load.running() > 0 {
                let (prompt, expected) = (request.prompt_tokens, request.expected_tokens);
                candidate.fill = load.predicted_fill(capacity, prompt, expected);
            }
            true
        });
        candidates
    }
}
