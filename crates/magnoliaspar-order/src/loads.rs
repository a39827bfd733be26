use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::ServerName;
use magnoliaspar_store::{PlatformError, WeightStore};

use crate::DesiredState;

/// Bounds the model loads that run at once, and the downloads from the weight store.
pub(crate) struct LoadLimiter {
    weights: Rc<dyn WeightStore>,
    most: usize,
    running: Cell<usize>,
    /// Downloads that were granted but not used yet.
    granted: RefCell<BTreeMap<ServerName, DesiredState>>,
}

/// Why a load may not start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoadRefusal {
    /// As many loads run as may run at once.
    Busy,
    /// The weight store limits downloads.
    RateLimited(Duration),
    /// The weight store cannot be used.
    Platform(PlatformError),
}

impl LoadLimiter {
    pub(crate) fn new(weights: Rc<dyn WeightStore>, most: usize) -> Self {
        Self { weights, most, running: Cell::new(0), granted: RefCell::default() }
    }

    /// Asks for leave to load; it lasts until the permit is dropped.
    pub(crate) async fn acquire(
        &self,
        server: &ServerName,
        state: &DesiredState,
    ) -> Result<LoadPermit<'_>, LoadRefusal> {
        if self.running.get() >= self.most {
            return Err(LoadRefusal::Busy);
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

    /// Forgets a grant that an order has used up.
    pub(crate) fn use_up(&self, server: &ServerName) {
        self.granted.borrow_mut().remove(server);
    }
}

/// Leave to run one load.
pub(crate) struct LoadPermit<'a>(&'a LoadLimiter);

impl Drop for LoadPermit<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
