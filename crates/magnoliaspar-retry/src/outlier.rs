//! Outlier detection: ejects failing servers of a pool.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::ServerName;

/// Ejects servers of one pool for a limited time when their calls fail more than those of others.
#[derive(Debug, Clone)]
pub struct OutlierDetector {
    cfg: OutlierConfig,
    servers: BTreeMap<ServerName, ServerRecord>,
    /// End of the current window; `None` before the first call.
    window_end: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct ServerRecord {
    /// Failures since the last success or ejection.
    consecutive_failures: u32,
    /// Successful calls in the current window.
    successes: u32,
    /// All calls in the current window.
    calls: u32,
    /// Factor of the ejection time; a window with a normal success rate lowers it by one.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    /// Creates a detector for a pool without servers.
    pub fn new(cfg: OutlierConfig) -> Self {
        Self { cfg, servers: BTreeMap::new(), window_end: None }
    }

    /// Adds a server to the pool; a known server keeps its record.
    pub fn add_server(&mut self, server: ServerName) {
        self.servers.entry(server).or_default();
    }

    /// Removes a server and its record from the pool.
    pub fn remove_server(&mut self, server: &ServerName) {
        self.servers.remove(server);
    }

    /// Records the outcome of a call and returns the ejections that it causes.
    pub fn record(&mut self, now: Instant, server: &ServerName, is_ok: bool) -> Vec<Ejection> {
        let mut ejections = self.close_window(now);
        let Some(record) = self.servers.get_mut(server) else { return ejections };
        record.calls += 1;
        if is_ok {
            record.successes += 1;
            record.consecutive_failures = 0;
            return ejections;
        }
        record.consecutive_failures += 1;
        if record.consecutive_failures >= self.cfg.consecutive_failures {
            ejections.extend(self.eject(now, server, EjectionCause::ConsecutiveFailures));
        }
        ejections
    }

    /// Returns true if a server is ejected at `now`.
    pub fn is_ejected(&self, now: Instant, server: &ServerName) -> bool {
        self.servers.get(server).is_some_and(|record| record.is_ejected(now))
    }

    /// If the window has ended, ejects servers with a low success rate and starts the next window.
    fn close_window(&mut self, now: Instant) -> Vec<Ejection> {
        let until = *self.window_end.get_or_insert(now + self.cfg.window);
        if now < until {
            return Vec::new();
        }
        self.window_end = Some(now + self.cfg.window);
        let threshold = self.success_threshold();
        let mut low = Vec::new();
        for (server, record) in &mut self.servers {
            let rate = record.success_rate(self.cfg.min_calls_per_window);
            let is_low =
                rate.is_some_and(|rate| threshold.is_some_and(|threshold| rate < threshold));
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

    /// Returns the success rate below which a server is an outlier, if enough servers have a rate.
    fn success_threshold(&self) -> Option<f64> {
        let mut rates = Vec::new();
        for record in self.servers.values() {
            rates.extend(record.success_rate(self.cfg.min_calls_per_window));
        }
        if rates.len() < self.cfg.min_servers_with_rate {
            return None;
        }
        // Unlike the mean, the median does not shift when a few servers fail.
        rates.sort_unstable_by(f64::total_cmp);
        Some(rates[rates.len() / 2] - self.cfg.max_success_rate_gap)
    }

    fn eject(
        &mut self,
        now: Instant,
        server: &ServerName,
        cause: EjectionCause,
    ) -> Option<Ejection> {
        let ejected = self.servers.values().filter(|record| record.is_ejected(now)).count();
        let max_ejected = self.servers.len() / 2;
        let record = self.servers.get_mut(server)?;
        record.consecutive_failures = 0;
        if record.is_ejected(now) || ejected >= max_ejected {
            return None;
        }
        record.ejections += 1;
        let duration =
            self.cfg.base_ejection.saturating_mul(record.ejections).min(self.cfg.max_ejection);
        record.ejected_until = Some(now + duration);
        Some(Ejection { server: server.clone(), cause, until: now + duration })
    }
}

impl ServerRecord {
    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn success_rate(&self, min_calls: u32) -> Option<f64> {
        if self.calls < min_calls {
            return None;
        }
        Some(f64::from(self.successes) / f64::from(self.calls))
    }
}

/// The ejection of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// The server.
    pub server: ServerName,
    /// The reason for the ejection.
    pub cause: EjectionCause,
    /// End of the ejection.
    pub until: Instant,
}

/// The reason for an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum EjectionCause {
    /// too many consecutive calls failed
    ConsecutiveFailures,
    /// the success rate is below that of the other servers
    SuccessRate,
}

/// Thresholds and durations of an [`OutlierDetector`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierConfig {
    /// Number of consecutive failures after which a server is ejected.
    pub consecutive_failures: u32,
    /// Period over which success rates are measured before they are compared.
    pub window: Duration,
    /// Minimum number of calls of a server in a window for its success rate to count.
    pub min_calls_per_window: u32,
    /// Minimum number of servers with a success rate for a comparison.
    pub min_servers_with_rate: usize,
    /// A server is ejected if its success rate is lower than the pool's median by more than this.
    pub max_success_rate_gap: f64,
    /// Duration of the first ejection; each further ejection lasts longer by this much.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            window: Duration::from_secs(10),
            min_calls_per_window: 20,
            min_servers_with_rate: 3,
            max_success_rate_gap: 0.25,
            base_ejection: Duration::from_secs(10),
            max_ejection: Duration::from_secs(300),
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
    fn repeated_ejections_last_longer() {
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
    fn a_server_with_a_low_success_rate_is_ejected() {
        let mut detector = detector(4);
        let start = Instant::now();
        let mut ejections = Vec::new();
        for call in 0..200 {
            let now = start + call * SECOND / 10;
            for index in 0..4 {
                // Server 2 fails two calls in three, but never five consecutive ones.
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
