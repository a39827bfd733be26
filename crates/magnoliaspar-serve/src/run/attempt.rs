use std::cell::Cell;
use std::time::SystemTime;

use magnoliaspar_core::{AttemptId, Clock};

/// Number of random low bits in an attempt ID.
const RANDOM_BITS: u32 = 20;

/// Generates attempt IDs that are unique across instances.
///
/// The high bits are the wall-clock time in milliseconds, so that later attempts have higher IDs;
/// the low bits are random.
#[derive(Debug, Default)]
pub struct AttemptIdGenerator {
    last: Cell<u64>,
}

impl AttemptIdGenerator {
    /// Returns a new ID, higher than all former ones of this generator.
    pub fn next(&self, clock: &dyn Clock) -> AttemptId {
        let since_epoch = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
        let fresh = (since_epoch.as_millis() as u64) << RANDOM_BITS | random;
        let next = fresh.max(self.last.get() + 1);
        self.last.set(next);
        AttemptId(next)
    }
}
