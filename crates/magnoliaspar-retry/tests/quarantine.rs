//! Requests that crash servers are kept out, and all others get through.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{RouteName, ServerName};
use magnoliaspar_retry::{Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

const HOMES: usize = 2;
const SERVERS_PER_HOME: usize = 3;
const SLOTS: usize = 4;

/// The longest way of a message between homes, in steps.
const LONGEST_DELAY: u64 = 3;

/// After how many steps a caller sends a request again, which is longer than any message takes.
const RESEND_DELAY: u64 = 5;

/// How many further crashes a culprit may cause after its first one.
const FURTHER_CRASHES: u32 = 2;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(61),
        ..ProptestConfig::default()
    })]

    #[test]
    fn culprits_are_refused_and_innocents_finish(
        seed in any::<u64>(),
        culprits in 1..4_u64,
        innocents in 1..30_u64,
    ) {
        let mut pools = Pools::new(seed, culprits, innocents);
        for _ in 0..4000 {
            pools.step();
            if pools.waiting.is_empty() && pools.running.is_empty() {
                break;
            }
        }
        assert!(pools.waiting.is_empty() && pools.running.is_empty(), "some requests never end");
        for (request, crashes) in &pools.crashes {
            assert!(*crashes <= 1 + FURTHER_CRASHES, "request {request} crashed {crashes} servers");
        }
        for request in &pools.refused {
            assert!(*request < culprits, "innocent request {request} is refused");
        }
        pools.settle();
        for entry in pools.homes.iter().flat_map(Quarantine::entries) {
            assert!(entry.fingerprint.0 < culprits, "{entry:?} is innocent and not cleared");
            assert_eq!(entry.admission, Admission::Refused);
        }
    }
}

/// Two homes with servers of their own, which tell each other of suspects with a delay.
struct Pools {
    rng: StdRng,
    now: Instant,
    hlc: u64,
    homes: Vec<Quarantine>,
    culprits: u64,
    /// The requests that wait, and from which step on they are sent.
    waiting: BTreeMap<u64, u64>,
    running: BTreeMap<u64, Place>,
    refused: BTreeSet<u64>,
    crashes: BTreeMap<u64, u32>,
    wires: Vec<(u64, usize, QuarantineDelta)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Place {
    home: usize,
    server: usize,
    is_apart: bool,
}

impl Pools {
    fn new(seed: u64, culprits: u64, innocents: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            hlc: 0,
            homes: vec![Quarantine::new(QuarantineConfig::default()); HOMES],
            culprits,
            waiting: (0..culprits + innocents).map(|request| (request, 0)).collect(),
            running: BTreeMap::new(),
            refused: BTreeSet::new(),
            crashes: BTreeMap::new(),
            wires: Vec::new(),
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

    /// Sends a waiting request to a home of its caller's choice.
    fn dispatch(&mut self) {
        let sent = self.waiting.iter().filter(|(_, from)| **from <= self.hlc);
        let Some((request, _)) = sent.choose(&mut self.rng) else { return };
        let request = *request;
        let home = self.rng.random_range(0..HOMES);
        let fingerprint = self.fingerprint(request);
        let admission = self.homes[home].admit(self.now, fingerprint);
        if admission == Admission::Refused {
            self.waiting.remove(&request);
            self.refused.insert(request);
            return;
        }
        let is_apart = admission == Admission::Apart;
        let server = self.rng.random_range(0..SERVERS_PER_HOME);
        let beside: Vec<_> = self.on_server(home, server).collect();
        let is_closed = beside.iter().any(|place| place.is_apart) || beside.len() == SLOTS;
        if is_closed || is_apart && !beside.is_empty() {
            return;
        }
        self.waiting.remove(&request);
        self.running.insert(request, Place { home, server, is_apart });
        self.homes[home].started(&name(home, server), fingerprint, is_apart);
    }

    /// Lets a running request end: an innocent finishes, a culprit crashes its server.
    fn advance(&mut self) {
        let Some(request) = self.running.keys().copied().choose(&mut self.rng) else { return };
        let place = self.running[&request];
        let server = name(place.home, place.server);
        let (now, hlc) = (self.now, self.hlc);
        let fingerprint = self.fingerprint(request);
        let home = &mut self.homes[place.home];
        if request >= self.culprits {
            self.running.remove(&request);
            home.finished(now, hlc, &server, fingerprint);
            return;
        }
        home.crashed(now, hlc, &server);
        *self.crashes.entry(request).or_default() += 1;
        let is_lost = |other: &Place| (other.home, other.server) == (place.home, place.server);
        let lost: Vec<_> =
            self.running.iter().filter(|(_, p)| is_lost(p)).map(|(r, _)| *r).collect();
        for request in lost {
            self.running.remove(&request);
            self.waiting.insert(request, self.hlc + RESEND_DELAY);
        }
    }

    /// Passes on what the homes learned, late, out of order and sometimes twice.
    fn exchange(&mut self) {
        for home in 0..HOMES {
            for delta in self.homes[home].take_deltas(64) {
                for _ in 0..self.rng.random_range(1..3) {
                    let at = self.hlc + self.rng.random_range(0..=LONGEST_DELAY);
                    self.wires.push((at, (home + 1) % HOMES, delta));
                }
            }
        }
        for (at, home, delta) in std::mem::take(&mut self.wires) {
            if at > self.hlc {
                self.wires.push((at, home, delta));
                continue;
            }
            self.homes[home].merge(self.now, &delta);
        }
    }

    /// Lets all messages arrive.
    fn settle(&mut self) {
        for _ in 0..4 * LONGEST_DELAY {
            self.hlc += 1;
            self.exchange();
        }
    }

    /// Returns the fingerprint of a request; two innocent requests share one.
    fn fingerprint(&self, request: u64) -> Fingerprint {
        match request < self.culprits {
            true => Fingerprint(request),
            false => Fingerprint(self.culprits + (request - self.culprits) / 2),
        }
    }

    fn on_server(&self, home: usize, server: usize) -> impl Iterator<Item = &Place> {
        let is_there = move |place: &&Place| (place.home, place.server) == (home, server);
        self.running.values().filter(is_there)
    }
}

#[test]
fn an_operator_releases_and_time_forgets() {
    let start = Instant::now();
    let cfg = QuarantineConfig { entries: 8, expiry: Duration::from_secs(60) };
    let mut quarantine = Quarantine::new(cfg);
    let route = RouteName::try_from("summary").unwrap();
    let print = Fingerprint::of(&route, b"an order sheet");
    quarantine.refuse(start, 1, print);
    assert_eq!(quarantine.admit(start, print), Admission::Refused);
    quarantine.release(start, 2, print);
    assert_eq!(quarantine.admit(start, print), Admission::Free);
    // A crash that an instance tells late is from before the release.
    let late = QuarantineDelta { fingerprint: print, crashes: 2, hlc: 1, released: false };
    quarantine.merge(start, &late);
    assert_eq!(quarantine.admit(start, print), Admission::Free);
    quarantine.refuse(start, 3, print);
    for suspect in 0..100 {
        quarantine.started(&name(0, 0), Fingerprint(suspect), false);
        quarantine.crashed(start, 4 + suspect, &name(0, 0));
    }
    assert_eq!(quarantine.entries().len(), 8);
    assert_eq!(quarantine.admit(start, print), Admission::Refused);
    assert_eq!(quarantine.admit(start + cfg.expiry, print), Admission::Free);
}

fn name(home: usize, server: usize) -> ServerName {
    ServerName::try_from(format!("s-{home}-{server}").as_str()).unwrap()
}
