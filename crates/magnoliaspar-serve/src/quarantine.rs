//! Quarantine of requests that crash engines: suspected requests run in isolation until they are
//! cleared or refused.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::warn;
use magnoliaspar_core::{Clock, Incarnation, ServerName};
use magnoliaspar_engine::{EngineConnector, EngineError, EngineStatus};
use magnoliaspar_event::EventKind;
use magnoliaspar_retry::{Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta};
use tokio::sync::Notify;

use crate::journal::Journal;
use crate::run::EngineHandle;

/// Maximum number of quarantine changes in one gossip frame.
const MAX_DELTAS_PER_FRAME: usize = 16;

/// Maximum number of status calls of one health check.
const MAX_STATUS_CALLS: u32 = 20;

/// Delay before a status call is repeated.
const STATUS_CALL_DELAY: Duration = Duration::from_millis(50);

/// The quarantine state of this instance.
pub struct QuarantineState {
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    connector: Rc<dyn EngineConnector>,
    inner: RefCell<Quarantine>,
    /// The incarnation of the last counted crash of each engine.
    last_counted_crash: RefCell<BTreeMap<ServerName, Incarnation>>,
    histories: RefCell<BTreeMap<Fingerprint, History>>,
    changed: Notify,
}

impl QuarantineState {
    /// Creates an empty quarantine.
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
            last_counted_crash: RefCell::default(),
            histories: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the admission of a request: unrestricted, isolated or refused.
    pub fn admit(&self, fingerprint: Fingerprint) -> Admission {
        self.inner.borrow_mut().admit(self.clock.now(), fingerprint)
    }

    /// Registers a request as running on an engine until the returned guard is dropped.
    pub fn start(
        self: &Rc<Self>,
        server: &ServerName,
        fingerprint: Fingerprint,
        is_isolated: bool,
    ) -> InFlight {
        self.inner.borrow_mut().started(server, fingerprint, is_isolated);
        InFlight { quarantine: self.clone(), server: server.clone(), fingerprint, is_ended: false }
    }

    /// Checks the health of an engine, and counts a crash if it has crashed.
    ///
    /// An engine counts as crashed if no connection to it can be opened, or if it runs with another
    /// incarnation than the latest observed one. The result compares the engine with `before`, the
    /// incarnation on which the request started; other requests may have observed a later one.
    pub async fn check_health(&self, engine: &EngineHandle, before: Incarnation) -> EngineHealth {
        match self.read_status(engine).await {
            Ok(status) => {
                let is_same = status.incarnation == before;
                self.observe(engine, status.incarnation);
                if is_same { EngineHealth::Unchanged } else { EngineHealth::Restarted }
            }
            Err(EngineError::Unreachable(_)) => {
                self.count_crash(&engine.name, engine.incarnation.get());
                EngineHealth::Crashed
            }
            Err(_) => EngineHealth::Unknown,
        }
    }

    /// Reads the status of an engine on a new connection. Repeats the call while connections break,
    /// as they do while an engine crashes, so that the crash is counted before a request is retried.
    async fn read_status(&self, engine: &EngineHandle) -> Result<EngineStatus, EngineError> {
        let mut calls = 1;
        loop {
            let result = self.connector.reconnect(engine.address).status().await;
            if calls == MAX_STATUS_CALLS || !matches!(result, Err(EngineError::Lost(_))) {
                return result;
            }
            calls += 1;
            tokio::time::sleep(STATUS_CALL_DELAY).await;
        }
    }

    /// Records the incarnation of an engine, and counts a crash if it has changed.
    pub fn observe(&self, engine: &EngineHandle, incarnation: Incarnation) {
        let before = engine.incarnation.replace(incarnation);
        if before != incarnation {
            self.count_crash(&engine.name, before);
        }
    }

    /// Refuses a fingerprint at an operator's command.
    pub fn refuse(&self, fingerprint: Fingerprint) {
        let hlc = self.journal.stamp().0;
        self.inner.borrow_mut().refuse(self.clock.now(), hlc, fingerprint);
        self.update_history(fingerprint, None);
        self.changed.notify_one();
    }

    /// Clears a fingerprint at an operator's command.
    pub fn release(&self, fingerprint: Fingerprint) {
        let hlc = self.journal.stamp().0;
        self.inner.borrow_mut().release(self.clock.now(), hlc, fingerprint);
        self.update_history(fingerprint, None);
        self.changed.notify_one();
    }

