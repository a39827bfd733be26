//! The reaper, which runs on the home instance of a server and finds orphaned streams there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use magnoliaspar_engine::HeldStream;

use crate::message::parse_owner;
use crate::{
    Acknowledgement, Answer, OrphanReason, Question, Reaped, ReaperConfig, ReaperId, Renewal,
    StreamKey,
};

/// Maximum number of streams in one question.
const MAX_STREAMS_PER_QUESTION: usize = 64;

/// Decides which streams on some backend servers are orphaned.
///
/// A stream is cancelled only after each instance that may drive it has disowned it, has ended, or
/// holds only an expired lease with this reaper. A missing answer alone is no proof.
#[derive(Debug)]
pub struct Reaper {
    id: ReaperId,
    cfg: ReaperConfig,
    instances: BTreeMap<InstanceName, Incarnation>,
    leases: BTreeMap<LeaseKey, Instant>,
    servers: BTreeMap<ServerName, Incarnation>,
    candidates: BTreeMap<StreamKey, Candidate>,
    pending_questions: BTreeMap<u64, PendingQuestion>,
    last_number: u64,
}

/// A stream that is old enough to be asked about.
#[derive(Debug, Clone, Default)]
struct Candidate {
    /// The owner that the server lists.
    owner: Box<str>,
    /// The last denial of each instance.
    denials: BTreeMap<InstanceName, Denial>,
    /// Time of the last question to each instance.
    asked_at: BTreeMap<InstanceName, Instant>,
    /// Time of the last answer of an instance that it drives the stream.
    claimed_at: Option<Instant>,
}

/// The streams that a lease covers: those of one epoch of an owner on one server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LeaseKey {
    server: ServerName,
    owner: InstanceName,
    epoch: Incarnation,
}

impl LeaseKey {
    fn of(renewal: &Renewal, server: &ServerName) -> Self {
        let owner = renewal.owner.clone();
        Self { server: server.clone(), owner, epoch: renewal.incarnation }
    }
}

/// The answer of an instance that it does not drive a stream.
#[derive(Debug, Clone, Copy)]
struct Denial {
    asked_at: Instant,
    answered_at: Instant,
}

/// A question without an answer yet.
#[derive(Debug)]
struct PendingQuestion {
    to: InstanceName,
    at: Instant,
    streams: Vec<StreamKey>,
}

