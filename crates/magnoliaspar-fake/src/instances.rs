//! An in-memory instance list with an adjustable lag and fault injection.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use magnoliaspar_core::{Clock, ZoneName};
use magnoliaspar_store::{InstanceList, ListEntry, ListState, PlatformError};

use crate::fault::Faults;

/// The platform's instance list in memory, with an adjustable lag; clones share their state.
#[derive(Clone)]
pub struct MemoryInstances {
    state: Rc<RefCell<State>>,
    faults: Faults,
    clock: Rc<dyn Clock>,
}

struct State {
    lag: Duration,
    /// The versions of the list with the time of each change, oldest first; never empty.
    history: Vec<(Instant, Vec<ListEntry>)>,
}

impl MemoryInstances {
    /// Creates an empty list without lag.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let history = vec![(clock.now(), Vec::new())];
        let state = State { lag: Duration::ZERO, history };
        let faults = Faults::new(clock.clone());
        Self { state: Rc::new(RefCell::new(state)), faults, clock }
    }

    /// Returns the fault injector of the list.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Makes reads return the list as it was `lag` ago.
    pub fn set_lag(&self, lag: Duration) {
        self.state.borrow_mut().lag = lag;
    }

    /// Adds an entry, or replaces the one with the same name.
    pub fn put(&self, entry: ListEntry) {
        self.change(|entries| {
            entries.retain(|known| known.name != entry.name);
            entries.push(entry);
        });
    }

    /// Marks an entry as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|entries| {
            for entry in entries {
                if &*entry.name == name {
                    entry.state = ListState::Leaving;
                }
            }
        });
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        self.change(|entries| entries.retain(|known| &*known.name != name));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListEntry>)) {
        let mut state = self.state.borrow_mut();
        let mut entries = match state.history.last() {
            Some((_, entries)) => entries.clone(),
            None => Vec::new(),
        };
        change(&mut entries);
        state.history.push((self.clock.now(), entries));
    }

    /// Returns the list as it was `lag` ago, and drops the versions before it.
    fn delayed_entries(&self) -> Vec<ListEntry> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let lag = state.lag;
        let mut visible = 0;
        for (index, (since, _)) in state.history.iter().enumerate() {
            if now.saturating_duration_since(*since) >= lag {
                visible = index;
            }
        }
        state.history.drain(..visible);
        state.history[0].1.clone()
    }
}

#[async_trait(?Send)]
impl InstanceList for MemoryInstances {
    async fn list(&self, zone: Option<&ZoneName>) -> Result<Vec<ListEntry>, PlatformError> {
        self.faults.before_read().await?;
        let mut entries = self.delayed_entries();
        if let Some(zone) = zone {
            entries.retain(|entry| entry.zone == *zone);
        }
        Ok(entries)
    }
}
