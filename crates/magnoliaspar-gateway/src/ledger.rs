//! The bookings of engine memory by all instances, and what they predict.
//!
//! An engine that runs out of memory preempts a request, whose prompt is then read again. Each
//! instance therefore books the memory of a completion before it starts, and tells the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a grant may be under way to the instance that asked for it.
const GRANT_DELAY: Duration = Duration::from_millis(1_500);

/// How long the bookings of an instance hold that has not told them.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The part of the memory that bookings may fill; the rest covers lengths that are underestimated
/// and bookings that cross on the way.
const FILL_LIMIT: f64 = 0.9;

/// The mean length of an answer, as a multiple of the caller's estimate, which is right at the
/// median and off by a log-normal factor with a deviation of about a half.
const MEAN_TO_MEDIAN: f64 = 1.13;

/// What is still expected of an answer that has come close to its mean length, as a part of what was
/// produced; from the same distribution.
const LEAST_REMAINING_SHARE: f64 = 0.4;

/// Tokens that a decode engine produces for one request in a millisecond, until events tell better.
const DEFAULT_SPEED: f64 = 1.3;

/// The least speed that is reckoned with, in tokens a millisecond.
const MIN_SPEED: f64 = 0.01;

/// How much a new measurement counts for the speed that new completions are expected to have.
const SPEED_GAIN: f64 = 0.02;

/// How much a new measurement counts for the speed of its own stream.
const STREAM_SPEED_GAIN: f64 = 0.3;

/// The least time between two events whose tokens tell a speed, in milliseconds.
const MIN_SAMPLE_MS: f64 = 5.0;

/// How long finished completions count towards the rate at which memory becomes free.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// An instance as it is named in the ledger.
pub type InstanceId = Box<str>;

/// The number of a booking, unique in its instance.
pub type BookingId = u64;

/// Memory that a completion takes at an engine, and the reading of its prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Booking {
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
    pub booked_at: Instant,
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
    pub speed: f64,
}

/// The bookings of all instances.
#[derive(Debug)]
pub struct Ledger {
    bookings: BTreeMap<(InstanceId, BookingId), Booking>,
    told: BTreeMap<InstanceId, Instant>,
    own: InstanceId,
    freed: Vec<Instant>,
    speed: f64,
}

/// What bookings say of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineLoad {
    /// Completions that run there or are about to.
    running: Vec<Growth>,
    /// Tokens of prompts that it has still to read.
    pub unread_tokens: u64,
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
        peak(&mut running) as f64 / capacity.max(1) as f64
    }
}

