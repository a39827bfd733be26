//! The backend servers that this instance knows, with their observed state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Epoch, Position, ServerKey};
use magnoliaspar_retry::Backoff;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::departures::Departure;
use crate::entry_age::{EntryAge, EntrySource, EntryStamp};
use crate::notices::Notices;
use crate::plain_load::ServerLoad;
use crate::request_limit::{LimitState, PermitBucket, RequestLimit};
use crate::route::ServiceName;

/// Duration for which a failed server is avoided; it doubles with each consecutive failure.
const AVOIDANCE_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(250), longest: Duration::from_secs(2) };

/// Duration for which a server that refused a request as full is avoided.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Interval at which it is checked whether a server has responded that must do so before its next request.
const RESPONSE_WAIT: Duration = Duration::from_millis(20);

/// Weight of a new sample in the latency of a server.
const LATENCY_SMOOTHING: f64 = 0.3;

/// Time after a response during which a timeout of another call does not count as a failure.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_millis(500);

/// Maximum age of a latency sample; bursts last some seconds.
const LATENCY_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of reports that are requested of a server during a rest.
const MAX_REPORTS_IN_REST: u32 = 1;

/// Maximum number of departed processes to remember; a few hundred leave on a busy day.
const MAX_DEPARTED: usize = 1_000;

/// Entry of a server in the list of servers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identifier, which a server may keep across a restart.
    pub id: Box<str>,
    /// The service to which the server belongs.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Box<str>,
    /// Whether the server is draining and accepts no new requests.
    pub is_draining: bool,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Stage of a completion that the server runs; `None` if it is not an engine.
    pub role: Option<EngineRole>,
    /// Start time that the process reports, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the entry among those of its process; `None` if it has none.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Epoch of the store in which the entry was read.
    #[serde(default)]
    pub epoch: Epoch,
    /// Version of the entry; a later entry of the same epoch has a higher one.
    #[serde(default)]
    pub revision: u64,
}

impl ServerRecord {
    /// Returns what orders the entry among those of its server.
    pub fn stamp(&self) -> EntryStamp {
        let position = Position { epoch: self.epoch, revision: self.revision };
        EntryStamp { position, started_ms: self.started_ms, sequence: self.sequence }
    }
}

/// Stage of a completion that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EngineRole {
    /// The engine prefills prompts and transfers the KV cache.
    Prefill,
    /// The engine generates tokens. It can also prefill a prompt, at a lower speed.
    Decode,
}

/// The known servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: SlotMap<ServerKey, Server>,
    by_id: BTreeMap<Box<str>, ServerKey>,
    /// What still holds for processes whose entries were removed, by server identifier.
    departed: BTreeMap<Box<str>, Departed>,
    /// Number of departures so far.
    departures: u64,
    /// The processes that were removed or replaced.
    former: BTreeMap<ServerKey, Former>,
}

/// What still holds for a process whose entry was removed, should the entry return.
#[derive(Debug, Clone)]
struct Departed {
    /// Number of the departure among all of this instance.
    number: u64,
    key: ServerKey,
    address: SocketAddr,
    stamp: EntryStamp,
    is_draining: bool,
    notices: Notices,
}

/// Where a process was that was removed or replaced.
#[derive(Debug)]
struct Former {
    id: Box<str>,
    address: SocketAddr,
}

/// Notices that came from the address of a process before its entry was known: its own, or those of the
/// process before it.
#[derive(Debug)]
struct Unclear {
    predecessor: ServerKey,
    notices: Notices,
}

/// A server with its observed state.
#[derive(Debug)]
pub struct Server {
    /// The latest entry of the server.
    pub record: ServerRecord,
    /// Time at which this instance learned of the process.
    pub known_since: Option<Instant>,
    /// Requests of this instance in flight at the server.
    pub in_flight: u32,
    /// The role to which the server was ordered to change and which it has not reported yet.
    pub changing: Option<EngineRole>,
    /// Whether the last attempt to connect failed; a probe clears it once a connection opens.
    pub is_unreachable: bool,
    /// Whether the process may have said that it leaves or rests, and is asked before it gets requests.
    pub awaits_report: bool,
    /// Whether the process may have said so and has not responded to a request since. It gets one at a time, since
    /// a report need not tell.
    pub is_on_trial: bool,
    /// The load of a plain server, as this instance observes it.
    pub load: ServerLoad,
    limit: Option<LimitState>,
    permits: PermitBucket,
    /// The time before which the coordinator issues no permit for the server.
    permit_due_at: Option<Instant>,
    latency: Option<(Duration, Instant)>,
    answered_at: Option<Instant>,
    consecutive_failures: u32,
    avoided_until: Option<Instant>,
    /// Whether the server is avoided for its silence only.
    is_silent: bool,
    full_until: Option<Instant>,
    notices: Notices,
    unclear: Option<Unclear>,
    /// Reports that were requested during the current rest.
    reports_in_rest: u32,
}

