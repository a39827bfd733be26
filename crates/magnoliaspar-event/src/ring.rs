//! The bounded ring buffer that keeps the latest events of an instance.

use std::collections::VecDeque;

use magnoliaspar_core::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{Event, EventFilter, Stamp};

/// A bounded buffer of the latest events of an instance; the oldest are dropped and counted.
#[derive(Debug)]
pub struct EventRing {
    instance: InstanceName,
    start: Stamp,
    capacity: usize,
    events: VecDeque<Event>,
    dropped: Option<MissingEvents>,
}

impl EventRing {
    /// Creates a ring of `capacity` events that starts recording at `start`.
    pub fn new(instance: InstanceName, capacity: usize, start: Stamp) -> Self {
        let events = VecDeque::with_capacity(capacity);
        Self { instance, start, capacity, events, dropped: None }
    }

    /// Adds an event and drops the oldest one if the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity
            && let Some(oldest) = self.events.pop_front()
        {
            self.record_dropped(oldest.stamp);
        }
        if self.capacity == 0 {
            return self.record_dropped(event.stamp);
        }
        self.events.push_back(event);
    }

    /// Returns the number of events in the ring.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns true if the ring holds no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.map_or(0, |dropped| dropped.count)
    }

    /// Returns the latest `filter.limit` events that the filter accepts, and describes the missing
    /// ones.
    pub fn part(&self, filter: &EventFilter) -> EventPart {
        let mut events: VecDeque<Event> = VecDeque::new();
        let mut left_out: Option<MissingEvents> = None;
        for event in self.events.iter().rev() {
            if !filter.accepts(event) {
                continue;
            }
            if events.len() < filter.limit {
                events.push_front(event.clone());
                continue;
            }
            left_out = Some(MissingEvents::including(left_out, event.stamp));
        }
        EventPart {
            instance: self.instance.clone(),
            start: self.start,
            events: events.into_iter().collect(),
            dropped: self.dropped.filter(|dropped| filter.overlaps(dropped.from, dropped.to)),
            left_out,
        }
    }

    fn record_dropped(&mut self, stamp: Stamp) {
        self.dropped = Some(MissingEvents::including(self.dropped, stamp));
    }
}

/// The part of a time line that one instance contributes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EventPart {
    /// The instance.
    pub instance: InstanceName,
    /// The time at which the instance started recording.
    pub start: Stamp,
    /// The events that the filter accepts, in order.
    pub events: Box<[Event]>,
    /// Events of any request that the ring dropped, if they overlap the filter's time range.
    pub dropped: Option<MissingEvents>,
    /// Events that the filter accepts but that exceed its limit.
    pub left_out: Option<MissingEvents>,
}

/// A range of missing events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MissingEvents {
    /// The stamp of the first missing event.
    pub from: Stamp,
    /// The stamp of the last missing event.
    pub to: Stamp,
    /// Number of missing events.
    pub count: u64,
}

impl MissingEvents {
    /// Returns `missing` extended by the event at `stamp`.
    fn including(missing: Option<Self>, stamp: Stamp) -> Self {
        let Some(missing) = missing else { return Self { from: stamp, to: stamp, count: 1 } };
        Self { from: missing.from.min(stamp), to: missing.to.max(stamp), count: missing.count + 1 }
    }
}
