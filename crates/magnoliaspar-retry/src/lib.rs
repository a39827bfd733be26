//! Retry budgets, backoff, hedging, outlier ejection and quarantine.
//!
//! Everything here is deterministic: the current time and random numbers are passed in.

mod backoff;
mod budget;
mod hedge;
mod outlier;
mod part;
mod prompt_quarantine;
mod quarantine;

pub use self::backoff::Backoff;
pub use self::budget::{RetryBudget, RetryBudgetConfig};
pub use self::hedge::{HedgeConfig, HedgePolicy};
pub use self::outlier::{Ejection, EjectionCause, OutlierConfig, OutlierDetector};
pub use self::part::PartId;
pub use self::prompt_quarantine::{CallRun, Crash, CrashId, PromptQuarantine, Refusal};
pub use self::quarantine::{
    Admission, Fingerprint, Quarantine, QuarantineConfig, QuarantineDelta, QuarantineEntry,
};
