//! Concurrency limits for requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::{Refusal, RefusalCode};

/// Delay after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The number of requests in progress per key of a concurrency limit.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimits(Rc<RefCell<BTreeMap<Box<str>, u32>>>);

/// Permit of a request, which counts as in progress until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    limits: ConcurrencyLimits,
    key: Box<str>,
}

impl ConcurrencyLimits {
    /// Counts a request, or refuses it if `limit` are in progress under `key`.
    pub fn acquire(&self, key: &str, limit: u32) -> Result<Permit, Refusal> {
        let mut counts = self.0.borrow_mut();
        let count = counts.entry(key.into()).or_default();
        if *count >= limit {
            let message = format!("{limit} requests are in progress for {key}");
            let refusal = Refusal::not_run(RefusalCode::TooManyRequests, message);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        *count += 1;
        Ok(Permit { limits: self.clone(), key: key.into() })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.limits.0.borrow_mut();
        let Some(count) = counts.get_mut(&self.key) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::ConcurrencyLimits;

    #[test]
    fn a_dropped_permit_is_not_counted() {
        let limits = ConcurrencyLimits::default();
        let permit = limits.acquire("route/a", 1).unwrap();
        assert!(limits.acquire("route/a", 1).is_err());
        drop(permit);
        assert!(limits.acquire("route/a", 1).is_ok());
        assert!(limits.0.borrow().is_empty());
    }
}