impl Reaper {
    /// Creates a reaper without known instances and streams.
    pub fn new(id: ReaperId, cfg: ReaperConfig) -> Self {
        Self {
            id,
            cfg,
            instances: BTreeMap::new(),
            leases: BTreeMap::new(),
            servers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            pending_questions: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Sets the instances that may drive streams: all that are not certainly gone.
    ///
    /// Unreachable instances must be included. An instance is gone once the platform reports that
    /// its process has ended. A new incarnation under its name replaces the former one and answers
    /// the questions about its streams.
    pub fn set_instances(&mut self, instances: BTreeMap<InstanceName, Incarnation>) {
        self.leases.retain(|lease, _| instances.contains_key(&lease.owner));
        self.instances = instances;
    }

    /// Removes the state of a server of which this instance is no longer the home.
    pub fn forget_server(&mut self, server: &ServerName) {
        self.servers.remove(server);
        self.leases.retain(|lease, _| lease.server != *server);
        self.candidates.retain(|key, _| key.server != *server);
    }

    /// Renews and releases leases of an owner.
    ///
    /// Returns `None` if the renewal is for another reaper.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal) -> Option<Acknowledgement> {
        if renewal.to != self.id {
            return None;
        }
        for server in &renewal.released {
            self.leases.remove(&LeaseKey::of(renewal, server));
        }
        for server in &renewal.servers {
            self.leases.insert(LeaseKey::of(renewal, server), now);
        }
        let retention = self.cfg.lease_retention;
        self.leases.retain(|_, renewed_at| is_within(now, *renewed_at, retention));
        Some(Acknowledgement { from: self.id.clone(), number: renewal.number })
    }

    /// Merges a server's list and returns the orphaned streams on it.
    ///
    /// They must be cancelled at once.
    pub fn merge_list(&mut self, server: &ServerName, list: &StreamList) -> Vec<Reaped> {
        let known = self.servers.insert(server.clone(), list.incarnation);
        if known.is_some_and(|known| known != list.incarnation) {
            self.candidates.retain(|key, _| key.server != *server);
        }
        let mut reaped = Vec::new();
        let mut listed_keys = BTreeSet::new();
        for held in &list.streams {
            let age = Duration::from_millis(held.age_ms);
            if age < self.cfg.min_orphan_age {
                continue;
            }
            let key = StreamKey { server: server.clone(), stream: held.stream.clone() };
            listed_keys.insert(key.clone());
            let candidate = self.candidates.entry(key.clone()).or_default();
            candidate.owner = held.owner.clone();
            candidate.forget_earlier_stream(list, age);
            let Some(reason) = self.orphan_reason(&key, list) else { continue };
            reaped.push(Reaped { key, pieces: held.pieces, reason });
        }
        self.candidates.retain(|key, _| key.server != *server || listed_keys.contains(key));
        reaped
    }

    /// Returns the questions that are due, first to the listed owner of a stream and later to all
    /// other instances.
    pub fn questions(&mut self, now: Instant) -> Vec<Question> {
        let mut due: BTreeMap<InstanceName, Vec<StreamKey>> = BTreeMap::new();
        for (key, candidate) in &self.candidates {
            if candidate.claimed_at.is_some_and(|at| is_within(now, at, self.cfg.recheck_interval))
            {
                continue;
            }
            for instance in self.pending_respondents(now, key, candidate) {
                let asked = candidate.asked_at.get(instance);
                if asked.is_some_and(|at| is_within(now, *at, self.cfg.ask_interval)) {
                    continue;
                }
                due.entry(instance.clone()).or_default().push(key.clone());
            }
        }
        let mut questions = Vec::new();
        for (to, streams) in due {
            for part in streams.chunks(MAX_STREAMS_PER_QUESTION) {
                questions.push(self.ask(now, &to, part));
            }
        }
        let limit = 4 * self.cfg.ask_interval;
        self.pending_questions.retain(|_, asked| is_within(now, asked.at, limit));
        questions
    }

    /// Returns the servers whose lists should be read again, since no instance claims some stream
    /// there.
    pub fn servers_to_list_again(&self, now: Instant) -> BTreeSet<ServerName> {
        let mut servers = BTreeSet::new();
        for (key, candidate) in &self.candidates {
            let last_answered_at =
                candidate.denials.values().map(|denial| denial.answered_at).max();
            let is_early =
                last_answered_at.is_some_and(|at| is_within(now, at, self.cfg.max_list_lag));
            let is_claimed = candidate.claimed_at.is_some() && candidate.denials.is_empty();
            if !is_early && !is_claimed && self.pending_respondents(now, key, candidate).is_empty()
            {
                servers.insert(key.server.clone());
            }
        }
        servers
    }

    /// Records the answer to a question.
    pub fn answered(&mut self, now: Instant, answer: &Answer) {
        let Some(asked) = self.pending_questions.remove(&answer.number) else { return };
        if asked.to != answer.from {
            return;
        }
        for key in &asked.streams {
            let Some(candidate) = self.candidates.get_mut(key) else { continue };
            if !answer.disowned.contains(key) {
                candidate.claimed_at = Some(now);
                candidate.denials.clear();
                candidate.asked_at.clear();
                continue;
            }
            let denial = Denial { asked_at: asked.at, answered_at: now };
            candidate.denials.insert(answer.from.clone(), denial);
        }
    }

    fn ask(&mut self, now: Instant, to: &InstanceName, streams: &[StreamKey]) -> Question {
        self.last_number += 1;
        let number = self.last_number;
        for key in streams {
            let Some(candidate) = self.candidates.get_mut(key) else { continue };
            candidate.asked_at.insert(to.clone(), now);
        }
        let question = PendingQuestion { to: to.clone(), at: now, streams: streams.to_vec() };
        self.pending_questions.insert(number, question);
        Question { to: to.clone(), number, streams: streams.to_vec() }
    }

    /// Returns the instances that have not answered yet whether they drive a stream.
    ///
    /// This is the listed owner alone while its lease may be valid.
    fn pending_respondents(
        &self,
        now: Instant,
        key: &StreamKey,
        candidate: &Candidate,
    ) -> Vec<&InstanceName> {
        let (name, _) = parse_owner(&candidate.owner);
        let mut others = Vec::new();
        for instance in self.instances.keys() {
            if candidate.denials.contains_key(instance) {
                continue;
            }
            if instance.as_str() != name {
                others.push(instance);
                continue;
            }
            if self.lease_end(key, instance, candidate).is_none_or(|end| now <= end) {
                return vec![instance];
            }
        }
        others
    }

    /// Returns the time at which the lease of a stream's listed owner has certainly expired, or
    /// `None` if there is no such lease.
    fn lease_end(
        &self,
        key: &StreamKey,
        instance: &InstanceName,
        candidate: &Candidate,
    ) -> Option<Instant> {
        let (name, incarnation) = parse_owner(&candidate.owner);
        if instance.as_str() != name {
            return None;
        }
        let (server, owner) = (key.server.clone(), instance.clone());
        let renewed_at = self.leases.get(&LeaseKey { server, owner, epoch: incarnation? })?;
        Some(*renewed_at + self.cfg.lease + self.cfg.lease_margin)
    }

    /// Returns the reason why the stream is orphaned, or `None` if any instance may drive it.
    fn orphan_reason(&self, key: &StreamKey, list: &StreamList) -> Option<OrphanReason> {
        if self.instances.is_empty() {
            return None;
        }
        let mut reason = OrphanReason::Gone;
        let candidate = self.candidates.get(key)?;
        let (name, _) = parse_owner(&candidate.owner);
        for instance in self.instances.keys() {
            let denied = candidate.denials.get(instance);
            let is_denied = denied.is_some_and(|denial| self.is_covered(denial, list));
            let end = self.lease_end(key, instance, candidate);
            let is_lease_expired =
                end.is_some_and(|end| list.read_started_at > end + self.cfg.max_list_lag);
            if !is_denied && !is_lease_expired {
                return None;
            }
            if instance.as_str() == name {
                reason =
                    if is_denied { OrphanReason::Disowned } else { OrphanReason::LeaseExpired };
            }
        }
        Some(reason)
    }

    /// Returns whether the list certainly shows the state of the server after a denial.
    ///
    /// A list shows the state at some time between its maximum lag before the read began and the
    /// end of the read.
    fn is_covered(&self, denial: &Denial, list: &StreamList) -> bool {
        list.read_started_at > denial.answered_at + self.cfg.max_list_lag
    }
}

impl Candidate {
    /// Drops answers that may concern an earlier stream with the same identifier.
    fn forget_earlier_stream(&mut self, list: &StreamList, age: Duration) {
        let opened_by = list.read_ended_at.checked_sub(age);
        let is_same = |asked_at: Instant| opened_by.is_none_or(|opened| opened < asked_at);
        self.denials.retain(|_, denial| is_same(denial.asked_at));
        self.asked_at.retain(|_, asked_at| is_same(*asked_at));
        self.claimed_at = self.claimed_at.filter(|at| is_same(*at));
    }
}

/// A list of the streams on a server, as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamList {
    /// Time at which the read began.
    pub read_started_at: Instant,
    /// Time at which the answer had arrived.
    pub read_ended_at: Instant,
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// The streams.
    pub streams: Vec<HeldStream>,
}

fn is_within(now: Instant, at: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(at) < limit
}