impl Server {
    /// Returns the time for which the server wants no requests of this instance.
    pub fn rest_left(&self, now: Instant) -> Duration {
        let until = self.notices.rests_until();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether the server has to respond before it may get another request.
    pub fn awaits_response(&self) -> bool {
        self.awaits_report || (self.is_on_trial && self.in_flight > 0)
    }

    /// Returns the time after which the server can be considered for a request.
    pub fn wait_left(&self, now: Instant) -> Duration {
        let wait = if self.awaits_response() { RESPONSE_WAIT } else { Duration::ZERO };
        wait.max(self.rest_left(now))
    }

    /// Returns the time for which the server is taken for full, since it has refused a request.
    pub fn full_left(&self, now: Instant) -> Duration {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.full_until.map_or(Duration::ZERO, left)
    }

    /// Returns whether recent calls failed, so that other servers are preferred.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let is_after = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_after(self.avoided_until) || is_after(self.full_until)
    }
}

impl Server {
    /// Returns whether the server is avoided for its silence only, and may go on at any time.
    pub fn is_only_silent(&self, now: Instant) -> bool {
        self.is_silent && self.full_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the server has responded to another call recently, so that a timeout only
    /// shows load.
    pub fn has_answered_recently(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < RECENT_ANSWER_WINDOW)
    }

    /// Returns whether the server has responded to a call after a time.
    pub fn has_answered_since(&self, time: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > time)
    }

    /// Returns whether the server is out of use while it changes its role.
    pub fn is_changing(&self) -> bool {
        self.changing.is_some()
    }

    /// Returns the limit, or that it was lifted, and when that was observed.
    pub fn limit_state(&self) -> Option<LimitState> {
        self.limit
    }

    /// Returns the time before which the coordinator issues no permit for the server.
    pub fn permit_wait(&self, now: Instant) -> Duration {
        self.permit_due_at.map_or(Duration::ZERO, |due_at| due_at.saturating_duration_since(now))
    }

    /// Returns the requests per second that the server accepts from all instances together, if it names
    /// a limit.
    pub fn limit(&self) -> Option<RequestLimit> {
        self.limit?.limit
    }

    /// Returns the recent latency, if there are samples.
    pub fn latency(&self, now: Instant) -> Option<Duration> {
        let (latency, at) = self.latency?;
        (now.saturating_duration_since(at) < LATENCY_MAX_AGE).then_some(latency)
    }
}

/// Effect of a new entry of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The server was not known.
    Added,
    /// A different process runs under the identifier or at a different address.
    Restarted,
    /// The server has started to drain.
    Draining,
    /// Nothing relevant to routing has changed.
    Updated,
    /// The entry is older than the last one, and was ignored.
    Outdated,
    /// The entry is one of the process before, and was ignored.
    FormerProcess,
    /// The server has departed, and its entry may be older than that.
    Unclear,
}

/// A change of the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before, if there was one.
    pub previous: Option<RequestLimit>,
    /// The limit from now on, if there is one.
    pub current: Option<RequestLimit>,
}

impl LimitChange {
    /// Returns whether the server accepts more requests than before.
    pub fn is_raised(&self) -> bool {
        match (self.previous, self.current) {
            (Some(previous), Some(current)) => current > previous,
            (_, current) => current.is_none(),
        }
    }
}

