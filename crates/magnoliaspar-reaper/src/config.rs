use std::time::Duration;

/// Timeouts and intervals of reapers and owners. All instances must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaperConfig {
    /// Maximum lag of a server's list of streams.
    pub max_list_lag: Duration,
    /// Age of a stream from which on instances are asked about it.
    pub min_orphan_age: Duration,
    /// Time after which a question without an answer is repeated.
    pub ask_interval: Duration,
    /// Time after which the owner of a claimed stream is asked about it again.
    pub recheck_interval: Duration,
    /// Interval at which an owner renews its leases.
    pub renewal_interval: Duration,
    /// Time after the last acknowledged renewal at which an owner gives up its streams.
    pub lease: Duration,
    /// Time for which a reaper keeps a lease that is not renewed.
    pub lease_retention: Duration,
    /// Time that a reaper waits beyond the end of a lease, since clocks run at different rates.
    pub lease_margin: Duration,
}

impl Default for ReaperConfig {
    fn default() -> Self {
        Self {
            max_list_lag: Duration::from_secs(5),
            min_orphan_age: Duration::from_secs(30),
            ask_interval: Duration::from_secs(5),
            recheck_interval: Duration::from_secs(60),
            renewal_interval: Duration::from_secs(10),
            lease: Duration::from_secs(60),
            lease_retention: Duration::from_secs(3600),
            lease_margin: Duration::from_secs(5),
        }
    }
}
