//! Benchmarks of the policy in virtual time, with bounds.
//!
//! [`run`] drives any [`Policy`](magnoliaspar_policy::Policy) through one scenario of one
//! deployment against small fake engines and returns a [`Report`].

mod arrival;
mod baseline;
mod catalogue;
mod deployment;
mod driver;
mod engine;
mod event;
mod ledger;
mod limit;
mod report;
mod scenario;
mod state;
mod suite;
mod table;

pub use self::arrival::{Arrival, arrivals};
pub use self::baseline::{Baseline, Placement};
pub use self::catalogue::{Catalogue, Document};
pub use self::deployment::{
    Deployment, EngineSize, ITL_SHARE, ITL_TARGET, TTFT_TARGET, WorkloadSize,
};
pub use self::driver::run;
pub use self::ledger::{End, Violation, WasteCause};
pub use self::limit::{Limit, capacity};
pub use self::report::{Latency, Report, Waste};
pub use self::scenario::{Fault, Scenario, Shape};
pub use self::suite::{SCHEDULER, run_all, run_side_by_side};
pub use self::table::table;
