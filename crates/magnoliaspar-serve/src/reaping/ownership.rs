//! Ownership of the engine streams that this instance drives, under leases from their reapers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::{Clock, Incarnation, InstanceName, ServerName};
use magnoliaspar_engine::StreamId;
use magnoliaspar_reaper::{
    Acknowledgement, Answer, OpenError, Ownership, Question, ReaperConfig, ReaperId, Renewal,
    StreamKey,
};
use tokio::sync::Notify;

/// The engine streams that this instance drives, with their leases.
pub struct StreamOwnership {
    clock: Rc<dyn Clock>,
    inner: RefCell<Ownership>,
    reapers: RefCell<BTreeSet<ReaperId>>,
    expired: Notify,
}

impl StreamOwnership {
    /// Creates the state of an instance that drives no streams.
    pub fn new(clock: Rc<dyn Clock>, name: InstanceName, incarnation: Incarnation) -> Rc<Self> {
        let now = clock.now();
        let inner = Ownership::new(name, incarnation, ReaperConfig::default(), now);
        Rc::new(Self {
            clock,
            inner: RefCell::new(inner),
            reapers: RefCell::default(),
            expired: Notify::new(),
        })
    }

    /// Returns the owner ID of this instance in the stream lists of engines.
    pub fn owner(&self) -> Box<str> {
        self.inner.borrow().owner()
    }

    /// Registers a stream before it is opened.
    pub fn open(
        self: &Rc<Self>,
        server: &ServerName,
        stream: &StreamId,
    ) -> Result<OwnedStream, OpenError> {
        let key = StreamKey { server: server.clone(), stream: stream.clone() };
        self.inner.borrow_mut().open(self.clock.now(), key.clone())?;
        Ok(OwnedStream { ownership: self.clone(), key })
    }

    /// Registers a stream before it is taken over from another instance; it is at most `age` old.
    pub fn adopt(
        self: &Rc<Self>,
        server: &ServerName,
        stream: &StreamId,
        age: Duration,
    ) -> Result<OwnedStream, OpenError> {
        let key = StreamKey { server: server.clone(), stream: stream.clone() };
        self.inner.borrow_mut().adopt(self.clock.now(), key.clone(), age)?;
        Ok(OwnedStream { ownership: self.clone(), key })
    }

    /// Sets the reaper of a server.
    pub fn set_reaper(&self, server: &ServerName, reaper: ReaperId) {
        self.reapers.borrow_mut().insert(reaper.clone());
        self.inner.borrow_mut().set_reaper(server, reaper);
    }

    /// Removes the reapers whose processes have certainly ended, so that their leases expire
    /// without effect.
    pub fn remove_gone_reapers(&self, is_gone: impl Fn(&ReaperId) -> bool) {
        let mut gone = Vec::new();
        self.reapers.borrow_mut().retain(|reaper| {
            if is_gone(reaper) {
                gone.push(reaper.clone());
                return false;
            }
            true
        });
        for reaper in gone {
            self.inner.borrow_mut().reaper_gone(&reaper);
        }
    }

    /// Returns the lease renewals that are due.
    pub fn renewals(&self) -> Vec<Renewal> {
        self.inner.borrow_mut().renewals(self.clock.now())
    }

    /// Records the acknowledgement of a lease renewal.
    pub fn acknowledged(&self, ack: &Acknowledgement) {
        self.inner.borrow_mut().acknowledged(ack);
    }

    /// Gives up the streams whose leases have expired.
    pub fn release_expired(&self) {
        let expired = self.inner.borrow_mut().take_expired(self.clock.now());
        if !expired.is_empty() {
            self.expired.notify_waiters();
        }
    }

    /// Answers a question of a reaper.
    pub fn answer(&self, question: &Question) -> Answer {
        self.inner.borrow_mut().answer(question)
    }
}

/// Guard of a stream that this instance drives; dropping it ends the ownership.
pub struct OwnedStream {
    ownership: Rc<StreamOwnership>,
    key: StreamKey,
}

impl OwnedStream {
    /// Returns the stream.
    pub fn stream(&self) -> &StreamId {
        &self.key.stream
    }

    /// Returns whether this instance must no longer use the stream.
    pub fn is_lease_lost(&self) -> bool {
        !self.ownership.inner.borrow().owns(&self.key)
    }

    /// Waits until this instance must no longer use the stream, since the lease on it has expired.
    pub async fn lease_lost(&self) {
        loop {
            let expired = self.ownership.expired.notified();
            if self.is_lease_lost() {
                return;
            }
            expired.await;
        }
    }
}

impl Drop for OwnedStream {
    fn drop(&mut self) {
        self.ownership.inner.borrow_mut().close(&self.key);
    }
}
