//! A simulated network link.

use std::time::{Duration, Instant};

/// The network link of an engine, which carries one transfer at a time.
#[derive(Debug)]
pub(crate) struct Link {
    free_at: Instant,
    tokens_per_second: f64,
}

impl Link {
    pub(crate) fn new(now: Instant, tokens_per_second: f64) -> Self {
        Self { free_at: now, tokens_per_second }
    }

    /// Reserves two links for a transfer and returns the time when it ends.
    pub(crate) fn reserve(now: Instant, from: &mut Link, to: &mut Link, tokens: u32) -> Instant {
        let start = now.max(from.free_at).max(to.free_at);
        let rate = from.tokens_per_second.min(to.tokens_per_second);
        let end = start + Duration::from_secs_f64(f64::from(tokens) / rate);
        from.free_at = end;
        to.free_at = end;
        end
    }
}
