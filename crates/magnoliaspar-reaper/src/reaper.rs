use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use magnoliaspar_engine::HeldStream;

use crate::message::parse_owner;
use crate::{
    Acknowledgement, Answer, HeldKey, OrphanReason, Question, Reaped, ReaperConfig, ReaperId,
    Renewal,
};

/// How many streams one question names.
const QUESTION_STREAMS: usize = 64;

/// Decides which streams on some backend servers nobody drives.
///
/// A stream is cancelled only after every instance that may drive it has disowned it, is gone, or
/// has let its lease with this reaper run out. Silence alone proves nothing.
#[derive(Debug)]
pub struct Reaper {
    id: ReaperId,
    cfg: ReaperConfig,
    instances: BTreeMap<InstanceName, Incarnation>,
    leases: BTreeMap<LeaseKey, Instant>,
    servers: BTreeMap<ServerName, Incarnation>,
    doubts: BTreeMap<HeldKey, Doubt>,
    questions: BTreeMap<u64, Asked>,
    last_number: u64,
}

/// What is known of a stream that is old enough to be asked about.
#[derive(Debug, Clone, Default)]
struct Doubt {
    owner: Box<str>,
    denials: BTreeMap<InstanceName, Denial>,
    asked: BTreeMap<InstanceName, Instant>,
    owned_at: Option<Instant>,
}

/// What a lease covers: the streams of one epoch of an owner on one server.
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

/// When an instance said that it does not drive a stream.
#[derive(Debug, Clone, Copy)]
struct Denial {
    asked_at: Instant,
    answered_at: Instant,
}

#[derive(Debug)]
struct Asked {
    to: InstanceName,
    at: Instant,
    streams: Vec<HeldKey>,
}

