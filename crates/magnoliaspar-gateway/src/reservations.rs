//! The bookings of engine memory by all instances, and what they predict.
//!
//! An engine that runs out of memory preempts a request, whose prompt is then read again. Each
//! instance therefore books the memory of a completion before it starts, and tells the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a grant may be under way to the instance that asked for it.
const GRANT_DELIVERY_TIME: Duration = Duration::from_millis(1_500);

/// How long the bookings of an instance hold that has not told them.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The part of the memory that bookings may fill; the rest covers lengths that are underestimated
/// and bookings that cross on the way.
const MAX_FILL: f64 = 0.9;

/// The mean length of an answer, as a multiple of the caller's estimate, which is right at the
/// median and off by a log-normal factor with a deviation of about a half.
const MEAN_TO_MEDIAN: f64 = 1.13;

/// What is still expected of an answer that has come close to its mean length, as a part of what was
/// produced; from the same distribution.
const MIN_REMAINING_RATIO: f64 = 0.4;

/// Tokens that a decode engine produces for one request in a millisecond, until events tell better.
const DEFAULT_TOKENS_PER_MS: f64 = 1.3;

/// The least speed that is reckoned with, in tokens a millisecond.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// How much a new measurement counts for the speed that new completions are expected to have.
const SPEED_SMOOTHING: f64 = 0.02;

/// How much a new measurement counts for the speed of its own stream.
const STREAM_SPEED_SMOOTHING: f64 = 0.3;

/// The least time between two events whose tokens tell a speed, in milliseconds.
const MIN_SAMPLE_MS: f64 = 5.0;

/// How long finished completions count towards the rate at which memory becomes free.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// An instance as it is named in the ledger.
pub type InstanceId = Box<str>;

/// The number of a booking, unique in its instance.
pub type ReservationId = u64;

/// Memory that a completion takes at an engine, and the reading of its prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The engine that produces the tokens.
    pub decode: Box<str>,
    /// The engine that reads the prompt, until it has been read.
    pub prefill: Option<Box<str>>,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens that are expected to be produced.
    pub expected_tokens: u64,
    /// The most tokens that may be produced.
    pub most_tokens: u64,
    /// When the first token is produced, or is expected to be.
    pub starts_at: Instant,
    /// When it was booked, or heard of.
    pub reserved_at: Instant,
    /// The tokens that were produced by then, once some were.
    pub progress: Option<Progress>,
}

/// How far a completion had come at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// The moment.
    pub at: Instant,
    /// The tokens that were produced.
    pub tokens: u64,
    /// How many come in a millisecond.
    pub tokens_per_ms: f64,
}

/// The bookings of all instances.
#[derive(Debug)]
pub struct Reservations {
    reservations: BTreeMap<(InstanceId, ReservationId), Reservation>,
    last_report: BTreeMap<InstanceId, Instant>,
    own_instance: InstanceId,
    released_at: Vec<Instant>,
    tokens_per_ms: f64,
}

/// What bookings say of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineLoad {
    /// Completions that run there or are about to.
    running: Vec<Growth>,
    /// Tokens of prompts that it has still to read.
    pub queued_prefill_tokens: u64,
}

impl EngineLoad {
    /// Returns the number of completions that run there or are about to.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the part of the engine's memory that it would need at most, with one more completion.
    pub fn predicted_fill(&self, capacity: u64, prompt_tokens: u64, expected_tokens: u64) -> f64 {
        let mean = (expected_tokens as f64 * MEAN_TO_MEDIAN) as u64;
        let mut running = self.running.clone();
        running.push(Growth { held: prompt_tokens, remaining: mean });
        peak_usage(&mut running) as f64 / capacity.max(1) as f64
    }
}

impl Reservations {
    /// Creates a ledger without bookings for the instance `own`.
    pub fn new(own_instance: InstanceId) -> Self {
        Self {
            reservations: BTreeMap::new(),
            last_report: BTreeMap::new(),
            own_instance,
            released_at: Vec::new(),
            tokens_per_ms: DEFAULT_TOKENS_PER_MS,
        }
    }