    /// Returns the records of all suspected and refused fingerprints.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        let entries = self.inner.borrow().entries();
        let mut histories = self.histories.borrow_mut();
        histories
            .retain(|fingerprint, _| entries.iter().any(|entry| entry.fingerprint == *fingerprint));
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            let now = self.clock.now();
            let history = histories.entry(entry.fingerprint).or_insert_with(|| History::new(now));
            records.push(QuarantineRecord {
                fingerprint: entry.fingerprint,
                admission: entry.admission,
                servers: history.servers.iter().cloned().collect(),
                version: history.version,
                changed_at: history.changed_at,
            });
        }
        records
    }

    /// Returns the record of a fingerprint, if it is suspected or refused.
    pub fn record_of(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        self.records().into_iter().find(|record| record.fingerprint == fingerprint)
    }

    /// Returns the version of a fingerprint's record, or 0 if there is none.
    pub fn version_of(&self, fingerprint: Fingerprint) -> u64 {
        self.histories.borrow().get(&fingerprint).map_or(0, |history| history.version)
    }

    /// Merges a change from another instance.
    pub fn merge(&self, delta: &QuarantineDelta) {
        self.inner.borrow_mut().merge(self.clock.now(), delta);
        self.changed.notify_one();
    }

    /// Takes the next changes to send to other instances.
    pub fn take_deltas(&self) -> Vec<QuarantineDelta> {
        self.inner.borrow_mut().take_deltas(MAX_DELTAS_PER_FRAME)
    }

    /// Waits until there are changes to send to other instances.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a crash, once per incarnation of an engine.
    fn count_crash(&self, server: &ServerName, incarnation: Incarnation) {
        let counted = self.last_counted_crash.borrow_mut().insert(server.clone(), incarnation);
        if counted == Some(incarnation) {
            return;
        }
        let hlc = self.journal.stamp().0;
        let suspects = self.inner.borrow_mut().crashed(self.clock.now(), hlc, server);
        warn!(server = server.as_str(); "an engine crashed during {} requests", suspects.len());
        for suspect in suspects {
            self.update_history(suspect, Some(server));
            let fingerprint = suspect.to_string().into();
            self.journal.record_server(server, EventKind::Quarantined { fingerprint });
        }
        self.changed.notify_one();
    }

    fn update_history(&self, fingerprint: Fingerprint, server: Option<&ServerName>) {
        let now = self.clock.now();
        let mut histories = self.histories.borrow_mut();
        let history = histories.entry(fingerprint).or_insert_with(|| History::new(now));
        history.version += 1;
        history.changed_at = now;
        history.servers.extend(server.cloned());
    }
}

/// The state of a fingerprint as shown to operators.
#[derive(Debug, Clone)]
pub struct QuarantineRecord {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The admission of its requests.
    pub admission: Admission,
    /// The engines that crashed while running it, as observed by this instance.
    pub servers: Vec<ServerName>,
    /// The number of changes on this instance.
    pub version: u64,
    /// The time of the last change on this instance.
    pub changed_at: Instant,
}

/// Local history of a fingerprint for operators.
struct History {
    servers: BTreeSet<ServerName>,
    version: u64,
    changed_at: Instant,
}

impl History {
    fn new(changed_at: Instant) -> Self {
        Self { servers: BTreeSet::new(), version: 0, changed_at }
    }
}

/// The result of a health check of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    /// The engine runs with the same incarnation as before.
    Unchanged,
    /// The engine has crashed and was restarted.
    Restarted,
    /// The engine counts as crashed, since no connection to it can be opened.
    Crashed,
    /// The engine did not answer the check.
    Unknown,
}

impl EngineHealth {
    /// Returns whether the engine answered the check.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Unchanged | Self::Restarted)
    }
}

/// Guard of a request that runs on an engine.
pub struct InFlight {
    quarantine: Rc<QuarantineState>,
    server: ServerName,
    fingerprint: Fingerprint,
    is_ended: bool,
}

impl InFlight {
    /// Reports that the request was answered completely, which clears its fingerprint.
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

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::collections::VecDeque;
    use std::net::SocketAddr;
    use std::rc::Rc;
    use std::time::Duration;

    use async_trait::async_trait;
    use magnoliaspar_core::{Incarnation, InstanceName, ManualClock, ServerName};
    use magnoliaspar_engine::{
        CacheEvents, DecodeCall, Engine, EngineConnector, EngineError, EngineStatus, HeldStream,
        LoadSnapshot, Order, PrefillCall, Prefilled, StreamId, TokenStream,
    };
    use magnoliaspar_retry::{Admission, Fingerprint};

    use super::{EngineHealth, QuarantineState};
    use crate::journal::Journal;
    use crate::run::EngineHandle;

    const REQUEST: Fingerprint = Fingerprint(1);

    /// Upper bound of the time of a health check of an engine that answers no call.
    const MAX_CHECK_TIME: Duration = Duration::from_secs(5);

