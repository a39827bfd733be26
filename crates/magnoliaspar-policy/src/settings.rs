use magnoliaspar_core::ZoneName;

/// What the operators choose for the scheduler of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// The availability zone in which the scheduler runs and whose servers it prefers.
    pub zone: Option<ZoneName>,
    /// The most jobs that may wait at the same time.
    pub max_waiting: usize,
    /// The most prefix blocks that the index keeps over all servers.
    pub max_index_blocks: usize,
    /// The most retries that the pool can have saved up.
    pub retry_budget: u32,
    /// The most times that one job is tried again.
    pub retries_per_job: u32,
    /// How many times longer a transfer takes between zones than inside one.
    pub cross_zone_slowdown: f64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            zone: None,
            max_waiting: 131_072,
            max_index_blocks: 262_144,
            retry_budget: 64,
            retries_per_job: 3,
            cross_zone_slowdown: 1.25,
        }
    }
}
