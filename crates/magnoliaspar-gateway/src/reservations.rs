//! Reservations of engine memory by all instances, and the load that they predict.
//!
//! An engine that runs out of memory preempts a request and has to prefill its prompt again. Each
//! instance therefore reserves memory for a completion before it starts, and reports its
//! reservations to the coordinators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::engine_speeds::{EngineSpeeds, RelativeSpeeds};

/// Maximum time until a grant appears in the report of the instance that requested it.
const GRANT_DELIVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time after which the reservations of an instance that sends no reports expire.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Maximum share of an engine's memory that may be reserved. The rest covers underestimated output
/// lengths and reservations that cross on the network.
const MAX_FILL: f64 = 0.9;

/// Ratio of the mean output length to the caller's estimate. The estimate is correct at the median,
/// and lengths are log-normal around it with a deviation of about one half.
const MEAN_TO_MEDIAN: f64 = 1.13;

/// Lower bound of the expected remaining output of a completion that is close to its mean length,
/// as a share of the tokens already generated; it follows from the same distribution.
const MIN_REMAINING_RATIO: f64 = 0.4;

/// Decode speed of one request until events give a sample, in tokens per millisecond.
const DEFAULT_TOKENS_PER_MS: f64 = 1.3;

/// Lower bound of the decode speed in predictions, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// Weight of a new sample in the decode speed that is assumed for new completions.
const SPEED_SMOOTHING: f64 = 0.02;

/// Weight of a new sample in the decode speed of its own stream.
const STREAM_SPEED_SMOOTHING: f64 = 0.3;

/// Number of samples from which on the decode speed counts as known.
const MIN_SPEED_SAMPLES: u64 = 20;

/// Minimum time between two events for a speed sample, in milliseconds.
const MIN_SAMPLE_MS: f64 = 5.0;

/// Window over which the completion rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Name of an instance.
pub type InstanceId = Box<str>;

/// Number of a reservation, unique within its instance.
pub type ReservationId = u64;

/// Engine memory reserved for a completion, and its pending prefill.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The decode engine.
    pub decode: Box<str>,
    /// The prefill engine; `None` once the prefill has finished.
    pub prefill: Option<Box<str>>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that the prefill engine is expected not to hold.
    pub prefill_tokens: u64,
    /// Expected number of output tokens.
    pub expected_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// The time at which the first token is generated, or is expected to be.
    pub starts_at: Instant,
    /// The time at which this instance recorded the reservation.
    pub reserved_at: Instant,
    /// The time at which this instance granted the engines as coordinator; `None` if another one did.
    pub granted_at: Option<Instant>,
    /// The last reported progress; `None` before the first output token.
    pub progress: Option<Progress>,
}

/// Progress of a completion at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// The time of the report.
    pub at: Instant,
    /// Number of output tokens generated so far.
    pub tokens: u64,
    /// Decode speed, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Whether the speed is that of the stream's own events, rather than the mean of other streams.
    pub is_own_speed: bool,
}

/// The reservations of all instances.
#[derive(Debug)]
pub struct Reservations {
    reservations: BTreeMap<(InstanceId, ReservationId), Reservation>,
    /// Time of the last report of each other instance.
    last_report: BTreeMap<InstanceId, Instant>,
    own_instance: InstanceId,
    /// Times of the releases within the last `RATE_WINDOW`, and the decode engines.
    releases: Vec<(Instant, Box<str>)>,
    /// Decode speed of all streams, assumed for new ones.
    speed: DecodeSpeed,
    /// Decode speeds of the engines.
    decode_speeds: EngineSpeeds,
    /// Prefill speeds of the engines.
    prefill_speeds: EngineSpeeds,
}

/// Moving average of the decode speeds of all streams.
#[derive(Debug, Clone, Copy)]
struct DecodeSpeed {
    /// Number of samples.
    samples: u64,
    /// The speed, in tokens per millisecond.
    tokens_per_ms: f64,
}

impl Default for DecodeSpeed {
    fn default() -> Self {
        Self { samples: 0, tokens_per_ms: DEFAULT_TOKENS_PER_MS }
    }
}

impl DecodeSpeed {
    /// Adds the speed of a stream. The first samples count alike, so that the default is soon forgotten.
    fn add(&mut self, tokens_per_ms: f64) {
        self.samples += 1;
        let gain = SPEED_SMOOTHING.max(1.0 / self.samples as f64);
        self.tokens_per_ms += gain * (tokens_per_ms - self.tokens_per_ms);
    }
}

