//! Requests that crash engines: suspects run apart, and are cleared or refused.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

use log::warn;
use magnoliaspar_core::{Clock, Incarnation, ServerName};
use magnoliaspar_engine::{EngineConnector, EngineError};
use magnoliaspar_event::EventKind;
use magnoliaspar_retry::{Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta};
use tokio::sync::Notify;

use crate::journal::Journal;
use crate::run::EngineHandle;

/// How many changes one frame of gossip carries.
const MAX_DELTAS: usize = 16;

/// What this instance knows of requests that crash engines.
pub struct QuarantineState {
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    connector: Rc<dyn EngineConnector>,
    inner: RefCell<Quarantine>,
    crashed: RefCell<BTreeMap<ServerName, Incarnation>>,
    notes: RefCell<BTreeMap<Fingerprint, Note>>,
    changed: Notify,
}

impl QuarantineState {
    /// Creates a quarantine that knows no fingerprint.
    pub fn new(
        clock: Rc<dyn Clock>,
        journal: Rc<Journal>,
        connector: Rc<dyn EngineConnector>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            journal,
            connector,
            inner: RefCell::new(Quarantine::new(QuarantineConfig::default())),
            crashed: RefCell::default(),
            notes: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Decides how a request may run.
    pub fn admit(&self, fingerprint: Fingerprint) -> Admission {
        self.inner.borrow_mut().admit(self.clock.now(), fingerprint)
    }

    /// Notes that a request runs on an engine until the result is dropped.
    pub fn start(
        self: &Rc<Self>,
        server: &ServerName,
        fingerprint: Fingerprint,
        is_apart: bool,
    ) -> InFlight {
        self.inner.borrow_mut().started(server, fingerprint, is_apart);
        InFlight { quarantine: self.clone(), server: server.clone(), fingerprint, is_ended: false }
    }

    /// Finds out whether an engine still runs the same life, and if not, takes in its crash.
    ///
    /// An engine has crashed if it refuses connections or runs another life than before.
    pub async fn check(&self, engine: &EngineHandle) -> EngineHealth {
        match self.connector.reconnect(engine.address).status().await {
            Ok(status) => {
                let is_same = status.incarnation == engine.incarnation.get();
                self.observe(engine, status.incarnation);
                if is_same { EngineHealth::Same } else { EngineHealth::Restarted }
            }
            Err(EngineError::Unreachable(_)) => {
                self.count_crash(&engine.name, engine.incarnation.get());
                EngineHealth::Gone
            }
            Err(_) => EngineHealth::Unknown,
        }
    }

    /// Takes in the life that an engine runs.
    pub fn observe(&self, engine: &EngineHandle, life: Incarnation) {
        let before = engine.incarnation.replace(life);
        if before != life {
            self.count_crash(&engine.name, before);
        }
    }

    /// Refuses a fingerprint on an operator's command.
    pub fn refuse(&self, fingerprint: Fingerprint) {
        let hlc = self.journal.stamp().0;
        self.inner.borrow_mut().refuse(self.clock.now(), hlc, fingerprint);
        self.note(fingerprint, None);
        self.changed.notify_one();
    }

    /// Clears a fingerprint on an operator's command.
    pub fn release(&self, fingerprint: Fingerprint) {
        let hlc = self.journal.stamp().0;
        self.inner.borrow_mut().release(self.clock.now(), hlc, fingerprint);
        self.note(fingerprint, None);
        self.changed.notify_one();
    }

    /// Lists the suspects and the refused.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        let entries = self.inner.borrow().entries();
        let mut notes = self.notes.borrow_mut();
        notes
            .retain(|fingerprint, _| entries.iter().any(|entry| entry.fingerprint == *fingerprint));
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            let now = self.clock.now();
            let note = notes.entry(entry.fingerprint).or_insert_with(|| Note::new(now));
            records.push(QuarantineRecord {
                fingerprint: entry.fingerprint,
                admission: entry.admission,
                servers: note.servers.iter().cloned().collect(),
                version: note.version,
                changed_at: note.changed_at,
            });
        }
        records
    }

    /// Returns what is known of a fingerprint, if it is suspected or refused.
    pub fn record_of(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        self.records().into_iter().find(|record| record.fingerprint == fingerprint)
    }

    /// Returns the version of what is known of a fingerprint.
    pub fn version_of(&self, fingerprint: Fingerprint) -> u64 {
        self.notes.borrow().get(&fingerprint).map_or(0, |note| note.version)
    }

    /// Takes in what another instance knows.
    pub fn merge(&self, delta: &QuarantineDelta) {
        self.inner.borrow_mut().merge(self.clock.now(), delta);
        self.changed.notify_one();
    }

    /// Returns what is new for other instances.
    pub fn take_deltas(&self) -> Vec<QuarantineDelta> {
        self.inner.borrow_mut().take_deltas(MAX_DELTAS)
    }

    /// Waits until there is something new for other instances.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a crash once for each life of an engine.
    fn count_crash(&self, server: &ServerName, life: Incarnation) {
        let counted = self.crashed.borrow_mut().insert(server.clone(), life);
        if counted == Some(life) {
            return;
        }
        let hlc = self.journal.stamp().0;
        let suspects = self.inner.borrow_mut().crashed(self.clock.now(), hlc, server);
        warn!(server = server.as_str(); "an engine crashed with {} requests", suspects.len());
        for suspect in suspects {
            self.note(suspect, Some(server));
            let fingerprint = suspect.to_string().into();
            self.journal.record_server(server, EventKind::Quarantined { fingerprint });
        }
        self.changed.notify_one();
    }

    fn note(&self, fingerprint: Fingerprint, server: Option<&ServerName>) {
        let now = self.clock.now();
        let mut notes = self.notes.borrow_mut();
        let note = notes.entry(fingerprint).or_insert_with(|| Note::new(now));
        note.version += 1;
        note.changed_at = now;
        note.servers.extend(server.cloned());
    }
}

/// What an operator learns of a fingerprint.
#[derive(Debug, Clone)]
pub struct QuarantineRecord {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// How its requests may run.
    pub admission: Admission,
    /// The engines that crashed with it, as far as this instance saw it.
    pub servers: Vec<ServerName>,
    /// How often it changed on this instance.
    pub version: u64,
    /// When it last changed on this instance.
    pub changed_at: Instant,
}

/// What is noted beside a fingerprint for operators.
struct Note {
    servers: BTreeSet<ServerName>,
    version: u64,
    changed_at: Instant,
}

impl Note {
    fn new(changed_at: Instant) -> Self {
        Self { servers: BTreeSet::new(), version: 0, changed_at }
    }
}

/// Whether an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    /// The engine runs the same life as before.
    Same,
    /// The engine has crashed and runs again.
    Restarted,
    /// The engine has crashed.
    Gone,
    /// The engine does not answer.
    Unknown,
}

impl EngineHealth {
    /// Whether the engine answers.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Same | Self::Restarted)
    }
}

/// A request that runs on an engine.
pub struct InFlight {
    quarantine: Rc<QuarantineState>,
    server: ServerName,
    fingerprint: Fingerprint,
    is_ended: bool,
}

impl InFlight {
    /// Notes that the request has its whole answer, which clears it.
    pub fn finish(mut self) {
        self.is_ended = true;
        let hlc = self.quarantine.journal.stamp().0;
        let now = self.quarantine.clock.now();
        let mut quarantine = self.quarantine.inner.borrow_mut();
        quarantine.finished(now, hlc, &self.server, self.fingerprint);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.is_ended {
            self.quarantine.inner.borrow_mut().stopped(&self.server, self.fingerprint);
        }
    }
}