impl Directory {
    /// Applies an entry of a server, unless it is older than the last one: a store that lags behind or was
    /// restored returns former entries.
    ///
    /// A process that has started to drain never accepts requests again; an entry that says
    /// otherwise is stale.
    pub fn put(&mut self, mut record: ServerRecord, source: EntrySource) -> RecordChange {
        let age = self.age(&record, source);
        match age {
            EntryAge::Current | EntryAge::Unclear => {}
            EntryAge::Outdated => return RecordChange::Outdated,
            EntryAge::FormerProcess => return RecordChange::FormerProcess,
        }
        let departed = self.departed.get(&record.id);
        let same = departed.filter(|departed| departed.stamp.started_ms == record.started_ms);
        record.is_draining |= same.is_some_and(|departed| departed.is_draining);
        let Some(key) = self.by_id.get(&record.id).copied() else {
            let notices = same.map(|departed| departed.notices.clone()).unwrap_or_default();
            let unclear = departed
                .filter(|departed| same.is_none() && departed.address == record.address)
                .map(|departed| Unclear {
                    predecessor: departed.key,
                    notices: departed.notices.clone(),
                });
            self.insert(record, notices, unclear);
            return match age {
                EntryAge::Unclear => RecordChange::Unclear,
                _ => RecordChange::Added,
            };
        };
        let server = &mut self.servers[key];
        let old = &server.record;
        if old.started_ms != record.started_ms || old.address != record.address {
            let is_other_address = old.address != record.address;
            let notices = std::mem::take(&mut server.notices);
            // Requests to the former process release a key that no longer exists.
            self.forget(key);
            let unclear = Unclear { predecessor: key, notices };
            self.insert(record, Notices::default(), Some(unclear).filter(|_| !is_other_address));
            return RecordChange::Restarted;
        }
        let is_leaving = record.is_draining && !old.is_draining;
        record.is_draining |= old.is_draining;
        server.changing = server.changing.filter(|role| record.role != Some(*role));
        server.record = record;
        if is_leaving { RecordChange::Draining } else { RecordChange::Updated }
    }

    /// Compares an entry with what is known last of its server.
    fn age(&self, record: &ServerRecord, source: EntrySource) -> EntryAge {
        let departed = self.departed.get(&record.id);
        let (last, has_departed) = match (self.find(&record.id), departed) {
            (Some(server), _) => (server.record.stamp(), false),
            (None, Some(departed)) => (departed.stamp, true),
            (None, None) => return EntryAge::Current,
        };
        record.stamp().age(last, has_departed, source)
    }

    /// Returns whether a server has to be asked whether it leaves or rests, since notices in force came from its
    /// address before its entry was known.
    pub fn has_unclear_notices(&self, key: ServerKey, now: Instant) -> bool {
        let unclear = self.servers.get(key).and_then(|server| server.unclear.as_ref());
        unclear.is_some_and(|unclear| unclear.notices.are_in_force(now))
    }

    /// Returns the process before a server under its identifier and at its address, and the time of the last
    /// notice that either of them may have given.
    pub fn unclear_since(&self, key: ServerKey) -> Option<(ServerKey, Instant)> {
        let unclear = self.servers.get(key)?.unclear.as_ref()?;
        Some((unclear.predecessor, unclear.notices.last_at()?))
    }