/// Load of one engine according to the reservations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineLoad {
    /// Completions that run on the engine or are about to start there.
    running: Vec<Growth>,
    /// Prompt tokens that the engine has yet to prefill.
    pub queued_prefill_tokens: u64,
}

impl EngineLoad {
    /// Returns the number of completions that run on the engine or are about to start there.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the predicted peak memory use of the engine with one more completion, as a share of
    /// `capacity`.
    ///
    /// All lengths are in tokens.
    pub fn predicted_fill(&self, capacity: u64, prompt_tokens: u64, expected_tokens: u64) -> f64 {
        let mean = (expected_tokens as f64 * MEAN_TO_MEDIAN) as u64;
        let mut running = self.running.clone();
        running.push(Growth { held: prompt_tokens, remaining: mean });
        peak_usage(&mut running) as f64 / capacity.max(1) as f64
    }
}

impl Reservations {
    /// Creates an empty set of reservations for the instance `own_instance`.
    pub fn new(own_instance: InstanceId) -> Self {
        Self {
            reservations: BTreeMap::new(),
            last_report: BTreeMap::new(),
            own_instance,
            releases: Vec::new(),
            speed: DecodeSpeed::default(),
            decode_speeds: EngineSpeeds::default(),
            prefill_speeds: EngineSpeeds::default(),
        }
    }

    /// Returns the number of other instances that have reported their reservations.
    pub fn reporting_instances(&self) -> usize {
        self.last_report.len()
    }

    /// Returns the engines that have become slow since the last call, or are no longer: the stage and the relative speed.
    pub fn take_speed_changes(&mut self, now: Instant) -> Vec<(Box<str>, &'static str, f64)> {
        let mut changes = Vec::new();
        for (stage, speeds) in
            [("prefill", &mut self.prefill_speeds), ("decode", &mut self.decode_speeds)]
        {
            for (engine, speed) in speeds.take_changes(now) {
                changes.push((engine, stage, speed));
            }
        }
        changes
    }

    /// Returns the speeds at which engines prefill prompts, relative to the usual one.
    pub fn prefill_speeds(&self, now: Instant) -> RelativeSpeeds {
        self.prefill_speeds.relative(now)
    }

    /// Returns whether enough streams have contributed to the decode speed.
    pub fn knows_speed(&self) -> bool {
        self.speed.samples >= MIN_SPEED_SAMPLES
    }

    /// Adds or replaces a reservation.
    pub fn reserve(&mut self, instance: &str, id: ReservationId, reservation: Reservation) {
        self.reservations.insert((instance.into(), id), reservation);
    }

    /// Records that a prefill has finished, so that decoding starts at `now`.
    pub fn finish_prefill(&mut self, instance: &str, id: ReservationId, now: Instant) {
        if let Some(reservation) = self.reservations.get_mut(&(instance.into(), id)) {
            let prefill = reservation.prefill.take();
            reservation.starts_at = now;
            if let (Some(prefill), Some(granted_at)) = (prefill, reservation.granted_at) {
                let tokens = reservation.prefill_tokens;
                self.prefill_speeds.add_prefill(&prefill, tokens, granted_at, now);
            }
        }
    }

    /// Records that a completion has generated `tokens` output tokens so far, and updates the
    /// decode speeds.
    pub fn record_tokens(&mut self, instance: &str, id: ReservationId, tokens: u64, now: Instant) {
        let Some(reservation) = self.reservations.get_mut(&(instance.into(), id)) else { return };
        let Some(before) = reservation.progress else {
            let tokens_per_ms = self.speed.tokens_per_ms;
            reservation.progress =
                Some(Progress { at: now, tokens, tokens_per_ms, is_own_speed: false });
            return;
        };
        let mut progress = Progress { at: now, tokens, ..before };
        let millis = now.saturating_duration_since(before.at).as_secs_f64() * 1_000.0;
        let generated = tokens.saturating_sub(before.tokens);
        // Events without a new identifier, as a faulty engine sends them, tell nothing of the speed of others.
        if millis >= MIN_SAMPLE_MS && generated > 0 {
            let sample = generated as f64 / millis;
            progress.tokens_per_ms += STREAM_SPEED_SMOOTHING * (sample - before.tokens_per_ms);
            progress.is_own_speed = true;
            self.speed.add(sample);
            self.decode_speeds.add(&reservation.decode, sample, now);
        }
        reservation.progress = Some(progress);
    }