impl Ledger {
    /// Creates a ledger without bookings for the instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            bookings: BTreeMap::new(),
            told: BTreeMap::new(),
            own,
            freed: Vec::new(),
            speed: DEFAULT_SPEED,
        }
    }

    /// Takes in a booking.
    pub fn book(&mut self, instance: &str, id: BookingId, booking: Booking) {
        self.bookings.insert((instance.into(), id), booking);
    }

    /// Takes in that a prompt was read, and when its first token comes.
    pub fn prompt_read(&mut self, instance: &str, id: BookingId, now: Instant) {
        if let Some(booking) = self.bookings.get_mut(&(instance.into(), id)) {
            booking.prefill = None;
            booking.starts_at = now;
        }
    }

    /// Takes in that tokens of a completion came, `tokens` so far.
    pub fn took_tokens(&mut self, instance: &str, id: BookingId, tokens: u64, now: Instant) {
        let Some(booking) = self.bookings.get_mut(&(instance.into(), id)) else { return };
        let mut speed = booking.progress.map_or(self.speed, |progress| progress.speed);
        if let Some(before) = booking.progress {
            let millis = now.saturating_duration_since(before.at).as_secs_f64() * 1_000.0;
            let produced = tokens.saturating_sub(before.tokens);
            if millis >= MIN_SAMPLE_MS {
                let sample = produced as f64 / millis;
                speed += STREAM_SPEED_GAIN * (sample - speed);
                self.speed += SPEED_GAIN * (sample - self.speed);
            }
        }
        booking.progress = Some(Progress { at: now, tokens, speed });
    }

    /// Takes in that a completion has ended.
    pub fn free(&mut self, instance: &str, id: BookingId, now: Instant) {
        if self.bookings.remove(&(instance.into(), id)).is_some() {
            self.freed.push(now);
        }
    }

    /// Takes in all bookings of another instance.
    ///
    /// One that was just granted stays, since the instance may not have heard of it yet.
    pub fn replace(&mut self, instance: &str, bookings: Vec<(BookingId, Booking)>, now: Instant) {
        let is_fresh =
            |booking: &Booking| now.saturating_duration_since(booking.booked_at) < GRANT_DELAY;
        self.bookings.retain(|(owner, _), booking| &**owner != instance || is_fresh(booking));
        for (id, booking) in bookings {
            self.book(instance, id, booking);
        }
        self.told.insert(instance.into(), now);
    }

    /// Forgets the bookings of instances that have not told theirs for a while.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= PEER_TIMEOUT;
        self.told.retain(|_, told| !is_old(*told));
        let told = &self.told;
        let own = &self.own;
        self.bookings.retain(|(owner, _), booking| {
            owner == own || told.contains_key(owner) || !is_old(booking.booked_at)
        });
        self.freed.retain(|freed| now.saturating_duration_since(*freed) < RATE_WINDOW);
    }

    /// Returns a booking.
    pub fn booking(&self, instance: &str, id: BookingId) -> Option<&Booking> {
        self.bookings.get(&(instance.into(), id))
    }

    /// Iterates over the bookings of one instance.
    pub fn of_instance<'a>(
        &'a self,
        instance: &'a str,
    ) -> impl Iterator<Item = (BookingId, &'a Booking)> {
        let bookings = self.bookings.iter().filter(move |((owner, _), _)| &**owner == instance);
        bookings.map(|((_, id), booking)| (*id, booking))
    }

    /// Returns how long a completion takes that is expected to have so many tokens.
    pub fn expected_duration(&self, expected_tokens: u64) -> Duration {
        let millis = expected_tokens as f64 * MEAN_TO_MEDIAN / self.speed.max(MIN_SPEED);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns how long a completion takes that has so many tokens.
    pub fn longest_duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.speed.max(MIN_SPEED) / 1_000.0)
    }

    /// Returns how many completions a second the engines end, if they go on as they are booked.
    ///
    /// Each takes `start` until its first token.
    pub fn turnover(&self, start: Duration) -> f64 {
        let mut rate = 0.0;
        for booking in self.bookings.values() {
            let duration = start + self.expected_duration(booking.expected_tokens);
            rate += 1.0 / duration.as_secs_f64();
        }
        rate
    }

    /// Returns how many completions end in a second.
    pub fn freeing_rate(&self, now: Instant) -> f64 {
        let is_recent = |freed: &&Instant| now.saturating_duration_since(**freed) < RATE_WINDOW;
        self.freed.iter().filter(is_recent).count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Returns what is booked at each engine.
    pub fn loads(&self, now: Instant) -> BTreeMap<Box<str>, EngineLoad> {
        let mut loads: BTreeMap<Box<str>, EngineLoad> = BTreeMap::new();
        for booking in self.bookings.values() {
            let load = loads.entry(booking.decode.clone()).or_default();
            load.running.push(self.growth(booking, now));
            if let Some(prefill) = &booking.prefill {
                loads.entry(prefill.clone()).or_default().unread_tokens += booking.prompt_tokens;
            }
        }
        loads
    }

    /// Whether a completion fits without a preemption, by its predicted fill.
    pub fn fits(fill: f64) -> bool {
        fill <= FILL_LIMIT
    }

    fn produced(&self, booking: &Booking, now: Instant) -> u64 {
        let (since, tokens, speed) = match booking.progress {
            Some(progress) => (progress.at, progress.tokens, progress.speed),
            None => (booking.starts_at, 0, self.speed),
        };
        let millis = now.saturating_duration_since(since).as_secs_f64() * 1_000.0;
        tokens + (millis * speed) as u64
    }

    fn growth(&self, booking: &Booking, now: Instant) -> Growth {
        let produced = self.produced(booking, now);
        let most = booking.most_tokens.saturating_sub(produced);
        let mean = (booking.expected_tokens as f64 * MEAN_TO_MEDIAN) as u64;
        let least = (produced as f64 * LEAST_REMAINING_SHARE) as u64;
        Growth {
            held: booking.prompt_tokens + produced.min(booking.most_tokens),
            remaining: mean.saturating_sub(produced).max(least).min(most),
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
fn peak(running: &mut [Growth]) -> u64 {
    running.sort_by_key(|growth| growth.remaining);
    let mut held: u64 = running.iter().map(|growth| growth.held).sum();
    let mut most = held;
    for (index, growth) in running.iter().enumerate() {
        // Just before this one ends, all that end later have grown as much.
        let alive = (running.len() - index) as u64;
        most = most.max(held + alive * growth.remaining);
        held -= growth.held;
    }
    most
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Booking, EngineLoad, Growth, Ledger, peak};

    fn booking(engine: &str, starts_at: Instant) -> Booking {
        Booking {
            decode: engine.into(),
            prefill: None,
            prompt_tokens: 5_000,
            expected_tokens: 3_540,
            most_tokens: 9_000,
            starts_at,
            booked_at: starts_at,
            progress: None,
        }
    }

    fn load(ledger: &Ledger, now: Instant) -> EngineLoad {
        ledger.loads(now).remove("a").unwrap_or_default()
    }

    #[test]
    fn the_peak_counts_only_what_runs_together() {
        let mut running =
            [Growth { held: 9_000, remaining: 100 }, Growth { held: 5_000, remaining: 4_000 }];
        // Just before the first ends, both have grown by 100; then the second grows alone.
        assert_eq!(peak(&mut running), 14_200);
        let mut alone = [Growth { held: 5_000, remaining: 4_000 }];
        assert_eq!(peak(&mut alone), 9_000);
    }

    #[test]
    fn an_engine_is_full_before_its_requests_grow_over_its_memory() {
        let now = Instant::now();
        let mut ledger = Ledger::new("one".into());
        let mut admitted = 0;
        for id in 0..20 {
            let fill = load(&ledger, now).predicted_fill(73_808, 5_000, 3_540);
            if !Ledger::fits(fill) {
                break;
            }
            ledger.book("one", id, booking("a", now));
            admitted += 1;
        }
        assert_eq!(admitted, 7);
        // Requests that end at different times leave room for more.
        let later = now + Duration::from_millis(2_500);
        assert!(Ledger::fits(load(&ledger, later).predicted_fill(90_000, 5_000, 3_540)));
    }

    #[test]
    fn bookings_of_an_instance_that_is_not_heard_of_lapse() {
        let now = Instant::now();
        let mut ledger = Ledger::new("one".into());
        ledger.replace("two", vec![(1, booking("a", now))], now);
        assert_eq!(load(&ledger, now).running(), 1);
        ledger.expire(now + Duration::from_secs(2));
        assert_eq!(load(&ledger, now).running(), 1);
        ledger.expire(now + Duration::from_secs(4));
        assert_eq!(load(&ledger, now).running(), 0);
    }
}
