use std::cell::RefCell;
use std::rc::Rc;

use async_trait::async_trait;
use magnoliaspar_core::Clock;
use magnoliaspar_store::{PlatformError, TokenBucket, WeightStore};

use crate::fault::{Fault, Faults, ambiguous};

/// A rate-limited weight store in memory; clones share their state.
#[derive(Clone)]
pub struct MemoryWeights {
    state: Rc<RefCell<State>>,
    faults: Faults,
    clock: Rc<dyn Clock>,
}

struct State {
    rate: Option<TokenBucket>,
    granted: Vec<Box<str>>,
}

impl MemoryWeights {
    /// Creates a store without a rate limit.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let state = State { rate: None, granted: Vec::new() };
        let faults = Faults::new(clock.clone());
        Self { state: Rc::new(RefCell::new(state)), faults, clock }
    }

    /// Returns the fault injector of the store; a download counts as a write.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Limits the rate of downloads, with a burst of one second.
    pub fn set_rate(&self, bytes_per_second: f64) {
        let now = self.clock.now();
        let rate = TokenBucket::new(now, bytes_per_second, bytes_per_second);
        self.state.borrow_mut().rate = Some(rate);
    }

    /// Returns the models whose downloads were granted, in order.
    pub fn granted(&self) -> Vec<Box<str>> {
        self.state.borrow().granted.clone()
    }
}

#[async_trait(?Send)]
impl WeightStore for MemoryWeights {
    async fn acquire(&self, model: &str, bytes: u64) -> Result<(), PlatformError> {
        let fault = self.faults.before_write().await?;
        if fault == Fault::LostRequest {
            return Err(ambiguous());
        }
        let mut state = self.state.borrow_mut();
        if let Some(rate) = &mut state.rate {
            rate.try_take(self.clock.now(), bytes as f64)
                .map_err(|retry_after| PlatformError::RateLimited { retry_after })?;
        }
        state.granted.push(model.into());
        match fault {
            Fault::None => Ok(()),
            _ => Err(ambiguous()),
        }
    }
}
