use std::time::Instant;

use magnoliaspar_policy::LoadReport;

use crate::deployment::EngineSize;
use crate::event::Tag;

/// An engine that produces tokens for a batch of requests, one each in a step.
#[derive(Debug)]
pub(crate) struct DecodeEngine {
    size: EngineSize,
    runs: Vec<Run>,
    is_stepping: bool,
    /// The number of steps that were started; an end with another number is stale.
    epoch: u32,
}

/// A request on a decode engine.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) tag: Tag,
    /// The pieces of memory that the request takes.
    pub(crate) pieces: u32,
    /// The tokens of prompt and answer so far.
    pub(crate) context_tokens: u32,
    /// The tokens that are still to be produced.
    pub(crate) remaining_tokens: u32,
    /// Whether the KV cache has been imported.
    pub(crate) is_imported: bool,
    /// Whether the request takes part in the step that is running.
    pub(crate) is_in_step: bool,
}

impl DecodeEngine {
    pub(crate) fn new(size: &EngineSize) -> Self {
        Self { size: size.clone(), runs: Vec::new(), is_stepping: false, epoch: 0 }
    }

    /// Takes a slot and memory for a request, or returns `false` if the engine is full.
    pub(crate) fn accept(&mut self, run: Run) -> bool {
        let is_full = self.runs.len() >= self.size.decode_slots as usize;
        if is_full || self.used_pieces() + run.pieces > self.size.memory_pieces {
            return false;
        }
        self.runs.push(run);
        true
    }

    /// Marks the KV cache of a request as imported; returns `false` if the request is gone.
    pub(crate) fn import(&mut self, request: usize, tag: Tag) -> bool {
        for run in &mut self.runs {
            if run.request == request && run.tag == tag {
                run.is_imported = true;
                return true;
            }
        }
        false
    }

    /// Starts a step if none is running and there is work; returns when it ends and its number.
    pub(crate) fn start(&mut self, now: Instant) -> Option<(Instant, u32)> {
        if self.is_stepping {
            return None;
        }
        let mut batch = 0;
        let mut context_tokens = 0;
        for run in &mut self.runs {
            run.is_in_step = run.is_imported;
            if !run.is_imported {
                continue;
            }
            batch += 1;
            context_tokens += u64::from(run.context_tokens);
        }
        if batch == 0 {
            return None;
        }
        self.is_stepping = true;
        self.epoch += 1;
        Some((now + self.size.step(batch, context_tokens), self.epoch))
    }

    /// Ends the step with this number and returns the requests that got a token.
    ///
    /// Requests that have their whole answer leave the engine.
    pub(crate) fn end(&mut self, epoch: u32) -> Vec<Run> {
        let mut served = Vec::new();
        if epoch != self.epoch || !self.is_stepping {
            return served;
        }
        self.is_stepping = false;
        for run in &mut self.runs {
            if !run.is_in_step {
                continue;
            }
            run.context_tokens += 1;
            run.remaining_tokens -= 1;
            served.push(run.clone());
        }
        self.runs.retain(|run| run.remaining_tokens > 0);
        served
    }

    /// Drops a request.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.runs.retain(|run| run.request != request);
    }

    /// Returns the requests on the engine.
    pub(crate) fn requests(&self) -> Vec<usize> {
        let mut requests = Vec::new();
        for run in &self.runs {
            requests.push(run.request);
        }
        requests
    }

    pub(crate) fn used_pieces(&self) -> u32 {
        let mut used = 0;
        for run in &self.runs {
            used += run.pieces;
        }
        used
    }

    pub(crate) fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            made_at: now,
            running: self.runs.len() as u32,
            waiting: 0,
            used_pieces: self.used_pieces(),
            queued_tokens: 0,
        }
    }
}
