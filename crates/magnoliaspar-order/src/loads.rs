//! Limits of model loads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::ServerName;
use magnoliaspar_store::{PlatformError, WeightStore};

use crate::DesiredState;

/// Limits the number of concurrent model loads and the downloads from the weight store.
pub(crate) struct LoadLimiter {
    weights: Rc<dyn WeightStore>,
    max_concurrent: usize,
    running: Cell<usize>,
    /// Downloads that the weight store granted and no order has used yet.
    granted: RefCell<BTreeMap<ServerName, DesiredState>>,
}

/// The reason why a load may not start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoadRefusal {
    /// The maximum number of concurrent loads is reached.
    ConcurrencyLimit,
    /// The rate limit of the weight store is reached; contains the recommended delay.
    RateLimited(Duration),
    /// The weight store returned an error.
    Platform(PlatformError),
}

impl LoadLimiter {
    pub(crate) fn new(weights: Rc<dyn WeightStore>, max_concurrent: usize) -> Self {
        Self { weights, max_concurrent, running: Cell::new(0), granted: RefCell::default() }
    }

    /// Acquires a permit for one load, which is held until it is dropped.
    ///
    /// A download that was granted earlier for the same state is used again.
    pub(crate) async fn acquire(
        &self,
        server: &ServerName,
        state: &DesiredState,
    ) -> Result<LoadPermit<'_>, LoadRefusal> {
        if self.running.get() >= self.max_concurrent {
            return Err(LoadRefusal::ConcurrencyLimit);
        }
        self.running.set(self.running.get() + 1);
        let permit = LoadPermit(self);
        if self.granted.borrow().get(server) == Some(state) {
            return Ok(permit);
        }
        match self.weights.acquire(state.model.as_str(), state.weight_bytes).await {
            Ok(()) => {
                self.granted.borrow_mut().insert(server.clone(), state.clone());
                Ok(permit)
            }
            Err(PlatformError::RateLimited { retry_after }) => {
                Err(LoadRefusal::RateLimited(retry_after))
            }
            Err(error) => Err(LoadRefusal::Platform(error)),
        }
    }

    /// Removes the granted download of an engine after an order that may have used it.
    pub(crate) fn consume_grant(&self, server: &ServerName) {
        self.granted.borrow_mut().remove(server);
    }
}

/// Permit for one load.
pub(crate) struct LoadPermit<'a>(&'a LoadLimiter);

impl Drop for LoadPermit<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
