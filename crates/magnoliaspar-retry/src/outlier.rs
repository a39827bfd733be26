use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::ServerName;

/// Takes servers of one pool out of use for a while when their calls fail more than others'.
#[derive(Debug, Clone)]
pub struct OutlierDetector {
    cfg: OutlierConfig,
    servers: BTreeMap<ServerName, Record>,
    window_until: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failures_in_a_row: u32,
    successes: u32,
    calls: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    /// Creates a detector for a pool without servers.
    pub fn new(cfg: OutlierConfig) -> Self {
        Self { cfg, servers: BTreeMap::new(), window_until: None }
    }

    /// Takes in that a server belongs to the pool.
    pub fn add_server(&mut self, server: ServerName) {
        self.servers.entry(server).or_default();
    }

    /// Forgets a server.
    pub fn remove_server(&mut self, server: &ServerName) {
        self.servers.remove(server);
    }

    /// Takes in the outcome of a call and returns the ejections that follow.
    pub fn record(&mut self, now: Instant, server: &ServerName, is_ok: bool) -> Vec<Ejection> {
        let mut ejections = self.close_window(now);
        let Some(record) = self.servers.get_mut(server) else { return ejections };
        record.calls += 1;
        if is_ok {
            record.successes += 1;
            record.failures_in_a_row = 0;
            return ejections;
        }
        record.failures_in_a_row += 1;
        if record.failures_in_a_row >= self.cfg.failures_in_a_row {
            ejections.extend(self.eject(now, server, EjectionCause::FailuresInARow));
        }
        ejections
    }

    /// Whether a server is out of use.
    pub fn is_ejected(&self, now: Instant, server: &ServerName) -> bool {
        self.servers.get(server).is_some_and(|record| record.is_ejected(now))
    }

    /// Compares the success rates of a window that has ended, and starts the next one.
    fn close_window(&mut self, now: Instant) -> Vec<Ejection> {
        let until = *self.window_until.get_or_insert(now + self.cfg.window);
        if now < until {
            return Vec::new();
        }
        self.window_until = Some(now + self.cfg.window);
        let threshold = self.success_threshold();
        let mut low = Vec::new();
        for (server, record) in &mut self.servers {
            let rate = record.success_rate(self.cfg.calls_in_window);
            let is_low = rate.is_some_and(|rate| threshold.is_some_and(|limit| rate < limit));
            if is_low {
                low.push(server.clone());
            } else if rate.is_some() && !record.is_ejected(now) {
                record.ejections = record.ejections.saturating_sub(1);
            }
            record.calls = 0;
            record.successes = 0;
        }
        let mut ejections = Vec::new();
        for server in low {
            ejections.extend(self.eject(now, &server, EjectionCause::SuccessRate));
        }
        ejections
    }

    /// Returns the success rate below which a server stands out from the pool.
    fn success_threshold(&self) -> Option<f64> {
        let mut rates = Vec::new();
        for record in self.servers.values() {
            rates.extend(record.success_rate(self.cfg.calls_in_window));
        }
        if rates.len() < self.cfg.servers_to_compare {
            return None;
        }
        // The median does not move when a few servers fail, as a mean would.
        rates.sort_unstable_by(f64::total_cmp);
        Some(rates[rates.len() / 2] - self.cfg.success_gap)
    }

    fn eject(
        &mut self,
        now: Instant,
        server: &ServerName,
        cause: EjectionCause,
    ) -> Option<Ejection> {
        let ejected = self.servers.values().filter(|record| record.is_ejected(now)).count();
        let limit = self.servers.len() / 2;
        let record = self.servers.get_mut(server)?;
        record.failures_in_a_row = 0;
        if record.is_ejected(now) || ejected >= limit {
            return None;
        }
        record.ejections += 1;
        let time = self.cfg.ejection.saturating_mul(record.ejections).min(self.cfg.ejection_limit);
        record.ejected_until = Some(now + time);
        Some(Ejection { server: server.clone(), cause, until: now + time })
    }
}

