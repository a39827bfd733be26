//! Records the events of this instance.

use std::cell::RefCell;
use std::rc::Rc;

use magnoliaspar_core::{Clock, InstanceName, RequestId, ServerName};
use magnoliaspar_event::{Event, EventFilter, EventKind, EventPart, EventRing, Hlc, Stamp};

/// Maximum number of retained events.
const MAX_EVENTS: usize = 20_000;

/// Records events with timestamps of a hybrid logical clock, and retains the latest ones.
pub struct Journal {
    clock: Rc<dyn Clock>,
    instance: InstanceName,
    inner: RefCell<Inner>,
}

struct Inner {
    hlc: Hlc,
    ring: EventRing,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(clock: Rc<dyn Clock>, instance: InstanceName) -> Rc<Self> {
        let mut hlc = Hlc::new();
        let start = hlc.tick(clock.wall());
        let ring = EventRing::new(instance.clone(), MAX_EVENTS, start);
        Rc::new(Self { clock, instance, inner: RefCell::new(Inner { hlc, ring }) })
    }

    /// Records an event of a request.
    pub fn record(&self, request: &RequestId, kind: EventKind) {
        self.push(Some(request), None, kind);
    }

    /// Records an event of a request on a backend server.
    pub fn record_on(&self, request: &RequestId, server: &ServerName, kind: EventKind) {
        self.push(Some(request), Some(server), kind);
    }

    /// Records an event of a backend server.
    pub fn record_server(&self, server: &ServerName, kind: EventKind) {
        self.push(None, Some(server), kind);
    }

    /// Records an event of the instance itself.
    pub fn record_own(&self, kind: EventKind) {
        self.push(None, None, kind);
    }

    /// Returns a timestamp for a message to another instance.
    pub fn stamp(&self) -> Stamp {
        self.inner.borrow_mut().hlc.tick(self.clock.wall())
    }

    /// Advances the clock to the timestamp of a received message, so that later events get later
    /// timestamps.
    ///
    /// A timestamp that is too far ahead of this instance's wall clock is ignored.
    pub fn observe(&self, stamp: Stamp) {
        let _ = self.inner.borrow_mut().hlc.observe(stamp, self.clock.wall());
    }

    /// Returns the events that match a filter.
    pub fn part(&self, filter: &EventFilter) -> EventPart {
        self.inner.borrow().ring.part(filter)
    }

    /// Returns the number of events that were dropped from the journal.
    pub fn dropped(&self) -> u64 {
        self.inner.borrow().ring.dropped()
    }

    fn push(&self, request: Option<&RequestId>, server: Option<&ServerName>, kind: EventKind) {
        let mut inner = self.inner.borrow_mut();
        let stamp = inner.hlc.tick(self.clock.wall());
        inner.ring.push(Event {
            stamp,
            instance: self.instance.clone(),
            request: request.cloned(),
            server: server.cloned(),
            kind,
        });
    }
}
