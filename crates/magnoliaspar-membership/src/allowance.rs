use std::time::Instant;

/// A bound on bytes sent, which refills with time and allows short bursts.
#[derive(Debug, Clone)]
pub struct Allowance {
    bytes_per_second: f64,
    burst_bytes: f64,
    left: f64,
    refilled_at: Instant,
}

impl Allowance {
    /// Creates a full allowance.
    pub fn new(bytes_per_second: f64, burst_bytes: f64, now: Instant) -> Self {
        Self { bytes_per_second, burst_bytes, left: burst_bytes, refilled_at: now }
    }

    /// Whether more may be sent while `pending` bytes are about to be charged.
    pub fn is_open(&mut self, now: Instant, pending: usize) -> bool {
        self.refill(now);
        self.left > pending as f64
    }

    /// Charges bytes that are sent; the allowance may fall below zero and refills from there.
    pub fn charge(&mut self, now: Instant, bytes: usize) {
        self.refill(now);
        self.left -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.left += elapsed.as_secs_f64() * self.bytes_per_second;
        self.left = self.left.min(self.burst_bytes);
    }
}
