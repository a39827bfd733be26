//! The time line merged from the events of many instances.

use std::fmt;

use displaydoc::Display;
use magnoliaspar_core::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{Event, EventFilter, EventPart, Stamp};

/// The merged events of many instances, with gaps where events are missing.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Timeline {
    /// The events and gaps, ordered by stamp.
    pub entries: Vec<Entry>,
}

impl Timeline {
    /// Merges the parts of the instances that answered; `silent` are the instances that did not.
    pub fn merge(
        filter: &EventFilter,
        parts: impl IntoIterator<Item = EventPart>,
        silent: impl IntoIterator<Item = InstanceName>,
    ) -> Self {
        let mut entries = Vec::new();
        for instance in silent {
            let gap = Gap { instance, from: None, to: None, cause: GapCause::NoAnswer };
            entries.push(Entry::Gap(gap));
        }
        for part in parts {
            push_gaps(&mut entries, filter, &part);
            for event in part.events {
                if filter.accepts(&event) {
                    entries.push(Entry::Event(event));
                }
            }
        }
        entries.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        entries.dedup();
        Self { entries }
    }

    /// Iterates over the events, ordered by stamp.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Event(event) => Some(event),
            Entry::Gap(_) => None,
        })
    }

    /// Iterates over the gaps, ordered by their first stamp.
    pub fn gaps(&self) -> impl Iterator<Item = &Gap> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Event(_) => None,
            Entry::Gap(gap) => Some(gap),
        })
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            match entry {
                Entry::Event(event) => writeln!(f, "{event}")?,
                Entry::Gap(gap) => writeln!(f, "{gap}")?,
            }
        }
        Ok(())
    }
}

/// An entry of a time line.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// An event.
    Event(Event),
    /// A range in which events may be missing.
    Gap(Gap),
}

impl Entry {
    /// Returns the sort key; a gap precedes the events at its first stamp.
    fn sort_key(&self) -> (Stamp, bool, &InstanceName) {
        match self {
            Self::Event(event) => (event.stamp, true, &event.instance),
            Self::Gap(gap) => (gap.from.unwrap_or_default(), false, &gap.instance),
        }
    }
}

/// A time range in which events of an instance are missing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gap {
    /// The instance.
    pub instance: InstanceName,
    /// The first missing stamp; `None` if all events before `to` are missing.
    pub from: Option<Stamp>,
    /// The last missing stamp; `None` if all events after `from` are missing.
    pub to: Option<Stamp>,
    /// The reason why events are missing.
    #[serde(flatten)]
    pub cause: GapCause,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "-- gap: {}: {}", self.instance, self.cause)?;
        if let Some(from) = self.from {
            write!(f, ", from {from}")?;
        }
        if let Some(to) = self.to {
            write!(f, ", to {to}")?;
        }
        Ok(())
    }
}

/// The reasons why events are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum GapCause {
    /// the instance did not answer
    NoAnswer,
    /// the instance had not started
    NotStarted,
    /// {count} events dropped
    Dropped {
        /// Number of missing events, of any request.
        count: u64,
    },
    /// {count} events beyond the limit
    LeftOut {
        /// Number of missing events that the filter accepts.
        count: u64,
    },
}

/// Adds gaps for the parts of the filter's time range that `part` does not cover.
fn push_gaps(entries: &mut Vec<Entry>, filter: &EventFilter, part: &EventPart) {
    let mut push = |from, to, cause| {
        let instance = part.instance.clone();
        entries.push(Entry::Gap(Gap { instance, from, to, cause }));
    };
    if filter.since.is_none_or(|since| since < part.start) {
        push(None, Some(part.start), GapCause::NotStarted);
    }
    if let Some(dropped) = part.dropped {
        let cause = GapCause::Dropped { count: dropped.count };
        push(Some(dropped.from), Some(dropped.to), cause);
    }
    if let Some(left_out) = part.left_out {
        let cause = GapCause::LeftOut { count: left_out.count };
        push(Some(left_out.from), Some(left_out.to), cause);
    }
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::{AttemptId, Incarnation, InstanceName};

    use super::Timeline;
    use crate::{Event, EventFilter, EventKind, EventRing, Stamp};

    fn instance(name: &str) -> InstanceName {
        name.try_into().unwrap()
    }

    fn event(instance_name: &str, stamp: u64, request: Option<&str>) -> Event {
        Event {
            stamp: Stamp(stamp << 16),
            instance: instance(instance_name),
            request: request.map(|request| request.try_into().unwrap()),
            server: Some("d-1".try_into().unwrap()),
            kind: EventKind::FirstToken { attempt: AttemptId(1) },
        }
    }

    fn ring(name: &str, capacity: usize, stamps: &[(u64, Option<&str>)]) -> EventRing {
        let mut ring = EventRing::new(instance(name), capacity, Stamp(1 << 16));
        for (stamp, request) in stamps {
            ring.push(event(name, *stamp, *request));
        }
        ring
    }

    #[test]
    fn parts_are_merged_by_stamp_and_gaps_are_shown() {
        let a = ring("a", 2, &[(10, None), (20, Some("r")), (30, None), (50, Some("r"))]);
        let b = ring("b", 9, &[(15, Some("r")), (40, Some("r"))]);
        assert_eq!((a.len(), a.dropped()), (2, 2));
        let filter = EventFilter { since: Some(Stamp(16 << 16)), limit: 1, ..Default::default() };
        let parts = [a.part(&filter), b.part(&filter), b.part(&filter)];
        let text = Timeline::merge(&filter, parts, [instance("c")]).to_string();
        let expected = "\
-- gap: c: the instance did not answer
-- gap: a: 2 events dropped, from 1970-01-01T00:00:00.010Z, to 1970-01-01T00:00:00.020Z
-- gap: a: 1 events beyond the limit, from 1970-01-01T00:00:00.030Z, to 1970-01-01T00:00:00.030Z
1970-01-01T00:00:00.040Z b r [d-1] attempt 1: first token
1970-01-01T00:00:00.050Z a r [d-1] attempt 1: first token
";
        assert_eq!(text, expected);
    }

    #[test]
    fn events_are_filtered_by_request_server_and_time() {
        let mut ring = ring("a", 9, &[(10, Some("r")), (20, Some("s")), (30, Some("r"))]);
        let mut other = event("a", 40, Some("r"));
        other.server = None;
        other.kind = EventKind::Started { incarnation: Incarnation(1) };
        ring.push(other);
        let stamps = |query: &str| {
            let filter = EventFilter::try_from(query).unwrap();
            let timeline = Timeline::merge(&filter, [ring.part(&filter)], []);
            timeline.events().map(|event| event.stamp.millis()).collect::<Vec<_>>()
        };
        assert_eq!(stamps("request=r"), [10, 30, 40]);
        assert_eq!(stamps("request=r&server=d-1"), [10, 30]);
        assert_eq!(stamps(&format!("since={}&until={}", 20 << 16, 40 << 16)), [20, 30]);
        assert_eq!(stamps("server=d-2"), [0; 0]);
    }

    #[test]
    fn what_was_before_the_start_is_a_gap() {
        let ring = ring("a", 9, &[(10, None)]);
        let filter = EventFilter::default();
        let timeline = Timeline::merge(&filter, [ring.part(&filter)], []);
        assert_eq!(timeline.gaps().count(), 1);
        let text = serde_json::to_string(&timeline).unwrap();
        assert_eq!(serde_json::from_str::<Timeline>(&text).unwrap(), timeline);
    }
}