    /// An engine that answers its status calls with these results, one after the other.
    #[derive(Clone)]
    struct ScriptedEngine(Rc<RefCell<VecDeque<Result<EngineStatus, EngineError>>>>);

    #[async_trait(?Send)]
    impl Engine for ScriptedEngine {
        async fn status(&self) -> Result<EngineStatus, EngineError> {
            self.0.borrow_mut().pop_front().expect("no more than these calls are made")
        }

        async fn prefill(&self, _: &PrefillCall) -> Result<Prefilled, EngineError> {
            Err(EngineError::Full)
        }

        async fn decode(&self, _: &DecodeCall) -> Result<TokenStream, EngineError> {
            Err(EngineError::Full)
        }

        async fn attach(&self, _: &StreamId, _: u32) -> Result<TokenStream, EngineError> {
            Err(EngineError::UnknownStream)
        }

        async fn cancel(&self, _: &StreamId) -> Result<(), EngineError> {
            Ok(())
        }

        async fn streams(&self) -> Result<Vec<HeldStream>, EngineError> {
            Ok(Vec::new())
        }

        async fn load(&self) -> Result<LoadSnapshot, EngineError> {
            Err(EngineError::Full)
        }

        async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
            Ok(CacheEvents::default())
        }

        async fn order(&self, _: &Order) -> Result<(), EngineError> {
            Ok(())
        }
    }

    impl EngineConnector for ScriptedEngine {
        fn connect(&self, _: SocketAddr) -> Rc<dyn Engine> {
            Rc::new(self.clone())
        }

        fn reconnect(&self, address: SocketAddr) -> Rc<dyn Engine> {
            self.connect(address)
        }
    }

    fn status(incarnation: Incarnation) -> EngineStatus {
        EngineStatus {
            incarnation,
            role: "prefill".into(),
            model: "m".try_into().unwrap(),
            version: "1".into(),
            adapters: Vec::new(),
            slots: 1,
            memory_pieces: 1,
            piece_tokens: 16,
            prefill_tokens_per_second: 1.0,
            link_tokens_per_second: 1.0,
            token_us: 1,
            hold_ms: 1,
        }
    }

    /// Returns a quarantine and the handle of an engine with these results of status calls.
    fn quarantine_of(
        results: Vec<Result<EngineStatus, EngineError>>,
    ) -> (Rc<QuarantineState>, EngineHandle) {
        let clock = Rc::new(ManualClock::default());
        let journal = Journal::new(clock.clone(), InstanceName::try_from("a-1").unwrap());
        let engine = ScriptedEngine(Rc::new(RefCell::new(results.into())));
        let quarantine = QuarantineState::new(clock, journal, Rc::new(engine.clone()));
        let name = ServerName::try_from("p-1").unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        (quarantine, EngineHandle::new(name, address, Rc::new(engine), Incarnation(1)))
    }

    #[actix_rt::test]
    async fn a_request_is_not_retried_beside_others_while_its_engine_closes_connections() {
        let reset = || Err(EngineError::Lost("connection reset by peer".into()));
        let refused = Err(EngineError::Unreachable("connection refused".into()));
        let (quarantine, engine) = quarantine_of(vec![reset(), reset(), reset(), refused]);
        let _in_flight = quarantine.start(&engine.name, REQUEST, false);
        let health = quarantine.check_health(&engine, engine.incarnation.get()).await;
        assert_eq!(health, EngineHealth::Crashed);
        assert_eq!(quarantine.admit(REQUEST), Admission::Isolated);
    }

    #[actix_rt::test]
    async fn an_engine_that_closes_all_connections_does_not_delay_a_retry_forever() {
        let mut results = Vec::new();
        for _ in 0..1_000 {
            results.push(Err(EngineError::Lost("connection reset by peer".into())));
        }
        let (quarantine, engine) = quarantine_of(results);
        let check = quarantine.check_health(&engine, engine.incarnation.get());
        let health = tokio::time::timeout(MAX_CHECK_TIME, check).await;
        assert_eq!(health, Ok(EngineHealth::Unknown));
    }

    #[actix_rt::test]
    async fn a_request_does_not_take_an_engine_that_has_restarted_for_the_one_that_it_crashed() {
        let (quarantine, engine) = quarantine_of(vec![Ok(status(Incarnation(2)))]);
        let started_on = engine.incarnation.get();
        let _in_flight = quarantine.start(&engine.name, REQUEST, false);
        // Another request has noticed the restart.
        quarantine.observe(&engine, Incarnation(2));
        let health = quarantine.check_health(&engine, started_on).await;
        assert_eq!(health, EngineHealth::Restarted);
        assert_eq!(quarantine.admit(REQUEST), Admission::Isolated);
    }
}
