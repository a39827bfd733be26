use magnoliaspar_core::ZoneName;

/// The settings of the scheduler of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// The availability zone in which the scheduler runs and whose servers it prefers.
    pub zone: Option<ZoneName>,
    /// The maximum number of waiting jobs.
    pub max_waiting: usize,
    /// The maximum number of prefix blocks in the index, summed over all servers.
    pub max_index_blocks: usize,
    /// The maximum retry budget of the pool, in retries.
    pub retry_budget: u32,
    /// The maximum number of retries of one job.
    pub retries_per_job: u32,
    /// The factor by which a transfer between availability zones is slower than inside one.
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