    /// Removes the reservation of a completion that has ended.
    pub fn release(&mut self, instance: &str, id: ReservationId, now: Instant) {
        if let Some(reservation) = self.reservations.remove(&(instance.into(), id)) {
            self.releases.push((now, reservation.decode));
        }
    }

    /// Replaces all reservations of another instance by the ones that it reports.
    ///
    /// A reservation that was just granted stays, since the instance may not know it yet.
    pub fn replace(
        &mut self,
        instance: &str,
        reservations: Vec<(ReservationId, Reservation)>,
        now: Instant,
    ) {
        let is_fresh = |reservation: &Reservation| {
            now.saturating_duration_since(reservation.reserved_at) < GRANT_DELIVERY_TIME
        };
        let mut granted = BTreeMap::new();
        for (id, reservation) in self.of_instance(instance) {
            granted.insert(id, reservation.granted_at);
        }
        self.reservations
            .retain(|(owner, _), reservation| &**owner != instance || is_fresh(reservation));
        for (id, mut reservation) in reservations {
            reservation.granted_at = granted.get(&id).copied().flatten();
            // An instance sees only the streams of its own callers.
            if let Some(progress) = reservation.progress.filter(|progress| progress.is_own_speed) {
                self.speed.add(progress.tokens_per_ms);
                self.decode_speeds.add(&reservation.decode, progress.tokens_per_ms, now);
            }
            self.reserve(instance, id, reservation);
        }
        self.last_report.insert(instance.into(), now);
    }