impl Record {
    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn success_rate(&self, least_calls: u32) -> Option<f64> {
        if self.calls < least_calls {
            return None;
        }
        Some(f64::from(self.successes) / f64::from(self.calls))
    }
}

/// A server that is taken out of use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// The server.
    pub server: ServerName,
    /// Why.
    pub cause: EjectionCause,
    /// When it comes back into use.
    pub until: Instant,
}

/// Why a server is taken out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum EjectionCause {
    /// several calls in a row failed
    FailuresInARow,
    /// fewer of its calls succeed than of the other servers'
    SuccessRate,
}

/// When servers are taken out of use, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierConfig {
    /// After how many failures in a row a server is ejected.
    pub failures_in_a_row: u32,
    /// How long success rates are counted before they are compared.
    pub window: Duration,
    /// How many calls in a window a rate needs.
    pub calls_in_window: u32,
    /// How many servers with a rate a comparison needs.
    pub servers_to_compare: usize,
    /// By how much a success rate must lie below the median of the pool.
    pub success_gap: f64,
    /// How long the first ejection lasts; each further one lasts as much longer.
    pub ejection: Duration,
    /// The longest ejection.
    pub ejection_limit: Duration,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            failures_in_a_row: 5,
            window: Duration::from_secs(10),
            calls_in_window: 20,
            servers_to_compare: 3,
            success_gap: 0.25,
            ejection: Duration::from_secs(10),
            ejection_limit: Duration::from_secs(300),
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::ServerName;
    use proptest::prelude::{ProptestConfig, any, proptest};
    use proptest::test_runner::RngSeed;

    use super::{EjectionCause, OutlierConfig, OutlierDetector};

    const SECOND: Duration = Duration::from_secs(1);

    fn name(index: usize) -> ServerName {
        ServerName::try_from(format!("s-{index}").as_str()).unwrap()
    }

    fn detector(servers: usize) -> OutlierDetector {
        let mut detector = OutlierDetector::new(OutlierConfig::default());
        for index in 0..servers {
            detector.add_server(name(index));
        }
        detector
    }

    #[test]
    fn ejections_grow_longer() {
        let mut detector = detector(4);
        let mut now = Instant::now();
        for round in 1..=3 {
            let mut ejections = Vec::new();
            for _ in 0..5 {
                ejections.extend(detector.record(now, &name(0), false));
            }
            assert_eq!(ejections.len(), 1);
            assert_eq!(ejections[0].until, now + round * 10 * SECOND);
            now = ejections[0].until;
            assert!(!detector.is_ejected(now, &name(0)));
        }
    }

    #[test]
    fn a_low_success_rate_stands_out() {
        let mut detector = detector(4);
        let start = Instant::now();
        let mut ejections = Vec::new();
        for call in 0..200 {
            let now = start + call * SECOND / 10;
            for index in 0..4 {
                // Server 2 fails two calls in three, but never five in a row.
                let is_ok = index != 2 || call % 3 == 0;
                ejections.extend(detector.record(now, &name(index), is_ok));
            }
        }
        assert_eq!(ejections[0].server, name(2));
        assert_eq!(ejections[0].cause, EjectionCause::SuccessRate);
        assert!(ejections.iter().all(|ejection| ejection.server == name(2)));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 64,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(59),
            ..ProptestConfig::default()
        })]

        #[test]
        fn never_more_than_half_of_a_pool_is_ejected(
            servers in 1..9_usize,
            calls in proptest::collection::vec((any::<usize>(), any::<bool>(), 0..900_u64), 500),
        ) {
            let mut detector = detector(servers);
            let mut now = Instant::now();
            for (server, is_ok, millis) in calls {
                now += Duration::from_millis(millis);
                // Most calls fail.
                detector.record(now, &name(server % servers), is_ok && server % 7 == 0);
                let ejected = (0..servers).filter(|i| detector.is_ejected(now, &name(*i))).count();
                assert!(2 * ejected <= servers, "{ejected} of {servers}");
            }
        }
    }
}
