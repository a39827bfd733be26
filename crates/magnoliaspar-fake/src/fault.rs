use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::Clock;
use magnoliaspar_store::{PlatformError, RateBudget};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The knobs by which a test makes one service fail; a clone turns the same knobs.
#[derive(Clone)]
pub struct Faults {
    state: Rc<RefCell<State>>,
    clock: Rc<dyn Clock>,
}

struct State {
    is_out: bool,
    delay: Duration,
    sleeper: Option<Sleeper>,
    chances: Chances,
    next_reads: VecDeque<Fault>,
    next_writes: VecDeque<Fault>,
    read_rate: Option<RateBudget>,
    write_rate: Option<RateBudget>,
    rng: StdRng,
    counts: CallCounts,
}

/// Waits for a duration, in real or virtual time.
pub type Sleeper = Rc<dyn Fn(Duration) -> Pin<Box<dyn Future<Output = ()>>>>;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call is answered.
    None,
    /// The call fails at once and takes no effect.
    Unavailable,
    /// The request is lost: the caller learns nothing and the call takes no effect.
    LostRequest,
    /// The answer is lost: the caller learns nothing although the call took effect.
    LostAnswer,
    /// The caller learns nothing, and the call takes effect only before the third later call.
    ///
    /// Only the table tells this from [`LostAnswer`](Self::LostAnswer).
    LateEffect,
}

/// The probabilities of faults, each between 0 and 1 and together at most 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Chances {
    /// The probability of [`Fault::Unavailable`].
    pub unavailable: f64,
    /// The probability of [`Fault::LostRequest`].
    pub lost_request: f64,
    /// The probability of [`Fault::LostAnswer`].
    pub lost_answer: f64,
    /// The probability of [`Fault::LateEffect`].
    pub late_effect: f64,
}

/// How many calls a service has received, failed ones included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// The number of reads.
    pub reads: u64,
    /// The number of writes; a transaction is one.
    pub writes: u64,
}

impl Faults {
    /// Creates knobs that are all off.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let state = State {
            is_out: false,
            delay: Duration::ZERO,
            sleeper: None,
            chances: Chances::default(),
            next_reads: VecDeque::new(),
            next_writes: VecDeque::new(),
            read_rate: None,
            write_rate: None,
            rng: StdRng::seed_from_u64(0),
            counts: CallCounts::default(),
        };
        Self { state: Rc::new(RefCell::new(state)), clock }
    }

    /// Switches an outage on or off, during which all calls fail without effect.
    pub fn set_outage(&self, is_out: bool) {
        self.state.borrow_mut().is_out = is_out;
    }

    /// Delays every call by `delay`, which `sleeper` waits for before the call takes effect.
    pub fn set_delay(&self, delay: Duration, sleeper: Sleeper) {
        let mut state = self.state.borrow_mut();
        state.delay = delay;
        state.sleeper = Some(sleeper);
    }

    /// Limits reads and writes to these rates, with a burst of one second.
    pub fn set_rates(&self, reads_per_second: f64, writes_per_second: f64) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.read_rate = Some(RateBudget::new(now, reads_per_second, reads_per_second));
        state.write_rate = Some(RateBudget::new(now, writes_per_second, writes_per_second));
    }

    /// Makes calls fail at random, in an order that `seed` determines.
    pub fn set_chances(&self, chances: Chances, seed: u64) {
        let mut state = self.state.borrow_mut();
        state.chances = chances;
        state.rng = StdRng::seed_from_u64(seed);
    }

    /// Determines the fate of the next read; several queue up.
    pub fn on_next_read(&self, fault: Fault) {
        self.state.borrow_mut().next_reads.push_back(fault);
    }

    /// Determines the fate of the next write; several queue up.
    pub fn on_next_write(&self, fault: Fault) {
        self.state.borrow_mut().next_writes.push_back(fault);
    }

    /// Returns how many calls the service has received.
    pub fn counts(&self) -> CallCounts {
        self.state.borrow().counts
    }

    /// Counts a read, waits, and fails it if a knob says so.
    pub(crate) async fn before_read(&self) -> Result<(), PlatformError> {
        self.state.borrow_mut().counts.reads += 1;
        self.wait().await;
        match self.draw(Call::Read)? {
            Fault::None => Ok(()),
            _ => Err(unavailable("the answer was lost")),
        }
    }

    /// Counts a write, waits, and returns what happens to it.
    pub(crate) async fn before_write(&self) -> Result<Fault, PlatformError> {
        self.state.borrow_mut().counts.writes += 1;
        self.wait().await;
        self.draw(Call::Write)
    }

    async fn wait(&self) {
        let (delay, sleeper) = {
            let state = self.state.borrow();
            (state.delay, state.sleeper.clone())
        };
        let Some(sleeper) = sleeper else { return };
        sleeper(delay).await;
    }

    fn draw(&self, call: Call) -> Result<Fault, PlatformError> {
        let mut state = self.state.borrow_mut();
        if state.is_out {
            return Err(unavailable("outage"));
        }
        let rate = match call {
            Call::Read => &mut state.read_rate,
            Call::Write => &mut state.write_rate,
        };
        if let Some(rate) = rate {
            rate.try_take(self.clock.now(), 1.0)
                .map_err(|retry_after| PlatformError::RateLimited { retry_after })?;
        }
        let queue = match call {
            Call::Read => &mut state.next_reads,
            Call::Write => &mut state.next_writes,
        };
        let fault = queue.pop_front().unwrap_or_else(|| state.draw_by_chance());
        if fault == Fault::Unavailable {
            return Err(unavailable("fault"));
        }
        Ok(fault)
    }
}

impl State {
    fn draw_by_chance(&mut self) -> Fault {
        let chances = self.chances;
        if chances == Chances::default() {
            return Fault::None;
        }
        let mut point: f64 = self.rng.random();
        for (chance, fault) in [
            (chances.unavailable, Fault::Unavailable),
            (chances.lost_request, Fault::LostRequest),
            (chances.lost_answer, Fault::LostAnswer),
            (chances.late_effect, Fault::LateEffect),
        ] {
            if point < chance {
                return fault;
            }
            point -= chance;
        }
        Fault::None
    }
}

#[derive(Clone, Copy)]
enum Call {
    Read,
    Write,
}

fn unavailable(reason: &str) -> PlatformError {
    PlatformError::Unavailable(reason.into())
}

/// Returns the error of a write of which the caller learns nothing.
pub(crate) fn ambiguous() -> PlatformError {
    PlatformError::Ambiguous("the answer was lost".into())
}
