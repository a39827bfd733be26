use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::Incarnation;
use magnoliaspar_engine::{EndReason, HeldStream, LoadSnapshot, Prefilled, Stage, StreamId};
use tokio::sync::Notify;

use super::cache::PrefixCache;
use super::fault::Faults;
use super::spec::{ModelEngineRole, ModelEngineSpec};

/// What an engine holds; all of it is lost when the engine dies.
pub struct EngineState {
    /// The sizes of the engine.
    pub spec: ModelEngineSpec,
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// The role, which an order may change.
    pub role: ModelEngineRole,
    /// The loaded adapters.
    pub adapters: Vec<Box<str>>,
    /// The streams that hold memory.
    pub streams: BTreeMap<StreamId, Rc<EngineStream>>,
    /// Answers that have ended, kept for those who attach late.
    pub ended: BTreeMap<StreamId, Rc<EngineStream>>,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The latest load report.
    pub report: LoadSnapshot,
    /// When the report was made.
    pub reported_at: Instant,
    /// The faults that are on.
    pub faults: Faults,
    /// Open answers with a lower number are silent.
    pub silent_before: u64,
    /// How many answers were opened.
    pub answers_opened: u64,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
    pub fn new(spec: ModelEngineSpec, incarnation: Incarnation, faults: Faults) -> Self {
        Self {
            incarnation,
            role: spec.role,
            adapters: Vec::new(),
            streams: BTreeMap::new(),
            ended: BTreeMap::new(),
            cache: PrefixCache::new(spec.cache_blocks),
            fence: 0,
            report: empty_report(),
            reported_at: Instant::now(),
            faults,
            silent_before: 0,
            answers_opened: 0,
            spec,
        }
    }

    /// Returns how many pieces of memory are in use.
    pub fn used_pieces(&self) -> u32 {
        self.streams.values().map(|stream| stream.pieces).sum()
    }

    /// Whether a stream of `pieces` pieces fits beside those that run.
    pub fn has_room(&self, pieces: u32) -> bool {
        if self.faults.is_full {
            return false;
        }
        let has_slot = match self.role {
            ModelEngineRole::Prefill => true,
            ModelEngineRole::Decode => (self.streams.len() as u32) < self.spec.slots,
        };
        has_slot && self.used_pieces() + pieces <= self.spec.memory_pieces
    }

    /// Returns the load as it is now.
    pub fn current_load(&self) -> LoadSnapshot {
        let mut load = empty_report();
        load.used_pieces = self.used_pieces();
        for stream in self.streams.values() {
            let inner = stream.inner.borrow();
            match inner.stage {
                Stage::Prefill => {
                    load.waiting += 1;
                    load.queued_tokens += stream.prompt_tokens;
                }
                Stage::Hold => {}
                Stage::Import | Stage::Decode => load.running += 1,
            }
        }
        load
    }

    /// Lists the streams that hold memory.
    pub fn held_streams(&self) -> Vec<HeldStream> {
        let mut held = Vec::new();
        for (id, stream) in &self.streams {
            held.push(HeldStream {
                stream: id.clone(),
                owner: stream.owner.clone(),
                stage: stream.inner.borrow().stage,
                pieces: stream.pieces,
                age_ms: stream.opened_at.elapsed().as_millis() as u64,
            });
        }
        held
    }

    /// Frees the memory of a stream and stops its work.
    pub fn release(&mut self, id: &StreamId) -> Option<Rc<EngineStream>> {
        let stream = self.streams.remove(id)?;
        stream.inner.borrow_mut().is_released = true;
        stream.changed.notify_waiters();
        Some(stream)
    }
}

/// A stream that holds memory.
pub struct EngineStream {
    /// The instance that opened it.
    pub owner: Box<str>,
    /// How many pieces of memory it holds.
    pub pieces: u32,
    /// The length of its prompt in tokens.
    pub prompt_tokens: u32,
    /// The prompt, on a prefill engine.
    pub prompt: Box<str>,
    /// When it was opened.
    pub opened_at: Instant,
    /// What changes while it runs.
    pub inner: RefCell<StreamInner>,
    /// Wakes those who wait for a change.
    pub changed: Notify,
}

/// What changes while a stream runs.
pub struct StreamInner {
    /// What the stream is doing.
    pub stage: Stage,
    /// The result of the prefill.
    pub prefilled: Option<Prefilled>,
    /// Whether the KV cache is imported.
    pub is_imported: bool,
    /// The index of the first token in `tokens`.
    pub first_index: u32,
    /// The tokens produced.
    pub tokens: Vec<Box<str>>,
    /// Why the answer ended.
    pub end: Option<EndReason>,
    /// Whether the memory is freed and work must stop.
    pub is_released: bool,
}

impl EngineStream {
    /// Waits until `condition` holds for the inner state.
    pub async fn wait(&self, condition: impl Fn(&StreamInner) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.inner.borrow()) {
                return;
            }
            changed.await;
        }
    }

    /// Changes the inner state and wakes those who wait.
    pub fn update(&self, change: impl FnOnce(&mut StreamInner)) {
        change(&mut self.inner.borrow_mut());
        self.changed.notify_waiters();
    }
}

impl StreamInner {
    /// Creates the state of a stream in `stage`.
    pub fn new(stage: Stage, first_index: u32) -> RefCell<Self> {
        RefCell::new(Self {
            stage,
            prefilled: None,
            is_imported: false,
            first_index,
            tokens: Vec::new(),
            end: None,
            is_released: false,
        })
    }
}

fn empty_report() -> LoadSnapshot {
    LoadSnapshot { age_ms: 0, running: 0, waiting: 0, used_pieces: 0, queued_tokens: 0 }
}
