//! The quarantine refuses requests that crash servers, and no others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{RouteName, ServerName};
use magnoliaspar_retry::{Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 2;
const SERVERS_PER_INSTANCE: usize = 3;
const SLOTS: usize = 4;

/// Maximum delay of a message between instances, in steps.
const MAX_MESSAGE_DELAY: u64 = 3;

/// Steps after which a caller sends a request again; longer than any message takes.
const RESEND_DELAY: u64 = 5;

/// Maximum number of crashes that a crashing request may cause after its first one.
const FURTHER_CRASHES: u32 = 2;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(61),
        ..ProptestConfig::default()
    })]

    #[test]
    fn crashing_requests_are_refused_and_harmless_ones_finish(
        seed in any::<u64>(),
        crashing in 1..4_u64,
        harmless in 1..30_u64,
    ) {
        let mut sim = Simulation::new(seed, crashing, harmless);
        for _ in 0..4000 {
            sim.step();
            if sim.waiting.is_empty() && sim.running.is_empty() {
                break;
            }
        }
        assert!(sim.waiting.is_empty() && sim.running.is_empty(), "some requests never end");
        for (request, crashes) in &sim.crashes {
            assert!(*crashes <= 1 + FURTHER_CRASHES, "request {request} crashed {crashes} servers");
        }
        for request in &sim.refused {
            assert!(*request < crashing, "harmless request {request} is refused");
        }
        sim.deliver_all();
        for entry in sim.instances.iter().flat_map(Quarantine::entries) {
            assert!(entry.fingerprint.0 < crashing, "{entry:?} is harmless and not cleared");
            assert_eq!(entry.admission, Admission::Refused);
        }
    }
}

/// Instances with a pool of servers each, which exchange quarantine deltas with a delay.
struct Simulation {
    rng: StdRng,
    now: Instant,
    hlc: u64,
    instances: Vec<Quarantine>,
    /// Number of requests that crash their server. They have the lowest request numbers.
    crashing: u64,
    /// The waiting requests, and the step from which each may be sent.
    waiting: BTreeMap<u64, u64>,
    running: BTreeMap<u64, Placement>,
    refused: BTreeSet<u64>,
    /// Number of servers that each request has crashed.
    crashes: BTreeMap<u64, u32>,
    /// Deltas in flight: step of arrival, receiving instance and content.
    messages: Vec<(u64, usize, QuarantineDelta)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Placement {
    instance: usize,
    server: usize,
    is_isolated: bool,
}

impl Simulation {
    fn new(seed: u64, crashing: u64, harmless: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            hlc: 0,
            instances: vec![Quarantine::new(QuarantineConfig::default()); INSTANCES],
            crashing,
            waiting: (0..crashing + harmless).map(|request| (request, 0)).collect(),
            running: BTreeMap::new(),
            refused: BTreeSet::new(),
            crashes: BTreeMap::new(),
            messages: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(100);
        self.hlc += 1;
        self.exchange();
        match self.rng.random_range(0..3) {
            0 | 1 => self.dispatch(),
            _ => self.advance(),
        }
    }

    /// Sends a random waiting request to a random instance.
    fn dispatch(&mut self) {
        let sent = self.waiting.iter().filter(|(_, from)| **from <= self.hlc);
        let Some((request, _)) = sent.choose(&mut self.rng) else { return };
        let request = *request;
        let instance = self.rng.random_range(0..INSTANCES);
        let fingerprint = self.fingerprint(request);
        let admission = self.instances[instance].admit(self.now, fingerprint);
        if admission == Admission::Refused {
            self.waiting.remove(&request);
            self.refused.insert(request);
            return;
        }
        let is_isolated = admission == Admission::Isolated;
        let server = self.rng.random_range(0..SERVERS_PER_INSTANCE);
        let running_there: Vec<_> = self.placements_on(instance, server).collect();
        let is_closed = running_there.iter().any(|placement| placement.is_isolated)
            || running_there.len() == SLOTS;
        if is_closed || is_isolated && !running_there.is_empty() {
            return;
        }
        self.waiting.remove(&request);
        self.running.insert(request, Placement { instance, server, is_isolated });
        self.instances[instance].started(&name(instance, server), fingerprint, is_isolated);
    }

