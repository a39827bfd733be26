use std::time::Duration;

/// The times by which reapers and owners act; all instances use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaperConfig {
    /// The most by which a server's list of streams lags.
    pub list_lag: Duration,
    /// How old a stream is before instances are asked about it.
    pub doubt_age: Duration,
    /// After how long a question without an answer is asked again.
    pub ask_interval: Duration,
    /// After how long a stream that has an owner is asked about again.
    pub recheck_interval: Duration,
    /// How often an owner renews its lease with a reaper.
    pub renewal_interval: Duration,
    /// How long after its last acknowledged renewal an owner gives up its streams.
    pub lease: Duration,
    /// How long a reaper remembers a lease that is not renewed.
    pub lease_memory: Duration,
    /// How much longer a reaper waits, for clocks that run at different rates.
    pub lease_margin: Duration,
}

impl Default for ReaperConfig {
    fn default() -> Self {
        Self {
            list_lag: Duration::from_secs(5),
            doubt_age: Duration::from_secs(30),
            ask_interval: Duration::from_secs(5),
            recheck_interval: Duration::from_secs(60),
            renewal_interval: Duration::from_secs(10),
            lease: Duration::from_secs(60),
            lease_memory: Duration::from_secs(3600),
            lease_margin: Duration::from_secs(5),
        }
    }
}
