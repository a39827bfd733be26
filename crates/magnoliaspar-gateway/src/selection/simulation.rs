//! Simulates plain servers and the instances that choose among them, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use magnoliaspar_core::{Epoch, ServerKey};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{choose_server, list_candidates};
use crate::directory::{Directory, ServerRecord};
use crate::entry_age::EntrySource;
use crate::plain_load::PlainLoads;
use crate::route::ServiceName;

/// Requests that a server runs concurrently.
const SLOTS: usize = 6;
/// Requests that wait at a server; further ones are rejected.
const QUEUE: usize = 24;
/// Servers that a call is sent to at most.
const MAX_ATTEMPTS: usize = 3;
const ZONES: usize = 3;
/// Interval at which an instance reports.
const HEARTBEAT: Duration = Duration::from_millis(800);
/// Share of the calls of an uneven load that go to the first zone in any case; the others go to all zones.
const LOCAL_BIAS: f64 = 0.25;
/// Time of a round trip without work.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time at which the slow servers become slow.
const SLOW_AT: Duration = Duration::from_secs(4);
const BURST_AT: Duration = Duration::from_secs(5);
const BURST_END: Duration = Duration::from_secs(9);
const END: Duration = Duration::from_secs(13);
/// Length of the windows in which it is counted how many calls are in time.
const WINDOW: Duration = Duration::from_millis(500);
/// Share of the calls of a window that are in time when service is as usual.
const USUAL_SHARE: f64 = 0.95;

/// A load on one service.
#[derive(Debug, Clone, Copy)]
struct Load {
    servers: usize,
    /// Servers, the last ones, that are four times slower from [`SLOW_AT`] on.
    slow: usize,
    instances: usize,
    /// Calls a second outside of the burst.
    rate: f64,
    /// Factor on the calls in the burst.
    burst: f64,
    work: Duration,
    target: Duration,
    /// Whether the first zone gets half of the calls.
    is_uneven: bool,
}

/// What callers and servers got; over several runs the means, and the longest time after the burst.
#[derive(Debug, Default)]
struct Outcome {
    /// Share of the calls sent in the burst that were in time.
    in_time: f64,
    /// Share of the arrivals at servers in the burst that were rejected.
    rejected: f64,
    /// Time after the burst until callers are served as usual.
    usual_after: Duration,
    /// Calls of the slow servers, as a multiple of their share by speed, from a second after they became slow.
    slow_share: f64,
}

struct Call {
    instance: usize,
    sent_at: Duration,
    attempts: Vec<ServerKey>,
    attempted_at: Duration,
    server: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sent,
    Heartbeat(usize),
    Finished(usize),
    Answered(usize),
    Rejected(usize),
}

#[derive(Default)]
struct SimulatedServer {
    running: usize,
    queue: VecDeque<usize>,
}

struct Simulation {
    load: Load,
    start: Instant,
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    instances: Vec<(Directory, PlainLoads)>,
    keys: Vec<ServerKey>,
    servers: Vec<SimulatedServer>,
    calls: Vec<Call>,
    /// Calls sent and those in time, by window.
    windows: Vec<(u32, u32)>,
    /// Heartbeats with a report of load.
    reports: u32,
    arrivals: u32,
    rejections: u32,
    /// Calls that were accepted by slow servers and by all.
    accepted: (u32, u32),
}