    /// Ends a random running request: a harmless one finishes, a crashing one crashes its server.
    fn advance(&mut self) {
        let Some(request) = self.running.keys().copied().choose(&mut self.rng) else { return };
        let placement = self.running[&request];
        let server = name(placement.instance, placement.server);
        let (now, hlc) = (self.now, self.hlc);
        let fingerprint = self.fingerprint(request);
        let instance = &mut self.instances[placement.instance];
        if request >= self.crashing {
            self.running.remove(&request);
            instance.finished(now, hlc, &server, fingerprint);
            return;
        }
        instance.crashed(now, hlc, &server);
        *self.crashes.entry(request).or_default() += 1;
        let is_lost = |other: &Placement| {
            (other.instance, other.server) == (placement.instance, placement.server)
        };
        let lost: Vec<_> =
            self.running.iter().filter(|(_, p)| is_lost(p)).map(|(r, _)| *r).collect();
        for request in lost {
            self.running.remove(&request);
            self.waiting.insert(request, self.hlc + RESEND_DELAY);
        }
    }

    /// Delivers deltas between the instances: late, out of order and sometimes twice.
    fn exchange(&mut self) {
        for instance in 0..INSTANCES {
            for delta in self.instances[instance].take_deltas(64) {
                for _ in 0..self.rng.random_range(1..3) {
                    let at = self.hlc + self.rng.random_range(0..=MAX_MESSAGE_DELAY);
                    self.messages.push((at, (instance + 1) % INSTANCES, delta));
                }
            }
        }
        for (at, instance, delta) in std::mem::take(&mut self.messages) {
            if at > self.hlc {
                self.messages.push((at, instance, delta));
                continue;
            }
            self.instances[instance].merge(self.now, &delta);
        }
    }

    /// Runs until all messages have arrived.
    fn deliver_all(&mut self) {
        for _ in 0..4 * MAX_MESSAGE_DELAY {
            self.hlc += 1;
            self.exchange();
        }
    }

    /// Returns the fingerprint of a request; each two harmless requests share one.
    fn fingerprint(&self, request: u64) -> Fingerprint {
        match request < self.crashing {
            true => Fingerprint(request),
            false => Fingerprint(self.crashing + (request - self.crashing) / 2),
        }
    }

    fn placements_on(&self, instance: usize, server: usize) -> impl Iterator<Item = &Placement> {
        let is_on_server = move |placement: &&Placement| {
            (placement.instance, placement.server) == (instance, server)
        };
        self.running.values().filter(is_on_server)
    }
}

#[test]
fn fingerprints_are_released_by_operators_and_by_expiry() {
    let start = Instant::now();
    let cfg = QuarantineConfig { max_entries: 8, ttl: Duration::from_secs(60) };
    let mut quarantine = Quarantine::new(cfg);
    let route = RouteName::try_from("summary").unwrap();
    let fingerprint = Fingerprint::of(&route, b"an order sheet");
    quarantine.refuse(start, 1, fingerprint);
    assert_eq!(quarantine.admit(start, fingerprint), Admission::Refused);
    quarantine.release(start, 2, fingerprint);
    assert_eq!(quarantine.admit(start, fingerprint), Admission::Free);
    // A delta that arrives late reports a crash from before the release.
    let late = QuarantineDelta { fingerprint, crashes: 2, hlc: 1, released: false };
    quarantine.merge(start, &late);
    assert_eq!(quarantine.admit(start, fingerprint), Admission::Free);
    quarantine.refuse(start, 3, fingerprint);
    for suspect in 0..100 {
        quarantine.started(&name(0, 0), Fingerprint(suspect), false);
        quarantine.crashed(start, 4 + suspect, &name(0, 0));
    }
    assert_eq!(quarantine.entries().len(), 8);
    assert_eq!(quarantine.admit(start, fingerprint), Admission::Refused);
    assert_eq!(quarantine.admit(start + cfg.ttl, fingerprint), Admission::Free);
}

fn name(instance: usize, server: usize) -> ServerName {
    ServerName::try_from(format!("s-{instance}-{server}").as_str()).unwrap()
}
