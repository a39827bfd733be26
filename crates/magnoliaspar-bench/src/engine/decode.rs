//! A simulated decode engine.

use std::time::Instant;

use magnoliaspar_policy::LoadReport;

use crate::deployment::EngineSpec;
use crate::event::AttemptTag;

/// A simulated engine with continuous batching, which produces one token per request in a step.
#[derive(Debug)]
pub(crate) struct DecodeEngine {
    spec: EngineSpec,
    tasks: Vec<DecodeTask>,
    is_stepping: bool,
    /// The number of steps that were started. The end of a step with another number is stale.
    epoch: u32,
}

/// A request on a decode engine.
#[derive(Debug, Clone)]
pub(crate) struct DecodeTask {
    pub(crate) request: usize,
    pub(crate) tag: AttemptTag,
    /// The number of pieces of memory that the request occupies.
    pub(crate) pieces: u32,
    /// The number of tokens of the prompt and of the answer so far.
    pub(crate) context_tokens: u32,
    /// The number of tokens that are still to be produced.
    pub(crate) remaining_tokens: u32,
    /// True if the KV cache has been imported.
    pub(crate) is_imported: bool,
    /// True if the request is part of the running step.
    pub(crate) is_in_step: bool,
}

impl DecodeEngine {
    pub(crate) fn new(spec: &EngineSpec) -> Self {
        Self { spec: spec.clone(), tasks: Vec::new(), is_stepping: false, epoch: 0 }
    }

    /// Allocates a slot and memory for a request, or returns `false` if the engine is full.
    pub(crate) fn accept(&mut self, task: DecodeTask) -> bool {
        let is_full = self.tasks.len() >= self.spec.decode_slots as usize;
        if is_full || self.used_pieces() + task.pieces > self.spec.memory_pieces {
            return false;
        }
        self.tasks.push(task);
        true
    }

    /// Marks the KV cache of a request as imported. Returns `false` if the request is not on the
    /// engine.
    pub(crate) fn complete_import(&mut self, request: usize, tag: AttemptTag) -> bool {
        for task in &mut self.tasks {
            if task.request == request && task.tag == tag {
                task.is_imported = true;
                return true;
            }
        }
        false
    }

    /// Starts a step if none is running and a request can decode. Returns the time when it ends and
    /// its number.
    pub(crate) fn start_step(&mut self, now: Instant) -> Option<(Instant, u32)> {
        if self.is_stepping {
            return None;
        }
        let mut batch = 0;
        let mut context_tokens = 0;
        for task in &mut self.tasks {
            task.is_in_step = task.is_imported;
            if !task.is_imported {
                continue;
            }
            batch += 1;
            context_tokens += u64::from(task.context_tokens);
        }
        if batch == 0 {
            return None;
        }
        self.is_stepping = true;
        self.epoch += 1;
        Some((now + self.spec.step_time(batch, context_tokens), self.epoch))
    }

    /// Ends the step with this number and returns the requests that received a token.
    ///
    /// Requests with a complete answer are removed from the engine.
    pub(crate) fn end_step(&mut self, epoch: u32) -> Vec<DecodeTask> {
        let mut served = Vec::new();
        if epoch != self.epoch || !self.is_stepping {
            return served;
        }
        self.is_stepping = false;
        for task in &mut self.tasks {
            if !task.is_in_step {
                continue;
            }
            task.context_tokens += 1;
            task.remaining_tokens -= 1;
            served.push(task.clone());
        }
        self.tasks.retain(|task| task.remaining_tokens > 0);
        served
    }

    /// Removes a request and frees its slot and memory.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.tasks.retain(|task| task.request != request);
    }

    /// Returns the requests on the engine.
    pub(crate) fn requests(&self) -> Vec<usize> {
        let mut requests = Vec::new();
        for task in &self.tasks {
            requests.push(task.request);
        }
        requests
    }

    pub(crate) fn used_pieces(&self) -> u32 {
        let mut used = 0;
        for task in &self.tasks {
            used += task.pieces;
        }
        used
    }

    pub(crate) fn load_report(&self, now: Instant) -> LoadReport {
        LoadReport {
            made_at: now,
            running: self.tasks.len() as u32,
            waiting: 0,
            used_pieces: self.used_pieces(),
            queued_tokens: 0,
        }
    }
}