fn record(index: usize) -> ServerRecord {
    ServerRecord {
        id: format!("s-{index}").into(),
        service: ServiceName::from("plain"),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        zone: format!("z-{}", index % ZONES).into(),
        is_draining: false,
        slots: SLOTS as u32,
        role: None,
        started_ms: 1,
        sequence: None,
        epoch: Epoch::default(),
        revision: 1,
    }
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Self {
        let mut instances = Vec::new();
        for _ in 0..load.instances {
            let mut directory = Directory::default();
            for index in 0..load.servers {
                directory.put(record(index), EntrySource::List);
            }
            instances.push((directory, PlainLoads::default()));
        }
        let mut keys = Vec::new();
        let mut servers = Vec::new();
        for index in 0..load.servers {
            keys.push(instances[0].0.key(&format!("s-{index}")).unwrap());
            servers.push(SimulatedServer::default());
        }
        Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::from([Reverse((Duration::ZERO, Event::Sent))]),
            windows: vec![(0, 0); END.div_duration_f64(WINDOW) as usize],
            instances,
            keys,
            servers,
            calls: Vec::new(),
            reports: 0,
            arrivals: 0,
            rejections: 0,
            accepted: (0, 0),
            load,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn is_burst(&self) -> bool {
        (BURST_AT..BURST_END).contains(&self.now)
    }

    fn is_slow(&self, server: usize) -> bool {
        self.now >= SLOW_AT && server >= self.load.servers - self.load.slow
    }

    fn run(mut self) -> Outcome {
        self.play();
        self.outcome()
    }

    fn play(&mut self) {
        for instance in 0..self.instances.len() {
            let after = HEARTBEAT.mul_f64(self.rng.random());
            self.schedule(after, Event::Heartbeat(instance));
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Sent => self.send(),
                Event::Heartbeat(instance) => self.report(instance),
                Event::Finished(call) => self.finish(call),
                Event::Answered(call) => self.answer(call),
                Event::Rejected(call) => self.reject(call),
            }
        }
    }

    /// Lets a caller send a call, and schedules the next one.
    fn send(&mut self) {
        if self.now >= END {
            return;
        }
        let factor = if self.is_burst() { self.load.burst } else { 1.0 };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (self.load.rate * factor);
        self.schedule(Duration::from_secs_f64(gap), Event::Sent);
        let mut instance = self.rng.random_range(0..self.load.instances);
        if self.load.is_uneven && self.rng.random_bool(LOCAL_BIAS) {
            instance -= instance % ZONES;
        }
        let (sent_at, attempts) = (self.now, Vec::new());
        self.calls.push(Call { instance, sent_at, attempts, attempted_at: sent_at, server: 0 });
        self.windows[sent_at.div_duration_f64(WINDOW) as usize].0 += 1;
        self.attempt(self.calls.len() - 1);
    }

    /// Lets an instance report to the coordinator, which is the first instance, and apply the answer.
    fn report(&mut self, instance: usize) {
        if self.now >= END {
            return;
        }
        self.schedule(HEARTBEAT, Event::Heartbeat(instance));
        let now = self.start + self.now;
        let (directory, loads) = &self.instances[instance];
        let report = loads.report(directory, now);
        self.reports += u32::from(!report.is_empty());
        let (directory, coordinator) = &self.instances[0];
        coordinator.receive(&instance.to_string(), report, now);
        let answer = coordinator.shares(directory, now);
        let (directory, loads) = &mut self.instances[instance];
        loads.apply(directory, &answer, now);
    }

    /// Has the call's instance choose a server, which accepts or rejects the call.
    fn attempt(&mut self, number: usize) {
        let now = self.start + self.now;
        let call = &mut self.calls[number];
        let directory = &mut self.instances[call.instance].0;
        let zone = format!("z-{}", call.instance % ZONES);
        let candidates = list_candidates(directory, "plain", &zone, &call.attempts, now);
        let Some(key) = choose_server(&candidates, &mut self.rng) else { return };
        let server = directory.get_mut(key).unwrap();
        server.in_flight += 1;
        server.load.start(now);
        call.attempts.push(key);
        call.attempted_at = self.now;
        let server = self.keys.iter().position(|known| *known == key).unwrap();
        call.server = server;
        let is_full =
            self.servers[server].running == SLOTS && self.servers[server].queue.len() == QUEUE;
        if self.is_burst() {
            self.arrivals += 1;
            self.rejections += u32::from(is_full);
        }
        if is_full {
            self.schedule(ROUND_TRIP, Event::Rejected(number));
            return;
        }
        if self.now > SLOW_AT + Duration::from_secs(1) && self.now < BURST_END {
            self.accepted.0 += u32::from(self.is_slow(server));
            self.accepted.1 += 1;
        }
        match self.servers[server].running < SLOTS {
            true => self.start_work(server, number),
            false => self.servers[server].queue.push_back(number),
        }
    }

    fn start_work(&mut self, server: usize, call: usize) {
        self.servers[server].running += 1;
        let tail = if self.rng.random_range(0..100) == 0 { 5 } else { 1 };
        let slowness = if self.is_slow(server) { 4 } else { 1 };
        self.schedule(self.load.work * tail * slowness, Event::Finished(call));
    }

    fn finish(&mut self, call: usize) {
        let server = self.calls[call].server;
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.start_work(server, next);
        }
        self.schedule(ROUND_TRIP, Event::Answered(call));
    }

    fn answer(&mut self, call: usize) {
        let call = &self.calls[call];
        let (key, now) = (self.keys[call.server], self.start + self.now);
        let directory = &mut self.instances[call.instance].0;
        let server = directory.get_mut(key).unwrap();
        server.in_flight -= 1;
        server.load.end(self.start + call.attempted_at);
        directory.record_success(key, now);
        directory.record_answer(key, self.now - call.attempted_at, now);
        if self.now - call.sent_at <= self.load.target {
            self.windows[call.sent_at.div_duration_f64(WINDOW) as usize].1 += 1;
        }
    }

    fn reject(&mut self, number: usize) {
        let call = &self.calls[number];
        let (key, now) = (self.keys[call.server], self.start + self.now);
        let directory = &mut self.instances[call.instance].0;
        let server = directory.get_mut(key).unwrap();
        server.in_flight -= 1;
        server.load.end(self.start + call.attempted_at);
        directory.record_full(key, now);
        if call.attempts.len() < MAX_ATTEMPTS {
            self.attempt(number);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = Outcome::default();
        let (mut sent, mut in_time) = (0, 0);
        for (index, window) in self.windows.iter().enumerate() {
            let end = WINDOW * (index as u32 + 1);
            if end > BURST_AT && end <= BURST_END {
                sent += window.0;
                in_time += window.1;
            }
            let is_usual = f64::from(window.1) >= f64::from(window.0) * USUAL_SHARE;
            if end > BURST_END && !is_usual {
                outcome.usual_after = end - BURST_END;
            }
        }
        outcome.in_time = f64::from(in_time) / f64::from(sent);
        outcome.rejected = f64::from(self.rejections) / f64::from(self.arrivals);
        let (slow, all) =
            (self.load.slow as f64 / 4.0, (self.load.servers - self.load.slow) as f64);
        let by_speed = slow / (slow + all);
        if by_speed > 0.0 {
            let share = f64::from(self.accepted.0) / f64::from(self.accepted.1);
            outcome.slow_share = share / by_speed;
        }
        outcome
    }
}