    /// Takes in a booking.
    pub fn reserve(&mut self, instance: &str, id: ReservationId, reservation: Reservation) {
        self.reservations.insert((instance.into(), id), reservation);
    }

    /// Takes in that a prompt was read, and when its first token comes.
    pub fn finish_prefill(&mut self, instance: &str, id: ReservationId, now: Instant) {
        if let Some(reservation) = self.reservations.get_mut(&(instance.into(), id)) {
            reservation.prefill = None;
            reservation.starts_at = now;
        }
    }

    /// Takes in that tokens of a completion came, `tokens` so far.
    pub fn record_tokens(&mut self, instance: &str, id: ReservationId, tokens: u64, now: Instant) {
        let Some(reservation) = self.reservations.get_mut(&(instance.into(), id)) else { return };
        let mut tokens_per_ms =
            reservation.progress.map_or(self.tokens_per_ms, |progress| progress.tokens_per_ms);
        if let Some(before) = reservation.progress {
            let millis = now.saturating_duration_since(before.at).as_secs_f64() * 1_000.0;
            let generated = tokens.saturating_sub(before.tokens);
            if millis >= MIN_SAMPLE_MS {
                let sample = generated as f64 / millis;
                tokens_per_ms += STREAM_SPEED_SMOOTHING * (sample - tokens_per_ms);
                self.tokens_per_ms += SPEED_SMOOTHING * (sample - self.tokens_per_ms);
            }
        }
        reservation.progress = Some(Progress { at: now, tokens, tokens_per_ms });
    }

    /// Takes in that a completion has ended.
    pub fn release(&mut self, instance: &str, id: ReservationId, now: Instant) {
        if self.reservations.remove(&(instance.into(), id)).is_some() {
            self.released_at.push(now);
        }
    }

    /// Takes in all bookings of another instance.
    ///
    /// One that was just granted stays, since the instance may not have heard of it yet.
    pub fn replace(
        &mut self,
        instance: &str,
        reservations: Vec<(ReservationId, Reservation)>,
        now: Instant,
    ) {
        let is_fresh = |reservation: &Reservation| {
            now.saturating_duration_since(reservation.reserved_at) < GRANT_DELIVERY_TIME
        };
        self.reservations
            .retain(|(owner, _), reservation| &**owner != instance || is_fresh(reservation));
        for (id, reservation) in reservations {
            self.reserve(instance, id, reservation);
        }
        self.last_report.insert(instance.into(), now);
    }

