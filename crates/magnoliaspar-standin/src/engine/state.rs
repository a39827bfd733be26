//! The state of an engine and of its streams.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::Incarnation;
use magnoliaspar_engine::{EndReason, HeldStream, LoadSnapshot, Prefilled, Stage, StreamId};
use tokio::sync::Notify;

use super::cache::PrefixCache;
use super::faults::Faults;
use super::spec::{ModelEngineRole, ModelEngineSpec};

/// The state of an engine; a crash replaces it with an empty one of the next incarnation.
pub struct EngineState {
    /// Capacity, timing and the currently loaded model.
    pub spec: ModelEngineSpec,
    /// The incarnation, which increases with each crash.
    pub incarnation: Incarnation,
    /// The current role, which an order may change.
    pub role: ModelEngineRole,
    /// The loaded adapters.
    pub adapters: Vec<Box<str>>,
    /// The streams that hold memory.
    pub streams: BTreeMap<StreamId, Rc<EngineStream>>,
    /// Finished streams, kept for late attach calls; they hold no memory.
    pub finished: BTreeMap<StreamId, Rc<EngineStream>>,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The highest fencing token seen.
    pub fencing_token: u64,
    /// The latest load report.
    pub report: LoadSnapshot,
    /// Time of the latest load report.
    pub reported_at: Instant,
    /// The faults still to be injected.
    pub faults: Faults,
    /// Streamed responses with a number below this one send nothing more.
    pub first_unsilenced_answer: u64,
    /// Number of streamed responses opened so far, which is also the number of the next one.
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
            finished: BTreeMap::new(),
            cache: PrefixCache::new(spec.cache_blocks),
            fencing_token: 0,
            report: empty_report(),
            reported_at: Instant::now(),
            faults,
            first_unsilenced_answer: 0,
            answers_opened: 0,
            spec,
        }
    }

    /// Returns the number of KV memory pieces in use.
    pub fn used_pieces(&self) -> u32 {
        self.streams.values().map(|stream| stream.pieces).sum()
    }

    /// Returns true if a new stream of `pieces` memory pieces can be admitted.
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

    /// Returns the current load.
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

    /// Frees the memory of a stream and stops its work; returns `None` if it holds none.
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
    /// Number of KV memory pieces it holds.
    pub pieces: u32,
    /// The length of its prompt in tokens.
    pub prompt_tokens: u32,
    /// The prompt; empty on a decode engine.
    pub prompt: Box<str>,
    /// Time at which it was opened.
    pub opened_at: Instant,
    /// The mutable part of its state.
    pub inner: RefCell<StreamInner>,
    /// Notified after each change of `inner`.
    pub changed: Notify,
}

/// The mutable part of a stream's state.
pub struct StreamInner {
    /// The stage that the stream is in.
    pub stage: Stage,
    /// The result of the prefill, once it has finished.
    pub prefilled: Option<Prefilled>,
    /// True if the KV cache has been imported.
    pub is_imported: bool,
    /// The index of the first token in `tokens`.
    pub first_index: u32,
    /// The tokens produced so far.
    pub tokens: Vec<Box<str>>,
    /// The reason for the end of the answer, once it has finished.
    pub end: Option<EndReason>,
    /// True if the memory has been freed, so that work on the stream must stop.
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

    /// Changes the inner state and notifies all waiting tasks.
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