    /// Removes the reservations of instances that have not reported for `PEER_TIMEOUT`.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= PEER_TIMEOUT;
        self.last_report.retain(|_, last_report| !is_old(*last_report));
        self.decode_speeds.expire(now);
        self.prefill_speeds.expire(now);
        let last_report = &self.last_report;
        let own_instance = &self.own_instance;
        self.reservations.retain(|(owner, _), reservation| {
            owner == own_instance
                || last_report.contains_key(owner)
                || !is_old(reservation.reserved_at)
        });
        self.releases
            .retain(|(released_at, _)| now.saturating_duration_since(*released_at) < RATE_WINDOW);
    }

    /// Returns a reservation.
    pub fn reservation(&self, instance: &str, id: ReservationId) -> Option<&Reservation> {
        self.reservations.get(&(instance.into(), id))
    }

    /// Iterates over the reservations of one instance.
    pub fn of_instance<'a>(
        &'a self,
        instance: &'a str,
    ) -> impl Iterator<Item = (ReservationId, &'a Reservation)> {
        let reservations =
            self.reservations.iter().filter(move |((owner, _), _)| &**owner == instance);
        reservations.map(|((_, id), reservation)| (*id, reservation))
    }

    /// Returns the mean decode time of completions whose expected output is `expected_tokens`.
    pub fn expected_duration(&self, expected_tokens: u64) -> Duration {
        let millis = expected_tokens as f64 * MEAN_TO_MEDIAN
            / self.speed.tokens_per_ms.max(MIN_TOKENS_PER_MS);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the decode time of an output of exactly `tokens` tokens.
    pub fn duration_of(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(
            tokens as f64 / self.speed.tokens_per_ms.max(MIN_TOKENS_PER_MS) / 1_000.0,
        )
    }

    /// Returns the predicted number of completions that end per second on the decode engines of which `is_included` holds,
    /// from the expected durations of the reserved completions.
    ///
    /// `start` is the time to the first token.
    pub fn expected_completion_rate(
        &self,
        is_included: impl Fn(&str) -> bool,
        start: Duration,
    ) -> f64 {
        let mut rate = 0.0;
        for reservation in self.reservations.values() {
            if !is_included(&reservation.decode) {
                continue;
            }
            let duration = start + self.expected_duration(reservation.expected_tokens);
            rate += 1.0 / duration.as_secs_f64();
        }
        rate
    }

    /// Returns the number of completions that ended per second over `RATE_WINDOW` on the decode engines of which
    /// `is_included` holds.
    pub fn completion_rate(&self, is_included: impl Fn(&str) -> bool, now: Instant) -> f64 {
        let mut ended = 0_u32;
        for (released_at, engine) in &self.releases {
            let is_recent = now.saturating_duration_since(*released_at) < RATE_WINDOW;
            ended += u32::from(is_recent && is_included(engine));
        }
        f64::from(ended) / RATE_WINDOW.as_secs_f64()
    }

    /// Returns the load of each engine.
    pub fn loads(&self, now: Instant) -> BTreeMap<Box<str>, EngineLoad> {
        let mut loads: BTreeMap<Box<str>, EngineLoad> = BTreeMap::new();
        let speeds = self.decode_speeds.relative(now);
        for reservation in self.reservations.values() {
            let load = loads.entry(reservation.decode.clone()).or_default();
            load.running.push(self.growth(reservation, &speeds, now));
            if let Some(prefill) = &reservation.prefill {
                let queued = &mut loads.entry(prefill.clone()).or_default().queued_prefill_tokens;
                *queued = queued.saturating_add(reservation.prefill_tokens);
            }
        }
        loads
    }

    /// Returns whether an engine with this predicted fill runs its completions without preemption.
    pub fn fits(fill: f64) -> bool {
        fill <= MAX_FILL
    }

    /// Estimates the number of output tokens that a completion has generated by `now`.
    fn generated(&self, reservation: &Reservation, speeds: &RelativeSpeeds, now: Instant) -> u64 {
        let (since, tokens, tokens_per_ms) = match reservation.progress {
            Some(progress) => (progress.at, progress.tokens, progress.tokens_per_ms),
            None => {
                let speed = self.speed.tokens_per_ms * speeds.of(&reservation.decode);
                (reservation.starts_at, 0, speed)
            }
        };
        let millis = now.saturating_duration_since(since).as_secs_f64() * 1_000.0;
        tokens + (millis * tokens_per_ms) as u64
    }

    fn growth(&self, reservation: &Reservation, speeds: &RelativeSpeeds, now: Instant) -> Growth {
        let generated = self.generated(reservation, speeds, now);
        let max = reservation.max_tokens.saturating_sub(generated);
        let mean = (reservation.expected_tokens as f64 * MEAN_TO_MEDIAN) as u64;
        let min_remaining = (generated as f64 * MIN_REMAINING_RATIO) as u64;
        Growth {
            held: reservation.prompt_tokens + generated.min(reservation.max_tokens),
            remaining: mean.saturating_sub(generated).max(min_remaining).min(max),
        }
    }
}

/// Memory growth of one completion, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Growth {
    /// Memory held now.
    held: u64,
    /// Expected further output.
    remaining: u64,
}

