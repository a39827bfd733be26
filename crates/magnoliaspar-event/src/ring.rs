use std::collections::VecDeque;

use magnoliaspar_core::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{Event, EventFilter, Stamp};

/// The latest events of an instance; the oldest are dropped and counted.
#[derive(Debug)]
pub struct EventRing {
    instance: InstanceName,
    start: Stamp,
    capacity: usize,
    events: VecDeque<Event>,
    dropped: Option<Dropped>,
}

impl EventRing {
    /// Creates a ring of `capacity` events that starts to record at `start`.
    pub fn new(instance: InstanceName, capacity: usize, start: Stamp) -> Self {
        let events = VecDeque::with_capacity(capacity);
        Self { instance, start, capacity, events, dropped: None }
    }

    /// Adds an event, and drops the oldest if the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity
            && let Some(oldest) = self.events.pop_front()
        {
            self.count_dropped(oldest.stamp);
        }
        if self.capacity == 0 {
            return self.count_dropped(event.stamp);
        }
        self.events.push_back(event);
    }

    /// Returns the number of events in the ring.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether the ring has no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.map_or(0, |dropped| dropped.count)
    }

    /// Returns the events that a filter accepts, the latest `filter.limit` of them, together with
    /// what is missing.
    pub fn part(&self, filter: &EventFilter) -> EventPart {
        let mut events: VecDeque<Event> = VecDeque::new();
        let mut left_out: Option<Dropped> = None;
        for event in self.events.iter().rev() {
            if !filter.accepts(event) {
                continue;
            }
            if events.len() < filter.limit {
                events.push_front(event.clone());
                continue;
            }
            left_out = Some(Dropped::extended(left_out, event.stamp));
        }
        EventPart {
            instance: self.instance.clone(),
            start: self.start,
            events: events.into_iter().collect(),
            dropped: self.dropped.filter(|dropped| filter.overlaps(dropped.from, dropped.to)),
            left_out,
        }
    }

    fn count_dropped(&mut self, stamp: Stamp) {
        self.dropped = Some(Dropped::extended(self.dropped, stamp));
    }
}

/// The events that one instance gives to a time line.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EventPart {
    /// The instance.
    pub instance: InstanceName,
    /// When the instance began to record.
    pub start: Stamp,
    /// The events that were asked for, in order.
    pub events: Box<[Event]>,
    /// The events that the ring has dropped within the time that was asked for, of any request.
    pub dropped: Option<Dropped>,
    /// The events that would have been given but for the limit.
    pub left_out: Option<Dropped>,
}

/// Events that are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Dropped {
    /// The stamp of the first.
    pub from: Stamp,
    /// The stamp of the last.
    pub to: Stamp,
    /// How many there are.
    pub count: u64,
}

impl Dropped {
    fn extended(dropped: Option<Self>, stamp: Stamp) -> Self {
        let Some(dropped) = dropped else { return Self { from: stamp, to: stamp, count: 1 } };
        Self { from: dropped.from.min(stamp), to: dropped.to.max(stamp), count: dropped.count + 1 }
    }
}
