//! Speeds of engines, learned from the completions that they run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Weight of a new sample. A busy engine gives some ten a second, so that a change is known within a second.
const SMOOTHING: f64 = 0.25;

/// Time after which an engine without a new sample counts as a usual one. One that got no work, since it was slow, is
/// tried again.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Bounds of the speed of an engine relative to the usual one, so that no sample takes an engine out of use or draws all
/// work to it.
const RELATIVE_BOUNDS: (f64, f64) = (0.2, 2.0);

/// Minimum duration of a prefill that is a sample. Shorter ones tell more of the messages than of the engine.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(20);

/// Minimum length of a prompt whose prefill is a sample, in tokens.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

/// Difference from the usual speed up to which an engine counts as a usual one. Without it, the noise of the samples would
/// decide between engines that are idle.
const NOISE: f64 = 0.1;

/// Relative speed below which an engine is reported to be slow, and above which it is not any more.
const SLOW_BOUNDS: (f64, f64) = (0.75, 0.85);

/// Speeds of the engines at one stage of completions.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    engines: BTreeMap<Box<str>, Speed>,
    /// Engines that are reported to be slow.
    slow: BTreeSet<Box<str>>,
}

/// The speed of an engine.
#[derive(Debug, Clone, Copy)]
struct Speed {
    tokens_per_ms: f64,
    measured_at: Instant,
}

impl EngineSpeeds {
    /// Adds a sample of the speed of an engine.
    pub fn add(&mut self, engine: &str, tokens_per_ms: f64, now: Instant) {
        let before = self.engines.get(engine).filter(|speed| speed.is_recent(now));
        let tokens_per_ms = match before {
            Some(speed) => speed.tokens_per_ms + SMOOTHING * (tokens_per_ms - speed.tokens_per_ms),
            None => tokens_per_ms,
        };
        self.engines.insert(engine.into(), Speed { tokens_per_ms, measured_at: now });
    }

    /// Adds the prefill of a prompt of `tokens` tokens, which was granted at `granted_at` and has finished now.
    pub fn add_prefill(&mut self, engine: &str, tokens: u64, granted_at: Instant, now: Instant) {
        // A prompt that was queued was begun when the one before it had finished.
        let previous = self.engines.get(engine).map(|speed| speed.measured_at);
        let began_at = previous.map_or(granted_at, |previous| previous.max(granted_at));
        let time = now.saturating_duration_since(began_at);
        if time >= MIN_SAMPLE_TIME && tokens >= MIN_SAMPLE_TOKENS {
            self.add(engine, tokens as f64 / (time.as_secs_f64() * 1_000.0), now);
        }
    }

    /// Forgets the engines without recent samples.
    pub fn expire(&mut self, now: Instant) {
        self.engines.retain(|_, speed| speed.is_recent(now));
    }

    /// Returns the engines that have become slow since the last call, or are no longer, and their relative speeds.
    pub fn take_changes(&mut self, now: Instant) -> Vec<(Box<str>, f64)> {
        let (slow, usual) = SLOW_BOUNDS;
        let relative = self.relative(now);
        let mut changes = Vec::new();
        for engine in self.slow.iter().chain(relative.engines.keys()) {
            let speed = relative.of(engine);
            let was_slow = self.slow.contains(engine);
            if speed < slow && !was_slow || speed > usual && was_slow {
                changes.push((engine.clone(), speed));
            }
        }
        changes.sort_by(|(one, _), (other, _)| one.cmp(other));
        changes.dedup();
        for (engine, speed) in &changes {
            match *speed < slow {
                true => self.slow.insert(engine.clone()),
                false => self.slow.remove(engine),
            };
        }
        changes
    }