    /// Decides whose the unclear notices of a server are: its own since a connection to it was opened, as the
    /// process before it had ended then. All others are those of the former process.
    pub fn settle_notices(&mut self, key: ServerKey, connected_at: Option<Instant>) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(unclear) = server.unclear.take() else { return };
        let Some(connected_at) = connected_at else { return };
        server.notices.merge(&unclear.notices.since(connected_at));
        server.record.is_draining |= server.notices.is_leaving();
    }

    /// Records what came on a connection to a former process, and may be said by the process that has taken its
    /// place, which is returned.
    pub fn record_unclear(&mut self, former: ServerKey, notices: &Notices) -> Option<ServerKey> {
        let Former { id, address } = self.former.get(&former)?;
        let successor = self.by_id.get(id).copied()?;
        let server = self.servers.get_mut(successor)?;
        if server.record.address != *address {
            return None;
        }
        let unclear = Unclear { predecessor: former, notices: Notices::default() };
        server.unclear.get_or_insert(unclear).notices.merge(notices);
        Some(successor)
    }

    /// Removes a process, and remembers where it was.
    fn forget(&mut self, key: ServerKey) -> Option<Server> {
        let server = self.servers.remove(key)?;
        let ServerRecord { id, address, .. } = server.record.clone();
        self.former.insert(key, Former { id, address });
        while self.former.len() > MAX_DEPARTED {
            self.former.pop_first();
        }
        Some(server)
    }

    fn insert(&mut self, record: ServerRecord, notices: Notices, unclear: Option<Unclear>) {
        let id = record.id.clone();
        let key = self.servers.insert(Server {
            record,
            known_since: None,
            in_flight: 0,
            changing: None,
            is_unreachable: false,
            awaits_report: false,
            is_on_trial: false,
            load: ServerLoad::default(),
            limit: None,
            permits: PermitBucket::default(),
            permit_due_at: None,
            latency: None,
            answered_at: None,
            consecutive_failures: 0,
            avoided_until: None,
            is_silent: false,
            full_until: None,
            notices,
            unclear,
            reports_in_rest: 0,
        });
        self.by_id.insert(id, key);
    }

    /// Records the time at which this instance learned of the process of a server, unless it is recorded.
    pub fn record_known(&mut self, id: &str, now: Instant) {
        let Some(key) = self.by_id.get(id) else { return };
        self.servers[*key].known_since.get_or_insert(now);
    }

    /// Removes a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        let Some(server) = self.forget(key) else { return false };
        let stamp = server.record.stamp();
        let ServerRecord { is_draining, address, .. } = server.record;
        self.departures += 1;
        let (number, notices) = (self.departures, server.notices);
        let departed = Departed { number, key, address, stamp, is_draining, notices };
        self.departed.insert(id.into(), departed);
        if self.departed.len() > MAX_DEPARTED {
            self.forget_first_departure();
        }
        true
    }

    /// Returns the number of departed servers that are known.
    pub fn known_departures(&self) -> usize {
        self.departed.len()
    }

    /// Returns the departures of servers, by the identifiers of the servers.
    pub fn departures(&self) -> Vec<(Box<str>, Departure)> {
        let mut departures = Vec::new();
        for (id, departed) in &self.departed {
            let Departed { address, stamp, is_draining, .. } = *departed;
            departures.push((id.clone(), Departure { address, stamp, is_draining }));
        }
        departures
    }

    /// Records a departure that this instance has not seen; returns the age of the present entry of that server, if
    /// there is one.
    pub fn learn_departure(&mut self, id: &str, departure: &Departure) -> Option<EntryAge> {
        let Departure { address, stamp, is_draining } = *departure;
        let is_known = self.departed.get(id).is_some_and(|departed| {
            let known = departed.stamp;
            (known.position.epoch, known.started_ms, known.sequence)
                >= (stamp.position.epoch, stamp.started_ms, stamp.sequence)
        });
        if is_known {
            return None;
        }
        self.departures += 1;
        let (number, key) = (self.departures, ServerKey::default());
        let notices = Notices::default();
        let departed = Departed { number, key, address, stamp, is_draining, notices };
        self.departed.insert(id.into(), departed);
        if self.departed.len() > MAX_DEPARTED {
            self.forget_first_departure();
        }
        let current = self.find(id)?.record.stamp();
        Some(current.age(stamp, true, EntrySource::List))
    }

    /// Sets what orders the last entry of a departed server: a restored one says nothing of its departure, and would
    /// be taken for a current one when the list is read again.
    pub fn set_last_stamp(&mut self, id: &str, stamp: EntryStamp) {
        if let Some(departed) = self.departed.get_mut(id) {
            departed.stamp = stamp;
        }
    }

    fn forget_first_departure(&mut self) {
        let first = self.departed.iter().min_by_key(|(_, departed)| departed.number);
        let Some(id) = first.map(|(id, _)| id.clone()) else { return };
        self.departed.remove(&id);
    }

    /// Returns a server, unless it was removed or restarted.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a server mutably, unless it was removed or restarted.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the key of the server with an identifier.
    pub fn key(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the server with an identifier.
    pub fn find(&self, id: &str) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the identifiers of all servers.
    pub fn ids(&self) -> Vec<Box<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records that a server responded properly to a call.
    pub fn record_success(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.answered_at = Some(now);
        server.consecutive_failures = 0;
        server.avoided_until = None;
        server.full_until = None;
    }

    /// Records the latency of a call to a server.
    pub fn record_latency(&mut self, key: ServerKey, latency: Duration, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let previous = server.latency(now).unwrap_or(latency);
        let smoothed =
            previous.mul_f64(1.0 - LATENCY_SMOOTHING) + latency.mul_f64(LATENCY_SMOOTHING);
        server.latency = Some((smoothed, now));
    }

    /// Records that a plain server answered a call after a time.
    pub fn record_answer(&mut self, key: ServerKey, latency: Duration, now: Instant) {
        self.record_latency(key, latency, now);
        if let Some(server) = self.servers.get_mut(key) {
            server.load.record_answer(latency, now);
        }
    }

    /// Records that a call to a server failed; returns the duration for which the server is
    /// avoided.
    pub fn record_failure(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        let server = self.servers.get_mut(key)?;
        // Calls in flight at the same time fail together, which counts as one failure.
        if let Some(until) = server.avoided_until
            && now < until
        {
            return Some(until - now);
        }
        let avoidance = AVOIDANCE_BACKOFF.ceiling(server.consecutive_failures);
        server.consecutive_failures += 1;
        server.avoided_until = Some(now + avoidance);
        server.is_silent = false;
        Some(avoidance)
    }

    /// Records that a server is silent in a response; returns the duration for which it is avoided.
    pub fn record_silence(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        let was_avoided = self.servers.get(key)?.is_avoided(now);
        let avoided = self.record_failure(key, now);
        if !was_avoided {
            self.servers.get_mut(key)?.is_silent = true;
        }
        avoided
    }

    /// Updates the limit of a server with `update`; returns the change, if there is one.
    ///
    /// `share` is the part of the limit up to now that the permits were issued by.
    pub fn update_limit(
        &mut self,
        key: ServerKey,
        share: f64,
        now: Instant,
        update: impl FnOnce(Option<LimitState>) -> Option<LimitState>,
    ) -> Option<LimitChange> {
        let server = self.servers.get_mut(key)?;
        let previous = server.limit();
        server.limit = update(server.limit);
        let current = server.limit();
        if previous == current {
            return None;
        }
        server.permit_due_at = None;
        match previous {
            Some(previous) => drop(server.permits.drain(previous.rate(share), now)),
            None => server.permits = PermitBucket::default(),
        }
        Some(LimitChange { previous, current })
    }

    /// Returns the time until the next permit of a limited server is due, for a group of instances with
    /// a `share` of its limit; `None` if it has no limit.
    pub fn permit_due_in(&mut self, key: ServerKey, share: f64, now: Instant) -> Option<Duration> {
        let server = self.servers.get_mut(key)?;
        let rate = server.limit()?.rate(share);
        Some(server.permits.wait(rate, now))
    }

    /// Counts a permit of a limited server.
    pub fn take_permit(&mut self, key: ServerKey, share: f64, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(limit) = server.limit() else { return };
        server.permits.take(limit.rate(share), now);
    }

    /// Records that the coordinator issues no permit for a server before a time.
    pub fn record_permit_due(&mut self, key: ServerKey, due_at: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.permit_due_at = Some(due_at);
    }

    /// Records that a server says that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, key: ServerKey, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        server.notices.record_leaving(now);
        !std::mem::replace(&mut server.record.is_draining, true)
    }

    /// Records that a server wants no requests before a time.
    pub fn record_rest(&mut self, key: ServerKey, now: Instant, until: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if server.rest_left(now).is_zero() {
            server.reports_in_rest = 0;
        }
        server.notices.record_rest(now, until);
    }

    /// Returns whether a server may be asked for its report, and counts it: a rest allows a few requests, which
    /// are worth more for answers that are complete than for new calls.
    pub fn take_report(&mut self, key: ServerKey, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let is_resting = !server.rest_left(now).is_zero();
        if is_resting && server.reports_in_rest == MAX_REPORTS_IN_REST {
            return false;
        }
        server.reports_in_rest += u32::from(is_resting);
        true
    }

    /// Records that a server refused a request as full.
    pub fn record_full(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.full_until = Some(now + FULL_BACKOFF);
        server.load.record_refusal(now);
    }
}