    /// Forgets the bookings of instances that have not told theirs for a while.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= PEER_TIMEOUT;
        self.last_report.retain(|_, last_report| !is_old(*last_report));
        let last_report = &self.last_report;
        let own_instance = &self.own_instance;
        self.reservations.retain(|(owner, _), reservation| {
            owner == own_instance
                || last_report.contains_key(owner)
                || !is_old(reservation.reserved_at)
        });
        self.released_at
            .retain(|released_at| now.saturating_duration_since(*released_at) < RATE_WINDOW);
    }

    /// Returns a booking.
    pub fn reservation(&self, instance: &str, id: ReservationId) -> Option<&Reservation> {
        self.reservations.get(&(instance.into(), id))
    }

    /// Iterates over the bookings of one instance.
    pub fn of_instance<'a>(
        &'a self,
        instance: &'a str,
    ) -> impl Iterator<Item = (ReservationId, &'a Reservation)> {
        let reservations =
            self.reservations.iter().filter(move |((owner, _), _)| &**owner == instance);
        reservations.map(|((_, id), reservation)| (*id, reservation))
    }

    /// Returns how long a completion takes that is expected to have so many tokens.
    pub fn expected_duration(&self, expected_tokens: u64) -> Duration {
        let millis =
            expected_tokens as f64 * MEAN_TO_MEDIAN / self.tokens_per_ms.max(MIN_TOKENS_PER_MS);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns how long a completion takes that has so many tokens.
    pub fn duration_of(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms.max(MIN_TOKENS_PER_MS) / 1_000.0)
    }

    /// Returns how many completions a second the engines end, if they go on as they are booked.
    ///
    /// Each takes `start` until its first token.
    pub fn expected_completion_rate(&self, start: Duration) -> f64 {
        let mut rate = 0.0;
        for reservation in self.reservations.values() {
            let duration = start + self.expected_duration(reservation.expected_tokens);
            rate += 1.0 / duration.as_secs_f64();
        }
        rate
    }

    /// Returns how many completions end in a second.
    pub fn completion_rate(&self, now: Instant) -> f64 {
        let is_recent =
            |released_at: &&Instant| now.saturating_duration_since(**released_at) < RATE_WINDOW;
        self.released_at.iter().filter(is_recent).count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Returns what is booked at each engine.
    pub fn loads(&self, now: Instant) -> BTreeMap<Box<str>, EngineLoad> {
        let mut loads: BTreeMap<Box<str>, EngineLoad> = BTreeMap::new();
        for reservation in self.reservations.values() {
            let load = loads.entry(reservation.decode.clone()).or_default();
            load.running.push(self.growth(reservation, now));
            if let Some(prefill) = &reservation.prefill {
                loads.entry(prefill.clone()).or_default().queued_prefill_tokens +=
                    reservation.prompt_tokens;
            }
        }
        loads
    }

    /// Whether a completion fits without a preemption, by its predicted fill.
    pub fn fits(fill: f64) -> bool {
        fill <= MAX_FILL
    }

    fn generated(&self, reservation: &Reservation, now: Instant) -> u64 {
        let (since, tokens, tokens_per_ms) = match reservation.progress {
            Some(progress) => (progress.at, progress.tokens, progress.tokens_per_ms),
            None => (reservation.starts_at, 0, self.tokens_per_ms),
        };
        let millis = now.saturating_duration_since(since).as_secs_f64() * 1_000.0;
        tokens + (millis * tokens_per_ms) as u64
    }

    fn growth(&self, reservation: &Reservation, now: Instant) -> Growth {
        let generated = self.generated(reservation, now);
        let max = reservation.most_tokens.saturating_sub(generated);
        let mean = (reservation.expected_tokens as f64 * MEAN_TO_MEDIAN) as u64;
        let choose_min = (generated as f64 * MIN_REMAINING_RATIO) as u64;
        Growth {
            held: reservation.prompt_tokens + generated.min(reservation.most_tokens),
            remaining: mean.saturating_sub(generated).max(choose_min).min(max),
        }
    }
}

/// How the memory of one completion grows.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Growth {
    held: u64,
    remaining: u64,
}

/// Returns the most memory that completions hold together while they grow evenly and end.
fn peak_usage(running: &mut [Growth]) -> u64 {
    running.sort_by_key(|growth| growth.remaining);
    let mut held: u64 = running.iter().map(|growth| growth.held).sum();
    let mut max = held;
    for (index, growth) in running.iter().enumerate() {
        // Just before this one ends, all that end later have grown as much.
        let still_running = (running.len() - index) as u64;
        max = max.max(held + still_running * growth.remaining);
        held -= growth.held;
    }
    max
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{EngineLoad, Growth, Reservation, Reservations, peak_usage};

    fn reservation(engine: &str, starts_at: Instant) -> Reservation {
        Reservation {
            decode: engine.into(),
            prefill: None,
            prompt_tokens: 5_000,
            expected_tokens: 3_540,
            most_tokens: 9_000,
            starts_at,
            reserved_at: starts_at,
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
    fn bookings_of_an_instance_that_is_not_heard_of_lapse() {
        let now = Instant::now();
        let mut reservations = Reservations::new("one".into());
        reservations.replace("two", vec![(1, reservation("a", now))], now);
        assert_eq!(load(&reservations, now).running(), 1);
        reservations.expire(now + Duration::from_secs(2));
        assert_eq!(load(&reservations, now).running(), 1);
        reservations.expire(now + Duration::from_secs(4));
        assert_eq!(load(&reservations, now).running(), 0);
    }
}
