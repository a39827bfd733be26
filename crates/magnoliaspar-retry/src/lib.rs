//! Retry budgets, backoff, hedging, outlier ejection and quarantine.
//!
//! Everything here is deterministic: the current time and random numbers are passed in.

mod backoff;
mod budget;
mod hedge;
mod outlier;
mod part;
mod quarantine;
mod request_quarantine;

pub use self::backoff::Backoff;
pub use self::budget::{RetryBudget, RetryBudgetConfig};
pub use self::hedge::{HedgeConfig, HedgePolicy};
pub use self::outlier::{Ejection, EjectionCause, OutlierConfig, OutlierDetector};
pub use self::part::{PartHasher, PartId};
pub use self::quarantine::{
    Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta, QuarantineEntry,
};
pub use self::request_quarantine::{CallRun, Crash, CrashId, Refusal, RequestQuarantine};
