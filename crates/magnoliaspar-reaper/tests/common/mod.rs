//! Simulates instances, their reapers and one backend server in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use magnoliaspar_core::{AttemptId, Incarnation, InstanceName, RequestId, ServerName};
use magnoliaspar_engine::{HeldStream, Stage, StreamId};
use magnoliaspar_reaper::{
    Acknowledgement, Answer, Ownership, Question, Reaper, ReaperConfig, ReaperId, Renewal,
    StreamKey, StreamList,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const INSTANCES: usize = 3;

const SECOND: Duration = Duration::from_secs(1);

/// Interval at which a home reads the server's list even if no stream needs it.
const LIST_PERIOD: Duration = Duration::from_secs(45);

/// Time for which the platform still lists an instance that has died.
const LISTED_AFTER_DEATH: Duration = Duration::from_secs(25);

pub struct World {
    now: Instant,
    processes: Vec<Option<Process>>,
    incarnations: Vec<u64>,
    died_at: Vec<Option<Instant>>,
    /// Instances that the platform lists even after their death.
    kept_on_list: BTreeSet<usize>,
    /// Home of the server as each instance sees it.
    homes: Vec<usize>,
    engine: Engine,
    /// The latest states of the engine, newest last, for lists that lag.
    engine_history: VecDeque<(Instant, Engine)>,
    /// Pairs of instances that cannot exchange messages.
    cut: BTreeSet<(usize, usize)>,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sent_messages: u64,
    /// Probability that a message is lost.
    loss: f64,
    rng: StdRng,
}

struct Process {
    ownership: Ownership,
    reaper: Reaper,
    next_read_at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    incarnation: u64,
    streams: BTreeMap<StreamId, (Box<str>, Instant)>,
}

enum Message {
    Renewal(Renewal),
    Acknowledgement(Acknowledgement),
    Question(Question),
    Answer(Answer),
}

impl World {
    pub fn new(seed: u64, loss: f64) -> Self {
        let mut world = Self {
            now: Instant::now() + Duration::from_secs(100_000),
            processes: Vec::new(),
            incarnations: vec![0; INSTANCES],
            died_at: vec![None; INSTANCES],
            kept_on_list: BTreeSet::new(),
            homes: vec![0; INSTANCES],
            engine: Engine::default(),
            engine_history: VecDeque::new(),
            cut: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            loss,
            rng: StdRng::seed_from_u64(seed),
        };
        for instance in 0..INSTANCES {
            world.processes.push(None);
            world.start(instance);
        }
        world
    }

    pub fn start(&mut self, instance: usize) {
        if self.processes[instance].is_some() {
            return;
        }
        self.incarnations[instance] += 1;
        self.died_at[instance] = None;
        let (name, current) = (name(instance), Incarnation(self.incarnations[instance]));
        let cfg = ReaperConfig::default();
        let id = ReaperId { instance: name.clone(), incarnation: current };
        self.processes[instance] = Some(Process {
            ownership: Ownership::new(name, current, cfg, self.now),
            reaper: Reaper::new(id, cfg),
            next_read_at: self.now,
        });
        self.point_to_home(instance);
    }

    pub fn kill(&mut self, instance: usize) {
        if self.processes[instance].take().is_some() {
            self.died_at[instance] = Some(self.now);
        }
    }

    /// Keeps an instance on the platform's list until [`heal`](Self::heal).
    pub fn keep_on_list(&mut self, instance: usize) {
        self.kept_on_list.insert(instance);
    }

    pub fn open(&mut self, instance: usize, id: u64) {
        let key = key(id);
        if self.engine.streams.contains_key(&key.stream) {
            return;
        }
        let now = self.now;
        let Some(process) = &mut self.processes[instance] else { return };
        if process.ownership.open(now, key.clone()).is_ok() {
            let owner = process.ownership.owner();
            self.engine.streams.insert(key.stream, (owner, now));
        }
    }

    pub fn finish(&mut self, id: u64) {
        if self.leak(id) {
            self.engine.streams.remove(&key(id).stream);
        }
    }

    pub fn leak(&mut self, id: u64) -> bool {
        let Some(owner) = self.owner_of(id) else { return false };
        self.process(owner).ownership.close(&key(id));
        true
    }

    pub fn hand_over(&mut self, id: u64, to: usize) {
        let Some(owner) = self.owner_of(id) else { return };
        if owner != to && self.adopt(id, to) {
            self.process(owner).ownership.close(&key(id));
        }
    }

    pub fn take_over(&mut self, id: u64, by: usize) {
        if self.owner_of(id).is_none() {
            self.adopt(id, by);
        }
    }

    fn adopt(&mut self, id: u64, by: usize) -> bool {
        let key = key(id);
        let now = self.now;
        let Some((_, opened)) = self.engine.streams.get(&key.stream) else { return false };
        let age = now - *opened;
        let Some(process) = &mut self.processes[by] else { return false };
        process.ownership.adopt(now, key, age).is_ok()
    }

    pub fn toggle_link(&mut self, one: usize, other: usize) {
        for pair in [(one, other), (other, one)] {
            if one != other && !self.cut.remove(&pair) {
                self.cut.insert(pair);
            }
        }
    }

    pub fn restart_server(&mut self) {
        self.engine.incarnation += 1;
        for id in std::mem::take(&mut self.engine.streams).into_keys() {
            let key = StreamKey { server: server(), stream: id };
            for process in self.processes.iter_mut().flatten() {
                process.ownership.close(&key);
            }
        }
    }

    pub fn move_home(&mut self, seen_by: usize, home: usize) {
        self.homes[seen_by] = home;
        self.point_to_home(seen_by);
        let Some(process) = &mut self.processes[seen_by] else { return };
        if home != seen_by {
            process.reaper.forget_server(&server());
        }
    }

    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cut.clear();
        self.kept_on_list.clear();
        for instance in 0..INSTANCES {
            if self.processes[0].is_none() {
                self.start(0);
            }
            self.move_home(instance, 0);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND;
            self.engine_history.push_back((self.now, self.engine.clone()));
            if self.engine_history.len() > 6 {
                self.engine_history.pop_front();
            }
            self.deliver();
            for instance in 0..INSTANCES {
                self.tick(instance);
            }
        }
    }

    pub fn held(&self) -> usize {
        self.engine.streams.len()
    }

    pub fn check_no_orphans(&self) {
        for id in self.engine.streams.keys() {
            let key = StreamKey { server: server(), stream: id.clone() };
            let mut processes = self.processes.iter().flatten();
            assert!(processes.any(|process| process.ownership.owns(&key)), "{id:?} is not freed");
        }
    }

    fn tick(&mut self, instance: usize) {
        let now = self.now;
        let known = self.known_instances();
        let incarnations = self.incarnations.clone();
        let Some(process) = &mut self.processes[instance] else { return };
        for (peer, newest) in incarnations.iter().enumerate() {
            for incarnation in 1..=*newest {
                let id = ReaperId { instance: name(peer), incarnation: Incarnation(incarnation) };
                if incarnation < *newest || !known.contains_key(&name(peer)) {
                    process.ownership.reaper_gone(&id);
                }
            }
        }
        let expired = process.ownership.take_expired(now);
        let renewals = process.ownership.renewals(now);
        for key in expired {
            // Some of the cancels are lost.
            if self.rng.random_bool(0.5) {
                self.engine.streams.remove(&key.stream);
            }
        }
        for renewal in renewals {
            let to = index(&renewal.to.instance);
            self.send(instance, to, Message::Renewal(renewal));
        }
        self.point_to_home(instance);
        if self.homes[instance] == instance {
            self.reap(instance, known);
        }
    }

    fn reap(&mut self, instance: usize, known: BTreeMap<InstanceName, Incarnation>) {
        let now = self.now;
        let process = self.process(instance);
        process.reaper.set_instances(known);
        let questions = process.reaper.questions(now);
        let is_due =
            now >= process.next_read_at || !process.reaper.servers_to_list_again(now).is_empty();
        for question in questions {
            let to = index(&question.to);
            self.send(instance, to, Message::Question(question));
        }
        if !is_due {
            return;
        }
        let list = self.list();
        let process = self.process(instance);
        process.next_read_at = now + LIST_PERIOD;
        for reaped in process.reaper.merge_list(&server(), &list) {
            let owner = self.processes.iter().flatten().find(|p| p.ownership.owns(&reaped.key));
            let is_held = self.engine.streams.contains_key(&reaped.key.stream);
            assert!(!is_held || owner.is_none(), "{reaped:?} is live");
            self.engine.streams.remove(&reaped.key.stream);
        }
    }

    /// Returns the server's list at a random time within its lag.
    fn list(&mut self) -> StreamList {
        let steps_back = self.rng.random_range(1..=self.engine_history.len().min(5));
        let (at, engine) = &self.engine_history[self.engine_history.len() - steps_back];
        let mut streams = Vec::new();
        for (id, (owner, opened)) in &engine.streams {
            streams.push(HeldStream {
                stream: id.clone(),
                owner: owner.clone(),
                stage: Stage::Decode,
                pieces: 1,
                age_ms: (*at - *opened).as_millis() as u64,
            });
        }
        let incarnation = Incarnation(engine.incarnation);
        StreamList { read_started_at: self.now, read_ended_at: self.now, incarnation, streams }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            if self.cut.contains(&(from, to)) {
                continue;
            }
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let Some(process) = &mut self.processes[to] else { return };
        let reply = match message {
            Message::Renewal(renewal) => {
                process.reaper.renew(now, &renewal).map(Message::Acknowledgement)
            }
            Message::Question(question) => {
                Some(Message::Answer(process.ownership.answer(&question)))
            }
            Message::Acknowledgement(ack) => {
                process.ownership.acknowledged(&ack);
                None
            }
            Message::Answer(answer) => {
                process.reaper.answered(now, &answer);
                None
            }
        };
        if let Some(reply) = reply {
            self.send(to, from, reply);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && self.rng.random_bool(self.loss) {
            return;
        }
        self.sent_messages += 1;
        let at = self.now + Duration::from_millis(self.rng.random_range(0..4000));
        self.in_flight.insert((at, self.sent_messages), (from, to, message));
    }

    /// Returns the instances that the platform lists, including dead ones for some time.
    fn known_instances(&self) -> BTreeMap<InstanceName, Incarnation> {
        let mut known = BTreeMap::new();
        for instance in 0..INSTANCES {
            let is_gone =
                self.died_at[instance].is_some_and(|at| self.now > at + LISTED_AFTER_DEATH);
            if !is_gone || self.kept_on_list.contains(&instance) {
                known.insert(name(instance), Incarnation(self.incarnations[instance]));
            }
        }
        known
    }

    fn point_to_home(&mut self, instance: usize) {
        let home = self.homes[instance];
        let incarnation = Incarnation(self.incarnations[home]);
        let id = ReaperId { instance: name(home), incarnation };
        let Some(process) = &mut self.processes[instance] else { return };
        process.ownership.set_reaper(&server(), id);
    }

    fn owner_of(&self, id: u64) -> Option<usize> {
        let owns = |process: &Process| process.ownership.owns(&key(id));
        self.processes.iter().position(|process| process.as_ref().is_some_and(owns))
    }

    fn process(&mut self, instance: usize) -> &mut Process {
        self.processes[instance].as_mut().expect("checked before the call that the process runs")
    }
}

fn server() -> ServerName {
    ServerName::try_from("s").unwrap()
}

fn key(id: u64) -> StreamKey {
    let request = RequestId::try_from(format!("r-{id}").as_str()).unwrap();
    StreamKey { server: server(), stream: StreamId { request, attempt: AttemptId(1) } }
}

fn name(instance: usize) -> InstanceName {
    InstanceName::try_from(format!("i-{instance}").as_str()).unwrap()
}

fn index(name: &InstanceName) -> usize {
    (0..INSTANCES).find(|i| super::common::name(*i) == *name).unwrap()
}
