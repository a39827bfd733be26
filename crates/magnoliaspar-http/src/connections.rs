//! The open connections of callers, and which of them give way at their maximum.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::connection::CallerEnd;
use crate::memory::{MIN_SILENCE, Memory, MemoryKind};

/// Memory of a connection that is idle: the buffers of the library and the state of its task. 3,800 idle
/// connections take 12 KiB each.
const IDLE_BYTES: usize = 12 << 10;

/// Memory of a connection with a request in hand, beside bodies: 1,500 of them take up to 55 KiB each.
const BUSY_BYTES: usize = 56 << 10;

/// Descriptors of a connection with a request in hand: its own, and one to a server.
const BUSY_DESCRIPTORS: usize = 2;

new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// The open connections of callers, which take descriptors and memory.
#[derive(Debug)]
pub struct Connections {
    memory: Rc<Memory>,
    max_descriptors: Cell<usize>,
    descriptors: Cell<usize>,
    open: RefCell<SlotMap<ConnectionKey, Entry>>,
}

#[derive(Debug)]
struct Entry {
    end: CallerEnd,
    is_busy: bool,
}

impl Connections {
    /// Creates the connections of a listener, which may use a number of descriptors, with those to servers.
    pub fn new(memory: Rc<Memory>, max_descriptors: usize) -> Rc<Self> {
        let max_descriptors = Cell::new(max_descriptors);
        Rc::new(Self {
            memory,
            max_descriptors,
            descriptors: Cell::new(0),
            open: RefCell::default(),
        })
    }

    /// Sets the number of descriptors, which applies from the next connection on.
    pub fn set_max_descriptors(&self, max_descriptors: usize) {
        self.max_descriptors.set(max_descriptors);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection, for which silent ones are closed; `None` if there is no room for it.
    pub(crate) fn admit(self: &Rc<Self>, end: &CallerEnd) -> Option<OpenConnection> {
        // A new connection is about to send a request.
        while !self.has_room() {
            if !self.evict() {
                self.memory.count_refused(MemoryKind::Connections);
                return None;
            }
        }
        self.take(BUSY_DESCRIPTORS, BUSY_BYTES);
        let entry = Entry { end: end.clone(), is_busy: true };
        let key = self.open.borrow_mut().insert(entry);
        Some(OpenConnection { connections: self.clone(), key })
    }

    fn has_room(&self) -> bool {
        let held = self.memory.usage(MemoryKind::Connections).held;
        self.descriptors.get() + BUSY_DESCRIPTORS <= self.max_descriptors.get()
            && held + BUSY_BYTES <= self.memory.room(MemoryKind::Connections)
    }

    fn take(&self, descriptors: usize, bytes: usize) {
        self.descriptors.set(self.descriptors.get() + descriptors);
        self.memory.add(MemoryKind::Connections, bytes);
    }

    fn give_back(&self, descriptors: usize, bytes: usize) {
        self.descriptors.set(self.descriptors.get() - descriptors);
        self.memory.remove(MemoryKind::Connections, bytes);
    }

    /// Closes the connection that has been silent for longest without a request in hand; returns whether there is one.
    fn evict(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let mut longest = None;
        for (key, entry) in &*open {
            let Some(since) = entry.end.silent_since() else { continue };
            if longest.is_none_or(|(_, earliest)| since < earliest) {
                longest = Some((key, since));
            }
        }
        let Some((key, since)) = longest else { return false };
        if Instant::now().saturating_duration_since(since) < MIN_SILENCE {
            return false;
        }
        let Some(entry) = open.remove(key) else { return false };
        drop(open);
        self.release(&entry);
        self.memory.count_evicted(MemoryKind::Connections);
        log::info!("connection_evicted");
        entry.end.evict();
        true
    }

    fn release(&self, entry: &Entry) {
        match entry.is_busy {
            true => self.give_back(BUSY_DESCRIPTORS, BUSY_BYTES),
            false => self.give_back(1, IDLE_BYTES),
        }
    }
}

/// A connection that is open until it is dropped or evicted.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    key: ConnectionKey,
}

impl OpenConnection {
    /// Records whether a request is in hand. Others give way to it, but it is not refused.
    pub(crate) fn set_busy(&self, is_busy: bool) {
        let connections = &*self.connections;
        {
            let mut open = connections.open.borrow_mut();
            let Some(entry) = open.get_mut(self.key) else { return };
            if entry.is_busy == is_busy {
                return;
            }
            entry.is_busy = is_busy;
        }
        if !is_busy {
            return connections.give_back(BUSY_DESCRIPTORS - 1, BUSY_BYTES - IDLE_BYTES);
        }
        connections.take(BUSY_DESCRIPTORS - 1, BUSY_BYTES - IDLE_BYTES);
        while connections.descriptors.get() > connections.max_descriptors.get() {
            if !connections.evict() {
                return;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let entry = self.connections.open.borrow_mut().remove(self.key);
        if let Some(entry) = entry {
            self.connections.release(&entry);
        }
    }
}
