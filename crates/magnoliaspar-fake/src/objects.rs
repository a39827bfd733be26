use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use magnoliaspar_core::Clock;
use magnoliaspar_store::{ObjectStore, PlatformError};

use crate::fault::{Fault, Faults, ambiguous};

/// An object store in memory; clones share their state.
#[derive(Clone)]
pub struct MemoryObjects {
    objects: Rc<RefCell<BTreeMap<Box<str>, Bytes>>>,
    faults: Faults,
}

impl MemoryObjects {
    /// Creates an empty store.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self { objects: Rc::default(), faults: Faults::new(clock) }
    }

    /// Returns the fault injector of the store.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }
}

#[async_trait(?Send)]
impl ObjectStore for MemoryObjects {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.faults.before_read().await?;
        Ok(self.objects.borrow().get(name).cloned())
    }

    async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        let fault = self.faults.before_write().await?;
        if fault == Fault::LostRequest {
            return Err(ambiguous());
        }
        let mut objects = self.objects.borrow_mut();
        if objects.get(name).is_some_and(|current| *current != content) {
            let message = format!("the object {name} exists with another content");
            return Err(PlatformError::Rejected(message.into()));
        }
        objects.insert(name.into(), content);
        match fault {
            Fault::None => Ok(()),
            _ => Err(ambiguous()),
        }
    }
}
