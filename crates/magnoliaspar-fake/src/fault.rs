//! Fault injection for the in-memory services.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::Clock;
use magnoliaspar_store::{PlatformError, TokenBucket};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The fault injector of one service; clones share their state.
#[derive(Clone)]
pub struct Faults {
    state: Rc<RefCell<State>>,
    clock: Rc<dyn Clock>,
}

struct State {
    has_outage: bool,
    delay: Duration,
    sleeper: Option<Sleeper>,
    probabilities: FaultProbabilities,
    next_reads: VecDeque<Fault>,
    next_writes: VecDeque<Fault>,
    read_rate: Option<TokenBucket>,
    write_rate: Option<TokenBucket>,
    rng: StdRng,
    counts: CallCounts,
}

/// A function that waits for a duration in real or virtual time.
pub type Sleeper = Rc<dyn Fn(Duration) -> Pin<Box<dyn Future<Output = ()>>>>;

/// The fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The call fails at once and takes no effect.
    Unavailable,
    /// The request is lost: the call takes no effect, and the caller gets no answer.
    LostRequest,
    /// The answer is lost: the call takes effect, but the caller gets no answer.
    LostAnswer,
    /// The caller gets no answer, and the call takes effect just before the third call after it.
    ///
    /// Services other than the table treat this like [`LostAnswer`](Self::LostAnswer).
    LateEffect,
}

/// The probabilities of faults, each between 0 and 1 and with a sum of at most 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FaultProbabilities {
    /// The probability of [`Fault::Unavailable`].
    pub unavailable: f64,
    /// The probability of [`Fault::LostRequest`].
    pub lost_request: f64,
    /// The probability of [`Fault::LostAnswer`].
    pub lost_answer: f64,
    /// The probability of [`Fault::LateEffect`].
    pub late_effect: f64,
}

/// The number of calls that a service has received, including failed ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// The number of reads.
    pub reads: u64,
    /// The number of writes; a transaction is one.
    pub writes: u64,
}

impl Faults {
    /// Creates a fault injector without any faults.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let state = State {
            has_outage: false,
            delay: Duration::ZERO,
            sleeper: None,
            probabilities: FaultProbabilities::default(),
            next_reads: VecDeque::new(),
            next_writes: VecDeque::new(),
            read_rate: None,
            write_rate: None,
            rng: StdRng::seed_from_u64(0),
            counts: CallCounts::default(),
        };
        Self { state: Rc::new(RefCell::new(state)), clock }
    }

    /// Starts or ends an outage, during which all calls fail without effect.
    pub fn set_outage(&self, has_outage: bool) {
        self.state.borrow_mut().has_outage = has_outage;
    }

    /// Delays every call by `delay` before it takes effect, using `sleeper` to wait.
    pub fn set_delay(&self, delay: Duration, sleeper: Sleeper) {
        let mut state = self.state.borrow_mut();
        state.delay = delay;
        state.sleeper = Some(sleeper);
    }

    /// Limits the rates of reads and writes, with a burst of one second.
    pub fn set_rates(&self, reads_per_second: f64, writes_per_second: f64) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.read_rate = Some(TokenBucket::new(now, reads_per_second, reads_per_second));
        state.write_rate = Some(TokenBucket::new(now, writes_per_second, writes_per_second));
    }

    /// Makes calls fail at random, in a sequence that `seed` determines.
    pub fn set_probabilities(&self, probabilities: FaultProbabilities, seed: u64) {
        let mut state = self.state.borrow_mut();
        state.probabilities = probabilities;
        state.rng = StdRng::seed_from_u64(seed);
    }

    /// Queues a fault for the next read that has none.
    pub fn on_next_read(&self, fault: Fault) {
        self.state.borrow_mut().next_reads.push_back(fault);
    }

    /// Queues a fault for the next write that has none.
    pub fn on_next_write(&self, fault: Fault) {
        self.state.borrow_mut().next_writes.push_back(fault);
    }

    /// Returns the number of calls that the service has received.
    pub fn counts(&self) -> CallCounts {
        self.state.borrow().counts
    }

    /// Counts a read, waits for the delay, and fails if a fault is injected.
    pub(crate) async fn before_read(&self) -> Result<(), PlatformError> {
        self.state.borrow_mut().counts.reads += 1;
        self.wait().await;
        match self.next_fault(CallKind::Read)? {
            Fault::None => Ok(()),
            _ => Err(unavailable("the answer was lost")),
        }
    }

    /// Counts a write, waits for the delay, and returns the fault to inject.
    pub(crate) async fn before_write(&self) -> Result<Fault, PlatformError> {
        self.state.borrow_mut().counts.writes += 1;
        self.wait().await;
        self.next_fault(CallKind::Write)
    }

    async fn wait(&self) {
        let (delay, sleeper) = {
            let state = self.state.borrow();
            (state.delay, state.sleeper.clone())
        };
        let Some(sleeper) = sleeper else { return };
        sleeper(delay).await;
    }

    /// Returns the fault of a call, or its error if it is refused without effect.
    fn next_fault(&self, kind: CallKind) -> Result<Fault, PlatformError> {
        let mut state = self.state.borrow_mut();
        if state.has_outage {
            return Err(unavailable("outage"));
        }
        let rate = match kind {
            CallKind::Read => &mut state.read_rate,
            CallKind::Write => &mut state.write_rate,
        };
        if let Some(rate) = rate {
            rate.try_take(self.clock.now(), 1.0)
                .map_err(|retry_after| PlatformError::RateLimited { retry_after })?;
        }
        let queue = match kind {
            CallKind::Read => &mut state.next_reads,
            CallKind::Write => &mut state.next_writes,
        };
        let fault = queue.pop_front().unwrap_or_else(|| state.random_fault());
        if fault == Fault::Unavailable {
            return Err(unavailable("fault"));
        }
        Ok(fault)
    }
}

impl State {
    fn random_fault(&mut self) -> Fault {
        let probabilities = self.probabilities;
        if probabilities == FaultProbabilities::default() {
            return Fault::None;
        }
        let mut point: f64 = self.rng.random();
        for (probability, fault) in [
            (probabilities.unavailable, Fault::Unavailable),
            (probabilities.lost_request, Fault::LostRequest),
            (probabilities.lost_answer, Fault::LostAnswer),
            (probabilities.late_effect, Fault::LateEffect),
        ] {
            if point < probability {
                return fault;
            }
            point -= probability;
        }
        Fault::None
    }
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

fn unavailable(reason: &str) -> PlatformError {
    PlatformError::Unavailable(reason.into())
}

/// Returns the error of a write without an answer.
pub(crate) fn ambiguous() -> PlatformError {
    PlatformError::Ambiguous("the answer was lost".into())
}
