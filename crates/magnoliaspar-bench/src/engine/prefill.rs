//! A simulated prefill engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash};
use magnoliaspar_policy::LoadReport;

use super::cache::{CacheChange, PrefixCache};
use crate::deployment::EngineSpec;
use crate::event::AttemptTag;

/// A simulated engine that prefills one prompt at a time.
#[derive(Debug)]
pub(crate) struct PrefillEngine {
    spec: EngineSpec,
    cache: PrefixCache,
    queue: VecDeque<PrefillTask>,
    current: Option<RunningPrefill>,
    /// The number of prefills that were started or cancelled while running. The end of a prefill
    /// with another number is stale.
    epoch: u32,
}

/// A request on a prefill engine.
#[derive(Debug)]
pub(crate) struct PrefillTask {
    pub(crate) request: usize,
    pub(crate) tag: AttemptTag,
    pub(crate) blocks: Box<[BlockHash]>,
    pub(crate) prompt_tokens: u32,
}

/// The result of a finished prefill.
#[derive(Debug)]
pub(crate) struct PrefillResult {
    pub(crate) task: PrefillTask,
    pub(crate) cached_tokens: u32,
    pub(crate) computed_tokens: u32,
    pub(crate) change: CacheChange,
}

#[derive(Debug)]
struct RunningPrefill {
    task: PrefillTask,
    started_at: Instant,
    duration: Duration,
    cached_tokens: u32,
}

impl PrefillEngine {
    pub(crate) fn new(spec: &EngineSpec) -> Self {
        Self {
            spec: spec.clone(),
            cache: PrefixCache::new(spec.cache_blocks()),
            queue: VecDeque::new(),
            current: None,
            epoch: 0,
        }
    }

    /// Queues a request, or returns `false` if the engine is full.
    pub(crate) fn accept(&mut self, task: PrefillTask) -> bool {
        if self.request_count() >= self.spec.prefill_slots as usize {
            return false;
        }
        self.queue.push_back(task);
        true
    }

    /// Starts the next prefill if none is running. Returns the time when it ends and its number.
    pub(crate) fn start_prefill(&mut self, now: Instant) -> Option<(Instant, u32)> {
        if self.current.is_some() {
            return None;
        }
        let task = self.queue.pop_front()?;
        let matched = self.cache.matched_blocks(&task.blocks) as u32 * BLOCK_TOKENS;
        let cached_tokens = matched.min(task.prompt_tokens.saturating_sub(1));
        let duration = self.spec.prefill_time(task.prompt_tokens - cached_tokens);
        self.current = Some(RunningPrefill { task, started_at: now, duration, cached_tokens });
        self.epoch += 1;
        Some((now + duration, self.epoch))
    }

    /// Ends the prefill with this number, if it is still running.
    pub(crate) fn end_prefill(&mut self, epoch: u32) -> Option<PrefillResult> {
        if epoch != self.epoch {
            return None;
        }
        let current = self.current.take()?;
        let change = self.cache.insert(&current.task.blocks);
        Some(PrefillResult {
            computed_tokens: current.task.prompt_tokens - current.cached_tokens,
            cached_tokens: current.cached_tokens,
            task: current.task,
            change,
        })
    }

    /// Removes a request and returns the number of tokens that were computed for it without use.
    pub(crate) fn cancel(&mut self, now: Instant, request: usize) -> u32 {
        self.queue.retain(|task| task.request != request);
        let Some(current) = self.current.take_if(|current| current.task.request == request) else {
            return 0;
        };
        self.epoch += 1;
        let done = (now - current.started_at).div_duration_f64(current.duration).min(1.0);
        (f64::from(current.task.prompt_tokens - current.cached_tokens) * done) as u32
    }

    /// Returns the requests that the engine runs or queues.
    pub(crate) fn requests(&self) -> Vec<usize> {
        let mut requests = Vec::new();
        requests.extend(self.current.as_ref().map(|current| current.task.request));
        for task in &self.queue {
            requests.push(task.request);
        }
        requests
    }

    /// Returns the number of requests that the engine runs or queues.
    pub(crate) fn request_count(&self) -> usize {
        self.queue.len() + usize::from(self.current.is_some())
    }

    pub(crate) fn load_report(&self, now: Instant) -> LoadReport {
        let mut queued_tokens = 0;
        for task in &self.queue {
            queued_tokens += task.prompt_tokens;
        }
        let cached_tokens = self.cache.len() as u32 * BLOCK_TOKENS;
        LoadReport {
            made_at: now,
            running: u32::from(self.current.is_some()),
            waiting: self.queue.len() as u32,
            used_pieces: cached_tokens.div_ceil(self.spec.piece_tokens),
            queued_tokens,
        }
    }
}