/// Returns the peak memory use of completions that all grow at the same speed until they end.
fn peak_usage(running: &mut [Growth]) -> u64 {
    running.sort_by_key(|growth| growth.remaining);
    let mut held: u64 = running.iter().map(|growth| growth.held).sum();
    let mut max = held;
    for (index, growth) in running.iter().enumerate() {
        // Just before this completion ends, all that end later have grown by the same number of
        // tokens.
        let still_running = (running.len() - index) as u64;
        max = max.max(held + still_running * growth.remaining);
        held -= growth.held;
    }
    max
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{EngineLoad, Growth, Progress, Reservation, Reservations, peak_usage};

    fn reservation(engine: &str, starts_at: Instant) -> Reservation {
        Reservation {
            decode: engine.into(),
            prefill: None,
            prompt_tokens: 5_000,
            prefill_tokens: 5_000,
            expected_tokens: 3_540,
            max_tokens: 9_000,
            starts_at,
            reserved_at: starts_at,
            granted_at: None,
            progress: None,
        }
    }

    fn load(reservations: &Reservations, now: Instant) -> EngineLoad {
        reservations.loads(now).remove("a").unwrap_or_default()
    }

    #[test]
    fn the_peak_counts_only_what_runs_together() {
        let mut running =
            [Growth { held: 9_000, remaining: 100 }, Growth { held: 5_000, remaining: 4_000 }];
        // Just before the first ends, both have grown by 100; then the second grows alone.
        assert_eq!(peak_usage(&mut running), 14_200);
        let mut alone = [Growth { held: 5_000, remaining: 4_000 }];
        assert_eq!(peak_usage(&mut alone), 9_000);
    }

    #[test]
    fn an_engine_is_full_before_its_requests_grow_over_its_memory() {
        let now = Instant::now();
        let mut reservations = Reservations::new("one".into());
        let mut admitted = 0;
        for id in 0..20 {
            let fill = load(&reservations, now).predicted_fill(73_808, 5_000, 3_540);
            if !Reservations::fits(fill) {
                break;
            }
            reservations.reserve("one", id, reservation("a", now));
            admitted += 1;
        }
        assert_eq!(admitted, 7);
        // Requests that end at different times leave room for more.
        let later = now + Duration::from_millis(2_500);
        assert!(Reservations::fits(
            load(&reservations, later).predicted_fill(90_000, 5_000, 3_540)
        ));
    }

    #[test]
    fn reservations_of_a_silent_instance_expire() {
        let now = Instant::now();
        let mut reservations = Reservations::new("one".into());
        reservations.replace("two", vec![(1, reservation("a", now))], now);
        assert_eq!(load(&reservations, now).running(), 1);
        reservations.expire(now + Duration::from_secs(2));
        assert_eq!(load(&reservations, now).running(), 1);
        reservations.expire(now + Duration::from_secs(4));
        assert_eq!(load(&reservations, now).running(), 0);
    }

    #[test]
    fn the_speed_is_that_of_the_streams_of_all_instances_that_make_progress() {
        let start = Instant::now();
        let mut reservations = Reservations::new("one".into());
        reservations.reserve("one", 0, reservation("a", start));
        for step in 0..100 {
            // The identifiers of the events do not rise.
            reservations.record_tokens("one", 0, 10, start + Duration::from_millis(20 * step));
        }
        assert!(!reservations.knows_speed());
        let slow = Progress { at: start, tokens: 100, tokens_per_ms: 0.25, is_own_speed: true };
        let reported = Reservation { progress: Some(slow), ..reservation("a", start) };
        for report in 0..20 {
            let reported = vec![(report, reported.clone())];
            reservations.replace("two", reported, start + Duration::from_secs(report));
        }
        assert!(reservations.knows_speed());
        assert_eq!(reservations.duration_of(1_000), Duration::from_secs(4));
    }

    /// A report of the instance replaces what the coordinator has granted, and used to lose the time of the grant.
    #[test]
    fn a_prefill_is_measured_from_its_grant_also_after_a_report() {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut reservations = Reservations::new("one".into());
        for (id, prefill) in [(0, "slow"), (1, "usual"), (2, "usual")] {
            let granted_at = Some(at(id * 100));
            let prefill = Some(prefill.into());
            let granted = Reservation { prefill, granted_at, ..reservation("a", start) };
            reservations.reserve("two", id, granted);
        }
        let reported = Reservation { prefill: Some("slow".into()), ..reservation("a", at(150)) };
        reservations.replace("two", vec![(0, reported)], at(150));
        reservations.finish_prefill("two", 0, at(200));
        reservations.finish_prefill("two", 1, at(200));
        reservations.finish_prefill("two", 2, at(300));
        let speeds = reservations.prefill_speeds(at(300));
        assert!((0.45..0.55).contains(&speeds.of("slow")), "{speeds:?}");
    }

    /// Guards against placing completions on a slow engine as if its memory were free as early as that of others.
    #[test]
    fn a_new_completion_on_a_slow_engine_is_expected_to_hold_its_memory_for_longer() {
        let start = Instant::now();
        let mut reservations = Reservations::new("one".into());
        for (id, engine, tokens_per_ms) in [(0, "a", 0.5), (1, "b", 1.0), (2, "c", 1.0)] {
            let progress = Progress { at: start, tokens: 100, tokens_per_ms, is_own_speed: true };
            let streaming = Reservation { progress: Some(progress), ..reservation(engine, start) };
            reservations.replace(engine, vec![(id, streaming)], start);
            reservations.release(engine, id, start);
            reservations.reserve("one", id, reservation(engine, start));
        }
        let later = start + Duration::from_secs(3);
        let loads = reservations.loads(later);
        let fill = |engine: &str| loads[engine].predicted_fill(73_000, 5_000, 3_540);
        assert!(fill("a") > fill("b"), "{} and {}", fill("a"), fill("b"));
    }
}
