//! The events of the simulation and their queue.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

use magnoliaspar_core::BlockHash;
use magnoliaspar_policy::{FailedStage, LoadReport};

/// An event of the simulation, which happens at an instant of virtual time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A request of a caller is accepted.
    Arrival(usize),
    /// A caller cancels a request.
    Cancel(usize),
    /// The deadline of a request passes and its caller gives up.
    DeadlineExpired(usize),
    /// A command to prefill reaches a prefill engine.
    PrefillCommand { server: usize, request: usize, tag: AttemptTag },
    /// A prefill engine completes the running prefill.
    PrefillEnd { server: usize, epoch: u32 },
    /// The notice that a prefill is done reaches the policy.
    Prefilled { request: usize, tag: AttemptTag, cached_tokens: u32, held_until: Instant },
    /// The hold of a KV cache on a prefill engine expires.
    HoldExpired { request: usize, tag: AttemptTag },
    /// A command to import a KV cache reaches a decode engine.
    TransferCommand { request: usize, tag: AttemptTag },
    /// A decode engine has imported a KV cache.
    TransferEnd { server: usize, request: usize, tag: AttemptTag },
    /// The notice that a KV cache has been imported reaches the policy.
    Transferred { request: usize, tag: AttemptTag },
    /// A decode engine completes a step.
    StepEnd { server: usize, epoch: u32 },
    /// The notice that an answer is complete reaches the policy.
    Finished { request: usize, tag: AttemptTag },
    /// The notice that a stage failed reaches the policy.
    Failed { request: usize, tag: AttemptTag, stage: FailedStage, held_until: Option<Instant> },
    /// A server creates a load report.
    MakeReport { server: usize },
    /// A load report reaches the policy.
    Report { server: usize, report: LoadReport },
    /// Events of a prefix cache reach the policy. `gap` is set if earlier events were lost.
    Cache { server: usize, stored: Box<[BlockHash]>, evicted: Box<[BlockHash]>, gap: bool },
    /// A fault begins.
    FaultBegin,
    /// A fault is detected and reported to the policy.
    FaultDetected,
    /// A fault ends.
    FaultEnd,
    /// The time at which the policy asked to be polled.
    Poll,
}

/// Identifies an attempt of a request, so that late messages of earlier attempts are dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct AttemptTag {
    /// The number of the prefill attempt.
    pub(crate) prefill: u32,
    /// The number of the transfer attempt since this prefill was ordered.
    pub(crate) transfer: u32,
}

/// The queue of future events, ordered by time and then by insertion.
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

/// Reverses the order, because [`BinaryHeap`] returns the greatest entry first.
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
