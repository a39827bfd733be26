//! Benchmarks of the scheduling policy in virtual time, with bounds on their results.
//!
//! [`run`] drives any [`Policy`](magnoliaspar_policy::Policy) through one scenario of one
//! deployment against simulated engines and returns a [`Report`].

mod arrival;
mod baseline;
mod bound;
mod catalogue;
mod deployment;
mod driver;
mod engine;
mod event;
mod known_red;
mod limit;
mod report;
mod saturated_pool;
mod scenario;
mod slope;
mod state;
mod stats;
mod suite;
mod table;

pub use self::arrival::{Arrival, arrivals};
pub use self::baseline::{Baseline, Placement};
pub use self::bound::{Bound, Evidence};
pub use self::deployment::{
    Deployment, EngineSpec, ITL_SHARE, ITL_TARGET, TTFT_TARGET, WorkloadSpec,
};
pub use self::driver::run;
pub use self::known_red::{KnownRed, Verdict};
pub use self::limit::Limit;
pub use self::report::{Latency, Report, StageTimes, Waste};
pub use self::saturated_pool::SaturatedPool;
pub use self::scenario::Scenario;
pub use self::slope::{DECISION_BUDGET, SERVER_COUNTS, WAITING_COUNTS, slopes};
pub use self::suite::{Run, SCHEDULER, comparison_runs, run_all};
pub use self::table::table;