/// Number of runs with different random numbers.
const SEEDS: u64 = 5;
const MS: Duration = Duration::from_millis(1);

/// Three servers of equal speed; with a slow one the burst is as large as they can serve.
fn few_servers(slow: usize, burst: f64) -> Load {
    let (work, target) = (30 * MS, 150 * MS);
    Load { servers: 3, slow, instances: 59, rate: 200.0, burst, work, target, is_uneven: false }
}

/// Six servers, a fifth of them slow.
fn slow_server() -> Load {
    let (work, target) = (60 * MS, 300 * MS);
    Load {
        servers: 6,
        slow: 1,
        instances: 82,
        rate: 206.0,
        burst: 2.2,
        work,
        target,
        is_uneven: false,
    }
}

/// Ten servers and instances that see less than a call a second for each of them.
fn many_instances(slow: usize) -> Load {
    let (work, target) = (30 * MS, 150 * MS);
    Load {
        servers: 10,
        slow,
        instances: 295,
        rate: 667.0,
        burst: 2.2,
        work,
        target,
        is_uneven: false,
    }
}

fn uneven(load: Load) -> Load {
    Load { is_uneven: true, ..load }
}

fn loads() -> [(&'static str, Load); 9] {
    [
        ("3 servers, uneven", uneven(few_servers(0, 2.2))),
        ("6 servers, one slow, uneven", uneven(slow_server())),
        ("10 servers, uneven", uneven(many_instances(0))),
        ("10 servers, two slow, uneven", uneven(many_instances(2))),
        ("3 servers", few_servers(0, 2.2)),
        ("3 servers, one slow", few_servers(1, 1.7)),
        ("6 servers, one slow", slow_server()),
        ("10 servers", many_instances(0)),
        ("10 servers, two slow", many_instances(2)),
    ]
}

/// Guards the simulation itself: calls that no server has to reject are all answered.
#[test]
fn calls_below_the_capacity_of_equal_servers_are_in_time() {
    for (name, load) in loads() {
        if load.slow > 0 {
            continue;
        }
        let outcome = Simulation::new(Load { burst: 1.0, ..load }, 1).run();
        assert!(outcome.in_time > USUAL_SHARE, "{name}: {outcome:?}");
        assert!(outcome.rejected < 0.02, "{name}: {outcome:?}");
    }
}

/// Returns the mean of what callers get under a load with several seeds.
fn mean_outcome(load: Load) -> Outcome {
    let mut mean = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = Simulation::new(load, seed).run();
        mean.in_time += outcome.in_time / SEEDS as f64;
        mean.rejected += outcome.rejected / SEEDS as f64;
        mean.usual_after = mean.usual_after.max(outcome.usual_after);
        mean.slow_share += outcome.slow_share / SEEDS as f64;
    }
    mean
}

/// Guards against instances that together send a server more than it can run: those that share its calls evenly
/// while it is slow, and those that each try it again after a while.
#[test]
fn servers_fill_by_their_speed_in_a_burst() {
    for (name, load) in loads() {
        let outcome = mean_outcome(load);
        println!("{name}: {outcome:.3?}");
        assert!(outcome.rejected < 0.02, "{name}: {outcome:?}");
        assert!(outcome.usual_after <= Duration::from_secs(2), "{name}: {outcome:?}");
        let is_by_speed = (0.5..1.5).contains(&outcome.slow_share);
        assert!(load.slow == 0 || is_by_speed, "{name}: {outcome:?}");
    }
}

/// Guards the local zone's preference: without a sign of load nothing is exchanged or shared out.
#[test]
fn nothing_is_exchanged_under_light_load() {
    let mut simulation =
        Simulation::new(Load { burst: 0.2, rate: 100.0, ..few_servers(0, 1.0) }, 1);
    simulation.play();
    assert_eq!(simulation.reports, 0);
}