impl Reaper {
    /// Creates a reaper that knows of no instance and no stream.
    pub fn new(id: ReaperId, cfg: ReaperConfig) -> Self {
        Self {
            id,
            cfg,
            instances: BTreeMap::new(),
            leases: BTreeMap::new(),
            servers: BTreeMap::new(),
            doubts: BTreeMap::new(),
            questions: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Takes in which instances may drive streams: all that are not certainly gone.
    ///
    /// An instance that is only out of reach must be among them. One is gone when the platform says
    /// that its process has ended; a new life under its name answers for the former one.
    pub fn set_instances(&mut self, instances: BTreeMap<InstanceName, Incarnation>) {
        self.leases.retain(|lease, _| instances.contains_key(&lease.owner));
        self.instances = instances;
    }

    /// Forgets a server that this instance is no longer the home of.
    pub fn forget_server(&mut self, server: &ServerName) {
        self.servers.remove(server);
        self.leases.retain(|lease, _| lease.server != *server);
        self.doubts.retain(|key, _| key.server != *server);
    }

    /// Renews the lease of an owner.
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
        let memory = self.cfg.lease_memory;
        self.leases.retain(|_, renewed_at| is_within(now, *renewed_at, memory));
        Some(Acknowledgement { from: self.id.clone(), number: renewal.number })
    }

    /// Takes in a server's list and returns the streams on it to cancel, which must follow at once.
    pub fn listed(&mut self, server: &ServerName, list: &StreamList) -> Vec<Reaped> {
        let known = self.servers.insert(server.clone(), list.incarnation);
        if known.is_some_and(|known| known != list.incarnation) {
            self.doubts.retain(|key, _| key.server != *server);
        }
        let mut reaped = Vec::new();
        let mut present = BTreeSet::new();
        for held in &list.streams {
            let age = Duration::from_millis(held.age_ms);
            if age < self.cfg.doubt_age {
                continue;
            }
            let key = HeldKey { server: server.clone(), stream: held.stream.clone() };
            present.insert(key.clone());
            let doubt = self.doubts.entry(key.clone()).or_default();
            doubt.owner = held.owner.clone();
            doubt.forget_earlier_stream(list, age);
            let Some(reason) = self.orphan_reason(&key, list) else { continue };
            reaped.push(Reaped { key, pieces: held.pieces, reason });
        }
        self.doubts.retain(|key, _| key.server != *server || present.contains(key));
        reaped
    }

    /// Returns the questions that are due: first to the listed owners, then to everybody else.
    pub fn questions(&mut self, now: Instant) -> Vec<Question> {
        let mut due: BTreeMap<InstanceName, Vec<HeldKey>> = BTreeMap::new();
        for (key, doubt) in &self.doubts {
            if doubt.owned_at.is_some_and(|at| is_within(now, at, self.cfg.recheck_interval)) {
                continue;
            }
            for instance in self.respondents(now, key, doubt) {
                let asked = doubt.asked.get(instance);
                if asked.is_some_and(|at| is_within(now, *at, self.cfg.ask_interval)) {
                    continue;
                }
                due.entry(instance.clone()).or_default().push(key.clone());
            }
        }
        let mut questions = Vec::new();
        for (to, streams) in due {
            for part in streams.chunks(QUESTION_STREAMS) {
                questions.push(self.ask(now, &to, part));
            }
        }
        let limit = 4 * self.cfg.ask_interval;
        self.questions.retain(|_, asked| is_within(now, asked.at, limit));
        questions
    }

    /// Returns the servers whose lists should be read again, since nobody claims some stream there.
    pub fn confirmations(&self, now: Instant) -> BTreeSet<ServerName> {
        let mut servers = BTreeSet::new();
        for (key, doubt) in &self.doubts {
            let answered = doubt.denials.values().map(|denial| denial.answered_at).max();
            let is_early = answered.is_some_and(|at| is_within(now, at, self.cfg.list_lag));
            let is_owned = doubt.owned_at.is_some() && doubt.denials.is_empty();
            if !is_early && !is_owned && self.respondents(now, key, doubt).is_empty() {
                servers.insert(key.server.clone());
            }
        }
        servers
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Instant, answer: &Answer) {
        let Some(asked) = self.questions.remove(&answer.number) else { return };
        if asked.to != answer.from {
            return;
        }
        for key in &asked.streams {
            let Some(doubt) = self.doubts.get_mut(key) else { continue };
            if !answer.disowned.contains(key) {
                doubt.owned_at = Some(now);
                doubt.denials.clear();
                doubt.asked.clear();
                continue;
            }
            let denial = Denial { asked_at: asked.at, answered_at: now };
            doubt.denials.insert(answer.from.clone(), denial);
        }
    }

    fn ask(&mut self, now: Instant, to: &InstanceName, streams: &[HeldKey]) -> Question {
        self.last_number += 1;
        let number = self.last_number;
        for key in streams {
            let Some(doubt) = self.doubts.get_mut(key) else { continue };
            doubt.asked.insert(to.clone(), now);
        }
        let asked = Asked { to: to.clone(), at: now, streams: streams.to_vec() };
        self.questions.insert(number, asked);
        Question { to: to.clone(), number, streams: streams.to_vec() }
    }

    /// Returns the instances that have yet to say whether they drive a stream.
    fn respondents(&self, now: Instant, key: &HeldKey, doubt: &Doubt) -> Vec<&InstanceName> {
        let (name, _) = parse_owner(&doubt.owner);
        let mut others = Vec::new();
        for instance in self.instances.keys() {
            if doubt.denials.contains_key(instance) {
                continue;
            }
            if instance.as_str() != name {
                others.push(instance);
                continue;
            }
            if self.lease_end(key, instance, doubt).is_none_or(|end| now <= end) {
                return vec![instance];
            }
        }
        others
    }

    /// Returns when the lease of a stream's listed owner certainly has run out, if it has one.
    fn lease_end(&self, key: &HeldKey, instance: &InstanceName, doubt: &Doubt) -> Option<Instant> {
        let (name, incarnation) = parse_owner(&doubt.owner);
        if instance.as_str() != name {
            return None;
        }
        let (server, owner) = (key.server.clone(), instance.clone());
        let renewed_at = self.leases.get(&LeaseKey { server, owner, epoch: incarnation? })?;
        Some(*renewed_at + self.cfg.lease + self.cfg.lease_margin)
    }

    /// Returns why the listed owner does not drive the stream, if nobody does.
    fn orphan_reason(&self, key: &HeldKey, list: &StreamList) -> Option<OrphanReason> {
        if self.instances.is_empty() {
            return None;
        }
        let mut reason = OrphanReason::Gone;
        let doubt = self.doubts.get(key)?;
        let (name, _) = parse_owner(&doubt.owner);
        for instance in self.instances.keys() {
            let denied = doubt.denials.get(instance);
            let is_denied = denied.is_some_and(|denial| self.is_covered(denial, list));
            let end = self.lease_end(key, instance, doubt);
            let is_lapsed = end.is_some_and(|end| list.read_from > end + self.cfg.list_lag);
            if !is_denied && !is_lapsed {
                return None;
            }
            if instance.as_str() == name {
                reason = if is_denied { OrphanReason::Disowned } else { OrphanReason::Lapsed };
            }
        }
        Some(reason)
    }

    /// Whether the list certainly shows the server as it was after a denial.
    ///
    /// A list shows the server at some time between its lag before the reading began and the end
    /// of the reading.
    fn is_covered(&self, denial: &Denial, list: &StreamList) -> bool {
        list.read_from > denial.answered_at + self.cfg.list_lag
    }
}

impl Doubt {
    /// Drops denials that may be about an earlier stream under the same identifier.
    fn forget_earlier_stream(&mut self, list: &StreamList, age: Duration) {
        let opened_by = list.read_to.checked_sub(age);
        let is_same = |asked_at: Instant| opened_by.is_none_or(|opened| opened < asked_at);
        self.denials.retain(|_, denial| is_same(denial.asked_at));
        self.asked.retain(|_, asked_at| is_same(*asked_at));
        self.owned_at = self.owned_at.filter(|at| is_same(*at));
    }
}

/// A server's list of streams, as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamList {
    /// When the reading began.
    pub read_from: Instant,
    /// When the answer was there.
    pub read_to: Instant,
    /// The life of the server.
    pub incarnation: Incarnation,
    /// The streams.
    pub streams: Vec<HeldStream>,
}

fn is_within(now: Instant, at: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(at) < limit
}