    /// Returns the speed of each engine with recent samples relative to the usual one, which is their median.
    ///
    /// All samples include the time of messages, and so are comparable, though too low.
    pub fn relative(&self, now: Instant) -> RelativeSpeeds {
        let mut recent = Vec::new();
        for (engine, speed) in &self.engines {
            if speed.is_recent(now) {
                recent.push((engine.clone(), speed.tokens_per_ms));
            }
        }
        recent.sort_by(|(_, one), (_, other)| one.total_cmp(other));
        let usual = recent.get(recent.len() / 2).map_or(1.0, |(_, speed)| *speed);
        let (min, max) = RELATIVE_BOUNDS;
        let mut engines = BTreeMap::new();
        for (engine, speed) in recent {
            let relative = (speed / usual.max(f64::MIN_POSITIVE)).clamp(min, max);
            let is_usual = (relative - 1.0).abs() <= NOISE;
            engines.insert(engine, if is_usual { 1.0 } else { relative });
        }
        RelativeSpeeds { engines }
    }
}

impl Speed {
    fn is_recent(self, now: Instant) -> bool {
        now.saturating_duration_since(self.measured_at) < MAX_AGE
    }
}

/// Speeds of engines relative to the usual one.
#[derive(Debug, Clone, Default)]
pub struct RelativeSpeeds {
    engines: BTreeMap<Box<str>, f64>,
}

impl RelativeSpeeds {
    /// Returns the speed of an engine, 1 for one without samples.
    pub fn of(&self, engine: &str) -> f64 {
        self.engines.get(engine).copied().unwrap_or(1.0)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::EngineSpeeds;

    /// Guards against placing prompts for seconds as if an engine that has slowed down were a usual one.
    #[test]
    fn a_change_of_speed_is_known_within_a_second() {
        let start = Instant::now();
        let mut speeds = EngineSpeeds::default();
        for step in 0..20_u64 {
            let at = start + Duration::from_millis(100 * step);
            for engine in ["usual", "other", "slow"] {
                speeds.add_prefill(engine, 5_000, at, at + Duration::from_millis(90));
            }
        }
        assert_eq!(speeds.relative(start + Duration::from_secs(2)).of("slow"), 1.0);
        for step in 0..6_u64 {
            let at = start + Duration::from_millis(2_000 + 180 * step);
            for (engine, millis) in [("usual", 90), ("other", 90), ("slow", 180)] {
                speeds.add_prefill(engine, 5_000, at, at + Duration::from_millis(millis));
            }
        }
        let relative = speeds.relative(start + Duration::from_secs(3));
        assert!((0.45..0.65).contains(&relative.of("slow")), "{relative:?}");
        let changes = speeds.take_changes(start + Duration::from_secs(3));
        assert!(matches!(&*changes, [(engine, _)] if &**engine == "slow"), "{changes:?}");
        assert!(speeds.take_changes(start + Duration::from_secs(3)).is_empty());
        assert_eq!(relative.of("without samples"), 1.0);
        let later = speeds.relative(start + Duration::from_secs(9));
        assert_eq!(later.of("slow"), 1.0, "it is tried again");
        assert_eq!(speeds.take_changes(start + Duration::from_secs(9)), [("slow".into(), 1.0)]);
    }

    #[test]
    fn the_wait_in_the_queue_of_an_engine_does_not_make_it_slow() {
        let start = Instant::now();
        let mut speeds = EngineSpeeds::default();
        for prompt in 1..=10 {
            let finished = start + Duration::from_millis(100 * prompt);
            speeds.add_prefill("queued", 5_000, start, finished);
            speeds.add_prefill("idle", 5_000, finished - Duration::from_millis(100), finished);
        }
        let relative = speeds.relative(start + Duration::from_secs(1));
        assert!((0.9..1.1).contains(&relative.of("queued")), "{relative:?}");
    }

    #[test]
    fn short_prompts_and_prefills_that_take_no_longer_than_a_message_are_no_samples() {
        let now = Instant::now();
        let mut speeds = EngineSpeeds::default();
        speeds.add_prefill("usual", 5_000, now, now + Duration::from_millis(100));
        speeds.add_prefill("other", 5_000, now, now + Duration::from_millis(1));
        speeds.add_prefill("other", 5_000, now, now + Duration::from_millis(15));
        speeds.add_prefill("other", 100, now, now + Duration::from_millis(50));
        assert_eq!(speeds.relative(now + Duration::from_millis(100)).of("other"), 1.0);
    }
}
