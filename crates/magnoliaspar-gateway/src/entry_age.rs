//! Decides whether an entry of a server is older than what is known of the server.

use std::cmp::Ordering;

use magnoliaspar_core::Position;
use serde::{Deserialize, Serialize};

/// Source of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// A change of the list of servers, which was written after the position that this instance had reached.
    Change,
    /// The whole list, which a restored store may have from its copy.
    List,
}

/// Order of an entry among those of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStamp {
    /// Position of the store at which the entry was written, in the epoch in which it was read.
    pub position: Position,
    /// Start time that the process reports, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the entry among those of its process; `None` if it has none.
    pub sequence: Option<u64>,
}

/// Relation of an entry to what is known last of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryAge {
    /// The entry is newer, or the same.
    Current,
    /// The entry is older.
    Outdated,
    /// The entry is one of the process before, so that the list says nothing of the current one.
    FormerProcess,
    /// The server has departed, and nothing tells whether the entry was written before.
    Unclear,
}

impl EntryStamp {
    /// Compares an entry with what is known `last` of its server, which `has_departed` if its last entry was
    /// removed.
    pub fn age(self, last: Self, has_departed: bool, source: EntrySource) -> EntryAge {
        if self.position < last.position {
            return EntryAge::Outdated;
        }
        if self.position.epoch == last.position.epoch || source == EntrySource::Change {
            return EntryAge::Current;
        }
        // The store was restored in between: versions of entries tell nothing, the process's own counters do.
        match self.started_ms.cmp(&last.started_ms) {
            Ordering::Less => return EntryAge::FormerProcess,
            Ordering::Greater => return EntryAge::Current,
            Ordering::Equal => {}
        }
        match (self.sequence, last.sequence) {
            (Some(sequence), Some(last)) if sequence < last => EntryAge::Outdated,
            (Some(sequence), Some(last)) if sequence == last && has_departed => EntryAge::Outdated,
            // An instance may have seen the removal and not the entries just before it.
            _ if has_departed => EntryAge::Unclear,
            _ => EntryAge::Current,
        }
    }
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::{Epoch, Position};

    use super::{EntryAge, EntrySource, EntryStamp};

    fn stamp(epoch: u64, revision: u64, started_ms: u64, sequence: u64) -> EntryStamp {
        let position = Position { epoch: Epoch(epoch), revision };
        EntryStamp { position, started_ms, sequence: Some(sequence) }
    }

    #[test]
    fn the_version_orders_entries_within_an_epoch() {
        let last = stamp(1, 90, 7, 4);
        for source in [EntrySource::Change, EntrySource::List] {
            for has_departed in [false, true] {
                let age = |entry: EntryStamp| entry.age(last, has_departed, source);
                assert_eq!(age(stamp(1, 89, 8, 9)), EntryAge::Outdated);
                assert_eq!(age(stamp(1, 91, 6, 1)), EntryAge::Current);
                assert_eq!(age(stamp(0, 95, 8, 9)), EntryAge::Outdated);
            }
        }
    }

    #[test]
    fn the_counters_of_the_process_order_entries_of_a_restored_list() {
        let last = stamp(1, 90, 7, 4);
        let age =
            |entry: EntryStamp, has_departed| entry.age(last, has_departed, EntrySource::List);
        for has_departed in [false, true] {
            assert_eq!(age(stamp(2, 40, 7, 3), has_departed), EntryAge::Outdated);
            assert_eq!(age(stamp(2, 40, 8, 1), has_departed), EntryAge::Current);
            assert_eq!(age(stamp(2, 95, 6, 9), has_departed), EntryAge::FormerProcess);
        }
        assert_eq!(age(stamp(2, 40, 7, 5), false), EntryAge::Current);
        assert_eq!(age(stamp(2, 40, 7, 5), true), EntryAge::Unclear);
        assert_eq!(age(stamp(2, 40, 7, 4), false), EntryAge::Current);
        assert_eq!(age(stamp(2, 40, 7, 4), true), EntryAge::Outdated);
    }

    #[test]
    fn without_a_counter_the_entry_of_a_departed_process_is_unclear() {
        let last = EntryStamp { sequence: None, ..stamp(1, 90, 7, 0) };
        let restored = EntryStamp { sequence: None, ..stamp(2, 40, 7, 0) };
        assert_eq!(restored.age(last, true, EntrySource::List), EntryAge::Unclear);
        assert_eq!(restored.age(last, false, EntrySource::List), EntryAge::Current);
        assert_eq!(restored.age(last, true, EntrySource::Change), EntryAge::Current);
    }
}
