use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

use magnoliaspar_core::BlockHash;
use magnoliaspar_policy::{FailedStage, LoadReport};

/// Something that happens at a moment of virtual time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends a request.
    Arrival(usize),
    /// A caller cancels a request.
    Cancel(usize),
    /// A caller has waited too long.
    DeadlineExpired(usize),
    /// An order to prefill reaches an engine.
    PrefillCommand { server: usize, request: usize, tag: AttemptTag },
    /// An engine ends the prefill it is running.
    PrefillEnd { server: usize, epoch: u32 },
    /// The policy learns that a prefill is done.
    Prefilled { request: usize, tag: AttemptTag, cached_tokens: u32, held_until: Instant },
    /// The hold of a KV cache ends.
    HoldExpired { request: usize, tag: AttemptTag },
    /// An order to import a KV cache reaches a decode engine.
    TransferCommand { request: usize, tag: AttemptTag },
    /// A KV cache has been imported.
    TransferEnd { server: usize, request: usize, tag: AttemptTag },
    /// The policy learns that a KV cache has been imported.
    Transferred { request: usize, tag: AttemptTag },
    /// A decode engine ends a step.
    StepEnd { server: usize, epoch: u32 },
    /// The policy learns that an answer is complete.
    Finished { request: usize, tag: AttemptTag },
    /// The policy learns that a stage failed.
    Failed { request: usize, tag: AttemptTag, stage: FailedStage, held_until: Option<Instant> },
    /// A server makes a load report.
    MakeReport { server: usize },
    /// A load report arrives.
    Report { server: usize, report: LoadReport },
    /// Cache events arrive.
    Cache { server: usize, stored: Box<[BlockHash]>, evicted: Box<[BlockHash]>, gap: bool },
    /// A fault begins.
    FaultBegin,
    /// A fault is noticed.
    FaultDetected,
    /// A fault ends.
    FaultEnd,
    /// The policy asked to be polled.
    Poll,
}

/// Tells the attempts of one request apart, so that late messages can be dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct AttemptTag {
    /// The sequence of the prefill.
    pub(crate) prefill: u32,
    /// The sequence of the transfer of this prefill's KV cache.
    pub(crate) transfer: u32,
}

/// The events to come, in order of time and then of insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Entry>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Entry { at, sequence: self.last_sequence, event });
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, Event)> {
        let entry = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Entry {}
