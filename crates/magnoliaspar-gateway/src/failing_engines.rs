//! Engines that several instances recently failed to use.
//!
//! An engine that drops or refuses requests looks empty to the coordinator, which would otherwise
//! grant it to one instance after another until each of them had failed on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_retry::Backoff;

use crate::reservations::InstanceId;

/// Number of instances that must report an engine; a single one may be cut off from it.
const MIN_REPORTERS: usize = 2;

/// Maximum age of a report when the others arrive.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Duration for which a failing engine is avoided; it doubles each consecutive time.
const AVOIDANCE_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(500), longest: Duration::from_secs(2) };

/// Time after the last avoidance at which the failure count of an engine is reset.
const RESET_AFTER: Duration = Duration::from_secs(2);

/// Time after the last refusal of an engine at which its refusals are forgotten; longer than any avoidance.
const REJECTIONS_MAX_AGE: Duration = Duration::from_secs(5);

/// Number of completions in a row that an engine refuses before it is avoided. A single one may have been
/// granted before others had reported that they use the engine.
const MIN_REJECTIONS: u32 = 2;

/// Reported failures by engine identifier.
#[derive(Debug, Default)]
pub struct FailingEngines {
    engines: BTreeMap<Box<str>, Reports>,
    rejections: BTreeMap<Box<str>, Rejections>,
}

/// Completions that an engine has refused since it last started one.
#[derive(Debug)]
struct Rejections {
    /// Number of refusals since the last avoidance.
    count: u32,
    last_at: Instant,
    consecutive_avoidances: u32,
    avoided_until: Instant,
}

#[derive(Debug)]
struct Reports {
    /// Time of the last failure that each instance reported.
    last_failure_by_instance: BTreeMap<InstanceId, Instant>,
    consecutive_avoidances: u32,
    avoided_until: Instant,
}

impl FailingEngines {
    /// Records that an instance could not use an engine.
    ///
    /// Returns the duration of the avoidance if this report starts one.
    pub fn report(&mut self, engine: &str, instance: &str, now: Instant) -> Option<Duration> {
        self.engines.retain(|_, reports| now < reports.avoided_until + RESET_AFTER);
        let reports = self.engines.entry(engine.into()).or_insert_with(|| Reports {
            last_failure_by_instance: BTreeMap::new(),
            consecutive_avoidances: 0,
            avoided_until: now,
        });
        if now < reports.avoided_until {
            return None;
        }
        reports
            .last_failure_by_instance
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_MAX_AGE);
        reports.last_failure_by_instance.insert(instance.into(), now);
        if reports.last_failure_by_instance.len() < MIN_REPORTERS {
            return None;
        }
        reports.last_failure_by_instance.clear();
        let avoidance = AVOIDANCE_BACKOFF.ceiling(reports.consecutive_avoidances);
        reports.consecutive_avoidances += 1;
        reports.avoided_until = now + avoidance;
        Some(avoidance)
    }

    /// Records that an engine has refused a completion that it was granted for. It says so itself, so that one
    /// report is enough.
    ///
    /// Returns the duration of the avoidance if this report starts one.
    pub fn report_rejection(&mut self, engine: &str, now: Instant) -> Option<Duration> {
        self.rejections.retain(|_, rejections| now < rejections.last_at + REJECTIONS_MAX_AGE);
        let rejections = self.rejections.entry(engine.into()).or_insert_with(|| Rejections {
            count: 0,
            last_at: now,
            consecutive_avoidances: 0,
            avoided_until: now,
        });
        rejections.last_at = now;
        if now < rejections.avoided_until {
            return None;
        }
        rejections.count += 1;
        if rejections.count < MIN_REJECTIONS {
            return None;
        }
        rejections.count = 0;
        let avoidance = AVOIDANCE_BACKOFF.ceiling(rejections.consecutive_avoidances);
        rejections.consecutive_avoidances += 1;
        rejections.avoided_until = now + avoidance;
        Some(avoidance)
    }

    /// Records that a completion has started on an engine, which so accepts some.
    pub fn record_start(&mut self, engine: &str) {
        let Some(rejections) = self.rejections.get_mut(engine) else { return };
        (rejections.count, rejections.consecutive_avoidances) = (0, 0);
    }

    /// Returns whether an engine should not be chosen while there are others.
    pub fn is_avoided(&self, engine: &str, now: Instant) -> bool {
        let fails = self.engines.get(engine).is_some_and(|reports| now < reports.avoided_until);
        let rejections = self.rejections.get(engine);
        fails || rejections.is_some_and(|rejections| now < rejections.avoided_until)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::FailingEngines;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn one_instance_alone_keeps_no_engine_from_the_others() {
        let start = Instant::now();
        let mut failing_engines = FailingEngines::default();
        for round in 0..20 {
            assert_eq!(failing_engines.report("e", "one", start + 100 * MS * round), None);
        }
        assert!(!failing_engines.is_avoided("e", start + 2_000 * MS));
        assert_eq!(failing_engines.report("e", "two", start + 4_000 * MS), None);
    }

    #[test]
    fn an_engine_that_fails_for_two_instances_is_avoided_for_longer_each_time() {
        let start = Instant::now();
        let mut failing_engines = FailingEngines::default();
        let mut now = start;
        for expected in [500, 1_000, 2_000, 2_000] {
            assert_eq!(failing_engines.report("e", "one", now), None);
            let avoided = failing_engines.report("e", "two", now + MS);
            assert_eq!(avoided, Some(expected * MS));
            assert!(failing_engines.is_avoided("e", now + expected * MS));
            // Calls that were in flight when the avoidance started do not count again.
            assert_eq!(failing_engines.report("e", "three", now + 2 * MS), None);
            now += expected * MS + 2 * MS;
            assert!(!failing_engines.is_avoided("e", now));
        }
        now += 2_500 * MS;
        assert_eq!(failing_engines.report("e", "one", now), None);
        assert_eq!(failing_engines.report("e", "two", now), Some(500 * MS));
    }

    #[test]
    fn an_engine_that_refuses_everything_is_avoided_for_longer_until_it_starts_a_completion() {
        let start = Instant::now();
        let mut failing_engines = FailingEngines::default();
        let mut now = start;
        for expected in [500, 1_000, 2_000, 2_000] {
            assert_eq!(failing_engines.report_rejection("e", now), None);
            assert_eq!(failing_engines.report_rejection("e", now + MS), Some(expected * MS));
            // Completions that were granted before are refused, too.
            assert_eq!(failing_engines.report_rejection("e", now + 2 * MS), None);
            assert!(failing_engines.is_avoided("e", now + expected * MS));
            now += expected * MS + 2 * MS;
            assert!(!failing_engines.is_avoided("e", now));
        }
        failing_engines.record_start("e");
        assert_eq!(failing_engines.report_rejection("e", now), None);
        failing_engines.record_start("e");
        assert_eq!(failing_engines.report_rejection("e", now), None);
        assert_eq!(failing_engines.report_rejection("e", now), Some(500 * MS));
    }
}
