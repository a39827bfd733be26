use std::time::Instant;

/// A token bucket that limits the bytes sent per second and allows short bursts.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    bytes_per_second: f64,
    burst_bytes: f64,
    available_bytes: f64,
    last_refill_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: f64, burst_bytes: f64, now: Instant) -> Self {
        Self { bytes_per_second, burst_bytes, available_bytes: burst_bytes, last_refill_at: now }
    }

    /// Returns whether more may be sent, given `pending` bytes that are not consumed yet.
    pub fn has_capacity(&mut self, now: Instant, pending: usize) -> bool {
        self.refill(now);
        self.available_bytes > pending as f64
    }

    /// Consumes `bytes` sent bytes. The balance may become negative and refills from there.
    pub fn consume(&mut self, now: Instant, bytes: usize) {
        self.refill(now);
        self.available_bytes -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill_at);
        self.last_refill_at = self.last_refill_at.max(now);
        self.available_bytes += elapsed.as_secs_f64() * self.bytes_per_second;
        self.available_bytes = self.available_bytes.min(self.burst_bytes);
    }
}
